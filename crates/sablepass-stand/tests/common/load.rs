// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Callers that send requests to entries in the background while a test changes the site.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sablepass_edge::clock;
use sablepass_stand::client::{Answer, Caller};
use sablepass_stand::replica::Arrival;
use sablepass_stand::site::{Site, ask};

/// A request and its answer. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the entry that received the request.
    pub entry: usize,
    /// Time at which the request was sent.
    pub sent: u64,
    /// Time at which its answer was complete.
    pub ended: u64,
    /// The answer.
    pub answer: Answer,
}

/// Callers in the background. They stop when the value is dropped.
pub struct Load {
    each: usize,
    pause: Duration,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sample>>>,
}

impl Load {
    /// Starts `each` callers at each entry of the site. A caller pauses between an answer and its
    /// next request.
    pub fn spawn(site: &Site, each: usize, pause: Duration) -> Self {
        let mut load = Self { each, pause, stopped: Arc::default(), threads: Vec::new() };
        (0..site.entries.len()).for_each(|entry| load.call(site, entry));
        load
    }

    /// Starts callers at an entry. Request ids begin with the entry's index.
    pub fn call(&mut self, site: &Site, entry: usize) {
        for number in 0..self.each {
            let (addr, stopped, pause) = (site.http(entry), self.stopped.clone(), self.pause);
            self.threads.push(thread::spawn(move || {
                let caller = Caller::open();
                let kinds = ["stream", "safe", "once"].iter().cycle().zip(0..);
                let send = |(kind, round): (&&str, u32)| {
                    thread::sleep(pause);
                    let id = format!("{entry}-{number}-{round}");
                    let sent = clock::now();
                    let ask = ask("POST", &format!("/{kind}/x"), &id, "q");
                    let answer = caller.send(&ask, &addr);
                    Sample { entry, sent, ended: clock::now(), answer }
                };
                kinds.take_while(|_| !stopped.load(Ordering::Relaxed)).map(send).collect()
            }));
        }
    }

    /// Stops the callers once their requests are answered, and returns all samples.
    pub fn join(mut self) -> Vec<Sample> {
        self.stopped.store(true, Ordering::Relaxed);
        let threads = std::mem::take(&mut self.threads);
        threads.into_iter().flat_map(|it| it.join().expect("caller thread panicked")).collect()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Index of the entry that sent a request of [`Load`].
pub fn sender(arrival: &Arrival) -> usize {
    let number = arrival.id.split('-').next().and_then(|it| it.parse().ok());
    number.expect("request id begins with an entry index")
}

/// Sleeps until a time in milliseconds since the Unix epoch.
pub fn sleep_until(time: u64) {
    thread::sleep(Duration::from_millis(time.saturating_sub(clock::now())));
}

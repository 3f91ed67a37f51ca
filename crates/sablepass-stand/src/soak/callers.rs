// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Callers of the soak: threads that send requests one after the other to the entries
//! that accept callers, over persistent connections, and record the answers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use sablepass_edge::clock;

use crate::client::{Answer, Caller};
use crate::site;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A resumable stream.
    Stream,
    /// A request that is safe to repeat.
    Safe,
    /// A request that must run at most once.
    Once,
    /// A request that is safe to repeat, on the route with this number, which was declared
    /// during the run. Numbers start at 1.
    Added(u64),
}

/// A request and its caller's observations.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Request id, unique within the run.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of the entry that the request was sent to.
    pub entry: usize,
    /// Time at which the request was sent. Milliseconds since the Unix epoch.
    pub sent: u64,
    /// Time at which the caller had the whole answer or an error. Milliseconds since the
    /// Unix epoch.
    pub ended: u64,
    /// The answer; its status is 0 if there was none.
    pub answer: Answer,
}

/// Entries and routes that callers may use, kept up to date by the fleet.
#[derive(Debug, Default)]
pub struct Directory {
    /// Number and address of each entry that accepts callers.
    pub entries: Mutex<Vec<(usize, String)>>,
    /// Number of routes added so far.
    pub routes: AtomicU64,
}

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sample>>>,
}

impl Callers {
    /// Starts `count` callers.
    pub fn spawn(count: usize, directory: Arc<Directory>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (stop, directory) = (stop.clone(), directory.clone());
            std::thread::spawn(move || run_caller(number, &stop, &directory))
        };
        let threads = (0..count).map(start).collect();
        Self { stop, threads }
    }

    /// Stops the callers once their outstanding requests are answered, and returns all
    /// samples.
    pub fn join(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.threads.into_iter().map(|it| it.join().expect("caller thread panicked"));
        samples.flatten().collect()
    }
}

/// Id of the first part of the prompts of every third stream.
pub fn first_part(number: usize) -> String {
    format!("f{}", number % 3)
}

fn run_caller(number: usize, stop: &AtomicBool, directory: &Directory) -> Vec<Sample> {
    let caller = Caller::open();
    let mut samples = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let round = samples.len();
        let entry = {
            let entries = directory.entries.lock().unwrap_or_else(PoisonError::into_inner);
            // The offset by caller and round spreads requests over all entries.
            entries.get((number + round) % entries.len().max(1)).cloned()
        };
        let Some((entry, addr)) = entry else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        samples.push(send_request(&caller, (number, round), (entry, &addr), directory));
    }
    samples
}

fn send_request(
    caller: &Caller,
    (number, round): (usize, usize),
    (entry, addr): (usize, &str),
    directory: &Directory,
) -> Sample {
    let routes = directory.routes.load(Ordering::Relaxed);
    let kind = match (number + round / 3) % 4 {
        0 => Kind::Stream,
        1 => Kind::Safe,
        2 => Kind::Once,
        _ if routes > 0 => Kind::Added(1 + round as u64 % routes),
        _ => Kind::Stream,
    };
    // Another run on the machine may listen at the address of an entry that was killed.
    let id = format!("c{number}-{round}-{}", std::process::id());
    let request = match kind {
        Kind::Stream => site::ask("POST", "/stream/x", &id, "prompt")
            .with("x-prompt-prefix", &format!("{}:40,own-{id}:90", first_part(round))),
        Kind::Safe => site::ask("GET", "/safe/x", &id, ""),
        Kind::Once => site::ask("POST", "/once/x", &id, &id),
        Kind::Added(route) => site::ask("GET", &format!("/added-{route}/x"), &id, ""),
    };
    let sent = clock::now();
    let answer = caller.send(&request, addr);
    Sample { id, kind, entry, sent, ended: clock::now(), answer }
}

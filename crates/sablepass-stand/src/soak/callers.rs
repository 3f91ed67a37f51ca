// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Callers of a soak: each asks one request after the other, of any entry that
//! takes new callers, over connections that it keeps until they break.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use sablepass_edge::clock;

use crate::client::{Answer, Caller};
use crate::site;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may be resumed.
    Stream,
    /// May run twice.
    Safe,
    /// Must run at most once.
    Once,
    /// May run twice, on the route of this number, declared meanwhile.
    Added(u64),
}

/// A request and what its caller saw.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its name, unique in the run.
    pub id: String,
    /// What it asked for.
    pub kind: Kind,
    /// Number of the entry that it was sent to.
    pub entry: usize,
    /// When it was sent, and when its caller knew the end. Milliseconds.
    pub sent: u64,
    /// See above.
    pub ended: u64,
    /// What came.
    pub answer: Answer,
}

/// What callers know: where entries take them, and the routes there are.
#[derive(Debug, Default)]
pub struct Directory {
    /// Number and address of each entry that takes new callers.
    pub entries: Mutex<Vec<(usize, String)>>,
    /// Routes declared so far.
    pub routes: AtomicU64,
}

/// Callers at work.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sample>>>,
}

impl Callers {
    /// Starts so many callers.
    pub fn spawn(count: usize, directory: Arc<Directory>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let one = |number| {
            let (stop, directory) = (stop.clone(), directory.clone());
            std::thread::spawn(move || work(number, &stop, &directory))
        };
        let threads = (0..count).map(one).collect();
        Self { stop, threads }
    }

    /// Has them end after their last answer, and returns what they saw.
    pub fn join(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.threads.into_iter().map(|it| it.join().expect("a caller ends"));
        samples.flatten().collect()
    }
}

fn work(number: usize, stop: &AtomicBool, directory: &Directory) -> Vec<Sample> {
    let caller = Caller::open();
    let mut samples = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let turn = samples.len();
        let entry = {
            let entries = directory.entries.lock().unwrap_or_else(PoisonError::into_inner);
            // Callers and turns meet all entries and all kinds.
            entries.get((number + turn) % entries.len().max(1)).cloned()
        };
        let Some((entry, addr)) = entry else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        samples.push(ask(&caller, (number, turn), (entry, &addr), directory));
    }
    samples
}

fn ask(
    caller: &Caller,
    (number, turn): (usize, usize),
    (entry, addr): (usize, &str),
    directory: &Directory,
) -> Sample {
    let routes = directory.routes.load(Ordering::Relaxed);
    let kind = match (number + turn / 3) % 4 {
        0 => Kind::Stream,
        1 => Kind::Safe,
        2 => Kind::Once,
        _ if routes > 0 => Kind::Added(1 + turn as u64 % routes),
        _ => Kind::Stream,
    };
    let id = format!("c{number}-{turn}");
    let request = match kind {
        Kind::Stream => site::ask("POST", "/stream/x", &id, "prompt"),
        Kind::Safe => site::ask("GET", "/safe/x", &id, ""),
        Kind::Once => site::ask("POST", "/once/x", &id, &id),
        Kind::Added(it) => site::ask("GET", &format!("/added-{it}/x"), &id, ""),
    };
    let sent = clock::now();
    let answer = caller.send(&request, addr);
    Sample { id, kind, entry, sent, ended: clock::now(), answer }
}

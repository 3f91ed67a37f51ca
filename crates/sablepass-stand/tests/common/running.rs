// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A site with the settings of the users' platform that runs all the time: targets write
//! their lines, and callers ask all entries.

#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sablepass_edge::clock;
use sablepass_stand::replica::Replica;
use sablepass_stand::site::{Pace, Site, ask};

/// Entries of a site.
pub const ENTRIES: usize = 5;
/// Entries that all others know from the start.
pub const SEEDS: usize = 3;
/// Time after which no more requests may reach a target that is leaving, in milliseconds.
pub const DRAIN_LIMIT_MS: u64 = 2_000;
/// Era of the store after its first restore from a backup.
pub const RESTORED_ERA: u64 = 2;
/// Time between two writes of a target's line.
const BEAT: Duration = Duration::from_millis(300);

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Its line says so.
    Draining,
    /// Its line is removed.
    Removed,
    /// Its answers announce it, while its entry in the store still says ready.
    Announced,
}

/// A site whose targets write their lines time after time, with callers at all entries.
pub struct Running {
    /// The site.
    pub site: Site,
    /// Targets that write their lines.
    writers: Arc<Mutex<Vec<Replica>>>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Running {
    /// Starts it.
    pub fn start(targets: usize) -> Self {
        let mut site = Site::open(targets);
        site.pace = Pace::Platform;
        for _ in 0..ENTRIES {
            site.add_entry_at("", SEEDS);
        }
        site.settle(targets);
        let writers = Arc::new(Mutex::new(site.replicas.clone()));
        let mut it = Self { site, writers, over: Arc::default(), threads: Vec::new() };
        it.write_lines();
        (0..ENTRIES).for_each(|entry| it.call(entry));
        thread::sleep(Duration::from_secs(1));
        it
    }

    fn write_lines(&mut self) {
        let (store, writers, over) =
            (self.site.store.clone(), self.writers.clone(), self.over.clone());
        self.threads.push(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                for it in writers.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                    store.put(&format!("servers/{}", it.id), &it.entry("ready"));
                }
                thread::sleep(BEAT);
            }
        }));
    }

    /// Has a caller send requests to an entry, named after it.
    pub fn call(&mut self, entry: usize) {
        let (addr, over) = (self.site.http(entry), self.over.clone());
        self.threads.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                ask("GET", "/safe/x", &format!("{entry}-{number}"), "").send(&addr);
                number += 1;
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }

    /// Has a target leave; one that does so by its line writes nothing more. When that was.
    pub fn leave(&self, it: &Replica, way: Way) -> u64 {
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        match way {
            Way::Draining => {
                writers.retain(|other| other.id != it.id);
                self.site.list(it, "draining");
            }
            Way::Removed => {
                writers.retain(|other| other.id != it.id);
                self.site.store.remove(&format!("servers/{}", it.id));
            }
            Way::Announced => it.leave(),
        }
        clock::now()
    }

    /// Ends callers and writers.
    pub fn end(mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|it| it.join().expect("a thread ends"));
    }
}

/// Requests that reached a target too late, by the entry that sent them. An entry that did
/// not run all the time had no more time than the others since it does.
pub fn late(it: &Replica, left: u64, runs: (usize, u64)) -> HashMap<usize, usize> {
    let mut late = HashMap::new();
    for arrival in it.arrivals() {
        let (entry, _) = arrival.id.split_once('-').expect("a name");
        let entry: usize = entry.parse().expect("a number");
        let since = if entry == runs.0 { left.max(runs.1) } else { left };
        if arrival.at > since + DRAIN_LIMIT_MS {
            *late.entry(entry).or_default() += 1;
        }
    }
    late
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A site under continuous load with the timing of the users' platform: targets renew their
//! entries in the store, and callers send requests to all entries.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sablepass_edge::clock;
use sablepass_stand::replica::Replica;
use sablepass_stand::site::{Pace, Site, ask};

/// Number of entries of the site.
pub const ENTRIES: usize = 5;
/// Number of entries that are the seed peers of the others.
pub const SEEDS: usize = 3;
/// Time after which no more requests may reach a target that is leaving, in milliseconds.
pub const DRAIN_LIMIT_MS: u64 = 2_000;
/// Era of the store after its first restore from a backup.
pub const RESTORED_ERA: u64 = 2;
/// Settings of the entries, which use all targets, as on the users' platform. With the default
/// subset, a target may be left without an entry that uses it.
const ENTRY_SETTINGS: &str = "subset = 1024";
/// Interval at which targets renew their entries in the store.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Its entry in the store says draining.
    Draining,
    /// Its entry is removed from the store.
    Removed,
    /// Its answers announce it, while its entry in the store still says ready.
    Announced,
}

/// A site whose targets renew their entries, with callers at all entries, until
/// [`end`](Self::end).
pub struct Running {
    /// The site that receives the load.
    pub site: Site,
    /// Targets that renew their entries in the store.
    writers: Arc<Mutex<Vec<Replica>>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Running {
    /// Starts a site with this many targets and a caller at each entry.
    pub fn start(targets: usize) -> Self {
        let mut running = Self::open(targets);
        running.renew_entries();
        running.call_all();
        running
    }

    /// Like [`start`](Self::start), but targets do not renew their entries, so that the store
    /// reports no changes other than those of the test. On the platform, a renewal that changes only
    /// the liveness counter is no change.
    pub fn start_quiet(targets: usize) -> Self {
        let mut running = Self::open(targets);
        running.call_all();
        running
    }

    fn open(targets: usize) -> Self {
        let mut site = Site::open(targets);
        site.pace = Pace::Platform;
        for _ in 0..ENTRIES {
            site.add_entry_with_seeds(ENTRY_SETTINGS, SEEDS);
        }
        site.settle(targets);
        let writers = Arc::new(Mutex::new(site.replicas.clone()));
        Self { site, writers, stopped: Arc::default(), threads: Vec::new() }
    }

    /// Starts another entry; returns its index.
    pub fn add_entry(&mut self) -> usize {
        self.site.add_entry_with_seeds(ENTRY_SETTINGS, SEEDS)
    }

    fn call_all(&mut self) {
        (0..ENTRIES).for_each(|entry| self.call(entry));
        thread::sleep(Duration::from_secs(1));
    }

    fn renew_entries(&mut self) {
        let (store, writers, stopped) =
            (self.site.store.clone(), self.writers.clone(), self.stopped.clone());
        self.threads.push(thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for target in writers.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                    store.put(&format!("servers/{}", target.id), &target.entry("ready"));
                }
                thread::sleep(RENEWAL_INTERVAL);
            }
        }));
    }

    /// Starts a caller that sends requests to an entry; request ids begin with the entry's index.
    pub fn call(&mut self, entry: usize) {
        let (addr, stopped) = (self.site.http(entry), self.stopped.clone());
        self.threads.push(thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                ask("GET", "/safe/x", &format!("{entry}-{number}"), "").send(&addr);
                number += 1;
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }

    /// Makes a target leave and returns the time in milliseconds since the Unix epoch. A target
    /// that leaves by its entry in the store no longer renews it.
    pub fn leave(&self, target: &Replica, way: Way) -> u64 {
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        match way {
            Way::Draining => {
                writers.retain(|other| other.id != target.id);
                self.site.list(target, "draining");
            }
            Way::Removed => {
                writers.retain(|other| other.id != target.id);
                self.site.store.remove(&format!("servers/{}", target.id));
            }
            Way::Announced => target.leave(),
        }
        clock::now()
    }

    /// Stops the callers and the renewal of entries.
    pub fn end(mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|it| it.join().expect("thread panicked"));
    }
}

/// Counts the requests that reached a target more than [`DRAIN_LIMIT_MS`] after it left, by the
/// entry that sent them. `left` is the time at which the target left. `resumed` is an entry that
/// did not run all the time and the time since which it runs: if that is after `left`, the limit
/// counts from there. Times are in milliseconds since the Unix epoch.
pub fn late(target: &Replica, left: u64, resumed: (usize, u64)) -> HashMap<usize, usize> {
    let mut late = HashMap::new();
    for arrival in target.arrivals() {
        let (entry, _) =
            arrival.id.split_once('-').expect("request id begins with an entry index and a hyphen");
        let entry: usize = entry.parse().expect("entry index is a number");
        let since = if entry == resumed.0 { left.max(resumed.1) } else { left };
        if arrival.at > since + DRAIN_LIMIT_MS {
            *late.entry(entry).or_default() += 1;
        }
    }
    late
}

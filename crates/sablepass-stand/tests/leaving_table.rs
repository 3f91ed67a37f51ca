// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A table of cases: targets leave in each way, before, during and after each fault of the
//! store, while one entry is killed and another one starts. No request may reach a target after
//! its drain time, and the targets that stay must be used to the end.

mod common;

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use sablepass_edge::clock;
use sablepass_stand::keys::{Backup, Mode, Store};
use sablepass_stand::replica::Replica;

use crate::common::running::{DRAIN_LIMIT_MS, ENTRIES, RESTORED_ERA, Running, Way};

const WAYS: [Way; 3] = [Way::Draining, Way::Removed, Way::Announced];
const MOMENTS: [Moment; 4] = [Moment::Before, Moment::During, Moment::After, Moment::Later];
/// Number of targets that stay.
const STAYING: usize = 3;
/// Time after its start within which a new entry may still use a target that has left.
const STARTUP_MS: u64 = 3_000;

/// Fault of the store, which lasts for two seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Healthy,
    InMode(Mode),
    HistoryLost,
    Restored,
    RestoredTwice,
}

impl Fault {
    fn begin(self, store: &Store) {
        match self {
            Self::Healthy => {}
            Self::InMode(mode) => store.set(mode),
            Self::HistoryLost => store.discard_history(),
            Self::Restored | Self::RestoredTwice => store.set(Mode::Down),
        }
    }

    fn end(self, store: &Store, backup: &Backup) {
        if matches!(self, Self::Restored | Self::RestoredTwice) {
            store.restore(backup, RESTORED_ERA);
        }
        if self == Self::RestoredTwice {
            thread::sleep(Duration::from_millis(500));
            store.restore(backup, RESTORED_ERA + 1);
        }
        store.set(Mode::Up);
    }

    /// Whether the store accepts writes during the fault.
    fn accepts_writes(self) -> bool {
        match self {
            Self::Healthy | Self::HistoryLost => true,
            Self::InMode(mode) => matches!(mode, Mode::Slow | Mode::Refusing),
            Self::Restored | Self::RestoredTwice => false,
        }
    }
}

/// Time at which a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// One second before the fault.
    Before,
    /// Half a second after the start of the fault.
    During,
    /// Right after the end of the fault.
    After,
    /// 3.5 seconds after the end of the fault, right before the line of another target changes.
    Later,
}

/// A target that has left.
struct Departure {
    replica: Replica,
    way: Way,
    moment: Moment,
    at_ms: u64,
}

/// Has one unused target leave in each of the given ways.
fn leave(
    running: &Running,
    unused: &mut Vec<Replica>,
    moment: Moment,
    ways: &[Way],
) -> Vec<Departure> {
    let leave_in = |way: &Way| {
        let replica = unused.pop().expect("a target");
        let at_ms = running.leave(&replica, *way);
        Departure { replica, way: *way, moment, at_ms }
    };
    ways.iter().map(leave_in).collect()
}

/// Counts the requests that reached a target too late, by the entry that sent them. `fault_end`
/// is when the fault ended, `fresh` the new entry with its start, all in milliseconds.
fn late_requests(
    departure: &Departure,
    fault_end: u64,
    fresh: (usize, u64),
) -> HashMap<usize, usize> {
    let mut announced: HashMap<usize, u64> = HashMap::new();
    let mut late = HashMap::new();
    for arrival in departure.replica.arrivals() {
        let (entry, _) = arrival.id.split_once('-').expect("a request id of entry and number");
        let entry: usize = entry.parse().expect("the number of an entry");
        let since = match (departure.way, departure.moment) {
            // An announcement binds only the entries that got it in an answer.
            (Way::Announced, _) if arrival.leaving_since.is_some() => {
                *announced.entry(entry).or_insert(arrival.at)
            }
            (Way::Announced, _) => continue,
            // What is written during a fault cannot be read before its end.
            (_, Moment::During) => fault_end,
            (_, Moment::Before | Moment::After | Moment::Later) => departure.at_ms,
        };
        let startup_end = if entry == fresh.0 { fresh.1 + STARTUP_MS } else { 0 };
        if arrival.at > (since + DRAIN_LIMIT_MS).max(startup_end) {
            *late.entry(entry).or_default() += 1;
        }
    }
    late
}

fn check_departures(fault: Fault) {
    let mut running = Running::start(STAYING + WAYS.len() * MOMENTS.len());
    let mut unused = running.site.replicas.clone();
    let staying: Vec<Replica> = unused.drain(..STAYING).collect();
    let store = running.site.store.clone();
    let backup = store.backup();
    let mut departures = leave(&running, &mut unused, Moment::Before, &WAYS);
    thread::sleep(Duration::from_secs(1));
    fault.begin(&store);
    running.site.entries[ENTRIES - 1].kill();
    thread::sleep(Duration::from_millis(500));
    let ways = if fault.accepts_writes() { &WAYS[..] } else { &[Way::Announced] };
    departures.extend(leave(&running, &mut unused, Moment::During, ways));
    thread::sleep(Duration::from_millis(1_500));
    fault.end(&store, &backup);
    let fault_end = clock::now();
    let entry = running.add_entry();
    let fresh = (entry, clock::now());
    running.call(entry);
    departures.extend(leave(&running, &mut unused, Moment::After, &WAYS));
    thread::sleep(Duration::from_millis(3_500));
    departures.extend(leave(&running, &mut unused, Moment::Later, &WAYS));
    running.site.add_replica("orders");
    thread::sleep(Duration::from_secs(4));
    let test_end = clock::now();
    let failures = |it: &Departure| {
        let late = late_requests(it, fault_end, fresh);
        (!late.is_empty()).then(|| format!("{:?} {:?}: {late:?}", it.way, it.moment))
    };
    let failures: Vec<String> = departures.iter().filter_map(failures).collect();
    let used =
        |it: &&Replica| it.arrivals().last().is_some_and(|it| it.at + DRAIN_LIMIT_MS > test_end);
    let used = staying.iter().filter(used).count();
    running.end();
    assert!(failures.is_empty(), "{fault:?}: {failures:#?}");
    assert_eq!(used, STAYING, "{fault:?}: the targets that stay are in use");
}

#[test]
fn verify_targets_that_leave_while_the_store_is_healthy() {
    check_departures(Fault::Healthy);
}

#[test]
fn verify_targets_that_leave_during_an_outage_of_the_store() {
    check_departures(Fault::InMode(Mode::Down));
}

#[test]
fn verify_targets_that_leave_while_the_store_is_silent() {
    check_departures(Fault::InMode(Mode::Silent));
}

#[test]
fn verify_targets_that_leave_while_the_store_is_slow() {
    check_departures(Fault::InMode(Mode::Slow));
}

#[test]
fn verify_targets_that_leave_while_the_store_refuses_calls() {
    check_departures(Fault::InMode(Mode::Refusing));
}

#[test]
fn verify_targets_that_leave_while_the_store_loses_its_history() {
    check_departures(Fault::HistoryLost);
}

#[test]
fn verify_targets_that_leave_while_the_store_is_restored() {
    check_departures(Fault::Restored);
}

#[test]
fn verify_targets_that_leave_while_the_store_is_restored_twice() {
    check_departures(Fault::RestoredTwice);
}

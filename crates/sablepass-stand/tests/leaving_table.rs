// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Targets leave in every way, beside every trouble of the store, before, during and after
//! it, while an entry ends and another one starts. Nothing reaches them later than they
//! serve on, and targets that live are used to the end.

mod common;

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use sablepass_edge::clock;
use sablepass_stand::keys::{Backup, Mode, Store};
use sablepass_stand::replica::Replica;

use crate::common::running::{DRAIN_LIMIT_MS, ENTRIES, RESTORED_ERA, Running, SEEDS, Way};

const WAYS: [Way; 3] = [Way::Draining, Way::Removed, Way::Announced];
const MOMENTS: [Moment; 4] = [Moment::Before, Moment::During, Moment::After, Moment::Later];
/// Targets that do not leave.
const LIVE: usize = 3;
/// Milliseconds from the end of a trouble after which the list is taken at its word: three
/// seconds in which lines that lapsed are back, and two until a process has read it again.
const SETTLED: u64 = 5_000;
/// Milliseconds after which an entry that has started is bound by what it can know.
const STARTED: u64 = 3_000;

/// What is wrong with the store for two seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    Is(Mode),
    Forgets,
    Restored,
    RestoredTwice,
}

impl Trouble {
    fn begin(self, store: &Store) {
        match self {
            Self::Nothing => {}
            Self::Is(mode) => store.set(mode),
            Self::Forgets => store.discard_history(),
            Self::Restored | Self::RestoredTwice => store.set(Mode::Down),
        }
    }

    fn end(self, store: &Store, copy: &Backup) {
        if matches!(self, Self::Restored | Self::RestoredTwice) {
            store.restore(copy, RESTORED_ERA);
        }
        if self == Self::RestoredTwice {
            thread::sleep(Duration::from_millis(500));
            store.restore(copy, RESTORED_ERA + 1);
        }
        store.set(Mode::Up);
    }

    /// Whether the store takes lines meanwhile.
    fn takes_lines(self) -> bool {
        match self {
            Self::Nothing | Self::Forgets => true,
            Self::Is(mode) => matches!(mode, Mode::Slow | Mode::Refusing),
            Self::Restored | Self::RestoredTwice => false,
        }
    }
}

/// When a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// A second before the trouble.
    Before,
    /// Half a second after its beginning.
    During,
    /// As it has just ended.
    After,
    /// Some seconds later, as the line of another target changes.
    Later,
}

/// A target that left.
struct Left {
    replica: Replica,
    way: Way,
    moment: Moment,
    at: u64,
}

/// Has targets leave at a moment in all ways that the store allows then.
fn leave(running: &Running, unused: &mut Vec<Replica>, moment: Moment, ways: &[Way]) -> Vec<Left> {
    let one = |way: &Way| {
        let replica = unused.pop().expect("a target");
        let at = running.leave(&replica, *way);
        Left { replica, way: *way, moment, at }
    };
    ways.iter().map(one).collect()
}

/// Requests that reached a target too late, by the entry that sent them.
fn late(left: &Left, ended: u64, fresh: (usize, u64)) -> HashMap<usize, usize> {
    let mut told: HashMap<usize, u64> = HashMap::new();
    let mut late = HashMap::new();
    for arrival in left.replica.arrivals() {
        let (entry, _) = arrival.id.split_once('-').expect("a name");
        let entry: usize = entry.parse().expect("a number");
        let since = match (left.way, left.moment) {
            // Only who was told is bound.
            (Way::Announced, _) if arrival.leaving_since.is_some() => {
                *told.entry(entry).or_insert(arrival.at)
            }
            (Way::Announced, _) => continue,
            (_, Moment::Before | Moment::Later) => left.at,
            (_, Moment::During | Moment::After) => ended + SETTLED - DRAIN_LIMIT_MS,
        };
        let knows = if entry == fresh.0 { fresh.1 + STARTED } else { 0 };
        if arrival.at > (since + DRAIN_LIMIT_MS).max(knows) {
            *late.entry(entry).or_default() += 1;
        }
    }
    late
}

fn play(trouble: Trouble) {
    let mut running = Running::start(LIVE + WAYS.len() * MOMENTS.len());
    let mut unused = running.site.replicas.clone();
    let live: Vec<Replica> = unused.drain(..LIVE).collect();
    let store = running.site.store.clone();
    let copy = store.backup();
    let mut left = leave(&running, &mut unused, Moment::Before, &WAYS);
    thread::sleep(Duration::from_secs(1));
    trouble.begin(&store);
    running.site.entries[ENTRIES - 1].kill();
    thread::sleep(Duration::from_millis(500));
    let ways = if trouble.takes_lines() { &WAYS[..] } else { &[Way::Announced] };
    left.extend(leave(&running, &mut unused, Moment::During, ways));
    thread::sleep(Duration::from_millis(1_500));
    trouble.end(&store, &copy);
    let ended = clock::now();
    let entry = running.site.add_entry_with_seeds("", SEEDS);
    let fresh = (entry, clock::now());
    running.call(entry);
    left.extend(leave(&running, &mut unused, Moment::After, &WAYS));
    thread::sleep(Duration::from_millis(3_500));
    left.extend(leave(&running, &mut unused, Moment::Later, &WAYS));
    running.site.add_replica("orders");
    thread::sleep(Duration::from_secs(4));
    let over = clock::now();
    let wrong = |it: &Left| {
        let late = late(it, ended, fresh);
        (!late.is_empty()).then(|| format!("{:?} {:?}: {late:?}", it.way, it.moment))
    };
    let wrong: Vec<String> = left.iter().filter_map(wrong).collect();
    let used = |it: &&Replica| it.arrivals().last().is_some_and(|it| it.at + DRAIN_LIMIT_MS > over);
    let used = live.iter().filter(used).count();
    running.end();
    assert!(wrong.is_empty(), "{trouble:?}: {wrong:#?}");
    assert_eq!(used, LIVE, "{trouble:?}: targets that live are used");
}

#[test]
fn verify_targets_that_leave_while_the_store_is_well() {
    play(Trouble::Nothing);
}

#[test]
fn verify_targets_that_leave_beside_an_unreachable_store() {
    play(Trouble::Is(Mode::Down));
}

#[test]
fn verify_targets_that_leave_beside_a_silent_store() {
    play(Trouble::Is(Mode::Silent));
}

#[test]
fn verify_targets_that_leave_beside_a_slow_store() {
    play(Trouble::Is(Mode::Slow));
}

#[test]
fn verify_targets_that_leave_beside_a_store_that_refuses_calls() {
    play(Trouble::Is(Mode::Refusing));
}

#[test]
fn verify_targets_that_leave_beside_a_store_that_forgets_its_history() {
    play(Trouble::Forgets);
}

#[test]
fn verify_targets_that_leave_beside_a_restored_store() {
    play(Trouble::Restored);
}

#[test]
fn verify_targets_that_leave_beside_a_store_that_is_restored_twice() {
    play(Trouble::RestoredTwice);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The instance list as several processes hold it: some read the platform's
//! changes, cut into replies wherever time cuts them, the others learn from
//! them. Whatever the cuts, all hold what the changes add up to.
//!
//! Seen: after an outage of the list's service most live targets stayed lost to
//! their entries for good. How: entries of the list lapse in an outage and return
//! with the same text, and one reply may hold both. Cause: each change of a reply
//! was compared with what was held before the reply, so that the return was left
//! out as saying the same, and the removal stood. Proof: these tests.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::config::{Compare, Delta, Document, Store, Version, What, Whole};
use sablepass_core::revision::Revision;

const KEYS: usize = 4;
/// Texts that an entry of the list has: targets are ready, or leaving.
const TEXTS: [&str; 2] = ["ready", "leaving"];
const CHANGES: u64 = 24;
const PROCESSES: usize = 3;
const SEEDS: u64 = 20_000;

/// The platform's list: every change, in order of its revision.
struct Platform {
    changes: Vec<Document>,
}

impl Platform {
    fn draw(rng: &mut StdRng) -> Self {
        let change = |number: u64| {
            let revision = number.into();
            let removed = rng.random_bool(0.3);
            let text = if removed { "" } else { TEXTS[usize::from(rng.random_bool(0.2))] };
            let newest = Version { revision, body: text.to_owned() };
            let key = format!("t{}", rng.random_range(0..KEYS));
            Document { key, newest, removed, accepted: None }
        };
        Self { changes: (1..=CHANGES).map(change).collect() }
    }

    /// What a watch from one revision on answers at another.
    fn watch(&self, after: Revision, revision: u64) -> Delta {
        let revision = revision.into();
        let within = |it: &&Document| it.newest.revision > after && it.newest.revision <= revision;
        let documents = self.changes.iter().filter(within).cloned().collect();
        Delta { after, revision, documents, whole: None }
    }

    /// What a read of everything answers at a revision.
    fn range(&self, after: Revision, revision: u64) -> Delta {
        let revision = revision.into();
        let mut all: BTreeMap<&str, &Document> = BTreeMap::new();
        for it in self.changes.iter().filter(|it| it.newest.revision <= revision) {
            all.insert(&it.key, it);
        }
        let documents = all.into_values().filter(|it| !it.removed).cloned().collect();
        let whole = Some(Whole::All(revision));
        Delta { after: after.min(revision), revision, documents, whole }
    }
}

fn read(store: &mut Store, platform: &Platform, whole: bool, revision: u64) {
    let after = store.revision();
    let mut delta =
        if whole { platform.range(after, revision) } else { platform.watch(after, revision) };
    store.trim(&mut delta);
    // One that is old by now is ignored.
    let _ = store.merge(delta);
}

fn pull(stores: &mut [Store], from: usize, to: usize) {
    if let (Compare::Pull(pull), _) = stores[to].compare(stores[from].digest()) {
        for it in stores[from].deltas(&pull, 100) {
            // As above.
            let _ = stores[to].merge(it);
        }
    }
}

fn listed(store: &Store) -> Vec<(String, String)> {
    let live = store.documents().filter(|it| !it.removed);
    live.map(|it| (it.key.clone(), it.newest.body.clone())).collect()
}

/// Has processes read and tell each other in any order until all changes are out.
fn play(seed: u64, whole: f64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform = Platform::draw(&mut rng);
    let mut stores: Vec<Store> = (0..PROCESSES).map(|_| Store::open(What::Instances)).collect();
    let mut now = 0;
    while now < CHANGES {
        now = (now + rng.random_range(0..4)).min(CHANGES);
        let reader = rng.random_range(0..PROCESSES);
        if rng.random_bool(0.6) {
            let seen = rng.random_range(stores[reader].revision().number.min(now)..=now);
            let all = rng.random_bool(whole);
            read(&mut stores[reader], &platform, all, seen);
        } else {
            pull(&mut stores, reader, (reader + 1) % PROCESSES);
        }
    }
    read(&mut stores[0], &platform, false, CHANGES);
    for _ in 0..3 {
        for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
            pull(&mut stores, from, to);
        }
    }
    let expected = platform.range(Revision::default(), CHANGES).documents;
    let expected: Vec<(String, String)> =
        expected.into_iter().map(|it| (it.key, it.newest.body)).collect();
    for (index, store) in stores.iter().enumerate() {
        let held = listed(store);
        if held != expected {
            return Err(format!("seed {seed}: {index} holds {held:?}, not {expected:?}"));
        }
    }
    Ok(())
}

fn all_agree(whole: f64) {
    let wrong: Vec<String> = (0..SEEDS).filter_map(|seed| play(seed, whole).err()).collect();
    assert!(wrong.is_empty(), "{} of {SEEDS}, the first: {}", wrong.len(), wrong[0]);
}

#[test]
fn verify_processes_that_watch_hold_what_the_changes_add_up_to() {
    all_agree(0.0);
}

/// Some replies are reads of everything, as after the history is gone.
#[test]
fn verify_reads_of_everything_agree_with_watches() {
    all_agree(0.3);
}

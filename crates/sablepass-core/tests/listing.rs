// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The instance list in several processes: some read the platform's changes, split into responses
//! at any points, and the others receive them from peers. However the changes are split, all stores
//! converge to their result.
//!
//! Guards against losing live targets after an outage of the list's service. An entry of the list
//! may expire and return with the same text in one response; when each change was compared with the
//! store's content from before the response, the return was dropped as unchanged and the removal
//! remained.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::config::{Compare, Coverage, Delta, Document, Store, StoreKind, Version};
use sablepass_core::revision::Revision;

const KEYS: usize = 4;
/// Texts of an entry: the target is ready, or leaving.
const TEXTS: [&str; 2] = ["ready", "leaving"];
const CHANGES: u64 = 24;
const PROCESSES: usize = 3;
const SEEDS: u64 = 20_000;

/// The platform's list: all changes, in order of their revisions.
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

    /// Response to a watch from one revision, at another.
    fn watch(&self, after: Revision, revision: u64) -> Delta {
        let revision = revision.into();
        let within = |it: &&Document| it.newest.revision > after && it.newest.revision <= revision;
        let documents = self.changes.iter().filter(within).cloned().collect();
        Delta { after, revision, documents, whole: None }
    }

    /// Response to a read of the complete list at a revision.
    fn range(&self, after: Revision, revision: u64) -> Delta {
        let revision = revision.into();
        let mut all: BTreeMap<&str, &Document> = BTreeMap::new();
        for it in self.changes.iter().filter(|it| it.newest.revision <= revision) {
            all.insert(&it.key, it);
        }
        let documents = all.into_values().filter(|it| !it.removed).cloned().collect();
        let whole = Some(Coverage::All(revision));
        Delta { after: after.min(revision), revision, documents, whole }
    }
}

fn read(store: &mut Store, platform: &Platform, whole: bool, revision: u64) {
    let after = store.revision();
    let mut delta =
        if whole { platform.range(after, revision) } else { platform.watch(after, revision) };
    store.trim(&mut delta);
    // A response that is outdated by now is ignored.
    let _ = store.merge(delta);
}

fn pull(stores: &mut [Store], from: usize, to: usize) {
    if let (Compare::Pull(pull), _) = stores[to].compare(stores[from].digest()) {
        for it in stores[from].deltas(&pull, 100) {
            // A delta that is outdated by now is ignored.
            let _ = stores[to].merge(it);
        }
    }
}

fn listed(store: &Store) -> Vec<(String, String)> {
    let live = store.documents().filter(|it| !it.removed);
    live.map(|it| (it.key.clone(), it.newest.body.clone())).collect()
}

/// Lets processes read the platform and exchange deltas in any order until all changes are
/// distributed.
fn run(seed: u64, whole: f64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform = Platform::draw(&mut rng);
    let mut stores: Vec<Store> =
        (0..PROCESSES).map(|_| Store::open(StoreKind::Instances)).collect();
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
        let stored = listed(store);
        if stored != expected {
            return Err(format!("seed {seed}: process {index} has {stored:?}, not {expected:?}"));
        }
    }
    Ok(())
}

fn check_convergence(whole: f64) {
    let failures: Vec<String> = (0..SEEDS).filter_map(|seed| run(seed, whole).err()).collect();
    assert!(failures.is_empty(), "{} of {SEEDS}, the first: {}", failures.len(), failures[0]);
}

#[test]
fn verify_watching_processes_converge_to_the_result_of_all_changes() {
    check_convergence(0.0);
}

/// Some responses are reads of the complete list, as after the platform discarded its history.
#[test]
fn verify_complete_reads_and_watches_converge() {
    check_convergence(0.3);
}

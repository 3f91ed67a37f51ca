// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What processes tell each other of the instance list, in bytes for each peer: it follows
//! from what changed for that peer, not from the length of the list.
//!
//! Seen: with 300 machines agents sent up to 1,155 kB a second and peaked at 66 MB, ten
//! times as much as with 100. How it came about: a reader read the list as a whole, as each does at its
//! start and after the history of the platform's store is gone. Cause: each line of such a
//! read counted as new, since its target had written it anew with a heartbeat, and was told to
//! every peer; whoever was behind that read got the whole list, from each reader anew, and two processes that
//! held the same lines by different revisions asked each other for all of them. Proof: these sums.

use std::collections::BTreeMap;

use sablepass_core::config::{Compare, Delta, Document, Store, Version, What, Whole};
use sablepass_core::revision::Revision;

/// Targets in the list.
const SIZES: [usize; 5] = [30, 100, 300, 1_000, 5_000];
/// Processes that read the platform, and that only hear of it.
const READERS: usize = 3;
const PEERS: usize = 9;
/// Bytes of a target's line: some address, hall, service and state.
const LINE: usize = 180;
/// Bytes that a peer may be told for one read of everything in which nothing had changed.
const CHECK: usize = 2 * 1_024;
/// Lines that come with one that changed: a part of the list is compared at a time.
const PARTS: usize = 100;

struct Platform {
    revision: u64,
    lines: BTreeMap<String, Option<Version>>,
    changes: Vec<Document>,
}

impl Platform {
    fn open(targets: usize) -> Self {
        let lines = (0..targets).map(|it| (format!("i-{it:08x}"), None)).collect();
        let mut platform = Self { revision: 0, lines, changes: Vec::new() };
        platform.beat();
        platform
    }

    fn write(&mut self, key: &str, body: Option<String>) {
        self.revision += 1;
        let newest =
            Version { revision: self.revision.into(), body: body.clone().unwrap_or_default() };
        let removed = body.is_none();
        let line = (!removed).then(|| newest.clone());
        self.lines.insert(key.to_owned(), line);
        self.changes.push(Document { key: key.to_owned(), newest, removed, accepted: None });
    }

    /// Each target writes its line anew, which says the same.
    fn beat(&mut self) {
        let keys: Vec<String> = self.lines.keys().cloned().collect();
        for key in keys {
            let body = format!("{key:<LINE$}");
            self.write(&key, Some(body));
        }
    }

    /// Some lines lapse, without an end of their targets.
    fn lapse(&mut self, count: usize) {
        let keys: Vec<String> = self.lines.keys().take(count).cloned().collect();
        keys.iter().for_each(|it| self.write(it, None));
    }

    fn watch(&self, after: Revision) -> Delta {
        let newer = self.changes.iter().filter(|it| it.newest.revision > after);
        let documents = newer.cloned().collect();
        Delta { after, revision: self.revision.into(), documents, whole: None }
    }

    fn range(&self, after: Revision) -> Delta {
        let line = |(key, it): (&String, &Option<Version>)| {
            let newest = it.clone()?;
            Some(Document { key: key.clone(), newest, removed: false, accepted: None })
        };
        let documents = self.lines.iter().filter_map(line).collect();
        let revision = self.revision.into();
        Delta { after, revision, documents, whole: Some(Whole::All(revision)) }
    }
}

struct Fleet {
    stores: Vec<Store>,
    /// Bytes that each process was told.
    told: Vec<usize>,
}

impl Fleet {
    fn open() -> Self {
        let stores = (0..READERS + PEERS).map(|_| Store::open(What::Instances)).collect();
        Self { stores, told: vec![0; READERS + PEERS] }
    }

    fn read(&mut self, reader: usize, platform: &Platform, whole: bool) {
        let store = &mut self.stores[reader];
        let after = store.revision();
        let mut delta = if whole { platform.range(after) } else { platform.watch(after) };
        store.trim(&mut delta);
        store.merge(delta).expect("what is read is not old");
    }

    fn watch(&mut self, platform: &Platform) {
        (0..READERS).for_each(|it| self.read(it, platform, false));
    }

    /// Each process hears of each other one, twice.
    fn talk(&mut self) {
        let count = self.stores.len();
        for step in 0..2 * count * count {
            let (from, to) = (step % count, step / count % count);
            self.pull(from, to);
        }
    }

    fn pull(&mut self, from: usize, to: usize) {
        let digest = self.stores[from].digest();
        let (Compare::Pull(pull), _) = self.stores[to].compare(digest) else { return };
        for it in self.stores[from].deltas(&pull, 16_384) {
            let size = |it: &Document| it.key.len() + it.newest.body.len();
            self.told[to] += it.documents.iter().map(size).sum::<usize>();
            // What it sends to ask, and the mask of the answer.
            let asked = pull.parts.as_ref().map_or(0, |it| 8 * it.hashes().len() + 16);
            self.told[to] += asked;
            // One that is old by now is ignored.
            let _ = self.stores[to].merge(it);
        }
    }

    /// What the process that was told most has been told since last asked.
    fn most(&mut self) -> usize {
        let told = std::mem::replace(&mut self.told, vec![0; READERS + PEERS]);
        told.into_iter().max().unwrap_or(0)
    }

    fn agrees(&self, platform: &Platform) {
        let line = |(key, it): (&String, &Option<Version>)| Some((key.clone(), it.clone()?.body));
        let expected: Vec<(String, String)> = platform.lines.iter().filter_map(line).collect();
        for store in &self.stores {
            let live = store.documents().filter(|it| !it.removed);
            let held: Vec<(String, String)> =
                live.map(|it| (it.key.clone(), it.newest.body.clone())).collect();
            assert!(held == expected, "{} of {}", held.len(), expected.len());
        }
    }
}

/// A fleet whose readers have read everything, one after the other, and that has talked.
fn settled(platform: &mut Platform) -> Fleet {
    let mut fleet = Fleet::open();
    for reader in 0..READERS {
        fleet.read(reader, platform, true);
        platform.beat();
    }
    fleet.watch(platform);
    fleet.talk();
    fleet.agrees(platform);
    fleet
}

fn list(targets: usize) -> usize {
    targets * (LINE + 10)
}

#[test]
fn verify_a_start_tells_the_list_once() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        let told = settled(&mut platform).most();
        let most = list(targets) + READERS * CHECK;
        assert!(told <= most, "{targets} targets: {told} bytes, {most} are allowed");
    }
}

#[test]
fn verify_a_read_of_everything_tells_nothing_that_is_known() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        let mut fleet = settled(&mut platform);
        fleet.most();
        for round in 0..6 {
            platform.beat();
            fleet.read(round % READERS, &platform, true);
            fleet.talk();
            platform.beat();
            fleet.watch(&platform);
            fleet.talk();
            let told = fleet.most();
            assert!(told <= 2 * CHECK, "{targets} targets, round {round}: {told} bytes");
            fleet.agrees(&platform);
        }
    }
}

/// What is compared may differ by nothing but what is gone.
#[test]
fn verify_what_is_gone_is_a_change() {
    let mut platform = Platform::open(30);
    let mut fleet = settled(&mut platform);
    platform.lapse(1);
    fleet.read(0, &platform, true);
    let (Compare::Pull(pull), _) = fleet.stores[READERS].compare(fleet.stores[0].digest()) else {
        panic!("it is behind");
    };
    let deltas = fleet.stores[0].deltas(&pull, 16_384);
    let delta = deltas.first().expect("an answer").clone();
    assert_eq!(fleet.stores[READERS].merge(delta.clone()), Ok(true));
    let again = Delta { after: Revision::default(), ..delta };
    assert!(fleet.stores[READERS].merge(again).is_err(), "it is of a list held before");
    fleet.talk();
    fleet.agrees(&platform);
}

/// An outage in which some entries lapse and its history is lost.
#[test]
fn verify_an_outage_tells_what_lapsed_and_came_back() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        let mut fleet = settled(&mut platform);
        fleet.most();
        let lapsed = 3;
        platform.lapse(lapsed);
        (0..READERS).for_each(|it| fleet.read(it, &platform, true));
        fleet.talk();
        fleet.agrees(&platform);
        platform.beat();
        fleet.watch(&platform);
        fleet.talk();
        fleet.agrees(&platform);
        let told = fleet.most();
        // Gone and back, with what is compared along with each of them.
        let lines = 2 * lapsed * (targets / PARTS + 2);
        let most = lines * (LINE + 10) + 4 * CHECK;
        assert!(told <= most, "{targets} targets: {told} bytes, {most} are allowed");
    }
}

/// All processes start anew, and hold nothing.
#[test]
fn verify_a_restart_of_all_tells_the_list_once() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        settled(&mut platform);
        platform.beat();
        let told = settled(&mut platform).most();
        let most = list(targets) + READERS * CHECK;
        assert!(told <= most, "{targets} targets: {told} bytes, {most} are allowed");
    }
}

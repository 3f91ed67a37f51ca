// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Bytes of the instance list that processes send to each other: they follow from the changes for
//! each peer, not from the length of the list.
//!
//! Guards against sending the whole list after a complete read, as each reader makes at its start
//! and after the platform discarded its history. Each line of such a read counted as new, because
//! its target had rewritten it with a heartbeat, and was sent to every peer; a peer behind the read
//! got the whole list from each reader, and two processes with the same lines at different
//! revisions requested all of them from each other. With 300 machines agents sent up to 1,155 kB/s
//! and used 66 MB, ten times as much as with 100.

use std::collections::BTreeMap;

use sablepass_core::config::{Compare, Coverage, Delta, Document, Store, StoreKind, Version};
use sablepass_core::revision::Revision;

/// Numbers of targets in the list.
const SIZES: [usize; 5] = [30, 100, 300, 1_000, 5_000];
/// Number of processes that read the platform, and of those that receive the list from peers only.
const READERS: usize = 3;
const PEERS: usize = 9;
/// Bytes of a target's line: typical address, hall, service and state.
const LINE_BYTES: usize = 180;
/// Bytes that a peer may receive for a complete read without any change.
const CHECK_BYTES: usize = 2 * 1_024;
/// Lower bound on the number of parts of the list; the lines of a part are sent together.
const MIN_PARTS: usize = 100;

struct Platform {
    revision: u64,
    lines: BTreeMap<String, Option<Version>>,
    changes: Vec<Document>,
}

impl Platform {
    fn open(targets: usize) -> Self {
        let lines = (0..targets).map(|it| (format!("i-{it:08x}"), None)).collect();
        let mut platform = Self { revision: 0, lines, changes: Vec::new() };
        platform.rewrite_all();
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

    /// Every target rewrites its line with the same content.
    fn rewrite_all(&mut self) {
        let keys: Vec<String> = self.lines.keys().cloned().collect();
        for key in keys {
            let body = format!("{key:<LINE_BYTES$}");
            self.write(&key, Some(body));
        }
    }

    /// Some lines expire although their targets are live.
    fn expire(&mut self, count: usize) {
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
        Delta { after, revision, documents, whole: Some(Coverage::All(revision)) }
    }
}

struct Fleet {
    stores: Vec<Store>,
    /// Bytes received by each process.
    received: Vec<usize>,
}

impl Fleet {
    fn open() -> Self {
        let stores = (0..READERS + PEERS).map(|_| Store::open(StoreKind::Instances)).collect();
        Self { stores, received: vec![0; READERS + PEERS] }
    }

    fn read(&mut self, reader: usize, platform: &Platform, whole: bool) {
        let store = &mut self.stores[reader];
        let after = store.revision();
        let mut delta = if whole { platform.range(after) } else { platform.watch(after) };
        store.trim(&mut delta);
        store.merge(delta).expect("a fresh read is not outdated");
    }

    fn watch(&mut self, platform: &Platform) {
        (0..READERS).for_each(|it| self.read(it, platform, false));
    }

    /// Every process compares with every other one, twice.
    fn exchange(&mut self) {
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
            self.received[to] += it.documents.iter().map(size).sum::<usize>();
            // The size of its pull, and of the mask in the answer.
            let requested = pull.parts.as_ref().map_or(0, |it| 8 * it.hashes().len() + 16);
            self.received[to] += requested;
            // A delta that is outdated by now is ignored.
            let _ = self.stores[to].merge(it);
        }
    }

    /// Returns the most bytes that any process received since the last call.
    fn max_received(&mut self) -> usize {
        let received = std::mem::replace(&mut self.received, vec![0; READERS + PEERS]);
        received.into_iter().max().unwrap_or(0)
    }

    fn check_converged(&self, platform: &Platform) {
        let line = |(key, it): (&String, &Option<Version>)| Some((key.clone(), it.clone()?.body));
        let expected: Vec<(String, String)> = platform.lines.iter().filter_map(line).collect();
        for store in &self.stores {
            let live = store.documents().filter(|it| !it.removed);
            let stored: Vec<(String, String)> =
                live.map(|it| (it.key.clone(), it.newest.body.clone())).collect();
            assert!(stored == expected, "{} of {}", stored.len(), expected.len());
        }
    }
}

/// A fleet whose readers have read the complete list one after the other, and whose processes have
/// exchanged it.
fn settled(platform: &mut Platform) -> Fleet {
    let mut fleet = Fleet::open();
    for reader in 0..READERS {
        fleet.read(reader, platform, true);
        platform.rewrite_all();
    }
    fleet.watch(platform);
    fleet.exchange();
    fleet.check_converged(platform);
    fleet
}

fn list(targets: usize) -> usize {
    targets * (LINE_BYTES + 10)
}

#[test]
fn verify_a_start_sends_the_list_once() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        let received = settled(&mut platform).max_received();
        let max = list(targets) + READERS * CHECK_BYTES;
        assert!(received <= max, "{targets} targets: {received} bytes, {max} are allowed");
    }
}

#[test]
fn verify_a_complete_read_without_changes_sends_no_lines() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        let mut fleet = settled(&mut platform);
        fleet.max_received();
        for round in 0..6 {
            platform.rewrite_all();
            fleet.read(round % READERS, &platform, true);
            fleet.exchange();
            platform.rewrite_all();
            fleet.watch(&platform);
            fleet.exchange();
            let received = fleet.max_received();
            assert!(
                received <= 2 * CHECK_BYTES,
                "{targets} targets, round {round}: {received} bytes"
            );
            fleet.check_converged(&platform);
        }
    }
}

/// A comparison in which the only difference is a removal.
#[test]
fn verify_a_removal_is_a_change() {
    let mut platform = Platform::open(30);
    let mut fleet = settled(&mut platform);
    platform.expire(1);
    fleet.read(0, &platform, true);
    let (Compare::Pull(pull), _) = fleet.stores[READERS].compare(fleet.stores[0].digest()) else {
        panic!("the peer is not behind");
    };
    let deltas = fleet.stores[0].deltas(&pull, 16_384);
    let delta = deltas.first().expect("an answer").clone();
    assert_eq!(fleet.stores[READERS].merge(delta.clone()), Ok(true));
    let again = Delta { after: Revision::default(), ..delta };
    assert!(fleet.stores[READERS].merge(again).is_err(), "the delta is for an earlier list");
    fleet.exchange();
    fleet.check_converged(&platform);
}

/// An outage in which some entries expire and the platform's history is lost.
#[test]
fn verify_an_outage_sends_only_expired_and_returned_lines() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        let mut fleet = settled(&mut platform);
        fleet.max_received();
        let expired = 3;
        platform.expire(expired);
        (0..READERS).for_each(|it| fleet.read(it, &platform, true));
        fleet.exchange();
        fleet.check_converged(&platform);
        platform.rewrite_all();
        fleet.watch(&platform);
        fleet.exchange();
        fleet.check_converged(&platform);
        let received = fleet.max_received();
        // The removal and the return, each with the other lines of its part.
        let lines = 2 * expired * (targets / MIN_PARTS + 2);
        let max = lines * (LINE_BYTES + 10) + 4 * CHECK_BYTES;
        assert!(received <= max, "{targets} targets: {received} bytes, {max} are allowed");
    }
}

/// All processes restart with empty stores.
#[test]
fn verify_a_restart_of_all_sends_the_list_once() {
    for targets in SIZES {
        let mut platform = Platform::open(targets);
        settled(&mut platform);
        platform.rewrite_all();
        let received = settled(&mut platform).max_received();
        let max = list(targets) + READERS * CHECK_BYTES;
        assert!(received <= max, "{targets} targets: {received} bytes, {max} are allowed");
    }
}

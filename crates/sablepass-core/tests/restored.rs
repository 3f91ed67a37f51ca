// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stores of documents and instances of a service that is restored from backups and assigns its
//! revisions again, while processes read it, exchange deltas, lose or delay messages, and restart.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::config::verdict::Check;
use sablepass_core::config::{
    Compare, Coverage, Delta, Digest, Document, Pull, Store, StoreKind, Version,
};
use sablepass_core::declaration::{self, Declarations};
use sablepass_core::revision::Revision;

const PROCESSES: usize = 4;
const STEPS: usize = 80;
const SEEDS: u64 = 3_000;
const KEY: &str = "p/a";
/// Size limit of a delta in bytes.
const DELTA_BYTES: usize = 200;

/// The part of the rule that is left out of messages or of the comparison of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Digests, pulls, deltas or reads carry no era.
    Digest,
    Pull,
    Delta,
    Read,
    /// Documents are ordered by revision only, without the operator's version number.
    Number,
    /// Processes do not exchange removals.
    Removals,
}

const MUTATIONS: [Mutation; 5] =
    [Mutation::Digest, Mutation::Pull, Mutation::Delta, Mutation::Read, Mutation::Number];

/// The platform's service, as its operator writes to it.
#[derive(Clone)]
struct Platform {
    era: u64,
    number: u64,
    items: BTreeMap<String, Document>,
    history: Vec<Document>,
}

impl Platform {
    fn open() -> Self {
        Self { era: 1, number: 100, items: BTreeMap::new(), history: Vec::new() }
    }

    fn write(&mut self, key: &str, body: Option<String>) {
        self.number += 1;
        let revision = Revision::new(self.era, self.number);
        let removed = body.is_none();
        let newest = Version { revision, body: body.unwrap_or_default() };
        let document = Document { key: key.to_owned(), newest, removed, accepted: None };
        self.history.push(document.clone());
        if removed {
            self.items.remove(key);
        } else {
            self.items.insert(key.to_owned(), document);
        }
    }

    fn restore(&mut self, backup: &Self) {
        let era = self.era + 1;
        *self = backup.clone();
        self.era = era;
        let all = self.items.values_mut().chain(&mut self.history);
        all.for_each(|it| it.newest.revision.era = era);
    }

    fn range(&self, after: Revision) -> Delta {
        let revision = Revision::new(self.era, self.number);
        let documents = self.items.values().cloned().collect();
        let whole = Some(Coverage::All(revision));
        Delta { after: after.min(revision), revision, documents, whole }
    }

    fn watch(&self, after: Revision) -> Delta {
        let newer = |it: &&Document| it.newest.revision > after;
        let documents = self.history.iter().filter(newer).cloned().collect();
        Delta { after, revision: Revision::new(self.era, self.number), documents, whole: None }
    }
}

fn without_era(it: Revision) -> Revision {
    Revision { era: 1, ..it }
}

fn delta_without_era(mut it: Delta) -> Delta {
    it.after = without_era(it.after);
    it.revision = without_era(it.revision);
    for document in &mut it.documents {
        document.newest.revision = without_era(document.newest.revision);
    }
    it.whole = it.whole.map(|whole| match whole {
        Coverage::All(since) => Coverage::All(without_era(since)),
        parts @ Coverage::Parts(..) => parts,
    });
    it
}

/// A process: its store, and whether its next read is a complete one.
struct Process {
    store: Store,
    read_all: bool,
    /// The highest version that was in force since its start.
    version: u64,
}

/// Validates a document and drops the operator's version number.
fn unnumbered(key: &str, body: &str) -> declaration::Result<Declarations> {
    let it = declaration::check(key, body)?;
    Ok(Declarations { version: None, ..it })
}

struct Fleet {
    mutation: Mutation,
    what: StoreKind,
    processes: Vec<Process>,
    /// Bytes of documents and lines sent between processes.
    sent_bytes: usize,
}

impl Fleet {
    fn open(what: StoreKind, mutation: Mutation) -> Self {
        let processes = (0..PROCESSES).map(|_| Self::start(what, mutation)).collect();
        Self { mutation, what, processes, sent_bytes: 0 }
    }

    fn start(what: StoreKind, mutation: Mutation) -> Process {
        let check: Check =
            if mutation == Mutation::Number { unnumbered } else { declaration::check };
        Process { store: Store::open_with(what, check), read_all: true, version: 0 }
    }

    fn restart(&mut self, at: usize) {
        self.processes[at] = Self::start(self.what, self.mutation);
    }

    /// Response to a read of a process; `None` if the process only learns that it has to read
    /// everything.
    fn read(&mut self, at: usize, platform: &Platform) -> Option<Delta> {
        let process = &mut self.processes[at];
        let after = process.store.revision();
        let with_era = self.mutation != Mutation::Read;
        if process.read_all {
            let delta = platform.range(after);
            return Some(if with_era { delta } else { delta_without_era(delta) });
        }
        let behind = with_era && platform.era != after.era;
        if behind || after.number > platform.number {
            process.read_all = platform.era >= after.era || !with_era;
            return None;
        }
        let seen = Revision::new(platform.era, after.number);
        let delta = platform.watch(seen);
        Some(if with_era { delta } else { delta_without_era(delta) })
    }

    fn merge(&mut self, at: usize, mut delta: Delta) {
        let process = &mut self.processes[at];
        process.read_all &= delta.whole.is_none() || delta.revision < process.store.revision();
        process.store.trim(&mut delta);
        // A delta that is outdated, or that starts after the store's revision, is ignored.
        let _ = process.store.merge(delta);
    }

    /// The deltas with which one process answers another's pull.
    fn pull(&mut self, from: usize, to: usize) -> Vec<Delta> {
        let first_read = self.processes[from].store.first_read();
        self.processes[to].store.observe_first_read(first_read);
        let mut digest: Digest = self.processes[from].store.digest();
        if self.mutation == Mutation::Digest {
            digest.revision = without_era(digest.revision);
            digest.since = without_era(digest.since);
        }
        let (Compare::Pull(mut pull), _) = self.processes[to].store.compare(digest) else {
            return Vec::new();
        };
        if self.mutation == Mutation::Pull {
            pull = Pull { after: without_era(pull.after), ..pull };
        }
        let mut deltas = self.processes[from].store.deltas(&pull, DELTA_BYTES);
        if self.mutation == Mutation::Delta {
            deltas = deltas.into_iter().map(delta_without_era).collect();
        }
        let size = |it: &Document| it.key.len() + it.newest.body.len();
        self.sent_bytes += deltas.iter().flat_map(|it| &it.documents).map(size).sum::<usize>();
        deltas
    }

    /// Lets some processes read, and all exchange deltas and removals until nothing is new.
    fn settle(&mut self, readers: usize, platform: &Platform) {
        for _ in 0..3 {
            for at in 0..readers {
                if let Some(delta) = self.read(at, platform) {
                    self.merge(at, delta);
                }
            }
        }
        for _ in 0..4 {
            for pair in 0..PROCESSES * PROCESSES {
                let (from, to) = (pair / PROCESSES, pair % PROCESSES);
                for delta in self.pull(from, to) {
                    self.merge(to, delta);
                }
            }
            (0..PROCESSES).for_each(|it| self.send_removals(it));
        }
    }

    /// Sends all removals that a process knows to all others.
    fn send_removals(&mut self, from: usize) {
        if self.mutation == Mutation::Removals {
            return;
        }
        let sender = &self.processes[from].store;
        let first_read = sender.first_read();
        let removals: Vec<(String, Revision)> =
            sender.removals().map(|(key, at)| (key.to_owned(), at)).collect();
        for to in &mut self.processes {
            to.store.observe_first_read(first_read);
            for (key, at) in &removals {
                to.store.take_removal(key, *at);
            }
        }
    }
}

fn body(version: u64) -> String {
    format!(
        "version = {version}\n[[customer]]\nname = \"c{version}\"\nkey = \"p:key-of-{version}\"\nshare = 1\n"
    )
}

fn in_force(store: &Store) -> u64 {
    let force = store.verdicts().get(KEY).and_then(|it| it.force.as_ref());
    force.map_or(0, |(_, it)| it.customer[0].name[1..].parse().expect("its version"))
}

/// Writes to the service and restores it, while processes read, exchange deltas and restart.
fn run(seed: u64, mutation: Mutation) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = Platform::open();
    let mut fleet = Fleet::open(StoreKind::Declarations, mutation);
    let mut backups = vec![platform.clone()];
    let mut in_flight: Vec<(usize, Delta)> = Vec::new();
    let mut version = 0;
    for step in 0..STEPS {
        let (a, b) = (rng.random_range(0..PROCESSES), rng.random_range(0..PROCESSES));
        match rng.random_range(0..20) {
            0..3 => {
                version += rng.random_range(1..3);
                platform.write(KEY, Some(body(version)));
            }
            // The operator writes the last content again.
            3 if version > 0 => platform.write(KEY, Some(body(version))),
            4 => platform.write(&format!("p/other-{a}"), Some("[[customer]]\n".to_owned())),
            5 => backups.push(platform.clone()),
            6 => platform.restore(
                &backups[rng.random_range(backups.len().saturating_sub(3)..backups.len())],
            ),
            7 => fleet.restart(a),
            8..13 => {
                if let Some(delta) = fleet.read(a, &platform) {
                    in_flight.push((a, delta));
                }
            }
            _ => in_flight.extend(fleet.pull(a, b).into_iter().map(|it| (b, it))),
        }
        while !in_flight.is_empty() && rng.random_bool(0.7) {
            let (at, delta) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
            if rng.random_bool(0.9) {
                fleet.merge(at, delta);
            }
        }
        for (at, it) in fleet.processes.iter_mut().enumerate() {
            let now = in_force(&it.store);
            if now < it.version {
                return Err(format!(
                    "seed {seed}, step {step}: process {at} went from {} to {now}",
                    it.version
                ));
            }
            it.version = now;
        }
    }
    version += 1;
    platform.write(KEY, Some(body(version)));
    fleet.settle(1, &platform);
    for (at, it) in fleet.processes.iter().enumerate() {
        let (now, hash) = (in_force(&it.store), it.store.digest().hash);
        if now != version || hash != fleet.processes[0].store.digest().hash {
            return Err(format!("seed {seed}: process {at} ends with {now}, not {version}"));
        }
    }
    Ok(())
}

fn collect_failures(mutation: Mutation) -> Vec<String> {
    (0..SEEDS).filter_map(|seed| run(seed, mutation).err()).collect()
}

/// A restored service lists earlier versions, at revision numbers that were assigned to others.
#[test]
fn verify_versions_never_decrease_and_all_processes_reach_the_newest() {
    let failures = collect_failures(Mutation::None);
    assert!(failures.is_empty(), "{} of {SEEDS}, the first: {}", failures.len(), failures[0]);
}

/// Without any one part of the rule some seed fails.
#[test]
fn verify_each_part_of_the_rule_is_needed() {
    for mutation in MUTATIONS {
        let failures = collect_failures(mutation);
        assert!(!failures.is_empty(), "{mutation:?} is not detected");
        println!("{mutation:?}: {} of {SEEDS}, the first: {}", failures.len(), failures[0]);
    }
}

fn listed(store: &Store) -> Vec<String> {
    store.documents().filter(|it| !it.removed).map(|it| it.key.clone()).collect()
}

/// Starts instances that write their lines and leave, and restores the service.
fn run_list(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = Platform::open();
    let mut fleet = Fleet::open(StoreKind::Instances, Mutation::None);
    let mut backups = vec![platform.clone()];
    let mut live: Vec<String> = Vec::new();
    for step in 0..STEPS {
        let (a, b) = (rng.random_range(0..PROCESSES), rng.random_range(0..PROCESSES));
        match rng.random_range(0..20) {
            0..3 => {
                live.push(format!("i-{step}"));
                platform.write(&format!("i-{step}"), Some("ready".to_owned()));
            }
            3 if !live.is_empty() => {
                let removed_key = live.swap_remove(rng.random_range(0..live.len()));
                platform.write(&removed_key, None);
            }
            4..6 => live.iter().for_each(|it| platform.write(it, Some("ready".to_owned()))),
            6 => backups.push(platform.clone()),
            7 => platform.restore(
                &backups[rng.random_range(backups.len().saturating_sub(3)..backups.len())],
            ),
            8 => fleet.restart(a),
            9..14 => {
                if let Some(delta) = fleet.read(a, &platform) {
                    fleet.merge(a, delta);
                }
            }
            _ => {
                for delta in fleet.pull(a, b) {
                    fleet.merge(b, delta);
                }
            }
        }
        fleet.send_removals(a);
    }
    // Live instances write their lines again, and those of others expire.
    live.iter().for_each(|it| platform.write(it, Some("ready".to_owned())));
    let expired: Vec<String> =
        platform.items.keys().filter(|it| !live.contains(it)).cloned().collect();
    expired.iter().for_each(|it| platform.write(it, None));
    fleet.settle(2, &platform);
    live.sort();
    for (at, it) in fleet.processes.iter().enumerate() {
        let stored = listed(&it.store);
        if stored != live {
            return Err(format!("seed {seed}: process {at} lists {stored:?}, not {live:?}"));
        }
    }
    Ok(())
}

#[test]
fn verify_all_processes_converge_to_the_live_instances() {
    let failures: Vec<String> = (0..SEEDS).filter_map(|seed| run_list(seed).err()).collect();
    assert!(failures.is_empty(), "{} of {SEEDS}, the first: {}", failures.len(), failures[0]);
}

/// A fleet whose processes have the list of some instances.
fn fleet_with_list(platform: &mut Platform, instances: usize) -> Fleet {
    for it in 0..instances {
        platform.write(&format!("i-{it:04}"), Some(format!("{it:<180}")));
    }
    let mut fleet = Fleet::open(StoreKind::Instances, Mutation::None);
    fleet.settle(2, platform);
    assert!(fleet.processes.iter().all(|it| listed(&it.store).len() == instances));
    fleet
}

/// A removed instance is listed again by an earlier backup. It is accepted only when it turns out
/// to be live, as after an outage in which its line expired.
#[test]
fn verify_a_restore_does_not_list_a_removed_instance_again() {
    let mut platform = Platform::open();
    let mut fleet = fleet_with_list(&mut platform, 3);
    let backup = platform.clone();
    platform.write("i-0001", None);
    fleet.settle(2, &platform);
    let lists =
        |fleet: &Fleet| fleet.processes.iter().filter(|it| listed(&it.store).len() == 3).count();
    for _ in 0..3 {
        platform.restore(&backup);
        fleet.settle(2, &platform);
        assert_eq!(lists(&fleet), 0, "some processes list the removed instance");
        // A complete read, as after the platform discarded its history.
        fleet.processes[0].read_all = true;
        fleet.settle(2, &platform);
        assert_eq!(lists(&fleet), 0, "some processes list the removed instance");
    }
    // Lines written by other instances do not change that.
    platform.write("i-0000", Some(format!("{:<180}", 0)));
    fleet.settle(2, &platform);
    assert_eq!(lists(&fleet), 0, "some processes list the removed instance");
    platform.write("i-0001", Some(format!("{:<180}", 1)));
    fleet.settle(2, &platform);
    assert_eq!(lists(&fleet), PROCESSES, "some processes do not list the returned instance");
}

/// Number of processes that list an instance which left before the service was restored, if some
/// processes did not see it leave because they restarted or received nothing until then.
fn count_listing_removed(seed: u64, mutation: Mutation) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = Platform::open();
    let mut fleet = fleet_with_list(&mut platform, 3);
    fleet.mutation = mutation;
    let backup = platform.clone();
    platform.write("i-0001", None);
    // At least one process sees the instance leave, and at least one does not.
    let aware = rng.random_range(1..PROCESSES);
    for at in 0..aware {
        let delta = fleet.read(at, &platform).expect("changes");
        fleet.merge(at, delta);
    }
    if rng.random_bool(0.5) {
        fleet.restart(PROCESSES - 1);
    }
    platform.restore(&backup);
    let mut version = 0;
    for at in (0..rng.random_range(0..6)).chain(0..PROCESSES).chain(0..PROCESSES) {
        // No two processes read at the same revision.
        version += 1;
        platform.write("i-0000", Some(format!("{version:<180}")));
        let at = at % PROCESSES;
        if let Some(delta) = fleet.read(at, &platform) {
            fleet.merge(at, delta);
        }
        let (from, to) = (rng.random_range(0..PROCESSES), rng.random_range(0..PROCESSES));
        for delta in fleet.pull(from, to) {
            fleet.merge(to, delta);
        }
        fleet.send_removals(at);
    }
    let lists = |it: &&Process| listed(&it.store).contains(&"i-0001".to_owned());
    fleet.processes.iter().filter(lists).count()
}

#[test]
fn verify_processes_that_missed_a_removal_receive_it() {
    let failures: Vec<u64> =
        (0..SEEDS).filter(|seed| count_listing_removed(*seed, Mutation::None) > 0).collect();
    assert!(
        failures.is_empty(),
        "{} of {SEEDS}, the first: {:?}",
        failures.len(),
        failures.first()
    );
    let unsent = (0..SEEDS).filter(|it| count_listing_removed(*it, Mutation::Removals) > 0).count();
    assert!(unsent > 0, "the exchange of removals is not needed");
    println!("without the exchange of removals: {unsent} of {SEEDS}");
}

/// A process that was suspended during a restore remembers a removal that the others have dropped,
/// since the instance has written its line again.
#[test]
fn verify_an_old_removal_does_not_remove_a_returned_instance() {
    let mut platform = Platform::open();
    let mut fleet = fleet_with_list(&mut platform, 3);
    let backup = platform.clone();
    platform.write("i-0001", None);
    fleet.settle(PROCESSES, &platform);
    platform.restore(&backup);
    let suspended = PROCESSES - 1;
    for round in 0..3 {
        for at in 0..suspended {
            if let Some(delta) = fleet.read(at, &platform) {
                fleet.merge(at, delta);
            }
        }
        if round == 1 {
            platform.write("i-0001", Some(format!("{:<180}", 1)));
        }
    }
    let lists = |fleet: &Fleet, at: usize| listed(&fleet.processes[at].store).len() == 3;
    assert!((0..suspended).all(|at| lists(&fleet, at)), "the instance is listed again");
    while !fleet.processes[suspended].read_all {
        fleet.read(suspended, &platform);
    }
    let delta = fleet.read(suspended, &platform).expect("a complete read");
    fleet.merge(suspended, delta);
    fleet.send_removals(suspended);
    assert!((0..suspended).all(|at| lists(&fleet, at)), "an old removal removed it");
    fleet.settle(0, &platform);
    assert!(lists(&fleet, suspended), "the suspended process does not list the instance");
}

/// The bytes sent after a restore grow neither with the list nor with the number of restores.
#[test]
fn verify_a_restore_without_changes_sends_no_lines() {
    for instances in [30, 300, 5_000] {
        let mut platform = Platform::open();
        let mut fleet = fleet_with_list(&mut platform, instances);
        fleet.sent_bytes = 0;
        for round in 0..4 {
            let backup = platform.clone();
            platform.restore(&backup);
            fleet.settle(2, &platform);
            assert_eq!(fleet.sent_bytes, 0, "{instances} instances, restore {round}");
        }
    }
}

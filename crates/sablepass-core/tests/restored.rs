// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Processes that hold documents and instances of a service which is restored from copies
//! and gives its revisions out again, while they read it, tell each other, miss messages,
//! get them late and start anew.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::config::verdict::Check;
use sablepass_core::config::{Compare, Delta, Digest, Document, Pull, Store, Version, What, Whole};
use sablepass_core::declaration::{self, Declarations};
use sablepass_core::revision::Revision;

const PROCESSES: usize = 4;
const STEPS: usize = 80;
const SEEDS: u64 = 3_000;
const KEY: &str = "p/a";
/// Bytes of documents in one delta.
const DELTA: usize = 200;

/// What is left out of a message or of the comparison of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Digests, pulls, deltas or reads do not say of which era they are.
    Digest,
    Pull,
    Delta,
    Read,
    /// Documents are ordered by revision alone.
    Number,
    /// Processes do not tell each other of removals.
    Removals,
}

const MUTATIONS: [Mutation; 5] =
    [Mutation::Digest, Mutation::Pull, Mutation::Delta, Mutation::Read, Mutation::Number];

/// The service, with its operator.
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

    fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
        let all = self.items.values_mut().chain(&mut self.history);
        all.for_each(|it| it.newest.revision.era = era);
    }

    fn range(&self, after: Revision) -> Delta {
        let revision = Revision::new(self.era, self.number);
        let documents = self.items.values().cloned().collect();
        let whole = Some(Whole::All(revision));
        Delta { after: after.min(revision), revision, documents, whole }
    }

    fn watch(&self, after: Revision) -> Delta {
        let newer = |it: &&Document| it.newest.revision > after;
        let documents = self.history.iter().filter(newer).cloned().collect();
        Delta { after, revision: Revision::new(self.era, self.number), documents, whole: None }
    }
}

fn plain(it: Revision) -> Revision {
    Revision { era: 1, ..it }
}

fn plain_delta(mut it: Delta) -> Delta {
    it.after = plain(it.after);
    it.revision = plain(it.revision);
    for document in &mut it.documents {
        document.newest.revision = plain(document.newest.revision);
    }
    it.whole = it.whole.map(|whole| match whole {
        Whole::All(since) => Whole::All(plain(since)),
        parts @ Whole::Parts(..) => parts,
    });
    it
}

/// A process: what it holds, and whether it reads all at its next read.
struct Process {
    store: Store,
    whole: bool,
    /// The highest version that was in force in this life.
    version: u64,
}

/// Documents without the number that their operator gave them.
fn unnumbered(key: &str, body: &str) -> declaration::Result<Declarations> {
    let it = declaration::check(key, body)?;
    Ok(Declarations { version: None, ..it })
}

struct Fleet {
    mutation: Mutation,
    what: What,
    processes: Vec<Process>,
    /// Bytes of documents and lines told between processes.
    told: usize,
}

impl Fleet {
    fn open(what: What, mutation: Mutation) -> Self {
        let processes = (0..PROCESSES).map(|_| Self::start(what, mutation)).collect();
        Self { mutation, what, processes, told: 0 }
    }

    fn start(what: What, mutation: Mutation) -> Process {
        let check: Check =
            if mutation == Mutation::Number { unnumbered } else { declaration::check };
        Process { store: Store::open_with(what, check), whole: true, version: 0 }
    }

    fn restart(&mut self, at: usize) {
        self.processes[at] = Self::start(self.what, self.mutation);
    }

    /// What a read of a process gives; none if it only learns that it has to read all.
    fn answer(&mut self, at: usize, platform: &Platform) -> Option<Delta> {
        let process = &mut self.processes[at];
        let after = process.store.revision();
        let named = self.mutation != Mutation::Read;
        if process.whole {
            let delta = platform.range(after);
            return Some(if named { delta } else { plain_delta(delta) });
        }
        let behind = named && platform.era != after.era;
        if behind || after.number > platform.number {
            process.whole = platform.era >= after.era || !named;
            return None;
        }
        let seen = Revision::new(platform.era, after.number);
        let delta = platform.watch(seen);
        Some(if named { delta } else { plain_delta(delta) })
    }

    fn take(&mut self, at: usize, mut delta: Delta) {
        let process = &mut self.processes[at];
        process.whole &= delta.whole.is_none() || delta.revision < process.store.revision();
        process.store.trim(&mut delta);
        // What is old or starts too late is ignored.
        let _ = process.store.merge(delta);
    }

    /// The deltas by which one process answers another.
    fn pull(&mut self, from: usize, to: usize) -> Vec<Delta> {
        let began = self.processes[from].store.beginning();
        self.processes[to].store.hear_beginning(began);
        let mut digest: Digest = self.processes[from].store.digest();
        if self.mutation == Mutation::Digest {
            digest.revision = plain(digest.revision);
            digest.since = plain(digest.since);
        }
        let (Compare::Pull(mut pull), _) = self.processes[to].store.compare(digest) else {
            return Vec::new();
        };
        if self.mutation == Mutation::Pull {
            pull = Pull { after: plain(pull.after), ..pull };
        }
        let mut deltas = self.processes[from].store.deltas(&pull, DELTA);
        if self.mutation == Mutation::Delta {
            deltas = deltas.into_iter().map(plain_delta).collect();
        }
        let size = |it: &Document| it.key.len() + it.newest.body.len();
        self.told += deltas.iter().flat_map(|it| &it.documents).map(size).sum::<usize>();
        deltas
    }

    /// Some processes read, and all tell each other until nothing is new.
    fn settle(&mut self, readers: usize, platform: &Platform) {
        for _ in 0..3 {
            for at in 0..readers {
                if let Some(delta) = self.answer(at, platform) {
                    self.take(at, delta);
                }
            }
        }
        for _ in 0..4 {
            for pair in 0..PROCESSES * PROCESSES {
                let (from, to) = (pair / PROCESSES, pair % PROCESSES);
                for delta in self.pull(from, to) {
                    self.take(to, delta);
                }
            }
            (0..PROCESSES).for_each(|it| self.tell_removals(it));
        }
    }

    /// Has a process tell all others what it knows of removals.
    fn tell_removals(&mut self, from: usize) {
        if self.mutation == Mutation::Removals {
            return;
        }
        let teller = &self.processes[from].store;
        let began = teller.beginning();
        let told: Vec<(String, Revision)> =
            teller.removals().map(|(key, at)| (key.to_owned(), at)).collect();
        for to in &mut self.processes {
            to.store.hear_beginning(began);
            for (key, at) in &told {
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

/// Has the service be written to and restored, and processes read, meet and start anew.
fn play(seed: u64, mutation: Mutation) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = Platform::open();
    let mut fleet = Fleet::open(What::Declarations, mutation);
    let mut copies = vec![platform.clone()];
    let mut late: Vec<(usize, Delta)> = Vec::new();
    let mut version = 0;
    for step in 0..STEPS {
        let (a, b) = (rng.random_range(0..PROCESSES), rng.random_range(0..PROCESSES));
        match rng.random_range(0..20) {
            0..3 => {
                version += rng.random_range(1..3);
                platform.write(KEY, Some(body(version)));
            }
            // The operator writes again what it wrote last.
            3 if version > 0 => platform.write(KEY, Some(body(version))),
            4 => platform.write(&format!("p/other-{a}"), Some("[[customer]]\n".to_owned())),
            5 => copies.push(platform.clone()),
            6 => platform
                .restore(&copies[rng.random_range(copies.len().saturating_sub(3)..copies.len())]),
            7 => fleet.restart(a),
            8..13 => {
                if let Some(delta) = fleet.answer(a, &platform) {
                    late.push((a, delta));
                }
            }
            _ => late.extend(fleet.pull(a, b).into_iter().map(|it| (b, it))),
        }
        while !late.is_empty() && rng.random_bool(0.7) {
            let (at, delta) = late.swap_remove(rng.random_range(0..late.len()));
            if rng.random_bool(0.9) {
                fleet.take(at, delta);
            }
        }
        for (at, it) in fleet.processes.iter_mut().enumerate() {
            let now = in_force(&it.store);
            if now < it.version {
                return Err(format!(
                    "seed {seed}, step {step}: {at} went from {} to {now}",
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
            return Err(format!("seed {seed}: {at} has {now} in the end, not {version}"));
        }
    }
    Ok(())
}

fn failures(mutation: Mutation) -> Vec<String> {
    (0..SEEDS).filter_map(|seed| play(seed, mutation).err()).collect()
}

/// A service that was restored lists earlier versions, at numbers that were given to others.
#[test]
fn verify_no_process_goes_back_and_all_reach_the_newest_version() {
    let wrong = failures(Mutation::None);
    assert!(wrong.is_empty(), "{} of {SEEDS}, the first: {}", wrong.len(), wrong[0]);
}

/// Each part of the rule is needed: without it some seed fails.
#[test]
fn verify_each_part_of_the_rule_is_needed() {
    for mutation in MUTATIONS {
        let wrong = failures(mutation);
        assert!(!wrong.is_empty(), "{mutation:?} is not caught");
        println!("{mutation:?}: {} of {SEEDS}, the first: {}", wrong.len(), wrong[0]);
    }
}

fn listed(store: &Store) -> Vec<String> {
    store.documents().filter(|it| !it.removed).map(|it| it.key.clone()).collect()
}

/// Has instances start, write their lines and leave, and the service be restored.
fn play_list(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = Platform::open();
    let mut fleet = Fleet::open(What::Instances, Mutation::None);
    let mut copies = vec![platform.clone()];
    let mut live: Vec<String> = Vec::new();
    for step in 0..STEPS {
        let (a, b) = (rng.random_range(0..PROCESSES), rng.random_range(0..PROCESSES));
        match rng.random_range(0..20) {
            0..3 => {
                live.push(format!("i-{step}"));
                platform.write(&format!("i-{step}"), Some("ready".to_owned()));
            }
            3 if !live.is_empty() => {
                let gone = live.swap_remove(rng.random_range(0..live.len()));
                platform.write(&gone, None);
            }
            4..6 => live.iter().for_each(|it| platform.write(it, Some("ready".to_owned()))),
            6 => copies.push(platform.clone()),
            7 => platform
                .restore(&copies[rng.random_range(copies.len().saturating_sub(3)..copies.len())]),
            8 => fleet.restart(a),
            9..14 => {
                if let Some(delta) = fleet.answer(a, &platform) {
                    fleet.take(a, delta);
                }
            }
            _ => {
                for delta in fleet.pull(a, b) {
                    fleet.take(b, delta);
                }
            }
        }
        fleet.tell_removals(a);
    }
    // Live instances write again, and the lines of others lapse.
    live.iter().for_each(|it| platform.write(it, Some("ready".to_owned())));
    let lapsed: Vec<String> =
        platform.items.keys().filter(|it| !live.contains(it)).cloned().collect();
    lapsed.iter().for_each(|it| platform.write(it, None));
    fleet.settle(2, &platform);
    live.sort();
    for (at, it) in fleet.processes.iter().enumerate() {
        let held = listed(&it.store);
        if held != live {
            return Err(format!("seed {seed}: {at} lists {held:?}, not {live:?}"));
        }
    }
    Ok(())
}

#[test]
fn verify_all_processes_come_to_list_the_live_instances() {
    let wrong: Vec<String> = (0..SEEDS).filter_map(|seed| play_list(seed).err()).collect();
    assert!(wrong.is_empty(), "{} of {SEEDS}, the first: {}", wrong.len(), wrong[0]);
}

/// A fleet that has read a list of some instances.
fn reading(platform: &mut Platform, instances: usize) -> Fleet {
    for it in 0..instances {
        platform.write(&format!("i-{it:04}"), Some(format!("{it:<180}")));
    }
    let mut fleet = Fleet::open(What::Instances, Mutation::None);
    fleet.settle(2, platform);
    assert!(fleet.processes.iter().all(|it| listed(&it.store).len() == instances));
    fleet
}

/// An instance that left is listed again by a copy from before, and once more when it
/// turns out to live, as after an outage in which its line lapsed.
#[test]
fn verify_a_copy_does_not_bring_back_an_instance_that_left() {
    let mut platform = Platform::open();
    let mut fleet = reading(&mut platform, 3);
    let copy = platform.clone();
    platform.write("i-0001", None);
    fleet.settle(2, &platform);
    let lists =
        |fleet: &Fleet| fleet.processes.iter().filter(|it| listed(&it.store).len() == 3).count();
    for _ in 0..3 {
        platform.restore(&copy);
        fleet.settle(2, &platform);
        assert_eq!(lists(&fleet), 0, "some list what left");
        // A read of everything, as after the history is gone.
        fleet.processes[0].whole = true;
        fleet.settle(2, &platform);
        assert_eq!(lists(&fleet), 0, "some list what left");
    }
    // Others that write their lines say nothing of it.
    platform.write("i-0000", Some(format!("{:<180}", 0)));
    fleet.settle(2, &platform);
    assert_eq!(lists(&fleet), 0, "some list what left");
    platform.write("i-0001", Some(format!("{:<180}", 1)));
    fleet.settle(2, &platform);
    assert_eq!(lists(&fleet), PROCESSES, "some do not list what is back");
}

/// How many of some processes list an instance that left before the service was restored, where
/// some of them did not see it leave: they start, or hear nothing until then.
fn listing_what_left(seed: u64, mutation: Mutation) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = Platform::open();
    let mut fleet = reading(&mut platform, 3);
    fleet.mutation = mutation;
    let copy = platform.clone();
    platform.write("i-0001", None);
    // One at least sees it leave, and one at least does not.
    let aware = rng.random_range(1..PROCESSES);
    for at in 0..aware {
        let delta = fleet.answer(at, &platform).expect("changes");
        fleet.take(at, delta);
    }
    if rng.random_bool(0.5) {
        fleet.restart(PROCESSES - 1);
    }
    platform.restore(&copy);
    let mut version = 0;
    for at in (0..rng.random_range(0..6)).chain(0..PROCESSES).chain(0..PROCESSES) {
        // No two processes read at one revision.
        version += 1;
        platform.write("i-0000", Some(format!("{version:<180}")));
        let at = at % PROCESSES;
        if let Some(delta) = fleet.answer(at, &platform) {
            fleet.take(at, delta);
        }
        let (from, to) = (rng.random_range(0..PROCESSES), rng.random_range(0..PROCESSES));
        for delta in fleet.pull(from, to) {
            fleet.take(to, delta);
        }
        fleet.tell_removals(at);
    }
    let lists = |it: &&Process| listed(&it.store).contains(&"i-0001".to_owned());
    fleet.processes.iter().filter(lists).count()
}

#[test]
fn verify_processes_that_did_not_see_an_instance_leave_are_told() {
    let wrong: Vec<u64> =
        (0..SEEDS).filter(|seed| listing_what_left(*seed, Mutation::None) > 0).collect();
    assert!(wrong.is_empty(), "{} of {SEEDS}, the first: {:?}", wrong.len(), wrong.first());
    let untold = (0..SEEDS).filter(|it| listing_what_left(*it, Mutation::Removals) > 0).count();
    assert!(untold > 0, "it is not needed to tell them");
    println!("untold: {untold} of {SEEDS}");
}

/// A process that slept through a restore remembers a removal that the others have forgotten,
/// since the instance has written its line again.
#[test]
fn verify_an_old_removal_takes_no_instance_from_the_list_that_is_back() {
    let mut platform = Platform::open();
    let mut fleet = reading(&mut platform, 3);
    let copy = platform.clone();
    platform.write("i-0001", None);
    fleet.settle(PROCESSES, &platform);
    platform.restore(&copy);
    let awake = PROCESSES - 1;
    for round in 0..3 {
        for at in 0..awake {
            if let Some(delta) = fleet.answer(at, &platform) {
                fleet.take(at, delta);
            }
        }
        if round == 1 {
            platform.write("i-0001", Some(format!("{:<180}", 1)));
        }
    }
    let lists = |fleet: &Fleet, at: usize| listed(&fleet.processes[at].store).len() == 3;
    assert!((0..awake).all(|at| lists(&fleet, at)), "it is back");
    while !fleet.processes[awake].whole {
        fleet.answer(awake, &platform);
    }
    let delta = fleet.answer(awake, &platform).expect("a read of everything");
    fleet.take(awake, delta);
    fleet.tell_removals(awake);
    assert!((0..awake).all(|at| lists(&fleet, at)), "an old removal took it from the list");
    fleet.settle(0, &platform);
    assert!(lists(&fleet, awake), "who slept does not list it");
}

/// What is told after a restore does not grow with the list, nor with the restores.
#[test]
fn verify_a_restore_in_which_nothing_changed_tells_no_lines() {
    for instances in [30, 300, 5_000] {
        let mut platform = Platform::open();
        let mut fleet = reading(&mut platform, instances);
        fleet.told = 0;
        for round in 0..4 {
            let copy = platform.clone();
            platform.restore(&copy);
            fleet.settle(2, &platform);
            assert_eq!(fleet.told, 0, "{instances} instances, restore {round}");
        }
    }
}

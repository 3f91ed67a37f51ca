// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Simulates entries that share the rate of a cold target while entries start, end, are suspended,
//! resume and are cut off from each other. Compares several ways of sharing: how many requests the
//! target gets in the worst second, which fraction of its rate is used, and how many messages that
//! takes.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::cold::{Bound, ColdTargets};
use sablepass_core::holders::Holders;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Bucket, Rate, Turn};
use sablepass_core::sharers::Sharers;

const LIFE: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 100 };
const BOUND: Bound = Bound { overshoot: 1.5, slack: 5.0 };
/// Interval at which an entry updates its view of the others, and at which requests arrive.
const UPDATE_INTERVAL: Millis = 100;
const STEP: Millis = 5;
/// Time without a message after which an entry whose connections are still open counts as lost.
const SILENCE: Millis = 700;
/// Time after the last change until all shares are in use again.
const SETTLED: Millis = 3_000;
const DURATION: Millis = 60_000;
const CHANGE_INTERVAL: Millis = 6_000;
/// How long a request may wait for its turn.
const MAX_WAIT: Millis = 300;
/// Time after which a turn that was not used is void: its entry was suspended.
const TURN_VALIDITY: Millis = 100;
/// Requests that arrive, as a multiple of the rate.
const DEMAND: f64 = 3.0;
const WINDOW: Millis = 1_000;

/// How the entries share the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scheme {
    /// Each entry that is counted uses an equal part.
    Equal,
    /// Some entries hold the rate, and the others ask one of them for turns.
    Holders,
    /// One entry counts the requests of each window, and all others ask it.
    Counted,
}

/// Distribution of requests among entries.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Even,
    /// Half of the requests arrive at one entry.
    Half,
    /// All requests arrive at one entry.
    One,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    End(usize),
    Start,
    Suspend(usize),
    Resume,
    /// An entry loses its connections to the other entries, but not to agents and targets.
    Cut(usize),
    Reconnect,
}

struct Entry {
    alive: bool,
    suspended: bool,
    cut: bool,
    holders: Holders,
    sharers: Sharers,
    cold: ColdTargets,
    /// Bucket of [`Scheme::Equal`].
    part: Bucket,
    /// Turns that this entry gave out in [`Scheme::Counted`], and since when it has counted them.
    turns: VecDeque<Millis>,
    owner_since: Option<Millis>,
    /// When requests of this entry are to be sent.
    due: Vec<Millis>,
    /// When a message of each other entry was last received.
    heard: Vec<Option<Millis>>,
    /// Until when each other entry has no turn, as it answered.
    denied_until: Vec<Millis>,
    updated: Millis,
    /// Offset of this entry's updates, so that entries do not update at the same time.
    phase: Millis,
}

fn name(entry: usize) -> String {
    format!("entry-{entry}")
}

fn index(name: &str) -> usize {
    name.trim_start_matches("entry-").parse().expect("the name of an entry")
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a valid rate")
}

impl Entry {
    fn open(me: usize, entries: usize, phase: Millis, now: Millis, limit: f64) -> Self {
        let holders = Holders::open(&name(me));
        let mut cold = ColdTargets::default();
        cold.listed(now, LIFE, 2 * DURATION);
        cold.set_plan(now, LIFE.name, Some(BOUND.plan(rate(limit))), &holders);
        Self {
            alive: true,
            suspended: false,
            cut: false,
            holders,
            sharers: Sharers::open(true),
            cold,
            part: Bucket::default(),
            turns: VecDeque::new(),
            owner_since: None,
            due: Vec::new(),
            heard: vec![None; entries],
            denied_until: vec![0; entries],
            updated: 0,
            phase,
        }
    }

    fn runs(&self) -> bool {
        self.alive && !self.suspended
    }

    /// Updates the view of the other entries and their count, of which `reported` is the agents'.
    fn update_view(&mut self, now: Millis, limit: f64, reported: usize) {
        let resumed = self.updated > 0 && now > self.updated + 2 * UPDATE_INTERVAL;
        self.updated = now;
        if resumed {
            self.holders.resumed(now);
        }
        let connected = |it: &Option<Millis>| it.is_some_and(|at| now < at + SILENCE);
        let names: Vec<String> =
            (0..self.heard.len()).filter(|it| connected(&self.heard[*it])).map(name).collect();
        self.sharers.watch(now, names.len() + 1, Some(reported));
        self.holders.set_peers(names);
        let count = self.sharers.is_known().then(|| self.sharers.count());
        if self.holders.watch(now, count) || resumed {
            self.cold.update_shares(now, &self.holders);
        }
        if resumed {
            self.turns.clear();
            self.owner_since = None;
        }
        if self.holders.owns(LIFE.name) {
            self.owner_since.get_or_insert(now);
        } else {
            self.owner_since = None;
        }
        self.part.limit_burst(1.0);
        let part = count.map(|it| rate(limit / it as f64));
        self.part.set(now, part);
    }

    /// Reserves a turn at this entry.
    fn reserve(&mut self, scheme: Scheme, now: Millis, limit: f64, max_wait: Millis) -> Turn {
        match scheme {
            Scheme::Equal => self.part.reserve(now, max_wait),
            Scheme::Holders => self.cold.reserve(now, LIFE, max_wait).unwrap_or(Turn::In(0)),
            Scheme::Counted => self.count_turn(now, limit, max_wait),
        }
    }

    /// Gives out a turn if fewer than the rate were given out in the window before it. An entry
    /// that has taken over the count waits for a window, since it does not know the turns given
    /// before.
    fn count_turn(&mut self, now: Millis, limit: f64, max_wait: Millis) -> Turn {
        let Some(since) = self.owner_since.filter(|it| now >= it + WINDOW) else {
            return Turn::Never;
        };
        while self.turns.front().is_some_and(|it| it + WINDOW <= now) {
            self.turns.pop_front();
        }
        let max = limit as usize;
        let free_at = match self.turns.len().checked_sub(max) {
            None => since,
            Some(at) => self.turns[at] + WINDOW,
        };
        let wait = free_at.saturating_sub(now);
        if wait > max_wait {
            return Turn::TooLate(wait);
        }
        self.turns.push_back(now + wait);
        Turn::In(wait)
    }
}

struct Fleet {
    entries: Vec<Entry>,
    /// When the agents last received a message of each entry.
    received: Vec<Millis>,
    sent: Vec<Millis>,
    messages: u32,
    scheme: Scheme,
    limit: f64,
}

impl Fleet {
    fn open(scheme: Scheme, entries: usize, limit: f64) -> Self {
        let phase = |it: usize| it as Millis * 3 * STEP % UPDATE_INTERVAL;
        Self {
            entries: (0..entries).map(|it| Entry::open(it, entries, phase(it), 0, limit)).collect(),
            received: vec![0; entries],
            sent: Vec::new(),
            messages: 0,
            scheme,
            limit,
        }
    }

    fn apply(&mut self, change: Change, now: Millis) {
        match change {
            Change::End(it) => {
                self.entries[it].alive = false;
                // The connections of the entry close.
                self.received[it] = 0;
                self.entries.iter_mut().for_each(|other| other.heard[it] = None);
            }
            Change::Start => {
                let count = self.entries.len();
                for it in 0..count {
                    if !self.entries[it].alive {
                        let phase = now % UPDATE_INTERVAL;
                        self.entries[it] = Entry::open(it, count, phase, now, self.limit);
                    }
                }
            }
            Change::Suspend(it) => self.entries[it].suspended = true,
            Change::Resume => self.entries.iter_mut().for_each(|it| it.suspended = false),
            Change::Cut(it) => self.entries[it].cut = true,
            Change::Reconnect => self.entries.iter_mut().for_each(|it| it.cut = false),
        }
    }

    fn step(&mut self, now: Millis) {
        for it in 0..self.entries.len() {
            if !self.entries[it].runs() {
                continue;
            }
            self.received[it] = now;
            for other in 0..self.entries.len() {
                let disconnected = self.entries[it].cut || self.entries[other].cut;
                if other != it && self.entries[other].runs() && !disconnected {
                    self.entries[it].heard[other] = Some(now);
                }
            }
            let reported = self.received.iter().filter(|at| now < **at + SILENCE).count();
            let entry = &mut self.entries[it];
            // An entry that resumes updates its view before anything else.
            if (now + entry.phase).is_multiple_of(UPDATE_INTERVAL)
                || now > entry.updated + 2 * UPDATE_INTERVAL
            {
                entry.update_view(now, self.limit, reported);
            }
            let (due, later) = entry.due.iter().copied().partition(|at| *at <= now);
            entry.due = later;
            let due: Vec<Millis> = due;
            let valid = due.into_iter().filter(|at| now <= at + TURN_VALIDITY);
            self.sent.extend(valid.map(|at| at.max(now - STEP)));
        }
    }

    /// Handles a request that arrives at an entry.
    fn request(&mut self, rng: &mut StdRng, entry: usize, now: Millis) {
        let own = self.entries[entry].reserve(self.scheme, now, self.limit, MAX_WAIT);
        if let Turn::In(wait) = own {
            self.entries[entry].due.push(now + wait);
            return;
        }
        let asking = &self.entries[entry];
        let peers: Vec<usize> = match self.scheme {
            Scheme::Equal => Vec::new(),
            Scheme::Holders => {
                let plan = BOUND.plan(rate(self.limit));
                let others = asking.holders.others_among(LIFE, plan.holders);
                others.into_iter().map(index).collect()
            }
            Scheme::Counted => (0..self.entries.len())
                .filter(|it| *it != entry && self.entries[*it].owner_since.is_some())
                .collect(),
        };
        let reachable = |it: &usize| {
            let other = &self.entries[*it];
            let connected = !asking.cut && !other.cut && other.runs();
            connected && asking.denied_until[*it] <= now + MAX_WAIT
        };
        let peers: Vec<usize> = peers.into_iter().filter(reachable).collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[rng.random_range(0..peers.len())];
        self.messages += 2;
        match self.entries[peer].reserve(self.scheme, now, self.limit, MAX_WAIT) {
            Turn::In(wait) => self.entries[entry].due.push(now + wait),
            Turn::TooLate(wait) => self.entries[entry].denied_until[peer] = now + wait,
            Turn::Never => {}
        }
    }

    /// Largest number of requests in a window.
    fn max_in_window(&mut self) -> usize {
        self.sent.sort_unstable();
        let within = |(at, since): (usize, &Millis)| {
            self.sent[at..].iter().take_while(|it| **it < since + WINDOW).count()
        };
        self.sent.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

fn changes(rng: &mut StdRng, entries: usize) -> [Change; 2] {
    let one = rng.random_range(0..entries);
    match rng.random_range(0..3) {
        0 => [Change::End(one), Change::Start],
        1 => [Change::Suspend(one), Change::Resume],
        _ => [Change::Cut(one), Change::Reconnect],
    }
}

struct Outcome {
    /// Largest number of requests in a second.
    worst: usize,
    /// Fraction of the rate that was used while nothing changed.
    used: f64,
    /// Messages per second.
    messages: f64,
}

fn simulate(
    scheme: Scheme,
    (entries, limit): (usize, f64),
    traffic: Traffic,
    changing: bool,
    seed: u64,
) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::open(scheme, entries, limit);
    let mut due: Vec<(Millis, Change)> = Vec::new();
    let (mut changed, mut settled, mut used) = (0, 0, 0);
    for now in (STEP..DURATION).step_by(STEP as usize) {
        if changing && now % CHANGE_INTERVAL == 0 {
            let [first, then] = changes(&mut rng, entries);
            due.push((now + rng.random_range(0..500), first));
            due.push((now + rng.random_range(600..2_500), then));
        }
        let (current, later) = due.into_iter().partition(|it| it.0 <= now);
        due = later;
        let current: Vec<(Millis, Change)> = current;
        if !current.is_empty() || !due.is_empty() {
            changed = now;
        }
        current.into_iter().for_each(|it| fleet.apply(it.1, now));
        let before = fleet.sent.len();
        let mut arrivals = limit * DEMAND * STEP as f64 / 1_000.0;
        while rng.random_bool(arrivals.clamp(0.0, 1.0)) {
            arrivals -= 1.0;
            let first = match traffic {
                Traffic::One => 0,
                Traffic::Half if rng.random_bool(0.5) => 0,
                Traffic::Even | Traffic::Half => rng.random_range(0..entries),
            };
            // Callers connect to another entry while theirs does not run.
            let running = (0..entries).map(|it| (first + it) % entries);
            let entry = running.into_iter().find(|it| fleet.entries[*it].runs());
            if let Some(entry) = entry {
                fleet.request(&mut rng, entry, now);
            }
        }
        fleet.step(now);
        if now >= changed + SETTLED {
            settled += STEP;
            used += fleet.sent.len() - before;
        }
    }
    Outcome {
        worst: fleet.max_in_window(),
        used: used as f64 / (limit * settled as f64 / 1_000.0),
        messages: f64::from(fleet.messages) / (DURATION as f64 / 1_000.0),
    }
}

const FLEETS: [(usize, f64); 4] = [(3, 4.0), (17, 26.0), (6, 26.0), (36, 4.0)];
const TRAFFIC: [Traffic; 3] = [Traffic::Even, Traffic::Half, Traffic::One];

/// Entries that exceed the bound overload a cold target, and unused rate is refused to callers.
#[test]
fn verify_entries_together_use_the_rate_of_a_cold_target_and_stay_within_its_bound() {
    println!(
        "entries/rate (bound) | traffic | scheme | worst, steady and changing | used | messages"
    );
    for fleet in FLEETS {
        let bound = BOUND.requests(rate(fleet.1));
        for traffic in TRAFFIC {
            for scheme in [Scheme::Equal, Scheme::Holders, Scheme::Counted] {
                let steady = simulate(scheme, fleet, traffic, false, 1);
                let changing: Vec<Outcome> =
                    (2..6).map(|seed| simulate(scheme, fleet, traffic, true, seed)).collect();
                let worst = changing.iter().map(|it| it.worst).max().unwrap_or(0);
                let used = changing.iter().map(|it| it.used).fold(f64::MAX, f64::min);
                println!(
                    "{}/{} ({bound}) | {traffic:?} | {scheme:?} | {} {worst} | {:.2} {used:.2} | {:.1}",
                    fleet.0, fleet.1, steady.worst, steady.used, steady.messages,
                );
                if scheme == Scheme::Holders {
                    let (entries, limit) = fleet;
                    let worst = worst.max(steady.worst);
                    assert!(worst as f64 <= bound, "{entries}/{limit} {traffic:?}: {worst}");
                    let used = used.min(steady.used);
                    assert!(used >= 0.8, "{entries}/{limit} {traffic:?}: {used}");
                }
            }
        }
    }
}

/// Sends as many requests as the entries allow, and returns when they were sent. `changes` are
/// applied at their times.
fn saturate(fleet: &mut Fleet, until: Millis, changes: &[(Millis, Change)]) -> Vec<Millis> {
    let mut rng = StdRng::seed_from_u64(1);
    for now in (STEP..until).step_by(STEP as usize) {
        let due = changes.iter().filter(|it| (now - STEP..now).contains(&it.0));
        due.for_each(|it| fleet.apply(it.1, now));
        for entry in 0..fleet.entries.len() {
            if fleet.entries[entry].runs() {
                fleet.request(&mut rng, entry, now);
            }
        }
        fleet.step(now);
    }
    fleet.sent.clone()
}

/// Guards against a fault in which a service whose targets are all cold refused everything for
/// more than two seconds after all entries had restarted: no entry used a share before all entries
/// had been known to it by name for a second.
#[test]
fn verify_a_cold_target_is_used_soon_after_all_entries_restart() {
    const RESTART: Millis = 10_000;
    for (entries, limit) in [(17, 26.0), (6, 26.0), (3, 4.0)] {
        let mut fleet = Fleet::open(Scheme::Holders, entries, limit);
        let mut changes: Vec<(Millis, Change)> =
            (0..entries).map(|it| (RESTART - 1_000, Change::End(it))).collect();
        changes.push((RESTART, Change::Start));
        let sent = saturate(&mut fleet, RESTART + 10_000, &changes);
        let bound = BOUND.requests(rate(limit));
        let worst = fleet.max_in_window();
        assert!(worst as f64 <= bound, "{entries}/{limit}: {worst} in a second");
        let holders = BOUND.plan(rate(limit)).holders as f64;
        let soon = RESTART..RESTART + 1_700;
        let count = sent.iter().filter(|at| soon.contains(at)).count() as f64;
        let least = limit * (entries as f64 / holders).min(1.0) * 0.5;
        assert!(count >= least, "{entries}/{limit}: {count} in 1.7 s, at least {least}");
    }
}

/// Guards against provisional shares that add to those of the other entries: more than the bound
/// would be sent while some entries start, are suspended or are cut off.
#[test]
fn verify_the_bound_is_kept_at_full_demand_while_entries_restart_one_after_another() {
    for (entries, limit) in [(17, 26.0), (6, 26.0), (6, 4.0), (3, 4.0)] {
        let mut fleet = Fleet::open(Scheme::Holders, entries, limit);
        let mut changes = Vec::new();
        for (round, at) in (3_000..60_000).step_by(1_900).enumerate() {
            let (first, second) = (round % entries, (round + 1) % entries);
            changes.extend(match round % 4 {
                0 => vec![(at, Change::End(first)), (at + 300, Change::Start)],
                1 => vec![(at, Change::End(first)), (at, Change::End(second))],
                2 => vec![(at, Change::Start), (at + 50, Change::Cut(first))],
                _ => vec![(at, Change::Reconnect), (at, Change::Suspend(first))],
            });
            changes.push((at + 1_200, Change::Resume));
        }
        saturate(&mut fleet, 62_000, &changes);
        let worst = fleet.max_in_window();
        let bound = BOUND.requests(rate(limit));
        assert!(worst as f64 <= bound, "{entries}/{limit} ({bound}): {worst} in a second");
    }
}

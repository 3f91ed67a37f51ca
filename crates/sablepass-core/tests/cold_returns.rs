// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Waiting requests that are released when cold targets return. Guards against entries that release
//! all of them at once, which overloads each target in the second in which it is slowest, and
//! against waiting requests that are never released.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::cold::{Bound, ColdTargets};
use sablepass_core::holders::Holders;
use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_core::limits::{Rate, Turn};
use sablepass_core::scope::Scope;
use sablepass_core::starts::{Room, StartDecision, StartQueue, StartRequest};

const ENTRIES: usize = 17;
const BOUND: Bound = Bound { overshoot: 1.5, slack: 5.0 };
/// Rates of cold targets in requests per second.
const RATES: [f64; 2] = [26.0, 4.0];
const TARGETS: [&str; 3] = ["i-1", "i-2", "i-3"];
const BORN: Millis = 100;
/// Interval at which entries release waiting streams.
const TICK: Millis = 25;
const STEP: Millis = 5;
/// When the targets return, and how long they stay cold.
const RETURN: Millis = 5_000;
const COLD: Millis = 3_000;
const WINDOW: Millis = 1_000;

fn life(target: usize) -> TargetIncarnation<'static> {
    TargetIncarnation { name: TARGETS[target], started_at: BORN }
}

fn name(entry: usize) -> String {
    format!("entry-{entry}")
}

struct Entry {
    holders: Holders,
    cold: ColdTargets,
    queue: StartQueue,
    /// When the entry learns that the targets are back.
    learns: Millis,
    /// Requests that wait for a reserved turn: when it is, and its target.
    due: Vec<(Millis, usize)>,
}

struct Fleet {
    entries: Vec<Entry>,
    /// Times at which each target got requests.
    sent: [Vec<Millis>; TARGETS.len()],
    /// Requests that were sent, and that were refused.
    served: usize,
    refused: usize,
    rate: f64,
    rng: StdRng,
}

impl Fleet {
    /// Entries that know each other, and learn of the targets' return within `spread` milliseconds.
    fn open(rate: f64, spread: Millis) -> Self {
        let mut rng = StdRng::seed_from_u64(7);
        let mut entry = |it: usize| {
            let mut holders = Holders::open(&name(it));
            holders.set_peers((0..ENTRIES).filter(|other| *other != it).map(name));
            holders.watch(0, Some(ENTRIES));
            holders.watch(2_000, Some(ENTRIES));
            Entry {
                holders,
                cold: ColdTargets::default(),
                queue: StartQueue::default(),
                learns: RETURN + rng.random_range(0..=spread),
                due: Vec::new(),
            }
        };
        let entries = (0..ENTRIES).map(&mut entry).collect();
        let sent = std::array::from_fn(|_| Vec::new());
        Self { entries, sent, served: 0, refused: 0, rate, rng }
    }

    /// Has each entry learn of the return when its time has come.
    fn learn(&mut self, now: Millis, state: impl Fn(&mut ColdTargets, TargetIncarnation<'_>)) {
        let plan = BOUND.plan(Rate::new(self.rate).expect("a valid rate"));
        for entry in self.entries.iter_mut().filter(|it| it.learns == now) {
            for (target, name) in TARGETS.iter().enumerate() {
                state(&mut entry.cold, life(target));
                entry.cold.set_plan(now, name, Some(plan), &entry.holders);
                entry.cold.set_idle(now, name, &entry.holders);
            }
        }
    }

    fn send(&mut self, now: Millis, target: usize) {
        self.sent[target].push(now);
        self.served += 1;
    }

    fn send_due(&mut self, now: Millis) {
        for it in 0..ENTRIES {
            let (due, later) = self.entries[it].due.iter().copied().partition(|it| it.0 <= now);
            self.entries[it].due = later;
            let due: Vec<(Millis, usize)> = due;
            due.into_iter().for_each(|it| self.send(now, it.1));
        }
    }

    /// The target of which an entry has the next turn.
    fn next_turn(&self, entry: usize, now: Millis) -> Option<(Millis, usize)> {
        let entry = &self.entries[entry];
        let next = |target| match entry.cold.next(now, life(target)) {
            Some(Turn::In(wait)) => Some((wait, target)),
            None => Some((0, target)),
            Some(Turn::TooLate(_) | Turn::Never) => None,
        };
        (0..TARGETS.len()).filter_map(next).min()
    }

    /// Handles a request that arrives at an entry and may wait for `max_wait`.
    fn request(&mut self, entry: usize, now: Millis, max_wait: Millis) {
        if let Some((_, target)) = self.next_turn(entry, now) {
            match self.entries[entry].cold.reserve(now, life(target), max_wait) {
                None => return self.send(now, target),
                Some(Turn::In(wait)) => return self.entries[entry].due.push((now + wait, target)),
                Some(Turn::TooLate(_) | Turn::Never) => {}
            }
        }
        // Asks another holder.
        let target = self.rng.random_range(0..TARGETS.len());
        let plan = BOUND.plan(Rate::new(self.rate).expect("a valid rate"));
        let others = self.entries[entry].holders.others_among(life(target), plan.holders);
        let peer = others[self.rng.random_range(0..others.len())];
        let peer: usize = peer.trim_start_matches("entry-").parse().expect("the name of an entry");
        match self.entries[peer].cold.reserve(now, life(target), max_wait) {
            Some(Turn::In(wait)) => self.entries[entry].due.push((now + wait, target)),
            _ => self.refused += 1,
        }
    }

    /// Releases the waiting streams of all entries for which there are turns.
    fn release(&mut self, now: Millis, room: Room) {
        for entry in 0..ENTRIES {
            let mut released = 0;
            while let Some((0, target)) = self.next_turn(entry, now) {
                let Some(_) = self.entries[entry].queue.next(now, &Scope::ANY, room) else { break };
                let turn = self.entries[entry].cold.reserve(now, life(target), 0);
                assert_eq!(turn, Some(Turn::In(0)));
                self.send(now, target);
                released += 1;
            }
            assert!(released <= TARGETS.len(), "a tick releases no more than the buckets hold");
            while self.entries[entry].queue.give_up(now, &Scope::ANY, room).is_some() {
                self.refused += 1;
            }
        }
    }

    /// Requests of each target in each second from the return on.
    fn per_second(&self) -> Vec<Vec<usize>> {
        let count = |times: &Vec<Millis>, second: Millis| {
            let window = RETURN + second * WINDOW..RETURN + (second + 1) * WINDOW;
            times.iter().filter(|it| window.contains(it)).count()
        };
        let target = |times| (0..COLD / WINDOW).map(|it| count(times, it)).collect();
        self.sent.iter().map(target).collect()
    }

    fn check(&self, pattern: &str) {
        let seconds = self.per_second();
        println!(
            "{pattern}, rate {}: {seconds:?} requests in each second; {} refused",
            self.rate, self.refused
        );
        let bound = BOUND.requests(Rate::new(self.rate).expect("a valid rate")) as usize;
        for times in &self.sent {
            let cold = times.iter().filter(|it| **it < RETURN + COLD);
            let within = |start: Millis| {
                times.iter().filter(|it| (start..start + WINDOW).contains(it)).count()
            };
            let worst = cold.map(|it| within(*it)).max().unwrap_or(0);
            assert!(worst <= bound, "{pattern}: {worst} requests in a second");
        }
    }

    fn check_used(&self, pattern: &str) {
        let all: usize = self.per_second().iter().flatten().sum();
        let rate = self.rate * TARGETS.len() as f64 * COLD as f64 / WINDOW as f64;
        assert!(all as f64 >= 0.8 * rate, "{pattern}: {all} of {rate} requests");
    }
}

/// Callers send four times what the targets sustain, also before they return.
fn run_with_callers(
    rate: f64,
    spread: Millis,
    state: impl Fn(&mut ColdTargets, Millis, TargetIncarnation<'_>),
) -> Fleet {
    let mut fleet = Fleet::open(rate, spread);
    for now in RETURN..RETURN + COLD {
        fleet.learn(now, |cold, life| state(cold, now, life));
        fleet.send_due(now);
        if now % STEP != 0 {
            continue;
        }
        let expected = 4.0 * rate * TARGETS.len() as f64 * STEP as f64 / WINDOW as f64;
        let arrivals = expected as usize + usize::from(fleet.rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            let entry = fleet.rng.random_range(0..ENTRIES);
            if now >= fleet.entries[entry].learns {
                fleet.request(entry, now, 200);
            }
        }
    }
    fleet
}

#[test]
fn verify_the_end_of_an_evacuation_does_not_overload_its_targets() {
    for rate in RATES {
        // Entries learn of the end within some hundred milliseconds of each other.
        let fleet = run_with_callers(rate, 400, |cold, now, life| {
            cold.stated(now, life, COLD);
        });
        fleet.check("end of an evacuation");
        fleet.check_used("end of an evacuation");
    }
}

#[test]
fn verify_the_return_of_a_hall_after_power_loss_does_not_overload_its_targets() {
    for rate in RATES {
        // The lines of the restarted targets state their remaining times.
        let fleet = run_with_callers(rate, 100, |cold, now, life| {
            cold.listed(now, life, COLD);
        });
        fleet.check("return of a hall after power loss");
        fleet.check_used("return of a hall after power loss");
    }
}

#[test]
fn verify_a_group_that_opens_with_a_full_queue_does_not_overload_its_targets() {
    for rate in RATES {
        let mut fleet = Fleet::open(rate, 0);
        let waiting = fill_queues(&mut fleet);
        let open = Room::Open { places: 1_000.0, load: 0.0, reads: 1_000.0 };
        for now in RETURN..RETURN + COLD {
            fleet.learn(now, |cold, life| {
                cold.listed(now, life, COLD);
            });
            if now % TICK == 0 {
                fleet.release(now, open);
            }
        }
        fleet.check("group opening with a full queue");
        // The callers wait until 1.24 s after the group opens.
        let most = rate * TARGETS.len() as f64 * 1.24;
        assert!(fleet.served as f64 >= 0.8 * most, "{} of {most} streams", fleet.served);
        let ended = fleet.entries.iter().all(|it| it.queue.is_idle());
        assert!(ended, "each stream starts or is refused");
        assert_eq!(fleet.served + fleet.refused, waiting);
    }
}

/// Fills the queues of all entries before the group opens. Returns the number of streams.
fn fill_queues(fleet: &mut Fleet) -> usize {
    let arrived = RETURN - 500;
    let room = Room::Opens { within: 500, places: 40.0, sure: true };
    let mut waiting = 0;
    for entry in &mut fleet.entries {
        loop {
            let id = RequestId(waiting as u128);
            let stream = StartRequest {
                id,
                arrived,
                objective: 300,
                patience: 2_000,
                resumed: false,
                scope: Scope::ANY,
            };
            let StartDecision::Wait(_) = entry.queue.request(arrived, &stream, room) else { break };
            waiting += 1;
        }
    }
    assert!(waiting > 10 * ENTRIES, "the queues are full: {waiting}");
    waiting
}

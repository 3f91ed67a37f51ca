// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Simulates many entries that choose among many ranks. Each entry knows the load of a rank only
//! from its last report, and does not know what the other entries have sent since.
//!
//! A rank runs a fixed number of requests at once and queues the rest. A request that waits in a
//! rank's queue while another rank has a free slot was sent to the wrong rank.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::balance::{Candidate, Chooser, Policy};
use sablepass_core::membership::{Members, Report};

struct Simulation {
    entries: usize,
    ranks: usize,
    /// Requests that a rank runs at once.
    slots: u32,
    /// Requests per second.
    rate: f64,
    /// Mean duration of a request in milliseconds.
    duration: f64,
    /// Report interval of a rank in milliseconds.
    heartbeat: u64,
    policy: Policy,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Report(usize),
    Ends(usize, usize),
}

#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    /// Requests that found all slots of their rank taken.
    waited: u32,
}

impl Simulation {
    fn run(&self, seed: u64) -> Counts {
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..self.ranks).map(|it| format!("r{it}")).collect();
        let mut tables: Vec<Members> = (0..self.entries).map(|_| Members::open(10_000)).collect();
        for table in &mut tables {
            names.iter().for_each(|it| table.listed(0, it, false));
        }
        let mut choosers: Vec<Chooser> =
            (0..self.entries).map(|_| Chooser::open(self.policy)).collect();
        // Entries receive different loads.
        let weights: Vec<f64> = (0..self.entries).map(|_| rng.random_range(0.4..1.6)).collect();
        let total: f64 = weights.iter().sum();
        let mut running = vec![0_u32; self.ranks];
        let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); self.ranks];
        let mut events = BinaryHeap::new();
        for rank in 0..self.ranks {
            events
                .push(Reverse((rng.random_range(0..self.heartbeat * 1_000), Event::Report(rank))));
        }
        let mut counts = Counts::default();
        let mut now = 0.0;
        while now < 20e6 {
            now += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() * 1e6 / self.rate;
            while let Some(Reverse((at, event))) =
                events.peek().copied().filter(|it| (it.0.0 as f64) < now)
            {
                events.pop();
                match event {
                    Event::Report(rank) => {
                        let load = running[rank] + queues[rank].len() as u32;
                        for table in &mut tables {
                            let report = Report { in_flight: load, size: 1, ..Report::default() };
                            table.record_heartbeat(at / 1_000, &names[rank], report);
                        }
                        events.push(Reverse((at + self.heartbeat * 1_000, Event::Report(rank))));
                    }
                    Event::Ends(rank, entry) => {
                        tables[entry].ended(&names[rank]);
                        running[rank] -= 1;
                        if let Some(entry) = queues[rank].pop_front() {
                            running[rank] += 1;
                            let ends =
                                at + (self.duration * rng.random_range(900.0..1_100.0)) as u64;
                            events.push(Reverse((ends, Event::Ends(rank, entry))));
                        }
                    }
                }
            }
            let at = now as u64;
            let mut draw = rng.random_range(0.0..total);
            let entry = weights
                .iter()
                .position(|it| {
                    draw -= it;
                    draw < 0.0
                })
                .unwrap_or(0);
            let table = &tables[entry];
            let candidates: Vec<Candidate<'_>> = names
                .iter()
                .map(|name| {
                    let it = table.get(name).expect("a listed rank");
                    Candidate {
                        name,
                        same_hall: false,
                        capacity: self.slots,
                        own: it.own,
                        others: it.others,
                        slow: false,
                    }
                })
                .collect();
            let rank = choosers[entry].choose(&mut rng, None, &candidates).expect("a candidate");
            tables[entry].sent(&names[rank]);
            counts.requests += 1;
            if running[rank] < self.slots {
                running[rank] += 1;
                let ends = at + (self.duration * rng.random_range(900.0..1_100.0)) as u64;
                events.push(Reverse((ends, Event::Ends(rank, entry))));
            } else {
                counts.waited += 1;
                queues[rank].push_back(entry);
            }
        }
        counts
    }
}

/// Entries, ranks, slots of a rank, requests per second and duration of a request in milliseconds:
/// the users' deployments and a larger one, with 73 to 79% of the slots in use.
const SHAPES: [(usize, usize, u32, f64, f64); 4] = [
    (3, 12, 10, 34.0, 2_800.0),
    (4, 16, 12, 75.0, 2_000.0),
    (12, 72, 10, 200.0, 2_800.0),
    (36, 192, 6, 466.0, 1_800.0),
];

fn waited(shape: (usize, usize, u32, f64, f64), policy: Policy) -> f64 {
    let (entries, ranks, slots, rate, duration) = shape;
    let simulation = Simulation { entries, ranks, slots, rate, duration, heartbeat: 200, policy };
    let counts: Vec<Counts> = (0..2).map(|seed| simulation.run(seed)).collect();
    let sum = |of: fn(&Counts) -> u32| counts.iter().map(of).sum::<u32>();
    f64::from(sum(|it| it.waited)) / f64::from(sum(|it| it.requests))
}

#[test]
fn verify_few_wait_while_places_are_free() {
    for shape in SHAPES {
        let part = waited(shape, Policy::Even);
        assert!(part < 0.04, "{shape:?}: {part} of the requests waited");
    }
}

#[test]
fn verify_least_load_policy_herds_on_few_ranks() {
    let part = waited(SHAPES[3], Policy::LeastLoad);
    assert!(part > 0.3, "the model shows no herding: {part} of the requests waited");
}

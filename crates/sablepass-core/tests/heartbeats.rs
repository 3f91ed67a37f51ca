// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Compares ways to send the heartbeats of a large fleet, in a model without a network: bytes that
//! an agent sends, how far the load that entries know is from the actual one, how evenly they place
//! requests, and whether an entry takes a healthy machine to be unresponsive when packets are lost.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::balance::{Candidate, Chooser, Policy};
use sablepass_core::heartbeat;
use sablepass_core::membership::{Members, Report};

/// Processes of the largest planned fleet, and data halls over which they are spread evenly.
const ENTRIES: usize = 53;
const RANKS: usize = 240;
const HALLS: usize = 3;
/// Requests that a rank runs at once, requests per second, and their mean duration in milliseconds:
/// 73% of the places are in use.
const SLOTS: u32 = 6;
const RATE: f64 = 582.0;
const DURATION: f64 = 1_800.0;
/// Heartbeat interval, and interval at which an agent can read its target, in milliseconds.
const HEARTBEAT: u64 = 200;
const READ_INTERVAL: u64 = 50;
/// Bytes of a report in full and in the short form, as `sablepass-wire/tests/short_form.rs`
/// checks.
const FULL_BYTES: u64 = 20;
const SHORT_BYTES: u64 = 9;

/// A way to send heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// In full, at every interval.
    Full,
    /// In full: to the own hall at every interval, to other halls at once if the load changed by
    /// two, and otherwise at every other interval.
    RareToOtherHalls,
    /// At every interval, in the short form if only the load changed.
    Short,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Read(usize),
    Ends(usize, usize),
}

#[derive(Debug)]
struct Outcome {
    /// Bytes per second that an agent sends.
    bytes: f64,
    /// Mean difference between known and actual load of a rank, in requests.
    error: f64,
    /// Fraction of the requests that found all places of their rank taken.
    waited: f64,
}

/// The messages that an agent sends to one hall.
#[derive(Clone, Copy, Default)]
struct Sent {
    at: u64,
    load: u32,
}

impl Way {
    /// Whether an agent sends to a hall now.
    fn is_due(self, now: u64, own_hall: bool, last: Sent, load: u32) -> bool {
        let interval = HEARTBEAT * if self == Self::RareToOtherHalls && !own_hall { 2 } else { 1 };
        let changed = self == Self::RareToOtherHalls && !own_hall && last.load.abs_diff(load) >= 2;
        now >= last.at + interval || changed
    }

    /// Longest time between two messages to an entry in another hall.
    fn longest_interval(self) -> u64 {
        if self == Self::RareToOtherHalls { HEARTBEAT * 2 } else { HEARTBEAT }
    }

    fn bytes(self) -> u64 {
        if self == Self::Short { SHORT_BYTES } else { FULL_BYTES }
    }

    fn run(self) -> Outcome {
        const LENGTH_MS: u64 = 12_000;
        let mut rng = StdRng::seed_from_u64(1);
        let names: Vec<String> = (0..RANKS).map(|it| format!("r{it}")).collect();
        let mut tables: Vec<Members> = (0..ENTRIES).map(|_| Members::open(10_000)).collect();
        for table in &mut tables {
            names.iter().for_each(|it| table.listed(0, it, false));
        }
        let mut choosers: Vec<Chooser> =
            (0..ENTRIES).map(|_| Chooser::open(Policy::Even)).collect();
        let mut running = vec![0_u32; RANKS];
        let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); RANKS];
        let mut sent = vec![[Sent::default(); HALLS]; RANKS];
        let mut events = BinaryHeap::new();
        for rank in 0..RANKS {
            let at = rng.random_range(0..HEARTBEAT * 1_000);
            events.push(Reverse((at, Event::Read(rank))));
        }
        let (mut messages, mut requests, mut waited) = (0_u64, 0_u32, 0_u32);
        let (mut error, mut samples) = (0.0, 0_u32);
        let mut now = 0.0;
        while now < LENGTH_MS as f64 * 1e3 {
            now += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() * 1e6 / RATE;
            while let Some(Reverse((at, event))) =
                events.peek().copied().filter(|it| (it.0.0 as f64) < now)
            {
                events.pop();
                match event {
                    Event::Read(rank) => {
                        let load = running[rank] + queues[rank].len() as u32;
                        let report = Report { in_flight: load, size: 1, ..Report::default() };
                        for (hall, last) in sent[rank].iter_mut().enumerate() {
                            let own = hall == rank % HALLS;
                            if !self.is_due(at / 1_000, own, *last, load) {
                                continue;
                            }
                            *last = Sent { at: at / 1_000, load };
                            for table in tables.iter_mut().skip(hall).step_by(HALLS) {
                                table.record_heartbeat(at / 1_000, &names[rank], report);
                                messages += 1;
                            }
                        }
                        events.push(Reverse((at + READ_INTERVAL * 1_000, Event::Read(rank))));
                    }
                    Event::Ends(rank, entry) => {
                        tables[entry].ended(&names[rank]);
                        running[rank] -= 1;
                        if let Some(entry) = queues[rank].pop_front() {
                            running[rank] += 1;
                            let ends = at + (DURATION * rng.random_range(900.0..1_100.0)) as u64;
                            events.push(Reverse((ends, Event::Ends(rank, entry))));
                        }
                    }
                }
            }
            let entry = rng.random_range(0..ENTRIES);
            let members: Vec<_> =
                names.iter().map(|it| tables[entry].get(it).expect("a listed rank")).collect();
            let candidates: Vec<Candidate<'_>> = names
                .iter()
                .zip(&members)
                .map(|(name, it)| Candidate {
                    name,
                    same_hall: false,
                    capacity: SLOTS,
                    own: it.own,
                    others: it.others,
                    slow: false,
                })
                .collect();
            let settled = now > 3_000.0 * 1e3;
            if settled {
                for (rank, it) in members.iter().enumerate() {
                    let actual = running[rank] + queues[rank].len() as u32;
                    error += f64::from((it.own + it.others).abs_diff(actual));
                }
                samples += RANKS as u32;
            }
            let rank = choosers[entry].choose(&mut rng, None, &candidates).expect("a candidate");
            tables[entry].sent(&names[rank]);
            requests += u32::from(settled);
            if running[rank] < SLOTS {
                running[rank] += 1;
                let ends = now as u64 + (DURATION * rng.random_range(900.0..1_100.0)) as u64;
                events.push(Reverse((ends, Event::Ends(rank, entry))));
            } else {
                waited += u32::from(settled);
                queues[rank].push_back(entry);
            }
        }
        let messages = messages as f64 / RANKS as f64 / (LENGTH_MS as f64 / 1e3);
        Outcome {
            bytes: messages * self.bytes() as f64,
            error: error / f64::from(samples),
            waited: f64::from(waited) / f64::from(requests),
        }
    }

    /// Time in milliseconds for which an entry in another hall takes a healthy machine to be
    /// unresponsive, if one heartbeat of it is lost and arrives `resent_after` later, with those
    /// that were sent meanwhile.
    fn falsely_unresponsive(self, resent_after: u64) -> u64 {
        let mut members = Members::open(10_000);
        let names = ["lost", "a", "b"];
        names.iter().for_each(|it| members.listed(0, it, false));
        let (interval, lost_at) = (self.longest_interval(), 2_000);
        let mut wrong = 0;
        for now in 0..6_000 {
            for name in names {
                let delayed = name == "lost" && (lost_at..lost_at + resent_after).contains(&now);
                let arrives = now % interval == 0 && !delayed;
                let late = name == "lost" && now == lost_at + resent_after;
                if arrives || late {
                    members.record_heartbeat(now, name, Report::default());
                }
            }
            wrong += u64::from(members.unresponsive(now).contains("lost"));
        }
        wrong
    }

    /// Time in milliseconds from the end of a machine to its detection.
    fn detected_after(self, ends_at: u64) -> u64 {
        let mut members = Members::open(10_000);
        let names = ["ended", "a", "b"];
        names.iter().for_each(|it| members.listed(0, it, false));
        for now in 0..10_000 {
            for name in names.iter().filter(|it| **it != "ended" || now < ends_at) {
                if now % self.longest_interval() == 0 {
                    members.record_heartbeat(now, name, Report::default());
                }
            }
            if members.unresponsive(now).contains("ended") {
                return now - ends_at;
            }
        }
        u64::MAX
    }
}

/// Fails if the way in use sends as much as full heartbeats, or if entries know the load less well
/// or place requests less evenly with it.
#[test]
fn verify_short_heartbeats_save_bytes_and_keep_placement_even() {
    let [full, rare, short] =
        [Way::Full, Way::RareToOtherHalls, Way::Short].map(|it| (it, it.run()));
    for (way, outcome) in [&full, &rare, &short] {
        println!("{way:?}: {outcome:.3?}");
    }
    let (full, rare, short) = (full.1, rare.1, short.1);
    assert!(short.bytes < full.bytes * 0.5, "{short:?}, in full {full:?}");
    assert!(short.bytes < rare.bytes, "{short:?}, less often {rare:?}");
    assert!(short.error <= full.error, "{short:?}, in full {full:?}");
    assert!(short.waited <= full.waited, "{short:?}, in full {full:?}");
    assert!(rare.error > full.error, "the model shows no effect of the interval: {rare:?}");
}

/// Fails if one lost packet makes an entry avoid a healthy machine. The kernel resends after 200 ms
/// and the round trip, at most 230 ms between halls.
#[test]
fn verify_one_lost_packet_is_not_taken_for_an_unresponsive_machine() {
    assert_eq!(Way::Full.falsely_unresponsive(230), 0);
    assert_eq!(Way::Short.falsely_unresponsive(230), 0);
    assert!(Way::RareToOtherHalls.falsely_unresponsive(230) > 0);
}

/// Fails if an unresponsive machine is detected later than with full heartbeats.
#[test]
fn verify_unresponsive_machines_are_detected_as_soon_as_with_full_heartbeats() {
    for ends_at in (2_000..2_400).step_by(7) {
        let (full, short) = (Way::Full.detected_after(ends_at), Way::Short.detected_after(ends_at));
        assert!(short <= full && full <= 600, "{ends_at}: {short} and {full}");
    }
}

/// Fails if heartbeats change in a fleet of up to 36 entries.
#[test]
fn verify_fleets_of_up_to_36_entries_are_small() {
    assert!(!heartbeat::is_large_fleet(36));
    assert!(heartbeat::is_large_fleet(37));
}

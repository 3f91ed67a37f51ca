// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A limit that all entries share: what they send together, and how much of the limit they use.
//!
//! Compares several ways of sharing in a model of entries without a network.

use sablepass_core::holders::Holders;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Bucket, Rate, Turn};

const LIFE: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 100 };
/// Window in which requests are counted, and duration of a run, in milliseconds.
const WINDOW: Millis = 4_000;
const DURATION: Millis = 60_000;

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a valid rate")
}

fn name(entry: usize) -> String {
    format!("entry-{entry}")
}

/// The view of one of `entries` entries in the steady state.
fn steady_state(entry: usize, entries: usize) -> Holders {
    let mut holders = Holders::open(&name(entry));
    holders.set_peers((0..entries).filter(|it| *it != entry).map(name));
    holders.watch(0, Some(entries));
    holders.watch(2_000, Some(entries));
    holders
}

/// A deterministic random generator (xorshift).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// How the entries share a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scheme {
    /// Each entry has an equal share and may save up one request.
    Even,
    /// As many entries as the limit allows requests per second hold it, each with its share.
    Held,
    /// The same, and an entry without an alternative target asks one of the holders for permission
    /// to send.
    Asked,
}

/// Distribution of requests among entries.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Even,
    /// Half of the requests arrive at one entry.
    Skewed,
    /// All requests arrive at one entry.
    One,
}

/// How long a request may wait for permission to send, in milliseconds.
const MAX_WAIT: Millis = 300;

struct Outcome {
    /// By how much the largest number of requests in a window exceeds the limit.
    over: f64,
    /// Fraction of the limit that was used.
    used: f64,
    /// Messages per second about one target.
    messages: f64,
}

/// Buckets of the entries in the steady state.
fn buckets(scheme: Scheme, entries: usize, limit: f64) -> Vec<Bucket> {
    let part = |entry: usize| match scheme {
        Scheme::Even => Some(rate(limit / entries as f64)),
        Scheme::Held | Scheme::Asked => steady_state(entry, entries).share(LIFE, rate(limit)),
    };
    let bucket = |entry| {
        let mut bucket = Bucket::default();
        bucket.set(0, part(entry));
        bucket
    };
    (0..entries).map(bucket).collect()
}

/// Simulates requests at four times the limit of the only target.
fn simulate(scheme: Scheme, entries: usize, limit: f64, traffic: Traffic) -> Outcome {
    let mut random = Random(88_172_645_463_325_252);
    let mut buckets = buckets(scheme, entries, limit);
    let holders: Vec<usize> = (0..entries).filter(|it| buckets[*it].per_second() > 0.0).collect();
    let (mut sent, mut messages) = (Vec::new(), 0);
    for now in 1..DURATION {
        let mut arrivals = limit * 4.0 / 1_000.0;
        while random.next() < arrivals.min(1.0) {
            arrivals -= 1.0;
            let entry = match traffic {
                Traffic::One => 0,
                Traffic::Skewed if random.next() < 0.5 => 0,
                Traffic::Even | Traffic::Skewed => (random.next() * entries as f64) as usize,
            };
            let mut permission = buckets[entry].reserve(now, MAX_WAIT);
            let others: Vec<usize> = holders.iter().copied().filter(|it| *it != entry).collect();
            let asks = scheme == Scheme::Asked && !others.is_empty();
            if !matches!(permission, Turn::In(_)) && asks {
                messages += 2;
                let asked = (random.next() * others.len() as f64) as usize;
                permission = buckets[others[asked]].reserve(now, MAX_WAIT);
            }
            if let Turn::In(wait) = permission {
                sent.push(now + wait);
            }
        }
    }
    sent.sort_unstable();
    let within = |since: &Millis| {
        let window = *since..since + WINDOW;
        sent.iter().filter(|it| window.contains(it)).count() as f64
    };
    let max_in_window = sent.iter().map(within).fold(0.0, f64::max);
    let seconds = DURATION as f64 / 1_000.0;
    Outcome {
        over: max_in_window - limit * WINDOW as f64 / 1_000.0,
        used: sent.len() as f64 / (limit * seconds),
        messages: f64::from(messages) / seconds,
    }
}

/// Burst of all entries together: one second of the limit, or one request.
fn burst(limit: f64) -> f64 {
    limit.max(1.0)
}

/// Entries that share a limit must neither exceed it nor leave most of it unused.
#[test]
fn verify_entries_together_use_a_limit_and_stay_within_it() {
    for entries in [1, 2, 5, 36, 100] {
        for limit in [0.1, 0.2, 1.0, 4.0, 20.0, 100.0] {
            for traffic in [Traffic::Even, Traffic::Skewed, Traffic::One] {
                let [even, held, asked] = [Scheme::Even, Scheme::Held, Scheme::Asked]
                    .map(|it| simulate(it, entries, limit, traffic));
                println!(
                    "{entries} | {limit} | {traffic:?} | {:.1} {:.1} {:.1} | {:.2} {:.2} {:.2} | {:.1}",
                    even.over,
                    held.over,
                    asked.over,
                    even.used,
                    held.used,
                    asked.used,
                    asked.messages,
                );
                // One more request may fall on the edge of the window.
                assert!(asked.over <= burst(limit) + 1.0, "{entries} {limit}: {}", asked.over);
                let least = if limit * DURATION as f64 / 1_000.0 < 30.0 { 0.5 } else { 0.8 };
                assert!(asked.used > least, "{entries} {limit} {traffic:?}: {}", asked.used);
            }
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A limit that belongs to all entries: what they send together, and when it changes.
//!
//! Ways to share it are compared in a model of entries without network.

use sablepass_core::holders::Holders;
use sablepass_core::id::{Life, Millis};
use sablepass_core::limits::{Bucket, Rate, Turn};

const LIFE: Life<'static> = Life { name: "i-1", born: 100 };
/// Milliseconds of a span in which requests are counted, and of a run.
const SPAN: Millis = 4_000;
const LASTS: Millis = 60_000;

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

fn name(entry: usize) -> String {
    format!("entry-{entry}")
}

/// The view of one of so many entries, once it is settled.
fn settled(entry: usize, entries: usize) -> Holders {
    let mut holders = Holders::open(&name(entry));
    holders.set_peers((0..entries).filter(|it| *it != entry).map(name));
    holders.watch(0, Some(entries));
    holders.watch(2_000, Some(entries));
    holders
}

/// Numbers that are the same in each run.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// How the entries share a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Each has an equal part and may save up one request.
    Even,
    /// As many as the limit allows a second hold it, each with its part.
    Held,
    /// The same; whoever has nowhere else to send a request asks one of them for its turn.
    Asked,
}

/// Where callers come.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Even,
    /// Half of all at one entry.
    Skewed,
    /// All at one entry.
    One,
}

/// How long a request may wait for its turn. Milliseconds.
const WAITS: Millis = 300;

struct Outcome {
    /// Most requests of a span over the limit.
    over: f64,
    /// Part of the limit that was used.
    used: f64,
    /// Messages a second about one target.
    messages: f64,
}

/// What each entry may send, once all are settled.
fn buckets(way: Way, entries: usize, limit: f64) -> Vec<Bucket> {
    let part = |entry: usize| match way {
        Way::Even => Some(rate(limit / entries as f64)),
        Way::Held | Way::Asked => settled(entry, entries).part(LIFE, rate(limit)),
    };
    let bucket = |entry| {
        let mut bucket = Bucket::default();
        bucket.set(0, part(entry));
        bucket
    };
    (0..entries).map(bucket).collect()
}

/// Requests come four times as often as the one target takes them, and there is no other.
fn play(way: Way, entries: usize, limit: f64, traffic: Traffic) -> Outcome {
    let mut draw = Draw(88_172_645_463_325_252);
    let mut buckets = buckets(way, entries, limit);
    let holders: Vec<usize> = (0..entries).filter(|it| buckets[*it].per_second() > 0.0).collect();
    let (mut sent, mut messages) = (Vec::new(), 0);
    for now in 1..LASTS {
        let mut arrivals = limit * 4.0 / 1_000.0;
        while draw.next() < arrivals.min(1.0) {
            arrivals -= 1.0;
            let entry = match traffic {
                Traffic::One => 0,
                Traffic::Skewed if draw.next() < 0.5 => 0,
                Traffic::Even | Traffic::Skewed => (draw.next() * entries as f64) as usize,
            };
            let mut turn = buckets[entry].reserve(now, WAITS);
            let others: Vec<usize> = holders.iter().copied().filter(|it| *it != entry).collect();
            let asks = way == Way::Asked && !others.is_empty();
            if !matches!(turn, Turn::In(_)) && asks {
                messages += 2;
                let asked = (draw.next() * others.len() as f64) as usize;
                turn = buckets[others[asked]].reserve(now, WAITS);
            }
            if let Turn::In(wait) = turn {
                sent.push(now + wait);
            }
        }
    }
    sent.sort_unstable();
    let within = |since: &Millis| {
        let span = *since..since + SPAN;
        sent.iter().filter(|it| span.contains(it)).count() as f64
    };
    let most = sent.iter().map(within).fold(0.0, f64::max);
    let seconds = LASTS as f64 / 1_000.0;
    Outcome {
        over: most - limit * SPAN as f64 / 1_000.0,
        used: sent.len() as f64 / (limit * seconds),
        messages: f64::from(messages) / seconds,
    }
}

/// What all together may send beside the limit: one second of it, or one request.
fn burst(limit: f64) -> f64 {
    limit.max(1.0)
}

/// No way to share it may go over it, and one that never sends is none either.
#[test]
fn verify_all_together_use_a_limit_and_keep_to_it() {
    for entries in [1, 2, 5, 36, 100] {
        for limit in [0.1, 0.2, 1.0, 4.0, 20.0, 100.0] {
            for traffic in [Traffic::Even, Traffic::Skewed, Traffic::One] {
                let [even, held, asked] =
                    [Way::Even, Way::Held, Way::Asked].map(|it| play(it, entries, limit, traffic));
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
                // One more stands on the edge of the span.
                assert!(asked.over <= burst(limit) + 1.0, "{entries} {limit}: {}", asked.over);
                let least = if limit * LASTS as f64 / 1_000.0 < 30.0 { 0.5 } else { 0.8 };
                assert!(asked.used > least, "{entries} {limit} {traffic:?}: {}", asked.used);
            }
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Open-loop traffic for all subcommands that send requests: each request starts at its planned
//! time, even if earlier ones are unanswered, so that a stall shows in the percentiles.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sablepass_stand::client::{Answer, Ask};

/// Stack size of a caller's thread; small, since there are up to `MAX_CALLERS` threads.
const CALLER_STACK_BYTES: usize = 192 * 1024;
/// Maximum number of concurrent callers; arrivals beyond it are counted as `not-started`.
const MAX_CALLERS: usize = 6_000;

/// A stream of requests by callers of one kind.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Name in the results.
    pub name: String,
    /// API key.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Value of the priority header.
    pub priority: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Tokens per answer.
    pub tokens: u64,
    /// Number of distinct prompt prefixes.
    pub prefixes: u64,
}

/// Load to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of the entries, used in turn.
    pub entries: Vec<String>,
    /// Streams of requests, sent concurrently.
    pub streams: Vec<Stream>,
    /// Time before the measurement, whose requests are not recorded.
    pub warmup: Duration,
    /// Length of the measurement.
    pub length: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Statistics of the requests of one stream.
#[derive(Clone, Debug)]
pub struct StreamStats {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: Histogram<u64>,
    /// Time between two events, in milliseconds.
    pub gaps_ms: Histogram<u64>,
    /// Recorded requests.
    pub sent: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Answers that reported success, but were incomplete or belonged to another request.
    pub wrong: u64,
    /// Failed requests by reason.
    pub failed: BTreeMap<String, u64>,
}

impl StreamStats {
    fn new() -> Self {
        // Cannot fail: three significant digits up to an hour are valid bounds.
        let histogram =
            || Histogram::new_with_max(3_600_000, 3).expect("histogram bounds are valid");
        Self {
            first_event_ms: histogram(),
            gaps_ms: histogram(),
            sent: 0,
            whole: 0,
            wrong: 0,
            failed: BTreeMap::new(),
        }
    }

    /// Adds the statistics of another stream.
    pub fn add(&mut self, other: &Self) {
        // Adding cannot fail, since all histograms have the same bounds.
        let _ = self.first_event_ms.add(&other.first_event_ms);
        let _ = self.gaps_ms.add(&other.gaps_ms);
        self.sent += other.sent;
        self.whole += other.whole;
        self.wrong += other.wrong;
        for (reason, count) in &other.failed {
            *self.failed.entry(reason.clone()).or_default() += count;
        }
    }
}

/// Statistics by the name of the stream.
pub type StatsByStream = BTreeMap<String, StreamStats>;

struct Shared {
    stats: Mutex<StatsByStream>,
    /// Number of requests in progress.
    active: AtomicUsize,
}

impl Shared {
    /// Changes the statistics of the stream `name`.
    fn update(&self, name: &str, change: impl FnOnce(&mut StreamStats)) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        change(stats.entry(name.to_owned()).or_insert_with(StreamStats::new));
    }
}

/// Sends the plan's requests and waits for all answers.
pub fn run(plan: &Plan) -> StatsByStream {
    let shared = Arc::new(Shared { stats: Mutex::default(), active: AtomicUsize::new(0) });
    let start = Instant::now();
    let handles: Vec<_> = plan
        .streams
        .iter()
        .enumerate()
        .map(|(index, stream)| {
            let (shared, plan, stream) = (shared.clone(), plan.clone(), stream.clone());
            thread::spawn(move || send_stream(&shared, &plan, &stream, index as u64, start))
        })
        .collect();
    for handle in handles {
        // The thread returns at the end of the plan. A panic ends only this thread's stream.
        let _ = handle.join();
    }
    while shared.active.load(Ordering::Relaxed) > 0 {
        thread::sleep(Duration::from_millis(5));
    }
    shared.stats.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Starts the requests of a stream at their arrival times, until the end of the plan.
fn send_stream(shared: &Arc<Shared>, plan: &Plan, stream: &Stream, index: u64, start: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_add(index * 7_919));
    let mut due = Duration::ZERO;
    let mut number = 0_u64;
    while due < plan.warmup + plan.length && stream.rate > 0.0 {
        thread::sleep((start + due).saturating_duration_since(Instant::now()));
        let counted = due >= plan.warmup;
        let prefix = rng.random_range(0..stream.prefixes.max(1));
        let entry = &plan.entries[(number as usize + index as usize) % plan.entries.len()];
        launch(shared, stream, entry, number, prefix, counted);
        number += 1;
        // Exponentially distributed intervals make the arrivals a Poisson process.
        due += Duration::from_secs_f64(-rng.random_range(1e-12..1.0_f64).ln() / stream.rate);
    }
}

/// Starts a request in a thread of its own, unless `MAX_CALLERS` are in progress.
fn launch(
    shared: &Arc<Shared>,
    stream: &Stream,
    entry: &str,
    number: u64,
    prefix: u64,
    counted: bool,
) {
    if shared.active.load(Ordering::Relaxed) >= MAX_CALLERS {
        shared.update(&stream.name, |it| *it.failed.entry("not-started".into()).or_default() += 1);
        return;
    }
    shared.active.fetch_add(1, Ordering::Relaxed);
    let (caller_shared, caller_stream, entry) = (shared.clone(), stream.clone(), entry.to_owned());
    let work = move || {
        call(&caller_shared, &caller_stream, &entry, number, prefix, counted);
        caller_shared.active.fetch_sub(1, Ordering::Relaxed);
    };
    if thread::Builder::new().stack_size(CALLER_STACK_BYTES).spawn(work).is_err() {
        shared.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends a request, reads its answer and, if `counted`, records the result.
fn call(shared: &Shared, stream: &Stream, entry: &str, number: u64, prefix: u64, counted: bool) {
    let tag = format!("{}n{number}", stream.name);
    // The prefix is as long as the part of a prompt that engines cache.
    let prompt = format!("{:0>256} say {tag}", prefix);
    let mut ask = Ask::chat(&stream.key, &stream.model, &tag, stream.tokens, true);
    ask.body = ask.body.replace(&format!("say {tag}"), &prompt);
    let ask = ask.with("x-sablepass-priority", stream.priority);
    let start = Instant::now();
    let mut last: Option<Instant> = None;
    let mut gaps = Vec::new();
    let mut first = None;
    let answer = ask.send_with(entry, |line| {
        if !line.starts_with("data: {\"choices\"") {
            return;
        }
        let now = Instant::now();
        match last {
            None => first = Some(now.duration_since(start)),
            Some(last) => gaps.push(now.duration_since(last)),
        }
        last = Some(now);
    });
    if counted {
        shared.update(&stream.name, |it| record(it, stream, &tag, &answer, first, &gaps));
    }
}

/// Adds a finished request to the statistics.
fn record(
    stats: &mut StreamStats,
    stream: &Stream,
    tag: &str,
    answer: &Answer,
    first: Option<Duration>,
    gaps: &[Duration],
) {
    stats.sent += 1;
    let millis = |it: &Duration| it.as_millis().min(3_600_000) as u64;
    if answer.status == 200 && answer.reason().is_empty() {
        let expected: String = (0..stream.tokens).map(|it| format!("{tag}:{it} ")).collect();
        if answer.done() && answer.text() == expected {
            stats.whole += 1;
        } else {
            stats.wrong += 1;
        }
        stats.first_event_ms.saturating_record(first.as_ref().map_or(0, millis));
        gaps.iter().for_each(|it| stats.gaps_ms.saturating_record(millis(it)));
        return;
    }
    let reason = if answer.status == 0 { "no-answer".to_owned() } else { answer.reason() };
    *stats.failed.entry(reason).or_default() += 1;
}

/// Formats the statistics as a line of a table.
pub fn line(name: &str, stats: &StreamStats) -> String {
    let first = |at: f64| stats.first_event_ms.value_at_quantile(at);
    let gap = |at: f64| stats.gaps_ms.value_at_quantile(at);
    let failed: Vec<String> =
        stats.failed.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
    format!(
        "{name:<16} {:>6} {:>6} {:>5} | first p50 {:>5} p95 {:>5} p99 {:>5} | gap p50 {:>4} p95 {:>4} | {}",
        stats.sent,
        stats.whole,
        stats.wrong,
        first(0.5),
        first(0.95),
        first(0.99),
        gap(0.5),
        gap(0.95),
        failed.join(", ")
    )
}

/// Formats the statistics as JSON.
pub fn json(name: &str, stats: &StreamStats) -> serde_json::Value {
    let quantiles = |h: &Histogram<u64>| {
        serde_json::json!({
            "p50": h.value_at_quantile(0.5), "p95": h.value_at_quantile(0.95),
            "p99": h.value_at_quantile(0.99), "max": h.max(),
        })
    };
    serde_json::json!({
        "name": name, "sent": stats.sent, "whole": stats.whole, "wrong": stats.wrong,
        "first_ms": quantiles(&stats.first_event_ms), "gap_ms": quantiles(&stats.gaps_ms), "failed": stats.failed,
    })
}

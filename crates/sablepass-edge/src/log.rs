// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The log of a process: lines on standard output, limited in rate, and written by a separate
//! thread so that a slow or closed reader never blocks the event loop.
//!
//! Warnings and errors have priority over other lines: when the rate limit is reached, lines of
//! lower levels are dropped first. Dropped lines are counted, and the next line reports the count.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, FnValue, Level, Logger, OwnedKVList, PushFnValue, Record};

use crate::clock;
use crate::instance::Role;
use crate::settings::{LogFormat, Node};

/// Maximum number of lines that wait for the writing thread; lines beyond it are dropped.
const QUEUE_LINES: usize = 2_048;
/// Size of the largest burst, as seconds of the allowed rate.
const BURST_SECONDS: f64 = 4.0;
/// Fraction of the burst that is reserved for warnings and errors.
const RESERVED_FRACTION: f64 = 0.25;

/// Opens the log of a process.
pub fn open(node: &Node, role: Role) -> Logger {
    let drain = match node.log {
        LogFormat::Json => {
            let json = slog_json::Json::new(io::BufWriter::new(io::stdout()))
                .add_key_value(slog::o!(
                    "event" => PushFnValue(|it: &Record<'_>, out| out.emit(it.msg())),
                    "level" => FnValue(|it: &Record<'_>| it.level().as_short_str()),
                    "steady" => FnValue(|_: &Record<'_>| clock::now()),
                    "time" => FnValue(|_: &Record<'_>| clock::time_of_day()),
                ))
                .set_flush(true)
                .build();
            spawn(Mutex::new(json).ignore_res(), node.log_rate)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(io::stdout());
            spawn(slog_term::FullFormat::new(decorator).build().ignore_res(), node.log_rate)
        }
    };
    let run_id: u32 = rand::random();
    let run_id = format!("{run_id:08x}");
    Logger::root(
        drain,
        slog::o!("process" => node.name.clone(), "role" => role.name(), "life" => run_id),
    )
}

fn spawn<D>(drain: D, rate: u32) -> slog::Fuse<RateLimited<slog_async::Async>>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let writer = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    RateLimited::open(writer, rate).fuse()
}

/// Token bucket of the rate limit, and the number of lines dropped since the last report.
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

/// Limits the rate of log lines.
struct RateLimited<D> {
    inner: D,
    rate: f64,
    bucket: Mutex<Bucket>,
}

impl<D> RateLimited<D> {
    fn open(inner: D, rate: u32) -> Self {
        let rate = f64::from(rate);
        let bucket =
            Bucket { tokens: rate * BURST_SECONDS, refilled_at: Instant::now(), dropped: 0 };
        Self { inner, rate, bucket: Mutex::new(bucket) }
    }

    /// Takes a token for a line. Returns the number of lines dropped before it, or `None` if the
    /// line is dropped.
    fn take_token(&self, level: Level) -> Option<u64> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let elapsed = now.duration_since(bucket.refilled_at).min(Duration::from_secs(60));
        bucket.refilled_at = now;
        let capacity = self.rate * BURST_SECONDS;
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * self.rate).min(capacity);
        let is_important = level.is_at_least(Level::Warning);
        let required = if is_important { 1.0 } else { 1.0 + capacity * RESERVED_FRACTION };
        if bucket.tokens < required {
            bucket.dropped += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.dropped))
    }
}

impl<D: Drain<Ok = ()>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let Some(dropped) = self.take_token(record.level()) else {
            return Ok(());
        };
        if dropped > 0 {
            let kv = slog::b!("lines" => dropped);
            let text = format_args!("lines dropped");
            self.inner.log(&slog::record!(Level::Warning, "", &text, kv), values)?;
        }
        self.inner.log(record, values)
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The log of a process: lines on standard output, bounded in number, written
//! by a thread of their own so that a reader who is slow or gone never blocks
//! the event loop.
//!
//! Lines that tell of something unusual go before those of the usual course:
//! when lines are short, these are dropped first. What is dropped is counted,
//! and the next line says how many.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, FnValue, Level, Logger, OwnedKVList, PushFnValue, Record};

use crate::clock;
use crate::instance::Role;
use crate::settings::{LogFormat, Node};

/// Lines that wait for the writing thread at most; beyond it they are dropped.
const QUEUE: usize = 2_048;
/// Seconds' worth of lines that may come at once.
const BURST: f64 = 4.0;
/// Part of the lines that only unusual ones may use.
const RESERVE: f64 = 0.25;

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
    let life: u32 = rand::random();
    let life = format!("{life:08x}");
    Logger::root(
        drain,
        slog::o!("process" => node.name.clone(), "role" => role.name(), "life" => life),
    )
}

fn spawn<D>(drain: D, rate: u32) -> slog::Fuse<Limited<slog_async::Async>>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let writer = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Limited::open(writer, rate).fuse()
}

/// Lines left, and lines dropped since one said so.
struct Bucket {
    lines: f64,
    filled: Instant,
    dropped: u64,
}

/// Bounds the lines a second.
struct Limited<D> {
    inner: D,
    rate: f64,
    bucket: Mutex<Bucket>,
}

impl<D> Limited<D> {
    fn open(inner: D, rate: u32) -> Self {
        let rate = f64::from(rate);
        let bucket = Bucket { lines: rate * BURST, filled: Instant::now(), dropped: 0 };
        Self { inner, rate, bucket: Mutex::new(bucket) }
    }

    /// Takes a line; how many were dropped before it, or none if it is itself.
    fn take(&self, level: Level) -> Option<u64> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(bucket.filled).min(Duration::from_secs(60));
        bucket.filled = now;
        let most = self.rate * BURST;
        bucket.lines = (bucket.lines + gained.as_secs_f64() * self.rate).min(most);
        let unusual = level.is_at_least(Level::Warning);
        let least = if unusual { 1.0 } else { 1.0 + most * RESERVE };
        if bucket.lines < least {
            bucket.dropped += 1;
            return None;
        }
        bucket.lines -= 1.0;
        Some(std::mem::take(&mut bucket.dropped))
    }
}

impl<D: Drain<Ok = ()>> Drain for Limited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let Some(dropped) = self.take(record.level()) else {
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

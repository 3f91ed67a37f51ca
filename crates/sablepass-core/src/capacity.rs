// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Capacity of an entry: what it may hold at once, derived from the limits of its machine.
//!
//! Callers are distributed over entries without regard to their sizes, so a small entry must refuse
//! what it cannot hold before it runs out of memory or descriptors.

use serde::Deserialize;
use snafu::Snafu;

/// Fewest descriptors with which an entry can serve.
const MIN_DESCRIPTORS: u64 = 512;
/// Least memory with which an entry can serve, in MB.
const MIN_MEMORY: f64 = 32.0;
/// Descriptors reserved for files, listeners and the poll.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Fraction of the other descriptors for connections of callers, and for those to targets. The rest
/// is for connections to other processes.
const CALLER_FRACTION: f64 = 0.5;
const TARGET_FRACTION: f64 = 0.375;

/// Bytes in a MB of memory.
const MB: f64 = (1 << 20) as f64;
/// Fraction of the memory for the state of open requests, for connections of callers, for
/// connections to targets, for bodies, and for what callers have not sent completely or not read.
/// The rest is for the program, its configuration and what the allocator cannot reuse.
const REQUEST_MEMORY: f64 = 0.25;
const CALLER_MEMORY: f64 = 0.125;
const TARGET_MEMORY: f64 = 0.125;
const BODY_MEMORY: f64 = 0.25;
const BUFFER_MEMORY: f64 = 0.125;
/// Bytes for an open request without its body: its state, a head, and part of an answer that its
/// caller does not read fast enough.
const REQUEST_BYTES: f64 = 32.0 * 1024.0;
/// Bytes for a connection: the buffers of an idle connection take 8 KB.
const CONNECTION_BYTES: f64 = 12.0 * 1024.0;
/// Copies of a body: the request keeps one, and one is in the send buffer of its attempt.
const BODY_COPIES: f64 = 2.0;
/// Time in seconds in which the link must be able to carry the bodies held. Callers wait for about
/// that long; what takes longer is answered too late.
const BODY_SECONDS: f64 = 4.0;

/// Open requests per core: three times the streams that a core can forward, as open requests also
/// wait for a target.
const REQUESTS_PER_CORE: f64 = 8_000.0;
/// Megabits per second of link for each open request: an event of 150 bytes every 60 ms.
const REQUEST_MBIT: f64 = 0.02;

/// Log lines per second and core, so that logging takes a small part of the processor.
const LOG_LINES_PER_CORE: f64 = 2_000.0;
/// Fewest log lines per second, so that the log of any process can be read.
const MIN_LOG_LINES: f64 = 20.0;

/// A limit that cannot be used.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{key} = {value}; allowed is {allowed}"))]
pub struct Error {
    /// Name of the limit.
    pub key: &'static str,
    /// Its value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: &'static str,
}

/// Limits of a machine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory in MB.
    pub memory: f64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Bandwidth of the network link in Mbit/s.
    pub link: f64,
    /// Share of a processor core; may exceed 1.
    pub cores: f64,
}

/// What an entry may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to targets.
    pub targets: usize,
    /// Open requests; no more than connections to targets, as each may need one.
    pub requests: usize,
    /// Bytes of request bodies.
    pub bodies: usize,
    /// Bytes of unfinished heads, and of answers that callers have not read.
    pub buffers: usize,
    /// Log lines per second.
    pub log_lines: u32,
}

impl Limits {
    /// Returns an error for the first limit that cannot be used.
    pub fn check(&self) -> Result<(), Error> {
        let ensure = |key, value: String, fits, allowed| {
            if fits { Ok(()) } else { Err(Error { key, value, allowed }) }
        };
        let positive = |it: f64| it.is_finite() && it > 0.0;
        let memory = self.memory.is_finite() && self.memory >= MIN_MEMORY;
        ensure("limits.memory", self.memory.to_string(), memory, "32 or more (MB)")?;
        let descriptors = self.descriptors >= MIN_DESCRIPTORS;
        ensure("limits.descriptors", self.descriptors.to_string(), descriptors, "512 or more")?;
        let link = positive(self.link);
        ensure("limits.link", self.link.to_string(), link, "more than 0 (Mbit/s)")?;
        let cores = positive(self.cores);
        ensure("limits.cores", self.cores.to_string(), cores, "more than 0 (cores)")
    }

    /// Derives the capacity.
    pub fn capacity(&self) -> Result<Capacity, Error> {
        self.check()?;
        let memory = self.memory * MB;
        let descriptors = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let callers =
            (descriptors * CALLER_FRACTION).min(memory * CALLER_MEMORY / CONNECTION_BYTES);
        let targets =
            (descriptors * TARGET_FRACTION).min(memory * TARGET_MEMORY / CONNECTION_BYTES);
        let requests = (memory * REQUEST_MEMORY / REQUEST_BYTES)
            .min(self.cores * REQUESTS_PER_CORE)
            .min(self.link / REQUEST_MBIT)
            .min(targets);
        let carried = self.link * 1e6 / 8.0 * BODY_SECONDS;
        let bodies = (memory * BODY_MEMORY / BODY_COPIES).min(carried);
        let log_lines = (self.cores * LOG_LINES_PER_CORE).max(MIN_LOG_LINES);
        Ok(Capacity {
            callers: count(callers),
            targets: count(targets),
            requests: count(requests),
            bodies: count(bodies),
            buffers: count(memory * BUFFER_MEMORY),
            log_lines: count(log_lines) as u32,
        })
    }
}

/// Rounds down to a number that is at least 1. Larger numbers than any process reaches are reduced.
fn count(value: f64) -> usize {
    value.clamp(1.0, f64::from(u32::MAX)) as usize
}

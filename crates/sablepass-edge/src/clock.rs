// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The clock that the programs pass to the core.
//!
//! Timestamps are exchanged between processes and protect leases and deadlines, so the clock must
//! advance while a machine is suspended. With a clock that stops during a suspension, a process
//! would stay behind all others after it resumes.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use sablepass_core::id::Millis;

/// Minimum gap between two checks, which are made every 25 ms, that is not explained by scheduling
/// delay: the machine was suspended, or the process was stopped. Agents count as unresponsive after
/// half of this time.
const MIN_SUSPENSION: Millis = 1_200;

static START: OnceLock<(Millis, Duration)> = OnceLock::new();

/// Milliseconds since the Unix epoch. The value is the time of day at the start of the process,
/// advanced by the time since boot, which includes suspensions. A step of the system time does not
/// affect a running process. Hosts synchronize their clocks; the skew between two hosts is part of
/// the hand-over margin of keys.
pub fn now() -> Millis {
    let (epoch, start) = START.get_or_init(|| (time_of_day(), since_boot()));
    epoch + since_boot().saturating_sub(*start).as_millis() as Millis
}

/// Time since the machine was booted, including suspensions.
fn since_boot() -> Duration {
    // Linux provides this clock since 2.6.39. Without it the time would not advance, which the
    // first deadline would reveal.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Milliseconds since the Unix epoch by the system time, which may be stepped. Not for measuring
/// durations.
pub fn time_of_day() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as Millis)
}

/// Detects that this process did not run for a while.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    last_check: Option<Millis>,
}

impl SuspensionDetector {
    /// Checks the clock. Returns the length of a suspension if the process has just resumed from
    /// one.
    pub fn check(&mut self, now: Millis) -> Option<Millis> {
        let before = self.last_check.replace(now)?;
        Some(now.saturating_sub(before)).filter(|it| *it >= MIN_SUSPENSION)
    }
}

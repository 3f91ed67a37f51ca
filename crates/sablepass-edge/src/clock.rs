// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The clock that the programs hand to the core.
//!
//! Its times travel between processes and guard promises, so it has to go on
//! while a machine is suspended: by a clock that stands still meanwhile a process
//! would be behind all others for good once it wakes.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use sablepass_core::id::Millis;

/// A gap between two looks at the clock, which are made every 25 ms, that is no
/// delay of the scheduler: the machine was suspended, or the process stopped.
/// Agents count as quiet after half of it.
const SLEEP: Millis = 1_200;

static START: OnceLock<(Millis, Duration)> = OnceLock::new();

/// Milliseconds since the Unix epoch by the time of day when the process
/// started, counted on by the time since the machine was booted, suspended or
/// not. A jump of the time of day moves nothing in a process that runs. Hosts
/// keep their clocks together; the skew between two of them is part of the
/// hand-over margin of keys.
pub fn now() -> Millis {
    let (epoch, start) = START.get_or_init(|| (time_of_day(), since_boot()));
    epoch + since_boot().saturating_sub(*start).as_millis() as Millis
}

/// Time since the machine was booted, in which it may have been suspended.
fn since_boot() -> Duration {
    // Linux has had this clock since 2.6.39; where it is missing time stands still,
    // which the first deadline shows.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Milliseconds since the Unix epoch by the time of day, for log lines only.
pub fn time_of_day() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as Millis)
}

/// Notices that this process did not run for a while.
#[derive(Debug, Default)]
pub struct Sleep {
    looked: Option<Millis>,
}

impl Sleep {
    /// Looks at the clock. How long the process did not run, if it woke just now.
    pub fn look(&mut self, now: Millis) -> Option<Millis> {
        let before = self.looked.replace(now)?;
        Some(now.saturating_sub(before)).filter(|it| *it >= SLEEP)
    }
}

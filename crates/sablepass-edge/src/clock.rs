// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The clock that the programs hand to the core.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use sablepass_core::id::Millis;

static START: OnceLock<(Millis, Instant)> = OnceLock::new();

/// Milliseconds since the Unix epoch by the time of day when the process
/// started, counted on by the steady clock. A jump of the time of day moves
/// nothing in a process that runs. Hosts keep their clocks together; the skew
/// between two of them is part of the hand-over margin of keys.
pub fn now() -> Millis {
    let (epoch, start) = START.get_or_init(|| (time_of_day(), Instant::now()));
    epoch + start.elapsed().as_millis() as Millis
}

/// Milliseconds since the Unix epoch by the time of day, for log lines only.
pub fn time_of_day() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as Millis)
}

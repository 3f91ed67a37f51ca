// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Checks of tests whether a target received more requests than the limit that it announced, or
//! than it can sustain while it is cold.

use crate::replica::Arrival;

/// Time after the first announcement of a limit in which entries may exceed it, in milliseconds.
pub const GRACE_MS: u64 = 3_000;
/// Length of the window in which requests are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;
/// Requests allowed in a window in addition to `LIMIT_FACTOR` times the limit.
pub const SLACK_REQUESTS: f64 = 5.0;
/// Allowed rate in a window, as a multiple of the limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Settings of an entry that limit the rate of cold targets, as the platform sets them.
pub const COLD_SETTINGS: &str = "cold.overshoot = 1.5\ncold.slack = 5\n";
/// Line of the section `[node]` without which instance lists state no cold times.
pub const COLD_LIST_SETTING: &str = "list_cold = true\n";

/// Highest number of requests in a window that starts at one of them, and the number allowed.
///
/// Counts the requests whose responses announced `limit`, in windows that start at least
/// [`GRACE_MS`] after the first of them. Returns `None` if there is no such window.
pub fn busiest_window(arrivals: &[Arrival], limit: f64) -> Option<(usize, f64)> {
    let announced = arrivals.iter().filter(|it| it.limit == Some(limit));
    let times: Vec<u64> = announced.map(|it| it.at).collect();
    let binding_from = times.first()? + GRACE_MS;
    let starts = times.iter().filter(|it| **it >= binding_from);
    let count_from = |start: &u64| {
        let window = *start..start + WINDOW_MS;
        times.iter().filter(|it| window.contains(it)).count()
    };
    let highest = starts.map(count_from).max()?;
    Some((highest, allowed(limit)))
}

/// Requests allowed in one window.
pub fn allowed(limit: f64) -> f64 {
    LIMIT_FACTOR * limit * WINDOW_MS as f64 / 1_000.0 + SLACK_REQUESTS
}

/// Requests that a cold target may receive in any second with [`COLD_SETTINGS`].
pub fn allowed_cold(per_second: f64) -> usize {
    (1.5 * per_second + 5.0) as usize
}

/// Highest number of arrivals in a second that starts at one of them.
pub fn busiest_second(arrivals: &[Arrival]) -> usize {
    let count_from =
        |start: u64| arrivals.iter().filter(|it| (start..start + 1_000).contains(&it.at)).count();
    arrivals.iter().map(|it| count_from(it.at)).max().unwrap_or(0)
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Checks of tests whether a target received more requests than the limit that it announced.

use crate::replica::Arrival;

/// Time after the first announcement of a limit in which entries may exceed it, in milliseconds.
pub const GRACE_MS: u64 = 3_000;
/// Length of the window in which requests are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;
/// Requests allowed in a window in addition to `LIMIT_FACTOR` times the limit.
pub const SLACK_REQUESTS: f64 = 5.0;
/// Allowed rate in a window, as a multiple of the limit.
const LIMIT_FACTOR: f64 = 1.5;

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

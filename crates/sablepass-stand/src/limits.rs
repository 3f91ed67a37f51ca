// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Judges whether a target got more than the limit that it named.

use crate::replica::Arrival;

/// Time after a target first named a limit from which that binds. Milliseconds.
pub const CONTACT: u64 = 3_000;
/// Span in which requests are counted. Milliseconds.
pub const SPAN: u64 = 4_000;
/// Requests that may come in a span beside what the limit allows.
pub const SLACK: f64 = 5.0;
/// What may come in a span, in parts of what the limit allows.
const PART: f64 = 1.5;

/// The requests of the fullest span in which a target named this limit all the while,
/// with what was allowed there; none if there was no such span.
pub fn fullest_span(arrivals: &[Arrival], limit: f64) -> Option<(usize, f64)> {
    let naming = arrivals.iter().filter(|it| it.limit == Some(limit));
    let times: Vec<u64> = naming.map(|it| it.at).collect();
    let from = times.first()? + CONTACT;
    let late = times.iter().filter(|it| **it >= from);
    let within = |since: &u64| {
        let span = *since..since + SPAN;
        times.iter().filter(|it| span.contains(it)).count()
    };
    let most = late.map(within).max()?;
    Some((most, allowed(limit)))
}

/// What may come in a span.
pub fn allowed(limit: f64) -> f64 {
    PART * limit * SPAN as f64 / 1_000.0 + SLACK
}

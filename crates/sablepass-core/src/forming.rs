// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Predicts when a group of ranks that is not ready becomes ready.
//!
//! A group becomes ready a declared time after its last rank returned. While a rank is missing,
//! that time is unknown and callers are asked to retry later; once all ranks are present, a request
//! that waits is served sooner than one that is retried.

use crate::id::Millis;

/// Time from the first instance list during which a rank of unknown state counts as present:
/// entries connect to the agents on the targets' machines and receive their state within about 300
/// ms.
pub const GRACE: Millis = 800;

/// What an entry knows of a group's ranks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    /// Size of the group, the largest that its ranks report; 0 without a report.
    pub size: u32,
    /// Ranks that respond and report that the group is not ready.
    pub closed: u32,
    /// Ranks whose state is not known yet.
    pub unknown: u32,
}

/// Time after a rank's return in which the next one is expected, if all were lost at once.
const RETURN_INTERVAL: Millis = 800;
/// Time from when a group becomes ready until entries know: reports of its ranks are up to 200 ms
/// old.
const REPORT_DELAY: Millis = 100;

/// Declared and configured times of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time from the return of the last rank until the group becomes ready, as declared.
    pub form: Millis,
    /// Time for which the group stalls before it gives up a lost rank. A process that starts after
    /// all ranks were lost finds them complete before that time is over.
    pub stall: Millis,
}

/// When a group is expected to become ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Opens {
    /// Time from now.
    pub within: Millis,
    /// Whether all ranks are present; otherwise they are still returning.
    pub sure: bool,
}

/// State of a group, as one entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forming {
    /// Since when all ranks are present.
    complete: Option<Millis>,
    /// When a rank last returned, while ranks are returning.
    returned: Option<Millis>,
    last_closed: u32,
    closed: bool,
}

impl Forming {
    /// Updates the state. `young` is whether this process started to learn of the ranks less than
    /// [`GRACE`] ago: ranks that it finds then have just returned, since this process has just
    /// started too.
    pub fn watch(&mut self, now: Millis, ranks: Ranks, young: bool) {
        let unknown = if young { ranks.unknown } else { 0 };
        let complete = unknown > 0 || (ranks.size > 0 && ranks.closed >= ranks.size);
        let returning = young || self.returned.is_some_and(|it| now < it + RETURN_INTERVAL);
        if ranks.closed > self.last_closed && returning {
            self.returned = Some(now);
        }
        self.last_closed = ranks.closed;
        self.closed = ranks.closed > 0 || unknown > 0;
        self.complete = if complete { self.complete.or(Some(now)) } else { None };
    }

    /// Whether the group is not ready.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// When the group is expected to become ready; none if it is ready or the time is unknown.
    pub fn opens(&self, now: Millis, times: Times) -> Option<Opens> {
        let form = times.form;
        if !self.closed {
            return None;
        }
        let within = |since: Millis| (since + form + REPORT_DELAY).saturating_sub(now);
        if let Some(since) = self.complete {
            let due = now < since + form + times.stall;
            return due.then(|| Opens { within: within(since), sure: true });
        }
        let returning = self.returned.is_some_and(|it| now < it + RETURN_INTERVAL);
        returning.then(|| Opens { within: within(now), sure: false })
    }

    /// Whether the group is expected to become ready soon.
    pub fn opens_soon(&self, now: Millis, times: Times) -> bool {
        self.opens(now, times).is_some()
    }
}

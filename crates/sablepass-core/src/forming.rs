// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether a group of ranks that is closed is about to open.
//!
//! A group opens a declared time after its last rank is back. While a rank is
//! missing nobody knows when that will be, and callers are told to come back;
//! once all are there, a request that waits is served sooner than one that is
//! sent away.

use crate::id::Millis;

/// Time from the first list on in which a rank that nothing is known of counts
/// as there: the agents beside the targets are dialled and tell how they stand
/// in some 300 ms.
pub const GRACE: Millis = 800;

/// What is known of a group's ranks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    /// Ranks of the whole group, as the largest of them says; 0 if none does.
    pub size: u32,
    /// Ranks that answer and say that the group is closed.
    pub closed: u32,
    /// Targets of which nothing is known yet.
    pub unknown: u32,
}

/// How long after a rank came back the next one is expected, where all were lost at once.
const RETURNING: Millis = 800;
/// Time from a group's opening until entries know of it: reports of its ranks
/// are up to 200 ms old.
const TOLD: Millis = 100;

/// Times of a group, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// From the return of its last rank until it opens, as declared.
    pub form: Millis,
    /// For which it stands before it gives up a rank that it lost. Whoever starts
    /// after a loss of all finds the ranks complete before that is over.
    pub stall: Millis,
}

/// When a closed group opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Opens {
    /// Milliseconds from now.
    pub within: Millis,
    /// All ranks are there; else they are coming back.
    pub sure: bool,
}

/// A group as one entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forming {
    /// Since when all ranks are there.
    complete: Option<Millis>,
    /// When a rank last came back, where ranks are coming back.
    returned: Option<Millis>,
    known: u32,
    closed: bool,
}

impl Forming {
    /// Takes what is known now. `young` is whether this process began to learn
    /// of the ranks less than [`GRACE`] ago: what it finds then has just come
    /// back, as this process has.
    pub fn watch(&mut self, now: Millis, ranks: Ranks, young: bool) {
        let unknown = if young { ranks.unknown } else { 0 };
        let complete = unknown > 0 || (ranks.size > 0 && ranks.closed >= ranks.size);
        let returning = young || self.returned.is_some_and(|it| now < it + RETURNING);
        if ranks.closed > self.known && returning {
            self.returned = Some(now);
        }
        self.known = ranks.closed;
        self.closed = ranks.closed > 0 || unknown > 0;
        self.complete = if complete { self.complete.or(Some(now)) } else { None };
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// When it is expected to open; none if it is open or nobody knows.
    pub fn opens(&self, now: Millis, times: Times) -> Option<Opens> {
        let form = times.form;
        if !self.closed {
            return None;
        }
        let within = |since: Millis| (since + form + TOLD).saturating_sub(now);
        if let Some(since) = self.complete {
            let due = now < since + form + times.stall;
            return due.then(|| Opens { within: within(since), sure: true });
        }
        let returning = self.returned.is_some_and(|it| now < it + RETURNING);
        returning.then(|| Opens { within: within(now), sure: false })
    }

    /// Whether it is expected to open soon.
    pub fn opens_soon(&self, now: Millis, times: Times) -> bool {
        self.opens(now, times).is_some()
    }
}

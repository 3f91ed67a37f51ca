// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether a group of ranks that is closed is about to open.
//!
//! A group opens a declared time after its last rank is back. While a rank is
//! missing nobody knows when that will be, and callers are told to come back;
//! once all are there, a request that waits is served sooner than one that is
//! sent away.

use crate::id::Millis;

/// Time beyond the declared one in which a group still opens: reports of its
/// ranks are 200 ms old, and their agents pass them on every 200.
const MARGIN: Millis = 500;
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

/// A group as one entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forming {
    /// Since when all ranks are there.
    complete: Option<Millis>,
    closed: bool,
}

impl Forming {
    /// Takes what is known now. `young` is whether this process began to learn
    /// of the ranks less than [`GRACE`] ago.
    pub fn watch(&mut self, now: Millis, ranks: Ranks, young: bool) {
        let unknown = if young { ranks.unknown } else { 0 };
        let complete = unknown > 0 || (ranks.size > 0 && ranks.closed >= ranks.size);
        self.closed = ranks.closed > 0 || unknown > 0;
        self.complete = if complete { self.complete.or(Some(now)) } else { None };
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether it is expected to open soon, given the time in which a complete
    /// group does so.
    pub fn opens_soon(&self, now: Millis, form: Millis) -> bool {
        self.closed && self.complete.is_some_and(|since| now < since + form + MARGIN)
    }
}

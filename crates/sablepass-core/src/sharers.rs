// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Counts the processes that share common limits, as one of them sees it.
//!
//! The slots of a group and the retry budget belong to all entries together, and each entry uses
//! its share. Too low a count lets the entries together exceed a limit, so the count rises as soon
//! as any source reports more processes; it falls only after all sources have reported fewer for a
//! while.

use crate::id::Millis;

/// How long all sources must report fewer processes: at least as long as two processes take to
/// exchange whom they are connected to.
const DECREASE_DELAY: Millis = 800;

/// How long a process that has just started waits for a report of the count.
const INITIAL_WAIT: Millis = 1_000;

/// Number of processes that share limits.
#[derive(Clone, Copy, Debug)]
pub struct Sharers {
    count: usize,
    /// Since when fewer processes are seen than counted.
    fewer_since: Option<Millis>,
    /// State of the initial phase, in which the count may be far too low since no process has
    /// reported one; none after it, or if no report is expected.
    learning: Option<Learning>,
}

#[derive(Clone, Copy, Debug)]
enum Learning {
    Started,
    Until(Millis),
}

impl Sharers {
    /// Creates the count of a process that has no connections yet. `expects_reports` is whether
    /// there are processes that can report the count.
    pub fn open(expects_reports: bool) -> Self {
        Self { count: 1, fewer_since: None, learning: expects_reports.then_some(Learning::Started) }
    }

    /// Updates the count. `connected` is the number of processes that this process sees, itself
    /// included; `reported` is the largest count that another process reported recently, if any
    /// did.
    pub fn watch(&mut self, now: Millis, connected: usize, reported: Option<usize>) {
        let seen = connected.max(reported.unwrap_or(0)).max(1);
        // A process that receives nothing is cut off, while the others may still be running.
        let cut_off = connected <= 1 && reported.is_none();
        self.learning = match self.learning {
            Some(Learning::Started) => Some(Learning::Until(now + INITIAL_WAIT)),
            Some(Learning::Until(it)) if now < it => Some(Learning::Until(it)),
            _ => None,
        };
        if reported.is_some() {
            self.learning = None;
        }
        if seen >= self.count || cut_off {
            self.count = self.count.max(seen);
            self.fewer_since = None;
            return;
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now >= since + DECREASE_DELAY {
            self.count = seen;
            self.fewer_since = None;
        }
    }

    /// Number of processes, this one included.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether the initial phase is over.
    pub fn is_known(&self) -> bool {
        self.learning.is_none()
    }
}

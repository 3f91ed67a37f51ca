// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Detects outages of a service that all processes read, from this process's own calls and from
//! what peers report of theirs.
//!
//! An item that a healthy service stops listing was removed. An item missing after an outage may
//! merely have expired during the outage, and may be written again soon.

use crate::id::Millis;

/// Shortest failure that counts as an outage. A call that fails and succeeds when retried within
/// this time was merely interrupted, as by a connection that is closed while in use; no item
/// expires within it.
const MIN_OUTAGE: Millis = 500;

/// Outage state of a service.
#[derive(Debug)]
pub struct Outages {
    /// Longest time between two answers of a healthy service.
    max_idle: Millis,
    /// Time of the last answer to any process; 0 before the first answer.
    answered: Millis,
    /// Start of the current outage.
    failed_since: Option<Millis>,
    /// End of the last outage or restore; 0 if there was none.
    recovered_at: Millis,
}

impl Outages {
    /// Creates the state without an outage. A healthy service answers at least one process every
    /// `max_idle` milliseconds.
    pub fn open(max_idle: Millis) -> Self {
        Self { max_idle, answered: 0, failed_since: None, recovered_at: 0 }
    }

    /// Records a failed call whose answer was due at `due`.
    pub fn failed(&mut self, due: Millis) {
        self.failed_since.get_or_insert(due);
    }

    /// Records that the service answered a call of any process.
    pub fn answered(&mut self, at: Millis) {
        if at <= self.answered || self.failed_since.is_some_and(|since| at <= since) {
            return;
        }
        let failed = self.failed_since.take().is_some_and(|since| at > since + MIN_OUTAGE);
        let silent = self.answered > 0 && at > self.answered + self.max_idle + MIN_OUTAGE;
        if failed || silent {
            self.recovered_at = at;
        }
        self.answered = at;
    }

    /// Records that the service was restored from a backup.
    pub fn restored(&mut self, now: Millis) {
        self.recovered_at = now;
    }

    /// End of the last outage or restore; 0 if there was none.
    pub fn recovered_at(&self) -> Millis {
        self.recovered_at
    }
}

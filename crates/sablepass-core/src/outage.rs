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

/// Observation from which an outage is concluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Calls of this process failed or were answered late.
    FailedCalls,
    /// No process is known to have received an answer.
    NoAnswers,
    /// The service was restored from a backup.
    Restore,
}

impl Evidence {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::FailedCalls => "failed-calls",
            Self::NoAnswers => "no-answers",
            Self::Restore => "restore",
        }
    }
}

/// An outage that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Observation from which the outage is concluded.
    pub evidence: Evidence,
    /// Time of the first failure or of the last answer before the outage.
    pub since: Millis,
    /// Time of the first answer after the outage.
    pub until: Millis,
}

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

    /// Records that the service answered a call of any process. Returns the outage that this ends.
    pub fn answered(&mut self, at: Millis) -> Option<Outage> {
        if at <= self.answered || self.failed_since.is_some_and(|since| at <= since) {
            return None;
        }
        let failed = self.failed_since.take().filter(|since| at > since + MIN_OUTAGE);
        let last = std::mem::replace(&mut self.answered, at);
        let silent = last > 0 && at > last + self.max_idle + MIN_OUTAGE;
        let (evidence, since) = match failed {
            Some(since) => (Evidence::FailedCalls, since),
            None if silent => (Evidence::NoAnswers, last),
            None => return None,
        };
        self.recovered_at = at;
        Some(Outage { evidence, since, until: at })
    }

    /// Records that the service was restored from a backup.
    pub fn restored(&mut self, now: Millis) -> Outage {
        self.recovered_at = now;
        Outage { evidence: Evidence::Restore, since: now, until: now }
    }

    /// End of the last outage or restore; 0 if there was none.
    pub fn recovered_at(&self) -> Millis {
        self.recovered_at
    }
}

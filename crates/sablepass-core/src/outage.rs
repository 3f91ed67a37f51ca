// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When a service that all processes read was last away, as one of them sees it: by its own
//! calls, and by what others say of theirs.
//!
//! What a service lists no more while it is well has left. What it lists no more when it is
//! back may have lapsed meanwhile, and be written again soon.

use crate::id::Millis;

/// A call that fails and succeeds when it is made again within this time was cut, as a
/// connection that is closed as it is used; nothing lapses within it.
const LULL: Millis = 500;

/// The outages of a service.
#[derive(Debug)]
pub struct Outages {
    /// Longest time between two answers of a service that is well.
    quiet: Millis,
    /// When it last answered anybody; 0 before the first answer.
    answered: Millis,
    /// Since when it has not answered.
    away: Option<Millis>,
    /// When it last came back; 0 if it never was away.
    back: Millis,
}

impl Outages {
    /// Opens without an outage. A service that is well answers somebody every `quiet`
    /// milliseconds.
    pub fn open(quiet: Millis) -> Self {
        Self { quiet, answered: 0, away: None, back: 0 }
    }

    /// Records a call without an answer, which would have come by `due`.
    pub fn failed(&mut self, due: Millis) {
        self.away.get_or_insert(due);
    }

    /// Records that the service answered somebody.
    pub fn answered(&mut self, at: Millis) {
        if at <= self.answered || self.away.is_some_and(|since| at <= since) {
            return;
        }
        let failed = self.away.take().is_some_and(|since| at > since + LULL);
        let silent = self.answered > 0 && at > self.answered + self.quiet + LULL;
        if failed || silent {
            self.back = at;
        }
        self.answered = at;
    }

    /// Records that the service was restored from a copy.
    pub fn restored(&mut self, now: Millis) {
        self.back = now;
    }

    /// When it last came back; 0 if it never was away.
    pub fn back(&self) -> Millis {
        self.back
    }
}

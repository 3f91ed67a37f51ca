// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Finds out whether an answer that states no length is complete.
//!
//! Such an answer ends with its connection. So does the answer of a target whose process ends, and
//! the two look the same. The answer is complete if the same incarnation of its target answers a
//! request that was sent after the connection had ended.
//!
//! Nothing less proves it. A connection that is accepted may lead to another incarnation at the
//! address, the end of another connection may still be on its way, and the instance list lags
//! behind.

use std::collections::HashMap;

use crate::id::{AttemptId, Millis, TargetIncarnation};

/// Time after the end of an answer from which a request proves with its answer that the target
/// lives on: a process that shuts down may close one connection shortly before it ends.
pub const SETTLE_TIME: Millis = 3;

/// An answer that ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedEnd {
    /// The attempt that was answered.
    pub attempt: AttemptId,
    /// Length of the answer's body in bytes.
    pub length: u64,
    /// When the connection ended.
    pub ended_at: Millis,
}

/// A target's name, and the start time of its incarnation.
type Key = (String, Millis);

/// Answers whose ends are neither confirmed nor refuted, by the target's incarnation.
#[derive(Debug, Default)]
pub struct UnconfirmedEnds {
    ends: HashMap<Key, Vec<UnconfirmedEnd>>,
}

fn key(target: TargetIncarnation<'_>) -> Key {
    (target.name.to_owned(), target.started_at)
}

impl UnconfirmedEnds {
    /// Adds an answer that ended.
    pub fn add(&mut self, target: TargetIncarnation<'_>, end: UnconfirmedEnd) {
        self.ends.entry(key(target)).or_default().push(end);
    }

    /// Whether no end is unconfirmed.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether the end of an attempt's answer is unconfirmed.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.ends.values().flatten().any(|it| it.attempt == attempt)
    }

    /// Time until a request to an incarnation would confirm an end, in milliseconds; 0 if it would
    /// now, and none if no end of its answers is unconfirmed.
    pub fn time_to_check(&self, now: Millis, target: TargetIncarnation<'_>) -> Option<Millis> {
        if self.is_empty() {
            return None;
        }
        let first = self.ends.get(&key(target))?.iter().map(|it| it.ended_at).min()?;
        Some((first + SETTLE_TIME).saturating_sub(now))
    }

    /// Records that an incarnation answered a request that was sent at `sent`. Returns the answers
    /// that this proves to be complete.
    pub fn record_answer(
        &mut self,
        target: TargetIncarnation<'_>,
        sent: Millis,
    ) -> Vec<UnconfirmedEnd> {
        if self.is_empty() {
            return Vec::new();
        }
        let key = key(target);
        let Some(ends) = self.ends.remove(&key) else { return Vec::new() };
        let (complete, unconfirmed): (Vec<UnconfirmedEnd>, Vec<UnconfirmedEnd>) =
            ends.into_iter().partition(|it| sent >= it.ended_at + SETTLE_TIME);
        if !unconfirmed.is_empty() {
            self.ends.insert(key, unconfirmed);
        }
        complete
    }

    /// Records that the process of an incarnation has ended. Returns its answers, which may be
    /// incomplete.
    pub fn record_exit(&mut self, target: TargetIncarnation<'_>) -> Vec<UnconfirmedEnd> {
        self.ends.remove(&key(target)).unwrap_or_default()
    }

    /// Removes the ends for which `is_current` returns false.
    pub fn retain(&mut self, is_current: impl Fn(&UnconfirmedEnd) -> bool) {
        self.ends.retain(|_, ends| {
            ends.retain(&is_current);
            !ends.is_empty()
        });
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Tracks since when a service that all processes read has been available.
//!
//! An item that an available service stops listing was removed. An item missing after an outage may
//! merely have expired during the outage, and may be written again soon.
//!
//! A process whose calls fail cannot tell an outage from its own suspension or loss of contact, and
//! one that makes no calls hears of only some answers. So processes exchange the periods in which
//! the service answered any of them, and only a gap that none of these periods covers counts as an
//! outage.

use crate::id::Millis;

/// Longest time without an answer that is no outage. Instances renew their items about every second
/// and expire after three missed renewals, so no item expires in a shorter outage.
const MAX_GAP: Millis = 2_000;

/// Longest time from the last failed call to the assumed end of an outage. A process that calls
/// rarely would otherwise take the end of an outage for much later than it was.
const MAX_DETECTION_TIME: Millis = 500;

/// Observation from which an outage is concluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Calls of this process failed or were answered late.
    FailedCalls,
    /// A peer reported it.
    Reported,
    /// The service was restored from a backup.
    Restore,
}

impl Evidence {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::FailedCalls => "failed-calls",
            Self::Reported => "reported",
            Self::Restore => "restore",
        }
    }
}

/// An outage that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Observation from which the outage is concluded.
    pub evidence: Evidence,
    /// Time of the last answer before the outage.
    pub since: Millis,
    /// Time of the first answer after the outage.
    pub until: Millis,
}

/// What an observation changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing, or the current period became longer.
    None,
    /// An outage has ended.
    Ended(Outage),
    /// There was no outage before the current period, since another process received answers
    /// meanwhile.
    Disproved,
}

/// A period in which a service answered without an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Period {
    /// Era of the service.
    pub era: u64,
    /// Assumed end of the outage before the period, at or before the first answer.
    pub recovered: Millis,
    /// Time of the first answer.
    pub since: Millis,
    /// Time of the last answer.
    pub until: Millis,
}

impl Period {
    /// Whether two periods are parts of a longer one.
    fn touches(&self, other: &Self) -> bool {
        self.since <= other.until.saturating_add(MAX_GAP)
            && other.since <= self.until.saturating_add(MAX_GAP)
    }

    /// The period of which both are parts. The process that saw the last failure knows best when
    /// the outage ended, unless another one had an answer before.
    fn union(&self, other: &Self) -> Self {
        let since = self.since.min(other.since);
        let recovered = self.recovered.max(other.recovered).min(since);
        Self { recovered, since, until: self.until.max(other.until), ..*self }
    }
}

/// The latest period in which a service was available.
#[derive(Debug, Default)]
pub struct Availability {
    period: Option<Period>,
    /// Time of the first answer to this process, unless a peer had reported one before. Nothing was
    /// listed earlier that could have expired.
    first_answer: Option<Millis>,
    /// Time of the last failure of a call of this process; 0 if there was none.
    failed_at: Millis,
}

impl Availability {
    /// Records that the service did not answer a call of this process at `at`.
    pub fn failed(&mut self, at: Millis) {
        self.failed_at = at;
    }

    /// Time of the last failure, if nobody is known to have received an answer since.
    fn unanswered_failure(&self) -> Option<Millis> {
        let answered_at = self.period.map_or(0, |it| it.until);
        Some(self.failed_at).filter(|it| *it > answered_at)
    }

    /// Records the answer to a call of this process. A late answer proves nothing of the time since
    /// the start of the call, and is recorded as if the call had started `at` the answer.
    pub fn answered(&mut self, era: u64, started: Millis, at: Millis) -> Change {
        if self.period.is_none() {
            self.first_answer = Some(at);
        }
        let failure = self.unanswered_failure();
        let available_from = started.max(at.saturating_sub(MAX_GAP));
        let continues = |own: &Period| {
            let gap = available_from.saturating_sub(own.until);
            // Without a failure there was no call in the gap.
            own.era == era && (gap <= MAX_GAP || failure.is_none())
        };
        if let Some(own) = self.period.filter(continues) {
            return self.observed(Period { until: at, ..own });
        }
        // The call may have been waiting for the service to return.
        let recovered = failure.map_or(at, |it| it.saturating_add(MAX_DETECTION_TIME).min(at));
        self.observed(Period { era, recovered, since: at, until: at })
    }

    /// Records a period that this process or a peer observed.
    pub fn observed(&mut self, period: Period) -> Change {
        let Some(own) = self.period else {
            self.period = Some(period);
            return Change::None;
        };
        if period.era < own.era {
            return Change::None;
        }
        if period.era == own.era && period.touches(&own) {
            let union = own.union(&period);
            self.period = Some(union);
            let disproved = union.since.saturating_add(MAX_GAP) < own.since;
            return if disproved { Change::Disproved } else { Change::None };
        }
        let evidence = match self.unanswered_failure() {
            _ if period.era > own.era => Evidence::Restore,
            _ if period.until < own.until => return Change::None,
            Some(_) => Evidence::FailedCalls,
            None => Evidence::Reported,
        };
        self.period = Some(period);
        Change::Ended(Outage { evidence, since: own.until, until: period.since })
    }

    /// The latest period in which the service is known to have been available, if any.
    pub fn period(&self) -> Option<Period> {
        self.period
    }

    /// End of the last outage or restore; 0 if none is known.
    pub fn recovered_at(&self) -> Millis {
        let known = self.period.filter(|it| Some(it.since) != self.first_answer);
        known.map_or(0, |it| it.recovered)
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What the target beside this agent said of itself: that it wants to rest, and how many
//! requests a second it takes.

use sablepass_core::id::{AttemptId, Millis};
use sablepass_core::limits::{self, Bucket, Change, Rate};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_platform::answer::Limit;

use crate::keeper::Keeper;
use crate::run::Said;

/// What it said.
#[derive(Debug)]
pub(crate) struct Notices {
    /// Until when it wants nothing: the latest end that it named.
    rests: Millis,
    limit: Option<limits::Limit>,
    /// What may be sent under the limit.
    bucket: Bucket,
}

impl Default for Notices {
    fn default() -> Self {
        Self { rests: 0, limit: None, bucket: Bucket::for_agent() }
    }
}

impl Notices {
    /// Whether it takes one more request now. All that run go through this agent.
    pub(crate) fn take(&mut self, now: Millis) -> Result<(), Refusal> {
        if now < self.rests {
            return Err(Refusal::TargetRests);
        }
        if self.limit.is_some() && !self.bucket.take(now) {
            return Err(Refusal::TargetLimited);
        }
        Ok(())
    }

    /// How much longer it rests.
    pub(crate) fn rest(&self, now: Millis) -> Millis {
        self.rests.saturating_sub(now)
    }

    /// What it takes a second, if it names a limit.
    pub(crate) fn limit(&self) -> Option<Rate> {
        self.limit.map(|it| it.rate())
    }

    /// Takes an answer that names a limit, or none. What changed.
    fn answered(&mut self, now: Millis, sent: Millis, named: Option<Rate>) -> Change {
        let before = self.limit();
        let change = match (&mut self.limit, named) {
            (Some(limit), _) => limit.answered(now, sent, named),
            (None, None) => Change::None,
            (None, Some(rate)) => {
                self.limit = Some(limits::Limit::new(now, rate));
                Change::Set(rate)
            }
        };
        if change == Change::Ended {
            self.limit = None;
        }
        if self.limit() != before {
            self.bucket.set(now, self.limit().map(Rate::usable));
        }
        change
    }
}

impl Keeper {
    /// Takes what the target says of itself with an answer, and tells the entries what is new.
    pub(crate) fn said(&mut self, attempt: AttemptId, it: Said) {
        let now = clock::now();
        if let Some(asked) = it.rest {
            self.rest(now, attempt, asked);
        }
        let named = match it.limit {
            Limit::Of(rate) => Some(rate),
            Limit::None => None,
            Limit::Unread => {
                self.metrics.limits_named.with_label_values(&["unread"]).inc();
                return;
            }
        };
        match self.notices.answered(now, it.sent, named) {
            Change::None => return,
            Change::Set(rate) => slog::info!(self.log, "limit holds"; "limit" => rate.per_second(),
                "request" => %attempt.request, "attempt" => attempt.number),
            Change::Ended => slog::info!(self.log, "limit ends"; "request" => %attempt.request,
                "attempt" => attempt.number),
        }
        self.report();
    }

    /// Leaves the target alone for as long as it asked, and tells the entries.
    fn rest(&mut self, now: Millis, attempt: AttemptId, asked: Millis) {
        slog::info!(self.log, "target rests"; "request" => %attempt.request,
            "attempt" => attempt.number, "rest" => asked, "begins" => now >= self.notices.rests);
        self.notices.rests = self.notices.rests.max(now.saturating_add(asked));
        self.report();
    }
}

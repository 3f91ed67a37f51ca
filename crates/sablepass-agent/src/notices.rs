// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Pause and rate limit that the target of this agent announced. The keeper checks them before
//! it starts a run, and reports them to the entries.

use sablepass_core::id::{AttemptId, Millis};
use sablepass_core::limits::{self, Bucket, Change, Rate};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_platform::answer::Limit;

use crate::keeper::Keeper;
use crate::run::TargetNotice;

/// Pause and limit of the target.
#[derive(Debug)]
pub(crate) struct Notices {
    /// End of the pause: the latest that the target announced.
    paused_until: Millis,
    limit: Option<limits::Limit>,
    /// Token bucket for requests under the limit.
    bucket: Bucket,
}

impl Default for Notices {
    fn default() -> Self {
        Self { paused_until: 0, limit: None, bucket: Bucket::for_agent() }
    }
}

impl Notices {
    /// Takes permission for one more request, or returns why the target accepts none now. All
    /// requests that run on the target pass through this agent.
    pub(crate) fn admit(&mut self, now: Millis) -> Result<(), Refusal> {
        if now < self.paused_until {
            return Err(Refusal::TargetRests);
        }
        if self.limit.is_some() && !self.bucket.take(now) {
            return Err(Refusal::TargetLimited);
        }
        Ok(())
    }

    /// Returns the remaining time of the pause, or 0.
    pub(crate) fn remaining_pause(&self, now: Millis) -> Millis {
        self.paused_until.saturating_sub(now)
    }

    /// Returns the announced limit, if there is one.
    pub(crate) fn limit(&self) -> Option<Rate> {
        self.limit.map(|it| it.rate())
    }

    /// Updates the limit from an answer that announces one, or none. `sent` is the time of its
    /// request. Returns the change.
    fn on_answer(&mut self, now: Millis, sent: Millis, named: Option<Rate>) -> Change {
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
    /// Handles the target's announcement in an answer, and reports changes to the entries.
    pub(crate) fn on_notice(&mut self, attempt: AttemptId, notice: TargetNotice) {
        let now = clock::now();
        if let Some(pause) = notice.pause {
            self.pause_target(now, attempt, pause);
        }
        let named = match notice.limit {
            Limit::Of(rate) => Some(rate),
            Limit::None => None,
            Limit::Unread => {
                self.metrics.limits_named.with_label_values(&["unread"]).inc();
                return;
            }
        };
        match self.notices.on_answer(now, notice.sent, named) {
            Change::None => return,
            Change::Set(rate) => slog::info!(self.log, "limit set"; "limit" => rate.per_second(),
                "request" => %attempt.request, "attempt" => attempt.number),
            Change::Ended => slog::info!(self.log, "limit ended"; "request" => %attempt.request,
                "attempt" => attempt.number),
        }
        self.report();
    }

    /// Sends the target no requests for the time that it requested, and reports that to the
    /// entries.
    fn pause_target(&mut self, now: Millis, attempt: AttemptId, pause: Millis) {
        slog::info!(self.log, "target requested a pause"; "request" => %attempt.request,
            "attempt" => attempt.number, "rest" => pause,
            "begins" => now >= self.notices.paused_until);
        self.notices.paused_until = self.notices.paused_until.max(now.saturating_add(pause));
        self.report();
    }
}

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
use crate::run::TargetNotice;

/// What it said.
#[derive(Debug)]
pub(crate) struct Notices {
    /// Until when it wants nothing: the latest end that it named.
    paused_until: Millis,
    limit: Option<limits::Limit>,
    /// What may be sent under the limit.
    bucket: Bucket,
}

impl Default for Notices {
    fn default() -> Self {
        Self { paused_until: 0, limit: None, bucket: Bucket::for_agent() }
    }
}

impl Notices {
    /// Whether it takes one more request now. All that run go through this agent.
    pub(crate) fn admit(&mut self, now: Millis) -> Result<(), Refusal> {
        if now < self.paused_until {
            return Err(Refusal::TargetRests);
        }
        if self.limit.is_some() && !self.bucket.take(now) {
            return Err(Refusal::TargetLimited);
        }
        Ok(())
    }

    /// How much longer it rests.
    pub(crate) fn remaining_pause(&self, now: Millis) -> Millis {
        self.paused_until.saturating_sub(now)
    }

    /// What it takes a second, if it names a limit.
    pub(crate) fn limit(&self) -> Option<Rate> {
        self.limit.map(|it| it.rate())
    }

    /// Takes an answer that names a limit, or none. What changed.
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
    /// Takes what the target says of itself with an answer, and tells the entries what is new.
    pub(crate) fn on_notice(&mut self, attempt: AttemptId, it: TargetNotice) {
        let now = clock::now();
        if let Some(pause) = it.pause {
            self.pause_target(now, attempt, pause);
        }
        let named = match it.limit {
            Limit::Of(rate) => Some(rate),
            Limit::None => None,
            Limit::Unread => {
                self.metrics.limits_named.with_label_values(&["unread"]).inc();
                return;
            }
        };
        match self.notices.on_answer(now, it.sent, named) {
            Change::None => return,
            Change::Set(rate) => slog::info!(self.log, "limit holds"; "limit" => rate.per_second(),
                "request" => %attempt.request, "attempt" => attempt.number),
            Change::Ended => slog::info!(self.log, "limit ends"; "request" => %attempt.request,
                "attempt" => attempt.number),
        }
        self.report();
    }

    /// Leaves the target alone for as long as it asked, and tells the entries.
    fn pause_target(&mut self, now: Millis, attempt: AttemptId, pause: Millis) {
        slog::info!(self.log, "target rests"; "request" => %attempt.request,
            "attempt" => attempt.number, "rest" => pause, "begins" => now >= self.notices.paused_until);
        self.notices.paused_until = self.notices.paused_until.max(now.saturating_add(pause));
        self.report();
    }
}

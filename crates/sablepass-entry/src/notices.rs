// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Notices that targets announce about themselves in responses, as part of the router: a requested
//! pause, which binds this entry; that the target leaves, which applies to all entries; the rate
//! limit that it accepts from all entries together; and how long it is cold.

use sablepass_core::cold;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Change, Rate};
use sablepass_core::reason::Ignored;
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_platform::answer::{Limit, Meta, Pause, Proof};
use sablepass_wire::generated as wire;
use sablepass_wire::notices::{self, Announcements};
use stakker::call;

use crate::pool::InFlightAttempt;
use crate::router::Router;
use crate::trace::Step;

/// Source of a notice that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A response of the target.
    Response,
    /// A message of another entry.
    Peer,
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Self::Response => "seen",
            Self::Peer => "told",
        }
    }
}

impl Router {
    /// Records that a target rejected a request, and the pause that it requested with the response.
    pub(crate) fn target_rejected(
        &mut self,
        now: Millis,
        carried: InFlightAttempt,
        incarnation: TargetIncarnation<'_>,
        status: u16,
        meta: &Meta,
    ) {
        let (asked, pause) = match meta.pause {
            Pause::None => ("nothing", None),
            Pause::For(duration) => ("rest", Some(duration)),
            Pause::Unread => ("unread", None),
        };
        self.metrics.turned_away.with_label_values(&[asked]).inc();
        let begins =
            pause.is_some_and(|duration| self.targets.record_pause(now, incarnation, duration));
        self.traces.add(
            now,
            carried.request,
            Step::TurnedAway { target: incarnation.name.to_owned(), pause },
        );
        let label = self.requests.get(&carried.request).map(|it| it.run.label.as_str());
        slog::info!(self.log, "target rejected a request"; "id" => label,
            "target" => incarnation.name, "born" => incarnation.started_at,
            "attempt" => carried.attempt, "status" => status,
            "not_run" => meta.proof == Proof::NotRun, "asked" => asked, "rest" => pause,
            "begins" => begins, "load" => ?meta.load);
    }

    /// Processes the limit that a target announces with a response, or that it announces none, and
    /// reports changes to the other entries.
    pub(crate) fn limit_announced(
        &mut self,
        now: Millis,
        carried: InFlightAttempt,
        incarnation: TargetIncarnation<'_>,
        limit: Limit,
    ) {
        let announced = match limit {
            Limit::None => None,
            Limit::Of(rate) => Some(rate),
            Limit::Unread => {
                self.metrics.limits_named.with_label_values(&["unread"]).inc();
                return;
            }
        };
        if announced.is_some() {
            self.metrics.limits_named.with_label_values(&["read"]).inc();
        }
        let open = self.requests.get(&carried.request);
        let open = open.filter(|it| it.flight.attempt().number == carried.attempt);
        let sent = open.map_or(0, |it| it.sent_at);
        let label = open.map(|it| it.run.label.clone());
        let change = self.targets.limit_announced(now, incarnation, sent, announced);
        self.log_limit_change(incarnation, change, label.as_deref(), "seen");
        self.send_limit(incarnation, change);
    }

    /// Logs a change of a target's limit. `label` is the id of the request that brought it, if any.
    fn log_limit_change(
        &self,
        incarnation: TargetIncarnation<'_>,
        change: Change,
        label: Option<&str>,
        source: &str,
    ) {
        match change {
            Change::None => {}
            Change::Set(rate) => {
                let share = self.targets.limit(incarnation).map(|it| it.bucket.per_second());
                slog::info!(self.log, "target limit set"; "target" => incarnation.name,
                    "born" => incarnation.started_at, "limit" => rate.per_second(),
                    "part" => share, "source" => source, "id" => label);
            }
            Change::Ended => slog::info!(self.log, "target limit ended";
                "target" => incarnation.name, "born" => incarnation.started_at,
                "source" => source, "id" => label),
        }
    }

    /// Sends a change of a target's limit to the other entries.
    fn send_limit(&self, incarnation: TargetIncarnation<'_>, change: Change) {
        let rate = match change {
            Change::None => return,
            Change::Set(rate) => Some(rate),
            Change::Ended => None,
        };
        self.broadcast(&Announcements {
            limits: vec![(incarnation, rate)],
            ..Announcements::default()
        });
    }

    /// Processes the report of a target's limit by its agent.
    pub(crate) fn limit_reported_by_agent(&mut self, now: Millis, name: &str, rate: Option<Rate>) {
        let change = self.targets.limit_reported_by_agent(now, name, rate);
        let born = self.targets.started_at(name);
        self.log_limit_change(TargetIncarnation { name, started_at: born }, change, None, "agent");
    }

    /// Applies the limits reported by other entries that no response has contradicted for a while,
    /// and updates the metrics of all limits.
    pub(crate) fn apply_pending_limits(&mut self, now: Millis) {
        for (name, change) in self.targets.apply_pending_limits(now) {
            let born = self.targets.started_at(&name);
            self.log_limit_change(
                TargetIncarnation { name: &name, started_at: born },
                change,
                None,
                "told",
            );
        }
        let (mut all, mut own) = (0.0, 0.0);
        for (_, limit) in self.targets.limits() {
            all += limit.rate().per_second();
            own += limit.bucket.per_second();
        }
        self.metrics.limits.with_label_values(&["all"]).set(all);
        self.metrics.limits.with_label_values(&["own"]).set(own);
    }

    /// Counts a response to a request that was sent while its target was paused, or after the
    /// target was known to leave. That never happens unless the entry has a bug.
    pub(crate) fn check_notices_respected(
        &self,
        now: Millis,
        carried: InFlightAttempt,
        incarnation: TargetIncarnation<'_>,
    ) {
        let Some(open) = self.requests.get(&carried.request) else { return };
        if self.targets.was_leaving_before(incarnation, open.sent_at) {
            self.metrics.sent_to_leaving.inc();
            slog::error!(self.log, "request was sent to a leaving target";
                "id" => &open.run.label, "target" => incarnation.name,
                "born" => incarnation.started_at, "sent" => open.sent_at);
        }
        if self.targets.was_paused_before(now, incarnation, open.sent_at) {
            self.metrics.sent_to_resting.inc();
            slog::error!(self.log, "request was sent to a paused target";
                "id" => &open.run.label, "target" => incarnation.name,
                "born" => incarnation.started_at, "sent" => open.sent_at);
        }
    }

    /// Records that a target leaves, so that its incarnation gets no more work. Returns whether
    /// that is new.
    pub(crate) fn target_leaving(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        source: Source,
    ) -> bool {
        let is_new = self.targets.record_leaving(now, incarnation);
        if is_new {
            self.metrics.left.with_label_values(&[source.label()]).inc();
            slog::info!(self.log, "target leaves"; "target" => incarnation.name,
                "born" => incarnation.started_at, "source" => source.label());
            self.pool.close_idle(incarnation.name);
        }
        is_new
    }

    /// Sends the notice that a target leaves to the other entries.
    pub(crate) fn send_leaving(&self, incarnation: TargetIncarnation<'_>) {
        self.broadcast(&Announcements { leaving: vec![incarnation], ..Announcements::default() });
    }

    /// Sends notices to all connected entries.
    fn broadcast(&self, notices: &Announcements<'_>) {
        let body = notices.body();
        for peer in self.watch.entries() {
            call!([self.mesh], send(peer, body.clone()));
        }
    }

    /// Sends all notices to all entries again, after the instance list was restored: an entry that
    /// was not running meanwhile can no longer learn them from the list.
    pub(crate) fn resend_notices(&self) {
        self.watch.entries().for_each(|it| self.send_all_notices(it));
    }

    /// Sends all notices, the leaving targets and the limits, to one entry.
    pub(crate) fn send_all_notices(&self, peer: PeerKey) {
        let limits = self.targets.limits().map(|(it, limit)| (it, Some(limit.rate())));
        let notices = Announcements {
            leaving: self.targets.leaving_incarnations().collect(),
            limits: limits.collect(),
            cold: self.targets.stated_cold_targets(clock::now()).collect(),
        };
        if !notices.is_empty() {
            call!([self.mesh], send(peer, notices.body()));
        }
    }

    /// Processes the notices that another entry sent.
    pub(crate) fn receive_notices(&mut self, message: &wire::Notices) {
        let Ok(received) = notices::parse(message) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let now = clock::now();
        let mut new = Vec::new();
        for incarnation in received.leaving {
            if self.keeps_notice(incarnation) && self.target_leaving(now, incarnation, Source::Peer)
            {
                new.push(incarnation);
            }
        }
        if !new.is_empty() {
            // Forwarded, since entries that know each other from configured seeds are connected to
            // those seeds only.
            self.broadcast(&Announcements { leaving: new, ..Announcements::default() });
        }
        for (incarnation, rate) in received.limits {
            if !self.keeps_notice(incarnation) {
                continue;
            }
            let change = self.targets.limit_reported_by_peer(now, incarnation, rate);
            self.log_limit_change(incarnation, change, None, "told");
        }
        let mut new = Vec::new();
        for (incarnation, remaining) in received.cold {
            let change = self.targets.cold_reported_by_peer(now, incarnation, remaining);
            self.log_cold_change(incarnation, change, cold::Source::Told);
            new.extend(change.forwarded().map(|remaining| (incarnation, remaining)));
        }
        if !new.is_empty() {
            // Forwarded for the same reason as notices of leaving targets.
            self.broadcast(&Announcements { cold: new, ..Announcements::default() });
        }
    }

    /// Processes the cold time that a target states with a response, and sends it to the other
    /// entries if it is new.
    pub(crate) fn cold_answered(
        &mut self,
        now: Millis,
        carried: InFlightAttempt,
        incarnation: TargetIncarnation<'_>,
        remaining: Millis,
    ) {
        let open = self.requests.get(&carried.request);
        let open = open.filter(|it| it.flight.attempt().number == carried.attempt);
        let sent = open.map_or(0, |it| it.sent_at);
        let change = self.targets.cold_answered(now, incarnation, sent, remaining);
        self.log_cold_change(incarnation, change, cold::Source::Answer);
        if let cold::Change::Began(remaining) | cold::Change::Extended(remaining) = change {
            let cold = vec![(incarnation, remaining)];
            self.broadcast(&Announcements { cold, ..Announcements::default() });
        }
    }

    /// Logs that a target became cold or no longer is.
    pub(crate) fn log_cold_change(
        &self,
        incarnation: TargetIncarnation<'_>,
        change: cold::Change,
        source: cold::Source,
    ) {
        match change {
            cold::Change::None | cold::Change::Moved(_) | cold::Change::Extended(_) => {}
            cold::Change::Began(remaining) => slog::info!(self.log, "target cold";
                "target" => incarnation.name, "born" => incarnation.started_at,
                "remaining" => remaining, "source" => source.label()),
            cold::Change::Ended => slog::info!(self.log, "target no longer cold";
                "target" => incarnation.name, "born" => incarnation.started_at,
                "source" => source.label()),
        }
    }

    /// Ends the cold times that are over.
    pub(crate) fn expire_cold(&mut self, now: Millis) {
        for (name, started_at) in self.targets.expire_cold(now) {
            slog::info!(self.log, "target no longer cold"; "target" => &name, "born" => started_at);
        }
    }

    /// Whether a notice about a target is kept; counts it as ignored if not.
    fn keeps_notice(&self, incarnation: TargetIncarnation<'_>) -> bool {
        let keeps = self.targets.keeps_notice(incarnation);
        if !keeps {
            self.metrics.ignored(Ignored::ManyNotices);
        }
        keeps
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards what targets say of themselves with their answers: that they want to
//! rest, which binds this entry, that they leave, which is true for all entries, and what they
//! take from all of them together.

use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Change, Rate};
use sablepass_core::reason::Ignored;
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_platform::answer::{Limit, Meta, Pause, Proof};
use sablepass_wire::generated as wire;
use sablepass_wire::notices::{self, Announcements};
use stakker::call;

use crate::pool::Carried;
use crate::router::Router;
use crate::trace::Step;

/// Who said that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Its own answer.
    Seen,
    /// Another entry.
    Told,
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Self::Seen => "seen",
            Self::Told => "told",
        }
    }
}

impl Router {
    /// Records that a target turned a request away, and how long it wants to rest.
    pub(crate) fn turned_away(
        &mut self,
        now: Millis,
        carried: Carried,
        it: TargetIncarnation<'_>,
        status: u16,
        meta: &Meta,
    ) {
        let (asked, rest) = match meta.pause {
            Pause::None => ("nothing", None),
            Pause::For(it) => ("rest", Some(it)),
            Pause::Unread => ("unread", None),
        };
        self.metrics.turned_away.with_label_values(&[asked]).inc();
        let begins = rest.is_some_and(|asked| self.targets.asked_for_rest(now, it, asked));
        self.traces.add(
            now,
            carried.request,
            Step::TurnedAway { target: it.name.to_owned(), rest },
        );
        let label = self.open.get(&carried.request).map(|it| it.run.label.as_str());
        slog::info!(self.log, "turned away"; "id" => label, "target" => it.name, "born" => it.started_at,
            "attempt" => carried.attempt, "status" => status, "not_run" => meta.proof == Proof::NotRun,
            "asked" => asked, "rest" => rest, "begins" => begins, "load" => ?meta.load);
    }

    /// Takes the limit that a target names with an answer, or that it names none.
    pub(crate) fn names_limit(
        &mut self,
        now: Millis,
        carried: Carried,
        it: TargetIncarnation<'_>,
        limit: Limit,
    ) {
        let named = match limit {
            Limit::None => None,
            Limit::Of(it) => Some(it),
            Limit::Unread => {
                self.metrics.limits_named.with_label_values(&["unread"]).inc();
                return;
            }
        };
        if named.is_some() {
            self.metrics.limits_named.with_label_values(&["read"]).inc();
        }
        let open = self.open.get(&carried.request);
        let open = open.filter(|it| it.flight.attempt().number == carried.attempt);
        let sent = open.map_or(0, |it| it.sent);
        let label = open.map(|it| it.run.label.clone());
        let change = self.targets.answered(now, it, sent, named);
        self.limit_changed(it, change, label.as_deref(), "seen");
        self.tell_limit(it, change);
    }

    /// Logs what became of a target's limit.
    fn limit_changed(
        &self,
        it: TargetIncarnation<'_>,
        change: Change,
        label: Option<&str>,
        source: &str,
    ) {
        match change {
            Change::None => {}
            Change::Set(rate) => {
                let part = self.targets.limit(it).map(|it| it.bucket.per_second());
                slog::info!(self.log, "limit holds"; "target" => it.name, "born" => it.started_at,
                    "limit" => rate.per_second(), "part" => part, "source" => source, "id" => label);
            }
            Change::Ended => slog::info!(self.log, "limit ends"; "target" => it.name,
                "born" => it.started_at, "source" => source, "id" => label),
        }
    }

    /// Tells the other entries what became of a target's limit.
    fn tell_limit(&self, it: TargetIncarnation<'_>, change: Change) {
        let rate = match change {
            Change::None => return,
            Change::Set(rate) => Some(rate),
            Change::Ended => None,
        };
        self.tell(&Announcements { limits: vec![(it, rate)], ..Announcements::default() });
    }

    /// Takes what the agent before a target says of its limit.
    pub(crate) fn reported_limit(&mut self, now: Millis, name: &str, rate: Option<Rate>) {
        let change = self.targets.reported_limit(now, name, rate);
        let born = self.targets.born(name);
        self.limit_changed(TargetIncarnation { name, started_at: born }, change, None, "agent");
    }

    /// Believes what other entries told of limits, once nothing has spoken against it for a
    /// while, and says how much all limits allow.
    pub(crate) fn settle_limits(&mut self, now: Millis) {
        for (name, change) in self.targets.settle_limits(now) {
            let born = self.targets.born(&name);
            self.limit_changed(
                TargetIncarnation { name: &name, started_at: born },
                change,
                None,
                "told",
            );
        }
        let (mut all, mut own) = (0.0, 0.0);
        for (_, it) in self.targets.limits() {
            all += it.rate().per_second();
            own += it.bucket.per_second();
        }
        self.metrics.limits.with_label_values(&["all"]).set(all);
        self.metrics.limits.with_label_values(&["own"]).set(own);
    }

    /// Counts an answer to a request that was sent while its target rested, or after it was
    /// known to leave. There is none: whoever sees these counts grow has found a fault of the
    /// entry.
    pub(crate) fn check_wishes(&self, now: Millis, carried: Carried, it: TargetIncarnation<'_>) {
        let Some(open) = self.open.get(&carried.request) else { return };
        if self.targets.left_before(it, open.sent) {
            self.metrics.sent_to_leaving.inc();
            slog::error!(self.log, "sent to a target that leaves"; "id" => &open.run.label,
                "target" => it.name, "born" => it.started_at, "sent" => open.sent);
        }
        if self.targets.rested_before(now, it, open.sent) {
            self.metrics.sent_to_resting.inc();
            slog::error!(self.log, "sent to a target that rests"; "id" => &open.run.label,
                "target" => it.name, "born" => it.started_at, "sent" => open.sent);
        }
    }

    /// Records that a target leaves: it gets nothing more in this life. Whether that is new.
    pub(crate) fn target_leaves(
        &mut self,
        now: Millis,
        it: TargetIncarnation<'_>,
        source: Source,
    ) -> bool {
        let begins = self.targets.said_it_leaves(now, it);
        if begins {
            self.metrics.left.with_label_values(&[source.label()]).inc();
            slog::info!(self.log, "target leaves"; "target" => it.name, "born" => it.started_at,
                "source" => source.label());
            self.pool.leave(it.name);
        }
        begins
    }

    /// Tells the other entries that a target leaves.
    pub(crate) fn tell_leaving(&self, it: TargetIncarnation<'_>) {
        self.tell(&Announcements { leaving: vec![it], ..Announcements::default() });
    }

    fn tell(&self, it: &Announcements<'_>) {
        let body = it.body();
        for peer in self.watch.entries() {
            call!([self.mesh], send(peer, body.clone()));
        }
    }

    /// Tells all entries which targets leave, and their limits, as one that did not run
    /// meanwhile cannot learn it from the list any more.
    pub(crate) fn repeat_notices(&self) {
        self.watch.entries().for_each(|it| self.tell_all_notices(it));
    }

    /// Tells an entry that connects which targets leave, and their limits.
    pub(crate) fn tell_all_notices(&self, peer: PeerKey) {
        let limits = self.targets.limits().map(|(it, limit)| (it, Some(limit.rate())));
        let told =
            Announcements { leaving: self.targets.left().collect(), limits: limits.collect() };
        if !told.is_empty() {
            call!([self.mesh], send(peer, told.body()));
        }
    }

    /// Takes what another entry tells of targets.
    pub(crate) fn told_notices(&mut self, it: &wire::Notices) {
        let Ok(told) = notices::parse(it) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let now = clock::now();
        let mut news = Vec::new();
        for it in told.leaving {
            if self.keeps_word(it) && self.target_leaves(now, it, Source::Told) {
                news.push(it);
            }
        }
        if !news.is_empty() {
            // Entries that know each other by seeds are connected to those only.
            self.tell(&Announcements { leaving: news, ..Announcements::default() });
        }
        for (it, rate) in told.limits {
            if !self.keeps_word(it) {
                continue;
            }
            let change = self.targets.told_limit(now, it, rate);
            self.limit_changed(it, change, None, "told");
        }
    }

    /// Whether what is told of a target is kept; counts it if not.
    fn keeps_word(&self, it: TargetIncarnation<'_>) -> bool {
        let keeps = self.targets.keeps_word(it);
        if !keeps {
            self.metrics.ignored(Ignored::ManyNotices);
        }
        keeps
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards what targets say of themselves with their answers: that they want to
//! rest, which binds this entry, and that they leave, which is true for all entries.

use sablepass_core::id::Millis;
use sablepass_core::notices::Life;
use sablepass_core::reason::Ignored;
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_platform::answer::{Limit, Meta, Proof, Rest};
use sablepass_wire::generated as wire;
use sablepass_wire::notices;
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
        it: Life<'_>,
        status: u16,
        meta: &Meta,
    ) {
        let (asked, rest) = match meta.rest {
            Rest::None => ("nothing", None),
            Rest::For(it) => ("rest", Some(it)),
            Rest::Unread => ("unread", None),
        };
        self.metrics.turned_away.with_label_values(&[asked]).inc();
        let begins = rest.is_some_and(|asked| self.targets.asked_for_rest(now, it, asked));
        self.traces.add(
            now,
            carried.request,
            Step::TurnedAway { target: it.name.to_owned(), rest },
        );
        let label = self.open.get(&carried.request).map(|it| it.run.label.as_str());
        slog::info!(self.log, "turned away"; "id" => label, "target" => it.name, "born" => it.born,
            "attempt" => carried.attempt, "status" => status, "not_run" => meta.proof == Proof::NotRun,
            "asked" => asked, "rest" => rest, "begins" => begins, "load" => ?meta.load);
    }

    /// Records that a target names with an answer what it takes from all entries together.
    pub(crate) fn names_limit(&self, carried: Carried, it: Life<'_>, status: u16, limit: Limit) {
        let rate = match limit {
            Limit::None => return,
            Limit::Of(it) => Some(it.a_second()),
            Limit::Unread => None,
        };
        let read = if rate.is_some() { "read" } else { "unread" };
        self.metrics.limits_named.with_label_values(&[read]).inc();
        let label = self.open.get(&carried.request).map(|it| it.run.label.as_str());
        slog::info!(self.log, "target names a limit"; "id" => label, "target" => it.name,
            "born" => it.born, "attempt" => carried.attempt, "status" => status, "limit" => rate);
    }

    /// Counts an answer to a request that was sent while its target rested. There is none:
    /// whoever sees this count grow has found a fault of the entry.
    pub(crate) fn check_rest(&self, now: Millis, carried: Carried, it: Life<'_>) {
        let Some(open) = self.open.get(&carried.request) else { return };
        if self.targets.rested_before(now, it, open.sent) {
            self.metrics.sent_to_resting.inc();
            slog::error!(self.log, "sent to a target that rests"; "id" => &open.run.label,
                "target" => it.name, "born" => it.born, "sent" => open.sent);
        }
    }

    /// Records that a target leaves: it gets nothing more in this life. Whether that is new.
    pub(crate) fn target_leaves(&mut self, now: Millis, it: Life<'_>, source: Source) -> bool {
        let begins = self.targets.said_it_leaves(now, it);
        if begins {
            self.metrics.left.with_label_values(&[source.label()]).inc();
            slog::info!(self.log, "target leaves"; "target" => it.name, "born" => it.born,
                "source" => source.label());
            self.pool.leave(it.name);
        }
        begins
    }

    /// Tells the other entries that a target leaves.
    pub(crate) fn tell_leaving(&self, it: Life<'_>) {
        let body = notices::body(std::iter::once(it));
        for peer in self.watch.entries() {
            call!([self.mesh], send(peer, body.clone()));
        }
    }

    /// Tells an entry that connects which targets leave.
    pub(crate) fn tell_all_leaving(&self, peer: PeerKey) {
        if self.targets.left().next().is_some() {
            call!([self.mesh], send(peer, notices::body(self.targets.left())));
        }
    }

    /// Takes what another entry tells of targets.
    pub(crate) fn told_leaving(&mut self, it: &wire::Notices) {
        let Ok(lives) = notices::parse(it) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let now = clock::now();
        for it in lives {
            self.target_leaves(now, it, Source::Told);
        }
    }
}

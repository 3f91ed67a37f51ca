// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Notices that targets announce about themselves, a pause or that they leave, and the targets of a
//! service that remain available.

use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::membership::Source;

use crate::targets::Targets;
use crate::targets::eligibility::Demand;

impl Targets {
    /// The current incarnation of a target.
    pub(super) fn incarnation<'a>(&self, name: &'a str) -> TargetIncarnation<'a> {
        TargetIncarnation { name, started_at: self.started_at(name) }
    }

    /// Records that a target requests a pause of `duration` milliseconds. Returns whether a new
    /// pause starts.
    pub fn record_pause(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        duration: Millis,
    ) -> bool {
        let starts = !self.is_former_incarnation(incarnation)
            && self.notices.pause(now, incarnation, duration);
        self.note_if_unlisted(now, incarnation.name);
        starts
    }

    /// Records that a target announced that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Millis, incarnation: TargetIncarnation<'_>) -> bool {
        let is_new =
            !self.is_former_incarnation(incarnation) && self.notices.leave(now, incarnation);
        self.note_if_unlisted(now, incarnation.name);
        is_new
    }

    /// Whether a notice that a peer sent about a target is kept: the list contains the target, or
    /// there is room for further notices.
    pub fn keeps_notice(&self, incarnation: TargetIncarnation<'_>) -> bool {
        self.listed.contains_key(incarnation.name) || self.notices.has_room(incarnation.name)
    }

    /// Whether the list contains another incarnation of a target.
    pub(super) fn is_former_incarnation(&self, incarnation: TargetIncarnation<'_>) -> bool {
        self.listed
            .get(incarnation.name)
            .is_some_and(|known| known.instance.born != incarnation.started_at)
    }

    /// Starts the retention time of a target's notices if the list does not contain the target.
    pub(super) fn note_if_unlisted(&mut self, now: Millis, name: &str) {
        if !self.listed.contains_key(name) {
            self.notices.unlisted(now, name);
        }
    }

    /// The incarnations that announced that they leave.
    pub fn leaving_incarnations(&self) -> impl Iterator<Item = TargetIncarnation<'_>> {
        self.notices.leaving()
    }

    /// Whether a target announced that it leaves, or its line was removed from the list.
    pub fn has_left(&self, now: Millis, incarnation: TargetIncarnation<'_>) -> bool {
        self.notices.is_leaving(incarnation) || self.is_gone(now, incarnation.name)
    }

    /// Whether a pause that is still in force was requested before `sent`, when a request was sent
    /// to the target.
    pub fn was_paused_before(
        &self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        sent: Millis,
    ) -> bool {
        self.notices.paused_since(now, incarnation).is_some_and(|since| sent > since)
    }

    /// Whether a target was known to leave before `sent`, when a request was sent to it.
    pub fn was_leaving_before(&self, incarnation: TargetIncarnation<'_>, sent: Millis) -> bool {
        let gone_at =
            self.listed.get(incarnation.name).and_then(|it| it.missing).map(|it| it.gone_at);
        let since = self.notices.leaving_since(incarnation).into_iter().chain(gone_at).min();
        since.is_some_and(|since| sent > since)
    }

    /// Number of paused targets.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.notices.paused_count(now)
    }

    /// Whether a target that is reached through its agent is paused.
    fn is_paused_behind_agent(&self, now: Millis, name: &str) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|it| it.source == Source::Heartbeats && now < it.backed_off_until)
    }

    /// When the first target of a service accepts requests again, if none is available now and at
    /// least one of them requested a pause; none otherwise. Evacuated targets are left out.
    pub fn pause_ends_at(&self, now: Millis, demand: Demand<'_>) -> Option<Millis> {
        let names = self.subsets.get(demand.served)?;
        let names: Vec<&String> =
            names.iter().filter(|it| self.is_permitted(it, demand.scope)).collect();
        let paused_until = |it: &String| self.notices.paused_until(now, self.incarnation(it));
        let is_paused =
            |it: &String| paused_until(it).is_some() || self.is_paused_behind_agent(now, it);
        if !names.iter().any(|it| is_paused(it))
            || names.iter().any(|it| self.is_available(now, it, demand.scope))
        {
            return None;
        }
        let present = names.into_iter().filter(|it| !self.has_left(now, self.incarnation(it)));
        present
            .filter_map(|it| Some(self.available_at(now, it)?.max(paused_until(it).unwrap_or(0))))
            .min()
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What targets said of themselves to this entry, and what that leaves of a service.

use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::membership::Source;

use crate::targets::{Served, Targets};

impl Targets {
    /// The present life of a target.
    pub(super) fn incarnation<'a>(&self, name: &'a str) -> TargetIncarnation<'a> {
        TargetIncarnation { name, started_at: self.started_at(name) }
    }

    /// Records that a target wants nothing for so long. Whether it rests only since now.
    pub fn record_pause(&mut self, now: Millis, it: TargetIncarnation<'_>, asked: Millis) -> bool {
        let begins = !self.is_former_incarnation(it) && self.notices.pause(now, it, asked);
        self.note_if_unlisted(now, it.name);
        begins
    }

    /// Records that a target leaves. Whether that is new.
    pub fn record_leaving(&mut self, now: Millis, it: TargetIncarnation<'_>) -> bool {
        let begins = !self.is_former_incarnation(it) && self.notices.leave(now, it);
        self.note_if_unlisted(now, it.name);
        begins
    }

    /// Whether what another process tells of a target is kept.
    pub fn keeps_notice(&self, it: TargetIncarnation<'_>) -> bool {
        self.listed.contains_key(it.name) || self.notices.has_room(it.name)
    }

    /// Whether a life of a target is over, and another one listed.
    pub(super) fn is_former_incarnation(&self, it: TargetIncarnation<'_>) -> bool {
        self.listed.get(it.name).is_some_and(|known| known.instance.born != it.started_at)
    }

    pub(super) fn note_if_unlisted(&mut self, now: Millis, name: &str) {
        if !self.listed.contains_key(name) {
            self.notices.unlisted(now, name);
        }
    }

    /// Whether a request may go to a target, by what that said of itself and by the list.
    pub fn accepts_work(&self, now: Millis, it: TargetIncarnation<'_>) -> bool {
        !self.has_left(now, it) && self.notices.paused_until(now, it).is_none()
    }

    /// The lives of targets that said that they leave.
    pub fn leaving_incarnations(&self) -> impl Iterator<Item = TargetIncarnation<'_>> {
        self.notices.leaving()
    }

    /// Whether a life of a target said that it leaves, or its line was removed.
    pub fn has_left(&self, now: Millis, it: TargetIncarnation<'_>) -> bool {
        self.notices.is_leaving(it) || self.is_gone(now, it.name)
    }

    /// Whether a target had asked for a rest, that goes on, before a request was sent there.
    pub fn was_paused_before(&self, now: Millis, it: TargetIncarnation<'_>, sent: Millis) -> bool {
        self.notices.paused_since(now, it).is_some_and(|since| sent > since)
    }

    /// Whether a target was known to leave before a request was sent there.
    pub fn was_leaving_before(&self, it: TargetIncarnation<'_>, sent: Millis) -> bool {
        let gone = self.listed.get(it.name).and_then(|it| it.missing).map(|it| it.gone_at);
        let since = self.notices.leaving_since(it).into_iter().chain(gone).min();
        since.is_some_and(|since| sent > since)
    }

    /// Targets that rest.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.notices.paused_count(now)
    }

    /// Whether a target rests that is reached through its agent.
    fn is_paused_behind_agent(&self, now: Millis, name: &str) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|it| it.source == Source::Heartbeats && now < it.backed_off_until)
    }

    /// When the first target takes requests again, where all that could serve are left alone
    /// and some of them asked for it.
    pub fn pause_ends_at(&self, now: Millis, served: &Served) -> Option<Millis> {
        let names = self.subsets.get(served)?;
        let rests = |it: &String| self.notices.paused_until(now, self.incarnation(it));
        let asked = |it: &String| rests(it).is_some() || self.is_paused_behind_agent(now, it);
        if !names.iter().any(asked) || names.iter().any(|it| self.is_available(now, it)) {
            return None;
        }
        let there = names.iter().filter(|it| !self.has_left(now, self.incarnation(it)));
        there.filter_map(|it| Some(self.available_at(now, it)?.max(rests(it).unwrap_or(0)))).min()
    }
}

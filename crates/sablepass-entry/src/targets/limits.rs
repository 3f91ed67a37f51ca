// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Limits that targets name: what this entry may send of them, and to whom others turn.

use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Change, Limit, Rate, Turn};

use crate::targets::{Served, Targets};

/// Seconds for which a request holds a place, to tell how many places a limit fills: as
/// streams last.
const REQUEST_SECONDS: f64 = 2.0;

impl Targets {
    /// Compares the entries known by name with how many there are.
    pub(super) fn update_holders(&mut self, now: Millis) {
        let count = self.sharers.is_known().then(|| self.sharers.count());
        if self.holders.watch(now, count) {
            self.notices.update_shares(now, &self.holders);
        }
    }

    /// Records that this process did not run for a while.
    pub fn resumed(&mut self, now: Millis) {
        self.holders.resumed(now);
        self.notices.update_shares(now, &self.holders);
    }

    /// Takes the limit that an answer names, or that it names none, to a request sent at `sent`.
    pub fn limit_announced(
        &mut self,
        now: Millis,
        it: TargetIncarnation<'_>,
        sent: Millis,
        named: Option<Rate>,
    ) -> Change {
        if self.is_former_incarnation(it) {
            return Change::None;
        }
        let change = self.notices.answered(now, it, sent, named, &self.holders);
        self.note_if_unlisted(now, it.name);
        change
    }

    /// Takes what another entry tells of a target's limit.
    pub fn limit_reported_by_peer(
        &mut self,
        now: Millis,
        it: TargetIncarnation<'_>,
        rate: Option<Rate>,
    ) -> Change {
        if self.is_former_incarnation(it) {
            return Change::None;
        }
        let change = self.notices.reported_by_peer(now, it, rate, &self.holders);
        self.note_if_unlisted(now, it.name);
        change
    }

    /// Takes what the agent before a target tells of its limit.
    pub fn limit_reported_by_agent(
        &mut self,
        now: Millis,
        name: &str,
        rate: Option<Rate>,
    ) -> Change {
        let life = self.incarnation(name);
        self.notices.reported_by_agent(now, life, rate, &self.holders)
    }

    /// Believes what was told of limits, where nothing speaks against it. What changed.
    pub fn apply_pending_limits(&mut self, now: Millis) -> Vec<(String, Change)> {
        self.notices.apply_pending(now, &self.holders)
    }

    /// The lives that name a limit.
    pub fn limits(&self) -> impl Iterator<Item = (TargetIncarnation<'_>, &Limit)> {
        self.notices.limits()
    }

    /// The limit that a target names, if it does.
    pub fn limit(&self, it: TargetIncarnation<'_>) -> Option<&Limit> {
        self.notices.limited(it)
    }

    /// Whether this entry may send a target one more request now, by its limit.
    pub(super) fn has_turn(&self, now: Millis, name: &str) -> bool {
        matches!(self.notices.next(now, self.incarnation(name)), None | Some(Turn::In(0)))
    }

    /// Takes a request out of this entry's part of a target's limit. False if that has none.
    pub fn spend(&mut self, now: Millis, name: &str) -> bool {
        let life = self.incarnation(name);
        matches!(self.notices.reserve(now, life, 0), None | Some(Turn::In(_)))
    }

    /// Whether a request may be sent to a target, where it was chosen at `sent`: a limit may
    /// have become known since.
    pub fn admits(&mut self, now: Millis, it: TargetIncarnation<'_>, sent: Millis) -> bool {
        let later = self.limit(it).is_some_and(|it| it.since() > sent);
        self.accepts_work(now, it) && (!later || self.spend(now, it.name))
    }

    /// The targets that could serve but for their limits; not among those tried while there
    /// are others.
    pub fn limited_targets(&self, now: Millis, served: &Served, tried: &[String]) -> Vec<String> {
        let names = self.subsets.get(served).map(Vec::as_slice).unwrap_or_default();
        let limited = |it: &&String| self.is_available(now, it) && !self.has_turn(now, it);
        let limited: Vec<&String> = names.iter().filter(limited).collect();
        let fresh: Vec<&String> =
            limited.iter().copied().filter(|it| !tried.contains(it)).collect();
        let names = if fresh.is_empty() { limited } else { fresh };
        names.into_iter().cloned().collect()
    }

    /// When this entry may send a target one more request, if it holds a part of its limit.
    pub fn next_turn(&self, now: Millis, name: &str) -> Option<Millis> {
        match self.notices.next(now, self.incarnation(name))? {
            Turn::In(it) => Some(it),
            Turn::TooLate(_) | Turn::Never => None,
        }
    }

    /// Takes a request, to be sent within `most` milliseconds, out of this entry's part of
    /// the limit of a target that may get work.
    pub fn reserve(&mut self, now: Millis, it: TargetIncarnation<'_>, most: Millis) -> Turn {
        if self.is_former_incarnation(it) || !self.is_available(now, it.name) {
            return Turn::Never;
        }
        self.notices.reserve(now, it, most).unwrap_or(Turn::Never)
    }

    /// The other entries that hold a target's limit.
    pub fn limit_holders(&self, name: &str) -> Vec<&str> {
        let life = self.incarnation(name);
        self.limit(life).map_or_else(Vec::new, |it| self.holders.other_holders(life, it.rate()))
    }

    /// Whether this entry is the one of all that does something.
    pub fn owns(&self, key: &str) -> bool {
        self.holders.owns(key)
    }

    /// Places of a target, as many as a limit lets through.
    pub(super) fn limited_capacity(&self, name: &str, capacity: f64) -> f64 {
        let limit = self.limit(self.incarnation(name));
        limit.map_or(capacity, |it| capacity.min(it.rate().per_second() * REQUEST_SECONDS))
    }
}

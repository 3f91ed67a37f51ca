// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Rate limits that targets announce, and the rates of cold targets: this entry's share of each,
//! and the peers that hold the rest. The router reserves turns here, a turn being the permission to
//! send one request. A cold target that announced a limit must satisfy both.

use sablepass_core::holders;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Change, Limit, Rate, Turn};
use sablepass_core::scope::Scope;

use crate::targets::Targets;
use crate::targets::eligibility::Demand;

/// Seconds for which a request occupies a slot, by which a rate limit is converted to a number of
/// slots: about the duration of a stream.
const REQUEST_SECONDS: f64 = 2.0;

/// Whether a request was within this entry's shares when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spent {
    /// It was.
    Within,
    /// It exceeded the share of the limit that its target announced.
    OverLimit,
    /// It exceeded the share of its cold target's rate.
    OverCold,
}

impl Targets {
    /// Updates the holders of limits from the number of entries.
    pub(super) fn update_holders(&mut self, now: Millis) {
        let count = self.sharers.is_known().then(|| self.sharers.count());
        if self.holders.watch(now, count) {
            self.update_shares(now);
        }
        self.update_cold_plans(now);
    }

    fn update_shares(&mut self, now: Millis) {
        self.notices.update_shares(now, &self.holders);
        self.cold.update_shares(now, &self.holders);
    }

    /// Records that this process resumed after a suspension.
    pub fn resumed(&mut self, now: Millis) {
        self.holders.resumed(now);
        self.update_shares(now);
    }

    /// Processes the limit that a response announces, or that it announces none. The request was
    /// sent at `sent`.
    pub fn limit_announced(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        sent: Millis,
        announced: Option<Rate>,
    ) -> Change {
        if self.is_former_incarnation(incarnation) {
            return Change::None;
        }
        let change = self.notices.answered(now, incarnation, sent, announced, &self.holders);
        self.note_if_unlisted(now, incarnation.name);
        change
    }

    /// Processes a peer's report of a target's limit; no rate means that the limit ended.
    pub fn limit_reported_by_peer(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        rate: Option<Rate>,
    ) -> Change {
        if self.is_former_incarnation(incarnation) {
            return Change::None;
        }
        let change = self.notices.reported_by_peer(now, incarnation, rate, &self.holders);
        self.note_if_unlisted(now, incarnation.name);
        change
    }

    /// Processes the report of a target's limit by the agent through which its requests go.
    pub fn limit_reported_by_agent(
        &mut self,
        now: Millis,
        name: &str,
        rate: Option<Rate>,
    ) -> Change {
        let incarnation = self.incarnation(name);
        self.notices.reported_by_agent(now, incarnation, rate, &self.holders)
    }

    /// Applies pending reports of limits that no response has contradicted. Returns what changed.
    pub fn apply_pending_limits(&mut self, now: Millis) -> Vec<(String, Change)> {
        self.notices.apply_pending(now, &self.holders)
    }

    /// The incarnations that announced a limit, with that limit.
    pub fn limits(&self) -> impl Iterator<Item = (TargetIncarnation<'_>, &Limit)> {
        self.notices.limits()
    }

    /// The limit that a target announced, if any.
    pub fn limit(&self, incarnation: TargetIncarnation<'_>) -> Option<&Limit> {
        self.notices.limited(incarnation)
    }

    /// When this entry may send a target one more request; none if nothing limits the rate.
    fn next(&self, now: Millis, incarnation: TargetIncarnation<'_>) -> Option<Turn> {
        later(self.notices.next(now, incarnation), self.cold.next(now, incarnation))
    }

    /// Reserves one request under all that limits a target's rate; none if nothing does.
    fn take(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        max_wait: Millis,
    ) -> Option<Turn> {
        match self.next(now, incarnation)? {
            Turn::In(wait) if wait > max_wait => Some(Turn::TooLate(wait)),
            Turn::In(_) => {
                let limit = self.notices.reserve(now, incarnation, max_wait);
                later(limit, self.cold.reserve(now, incarnation, max_wait))
            }
            turn => Some(turn),
        }
    }

    /// Whether this entry may send a target one more request now, as far as its rate is limited.
    pub(super) fn has_turn(&self, now: Millis, name: &str) -> bool {
        matches!(self.next(now, self.incarnation(name)), None | Some(Turn::In(0)))
    }

    /// Takes one request from this entry's share of a target's rate.
    pub fn spend(&mut self, now: Millis, name: &str) -> Spent {
        let incarnation = self.incarnation(name);
        let within_cold = matches!(self.cold.next(now, incarnation), None | Some(Turn::In(0)));
        match self.take(now, incarnation, 0) {
            None | Some(Turn::In(_)) => Spent::Within,
            Some(_) if within_cold => Spent::OverLimit,
            Some(_) => Spent::OverCold,
        }
    }

    /// Whether a request may still be sent to a target for which it was assigned at `sent`. Takes
    /// it from this entry's share if the target's limit became known since, or if the target is
    /// cold and the turn no longer counts.
    pub fn admits(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        scope: &Scope,
        sent: Millis,
    ) -> bool {
        let later = self.limit(incarnation).is_some_and(|it| it.since() > sent)
            || self.is_void_turn(now, incarnation, sent, sent);
        self.barrier(now, incarnation, scope).is_none()
            && (!later || self.spend(now, incarnation.name) == Spent::Within)
    }

    /// The targets that could serve a request now if they had no limits. Targets in `tried` are
    /// excluded while there are others.
    pub fn limited_targets(
        &self,
        now: Millis,
        demand: Demand<'_>,
        tried: &[String],
    ) -> Vec<String> {
        let names = self.subsets.get(demand.served).map(Vec::as_slice).unwrap_or_default();
        let limited =
            |it: &&String| self.is_available(now, it, demand.scope) && !self.has_turn(now, it);
        let limited: Vec<&String> = names.iter().filter(limited).collect();
        let fresh: Vec<&String> =
            limited.iter().copied().filter(|it| !tried.contains(it)).collect();
        let names = if fresh.is_empty() { limited } else { fresh };
        names.into_iter().cloned().collect()
    }

    /// Milliseconds until this entry may send a target one more request; none if nothing limits the
    /// rate, or this entry has no share of it.
    pub fn next_turn(&self, now: Millis, name: &str) -> Option<Millis> {
        match self.next(now, self.incarnation(name))? {
            Turn::In(wait) => Some(wait),
            Turn::TooLate(_) | Turn::Never => None,
        }
    }

    /// Reserves one request, to be sent within `max_wait` milliseconds, from this entry's share of
    /// a target's rate. Returns [`Turn::Never`] if the target may not get work. Its caller has
    /// considered the scope of the request.
    pub fn reserve(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        max_wait: Millis,
    ) -> Turn {
        if self.is_former_incarnation(incarnation)
            || !self.is_available(now, incarnation.name, &Scope::ANY)
        {
            return Turn::Never;
        }
        self.take(now, incarnation, max_wait).unwrap_or(Turn::Never)
    }

    /// Names of the other entries that hold a share of all that limits a target's rate.
    pub fn limit_holders(&self, now: Millis, name: &str) -> Vec<&str> {
        let incarnation = self.incarnation(name);
        let limit = self.limit(incarnation);
        let limit = limit.map(|it| holders::max_holders(it.rate().usable()));
        let cold = self.plan_if_cold(now, name).map(|it| it.holders);
        let max = limit.into_iter().chain(cold).min();
        max.map_or_else(Vec::new, |it| self.holders.others_among(incarnation, it))
    }

    /// Requests per second that all entries together may send a target; none if nothing limits
    /// them.
    pub fn allowed_rate(&self, now: Millis, name: &str) -> Option<Rate> {
        let limit = self.limit(self.incarnation(name)).map(|it| it.rate().usable());
        let cold = self.plan_if_cold(now, name).map(|it| it.rate);
        limit.into_iter().chain(cold).reduce(Rate::min)
    }

    /// Whether this entry, of all entries, owns `key`.
    pub fn owns(&self, key: &str) -> bool {
        self.holders.owns(key)
    }

    /// Number of slots of a target that its limit allows to fill, of the `capacity` that it has.
    pub(super) fn limited_capacity(&self, name: &str, capacity: f64) -> f64 {
        let limit = self.limit(self.incarnation(name));
        limit.map_or(capacity, |it| capacity.min(it.rate().per_second() * REQUEST_SECONDS))
    }

    /// Number of slots, of `capacity`, that the rate of a target allows to fill while it is cold.
    /// That is a short time, in which the `used` slots take none of the rate.
    pub(super) fn cold_capacity(&self, now: Millis, name: &str, capacity: f64, used: f64) -> f64 {
        let cold = self.plan_if_cold(now, name);
        cold.map_or(capacity, |it| capacity.min(used + it.rate.per_second() * REQUEST_SECONDS))
    }
}

/// The later of the turns under two bounds on a target's rate; none if there is no bound.
fn later(one: Option<Turn>, other: Option<Turn>) -> Option<Turn> {
    match (one, other) {
        (None, turn) | (turn, None) => turn,
        (Some(Turn::In(a)), Some(Turn::In(b))) => Some(Turn::In(a.max(b))),
        (Some(Turn::Never), _) | (_, Some(Turn::Never)) => Some(Turn::Never),
        (Some(Turn::TooLate(a) | Turn::In(a)), Some(Turn::TooLate(b) | Turn::In(b))) => {
            Some(Turn::TooLate(a.max(b)))
        }
    }
}

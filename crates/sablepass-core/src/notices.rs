// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Notices that targets announce about themselves: a requested pause, that they leave, and the rate
//! limit that they accept from all entries together.
//!
//! Notices are binding, unlike a back-off that an entry derives from failures: no report, instance
//! list or configuration reload revokes one, and of several pauses the latest end applies. A notice
//! belongs to one incarnation of a target, not to its address or its line in the instance list,
//! which may lapse and come back.

use std::collections::HashMap;

use crate::holders::Holders;
use crate::id::{Millis, TargetIncarnation};
use crate::limits::{Change, Limit, Rate, Turn};

/// How long a notice is kept for a target that the instance list no longer contains. On the users'
/// platform a line that has lapsed is back within several seconds; a target that stays away longer
/// has ended.
const RETENTION: Millis = 60_000;

/// Number of targets with notices from which no notice of an unlisted target is kept: three times
/// the size of the largest fleet.
const MAX_TARGETS: usize = 16_384;

/// Largest difference between the clocks of two machines. A notice sent just before a target
/// restarted must not be attributed to the next incarnation.
const MAX_CLOCK_SKEW: Millis = 5_000;

/// Notices of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Notice {
    born: Millis,
    /// Start and end of the requested pause.
    paused_since: Millis,
    paused_until: Millis,
    /// When the target announced that it leaves.
    leaving_since: Option<Millis>,
    /// Limit that the target announced, if any.
    limit: Option<Limit>,
    /// Since when the instance list does not contain the target.
    unlisted_since: Option<Millis>,
}

impl Notice {
    /// Whether any notice is still in force.
    fn is_active(&self, now: Millis) -> bool {
        self.leaving_since.is_some() || now < self.paused_until || self.limit.is_some()
    }

    /// The notices that belong to the incarnation started at `born`: those announced after its
    /// start by more than the clock skew.
    fn of_incarnation(&self, born: Millis) -> Self {
        let own = |since: Millis| since >= born.saturating_add(MAX_CLOCK_SKEW);
        let (paused_since, paused_until) =
            if own(self.paused_since) { (self.paused_since, self.paused_until) } else { (0, 0) };
        let leaving_since = self.leaving_since.filter(|it| own(*it));
        let limit = self.limit.filter(|it| own(it.since()));
        Self { born, paused_since, paused_until, leaving_since, limit, unlisted_since: None }
    }

    /// Applies `change` to the limit, if there is one, and updates this entry's share.
    fn change(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        holders: &Holders,
        change: impl FnOnce(&mut Limit) -> Change,
    ) -> Change {
        let Some(limit) = &mut self.limit else { return Change::None };
        let before = limit.rate();
        let change = change(limit);
        let changed = limit.rate() != before;
        if change == Change::Ended {
            self.limit = None;
        } else if changed {
            self.update_share(now, incarnation, holders);
        }
        change
    }

    /// Updates this entry's share of the limit.
    fn update_share(&mut self, now: Millis, incarnation: TargetIncarnation<'_>, holders: &Holders) {
        if let Some(limit) = &mut self.limit {
            let share = holders.share(incarnation, limit.rate());
            limit.bucket.set(now, share);
        }
    }
}

/// Notices of all targets.
#[derive(Debug, Default)]
pub struct Notices {
    notices: HashMap<String, Notice>,
}

impl Notices {
    /// Records that a target requests a pause of `duration` milliseconds. Returns whether a new
    /// pause starts.
    pub fn pause(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        duration: Millis,
    ) -> bool {
        let notice = self.open(incarnation);
        let begins = now >= notice.paused_until;
        if begins {
            notice.paused_since = now;
        }
        notice.paused_until = notice.paused_until.max(now.saturating_add(duration));
        begins
    }

    /// Records that a target announced that it leaves. Returns whether that is new.
    pub fn leave(&mut self, now: Millis, incarnation: TargetIncarnation<'_>) -> bool {
        let leaving_since = &mut self.open(incarnation).leaving_since;
        let begins = leaving_since.is_none();
        leaving_since.get_or_insert(now);
        begins
    }

    fn open(&mut self, incarnation: TargetIncarnation<'_>) -> &mut Notice {
        let fresh = Notice { born: incarnation.started_at, ..Notice::default() };
        let notice = self.notices.entry(incarnation.name.to_owned()).or_insert(fresh);
        if notice.born != incarnation.started_at {
            *notice = fresh;
        }
        notice
    }

    fn get(&self, incarnation: TargetIncarnation<'_>) -> Option<&Notice> {
        self.notices.get(incarnation.name).filter(|known| known.born == incarnation.started_at)
    }

    /// End of a target's pause, if it has requested one.
    pub fn paused_until(&self, now: Millis, incarnation: TargetIncarnation<'_>) -> Option<Millis> {
        self.get(incarnation).map(|it| it.paused_until).filter(|until| now < *until)
    }

    /// Start of a target's pause, if it has requested one.
    pub fn paused_since(&self, now: Millis, incarnation: TargetIncarnation<'_>) -> Option<Millis> {
        self.get(incarnation).filter(|it| now < it.paused_until).map(|it| it.paused_since)
    }

    /// Whether a target is leaving.
    pub fn is_leaving(&self, incarnation: TargetIncarnation<'_>) -> bool {
        self.leaving_since(incarnation).is_some()
    }

    /// Since when a target is known to be leaving, if it is.
    pub fn leaving_since(&self, incarnation: TargetIncarnation<'_>) -> Option<Millis> {
        self.get(incarnation)?.leaving_since
    }

    /// Start time of the incarnation whose notices are kept; 0 if there are none.
    pub fn born(&self, name: &str) -> Millis {
        self.notices.get(name).map_or(0, |it| it.born)
    }

    /// Records that the instance list contains an incarnation of a target. Returns whether that
    /// ends a pause, since the pause belonged to another incarnation.
    pub fn listed(&mut self, now: Millis, incarnation: TargetIncarnation<'_>) -> bool {
        let Some(notice) = self.notices.get_mut(incarnation.name) else { return false };
        notice.unlisted_since = None;
        if notice.born == incarnation.started_at {
            return false;
        }
        let was_paused = now < notice.paused_until;
        // The instance list may show a new incarnation late, after its first notices have arrived.
        let own = if notice.born < incarnation.started_at {
            notice.of_incarnation(incarnation.started_at)
        } else {
            Notice::default()
        };
        let is_paused = now < own.paused_until;
        if own.is_active(now) {
            *notice = own;
        } else {
            self.notices.remove(incarnation.name);
        }
        was_paused && !is_paused
    }

    /// Records that the instance list no longer contains a target.
    pub fn unlisted(&mut self, now: Millis, name: &str) {
        if let Some(notice) = self.notices.get_mut(name) {
            notice.unlisted_since.get_or_insert(now);
        }
    }

    /// Removes pauses that are over, and targets that have ended.
    pub fn sweep(&mut self, now: Millis) {
        self.notices.retain(|_, it| {
            let lapsed =
                it.unlisted_since.is_some_and(|since| now >= since.saturating_add(RETENTION));
            !lapsed && it.is_active(now)
        });
    }

    /// Processes the limit that a response announces, or that it announces none. The request was
    /// sent at `sent`.
    pub fn answered(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        sent: Millis,
        announced: Option<Rate>,
        holders: &Holders,
    ) -> Change {
        self.limit(now, incarnation, announced, holders, |limit| {
            limit.answered(now, sent, announced)
        })
    }

    /// Processes a peer's report of a target's limit; none if the limit ended.
    pub fn reported_by_peer(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        rate: Option<Rate>,
        holders: &Holders,
    ) -> Change {
        self.limit(now, incarnation, rate, holders, |limit| limit.reported_by_peer(now, rate))
    }

    /// Processes the report of the agent through which all requests to a target go.
    pub fn reported_by_agent(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        rate: Option<Rate>,
        holders: &Holders,
    ) -> Change {
        self.limit(now, incarnation, rate, holders, |limit| limit.reported_by_agent(now, rate))
    }

    fn limit(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        rate: Option<Rate>,
        holders: &Holders,
        change: impl FnOnce(&mut Limit) -> Change,
    ) -> Change {
        let known = self.get(incarnation).is_some_and(|it| it.limit.is_some());
        let Some(rate) = rate.filter(|_| !known) else {
            let notice = self
                .notices
                .get_mut(incarnation.name)
                .filter(|known| known.born == incarnation.started_at);
            return notice
                .map_or(Change::None, |known| known.change(now, incarnation, holders, change));
        };
        let mut limit = Limit::new(now, rate);
        limit.bucket.set(now, holders.share(incarnation, rate));
        self.open(incarnation).limit = Some(limit);
        Change::Set(rate)
    }

    /// Applies pending reports of peers that no response has contradicted. Returns the changes.
    pub fn apply_pending(&mut self, now: Millis, holders: &Holders) -> Vec<(String, Change)> {
        let mut changes = Vec::new();
        for (name, notice) in &mut self.notices {
            let incarnation = TargetIncarnation { name, started_at: notice.born };
            let change = notice.change(now, incarnation, holders, |limit| limit.apply_pending(now));
            if change != Change::None {
                changes.push((name.clone(), change));
            }
        }
        changes
    }

    /// Updates this entry's share of all limits after the holders have changed.
    pub fn update_shares(&mut self, now: Millis, holders: &Holders) {
        for (name, notice) in &mut self.notices {
            let incarnation = TargetIncarnation { name, started_at: notice.born };
            notice.update_share(now, incarnation, holders);
        }
    }

    /// Limit that a target announced, if any.
    pub fn limited(&self, incarnation: TargetIncarnation<'_>) -> Option<&Limit> {
        self.get(incarnation)?.limit.as_ref()
    }

    /// When this entry may send one more request to a target; none if the target has no limit.
    pub fn next(&self, now: Millis, incarnation: TargetIncarnation<'_>) -> Option<Turn> {
        let next = self.limited(incarnation)?.bucket.next(now);
        Some(next.map_or(Turn::Never, Turn::In))
    }

    /// Reserves one request, to be sent within `max_wait` milliseconds, from this entry's share of
    /// a target's limit; none if the target has no limit.
    pub fn reserve(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        max_wait: Millis,
    ) -> Option<Turn> {
        let notice = self
            .notices
            .get_mut(incarnation.name)
            .filter(|known| known.born == incarnation.started_at)?;
        Some(notice.limit.as_mut()?.bucket.reserve(now, max_wait))
    }

    /// Incarnations with a limit.
    pub fn limits(&self) -> impl Iterator<Item = (TargetIncarnation<'_>, &Limit)> {
        self.notices.iter().filter_map(|(name, it)| {
            Some((TargetIncarnation { name, started_at: it.born }, it.limit.as_ref()?))
        })
    }

    /// Incarnations that announced that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = TargetIncarnation<'_>> {
        let leaving = self.notices.iter().filter(|it| it.1.leaving_since.is_some());
        leaving.map(|(name, it)| TargetIncarnation { name, started_at: it.born })
    }

    /// Number of targets that have requested a pause.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.notices.values().filter(|it| now < it.paused_until).count()
    }

    /// Number of targets with notices.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Whether there is room for a notice of a target that the instance list does not contain.
    pub fn has_room(&self, name: &str) -> bool {
        self.notices.len() < MAX_TARGETS || self.notices.contains_key(name)
    }

    /// Whether there are no notices.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What targets said of themselves: that they want to rest, that they leave, and how much
//! they take from all entries together.
//!
//! All of it binds whoever was told, unlike what an entry guesses from failures: no report,
//! list or reload takes it back, and the latest end of a rest holds. It hangs on a
//! life of the target, not on its address or its entry in a list, which may lapse and come
//! back.

use std::collections::HashMap;

use crate::holders::Holders;
use crate::id::{Life, Millis};
use crate::limits::{Change, Limit, Rate, Turn};

/// How long a notice is kept of a target that the list names no more. On the users' platform
/// an entry that lapsed is back within some seconds; one that stays away has ended.
const LAPSED: Millis = 60_000;

/// Targets of which something is kept that the list does not name: three times as many as the
/// largest fleet has.
const MOST: usize = 16_384;

/// By how much the clocks of two machines may differ: what a target said just before it
/// started anew is not taken for a word of its next life.
const SKEW: Millis = 5_000;

/// What one life of a target said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Notice {
    born: Millis,
    /// Since when it wants nothing, and until when.
    since: Millis,
    until: Millis,
    /// Since when it wants nothing any more.
    leaves: Option<Millis>,
    /// What it takes from all entries together, if it names a limit.
    limit: Option<Limit>,
    /// Since when the list does not name it.
    unlisted: Option<Millis>,
}

impl Notice {
    /// Whether it says anything that still holds.
    fn holds(&self, now: Millis) -> bool {
        self.leaves.is_some() || now < self.until || self.limit.is_some()
    }

    /// What of it was said by the life that began at `born`: all that was said well after that.
    fn said_by(&self, born: Millis) -> Self {
        let own = |since: Millis| since >= born.saturating_add(SKEW);
        let (since, until) = if own(self.since) { (self.since, self.until) } else { (0, 0) };
        let leaves = self.leaves.filter(|it| own(*it));
        let limit = self.limit.filter(|it| own(it.since()));
        Self { born, since, until, leaves, limit, unlisted: None }
    }

    /// Changes the limit, if there is one.
    fn change(
        &mut self,
        now: Millis,
        it: Life<'_>,
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
            self.share(now, it, holders);
        }
        change
    }

    /// Works out this entry's part of the limit.
    fn share(&mut self, now: Millis, it: Life<'_>, holders: &Holders) {
        if let Some(limit) = &mut self.limit {
            let part = holders.part(it, limit.rate());
            limit.bucket.set(now, part);
        }
    }
}

/// What all targets said.
#[derive(Debug, Default)]
pub struct Notices {
    notices: HashMap<String, Notice>,
}

impl Notices {
    /// Records that a target wants nothing for so long. Whether it rests only since now.
    pub fn pause(&mut self, now: Millis, it: Life<'_>, asked: Millis) -> bool {
        let notice = self.open(it);
        let begins = now >= notice.until;
        if begins {
            notice.since = now;
        }
        notice.until = notice.until.max(now.saturating_add(asked));
        begins
    }

    /// Records that a target leaves. Whether that is new.
    pub fn leave(&mut self, now: Millis, it: Life<'_>) -> bool {
        let leaves = &mut self.open(it).leaves;
        let begins = leaves.is_none();
        leaves.get_or_insert(now);
        begins
    }

    fn open(&mut self, it: Life<'_>) -> &mut Notice {
        let fresh = Notice { born: it.born, ..Notice::default() };
        let notice = self.notices.entry(it.name.to_owned()).or_insert(fresh);
        if notice.born != it.born {
            *notice = fresh;
        }
        notice
    }

    fn get(&self, it: Life<'_>) -> Option<&Notice> {
        self.notices.get(it.name).filter(|known| known.born == it.born)
    }

    /// Until when a target rests, if it does.
    pub fn paused_until(&self, now: Millis, it: Life<'_>) -> Option<Millis> {
        self.get(it).map(|it| it.until).filter(|until| now < *until)
    }

    /// Since when a target rests, if it does.
    pub fn paused_since(&self, now: Millis, it: Life<'_>) -> Option<Millis> {
        self.get(it).filter(|it| now < it.until).map(|it| it.since)
    }

    /// Whether a target leaves.
    pub fn is_leaving(&self, it: Life<'_>) -> bool {
        self.leaving_since(it).is_some()
    }

    /// Since when a target is known to leave, if it is.
    pub fn leaving_since(&self, it: Life<'_>) -> Option<Millis> {
        self.get(it)?.leaves
    }

    /// When the life began of which anything is kept; 0 if nothing is.
    pub fn born(&self, name: &str) -> Millis {
        self.notices.get(name).map_or(0, |it| it.born)
    }

    /// Records that the list names a target. True if that ends a rest: it is another life.
    pub fn listed(&mut self, now: Millis, it: Life<'_>) -> bool {
        let Some(notice) = self.notices.get_mut(it.name) else { return false };
        notice.unlisted = None;
        if notice.born == it.born {
            return false;
        }
        let rested = now < notice.until;
        // The list may learn late of the life that said it.
        let own = if notice.born < it.born { notice.said_by(it.born) } else { Notice::default() };
        let rests = now < own.until;
        if own.holds(now) {
            *notice = own;
        } else {
            self.notices.remove(it.name);
        }
        rested && !rests
    }

    /// Records that the list names a target no more.
    pub fn unlisted(&mut self, now: Millis, name: &str) {
        if let Some(notice) = self.notices.get_mut(name) {
            notice.unlisted.get_or_insert(now);
        }
    }

    /// Forgets rests that are over, and targets that ended.
    pub fn sweep(&mut self, now: Millis) {
        self.notices.retain(|_, it| {
            let lapsed = it.unlisted.is_some_and(|since| now >= since.saturating_add(LAPSED));
            !lapsed && it.holds(now)
        });
    }

    /// Takes the limit that an answer names, or that it names none. The request was sent at
    /// `sent`.
    pub fn answered(
        &mut self,
        now: Millis,
        it: Life<'_>,
        sent: Millis,
        named: Option<Rate>,
        holders: &Holders,
    ) -> Change {
        self.limit(now, it, named, holders, |limit| limit.answered(now, sent, named))
    }

    /// Takes what another process told of a target's limit; none if it is over.
    pub fn reported_by_peer(
        &mut self,
        now: Millis,
        it: Life<'_>,
        rate: Option<Rate>,
        holders: &Holders,
    ) -> Change {
        self.limit(now, it, rate, holders, |limit| limit.reported_by_peer(now, rate))
    }

    /// Takes what the agent, through which all requests to a target go, says of its limit.
    pub fn reported_by_agent(
        &mut self,
        now: Millis,
        it: Life<'_>,
        rate: Option<Rate>,
        holders: &Holders,
    ) -> Change {
        self.limit(now, it, rate, holders, |limit| limit.reported_by_agent(now, rate))
    }

    fn limit(
        &mut self,
        now: Millis,
        it: Life<'_>,
        rate: Option<Rate>,
        holders: &Holders,
        change: impl FnOnce(&mut Limit) -> Change,
    ) -> Change {
        let known = self.get(it).is_some_and(|it| it.limit.is_some());
        let Some(rate) = rate.filter(|_| !known) else {
            let notice = self.notices.get_mut(it.name).filter(|known| known.born == it.born);
            return notice.map_or(Change::None, |known| known.change(now, it, holders, change));
        };
        let mut limit = Limit::new(now, rate);
        limit.bucket.set(now, holders.part(it, rate));
        self.open(it).limit = Some(limit);
        Change::Set(rate)
    }

    /// Believes what was told of limits, where nothing speaks against it. What changed.
    pub fn apply_pending(&mut self, now: Millis, holders: &Holders) -> Vec<(String, Change)> {
        let mut changes = Vec::new();
        for (name, notice) in &mut self.notices {
            let life = Life { name, born: notice.born };
            let change = notice.change(now, life, holders, |limit| limit.apply_pending(now));
            if change != Change::None {
                changes.push((name.clone(), change));
            }
        }
        changes
    }

    /// Shares all limits out anew: other entries hold them.
    pub fn share(&mut self, now: Millis, holders: &Holders) {
        for (name, notice) in &mut self.notices {
            let life = Life { name, born: notice.born };
            notice.share(now, life, holders);
        }
    }

    /// The limit that a target names, if it does.
    pub fn limited(&self, it: Life<'_>) -> Option<&Limit> {
        self.get(it)?.limit.as_ref()
    }

    /// When this entry may send one more request to a target; none if that names no limit.
    pub fn next(&self, now: Millis, it: Life<'_>) -> Option<Turn> {
        let next = self.limited(it)?.bucket.next(now);
        Some(next.map_or(Turn::Never, Turn::In))
    }

    /// Takes a request, to be sent within `most` milliseconds, out of this entry's part of a
    /// target's limit; none if that names no limit.
    pub fn reserve(&mut self, now: Millis, it: Life<'_>, most: Millis) -> Option<Turn> {
        let notice = self.notices.get_mut(it.name).filter(|known| known.born == it.born)?;
        Some(notice.limit.as_mut()?.bucket.reserve(now, most))
    }

    /// The lives that name a limit.
    pub fn limits(&self) -> impl Iterator<Item = (Life<'_>, &Limit)> {
        self.notices
            .iter()
            .filter_map(|(name, it)| Some((Life { name, born: it.born }, it.limit.as_ref()?)))
    }

    /// The lives that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = Life<'_>> {
        let leaving = self.notices.iter().filter(|it| it.1.leaves.is_some());
        leaving.map(|(name, it)| Life { name, born: it.born })
    }

    /// Targets that rest.
    pub fn paused_count(&self, now: Millis) -> usize {
        self.notices.values().filter(|it| now < it.until).count()
    }

    /// Targets of which anything is kept.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Whether what is told of a target that the list does not name can be kept.
    pub fn has_room(&self, name: &str) -> bool {
        self.notices.len() < MOST || self.notices.contains_key(name)
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}

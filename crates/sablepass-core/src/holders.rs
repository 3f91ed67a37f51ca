// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Distribution of a target's rate limit among entries.
//!
//! A few entries hold the limit, chosen by a hash over the names of all. Each holder sends its
//! share, or lets other entries that have no other target send some of it, so the total burst does
//! not grow with the number of entries. Two processes that disagree about the set of entries could
//! hold the same share twice. Entries therefore give up their shares soon after fewer entries are
//! known by name than are counted, and an entry that takes over a share starts with an empty
//! bucket.

use std::collections::BTreeSet;

use crate::id::{Millis, TargetIncarnation};
use crate::limits::Rate;
use crate::rendezvous;

/// Burst of all holders together, in seconds of the limit. Each holder may send one request at
/// once, so there is one holder for each request that the limit allows in this time.
const BURST_SECONDS: f64 = 1.0;
/// How long entries keep using their shares while some of the entries counted are not known by
/// name: longer than the count takes to follow the end of an entry.
const GIVE_UP_DELAY: Millis = 1_000;
/// How long all entries must be known by name before an entry that started, resumed after a
/// suspension or was cut off uses its shares: as long as the other entries keep using them.
const TAKE_OVER_DELAY: Millis = 1_000;

/// The set of entries, as one of them knows it.
#[derive(Clone, Debug)]
pub struct Holders {
    me: String,
    /// Names of the other entries that are known now.
    others: BTreeSet<String>,
    /// Names of the other entries among which limits are distributed.
    shared: BTreeSet<String>,
    /// Whether this entry may use its shares.
    active: bool,
    /// Whether all entries are known by name, and since when that has been so.
    complete: bool,
    since: Millis,
    /// Number of entries, this one included; none if it is not known.
    counted: Option<usize>,
}

impl Holders {
    /// Creates the view of an entry that knows no other entries yet.
    pub fn open(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            others: BTreeSet::new(),
            shared: BTreeSet::new(),
            active: false,
            complete: false,
            since: 0,
            counted: None,
        }
    }

    /// Sets the names of the other entries.
    pub fn set_peers(&mut self, others: impl IntoIterator<Item = String>) {
        self.others = others.into_iter().collect();
    }

    /// Compares the known entries with their count, if that is known. Returns whether shares
    /// changed.
    pub fn watch(&mut self, now: Millis, count: Option<usize>) -> bool {
        let complete = count.is_some_and(|it| self.others.len() + 1 >= it);
        if complete != self.complete {
            self.complete = complete;
            self.since = now;
        }
        let counted = std::mem::replace(&mut self.counted, count);
        let elapsed = now.saturating_sub(self.since);
        let was_active = self.active;
        if complete {
            self.active |= elapsed >= TAKE_OVER_DELAY;
        } else {
            self.active &= elapsed < GIVE_UP_DELAY;
        }
        let changed = complete && self.shared != self.others;
        if changed {
            self.shared.clone_from(&self.others);
        }
        changed || was_active != self.active || (!self.active && counted != count)
    }

    /// Gives up all shares after this process was suspended: other entries may have taken them over
    /// meanwhile.
    pub fn resumed(&mut self, now: Millis) {
        self.active = false;
        self.complete = false;
        self.since = now;
        self.counted = None;
    }

    /// Whether this entry may use its shares.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// This entry's share of a limit; none if it is not a holder.
    pub fn share(&self, life: TargetIncarnation<'_>, limit: Rate) -> Option<Rate> {
        let limit = limit.usable();
        self.share_among(life, limit, max_holders(limit))
    }

    /// This entry's share of a rate that at most `max` entries hold; none if it is not a holder.
    pub fn share_among(&self, life: TargetIncarnation<'_>, rate: Rate, max: usize) -> Option<Rate> {
        if !self.active {
            return None;
        }
        let holders = self.count(max);
        (self.higher(life) < holders).then(|| rate.part(holders))
    }

    /// The share of a rate that at most `max` entries hold which this entry may use while it may
    /// not use its own, as after its start: an equal part, if each entry may have one. It is none
    /// if there are more entries than that, or their number is not known.
    pub fn provisional_share(&self, rate: Rate, max: usize) -> Option<Rate> {
        let fits = self.counted.is_some_and(|it| it <= max);
        (!self.active && fits).then(|| rate.part(max))
    }

    /// This entry's position among the holders of a rate that at most `max` entries hold, as a
    /// fraction; evenly distributed over them.
    pub fn position(&self, life: TargetIncarnation<'_>, max: usize) -> f64 {
        ((self.higher(life) as f64 + 0.5) / self.count(max) as f64).min(1.0)
    }

    /// Number of entries that come before this one in the order in which they hold a target's rate.
    fn higher(&self, life: TargetIncarnation<'_>) -> usize {
        let key = key(life);
        let score = |name: &str| (rendezvous::score(&key, name), name.to_owned());
        let mine = score(&self.me);
        self.shared.iter().filter(|it| score(it) > mine).count()
    }

    /// Whether this entry, of all entries, owns `key`.
    pub fn owns(&self, key: &str) -> bool {
        let all = self.shared.iter().map(String::as_str).chain([self.me.as_str()]);
        self.active && rendezvous::owner(key, all) == Some(self.me.as_str())
    }

    /// The other entries that hold a share of a limit.
    pub fn other_holders(&self, life: TargetIncarnation<'_>, limit: Rate) -> Vec<&str> {
        self.others_among(life, max_holders(limit.usable()))
    }

    /// The other entries that hold a share of a rate that at most `max` entries hold. The holders
    /// of a target with a lower `max` are a subset of those with a higher one.
    pub fn others_among(&self, life: TargetIncarnation<'_>, max: usize) -> Vec<&str> {
        let all = self.shared.iter().map(String::as_str).chain([self.me.as_str()]);
        let ranked = rendezvous::rank(&key(life), all);
        let holders = ranked.into_iter().take(self.count(max));
        holders.filter(|it| *it != self.me).collect()
    }

    /// Number of entries that hold a rate if at most `max` may.
    fn count(&self, max: usize) -> usize {
        max.clamp(1, self.shared.len() + 1)
    }
}

/// Maximum number of entries that hold a limit.
pub fn max_holders(limit: Rate) -> usize {
    (limit.per_second() * BURST_SECONDS) as usize
}

fn key(life: TargetIncarnation<'_>) -> String {
    format!("{}/{}", life.name, life.started_at)
}

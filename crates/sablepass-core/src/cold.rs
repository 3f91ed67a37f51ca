// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Cold targets: which incarnations are cold until when, and this entry's share of the rate that
//! each of them sustains.
//!
//! In any second, all entries together send a cold target at most a multiple of its rate plus a
//! fixed number of requests. A few entries hold the rate, as for limits that targets announce; each
//! holder may send one request at once, so the number of holders follows from what the bound leaves
//! above the rate.
//!
//! An entry that may not use its share yet, since it does not know all others by name, uses an equal
//! part if there are no more entries than holders. Otherwise a service whose targets are all cold
//! would refuse everything after all entries have restarted.

use std::collections::HashMap;

use crate::holders::Holders;
use crate::id::{Millis, TargetIncarnation};
use crate::limits::{Bucket, Rate, Turn};

/// Number of targets from which cold times of unlisted targets are not kept: as for other notices.
const MAX_TARGETS: usize = 16_384;

/// Requests that the bound keeps free: a request may arrive slightly earlier after the one before
/// than both were sent.
const RESERVED_REQUESTS: f64 = 1.0;

/// By how much a statement must exceed the known cold time to be news for other entries, or to
/// count if it is a peer's: statements differ by the time that messages take. It exceeds the time
/// that a message takes to a peer and back.
const TOLERANCE: Millis = 100;

/// Longest cold time that is accepted from any source, so that an erroneous statement does not
/// limit a target for long.
pub const MAX_REMAINING: Millis = 600_000;

/// Bound on the requests that all entries together send a cold target in any second: its rate times
/// `overshoot`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Additional requests.
    pub slack: f64,
}

/// How entries share the rate of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Requests per second of all entries together.
    pub rate: Rate,
    /// Maximum number of entries that hold the rate.
    pub holders: usize,
    /// Requests that all holders together may send at once.
    pub burst: f64,
}

impl Bound {
    /// Maximum number of requests in a second.
    pub fn requests(&self, rate: Rate) -> f64 {
        rate.per_second() * self.overshoot + self.slack
    }

    /// How entries share a rate. If the burst of even one holder does not fit the bound, the rate
    /// is lowered until it does.
    pub fn plan(&self, rate: Rate) -> Plan {
        let bound = self.requests(rate);
        let burst = bound - rate.per_second() - RESERVED_REQUESTS;
        if burst >= 1.0 {
            return Plan { rate, holders: burst as usize, burst };
        }
        let lowered = Rate::new((bound - 1.0 - RESERVED_REQUESTS).max(0.0)).unwrap_or(rate);
        Plan { rate: lowered.usable().min(rate), holders: 1, burst: 1.0 }
    }
}

/// Source of a statement that a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The target's line in the instance list.
    Listed,
    /// A response of the target.
    Answer,
    /// Another entry.
    Told,
    /// The end of the evacuation of the target's hall.
    Evacuation,
}

impl Source {
    /// Name for log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Answer => "answer",
            Self::Told => "told",
            Self::Evacuation => "evacuation",
        }
    }
}

/// Effect of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The target became cold, for this many milliseconds.
    Began(Millis),
    /// The target stays cold, for this many milliseconds from now on.
    Moved(Millis),
    /// The same, and much longer than was known before.
    Extended(Millis),
    /// The target is no longer cold.
    Ended,
}

impl Change {
    /// Remaining time with which a peer's statement that had this effect is forwarded to the other
    /// entries; none if it is not. Two entries would extend the cold time of each other by the time
    /// that messages take, and would send each other a short one for ever, as it is over when it
    /// comes back.
    pub fn forwarded(self) -> Option<Millis> {
        match self {
            Self::Began(remaining) => Some(remaining).filter(|it| *it > TOLERANCE),
            Self::None | Self::Moved(_) | Self::Extended(_) | Self::Ended => None,
        }
    }
}

/// A cold incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    born: Millis,
    /// When it became known that the target is cold.
    since: Millis,
    /// End of the cold time.
    until: Millis,
    /// When the last statement arrived.
    stated_at: Millis,
    /// Whether the list has stated the cold time since another source did. The first line after
    /// such a statement may have been written before it.
    listed: bool,
    /// How the rate is shared; none while the target's service is not known.
    plan: Option<Plan>,
    /// Bucket for the share of this process.
    bucket: Bucket,
    /// Whether the share is provisional.
    provisional: bool,
    /// Whether the cold time is only assumed; such a time is not sent to other entries.
    assumed: bool,
}

impl Cold {
    /// When it became known that the target is cold.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Whether the cold time is only assumed.
    pub fn is_assumed(&self) -> bool {
        self.assumed
    }

    /// Remaining cold time in milliseconds.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    /// How the rate is shared; none while the target's service is not known.
    pub fn plan(&self) -> Option<Plan> {
        self.plan
    }

    /// When this entry may send one more request.
    fn next(&self, now: Millis) -> Turn {
        self.bucket.next(now).map_or(Turn::Never, Turn::In)
    }

    fn update_share(&mut self, now: Millis, life: TargetIncarnation<'_>, holders: &Holders) {
        let Some(plan) = self.plan else {
            self.bucket.set(now, None);
            return;
        };
        let provisional = holders.provisional_share(plan.rate, plan.holders);
        // What other entries use may add to a provisional share until they know of this entry, so
        // it begins with an empty bucket.
        if provisional.is_some() && !self.provisional {
            self.bucket.drain(now);
        }
        self.provisional = provisional.is_some();
        let share = provisional.or_else(|| holders.share_among(life, plan.rate, plan.holders));
        if let Some(share) = share {
            self.bucket.limit_burst(plan.burst * share.per_second() / plan.rate.per_second());
        }
        self.bucket.set(now, share);
    }
}

/// The cold targets.
#[derive(Debug, Default)]
pub struct ColdTargets {
    targets: HashMap<String, Cold>,
}

impl ColdTargets {
    /// The state of an incarnation, if it is cold.
    pub fn get(&self, now: Millis, life: TargetIncarnation<'_>) -> Option<&Cold> {
        self.targets.get(life.name).filter(|it| it.born == life.started_at && now < it.until)
    }

    /// Processes a new line of the instance list, which states a remaining cold time of 0 if the
    /// target is not cold. A later line replaces an earlier one; it replaces statements of other
    /// sources only if it was certainly written later.
    pub fn listed(
        &mut self,
        now: Millis,
        life: TargetIncarnation<'_>,
        remaining: Millis,
    ) -> Change {
        if self.targets.get(life.name).is_some_and(|it| it.born != life.started_at) {
            self.targets.remove(life.name);
        }
        let until = now + remaining.min(MAX_REMAINING);
        let Some(cold) = self.targets.get_mut(life.name).filter(|it| now < it.until) else {
            return self.begin(now, life, until, true);
        };
        if cold.listed || until > cold.until {
            cold.until = until;
        }
        cold.listed = true;
        cold.stated_at = now;
        cold.assumed = false;
        self.moved(now, life.name)
    }

    /// Processes the cold time in a response to a request that was sent at `sent`. It replaces all
    /// statements that arrived before the request was sent, and extends others.
    pub fn answered(
        &mut self,
        now: Millis,
        life: TargetIncarnation<'_>,
        sent: Millis,
        remaining: Millis,
    ) -> Change {
        let until = now + remaining.min(MAX_REMAINING);
        let Some(cold) = self.known(now, life) else {
            return self.begin(now, life, until, false);
        };
        if until <= cold.until && sent <= cold.stated_at {
            return Change::None;
        }
        let extended = until > cold.until + TOLERANCE;
        cold.until = until;
        cold.listed = false;
        cold.stated_at = now;
        cold.assumed = false;
        if extended { Change::Extended(until - now) } else { self.moved(now, life.name) }
    }

    /// Processes a cold time that a peer states. It extends other statements.
    /// One of an earlier incarnation than the one that is cold counts for nothing.
    pub fn stated(
        &mut self,
        now: Millis,
        life: TargetIncarnation<'_>,
        remaining: Millis,
    ) -> Change {
        let until = now + remaining.min(MAX_REMAINING);
        let is_earlier = |it: &Cold| now < it.until && life.started_at < it.born;
        if self.targets.get(life.name).is_some_and(is_earlier) {
            return Change::None;
        }
        let Some(cold) = self.known(now, life) else {
            return self.begin(now, life, until, false);
        };
        if until <= cold.until + TOLERANCE {
            return Change::None;
        }
        cold.until = until;
        cold.listed = false;
        cold.stated_at = now;
        cold.assumed = false;
        Change::Extended(until - now)
    }

    /// Processes a cold time that this process assumes. It extends other statements.
    pub fn assume(
        &mut self,
        now: Millis,
        life: TargetIncarnation<'_>,
        remaining: Millis,
    ) -> Change {
        let change = self.stated(now, life, remaining);
        if change != Change::None
            && let Some(cold) = self.known(now, life)
        {
            cold.assumed = true;
        }
        change
    }

    fn known(&mut self, now: Millis, life: TargetIncarnation<'_>) -> Option<&mut Cold> {
        let cold = self.targets.get_mut(life.name)?;
        (cold.born == life.started_at && now < cold.until).then_some(cold)
    }

    fn begin(
        &mut self,
        now: Millis,
        life: TargetIncarnation<'_>,
        until: Millis,
        listed: bool,
    ) -> Change {
        if until <= now {
            return Change::None;
        }
        let cold = Cold {
            born: life.started_at,
            since: now,
            until,
            stated_at: now,
            listed,
            plan: None,
            bucket: Bucket::default(),
            provisional: false,
            assumed: false,
        };
        self.targets.insert(life.name.to_owned(), cold);
        Change::Began(until - now)
    }

    fn moved(&mut self, now: Millis, name: &str) -> Change {
        let remaining = self.targets.get(name).map_or(0, |it| it.remaining(now));
        if remaining == 0 {
            self.targets.remove(name);
            return Change::Ended;
        }
        Change::Moved(remaining)
    }

    /// Sets how the rate of a target is shared: none while its service is not known or has no cold
    /// rate.
    pub fn set_plan(&mut self, now: Millis, name: &str, plan: Option<Plan>, holders: &Holders) {
        if let Some(cold) = self.targets.get_mut(name).filter(|it| it.plan != plan) {
            cold.plan = plan;
            let life = TargetIncarnation { name, started_at: cold.born };
            cold.update_share(now, life, holders);
        }
    }

    /// Records that a target which became cold got no requests lately, as after its start. The
    /// buckets of its holders are then filled to different degrees, which the bound allows at any
    /// time: with empty ones, several holders of a low rate would leave the target unused for more
    /// than a second.
    pub fn set_idle(&mut self, now: Millis, name: &str, holders: &Holders) {
        let active = holders.is_active();
        if let Some(cold) = self.targets.get_mut(name).filter(|_| active) {
            let life = TargetIncarnation { name, started_at: cold.born };
            let max = cold.plan.map_or(1, |it| it.holders);
            cold.bucket.fill(now, holders.position(life, max));
        }
    }

    /// Updates this entry's shares after the holders have changed.
    pub fn update_shares(&mut self, now: Millis, holders: &Holders) {
        for (name, cold) in &mut self.targets {
            let life = TargetIncarnation { name, started_at: cold.born };
            cold.update_share(now, life, holders);
        }
    }

    /// When this entry may send one more request to a target; none if its rate is not limited.
    pub fn next(&self, now: Millis, life: TargetIncarnation<'_>) -> Option<Turn> {
        self.get(now, life).filter(|it| it.plan.is_some()).map(|it| it.next(now))
    }

    /// Reserves one request, to be sent within `max_wait` milliseconds; none if the target's rate
    /// is not limited.
    pub fn reserve(
        &mut self,
        now: Millis,
        life: TargetIncarnation<'_>,
        max_wait: Millis,
    ) -> Option<Turn> {
        let cold = self.known(now, life).filter(|it| it.plan.is_some())?;
        Some(cold.bucket.reserve(now, max_wait))
    }

    /// Removes the targets that are no longer cold, and returns them.
    pub fn sweep(&mut self, now: Millis) -> Vec<(String, Millis)> {
        let over = self.targets.iter().filter(|it| now >= it.1.until);
        let over: Vec<(String, Millis)> = over.map(|(name, it)| (name.clone(), it.born)).collect();
        for (name, _) in &over {
            self.targets.remove(name);
        }
        over
    }

    /// The cold incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIncarnation<'_>, &Cold)> {
        self.targets.iter().map(|(name, it)| (TargetIncarnation { name, started_at: it.born }, it))
    }

    /// Whether there is room for a target that the instance list does not contain.
    pub fn has_room(&self, name: &str) -> bool {
        self.targets.len() < MAX_TARGETS || self.targets.contains_key(name)
    }

    /// Whether no target is cold.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

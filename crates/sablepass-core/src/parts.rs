// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Prompt parts under which targets ended, and which of them are blocked.
//!
//! A part may end each target that writes an answer on it, whatever else the request contains. When
//! a target ends, the parts of all requests that it was running are suspected, most of them
//! wrongly. Three observations single out the cause: it was present at each death of a series, no
//! answer on it has completed since, and no other part explains more deaths. Entries with the same
//! observations decide alike.
//!
//! Parts that always occur together are blocked together: a request that contains only some of them
//! may run, and its completion or the next death tells them apart.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use crate::fingerprint::Fingerprint;
use crate::id::Millis;
use crate::suspects::{BLOCK_DURATION, Death, RETENTION, TRIAL_RETRY_DELAY, Trial};

/// Consecutive deaths that block a part that is the only explanation for them and on which no
/// answer has ever completed.
const CONSECUTIVE_DEATHS: usize = 2;
/// Consecutive deaths that block a part if answers on it have completed before, or another part
/// explains the same deaths. A frequent part can be present at two deaths of other cause in a row.
const CONSECUTIVE_DEATHS_DOUBTFUL: usize = 3;
/// Consecutive deaths that block a part if another one explains the same deaths and occurs in fewer
/// requests, so that its block refuses less.
const CONSECUTIVE_DEATHS_GENERAL: usize = 4;
/// Maximum number of records of deaths kept per part; further ones add no information.
const MAX_RECORDS: usize = 16;
/// Maximum number of requests with a part that are kept for one target that ended.
const MAX_REQUESTS_PER_TARGET: usize = 3;
/// How long the first block of a part lasts. It doubles with each further death, up to
/// [`BLOCK_DURATION`]. Then a single entry tries a single request with the part.
const FIRST_BLOCK_DURATION: Millis = 60_000;
/// Maximum number of parts remembered after a death, of about 300 bytes each: those of all requests
/// that a hall of 100 targets with 12 slots loses at once.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of parts whose last completion is remembered.
const MAX_COMPLETED: usize = 8_192;

/// The end of a target under a request, with the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartsDeath {
    /// The request that the target was running.
    pub request: Fingerprint,
    /// The parts for which this death counts.
    pub parts: Vec<Fingerprint>,
    /// Further parts that were present at all deaths of each of these parts.
    pub companions: Vec<Fingerprint>,
    /// The end of the target.
    pub death: Death,
}

impl PartsDeath {
    /// The end of a target under a request, without regard to the parts of its prompt.
    pub fn of(request: Fingerprint, death: &Death) -> Self {
        Self { request, parts: Vec::new(), companions: Vec::new(), death: death.clone() }
    }
}

/// Effect of recording a death.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recorded {
    /// Whether the death was new for any of the parts.
    pub is_new: bool,
    /// Parts that this death blocks.
    pub blocked: Vec<Fingerprint>,
    /// Whether any of the parts is blocked now, by this death or earlier ones.
    pub is_blocked: bool,
    /// Parts that had not been suspected although an answer on them is known to have completed, and
    /// when.
    pub completed: Vec<(Fingerprint, Millis)>,
}

/// A part that a request must not be sent with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The part.
    pub part: Fingerprint,
    /// Time before which no request with the part is sent.
    pub until: Millis,
}

#[derive(Clone, Debug, Default)]
struct Observations {
    /// Each request with the part and the end of the target that was running it.
    deaths: Vec<(Fingerprint, Death)>,
    /// Parts that all of these requests contain.
    companions: Vec<Fingerprint>,
}

impl Observations {
    fn first_ended(&self) -> Millis {
        self.deaths.iter().map(|it| it.1.ended).min().unwrap_or(0)
    }

    fn last_ended(&self) -> Millis {
        self.deaths.iter().map(|it| it.1.ended).max().unwrap_or(0)
    }

    /// Longest series of deaths under different requests, each of which was sent after the previous
    /// death. Deaths at one moment count once, as when a data hall loses power.
    fn series(&self) -> Vec<&(Fingerprint, Death)> {
        let mut deaths: Vec<&(Fingerprint, Death)> = self.deaths.iter().collect();
        // Of the requests at one target, the one with the fewest other deaths leaves most of these.
        let total = |request| self.deaths.iter().filter(|it| it.0 == request).count();
        deaths.sort_unstable_by_key(|it| (it.1.ended, total(it.0), it.0));
        let mut series: Vec<&(Fingerprint, Death)> = Vec::new();
        for it in deaths {
            let follows = series.last().is_none_or(|last| it.1.sent >= last.1.ended);
            if follows && series.iter().all(|known| known.0 != it.0) {
                series.push(it);
            }
        }
        series
    }

    /// Adds a record. Returns false if it is known or adds no information. Of the requests at one
    /// target those with the lowest fingerprints are kept, so that all processes keep the same.
    fn push(&mut self, request: Fingerprint, death: &Death) -> bool {
        let at_target = || self.deaths.iter().filter(|it| it.1.is_same(death)).map(|it| it.0);
        if at_target().any(|it| it == request) {
            return false;
        }
        if at_target().count() >= MAX_REQUESTS_PER_TARGET {
            let highest = at_target().max().filter(|it| request < *it);
            self.deaths.retain(|it| Some(it.0) != highest || !it.1.is_same(death));
            if highest.is_none() {
                return false;
            }
        }
        if self.deaths.len() >= MAX_RECORDS {
            let series: Vec<(Fingerprint, Death)> = self.series().into_iter().cloned().collect();
            let redundant = self.deaths.iter().position(|it| !series.contains(it));
            self.deaths.remove(redundant.unwrap_or(0));
        }
        self.deaths.push((request, death.clone()));
        true
    }

    /// Whether this part was present at each death of the other.
    fn covers(&self, other: &Self) -> bool {
        let has = |death: &Death| self.deaths.iter().any(|it| it.1.is_same(death));
        other.deaths.iter().all(|it| has(&it.1))
    }
}

/// Last completion of an answer on each part.
#[derive(Debug, Default)]
struct Completions {
    last: HashMap<Fingerprint, Millis>,
    /// Parts with the times at which they were queued for eviction, oldest first.
    queue: VecDeque<(Fingerprint, Millis)>,
}

impl Completions {
    fn record(&mut self, at: Millis, part: Fingerprint) {
        match self.last.get_mut(&part) {
            Some(last) => *last = at.max(*last),
            None => {
                self.last.insert(part, at);
                self.queue.push_back((part, at));
            }
        }
        while self.last.len() > MAX_COMPLETED
            && let Some((oldest, queued_at)) = self.queue.pop_front()
        {
            match self.last.get(&oldest) {
                Some(&last) if last > queued_at => self.queue.push_back((oldest, last)),
                _ => drop(self.last.remove(&oldest)),
            }
        }
    }
}

/// Suspected and recently completed prompt parts known to this process.
#[derive(Debug, Default)]
pub struct PartSuspects {
    seen: HashMap<Fingerprint, Observations>,
    completions: Completions,
    /// Number of suspected parts evicted because the table was full.
    evicted: u64,
}

impl PartSuspects {
    /// Whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Number of suspected parts evicted since the start because the table was full.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Records that a target ended while running a request.
    pub fn record(&mut self, now: Millis, it: &PartsDeath) -> Recorded {
        let mut recorded = Recorded::default();
        if now >= it.death.ended + RETENTION {
            return recorded;
        }
        for &part in &it.parts {
            let completed_at = self.completions.last.get(&part).copied();
            if !self.seen.contains_key(&part) {
                recorded.completed.extend(completed_at.map(|at| (part, at)));
            }
            if completed_at.is_some_and(|at| at >= it.death.ended) {
                // An old death, reported by a process that does not know of the completion.
                continue;
            }
            self.make_room(now, part);
            let was_blocked = self.blocked_until(now, part).is_some();
            recorded.is_new |= self.record_part(part, it);
            let is_blocked = self.blocked_until(now, part).is_some();
            recorded.is_blocked |= is_blocked;
            if is_blocked && !was_blocked {
                recorded.blocked.push(part);
            }
        }
        recorded
    }

    /// Returns whether the death is new for the part.
    fn record_part(&mut self, part: Fingerprint, it: &PartsDeath) -> bool {
        let is_companion = |other: &Fingerprint| {
            *other != part && (it.parts.contains(other) || it.companions.contains(other))
        };
        let seen = self.seen.entry(part).or_default();
        if seen.deaths.is_empty() {
            let others = it.parts.iter().chain(&it.companions).copied();
            seen.companions = others.filter(is_companion).collect();
        } else {
            seen.companions.retain(is_companion);
        }
        seen.push(it.request, &it.death)
    }

    /// Records that a target completed an answer on these parts. Returns those that had been
    /// suspected and are not any more.
    pub fn record_completed(&mut self, at: Millis, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        for &part in parts {
            self.completions.record(at, part);
            let Some(seen) = self.seen.get_mut(&part) else { continue };
            seen.deaths.retain(|it| it.1.ended > at);
            if seen.deaths.is_empty() {
                self.seen.remove(&part);
                cleared.push(part);
            }
        }
        cleared
    }

    /// Returns the part that forbids sending a request with these parts now. `trial` tells in which
    /// circumstances a request with the part would be tried.
    pub fn block(
        &self,
        now: Millis,
        parts: &[Fingerprint],
        trial: impl Fn(Fingerprint) -> Trial,
    ) -> Option<Block> {
        let applies = |part: &&Fingerprint| self.applies(**part, parts);
        let block = |part: &Fingerprint| {
            let until = self.blocked_until(now, *part)?;
            let trial = trial(*part);
            let until = match until {
                _ if now < until => until,
                _ if trial.owner && !trial.busy => return None,
                _ => now + TRIAL_RETRY_DELAY,
            };
            Some(Block { part: *part, until })
        };
        parts.iter().filter(applies).find_map(block)
    }

    /// Whether the block of a part applies to a request with these parts: it must contain all other
    /// parts that may be the cause in its place, since they occurred at the same deaths in the same
    /// requests.
    fn applies(&self, part: Fingerprint, parts: &[Fingerprint]) -> bool {
        let Some(seen) = self.seen.get(&part) else { return false };
        let since = seen.first_ended();
        let may_be_cause = |other: &Fingerprint| {
            let completed_at = self.completions.last.get(other);
            self.seen.contains_key(other) && completed_at.is_none_or(|at| *at < since)
        };
        seen.companions.iter().all(|it| parts.contains(it) || !may_be_cause(it))
    }

    /// Returns the end of the block of a part, which may have passed; none if the part is not
    /// blocked. After the end a single request may be tried.
    fn blocked_until(&self, now: Millis, part: Fingerprint) -> Option<Millis> {
        let seen = self.seen.get(&part)?;
        let deaths = seen.series().len();
        if deaths < CONSECUTIVE_DEATHS || now >= seen.last_ended() + RETENTION {
            return None;
        }
        let completed = self.completions.last.contains_key(&part);
        let rivals = self.seen.iter().filter(|(other, it)| {
            let likely = completed || !self.completions.last.contains_key(other);
            let differs = **other != part && !seen.companions.contains(other);
            let enough = it.deaths.len() >= deaths;
            differs && likely && enough && it.covers(seen) && it.series().len() >= deaths
        });
        let mut needed = if completed { CONSECUTIVE_DEATHS_DOUBTFUL } else { CONSECUTIVE_DEATHS };
        for (_, rival) in rivals {
            if !seen.covers(rival) {
                // The other part explains more deaths.
                return None;
            }
            let is_general = rival.companions.contains(&part);
            let more =
                if is_general { CONSECUTIVE_DEATHS_GENERAL } else { CONSECUTIVE_DEATHS_DOUBTFUL };
            needed = needed.max(more);
        }
        if deaths < needed {
            return None;
        }
        let duration = FIRST_BLOCK_DURATION << (deaths - needed);
        Some(seen.last_ended() + duration.min(BLOCK_DURATION))
    }

    /// Deaths of each suspected part, those of the parts with most deaths first.
    pub fn deaths(&self) -> impl Iterator<Item = PartsDeath> {
        let mut suspects: Vec<(&Fingerprint, &Observations)> = self.seen.iter().collect();
        suspects.sort_unstable_by_key(|(part, seen)| (Reverse(seen.deaths.len()), **part));
        let deaths = |(part, seen): (&Fingerprint, &Observations)| {
            let death = |(request, death): &(Fingerprint, Death)| PartsDeath {
                request: *request,
                parts: vec![*part],
                companions: seen.companions.clone(),
                death: death.clone(),
            };
            seen.deaths.iter().map(death).collect::<Vec<PartsDeath>>()
        };
        suspects.into_iter().flat_map(deaths)
    }

    /// Deaths of the parts that are blocked.
    pub fn blocked(&self, now: Millis) -> impl Iterator<Item = PartsDeath> {
        let blocked =
            move |it: &PartsDeath| it.parts.iter().all(|it| self.blocked_until(now, *it).is_some());
        self.deaths().filter(blocked)
    }

    /// Last completions of answers on suspected parts.
    pub fn completions(&self) -> impl Iterator<Item = (Fingerprint, Millis)> {
        self.seen.keys().filter_map(|it| Some((*it, *self.completions.last.get(it)?)))
    }

    /// Blocked parts, in order, with the ends of their blocks. After the end a single request with
    /// the part is tried.
    pub fn blocks(&self, now: Millis) -> Vec<Block> {
        let block = |part: &Fingerprint| {
            Some(Block { part: *part, until: self.blocked_until(now, *part)? })
        };
        let mut blocks: Vec<Block> = self.seen.keys().filter_map(block).collect();
        blocks.sort_unstable_by_key(|it| it.part);
        blocks
    }

    /// If the table is full, evicts the parts that are too old or, if there are none, the one with
    /// the fewest deaths and among these the oldest, so that no flood of single deaths unblocks a
    /// part.
    fn make_room(&mut self, now: Millis, part: Fingerprint) {
        if self.seen.len() < MAX_SUSPECTS || self.seen.contains_key(&part) {
            return;
        }
        self.seen.retain(|_, seen| now < seen.last_ended() + RETENTION);
        let importance = |(key, seen): &(&Fingerprint, &Observations)| {
            (seen.deaths.len(), seen.last_ended(), **key)
        };
        if self.seen.len() >= MAX_SUSPECTS
            && let Some(victim) = self.seen.iter().min_by_key(importance).map(|it| *it.0)
        {
            self.seen.remove(&victim);
            self.evicted += 1;
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests under which targets ended, and which of them are held back.
//!
//! A target that ends takes up to some dozens of requests with it, of which one
//! may be the cause. That one ends the next target as well, wherever it is sent;
//! the others do not. So what a request was seen to do is kept by its
//! [`Fingerprint`], beyond its attempts, and told to all entries: they have the
//! same deaths and decide alike, in whatever order they learn of them.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::fingerprint::Fingerprint;
use crate::id::Millis;

/// Deaths one after the other that prove it: each attempt began after the death
/// before it. Those of one moment, as when a data hall loses power, count once.
const IN_TURN: usize = 2;
/// Deaths that prove it even where several copies ran at one moment.
const IN_ALL: usize = 3;
/// Deaths that are kept of one request; more say nothing new.
const DEATHS: usize = 8;
/// How long after its last death a request is held back. Callers repeat a
/// request for seconds; what is wrong with a target's software takes its owners
/// longer than this. Afterwards it may try once, and one more death renews it.
pub const BLOCK_DURATION: Millis = 600_000;
/// How long nobody tries a request that is suspected and not proved to end its targets, where one
/// more death costs more than the request: longer than its callers wait, and short against
/// the time between two such ends of an ordinary cause.
const PAUSE: Millis = 30_000;
/// After how long a caller is told to come again while a copy of its request is tried.
const TRIAL: Millis = 2_000;
/// How long a request is remembered after its last death or answer.
const MEMORY: Millis = 2 * BLOCK_DURATION;
/// Requests remembered: about 400 KB. A hall with 300 targets of twelve places
/// loses 3,600 requests at once; of those the last are kept.
const MOST: usize = 1_024;
/// Requests that ran to their end, remembered as such: what one entry answers in some
/// tens of seconds. Many callers ask for the same thing at the same time, and
/// targets that end take it with them; what ran a moment before does not end them.
const RECENT: usize = 4_096;
/// Ends of one target that is not known to have started anew in between, as two
/// processes with clocks apart by so much see them, are one.
const APART: Millis = 2_000;

/// The end of a target that held a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Death {
    /// The target.
    pub target: String,
    /// When that life of it began; 0 if it does not say.
    pub born: Millis,
    /// When the request was sent there.
    pub sent: Millis,
    /// When the target broke off.
    pub ended: Millis,
}

impl Death {
    /// Whether both speak of the end of one life.
    fn is_same(&self, other: &Self) -> bool {
        let near = self.ended.abs_diff(other.ended) < APART;
        self.target == other.target && self.born == other.born && (self.born > 0 || near)
    }
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing that matters.
    Clear,
    /// A target ended under it, as under others.
    Suspect,
    /// Targets end under it: it is not sent before then.
    Blocked(Millis),
}

/// Who asks whether a suspected request may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The end of one target stops all that its service runs.
    pub expensive: bool,
    /// Of all entries this is the one that tries the request.
    pub owner: bool,
    /// A copy of it runs from here.
    pub busy: bool,
}

/// What a death, once recorded, changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was known, or is too old to count.
    Nothing,
    /// It counts.
    Counted,
    /// It is the one from which the request is held back.
    Blocked,
    /// The request ran to its end lately: it does not end targets.
    Cleared,
}

/// What was seen of one request.
#[derive(Clone, Debug, Default)]
struct Seen {
    deaths: Vec<Death>,
    /// When a target last ran it to its end.
    sound: Option<Millis>,
}

impl Seen {
    /// When it last mattered.
    fn last(&self) -> Millis {
        let ended = self.deaths.iter().map(|it| it.ended).max();
        ended.unwrap_or(0).max(self.sound.unwrap_or(0))
    }

    /// The most deaths of which each attempt began after the one before it.
    fn in_turn(&self) -> usize {
        let mut deaths: Vec<&Death> = self.deaths.iter().collect();
        deaths.sort_unstable_by_key(|it| it.ended);
        let mut end = 0;
        let mut count = 0;
        for it in deaths {
            if it.sent >= end {
                count += 1;
                end = it.ended;
            }
        }
        count
    }

    fn standing(&self, now: Millis) -> Standing {
        let proved = self.in_turn() >= IN_TURN || self.deaths.len() >= IN_ALL;
        match (self.deaths.is_empty(), proved, self.last() + BLOCK_DURATION) {
            (true, ..) => Standing::Clear,
            (false, true, until) if now < until => Standing::Blocked(until),
            _ => Standing::Suspect,
        }
    }
}

/// All requests that this process remembers.
#[derive(Debug, Default)]
pub struct Suspects {
    seen: HashMap<Fingerprint, Seen>,
    /// Those that ran to their end here, the last ones at the back.
    recent: VecDeque<Fingerprint>,
    ran: HashSet<Fingerprint>,
    /// Requests forgotten for want of room.
    evicted: u64,
}

impl Suspects {
    /// Whether nothing is suspected, so that no fingerprint need be looked up.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Requests forgotten for want of room, since the start.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// What is known of a request.
    pub fn standing(&self, now: Millis, it: Fingerprint) -> Standing {
        self.seen.get(&it).map_or(Standing::Clear, |seen| seen.standing(now))
    }

    /// Until when a process does not try a request that is suspected. After one death the
    /// request is one of a dozen that its target held, and tried again unless that is dear.
    /// After several of one moment as many copies ran, and each further copy may end one
    /// more target: once the pause is over one entry tries one of them.
    pub fn paused_until(&self, now: Millis, it: Fingerprint, trial: Trial) -> Option<Millis> {
        let seen = self.seen.get(&it)?;
        let last = seen.last();
        let several = seen.deaths.len() >= 2;
        let suspected = several || trial.expensive && seen.deaths.len() == 1;
        if !suspected {
            return None;
        }
        let held = if now < last + BLOCK_DURATION { last + BLOCK_DURATION } else { last + MEMORY };
        match trial {
            _ if now < last + PAUSE => Some(last + PAUSE),
            Trial { owner: false, .. } if several && now < held => Some(held),
            Trial { busy: true, .. } if several => Some(now + TRIAL),
            _ => None,
        }
    }

    /// Records that a target ended under a request. What a target has run to
    /// its end does not end targets, and is not suspected again.
    pub fn record(&mut self, now: Millis, it: Fingerprint, death: Death) -> Change {
        if now >= death.ended + MEMORY {
            return Change::Nothing;
        }
        self.make_room(now, it);
        if self.ran.contains(&it) {
            let seen = self.seen.entry(it).or_default();
            seen.deaths.clear();
            let news = seen.sound.replace(now).is_none();
            return if news { Change::Cleared } else { Change::Nothing };
        }
        let seen = self.seen.entry(it).or_default();
        let known = seen.deaths.iter().any(|known| known.is_same(&death));
        if known || seen.sound.is_some() {
            return Change::Nothing;
        }
        let before = seen.standing(now);
        seen.deaths.push(death);
        if seen.deaths.len() > DEATHS {
            seen.deaths.remove(0);
        }
        match (before, seen.standing(now)) {
            (Standing::Clear | Standing::Suspect, Standing::Blocked(_)) => Change::Blocked,
            _ => Change::Counted,
        }
    }

    /// Records that a target ran a request to its end here. Whether it had been
    /// suspected.
    pub fn ran(&mut self, now: Millis, it: Fingerprint) -> bool {
        if self.ran.insert(it) {
            self.recent.push_back(it);
        }
        if self.recent.len() > RECENT
            && let Some(oldest) = self.recent.pop_front()
        {
            self.ran.remove(&oldest);
        }
        self.clear(now, it)
    }

    /// Records that a target ran a request to its end somewhere. Whether that was news.
    pub fn clear(&mut self, at: Millis, it: Fingerprint) -> bool {
        let Some(seen) = self.seen.get_mut(&it) else { return false };
        seen.deaths.clear();
        let before = seen.sound.replace(at);
        before.is_none()
    }

    /// The deaths of targets under a request.
    pub fn deaths_of(&self, it: Fingerprint) -> &[Death] {
        self.seen.get(&it).map_or(&[], |seen| &seen.deaths)
    }

    /// All that is remembered of requests under which targets ended.
    pub fn deaths(&self) -> impl Iterator<Item = (Fingerprint, &Death)> {
        self.seen.iter().flat_map(|(it, seen)| seen.deaths.iter().map(|death| (*it, death)))
    }

    /// The same of those that are held back.
    pub fn blocked(&self, now: Millis) -> impl Iterator<Item = (Fingerprint, &Death)> {
        let held = move |it: &Fingerprint| matches!(self.standing(now, *it), Standing::Blocked(_));
        self.deaths().filter(move |it| held(&it.0))
    }

    /// Forgets what is too old, and what matters least where there is too much:
    /// first the oldest of those not held back, so that no flood of single
    /// deaths frees a request that ends targets.
    fn make_room(&mut self, now: Millis, it: Fingerprint) {
        if self.seen.len() < MOST || self.seen.contains_key(&it) {
            return;
        }
        self.seen.retain(|_, seen| now < seen.last() + MEMORY);
        if self.seen.len() < MOST {
            return;
        }
        let held = |seen: &Seen| matches!(seen.standing(now), Standing::Blocked(_));
        let least = self.seen.iter().min_by_key(|(key, seen)| (held(seen), seen.last(), **key));
        if let Some(least) = least.map(|it| *it.0) {
            self.seen.remove(&least);
            self.evicted += 1;
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests during which targets ended, and which of them are blocked as suspects.
//!
//! A target that ends takes up to several dozen requests with it, one of which may be the cause.
//! That request ends the next target too, wherever it is sent; the others do not. Observations are
//! therefore kept per [`Fingerprint`], beyond the attempts of a single request, and sent to all
//! entries: entries with the same set of deaths decide alike, whatever the order in which they
//! learned of them.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::fingerprint::Fingerprint;
use crate::id::Millis;

/// Consecutive deaths that prove a request to be the cause: each attempt was sent after the
/// previous death. Deaths at the same moment, as when a data hall loses power, count once.
const CONSECUTIVE_DEATHS: usize = 2;
/// Deaths that prove a request to be the cause even if concurrent duplicates of it were running.
const TOTAL_DEATHS: usize = 3;
/// Deaths kept per request; further ones add no information.
const MAX_DEATHS: usize = 8;
/// How long a request is blocked after its last death. Callers repeat a request for seconds, but
/// fixing a fault in a target's software takes its owners longer than this. Afterwards the request
/// may be tried once, and one more death blocks it again.
pub const BLOCK_DURATION: Millis = 600_000;
/// How long no entry tries a request that is suspected but not proved to end its targets, where one
/// more death costs more than the request: longer than its callers wait, and short compared with
/// the time between two target failures of ordinary cause.
const TRIAL_PAUSE: Millis = 30_000;
/// Retry delay sent to a caller while a duplicate of its request is being tried.
pub const TRIAL_RETRY_DELAY: Millis = 2_000;
/// How long a request is remembered after its last death or successful completion.
pub const RETENTION: Millis = 2 * BLOCK_DURATION;
/// Maximum number of requests remembered: about 400 KB. A hall with 300 targets of 12 slots loses
/// 3,600 requests at once; the most recent of those are kept.
const MAX_REQUESTS: usize = 1_024;
/// Maximum number of successfully completed requests remembered: those that one entry answers in
/// some tens of seconds. Many callers send the same request at the same time, and a target that
/// ends interrupts all of them; a request that completed shortly before is not the cause.
const MAX_COMPLETED: usize = 4_096;
/// Ends of one target that is not known to have restarted in between count as one if they are
/// closer than this: two processes see them with clocks that differ by up to this much.
const SAME_DEATH_WINDOW: Millis = 2_000;

/// The end of a target that was running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Death {
    /// Name of the target.
    pub target: String,
    /// Start time of the target's incarnation; 0 if unknown.
    pub born: Millis,
    /// When the request was sent to the target.
    pub sent: Millis,
    /// When the target interrupted the request.
    pub ended: Millis,
}

impl Death {
    /// Whether both describe the end of the same incarnation.
    pub fn is_same(&self, other: &Self) -> bool {
        let close = self.ended.abs_diff(other.ended) < SAME_DEATH_WINDOW;
        self.target == other.target && self.born == other.born && (self.born > 0 || close)
    }
}

/// Whether a request is suspected of ending targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Not suspected.
    Clear,
    /// A target ended while running it, which is no proof: other requests ran there too.
    Suspect,
    /// It is proved to end targets: it is not sent before this time.
    Blocked(Millis),
}

/// The circumstances in which a suspected request would be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Whether the end of one target stops all requests of its service.
    pub expensive: bool,
    /// Whether this entry is the one, of all entries, that tries the request.
    pub owner: bool,
    /// Whether this entry is already running a duplicate of the request.
    pub busy: bool,
}

/// Effect of recording a death.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// None: the death was known already, or is too old to count.
    Nothing,
    /// The death counts.
    Counted,
    /// The death counts, and the request is blocked from now on.
    Blocked,
    /// The request completed recently, so it does not end targets and is cleared.
    Cleared,
}

/// Observations of one request.
#[derive(Clone, Debug, Default)]
struct Observations {
    deaths: Vec<Death>,
    /// When a target last completed the request.
    completed_at: Option<Millis>,
}

impl Observations {
    /// Time of the last observation.
    fn last_observed(&self) -> Millis {
        let ended = self.deaths.iter().map(|it| it.ended).max();
        ended.unwrap_or(0).max(self.completed_at.unwrap_or(0))
    }

    /// Largest number of deaths such that each attempt was sent after the previous death.
    fn consecutive(&self) -> usize {
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
        let proved = self.consecutive() >= CONSECUTIVE_DEATHS || self.deaths.len() >= TOTAL_DEATHS;
        match (self.deaths.is_empty(), proved, self.last_observed() + BLOCK_DURATION) {
            (true, ..) => Standing::Clear,
            (false, true, until) if now < until => Standing::Blocked(until),
            _ => Standing::Suspect,
        }
    }
}

/// Suspected and recently completed requests known to this process.
#[derive(Debug, Default)]
pub struct Suspects {
    seen: HashMap<Fingerprint, Observations>,
    /// Requests that completed at this entry, most recent last.
    completed_order: VecDeque<Fingerprint>,
    completed: HashSet<Fingerprint>,
    /// Number of requests evicted because the table was full.
    evicted: u64,
}

impl Suspects {
    /// Whether nothing is suspected, so that callers need no fingerprint lookup.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Number of requests evicted since the start because the table was full.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns whether a request is suspected or blocked.
    pub fn standing(&self, now: Millis, fingerprint: Fingerprint) -> Standing {
        self.seen.get(&fingerprint).map_or(Standing::Clear, |seen| seen.standing(now))
    }

    /// Until when the caller must not try a suspected request; none if it may try now.
    ///
    /// After one death the request is one of a dozen that ran at the target, and it is tried again
    /// unless that is expensive. Several deaths at the same moment come from as many concurrent
    /// duplicates, and each further duplicate may end one more target: after the pause a single
    /// entry tries a single one.
    pub fn paused_until(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
        trial: Trial,
    ) -> Option<Millis> {
        let seen = self.seen.get(&fingerprint)?;
        let last = seen.last_observed();
        let several = seen.deaths.len() >= 2;
        let suspected = several || trial.expensive && seen.deaths.len() == 1;
        if !suspected {
            return None;
        }
        let blocked_until =
            if now < last + BLOCK_DURATION { last + BLOCK_DURATION } else { last + RETENTION };
        match trial {
            _ if now < last + TRIAL_PAUSE => Some(last + TRIAL_PAUSE),
            Trial { owner: false, .. } if several && now < blocked_until => Some(blocked_until),
            Trial { busy: true, .. } if several => Some(now + TRIAL_RETRY_DELAY),
            _ => None,
        }
    }

    /// Records that a target ended while running a request. A request that a target has completed
    /// does not end targets and is not suspected again.
    pub fn record(&mut self, now: Millis, fingerprint: Fingerprint, death: Death) -> Change {
        if now >= death.ended + RETENTION {
            return Change::Nothing;
        }
        self.make_room(now, fingerprint);
        if self.completed.contains(&fingerprint) {
            let seen = self.seen.entry(fingerprint).or_default();
            seen.deaths.clear();
            let is_new = seen.completed_at.replace(now).is_none();
            return if is_new { Change::Cleared } else { Change::Nothing };
        }
        let seen = self.seen.entry(fingerprint).or_default();
        let known = seen.deaths.iter().any(|known| known.is_same(&death));
        if known || seen.completed_at.is_some() {
            return Change::Nothing;
        }
        let before = seen.standing(now);
        seen.deaths.push(death);
        if seen.deaths.len() > MAX_DEATHS {
            seen.deaths.remove(0);
        }
        match (before, seen.standing(now)) {
            (Standing::Clear | Standing::Suspect, Standing::Blocked(_)) => Change::Blocked,
            _ => Change::Counted,
        }
    }

    /// Records that a request completed at this entry. Returns whether the request had been
    /// suspected and is cleared now.
    pub fn record_completed(&mut self, now: Millis, fingerprint: Fingerprint) -> bool {
        if self.completed.insert(fingerprint) {
            self.completed_order.push_back(fingerprint);
        }
        if self.completed_order.len() > MAX_COMPLETED
            && let Some(oldest) = self.completed_order.pop_front()
        {
            self.completed.remove(&oldest);
        }
        self.clear(now, fingerprint)
    }

    /// Records that a request completed at any entry. Returns whether the request was suspected and
    /// not cleared before.
    pub fn clear(&mut self, at: Millis, fingerprint: Fingerprint) -> bool {
        let Some(seen) = self.seen.get_mut(&fingerprint) else { return false };
        seen.deaths.clear();
        let before = seen.completed_at.replace(at);
        before.is_none()
    }

    /// Deaths of targets while they ran a request.
    pub fn deaths_of(&self, fingerprint: Fingerprint) -> &[Death] {
        self.seen.get(&fingerprint).map_or(&[], |seen| &seen.deaths)
    }

    /// All deaths remembered, with their requests.
    pub fn deaths(&self) -> impl Iterator<Item = (Fingerprint, &Death)> {
        self.seen.iter().flat_map(|(it, seen)| seen.deaths.iter().map(|death| (*it, death)))
    }

    /// Deaths of the requests that are blocked.
    pub fn blocked(&self, now: Millis) -> impl Iterator<Item = (Fingerprint, &Death)> {
        let blocked =
            move |it: &Fingerprint| matches!(self.standing(now, *it), Standing::Blocked(_));
        self.deaths().filter(move |it| blocked(&it.0))
    }

    /// Evicts requests that are too old and, if the table is still full, the least important one:
    /// the oldest that is not blocked, so that no flood of single deaths unblocks a request that
    /// ends targets.
    fn make_room(&mut self, now: Millis, fingerprint: Fingerprint) {
        if self.seen.len() < MAX_REQUESTS || self.seen.contains_key(&fingerprint) {
            return;
        }
        self.seen.retain(|_, seen| now < seen.last_observed() + RETENTION);
        if self.seen.len() < MAX_REQUESTS {
            return;
        }
        let blocked = |seen: &Observations| matches!(seen.standing(now), Standing::Blocked(_));
        let victim =
            self.seen.iter().min_by_key(|(key, seen)| (blocked(seen), seen.last_observed(), **key));
        if let Some(victim) = victim.map(|it| *it.0) {
            self.seen.remove(&victim);
            self.evicted += 1;
        }
    }
}

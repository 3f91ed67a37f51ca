// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The rate limit that a target announces: requests per second that it accepts from all entries
//! together.
//!
//! The limit holds until the target withdraws it. Responses arrive out of order over many
//! connections, so a lower rate applies at once, while a higher rate or the end of the limit is
//! taken only from responses to requests that were sent after the limit was last announced.
//! Requests under a limit pass a token bucket that starts empty: requests sent just before the
//! limit became known count as the burst.

use crate::id::Millis;

/// Consecutive responses without a limit that end it: an overloaded target may omit the limit from
/// two in a row.
const RESPONSES_WITHOUT_LIMIT: u32 = 3;
/// How long the end of a limit, or a higher rate, reported by a peer waits for a contradicting
/// response: longer than such responses are in flight.
const PENDING_DELAY: Millis = 1_000;
/// Relative difference from the rate last sent to peers from which a new rate is sent.
const SIGNIFICANT_CHANGE: f64 = 0.1;
/// Requests per second sent to a target whatever its limit, over all entries: without any, no entry
/// would learn that the limit has ended.
const MIN_PER_SECOND: f64 = 0.1;
/// Burst of an entry in seconds of its share, if that is more than one request.
const BURST_SECONDS: f64 = 0.25;
/// Smallest burst of an agent, in requests.
const AGENT_BURST_REQUESTS: f64 = 2.0;
/// Tolerance for rounding errors in a bucket's level, in requests.
const ROUNDING: f64 = 1e-6;

/// A rate in requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; none if the value is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The rate used under this limit: at least a few requests, even if the limit allows none.
    pub fn usable(self) -> Self {
        Self(self.0.max(MIN_PER_SECOND))
    }

    /// The lower of two rates.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// One of `parts` equal parts.
    pub fn part(self, parts: usize) -> Self {
        Self(self.0 / parts.max(1) as f64)
    }

    fn differs(self, other: Self) -> bool {
        (self.0 - other.0).abs() > other.0 * SIGNIFICANT_CHANGE
    }
}

/// Effect of a response or report on a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Nothing that must be sent to peers.
    None,
    /// The limit began, or its rate changed.
    Set(Rate),
    /// The limit ended.
    Ended,
}

/// Permission to send a request under a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The request may be sent in this many milliseconds; the slot is reserved for it.
    In(Millis),
    /// Not within the time allowed: the next request may be sent in this many milliseconds.
    TooLate(Millis),
    /// This process has no share of the limit; other processes send to the target.
    Never,
}

/// A token bucket with a rate and a burst, both in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bucket {
    /// Requests per millisecond; 0 if this process has no share.
    rate: f64,
    /// Level in requests at the time `level_at`; negative if requests are reserved for later.
    level: f64,
    level_at: Millis,
    /// Smallest burst in requests, if the rate gives a lower one.
    min_burst: f64,
    /// Largest burst in requests, if there is one.
    max_burst: Option<f64>,
}

impl Bucket {
    /// A bucket for a process through which all requests to a target go. It allows a larger burst,
    /// since requests that entries send evenly arrive slightly bunched.
    pub fn for_agent() -> Self {
        Self { min_burst: AGENT_BURST_REQUESTS, ..Self::default() }
    }

    /// Limits the burst, which is at least one request.
    pub fn limit_burst(&mut self, max: f64) {
        self.max_burst = Some(max.max(1.0));
    }

    /// Sets the rate; none if this process has no share. The level stays: a process that takes over
    /// a share starts with an empty bucket.
    pub fn set(&mut self, now: Millis, part: Option<Rate>) {
        let level = self.level(now);
        self.rate = part.map_or(0.0, |it| it.0 / 1_000.0);
        self.level = level.min(self.capacity());
        self.level_at = now;
    }

    /// Empties the bucket, unless requests are reserved for later already.
    pub fn drain(&mut self, now: Millis) {
        self.level = self.level(now).min(0.0);
        self.level_at = now;
    }

    /// Fills a fraction of the bucket, for a target that got no requests lately.
    pub fn fill(&mut self, now: Millis, fraction: f64) {
        if self.rate > 0.0 {
            self.level = self.capacity() * fraction.clamp(0.0, 1.0);
            self.level_at = now;
        }
    }

    /// Capacity of the bucket in requests.
    fn capacity(&self) -> f64 {
        let burst = (self.rate * 1_000.0 * BURST_SECONDS).max(1.0).max(self.min_burst);
        self.max_burst.map_or(burst, |max| burst.min(max))
    }

    fn level(&self, now: Millis) -> f64 {
        let gained = now.saturating_sub(self.level_at) as f64 * self.rate;
        (self.level + gained).min(self.capacity())
    }

    /// Milliseconds until a request may be sent; none if never.
    pub fn next(&self, now: Millis) -> Option<Millis> {
        if self.rate <= 0.0 {
            return None;
        }
        let missing = 1.0 - ROUNDING - self.level(now);
        Some((missing.max(0.0) / self.rate).ceil() as Millis)
    }

    /// Takes one request from the bucket for sending now. Returns false if the bucket is empty.
    pub fn take(&mut self, now: Millis) -> bool {
        matches!(self.reserve(now, 0), Turn::In(_))
    }

    /// Reserves one request, to be sent within `max_wait` milliseconds.
    pub fn reserve(&mut self, now: Millis, max_wait: Millis) -> Turn {
        let Some(next) = self.next(now) else { return Turn::Never };
        if next > max_wait {
            return Turn::TooLate(next);
        }
        self.level = self.level(now) - 1.0;
        self.level_at = now;
        Turn::In(next)
    }

    /// Rate of the bucket in requests per second.
    pub fn per_second(&self) -> f64 {
        self.rate * 1_000.0
    }
}

/// A limit that a target has announced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    rate: Rate,
    /// When the limit became known, and when it was last announced or confirmed by a peer.
    since: Millis,
    announced_at: Millis,
    /// Consecutive responses without a limit to requests that were sent after the last
    /// announcement.
    responses_without: u32,
    /// When a peer reported a rate that is not applied yet, and that rate: none for the end of the
    /// limit.
    pending: Option<(Millis, Option<Rate>)>,
    /// Rate that was last sent to peers.
    last_sent: Rate,
    /// Bucket for the share of this process.
    pub bucket: Bucket,
}

impl Limit {
    /// Creates a limit that is announced for the first time.
    pub fn new(now: Millis, rate: Rate) -> Self {
        Self {
            rate,
            since: now,
            announced_at: now,
            responses_without: 0,
            pending: None,
            last_sent: rate,
            bucket: Bucket::default(),
        }
    }

    /// Rate that the target accepts from all entries together.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// When the limit became known.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Processes a response to a request sent at `sent`, and the limit that it announces, if any.
    pub fn answered(&mut self, now: Millis, sent: Millis, announced: Option<Rate>) -> Change {
        let later = sent > self.announced_at;
        let Some(rate) = announced else {
            self.responses_without += u32::from(later);
            return if self.responses_without >= RESPONSES_WITHOUT_LIMIT {
                Change::Ended
            } else {
                Change::None
            };
        };
        self.responses_without = 0;
        self.pending = self.pending.filter(|it| it.1.is_some_and(|it| it <= rate));
        if rate > self.rate && !later {
            return Change::None;
        }
        self.announced_at = now;
        self.change(rate)
    }

    /// Processes the report of a peer: a lower rate applies at once, a higher one or the end of the
    /// limit only after a delay, by [`Self::apply_pending`].
    pub fn reported_by_peer(&mut self, now: Millis, rate: Option<Rate>) -> Change {
        match rate {
            Some(it) if it <= self.rate => {
                self.pending = None;
                self.announced_at = now;
                self.responses_without = 0;
                self.change(it)
            }
            _ => {
                self.pending = Some((now, rate));
                Change::None
            }
        }
    }

    /// Processes the report of the target's agent, through which all requests go: it applies at
    /// once.
    pub fn reported_by_agent(&mut self, now: Millis, rate: Option<Rate>) -> Change {
        let Some(rate) = rate else { return Change::Ended };
        self.announced_at = now;
        self.change(rate)
    }

    /// Applies the pending report of a peer, if no response has contradicted it for long enough.
    pub fn apply_pending(&mut self, now: Millis) -> Change {
        let Some((_, rate)) = self.pending.filter(|it| now >= it.0 + PENDING_DELAY) else {
            return Change::None;
        };
        self.pending = None;
        match rate {
            Some(it) => self.change(it),
            None => Change::Ended,
        }
    }

    fn change(&mut self, rate: Rate) -> Change {
        self.rate = rate;
        if !rate.differs(self.last_sent) {
            return Change::None;
        }
        self.last_sent = rate;
        Change::Set(rate)
    }
}

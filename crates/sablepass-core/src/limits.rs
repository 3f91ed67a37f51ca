// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A limit that a target names: requests a second that it takes from all entries together.
//!
//! It holds for as long as the target says so. Answers come out of order, over many
//! connections, so a lower figure counts at once, while a higher one or the end counts only
//! by answers to requests that were sent after the limit was last heard of. What is sent
//! under a limit is bounded by a bucket that begins empty: what came just before the
//! limit was heard of counts as the burst.

use crate::id::Millis;

/// Answers in a row without a limit that end it: a target in need may leave it out of two.
const WITHOUT: u32 = 3;
/// How long an end, or a higher figure, that another process told waits for an answer that
/// says otherwise: longer than such answers are under way.
const SETTLES: Millis = 1_000;
/// Part by which a figure differs from the one last told before it is told again.
const TOLD_PART: f64 = 0.1;
/// Requests a second that go to a target whatever its limit, over all entries: without
/// any, nobody would hear that the limit is over.
const TRIAL: f64 = 0.1;
/// Seconds of an entry's part that it may send at once, if that is more than one request.
const BURST: f64 = 0.25;
/// Requests that an agent lets through at once, at least.
const GUARD: f64 = 2.0;
/// What a bucket may lack of a whole request by rounding.
const ROUNDING: f64 = 1e-6;

/// Requests a second: a number that is finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// None if it is no rate.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// What is sent under a limit of this: some requests even if it allows none.
    pub fn usable(self) -> Self {
        Self(self.0.max(TRIAL))
    }

    /// One of so many equal parts.
    pub fn part(self, parts: usize) -> Self {
        Self(self.0 / parts.max(1) as f64)
    }

    fn differs(self, other: Self) -> bool {
        (self.0 - other.0).abs() > other.0 * TOLD_PART
    }
}

/// What became of a limit with something heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Nothing that others need to know.
    None,
    /// It holds since now, or its figure changed.
    Set(Rate),
    /// It is over.
    Ended,
}

/// When a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// In so many milliseconds: nobody else is sent then.
    In(Millis),
    /// Not in time: the next one may be sent in so many milliseconds.
    TooLate(Millis),
    /// Others send there.
    Never,
}

/// Requests that may be sent: so many a second, and some at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bucket {
    /// Requests a millisecond; 0 if none are this process's to send.
    rate: f64,
    /// Requests in it, when that was worked out; less than none if some are to be sent later.
    level: f64,
    at: Millis,
    /// The most that may be sent at once, if it is more than follows from the rate.
    least: f64,
}

impl Bucket {
    /// One for a process through which all requests to a target go. What entries send
    /// evenly comes a little bunched.
    pub fn guard() -> Self {
        Self { least: GUARD, ..Self::default() }
    }

    /// Changes what may be sent from now on. What was saved up stays: others who take a part over
    /// begin with nothing.
    pub fn set(&mut self, now: Millis, part: Option<Rate>) {
        let level = self.level(now);
        self.rate = part.map_or(0.0, |it| it.0 / 1_000.0);
        self.level = level.min(self.depth());
        self.at = now;
    }

    /// The most that may be sent at once.
    fn depth(&self) -> f64 {
        (self.rate * 1_000.0 * BURST).max(1.0).max(self.least)
    }

    fn level(&self, now: Millis) -> f64 {
        let gained = now.saturating_sub(self.at) as f64 * self.rate;
        (self.level + gained).min(self.depth())
    }

    /// In how many milliseconds a request may be sent; none if never.
    pub fn next(&self, now: Millis) -> Option<Millis> {
        if self.rate <= 0.0 {
            return None;
        }
        let lacks = 1.0 - ROUNDING - self.level(now);
        Some((lacks.max(0.0) / self.rate).ceil() as Millis)
    }

    /// Takes a request out. False if there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        matches!(self.reserve(now, 0), Turn::In(_))
    }

    /// Takes a request out that is sent later, if that is within `most` milliseconds.
    pub fn reserve(&mut self, now: Millis, most: Millis) -> Turn {
        let Some(next) = self.next(now) else { return Turn::Never };
        if next > most {
            return Turn::TooLate(next);
        }
        self.level = self.level(now) - 1.0;
        self.at = now;
        Turn::In(next)
    }

    /// Requests a second that it lets through.
    pub fn per_second(&self) -> f64 {
        self.rate * 1_000.0
    }
}

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    rate: Rate,
    /// When it was first heard of, and when anybody last named it.
    since: Millis,
    named: Millis,
    /// Answers in a row, to requests sent later, without one.
    without: u32,
    /// What another process told that is not believed yet, and when: the limit's end, if none.
    told: Option<(Millis, Option<Rate>)>,
    /// The figure that the others know.
    known: Rate,
    /// What this process may send.
    pub bucket: Bucket,
}

impl Limit {
    /// One that is named for the first time.
    pub fn new(now: Millis, rate: Rate) -> Self {
        Self {
            rate,
            since: now,
            named: now,
            without: 0,
            told: None,
            known: rate,
            bucket: Bucket::default(),
        }
    }

    /// What the target takes a second from all entries.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// When it was first heard of.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Takes an answer to a request sent at `sent`, and the limit that it names, if any.
    pub fn answered(&mut self, now: Millis, sent: Millis, named: Option<Rate>) -> Change {
        let later = sent > self.named;
        let Some(rate) = named else {
            self.without += u32::from(later);
            return if self.without >= WITHOUT { Change::Ended } else { Change::None };
        };
        self.without = 0;
        self.told = self.told.filter(|it| it.1.is_some_and(|it| it <= rate));
        if rate > self.rate && !later {
            return Change::None;
        }
        self.named = now;
        self.change(rate)
    }

    /// Takes what another process told: a lower figure holds at once, anything else after a while.
    pub fn reported_by_peer(&mut self, now: Millis, rate: Option<Rate>) -> Change {
        match rate {
            Some(it) if it <= self.rate => {
                self.told = None;
                self.named = now;
                self.without = 0;
                self.change(it)
            }
            _ => {
                self.told = Some((now, rate));
                Change::None
            }
        }
    }

    /// Takes what the target's agent says, through which all requests go.
    pub fn reported_by_agent(&mut self, now: Millis, rate: Option<Rate>) -> Change {
        let Some(rate) = rate else { return Change::Ended };
        self.named = now;
        self.change(rate)
    }

    /// Believes what was told, if nothing has spoken against it for long enough.
    pub fn apply_pending(&mut self, now: Millis) -> Change {
        let Some((_, rate)) = self.told.filter(|it| now >= it.0 + SETTLES) else {
            return Change::None;
        };
        self.told = None;
        match rate {
            Some(it) => self.change(it),
            None => Change::Ended,
        }
    }

    fn change(&mut self, rate: Rate) -> Change {
        self.rate = rate;
        if !rate.differs(self.known) {
            return Change::None;
        }
        self.known = rate;
        Change::Set(rate)
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Who begins: streams of a service that arrive, that wait for their group to
//! open, and that wait for their turn.
//!
//! Callers are promised that a stream does not pause, and all ranks of a group
//! pass together, so one stream too many makes all of them late. While passes
//! would be too long with it, a stream waits its turn; where it would then be
//! late it is refused at once and told when its turn would come. A stream that
//! is late whatever is done, since its group was closed or it broke off
//! elsewhere, still serves its caller: it takes the room that those in time
//! leave, and waits for as long as its caller does.

use std::collections::VecDeque;

use crate::id::{Millis, RequestId};

/// How many times as long as usual a stream may take from its start to its
/// first event, so that it is still in time after the longest wait.
const OPENS_TIMES: f64 = 1.3;
/// Milliseconds that this is taken to last before one has begun.
const OPENS: f64 = 200.0;
/// Milliseconds that a stream is taken to last before one has ended.
const LASTS: f64 = 2_000.0;
/// By what part a stream that took longer or less long moves both. They follow the
/// median: a mean would take the few streams that a held step keeps for seconds for all.
const STEP: f64 = 0.02;
/// Milliseconds of silence for which callers of the users' platform wait at
/// least, and as parts of their objective and of the pause they allow.
const PATIENCE: Millis = 2_000;
const PATIENCE_OBJECTIVES: Millis = 4;
const PATIENCE_PAUSES: Millis = 8;
/// Milliseconds of arrivals for which those that are late leave room. A group
/// that opens has a better map about as long after it.
const RESERVED: f64 = 600.0;
/// Milliseconds over which arrivals are counted: longer than callers who lost
/// their streams take to come back together.
const COUNTED: f64 = 3_000.0;

/// How long a caller waits for the first event of a stream, given within which
/// time that is in time, and the longest pause between two events.
pub fn patience(objective: Millis, pause: Millis) -> Millis {
    PATIENCE.max(objective * PATIENCE_OBJECTIVES).max(pause * PATIENCE_PAUSES)
}

/// What a service has for streams that fall to this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    /// Nothing bounds what begins.
    Free,
    /// Its group is open.
    Open {
        /// Streams with which passes are short enough.
        places: f64,
        /// Streams that run.
        load: f64,
        /// Prompts that may be read at once without a longer pass for all: one a rank.
        reads: f64,
    },
    /// Its group is closed and about to open.
    Opens {
        /// When, in milliseconds from now.
        within: Millis,
        /// Streams with which passes are short enough on its first map.
        places: f64,
        /// All of its ranks are there, so that this is known and not hoped.
        sure: bool,
    },
    /// Its group is closed, and nobody knows until when.
    Closed,
}

/// A stream that asks to begin.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its request.
    pub id: RequestId,
    /// When it arrived.
    pub arrived: Millis,
    /// Milliseconds within which its first event is in time.
    pub objective: Millis,
    /// Milliseconds within which its caller must get it.
    pub patience: Millis,
    /// It broke off elsewhere, so that it is late already.
    pub resumed: bool,
}

/// When a stream may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// At once.
    Now,
    /// When it is its turn, in so many milliseconds by what is known.
    Wait(Millis),
    /// Not in time; its turn would come in so many milliseconds, if anybody knows.
    Refuse(Option<Millis>),
}

/// Streams of a service that wait, those that came first at the front.
#[derive(Clone, Debug)]
pub struct Starts {
    waiting: VecDeque<Ask>,
    /// When streams began, for as long as their prompts are read.
    begun: VecDeque<Millis>,
    /// Milliseconds that a stream lasts, and those to its first event, over some time.
    lasts: f64,
    opens: f64,
    /// Arrivals of late, and when that was.
    arrivals: f64,
    counted: Millis,
}

impl Default for Starts {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            begun: VecDeque::new(),
            lasts: LASTS,
            opens: OPENS,
            arrivals: 0.0,
            counted: 0,
        }
    }
}

impl Starts {
    /// Says when a stream may begin. One that is to wait is taken in.
    pub fn ask(&mut self, now: Millis, ask: &Ask, room: Room) -> Turn {
        self.count(now, f64::from(u8::from(!ask.resumed)));
        let turn = self.turn(now, ask, room);
        match turn {
            Turn::Now => self.begin(now),
            Turn::Wait(_) => self.waiting.push_back(*ask),
            Turn::Refuse(_) => {}
        }
        turn
    }

    fn turn(&self, now: Millis, ask: &Ask, room: Room) -> Turn {
        match room {
            Room::Free => Turn::Now,
            Room::Closed => Turn::Refuse(None),
            Room::Opens { within, places, sure } => {
                self.turn_at_opening(now, ask, within, places, sure)
            }
            Room::Open { .. } if self.ahead(now, ask) == 0 && self.fits(now, ask, room) => {
                Turn::Now
            }
            Room::Open { places, load, reads } => {
                let excess = self.excess(now, ask, places, load);
                if self.is_late(now, ask) {
                    self.turn_of_late(now, ask, excess, load, reads)
                } else {
                    let turn = self.before(now, ask, excess) * self.lasts / load.max(1.0);
                    self.verdict(now, ask, turn, ask.objective, turn)
                }
            }
        }
    }

    /// As many wait for an opening as begin then. They are late by that time, and
    /// leave room as such.
    fn turn_at_opening(
        &self,
        now: Millis,
        ask: &Ask,
        within: Millis,
        places: f64,
        sure: bool,
    ) -> Turn {
        let all = self.waiting.len() as f64 + 1.0 + self.reserved();
        let beyond = (all - places).max(0.0);
        let turn = within as f64 + beyond * self.lasts / places.max(1.0);
        if beyond <= 0.0 && self.in_time(now, ask, turn, ask.patience) {
            return Turn::Wait(turn as Millis);
        }
        Turn::Refuse(sure.then_some(turn as Millis))
    }

    /// One that is late waits for prompts to be read while there are places. Where
    /// there are none, it waits only if streams end faster than others arrive.
    fn turn_of_late(&self, now: Millis, ask: &Ask, excess: f64, load: f64, reads: f64) -> Turn {
        let ahead = self.ahead(now, ask) as f64;
        if excess + ahead < 0.0 {
            return Turn::Wait(((ahead + 1.0) * self.opens / reads.max(1.0)) as Millis);
        }
        let before = self.before(now, ask, excess);
        let left = load / self.lasts - self.arrivals / COUNTED;
        let real = if left > 0.0 { before / left } else { f64::MAX };
        self.verdict(now, ask, real, ask.patience, before * self.lasts / load.max(1.0))
    }

    /// Streams that end before this one begins, itself counted.
    fn before(&self, now: Millis, ask: &Ask, excess: f64) -> f64 {
        self.ahead(now, ask) as f64 + 1.0 + excess.max(0.0)
    }

    /// Waits for `turn` if its first event then comes within `longest`; else it is
    /// told to come back in `told`.
    fn verdict(&self, now: Millis, ask: &Ask, turn: f64, longest: Millis, told: f64) -> Turn {
        match self.in_time(now, ask, turn, longest) {
            true => Turn::Wait(turn as Millis),
            false => Turn::Refuse(Some(told as Millis)),
        }
    }

    /// Whether a stream's first event comes within `longest` if it begins in `turn`.
    fn in_time(&self, now: Millis, ask: &Ask, turn: f64, longest: Millis) -> bool {
        let waited = now.saturating_sub(ask.arrived) as f64;
        waited + turn + self.opens * OPENS_TIMES <= longest as f64
    }

    /// Places that those late leave to those that arrive.
    fn reserved(&self) -> f64 {
        self.arrivals * RESERVED / COUNTED
    }

    /// Streams beyond those with which passes are short enough, if this one
    /// begins; negative while there is room.
    fn excess(&self, now: Millis, ask: &Ask, places: f64, load: f64) -> f64 {
        let late = self.is_late(now, ask);
        let reserved = if late { self.reserved() } else { 0.0 };
        load + 1.0 + reserved - places
    }

    /// Whether a stream can begin now. What is late can wait until the prompts of
    /// others are read: many in one pass make it too long for all that run.
    fn fits(&self, now: Millis, ask: &Ask, room: Room) -> bool {
        match room {
            Room::Free => true,
            Room::Open { places, load, reads } => {
                let calm = !self.is_late(now, ask) || self.reading(now) < reads;
                calm && self.excess(now, ask, places, load) < 0.0
            }
            Room::Opens { .. } | Room::Closed => false,
        }
    }

    /// Streams that began so lately that their prompts are read.
    fn reading(&self, now: Millis) -> f64 {
        let fresh = |it: &&Millis| now.saturating_sub(**it) as f64 <= self.opens;
        self.begun.iter().rev().take_while(fresh).count() as f64
    }

    fn begin(&mut self, now: Millis) {
        let opens = self.opens;
        self.begun.retain(|it| now.saturating_sub(*it) as f64 <= opens);
        self.begun.push_back(now);
    }

    /// Whether a stream's first event comes late even if it begins now.
    fn is_late(&self, now: Millis, ask: &Ask) -> bool {
        let waited = now.saturating_sub(ask.arrived) as f64;
        ask.resumed || waited + self.opens * OPENS_TIMES > ask.objective as f64
    }

    /// Streams that wait and go before this one: those in time before those late.
    fn ahead(&self, now: Millis, ask: &Ask) -> usize {
        let late = self.is_late(now, ask);
        self.waiting.iter().filter(|it| late || !self.is_late(now, it)).count()
    }

    /// Forgets streams that wait no more.
    pub fn retain(&mut self, waits: impl Fn(&RequestId) -> bool) {
        self.waiting.retain(|it| waits(&it.id));
    }

    /// Whether any stream waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The stream whose turn is next.
    pub fn front(&self, now: Millis) -> Option<Ask> {
        let timely = self.waiting.iter().find(|it| !self.is_late(now, it));
        timely.or(self.waiting.front()).copied()
    }

    /// Takes out the stream whose turn is next, if there is room for it.
    pub fn next(&mut self, now: Millis, room: Room) -> Option<RequestId> {
        let ask = self.front(now)?;
        if !self.fits(now, &ask, room) {
            return None;
        }
        self.waiting.retain(|it| it.id != ask.id);
        self.begin(now);
        Some(ask.id)
    }

    /// Takes out a stream for which there will be no turn before its caller
    /// leaves, with the time in which there might be one.
    pub fn give_up(&mut self, now: Millis, room: Room) -> Option<(RequestId, Option<Millis>)> {
        let over = |it: &Ask| {
            let waited = now.saturating_sub(it.arrived) as f64;
            waited + self.opens * OPENS_TIMES > it.patience as f64
        };
        let at = self.waiting.iter().position(|it| room == Room::Closed || over(it))?;
        let ask = self.waiting.remove(at)?;
        let turn = match room {
            Room::Opens { within, sure: true, .. } => Some(within),
            Room::Open { load, .. } => Some((self.lasts / load.max(1.0)) as Millis),
            Room::Opens { .. } | Room::Free | Room::Closed => None,
        };
        Some((ask.id, turn))
    }

    /// Milliseconds from the start of a request to the first of its answer, over some time.
    pub fn opens(&self) -> Millis {
        self.opens as Millis
    }

    /// Takes how long a stream lasted from its start on, and until its first event.
    pub fn lasted(&mut self, lasted: Millis, opened: Millis) {
        follow(&mut self.lasts, lasted as f64);
        follow(&mut self.opens, opened as f64);
    }

    fn count(&mut self, now: Millis, more: f64) {
        let passed = now.saturating_sub(self.counted) as f64;
        self.arrivals = self.arrivals * (-passed / COUNTED).exp() + more;
        self.counted = now;
    }
}

/// Moves a median towards a sample.
fn follow(median: &mut f64, sample: f64) {
    let times = if sample > *median { 1.0 + STEP } else { 1.0 / (1.0 + STEP) };
    *median = (*median * times).max(1.0);
}

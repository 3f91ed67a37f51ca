// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When streams of a service begin.
//!
//! Callers are promised that a stream does not pause, and all ranks of a group
//! pass together, so one stream too many makes all of them late. While passes
//! would be too long with it, a stream waits its turn; where it would then be
//! late it is refused at once and told when its turn would come.

use std::collections::VecDeque;

use crate::id::{Millis, RequestId};

/// How many times as long as usual a stream may take from its start to its
/// first event, so that it is still in time after the longest wait.
/// Chosen, not measured.
const OPENS_TIMES: f64 = 1.3;
/// Milliseconds that this is taken to last before one has begun.
const OPENS: f64 = 200.0;
/// Milliseconds that a stream is taken to last before one has ended.
const LASTS: f64 = 2_000.0;
/// Weight of a stream in both.
const WEIGHT: f64 = 0.1;

/// A stream that asks to begin.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its request.
    pub id: RequestId,
    /// Milliseconds within which its first event is in time.
    pub objective: Millis,
    /// Milliseconds since it arrived.
    pub waited: Millis,
    /// Streams that the group has beyond those with which passes are short
    /// enough; negative while there is room, none if that is not known.
    pub excess: Option<f64>,
    /// Streams of this entry that run.
    pub running: u32,
}

/// When a stream may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// At once.
    Now,
    /// When it is its turn, in so many milliseconds by what is known.
    Wait(Millis),
    /// Not in time; its turn would come in so many milliseconds.
    Refuse(Millis),
}

/// Streams of a service that wait, those that came first at the front.
#[derive(Clone, Debug)]
pub struct Starts {
    waiting: VecDeque<RequestId>,
    /// Milliseconds that a stream lasts, and those to its first event, over some time.
    lasts: f64,
    opens: f64,
}

impl Default for Starts {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), lasts: LASTS, opens: OPENS }
    }
}

impl Starts {
    /// Says when a stream may begin. One that is to wait is taken in.
    pub fn ask(&mut self, ask: &Ask) -> Turn {
        let Some(excess) = ask.excess else { return Turn::Now };
        if self.waiting.is_empty() && excess < 0.0 {
            return Turn::Now;
        }
        let ahead = self.waiting.len() as f64 + 1.0 + excess.max(0.0);
        let turn = ahead * self.lasts / f64::from(ask.running.max(1));
        let longest = ask.objective as f64 - self.opens * OPENS_TIMES;
        if ask.waited as f64 + turn > longest {
            return Turn::Refuse(turn as Millis);
        }
        self.waiting.push_back(ask.id);
        Turn::Wait(turn as Millis)
    }

    /// Forgets streams that wait no more.
    pub fn retain(&mut self, waits: impl Fn(&RequestId) -> bool) {
        self.waiting.retain(waits);
    }

    /// The stream whose turn is next.
    pub fn front(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    /// Takes out the stream whose turn is next, if there is room for it.
    pub fn next(&mut self, excess: Option<f64>) -> Option<RequestId> {
        let room = excess.is_none_or(|it| it < 0.0);
        if room { self.waiting.pop_front() } else { None }
    }

    /// Takes how long a stream lasted from its start on, and until its first event.
    pub fn lasted(&mut self, lasted: Millis, opened: Millis) {
        self.lasts += WEIGHT * (lasted as f64 - self.lasts);
        self.opens += WEIGHT * (opened as f64 - self.opens);
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How long the passes of a group of ranks take, from what its engines declare.

use crate::id::Millis;

/// Prompts, of the usual length, that the rank with most to read reads in a
/// pass: on the captioning deployment four new ones come in a pass over twelve
/// ranks, and calm passes took as much longer than their sequences explain.
const PROMPTS: f64 = 1.0;

/// Times of a pass in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Of a pass in which nothing is written or read.
    pub base: f64,
    /// More for each sequence that a rank writes, on an even map.
    pub sequence: f64,
    /// Part of that which experts take, 0 to 1.
    pub part: f64,
    /// More for the prompts that are read in a pass, on an even map.
    pub reading: f64,
}

impl Times {
    /// Takes what is declared: steps of a pass, milliseconds of a step and of
    /// each sequence in it, the experts' part, and the usual prompt's tokens
    /// with the tokens read a millisecond.
    pub fn new(
        steps: f64,
        step: f64,
        sequence: f64,
        part: f64,
        (prompt, rate): (f64, f64),
    ) -> Self {
        let reading = if rate > 0.0 { PROMPTS * prompt / rate } else { 0.0 };
        Self { base: steps * step, sequence: steps * sequence, part, reading }
    }

    /// Sequences a rank with which a pass takes no longer than `pause`, where
    /// the rank with most experts' work has `lag` times the mean.
    pub fn sequences(&self, pause: f64, lag: f64) -> f64 {
        if self.sequence <= 0.0 {
            return f64::INFINITY;
        }
        // Experts' work for tokens that are read is as uneven as for those written.
        let uneven = 1.0 - self.part + self.part * lag.max(1.0);
        (((pause - self.base) / uneven - self.reading) / self.sequence).max(0.0)
    }
}

/// Time without a step after which a group with work stands: twice the longest
/// pass that a group made under load.
const STANDS: Millis = 500;

/// The steps of a group as the agent beside one of its ranks reads them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Steps {
    step: u64,
    /// Since when it is the same with work there; none while there is no work.
    since: Option<Millis>,
}

impl Steps {
    /// Takes a reading: the last step, and whether the rank has work.
    pub fn watch(&mut self, now: Millis, step: u64, busy: bool) {
        if step != self.step || !busy {
            self.since = None;
        }
        self.step = step;
        if busy {
            self.since.get_or_insert(now);
        }
    }

    /// Whether the group stands: a step is held, or a rank does not answer.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.since.is_some_and(|since| now >= since + STANDS)
    }
}

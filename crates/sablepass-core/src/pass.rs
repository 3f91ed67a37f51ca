// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Estimates the duration of a pass of a group of ranks from its engines' declaration, and detects
//! stalled groups.

use crate::id::Millis;

/// Prompts of the usual length that the rank with the most of them reads in a pass: with twelve
/// ranks and four new prompts in a pass, passes at low load take as much longer than their
/// sequences explain.
const PROMPTS_PER_PASS: f64 = 1.0;

/// Components of the duration of a pass, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Duration of a pass that generates and reads no tokens.
    pub base: f64,
    /// Additional time for each sequence that a rank generates, with an even expert map.
    pub sequence: f64,
    /// Fraction of that time which experts take, 0 to 1.
    pub part: f64,
    /// Additional time for the prompts read in a pass, with an even expert map.
    pub reading: f64,
}

impl Times {
    /// Derives the components from the declaration: steps of a pass, milliseconds for a step and
    /// for each sequence in it, the experts' fraction, and the usual prompt length in tokens with
    /// the read rate in tokens per millisecond.
    pub fn new(
        steps: f64,
        step: f64,
        sequence: f64,
        part: f64,
        (prompt, rate): (f64, f64),
    ) -> Self {
        let reading = if rate > 0.0 { PROMPTS_PER_PASS * prompt / rate } else { 0.0 };
        Self { base: steps * step, sequence: steps * sequence, part, reading }
    }

    /// Number of sequences per rank with which a pass takes no longer than `pause` milliseconds,
    /// where the rank with the most experts' work has `lag` times the mean.
    pub fn sequences(&self, pause: f64, lag: f64) -> f64 {
        self.sequences_of_part(pause, lag, 1.0)
    }

    /// The same as [`Self::sequences`] for a group in which only a part of the ranks, above 0 and
    /// up to 1, takes requests. All ranks share the experts' work of a pass, which is less by that
    /// factor, while each rank that takes requests does the rest of the work for its own sequences.
    pub fn sequences_of_part(&self, pause: f64, lag: f64, taking: f64) -> f64 {
        if self.sequence <= 0.0 {
            return f64::INFINITY;
        }
        // Experts' work is as uneven for tokens read as for tokens generated.
        let uneven = 1.0 - self.part + self.part * lag.max(1.0) * taking;
        (((pause - self.base) / uneven - self.reading) / self.sequence).max(0.0)
    }
}

/// Time without a step after which a group that has work counts as stalled: twice the longest pass
/// of a group under load.
const STALL_TIMEOUT: Millis = 500;

/// Progress of a group, as the agent of one of its ranks reads it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Steps {
    step: u64,
    /// Since when the step has not changed although the rank has work; none without work.
    since: Option<Millis>,
}

impl Steps {
    /// Records a reading: the last step, and whether the rank has work.
    pub fn watch(&mut self, now: Millis, step: u64, busy: bool) {
        if step != self.step || !busy {
            self.since = None;
        }
        self.step = step;
        if busy {
            self.since.get_or_insert(now);
        }
    }

    /// Whether the group is stalled: a step does not complete, or a rank does not respond.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.since.is_some_and(|since| now >= since + STALL_TIMEOUT)
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What is in demand since it last shifted, and for how long a demand lasts.
//!
//! Counts of an interval are compared with those since the last shift. How far
//! apart two of the same demand are depends on how many requests an interval
//! sees, so that is learnt, as the distance that two intervals would have if
//! each of them stood for itself; the more intervals one side sums up, the
//! smaller it is. An interval that is much further away than usual is of another
//! demand, and what was counted before does not tell of it.

use crate::expert::demand;
use crate::id::Millis;

/// How many times the usual deviation an interval must be further away than
/// usual. Of 6,800 intervals of four requests of very unlike size, 58, 29 and
/// fewer than 23 were taken for a shift at 6, 7 and 8, and at 8 all of 180 shifts
/// were seen in their first interval.
const DEVIATIONS: f64 = 8.0;
/// Usual distance and deviation as long as nothing is learnt, of one interval
/// from a sum of many.
const DISTANCE: f64 = 0.03;
const DEVIATION: f64 = 0.02;
/// Least deviation: with many requests an interval it would come near 0.
const LEAST_DEVIATION: f64 = 0.01;
/// Weight of an interval in what is usual: some 20 intervals.
const LEARN: f64 = 0.05;
/// Weight that older counts keep with each interval: half of the demand is of
/// the last four.
const KEEP: f64 = 0.85;
/// Choices in an interval below which it tells nothing.
const LEAST_COUNTS: f64 = 2_000.0;
/// Shifts closer together count as one, which two intervals saw.
const SAME_SHIFT: Millis = 400;
/// How long a demand is taken to last before one was seen to end.
const LIFE: f64 = 10_000.0;
/// Weight of a demand in how long the next one is taken to last.
const LIFE_WEIGHT: f64 = 0.3;

/// The demand since the last shift.
#[derive(Clone, Debug)]
pub struct Watch {
    demand: Option<Vec<Vec<f64>>>,
    /// Intervals that it sums up, by their weight.
    intervals: f64,
    distance: f64,
    deviation: f64,
    /// When it last shifted, and whether that was seen.
    since: Option<(Millis, bool)>,
    life: f64,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            demand: None,
            intervals: 0.0,
            distance: DISTANCE,
            deviation: DEVIATION,
            since: None,
            life: LIFE,
        }
    }
}

impl Watch {
    /// Takes the choices of an interval, by layer and expert, and returns
    /// whether the demand has shifted.
    pub fn take(&mut self, now: Millis, interval: Vec<Vec<f64>>) -> bool {
        if interval.iter().flatten().sum::<f64>() < LEAST_COUNTS {
            return false;
        }
        let Some(demand) = &mut self.demand else {
            self.demand = Some(interval);
            self.intervals = 1.0;
            self.since = Some((now, false));
            return false;
        };
        let distance = distance(demand, &interval) / (1.0 + 1.0 / self.intervals);
        if distance > self.distance + DEVIATIONS * self.deviation {
            self.demand = Some(interval);
            self.intervals = 1.0;
            self.shifted(now);
            return true;
        }
        let off = (distance - self.distance).abs();
        self.distance += LEARN * (distance - self.distance);
        self.deviation += LEARN * (off - self.deviation);
        self.deviation = self.deviation.max(LEAST_DEVIATION);
        self.intervals = KEEP * self.intervals + 1.0;
        for (sum, it) in demand.iter_mut().flatten().zip(interval.iter().flatten()) {
            *sum = KEEP * *sum + it;
        }
        false
    }

    fn shifted(&mut self, now: Millis) {
        let Some((since, seen)) = self.since else { return };
        let lasted = now.saturating_sub(since);
        if lasted < SAME_SHIFT {
            return;
        }
        // Of a demand that was there before the first counts nobody knows how long it lasted.
        if seen {
            self.life += LIFE_WEIGHT * (lasted as f64 - self.life);
        }
        self.since = Some((now, true));
    }

    /// What is in demand, by layer and expert; none before the first counts.
    pub fn demand(&self) -> Option<&Vec<Vec<f64>>> {
        self.demand.as_ref()
    }

    /// Milliseconds that the demand is expected to last from now on: as long as
    /// earlier ones did, or as this one has already.
    pub fn life(&self, now: Millis) -> f64 {
        let age = self.since.map_or(0, |(at, _)| now.saturating_sub(at));
        self.life.max(age as f64)
    }
}

/// How far apart two demands are: 0 for the same mix, 1 at most, in the layer
/// in which they differ most.
fn distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let layers = a.iter().zip(b).map(|(a, b)| 1.0 - demand::cosine_similarity(a, b));
    layers.fold(0.0, f64::max)
}

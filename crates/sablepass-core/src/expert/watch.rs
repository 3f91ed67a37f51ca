// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Detects shifts of the expert demand, accumulates the demand since the last
//! shift, and estimates how long it will last. The planner of a group uses it.
//!
//! The counts of each interval are compared with the sum of those since the last
//! shift. The distance between two intervals of the same demand depends on the
//! number of requests per interval, so its usual value and deviation are learnt as
//! moving averages. The distance to a sum is smaller the more intervals the sum
//! contains, so each distance is scaled to that from a sum of many intervals. An
//! interval whose distance is far above the usual value belongs to a new demand, and
//! the earlier counts are discarded.

use crate::expert::demand;
use crate::id::Millis;

/// Number of usual deviations above the usual distance from which an interval counts
/// as a shift. Of 6,800 intervals without a shift, each of four requests of very
/// different sizes, 58 were misdetected at 6, 29 at 7 and fewer than 23 at 8; at 8,
/// all of 180 shifts were detected in their first interval.
const SHIFT_DEVIATIONS: f64 = 8.0;
/// Initial usual distance of an interval from a sum of many intervals.
const INITIAL_DISTANCE: f64 = 0.03;
/// Initial usual deviation of that distance.
const INITIAL_DEVIATION: f64 = 0.02;
/// Lower bound of the usual deviation, which would otherwise approach 0 with many
/// requests per interval.
const MIN_DEVIATION: f64 = 0.01;
/// Weight of an interval in the moving averages of distance and deviation, which
/// corresponds to about 20 intervals.
const LEARNING_RATE: f64 = 0.05;
/// Factor by which older counts decay per interval: about half of the accumulated
/// demand stems from the last four intervals.
const DECAY: f64 = 0.85;
/// Expert choices that an interval needs to be evaluated.
const MIN_COUNTS: f64 = 2_000.0;
/// Minimum time between two shifts. A shift within an interval can be detected again
/// in the next interval, and both count as one.
const MIN_SHIFT_GAP: Millis = 400;
/// Expected lifetime of a demand until a complete one has been observed.
const INITIAL_LIFETIME_MS: f64 = 10_000.0;
/// Weight of the latest demand's lifetime in the moving average.
const LIFETIME_WEIGHT: f64 = 0.3;

/// Accumulates the demand since the last shift and detects the next one.
#[derive(Clone, Debug)]
pub struct DemandMonitor {
    demand: Option<Vec<Vec<f64>>>,
    /// Sum of the decayed weights of the intervals in `demand`.
    intervals: f64,
    /// Usual distance of an interval from a sum of many intervals of the same demand.
    usual_distance: f64,
    /// Usual deviation from `usual_distance`.
    usual_deviation: f64,
    /// Start of the current demand, and whether its first interval was detected as a
    /// shift. The demand in the first counts may be older than these.
    since: Option<(Millis, bool)>,
    /// Moving average of the lifetimes of past demands.
    lifetime_ms: f64,
}

impl Default for DemandMonitor {
    fn default() -> Self {
        Self {
            demand: None,
            intervals: 0.0,
            usual_distance: INITIAL_DISTANCE,
            usual_deviation: INITIAL_DEVIATION,
            since: None,
            lifetime_ms: INITIAL_LIFETIME_MS,
        }
    }
}

impl DemandMonitor {
    /// Evaluates the expert choices of an interval, by layer and expert, and returns
    /// whether the demand has shifted.
    pub fn observe(&mut self, now: Millis, interval: Vec<Vec<f64>>) -> bool {
        if interval.iter().flatten().sum::<f64>() < MIN_COUNTS {
            return false;
        }
        let Some(demand) = &mut self.demand else {
            self.demand = Some(interval);
            self.intervals = 1.0;
            self.since = Some((now, false));
            return false;
        };
        let distance = distance(demand, &interval) / (1.0 + 1.0 / self.intervals);
        if distance > self.usual_distance + SHIFT_DEVIATIONS * self.usual_deviation {
            self.demand = Some(interval);
            self.intervals = 1.0;
            self.record_shift(now);
            return true;
        }
        let deviation = (distance - self.usual_distance).abs();
        self.usual_distance += LEARNING_RATE * (distance - self.usual_distance);
        self.usual_deviation += LEARNING_RATE * (deviation - self.usual_deviation);
        self.usual_deviation = self.usual_deviation.max(MIN_DEVIATION);
        self.intervals = DECAY * self.intervals + 1.0;
        for (sum, count) in demand.iter_mut().flatten().zip(interval.iter().flatten()) {
            *sum = DECAY * *sum + count;
        }
        false
    }

    fn record_shift(&mut self, now: Millis) {
        let Some((since, start_detected)) = self.since else { return };
        let lifetime = now.saturating_sub(since);
        if lifetime < MIN_SHIFT_GAP {
            return;
        }
        // A demand that began before the first counts has an unknown lifetime.
        if start_detected {
            self.lifetime_ms += LIFETIME_WEIGHT * (lifetime as f64 - self.lifetime_ms);
        }
        self.since = Some((now, true));
    }

    /// Returns the accumulated demand by layer and expert, or `None` before the first
    /// counts.
    pub fn demand(&self) -> Option<&Vec<Vec<f64>>> {
        self.demand.as_ref()
    }

    /// Returns the time in milliseconds for which the demand is expected to last from
    /// `now` on: the average lifetime of earlier demands, or the age of the current
    /// one if that is longer.
    pub fn expected_remaining_ms(&self, now: Millis) -> f64 {
        let age = self.since.map_or(0, |(start, _)| now.saturating_sub(start));
        self.lifetime_ms.max(age as f64)
    }
}

/// Returns the distance between two demands in the layer in which they differ most:
/// 0 for the same mix of experts, 1 at most.
fn distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let layers = a.iter().zip(b).map(|(a, b)| 1.0 - demand::cosine_similarity(a, b));
    layers.fold(0.0, f64::max)
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How far maps turn out less even than worked out.
//!
//! A map is made even under the requests that were counted, and those to come
//! choose other experts: each has favourites of its own. In a group of 192 ranks
//! maps that were to have a lag of 1.1 had 1.4 to 1.5 with the next requests, and
//! were replaced each 0.35 s by others that were no better: 900 experts were moved
//! each time. So a map's lag under the requests after it came into force is
//! compared with the one worked out, and the next map is expected to turn out so.

use crate::id::Millis;

/// Time from when a map comes into force until it is judged: two intervals of the
/// counts, and less than the time in which the next map can come.
pub const EVALUATION_DELAY: Millis = 200;
/// Weight of a map in what is expected of the next.
const WEIGHT: f64 = 0.3;
/// How much less even than worked out a map is believed to turn out at most.
const MOST: f64 = 3.0;

/// What is expected of maps, and the one that is to be judged next.
#[derive(Clone, Copy, Debug)]
pub struct LagCalibration {
    optimism: f64,
    /// When the map in force came, and the lag worked out for it.
    map: Option<(Millis, f64)>,
}

impl Default for LagCalibration {
    fn default() -> Self {
        Self { optimism: 1.0, map: None }
    }
}

impl LagCalibration {
    /// How many times as uneven as worked out the next map will turn out.
    pub fn optimism(&self) -> f64 {
        self.optimism
    }

    /// A map came into force for which a lag was worked out.
    pub fn map_applied(&mut self, now: Millis, lag: f64) {
        self.map = Some((now, lag));
    }

    /// Demand shifted: the map in force was made for another one.
    pub fn demand_shifted(&mut self) {
        self.map = None;
    }

    /// Whether it is time to judge the map in force.
    pub fn is_due(&self, now: Millis) -> bool {
        self.map.is_some_and(|it| now >= it.0 + EVALUATION_DELAY)
    }

    /// Takes the lag of the map in force under what is in demand by now.
    pub fn record_lag(&mut self, lag: f64) {
        let Some((_, expected)) = self.map.take() else { return };
        let seen = (lag / expected.max(1.0)).clamp(1.0, MOST);
        self.optimism += WEIGHT * (seen - self.optimism);
    }
}

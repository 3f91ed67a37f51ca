// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Corrects the predicted lag of new maps by the lag that earlier maps turned out to
//! have. Used by the planner of a group.
//!
//! A map is balanced for the requests that were counted, but each request prefers other
//! experts, so the map is less balanced under later requests. In a group of 192 ranks,
//! maps with a predicted lag of 1.1 had a lag of 1.4 to 1.5 under the next requests. The
//! planner replaced them every 0.35 s by maps that were no better, and moved 900 experts
//! each time. The lag of a map shortly after it came into force is therefore compared
//! with its predicted lag, and the ratio is applied to the prediction for the next map.

use crate::id::Millis;

/// Time from when a map comes into force until its lag is measured. Covers two intervals
/// of the counts, and is shorter than the time until the next map can come into force.
pub const EVALUATION_DELAY: Millis = 200;
/// Weight of the latest map in the moving average of the ratio.
const RATIO_WEIGHT: f64 = 0.3;
/// Upper bound of the ratio of a single map.
const MAX_RATIO: f64 = 3.0;

/// Moving average of the ratio of measured to predicted lag, and the map in force that
/// has not been evaluated yet.
#[derive(Clone, Copy, Debug)]
pub struct LagCalibration {
    optimism: f64,
    /// Time when the map in force took effect, and its predicted lag.
    pending: Option<(Millis, f64)>,
}

impl Default for LagCalibration {
    fn default() -> Self {
        Self { optimism: 1.0, pending: None }
    }
}

impl LagCalibration {
    /// Returns the expected ratio of measured to predicted lag of the next map.
    pub fn optimism(&self) -> f64 {
        self.optimism
    }

    /// Records that a map with a predicted lag came into force.
    pub fn map_applied(&mut self, now: Millis, lag: f64) {
        self.pending = Some((now, lag));
    }

    /// Records a shift of demand. The map in force was computed for the previous demand and
    /// is not evaluated.
    pub fn demand_shifted(&mut self) {
        self.pending = None;
    }

    /// Returns whether the lag of the map in force is due to be measured.
    pub fn is_due(&self, now: Millis) -> bool {
        self.pending.is_some_and(|it| now >= it.0 + EVALUATION_DELAY)
    }

    /// Updates the ratio with the lag of the map in force under the current demand.
    pub fn record_lag(&mut self, lag: f64) {
        let Some((_, predicted)) = self.pending.take() else { return };
        let ratio = (lag / predicted.max(1.0)).clamp(1.0, MAX_RATIO);
        self.optimism += RATIO_WEIGHT * (ratio - self.optimism);
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Demand for each expert of a group, from counts that ranks keep of their own requests.
//!
//! Requests are spread evenly over the ranks of a group, so a sample of ranks represents
//! the demand of the group. Each sampled rank reports how often its requests chose each
//! expert since its last report, because increments take few bytes on the wire.

use std::collections::VecDeque;

use crate::id::Millis;

/// Number of snapshots kept, which covers several seconds.
const MAX_SNAPSHOTS: usize = 64;
/// Maximum number of ranks that report their counts. Reports from all 72 ranks of a group
/// with 12 layers of 144 experts saturated the planner's link of 8 Mbit/s.
pub const MAX_SAMPLED_RANKS: usize = 24;

/// Returns, for each rank, whether it is to report its counts. Selects at most `ranks`
/// ranks: first those in the planner's data hall, since traffic between data halls is
/// expensive, then by number. `near` states for each rank whether it is in that hall.
pub fn sample(near: &[bool], ranks: usize) -> Vec<bool> {
    let mut order: Vec<usize> = (0..near.len()).collect();
    order.sort_by_key(|rank| !near[*rank]);
    let mut chosen = vec![false; near.len()];
    for rank in order.into_iter().take(ranks) {
        chosen[rank] = true;
    }
    chosen
}

/// The last counts read from a rank's replica, for computing increments.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    last: Vec<u64>,
}

impl Counts {
    /// Returns the choices of each expert since the last call. Returns `None` at the first
    /// call, and after the replica restarted, which resets its counts to zero.
    pub fn advance(&mut self, counts: Vec<u64>) -> Option<Vec<u64>> {
        let monotonic = self.last.len() == counts.len()
            && self.last.iter().zip(&counts).all(|(last, count)| last <= count);
        let increments = monotonic
            .then(|| counts.iter().zip(&self.last).map(|(count, last)| count - last).collect());
        self.last = counts;
        increments
    }

    /// Discards the last counts. Called when the counts go to another receiver.
    pub fn reset(&mut self) {
        self.last.clear();
    }
}

/// Choices of each expert, summed over the sampled ranks of a group.
#[derive(Clone, Debug)]
pub struct Demand {
    layers: usize,
    experts: usize,
    /// Time of each rank's last report.
    reported: Vec<Option<Millis>>,
    /// Choices of each expert over all reports, layer by layer.
    total: Vec<u64>,
    /// Snapshots of `total` with their times.
    history: VecDeque<(Millis, Vec<u64>)>,
}

impl Demand {
    /// Creates an empty demand.
    pub fn new(ranks: usize, layers: usize, experts: usize) -> Self {
        Self {
            layers,
            experts,
            reported: vec![None; ranks],
            total: vec![0; layers * experts],
            history: VecDeque::new(),
        }
    }

    /// Adds the choices of a rank's requests since its last report, layer by layer. Returns
    /// `false` and changes nothing if the rank is unknown or the number of counts is wrong.
    pub fn record(&mut self, now: Millis, rank: usize, increments: &[u64]) -> bool {
        if rank >= self.reported.len() || increments.len() != self.layers * self.experts {
            return false;
        }
        self.reported[rank] = Some(now);
        for (total, increment) in self.total.iter_mut().zip(increments) {
            *total += increment;
        }
        true
    }

    /// Returns the age of the oldest report among the last reports of the sampled ranks, or
    /// `None` while a sampled rank has not reported.
    pub fn age(&self, now: Millis, sampled: &[bool]) -> Option<Millis> {
        let reported = self.reported.iter().zip(sampled).filter(|(_, sampled)| **sampled);
        let oldest = reported.map(|(at, _)| *at).min()??;
        Some(now.saturating_sub(oldest))
    }

    /// Stores a snapshot of the current totals, which ends an interval.
    pub fn snapshot(&mut self, now: Millis) {
        self.history.push_back((now, self.total.clone()));
        if self.history.len() > MAX_SNAPSHOTS {
            self.history.pop_front();
        }
    }

    /// Returns the choices of each layer's experts in `intervals` consecutive intervals, the
    /// last of which ended `skip` intervals before the latest snapshot. Returns `None` if
    /// the snapshots needed are not available.
    pub fn recent(&self, intervals: usize, skip: usize) -> Option<Vec<Vec<f64>>> {
        let end = self.history.len().checked_sub(1 + skip)?;
        let start = end.checked_sub(intervals)?;
        let (before, after) = (&self.history[start].1, &self.history[end].1);
        let chosen: Vec<f64> =
            after.iter().zip(before).map(|(after, before)| (after - before) as f64).collect();
        Some(chosen.chunks(self.experts).map(<[f64]>::to_vec).collect())
    }
}

/// Returns the cosine similarity of two demands of a layer: 1 for the same mix of
/// experts, 0 if either demand is empty.
pub fn cosine_similarity(a: &[f64], b: &[f64]) -> f64 {
    let pairs = || a.iter().zip(b);
    let product: f64 = pairs().map(|(x, y)| x * y).sum();
    let (x, y): (f64, f64) = pairs().fold((0.0, 0.0), |(sx, sy), (x, y)| (sx + x * x, sy + y * y));
    if x <= 0.0 || y <= 0.0 { 0.0 } else { product / (x * y).sqrt() }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which experts are in demand, from counts that every rank keeps of its own
//! requests.
//!
//! Requests are spread evenly over the ranks of a group, so a sample of ranks
//! shows the demand of all. Each of those tells how often its requests chose
//! each expert since it last told so: numbers that are small on the wire.

use std::collections::VecDeque;

use crate::id::Millis;

/// Snapshots kept: some seconds of them.
const KEEP: usize = 64;
/// Most ranks that tell their counts. All of a group of 72 told theirs, of 12
/// layers and 144 experts, and filled the planner's link of 8 Mbit/s.
pub const MAX_SAMPLED_RANKS: usize = 24;

/// The ranks that are to tell their counts: those in the planner's hall first,
/// since bytes between halls are dear, then by number. `near` tells of each
/// rank whether it is there, `ranks` how many are to tell at most.
pub fn sample(near: &[bool], ranks: usize) -> Vec<bool> {
    let mut order: Vec<usize> = (0..near.len()).collect();
    order.sort_by_key(|it| !near[*it]);
    let mut chosen = vec![false; near.len()];
    for rank in order.into_iter().take(ranks) {
        chosen[rank] = true;
    }
    chosen
}

/// A rank's counts and what of them was told.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    last: Vec<u64>,
}

impl Counts {
    /// What was chosen since the last call. Nothing at the first one, and
    /// after a start of the replica, which counts from zero again.
    pub fn advance(&mut self, counts: Vec<u64>) -> Option<Vec<u64>> {
        let grown = self.last.len() == counts.len()
            && self.last.iter().zip(&counts).all(|(last, it)| last <= it);
        let increments =
            grown.then(|| counts.iter().zip(&self.last).map(|(it, last)| it - last).collect());
        self.last = counts;
        increments
    }

    /// Begins anew, for another receiver.
    pub fn reset(&mut self) {
        self.last.clear();
    }
}

/// Choices of the sampled ranks of a group.
#[derive(Clone, Debug)]
pub struct Demand {
    layers: usize,
    experts: usize,
    /// When each rank last told.
    told: Vec<Option<Millis>>,
    total: Vec<u64>,
    history: VecDeque<(Millis, Vec<u64>)>,
}

impl Demand {
    /// Opens an empty one.
    pub fn new(ranks: usize, layers: usize, experts: usize) -> Self {
        Self {
            layers,
            experts,
            told: vec![None; ranks],
            total: vec![0; layers * experts],
            history: VecDeque::new(),
        }
    }

    /// Takes what a rank's requests chose since it last told, layer by layer.
    /// False if their number does not fit.
    pub fn record(&mut self, now: Millis, rank: usize, increments: &[u64]) -> bool {
        if rank >= self.told.len() || increments.len() != self.layers * self.experts {
            return false;
        }
        self.told[rank] = Some(now);
        for (total, it) in self.total.iter_mut().zip(increments) {
            *total += it;
        }
        true
    }

    /// Age of the oldest counts of the sampled ranks; none while one has told
    /// nothing.
    pub fn age(&self, now: Millis, sampled: &[bool]) -> Option<Millis> {
        let told = self.told.iter().zip(sampled).filter(|(_, sampled)| **sampled);
        let oldest = told.map(|(at, _)| *at).min()??;
        Some(now.saturating_sub(oldest))
    }

    /// Remembers the sum of all ranks as it is now.
    pub fn snapshot(&mut self, now: Millis) {
        self.history.push_back((now, self.total.clone()));
        if self.history.len() > KEEP {
            self.history.pop_front();
        }
    }

    /// Choices of each expert by layer in the `marks` last intervals, as many
    /// intervals `back`; none if that is not remembered.
    pub fn recent(&self, marks: usize, back: usize) -> Option<Vec<Vec<f64>>> {
        let end = self.history.len().checked_sub(1 + back)?;
        let start = end.checked_sub(marks)?;
        let (before, after) = (&self.history[start].1, &self.history[end].1);
        let chosen: Vec<f64> =
            after.iter().zip(before).map(|(after, before)| (after - before) as f64).collect();
        Some(chosen.chunks(self.experts).map(<[f64]>::to_vec).collect())
    }
}

/// How alike two demands of a layer are: the cosine of their angle, 1 for the
/// same mix.
pub fn cosine_similarity(a: &[f64], b: &[f64]) -> f64 {
    let pairs = || a.iter().zip(b);
    let product: f64 = pairs().map(|(x, y)| x * y).sum();
    let (x, y): (f64, f64) = pairs().fold((0.0, 0.0), |(sx, sy), (x, y)| (sx + x * x, sy + y * y));
    if x <= 0.0 || y <= 0.0 { 0.0 } else { product / (x * y).sqrt() }
}

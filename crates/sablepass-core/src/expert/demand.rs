// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which experts are in demand, from counts that every rank keeps of its own
//! requests. The counts only grow, so demand is a difference over a window.

use std::collections::VecDeque;

use crate::id::Millis;

/// Snapshots kept: some seconds of them.
const KEEP: usize = 64;

/// What one rank last told.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Millis,
    counts: Vec<u64>,
}

/// Counts of all ranks of a group.
#[derive(Clone, Debug)]
pub struct Demand {
    layers: usize,
    experts: usize,
    ranks: Vec<Told>,
    history: VecDeque<(Millis, Vec<u64>)>,
}

impl Demand {
    /// Opens an empty one.
    pub fn open(ranks: usize, layers: usize, experts: usize) -> Self {
        let ranks = vec![Told::default(); ranks];
        Self { layers, experts, ranks, history: VecDeque::new() }
    }

    /// Takes a rank's counts, layer by layer. False if their number does not fit.
    pub fn told(&mut self, now: Millis, rank: usize, counts: Vec<u64>) -> bool {
        if rank >= self.ranks.len() || counts.len() != self.layers * self.experts {
            return false;
        }
        self.ranks[rank] = Told { at: now, counts };
        true
    }

    /// Age of the oldest rank's counts; none while one has told nothing.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let known = self.ranks.iter().all(|it| !it.counts.is_empty());
        let oldest = self.ranks.iter().map(|it| it.at).min()?;
        known.then_some(now.saturating_sub(oldest))
    }

    /// Remembers the sum of all ranks as it is now.
    pub fn mark(&mut self, now: Millis) {
        if self.age(now).is_none() {
            return;
        }
        let mut sum = vec![0; self.layers * self.experts];
        for rank in &self.ranks {
            for (total, it) in sum.iter_mut().zip(&rank.counts) {
                *total += it;
            }
        }
        // A replica that started anew counts from zero, as does its group.
        let shrunk = self
            .history
            .back()
            .is_some_and(|(_, last)| last.iter().zip(&sum).any(|(last, it)| it < last));
        if shrunk {
            self.history.clear();
        }
        self.history.push_back((now, sum));
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

/// How alike two demands are: the cosine of their angle, 1 for the same mix.
pub fn likeness(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let pairs = || a.iter().flatten().zip(b.iter().flatten());
    let product: f64 = pairs().map(|(x, y)| x * y).sum();
    let (x, y): (f64, f64) = pairs().fold((0.0, 0.0), |(sx, sy), (x, y)| (sx + x * x, sy + y * y));
    if x <= 0.0 || y <= 0.0 { 0.0 } else { product / (x * y).sqrt() }
}

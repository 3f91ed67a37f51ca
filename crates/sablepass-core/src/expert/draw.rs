// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Counts of chosen experts told in few bytes.
//!
//! A rank's counts are one number an expert and layer: 3,840 of them in a group
//! of 10 layers and 384 experts, and 24 ranks that told them every 100 ms filled
//! a link of 6 Mbit/s 1.2 times over. What is to be known is the mix of all
//! requests, and of that one rank's requests are a small sample anyway; so a rank
//! tells of each layer how many choices there were, and the experts of a few of
//! them at even distances. Each drawn one stands for the same part of the total,
//! so no expert is favoured, and 24 ranks that tell 48 draws a layer show the mix
//! better than three that tell all in as many bytes (`tests/draw.rs`).

use snafu::{Snafu, ensure};

/// Part of a planner's link that counts may take: the rest is for how the ranks
/// stand, votes and maps. With 0.46 a group of 72 ranks on 8 Mbit/s plans in time.
const LINK_PART: f64 = 0.5;
/// Bytes of a count that is told as it is. By hand: most are below 128, which
/// take one.
const COUNT_BYTES: f64 = 1.2;
/// Bytes of a draw: the distance from the one before, below 128 but for a few.
const DRAW_BYTES: f64 = 1.05;
/// Fewest draws of a layer that are worth a message.
const LEAST_DRAWS: f64 = 16.0;
/// Bits of a byte times milliseconds of a second, over bits of a megabit: bytes
/// a millisecond of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125.0;

/// Why draws do not fit a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// There is no such expert.
    #[snafu(display("no expert {expert} of {experts}"))]
    Unknown {
        /// The one drawn.
        expert: u64,
        /// Experts of the layer.
        experts: usize,
    },
    /// Not as many layers as the group has.
    #[snafu(display("draws of {found} layers; the group has {layers}"))]
    Layers {
        /// Layers told.
        found: usize,
        /// Layers of the group.
        layers: usize,
    },
}

/// How ranks tell their counts, so that the planner's link takes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPlan {
    /// Ranks that tell.
    pub ranks: usize,
    /// Draws of a layer; none where all counts are told as they are.
    pub draws: Option<u32>,
}

/// The choice for counts of `layers` and `experts`, told by `ranks` at most every
/// `interval` milliseconds into a link of so many Mbit/s.
pub fn report_plan(ranks: usize, layers: usize, experts: usize, link: f64, interval: f64) -> ReportPlan {
    let bytes = link * BYTES_PER_MBIT * interval * LINK_PART;
    let each = bytes / ranks.max(1) as f64;
    let layers = layers.max(1) as f64;
    if each >= layers * experts as f64 * COUNT_BYTES {
        return ReportPlan { ranks, draws: None };
    }
    let draws = (each / layers / DRAW_BYTES).floor();
    if draws >= LEAST_DRAWS {
        return ReportPlan { ranks, draws: Some(draws as u32) };
    }
    let fit = bytes / (layers * LEAST_DRAWS * DRAW_BYTES);
    ReportPlan { ranks: (fit as usize).clamp(1, ranks.max(1)), draws: Some(LEAST_DRAWS as u32) }
}

/// What was chosen in a layer, as it is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layer {
    /// Choices.
    pub total: u64,
    /// Experts of those that were drawn, in order.
    pub drawn: Vec<u16>,
}

impl Layer {
    /// Draws `draws` of a layer's choices at even distances, the first at `start`
    /// of a distance (0 to 1); all of them where they are fewer.
    pub fn draw(chosen: &[u64], draws: u32, start: f64) -> Self {
        let total: u64 = chosen.iter().sum();
        let drawn = total.min(u64::from(draws));
        let distance = total as f64 / drawn.max(1) as f64;
        let mut it = Self { total, drawn: Vec::with_capacity(drawn as usize) };
        let mut passed = 0.0;
        for (expert, count) in chosen.iter().enumerate() {
            passed += *count as f64;
            let next = |it: &Self| (it.drawn.len() as f64 + start) * distance;
            while it.drawn.len() < drawn as usize && next(&it) < passed {
                it.drawn.push(expert as u16);
            }
        }
        it
    }

    /// The counts that the draws stand for. Their sum is the total.
    pub fn counts(&self, experts: usize) -> Result<Vec<u64>, Error> {
        let mut counts = vec![0; experts];
        let drawn = self.drawn.len() as u64;
        for (at, expert) in (0..).zip(&self.drawn) {
            let known = usize::from(*expert) < experts;
            ensure!(known, UnknownSnafu { expert: u64::from(*expert), experts });
            let upto =
                |it: u64| (u128::from(self.total) * u128::from(it) / u128::from(drawn)) as u64;
            counts[usize::from(*expert)] += upto(at + 1) - upto(at);
        }
        Ok(counts)
    }

    /// The numbers used on the wire: how many draws, and each one's distance
    /// from the expert before.
    pub fn encode(&self) -> impl Iterator<Item = u32> {
        let before = std::iter::once(0).chain(self.drawn.iter().copied());
        let distances = self.drawn.iter().zip(before).map(|(it, before)| u32::from(it - before));
        std::iter::once(self.drawn.len() as u32).chain(distances)
    }
}

/// Reads the numbers used on the wire: `totals` of each layer, and `drawn` layer
/// by layer.
pub fn parse(totals: &[u64], drawn: &[u32], layers: usize) -> Result<Vec<Layer>, Error> {
    let mut numbers = drawn.iter();
    let mut list = Vec::new();
    for total in totals {
        let Some(draws) = numbers.next() else { break };
        let mut expert = 0_u64;
        let mut layer = Layer { total: *total, drawn: Vec::new() };
        for distance in numbers.by_ref().take(*draws as usize) {
            expert += u64::from(*distance);
            let known = u16::try_from(expert).ok();
            let Some(it) = known else {
                return UnknownSnafu { expert, experts: usize::from(u16::MAX) }.fail();
            };
            layer.drawn.push(it);
        }
        list.push(layer);
    }
    ensure!(list.len() == layers, LayersSnafu { found: list.len(), layers });
    Ok(list)
}

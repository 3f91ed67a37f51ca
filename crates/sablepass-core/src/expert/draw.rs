// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Compact encoding of a rank's expert counts by sampling.
//!
//! A rank has one count per expert and layer: 3,840 counts in a group with 10 layers of
//! 384 experts. 24 ranks that report all counts every 100 ms need 1.2 times the capacity
//! of a link of 6 Mbit/s. The planner needs the mix of all requests, of which the requests
//! of one rank are a small sample anyway. A rank therefore reports for each layer the
//! number of choices, and the experts of a few choices at equal distances (systematic
//! sampling). Each drawn choice stands for the same share of the total, so the sample is
//! unbiased. 24 ranks with 48 draws per layer represent the mix better than three ranks
//! that report all counts in the same number of bytes (`tests/draw.rs`).

use snafu::{Snafu, ensure};

/// Fraction of the planner's link that counts may use. The rest is for the state of the
/// ranks, votes and maps. A group of 72 ranks on 8 Mbit/s plans in time at 0.46.
const LINK_SHARE: f64 = 0.5;
/// Mean bytes of an encoded count. Most counts are below 128, which take one byte.
const COUNT_BYTES: f64 = 1.2;
/// Mean bytes of an encoded draw: the distance to the previous draw, which is mostly
/// below 128.
const DRAW_BYTES: f64 = 1.05;
/// Minimum number of draws per layer for a report to be useful.
const MIN_DRAWS: f64 = 16.0;
/// Bytes per millisecond at 1 Mbit/s.
const BYTES_PER_MS_AND_MBIT: f64 = 125.0;

/// A reason why draws are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The expert number is out of range.
    #[snafu(display("expert {expert} is out of range 0..{experts}"))]
    Unknown {
        /// Number of the drawn expert.
        expert: u64,
        /// Exclusive upper bound of expert numbers.
        experts: usize,
    },
    /// The number of layers differs from the group's.
    #[snafu(display("draws for {found} layers; the group has {layers}"))]
    Layers {
        /// Layers in the report.
        found: usize,
        /// Layers of the group.
        layers: usize,
    },
}

/// How many ranks report their counts and in which form, within the capacity of the
/// planner's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPlan {
    /// Number of ranks that report.
    pub ranks: usize,
    /// Draws per layer, or `None` if ranks report all counts.
    pub draws: Option<u32>,
}

/// Returns the report plan for a group with `layers` layers of `experts` experts, in which
/// at most `ranks` ranks report every `interval_ms` milliseconds over a link of
/// `link_mbps` Mbit/s.
pub fn report_plan(
    ranks: usize,
    layers: usize,
    experts: usize,
    link_mbps: f64,
    interval_ms: f64,
) -> ReportPlan {
    let bytes = link_mbps * BYTES_PER_MS_AND_MBIT * interval_ms * LINK_SHARE;
    let bytes_per_rank = bytes / ranks.max(1) as f64;
    let layers = layers.max(1) as f64;
    if bytes_per_rank >= layers * experts as f64 * COUNT_BYTES {
        return ReportPlan { ranks, draws: None };
    }
    let draws = (bytes_per_rank / layers / DRAW_BYTES).floor();
    if draws >= MIN_DRAWS {
        return ReportPlan { ranks, draws: Some(draws as u32) };
    }
    let max_ranks = bytes / (layers * MIN_DRAWS * DRAW_BYTES);
    ReportPlan { ranks: (max_ranks as usize).clamp(1, ranks.max(1)), draws: Some(MIN_DRAWS as u32) }
}

/// A rank's choices in a layer, in sampled form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layer {
    /// Number of choices.
    pub total: u64,
    /// Experts of the drawn choices, in ascending order.
    pub drawn: Vec<u16>,
}

impl Layer {
    /// Draws `draws` of a layer's choices at equal distances, or all of them if there are
    /// fewer. `start` is the offset of the first draw as a fraction of the distance.
    pub fn draw(chosen: &[u64], draws: u32, start: f64) -> Self {
        let total: u64 = chosen.iter().sum();
        let drawn = total.min(u64::from(draws));
        let distance = total as f64 / drawn.max(1) as f64;
        let mut layer = Self { total, drawn: Vec::with_capacity(drawn as usize) };
        let mut cumulative = 0.0;
        for (expert, count) in chosen.iter().enumerate() {
            cumulative += *count as f64;
            let next = |layer: &Self| (layer.drawn.len() as f64 + start) * distance;
            while layer.drawn.len() < drawn as usize && next(&layer) < cumulative {
                layer.drawn.push(expert as u16);
            }
        }
        layer
    }

    /// Returns the counts of all experts that the draws represent. Their sum is `total` if
    /// there are draws.
    ///
    /// Fails if a drawn expert is not below `experts`.
    pub fn counts(&self, experts: usize) -> Result<Vec<u64>, Error> {
        let mut counts = vec![0; experts];
        let drawn = self.drawn.len() as u64;
        for (index, expert) in (0..).zip(&self.drawn) {
            let known = usize::from(*expert) < experts;
            ensure!(known, UnknownSnafu { expert: u64::from(*expert), experts });
            let cumulative =
                |n: u64| (u128::from(self.total) * u128::from(n) / u128::from(drawn)) as u64;
            counts[usize::from(*expert)] += cumulative(index + 1) - cumulative(index);
        }
        Ok(counts)
    }

    /// Returns the numbers used on the wire: the number of draws, and for each draw the
    /// difference between its expert number and that of the previous draw.
    pub fn encode(&self) -> impl Iterator<Item = u32> {
        let previous = std::iter::once(0).chain(self.drawn.iter().copied());
        let distances =
            self.drawn.iter().zip(previous).map(|(expert, previous)| u32::from(expert - previous));
        std::iter::once(self.drawn.len() as u32).chain(distances)
    }
}

/// Decodes the numbers used on the wire: the total of each layer, and the encoded draws of
/// all layers one after the other.
///
/// Fails if an expert number exceeds 16 bits or the number of layers differs.
pub fn parse(totals: &[u64], drawn: &[u32], layers: usize) -> Result<Vec<Layer>, Error> {
    let mut numbers = drawn.iter();
    let mut decoded = Vec::new();
    for total in totals {
        let Some(draws) = numbers.next() else { break };
        let mut expert = 0_u64;
        let mut layer = Layer { total: *total, drawn: Vec::new() };
        for distance in numbers.by_ref().take(*draws as usize) {
            expert += u64::from(*distance);
            let known = u16::try_from(expert).ok();
            let Some(known) = known else {
                return UnknownSnafu { expert, experts: usize::from(u16::MAX) }.fail();
            };
            layer.drawn.push(known);
        }
        decoded.push(layer);
    }
    ensure!(decoded.len() == layers, LayersSnafu { found: decoded.len(), layers });
    Ok(decoded)
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether a group needs a new map now, and which one its ranks can prepare.
//!
//! A preparation brings few new experts to a rank. Within that bound, each
//! layer takes small steps from the map in force until it is even enough.

use crate::expert::map::{Layer, Map, Paces, Rank};
use crate::expert::place;

/// Small steps of a layer at most: a layer of 16 ranks takes about 20.
const STEPS: usize = 200;

/// When to change, and how far.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// New experts that one preparation may bring to a rank in a layer.
    pub spare: usize,
    /// Mean skew of the layers from which a new map is looked for. Default
    /// 1.7: below it a pass is within its limit at any load that is admitted, and
    /// each switch may hold a step.
    pub trigger: f64,
    /// Skew at which a layer is even enough. Default 1.15: each further step
    /// loads more weights than it saves time.
    pub goal: f64,
    /// Mean skew that a new map must save. Default 0.35: a switch has the
    /// group pass 15% slower while weights are copied, for a while.
    pub least_gain: f64,
    /// Choices in the demand below which it is not believed. Default 2,000:
    /// some ten for each expert of a layer.
    pub least_counts: f64,
}

impl Options {
    /// The defaults, for a bound on new experts.
    pub fn with_spare(spare: usize) -> Self {
        Self { spare, trigger: 1.7, goal: 1.15, least_gain: 0.35, least_counts: 2_000.0 }
    }
}

/// A map to change to.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The map.
    pub map: Map,
    /// Mean skew of the layers before.
    pub before: f64,
    /// The same after.
    pub after: f64,
    /// Experts that ranks have to load.
    pub moves: usize,
}

/// Mean lag of a map's layers under a demand: their skew, where all ranks
/// have the same pace.
pub fn mean_lag(map: &Map, demand: &[Vec<f64>], paces: &Paces) -> f64 {
    let lags = map.layers.iter().zip(demand).map(|(layer, it)| layer.lag(it, paces));
    lags.sum::<f64>() / map.layers.len().max(1) as f64
}

/// A better map, if there is one that is worth the change.
pub fn decide(options: &Options, map: &Map, demand: &[Vec<f64>], paces: &Paces) -> Option<Change> {
    let counts: f64 = demand.iter().flatten().sum();
    if counts < options.least_counts {
        return None;
    }
    let before = mean_lag(map, demand, paces);
    if before < options.trigger {
        return None;
    }
    let mut new = map.clone();
    for (layer, tokens) in new.layers.iter_mut().zip(demand) {
        *layer = even_out(options, layer, tokens, paces);
    }
    let after = mean_lag(&new, demand, paces);
    let moves = new.moves_from(map);
    (before - after >= options.least_gain).then_some(Change { map: new, before, after, moves })
}

/// Small steps of a layer that keep within the bound on new experts.
fn even_out(options: &Options, start: &Layer, tokens: &[f64], paces: &Paces) -> Layer {
    let mut layer = start.clone();
    for _ in 0..STEPS {
        if layer.lag(tokens, paces) <= options.goal {
            break;
        }
        let Some(change) = place::best_change(&layer, tokens, paces) else { break };
        let mut next = layer.clone();
        if !change.apply(&mut next) || !fits(options, start, &next) {
            break;
        }
        layer = next;
    }
    layer
}

fn fits(options: &Options, start: &Layer, next: &Layer) -> bool {
    (0..next.ranks()).all(|rank| {
        let rank = Rank(rank as u16);
        let held = next.slots_of(rank).filter_map(|slot| next.expert(slot));
        held.filter(|it| !start.holds(rank, *it)).count() <= options.spare
    })
}

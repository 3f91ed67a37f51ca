// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Decides whether a group needs a new map now, and which map its ranks prepare
//! next. Called by the planner, which runs in the agent of rank 0.
//!
//! Costs and savings are measured in time. A rank copies new experts one after the
//! other; meanwhile all passes of the group are slower, and a switch of maps adds a
//! few more passes. A more balanced map then shortens each pass for as long as the
//! current demand lasts. The search records one map for each limit on the number of
//! new experts per rank. The path from the map in force through some of these maps
//! is chosen such that the total time of all passes is minimal, and the first change
//! of that path is made. If experts take long to copy, a change brings one expert
//! per rank; if copying is fast, it brings all of them at once.

use crate::expert::map::{Expert, Layer, Map, Paces, Rank};
use crate::expert::place::Steps;
use crate::id::Millis;

/// Assumed lag of a group's first map before any expert counts are known. Experts
/// are assigned round-robin there, which gave 2.2 to 3.3 on most known deployments.
pub const INITIAL_LAG: f64 = 3.0;

/// Limits on the new experts per rank, over all layers, for which the search records
/// a map.
const COPY_LIMITS: [usize; 9] = [1, 2, 3, 4, 6, 8, 12, 16, 24];
/// Lag up to which a layer counts as balanced: further steps cost more in weight
/// loads than they save.
const BALANCED_LAG: f64 = 1.08;

/// Costs and limits of changes, and the expected duration of the demand.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// New experts that a rank may load per layer while it prepares a map.
    pub spare: usize,
    /// Milliseconds that a rank takes to copy one expert.
    pub copy_ms: f64,
    /// Fraction by which passes take longer while experts are copied. Default 0.15,
    /// as declared by the platform.
    pub slowdown: f64,
    /// Milliseconds of a change apart from copying: distribution of the proposal,
    /// votes, and the passes up to the step of the switch. Default 300.
    pub switch_ms: f64,
    /// Milliseconds that the demand is expected to last.
    pub demand_ms: f64,
    /// Fraction of a pass on a balanced map that is spent in experts; the rest of a
    /// pass takes equally long on any map. Default 0.5.
    pub expert_share: f64,
    /// Minimum milliseconds of passes that a change must save. Default 350: if
    /// demand shifts during copying, the slowdown also delays the passes after the
    /// shift, and at 150 a third of the maps saved less than that delay costs.
    pub min_saved_ms: f64,
    /// Expected ratio of a new map's measured lag to its predicted lag, see
    /// [`crate::expert::calibration`]. Default 1.
    pub optimism: f64,
    /// Minimum number of counted choices for the demand to be used. Default 2,000,
    /// which is about ten for each expert of a layer.
    pub min_choices: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            spare: 2,
            copy_ms: 40.0,
            slowdown: 0.15,
            switch_ms: 300.0,
            demand_ms: 10_000.0,
            expert_share: 0.5,
            min_saved_ms: 350.0,
            optimism: 1.0,
            min_choices: 2_000.0,
        }
    }
}

/// Back-off after an unsuccessful search, as a multiple of the search's duration.
/// Limits searches to one eleventh of the processor time.
const BACKOFF_FACTOR: Millis = 10;
/// Growth of the map's lag that ends the back-off early, to react to a shift of demand
/// that was not detected.
const BACKOFF_LAG_GROWTH: f64 = 1.08;

/// The time after an unsuccessful search during which no further search is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchBackoff {
    until: Millis,
    /// Lag of the map in force at the time of the search.
    lag: f64,
}

impl SearchBackoff {
    /// Starts the back-off after a search from `started` to `ended`, with the lag of
    /// the map in force.
    pub fn start(started: Millis, ended: Millis, lag: f64) -> Self {
        Self { until: ended + ended.saturating_sub(started) * BACKOFF_FACTOR, lag }
    }

    /// Returns whether searches are still to be skipped, given the current lag of the
    /// map in force.
    pub fn is_active(&self, now: Millis, lag: f64) -> bool {
        now < self.until && lag < self.lag * BACKOFF_LAG_GROWTH
    }
}

/// A change from the map in force to a better map.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The new map.
    pub map: Map,
    /// Mean lag of the map in force over its layers.
    pub lag_before: f64,
    /// Mean lag of the new map over its layers.
    pub lag_after: f64,
    /// Experts that all ranks together have to load.
    pub moves: usize,
    /// New experts of the rank that gets most of them, over all layers.
    pub max_copies: usize,
    /// Milliseconds of passes saved while the demand lasts.
    pub saved_ms: f64,
}

/// A map recorded by the search.
struct Point {
    map: Map,
    lag: f64,
    /// New experts of the rank that gets most of them.
    max_copies: usize,
}

/// Returns the mean lag of a map's layers under a demand. Equals the mean skew if all
/// ranks have the same pace.
pub fn mean_lag(map: &Map, demand: &[Vec<f64>], paces: &Paces) -> f64 {
    let lags = map.layers.iter().zip(demand).map(|(layer, tokens)| layer.lag(tokens, paces));
    lags.sum::<f64>() / map.layers.len().max(1) as f64
}

/// Returns the next change on the best path to a more balanced map, or `None` if no
/// path saves at least `min_saved_ms` or too few choices were counted.
pub fn decide(options: &Options, map: &Map, demand: &[Vec<f64>], paces: &Paces) -> Option<Change> {
    let choices: f64 = demand.iter().flatten().sum();
    if choices < options.min_choices {
        return None;
    }
    let mut points = search(options, map, demand, paces);
    let path = Path { options, points: &points };
    let (first, spent) = path.best(0, options.demand_ms);
    let saved_ms = path.pass(0) * options.demand_ms - spent;
    let first = first.filter(|_| saved_ms >= options.min_saved_ms)?;
    let lag_before = points[0].lag;
    let Point { map: new, lag: lag_after, max_copies } = points.swap_remove(first);
    let moves = new.moves_from(map);
    Some(Change { map: new, lag_before, lag_after, moves, max_copies, saved_ms })
}

/// Returns the map with second replicas of experts in its empty slots, with at most
/// `spare` new experts per rank and layer, or `None` if no slot can be filled. More
/// experts then have two replicas already when demand shifts to them.
pub fn fill(spare: usize, map: &Map) -> Option<Map> {
    let mut new = map.clone();
    for layer in &mut new.layers {
        fill_layer(spare, layer);
    }
    (new != *map).then_some(new)
}

fn fill_layer(spare: usize, layer: &mut Layer) {
    let mut next = 0;
    for round in 0..spare {
        for rank in (0..layer.ranks()).map(|it| Rank(it as u16)) {
            let empty = layer.slots_of(rank).find(|it| layer.expert(*it).is_none());
            let Some(slot) = empty else { continue };
            let start = next;
            let fits = |it: &Expert| !layer.holds(rank, *it) && layer.replicas(*it) == 1;
            let order = (start..layer.experts()).chain(0..start).map(|it| Expert(it as u16));
            if let Some(expert) = order.into_iter().find(fits) {
                layer.put(slot, expert);
                next = (usize::from(expert.0) + 1 + round) % layer.experts();
            }
        }
    }
}

/// Returns the map in force, followed by maps with decreasing lag and increasing
/// numbers of new experts.
fn search(options: &Options, map: &Map, demand: &[Vec<f64>], paces: &Paces) -> Vec<Point> {
    let start = Point { map: map.clone(), lag: mean_lag(map, demand, paces), max_copies: 0 };
    let mut points = vec![start];
    let mut search = Search::new(options, map, demand, paces);
    let max_limit = options.spare * map.layers.len();
    for limit in COPY_LIMITS.into_iter().take_while(|it| *it <= max_limit) {
        search.balance(limit);
        let (map, lag) = search.map();
        let max_copies = search.new.iter().copied().max().unwrap_or(0);
        if points.last().is_none_or(|it| lag < it.lag) {
            points.push(Point { map, lag, max_copies });
        }
        if max_copies as f64 * options.copy_ms >= options.demand_ms {
            break;
        }
    }
    points
}

/// A sequence of small changes from the map in force, within the limits on new experts.
struct Search<'a> {
    options: &'a Options,
    start: &'a Map,
    layers: Vec<Steps<'a>>,
    /// New experts of each rank, by layer.
    new_by_layer: Vec<Vec<usize>>,
    /// New experts of each rank, over all layers.
    new: Vec<usize>,
}

impl<'a> Search<'a> {
    fn new(options: &'a Options, start: &'a Map, demand: &'a [Vec<f64>], paces: &'a Paces) -> Self {
        let new = vec![0; start.shape.ranks];
        let new_by_layer = vec![new.clone(); start.layers.len()];
        let layers = start.layers.iter().zip(demand);
        let layers =
            layers.map(|(layer, tokens)| Steps::new(layer.clone(), tokens, paces)).collect();
        Self { options, start, layers, new_by_layer, new }
    }

    /// Returns the current map and its mean lag.
    fn map(&self) -> (Map, f64) {
        let layers = self.layers.iter().map(|it| it.layer().clone()).collect();
        let lags = self.layers.iter().map(Steps::lag).sum::<f64>();
        (Map { shape: self.start.shape, layers }, lags / self.layers.len().max(1) as f64)
    }

    /// Applies changes, always to the layer with the largest lag, until all layers are
    /// balanced or no change leaves every rank at `limit` new experts or less.
    fn balance(&mut self, limit: usize) {
        let mut lags: Vec<f64> = self.layers.iter().map(Steps::lag).collect();
        loop {
            let worst = (0..lags.len()).max_by(|a, b| lags[*a].total_cmp(&lags[*b]));
            let Some(layer) = worst.filter(|it| lags[*it] > BALANCED_LAG) else { return };
            if self.step(layer, limit) {
                lags[layer] = self.layers[layer].lag();
            } else {
                // No change within the limit improves this layer.
                lags[layer] = 0.0;
            }
        }
    }

    /// Applies the best change of a layer. Returns `false` if there is none.
    fn step(&mut self, index: usize, limit: usize) -> bool {
        let (start, new_here) = (&self.start.layers[index], &self.new_by_layer[index]);
        let allowed = |rank: Rank, expert| {
            let rank_index = usize::from(rank.0);
            let free = new_here[rank_index] < self.options.spare && self.new[rank_index] < limit;
            free || start.holds(rank, expert)
        };
        let change = self.layers[index].best(allowed);
        let Some(change) = change.filter(|it| self.layers[index].apply(*it)) else {
            return false;
        };
        for slot in change.slots() {
            let layer = self.layers[index].layer();
            let rank = layer.rank(slot);
            let rank_index = usize::from(rank.0);
            let count = new_experts(start, layer, rank);
            self.new[rank_index] =
                self.new[rank_index] + count - self.new_by_layer[index][rank_index];
            self.new_by_layer[index][rank_index] = count;
        }
        true
    }
}

/// Returns the number of experts that a rank holds now and did not hold at the start.
fn new_experts(start: &Layer, layer: &Layer, rank: Rank) -> usize {
    let held = layer.slots_of(rank).filter_map(|it| layer.expert(it));
    held.filter(|it| !start.holds(rank, *it)).count()
}

/// Evaluates paths along the maps recorded by a search.
struct Path<'a> {
    options: &'a Options,
    points: &'a [Point],
}

impl Path<'_> {
    /// Returns the time of a pass on a map, relative to a pass on a balanced map. The
    /// lag of maps other than the one in force is a prediction and is corrected.
    fn pass(&self, at: usize) -> f64 {
        let factor = if at > 0 { self.options.optimism } else { 1.0 };
        1.0 - self.options.expert_share + self.options.expert_share * self.points[at].lag * factor
    }

    /// Returns the next point on the best path from a point, or `None` if staying is
    /// best, and the total time of the passes in the `remaining` milliseconds of the
    /// demand, weighted by the time of a pass.
    fn best(&self, at: usize, remaining: f64) -> (Option<usize>, f64) {
        let mut best = (None, self.pass(at) * remaining);
        for next in at + 1..self.points.len() {
            let copies = self.points[next].max_copies.saturating_sub(self.points[at].max_copies);
            let copying = copies as f64 * self.options.copy_ms;
            let time = copying + self.options.switch_ms;
            if time >= remaining {
                continue;
            }
            let before = self.pass(at) * (time + copying * self.options.slowdown);
            let spent = before + self.best(next, remaining - time).1;
            if spent < best.1 {
                best = (Some(next), spent);
            }
        }
        best
    }
}

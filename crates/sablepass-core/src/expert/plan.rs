// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether to move experts, and which: what a new map saves in step time
//! over a horizon, against what it costs to get there.
//!
//! Everything is measured in steps. A layer's skew above 1 lengthens each
//! step by that much of the layer's share; loading one expert's weights
//! delays as much work as `move_cost` steps.

use crate::expert::drift::Estimate;
use crate::expert::map::{Layer, Map, Paces};
use crate::expert::place;

/// Most small steps tried for one layer: with each one, a rank that was the
/// worst is relieved, so some more than there are ranks find what there is.
const LAYER_STEPS: usize = 64;

/// What moving and not moving cost.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Weight of step-time skew.
    pub skew_weight: f64,
    /// Weight of rebalancing cost.
    pub move_weight: f64,
    /// Steps that a new map is expected to serve. Default 3,000.
    pub horizon: f64,
    /// Work in steps that one loading of weights delays. Default 0.5.
    pub move_cost: f64,
    /// Most loadings of weights in one plan. Default 256: the store is rate-limited.
    pub budget: usize,
    /// Gain a layer must promise, in skew, before it is touched. Default 0.02.
    pub min_gain: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            skew_weight: 1.0,
            move_weight: 1.0,
            horizon: 3_000.0,
            move_cost: 0.5,
            budget: 256,
            min_gain: 0.02,
        }
    }
}

/// What was decided, and why.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Keep the map.
    Keep(Reason),
    /// Change to this map.
    Change {
        /// The new map.
        map: Map,
        /// Loadings of weights.
        moves: usize,
        /// Steps saved over the horizon.
        saved: f64,
        /// Steps of work delayed by loading.
        cost: f64,
    },
}

/// Why a map is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No counts have come.
    NoCounts,
    /// The operator's quiet hours.
    QuietHours,
    /// No set of moves saves more than it costs.
    NotWorth,
    /// An earlier change is under way.
    Switching,
    /// The last change is not long ago.
    TooSoon,
    /// Not all members can be reached.
    MemberAway,
}

impl Reason {
    /// The counter label.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoCounts => "no-counts",
            Self::QuietHours => "quiet-hours",
            Self::NotWorth => "not-worth",
            Self::Switching => "switching",
            Self::TooSoon => "too-soon",
            Self::MemberAway => "member-away",
        }
    }
}

/// Whether an hour of the day lies within quiet hours, which may span midnight.
pub fn in_quiet_hours(hours: Option<[u8; 2]>, hour: u8) -> bool {
    match hours {
        None => false,
        Some([from, to]) if from <= to => (from..to).contains(&hour),
        Some([from, to]) => hour >= from || hour < to,
    }
}

/// A point on a layer's way to balance: so many loadings for so much skew less.
#[derive(Clone)]
struct Point {
    moves: usize,
    gain: f64,
    layer: Layer,
}

/// A stretch of a layer's way, from the point before to this one, that saves
/// more a loading than any later stretch.
struct Stretch {
    layer: usize,
    point: usize,
    moves: usize,
    /// Steps saved over the horizon.
    saved: f64,
}

/// Decides on a map.
///
/// Each layer's way to balance is a row of small steps. Of all layers' ways
/// together, the stretches that save the most for each loading are taken
/// first, as far as they save more than they cost and the budget lasts. Were
/// whole layers taken instead, the first ones would use up the budget on
/// their last, least useful steps.
pub fn decide(options: &Options, map: &Map, estimate: &Estimate) -> Decision {
    if !estimate.has_counts() {
        return Decision::Keep(Reason::NoCounts);
    }
    let tokens = estimate.tokens();
    let layers = map.shape.layers as f64;
    let ways: Vec<Vec<Point>> =
        map.layers.iter().zip(&tokens).map(|(layer, it)| way(options, layer, it, layers)).collect();
    let mut stretches: Vec<Stretch> = ways
        .iter()
        .enumerate()
        .flat_map(|(layer, way)| hull(options, layer, way, layers))
        .collect();
    let worth = |it: &Stretch| it.saved / it.moves as f64;
    stretches.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
    let chosen = choose(options, &ways, &stretches);
    let mut new = map.clone();
    let (mut moves, mut saved) = (0, 0.0);
    for (index, point) in chosen.iter().enumerate() {
        let Some(point) = point.map(|it| &ways[index][it]) else { continue };
        if point.gain < options.min_gain {
            continue;
        }
        moves += point.moves;
        saved += point.gain / layers * options.horizon;
        new.layers[index] = point.layer.clone();
    }
    if moves == 0 {
        return Decision::Keep(Reason::NotWorth);
    }
    Decision::Change { map: new, moves, saved, cost: moves as f64 * options.move_cost }
}

/// The small steps of a layer, while what is left to gain may be worth one more.
fn way(options: &Options, layer: &Layer, tokens: &[f64], layers: f64) -> Vec<Point> {
    let start = layer.skew(tokens);
    let mut current = layer.clone();
    let mut points = Vec::new();
    let mut moves = 0;
    for _ in 0..LAYER_STEPS {
        let left = (current.skew(tokens) - 1.0) / layers * options.horizon;
        if left * options.skew_weight < options.move_cost * options.move_weight {
            break;
        }
        let Some(change) = place::best_change(&current, tokens, &Paces::default()) else { break };
        if !change.apply(&mut current) {
            break;
        }
        moves += change.moves();
        let gain = start - current.skew(tokens);
        points.push(Point { moves, gain, layer: current.clone() });
    }
    points
}

/// The stretches of a way that are worth their cost, each less so than the
/// one before: the upper concave hull of gain over loadings.
fn hull(options: &Options, layer: usize, way: &[Point], layers: f64) -> Vec<Stretch> {
    let mut stretches = Vec::new();
    let (mut moves, mut gain) = (0, 0.0);
    let mut next = 0;
    while next < way.len() {
        let slope = |it: &Point| (it.gain - gain) / (it.moves - moves) as f64;
        let steepest = (next..way.len()).max_by(|a, b| slope(&way[*a]).total_cmp(&slope(&way[*b])));
        let Some(point) = steepest else { break };
        let step = slope(&way[point]) / layers * options.horizon;
        if step * options.skew_weight <= options.move_cost * options.move_weight || step <= 0.0 {
            break;
        }
        let span = way[point].moves - moves;
        stretches.push(Stretch { layer, point, moves: span, saved: step * span as f64 });
        (moves, gain) = (way[point].moves, way[point].gain);
        next = point + 1;
    }
    stretches
}

/// How far each layer goes on its way within the budget.
fn choose(options: &Options, ways: &[Vec<Point>], stretches: &[Stretch]) -> Vec<Option<usize>> {
    let mut chosen = vec![None; ways.len()];
    let mut stopped = vec![false; ways.len()];
    let mut moves = 0;
    for it in stretches {
        if stopped[it.layer] {
            continue;
        }
        if moves + it.moves > options.budget {
            // Later stretches of this layer build on this one.
            stopped[it.layer] = true;
            continue;
        }
        moves += it.moves;
        chosen[it.layer] = Some(it.point);
    }
    chosen
}

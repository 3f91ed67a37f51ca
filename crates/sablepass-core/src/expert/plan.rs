// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Decides whether to move experts, and which: compares the step time that a new
//! map saves over a horizon with the cost of loading the weights it requires.
//!
//! Savings and costs are measured in steps. A layer's skew above 1 lengthens each
//! step by that fraction of the layer's share of the step. Loading the weights of
//! one expert delays `move_cost` steps of work.

use crate::expert::drift::Estimate;
use crate::expert::map::{Layer, Map, Paces};
use crate::expert::place;

/// Maximum number of changes tried per layer. Each change relieves the most
/// loaded rank, so somewhat more changes than ranks find the available gain.
const MAX_LAYER_CHANGES: usize = 64;

/// Weights, costs and limits of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Weight of step-time skew.
    pub skew_weight: f64,
    /// Weight of rebalancing cost.
    pub move_weight: f64,
    /// Steps that a new map is expected to remain in use. Default 3,000.
    pub horizon: f64,
    /// Steps of work that one load of weights delays. Default 0.5.
    pub move_cost: f64,
    /// Maximum number of weight loads per plan. Default 256, because the weight
    /// store is rate-limited.
    pub budget: usize,
    /// Minimum reduction of a layer's skew for the layer to be changed. Default 0.02.
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

/// The outcome of [`decide`].
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Keep the current map.
    Keep(Reason),
    /// Change to a new map.
    Change {
        /// The new map.
        map: Map,
        /// Weight loads that the change requires.
        moves: usize,
        /// Steps saved over the horizon.
        saved: f64,
        /// Steps of work delayed by loading weights.
        cost: f64,
    },
}

/// Why a map is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No expert counts have been received.
    NoCounts,
    /// The current hour is within the quiet hours set by the operator.
    QuietHours,
    /// No set of moves saves more than it costs.
    NotWorth,
    /// A switch to another map is in progress.
    Switching,
    /// The minimum interval since the last change has not passed.
    TooSoon,
    /// At least one member of the group is unreachable.
    MemberAway,
}

impl Reason {
    /// Returns the value of the metric label.
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

/// Returns whether an hour of the day lies within quiet hours, given as start and
/// exclusive end. The range may span midnight.
pub fn in_quiet_hours(hours: Option<[u8; 2]>, hour: u8) -> bool {
    match hours {
        None => false,
        Some([from, to]) if from <= to => (from..to).contains(&hour),
        Some([from, to]) => hour >= from || hour < to,
    }
}

/// The state of a layer after some changes of its sequence.
#[derive(Clone)]
struct Point {
    /// Weight loads since the start of the sequence.
    moves: usize,
    /// Reduction of the layer's skew since the start of the sequence.
    gain: f64,
    layer: Layer,
}

/// A segment of a layer's sequence of changes, which ends at `point` and saves more
/// per weight load than any later segment.
struct Segment {
    layer: usize,
    /// Index of the last point of the segment.
    point: usize,
    moves: usize,
    /// Steps saved over the horizon.
    saved: f64,
}

/// Decides whether to keep the map or to change to a better one.
///
/// For each layer, a sequence of small changes towards balance is computed and cut
/// into segments. The segments of all layers are applied in descending order of
/// savings per weight load, as long as they save more than they cost and fit the
/// budget. Applying whole sequences layer by layer would spend the budget on the
/// least useful changes of the first layers.
pub fn decide(options: &Options, map: &Map, estimate: &Estimate) -> Decision {
    if !estimate.has_counts() {
        return Decision::Keep(Reason::NoCounts);
    }
    let tokens = estimate.tokens();
    let layers = map.shape.layers as f64;
    let sequences: Vec<Vec<Point>> = map
        .layers
        .iter()
        .zip(&tokens)
        .map(|(layer, tokens)| changes(options, layer, tokens, layers))
        .collect();
    let mut segments: Vec<Segment> = sequences
        .iter()
        .enumerate()
        .flat_map(|(layer, points)| hull(options, layer, points, layers))
        .collect();
    let saved_per_move = |it: &Segment| it.saved / it.moves as f64;
    segments.sort_by(|a, b| saved_per_move(b).total_cmp(&saved_per_move(a)));
    let chosen = choose(options, &sequences, &segments);
    let mut new = map.clone();
    let (mut moves, mut saved) = (0, 0.0);
    for (index, point) in chosen.iter().enumerate() {
        let Some(point) = point.map(|it| &sequences[index][it]) else { continue };
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

/// Computes the sequence of changes of a layer. The sequence ends when the largest
/// remaining gain is worth less than one weight load.
fn changes(options: &Options, layer: &Layer, tokens: &[f64], layers: f64) -> Vec<Point> {
    let start = layer.skew(tokens);
    let mut current = layer.clone();
    let mut points = Vec::new();
    let mut moves = 0;
    for _ in 0..MAX_LAYER_CHANGES {
        let remaining = (current.skew(tokens) - 1.0) / layers * options.horizon;
        if remaining * options.skew_weight < options.move_cost * options.move_weight {
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

/// Returns the segments of a sequence that are worth their cost, in descending
/// order of savings per weight load: the upper concave hull of gain over loads.
fn hull(options: &Options, layer: usize, points: &[Point], layers: f64) -> Vec<Segment> {
    let mut segments = Vec::new();
    let (mut moves, mut gain) = (0, 0.0);
    let mut next = 0;
    while next < points.len() {
        let slope = |it: &Point| (it.gain - gain) / (it.moves - moves) as f64;
        let steepest =
            (next..points.len()).max_by(|a, b| slope(&points[*a]).total_cmp(&slope(&points[*b])));
        let Some(point) = steepest else { break };
        let saved_per_move = slope(&points[point]) / layers * options.horizon;
        if saved_per_move * options.skew_weight <= options.move_cost * options.move_weight
            || saved_per_move <= 0.0
        {
            break;
        }
        let span = points[point].moves - moves;
        segments.push(Segment { layer, point, moves: span, saved: saved_per_move * span as f64 });
        (moves, gain) = (points[point].moves, points[point].gain);
        next = point + 1;
    }
    segments
}

/// Returns, for each layer, the index of the last point of its sequence that fits the
/// budget, or `None` if the layer stays as it is.
fn choose(options: &Options, sequences: &[Vec<Point>], segments: &[Segment]) -> Vec<Option<usize>> {
    let mut chosen = vec![None; sequences.len()];
    let mut stopped = vec![false; sequences.len()];
    let mut moves = 0;
    for segment in segments {
        if stopped[segment.layer] {
            continue;
        }
        if moves + segment.moves > options.budget {
            // Later segments of this layer depend on this one.
            stopped[segment.layer] = true;
            continue;
        }
        moves += segment.moves;
        chosen[segment.layer] = Some(segment.point);
    }
    chosen
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The `experts` subcommand: compares policies for expert maps under the same drift.
//!
//! All policies receive the same token counts, delayed and with some reports lost, and start from a
//! map built for the initial popularity. The most loaded rank determines the duration of a step, so
//! a skew of 1.2 loses a fifth of a step. A new map takes effect once its weights are loaded, and
//! loading delays other work.

use std::collections::VecDeque;
use std::path::PathBuf;

use sablepass_core::expert::drift::{self as estimate, Estimate};
use sablepass_core::expert::map::{self, Map, Shape};
use sablepass_core::expert::place;
use sablepass_core::expert::plan::{self, Decision};
use snafu::Snafu;

use crate::drift::{Kind, Source};
use crate::trace;

/// Steps between two reports of token counts.
const SAMPLE_STEPS: u64 = 10;

/// Errors that prevent an experiment.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The trace cannot be used.
    #[snafu(transparent)]
    Trace {
        /// Cause.
        source: trace::Error,
    },
    /// No map can be built for the shape.
    #[snafu(display("cannot build a map for this shape: {source}"))]
    Shape {
        /// Cause.
        source: map::Error,
    },
    /// A size of the shape is out of range.
    #[snafu(display("ranks, layers, experts and slots must be 1 to 4096"))]
    Size,
}

/// Weights of the two costs in the decision on a new map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the steps lost to skew.
    pub skew: f64,
    /// Weight of the work delayed by moves of experts.
    pub moves: f64,
}

/// Weights of an operator for whom steps lost to skew cost more than moves.
const TATRANSKA: Weights = Weights { skew: 1.0, moves: 0.2 };
/// Weights of an operator for whom moves cost more than steps lost to skew.
const MASA: Weights = Weights { skew: 0.2, moves: 1.0 };

/// Parses weights of the form `skew=X,moves=Y`.
pub fn parse_weights(text: &str) -> Result<Weights, String> {
    let bad =
        || format!("invalid weights {text:?}; expected skew=X,moves=Y with numbers of 0 or more");
    let mut weights = Weights { skew: f64::NAN, moves: f64::NAN };
    for part in text.split(',') {
        let (name, value) = part.split_once('=').ok_or_else(bad)?;
        let value: f64 = value.parse().map_err(|_| bad())?;
        match name {
            "skew" => weights.skew = value,
            "moves" => weights.moves = value,
            _ => return Err(bad()),
        }
    }
    let fits = weights.skew >= 0.0 && weights.moves >= 0.0;
    if fits { Ok(weights) } else { Err(bad()) }
}

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the synthetic drift.
    pub seed: u64,
    /// File with a trace to use instead of synthetic drift.
    pub trace: Option<PathBuf>,
    /// Weights of an additional policy.
    pub weights: Option<Weights>,
    /// Shape of the group's expert maps.
    pub shape: Shape,
    /// Steps of synthetic drift.
    pub steps: u64,
    /// Steps between two decisions.
    pub period: u64,
    /// Delay of the counts, in steps.
    pub lag: u64,
    /// Work that loading one expert delays, in steps.
    pub move_cost: f64,
    /// Time to load one expert from the store, in steps.
    pub load_steps: f64,
    /// Size of one expert's weights in a layer, in bytes.
    pub expert_bytes: f64,
    /// Whether to print JSON lines instead of a table.
    pub json: bool,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    /// Keeps the initial map.
    Never,
    /// Builds a new map at every decision.
    Rebuild,
    /// Makes every move that reduces skew, regardless of its cost.
    Greedy,
    /// Decides as the planner does, with these weights.
    Weighed(Weights),
}

impl Policy {
    /// Returns the map to change to, if any.
    fn decide(self, options: &Options, map: &Map, estimate: &Estimate) -> Option<Map> {
        let weighed = |weights: Weights| plan::Options {
            skew_weight: weights.skew,
            move_weight: weights.moves,
            move_cost: options.move_cost,
            ..plan::Options::default()
        };
        let plan = match self {
            Self::Never => return None,
            Self::Rebuild => return place::rebuild(options.shape, &estimate.tokens()).ok(),
            Self::Greedy => plan::Options {
                budget: usize::MAX,
                min_gain: 0.0,
                ..weighed(Weights { skew: 1.0, moves: 0.0 })
            },
            Self::Weighed(weights) => weighed(weights),
        };
        match plan::decide(&plan, map, estimate) {
            Decision::Keep(_) => None,
            Decision::Change { map, .. } => Some(map),
        }
    }
}

/// State of one policy in an experiment.
struct Run {
    policy: Policy,
    name: &'static str,
    map: Map,
    estimate: Estimate,
    /// The next map and the step at which all its weights are loaded.
    loading: Option<(u64, Map)>,
    /// Mean skew of all layers, by sample.
    skews: Vec<f64>,
    moves: usize,
}

impl Run {
    fn step(&mut self, step: u64, tokens: &[Vec<f64>]) {
        if let Some((loaded_at, map)) = self.loading.take_if(|it| it.0 <= step) {
            debug_assert!(loaded_at <= step);
            self.map = map;
        }
        let skews = self.map.skews(tokens);
        self.skews.push(skews.iter().sum::<f64>() / skews.len() as f64);
    }

    fn decide(&mut self, options: &Options, step: u64) {
        if self.loading.is_some() {
            return;
        }
        let Some(map) = self.policy.decide(options, &self.map, &self.estimate) else {
            return;
        };
        let moves = map.moves_from(&self.map);
        self.moves += moves;
        let loaded_at = step + (moves as f64 * options.load_steps).ceil() as u64;
        self.loading = Some((loaded_at, map));
    }
}

/// Results of one policy under one kind of drift.
struct Row {
    drift: &'static str,
    policy: &'static str,
    mean_skew: f64,
    p95_skew: f64,
    /// Excess of the mean skew over the bound, in percent.
    over_bound: f64,
    moves: usize,
    /// Bytes loaded from the store.
    bytes: f64,
    /// Steps lost to skew.
    lost_steps: f64,
    /// Work delayed by loading, in steps.
    delayed_steps: f64,
    /// Weighted sum of the two costs, by the weights in `TATRANSKA` and `MASA`.
    costs: [f64; 2],
}

/// Runs the experiment and prints its results.
pub fn run(options: &Options) -> Result<(), Error> {
    let shape = options.shape;
    let sizes = [shape.ranks, shape.layers, shape.experts, shape.slots];
    if sizes.iter().any(|it| !(1..=4_096).contains(it)) {
        return Err(Error::Size);
    }
    let rows = match &options.trace {
        Some(file) => {
            let trace = trace::open(file, shape)?;
            let mut samples = trace.into_iter();
            experiment(options, "trace", || {
                samples.next().map(|it| (it.0, it.1.clone(), Some(it.1)))
            })?
        }
        None => synthetic(options)?,
    };
    print(options, &rows);
    Ok(())
}

/// Runs all policies under each kind of synthetic drift.
fn synthetic(options: &Options) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    for kind in Kind::ALL {
        let mut source = Source::open(kind, options.shape, options.steps, options.seed);
        let mut step = 0;
        let next = || {
            if step >= options.steps {
                return None;
            }
            source.advance(SAMPLE_STEPS);
            let counts = source.draw(&source.expected(step));
            let report = (!source.loses_report()).then(|| counts.clone());
            step += SAMPLE_STEPS;
            Some((step, counts, report))
        };
        rows.extend(experiment(options, kind.label(), next)?);
    }
    Ok(rows)
}

/// Step, token counts by layer and expert, and the reported counts unless the report is lost.
type Sample = (u64, Vec<Vec<f64>>, Option<Vec<Vec<f64>>>);

/// Runs all policies on the samples that `next` returns.
fn experiment(
    options: &Options,
    drift: &'static str,
    mut next: impl FnMut() -> Option<Sample>,
) -> Result<Vec<Row>, Error> {
    let shape = options.shape;
    let mut runs: Vec<Run> = Vec::new();
    let mut delayed: VecDeque<(u64, Vec<Vec<f64>>)> = VecDeque::new();
    let mut bounds = Vec::new();
    let mut next_decision = options.period;
    while let Some((step, counts, report)) = next() {
        if runs.is_empty() {
            let map = place::rebuild(shape, &counts).map_err(|source| Error::Shape { source })?;
            runs = start(options, &map);
        }
        delayed.extend(report.map(|it| (step, it)));
        while delayed.front().is_some_and(|it| it.0 + options.lag <= step) {
            let Some((reported_step, report)) = delayed.pop_front() else {
                break;
            };
            for run in &mut runs {
                run.estimate.observe(reported_step, &report);
            }
        }
        bounds.push(bound(shape, &counts));
        for run in &mut runs {
            run.step(step, &counts);
            if step >= next_decision {
                run.decide(options, step);
            }
        }
        if step >= next_decision {
            next_decision += options.period;
        }
    }
    let bound = bounds.iter().sum::<f64>() / bounds.len().max(1) as f64;
    Ok(runs.into_iter().map(|it| row(options, drift, bound, it)).collect())
}

/// Creates the state of each policy, all with the same initial map.
fn start(options: &Options, map: &Map) -> Vec<Run> {
    let mut policies = vec![
        ("never", Policy::Never),
        ("rebuild", Policy::Rebuild),
        ("greedy", Policy::Greedy),
        ("ours, Tatranska", Policy::Weighed(TATRANSKA)),
        ("ours, Masa Norte", Policy::Weighed(MASA)),
    ];
    policies.extend(options.weights.map(|it| ("ours, given", Policy::Weighed(it))));
    let shape = options.shape;
    let run = |(name, policy)| Run {
        policy,
        name,
        map: map.clone(),
        estimate: Estimate::new(estimate::Options::default(), shape.layers, shape.experts),
        loading: None,
        skews: Vec::new(),
        moves: 0,
    };
    policies.into_iter().map(run).collect()
}

/// Lower bound of the skew of any placement: 1, or the skew that the most popular expert causes
/// with as many copies as the slots allow. Returns the mean over all layers.
fn bound(shape: Shape, tokens: &[Vec<f64>]) -> f64 {
    let copies = shape.ranks.min(shape.ranks * shape.slots + 1 - shape.experts) as f64;
    let layer = |experts: &Vec<f64>| {
        let mean = experts.iter().sum::<f64>() / shape.ranks as f64;
        let hottest = experts.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { (hottest / copies / mean).max(1.0) } else { 1.0 }
    };
    tokens.iter().map(layer).sum::<f64>() / tokens.len() as f64
}

/// Computes the results of a finished run.
fn row(options: &Options, drift: &'static str, bound: f64, run: Run) -> Row {
    let mut skews = run.skews;
    let samples = skews.len().max(1) as f64;
    let mean_skew = skews.iter().sum::<f64>() / samples;
    skews.sort_by(f64::total_cmp);
    let p95_skew = skews.get(skews.len() * 95 / 100).copied().unwrap_or(1.0);
    let steps = if options.trace.is_some() { samples } else { options.steps as f64 };
    let lost_steps = (mean_skew - 1.0) * steps;
    let delayed_steps = run.moves as f64 * options.move_cost;
    let cost = |weights: Weights| weights.skew * lost_steps + weights.moves * delayed_steps;
    Row {
        drift,
        policy: run.name,
        mean_skew,
        p95_skew,
        over_bound: (mean_skew / bound - 1.0) * 100.0,
        moves: run.moves,
        bytes: run.moves as f64 * options.expert_bytes,
        lost_steps,
        delayed_steps,
        costs: [cost(TATRANSKA), cost(MASA)],
    }
}

fn print(options: &Options, rows: &[Row]) {
    if options.json {
        for row in rows {
            let line = serde_json::json!({
                "drift": row.drift, "policy": row.policy, "skew_mean": row.mean_skew, "skew_p95": row.p95_skew,
                "over_bound_percent": row.over_bound, "moves": row.moves, "bytes": row.bytes,
                "steps_lost": row.lost_steps, "steps_delayed": row.delayed_steps,
                "cost_tatranska": row.costs[0], "cost_masa_norte": row.costs[1],
            });
            println!("{line}");
        }
        return;
    }
    println!(
        "{:<8} {:<17} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "drift",
        "policy",
        "skew",
        "p95",
        "bound+%",
        "moves",
        "GB",
        "lost",
        "delayed",
        "cost T",
        "cost M"
    );
    for row in rows {
        println!(
            "{:<8} {:<17} {:>6.3} {:>6.3} {:>7.1} {:>8} {:>8.1} {:>8.0} {:>8.0} {:>10.0} {:>10.0}",
            row.drift,
            row.policy,
            row.mean_skew,
            row.p95_skew,
            row.over_bound,
            row.moves,
            row.bytes / 1e9,
            row.lost_steps,
            row.delayed_steps,
            row.costs[0],
            row.costs[1]
        );
    }
}

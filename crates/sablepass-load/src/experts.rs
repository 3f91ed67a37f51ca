// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Policies for expert maps, compared under the same drift.
//!
//! Every policy sees the same counts, late and with gaps, and starts from a
//! map made for the popularity at the start. A step lasts as long as its most
//! loaded rank needs, so a skew of 1.2 loses a fifth of a step. A change of
//! map takes effect when its weights are loaded; loading delays other work.

use std::collections::VecDeque;
use std::path::PathBuf;

use sablepass_core::expert::drift::{self as estimate, Estimate};
use sablepass_core::expert::map::{self, Map, Shape};
use sablepass_core::expert::place;
use sablepass_core::expert::plan::{self, Decision};
use snafu::Snafu;

use crate::drift::{Kind, Source};
use crate::trace;

/// Steps between two counts.
const SAMPLE: u64 = 10;

/// Why an experiment cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The trace cannot be used.
    #[snafu(transparent)]
    Trace {
        /// Why.
        source: trace::Error,
    },
    /// The shape holds no map.
    #[snafu(display("no map fits the shape: {source}"))]
    Shape {
        /// Why.
        source: map::Error,
    },
    /// A size is 0 or too large.
    #[snafu(display("ranks, layers, experts and slots must be 1 to 4096"))]
    Size,
}

/// Weights of skew and of moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Of steps lost to skew.
    pub skew: f64,
    /// Of work delayed by moves.
    pub moves: f64,
}

/// Tatranská: skew weighs most.
const TATRANSKA: Weights = Weights { skew: 1.0, moves: 0.2 };
/// Masa Norte: rebalancing cost weighs most.
const MASA: Weights = Weights { skew: 0.2, moves: 1.0 };

/// Reads `skew=X,moves=Y`.
pub fn parse_weights(text: &str) -> Result<Weights, String> {
    let bad = || format!("{text:?} does not read skew=X,moves=Y with numbers of 0 or more");
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

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed.
    pub seed: u64,
    /// A trace instead of made-up drift.
    pub trace: Option<PathBuf>,
    /// One more row.
    pub weights: Option<Weights>,
    /// Size of the group.
    pub shape: Shape,
    /// Steps.
    pub steps: u64,
    /// Steps between two decisions.
    pub period: u64,
    /// Steps by which counts lag.
    pub lag: u64,
    /// Work in steps that one loading delays.
    pub move_cost: f64,
    /// Steps that one loading takes at the store.
    pub load_steps: f64,
    /// Bytes of one expert's weights in a layer.
    pub expert_bytes: f64,
    /// JSON instead of a table.
    pub json: bool,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    Never,
    Rebuild,
    Greedy,
    Weighed(Weights),
}

impl Policy {
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

/// One policy's run.
struct Run {
    policy: Policy,
    name: &'static str,
    map: Map,
    estimate: Estimate,
    /// A new map and the step at which its weights are loaded.
    loading: Option<(u64, Map)>,
    skews: Vec<f64>,
    moves: usize,
}

impl Run {
    fn step(&mut self, step: u64, tokens: &[Vec<f64>]) {
        if let Some((at, map)) = self.loading.take_if(|it| it.0 <= step) {
            debug_assert!(at <= step);
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
        let loaded = step + (moves as f64 * options.load_steps).ceil() as u64;
        self.loading = Some((loaded, map));
    }
}

/// A line of the result.
struct Row {
    drift: &'static str,
    policy: &'static str,
    mean: f64,
    worst: f64,
    over_bound: f64,
    moves: usize,
    bytes: f64,
    lost: f64,
    delayed: f64,
    costs: [f64; 2],
}

/// Runs and prints.
pub fn run(options: &Options) -> Result<(), Error> {
    let shape = options.shape;
    let sizes = [shape.ranks, shape.layers, shape.experts, shape.slots];
    if sizes.iter().any(|it| !(1..=4_096).contains(it)) {
        return Err(Error::Size);
    }
    let rows = match &options.trace {
        Some(file) => {
            let trace = trace::open(file, shape)?;
            let mut counts = trace.into_iter();
            experiment(options, "trace", || {
                counts.next().map(|it| (it.0, it.1.clone(), Some(it.1)))
            })?
        }
        None => made_up(options)?,
    };
    print(options, &rows);
    Ok(())
}

fn made_up(options: &Options) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    for kind in Kind::ALL {
        let mut source = Source::open(kind, options.shape, options.steps, options.seed);
        let mut step = 0;
        let next = || {
            if step >= options.steps {
                return None;
            }
            source.advance(SAMPLE);
            let counts = source.draw(&source.expected(step));
            let report = (!source.loses_report()).then(|| counts.clone());
            step += SAMPLE;
            Some((step, counts, report))
        };
        rows.extend(experiment(options, kind.label(), next)?);
    }
    Ok(rows)
}

/// Counts at a step, and the same as reported, unless that is lost.
type Sample = (u64, Vec<Vec<f64>>, Option<Vec<Vec<f64>>>);

fn experiment(
    options: &Options,
    drift: &'static str,
    mut next: impl FnMut() -> Option<Sample>,
) -> Result<Vec<Row>, Error> {
    let shape = options.shape;
    let mut runs: Vec<Run> = Vec::new();
    let mut late: VecDeque<(u64, Vec<Vec<f64>>)> = VecDeque::new();
    let mut bounds = Vec::new();
    let mut due = options.period;
    while let Some((step, counts, report)) = next() {
        if runs.is_empty() {
            let map = place::rebuild(shape, &counts).map_err(|source| Error::Shape { source })?;
            runs = start(options, &map);
        }
        late.extend(report.map(|it| (step, it)));
        while late.front().is_some_and(|it| it.0 + options.lag <= step) {
            let Some((at, report)) = late.pop_front() else {
                break;
            };
            for run in &mut runs {
                run.estimate.observe(at, &report);
            }
        }
        bounds.push(bound(shape, &counts));
        for run in &mut runs {
            run.step(step, &counts);
            if step >= due {
                run.decide(options, step);
            }
        }
        if step >= due {
            due += options.period;
        }
    }
    let bound = bounds.iter().sum::<f64>() / bounds.len().max(1) as f64;
    Ok(runs.into_iter().map(|it| row(options, drift, bound, it)).collect())
}

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

/// Skew that no placement can beat: 1, or that of the hottest expert with
/// all the copies that the slots allow.
fn bound(shape: Shape, tokens: &[Vec<f64>]) -> f64 {
    let copies = shape.ranks.min(shape.ranks * shape.slots + 1 - shape.experts) as f64;
    let layer = |it: &Vec<f64>| {
        let mean = it.iter().sum::<f64>() / shape.ranks as f64;
        let hottest = it.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { (hottest / copies / mean).max(1.0) } else { 1.0 }
    };
    tokens.iter().map(layer).sum::<f64>() / tokens.len() as f64
}

fn row(options: &Options, drift: &'static str, bound: f64, run: Run) -> Row {
    let mut skews = run.skews;
    let samples = skews.len().max(1) as f64;
    let mean = skews.iter().sum::<f64>() / samples;
    skews.sort_by(f64::total_cmp);
    let worst = skews.get(skews.len() * 95 / 100).copied().unwrap_or(1.0);
    let steps = if options.trace.is_some() { samples } else { options.steps as f64 };
    let lost = (mean - 1.0) * steps;
    let delayed = run.moves as f64 * options.move_cost;
    let cost = |weights: Weights| weights.skew * lost + weights.moves * delayed;
    Row {
        drift,
        policy: run.name,
        mean,
        worst,
        over_bound: (mean / bound - 1.0) * 100.0,
        moves: run.moves,
        bytes: run.moves as f64 * options.expert_bytes,
        lost,
        delayed,
        costs: [cost(TATRANSKA), cost(MASA)],
    }
}

fn print(options: &Options, rows: &[Row]) {
    if options.json {
        for it in rows {
            let line = serde_json::json!({
                "drift": it.drift, "policy": it.policy, "skew_mean": it.mean, "skew_p95": it.worst,
                "over_bound_percent": it.over_bound, "moves": it.moves, "bytes": it.bytes,
                "steps_lost": it.lost, "steps_delayed": it.delayed,
                "cost_tatranska": it.costs[0], "cost_masa_norte": it.costs[1],
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
    for it in rows {
        println!(
            "{:<8} {:<17} {:>6.3} {:>6.3} {:>7.1} {:>8} {:>8.1} {:>8.0} {:>8.0} {:>10.0} {:>10.0}",
            it.drift,
            it.policy,
            it.mean,
            it.worst,
            it.over_bound,
            it.moves,
            it.bytes / 1e9,
            it.lost,
            it.delayed,
            it.costs[0],
            it.costs[1]
        );
    }
}

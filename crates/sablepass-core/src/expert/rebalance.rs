// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether a group needs a new map now, and which one its ranks prepare next.
//!
//! Everything is weighed in time. A rank copies new experts one after the
//! other, the group passes more slowly meanwhile, and a switch takes a few
//! passes more; a more even map then shortens each pass for as long as the
//! demand lasts. So a search notes how even the map gets with one new expert
//! at the rank that gets most, with two, and so on, and the way from the map in
//! force to the last of these is cut into changes such that the time of all
//! passes on the way is least. The first change of that way is made. Where an
//! expert takes long to copy it brings one to a rank; where copying is quick
//! it brings all at once.

use crate::expert::map::{Expert, Layer, Map, Paces, Rank};
use crate::expert::place::Steps;
use crate::id::Millis;

/// Lag that a group's first map is taken to have before any counts tell: experts
/// are dealt out in turn there, and it had 2.2 to 3.3 on most deployments known.
pub const INITIAL_LAG: f64 = 3.0;

/// New experts at the rank that gets most, for which the search notes a map.
const COPIES: [usize; 9] = [1, 2, 3, 4, 6, 8, 12, 16, 24];
/// Skew at which a layer is even: each further step loads more weights than it
/// saves time.
const EVEN: f64 = 1.08;

/// What a change costs, and for how long it is of use.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// New experts that one preparation may bring to a rank in a layer.
    pub spare: usize,
    /// Milliseconds that a rank takes to copy one expert.
    pub copy_ms: f64,
    /// Part by which passes take longer while experts are copied. Default
    /// 0.15, as declared by the users' platform.
    pub slowdown: f64,
    /// Milliseconds of a change beside copying. Default 300: orders, votes and
    /// the passes up to the step of the switch.
    pub switch_ms: f64,
    /// Milliseconds that the demand is expected to last.
    pub demand_ms: f64,
    /// Part of a pass on an even map that experts' work makes up: the rest is as
    /// long on any map. Default 0.5.
    pub expert_share: f64,
    /// Milliseconds of passes that a change must save at least. Default 350: a
    /// shift that comes while experts are copied meets passes that are longer by
    /// the slowdown, and at 150 a third of the maps saved less than that costs.
    pub min_saved_ms: f64,
    /// How many times as uneven as worked out a new map turns out. Default 1: as
    /// worked out.
    pub optimism: f64,
    /// Choices in the demand below which it is not believed. Default 2,000:
    /// some ten for each expert of a layer.
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

/// How many times as long as a search that found nothing took the next one waits:
/// searches then take an eleventh of the processor.
const BACKOFF_FACTOR: Millis = 10;
/// How many times as uneven the map must have become for a rest to end sooner, so
/// that a shift which was not seen as one is answered.
const MORE_UNEVEN: f64 = 1.08;

/// The time after a search that found no better map, in which none is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchBackoff {
    until: Millis,
    /// Lag of the map in force at that search.
    lag: f64,
}

impl SearchBackoff {
    /// Begins after a search from `began` to `ended`, under a map of this lag.
    pub fn start(started: Millis, ended: Millis, lag: f64) -> Self {
        Self { until: ended + ended.saturating_sub(started) * BACKOFF_FACTOR, lag }
    }

    /// Whether it lasts, while the map in force has this lag by now.
    pub fn is_active(&self, now: Millis, lag: f64) -> bool {
        now < self.until && lag < self.lag * MORE_UNEVEN
    }
}

/// A map to change to.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The map.
    pub map: Map,
    /// Mean skew of the layers before.
    pub lag_before: f64,
    /// The same after.
    pub lag_after: f64,
    /// Experts that ranks have to load.
    pub moves: usize,
    /// New experts at the rank that gets most.
    pub max_copies: usize,
    /// Milliseconds of passes saved while the demand lasts.
    pub saved_ms: f64,
}

/// A map that the search came by.
struct Point {
    map: Map,
    lag: f64,
    copies: usize,
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
    if counts < options.min_choices {
        return None;
    }
    let mut points = search(options, map, demand, paces);
    let way = Way { options, points: &points };
    let (first, spent) = way.best(0, options.demand_ms);
    let saved_ms = way.pass(0) * options.demand_ms - spent;
    let first = first.filter(|_| saved_ms >= options.min_saved_ms)?;
    let lag_before = points[0].lag;
    let Point { map: new, lag: lag_after, copies: max_copies } = points.swap_remove(first);
    let moves = new.moves_from(map);
    Some(Change { map: new, lag_before, lag_after, moves, max_copies, saved_ms })
}

/// The map with a second replica of as many experts as empty slots take, as
/// far as one preparation may bring them; none if no slot is empty. A shift of
/// demand then more often finds what it brings at two ranks.
pub fn fill(spare: usize, map: &Map) -> Option<Map> {
    let mut new = map.clone();
    for layer in &mut new.layers {
        fill_layer(spare, layer);
    }
    (new != *map).then_some(new)
}

fn fill_layer(spare: usize, layer: &mut Layer) {
    let mut next = 0;
    for turn in 0..spare {
        for rank in (0..layer.ranks()).map(|it| Rank(it as u16)) {
            let empty = layer.slots_of(rank).find(|it| layer.expert(*it).is_none());
            let Some(slot) = empty else { continue };
            let start = next;
            let fits = |it: &Expert| !layer.holds(rank, *it) && layer.replicas(*it) == 1;
            let order = (start..layer.experts()).chain(0..start).map(|it| Expert(it as u16));
            if let Some(it) = order.into_iter().find(fits) {
                layer.put(slot, it);
                next = (usize::from(it.0) + 1 + turn) % layer.experts();
            }
        }
    }
}

/// The maps on the way from the one in force to an even one, which is first.
fn search(options: &Options, map: &Map, demand: &[Vec<f64>], paces: &Paces) -> Vec<Point> {
    let start = Point { map: map.clone(), lag: mean_lag(map, demand, paces), copies: 0 };
    let mut points = vec![start];
    let mut search = Search::new(options, map, demand, paces);
    let most = options.spare * map.layers.len();
    for copies in COPIES.into_iter().take_while(|it| *it <= most) {
        search.spread(copies);
        let (map, lag) = search.map();
        let copies = search.new.iter().copied().max().unwrap_or(0);
        if points.last().is_none_or(|it| lag < it.lag) {
            points.push(Point { map, lag, copies });
        }
        if copies as f64 * options.copy_ms >= options.demand_ms {
            break;
        }
    }
    points
}

/// Small steps from the map in force, within the bounds on new experts.
struct Search<'a> {
    options: &'a Options,
    start: &'a Map,
    layers: Vec<Steps<'a>>,
    /// New experts of each rank by layer, and over all layers.
    here: Vec<Vec<usize>>,
    new: Vec<usize>,
}

impl<'a> Search<'a> {
    fn new(
        options: &'a Options,
        start: &'a Map,
        demand: &'a [Vec<f64>],
        paces: &'a Paces,
    ) -> Self {
        let new = vec![0; start.shape.ranks];
        let here = vec![new.clone(); start.layers.len()];
        let layers = start.layers.iter().zip(demand);
        let layers = layers.map(|(layer, it)| Steps::new(layer.clone(), it, paces)).collect();
        Self { options, start, layers, here, new }
    }

    /// The map that the steps have led to, and its mean lag.
    fn map(&self) -> (Map, f64) {
        let layers = self.layers.iter().map(|it| it.layer().clone()).collect();
        let lags = self.layers.iter().map(Steps::lag).sum::<f64>();
        (Map { shape: self.start.shape, layers }, lags / self.layers.len().max(1) as f64)
    }

    /// Takes steps, those of the most uneven layer first, while a rank gets no
    /// more than so many new experts.
    fn spread(&mut self, copies: usize) {
        let mut lags: Vec<f64> = self.layers.iter().map(Steps::lag).collect();
        loop {
            let worst = (0..lags.len()).max_by(|a, b| lags[*a].total_cmp(&lags[*b]));
            let Some(layer) = worst.filter(|it| lags[*it] > EVEN) else { return };
            if self.step(layer, copies) {
                lags[layer] = self.layers[layer].lag();
            } else {
                // Nothing more can be done for it with so few.
                lags[layer] = 0.0;
            }
        }
    }

    fn step(&mut self, at: usize, copies: usize) -> bool {
        let (start, here) = (&self.start.layers[at], &self.here[at]);
        let allowed = |rank: Rank, it| {
            let rank_at = usize::from(rank.0);
            let free = here[rank_at] < self.options.spare && self.new[rank_at] < copies;
            free || start.holds(rank, it)
        };
        let change = self.layers[at].best(allowed);
        let Some(change) = change.filter(|it| self.layers[at].apply(*it)) else {
            return false;
        };
        for slot in change.slots() {
            let layer = self.layers[at].layer();
            let rank = layer.rank(slot);
            let rank_at = usize::from(rank.0);
            let now = new_experts(start, layer, rank);
            self.new[rank_at] = self.new[rank_at] + now - self.here[at][rank_at];
            self.here[at][rank_at] = now;
        }
        true
    }
}

/// Experts that a rank did not hold at the start.
fn new_experts(start: &Layer, layer: &Layer, rank: Rank) -> usize {
    let held = layer.slots_of(rank).filter_map(|it| layer.expert(it));
    held.filter(|it| !start.holds(rank, *it)).count()
}

/// Ways along the points of a search.
struct Way<'a> {
    options: &'a Options,
    points: &'a [Point],
}

impl Way<'_> {
    /// Time of a pass at a point, relative to one on an even map.
    fn pass(&self, at: usize) -> f64 {
        let times = if at > 0 { self.options.optimism } else { 1.0 };
        1.0 - self.options.expert_share + self.options.expert_share * self.points[at].lag * times
    }

    /// The next point on the best way from one of them, none if that is to
    /// stay, and the time of all passes until the demand is over.
    fn best(&self, at: usize, left: f64) -> (Option<usize>, f64) {
        let mut best = (None, self.pass(at) * left);
        for next in at + 1..self.points.len() {
            let copies = self.points[next].copies.saturating_sub(self.points[at].copies);
            let copying = copies as f64 * self.options.copy_ms;
            let time = copying + self.options.switch_ms;
            if time >= left {
                continue;
            }
            let until = self.pass(at) * (time + copying * self.options.slowdown);
            let spent = until + self.best(next, left - time).1;
            if spent < best.1 {
                best = (Some(next), spent);
            }
        }
        best
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Placement: a map from scratch, and small steps from one map to a better one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::expert::map::{Error, Expert, Layer, Map, Paces, Rank, Shape, Slot};
use crate::membership::Pace;

/// Sharpness of the potential that small steps descend. The load of the
/// worst rank alone does not tell which of two steps is the better start.
const SHARPNESS: i32 = 12;

/// Lightest ranks that small steps may move load to. A step onto a rank that
/// is not among the lightest only moves the trouble.
const LIGHTEST: usize = 6;

/// Part of its gain by which a step counts more for each replica beyond the
/// second of the expert that it overwrites, and at most, as for an empty slot:
/// enough to decide between experts that nobody wants.
const SURPLUS: f64 = 0.01;
const MOST_SURPLUS: f64 = 0.1;

/// Heaviest experts of the slowest rank that small steps try to relieve it of.
/// The others take little load off it; with 11 slots a rank a search weighs four
/// of eleven steps.
const HEAVIEST: usize = 4;

/// Potential that a small step must gain. Below it, steps only shuffle
/// rounding errors to and fro without end.
const LEAST_GAIN: f64 = 1e-6;

/// A total order on loads, which are never NaN.
#[derive(Clone, Copy, PartialEq)]
struct Load(f64);

impl Eq for Load {}

impl PartialOrd for Load {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Load {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A map from scratch: slots go to the experts with the most tokens a slot,
/// then the heaviest slots to the lightest ranks.
pub fn rebuild(shape: Shape, tokens: &[Vec<f64>]) -> Result<Map, Error> {
    let layers: Vec<Vec<Option<Expert>>> =
        tokens.iter().map(|it| rebuild_layer(shape, it)).collect();
    Map::build(shape, &layers)
}

fn rebuild_layer(shape: Shape, tokens: &[f64]) -> Vec<Option<Expert>> {
    let counts = replicas(shape, tokens);
    let mut order: Vec<usize> = (0..shape.experts).collect();
    let share = |it: usize| tokens[it] / counts[it] as f64;
    order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
    let mut ranks: Vec<(f64, Vec<Expert>)> = vec![(0.0, Vec::new()); shape.ranks];
    for expert in order {
        for _ in 0..counts[expert] {
            let it = Expert(expert as u16);
            let free = |rank: &&mut (f64, Vec<Expert>)| {
                rank.1.len() < shape.slots && !rank.1.contains(&it)
            };
            let lightest = ranks.iter_mut().filter(free).min_by(|a, b| a.0.total_cmp(&b.0));
            // A replica that fits nowhere is left out; the first of an expert always fits,
            // because experts are placed once before any is placed again (see `replicas`).
            if let Some(rank) = lightest {
                rank.0 += share(expert);
                rank.1.push(it);
            }
        }
    }
    ensure_all(shape, &mut ranks);
    let pad = |held: &Vec<Expert>| {
        let held = held.iter().copied().map(Some);
        held.chain(std::iter::repeat(None)).take(shape.slots).collect::<Vec<_>>()
    };
    ranks.iter().flat_map(|it| pad(&it.1)).collect()
}

/// Slots of each expert: one each, the rest one by one where the most tokens a slot are.
fn replicas(shape: Shape, tokens: &[f64]) -> Vec<usize> {
    let mut counts = vec![1; shape.experts];
    let heavy = |it: usize, count: usize| (Load(tokens[it] / count as f64), Reverse(it));
    let mut heap: BinaryHeap<(Load, Reverse<usize>)> =
        (0..shape.experts).map(|it| heavy(it, 1)).collect();
    let spare = (shape.ranks * shape.slots).saturating_sub(shape.experts);
    for _ in 0..spare {
        let Some((_, Reverse(it))) = heap.pop() else {
            break;
        };
        counts[it] += 1;
        if counts[it] < shape.ranks {
            heap.push(heavy(it, counts[it]));
        }
    }
    counts
}

/// Gives a slot to every expert that got none, at the cost of one that has several.
fn ensure_all(shape: Shape, ranks: &mut [(f64, Vec<Expert>)]) {
    for expert in 0..shape.experts {
        let it = Expert(expert as u16);
        if ranks.iter().any(|rank| rank.1.contains(&it)) {
            continue;
        }
        if let Some(rank) = ranks.iter_mut().find(|rank| rank.1.len() < shape.slots) {
            rank.1.push(it);
            continue;
        }
        let count = |it: Expert| ranks.iter().filter(|rank| rank.1.contains(&it)).count();
        let mut spare = None;
        for (index, rank) in ranks.iter().enumerate() {
            if let Some(place) = rank.1.iter().position(|it| count(*it) > 1) {
                spare = Some((index, place));
                break;
            }
        }
        if let Some((index, place)) = spare {
            ranks[index].1[place] = it;
        }
    }
}

/// A small step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Put another replica of an expert into a slot.
    Put(Slot, Expert),
    /// Exchange two slots.
    Swap(Slot, Slot),
    /// Empty a slot.
    Drop(Slot),
}

impl Change {
    /// Loadings of weights that it takes.
    pub fn moves(self) -> usize {
        match self {
            Self::Put(..) => 1,
            Self::Swap(..) => 2,
            Self::Drop(..) => 0,
        }
    }

    /// The slots whose expert it changes.
    pub fn slots(self) -> impl Iterator<Item = Slot> {
        let (first, second) = match self {
            Self::Put(it, _) | Self::Drop(it) => (it, None),
            Self::Swap(a, b) => (a, Some(b)),
        };
        std::iter::once(first).chain(second)
    }

    /// Makes it, if the layer's rules allow.
    pub fn apply(self, layer: &mut Layer) -> bool {
        match self {
            Self::Put(slot, it) => layer.put(slot, it),
            Self::Swap(a, b) => layer.swap(a, b),
            Self::Drop(slot) => layer.clear(slot),
        }
    }
}

/// The best small step for a layer's slowest rank, by potential gained for
/// each loading of weights; none if nothing helps.
pub fn best_change(layer: &Layer, tokens: &[f64], paces: &Paces) -> Option<Change> {
    Steps::new(layer.clone(), tokens, paces).best(|_, _| true)
}

/// The lightest ranks beside the worst one, those first. A group of 192 ranks
/// has 191 others, which need not be sorted for that.
fn lightest(ranks: usize, worst: usize, time: impl Fn(usize) -> f64) -> Vec<usize> {
    let mut others: Vec<usize> = (0..ranks).filter(|it| *it != worst).collect();
    let order = |a: &usize, b: &usize| time(*a).total_cmp(&time(*b)).then(a.cmp(b));
    if others.len() > LIGHTEST {
        others.select_nth_unstable_by(LIGHTEST, order);
        others.truncate(LIGHTEST);
    }
    others.sort_unstable_by(order);
    others
}

/// A little more for a step that overwrites what there is most of: which expert
/// is in demand next nobody knows, and one with a second replica then makes its
/// ranks half as slow.
fn surplus(layer: &Layer, change: Change) -> f64 {
    match change {
        Change::Put(to, _) => layer.expert(to).map_or(MOST_SURPLUS, |it| {
            (SURPLUS * f64::from(layer.replicas(it).saturating_sub(2))).min(MOST_SURPLUS)
        }),
        Change::Swap(..) | Change::Drop(_) => 0.0,
    }
}

/// The slots of a rank whose experts give it most load.
fn heaviest(layer: &Layer, tokens: &[f64], rank: Rank) -> Vec<(Slot, Expert)> {
    let share = |it: Expert| tokens[usize::from(it.0)] / f64::from(layer.replicas(it));
    let held = layer.slots_of(rank).filter_map(|slot| Some((slot, layer.expert(slot)?)));
    let mut held: Vec<(Slot, Expert)> = held.collect();
    held.sort_by(|a, b| share(b.1).total_cmp(&share(a.1)));
    held.truncate(HEAVIEST);
    held
}

/// Small steps of a layer, with what weighs them kept from one to the next: a
/// search of 192 ranks makes 1,500, and took 40 to 130 ms where each looked at every
/// slot, and 14 to 27 ms where each worked out all loads anew.
pub struct Steps<'a> {
    layer: Layer,
    tokens: &'a [f64],
    paces: &'a Paces,
    loads: Vec<f64>,
    /// What each rank's load adds to the potential.
    terms: Vec<f64>,
    mean: f64,
    /// The slots that hold each expert, in order.
    holders: Vec<Vec<Slot>>,
}

impl<'a> Steps<'a> {
    /// Begins at a layer.
    pub fn new(layer: Layer, tokens: &'a [f64], paces: &'a Paces) -> Self {
        let loads = layer.rank_loads(tokens);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let mut holders = vec![Vec::new(); layer.experts()];
        for slot in layer.slots() {
            if let Some(it) = layer.expert(slot) {
                holders[usize::from(it.0)].push(slot);
            }
        }
        let mut steps = Self { layer, tokens, paces, loads, terms: Vec::new(), mean, holders };
        let term = |(rank, load): (usize, &f64)| steps.term(rank, *load);
        steps.terms = steps.loads.iter().enumerate().map(term).collect();
        steps
    }

    /// The layer as it is now.
    pub fn layer(&self) -> &Layer {
        &self.layer
    }

    /// Time of the rank that takes longest, over the mean load.
    pub fn lag(&self) -> f64 {
        if self.mean <= 0.0 {
            return 1.0;
        }
        (0..self.loads.len()).map(|it| self.time(it)).fold(0.0, f64::max) / self.mean
    }

    fn time(&self, rank: usize) -> f64 {
        self.loads[rank] * self.paces.of(Rank(rank as u16))
    }

    /// The best step for the slowest rank among those that bring experts only to
    /// ranks that may take them; none if nothing helps.
    pub fn best(&self, allowed: impl Fn(Rank, Expert) -> bool) -> Option<Change> {
        if self.mean <= 0.0 {
            return None;
        }
        let ranks = 0..self.loads.len();
        let worst = ranks.max_by(|a, b| self.time(*a).total_cmp(&self.time(*b)))?;
        let others = lightest(self.loads.len(), worst, |it| self.time(it));
        let (layer, worst) = (&self.layer, Rank(worst as u16));
        let mut room = Vec::new();
        let mut best: Option<(f64, Change)> = None;
        let mut weigh = |change: Change| {
            let Some(gain) = self.gain(change, &mut room) else { return };
            let gain = gain / change.moves().max(1) as f64 * (1.0 + surplus(layer, change));
            if gain > LEAST_GAIN && best.is_none_or(|it| gain > it.0) {
                best = Some((gain, change));
            }
        };
        if Pace::of(self.paces.of(worst)) != Pace::Sound {
            layer.slots_of(worst).for_each(|it| weigh(Change::Drop(it)));
        }
        for (from, hot) in heaviest(layer, self.tokens, worst) {
            for rank in others.iter().map(|it| Rank(*it as u16)) {
                let takes = allowed(rank, hot);
                for to in layer.slots_of(rank).filter(|_| takes) {
                    weigh(Change::Put(to, hot));
                    if layer.expert(to).is_some_and(|it| allowed(worst, it)) {
                        weigh(Change::Swap(from, to));
                    }
                }
            }
        }
        best.map(|it| it.1)
    }

    /// Makes a step, if the layer's rules allow.
    pub fn apply(&mut self, change: Change) -> bool {
        let experts = |it: &Self| -> Vec<Expert> {
            change.slots().filter_map(|slot| it.layer.expert(slot)).collect()
        };
        let mut touched = experts(self);
        if !change.apply(&mut self.layer) {
            return false;
        }
        touched.extend(experts(self));
        touched.sort_unstable();
        touched.dedup();
        let mut ranks: Vec<usize> = change.slots().map(|it| self.rank_at(it)).collect();
        for it in touched {
            let slots = self.layer.slots_with(it).collect();
            self.holders[usize::from(it.0)] = slots;
            ranks.extend(self.holders[usize::from(it.0)].iter().map(|it| self.rank_at(*it)));
        }
        ranks.sort_unstable();
        ranks.dedup();
        for rank in ranks {
            self.loads[rank] = self.load(rank);
            self.terms[rank] = self.term(rank, self.loads[rank]);
        }
        true
    }

    fn rank_at(&self, slot: Slot) -> usize {
        usize::from(self.layer.rank(slot).0)
    }

    fn load(&self, rank: usize) -> f64 {
        let held = self.layer.slots_of(Rank(rank as u16)).filter_map(|it| self.layer.expert(it));
        held.map(|it| self.share(it, self.layer.replicas(it))).sum()
    }

    fn share(&self, it: Expert, replicas: u16) -> f64 {
        self.tokens[usize::from(it.0)] / f64::from(replicas)
    }

    fn term(&self, rank: usize, load: f64) -> f64 {
        let time = load * self.paces.of(Rank(rank as u16));
        (time / self.mean).powi(SHARPNESS)
    }

    /// Potential lost by a change; none if it is not allowed. `new` is room for
    /// the ranks whose load it changes.
    fn gain(&self, change: Change, new: &mut Vec<(usize, f64)>) -> Option<f64> {
        new.clear();
        let mut add = |rank: Rank, load: f64| {
            let rank = usize::from(rank.0);
            match new.iter_mut().find(|it| it.0 == rank) {
                Some(it) => it.1 += load,
                None => new.push((rank, load)),
            }
        };
        let layer = &self.layer;
        match change {
            Change::Put(to, hot) => {
                let rank = layer.rank(to);
                if layer.holds(rank, hot) {
                    return None;
                }
                let count = layer.replicas(hot);
                let (before, after) = (self.share(hot, count), self.share(hot, count + 1));
                for &slot in &self.holders[usize::from(hot.0)] {
                    add(layer.rank(slot), after - before);
                }
                add(rank, after);
                if let Some(old) = layer.expert(to) {
                    let count = layer.replicas(old);
                    if count < 2 {
                        return None;
                    }
                    let (before, after) = (self.share(old, count), self.share(old, count - 1));
                    add(rank, -before);
                    for &slot in self.holders[usize::from(old.0)].iter().filter(|it| **it != to) {
                        add(layer.rank(slot), after - before);
                    }
                }
            }
            Change::Swap(a, b) => {
                let (x, y) = (layer.expert(a)?, layer.expert(b)?);
                let (ra, rb) = (layer.rank(a), layer.rank(b));
                if x == y || layer.holds(ra, y) || layer.holds(rb, x) {
                    return None;
                }
                let (sx, sy) = (self.share(x, layer.replicas(x)), self.share(y, layer.replicas(y)));
                add(ra, sy - sx);
                add(rb, sx - sy);
            }
            Change::Drop(from) => {
                let old = layer.expert(from)?;
                let count = layer.replicas(old);
                if count < 2 {
                    return None;
                }
                let (before, after) = (self.share(old, count), self.share(old, count - 1));
                add(layer.rank(from), -before);
                for &slot in self.holders[usize::from(old.0)].iter().filter(|it| **it != from) {
                    add(layer.rank(slot), after - before);
                }
            }
        }
        let change = |(rank, by): &(usize, f64)| {
            self.terms[*rank] - self.term(*rank, (self.loads[*rank] + by).max(0.0))
        };
        Some(new.iter().map(change).sum())
    }
}

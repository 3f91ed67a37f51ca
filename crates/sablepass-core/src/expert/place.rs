// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Placement of experts on ranks: builds a map from scratch, and improves a map by
//! small changes. Used by the two planners, [`crate::expert::plan`] and
//! [`crate::expert::rebalance`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::expert::map::{Error, Expert, Layer, Map, Paces, Rank, Shape, Slot};
use crate::membership::Pace;

/// Exponent of the potential that changes reduce, the sum of `(time / mean)^12` over
/// all ranks. The time of the slowest rank alone cannot rank two changes that both
/// leave it as it is.
const POTENTIAL_EXPONENT: i32 = 12;

/// Number of fastest ranks that are considered as destinations. A change that moves
/// load to any other rank tends to make that rank the slowest.
const MAX_DESTINATIONS: usize = 6;

/// Fraction by which a change's gain is increased for each replica beyond the second
/// of the expert that it overwrites. Large enough to decide between experts without
/// demand.
const SURPLUS_BONUS: f64 = 0.01;
/// Upper bound of the surplus bonus, and the bonus for using an empty slot.
const MAX_SURPLUS_BONUS: f64 = 0.1;

/// Number of heaviest experts of the slowest rank that changes try to move or
/// replicate. The others take little load off the rank; with 11 slots per rank the
/// limit saves seven of eleven evaluations.
const MAX_CANDIDATES: usize = 4;

/// Minimum potential that a change must gain. Smaller gains are rounding errors, which
/// changes could exchange without end.
const MIN_GAIN: f64 = 1e-6;

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

/// Builds a map from scratch. The number of slots of each expert follows from its
/// tokens; then replicas are assigned in descending order of load to the least loaded
/// rank that has a free slot and does not hold the expert.
pub fn rebuild(shape: Shape, tokens: &[Vec<f64>]) -> Result<Map, Error> {
    let layers: Vec<Vec<Option<Expert>>> =
        tokens.iter().map(|tokens| rebuild_layer(shape, tokens)).collect();
    Map::build(shape, &layers)
}

fn rebuild_layer(shape: Shape, tokens: &[f64]) -> Vec<Option<Expert>> {
    let counts = replicas(shape, tokens);
    let mut order: Vec<usize> = (0..shape.experts).collect();
    let share = |expert: usize| tokens[expert] / counts[expert] as f64;
    order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
    let mut ranks: Vec<(f64, Vec<Expert>)> = vec![(0.0, Vec::new()); shape.ranks];
    for expert in order {
        for _ in 0..counts[expert] {
            let replica = Expert(expert as u16);
            let free = |rank: &&mut (f64, Vec<Expert>)| {
                rank.1.len() < shape.slots && !rank.1.contains(&replica)
            };
            let lightest = ranks.iter_mut().filter(free).min_by(|a, b| a.0.total_cmp(&b.0));
            // A replica that fits on no rank is omitted; `ensure_all` gives a slot to an expert
            // that has none.
            if let Some(rank) = lightest {
                rank.0 += share(expert);
                rank.1.push(replica);
            }
        }
    }
    ensure_all(shape, &mut ranks);
    let pad = |held: &Vec<Expert>| {
        let held = held.iter().copied().map(Some);
        held.chain(std::iter::repeat(None)).take(shape.slots).collect::<Vec<_>>()
    };
    ranks.iter().flat_map(|rank| pad(&rank.1)).collect()
}

/// Returns the number of slots of each expert: one each, and the remaining slots one by
/// one to the expert with the most tokens per slot, up to one slot per rank.
fn replicas(shape: Shape, tokens: &[f64]) -> Vec<usize> {
    let mut counts = vec![1; shape.experts];
    let heavy =
        |expert: usize, count: usize| (Load(tokens[expert] / count as f64), Reverse(expert));
    let mut heap: BinaryHeap<(Load, Reverse<usize>)> =
        (0..shape.experts).map(|expert| heavy(expert, 1)).collect();
    let spare = (shape.ranks * shape.slots).saturating_sub(shape.experts);
    for _ in 0..spare {
        let Some((_, Reverse(expert))) = heap.pop() else {
            break;
        };
        counts[expert] += 1;
        if counts[expert] < shape.ranks {
            heap.push(heavy(expert, counts[expert]));
        }
    }
    counts
}

/// Gives a slot to every expert without one: a free slot, or else the slot of an expert
/// with several replicas.
fn ensure_all(shape: Shape, ranks: &mut [(f64, Vec<Expert>)]) {
    for expert in 0..shape.experts {
        let missing = Expert(expert as u16);
        if ranks.iter().any(|rank| rank.1.contains(&missing)) {
            continue;
        }
        if let Some(rank) = ranks.iter_mut().find(|rank| rank.1.len() < shape.slots) {
            rank.1.push(missing);
            continue;
        }
        let count = |expert: Expert| ranks.iter().filter(|rank| rank.1.contains(&expert)).count();
        let mut spare = None;
        for (index, rank) in ranks.iter().enumerate() {
            if let Some(position) = rank.1.iter().position(|it| count(*it) > 1) {
                spare = Some((index, position));
                break;
            }
        }
        if let Some((index, position)) = spare {
            ranks[index].1[position] = missing;
        }
    }
}

/// A small change of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Puts another replica of an expert into a slot.
    Put(Slot, Expert),
    /// Exchanges the experts of two slots.
    Swap(Slot, Slot),
    /// Empties a slot.
    Drop(Slot),
}

impl Change {
    /// Returns the number of weight loads that the change requires.
    pub fn moves(self) -> usize {
        match self {
            Self::Put(..) => 1,
            Self::Swap(..) => 2,
            Self::Drop(..) => 0,
        }
    }

    /// Returns the slots whose expert changes.
    pub fn slots(self) -> impl Iterator<Item = Slot> {
        let (first, second) = match self {
            Self::Put(slot, _) | Self::Drop(slot) => (slot, None),
            Self::Swap(a, b) => (a, Some(b)),
        };
        std::iter::once(first).chain(second)
    }

    /// Applies the change to a layer. Returns `false` and changes nothing if the
    /// resulting layer would be invalid.
    pub fn apply(self, layer: &mut Layer) -> bool {
        match self {
            Self::Put(slot, expert) => layer.put(slot, expert),
            Self::Swap(a, b) => layer.swap(a, b),
            Self::Drop(slot) => layer.clear(slot),
        }
    }
}

/// Returns the change that relieves a layer's slowest rank with the largest gain of
/// potential per weight load, or `None` if no change improves the layer.
pub fn best_change(layer: &Layer, tokens: &[f64], paces: &Paces) -> Option<Change> {
    Steps::new(layer.clone(), tokens, paces).best(|_, _| true)
}

/// Returns the fastest ranks other than `slowest`, in ascending order of time. Selects
/// them before sorting: a group of 192 ranks has 191 others, of which few are needed.
fn fastest(ranks: usize, slowest: usize, time: impl Fn(usize) -> f64) -> Vec<usize> {
    let mut others: Vec<usize> = (0..ranks).filter(|it| *it != slowest).collect();
    let order = |a: &usize, b: &usize| time(*a).total_cmp(&time(*b)).then(a.cmp(b));
    if others.len() > MAX_DESTINATIONS {
        others.select_nth_unstable_by(MAX_DESTINATIONS, order);
        others.truncate(MAX_DESTINATIONS);
    }
    others.sort_unstable_by(order);
    others
}

/// Returns the bonus of a change that uses an empty slot or overwrites an expert with
/// more than two replicas. Future demand is unknown, and an expert that has a second
/// replica when demand shifts to it puts only half the load on each of its ranks.
fn surplus(layer: &Layer, change: Change) -> f64 {
    match change {
        Change::Put(to, _) => layer.expert(to).map_or(MAX_SURPLUS_BONUS, |old| {
            (SURPLUS_BONUS * f64::from(layer.replicas(old).saturating_sub(2)))
                .min(MAX_SURPLUS_BONUS)
        }),
        Change::Swap(..) | Change::Drop(_) => 0.0,
    }
}

/// Returns the slots of a rank whose experts contribute the most load, in descending
/// order.
fn heaviest(layer: &Layer, tokens: &[f64], rank: Rank) -> Vec<(Slot, Expert)> {
    let share = |expert: Expert| tokens[usize::from(expert.0)] / f64::from(layer.replicas(expert));
    let held = layer.slots_of(rank).filter_map(|slot| Some((slot, layer.expert(slot)?)));
    let mut held: Vec<(Slot, Expert)> = held.collect();
    held.sort_by(|a, b| share(b.1).total_cmp(&share(a.1)));
    held.truncate(MAX_CANDIDATES);
    held
}

/// Applies changes to a layer and keeps the loads, the potential and the slots of each
/// expert up to date. A search for 192 ranks makes 1,500 changes: it takes 40 to 130 ms
/// if each change looks at every slot, and 14 to 27 ms if each recomputes all loads.
pub struct Steps<'a> {
    layer: Layer,
    tokens: &'a [f64],
    paces: &'a Paces,
    /// Load of each rank in tokens.
    loads: Vec<f64>,
    /// Contribution of each rank to the potential.
    terms: Vec<f64>,
    /// Mean load of all ranks.
    mean: f64,
    /// Slots that hold each expert, in ascending order.
    holders: Vec<Vec<Slot>>,
}

impl<'a> Steps<'a> {
    /// Starts from a layer, with the tokens of its experts.
    pub fn new(layer: Layer, tokens: &'a [f64], paces: &'a Paces) -> Self {
        let loads = layer.rank_loads(tokens);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let mut holders = vec![Vec::new(); layer.experts()];
        for slot in layer.slots() {
            if let Some(expert) = layer.expert(slot) {
                holders[usize::from(expert.0)].push(slot);
            }
        }
        let mut steps = Self { layer, tokens, paces, loads, terms: Vec::new(), mean, holders };
        let term = |(rank, load): (usize, &f64)| steps.term(rank, *load);
        steps.terms = steps.loads.iter().enumerate().map(term).collect();
        steps
    }

    /// Returns the layer after the changes applied so far.
    pub fn layer(&self) -> &Layer {
        &self.layer
    }

    /// Returns the time of the slowest rank relative to the mean load, see [`Layer::lag`].
    pub fn lag(&self) -> f64 {
        if self.mean <= 0.0 {
            return 1.0;
        }
        (0..self.loads.len()).map(|rank| self.time(rank)).fold(0.0, f64::max) / self.mean
    }

    fn time(&self, rank: usize) -> f64 {
        self.loads[rank] * self.paces.of(Rank(rank as u16))
    }

    /// Returns the best change that relieves the slowest rank and brings experts only to
    /// ranks for which `allowed` returns true, or `None` if no change improves the layer.
    pub fn best(&self, allowed: impl Fn(Rank, Expert) -> bool) -> Option<Change> {
        if self.mean <= 0.0 {
            return None;
        }
        let ranks = 0..self.loads.len();
        let slowest = ranks.max_by(|a, b| self.time(*a).total_cmp(&self.time(*b)))?;
        let others = fastest(self.loads.len(), slowest, |rank| self.time(rank));
        let (layer, slowest) = (&self.layer, Rank(slowest as u16));
        let mut buffer = Vec::new();
        let mut best: Option<(f64, Change)> = None;
        let mut consider = |change: Change| {
            let Some(gain) = self.gain(change, &mut buffer) else { return };
            let gain = gain / change.moves().max(1) as f64 * (1.0 + surplus(layer, change));
            if gain > MIN_GAIN && best.is_none_or(|best| gain > best.0) {
                best = Some((gain, change));
            }
        };
        if Pace::of(self.paces.of(slowest)) != Pace::Sound {
            layer.slots_of(slowest).for_each(|slot| consider(Change::Drop(slot)));
        }
        for (from, hot) in heaviest(layer, self.tokens, slowest) {
            for rank in others.iter().map(|it| Rank(*it as u16)) {
                let takes = allowed(rank, hot);
                for to in layer.slots_of(rank).filter(|_| takes) {
                    consider(Change::Put(to, hot));
                    if layer.expert(to).is_some_and(|expert| allowed(slowest, expert)) {
                        consider(Change::Swap(from, to));
                    }
                }
            }
        }
        best.map(|it| it.1)
    }

    /// Applies a change. Returns `false` and changes nothing if the resulting layer would
    /// be invalid.
    pub fn apply(&mut self, change: Change) -> bool {
        let experts = |steps: &Self| -> Vec<Expert> {
            change.slots().filter_map(|slot| steps.layer.expert(slot)).collect()
        };
        let mut affected = experts(self);
        if !change.apply(&mut self.layer) {
            return false;
        }
        affected.extend(experts(self));
        affected.sort_unstable();
        affected.dedup();
        let mut ranks: Vec<usize> = change.slots().map(|it| self.rank_at(it)).collect();
        for expert in affected {
            let slots = self.layer.slots_with(expert).collect();
            self.holders[usize::from(expert.0)] = slots;
            ranks.extend(self.holders[usize::from(expert.0)].iter().map(|it| self.rank_at(*it)));
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

    /// Returns the load of one replica of an expert, given its number of replicas.
    fn share(&self, expert: Expert, replicas: u16) -> f64 {
        self.tokens[usize::from(expert.0)] / f64::from(replicas)
    }

    /// Returns the contribution of a rank to the potential at a given load.
    fn term(&self, rank: usize, load: f64) -> f64 {
        let time = load * self.paces.of(Rank(rank as u16));
        (time / self.mean).powi(POTENTIAL_EXPONENT)
    }

    /// Returns by how much a change reduces the potential, or `None` if it would make the
    /// layer invalid. `deltas` is a reusable buffer for the load changes of ranks.
    fn gain(&self, change: Change, deltas: &mut Vec<(usize, f64)>) -> Option<f64> {
        deltas.clear();
        let mut add = |rank: Rank, load: f64| {
            let rank = usize::from(rank.0);
            match deltas.iter_mut().find(|it| it.0 == rank) {
                Some(entry) => entry.1 += load,
                None => deltas.push((rank, load)),
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
        let reduction = |(rank, delta): &(usize, f64)| {
            self.terms[*rank] - self.term(*rank, (self.loads[*rank] + delta).max(0.0))
        };
        Some(deltas.iter().map(reduction).sum())
    }
}

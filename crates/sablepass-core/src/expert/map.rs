// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert maps. A map that leaves an expert without a slot or puts one twice
//! on a rank cannot be built.

use snafu::Snafu;

use crate::rendezvous;

/// Marks a slot without an expert, in memory and on the wire.
const EMPTY: u16 = u16::MAX;

/// The size of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shape {
    /// Ranks.
    pub ranks: usize,
    /// Layers.
    pub layers: usize,
    /// Experts a layer.
    pub experts: usize,
    /// Slots of a rank in a layer.
    pub slots: usize,
}

/// An expert of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Expert(pub u16);

/// A rank of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank(pub u16);

/// A slot of a layer: rank times slots a rank, plus the place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub usize);

/// Why a map cannot be built.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The bytes or slots are too few or too many.
    #[snafu(display("{found} slots; the shape has {expected}"))]
    Size {
        /// Slots found.
        found: usize,
        /// Slots of the shape.
        expected: usize,
    },
    /// No such expert.
    #[snafu(display("layer {layer}: no expert {expert}"))]
    Unknown {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: u16,
    },
    /// An expert has no slot.
    #[snafu(display("layer {layer}: expert {expert} has no slot"))]
    Missing {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: u16,
    },
    /// An expert is twice on a rank.
    #[snafu(display("layer {layer}: expert {expert} is twice on rank {rank}"))]
    Duplicate {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: u16,
        /// The rank.
        rank: usize,
    },
}

/// One layer: the expert in each slot, rank by rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Layer {
    slots: Vec<u16>,
    per_rank: usize,
    replicas: Vec<u16>,
}

impl Layer {
    /// Checks slots and builds a layer of them.
    fn parse(shape: Shape, layer: usize, slots: Vec<u16>) -> Result<Self, Error> {
        let expected = shape.ranks * shape.slots;
        if slots.len() != expected {
            return Err(Error::Size { found: slots.len(), expected });
        }
        let mut replicas = vec![0; shape.experts];
        for (rank, held) in slots.chunks(shape.slots).enumerate() {
            for (place, &expert) in held.iter().enumerate() {
                if expert == EMPTY {
                    continue;
                }
                if usize::from(expert) >= shape.experts {
                    return Err(Error::Unknown { layer, expert });
                }
                if held[..place].contains(&expert) {
                    return Err(Error::Duplicate { layer, expert, rank });
                }
                replicas[usize::from(expert)] += 1;
            }
        }
        if let Some(expert) = replicas.iter().position(|it| *it == 0) {
            return Err(Error::Missing { layer, expert: expert as u16 });
        }
        Ok(Self { slots, per_rank: shape.slots, replicas })
    }

    /// The expert in a slot.
    pub fn expert(&self, slot: Slot) -> Option<Expert> {
        let it = self.slots[slot.0];
        (it != EMPTY).then_some(Expert(it))
    }

    /// The rank of a slot.
    pub fn rank(&self, slot: Slot) -> Rank {
        Rank((slot.0 / self.per_rank) as u16)
    }

    /// The slots of a rank.
    pub fn slots_of(&self, rank: Rank) -> impl Iterator<Item = Slot> + use<> {
        let first = usize::from(rank.0) * self.per_rank;
        (first..first + self.per_rank).map(Slot)
    }

    /// All slots.
    pub fn slots(&self) -> impl Iterator<Item = Slot> + use<> {
        (0..self.slots.len()).map(Slot)
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.slots.len() / self.per_rank
    }

    /// Number of experts.
    pub fn experts(&self) -> usize {
        self.replicas.len()
    }

    /// How many slots hold an expert.
    pub fn replicas(&self, it: Expert) -> u16 {
        self.replicas[usize::from(it.0)]
    }

    /// Whether a rank holds an expert.
    pub fn holds(&self, rank: Rank, it: Expert) -> bool {
        self.slots_of(rank).any(|slot| self.slots[slot.0] == it.0)
    }

    /// The slots that hold an expert.
    pub fn slots_with(&self, it: Expert) -> impl Iterator<Item = Slot> {
        self.slots
            .iter()
            .enumerate()
            .filter(move |(_, held)| **held == it.0)
            .map(|(at, _)| Slot(at))
    }

    /// Puts an expert into a slot. Refused, and nothing changed, where that
    /// would leave the one there without a slot or have one twice on a rank.
    pub fn put(&mut self, slot: Slot, it: Expert) -> bool {
        let old = self.expert(slot);
        let last = old.is_some_and(|it| self.replicas(it) < 2);
        if last || self.holds(self.rank(slot), it) {
            return false;
        }
        self.set(slot, it);
        true
    }

    /// Exchanges the experts of two slots, under the same rule.
    pub fn swap(&mut self, a: Slot, b: Slot) -> bool {
        let (Some(x), Some(y)) = (self.expert(a), self.expert(b)) else {
            return false;
        };
        let (ra, rb) = (self.rank(a), self.rank(b));
        if ra == rb || self.holds(ra, y) || self.holds(rb, x) {
            return false;
        }
        self.slots.swap(a.0, b.0);
        true
    }

    /// Empties a slot, under the same rule.
    pub fn clear(&mut self, slot: Slot) -> bool {
        let Some(old) = self.expert(slot).filter(|it| self.replicas(*it) > 1) else {
            return false;
        };
        self.replicas[usize::from(old.0)] -= 1;
        self.slots[slot.0] = EMPTY;
        true
    }

    fn set(&mut self, slot: Slot, it: Expert) {
        if let Some(old) = self.expert(slot) {
            self.replicas[usize::from(old.0)] -= 1;
        }
        self.slots[slot.0] = it.0;
        self.replicas[usize::from(it.0)] += 1;
    }

    /// Load of each rank: an expert's tokens are split evenly over its slots.
    pub fn rank_loads(&self, tokens: &[f64]) -> Vec<f64> {
        let share = |it: &u16| match *it {
            EMPTY => 0.0,
            it => tokens[usize::from(it)] / f64::from(self.replicas[usize::from(it)]),
        };
        self.slots.chunks(self.per_rank).map(|held| held.iter().map(share).sum()).collect()
    }

    /// The most loaded rank relative to the mean; 1 is even, and so is no load.
    pub fn skew(&self, tokens: &[f64]) -> f64 {
        skew(&self.rank_loads(tokens))
    }

    /// The rank that takes longest relative to the mean load: `skew`, where
    /// ranks differ in pace.
    pub fn lag(&self, tokens: &[f64], paces: &Paces) -> f64 {
        let loads = self.rank_loads(tokens);
        let total: f64 = loads.iter().sum();
        if total <= 0.0 {
            return 1.0;
        }
        let time = |(rank, load): (usize, &f64)| load * paces.of(Rank(rank as u16));
        let most = loads.iter().enumerate().map(time).fold(0.0, f64::max);
        most * loads.len() as f64 / total
    }

    /// Slots whose expert differs: each is one loading of weights.
    pub fn moves_from(&self, old: &Self) -> usize {
        let changed = |rank: usize| {
            let slots = rank * self.per_rank..(rank + 1) * self.per_rank;
            let had = &old.slots[slots.clone()];
            self.slots[slots].iter().filter(|it| **it != EMPTY && !had.contains(it)).count()
        };
        (0..self.ranks()).map(changed).sum()
    }
}

/// What the declaration of a service says of the maps of its groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Layers that are placed one by one.
    pub layers: u32,
    /// Experts a layer.
    pub experts: u32,
    /// Slots of a rank in a layer.
    pub slots: u32,
    /// Experts of a layer that one preparation may bring to a rank.
    pub spare: u32,
    /// Microseconds that a rank takes to copy one expert.
    pub copy: u32,
    /// Thousandths of the work for a token that experts do.
    pub part: u32,
    /// Microseconds of a step without any sequence.
    pub step: u32,
    /// Microseconds that a step takes longer for each sequence that writes.
    pub sequence: u32,
}

/// How long each rank takes for the same work; 1 is a healthy one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paces(Vec<f64>);

impl Paces {
    /// A pace that is believed at most: twice the 8 by which the users' slowest
    /// kind of fault slows a target.
    const MOST: f64 = 16.0;

    /// Takes them rank by rank. Those left out are 1, as are those below 1.
    pub fn new(paces: impl IntoIterator<Item = f64>) -> Self {
        let believed = |it: f64| if it.is_finite() { it.clamp(1.0, Self::MOST) } else { 1.0 };
        Self(paces.into_iter().map(believed).collect())
    }

    /// The pace of a rank.
    pub fn of(&self, rank: Rank) -> f64 {
        self.0.get(usize::from(rank.0)).copied().unwrap_or(1.0)
    }
}

/// Largest value relative to the mean.
pub fn skew(loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let most = loads.iter().copied().fold(0.0, f64::max);
    most * loads.len() as f64 / total
}

/// A whole map.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Map {
    /// Its size.
    pub shape: Shape,
    /// Its layers.
    pub layers: Vec<Layer>,
}

impl Map {
    /// The map before anything is known: experts in turn over all slots.
    pub fn even(shape: Shape) -> Result<Self, Error> {
        let mut slots = vec![EMPTY; shape.ranks * shape.slots];
        let mut next = 0;
        for place in 0..shape.slots {
            for rank in 0..shape.ranks {
                let expert = (next % shape.experts) as u16;
                let held = &slots[rank * shape.slots..(rank + 1) * shape.slots];
                // With more slots a rank than experts, some stay empty.
                if !held.contains(&expert) {
                    slots[rank * shape.slots + place] = expert;
                }
                next += 1;
            }
        }
        let layer = |it| Layer::parse(shape, it, slots.clone());
        let layers = (0..shape.layers).map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// The map of a group that formed just now: each expert once, in turn over the
    /// ranks.
    pub fn initial(shape: Shape) -> Result<Self, Error> {
        let mut slots = vec![EMPTY; shape.ranks * shape.slots];
        for expert in 0..shape.experts {
            let (rank, place) = (expert % shape.ranks, expert / shape.ranks);
            if place < shape.slots {
                slots[rank * shape.slots + place] = expert as u16;
            }
        }
        let layer = |it| Layer::parse(shape, it, slots.clone());
        let layers = (0..shape.layers).map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// Whether each rank holds the same experts, in whatever slots.
    pub fn holds_same(&self, other: &Self) -> bool {
        self.shape == other.shape && self.moves_from(other) + other.moves_from(self) == 0
    }

    /// Builds a map from the expert of each slot, layer by layer; none is empty.
    pub fn build(shape: Shape, slots: &[Vec<Option<Expert>>]) -> Result<Self, Error> {
        if slots.len() != shape.layers {
            return Err(Error::Size { found: slots.len(), expected: shape.layers });
        }
        let code = |it: &Option<Expert>| it.map_or(EMPTY, |it| it.0);
        let layer = |(layer, it): (usize, &Vec<Option<Expert>>)| {
            Layer::parse(shape, layer, it.iter().map(code).collect())
        };
        let layers = slots.iter().enumerate().map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// The bytes used on the wire: two little-endian ones a slot.
    pub fn encode(&self) -> Vec<u8> {
        self.layers.iter().flat_map(|it| &it.slots).flat_map(|it| it.to_le_bytes()).collect()
    }

    /// Reads the bytes used on the wire.
    pub fn parse(shape: Shape, bytes: &[u8]) -> Result<Self, Error> {
        let per_layer = shape.ranks * shape.slots;
        let expected = per_layer * shape.layers;
        if bytes.len() != expected * 2 {
            return Err(Error::Size { found: bytes.len() / 2, expected });
        }
        let slots: Vec<u16> =
            bytes.chunks_exact(2).map(|it| u16::from_le_bytes([it[0], it[1]])).collect();
        let layer = |(layer, it): (usize, &[u16])| Layer::parse(shape, layer, it.to_vec());
        let layers = slots.chunks(per_layer).enumerate().map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// A name of the map's content.
    pub fn digest(&self) -> u64 {
        rendezvous::stable_hash(&self.encode())
    }

    /// Loadings of weights that lead from another map to this one.
    pub fn moves_from(&self, old: &Self) -> usize {
        self.layers.iter().zip(&old.layers).map(|(new, old)| new.moves_from(old)).sum()
    }

    /// Skew of each layer, given the tokens of each layer's experts.
    pub fn skews(&self, tokens: &[Vec<f64>]) -> Vec<f64> {
        self.layers.iter().zip(tokens).map(|(layer, it)| layer.skew(it)).collect()
    }
}

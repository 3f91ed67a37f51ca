// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert maps: which expert each slot of a rank holds, layer by layer.
//! Constructors reject a map in which an expert has no slot, or has two slots
//! on one rank. Used by the planner and by the agents of a group's ranks.

use snafu::Snafu;

use crate::rendezvous;

/// Value of an empty slot, in memory and on the wire.
const EMPTY: u16 = u16::MAX;

/// Dimensions of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Shape {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of layers.
    pub layers: usize,
    /// Experts per layer.
    pub experts: usize,
    /// Slots per rank and layer.
    pub slots: usize,
}

/// Index of an expert within its layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Expert(pub u16);

/// Index of a rank within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank(pub u16);

/// Index of a slot within a layer: the rank times the slots per rank, plus the
/// position on the rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub usize);

/// A reason why a map is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The number of bytes, slots or layers does not match the shape.
    #[snafu(display("map has {found} slots or layers; its shape requires {expected}"))]
    Size {
        /// Slots or layers found.
        found: usize,
        /// Slots or layers of the shape.
        expected: usize,
    },
    /// The expert number is out of range.
    #[snafu(display("layer {layer}: unknown expert {expert}"))]
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
    /// An expert has two slots on one rank.
    #[snafu(display("layer {layer}: expert {expert} has two slots on rank {rank}"))]
    Duplicate {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: u16,
        /// The rank.
        rank: usize,
    },
}

/// One layer of a map: the expert in each slot, ordered by rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Layer {
    slots: Vec<u16>,
    per_rank: usize,
    /// Slots of each expert.
    replicas: Vec<u16>,
}

impl Layer {
    /// Builds a layer from its slots, after checking them against the shape.
    fn parse(shape: Shape, layer: usize, slots: Vec<u16>) -> Result<Self, Error> {
        let expected = shape.ranks * shape.slots;
        if slots.len() != expected {
            return Err(Error::Size { found: slots.len(), expected });
        }
        let mut replicas = vec![0; shape.experts];
        for (rank, held) in slots.chunks(shape.slots).enumerate() {
            for (position, &expert) in held.iter().enumerate() {
                if expert == EMPTY {
                    continue;
                }
                if usize::from(expert) >= shape.experts {
                    return Err(Error::Unknown { layer, expert });
                }
                if held[..position].contains(&expert) {
                    return Err(Error::Duplicate { layer, expert, rank });
                }
                replicas[usize::from(expert)] += 1;
            }
        }
        if let Some(expert) = replicas.iter().position(|count| *count == 0) {
            return Err(Error::Missing { layer, expert: expert as u16 });
        }
        Ok(Self { slots, per_rank: shape.slots, replicas })
    }

    /// Returns the expert in a slot, or `None` if the slot is empty.
    pub fn expert(&self, slot: Slot) -> Option<Expert> {
        let expert = self.slots[slot.0];
        (expert != EMPTY).then_some(Expert(expert))
    }

    /// Returns the rank that a slot belongs to.
    pub fn rank(&self, slot: Slot) -> Rank {
        Rank((slot.0 / self.per_rank) as u16)
    }

    /// Returns the slots of a rank.
    pub fn slots_of(&self, rank: Rank) -> impl Iterator<Item = Slot> + use<> {
        let first = usize::from(rank.0) * self.per_rank;
        (first..first + self.per_rank).map(Slot)
    }

    /// Returns all slots, ordered by rank.
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

    /// Number of slots that hold an expert.
    pub fn replicas(&self, expert: Expert) -> u16 {
        self.replicas[usize::from(expert.0)]
    }

    /// Returns whether a rank holds an expert.
    pub fn holds(&self, rank: Rank, expert: Expert) -> bool {
        self.slots_of(rank).any(|slot| self.slots[slot.0] == expert.0)
    }

    /// Returns the slots that hold an expert.
    pub fn slots_with(&self, expert: Expert) -> impl Iterator<Item = Slot> {
        self.slots
            .iter()
            .enumerate()
            .filter(move |(_, held)| **held == expert.0)
            .map(|(index, _)| Slot(index))
    }

    /// Puts an expert into a slot. Returns `false` and changes nothing if the
    /// slot holds the last replica of another expert, or if the slot's rank
    /// already holds the expert.
    pub fn put(&mut self, slot: Slot, expert: Expert) -> bool {
        let old = self.expert(slot);
        let last = old.is_some_and(|old| self.replicas(old) < 2);
        if last || self.holds(self.rank(slot), expert) {
            return false;
        }
        self.set(slot, expert);
        true
    }

    /// Exchanges the experts of two slots. Returns `false` and changes nothing if
    /// a slot is empty, if both are on one rank, or if a rank already holds the
    /// expert that it would get.
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

    /// Empties a slot. Returns `false` and changes nothing if it is empty already
    /// or holds the last replica of its expert.
    pub fn clear(&mut self, slot: Slot) -> bool {
        let Some(old) = self.expert(slot).filter(|old| self.replicas(*old) > 1) else {
            return false;
        };
        self.replicas[usize::from(old.0)] -= 1;
        self.slots[slot.0] = EMPTY;
        true
    }

    fn set(&mut self, slot: Slot, expert: Expert) {
        if let Some(old) = self.expert(slot) {
            self.replicas[usize::from(old.0)] -= 1;
        }
        self.slots[slot.0] = expert.0;
        self.replicas[usize::from(expert.0)] += 1;
    }

    /// Returns the load of each rank in tokens. An expert's tokens are split evenly
    /// over its slots.
    pub fn rank_loads(&self, tokens: &[f64]) -> Vec<f64> {
        let share = |held: &u16| match *held {
            EMPTY => 0.0,
            expert => tokens[usize::from(expert)] / f64::from(self.replicas[usize::from(expert)]),
        };
        self.slots.chunks(self.per_rank).map(|held| held.iter().map(share).sum()).collect()
    }

    /// Returns the load of the most loaded rank relative to the mean. 1 means
    /// balanced, and is also returned when there is no load.
    pub fn skew(&self, tokens: &[f64]) -> f64 {
        skew(&self.rank_loads(tokens))
    }

    /// Returns the load times pace of the slowest rank, relative to the mean load.
    /// Equals `skew` if all paces are 1.
    pub fn lag(&self, tokens: &[f64], paces: &Paces) -> f64 {
        let loads = self.rank_loads(tokens);
        let total: f64 = loads.iter().sum();
        if total <= 0.0 {
            return 1.0;
        }
        let time = |(rank, load): (usize, &f64)| load * paces.of(Rank(rank as u16));
        let slowest = loads.iter().enumerate().map(time).fold(0.0, f64::max);
        slowest * loads.len() as f64 / total
    }

    /// Returns the number of experts that ranks hold in this layer and not in `old`.
    /// Each requires one load of weights; a slot change within a rank does not.
    pub fn moves_from(&self, old: &Self) -> usize {
        let changed = |rank: usize| {
            let slots = rank * self.per_rank..(rank + 1) * self.per_rank;
            let had = &old.slots[slots.clone()];
            self.slots[slots].iter().filter(|held| **held != EMPTY && !had.contains(held)).count()
        };
        (0..self.ranks()).map(changed).sum()
    }
}

/// Declared dimensions and costs of the expert maps of a service's groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Number of layers, each of which is placed independently.
    pub layers: u32,
    /// Experts per layer.
    pub experts: u32,
    /// Slots per rank and layer.
    pub slots: u32,
    /// New experts that a rank may load per layer while it prepares a map.
    pub spare: u32,
    /// Microseconds that a rank takes to copy one expert.
    pub copy: u32,
    /// Share of the work for a token that is done by experts, in thousandths.
    pub part: u32,
    /// Microseconds of a step without sequences.
    pub step: u32,
    /// Additional microseconds of a step for each sequence that generates tokens.
    pub sequence: u32,
}

/// Time that each rank takes for the same work, relative to a healthy rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paces(Vec<f64>);

impl Paces {
    /// Upper bound of a pace: twice the factor of 8 by which the most severe
    /// known kind of slowdown affects a target.
    const MAX_PACE: f64 = 16.0;

    /// Builds paces from one value per rank. Values are limited to 1 and above;
    /// missing and non-finite values count as 1.
    pub fn new(paces: impl IntoIterator<Item = f64>) -> Self {
        let bounded =
            |pace: f64| if pace.is_finite() { pace.clamp(1.0, Self::MAX_PACE) } else { 1.0 };
        Self(paces.into_iter().map(bounded).collect())
    }

    /// Returns the pace of a rank, 1 if none was given.
    pub fn of(&self, rank: Rank) -> f64 {
        self.0.get(usize::from(rank.0)).copied().unwrap_or(1.0)
    }
}

/// Returns the largest value relative to the mean, or 1 if there is no load.
pub fn skew(loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let largest = loads.iter().copied().fold(0.0, f64::max);
    largest * loads.len() as f64 / total
}

/// The expert map of a group: one [`Layer`] for each layer of the shape.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Map {
    /// Dimensions of the map.
    pub shape: Shape,
    /// Layers in order.
    pub layers: Vec<Layer>,
}

impl Map {
    /// Returns a map for unknown demand: experts are assigned round-robin until all
    /// slots are filled.
    pub fn even(shape: Shape) -> Result<Self, Error> {
        let mut slots = vec![EMPTY; shape.ranks * shape.slots];
        let mut next = 0;
        for position in 0..shape.slots {
            for rank in 0..shape.ranks {
                let expert = (next % shape.experts) as u16;
                let held = &slots[rank * shape.slots..(rank + 1) * shape.slots];
                // If the round-robin order repeats an expert on a rank, the slot stays empty.
                if !held.contains(&expert) {
                    slots[rank * shape.slots + position] = expert;
                }
                next += 1;
            }
        }
        let layer = |index| Layer::parse(shape, index, slots.clone());
        let layers = (0..shape.layers).map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// Returns the first map of a new group: each expert has one replica, assigned
    /// round-robin to the ranks.
    pub fn initial(shape: Shape) -> Result<Self, Error> {
        let mut slots = vec![EMPTY; shape.ranks * shape.slots];
        for expert in 0..shape.experts {
            let (rank, position) = (expert % shape.ranks, expert / shape.ranks);
            if position < shape.slots {
                slots[rank * shape.slots + position] = expert as u16;
            }
        }
        let layer = |index| Layer::parse(shape, index, slots.clone());
        let layers = (0..shape.layers).map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// Returns whether each rank holds the same experts in both maps, regardless of
    /// their slots.
    pub fn holds_same(&self, other: &Self) -> bool {
        self.shape == other.shape && self.moves_from(other) + other.moves_from(self) == 0
    }

    /// Builds a map from the expert of each slot, layer by layer. `None` stands for
    /// an empty slot.
    pub fn build(shape: Shape, slots: &[Vec<Option<Expert>>]) -> Result<Self, Error> {
        if slots.len() != shape.layers {
            return Err(Error::Size { found: slots.len(), expected: shape.layers });
        }
        let code = |held: &Option<Expert>| held.map_or(EMPTY, |expert| expert.0);
        let layer = |(layer, slots): (usize, &Vec<Option<Expert>>)| {
            Layer::parse(shape, layer, slots.iter().map(code).collect())
        };
        let layers = slots.iter().enumerate().map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// Encodes the map for the wire: two little-endian bytes per slot.
    pub fn encode(&self) -> Vec<u8> {
        self.layers.iter().flat_map(|layer| &layer.slots).flat_map(|it| it.to_le_bytes()).collect()
    }

    /// Decodes a map from the bytes that `encode` returns.
    pub fn parse(shape: Shape, bytes: &[u8]) -> Result<Self, Error> {
        let per_layer = shape.ranks * shape.slots;
        let expected = per_layer * shape.layers;
        if bytes.len() != expected * 2 {
            return Err(Error::Size { found: bytes.len() / 2, expected });
        }
        let slots: Vec<u16> =
            bytes.chunks_exact(2).map(|it| u16::from_le_bytes([it[0], it[1]])).collect();
        let layer = |(layer, slots): (usize, &[u16])| Layer::parse(shape, layer, slots.to_vec());
        let layers = slots.chunks(per_layer).enumerate().map(layer).collect::<Result<_, _>>()?;
        Ok(Self { shape, layers })
    }

    /// Returns a hash of the encoded map that is stable across processes.
    pub fn digest(&self) -> u64 {
        rendezvous::stable_hash(&self.encode())
    }

    /// Returns the number of weight loads needed to change from `old` to this map.
    pub fn moves_from(&self, old: &Self) -> usize {
        self.layers.iter().zip(&old.layers).map(|(new, old)| new.moves_from(old)).sum()
    }

    /// Returns the skew of each layer, given the tokens of each layer's experts.
    pub fn skews(&self, tokens: &[Vec<f64>]) -> Vec<f64> {
        self.layers.iter().zip(tokens).map(|(layer, tokens)| layer.skew(tokens)).collect()
    }
}

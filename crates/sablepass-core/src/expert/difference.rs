// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A map told by what differs from one that the receiver has.
//!
//! A map of 192 ranks with 10 layers of 3 slots takes 11.5 KB, and a rank that
//! passed it on to 14 others filled its link of 6 Mbit/s for 0.2 s. A change
//! brings some hundred experts to other ranks, at three to four bytes each.

use snafu::{OptionExt, Snafu, ensure};

use crate::expert::map::{self, Expert, Map, Slot};

/// Why a difference cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Slots and experts come in pairs.
    #[snafu(display("{numbers} numbers are no pairs"))]
    Unpaired {
        /// Numbers given.
        numbers: usize,
    },
    /// There is no such slot.
    #[snafu(display("no slot {slot} of {slots}"))]
    Slot {
        /// The slot, counted over all layers.
        slot: u64,
        /// Slots of the map.
        slots: usize,
    },
    /// There is no such expert.
    #[snafu(display("no expert {expert}"))]
    Expert {
        /// The number given, one above the expert's.
        expert: u32,
    },
    /// A whole map is none.
    #[snafu(transparent)]
    Map {
        /// Why not.
        source: map::Error,
    },
    /// It starts from another map than the receiver's.
    #[snafu(display("it starts from another map"))]
    BaseMismatch,
}

/// The numbers used on the wire, two for each slot with another expert: its
/// distance from the one before, over all layers, and the expert plus 1, or 0 for
/// none. Both maps have the same shape.
pub fn between(old: &Map, new: &Map) -> Vec<u32> {
    let mut numbers = Vec::new();
    let (mut slot, mut told) = (0, 0);
    for (old, new) in old.layers.iter().zip(&new.layers) {
        for at in new.slots() {
            let it = new.expert(at);
            if it != old.expert(at) {
                numbers.push(slot - told);
                numbers.push(it.map_or(0, |it| u32::from(it.0) + 1));
                told = slot;
            }
            slot += 1;
        }
    }
    numbers
}

/// The map that differs so from another one, if it has the digest that the sender
/// gave.
pub fn apply(old: &Map, numbers: &[u32], digest: u64) -> Result<Map, Error> {
    let per_layer = old.shape.ranks * old.shape.slots;
    let slots = per_layer * old.shape.layers;
    let all = |it: &map::Layer| it.slots().map(|at| it.expert(at)).collect::<Vec<_>>();
    let mut layers: Vec<Vec<Option<Expert>>> = old.layers.iter().map(all).collect();
    let (pairs, rest) = numbers.as_chunks::<2>();
    ensure!(rest.is_empty(), UnpairedSnafu { numbers: numbers.len() });
    let mut slot = 0_u64;
    for [distance, expert] in pairs {
        slot += u64::from(*distance);
        let Slot(at) = Slot(usize::try_from(slot).unwrap_or(usize::MAX));
        ensure!(at < slots, SlotSnafu { slot, slots });
        layers[at / per_layer][at % per_layer] = parse_expert(*expert)?;
    }
    // From another map the same changes mostly lead to what is no map at all.
    let new = Map::build(old.shape, &layers).ok();
    new.filter(|it| it.digest() == digest).context(BaseMismatchSnafu)
}

fn parse_expert(number: u32) -> Result<Option<Expert>, Error> {
    let Some(it) = number.checked_sub(1) else { return Ok(None) };
    match u16::try_from(it) {
        Ok(it) => Ok(Some(Expert(it))),
        Err(_) => ExpertSnafu { expert: number }.fail(),
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Hashes of the instance list, one for each of a fixed number of parts, so that two processes find
//! their differences by exchanging 1 KB and send only the parts that differ.
//!
//! The hashes cover the content of the lines and not their revisions, since targets rewrite the
//! same line with every heartbeat.

use crate::rendezvous;

/// Number of parts. A differing line is sent with the others of its part: one in 128 lines, or some
/// 8 KB of a list of 5,000 targets; all hashes together are 1 KB.
pub const COUNT: usize = 128;

/// A set of parts, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mask(pub u128);

impl Mask {
    /// All parts.
    pub const ALL: Self = Self(u128::MAX);

    /// Whether the set contains the part of the line with this key.
    pub fn has(self, key: &str) -> bool {
        self.0 & 1 << part(key) != 0
    }
}

/// Part to which the line with this key belongs.
fn part(key: &str) -> usize {
    (rendezvous::stable_hash(key) % COUNT as u64) as usize
}

/// One hash for each part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts(Box<[u64; COUNT]>);

impl Default for Parts {
    fn default() -> Self {
        Self(Box::new([0; COUNT]))
    }
}

impl Parts {
    /// Builds the hashes from a slice; `None` unless there are exactly [`COUNT`].
    pub fn parse(hashes: &[u64]) -> Option<Self> {
        let hashes: [u64; COUNT] = hashes.try_into().ok()?;
        Some(Self(Box::new(hashes)))
    }

    /// The hashes in order of their parts.
    pub fn hashes(&self) -> &[u64] {
        self.0.as_slice()
    }

    /// Adds a line to the hash of its part, or removes it if it was added before.
    pub fn toggle(&mut self, key: &str, body: &str) {
        self.0[part(key)] ^= rendezvous::stable_hash(&(key, body));
    }

    /// The parts whose hashes differ.
    pub fn differing(&self, other: &Self) -> Mask {
        let pairs = self.0.iter().zip(other.0.iter()).enumerate();
        let bits = pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(index, _)| 1 << index);
        Mask(bits.fold(0, |mask: u128, bit: u128| mask | bit))
    }

    /// Hash over all parts.
    pub fn hash(&self) -> u64 {
        rendezvous::stable_hash(self.0.as_slice())
    }
}

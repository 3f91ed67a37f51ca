// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The instance list in parts, each with a hash of what it says, so that two processes find
//! what differs by a kilobyte and tell each other no more than that.
//!
//! The hashes go by what lines say, not by the revisions at which it was written: targets
//! write the same line anew with every heartbeat.

use crate::rendezvous;

/// Parts of a list. A line that differs is told with the others of its part: one in 128, or
/// some 8 KB of a list of 5,000 targets, where all hashes are 1 KB.
pub const COUNT: usize = 128;

/// Some of the parts, a bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mask(pub u128);

impl Mask {
    /// All parts.
    pub const ALL: Self = Self(u128::MAX);

    /// Whether the part of a line is one of them.
    pub fn has(self, key: &str) -> bool {
        self.0 & 1 << part(key) != 0
    }
}

/// The part of a line.
fn part(key: &str) -> usize {
    (rendezvous::stable_hash(key) % COUNT as u64) as usize
}

/// A hash for each part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts(Box<[u64; COUNT]>);

impl Default for Parts {
    fn default() -> Self {
        Self(Box::new([0; COUNT]))
    }
}

impl Parts {
    /// Reads as many hashes as there are parts.
    pub fn parse(hashes: &[u64]) -> Option<Self> {
        let hashes: [u64; COUNT] = hashes.try_into().ok()?;
        Some(Self(Box::new(hashes)))
    }

    /// The hashes, part by part.
    pub fn hashes(&self) -> &[u64] {
        self.0.as_slice()
    }

    /// Adds a line, or takes one out that is there.
    pub fn toggle(&mut self, key: &str, body: &str) {
        self.0[part(key)] ^= rendezvous::stable_hash(&(key, body));
    }

    /// The parts that say something else.
    pub fn differing(&self, other: &Self) -> Mask {
        let pairs = self.0.iter().zip(other.0.iter()).enumerate();
        let bits = pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(it, _)| 1 << it);
        Mask(bits.fold(0, |all: u128, it: u128| all | it))
    }

    /// One hash for all.
    pub fn hash(&self) -> u64 {
        rendezvous::stable_hash(self.0.as_slice())
    }
}

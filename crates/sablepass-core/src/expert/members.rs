// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A set of members of a group, a bit each.

use std::fmt;

use snafu::{Snafu, ensure};

/// Most members of a group. The users' largest deployment has 192 ranks in one;
/// a set of so many takes 128 bytes in memory, and on the wire as many as its
/// highest member needs.
pub const MAX_MEMBERS: u16 = 1_024;

const WORD: usize = u64::BITS as usize;
const WORDS: usize = MAX_MEMBERS as usize / WORD;
const BYTE: usize = u8::BITS as usize;

/// Why bytes are no set of members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// More bytes than any group needs.
    #[snafu(display("{bytes} bytes; a set has {} at most", usize::from(MAX_MEMBERS) / BYTE))]
    Length {
        /// Bytes given.
        bytes: usize,
    },
    /// The group has no such member.
    #[snafu(display("no member {member} in a group of {size}"))]
    Unknown {
        /// The member named.
        member: u16,
        /// Members of the group.
        size: u16,
    },
}

/// Checks that a group of `size` has a member.
pub fn check(member: u16, size: u16) -> Result<(), Error> {
    ensure!(member < size, UnknownSnafu { member, size });
    Ok(())
}

/// The set. Members from [`MAX_MEMBERS`] on are never in it.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Members([u64; WORDS]);

impl Members {
    /// The set of one member.
    pub fn one(member: u16) -> Self {
        let mut it = Self::default();
        it.insert(member);
        it
    }

    /// Puts a member in. False, and nothing changed, for one that no group has.
    pub fn insert(&mut self, member: u16) -> bool {
        let at = usize::from(member);
        let Some(word) = self.0.get_mut(at / WORD) else { return false };
        *word |= 1 << (at % WORD);
        true
    }

    /// Whether a member is in.
    pub fn contains(&self, member: u16) -> bool {
        let at = usize::from(member);
        self.0.get(at / WORD).is_some_and(|word| word >> (at % WORD) & 1 == 1)
    }

    /// How many are in.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|it| it.count_ones()).sum()
    }

    /// Whether none is in.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Those that are in this set or the other.
    pub fn union(mut self, other: &Self) -> Self {
        for (word, it) in self.0.iter_mut().zip(&other.0) {
            *word |= it;
        }
        self
    }

    /// Whether all of another set are in.
    pub fn contains_all(&self, other: &Self) -> bool {
        self.0.iter().zip(&other.0).all(|(word, it)| it & !word == 0)
    }

    /// The members, in order.
    pub fn iter(&self) -> impl Iterator<Item = u16> {
        (0..MAX_MEMBERS).filter(|it| self.contains(*it))
    }

    /// The member with the highest number.
    pub fn last(&self) -> Option<u16> {
        let word = self.0.iter().rposition(|it| *it != 0)?;
        Some((word * WORD) as u16 + self.0[word].ilog2() as u16)
    }

    /// Checks that all are members of a group of `size`.
    pub fn check(&self, size: u16) -> Result<(), Error> {
        self.last().map_or(Ok(()), |it| check(it, size))
    }

    /// The bytes used on the wire: eight members each, the lowest in the lowest
    /// bit of the first, and none after the last that is not 0.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes: Vec<u8> = self.0.iter().flat_map(|it| it.to_le_bytes()).collect();
        let used = bytes.iter().rposition(|it| *it != 0).map_or(0, |last| last + 1);
        bytes.truncate(used);
        bytes
    }

    /// Reads the bytes used on the wire as members of a group of `size`.
    pub fn parse(bytes: &[u8], size: u16) -> Result<Self, Error> {
        ensure!(bytes.len() <= WORDS * WORD / BYTE, LengthSnafu { bytes: bytes.len() });
        let mut set = Self::default();
        for (at, byte) in bytes.iter().enumerate() {
            set.0[at * BYTE / WORD] |= u64::from(*byte) << (at * BYTE % WORD);
        }
        set.check(size)?;
        Ok(set)
    }
}

impl fmt::Debug for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter()).finish()
    }
}

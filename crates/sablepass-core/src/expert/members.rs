// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Bit set of the members of a group, used for the votes that members exchange.

use std::fmt;

use snafu::{Snafu, ensure};

/// Maximum number of members in a group. The largest known group has 192 ranks.
/// A set takes 128 bytes in memory at this maximum; its wire encoding is only as
/// long as its highest member requires.
pub const MAX_MEMBERS: u16 = 1_024;

const WORD_BITS: usize = u64::BITS as usize;
const WORDS: usize = MAX_MEMBERS as usize / WORD_BITS;
const BYTE_BITS: usize = u8::BITS as usize;

/// An invalid member, or an invalid encoding of a set of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The encoding is longer than a set of [`MAX_MEMBERS`] members.
    #[snafu(display(
        "member set has {bytes} bytes; the maximum is {}",
        usize::from(MAX_MEMBERS) / BYTE_BITS
    ))]
    Length {
        /// Length of the encoding.
        bytes: usize,
    },
    /// The member number is not below the size of the group.
    #[snafu(display("member {member} does not exist in a group of {size} members"))]
    Unknown {
        /// Number of the member.
        member: u16,
        /// Number of members in the group.
        size: u16,
    },
}

/// Returns an error unless `member` is below the group's `size`.
pub fn check(member: u16, size: u16) -> Result<(), Error> {
    ensure!(member < size, UnknownSnafu { member, size });
    Ok(())
}

/// Set of member numbers below [`MAX_MEMBERS`].
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Members([u64; WORDS]);

impl Members {
    /// Returns the set that contains only `member`.
    pub fn one(member: u16) -> Self {
        let mut set = Self::default();
        set.insert(member);
        set
    }

    /// Adds a member. Returns false and leaves the set unchanged if `member` is not
    /// below [`MAX_MEMBERS`].
    pub fn insert(&mut self, member: u16) -> bool {
        let index = usize::from(member);
        let Some(word) = self.0.get_mut(index / WORD_BITS) else { return false };
        *word |= 1 << (index % WORD_BITS);
        true
    }

    /// Whether the set contains `member`.
    pub fn contains(&self, member: u16) -> bool {
        let index = usize::from(member);
        self.0.get(index / WORD_BITS).is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
    }

    /// Number of members in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|it| it.count_ones()).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the members that are in either set.
    pub fn union(mut self, other: &Self) -> Self {
        for (word, it) in self.0.iter_mut().zip(&other.0) {
            *word |= it;
        }
        self
    }

    /// Whether `other` is a subset of this set.
    pub fn contains_all(&self, other: &Self) -> bool {
        self.0.iter().zip(&other.0).all(|(word, it)| it & !word == 0)
    }

    /// Iterates over the members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u16> {
        (0..MAX_MEMBERS).filter(|it| self.contains(*it))
    }

    /// Returns the highest member, or `None` for an empty set.
    pub fn last(&self) -> Option<u16> {
        let word = self.0.iter().rposition(|it| *it != 0)?;
        Some((word * WORD_BITS) as u16 + self.0[word].ilog2() as u16)
    }

    /// Returns an error unless all members are below the group's `size`.
    pub fn check(&self, size: u16) -> Result<(), Error> {
        self.last().map_or(Ok(()), |it| check(it, size))
    }

    /// Encodes the set for the wire: eight members per byte, member 0 in the lowest
    /// bit of the first byte, without trailing zero bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes: Vec<u8> = self.0.iter().flat_map(|it| it.to_le_bytes()).collect();
        let used = bytes.iter().rposition(|it| *it != 0).map_or(0, |last| last + 1);
        bytes.truncate(used);
        bytes
    }

    /// Decodes the wire encoding of a set of members of a group of `size`.
    pub fn parse(bytes: &[u8], size: u16) -> Result<Self, Error> {
        ensure!(bytes.len() <= WORDS * WORD_BITS / BYTE_BITS, LengthSnafu { bytes: bytes.len() });
        let mut set = Self::default();
        for (index, byte) in bytes.iter().enumerate() {
            set.0[index * BYTE_BITS / WORD_BITS] |=
                u64::from(*byte) << (index * BYTE_BITS % WORD_BITS);
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

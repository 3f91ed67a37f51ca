// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Revisions of the platform's service, each a position in its history.
//!
//! A service restored from a backup loses the changes after the backup and assigns the same numbers
//! again. Each history therefore has its own era, and a later era replaces an earlier one. A
//! revision tells where to continue reading; across eras it does not tell which of two contents is
//! the newer one.

/// A position in the history of a platform service, ordered by era and number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Number of restores of the service; 0 if the service reports none.
    pub era: u64,
    /// Number of changes in the era.
    pub number: u64,
}

impl Revision {
    /// A position in an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

/// A position in the history of a service that has no eras.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

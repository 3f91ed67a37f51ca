// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Places in the history of a platform service.
//!
//! A service that is restored from a copy loses what came after the copy and gives the same
//! numbers out again. Each history has an era of its own, and a later era replaces an
//! earlier one. A revision says where to go on reading; it does not say which of two
//! contents is the newer one, where these come from different eras.

/// A place in the history of a platform service, ordered by era and number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Counts the times that the service was restored; 0 if it does not say.
    pub era: u64,
    /// Counts the changes of the era.
    pub number: u64,
}

impl Revision {
    /// A place in an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

/// A place in the history of a service that names no era.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Limits that targets name: requests a second that one takes from all entries together.

/// Requests a second: a number that is finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// None if it is no rate.
    pub fn new(a_second: f64) -> Option<Self> {
        (a_second.is_finite() && a_second >= 0.0).then_some(Self(a_second))
    }

    /// Requests a second.
    pub fn a_second(self) -> f64 {
        self.0
    }
}

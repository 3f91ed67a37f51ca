// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Outcome reported to the caller of a request that failed.

use crate::reason;

/// Whether a request ran at any target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The request did not run and never will. Reported only if that is proved.
    NotRun = 0,
    /// The request ran, completely or in part.
    Ran = 1,
    /// No reachable process knows whether the request ran.
    Unknown = 2,
}

impl Ran {
    /// Returns the value of the `x-sablepass-ran` header.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Decodes the number used on the wire. Any undefined number means [`Ran::Unknown`].
    pub fn parse(code: u32) -> Self {
        match code {
            0 => Self::NotRun,
            1 => Self::Ran,
            _ => Self::Unknown,
        }
    }
}

/// The failure of an attempt, or the final one that is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub reason: reason::Refusal,
    /// Whether the request ran.
    pub ran: Ran,
}

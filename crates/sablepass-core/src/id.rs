// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Identities that processes exchange.

use std::fmt;

/// Milliseconds since the Unix epoch, or a span of milliseconds.
pub type Millis = u64;

/// A random 128-bit name of one request, drawn by the entry that took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Reads the 16 big-endian bytes used on the wire.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let raw: [u8; 16] = bytes.try_into().ok()?;
        Some(Self(u128::from_be_bytes(raw)))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// One try of a request at one target. Answers are matched by both parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request being tried.
    pub request: RequestId,
    /// Counts from 1 within the request.
    pub number: u32,
}

/// Random number drawn when a process starts. A dispatch names the
/// incarnation it is meant for, so a restarted agent cannot run what its
/// predecessor was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// One life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life<'a> {
    /// The target's name.
    pub name: &'a str,
    /// When the life began; 0 if the target does not say, and its name tells its lives apart.
    pub born: Millis,
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages between the processes of sablepass, and their framing.
//!
//! Invariant: whatever leaves [`convert`] is a valid core value; a message
//! that lacks a field is a typed error here and goes no further.

pub mod convert;
pub mod frame;
pub mod notices;
pub mod removals;
pub mod suspects;
pub mod turns;

/// Code that `examples/generate.rs` writes from `proto/sablepass.proto`.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;

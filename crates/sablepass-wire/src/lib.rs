// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages between the processes of sablepass, and their framing. Used by entries and agents.
//!
//! Received messages are validated here: [`convert`] and the modules beside it return either a
//! valid value of `sablepass_core` or an [error](convert::Error).

pub mod convert;
pub mod frame;
pub mod notices;
pub mod removals;
pub mod short_form;
pub mod suspects;
pub mod turns;

/// Message types, generated from `proto/sablepass.proto` by `examples/generate.rs`.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;

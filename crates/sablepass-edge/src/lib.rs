// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! I/O that the programs of sablepass share: event loop, connections, HTTP, settings, logs and
//! metrics.
//!
//! Invariant: this crate makes no decisions about requests, configuration or membership. It
//! transfers data and calls `sablepass-core` for decisions.

pub mod admin;
mod buffers;
pub mod caller;
pub mod cli;
pub mod client;
pub mod clock;
mod connection;
pub mod daemon;
pub mod dial;
pub mod framing;
pub mod instance;
pub mod link;
pub mod log;
pub mod mesh;
pub mod progress;
pub mod reader;
pub mod room;
pub mod runtime;
pub mod server;
pub mod settings;
mod socket;
pub mod spread;
pub mod telemetry;
pub mod unread;

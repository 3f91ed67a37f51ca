// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Edges that the programs of sablepass share.
//!
//! Invariant: nothing here decides anything about requests, configuration or
//! membership; it moves bytes and asks `sablepass-core`.

pub mod admin;
pub mod caller;
pub mod cli;
pub mod client;
pub mod clock;
mod connection;
pub mod daemon;
pub mod dial;
pub mod instance;
pub mod link;
pub mod log;
pub mod mesh;
pub mod reader;
pub mod runtime;
pub mod server;
pub mod settings;
mod socket;
pub mod spread;
pub mod telemetry;
pub mod unread;

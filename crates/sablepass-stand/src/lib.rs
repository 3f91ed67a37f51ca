// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Test support shared by the integration tests, the demo and `sablepass-load`.
//!
//! [`fleet`] starts real processes on free loopback ports with the stand-in platform, and
//! [`client`] calls them. [`site`] does the same with stand-ins of the users' platform.

pub mod client;
pub mod fleet;
pub mod http;
pub mod keys;
pub mod limits;
pub mod process;
pub mod ranks;
pub mod replica;
pub mod site;
pub mod site_with_agents;
pub mod soak;

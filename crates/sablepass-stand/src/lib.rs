// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What tests, the demo and measurements share: starting a small fleet of
//! real processes on free loopback ports, and calling it; and the same for a
//! [`site`] of the users' platform.

pub mod beside;
pub mod client;
pub mod fleet;
pub mod http;
pub mod keys;
pub mod limits;
pub mod process;
pub mod ranks;
pub mod replica;
pub mod site;
pub mod soak;

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert placement of a group: maps of experts to ranks, demand estimates,
//! rebalancing decisions, and the protocol by which all ranks switch to a new
//! map at the same step.

pub mod barrier;
pub mod calibration;
pub mod demand;
pub mod difference;
pub mod draw;
pub mod drift;
pub mod map;
pub mod members;
pub mod place;
pub mod plan;
pub mod rebalance;
pub mod switch;
pub mod tree;
pub mod version;
pub mod watch;

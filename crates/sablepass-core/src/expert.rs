// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Where a group's experts sit, when they move, and how all ranks change to
//! a new map in the same step.

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
pub mod watch;

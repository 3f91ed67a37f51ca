// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Decision logic of sablepass: routing, limits, retries, membership, configuration and expert
//! placement.
//!
//! This crate uses no sockets, clocks or threads. Callers pass the current time in milliseconds
//! since the Unix epoch and a random number generator, so that tests run all of it
//! deterministically in virtual time.

pub mod admit;
pub mod balance;
pub mod budget;
pub mod capacity;
pub mod catalogue;
pub mod cold;
pub mod config;
pub mod deaths;
pub mod declaration;
pub mod duty;
pub mod ends;
pub mod events;
pub mod expert;
pub mod fingerprint;
pub mod flight;
pub mod forming;
pub mod gate;
pub mod heartbeat;
pub mod holders;
pub mod id;
pub mod limits;
pub mod membership;
pub mod notices;
pub mod once;
pub mod outage;
pub mod outcome;
pub mod parts;
pub mod pass;
pub mod reason;
pub mod rendezvous;
pub mod revision;
pub mod route;
pub mod scope;
pub mod sharers;
pub mod starts;
pub mod suspects;

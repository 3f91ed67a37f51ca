// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Traffic of heartbeats in large fleets.
//!
//! Every agent sends a heartbeat to every entry, so this traffic grows with the product of their
//! numbers. In a large fleet a heartbeat that differs from the previous one only in the load is
//! sent in a short form, at the same interval. Sending it less often instead would let one lost
//! packet exceed the time after which an entry takes the agent's machine to be unresponsive (the
//! model in `tests/heartbeats.rs` compares both).

/// Largest number of entries with which every message is sent in full.
const SMALL_FLEET: usize = 36;

/// Whether messages in a fleet of this many entries may be sent in a short form.
pub fn is_large_fleet(entries: usize) -> bool {
    entries > SMALL_FLEET
}

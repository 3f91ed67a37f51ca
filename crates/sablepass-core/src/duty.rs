// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Selects the processes that read the platform's service themselves; the other processes receive
//! its data from them.

use crate::id::Millis;
use crate::rendezvous;

/// Settings of [`is_reader`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes per hall that read the platform's service. Default 2.
    pub readers: usize,
    /// Processes per hall that may act as substitutes. Default 6.
    pub substitutes: usize,
    /// Additional time that each further substitute waits for data of the service. Default 3 s.
    pub patience: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self { readers: 2, substitutes: 6, patience: 3_000 }
    }
}

/// Whether a process reads the platform's service itself. `age` is the time since any process's
/// read is known to have succeeded.
///
/// The processes of a hall are ranked by rendezvous hash of their names. The first `readers` of
/// them read. Each further process waits longer for the report of a successful read before it tries
/// itself, so during an outage the service gets at most `readers + substitutes` calls per hall and
/// period.
pub fn is_reader(options: Options, me: &str, hall: &str, peers: &[&str], age: Millis) -> bool {
    let ranked = rendezvous::rank(hall, peers.iter().copied());
    let rank = ranked.iter().position(|it| *it == me).unwrap_or(ranked.len());
    if rank < options.readers {
        return true;
    }
    let place = rank - options.readers;
    // A process that the instance list does not contain yet acts after the last substitute.
    let place = place.min(options.substitutes);
    let listed = rank < ranked.len();
    let allowed = place < options.substitutes || !listed;
    allowed && age >= options.patience * (place as Millis + 1)
}

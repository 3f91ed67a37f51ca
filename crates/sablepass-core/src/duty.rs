// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which processes read the platform's service themselves; the others learn from them.

use crate::id::Millis;
use crate::rendezvous;

/// Limits of [`is_reader`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Processes of a hall that watch the platform's service. Default 2.
    pub readers: usize,
    /// Processes of a hall that may stand in for them. Default 6.
    pub substitutes: usize,
    /// How long each further substitute waits for news of the service. Default 3 s.
    pub patience: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self { readers: 2, substitutes: 6, patience: 3_000 }
    }
}

/// Whether a process reads the platform's service itself.
///
/// The processes of a hall are ranked by rendezvous hash of their names. The
/// first ones read. Each further one waits longer for word that somebody's
/// read succeeded before it tries, so an outage costs the service at most
/// `readers + substitutes` calls a hall and period.
pub fn is_reader(options: Options, me: &str, hall: &str, peers: &[&str], age: Millis) -> bool {
    let ranked = rendezvous::rank(hall, peers.iter().copied());
    let rank = ranked.iter().position(|it| *it == me).unwrap_or(ranked.len());
    if rank < options.readers {
        return true;
    }
    let place = rank - options.readers;
    // A process that the instance list does not name yet reads as the last substitute would.
    let place = place.min(options.substitutes);
    let listed = rank < ranked.len();
    let allowed = place < options.substitutes || !listed;
    allowed && age >= options.patience * (place as Millis + 1)
}

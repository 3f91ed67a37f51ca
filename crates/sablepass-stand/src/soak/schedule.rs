// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What happens in a run, and when: drawn from a seed.

use std::fmt;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::{keys, replica};

/// Something that goes wrong, or that an operator does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed, and another one takes its place after this.
    EntryKilled,
    /// An entry is paused for this long.
    EntryPaused,
    /// An entry is asked to stop, and another one takes its place once it has.
    EntryStopped,
    /// An entry is told that its settings have changed.
    EntryReloaded,
    /// An agent is killed and started again after this.
    AgentKilled,
    /// An agent is paused for this long.
    AgentPaused,
    /// A rank leaves orders unanswered.
    RankUnresponsive,
    /// A replica misbehaves so.
    ReplicaMode(replica::Mode),
    /// A replica says that it is leaving, and goes for good after this.
    ReplicaLeaves,
    /// A replica turns all away and asks for a rest of so many milliseconds.
    ReplicaSheds(u64),
    /// A replica names in its answers so many requests in ten seconds as its limit.
    ReplicaLimits(u32),
    /// A replica says in its answers that it leaves while it is listed as ready, and goes for
    /// good after this.
    ReplicaAnnouncesLeave,
    /// A replica's line is removed, and it serves on.
    ReplicaUnlisted,
    /// Another replica is listed.
    ReplicaAdded,
    /// A replica's process ends, and starts again under its id after this.
    ReplicaRestarted,
    /// A replica's entry of the list cannot be read.
    ListItemCorrupted,
    /// A caller repeats a request that ends each replica that begins to run it.
    FatalRequest,
    /// The link to a replica is as the proxy's command says.
    Link(Link),
    /// The store misbehaves so.
    StoreMode(keys::Mode),
    /// The store forgets its history.
    StoreHistoryLost,
    /// The store is away, and comes back from a copy after this; operators and replicas write
    /// again what it lost.
    StoreRestored,
    /// Another route is declared.
    RouteAdded,
}

/// What a proxy does to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Connections are closed and refused.
    Cut,
    /// Nothing passes.
    Held,
    /// Everything takes 150 ms longer.
    Slow,
    /// A connection is closed within what goes to the replica.
    CutUp,
    /// A connection is closed within what comes from it.
    CutDown,
}

impl Link {
    /// The proxy's command.
    pub fn command(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::Held => "hold",
            Self::Slow => "delay 150",
            Self::CutUp => "cut-up 120",
            Self::CutDown => "cut-down 260",
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Milliseconds from the start.
    pub at: u64,
    /// Milliseconds that it lasts.
    pub duration_ms: u64,
    /// Which of those that it may strike, by their number now.
    pub who: usize,
    /// What happens.
    pub fault: Fault,
}

impl PlannedFault {
    fn with(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:5} ms, for {:4}: {:?} of {}", self.at, self.duration_ms, self.fault, self.who)
    }
}

const MODES: [replica::Mode; 9] = [
    replica::Mode::Full,
    replica::Mode::Failing,
    replica::Mode::ResetIn(3),
    replica::Mode::CloseAfterRun,
    replica::Mode::Twice,
    replica::Mode::Hang,
    replica::Mode::Unsigned,
    replica::Mode::Garbage,
    replica::Mode::Asleep,
];
const LINKS: [Link; 5] = [Link::Cut, Link::Held, Link::Slow, Link::CutUp, Link::CutDown];
const STORES: [keys::Mode; 4] =
    [keys::Mode::Down, keys::Mode::Silent, keys::Mode::Slow, keys::Mode::Refusing];

fn fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..20) {
        0 | 1 => Fault::EntryKilled,
        2 => Fault::EntryPaused,
        3 | 4 => Fault::EntryStopped,
        5 => Fault::EntryReloaded,
        6 => Fault::AgentKilled,
        7 | 18 => Fault::AgentPaused,
        8 => Fault::RankUnresponsive,
        9 | 10 => Fault::ReplicaMode(MODES[rng.random_range(0..MODES.len())]),
        11 => Fault::ReplicaLeaves,
        12 => Fault::ReplicaAdded,
        13 | 14 => Fault::Link(LINKS[rng.random_range(0..LINKS.len())]),
        15 => Fault::StoreMode(STORES[rng.random_range(0..STORES.len())]),
        16 => Fault::StoreHistoryLost,
        _ => Fault::RouteAdded,
    }
}

/// Faults of targets' processes and of their entries in the list.
fn life(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 | 1 => Fault::ReplicaRestarted,
        2 => Fault::ListItemCorrupted,
        _ => Fault::FatalRequest,
    }
}

/// What replicas say of themselves.
fn notice(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::ReplicaAnnouncesLeave,
        _ => Fault::ReplicaSheds(rng.random_range(600..3_500)),
    }
}

/// Limits that replicas name, for long enough to be counted.
fn limit(rng: &mut StdRng, length: u64) -> PlannedFault {
    let duration_ms = rng.random_range(1_500..8_000);
    let limit = [2, 10, 10, 40, 200][rng.random_range(0..5)];
    PlannedFault { duration_ms, ..plan(rng, length, |_| Fault::RouteAdded) }
        .with(Fault::ReplicaLimits(limit))
}

fn restore(_: &mut StdRng) -> Fault {
    Fault::StoreRestored
}

fn vanish(_: &mut StdRng) -> Fault {
    Fault::ReplicaUnlisted
}

fn plan(rng: &mut StdRng, length: u64, fault: fn(&mut StdRng) -> Fault) -> PlannedFault {
    PlannedFault {
        at: rng.random_range(0..length),
        duration_ms: rng.random_range(100..1_500),
        who: rng.random_range(0..64),
        fault: fault(rng),
    }
}

/// A schedule: four to twelve faults that overlap, up to four of targets' lives
/// and up to four times that targets speak beside them, up to two limits that they
/// name, up to two restores of the store, and up to two targets that leave without a word, in
/// the order of their times.
pub fn draw(seed: u64, length: u64) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(4..=12);
    let mut list: Vec<PlannedFault> = (0..count).map(|_| plan(&mut rng, length, fault)).collect();
    let count = rng.random_range(0..=4);
    list.extend((0..count).map(|_| plan(&mut rng, length, life)));
    let count = rng.random_range(0..=4);
    list.extend((0..count).map(|_| plan(&mut rng, length, notice)));
    let count = rng.random_range(0..=2);
    list.extend((0..count).map(|_| limit(&mut rng, length)));
    let count = rng.random_range(0..=2);
    list.extend((0..count).map(|_| plan(&mut rng, length, restore)));
    let count = rng.random_range(0..=2);
    list.extend((0..count).map(|_| plan(&mut rng, length, vanish)));
    list.sort_by_key(|it| it.at);
    list
}

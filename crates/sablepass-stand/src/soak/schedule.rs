// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Fault schedules: draws the faults of a soak run and their times from a seed.

use std::fmt;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::{keys, replica};

/// A fault, or an operator's action, that the fleet injects. Where a variant says "for the
/// fault's duration", [`PlannedFault::duration_ms`] gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed; a new entry replaces it after the fault's duration.
    EntryKilled,
    /// An entry is suspended for the fault's duration.
    EntryPaused,
    /// An entry is asked to shut down; a new entry replaces it once it has exited.
    EntryStopped,
    /// An entry receives the signal to reload its settings.
    EntryReloaded,
    /// An agent is killed, and restarted after the fault's duration.
    AgentKilled,
    /// An agent is suspended for the fault's duration.
    AgentPaused,
    /// A rank doesn't answer its agent's orders for the fault's duration.
    RankUnresponsive,
    /// A replica is in this mode for the fault's duration.
    ReplicaMode(replica::Mode),
    /// A replica is listed as draining, and removed from the instance list after the fault's
    /// duration.
    ReplicaLeaves,
    /// A replica refuses all requests and asks for a back-off of this many milliseconds.
    ReplicaSheds(u64),
    /// A replica's answers announce a limit of this many requests per ten seconds.
    ReplicaLimits(u32),
    /// A replica's answers announce that it is leaving while it is still listed as ready; it is
    /// removed from the instance list after the fault's duration.
    ReplicaAnnouncesLeave,
    /// A replica is removed from the instance list without notice, and continues to serve.
    ReplicaUnlisted,
    /// A new replica starts and is listed.
    ReplicaAdded,
    /// A replica's process crashes; it restarts with the same id after the fault's duration.
    ReplicaRestarted,
    /// A replica's process crashes and another replica starts at its address, while an entry is
    /// suspended for the fault's duration.
    ReplicaReplaced,
    /// Answers of all replicas state no length for the fault's duration, and end with their
    /// connections.
    AnswersUnsized,
    /// A replica's item in the instance list can't be decoded for the fault's duration.
    ListItemCorrupted,
    /// A caller repeats a request that crashes each replica that starts to run it.
    FatalRequest,
    /// Callers send different requests with one prompt part that crashes each replica that starts
    /// to run it.
    FatalPart,
    /// The link to a replica has this fault.
    Link(Link),
    /// The store is in this mode for the fault's duration.
    StoreMode(keys::Mode),
    /// The store loses its change history, so that earlier watches can't continue.
    StoreHistoryLost,
    /// The store is down for the fault's duration and is then restored from a backup;
    /// operators and replicas rewrite the data that the backup lacks.
    StoreRestored,
    /// A route is added to the configuration.
    RouteAdded,
    /// A data hall is evacuated for the fault's duration; its replicas are cold afterwards.
    HallEvacuated,
    /// A data hall loses power: the processes of its replicas crash. They restart cold after the
    /// fault's duration.
    HallReturnsCold,
}

/// Fault that a proxy applies to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Open connections are closed and new ones refused.
    Cut,
    /// Connections stay open, but no data is forwarded.
    Held,
    /// Data is delayed by 150 ms.
    Slow,
    /// Connections are closed after 120 bytes towards the replica.
    CutUp,
    /// Connections are closed after 260 bytes from the replica.
    CutDown,
}

impl Link {
    /// Control command that makes the proxy apply the fault.
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

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, in milliseconds from the start of the schedule.
    pub at: u64,
    /// Duration of the fault, in milliseconds.
    pub duration_ms: u64,
    /// Selects the affected component: index, modulo their number, into the candidates at the
    /// start of the fault.
    pub selector: usize,
    /// Kind of the fault.
    pub fault: Fault,
}

impl PlannedFault {
    fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:5} ms, for {:4}: {:?} of {}",
            self.at, self.duration_ms, self.fault, self.selector
        )
    }
}

const REPLICA_MODES: [replica::Mode; 9] = [
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
const LINK_FAULTS: [Link; 5] = [Link::Cut, Link::Held, Link::Slow, Link::CutUp, Link::CutDown];
const STORE_MODES: [keys::Mode; 4] =
    [keys::Mode::Down, keys::Mode::Silent, keys::Mode::Slow, keys::Mode::Refusing];

/// Draws one of the general faults.
fn draw_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..20) {
        0 | 1 => Fault::EntryKilled,
        2 => Fault::EntryPaused,
        3 | 4 => Fault::EntryStopped,
        5 => Fault::EntryReloaded,
        6 => Fault::AgentKilled,
        7 | 18 => Fault::AgentPaused,
        8 => Fault::RankUnresponsive,
        9 | 10 => Fault::ReplicaMode(REPLICA_MODES[rng.random_range(0..REPLICA_MODES.len())]),
        11 => Fault::ReplicaLeaves,
        12 => Fault::ReplicaAdded,
        13 | 14 => Fault::Link(LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())]),
        15 => Fault::StoreMode(STORE_MODES[rng.random_range(0..STORE_MODES.len())]),
        16 => Fault::StoreHistoryLost,
        _ => Fault::RouteAdded,
    }
}

/// Draws a fault of a replica's process or of its item in the instance list.
fn draw_process_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 | 1 => Fault::ReplicaRestarted,
        2 => Fault::ListItemCorrupted,
        _ => Fault::FatalRequest,
    }
}

/// Draws a notice that a replica sends about itself.
fn draw_notice(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::ReplicaAnnouncesLeave,
        _ => Fault::ReplicaSheds(rng.random_range(600..3_500)),
    }
}

/// Draws a request limit that a replica announces, for long enough that requests under it
/// are counted.
fn draw_limit(rng: &mut StdRng, length: u64) -> PlannedFault {
    let duration_ms = rng.random_range(1_500..8_000);
    let limit = [2, 10, 10, 40, 200][rng.random_range(0..5)];
    PlannedFault { duration_ms, ..draw_planned(rng, length, |_| Fault::RouteAdded) }
        .with_fault(Fault::ReplicaLimits(limit))
}

/// Draws a fault of a data hall. An evacuation lasts longer than the time within which entries must
/// comply.
fn draw_hall_fault(rng: &mut StdRng, length: u64) -> PlannedFault {
    let planned = draw_planned(rng, length, |_| Fault::HallReturnsCold);
    if rng.random_bool(0.4) {
        return planned;
    }
    let duration_ms = rng.random_range(5_500..8_000);
    PlannedFault { duration_ms, ..planned }.with_fault(Fault::HallEvacuated)
}

/// Draws a time of answers without a length, for long enough that other faults fall into it.
fn draw_unsized(rng: &mut StdRng, length: u64) -> PlannedFault {
    let duration_ms = rng.random_range(1_000..length.max(1_001));
    PlannedFault { duration_ms, ..draw_planned(rng, length, |_| Fault::AnswersUnsized) }
}

fn replica_replaced(_: &mut StdRng) -> Fault {
    Fault::ReplicaReplaced
}

fn store_restored(_: &mut StdRng) -> Fault {
    Fault::StoreRestored
}

fn replica_unlisted(_: &mut StdRng) -> Fault {
    Fault::ReplicaUnlisted
}

fn draw_planned(
    rng: &mut StdRng,
    length: u64,
    draw_fault: fn(&mut StdRng) -> Fault,
) -> PlannedFault {
    PlannedFault {
        at: rng.random_range(0..length),
        duration_ms: rng.random_range(100..1_500),
        selector: rng.random_range(0..64),
        fault: draw_fault(rng),
    }
}

/// Draws a schedule whose faults start within `length` milliseconds and may overlap, sorted by
/// start time: 4 to 12 general faults, and up to 4 faults of replica processes, 4 notices of
/// replicas, 2 announced limits, 2 restores of the store, 2 replicas that are unlisted without
/// notice, 2 faults of data halls, a fatal prompt part, 3 replicas that are replaced and 2 times of
/// answers without a length. Kinds that were added later are drawn last, so that earlier faults of
/// a seed stay the same.
pub fn draw(seed: u64, length: u64) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(4..=12);
    let mut schedule: Vec<PlannedFault> =
        (0..count).map(|_| draw_planned(&mut rng, length, draw_fault)).collect();
    let count = rng.random_range(0..=4);
    schedule.extend((0..count).map(|_| draw_planned(&mut rng, length, draw_process_fault)));
    let count = rng.random_range(0..=4);
    schedule.extend((0..count).map(|_| draw_planned(&mut rng, length, draw_notice)));
    let count = rng.random_range(0..=2);
    schedule.extend((0..count).map(|_| draw_limit(&mut rng, length)));
    let count = rng.random_range(0..=2);
    schedule.extend((0..count).map(|_| draw_planned(&mut rng, length, store_restored)));
    let count = rng.random_range(0..=2);
    schedule.extend((0..count).map(|_| draw_planned(&mut rng, length, replica_unlisted)));
    let count = rng.random_range(0..=2);
    schedule.extend((0..count).map(|_| draw_hall_fault(&mut rng, length)));
    let count = rng.random_range(0..=1);
    schedule.extend((0..count).map(|_| draw_planned(&mut rng, length, |_| Fault::FatalPart)));
    let count = rng.random_range(0..=3);
    schedule.extend((0..count).map(|_| draw_planned(&mut rng, length, replica_replaced)));
    let count = rng.random_range(0..=2);
    schedule.extend((0..count).map(|_| draw_unsized(&mut rng, length)));
    schedule.sort_by_key(|it| it.at);
    schedule
}

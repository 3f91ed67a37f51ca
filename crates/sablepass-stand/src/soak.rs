// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Fault-injection soak test: runs the real entry and agent programs as separate
//! processes against simulated replicas, ranks and store, injects the faults of a
//! seeded schedule while callers send requests, and then checks the guarantees of
//! the system against what callers and targets observed.
//!
//! The same seed and fault period give the same schedule. Process scheduling and
//! timing still differ from run to run, so a failing seed reproduces the schedule,
//! not necessarily the failure.

pub mod callers;
pub mod fleet;
pub mod judge;
pub mod schedule;

use std::time::Duration;

use crate::soak::callers::Callers;
use crate::soak::fleet::Fleet;
use crate::soak::judge::{Observations, Violation};
use crate::soak::schedule::PlannedFault;

/// Time after the last fault within which the system must have recovered.
const RECOVERY_TIME: Duration = Duration::from_millis(3_000);

/// Size and duration of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of entries.
    pub entries: usize,
    /// Number of replicas at the start, each behind its own fault-injecting proxy.
    pub replicas: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Period within which faults start, in milliseconds.
    pub length: u64,
}

impl Default for Options {
    /// About two dozen processes, and faults that start within four seconds.
    fn default() -> Self {
        Self { entries: 4, replicas: 6, callers: 12, length: 4_000 }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests answered with status 200.
    pub answered: usize,
}

/// Runs a schedule of faults and checks the guarantees.
pub fn run(options: &Options, plan: &[PlannedFault]) -> Outcome {
    run_with_unrecorded(options, plan, |_| {})
}

/// Like [`run`], but calls `unrecorded` after the schedule. Faults that it injects are not
/// recorded, so the checks don't excuse their effects.
pub fn run_with_unrecorded(
    options: &Options,
    plan: &[PlannedFault],
    unrecorded: impl FnOnce(&mut Fleet),
) -> Outcome {
    let mut fleet = Fleet::start(options);
    let callers = Callers::spawn(options.callers, fleet.directory());
    fleet.run_schedule(plan);
    unrecorded(&mut fleet);
    std::thread::sleep(RECOVERY_TIME);
    let samples = callers.join();
    let observations = Observations::collect(&mut fleet, samples);
    Outcome {
        violations: judge::check(&observations),
        requests: observations.samples.len(),
        answered: observations.samples.iter().filter(|it| it.answer.status == 200).count(),
    }
}

/// Minimises a failing schedule: removes each fault in turn and leaves it out if the
/// remaining faults still violate the same guarantee. Each candidate runs up to twice,
/// since not every run of a schedule reproduces the failure.
pub fn shrink(
    options: &Options,
    plan: &[PlannedFault],
    guarantee: judge::Guarantee,
) -> Vec<PlannedFault> {
    let mut remaining = plan.to_vec();
    let mut index = 0;
    while index < remaining.len() {
        let mut candidate = remaining.clone();
        candidate.remove(index);
        let fails =
            |_| run(options, &candidate).violations.iter().any(|it| it.guarantee == guarantee);
        if (0..2).any(fails) {
            remaining = candidate;
        } else {
            index += 1;
        }
    }
    remaining
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A fault soak: real entries and agents as processes of their own, stand-ins
//! for the store, replicas and a group of ranks, faults from outside by a seeded
//! schedule, callers that go on meanwhile, and a judge of what they and the
//! targets saw.
//!
//! The same seed and options give the same schedule. What processes do in
//! between is up to the machine, so a seed that failed is a schedule to repeat,
//! not a proof by itself.

pub mod callers;
pub mod fleet;
pub mod judge;
pub mod schedule;

use std::time::Duration;

use crate::soak::callers::Callers;
use crate::soak::fleet::Fleet;
use crate::soak::judge::{Observations, Violation};
use crate::soak::schedule::PlannedFault;

/// Time after the last fault in which everything has to be well again.
const QUIET: Duration = Duration::from_millis(3_000);

/// Size and length of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Entries.
    pub entries: usize,
    /// Replicas, each behind a proxy of its own.
    pub replicas: usize,
    /// Callers.
    pub callers: usize,
    /// Milliseconds in which faults begin.
    pub length: u64,
}

impl Default for Options {
    /// Some two dozen processes and four seconds of faults.
    fn default() -> Self {
        Self { entries: 4, replicas: 6, callers: 12, length: 4_000 }
    }
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Those answered with success.
    pub answered: usize,
}

/// Runs a schedule.
pub fn run(options: &Options, plan: &[PlannedFault]) -> Outcome {
    run_with_unrecorded(options, plan, |_| {})
}

/// The same with something after it that the judge is not told of.
pub fn run_with_unrecorded(
    options: &Options,
    plan: &[PlannedFault],
    unseen: impl FnOnce(&Fleet),
) -> Outcome {
    let mut fleet = Fleet::start(options);
    let callers = Callers::spawn(options.callers, fleet.directory());
    fleet.run_schedule(plan);
    unseen(&fleet);
    std::thread::sleep(QUIET);
    let samples = callers.join();
    let observations = Observations::collect(&mut fleet, samples);
    Outcome {
        violations: judge::check(&observations),
        requests: observations.samples.len(),
        answered: observations.samples.iter().filter(|it| it.answer.status == 200).count(),
    }
}

/// Leaves out faults one by one for as long as the rest still breaks the same
/// promise. Each try is run twice, since not every run of a schedule shows it.
pub fn shrink(
    options: &Options,
    plan: &[PlannedFault],
    guarantee: judge::Guarantee,
) -> Vec<PlannedFault> {
    let mut left = plan.to_vec();
    let mut at = 0;
    while at < left.len() {
        let mut fewer = left.clone();
        fewer.remove(at);
        let breaks = |_| run(options, &fewer).violations.iter().any(|it| it.guarantee == guarantee);
        if (0..2).any(breaks) {
            left = fewer;
        } else {
            at += 1;
        }
    }
    left
}

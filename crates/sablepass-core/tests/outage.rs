// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which failures and silences count as an outage, from the calls of a process and the periods
//! that its peers report.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::outage::{Availability, Change, Evidence, Outage, Period};

/// Time in milliseconds that a service holds a call in which nothing changes.
const WATCH: u64 = 2_000;
/// Delay from which an answer counts as late, in milliseconds.
const LATE: u64 = 500;
/// Interval of the reports to peers, in milliseconds.
const DIGEST: u64 = 1_000;

/// A process whose calls were answered without a gap from 1,000 to `until`.
fn healthy(until: u64) -> Availability {
    let mut process = Availability::default();
    for at in (1_000..until).step_by(WATCH as usize).chain([until]) {
        assert_eq!(process.answered(0, at.saturating_sub(WATCH).max(1_000), at), Change::None);
    }
    process
}

fn report(from: &Availability, to: &mut Availability) -> Change {
    from.period().map_or(Change::None, |it| to.observed(it))
}

/// Guards against an outage concluded from a single call that was interrupted.
#[test]
fn verify_an_interrupted_call_is_no_outage() {
    let mut process = healthy(10_000);
    process.failed(10_100);
    assert_eq!(process.answered(0, 10_200, 10_300), Change::None);
    assert_eq!(process.recovered_at(), 0, "neither this nor the first answer ends an outage");
}

/// Guards against an outage that goes unnoticed by the process whose calls fail.
#[test]
fn verify_failures_for_longer_are_an_outage() {
    let mut process = healthy(10_000);
    [10_100, 10_300, 10_700, 11_500].into_iter().for_each(|at| process.failed(at));
    process.failed(12_000);
    let outage = Outage { evidence: Evidence::FailedCalls, since: 10_000, until: 12_300 };
    assert_eq!(process.answered(0, 12_300, 12_300), Change::Ended(outage));
    assert_eq!(process.answered(0, 12_300, 14_300), Change::None);
    assert_eq!(
        process.recovered_at(),
        12_300,
        "a later answer does not move the end of the outage"
    );
}

/// Guards against an outage concluded from a time in which a process made no calls, since it left
/// them to peers that are gone.
#[test]
fn verify_a_time_without_calls_is_no_outage() {
    let mut process = healthy(10_000);
    assert_eq!(process.answered(0, 14_000, 14_010), Change::None);
    assert_eq!(process.recovered_at(), 0);
}

/// Guards against an outage concluded from a failure that lies before an answer to a peer.
#[test]
fn verify_a_failure_before_an_answer_to_a_peer_is_no_evidence() {
    let mut process = healthy(10_000);
    process.failed(10_500);
    report(&healthy(20_000), &mut process);
    assert_eq!(process.answered(0, 25_000, 25_000), Change::None);
    assert_eq!(process.recovered_at(), 0);
}

/// Guards against an outage that seems to end only when a process that waits for a long time
/// between its calls notices.
#[test]
fn verify_an_outage_ends_soon_after_the_last_failure() {
    let mut process = healthy(10_000);
    process.failed(13_000);
    process.answered(0, 16_000, 16_000);
    assert_eq!(process.recovered_at(), 13_500);
}

/// Guards against an outage that is unknown to a process that makes no calls itself.
#[test]
fn verify_an_outage_is_reported_to_all_processes() {
    let mut process = Availability::default();
    report(&healthy(10_000), &mut process);
    let mut reader = healthy(10_000);
    reader.failed(13_300);
    reader.answered(0, 13_500, 13_500);
    let outage = Outage { evidence: Evidence::Reported, since: 10_000, until: 13_500 };
    assert_eq!(report(&reader, &mut process), Change::Ended(outage));
    assert_eq!(process.recovered_at(), 13_500);
}

/// Guards against an outage concluded from the time between two reports: of two answers in a row,
/// a peer may be told only the second one.
#[test]
fn verify_reports_of_a_quiet_service_are_no_outage() {
    for phase in (0..DIGEST).step_by(10) {
        let (mut reader, mut other) = (Availability::default(), Availability::default());
        for now in 0..20_000 {
            if now > 0 && now % WATCH == 0 {
                reader.answered(0, now - WATCH, now);
            }
            if now % DIGEST == phase && now % (2 * DIGEST) != phase {
                assert_eq!(report(&reader, &mut other), Change::None, "phase {phase}, at {now}");
            }
        }
        assert_eq!(other.recovered_at(), WATCH, "the time of the first answer, phase {phase}");
    }
}

/// Guards against a process that takes its own suspension for an outage.
#[test]
fn verify_peers_disprove_the_outage_of_a_process_that_lost_contact() {
    let mut process = healthy(10_000);
    process.failed(12_000);
    assert!(matches!(process.answered(0, 15_000, 15_000), Change::Ended(_)));
    let mut reader = healthy(14_900);
    report(&process, &mut reader);
    assert_eq!(reader.recovered_at(), 0, "the process that lost contact convinces no peer");
    assert_eq!(report(&reader, &mut process), Change::Disproved);
    assert_eq!(process.recovered_at(), 0);
}

/// Guards against a restore that goes unnoticed because the store answered all the while.
#[test]
fn verify_a_restore_counts_as_the_end_of_an_outage() {
    let (mut process, peer) = (healthy(10_000), healthy(12_000));
    let change = process.answered(1, 10_200, 10_200);
    let outage = Outage { evidence: Evidence::Restore, since: 10_000, until: 10_200 };
    assert_eq!(change, Change::Ended(outage));
    assert_eq!(report(&peer, &mut process), Change::None, "a report of an earlier era");
    assert_eq!(
        process.period(),
        Some(Period { era: 1, recovered: 10_200, since: 10_200, until: 10_200 })
    );
}

/// A process of the model below, with its pending call.
struct Caller {
    availability: Availability,
    /// Start of the call, and when its answer is due.
    call: (u64, u64),
    /// Time in which the process has no contact and does not run.
    away: Range<u64>,
}

impl Caller {
    /// Completes the call if its answer is due, and starts the next one.
    fn step(&mut self, rng: &mut StdRng, now: u64, outage: &Range<u64>) {
        let (started, due) = self.call;
        if now < due || self.away.contains(&now) {
            return;
        }
        if outage.contains(&now) {
            self.availability.failed(now);
            let retry = now + rng.random_range(100..400);
            self.call = (retry, retry);
            return;
        }
        if now > due + LATE {
            self.availability.failed(due);
            self.availability.answered(0, now, now);
        } else {
            self.availability.answered(0, started, now);
        }
        self.call = (now, now + WATCH);
    }
}

/// Guards against processes that disagree on whether and when an outage ended, after they have read,
/// lost contact and reported to each other at random.
#[test]
fn verify_all_processes_conclude_the_same() {
    for seed in 0..2_000 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..6);
        let outage_begin = rng.random_range(6_000..9_000);
        let length = if seed % 2 == 0 { 0 } else { rng.random_range(3_000..6_000) };
        let outage = outage_begin..outage_begin + length;
        // The first process never loses contact.
        let away = |it: u64, rng: &mut StdRng| {
            let begin = rng.random_range(4_000..12_000);
            begin..begin + if it == 0 { 0 } else { rng.random_range(1..6_000) }
        };
        let mut callers: Vec<Caller> = (0..count)
            .map(|it| Caller {
                availability: Availability::default(),
                call: (it * 90, it * 90),
                away: away(it, rng),
            })
            .collect();
        for now in (0..22_000).step_by(10) {
            callers.iter_mut().for_each(|it| it.step(rng, now, &outage));
            let [from, to] = [0, 1].map(|_| rng.random_range(0..callers.len()));
            let in_contact = [from, to].iter().all(|it| !callers[*it].away.contains(&now));
            if now % 200 == 0 && in_contact {
                let period = callers[from].availability.period();
                period.map(|it| callers[to].availability.observed(it));
            }
        }
        let all: Vec<Period> = callers.iter().filter_map(|it| it.availability.period()).collect();
        for it in all.iter().chain(&all) {
            callers.iter_mut().for_each(|to| _ = to.availability.observed(*it));
        }
        let recovered: Vec<u64> = callers.iter().map(|it| it.availability.recovered_at()).collect();
        let expected = if length > 0 { outage.end..outage.end + 500 } else { 0..1_000 };
        let agree = recovered.iter().all(|it| expected.contains(it));
        assert!(
            agree,
            "seed {seed}: ends of the outage {recovered:?}, expected within {expected:?}"
        );
    }
}

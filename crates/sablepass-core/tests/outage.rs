// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What counts as an outage of a service, from the calls of one process and the word of others.

use sablepass_core::outage::Outages;

/// A service that is well answers so often.
const QUIET: u64 = 2_000;

fn well(until: u64) -> Outages {
    let mut it = Outages::open(QUIET);
    (1_000..=until).step_by(1_900).for_each(|at| it.answered(at));
    assert_eq!(it.back(), 0, "a service that answers is not away, nor one that is asked first");
    it
}

#[test]
fn verify_a_call_that_is_cut_is_no_outage() {
    let mut it = well(10_000);
    it.failed(10_100);
    it.answered(10_300);
    assert_eq!(it.back(), 0);
}

#[test]
fn verify_a_service_that_fails_calls_for_longer_was_away() {
    let mut it = well(10_000);
    [10_100, 10_300, 10_700, 11_500].into_iter().for_each(|at| it.failed(at));
    it.answered(10_050);
    assert_eq!(it.back(), 0, "an answer from before the first failure says nothing");
    it.answered(12_000);
    assert_eq!(it.back(), 12_000);
    it.answered(12_400);
    assert_eq!(it.back(), 12_000, "it came back once");
}

/// Whoever makes no calls itself is told only of answers.
#[test]
fn verify_a_service_that_answers_nobody_for_longer_was_away() {
    let mut it = well(10_000);
    it.answered(13_500);
    assert_eq!(it.back(), 13_500);
}

#[test]
fn verify_a_restored_service_is_back_without_an_outage() {
    let mut it = well(10_000);
    it.restored(10_200);
    assert_eq!(it.back(), 10_200);
}

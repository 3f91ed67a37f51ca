// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which failures and silences count as an outage, from the calls of this process and the reports
//! of others.

use sablepass_core::outage::Outages;

/// Longest time in milliseconds between two answers of a healthy service.
const MAX_IDLE: u64 = 2_000;

fn healthy(until: u64) -> Outages {
    let mut outages = Outages::open(MAX_IDLE);
    for at in (1_000..=until).step_by(1_900) {
        outages.answered(at);
    }
    assert_eq!(
        outages.recovered_at(),
        0,
        "neither a service that answers nor the first call is an outage"
    );
    outages
}

#[test]
fn verify_an_interrupted_call_is_no_outage() {
    let mut outages = healthy(10_000);
    outages.failed(10_100);
    outages.answered(10_300);
    assert_eq!(outages.recovered_at(), 0);
}

#[test]
fn verify_failures_for_longer_are_an_outage() {
    let mut outages = healthy(10_000);
    [10_100, 10_300, 10_700, 11_500].into_iter().for_each(|at| outages.failed(at));
    outages.answered(10_050);
    assert_eq!(outages.recovered_at(), 0, "an answer from before the first failure ends no outage");
    outages.answered(12_000);
    assert_eq!(outages.recovered_at(), 12_000);
    outages.answered(12_400);
    assert_eq!(
        outages.recovered_at(),
        12_000,
        "a later answer does not move the end of the outage"
    );
}

/// A process that makes no calls itself receives only reports of answers.
#[test]
fn verify_silence_for_longer_is_an_outage() {
    let mut outages = healthy(10_000);
    outages.answered(13_500);
    assert_eq!(outages.recovered_at(), 13_500);
}

#[test]
fn verify_a_restore_counts_as_the_end_of_an_outage() {
    let mut outages = healthy(10_000);
    outages.restored(10_200);
    assert_eq!(outages.recovered_at(), 10_200);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How many entries share common limits, while they die, restart and are added.

use sablepass_core::budget::{Budget, Options};
use sablepass_core::sharers::Sharers;

#[test]
fn verify_a_fresh_one_among_many_takes_their_word_at_once() {
    let mut it = Sharers::open(true);
    assert!(!it.is_known());
    it.watch(0, 1, None);
    assert!(!it.is_known() && it.count() == 1);
    let mut lone = it;
    lone.watch(1_000, 1, None);
    assert!(lone.is_known(), "nobody told in time");
    it.watch(10, 4, None);
    assert_eq!(it.count(), 4, "those that its seeds named");
    it.watch(20, 4, Some(16));
    assert!(it.is_known() && it.count() == 16);
}

#[test]
fn verify_those_that_are_gone_are_forgotten_within_a_second() {
    let mut it = Sharers::open(true);
    it.watch(0, 16, Some(16));
    for now in (25..=775).step_by(25) {
        it.watch(now, 4, Some(8));
        assert_eq!(it.count(), 16, "at {now}: one that told may not have met all");
    }
    it.watch(1_000, 4, Some(8));
    assert_eq!(it.count(), 8);
    // One source that sees more again begins the time anew.
    it.watch(1_025, 4, Some(4));
    it.watch(1_500, 8, Some(4));
    it.watch(2_000, 4, Some(4));
    assert_eq!(it.count(), 8);
}

#[test]
fn verify_one_that_is_cut_off_keeps_its_share() {
    let mut it = Sharers::open(true);
    it.watch(0, 16, Some(16));
    (1..=100).for_each(|now| it.watch(now * 100, 1, None));
    assert_eq!(it.count(), 16, "the others may go on where it does not see them");
}

/// Entries of the pattern, and how many of them restart at once.
const ENTRIES: usize = 16;
/// Retries that all may make at once.
const SLACK: f64 = 128.0;
/// Milliseconds until agents tell a fresh one how many there are.
const TOLD: u64 = 300;

/// A herd of restarts: all entries start at the same moment, and each retries
/// whatever it may from its first request on. With the count that three seeds
/// give, which is 4 of 16, they made four times their share.
#[test]
fn verify_a_herd_of_restarts_stays_within_the_common_retries() {
    let share = |it: &Sharers| {
        let least = if it.is_known() { 4 } else { 64 };
        Options { ratio: 0.0, burst: SLACK * 0.6 / it.count().max(least) as f64 }
    };
    let mut made = 0;
    let fresh = || (Sharers::open(true), None::<Budget>);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| fresh()).collect();
    for now in (0..2_000).step_by(25) {
        for (number, (sharers, budget)) in entries.iter_mut().enumerate() {
            let told = (now >= TOLD).then_some(ENTRIES);
            let met = if now < TOLD { 1 } else { 2 + number % 3 };
            sharers.watch(now, met, told);
            let options = share(sharers);
            let budget = budget.get_or_insert_with(|| Budget::open(options));
            budget.limit(options.burst);
            while budget.spend() {
                made += 1;
            }
        }
    }
    assert!(f64::from(made) <= SLACK, "{made} retries at once");
}

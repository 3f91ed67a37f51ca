// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How many entries share common limits, while they die, restart and are added.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::budget::{Budget, Options};
use sablepass_core::id::Millis;
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
            budget.set_burst(options.burst);
            while budget.spend() {
                made += 1;
            }
        }
    }
    assert!(f64::from(made) <= SLACK, "{made} retries at once");
}

/// The budget as a service's targets see it: in any window of ten seconds no more
/// retries than a fifth of the requests of that window, of the one before it or
/// of the one half a window before, and the slack.
const WINDOW: usize = 10_000 / STEP as usize;
const ALLOWED: f64 = 0.2;
/// What each entry earns by a request.
const EARNED: f64 = 0.15;
/// Milliseconds of a step, and steps of a day.
const STEP: Millis = 25;
const STEPS: usize = 1_600;

struct Entry {
    started: Millis,
    sharers: Sharers,
    budget: Budget,
}

fn options(it: &Sharers) -> Options {
    let least = if it.is_known() { 4 } else { 64 };
    Options { ratio: EARNED, burst: SLACK * 0.6 / it.count().max(least) as f64 }
}

impl Entry {
    fn start(now: Millis) -> Self {
        let sharers = Sharers::open(true);
        Self { started: now, sharers, budget: Budget::open(options(&sharers)) }
    }
}

/// Requests and retries of each step of a day on which every request asks for as
/// many retries as it can get, while entries restart alone, in herds and are added.
fn day(seed: u64) -> Vec<(u32, u32)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..rng.random_range(2..40)).map(|_| Entry::start(0)).collect();
    let rate = rng.random_range(0.05..1.0);
    let herds = [rng.random_range(100..800), rng.random_range(800..1_500)];
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let now = step as Millis * STEP;
        if herds.contains(&step) {
            let part = rng.random_range(0.3..1.0);
            for it in &mut entries {
                if rng.random_bool(part) {
                    *it = Entry::start(now);
                }
            }
        }
        if rng.random_bool(0.01) {
            let one = rng.random_range(0..entries.len());
            entries[one] = Entry::start(now);
        }
        if rng.random_bool(0.002) {
            entries.push(Entry::start(now));
        }
        let all = entries.len();
        let mut made = (0, 0);
        for it in &mut entries {
            let told = (now >= it.started + TOLD).then_some(all);
            it.sharers.watch(now, 1, told);
            it.budget.set_burst(options(&it.sharers).burst);
            if rng.random_bool(rate) {
                made.0 += 1;
                it.budget.earn();
            }
            while it.budget.spend() {
                made.1 += 1;
            }
        }
        steps.push(made);
    }
    steps
}

#[test]
fn verify_retries_of_all_entries_stay_within_their_common_budget() {
    for seed in 0..200 {
        let steps = day(seed);
        let sum = |from: usize, of: fn(&(u32, u32)) -> u32| -> f64 {
            steps.iter().skip(from).take(WINDOW).map(of).map(f64::from).sum()
        };
        for from in WINDOW..STEPS - WINDOW {
            let windows = [from, from - WINDOW, from - WINDOW / 2];
            let requests = windows.map(|it| sum(it, |it| it.0)).into_iter().fold(0.0, f64::max);
            let retries = sum(from, |it| it.1);
            let most = requests * ALLOWED + SLACK;
            assert!(retries <= most, "seed {seed}, step {from}: {retries} of {most}");
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Count of the entries that share common limits, while entries die, restart and are added.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::budget::{Budget, Options};
use sablepass_core::id::Millis;
use sablepass_core::sharers::Sharers;

#[test]
fn verify_a_new_entry_takes_a_reported_count_at_once() {
    let mut sharers = Sharers::open(true);
    assert!(!sharers.is_known());
    sharers.watch(0, 1, None);
    assert!(!sharers.is_known() && sharers.count() == 1);
    let mut alone = sharers;
    alone.watch(1_000, 1, None);
    assert!(alone.is_known(), "no count was reported in time");
    sharers.watch(10, 4, None);
    assert_eq!(sharers.count(), 4, "the entries that its seed peers reported");
    sharers.watch(20, 4, Some(16));
    assert!(sharers.is_known() && sharers.count() == 16);
}

#[test]
fn verify_the_count_falls_within_a_second_after_entries_end() {
    let mut sharers = Sharers::open(true);
    sharers.watch(0, 16, Some(16));
    for now in (25..=775).step_by(25) {
        sharers.watch(now, 4, Some(8));
        assert_eq!(
            sharers.count(),
            16,
            "at {now}: the reporting process may not be connected to all"
        );
    }
    sharers.watch(1_000, 4, Some(8));
    assert_eq!(sharers.count(), 8);
    // A source that sees more entries again restarts the delay.
    sharers.watch(1_025, 4, Some(4));
    sharers.watch(1_500, 8, Some(4));
    sharers.watch(2_000, 4, Some(4));
    assert_eq!(sharers.count(), 8);
}

#[test]
fn verify_an_entry_that_is_cut_off_keeps_its_share() {
    let mut sharers = Sharers::open(true);
    sharers.watch(0, 16, Some(16));
    (1..=100).for_each(|now| sharers.watch(now * 100, 1, None));
    assert_eq!(sharers.count(), 16, "the others may still run without being seen");
}

/// Number of entries, all of which restart at once.
const ENTRIES: usize = 16;
/// Retries that all entries together may make at once.
const SLACK: f64 = 128.0;
/// Time until agents report the count to an entry that has started, in milliseconds.
const REPORT_DELAY: u64 = 300;

/// All entries start at the same moment, and each makes as many retries as it may from its first
/// request on. If it used the count of three seed peers, which is 4 of 16, the entries together
/// would make four times their share.
#[test]
fn verify_simultaneous_restarts_stay_within_the_common_retries() {
    let share = |it: &Sharers| {
        let least = if it.is_known() { 4 } else { 64 };
        Options { ratio: 0.0, burst: SLACK * 0.6 / it.count().max(least) as f64 }
    };
    let mut made = 0;
    let fresh = || (Sharers::open(true), None::<Budget>);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| fresh()).collect();
    for now in (0..2_000).step_by(25) {
        for (number, (sharers, budget)) in entries.iter_mut().enumerate() {
            let reported = (now >= REPORT_DELAY).then_some(ENTRIES);
            let connected = if now < REPORT_DELAY { 1 } else { 2 + number % 3 };
            sharers.watch(now, connected, reported);
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

/// The budget as a service's targets see it: in a window of ten seconds, no more retries than a
/// fifth of the requests of that window, of the window before it or of the one half a window
/// before, plus the slack.
const WINDOW: usize = 10_000 / STEP as usize;
const ALLOWED: f64 = 0.2;
/// Retries that an entry earns with each request.
const EARNED: f64 = 0.15;
/// Duration of a step, and steps of a run.
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

/// Returns requests and retries of each step of a run in which every request makes as many retries
/// as allowed, while entries restart, alone and all at once, and are added.
fn simulate(seed: u64) -> Vec<(u32, u32)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..rng.random_range(2..40)).map(|_| Entry::start(0)).collect();
    let rate = rng.random_range(0.05..1.0);
    let mass_restarts = [rng.random_range(100..800), rng.random_range(800..1_500)];
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let now = step as Millis * STEP;
        if mass_restarts.contains(&step) {
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
            let reported = (now >= it.started + REPORT_DELAY).then_some(all);
            it.sharers.watch(now, 1, reported);
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
        let steps = simulate(seed);
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A short run of the fault soak, and each seed that ever failed.

use std::time::Duration;

use sablepass_stand::soak::judge::Guarantee;
use sablepass_stand::soak::schedule::{self, Fault, PlannedFault};
use sablepass_stand::soak::{self, Options};

/// Seeds that are run each time.
const SEEDS: [u64; 2] = [1, 3];
/// Seeds that broke a promise once, each with a line on the cause. None so far.
const FAILED: [u64; 0] = [];

#[test]
fn verify_seeds_break_no_promise() {
    let options = Options { entries: 3, replicas: 4, callers: 8, length: 2_000 };
    for seed in SEEDS.into_iter().chain(FAILED) {
        let plan = schedule::draw(seed, options.length);
        let outcome = soak::run(&options, &plan);
        let told: Vec<String> = plan.iter().map(PlannedFault::to_string).collect();
        assert!(outcome.violations.is_empty(), "seed {seed}: {told:#?}\n{:#?}", outcome.violations);
        assert!(outcome.answered > 0, "seed {seed} served nothing");
    }
}

#[test]
fn verify_a_seed_gives_the_same_schedule() {
    for seed in 0..100 {
        let plan = schedule::draw(seed, 4_000);
        assert_eq!(plan, schedule::draw(seed, 4_000), "seed {seed}");
        assert!(plan.is_sorted_by_key(|it| it.at) && plan.iter().all(|it| it.at < 4_000));
    }
    let kinds = |wanted: fn(&Fault) -> bool| {
        (0..100).any(|seed| schedule::draw(seed, 4_000).iter().any(|it| wanted(&it.fault)))
    };
    assert!(
        kinds(|it| matches!(it, Fault::StoreHistoryLost)) && kinds(|it| *it == Fault::RouteAdded)
    );
}

/// The judge sees what goes wrong: a caller that hears nothing for longer than a
/// request may be held, from an entry that nothing is known to have struck.
#[test]
fn verify_the_judge_finds_what_is_held_too_long() {
    let options = Options { entries: 1, replicas: 2, callers: 2, length: 100 };
    let pause = Duration::from_millis(5_500);
    let violations =
        soak::run_with_unrecorded(&options, &[], |fleet| fleet.pause_unrecorded(0, pause))
            .violations;
    assert!(violations.iter().any(|it| it.guarantee == Guarantee::Timeout), "{violations:?}");
}

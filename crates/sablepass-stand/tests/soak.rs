// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Short runs of the fault soak, and tests of its schedules and checks.

use std::time::Duration;

use sablepass_stand::soak::fleet::HALLS;
use sablepass_stand::soak::judge::Guarantee;
use sablepass_stand::soak::schedule::{self, Fault, Link, PlannedFault};
use sablepass_stand::soak::{self, Options};

/// Seeds of every run.
const SEEDS: [u64; 2] = [1, 3];
/// Seeds that once violated a guarantee, kept as regression tests, each with a line on the
/// cause.
const FORMERLY_FAILING_SEEDS: [u64; 0] = [];

#[test]
fn verify_seeds_violate_no_guarantee() {
    let options = Options { entries: 3, replicas: 4, callers: 8, length: 2_000 };
    for seed in SEEDS.into_iter().chain(FORMERLY_FAILING_SEEDS) {
        let plan = schedule::draw(seed, options.length);
        let outcome = soak::run(&options, &plan);
        let faults: Vec<String> = plan.iter().map(PlannedFault::to_string).collect();
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {faults:#?}\n{:#?}",
            outcome.violations
        );
        assert!(outcome.answered > 0, "seed {seed} answered no request with status 200");
    }
}

#[test]
fn verify_a_seed_gives_the_same_schedule() {
    for seed in 0..100 {
        let plan = schedule::draw(seed, 4_000);
        assert_eq!(plan, schedule::draw(seed, 4_000), "seed {seed}");
        assert!(plan.is_sorted_by_key(|it| it.at) && plan.iter().all(|it| it.at < 4_000));
    }
    let any_drawn = |predicate: fn(&Fault) -> bool| {
        (0..100).any(|seed| schedule::draw(seed, 4_000).iter().any(|it| predicate(&it.fault)))
    };
    assert!(
        any_drawn(|it| matches!(it, Fault::StoreHistoryLost))
            && any_drawn(|it| *it == Fault::RouteAdded)
            && any_drawn(|it| *it == Fault::HallEvacuated)
            && any_drawn(|it| *it == Fault::HallReturnsCold)
    );
}

/// Guards against checks that pass whatever happens: an entry is suspended without a recorded
/// fault for longer than a request may take, so the checks must report a timeout.
#[test]
fn verify_the_checks_report_a_request_past_its_timeout() {
    let options = Options { entries: 1, replicas: 2, callers: 2, length: 100 };
    let pause = Duration::from_millis(5_500);
    let violations =
        soak::run_with_unrecorded(&options, &[], |fleet| fleet.pause_unrecorded(0, pause))
            .violations;
    assert!(violations.iter().any(|it| it.guarantee == Guarantee::Timeout), "{violations:?}");
}

/// An evacuation during which entries are killed and suspended and the store is restored, and a
/// hall that returns cold. The seeds above may draw none of these.
#[test]
fn verify_faults_of_halls_violate_no_guarantee() {
    let options = Options { entries: 3, replicas: 6, callers: 12, length: 2_000 };
    let planned =
        |at, duration_ms, selector, fault| PlannedFault { at, duration_ms, selector, fault };
    let plan = [
        planned(100, 1_000, 1, Fault::HallReturnsCold),
        planned(500, 7_500, 0, Fault::HallEvacuated),
        planned(1_500, 500, 0, Fault::EntryKilled),
        planned(2_200, 900, 1, Fault::EntryPaused),
        planned(4_000, 500, 0, Fault::StoreRestored),
        planned(6_800, 500, 0, Fault::EntryKilled),
    ];
    let outcome = soak::run(&options, &plan);
    assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
    assert!(outcome.answered > 0, "no request was answered with status 200");
}

/// Guards against checks that pass whatever happens: the store does not have the evacuation, so
/// that requests reach the hall.
#[test]
fn verify_the_checks_report_requests_to_an_evacuated_hall() {
    let options = Options { entries: 1, replicas: 3, callers: 4, length: 100 };
    let violations = soak::run_with_unrecorded(&options, &[], |fleet| {
        fleet.record_unwritten_evacuation(HALLS[0]);
        std::thread::sleep(Duration::from_millis(3_000));
    })
    .violations;
    assert!(violations.iter().any(|it| it.guarantee == Guarantee::Evacuation), "{violations:?}");
}

/// Guards against checks that pass whatever happens: nobody learns that a replica is cold.
#[test]
fn verify_the_checks_report_requests_over_a_cold_rate() {
    let options = Options { entries: 1, replicas: 2, callers: 4, length: 100 };
    let cold = Duration::from_secs(2);
    let violations =
        soak::run_with_unrecorded(&options, &[], |fleet| fleet.turn_cold_untold(0, cold))
            .violations;
    assert!(violations.iter().any(|it| it.guarantee == Guarantee::ColdRate), "{violations:?}");
}

/// Different requests with one prompt part that crashes replicas, while entries are killed,
/// suspended and stopped. The seeds above may draw none of these.
#[test]
fn verify_a_fatal_prompt_part_violates_no_guarantee() {
    let options = Options { entries: 3, replicas: 6, callers: 12, length: 2_000 };
    let planned =
        |at, duration_ms, selector, fault| PlannedFault { at, duration_ms, selector, fault };
    let plan = [
        planned(100, 2_500, 0, Fault::FatalPart),
        planned(700, 400, 1, Fault::EntryKilled),
        planned(1_200, 600, 0, Fault::EntryPaused),
        planned(1_800, 1_500, 0, Fault::FatalPart),
        planned(2_200, 300, 2, Fault::EntryStopped),
    ];
    let outcome = soak::run(&options, &plan);
    assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
    assert!(outcome.answered > 0, "no request was answered with status 200");
}

/// Guards against taking the end of a broken link for that of an answer, while answers state no
/// length and end with their connections. The seeds above may draw no such links.
#[test]
fn verify_broken_links_violate_no_guarantee_while_answers_state_no_length() {
    let options = Options { entries: 2, replicas: 6, callers: 12, length: 2_000 };
    let planned =
        |at, duration_ms, selector, fault| PlannedFault { at, duration_ms, selector, fault };
    let cuts = [Link::Cut, Link::CutDown, Link::CutUp, Link::Cut, Link::CutDown, Link::Cut];
    let cut = |(number, link): (usize, &Link)| {
        planned(300 + 250 * number as u64, 200, number, Fault::Link(*link))
    };
    let mut plan = vec![planned(50, 3_000, 0, Fault::AnswersUnsized)];
    plan.extend(cuts.iter().enumerate().map(cut));
    let outcome = soak::run(&options, &plan);
    assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
    assert!(outcome.answered > 0, "no request was answered with status 200");
}

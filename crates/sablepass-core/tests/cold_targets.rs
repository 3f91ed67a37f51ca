// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which targets are cold until when: statements of several sources, some of which are older than
//! they arrive; and the number of entries that hold the rate.

use std::collections::VecDeque;

use sablepass_core::cold::{Bound, Change, ColdTargets, MAX_REMAINING};
use sablepass_core::holders::Holders;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::{Rate, Turn};

const LIFE: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 100 };
const NEXT_LIFE: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 900 };

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a valid rate")
}

fn remaining(targets: &ColdTargets, now: Millis, life: TargetIncarnation<'_>) -> Millis {
    targets.get(now, life).map_or(0, |it| it.remaining(now))
}

/// A burst of one request of each holder, the rate and one request in reserve must fit the bound.
#[test]
fn verify_the_number_of_holders_follows_from_the_bound() {
    let bound = Bound { overshoot: 1.5, slack: 5.0 };
    let plan = bound.plan(rate(26.0));
    assert_eq!((plan.rate, plan.holders), (rate(26.0), 17));
    let plan = bound.plan(rate(4.0));
    assert_eq!((plan.rate, plan.holders), (rate(4.0), 6));
    // Not even one holder fits, so the rate is lowered.
    let plan = Bound { overshoot: 1.0, slack: 1.0 }.plan(rate(26.0));
    assert_eq!((plan.rate, plan.holders), (rate(25.0), 1));
    for overshoot in [1.0, 1.1, 1.5, 4.0] {
        for slack in [0.0, 1.0, 2.0, 5.0, 100.0] {
            for per_second in [0.5, 1.0, 4.0, 26.0, 1_000.0] {
                let bound = Bound { overshoot, slack };
                let plan = bound.plan(rate(per_second));
                let most = plan.rate.per_second() + plan.burst.max(plan.holders as f64);
                let fits = most <= bound.requests(rate(per_second)) - 1.0 + 1e-9;
                let least = plan.rate <= rate(0.1) && plan.holders == 1;
                assert!(fits || least, "{overshoot} {slack} {per_second}: {plan:?}");
                assert!(plan.holders >= 1 && plan.rate <= rate(per_second));
            }
        }
    }
}

#[test]
fn verify_a_later_line_shortens_or_ends_the_cold_time() {
    let mut targets = ColdTargets::default();
    assert_eq!(targets.listed(0, LIFE, 0), Change::None);
    assert_eq!(targets.listed(1_000, LIFE, 3_000), Change::Began(3_000));
    assert_eq!(targets.listed(2_200, LIFE, 700), Change::Moved(700));
    assert_eq!(targets.listed(2_300, LIFE, 2_000), Change::Moved(2_000), "cold again");
    assert_eq!(targets.listed(2_400, LIFE, 0), Change::Ended);
    assert!(targets.is_empty());
    assert_eq!(targets.listed(9_000, LIFE, 50), Change::Began(50));
    assert_eq!(targets.sweep(9_049), []);
    assert_eq!(targets.sweep(9_050), [("i-1".to_owned(), LIFE.started_at)]);
}

/// A line may be written before a statement that arrives earlier, since the list is read at
/// intervals. If it ended that statement, the target would get its full load while it is cold.
#[test]
fn verify_an_older_line_does_not_end_a_newer_statement() {
    let statements: [fn(&mut ColdTargets) -> Change; 3] = [
        |it| it.answered(1_000, LIFE, 900, 3_000),
        |it| it.stated(1_000, LIFE, 3_000),
        // The list stated another cold time before.
        |it| {
            it.listed(500, LIFE, 600);
            it.answered(1_000, LIFE, 900, 3_000)
        },
    ];
    for state in statements {
        let mut targets = ColdTargets::default();
        state(&mut targets);
        assert_eq!(targets.listed(1_100, LIFE, 0), Change::Moved(2_900));
        // The next line was written after the one before was.
        assert_eq!(targets.listed(2_200, LIFE, 900), Change::Moved(900));
        assert_eq!(targets.listed(2_300, LIFE, 0), Change::Ended);
    }
}

#[test]
fn verify_a_response_replaces_what_was_known_before_its_request_was_sent() {
    let mut targets = ColdTargets::default();
    targets.listed(1_000, LIFE, 3_000);
    assert_eq!(targets.answered(1_100, LIFE, 990, 500), Change::None, "it may be older");
    assert_eq!(remaining(&targets, 1_100, LIFE), 2_900);
    assert_eq!(targets.answered(1_200, LIFE, 1_100, 500), Change::Moved(500));
    assert_eq!(targets.answered(1_300, LIFE, 0, 2_000), Change::Extended(2_000));
    assert_eq!(targets.answered(1_500, LIFE, 1_400, 0), Change::Ended);
}

/// Entries that told each other of the same cold time again and again would extend it forever.
#[test]
fn verify_the_statement_of_a_peer_only_extends() {
    let mut targets = ColdTargets::default();
    assert_eq!(targets.stated(1_000, LIFE, 3_000), Change::Began(3_000));
    assert_eq!(targets.stated(1_040, LIFE, 3_000), Change::None, "only the message was slow");
    assert_eq!(targets.stated(1_100, LIFE, 10), Change::None);
    assert_eq!(targets.stated(2_000, LIFE, 3_000), Change::Extended(3_000));
    assert_eq!(targets.stated(2_000, LIFE, u64::MAX / 2), Change::Extended(MAX_REMAINING));
}

/// Sends a peer's statement to one of several entries, which forward it. Returns the number of
/// messages, at most `max`.
fn forward(entries: usize, remaining: Millis, latency: Millis, max: usize) -> usize {
    let mut all: Vec<ColdTargets> = (0..entries).map(|_| ColdTargets::default()).collect();
    let mut messages = VecDeque::from([(0, 0, remaining)]);
    let mut count = 0;
    while let Some((now, to, remaining)) = messages.pop_front().filter(|_| count < max) {
        count += 1;
        let change = all[to].stated(now, LIFE, remaining);
        if let Some(remaining) = change.forwarded() {
            let others = (0..entries).filter(|it| *it != to);
            messages.extend(others.map(|it| (now + latency, it, remaining)));
        }
    }
    count
}

/// Guards against a statement that entries forward to each other for ever, as each one knows of it
/// no longer when it comes back.
#[test]
fn verify_a_short_cold_time_is_not_forwarded_for_ever() {
    const ENTRIES: usize = 17;
    for remaining in [1, 2, 5, 20, 99, 100, 101, 3_000] {
        for latency in [1, 2, 10, 50] {
            let count = forward(ENTRIES, remaining, latency, 10_000);
            assert!(count <= 1 + ENTRIES * (ENTRIES - 1), "{remaining} {latency}: {count}");
        }
    }
    assert!(forward(ENTRIES, 3_000, 1, 10_000) > ENTRIES, "other cold times are forwarded");
}

/// Guards against a peer that names an incarnation which a target has left behind, while the list
/// does not contain the target yet.
#[test]
fn verify_a_peer_that_names_an_earlier_incarnation_changes_nothing() {
    let mut targets = ColdTargets::default();
    assert_eq!(targets.stated(0, NEXT_LIFE, 3_000), Change::Began(3_000));
    assert_eq!(targets.stated(100, LIFE, 8_000), Change::None);
    assert_eq!(remaining(&targets, 100, NEXT_LIFE), 2_900);
    assert_eq!(targets.stated(5_000, LIFE, 1_000), Change::Began(1_000), "no longer known");
    assert_eq!(targets.stated(5_100, NEXT_LIFE, 3_000), Change::Began(3_000));
}

#[test]
fn verify_a_restarted_target_starts_afresh() {
    let bound = Bound { overshoot: 1.5, slack: 5.0 };
    let mut holders = Holders::open("entry-1");
    holders.watch(0, Some(1));
    holders.watch(2_000, Some(1));
    let mut targets = ColdTargets::default();
    targets.listed(3_000, LIFE, 3_000);
    targets.set_plan(3_000, "i-1", Some(bound.plan(rate(4.0))), &holders);
    assert_eq!(targets.reserve(3_000, LIFE, 0), Some(Turn::TooLate(250)), "buckets start empty");
    assert_eq!(targets.reserve(3_250, LIFE, 0), Some(Turn::In(0)));
    assert_eq!(targets.listed(3_300, NEXT_LIFE, 0), Change::None, "the new one is not cold");
    assert_eq!(targets.reserve(3_300, LIFE, 0), None);
    assert_eq!(targets.stated(3_400, NEXT_LIFE, 1_000), Change::Began(1_000));
    assert_eq!(remaining(&targets, 3_400, LIFE), 0);
    assert_eq!(remaining(&targets, 3_400, NEXT_LIFE), 1_000);
    targets.set_plan(3_400, "i-1", Some(bound.plan(rate(4.0))), &holders);
    assert_eq!(targets.next(3_400, NEXT_LIFE), Some(Turn::In(250)));
    // An entry that resumes may have lost its share to others.
    holders.resumed(3_500);
    targets.update_shares(3_500, &holders);
    assert_eq!(targets.reserve(4_000, NEXT_LIFE, 1_000), Some(Turn::Never));
}

/// Without a cold rate, nothing is limited.
#[test]
fn verify_a_target_without_a_plan_is_not_limited() {
    let mut targets = ColdTargets::default();
    targets.listed(1_000, LIFE, 3_000);
    assert_eq!(targets.next(1_000, LIFE), None);
    assert_eq!(targets.reserve(1_000, LIFE, 0), None);
}

/// Guards against a cold time that one entry assumes and all others then take for stated: warm
/// targets would be limited in the whole fleet.
#[test]
fn verify_an_assumed_cold_time_is_marked_until_it_is_stated() {
    let mut targets = ColdTargets::default();
    let is_assumed = |it: &ColdTargets| it.get(1_000, LIFE).is_some_and(|it| it.is_assumed());
    assert_eq!(targets.assume(1_000, LIFE, 3_000), Change::Began(3_000));
    assert!(is_assumed(&targets));
    assert_eq!(targets.stated(1_000, LIFE, 4_000), Change::Extended(4_000));
    assert!(!is_assumed(&targets));
    assert_eq!(targets.assume(1_000, LIFE, 2_000), Change::None, "a longer time is stated");
    assert!(!is_assumed(&targets));
}

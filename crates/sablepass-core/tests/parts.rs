// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Prompt parts that are blocked because targets end under requests with them.

use std::collections::HashSet;

use quickcheck::quickcheck;
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::id::Millis;
use sablepass_core::parts::{PartSuspects, PartsDeath, Recorded};
use sablepass_core::suspects::{BLOCK_DURATION, Death, Trial};

const FATAL: Fingerprint = Fingerprint(7);
const FIRST: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
/// Time between the deaths of targets.
const GAP: Millis = 4_000;

/// A request under which the target of this number ended.
fn death(request: u128, target: u64, parts: &[Fingerprint]) -> PartsDeath {
    let ended = target * GAP;
    PartsDeath {
        request: Fingerprint(request),
        parts: parts.to_vec(),
        companions: Vec::new(),
        death: Death { target: format!("t{target}"), born: 0, sent: ended - 100, ended },
    }
}

fn record(suspects: &mut PartSuspects, it: &PartsDeath) -> Recorded {
    suspects.record(it.death.ended, it)
}

fn is_blocked(suspects: &PartSuspects, now: Millis, parts: &[Fingerprint]) -> bool {
    let trial = |_| Trial { expensive: false, owner: false, busy: false };
    suspects.block(now, parts, trial).is_some()
}

#[test]
fn verify_two_consecutive_deaths_block_the_only_common_part() {
    let mut suspects = PartSuspects::default();
    record(&mut suspects, &death(100, 1, &[FIRST, FATAL]));
    record(&mut suspects, &death(101, 1, &[OTHER]));
    assert!(!is_blocked(&suspects, GAP, &[FATAL]));
    let recorded = record(&mut suspects, &death(102, 2, &[Fingerprint(3), FATAL]));
    assert_eq!(recorded.blocked, [FATAL]);
    assert!(is_blocked(&suspects, 2 * GAP, &[Fingerprint(4), FATAL]));
    for part in [FIRST, OTHER, Fingerprint(3), Fingerprint(4)] {
        assert!(!is_blocked(&suspects, 2 * GAP, &[part]), "{part}");
    }
}

/// A hall loses power.
#[test]
fn verify_deaths_at_one_moment_count_once() {
    let mut suspects = PartSuspects::default();
    for target in 1..6 {
        let mut simultaneous = death(100 + u128::from(target), target, &[FATAL]);
        (simultaneous.death.sent, simultaneous.death.ended) = (900, 1_000);
        record(&mut suspects, &simultaneous);
    }
    assert!(!is_blocked(&suspects, 1_000, &[FATAL]));
}

/// A request is sent again each time, which proves it to be the cause, and not one of its parts.
#[test]
fn verify_deaths_under_one_request_count_once() {
    let mut suspects = PartSuspects::default();
    for target in 1..6 {
        record(&mut suspects, &death(100, target, &[FATAL]));
    }
    assert!(!is_blocked(&suspects, 6 * GAP, &[FATAL]));
}

/// Guards against refusing requests that share their first part with those under which targets end.
#[test]
fn verify_only_the_combination_is_blocked_until_it_is_split() {
    let mut suspects = PartSuspects::default();
    for number in 1..3 {
        record(&mut suspects, &death(u128::from(number), number, &[FIRST, FATAL]));
    }
    let now = 2 * GAP;
    assert!(is_blocked(&suspects, now, &[FIRST, FATAL, OTHER]));
    assert!(!is_blocked(&suspects, now, &[FIRST, OTHER]));
    assert!(!is_blocked(&suspects, now, &[FATAL]));
    assert_eq!(suspects.record_completed(now, &[FIRST, OTHER]), [FIRST]);
    assert!(is_blocked(&suspects, now, &[FATAL]), "the first part is not the cause");
}

/// A popular part is present at two deaths in a row, in requests of its own.
#[test]
fn verify_a_part_with_completed_answers_needs_more_deaths() {
    let mut suspects = PartSuspects::default();
    suspects.record_completed(10, &[FIRST]);
    for number in 1..4 {
        record(&mut suspects, &death(u128::from(number), number, &[FIRST]));
        assert_eq!(is_blocked(&suspects, number * GAP, &[FIRST]), number == 3, "{number}");
    }
    assert_eq!(suspects.record_completed(3 * GAP, &[FIRST]), [FIRST]);
    assert!(!is_blocked(&suspects, 3 * GAP, &[FIRST]));
}

/// Another part is present at some deaths that the cause explains, in requests of its own.
#[test]
fn verify_a_part_that_explains_fewer_deaths_is_not_blocked() {
    let mut suspects = PartSuspects::default();
    for number in 1..5 {
        record(&mut suspects, &death(u128::from(number), number, &[FATAL]));
        if number > 1 {
            record(&mut suspects, &death(100 + u128::from(number), number, &[OTHER]));
        }
    }
    assert!(is_blocked(&suspects, 4 * GAP, &[FATAL]));
    assert!(!is_blocked(&suspects, 4 * GAP, &[OTHER]));
}

/// Two parts explain the same deaths in different requests: one more death decides.
#[test]
fn verify_two_equal_explanations_need_one_more_death() {
    let mut suspects = PartSuspects::default();
    for number in 1..3 {
        record(&mut suspects, &death(u128::from(number), number, &[FATAL]));
        record(&mut suspects, &death(100 + u128::from(number), number, &[OTHER]));
    }
    assert!(!is_blocked(&suspects, 2 * GAP, &[FATAL, OTHER]));
    record(&mut suspects, &death(3, 3, &[FATAL]));
    assert!(is_blocked(&suspects, 3 * GAP, &[FATAL]));
    assert!(!is_blocked(&suspects, 3 * GAP, &[OTHER]));
}

/// Guards against taking a part that occurs in a single request for the better explanation: two
/// requests with the cause in common run at the same targets, so that each other part of theirs is
/// present at all deaths too.
#[test]
fn verify_parts_of_a_single_request_do_not_hide_the_cause() {
    let mut suspects = PartSuspects::default();
    for number in 1..3 {
        record(&mut suspects, &death(100, number, &[FIRST, FATAL]));
        record(&mut suspects, &death(101, number, &[OTHER, FATAL]));
    }
    assert!(is_blocked(&suspects, 2 * GAP, &[FATAL]));
    assert!(!is_blocked(&suspects, 2 * GAP, &[FIRST, OTHER]));
}

/// A part that always accompanies another one is blocked first; sound requests with the other one
/// ran at the same targets.
#[test]
fn verify_the_part_in_fewer_requests_is_blocked_first() {
    let mut suspects = PartSuspects::default();
    for number in 1..4 {
        record(&mut suspects, &death(u128::from(number), number, &[FIRST, FATAL]));
        record(&mut suspects, &death(100 + u128::from(number), number, &[FIRST]));
    }
    assert!(is_blocked(&suspects, 3 * GAP, &[FIRST, FATAL]));
    assert!(!is_blocked(&suspects, 3 * GAP, &[FIRST]));
}

/// Guards against unblocking a part because records of one target displace those of others: each
/// target that ends was running more requests with the part than records are kept.
#[test]
fn verify_many_requests_at_one_target_do_not_unblock_a_part() {
    let mut suspects = PartSuspects::default();
    for number in 1..12 {
        for request in 0..40 {
            record(&mut suspects, &death(u128::from(1_000 * number + request), number, &[FATAL]));
        }
        assert_eq!(is_blocked(&suspects, number * GAP, &[FATAL]), number >= 2, "{number}");
    }
}

#[test]
fn verify_one_request_is_tried_after_a_block() {
    let mut suspects = PartSuspects::default();
    for number in 1..3 {
        record(&mut suspects, &death(u128::from(number), number, &[FATAL]));
    }
    let block = |suspects: &PartSuspects, now, owner, busy| {
        suspects.block(now, &[FATAL], |_| Trial { expensive: false, owner, busy })
    };
    let until = block(&suspects, 2 * GAP, true, false).map_or(0, |it| it.until);
    assert!(until > 2 * GAP + 30_000, "callers repeat a request for seconds");
    assert!(block(&suspects, until, true, false).is_none());
    assert!(block(&suspects, until, true, true).is_some(), "one request at a time");
    assert!(block(&suspects, until, false, false).is_some(), "at one entry");
    let mut again = death(50, 90, &[FATAL]);
    (again.death.sent, again.death.ended) = (until + 10, until + 200);
    suspects.record(until + 200, &again);
    let longer = block(&suspects, until + 200, true, false).map_or(0, |it| it.until);
    assert!(longer - (until + 200) > until - 2 * GAP, "the second block lasts longer");
    assert!(longer - (until + 200) <= BLOCK_DURATION);
}

/// An agent reports a death from before a completion that it was not told of.
#[test]
fn verify_a_death_before_the_last_completion_does_not_count() {
    let mut suspects = PartSuspects::default();
    suspects.record_completed(9 * GAP, &[FIRST]);
    for number in 1..4 {
        let recorded = suspects.record(9 * GAP, &death(u128::from(number), number, &[FIRST]));
        assert_eq!(recorded.completed, [(FIRST, 9 * GAP)], "the reporter is told");
        assert!(!recorded.is_new);
    }
    assert!(suspects.is_empty());
}

#[test]
fn verify_a_flood_of_single_deaths_does_not_unblock_a_part() {
    let mut suspects = PartSuspects::default();
    for number in 1..3 {
        record(&mut suspects, &death(u128::from(number), number, &[FATAL]));
    }
    for number in 0..3_000 {
        let parts = [Fingerprint(1_000 + 2 * number), Fingerprint(1_001 + 2 * number)];
        record(&mut suspects, &death(100 + number, 3, &parts));
    }
    assert!(suspects.evicted() > 0);
    assert!(is_blocked(&suspects, 3 * GAP, &[FATAL]));
}

quickcheck! {
    /// Entries learn of the same deaths in different orders, some of them twice or in the form in
    /// which agents store them.
    fn verify_order_does_not_matter(events: Vec<(u8, u8, u8)>, rotate: usize) -> bool {
        let mut numbers = HashSet::new();
        let mut deaths: Vec<PartsDeath> = events.iter().take(8).map(|(request, target, parts)| {
            let parts: Vec<_> = (0..4).filter(|it| parts >> it & 1 == 1).map(Fingerprint).collect();
            death(u128::from(request % 4), u64::from(target % 5) + 1, &parts)
        }).filter(|it| numbers.insert((it.request, it.death.target.clone()))).collect();
        let mut one = PartSuspects::default();
        deaths.iter().for_each(|it| { one.record(5 * GAP, it); });
        let middle = if deaths.is_empty() { 0 } else { rotate % deaths.len() };
        deaths.rotate_left(middle);
        let mut other = PartSuspects::default();
        deaths.iter().for_each(|it| { other.record(5 * GAP, it); });
        one.deaths().for_each(|it| { other.record(5 * GAP, &it); });
        (0..16).all(|set| {
            let parts: Vec<_> = (0..4).filter(|it| set >> it & 1 == 1).map(Fingerprint).collect();
            is_blocked(&one, 5 * GAP, &parts) == is_blocked(&other, 5 * GAP, &parts)
        })
    }
}

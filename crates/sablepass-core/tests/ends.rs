// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What proves that an answer without a length is complete.

use sablepass_core::ends::{SETTLE_TIME, UnconfirmedEnd, UnconfirmedEnds};
use sablepass_core::id::{AttemptId, Millis, RequestId, TargetIncarnation};

const TARGET: TargetIncarnation<'_> = TargetIncarnation { name: "i-1", started_at: 0 };

fn end(request: u128, ended_at: Millis) -> UnconfirmedEnd {
    let attempt = AttemptId { request: RequestId(request), number: 1 };
    UnconfirmedEnd { attempt, length: 21, ended_at }
}

/// Guards against taking an answer to a request from before the end as proof: it may have been on
/// its way, or in a buffer of this process, when the target ended.
#[test]
fn verify_an_answer_to_an_earlier_request_proves_nothing() {
    let mut ends = UnconfirmedEnds::default();
    ends.add(TARGET, end(1, 1_000));
    for sent in [0, 999, 1_000, 1_000 + SETTLE_TIME - 1] {
        assert_eq!(ends.record_answer(TARGET, sent), [], "sent at {sent}");
        assert_eq!(ends.time_to_check(1_000, TARGET), Some(SETTLE_TIME));
    }
    assert_eq!(ends.record_answer(TARGET, 1_000 + SETTLE_TIME), [end(1, 1_000)]);
    assert!(ends.is_empty());
}

/// One answer confirms the ends before its request, and no later ones.
#[test]
fn verify_an_answer_confirms_the_ends_before_its_request() {
    let mut ends = UnconfirmedEnds::default();
    (0..3).for_each(|it| ends.add(TARGET, end(it, 1_000 + 10 * it as Millis)));
    assert_eq!(ends.record_answer(TARGET, 1_015), [end(0, 1_000), end(1, 1_010)]);
    assert!(!ends.contains(end(0, 0).attempt) && ends.contains(end(2, 0).attempt));
    assert_eq!(ends.record_exit(TARGET), [end(2, 1_020)]);
    assert!(ends.is_empty());
}

/// Guards against dropping a check that comes a moment too early, as if there were nothing to
/// check.
#[test]
fn verify_an_early_check_is_put_off() {
    let mut ends = UnconfirmedEnds::default();
    assert_eq!(ends.time_to_check(1_000, TARGET), None);
    ends.add(TARGET, end(1, 1_000));
    ends.add(TARGET, end(2, 1_002));
    assert_eq!(ends.time_to_check(1_000 + SETTLE_TIME - 1, TARGET), Some(1));
    assert_eq!(ends.time_to_check(1_000 + SETTLE_TIME, TARGET), Some(0));
    assert_eq!(ends.record_answer(TARGET, 1_000 + SETTLE_TIME), [end(1, 1_000)]);
    assert_eq!(ends.time_to_check(1_000 + SETTLE_TIME, TARGET), Some(2));
}

/// Guards against taking the answer of another target, or of another incarnation of the same name,
/// as proof.
#[test]
fn verify_another_incarnation_proves_nothing() {
    let mut ends = UnconfirmedEnds::default();
    ends.add(TARGET, end(1, 1_000));
    for other in [
        TargetIncarnation { name: "i-2", started_at: 0 },
        TargetIncarnation { name: "i-1", started_at: 7 },
    ] {
        assert_eq!(ends.record_answer(other, 2_000), []);
        assert_eq!(ends.record_exit(other), []);
    }
    assert_eq!(ends.time_to_check(1_000, TARGET), Some(SETTLE_TIME));
}

/// Ends of requests that are over are forgotten.
#[test]
fn verify_ends_of_closed_requests_are_forgotten() {
    let mut ends = UnconfirmedEnds::default();
    ends.add(TARGET, end(1, 1_000));
    ends.add(TARGET, end(2, 1_000));
    ends.retain(|it| it.attempt.request != RequestId(1));
    assert_eq!(ends.record_answer(TARGET, 2_000), [end(2, 1_000)]);
}

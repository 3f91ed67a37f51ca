// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests that are blocked as suspects because targets end while running them.

use quickcheck::{TestResult, quickcheck};
use sablepass_core::deaths::{Deaths, Interrupted};
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::flight::{Action, Event, Flight, Options, Request};
use sablepass_core::id::{Incarnation, Millis, RequestId};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::suspects::{BLOCK_DURATION, Change, Death, Standing, Suspects, Trial};

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn death(target: &str, sent: Millis, ended: Millis) -> Death {
    Death { target: target.to_owned(), born: 0, sent, ended }
}

fn record(suspects: &mut Suspects, it: Death) -> Change {
    let now = it.ended;
    suspects.record(now, FINGERPRINT, it)
}

/// A data hall loses power. Each request that ran there, and a concurrent duplicate of it, must
/// count this as one event.
#[test]
fn verify_concurrent_deaths_count_once() {
    let mut suspects = Suspects::default();
    assert_eq!(record(&mut suspects, death("a", 1_000, 2_000)), Change::Counted);
    assert_eq!(record(&mut suspects, death("b", 1_500, 2_010)), Change::Counted);
    assert_eq!(suspects.standing(2_010, FINGERPRINT), Standing::Suspect);
}

/// A request that crashes its target ends the next target after the last one.
#[test]
fn verify_two_consecutive_deaths_block_a_request() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    assert_eq!(record(&mut suspects, death("b", 2_001, 6_000)), Change::Blocked);
    assert_eq!(suspects.standing(6_001, FINGERPRINT), Standing::Blocked(6_000 + BLOCK_DURATION));
    assert_eq!(suspects.standing(6_001, Fingerprint(8)), Standing::Clear);
}

/// Three callers send the request at the same time, through three entries.
#[test]
fn verify_three_concurrent_deaths_block_a_request() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    record(&mut suspects, death("b", 1_001, 1_201));
    assert_eq!(record(&mut suspects, death("c", 1_002, 1_202)), Change::Blocked);
}

/// The entry that tries a suspected request, without a duplicate in progress.
const OWNER: Trial = Trial { expensive: false, owner: true, busy: false };
const OTHER: Trial = Trial { owner: false, ..OWNER };
const EXPENSIVE: Trial = Trial { expensive: true, ..OTHER };

/// Two duplicates at the same moment prove nothing, but each further duplicate could end one more
/// target.
#[test]
fn verify_no_entry_tries_after_two_concurrent_deaths() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    assert_eq!(
        suspects.paused_until(1_300, FINGERPRINT, OTHER),
        None,
        "it is one of a dozen requests that the target ran"
    );
    record(&mut suspects, death("b", 1_001, 1_201));
    assert_eq!(suspects.standing(1_300, FINGERPRINT), Standing::Suspect);
    for trial in [OWNER, OTHER] {
        assert_eq!(suspects.paused_until(1_300, FINGERPRINT, trial), Some(31_201));
    }
    assert_eq!(
        suspects.paused_until(31_201, FINGERPRINT, OWNER),
        None,
        "the request may not be the cause"
    );
    assert!(suspects.clear(1_400, FINGERPRINT));
    for trial in [OWNER, OTHER] {
        assert_eq!(
            suspects.paused_until(1_400, FINGERPRINT, trial),
            None,
            "it completed elsewhere"
        );
    }
}

/// After the pause, one duplicate at a time is tried over all entries, even when the request is no
/// longer blocked.
#[test]
fn verify_one_duplicate_is_tried_after_two_concurrent_deaths() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    record(&mut suspects, death("b", 1_001, 1_201));
    let blocked_until = 1_201 + BLOCK_DURATION;
    assert_eq!(suspects.paused_until(31_201, FINGERPRINT, OTHER), Some(blocked_until));
    let busy = Trial { busy: true, ..OWNER };
    assert!(suspects.paused_until(31_201, FINGERPRINT, busy).is_some_and(|until| until > 31_201));
    assert_eq!(suspects.paused_until(blocked_until, FINGERPRINT, OWNER), None);
    assert!(
        suspects
            .paused_until(blocked_until, FINGERPRINT, OTHER)
            .is_some_and(|until| until > blocked_until)
    );
    // The death during the trial proves it.
    assert_eq!(record(&mut suspects, death("c", 31_300, 31_400)), Change::Blocked);
}

/// The end of one rank interrupts all requests of its group.
#[test]
fn verify_no_entry_tries_after_one_death_that_stops_a_group() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    assert_eq!(suspects.paused_until(1_300, FINGERPRINT, EXPENSIVE), Some(31_200));
    assert_eq!(suspects.paused_until(1_300, Fingerprint(8), EXPENSIVE), None);
}

/// Two entries each ran a duplicate at the target that ended.
#[test]
fn verify_one_death_seen_twice_is_one() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    assert_eq!(record(&mut suspects, death("a", 2_001, 2_003)), Change::Nothing);
    assert_eq!(suspects.standing(2_003, FINGERPRINT), Standing::Suspect);
}

/// A target that restarts under its name can die once per incarnation.
#[test]
fn verify_deaths_of_each_incarnation_are_counted() {
    let mut suspects = Suspects::default();
    let incarnation = |born, sent, ended| Death { born, ..death("a", sent, ended) };
    record(&mut suspects, incarnation(500, 1_000, 2_000));
    assert_eq!(record(&mut suspects, incarnation(500, 2_001, 2_900)), Change::Nothing);
    assert_eq!(record(&mut suspects, incarnation(2_950, 3_000, 3_100)), Change::Blocked);
}

/// After the block has ended, one more death blocks the request again at once.
#[test]
fn verify_a_block_ends_and_is_renewed_by_one_death() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    record(&mut suspects, death("b", 3_000, 4_000));
    let over = 4_000 + BLOCK_DURATION;
    assert_eq!(suspects.standing(over, FINGERPRINT), Standing::Suspect);
    assert_eq!(record(&mut suspects, death("c", over, over + 50)), Change::Blocked);
    assert_eq!(
        suspects.standing(over + 51, FINGERPRINT),
        Standing::Blocked(over + 50 + BLOCK_DURATION)
    );
}

#[test]
fn verify_a_completed_request_is_not_suspected() {
    let mut suspects = Suspects::default();
    assert!(!suspects.clear(1_500, FINGERPRINT), "the request was not known");
    record(&mut suspects, death("a", 1_000, 2_000));
    assert!(suspects.clear(2_500, FINGERPRINT));
    record(&mut suspects, death("b", 2_600, 3_000));
    record(&mut suspects, death("c", 3_600, 4_000));
    assert_eq!(suspects.standing(4_000, FINGERPRINT), Standing::Clear);
}

/// Many callers send the same request at once, and targets end one after the other for another
/// reason.
#[test]
fn verify_a_recently_completed_request_is_not_suspected() {
    let mut suspects = Suspects::default();
    assert!(!suspects.record_completed(500, FINGERPRINT));
    assert_eq!(record(&mut suspects, death("a", 1_000, 2_000)), Change::Cleared);
    assert_eq!(record(&mut suspects, death("b", 2_001, 2_002)), Change::Nothing);
    assert_eq!(suspects.standing(2_002, FINGERPRINT), Standing::Clear);
    for other in 0..5_000 {
        suspects.record_completed(3_000, Fingerprint(100 + other));
    }
    assert!(
        !suspects.record_completed(3_000, Fingerprint(100)),
        "only the most recent are remembered"
    );
}

/// Repeated losses of thousands of requests at once must not unblock a blocked request.
#[test]
fn verify_a_flood_of_single_deaths_unblocks_no_request() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    record(&mut suspects, death("b", 2_000, 3_000));
    for other in 0..5_000 {
        let now = 4_000 + other;
        suspects.record(now, Fingerprint(100 + u128::from(other)), death("z", 1_000, now));
    }
    assert!(matches!(suspects.standing(9_000, FINGERPRINT), Standing::Blocked(_)));
    assert!(suspects.evicted() > 3_900, "{}", suspects.evicted());
    assert!(suspects.deaths().count() <= 1_100);
}

/// Records deaths at two entries in different orders, some of them twice, and compares their
/// decisions.
fn decides_alike(deaths: Vec<(u8, u16, u16)>, rotation: usize) -> TestResult {
    if deaths.len() > 8 {
        return TestResult::discard();
    }
    let incarnation = |(index, it): (usize, &(u8, u16, u16))| {
        let sent = Millis::from(it.1);
        let target = format!("t{}", it.0 % 4);
        let born = index as Millis + 1;
        Death { target, born, sent, ended: sent + Millis::from(it.2) }
    };
    let deaths: Vec<Death> = deaths.iter().enumerate().map(incarnation).collect();
    let mut one = Suspects::default();
    let mut other = Suspects::default();
    let now = 200_000;
    for it in &deaths {
        one.record(now, FINGERPRINT, it.clone());
    }
    let mut later = deaths.clone();
    later.rotate_left(rotation % deaths.len().max(1));
    later.reverse();
    for it in later.iter().chain(&deaths) {
        other.record(now, FINGERPRINT, it.clone());
    }
    TestResult::from_bool(one.standing(now, FINGERPRINT) == other.standing(now, FINGERPRINT))
}

#[test]
fn verify_entries_decide_alike_whatever_the_order() {
    quickcheck(decides_alike as fn(Vec<(u8, u16, u16)>, usize) -> TestResult);
}

fn interrupted(target: &str, sent: Millis, ended: Millis) -> Interrupted {
    Interrupted {
        request: RequestId(1),
        fingerprint: FINGERPRINT,
        parts: Vec::new(),
        death: death(target, sent, ended),
    }
}

/// A failed link, a group that gives up or a corrupted response interrupts a request too.
#[test]
fn verify_an_interrupted_request_alone_is_no_death() {
    let mut deaths = Deaths::default();
    assert_eq!(deaths.record_interrupted(2_000, interrupted("a", 1_000, 2_000)), None);
    assert_eq!(deaths.record_refusal(2_100, "b"), []);
    assert_eq!(deaths.record_gone(9_000, "a"), [], "the later end of the target is unrelated");
}

#[test]
fn verify_an_interrupted_request_and_a_gone_target_prove_a_death() {
    let mut deaths = Deaths::default();
    let first = interrupted("a", 1_000, 2_000);
    deaths.record_interrupted(2_000, first.clone());
    assert_eq!(deaths.record_refusal(2_020, "a"), [first]);
    let late = interrupted("a", 1_500, 2_030);
    assert_eq!(
        deaths.record_interrupted(2_030, late.clone()),
        Some(late),
        "the target is known to be gone by then"
    );
    let next = interrupted("a", 2_500, 2_600);
    assert_eq!(deaths.record_interrupted(2_600, next.clone()), None, "sent to a later incarnation");
    assert_eq!(deaths.record_gone(6_000, "a"), [next]);
}

/// Guards against counting the end of a target for requests that it had interrupted before, as all
/// ranks of a group do when one of them has ended.
#[test]
fn verify_requests_interrupted_long_before_the_end_were_not_running() {
    let mut deaths = Deaths::default();
    deaths.record_interrupted(2_000, interrupted("a", 1_000, 2_000));
    let last = interrupted("a", 4_500, 5_000);
    deaths.record_interrupted(5_000, last.clone());
    assert_eq!(deaths.record_gone(5_500, "a"), [last], "the list shows the end within seconds");
    deaths.record_interrupted(6_000, interrupted("a", 5_600, 6_000));
    assert_eq!(deaths.record_refusal(9_000, "a"), [], "connections are refused within a second");
    assert_eq!(deaths.record_gone(9_500, "a"), [], "and then the list shows the same end");
}

fn flight() -> Flight {
    let request = Request {
        id: RequestId(1),
        deadline: 10_000,
        max_attempts: 2,
        unsafe_repeat: false,
        keyed: false,
        stream: true,
        resumable: true,
    };
    Flight::new(Options::default(), request)
}

fn on(flight: &mut Flight, event: Event) -> Vec<Action> {
    flight.handle_event(1_000, 0, event, &mut || true)
}

/// A queued duplicate has not run; whether one that was sent has run is unknown; one whose response
/// is arriving continues.
#[test]
fn verify_duplicates_of_a_blocked_request_are_cancelled() {
    let failed = |ran| Action::Fail(Failure { reason: Refusal::EndsTargets, ran });
    let mut waiting = flight();
    assert_eq!(on(&mut waiting, Event::EndsTargets), [failed(Ran::NotRun)]);
    let mut sent = flight();
    let attempt = sent.send(900, "a", Incarnation(0));
    let given_up = [Action::Cancel(attempt), failed(Ran::Unknown)];
    assert_eq!(on(&mut sent, Event::EndsTargets), given_up);
    let mut answered = flight();
    answered.send(900, "a", Incarnation(0));
    let head = sablepass_core::flight::Head::plain(200, "text/event-stream", false);
    on(&mut answered, Event::Head(head));
    on(&mut answered, Event::Chunk { offset: 0, data: b"id: 1\ndata: x\n\n".to_vec() });
    assert_eq!(on(&mut answered, Event::EndsTargets), []);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which requests are held back because targets end under them.

use quickcheck::{TestResult, quickcheck};
use sablepass_core::deaths::{Interrupted, Deaths};
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::flight::{Action, Event, Flight, Options, Request};
use sablepass_core::id::{Incarnation, Millis, RequestId};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::suspects::{Change, Death, BLOCK_DURATION, Standing, Suspects, Trial};

const ASKED: Fingerprint = Fingerprint(7);

fn death(target: &str, sent: Millis, ended: Millis) -> Death {
    Death { target: target.to_owned(), born: 0, sent, ended }
}

fn record(suspects: &mut Suspects, it: Death) -> Change {
    let now = it.ended;
    suspects.record(now, ASKED, it)
}

/// A data hall loses power: each request that ran there, and a copy of it beside
/// it, sees one event.
#[test]
fn verify_deaths_of_one_moment_count_once() {
    let mut suspects = Suspects::default();
    assert_eq!(record(&mut suspects, death("a", 1_000, 2_000)), Change::Counted);
    assert_eq!(record(&mut suspects, death("b", 1_500, 2_010)), Change::Counted);
    assert_eq!(suspects.standing(2_010, ASKED), Standing::Suspect);
}

/// What crashes whatever runs it ends the next target after the last one.
#[test]
fn verify_two_deaths_in_turn_hold_a_request_back() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    assert_eq!(record(&mut suspects, death("b", 2_001, 6_000)), Change::Blocked);
    assert_eq!(suspects.standing(6_001, ASKED), Standing::Blocked(6_000 + BLOCK_DURATION));
    assert_eq!(suspects.standing(6_001, Fingerprint(8)), Standing::Clear);
}

/// Three callers repeat it at the same time, at three entries.
#[test]
fn verify_three_copies_at_one_moment_hold_a_request_back() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    record(&mut suspects, death("b", 1_001, 1_201));
    assert_eq!(record(&mut suspects, death("c", 1_002, 1_202)), Change::Blocked);
}

/// The entry that tries a suspected request, with no copy of it under way.
const OWNER: Trial = Trial { expensive: false, owner: true, busy: false };
const OTHER: Trial = Trial { owner: false, ..OWNER };
const EXPENSIVE: Trial = Trial { expensive: true, ..OTHER };

/// Two copies at one moment prove nothing, and yet the next copies would end one target each.
#[test]
fn verify_nobody_tries_after_two_deaths_of_one_moment() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    assert_eq!(suspects.paused_until(1_300, ASKED, OTHER), None, "it is one of a dozen");
    record(&mut suspects, death("b", 1_001, 1_201));
    assert_eq!(suspects.standing(1_300, ASKED), Standing::Suspect);
    for trial in [OWNER, OTHER] {
        assert_eq!(suspects.paused_until(1_300, ASKED, trial), Some(31_201));
    }
    assert_eq!(suspects.paused_until(31_201, ASKED, OWNER), None, "innocents may come again");
    assert!(suspects.clear(1_400, ASKED));
    for trial in [OWNER, OTHER] {
        assert_eq!(suspects.paused_until(1_400, ASKED, trial), None, "it ran elsewhere");
    }
}

/// What comes after the pause is tried once at a time over all entries, also when it is held
/// back no more.
#[test]
fn verify_one_copy_is_tried_after_two_deaths_of_one_moment() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    record(&mut suspects, death("b", 1_001, 1_201));
    let held = 1_201 + BLOCK_DURATION;
    assert_eq!(suspects.paused_until(31_201, ASKED, OTHER), Some(held));
    let busy = Trial { busy: true, ..OWNER };
    assert!(suspects.paused_until(31_201, ASKED, busy).is_some_and(|until| until > 31_201));
    assert_eq!(suspects.paused_until(held, ASKED, OWNER), None);
    assert!(suspects.paused_until(held, ASKED, OTHER).is_some_and(|until| until > held));
    // The one that is tried proves it.
    assert_eq!(record(&mut suspects, death("c", 31_300, 31_400)), Change::Blocked);
}

/// The end of one rank stops all that its group runs.
#[test]
fn verify_nobody_tries_after_one_death_that_stops_all() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 1_200));
    assert_eq!(suspects.paused_until(1_300, ASKED, EXPENSIVE), Some(31_200));
    assert_eq!(suspects.paused_until(1_300, Fingerprint(8), EXPENSIVE), None);
}

/// Two entries each had a copy at the target that ended.
#[test]
fn verify_one_death_seen_twice_is_one() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    assert_eq!(record(&mut suspects, death("a", 2_001, 2_003)), Change::Nothing);
    assert_eq!(suspects.standing(2_003, ASKED), Standing::Suspect);
}

/// A target that starts anew under its name dies once a life.
#[test]
fn verify_lives_of_one_name_are_counted() {
    let mut suspects = Suspects::default();
    let life = |born, sent, ended| Death { born, ..death("a", sent, ended) };
    record(&mut suspects, life(500, 1_000, 2_000));
    assert_eq!(record(&mut suspects, life(500, 2_001, 2_900)), Change::Nothing);
    assert_eq!(record(&mut suspects, life(2_950, 3_000, 3_100)), Change::Blocked);
}

/// The hold ends; one more death renews it at once.
#[test]
fn verify_a_hold_ends_and_is_renewed_by_one_death() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    record(&mut suspects, death("b", 3_000, 4_000));
    let over = 4_000 + BLOCK_DURATION;
    assert_eq!(suspects.standing(over, ASKED), Standing::Suspect);
    assert_eq!(record(&mut suspects, death("c", over, over + 50)), Change::Blocked);
    assert_eq!(suspects.standing(over + 51, ASKED), Standing::Blocked(over + 50 + BLOCK_DURATION));
}

#[test]
fn verify_what_ran_to_its_end_is_not_suspected() {
    let mut suspects = Suspects::default();
    assert!(!suspects.clear(1_500, ASKED), "nothing was known of it");
    record(&mut suspects, death("a", 1_000, 2_000));
    assert!(suspects.clear(2_500, ASKED));
    record(&mut suspects, death("b", 2_600, 3_000));
    record(&mut suspects, death("c", 3_600, 4_000));
    assert_eq!(suspects.standing(4_000, ASKED), Standing::Clear);
}

/// Many callers ask for the same at once, and targets end one after the other.
#[test]
fn verify_what_ran_a_moment_before_is_not_suspected() {
    let mut suspects = Suspects::default();
    assert!(!suspects.ran(500, ASKED));
    assert_eq!(record(&mut suspects, death("a", 1_000, 2_000)), Change::Cleared);
    assert_eq!(record(&mut suspects, death("b", 2_001, 2_002)), Change::Nothing);
    assert_eq!(suspects.standing(2_002, ASKED), Standing::Clear);
    for other in 0..5_000 {
        suspects.ran(3_000, Fingerprint(100 + other));
    }
    assert!(!suspects.ran(3_000, Fingerprint(100)), "few are remembered");
}

/// Thousands of requests lose their target at once, again and again.
#[test]
fn verify_a_flood_of_single_deaths_frees_nothing_held() {
    let mut suspects = Suspects::default();
    record(&mut suspects, death("a", 1_000, 2_000));
    record(&mut suspects, death("b", 2_000, 3_000));
    for other in 0..5_000 {
        let now = 4_000 + other;
        suspects.record(now, Fingerprint(100 + u128::from(other)), death("z", 1_000, now));
    }
    assert!(matches!(suspects.standing(9_000, ASKED), Standing::Blocked(_)));
    assert!(suspects.evicted() > 3_900, "{}", suspects.evicted());
    assert!(suspects.deaths().count() <= 1_100);
}

/// Entries learn of deaths in different orders, some of them twice.
fn decides_alike(deaths: Vec<(u8, u16, u16)>, turned: usize) -> TestResult {
    if deaths.len() > 8 {
        return TestResult::discard();
    }
    let life = |(index, it): (usize, &(u8, u16, u16))| {
        let sent = Millis::from(it.1);
        let target = format!("t{}", it.0 % 4);
        let born = index as Millis + 1;
        Death { target, born, sent, ended: sent + Millis::from(it.2) }
    };
    let deaths: Vec<Death> = deaths.iter().enumerate().map(life).collect();
    let mut one = Suspects::default();
    let mut other = Suspects::default();
    let now = 200_000;
    for it in &deaths {
        one.record(now, ASKED, it.clone());
    }
    let mut later = deaths.clone();
    later.rotate_left(turned % deaths.len().max(1));
    later.reverse();
    for it in later.iter().chain(&deaths) {
        other.record(now, ASKED, it.clone());
    }
    TestResult::from_bool(one.standing(now, ASKED) == other.standing(now, ASKED))
}

#[test]
fn verify_entries_decide_alike_whatever_the_order() {
    quickcheck(decides_alike as fn(Vec<(u8, u16, u16)>, usize) -> TestResult);
}

fn case(target: &str, sent: Millis, ended: Millis) -> Interrupted {
    Interrupted { request: RequestId(1), fingerprint: ASKED, death: death(target, sent, ended) }
}

/// A link that fails, a group that gives up, an answer that is spoilt.
#[test]
fn verify_a_broken_answer_alone_is_no_death() {
    let mut deaths = Deaths::default();
    assert_eq!(deaths.record_interrupted(2_000, case("a", 1_000, 2_000)), None);
    assert_eq!(deaths.record_refusal(2_100, "b"), []);
    assert_eq!(deaths.record_gone(9_000, "a"), [], "its end later is another matter");
}

#[test]
fn verify_a_target_that_is_gone_as_well_has_ended_under_it() {
    let mut deaths = Deaths::default();
    let first = case("a", 1_000, 2_000);
    deaths.record_interrupted(2_000, first.clone());
    assert_eq!(deaths.record_refusal(2_020, "a"), [first]);
    let late = case("a", 1_500, 2_030);
    assert_eq!(deaths.record_interrupted(2_030, late.clone()), Some(late), "known by then");
    let next = case("a", 2_500, 2_600);
    assert_eq!(deaths.record_interrupted(2_600, next.clone()), None, "sent to a later life");
    assert_eq!(deaths.record_gone(6_000, "a"), [next]);
}

fn flight() -> Flight {
    let request = Request {
        id: RequestId(1),
        deadline: 10_000,
        attempts: 2,
        unsafe_repeat: false,
        keyed: false,
        stream: true,
        resume: true,
    };
    Flight::open(Options::default(), request)
}

fn on(flight: &mut Flight, event: Event) -> Vec<Action> {
    flight.on(1_000, 0, event, &mut || true)
}

/// A copy that waits has not run; of one that was sent nobody knows; one that
/// is being answered goes on.
#[test]
fn verify_copies_of_what_is_held_back_are_given_up() {
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Rules by which the gate of a target accepts and refuses attempts: owners of idempotency keys,
//! recorded answers, draining and the limits of the at-most-once table.

use sablepass_core::gate::{Completion, Decision, Dispatch, Gate, Options, owner_key};
use sablepass_core::id::{AttemptId, Incarnation, RequestId};
use sablepass_core::once::{self, Answer, Key};
use sablepass_core::reason::Refusal;
use sablepass_core::rendezvous;

const RETENTION_MS: u64 = 10_000;
const HANDOVER_MS: u64 = 1_000;

fn gate(started: u64) -> Gate {
    let once = once::Options { retention: RETENTION_MS, ..once::Options::default() };
    let options = Options { handover_margin: HANDOVER_MS, once, ..Options::default() };
    Gate::new(options, Incarnation(1), "a", started)
}

/// Ticks the gate from `from` to `to`, often enough that it detects no suspension.
fn tick_until(gate: &mut Gate, from: u64, to: u64) {
    (from..=to).step_by(100).for_each(|now| gate.tick(now));
}

/// Returns a key that, among the targets `a` and `b`, `a` owns if `owned`, else `b`.
fn key(owned: bool) -> Key {
    let make = |it: u32| Key { customer: "c".to_owned(), text: it.to_string() };
    let owner = |it: &Key| rendezvous::owner(&owner_key(it), ["a", "b"].into_iter());
    (0..).map(make).find(|it| (owner(it) == Some("a")) == owned).expect("a key of the wanted owner")
}

fn dispatch(request: u128, key: &Key, issued: Option<u64>) -> Dispatch {
    Dispatch {
        attempt: AttemptId { request: RequestId(request), number: 1 },
        incarnation: Incarnation(1),
        deadline: u64::MAX,
        unsafe_repeat: true,
        key: Some(key.clone()),
        issued,
        body_hash: 1,
    }
}

fn names(targets: &[&str]) -> Vec<String> {
    targets.iter().map(|it| (*it).to_owned()).collect()
}

/// A new owner refuses keys that were created before the handover margin has passed: the former
/// owner may have run them without knowing of the change yet.
#[test]
fn verify_new_owner_refuses_keys_within_the_margin() {
    let mut gate = gate(0);
    let key = key(false);
    gate.declare(0, names(&["a", "b"]));
    let refuse = |it| Decision::Refuse(it);
    tick_until(&mut gate, 0, 20_000);
    assert_eq!(gate.dispatch(20_000, &dispatch(1, &key, None)), refuse(Refusal::NotOwner));
    // This agent owns the key from 20,000 on. The former owner may learn of that later.
    gate.declare(20_000, names(&["a"]));
    let early = dispatch(2, &key, Some(20_000 + HANDOVER_MS - 1));
    assert_eq!(gate.dispatch(21_000, &early), refuse(Refusal::KeyUncertain));
    let late = dispatch(3, &key, Some(20_000 + HANDOVER_MS));
    assert_eq!(gate.dispatch(21_000, &late), Decision::Run);
}

/// A later change of owners must not shorten the handover margin of an earlier one, even if the
/// earlier set of owners is old enough to be dropped but for the margin.
#[test]
fn verify_later_change_keeps_an_earlier_margin() {
    let mut gate = gate(0);
    let key = key(false);
    gate.declare(0, names(&["a", "b"]));
    tick_until(&mut gate, 0, 20_000);
    gate.declare(20_000, names(&["a"]));
    tick_until(&mut gate, 20_000, 20_000 + RETENTION_MS);
    // The later change comes when the first one is just older than the retention of keys.
    let now = 20_000 + RETENTION_MS + 1;
    // Choose a new sibling that doesn't become the owner of this key.
    let keeps_owner =
        |it: &String| rendezvous::owner(&owner_key(&key), ["a", it].into_iter()) == Some("a");
    let sibling = (0..).map(|it| format!("x{it}")).find(keeps_owner).expect("a sibling");
    gate.declare(now, names(&["a", &sibling]));
    let issued = 20_000 + HANDOVER_MS - 1;
    let attempt = dispatch(1, &key, Some(issued));
    assert_eq!(gate.dispatch(now, &attempt), Decision::Refuse(Refusal::KeyUncertain));
}

/// A creation time beyond the margin for clock skew is refused: otherwise the key would still be
/// accepted after the retention of its record has ended, and run again.
#[test]
fn verify_key_from_the_future_is_refused() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    tick_until(&mut gate, 0, 20_000);
    let attempt = dispatch(1, &key(true), Some(20_000 + HANDOVER_MS + 1));
    assert_eq!(gate.dispatch(20_000, &attempt), Decision::Refuse(Refusal::KeyExpired));
}

#[test]
fn verify_key_in_flight_replayed_and_reused() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    tick_until(&mut gate, 0, 20_000);
    let key = key(true);
    let first = dispatch(1, &key, None);
    assert_eq!(gate.dispatch(20_000, &first), Decision::Run);
    let second = dispatch(2, &key, None);
    assert_eq!(gate.dispatch(20_001, &second), Decision::Refuse(Refusal::KeyInFlight));
    let answer = Answer { status: 200, content_type: "t".to_owned(), body: b"x".to_vec() };
    gate.finish(20_002, first.attempt, Some(&key), Completion::Complete(answer.clone()));
    assert_eq!(gate.dispatch(20_003, &second), Decision::Replay(answer));
    let other = Dispatch { body_hash: 2, ..dispatch(3, &key, None) };
    assert_eq!(gate.dispatch(20_004, &other), Decision::Refuse(Refusal::KeyReused));
}

/// A target that has asked for a pause gets no new work, but a request with a known key still gets
/// the key's state or recorded answer. A refused request leaves no record behind.
#[test]
fn verify_known_keys_are_answered_during_a_pause() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    tick_until(&mut gate, 0, 20_000);
    let key = key(true);
    let paused = || Err(Refusal::TargetRests);
    let first = dispatch(1, &key, None);
    assert_eq!(gate.dispatch_if(20_000, &first, paused), Decision::Refuse(Refusal::TargetRests));
    assert_eq!(gate.running(), 0);
    assert_eq!(gate.dispatch(20_001, &first), Decision::Run, "a refusal leaves no record");
    let second = dispatch(2, &key, None);
    let in_flight = Decision::Refuse(Refusal::KeyInFlight);
    assert_eq!(gate.dispatch_if(20_002, &second, paused), in_flight);
    let answer = Answer { status: 200, content_type: "t".to_owned(), body: b"x".to_vec() };
    gate.finish(20_003, first.attempt, Some(&key), Completion::Complete(answer.clone()));
    assert_eq!(gate.dispatch_if(20_004, &second, paused), Decision::Replay(answer));
}

#[test]
fn verify_draining_is_permanent() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    gate.leave();
    gate.declare(1, names(&["a"]));
    let attempt = Dispatch { unsafe_repeat: false, ..dispatch(1, &key(true), None) };
    assert_eq!(gate.dispatch(20_000, &attempt), Decision::Refuse(Refusal::Leaving));
}

#[test]
fn verify_full_table_refuses_new_attempts() {
    let once = once::Options { max_attempts: 1, ..once::Options::default() };
    let mut gate = Gate::new(Options { once, ..Options::default() }, Incarnation(1), "a", 0);
    let safe = |it| Dispatch { unsafe_repeat: false, ..dispatch(it, &key(true), None) };
    assert_eq!(gate.dispatch(1, &safe(1)), Decision::Run);
    assert_eq!(gate.dispatch(2, &safe(2)), Decision::Refuse(Refusal::OnceTableFull));
}

#[test]
fn verify_recorded_answers_are_bounded() {
    let once = once::Options {
        retention: RETENTION_MS,
        max_total_answer_bytes: 150,
        ..once::Options::default()
    };
    let mut table = once::Table::new(once);
    let key = |it: u32| Key { customer: "c".to_owned(), text: it.to_string() };
    let answer = || Answer { status: 200, content_type: String::new(), body: vec![0; 100] };
    for it in 0..2 {
        assert_eq!(table.start_key(&key(it), 1), once::KeyVerdict::Run);
        table.finish_key(0, &key(it), Some(answer()));
    }
    assert_eq!(table.start_key(&key(0), 1), once::KeyVerdict::Replay(answer()));
    // The second answer exceeded the limit and was not recorded. Its key still doesn't run again.
    let lost = once::KeyVerdict::Refuse(Refusal::KeyAnswerLost);
    assert_eq!(table.start_key(&key(1), 1), lost);
    // The first answer is removed once its retention has ended.
    let later = AttemptId { request: RequestId(9), number: 1 };
    table.start(RETENTION_MS + 1, later).expect("the attempt is not recorded yet");
    assert_eq!(table.start_key(&key(2), 1), once::KeyVerdict::Run);
    table.finish_key(RETENTION_MS + 1, &key(2), Some(answer()));
    assert_eq!(table.start_key(&key(2), 1), once::KeyVerdict::Replay(answer()));
}

/// An agent that resumes after a suspension may handle a dispatch before it learns which targets
/// were declared meanwhile, so it refuses keys created before its resumption plus the margin.
#[test]
fn verify_resumed_agent_refuses_old_keys() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    let key = key(true);
    tick_until(&mut gate, 0, 20_000);
    // The process is suspended at 20,000 and resumes at 40,000. A dispatch that waited in its
    // socket is handled before any declaration made meanwhile.
    let resumed = 40_000;
    let old = dispatch(1, &key, Some(resumed - 100));
    assert_eq!(gate.dispatch(resumed, &old), Decision::Refuse(Refusal::KeyUncertain));
    let undated = dispatch(2, &key, None);
    assert_eq!(gate.dispatch(resumed, &undated), Decision::Refuse(Refusal::KeyUncertain));
    let fresh = dispatch(3, &key, Some(resumed + HANDOVER_MS));
    assert_eq!(gate.dispatch(resumed + HANDOVER_MS, &fresh), Decision::Run);
}

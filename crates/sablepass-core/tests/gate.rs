// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Single promises of the gate.

use sablepass_core::gate::{Decision, Dispatch, End, Gate, Options, owner_key};
use sablepass_core::id::{AttemptId, Incarnation, RequestId};
use sablepass_core::once::{self, Answer, Key};
use sablepass_core::reason::Refusal;
use sablepass_core::rendezvous;

const KEEP: u64 = 10_000;
const HANDOVER: u64 = 1_000;

fn gate(started: u64) -> Gate {
    let once = once::Options { keep: KEEP, ..once::Options::default() };
    let options = Options { handover: HANDOVER, once, ..Options::default() };
    Gate::open(options, Incarnation(1), "a", started)
}

/// Lets time pass without a pause.
fn pass(gate: &mut Gate, from: u64, to: u64) {
    (from..=to).step_by(100).for_each(|it| gate.tick(it));
}

/// A key that `a` owns among `a` and `b`, or does not.
fn key(owned: bool) -> Key {
    let make = |it: u32| Key { customer: "c".to_owned(), text: it.to_string() };
    let owner = |it: &Key| rendezvous::owner(&owner_key(it), ["a", "b"].into_iter());
    (0..).map(make).find(|it| (owner(it) == Some("a")) == owned).expect("one of them")
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

fn names(it: &[&str]) -> Vec<String> {
    it.iter().map(|it| (*it).to_owned()).collect()
}

#[test]
fn verify_new_owner_waits() {
    let mut gate = gate(0);
    let key = key(false);
    gate.declare(0, names(&["a", "b"]));
    let refuse = |it| Decision::Refuse(it);
    pass(&mut gate, 0, 20_000);
    assert_eq!(gate.dispatch(20_000, &dispatch(1, &key, None)), refuse(Refusal::NotOwner));
    // From 20,000 on this agent owns the key; its former owner may lag.
    gate.declare(20_000, names(&["a"]));
    let early = dispatch(2, &key, Some(20_000 + HANDOVER - 1));
    assert_eq!(gate.dispatch(21_000, &early), refuse(Refusal::KeyUncertain));
    let late = dispatch(3, &key, Some(20_000 + HANDOVER));
    assert_eq!(gate.dispatch(21_000, &late), Decision::Run);
}

#[test]
fn verify_old_changes_keep_their_margin() {
    let mut gate = gate(0);
    let key = key(false);
    gate.declare(0, names(&["a", "b"]));
    pass(&mut gate, 0, 20_000);
    gate.declare(20_000, names(&["a"]));
    pass(&mut gate, 20_000, 20_000 + KEEP);
    // A later change comes when the first one is just older than keys may be.
    let now = 20_000 + KEEP + 1;
    // The new sibling does not take this key over.
    let loses =
        |it: &String| rendezvous::owner(&owner_key(&key), ["a", it].into_iter()) == Some("a");
    let sibling = (0..).map(|it| format!("x{it}")).find(loses).expect("one of them");
    gate.declare(now, names(&["a", &sibling]));
    let made = 20_000 + HANDOVER - 1;
    let it = dispatch(1, &key, Some(made));
    assert_eq!(gate.dispatch(now, &it), Decision::Refuse(Refusal::KeyUncertain));
}

#[test]
fn verify_key_from_the_future() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    pass(&mut gate, 0, 20_000);
    let it = dispatch(1, &key(true), Some(20_000 + HANDOVER + 1));
    assert_eq!(gate.dispatch(20_000, &it), Decision::Refuse(Refusal::KeyExpired));
}

#[test]
fn verify_replay_and_reuse() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    pass(&mut gate, 0, 20_000);
    let key = key(true);
    let first = dispatch(1, &key, None);
    assert_eq!(gate.dispatch(20_000, &first), Decision::Run);
    let second = dispatch(2, &key, None);
    assert_eq!(gate.dispatch(20_001, &second), Decision::Refuse(Refusal::KeyInFlight));
    let answer = Answer { status: 200, content_type: "t".to_owned(), body: b"x".to_vec() };
    gate.finish(20_002, first.attempt, Some(&key), End::Whole(answer.clone()));
    assert_eq!(gate.dispatch(20_003, &second), Decision::Replay(answer));
    let other = Dispatch { body_hash: 2, ..dispatch(3, &key, None) };
    assert_eq!(gate.dispatch(20_004, &other), Decision::Refuse(Refusal::KeyReused));
}

/// A target that wants nothing now takes no new work; of what ran before the caller is told
/// all the same.
#[test]
fn verify_what_ran_is_told_while_the_target_wants_nothing() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    pass(&mut gate, 0, 20_000);
    let key = key(true);
    let rests = || Err(Refusal::TargetRests);
    let first = dispatch(1, &key, None);
    assert_eq!(gate.dispatch_if(20_000, &first, rests), Decision::Refuse(Refusal::TargetRests));
    assert_eq!(gate.running(), 0);
    assert_eq!(gate.dispatch(20_001, &first), Decision::Run, "it had not run, nor its key");
    let second = dispatch(2, &key, None);
    let in_flight = Decision::Refuse(Refusal::KeyInFlight);
    assert_eq!(gate.dispatch_if(20_002, &second, rests), in_flight);
    let answer = Answer { status: 200, content_type: "t".to_owned(), body: b"x".to_vec() };
    gate.finish(20_003, first.attempt, Some(&key), End::Whole(answer.clone()));
    assert_eq!(gate.dispatch_if(20_004, &second, rests), Decision::Replay(answer));
}

#[test]
fn verify_leaving_is_sticky() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    gate.leave();
    gate.declare(1, names(&["a"]));
    let it = Dispatch { unsafe_repeat: false, ..dispatch(1, &key(true), None) };
    assert_eq!(gate.dispatch(20_000, &it), Decision::Refuse(Refusal::Leaving));
}

#[test]
fn verify_full_table_refuses() {
    let once = once::Options { attempts: 1, ..once::Options::default() };
    let mut gate = Gate::open(Options { once, ..Options::default() }, Incarnation(1), "a", 0);
    let plain = |it| Dispatch { unsafe_repeat: false, ..dispatch(it, &key(true), None) };
    assert_eq!(gate.dispatch(1, &plain(1)), Decision::Run);
    assert_eq!(gate.dispatch(2, &plain(2)), Decision::Refuse(Refusal::OnceTableFull));
}

#[test]
fn verify_kept_answers_are_bounded() {
    let once = once::Options { keep: KEEP, answers: 150, ..once::Options::default() };
    let mut table = once::Table::open(once);
    let key = |it: u32| Key { customer: "c".to_owned(), text: it.to_string() };
    let answer = || Answer { status: 200, content_type: String::new(), body: vec![0; 100] };
    for it in 0..2 {
        assert_eq!(table.start_key(&key(it), 1), once::KeyVerdict::Run);
        table.finish_key(0, &key(it), Some(answer()));
    }
    assert_eq!(table.start_key(&key(0), 1), once::KeyVerdict::Replay(answer()));
    // There was no room for the second answer; its key does not run again all the same.
    let lost = once::KeyVerdict::Refuse(Refusal::KeyAnswerLost);
    assert_eq!(table.start_key(&key(1), 1), lost);
    // Room comes back when the first is forgotten.
    let later = AttemptId { request: RequestId(9), number: 1 };
    table.start(KEEP + 1, later).expect("new");
    assert_eq!(table.start_key(&key(2), 1), once::KeyVerdict::Run);
    table.finish_key(KEEP + 1, &key(2), Some(answer()));
    assert_eq!(table.start_key(&key(2), 1), once::KeyVerdict::Replay(answer()));
}

#[test]
fn verify_woken_agent_takes_no_old_keys() {
    let mut gate = gate(0);
    gate.declare(0, names(&["a", "b"]));
    let key = key(true);
    pass(&mut gate, 0, 20_000);
    // It is paused from 20,000 on and wakes at 40,000; the dispatch in its socket comes
    // before any news of what was declared meanwhile.
    let woken = 40_000;
    let old = dispatch(1, &key, Some(woken - 100));
    assert_eq!(gate.dispatch(woken, &old), Decision::Refuse(Refusal::KeyUncertain));
    let timeless = dispatch(2, &key, None);
    assert_eq!(gate.dispatch(woken, &timeless), Decision::Refuse(Refusal::KeyUncertain));
    let fresh = dispatch(3, &key, Some(woken + HANDOVER));
    assert_eq!(gate.dispatch(woken + HANDOVER, &fresh), Decision::Run);
}

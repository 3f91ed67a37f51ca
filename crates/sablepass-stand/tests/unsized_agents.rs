// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Answers with neither a length nor chunks that reach the entry through an agent.

mod common;

use std::thread::{self, JoinHandle};
use std::time::Duration;

use sablepass_stand::client::{Answer, Ask, wait_for};
use sablepass_stand::fleet::{Fleet, Timers};
use sablepass_stand::replica::{Mode, Replica};

const BODY: &str = "an order line, confirmed";
/// Time for which an agent is suspended.
const SUSPENSION: Duration = Duration::from_millis(500);
const DOCUMENT: &str = "[[target]]\nname = \"s1\"\nkind = \"service\"\nserves = \"claims\"\nhall = \"ba-1\"\ncapacity = 4\n[[customer]]\nname = \"farm\"\nkey = \"tatranska:key-build-farm\"\nshare = 10\n";

/// Starts a service with an agent and an entry. Its answers stop in the middle.
fn fleet() -> (Fleet, Replica) {
    let target = Replica::spawn("claims");
    target.serve_agent();
    target.set(Mode::UnsizedHold(1));
    let mut fleet = Fleet::open(Timers::default());
    let revision = fleet.publish("tatranska/main.toml", DOCUMENT);
    fleet.add_service_at("tatranska/s1", "ba-1", &target.addr.to_string());
    fleet.add_entry("entry-1", "ba-1", "");
    fleet.settle(1, revision);
    (fleet, target)
}

/// Sends an unsafe request and waits until its answer has stopped in the middle.
fn hold_answer(fleet: &Fleet, target: &Replica) -> JoinHandle<Answer> {
    let addr = fleet.http(0);
    let ask = Ask::post(common::FARM, "/services/claims/x", BODY).only_once("");
    let caller = thread::spawn(move || ask.send(&addr));
    wait_for("the target runs the request", || !target.runs().is_empty());
    thread::sleep(Duration::from_millis(50));
    caller
}

/// Guards against agents that pass on an answer as complete whose target ended and was started
/// again at its address.
#[test]
fn verify_an_agent_breaks_off_an_answer_whose_target_was_restarted() {
    for suspended in [false, true] {
        let (fleet, target) = fleet();
        let caller = hold_answer(&fleet, &target);
        if suspended {
            fleet.targets[0].agent.pause();
        }
        target.crash();
        let _successor = target.successor();
        thread::sleep(SUSPENSION);
        fleet.targets[0].agent.resume();
        let answer = caller.join().expect("the caller ends");
        assert_eq!(
            answer.status, 502,
            "suspended: {suspended}: the answer looks complete: {answer:?}"
        );
    }
}

/// Guards against agents that break off whole answers: at once, after several seconds, and if the
/// agent was suspended as they ended.
#[test]
fn verify_an_agent_passes_on_whole_answers() {
    for (pause, suspended) in [(0, false), (2_500, false), (0, true)] {
        let (fleet, target) = fleet();
        target.set_part_pause(Duration::from_millis(pause));
        let caller = hold_answer(&fleet, &target);
        if suspended {
            fleet.targets[0].agent.pause();
        }
        target.set(Mode::Unsized);
        thread::sleep(SUSPENSION);
        fleet.targets[0].agent.resume();
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, answer.body.as_str()), (200, BODY), "{pause} {suspended}");
    }
}

/// Guards against agents that pass on an answer as complete whose target ended and was started
/// again before the agent read the answer's head.
#[test]
fn verify_an_agent_breaks_off_an_answer_whose_target_was_restarted_before_its_head_was_read() {
    let (fleet, target) = fleet();
    target.set(Mode::Asleep);
    let addr = fleet.http(0);
    let ask = Ask::post(common::FARM, "/services/claims/x", BODY).only_once("");
    let caller = thread::spawn(move || ask.send(&addr));
    wait_for("the agent connects to its target", || target.connections() > 0);
    thread::sleep(Duration::from_millis(50));
    fleet.targets[0].agent.pause();
    target.set(Mode::UnsizedHold(1));
    wait_for("the target runs the request", || !target.runs().is_empty());
    thread::sleep(Duration::from_millis(50));
    target.crash();
    let _successor = target.successor();
    thread::sleep(SUSPENSION);
    fleet.targets[0].agent.resume();
    let answer = caller.join().expect("the caller ends");
    assert_eq!(answer.status, 502, "the answer looks complete: {answer:?}");
}

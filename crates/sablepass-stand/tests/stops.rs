// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Draining targets, planned stops and graceful shutdown: no new requests arrive, and running ones
//! are completed.

mod common;

use std::thread;

use common::{FARM, Outcome, TATRANSKA, check_outcomes, expected, fleet};
use sablepass_edge::clock;
use sablepass_stand::client::{Answer, Ask, control, metric, wait_for};
use sablepass_stand::fleet::{Fleet, Target};

fn is_drained(target: &Target) -> bool {
    let status = control(&target.agent.addr("admin"), "GET", "/status", "");
    status["drained"].as_bool() == Some(true)
}

/// Sends requests to the first entry from this many concurrent callers until `done` returns true,
/// and returns what was expected and answered.
fn load(fleet: &Fleet, callers: u64, mut done: impl FnMut() -> bool) -> Vec<Outcome> {
    let addr = fleet.http(0);
    let stop = std::sync::atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        let handles: Vec<_> = (0..callers)
            .map(|caller| {
                let (addr, stop) = (addr.clone(), &stop);
                scope.spawn(move || {
                    let mut outcomes = Vec::new();
                    let mut round = 0;
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                        let marker = format!("load{caller}r{round}x");
                        round += 1;
                        let once = caller % 2 == 0;
                        let ask = Ask::chat(FARM, "triage", &marker, 20, caller % 3 == 0);
                        let ask = if once { ask.only_once("") } else { ask };
                        let answer = ask.send(&addr);
                        let expected = expected(&marker, 20);
                        outcomes.push(Outcome { marker, once, expected, answer });
                    }
                    outcomes
                })
            })
            .collect();
        wait_for("the condition that ends the load", &mut done);
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        handles.into_iter().flat_map(|it| it.join().expect("the caller thread panicked")).collect()
    })
}

fn check_all_complete(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert_eq!(outcome.answer.status, 200, "{outcome:?}");
        assert_eq!(outcome.answer.text(), outcome.expected, "{outcome:?}");
    }
}

#[test]
fn verify_planned_stop_interrupts_no_request() {
    let fleet = fleet(false);
    let at = clock::now() + 1_000;
    let stop = format!("{TATRANSKA}\n[[stop]]\ntarget = \"t1\"\nat = {at}\n");
    fleet.publish("tatranska/main.toml", &stop);
    let target = &fleet.targets[0];
    let outcomes = load(&fleet, 8, || is_drained(target));
    let runs_at_drain = target.runs().len();
    assert!(clock::now() >= at, "the target was drained before its planned stop");
    assert!(runs_at_drain > 0, "the target must have run requests before its stop");
    check_all_complete(&outcomes);
    check_outcomes(&fleet, &outcomes);
    // The drained target gets no more requests.
    for it in 0..20 {
        let answer =
            Ask::chat(FARM, "triage", &format!("after{it}x"), 2, false).send(&fleet.http(0));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(target.runs().len(), runs_at_drain);
}

#[test]
fn verify_terminated_agent_completes_its_requests() {
    let mut fleet = fleet(false);
    let slow = {
        let addr = fleet.http(0);
        thread::spawn(move || Ask::chat(FARM, "triage", "slowone", 200, true).send(&addr))
    };
    let busy = common::busy_target(&fleet);
    fleet.targets[busy].agent.stop();
    let answer = slow.join().expect("the caller thread panicked");
    assert_eq!(answer.text(), expected("slowone", 200));
    assert!(answer.done());
    assert!(fleet.targets[busy].agent.wait(), "the process must exit with status 0");
}

#[test]
fn verify_terminated_entry_completes_its_requests() {
    let mut fleet = fleet(false);
    let addr = fleet.http(0);
    let slow = thread::spawn(move || Ask::chat(FARM, "triage", "slowtwo", 200, true).send(&addr));
    common::busy_target(&fleet);
    fleet.entries[0].1.stop();
    let admin = fleet.admin(0);
    wait_for("the entry reports that it is not ready", || {
        let ask = Ask {
            method: "GET".into(),
            path: "/readyz".into(),
            headers: Vec::new(),
            body: String::new(),
        };
        ask.send(&admin).status == 503
    });
    let refused = Ask::chat(FARM, "triage", "toolate", 2, false).send(&fleet.http(0));
    assert_eq!((refused.reason().as_str(), refused.ran.as_str()), ("stopping", "not-run"));
    let answer = slow.join().expect("the caller thread panicked");
    assert_eq!(answer.text(), expected("slowtwo", 200));
    assert!(fleet.entries[0].1.wait(), "the process must exit with status 0");
}

#[test]
fn verify_target_listed_as_leaving_stays_drained() {
    let fleet = fleet(false);
    let target = &fleet.targets[0];
    fleet.list("tatranska/t1", "agent", "ba-1", &target.agent.addr("peers"), true);
    wait_for("the target is drained", || is_drained(target));
    // The list later says that the target is not leaving. Leaving is final for this incarnation.
    fleet.list("tatranska/t1", "agent", "ba-1", &target.agent.addr("peers"), false);
    for it in 0..20 {
        let answer =
            Ask::chat(FARM, "triage", &format!("left{it}x"), 2, false).send(&fleet.http(0));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(target.runs().len(), 0);
}

#[test]
fn verify_drained_target_refuses_requests_of_a_resumed_entry() {
    let mut fleet = fleet(false);
    fleet.add_entry("entry-2", "ba-1", "");
    fleet.settle(3, 0);
    fleet.entries[1].1.pause();
    let at = clock::now();
    let stop = format!("{TATRANSKA}\n[[stop]]\ntarget = \"t1\"\nat = {at}\n");
    let revision = fleet.publish("tatranska/main.toml", &stop);
    wait_for("the target is drained", || is_drained(&fleet.targets[0]));
    let runs = fleet.targets[0].runs().len();
    fleet.entries[1].1.resume();
    // The resumed entry still considers the target usable. Requests that it sends there are refused
    // by the agent and retried at the other target.
    for it in 0..20 {
        let marker = format!("woken{it}x");
        let answer = Ask::chat(FARM, "triage", &marker, 2, false).send(&fleet.http(1));
        assert_eq!(answer.text(), expected(&marker, 2), "{answer:?}");
    }
    assert_eq!(fleet.targets[0].runs().len(), runs);
    wait_for("the entry has the new revision", || {
        fleet.entry_metric(1, "sablepass_config_revision", "") >= revision as f64
    });
}

#[test]
fn verify_refusal_of_a_leaving_agent_is_counted() {
    let fleet = fleet(false);
    fleet.targets[2].agent.stop();
    let admin = fleet.admin(0);
    let mut last = Answer::default();
    wait_for("the request is refused", || {
        last = Ask::post(FARM, "/services/claims/x", "y").send(&fleet.http(0));
        last.status == 503
    });
    assert_eq!(last.ran, "not-run", "{last:?}");
    let refusals = metric(&admin, "sablepass_refusals_total", "no-target")
        + metric(&admin, "sablepass_refusals_total", "leaving");
    assert!(refusals >= 1.0);
}

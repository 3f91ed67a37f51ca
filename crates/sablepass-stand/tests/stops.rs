// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Leaving targets and planned stops: no new work, nothing cut.

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

/// Load on two entries' worth of callers until `done`; what each was told.
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
        wait_for("the end of the load", &mut done);
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        handles.into_iter().flat_map(|it| it.join().expect("a caller ends")).collect()
    })
}

fn all_whole(outcomes: &[Outcome]) {
    for it in outcomes {
        assert_eq!(it.answer.status, 200, "{it:?}");
        assert_eq!(it.answer.text(), it.expected, "{it:?}");
    }
}

#[test]
fn verify_planned_stop_cuts_nothing() {
    let fleet = fleet(false);
    let at = clock::now() + 1_000;
    let stop = format!("{TATRANSKA}\n[[stop]]\ntarget = \"t1\"\nat = {at}\n");
    fleet.publish("tatranska/main.toml", &stop);
    let target = &fleet.targets[0];
    let outcomes = load(&fleet, 8, || is_drained(target));
    let runs_at_drain = target.runs().len();
    assert!(clock::now() >= at, "it stopped before its time");
    assert!(runs_at_drain > 0, "the target had no load to lose");
    all_whole(&outcomes);
    check_outcomes(&fleet, &outcomes);
    // It gets nothing more.
    for it in 0..20 {
        let answer =
            Ask::chat(FARM, "triage", &format!("after{it}x"), 2, false).send(&fleet.http(0));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(target.runs().len(), runs_at_drain);
}

#[test]
fn verify_terminated_agent_drains() {
    let mut fleet = fleet(false);
    let slow = {
        let addr = fleet.http(0);
        thread::spawn(move || Ask::chat(FARM, "triage", "slowone", 200, true).send(&addr))
    };
    let hit = common::busy_target(&fleet);
    fleet.targets[hit].agent.stop();
    let answer = slow.join().expect("the caller ends");
    assert_eq!(answer.text(), expected("slowone", 200));
    assert!(answer.done());
    assert!(fleet.targets[hit].agent.wait(), "it ends with 0");
}

#[test]
fn verify_terminated_entry_drains() {
    let mut fleet = fleet(false);
    let addr = fleet.http(0);
    let slow = thread::spawn(move || Ask::chat(FARM, "triage", "slowtwo", 200, true).send(&addr));
    common::busy_target(&fleet);
    fleet.entries[0].1.stop();
    let admin = fleet.admin(0);
    wait_for("it is not ready", || {
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
    let answer = slow.join().expect("the caller ends");
    assert_eq!(answer.text(), expected("slowtwo", 200));
    assert!(fleet.entries[0].1.wait(), "it ends with 0");
}

#[test]
fn verify_listed_as_leaving() {
    let fleet = fleet(false);
    let target = &fleet.targets[0];
    fleet.list("tatranska/t1", "agent", "ba-1", &target.agent.addr("peers"), true);
    wait_for("it drains", || is_drained(target));
    // The list says otherwise later: leaving is for good in this incarnation.
    fleet.list("tatranska/t1", "agent", "ba-1", &target.agent.addr("peers"), false);
    for it in 0..20 {
        let answer =
            Ask::chat(FARM, "triage", &format!("left{it}x"), 2, false).send(&fleet.http(0));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(target.runs().len(), 0);
}

#[test]
fn verify_paused_entry_wakes_late() {
    let mut fleet = fleet(false);
    fleet.add_entry("entry-2", "ba-1", "");
    fleet.settle(3, 0);
    fleet.entries[1].1.pause();
    let at = clock::now();
    let stop = format!("{TATRANSKA}\n[[stop]]\ntarget = \"t1\"\nat = {at}\n");
    let revision = fleet.publish("tatranska/main.toml", &stop);
    wait_for("it drains", || is_drained(&fleet.targets[0]));
    let runs = fleet.targets[0].runs().len();
    fleet.entries[1].1.wake();
    // It still believes that the target is open; whatever it sends there is refused and moves on.
    for it in 0..20 {
        let marker = format!("woken{it}x");
        let answer = Ask::chat(FARM, "triage", &marker, 2, false).send(&fleet.http(1));
        assert_eq!(answer.text(), expected(&marker, 2), "{answer:?}");
    }
    assert_eq!(fleet.targets[0].runs().len(), runs);
    wait_for("it learns", || {
        fleet.entry_metric(1, "sablepass_config_revision", "") >= revision as f64
    });
}

#[test]
fn verify_refusal_counted_at_agent() {
    let fleet = fleet(false);
    fleet.targets[2].agent.stop();
    let admin = fleet.admin(0);
    let mut last = Answer::default();
    wait_for("it is refused", || {
        last = Ask::post(FARM, "/services/claims/x", "y").send(&fleet.http(0));
        last.status == 503
    });
    assert_eq!(last.ran, "not-run", "{last:?}");
    let seen = metric(&admin, "sablepass_refusals_total", "no-target")
        + metric(&admin, "sablepass_refusals_total", "leaving");
    assert!(seen >= 1.0);
}

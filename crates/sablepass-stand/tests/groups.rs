// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Switches between expert maps in a group under failures, with real agents. The engines record
//! the map of every rank in every step; the tests check that no step ran with two maps.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};

use common::FARM;
use sablepass_stand::client::{Ask, control, wait_for};
use sablepass_stand::fleet::{Fleet, Timers};
use sablepass_stand::process::Process;
use serde_json::Value;

/// Targets that make up the group.
const MEMBERS: usize = 4;

/// Configuration of the group; `group_settings` are further lines of its table.
fn configuration(group_settings: &str) -> String {
    let mut text = String::new();
    for member in 0..MEMBERS {
        text += &format!(
            "[[target]]\nname = \"g{member}\"\nserves = \"triage\"\nhall = \"ba-1\"\ncapacity = 64\nchecks_fence = true\n"
        );
    }
    text += "[[customer]]\nname = \"farm\"\nkey = \"tatranska:key-build-farm\"\nshare = 10\npriority = \"urgent\"\n";
    text += &format!(
        "[[group]]\nname = \"triage\"\nmembers = [\"g0\", \"g1\", \"g2\", \"g3\"]\nranks = 32\nexperts = 64\nlayers = 4\nslots = 3\nmove_weight = 0.05\n{group_settings}"
    );
    text
}

/// A running group with its entry.
struct Test {
    fleet: Fleet,
    group: Process,
}

impl Test {
    /// Starts the group with command-line arguments and further lines of its configuration.
    fn open(args: &[&str], group_settings: &str) -> Self {
        let mut fleet = Fleet::open(Timers::default());
        let revision = fleet.publish("tatranska/main.toml", &configuration(group_settings));
        let group = fleet.add_group("tatranska/g", "ba-1", MEMBERS, args);
        fleet.add_entry("entry-1", "ba-1", "");
        fleet.settle(MEMBERS, revision);
        Self { fleet, group }
    }

    fn set_mode(&self, text: &str) {
        control(&self.group.addr("http"), "POST", "/control/mode", text);
    }

    /// Stretches of steps that the engines ran with the same maps.
    fn step_record(&self) -> Value {
        control(&self.group.addr("http"), "GET", "/control/steps", "")
    }

    /// State of a member: its current map and step, an armed switch and the lowest accepted fence.
    fn register(&self, member: usize) -> Value {
        control(&self.group.addr("http"), "GET", &format!("/member/{member}/state"), "")
    }

    /// Version of the map in force at a member.
    fn version(&self, member: usize) -> u64 {
        self.register(member)["current"]["version"].as_u64().unwrap_or(0)
    }

    fn last_step(&self) -> u64 {
        self.register(0)["step"].as_u64().unwrap_or(0)
    }

    fn wait_for_version(&self, version: u64) {
        wait_for("all members have switched", || {
            (0..MEMBERS).all(|it| self.version(it) >= version)
        });
    }

    /// Waits until a member has armed a switch and returns its index.
    fn wait_for_armed(&self) -> usize {
        let mut armed = None;
        wait_for("a member arms a switch", || {
            armed = (0..MEMBERS).find(|it| !self.register(*it)["armed"].is_null());
            armed.is_some()
        });
        armed.unwrap_or_default()
    }

    /// Asserts that no step ran with two maps and returns the number of recorded stretches.
    fn check_steps(&self) -> usize {
        let record = self.step_record();
        let stretches = record["steps"].as_array().cloned().unwrap_or_default();
        assert!(!stretches.is_empty());
        for stretch in &stretches {
            let maps = stretch["maps"].as_array().cloned().unwrap_or_default();
            assert_eq!(maps.len(), 32, "the record must have a map of every rank");
            assert!(maps.iter().all(|map| *map == maps[0]), "steps ran with two maps: {stretch}");
        }
        stretches.len()
    }

    /// What the agent of the first member reports on the group.
    fn explain(&self) -> Value {
        let admin = self.fleet.targets[0].agent.addr("admin");
        control(&admin, "GET", "/explain/group?tatranska/triage", "")
    }

    /// Waits until the group has run further steps.
    fn wait_for_steps(&self) {
        let before = self.last_step();
        wait_for("the group runs further steps", || self.last_step() > before + 20);
    }
}

#[test]
fn verify_switch_under_load() {
    let test = Test::open(&[], "");
    let stop = AtomicBool::new(false);
    let (sent, complete) = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..6)
            .map(|caller| {
                let (stop, addr) = (&stop, test.fleet.http(0));
                scope.spawn(move || {
                    let (mut sent, mut complete) = (0, 0);
                    while !stop.load(Ordering::Relaxed) {
                        let marker = format!("g{caller}r{sent}x");
                        let answer = Ask::chat(FARM, "triage", &marker, 15, true).send(&addr);
                        sent += 1;
                        complete += usize::from(
                            answer.text() == common::expected(&marker, 15) && answer.done(),
                        );
                    }
                    (sent, complete)
                })
            })
            .collect();
        test.wait_for_version(1);
        test.set_mode("wave 7");
        test.wait_for_version(2);
        stop.store(true, Ordering::Relaxed);
        let counts = handles.into_iter().map(|it| it.join().expect("the caller thread panicked"));
        counts.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    });
    assert!(test.check_steps() >= 3, "the record shows no switch");
    assert!(sent > 0 && complete == sent, "{complete} of {sent} answers are complete");
    // The engines have switched; the agent sees this when it next reads their state.
    wait_for("the agent reports the new version", || test.explain()["version"].as_u64() >= Some(2));
    let explanation = test.explain();
    assert!(
        explanation["last_decision"].as_str().is_some_and(|it| it.contains(':')),
        "{explanation}"
    );
}

#[test]
fn verify_stalled_rank_during_switch() {
    let test = Test::open(&[], "");
    test.wait_for_armed();
    test.set_mode("stall 1500");
    test.wait_for_version(1);
    test.wait_for_steps();
    test.check_steps();
}

#[test]
fn verify_agent_killed_with_an_armed_switch() {
    let mut test = Test::open(&[], "");
    let armed = test.wait_for_armed();
    test.fleet.restart_agent(armed);
    // Whether or not that plan succeeded, the group keeps running and switches eventually.
    test.wait_for_version(1);
    test.wait_for_steps();
    test.check_steps();
}

#[test]
fn verify_agent_killed_while_engines_check_no_fences() {
    let group_settings = "";
    let mut test = Test::open(&["--careless"], group_settings);
    let armed = test.wait_for_armed();
    test.fleet.restart_agent(armed);
    test.wait_for_version(1);
    test.wait_for_steps();
    test.check_steps();
}

#[test]
fn verify_no_mixed_maps_while_members_are_disconnected() {
    let test = Test::open(&[], "");
    test.wait_for_armed();
    test.fleet.targets.iter().for_each(|it| {
        it.fault("cut");
    });
    wait_for("the planner reports members away", || {
        test.explain()["members_away"].as_array().is_some_and(|it| !it.is_empty())
    });
    test.check_steps();
    test.fleet.targets.iter().for_each(|it| {
        it.fault("pass");
    });
    test.wait_for_version(1);
    test.wait_for_steps();
    test.check_steps();
}

#[test]
fn verify_switch_after_the_weight_store_recovers() {
    let test = Test::open(&[], "");
    test.set_mode("store refuse");
    // Each plan is refused, and the group keeps running.
    wait_for("a plan is refused", || {
        (0..MEMBERS).any(|it| test.register(it)["floor"].as_u64() >= Some(1))
    });
    test.wait_for_steps();
    test.set_mode("store ok");
    test.wait_for_version(1);
    test.check_steps();
}

#[test]
fn verify_switch_with_a_slow_weight_store() {
    let test = Test::open(&[], "");
    test.set_mode("store slow 400");
    test.wait_for_version(1);
    test.wait_for_steps();
    test.check_steps();
}

#[test]
fn verify_no_switch_during_quiet_hours() {
    let test = Test::open(&[], "quiet_hours = [0, 24]\n");
    wait_for("the planner decides", || {
        test.explain()["last_decision"].as_str() == Some("kept: quiet-hours")
    });
    assert_eq!(test.version(0), 0);
}

#[test]
fn verify_order_with_an_older_fence_is_refused() {
    let test = Test::open(&[], "quiet_hours = [0, 24]\n");
    let older = r#"{"fence":0,"order":{"Bar":99},"map":[]}"#;
    let newer = r#"{"fence":18446744073709551615,"order":{"Bar":1},"map":[]}"#;
    let send =
        |body: &str| Ask::post("", "/member/1/order", body).send(&test.group.addr("http")).status;
    assert_eq!(send(newer), 200);
    assert_eq!(send(older), 409);
    assert_eq!(test.register(1)["floor"], 1);
}

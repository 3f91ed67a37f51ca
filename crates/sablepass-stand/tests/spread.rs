// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Configuration: in force everywhere, never reverting, whatever the
//! platform's service does.

mod common;

use std::time::Instant;

use common::{BAKER, FARM, MASA, TATRANSKA, fleet, fleet_with};
use sablepass_stand::client::{Ask, control, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Timers};

/// The status of every process.
fn statuses(fleet: &Fleet) -> Vec<serde_json::Value> {
    let entries = fleet.entries.iter().map(|it| it.1.addr("admin"));
    let agents = fleet.targets.iter().map(|it| it.agent.addr("admin"));
    entries.chain(agents).map(|it| control(&it, "GET", "/status", "")).collect()
}

/// Revisions held by every process.
fn revisions(fleet: &Fleet) -> Vec<u64> {
    statuses(fleet).iter().map(|it| it["revision"].as_u64().unwrap_or(0)).collect()
}

fn reads(fleet: &Fleet) -> u64 {
    let counts = control(&fleet.platform.addr("http"), "GET", "/control/reads", "");
    counts["config"].as_u64().unwrap_or(0)
}

fn with_customer(name: &str) -> String {
    format!("{MASA}\n[[customer]]\nname = \"{name}\"\nkey = \"masa:key-of-{name}\"\nshare = 1\n")
}

#[test]
fn verify_in_force_everywhere() {
    let mut fleet = fleet(false);
    fleet.add_entry("entry-2", "ba-2", "");
    fleet.add_entry("entry-3", "ba-3", "");
    fleet.settle(3, 0);
    for round in 0..5 {
        let revision = fleet.publish("masa/main.toml", &with_customer(&format!("n{round}")));
        let start = Instant::now();
        wait_for("in force everywhere", || revisions(&fleet).iter().all(|it| *it == revision));
        assert!(start.elapsed().as_secs() < 7);
    }
}

#[test]
fn verify_outage_and_staleness() {
    let mut fleet = fleet(false);
    let held = fleet.publish("masa/main.toml", &with_customer("kept"));
    wait_for("in force", || revisions(&fleet).iter().all(|it| *it == held));
    // Down: everything goes on, and a new process starts from its peers.
    fleet.platform_mode("down");
    fleet.add_seeded_entry("entry-2", "ba-1");
    wait_for("the new entry holds it", || revisions(&fleet).iter().all(|it| *it == held));
    wait_for("the new entry is of use", || {
        Ask::chat(FARM, "triage", "outage", 2, false).send(&fleet.http(1)).status == 200
    });
    // Back, but stale by several revisions: nothing reverts.
    fleet.platform_mode("stale 2");
    wait_for("staleness is noticed", || {
        let count = |it| fleet.entry_metric(it, "sablepass_ignored_total", "old-revision");
        let agents: f64 = fleet
            .targets
            .iter()
            .map(|it| {
                let admin = it.agent.addr("admin");
                sablepass_stand::client::metric(&admin, "sablepass_ignored_total", "old-revision")
            })
            .sum();
        count(0) + count(1) + agents >= 1.0
    });
    assert!(revisions(&fleet).iter().all(|it| *it == held));
    // Back for good: the next change arrives.
    fleet.platform_mode("up");
    let next = fleet.publish("masa/main.toml", &with_customer("next"));
    wait_for("in force", || revisions(&fleet).iter().all(|it| *it == next));
}

#[test]
fn verify_readers_are_few() {
    // Nobody stands in for a reader while this test runs.
    let node = "list_every = 100\ndigest_every = 100\npatience = 60000\nwatch = 60000".to_owned();
    let mut fleet = fleet_with(Timers { node, ..Timers::default() }, false);
    for index in 2..6 {
        fleet.add_entry(&format!("entry-{index}"), "ba-1", "");
    }
    fleet.settle(3, 0);
    wait_for("all know all", || statuses(&fleet).iter().all(|it| it["instances"] == 8));
    // A change ends the watches of those who took themselves for readers before that.
    let settled = fleet.publish("masa/main.toml", &with_customer("settled"));
    wait_for("in force everywhere", || revisions(&fleet).iter().all(|it| *it == settled));
    let before = reads(&fleet);
    let rounds = 10;
    for round in 0..rounds {
        let revision = fleet.publish("masa/main.toml", &with_customer(&format!("r{round}")));
        wait_for("in force everywhere", || revisions(&fleet).iter().all(|it| *it == revision));
    }
    // One hall of 8 processes: two readers, one call each a change, and one under way.
    let spent = reads(&fleet) - before;
    assert!(spent <= rounds * 2 + 2, "{spent} reads for {rounds} changes");
}

#[test]
fn verify_bad_edit_loses_nothing() {
    let fleet = fleet(false);
    let bad = format!(
        "{TATRANSKA}\n[[customer]]\nname = \"masa/baker\"\nkey = \"stolen-key\"\nshare = 1\n"
    );
    let revision = fleet.publish("tatranska/main.toml", &bad);
    wait_for("it is seen", || revisions(&fleet).iter().all(|it| *it >= revision));
    let status = control(&fleet.admin(0), "GET", "/status", "");
    let document = status["documents"].as_array().into_iter().flatten();
    let document = document.clone().find(|it| it["key"] == "tatranska/main.toml").expect("shown");
    assert!(document["refused"].as_str().is_some_and(|it| it.contains("masa/baker")), "{document}");
    assert!(document["in_force"].as_u64() < Some(revision));
    let answer = Ask::chat(FARM, "triage", "still", 2, false).send(&fleet.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn verify_partners_race() {
    let fleet = fleet(false);
    // Both partners publish at once: a customer of one name each, and each claims a key of the
    // other's. What is their own comes into force, the claims are refused and shown, at every
    // process alike.
    let claim = |name: &str, key: &str| {
        format!("[[customer]]\nname = {name:?}\nkey = {key:?}\nshare = 1\n")
    };
    let race = |partner: &str, other: &str| {
        let own = format!("{partner}:shared-secret");
        fleet.publish(&format!("{partner}/race.toml"), &claim("same", &own));
        let foreign = format!("{other}:shared-secret");
        fleet.publish(&format!("{partner}/claim.toml"), &claim("thief", &foreign))
    };
    let (a, b) = std::thread::scope(|scope| {
        let a = scope.spawn(|| race("masa", "tatranska"));
        let b = scope.spawn(|| race("tatranska", "masa"));
        (a.join().expect("published"), b.join().expect("published"))
    });
    let last = a.max(b);
    wait_for("all is seen", || revisions(&fleet).iter().all(|it| *it >= last));
    for status in statuses(&fleet) {
        for it in status["documents"].as_array().into_iter().flatten() {
            let claimed = it["key"].as_str().is_some_and(|it| it.ends_with("claim.toml"));
            assert_eq!(!it["refused"].is_null(), claimed, "{it}");
        }
    }
    let mine = Ask::chat("tatranska:shared-secret", "triage", "mine", 2, false);
    assert_eq!(mine.send(&fleet.http(0)).status, 200);
    let theirs = Ask::chat("masa:shared-secret", "tatranska/triage", "theirs", 2, false);
    assert_eq!(theirs.send(&fleet.http(0)).reason(), "not-granted");
}

#[test]
fn verify_grant_is_the_owners() {
    let fleet = fleet(false);
    let ask = Ask::chat(BAKER, "tatranska/triage", "lent", 2, false);
    assert_eq!(ask.send(&fleet.http(0)).reason(), "not-granted");
    // Masa Norte cannot grant itself Tatranská's model.
    let own = format!("{MASA}\n[[grant]]\nto = \"masa\"\nserves = \"triage\"\npart = 1.0\n");
    let revision = fleet.publish("masa/main.toml", &own);
    fleet.settle(3, revision);
    assert_eq!(ask.send(&fleet.http(0)).reason(), "not-granted");
    let grant = format!("{TATRANSKA}\n[[grant]]\nto = \"masa\"\nserves = \"triage\"\npart = 0.2\n");
    let revision = fleet.publish("tatranska/main.toml", &grant);
    fleet.settle(3, revision);
    assert_eq!(ask.send(&fleet.http(0)).status, 200);
}

#[test]
fn verify_woken_process_does_not_spread_old_facts() {
    let fleet = fleet(false);
    let old = fleet.publish("masa/main.toml", &with_customer("old"));
    wait_for("in force", || revisions(&fleet).iter().all(|it| *it == old));
    fleet.targets[0].agent.pause();
    let new = fleet.publish("masa/main.toml", &with_customer("new"));
    let rest = |it: &Fleet| control(&it.admin(0), "GET", "/status", "")["revision"].as_u64();
    wait_for("in force", || rest(&fleet) == Some(new));
    fleet.targets[0].agent.resume();
    wait_for("in force", || revisions(&fleet).iter().all(|it| *it == new));
}

#[test]
fn verify_service_down_from_the_start() {
    let mut fleet = Fleet::open(Timers::default());
    fleet.platform_mode("down");
    fleet.add_target("tatranska/t1", "ba-1", Serves::Model(4), false);
    fleet.add_entry("entry-1", "ba-1", "");
    let answer = Ask::chat(FARM, "triage", "early", 2, false).send(&fleet.http(0));
    // Without a configuration nobody knows which keys there are.
    assert_eq!((answer.status, answer.ran.as_str()), (503, "not-run"), "{answer:?}");
    assert_eq!(answer.reason(), "no-configuration");
    fleet.platform_mode("up");
    fleet.publish("tatranska/main.toml", TATRANSKA);
    wait_for("it serves", || {
        Ask::chat(FARM, "triage", "later", 2, false).send(&fleet.http(0)).status == 200
    });
}

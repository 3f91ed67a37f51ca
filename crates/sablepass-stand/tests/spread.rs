// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Distribution of the configuration: each revision comes into force at every process and none
//! reverts to an older one, also while the platform's service is down, slow or stale.

mod common;

use std::time::Instant;

use common::{BAKER, FARM, MASA, TATRANSKA, fleet, fleet_with};
use sablepass_stand::client::{Ask, control, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Timers};

/// Returns the status of every entry and agent.
fn statuses(fleet: &Fleet) -> Vec<serde_json::Value> {
    let entries = fleet.entries.iter().map(|it| it.1.addr("admin"));
    let agents = fleet.targets.iter().map(|it| it.agent.addr("admin"));
    entries.chain(agents).map(|it| control(&it, "GET", "/status", "")).collect()
}

/// Returns the configuration revision of every entry and agent.
fn revisions(fleet: &Fleet) -> Vec<u64> {
    statuses(fleet).iter().map(|it| it["revision"].as_u64().unwrap_or(0)).collect()
}

/// Returns how often the configuration was read from the platform's service.
fn config_reads(fleet: &Fleet) -> u64 {
    let counts = control(&fleet.platform.addr("http"), "GET", "/control/reads", "");
    counts["config"].as_u64().unwrap_or(0)
}

/// Configuration of Masa Norte with one more customer.
fn with_customer(name: &str) -> String {
    format!("{MASA}\n[[customer]]\nname = \"{name}\"\nkey = \"masa:key-of-{name}\"\nshare = 1\n")
}

#[test]
fn verify_revision_comes_into_force_at_every_process() {
    let mut fleet = fleet(false);
    fleet.add_entry("entry-2", "ba-2", "");
    fleet.add_entry("entry-3", "ba-3", "");
    fleet.settle(3, 0);
    for round in 0..5 {
        let revision = fleet.publish("masa/main.toml", &with_customer(&format!("n{round}")));
        let published_at = Instant::now();
        wait_for("the revision is in force at every process", || {
            revisions(&fleet).iter().all(|it| *it == revision)
        });
        assert!(published_at.elapsed().as_secs() < 7);
    }
}

#[test]
fn verify_outage_and_stale_answers_of_the_service_revert_nothing() {
    let mut fleet = fleet(false);
    let latest = fleet.publish("masa/main.toml", &with_customer("kept"));
    wait_for("the revision is in force at every process", || {
        revisions(&fleet).iter().all(|it| *it == latest)
    });
    // During an outage the processes keep their configuration, and a new one gets it from its
    // peers.
    fleet.platform_mode("down");
    fleet.add_seeded_entry("entry-2", "ba-1");
    wait_for("the new entry has the revision", || revisions(&fleet).iter().all(|it| *it == latest));
    wait_for("the new entry serves requests", || {
        Ask::chat(FARM, "triage", "outage", 2, false).send(&fleet.http(1)).status == 200
    });
    // The service is back, but stale by two revisions: no process reverts.
    fleet.platform_mode("stale 2");
    wait_for("the old revision is counted as ignored", || {
        let count = |entry| fleet.entry_metric(entry, "sablepass_ignored_total", "old-revision");
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
    assert!(revisions(&fleet).iter().all(|it| *it == latest));
    // The service is up to date again: the next change comes into force.
    fleet.platform_mode("up");
    let next = fleet.publish("masa/main.toml", &with_customer("next"));
    wait_for("the revision is in force at every process", || {
        revisions(&fleet).iter().all(|it| *it == next)
    });
}

#[test]
fn verify_few_processes_read_the_service() {
    // With this patience, no process replaces a reader while the test runs.
    let node = "list_every = 100\ndigest_every = 100\npatience = 60000\nwatch = 60000".to_owned();
    let mut fleet = fleet_with(Timers { node, ..Timers::default() }, false);
    for index in 2..6 {
        fleet.add_entry(&format!("entry-{index}"), "ba-1", "");
    }
    fleet.settle(3, 0);
    wait_for("every process lists all instances", || {
        statuses(&fleet).iter().all(|it| it["instances"] == 8)
    });
    // A change ends the watches of processes that considered themselves readers before they knew
    // all instances.
    let settled = fleet.publish("masa/main.toml", &with_customer("settled"));
    wait_for("the revision is in force at every process", || {
        revisions(&fleet).iter().all(|it| *it == settled)
    });
    let before = config_reads(&fleet);
    let rounds = 10;
    for round in 0..rounds {
        let revision = fleet.publish("masa/main.toml", &with_customer(&format!("r{round}")));
        wait_for("the revision is in force at every process", || {
            revisions(&fleet).iter().all(|it| *it == revision)
        });
    }
    // In a data hall of 8 processes there are two readers. Each makes one call per change, and has
    // one more in progress.
    let new_reads = config_reads(&fleet) - before;
    assert!(new_reads <= rounds * 2 + 2, "{new_reads} reads for {rounds} changes");
}

#[test]
fn verify_refused_document_leaves_the_last_one_in_force() {
    let fleet = fleet(false);
    let bad = format!(
        "{TATRANSKA}\n[[customer]]\nname = \"masa/baker\"\nkey = \"stolen-key\"\nshare = 1\n"
    );
    let revision = fleet.publish("tatranska/main.toml", &bad);
    wait_for("every process has read the bad document", || {
        revisions(&fleet).iter().all(|it| *it >= revision)
    });
    let status = control(&fleet.admin(0), "GET", "/status", "");
    let document = status["documents"].as_array().into_iter().flatten();
    let document = document
        .clone()
        .find(|it| it["key"] == "tatranska/main.toml")
        .expect("the status shows the document");
    assert!(document["refused"].as_str().is_some_and(|it| it.contains("masa/baker")), "{document}");
    assert!(document["in_force"].as_u64() < Some(revision));
    let answer = Ask::chat(FARM, "triage", "still", 2, false).send(&fleet.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn verify_partners_publish_concurrently() {
    let fleet = fleet(false);
    // Both partners publish at the same time: each declares a customer of the same name with a key
    // of its own, and another with a key of the other partner. At every process, the documents with
    // own keys come into force, and those with foreign keys are refused and shown as refused.
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
    wait_for("every process has read all documents", || {
        revisions(&fleet).iter().all(|it| *it >= last)
    });
    for status in statuses(&fleet) {
        for document in status["documents"].as_array().into_iter().flatten() {
            let claims = document["key"].as_str().is_some_and(|it| it.ends_with("claim.toml"));
            assert_eq!(!document["refused"].is_null(), claims, "{document}");
        }
    }
    let own = Ask::chat("tatranska:shared-secret", "triage", "mine", 2, false);
    assert_eq!(own.send(&fleet.http(0)).status, 200);
    let foreign = Ask::chat("masa:shared-secret", "tatranska/triage", "theirs", 2, false);
    assert_eq!(foreign.send(&fleet.http(0)).reason(), "not-granted");
}

#[test]
fn verify_grant_is_valid_from_the_owner_of_the_model_only() {
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
fn verify_resumed_process_does_not_spread_an_old_revision() {
    let fleet = fleet(false);
    let old = fleet.publish("masa/main.toml", &with_customer("old"));
    wait_for("the revision is in force at every process", || {
        revisions(&fleet).iter().all(|it| *it == old)
    });
    fleet.targets[0].agent.pause();
    let new = fleet.publish("masa/main.toml", &with_customer("new"));
    let entry_revision =
        |it: &Fleet| control(&it.admin(0), "GET", "/status", "")["revision"].as_u64();
    wait_for("the revision is in force at the entry", || entry_revision(&fleet) == Some(new));
    fleet.targets[0].agent.resume();
    wait_for("the revision is in force at every process", || {
        revisions(&fleet).iter().all(|it| *it == new)
    });
}

#[test]
fn verify_start_while_the_service_is_down() {
    let mut fleet = Fleet::open(Timers::default());
    fleet.platform_mode("down");
    fleet.add_target("tatranska/t1", "ba-1", Serves::Model(4), false);
    fleet.add_entry("entry-1", "ba-1", "");
    let answer = Ask::chat(FARM, "triage", "early", 2, false).send(&fleet.http(0));
    // Without a configuration the entry cannot check API keys.
    assert_eq!((answer.status, answer.ran.as_str()), (503, "not-run"), "{answer:?}");
    assert_eq!(answer.reason(), "no-configuration");
    fleet.platform_mode("up");
    fleet.publish("tatranska/main.toml", TATRANSKA);
    wait_for("the entry serves requests", || {
        Ask::chat(FARM, "triage", "later", 2, false).send(&fleet.http(0)).status == 200
    });
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Counters of the traffic between processes, by hall of the peer.

mod common;

use common::fleet;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::site_with_agents::SiteWithAgents;
use serde_json::Value;

/// Entries of the smallest fleet in which messages are sent in a short form.
const LARGE_FLEET: usize = 37;

/// Bytes of reports that a process sent to or received from a hall.
fn report_bytes(admin: &str, direction: &str, hall: &str) -> f64 {
    let labels = format!("direction=\"{direction}\",hall=\"{hall}\",kind=\"report\"");
    metric(admin, "sablepass_mesh_bytes_total", &labels)
}

/// Fails if traffic is counted under the wrong hall, or without the frames' lengths.
#[test]
fn verify_traffic_is_counted_by_hall_of_the_peer() {
    let mut fleet = fleet(false);
    fleet.add_entry("entry-2", "ba-2", "");
    fleet.settle(3, 0);
    let (own, other) = (fleet.admin(0), fleet.admin(1));
    wait_for("both entries receive reports", || {
        report_bytes(&own, "in", "own") > 0.0 && report_bytes(&other, "in", "other") > 0.0
    });
    assert_eq!(report_bytes(&own, "in", "other"), 0.0);
    assert_eq!(report_bytes(&other, "in", "own"), 0.0);
    let agent = fleet.targets[0].agent.addr("admin");
    wait_for("an agent reports to both halls", || {
        report_bytes(&agent, "out", "own") > 0.0 && report_bytes(&agent, "out", "other") > 0.0
    });
    // A kind that is no longer sent once the connections are up, so that its counters agree.
    let hello = |name: &str, label: &str| metric(&own, name, label);
    let (kind, incoming) = ("kind=\"hello\"", "direction=\"in\"");
    let labels = format!("{incoming},{kind}");
    let counted: f64 = ["own", "other"]
        .iter()
        .map(|hall| format!("{incoming},hall=\"{hall}\",{kind}"))
        .map(|it| hello("sablepass_mesh_bytes_total", &it))
        .sum();
    let messages = hello("sablepass_link_messages_total", &labels);
    let payload = hello("sablepass_link_bytes_total", &labels);
    assert!(messages > 0.0);
    assert_eq!(counted, payload + 4.0 * messages);
}

/// Messages of a kind that a process received.
fn received(admin: &str, kind: &str) -> f64 {
    let labels = format!("direction=\"in\",kind=\"{kind}\"");
    metric(admin, "sablepass_link_messages_total", &labels)
}

/// Fails if processes of a large fleet send everything in full, if entries do not read the short
/// forms, or if an unresponsive machine is not detected from them.
#[test]
fn verify_large_fleets_send_short_forms() {
    let mut fleet = SiteWithAgents::spawn(3);
    let first = fleet.site.entries[0].addr("admin");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(received(&first, "load-update") + received(&first, "age-update"), 0.0);
    while fleet.site.entries.len() < LARGE_FLEET {
        fleet.site.add_entry_with_seeds(&fleet.more, 1);
    }
    let admins: Vec<String> = fleet.site.entries.iter().map(|it| it.addr("admin")).collect();
    wait_for("all entries and agents receive short forms", || {
        let at_entry = |it: &String| received(it, "load-update") > 10.0;
        let at_agent = |it: &String| received(it, "age-update") > 0.0;
        let agents: Vec<String> = fleet.agents.iter().map(|it| it.addr("admin")).collect();
        admins.iter().all(at_entry) && agents.iter().all(at_agent)
    });
    fleet.site.settle(3);
    for admin in &admins {
        assert_eq!(metric(admin, "sablepass_ignored_total", "bad-frame"), 0.0);
    }
    let unresponsive = |it: &Value| it["event"] == "target unresponsive";
    fleet.agents[0].pause();
    let since = Instant::now();
    wait_for("an entry detects the unresponsive machine", || {
        fleet.site.entries[0].log().iter().any(unresponsive)
    });
    // 600 ms without a heartbeat, the interval of the evaluation, and time for a busy machine.
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
}

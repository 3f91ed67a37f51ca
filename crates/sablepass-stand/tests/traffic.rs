// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Counters of the traffic between processes, by hall of the peer.

mod common;

use common::fleet;
use sablepass_stand::client::{metric, wait_for};

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

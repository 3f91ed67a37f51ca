// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests that wait for a group that is not ready.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::thread::{self, JoinHandle};

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::ranks;
use sablepass_stand::replica::Group;
use sablepass_stand::site::{Site, ask};
use serde_json::Value;

/// A configuration whose group is expected to take `form_ms` to form, so that requests wait for it.
pub fn configuration(version: u64, form_ms: u64) -> Value {
    let mut configuration = ranks::Group::configuration(version);
    configuration["services"][0]["engine"]["form_ms"] = (form_ms as f64).into();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 60_000.into();
        route["targetLatencyMs"] = 8_000.into();
        route["gap_aim_ms"] = 4_000.into();
    }
    configuration
}

/// Closes the group of all replicas, and sends `count` requests to the first entry that wait for
/// it.
pub fn wait_for_group(site: &Site, configuration: &Value, count: usize) -> Vec<JoinHandle<Answer>> {
    let revision = site.configure(configuration);
    report(site, false);
    let admin = site.entries[0].addr("admin");
    wait_for("the entry knows that the group is not ready", || {
        site.status(0)["revision"].as_u64() >= Some(revision)
            && metric(&admin, "sablepass_targets", "state=\"usable\"") < 1.0
    });
    let send = |number: usize| {
        let addr = site.http(0);
        thread::spawn(move || ask("POST", "/once/x", &format!("0-wait-{number}"), "q").send(&addr))
    };
    let waiting = (0..count).map(send).collect();
    let in_flight = || metric(&admin, "sablepass_in_flight", "");
    wait_for("the requests wait", || in_flight() >= count as f64);
    waiting
}

/// Makes the group of all replicas ready.
pub fn open_group(site: &Site) {
    report(site, true);
}

fn report(site: &Site, open: bool) {
    let group = Group { open, size: site.replicas.len() as u32, steps: open };
    site.replicas.iter().for_each(|it| it.report_group(group));
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests for a group that is not ready: a real entry, and a real agent beside a replica that
//! reports the state of its group.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::ranks;
use sablepass_stand::replica::{Group, Replica};
use sablepass_stand::site::{HOST, KEY, Site, ask};

struct Fleet {
    site: Site,
    /// Process of the agent, which is killed on drop.
    _agent: Process,
}

/// Starts one rank of a closed group of `size` ranks, an agent beside it and an entry that knows
/// the group to be closed. A complete group becomes ready within `form_ms`. Callers wait at most
/// for the route's `timeout_ms`, and for four times its `objective_ms` without receiving a byte.
fn fleet(size: u32, form_ms: u64, objective_ms: u64, timeout_ms: u64) -> Fleet {
    let mut site = Site::open(0);
    let machine = ranks::new_machine_address();
    let replica = Replica::spawn_at("orders", machine);
    site.list(&replica, "ready");
    site.replicas.push(replica);
    site.replicas[0].report_group(Group { open: false, size, steps: false });
    let mut configuration = ranks::Group::configuration(2);
    configuration["services"][0]["engine"]["form_ms"] = (form_ms as f64).into();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = timeout_ms.into();
        route["targetLatencyMs"] = objective_ms.into();
    }
    site.configure(&configuration);
    let port = ranks::free_port_at(&[machine]);
    site.add_entry(&format!("agent_port = {port}"));
    let addr = SocketAddr::new(machine, port);
    let agent = site.add_agent(addr, site.replicas[0].addr);
    wait_for("the entry knows that the group is closed", || {
        let status = site.status(0);
        let targets = status["targets"].as_array();
        let closed = targets.is_some_and(|it| it.iter().all(|it| it["usable"] == false));
        closed && targets.is_some_and(|it| !it.is_empty()) && agent_is_up(&site)
    });
    Fleet { site, _agent: agent }
}

/// Whether the entry has received a report of the agent.
fn agent_is_up(site: &Site) -> bool {
    metric(&site.entries[0].addr("admin"), "sablepass_link_messages_total", "kind=\"report\"") > 0.0
}

#[test]
fn verify_request_waits_for_a_group_that_becomes_ready_in_time() {
    // The group forms slowly, so that the test can observe the request waiting.
    let fleet = fleet(1, 4_000, 8_000, 60_000);
    let addr = fleet.site.http(0);
    let call = thread::spawn(move || ask("POST", "/once/x", "waits", "claim").send(&addr));
    let admin = fleet.site.entries[0].addr("admin");
    wait_for("the request waits", || metric(&admin, "sablepass_in_flight", "") >= 1.0);
    assert_eq!(fleet.site.runs("waits"), 0);
    fleet.site.replicas[0].report_group(Group { open: true, size: 1, steps: true });
    let answer = call.join().expect("the caller thread panicked");
    assert_eq!((answer.status, fleet.site.runs("waits")), (200, 1), "{answer:?}");
}

#[test]
fn verify_request_for_a_group_without_a_rank_is_refused_at_once() {
    let fleet = fleet(2, 20_000, 100, 5_000);
    let answer = ask("POST", "/once/x", "refused", "claim").send(&fleet.site.http(0));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.retry_after, "2.4");
    assert_eq!(fleet.site.runs("refused"), 0);
    let admin = fleet.site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_refusals_total", "group-closed"), 1.0);
}

#[test]
fn verify_wait_for_a_group_ends_before_its_caller_gives_up() {
    let fleet = fleet(1, 1_200, 100, 5_000);
    let answer = ask("POST", "/once/x", "given-up", "claim").send(&fleet.site.http(0));
    assert_eq!(answer.status, 503, "expected an answer while the caller still waits: {answer:?}");
    assert_eq!(fleet.site.runs("given-up"), 0);
}

#[test]
fn verify_request_waits_no_longer_than_its_route_allows() {
    let fleet = fleet(1, 20_000, 100, 200);
    let sent_at = Instant::now();
    let answer = ask("POST", "/once/x", "short", "claim").send(&fleet.site.http(0));
    let elapsed = sent_at.elapsed();
    assert_eq!((answer.status, fleet.site.runs("short")), (503, 0), "{answer:?}");
    // Without the route's timeout the request would wait for 1.4 s.
    assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
}

#[test]
fn verify_refusal_says_when_the_group_will_be_ready() {
    let fleet = fleet(1, 20_000, 100, 5_000);
    let answer = ask("POST", "/once/x", "told", "claim").send(&fleet.site.http(0));
    assert_eq!((answer.status, fleet.site.runs("told")), (503, 0), "{answer:?}");
    let retry_after: f64 = answer.retry_after.parse().expect("Retry-After is a number of seconds");
    assert!((10.0..=20.2).contains(&retry_after), "the group forms within 20 s: {retry_after}");
}

#[test]
fn verify_waiting_request_is_not_started_after_its_caller_disconnected() {
    let fleet = fleet(1, 4_000, 8_000, 60_000);
    let admin = fleet.site.entries[0].addr("admin");
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: left\r\nx-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n"
    );
    let mut caller = TcpStream::connect(fleet.site.http(0)).expect("the entry accepts");
    caller.write_all(head.as_bytes()).expect("request sent");
    wait_for("the request waits", || metric(&admin, "sablepass_in_flight", "") >= 1.0);
    drop(caller);
    wait_for("the entry notices that the caller disconnected", || {
        metric(&admin, "sablepass_refusals_total", "caller-gone") >= 1.0
    });
    fleet.site.replicas[0].report_group(Group { open: true, size: 1, steps: true });
    wait_for("the group serves requests", || {
        ask("POST", "/once/x", "open", "claim").send(&fleet.site.http(0)).status == 200
    });
    assert_eq!(fleet.site.runs("left"), 0);
}

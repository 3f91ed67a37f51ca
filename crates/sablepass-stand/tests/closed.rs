// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests for a group that is closed: a real entry and a real agent beside a
//! replica that says how its group stands.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::ranks;
use sablepass_stand::replica::Group;
use sablepass_stand::site::{Site, ask};

struct Fleet {
    site: Site,
    /// Ends when this is dropped.
    _agent: Process,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address").port()
}

/// A rank of a closed group, an agent beside it and an entry that knows so.
fn fleet(size: u32, timeout: u64) -> Fleet {
    let mut site = Site::open(1);
    site.replicas[0].tell(Group { open: false, size });
    // A group that takes long to open, so that requests are seen to wait.
    let mut it = ranks::Group::configuration(2);
    it["services"][0]["engine"]["form_ms"] = 20_000.0.into();
    for route in it["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = timeout.into();
    }
    site.configure(&it);
    let port = free_port();
    site.add_entry(&format!("agent_port = {port}"));
    let at = SocketAddr::new(site.replicas[0].addr.ip(), port);
    let agent = site.add_agent(at, site.replicas[0].addr);
    wait_for("the entry knows that the group is closed", || {
        let status = site.status(0);
        let targets = status["targets"].as_array();
        let closed = targets.is_some_and(|it| it.iter().all(|it| it["usable"] == false));
        closed && targets.is_some_and(|it| !it.is_empty()) && agent_is_up(&site)
    });
    Fleet { site, _agent: agent }
}

fn agent_is_up(site: &Site) -> bool {
    metric(&site.entries[0].addr("admin"), "sablepass_link_messages_total", "kind=\"report\"") > 0.0
}

#[test]
fn verify_request_waits_for_a_group_that_is_about_to_open() {
    let fleet = fleet(1, 5_000);
    let addr = fleet.site.http(0);
    let asked = thread::spawn(move || ask("POST", "/once/x", "waits", "claim").send(&addr));
    let admin = fleet.site.entries[0].addr("admin");
    wait_for("the request waits", || metric(&admin, "sablepass_in_flight", "") >= 1.0);
    assert_eq!(fleet.site.runs("waits"), 0);
    fleet.site.replicas[0].tell(Group { open: true, size: 1 });
    let answer = asked.join().expect("the caller ends");
    assert_eq!((answer.status, fleet.site.runs("waits")), (200, 1), "{answer:?}");
}

#[test]
fn verify_request_for_a_group_without_a_rank_is_refused_at_once() {
    let fleet = fleet(2, 5_000);
    let answer = ask("POST", "/once/x", "refused", "claim").send(&fleet.site.http(0));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.retry_after, "2.4");
    assert_eq!(fleet.site.runs("refused"), 0);
    let admin = fleet.site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_refusals_total", "group-closed"), 1.0);
}

#[test]
fn verify_wait_for_a_group_ends() {
    let fleet = fleet(1, 5_000);
    let answer = ask("POST", "/once/x", "given-up", "claim").send(&fleet.site.http(0));
    assert_eq!(answer.status, 503, "told while its caller is still there: {answer:?}");
    assert_eq!(fleet.site.runs("given-up"), 0);
}

#[test]
fn verify_request_waits_no_longer_than_its_route_allows() {
    let fleet = fleet(1, 200);
    let began = Instant::now();
    let answer = ask("POST", "/once/x", "short", "claim").send(&fleet.site.http(0));
    let took = began.elapsed();
    assert_eq!((answer.status, fleet.site.runs("short")), (503, 0), "{answer:?}");
    // Without the route's limit it would wait for 1.4 s.
    assert!(took < Duration::from_millis(1_000), "{took:?}");
}

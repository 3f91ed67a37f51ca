// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Machines with an agent and a target, or entries, are suspended for a while and resume. The
//! tests use real entries and agents with simulated targets, and check what the targets ran.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::replica::{Group, Mode};
use sablepass_stand::site::{HOST, KEY, Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Number of targets, each with a machine of its own.
const MACHINES: usize = 3;
/// Number of concurrent callers.
const CALLERS: usize = 12;
/// Time within which all callers must be answered while one machine is suspended: less than the
/// five seconds of their deadlines.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_000);

/// Sends a request and closes the caller's connection once the entry has forwarded it.
fn ask_and_disconnect(site: &Site, id: &str) {
    let before = site.replicas[0].connections();
    let mut stream = TcpStream::connect(site.http(0)).expect("the entry accepts");
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 5000\r\ncontent-length: 1\r\n\r\n."
    );
    stream.write_all(head.as_bytes()).expect("the request is written");
    wait_for("the entry forwards the request", || site.replicas[0].connections() > before);
}

#[test]
fn verify_a_resumed_target_starts_no_request_of_a_disconnected_caller() {
    let mut site = Site::open(1);
    site.add_entry("");
    site.settle(1);
    site.replicas[0].set(Mode::Asleep);
    let admin = site.entries[0].addr("admin");
    for number in 0..4 {
        ask_and_disconnect(&site, &format!("left-{number}"));
    }
    wait_for("the entry sees that the callers disconnected", || {
        metric(&admin, "sablepass_refusals_total", "caller-gone") >= 4.0
    });
    // The counter is updated on the event loop, which answers this status request only after it has
    // closed the target connections of the disconnected callers.
    site.status(0);
    site.replicas[0].set(Mode::Good);
    let answer = ask("POST", "/stream/x", "stays", "").send(&site.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
    for number in 0..4 {
        assert_eq!(site.runs(&format!("left-{number}")), 0, "caller {number} had disconnected");
    }
}

#[test]
fn verify_requests_are_moved_from_a_suspended_machine() {
    let SiteWithAgents { site, agents, .. } = SiteWithAgents::spawn(MACHINES);
    agents[0].pause();
    site.replicas[0].set(Mode::Asleep);
    let started_at = Instant::now();
    let ask = |number: usize| {
        let addr = site.http(0);
        thread::spawn(move || ask("POST", "/stream/x", &format!("s{number}"), "").send(&addr))
    };
    let callers: Vec<_> = (0..CALLERS).map(ask).collect();
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(started_at.elapsed() < MAX_ANSWER_TIME, "{:?}", started_at.elapsed());
    site.replicas[0].set(Mode::Good);
    agents[0].resume();
    for number in 0..CALLERS {
        assert_eq!(
            site.runs(&format!("s{number}")),
            1,
            "the request was moved and must not run again"
        );
    }
}

/// One group is stalled: it is ready but runs no step. Requests go to the other group until it
/// runs steps again.
#[test]
fn verify_requests_go_to_the_group_that_runs_steps() {
    let SiteWithAgents { site, agents: _agents, .. } = SiteWithAgents::spawn(MACHINES);
    let group = |steps| Group { open: true, size: 1, steps };
    site.replicas[0].report_group(group(false));
    site.replicas[1..].iter().for_each(|it| it.report_group(group(true)));
    let mut sent = 0;
    let mut next = || {
        sent += 1;
        ask("POST", "/stream/x", &format!("n{sent}"), "").send(&site.http(0));
        site.replicas[0].runs().len()
    };
    // Some requests reach the stalled group until the entry knows its state. Afterwards none of
    // twelve does.
    let avoided =
        |before: usize, next: &mut dyn FnMut() -> usize| (0..12).all(|_| next() == before);
    wait_for("requests leave the stalled group", || {
        let before = next();
        avoided(before, &mut next)
    });
    site.replicas[0].report_group(group(true));
    let before = site.replicas[0].runs().len();
    wait_for("requests return once the group runs steps", || next() > before);
}

/// An entry is suspended until the deadlines of its queued requests have passed. When it resumes,
/// it must forward none of them, and serve new requests.
#[test]
fn verify_a_resumed_entry_forwards_no_request_past_its_deadline() {
    let SiteWithAgents { mut site, agents: _agents, .. } = SiteWithAgents::spawn(MACHINES);
    let not_ready = Group { open: false, size: MACHINES as u32, steps: false };
    site.replicas.iter().for_each(|it| it.report_group(not_ready));
    let admin = site.entries[0].addr("admin");
    wait_for("the entry knows that the group is not ready", || {
        metric(&admin, "sablepass_targets", "state=\"usable\"") < 1.0
    });
    let ask = |id: String| {
        let addr = site.http(0);
        thread::spawn(move || {
            ask("POST", "/stream/x", &id, "").with("x-deadline-ms", "1500").send(&addr)
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(|it| ask(format!("late-{it}"))).collect();
    thread::sleep(Duration::from_millis(100));
    site.entries[0].pause();
    let ready = Group { open: true, ..not_ready };
    site.replicas.iter().for_each(|it| it.report_group(Group { steps: true, ..ready }));
    thread::sleep(Duration::from_millis(2_500));
    site.entries[0].resume();
    callers.into_iter().for_each(|it| drop(it.join()));
    let ran = (0..CALLERS).filter(|it| site.runs(&format!("late-{it}")) > 0).count();
    assert_eq!(ran, 0, "requests ran after their deadlines");
    assert!(metric(&admin, "sablepass_sleeps_total", "") >= 1.0, "the entry counts its suspension");
    let site = &mut site;
    wait_for("the entry serves new requests", || {
        let id = format!("next-{}", Instant::now().elapsed().as_nanos());
        sablepass_stand::site::ask("POST", "/stream/x", &id, "").send(&site.http(0)).status == 200
    });
}

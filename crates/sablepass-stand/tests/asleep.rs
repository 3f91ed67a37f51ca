// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Machines beside targets that sleep for a while and wake: real entries and
//! agents, with stand-ins for the targets. The judge is what the targets ran.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::replica::{Group, Mode};
use sablepass_stand::site::{HOST, KEY, Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Targets, each with a machine of its own.
const MACHINES: usize = 3;
/// Callers that ask at once.
const CALLERS: usize = 12;
/// Time in which all of them are answered while one machine sleeps: less than
/// the five seconds that each of them has.
const ANSWERED: Duration = Duration::from_millis(3_000);

/// A caller that asks and is gone once its request has been sent on.
fn ask_and_leave(site: &Site, id: &str) {
    let before = site.replicas[0].connections();
    let mut stream = TcpStream::connect(site.http(0)).expect("the entry accepts");
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 5000\r\ncontent-length: 1\r\n\r\n."
    );
    stream.write_all(head.as_bytes()).expect("the request leaves");
    wait_for("it is sent on", || site.replicas[0].connections() > before);
}

#[test]
fn verify_what_its_caller_left_is_not_begun_by_a_target_that_wakes() {
    let mut site = Site::open(1);
    site.add_entry("");
    site.settle(1);
    site.replicas[0].set(Mode::Asleep);
    let admin = site.entries[0].addr("admin");
    for number in 0..4 {
        ask_and_leave(&site, &format!("left-{number}"));
    }
    wait_for("the entry knows that they left", || {
        metric(&admin, "sablepass_refusals_total", "caller-gone") >= 4.0
    });
    // Counted on the event loop, whose answer comes after all that was to be closed.
    site.status(0);
    site.replicas[0].set(Mode::Good);
    let answer = ask("POST", "/stream/x", "stays", "").send(&site.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
    for number in 0..4 {
        assert_eq!(site.runs(&format!("left-{number}")), 0, "caller {number} was gone");
    }
}

#[test]
fn verify_requests_leave_a_machine_that_sleeps() {
    let SiteWithAgents { site, agents, .. } = SiteWithAgents::spawn(MACHINES);
    agents[0].pause();
    site.replicas[0].set(Mode::Asleep);
    let began = Instant::now();
    let ask = |number: usize| {
        let addr = site.http(0);
        thread::spawn(move || ask("POST", "/stream/x", &format!("s{number}"), "").send(&addr))
    };
    let callers: Vec<_> = (0..CALLERS).map(ask).collect();
    for it in callers {
        let answer = it.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(began.elapsed() < ANSWERED, "{:?}", began.elapsed());
    site.replicas[0].set(Mode::Good);
    agents[0].resume();
    for number in 0..CALLERS {
        assert_eq!(site.runs(&format!("s{number}")), 1, "what was moved is not begun again");
    }
}

/// One of two groups stands at a step that is held. What comes goes to the other.
#[test]
fn verify_work_goes_to_the_group_that_makes_steps() {
    let SiteWithAgents { site, agents: _agents, .. } = SiteWithAgents::spawn(MACHINES);
    let group = |steps| Group { open: true, size: 1, steps };
    site.replicas[0].report_group(group(false));
    site.replicas[1..].iter().for_each(|it| it.report_group(group(true)));
    let mut asked = 0;
    let mut next = || {
        asked += 1;
        ask("POST", "/stream/x", &format!("n{asked}"), "").send(&site.http(0));
        site.replicas[0].runs().len()
    };
    // Until this is known some go there; then none does, in twelve calls.
    let known = |before: usize, next: &mut dyn FnMut() -> usize| (0..12).all(|_| next() == before);
    wait_for("work leaves the group that stands", || {
        let before = next();
        known(before, &mut next)
    });
    site.replicas[0].report_group(group(true));
    let before = site.replicas[0].runs().len();
    wait_for("work comes back once it goes on", || next() > before);
}

/// An entry that sleeps past the time of what it holds: nothing of that is sent on
/// once it wakes, and it serves what comes next.
#[test]
fn verify_an_entry_that_wakes_begins_nothing_whose_time_is_over() {
    let SiteWithAgents { mut site, agents: _agents, .. } = SiteWithAgents::spawn(MACHINES);
    let closed = Group { open: false, size: MACHINES as u32, steps: false };
    site.replicas.iter().for_each(|it| it.report_group(closed));
    let admin = site.entries[0].addr("admin");
    wait_for("the group is closed", || {
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
    let open = Group { open: true, ..closed };
    site.replicas.iter().for_each(|it| it.report_group(Group { steps: true, ..open }));
    thread::sleep(Duration::from_millis(2_500));
    site.entries[0].resume();
    callers.into_iter().for_each(|it| drop(it.join()));
    let begun = (0..CALLERS).filter(|it| site.runs(&format!("late-{it}")) > 0).count();
    assert_eq!(begun, 0, "their callers are gone");
    assert!(metric(&admin, "sablepass_sleeps_total", "") >= 1.0, "it knows that it slept");
    let site = &mut site;
    wait_for("it serves again", || {
        let id = format!("next-{}", Instant::now().elapsed().as_nanos());
        sablepass_stand::site::ask("POST", "/stream/x", &id, "").send(&site.http(0)).status == 200
    });
}

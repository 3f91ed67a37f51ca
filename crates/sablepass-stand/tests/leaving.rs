// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target announces in its answers that it leaves, while the instance list still has it as
//! ready. Entries that know of the announcement must send it no more requests.

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::{self, Mode, Replica};
use sablepass_stand::site::{Site, ask};

/// Number of requests after an announcement, of which a target of two would otherwise get some.
const REQUESTS: usize = 60;
/// Time within which idle connections to a leaving target must be closed; others are kept for
/// three seconds.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(1);

fn site(replicas: usize) -> Site {
    let mut site = Site::open(replicas);
    site.add_entry("");
    site.settle(replicas);
    site
}

fn send(site: &Site, kind: &str, id: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, "q").send(&site.http(0))
}

/// Sends requests of all kinds one after another, and asserts that all are served.
fn send_many(site: &Site, label: &str) {
    for number in 0..REQUESTS {
        let kind = ["stream", "safe", "once"][number % 3];
        let answer = send(site, kind, &format!("{label}-{number}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Sends requests until an answer of the target has announced that it leaves.
fn announce_leaving(site: &Site, leaving: &Replica) {
    leaving.leave();
    let announced = || leaving.arrivals().iter().any(|it| it.leaving_since.is_some());
    wait_for("an answer of the target announces that it leaves", || {
        send(site, "safe", "first");
        announced()
    });
}

#[test]
fn verify_a_target_that_announces_leaving_gets_no_more_requests() {
    for mode in [Mode::Good, Mode::Full, Mode::Failing] {
        let site = site(2);
        let leaving = &site.replicas[0];
        leaving.set(mode);
        announce_leaving(&site, leaving);
        leaving.set(Mode::Good);
        let before = leaving.arrivals().len();
        send_many(&site, "after");
        assert_eq!(
            leaving.arrivals().len(),
            before,
            "{mode:?}: the leaving target got more requests"
        );
    }
}

/// The head of a streamed answer announces that the target leaves. The stream is completed.
#[test]
fn verify_requests_in_flight_at_a_leaving_target_are_completed() {
    let site = site(2);
    let leaving = &site.replicas[0];
    // A pause ends by itself. A full target would report a load that the entry trusts until the
    // target's next answer.
    site.replicas[1].set(Mode::Shed(300));
    leaving.set(Mode::Hold(2));
    leaving.leave();
    let addr = site.http(0);
    let caller = thread::spawn(move || ask("POST", "/stream/x", "held", "q").send(&addr));
    wait_for("the request runs", || leaving.runs().len() == 1);
    site.replicas[1].set(Mode::Good);
    wait_for("the announcement is known and the other target usable again", || {
        let admin = site.entries[0].addr("admin");
        let usable = metric(&admin, "sablepass_targets", "state=\"usable\"");
        metric(&admin, "sablepass_targets_left_total", "") == 1.0 && usable == 1.0
    });
    send_many(&site, "beside");
    leaving.set(Mode::Good);
    let answer = caller.join().expect("the caller ends");
    assert_eq!((answer.status, answer.body), (200, replica::all_events("held")));
    assert_eq!(leaving.arrivals().len(), 1, "the leaving target got more requests");
}

/// One entry forwards an announcement to the others, and to an entry that starts later.
#[test]
fn verify_an_announcement_is_forwarded_to_other_entries() {
    let mut site = site(2);
    site.add_entry("");
    site.settle(2);
    let leaving = site.replicas[0].clone();
    wait_for("the entries know each other", || site.status(0)["entries"].as_u64() == Some(2));
    announce_leaving(&site, &leaving);
    let targets_left = |site: &Site, entry: usize| {
        metric(&site.entries[entry].addr("admin"), "sablepass_targets_left_total", "")
    };
    wait_for("the other entry knows", || targets_left(&site, 1) == 1.0);
    let late = site.add_entry("");
    wait_for("an entry that starts later knows", || targets_left(&site, late) == 1.0);
    wait_for("the later entry has a configuration", || {
        site.status(late)["revision"].as_u64() > Some(0)
    });
    let before = leaving.arrivals().len();
    for entry in [1, late] {
        for number in 0..20 {
            let id = format!("other-{entry}-{number}");
            let answer = ask("POST", "/safe/x", &id, "q").send(&site.http(entry));
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    assert_eq!(leaving.arrivals().len(), before, "the leaving target got more requests");
}

/// The target's line expires, and is written again as ready by the same incarnation.
#[test]
fn verify_the_instance_list_does_not_cancel_an_announcement() {
    let site = site(2);
    let leaving = &site.replicas[0];
    announce_leaving(&site, leaving);
    let before = leaving.arrivals().len();
    let admin = site.entries[0].addr("admin");
    let listed = || metric(&admin, "sablepass_targets", "state=\"listed\"");
    site.store.remove(&format!("servers/{}", leaving.id));
    wait_for("the line has expired", || listed() == 1.0);
    site.list(leaving, "ready");
    wait_for("the target is listed again", || listed() == 2.0);
    send_many(&site, "again");
    assert_eq!(leaving.arrivals().len(), before, "the leaving target got more requests");
}

#[test]
fn verify_an_announcement_ends_with_its_incarnation() {
    let mut site = site(2);
    let leaving = site.replicas[0].clone();
    announce_leaving(&site, &leaving);
    leaving.crash();
    let restarted = leaving.new_incarnation();
    site.list(&restarted, "ready");
    site.replicas[0] = restarted;
    wait_for("the restarted target is used", || {
        send(&site, "safe", "again");
        !site.replicas[0].runs().is_empty()
    });
}

/// An entry closes its idle connections to a leaving target.
#[test]
fn verify_idle_connections_to_a_leaving_target_are_closed() {
    let site = site(1);
    let leaving = &site.replicas[0];
    let addr = site.http(0);
    let callers: Vec<_> = (0..4)
        .map(|it| {
            let addr = addr.clone();
            thread::spawn(move || ask("POST", "/stream/x", &format!("kept-{it}"), "q").send(&addr))
        })
        .collect();
    callers.into_iter().for_each(|it| drop(it.join()));
    assert!(leaving.open_connections() > 0, "the entry keeps idle connections");
    announce_leaving(&site, leaving);
    let announced_at = Instant::now();
    wait_for("all connections are closed", || leaving.open_connections() == 0);
    assert!(announced_at.elapsed() < MAX_CLOSE_TIME, "the connections were not closed early");
}

/// The header that announces that a target leaves is meant for entries and is not forwarded to
/// callers.
#[test]
fn verify_callers_do_not_see_the_announcement() {
    let site = site(1);
    site.replicas[0].leave();
    let answer = send(&site, "safe", "q");
    assert_eq!(answer.status, 200);
    assert!(!answer.fields.iter().any(|it| it == "server-leaving"), "{:?}", answer.fields);
}

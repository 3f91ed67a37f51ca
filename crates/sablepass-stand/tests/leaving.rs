// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target says in its answers that it leaves, while the instance list still has it
//! ready: whoever was told sends it nothing more.

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::{self, Mode, Replica};
use sablepass_stand::site::{Site, ask};

/// Requests that would reach a target of two, were it not known that it leaves.
const MANY: usize = 60;
/// Connections are kept for three seconds otherwise.
const KEPT: Duration = Duration::from_secs(1);

fn site(replicas: usize) -> Site {
    let mut site = Site::open(replicas);
    site.add_entry("");
    site.settle(replicas);
    site
}

fn send(site: &Site, kind: &str, id: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, "q").send(&site.http(0))
}

/// Sends requests of all kinds, one after the other, all of which are served.
fn send_many(site: &Site, label: &str) {
    for number in 0..MANY {
        let kind = ["stream", "safe", "once"][number % 3];
        let answer = send(site, kind, &format!("{label}-{number}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Sends requests until an answer of the target has said that it leaves.
fn tell(site: &Site, leaving: &Replica) {
    leaving.leave();
    let told = || leaving.arrivals().iter().any(|it| it.leaving_since.is_some());
    wait_for("it has told", || {
        send(site, "safe", "first");
        told()
    });
}

#[test]
fn verify_a_target_that_says_it_leaves_gets_nothing_more() {
    for mode in [Mode::Good, Mode::Full, Mode::Failing] {
        let site = site(2);
        let leaving = &site.replicas[0];
        leaving.set(mode);
        tell(&site, leaving);
        leaving.set(Mode::Good);
        let told = leaving.arrivals().len();
        send_many(&site, "after");
        assert_eq!(leaving.arrivals().len(), told, "{mode:?}: more was sent to it");
    }
}

/// Also in the head of a stream that runs on.
#[test]
fn verify_what_runs_at_a_target_that_leaves_runs_on() {
    let site = site(2);
    let leaving = &site.replicas[0];
    // A full one would tell a load that is taken for true until it answers again.
    site.replicas[1].set(Mode::Shed(300));
    leaving.set(Mode::Hold(2));
    leaving.leave();
    let addr = site.http(0);
    let caller = thread::spawn(move || ask("POST", "/stream/x", "held", "q").send(&addr));
    wait_for("it runs", || leaving.runs().len() == 1);
    site.replicas[1].set(Mode::Good);
    wait_for("its word is known and the other one used again", || {
        let admin = site.entries[0].addr("admin");
        let usable = metric(&admin, "sablepass_targets", "state=\"usable\"");
        metric(&admin, "sablepass_targets_left_total", "") == 1.0 && usable == 1.0
    });
    send_many(&site, "beside");
    leaving.set(Mode::Good);
    let answer = caller.join().expect("the caller ends");
    assert_eq!((answer.status, answer.body), (200, replica::all_events("held")));
    assert_eq!(leaving.arrivals().len(), 1, "more was sent to it");
}

/// Leaving is true for all: the other entries are told, and one that starts later.
#[test]
fn verify_the_other_entries_are_told() {
    let mut site = site(2);
    site.add_entry("");
    site.settle(2);
    let leaving = site.replicas[0].clone();
    wait_for("they know of each other", || site.status(0)["entries"].as_u64() == Some(2));
    tell(&site, &leaving);
    let left = |site: &Site, entry: usize| {
        metric(&site.entries[entry].addr("admin"), "sablepass_targets_left_total", "")
    };
    wait_for("the other one knows", || left(&site, 1) == 1.0);
    let late = site.add_entry("");
    wait_for("one that starts later knows", || left(&site, late) == 1.0);
    wait_for("it is ready", || site.status(late)["revision"].as_u64() > Some(0));
    let told = leaving.arrivals().len();
    for entry in [1, late] {
        for number in 0..20 {
            let id = format!("other-{entry}-{number}");
            let answer = ask("POST", "/safe/x", &id, "q").send(&site.http(entry));
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    assert_eq!(leaving.arrivals().len(), told, "more was sent to it");
}

/// Its entry in the list lapses, and one that says that it is ready is read later.
#[test]
fn verify_no_list_takes_the_word_back() {
    let site = site(2);
    let leaving = &site.replicas[0];
    tell(&site, leaving);
    let told = leaving.arrivals().len();
    let admin = site.entries[0].addr("admin");
    let listed = || metric(&admin, "sablepass_targets", "state=\"listed\"");
    site.store.remove(&format!("servers/{}", leaving.id));
    wait_for("it has lapsed", || listed() == 1.0);
    site.list(leaving, "ready");
    wait_for("it is listed again", || listed() == 2.0);
    send_many(&site, "again");
    assert_eq!(leaving.arrivals().len(), told, "more was sent to it");
}

#[test]
fn verify_the_word_holds_for_one_life() {
    let mut site = site(2);
    let leaving = site.replicas[0].clone();
    tell(&site, &leaving);
    leaving.crash();
    let next = leaving.new_incarnation();
    site.list(&next, "ready");
    site.replicas[0] = next;
    wait_for("its next life is used", || {
        send(&site, "safe", "again");
        !site.replicas[0].runs().is_empty()
    });
}

/// Connections kept for later requests have no use any more.
#[test]
fn verify_kept_connections_to_it_are_closed() {
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
    assert!(leaving.open_connections() > 0, "some are kept");
    tell(&site, leaving);
    let told = Instant::now();
    wait_for("all are closed", || leaving.open_connections() == 0);
    assert!(told.elapsed() < KEPT, "only when they would have been closed anyway");
}

/// It concerns whoever sends to the target; a caller has nothing to do with it.
#[test]
fn verify_callers_do_not_see_it() {
    let site = site(1);
    site.replicas[0].leave();
    let answer = send(&site, "safe", "q");
    assert_eq!(answer.status, 200);
    assert!(!answer.fields.iter().any(|it| it == "server-leaving"), "{:?}", answer.fields);
}

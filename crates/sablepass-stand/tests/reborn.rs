// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Targets restart under the same id. A new incarnation has no state of the earlier one, and
//! entries must not apply to it what they know of the earlier one.

use std::thread;
use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{Site, ask};

/// Body of a request that ends the target that starts to run it.
const FATAL: &str = "ends whatever runs it";

fn site(replicas: usize) -> Site {
    let mut site = Site::open(replicas);
    site.add_entry("");
    site.settle(replicas);
    site
}

fn usable(site: &Site) -> f64 {
    metric(&site.entries[0].addr("admin"), "sablepass_targets", "state=\"usable\"")
}

fn send(site: &Site, kind: &str, id: &str, body: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, body).send(&site.http(0))
}

/// Ends a replica and lists its next incarnation in its place.
fn restart(site: &mut Site, index: usize) {
    site.replicas[index].crash();
    let restarted = site.replicas[index].new_incarnation();
    site.list(&restarted, "ready");
    site.replicas[index] = restarted;
}

/// A target that left stays unused until it restarts.
#[test]
fn verify_a_target_that_left_is_used_after_its_restart() {
    let mut site = site(2);
    site.list(&site.replicas[0], "draining");
    wait_for("the draining target is not used", || usable(&site) == 1.0);
    restart(&mut site, 0);
    wait_for("the restarted target is used", || usable(&site) == 2.0);
    site.replicas[1].set(Mode::Full);
    let answer = send(&site, "safe", "next-life", "q");
    assert_eq!((answer.status, site.runs("next-life")), (200, 1));
}

/// Entries back off from a target that failed repeatedly, but not from its next incarnation.
#[test]
fn verify_failures_do_not_count_for_the_next_incarnation() {
    let mut site = site(3);
    site.replicas[0].set(Mode::Failing);
    wait_for("the entry backs off from the failing target", || {
        send(&site, "safe", "q", "q");
        usable(&site) == 2.0
    });
    restart(&mut site, 0);
    let restarted_at = std::time::Instant::now();
    wait_for("the restarted target is used", || usable(&site) == 3.0);
    assert!(restarted_at.elapsed() < Duration::from_millis(450), "{:?}", restarted_at.elapsed());
}

/// A request that must not repeat, and was in flight when its target ended, is not sent to the
/// next incarnation.
#[test]
fn verify_a_once_request_is_not_repeated_after_a_restart() {
    let mut site = site(1);
    for round in 0..8 {
        site.replicas[0].set(Mode::Hang);
        let addr = site.http(0);
        let id = format!("once-{round}");
        let caller = {
            let id = id.clone();
            thread::spawn(move || ask("POST", "/once/x", &id, &id).send(&addr))
        };
        wait_for("the request runs", || site.runs(&id) == 1);
        restart(&mut site, 0);
        let answer = caller.join().expect("the caller ends");
        assert_eq!(answer.status, 502, "nothing proves that it did not run: {answer:?}");
        assert_eq!(site.runs(&id), 0, "the next incarnation ran the request again");
        wait_for("the next incarnation serves requests", || {
            send(&site, "safe", "s", "q").status == 200
        });
    }
}

/// Each incarnation of one target ends under the same request; each end counts as evidence.
#[test]
fn verify_deaths_are_counted_per_incarnation() {
    let mut site = site(1);
    let mut ended = 0;
    for round in 0..8 {
        site.replicas[0].crash_on(FATAL);
        send(&site, "once", &format!("fatal-{round}"), FATAL);
        if site.replicas[0].crashed() {
            ended += 1;
            let restarted = site.replicas[0].new_incarnation();
            site.list(&restarted, "ready");
            site.replicas[0] = restarted;
        }
        wait_for("harmless requests are served", || send(&site, "safe", "s", "q").status == 200);
    }
    assert_eq!(ended, 2, "the request is refused after two consecutive deaths");
}

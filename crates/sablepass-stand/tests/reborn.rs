// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Targets that start anew under the id that they had: a later life holds and
//! knows nothing of the one before it, and neither does an entry.

use std::thread;
use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{Site, ask};

/// Ends a target that begins to run it.
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

/// Ends a replica and lists its next life in its place.
fn restart(site: &mut Site, index: usize) {
    site.replicas[index].crash();
    let next = site.replicas[index].new_incarnation();
    site.list(&next, "ready");
    site.replicas[index] = next;
}

/// Leaving is for good, for one life.
#[test]
fn verify_a_target_that_left_is_used_in_its_next_life() {
    let mut site = site(2);
    site.list(&site.replicas[0], "draining");
    wait_for("it is not used", || usable(&site) == 1.0);
    restart(&mut site, 0);
    wait_for("it is used again", || usable(&site) == 2.0);
    site.replicas[1].set(Mode::Full);
    let answer = send(&site, "safe", "next-life", "q");
    assert_eq!((answer.status, site.runs("next-life")), (200, 1));
}

/// A target that failed time after time is left alone; its next life is not.
#[test]
fn verify_failures_are_those_of_one_life() {
    let mut site = site(3);
    site.replicas[0].set(Mode::Failing);
    wait_for("it is left alone", || {
        send(&site, "safe", "q", "q");
        usable(&site) == 2.0
    });
    restart(&mut site, 0);
    let began = std::time::Instant::now();
    wait_for("its next life is used", || usable(&site) == 3.0);
    assert!(began.elapsed() < Duration::from_millis(450), "{:?}", began.elapsed());
}

/// What was in flight in the last life ran at most once over all lives.
#[test]
fn verify_what_must_not_repeat_runs_once_over_all_lives() {
    let mut site = site(1);
    for round in 0..8 {
        site.replicas[0].set(Mode::Hang);
        let addr = site.http(0);
        let id = format!("once-{round}");
        let caller = {
            let id = id.clone();
            thread::spawn(move || ask("POST", "/once/x", &id, &id).send(&addr))
        };
        wait_for("it runs", || site.runs(&id) == 1);
        restart(&mut site, 0);
        let answer = caller.join().expect("the caller ends");
        assert_eq!(answer.status, 502, "nothing proves that it did not run: {answer:?}");
        assert_eq!(site.runs(&id), 0, "the next life ran it again");
        wait_for("the next life serves", || send(&site, "safe", "s", "q").status == 200);
    }
}

/// One id dies under the same request life after life.
#[test]
fn verify_deaths_are_counted_by_life() {
    let mut site = site(1);
    let mut ended = 0;
    for round in 0..8 {
        site.replicas[0].crash_on(FATAL);
        send(&site, "once", &format!("fatal-{round}"), FATAL);
        if site.replicas[0].crashed() {
            ended += 1;
            let next = site.replicas[0].new_incarnation();
            site.list(&next, "ready");
            site.replicas[0] = next;
        }
        wait_for("sound ones are served", || send(&site, "safe", "s", "q").status == 200);
    }
    assert_eq!(ended, 2, "two deaths in turn are proof");
}

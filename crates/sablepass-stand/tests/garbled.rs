// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Other writers in the platform's store: real entries, with values that cannot
//! be taken among sound ones.

use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::{Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask};

/// Time in which a target whose entry is bad gets no new work any more: that
/// in which new work for a leaving one has to stop.
const STOPS: Duration = Duration::from_secs(2);
/// Values that name no replica. The first is not even base64.
const BAD: [&str; 4] = ["no base64 !", "/w==", "W10=", "eyJzZXJ2aWNlIjoib3JkZXJzIn0="];

fn site() -> Site {
    let mut site = Site::open(3);
    site.add_entry("");
    site.settle(3);
    site
}

fn spoil(site: &Site, it: &Replica, value: &str) {
    site.store.put_raw(&format!("servers/{}", it.id), value);
}

fn usable(site: &Site, entry: usize) -> f64 {
    let admin = site.entries[entry].addr("admin");
    metric(&admin, "sablepass_targets", "state=\"usable\"")
}

fn send(site: &Site, entry: usize, id: &str) -> Answer {
    ask("POST", "/safe/x", id, "q").send(&site.http(entry))
}

/// What runs there goes on; it gets nothing new; its neighbours do; and it is
/// used again once its entry reads well.
#[test]
fn verify_a_bad_entry_names_no_replica_and_hides_no_other() {
    for value in BAD {
        let site = site();
        let bad = &site.replicas[0];
        site.replicas.iter().for_each(|it| it.set(Mode::Hold(2)));
        let addr = site.http(0);
        let held: Vec<_> = (0..6)
            .map(|it| {
                let addr = addr.clone();
                std::thread::spawn(move || {
                    ask("POST", "/stream/x", &format!("held-{it}"), "p").send(&addr)
                })
            })
            .collect();
        wait_for("it holds a stream", || !bad.runs().is_empty());
        spoil(&site, bad, value);
        wait_for("it is not used", || usable(&site, 0) == 2.0);
        site.replicas.iter().for_each(|it| it.set(Mode::Good));
        for (number, it) in held.into_iter().enumerate() {
            let answer = it.join().expect("the caller ends");
            assert_eq!(answer.body, all_events(&format!("held-{number}")), "{value}");
        }
        let before = bad.runs().len();
        (0..12).for_each(|it| assert_eq!(send(&site, 0, &format!("n{it}")).status, 200));
        assert_eq!(bad.runs().len(), before, "{value}: it got new work");
        site.list(bad, "ready");
        wait_for("it is used again", || usable(&site, 0) == 3.0);
    }
}

/// An entry of this system that starts reads everything, and answers alike.
#[test]
fn verify_a_read_of_everything_says_the_same_as_a_watch() {
    let mut site = site();
    spoil(&site, &site.replicas[0], BAD[0]);
    wait_for("it is not used", || usable(&site, 0) == 2.0);
    let fresh = site.add_entry("");
    wait_for("the others are used", || usable(&site, fresh) == 2.0);
    std::thread::sleep(STOPS / 2);
    assert_eq!(usable(&site, fresh), 2.0);
    let id = format!("servers/{}", site.replicas[0].id);
    let line = |entry: usize| {
        let log = site.entries[entry].log();
        log.iter().filter(|it| it["event"] == "item not taken" && it["key"] == id).count()
    };
    assert_eq!((line(0), line(fresh)), (1, 1), "a line a change");
    let admin = site.entries[fresh].addr("admin");
    assert_eq!(metric(&admin, "sablepass_bad_items_total", "reason=\"base64\""), 1.0);
}

/// The last accepted configuration stays in force, also where the newest is no text.
#[test]
fn verify_a_bad_declaration_leaves_the_last_one_in_force() {
    for value in ["no base64 !", "/w==", "W10="] {
        let site = site();
        site.store.put_raw("op/config", value);
        let admin = site.entries[0].addr("admin");
        wait_for("it is refused", || {
            let status = site.status(0);
            status["documents"][0]["refused"].is_string()
        });
        assert_eq!(send(&site, 0, "after").status, 200, "{value}");
        assert!(metric(&admin, "sablepass_requests_total", "") >= 1.0);
        // Replicas come and go all the same.
        spoil(&site, &site.replicas[1], "no base64 !");
        wait_for("the list is read on", || usable(&site, 0) == 2.0);
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Invalid values from other writers of the platform's store: real entries must ignore them and
//! still use the valid ones.

use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::{Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask};

/// Time after which a target with an invalid entry in the store gets no more requests. The same
/// limit applies to targets that are leaving.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Values that describe no replica. The first is not even base64.
const INVALID_VALUES: [&str; 4] = ["no base64 !", "/w==", "W10=", "eyJzZXJ2aWNlIjoib3JkZXJzIn0="];

fn site() -> Site {
    let mut site = Site::open(3);
    site.add_entry("");
    site.settle(3);
    site
}

/// Overwrites a replica's entry in the store.
fn overwrite(site: &Site, replica: &Replica, value: &str) {
    site.store.put_raw(&format!("servers/{}", replica.id), value);
}

/// Number of targets that an entry can use.
fn usable(site: &Site, entry: usize) -> f64 {
    let admin = site.entries[entry].addr("admin");
    metric(&admin, "sablepass_targets", "state=\"usable\"")
}

fn send(site: &Site, entry: usize, id: &str) -> Answer {
    ask("POST", "/safe/x", id, "q").send(&site.http(entry))
}

/// Running requests of a replica with an invalid entry are completed, and new ones go to the other
/// replicas. The replica is used again once its entry is valid.
#[test]
fn verify_invalid_replica_entry_excludes_only_that_replica() {
    for value in INVALID_VALUES {
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
        wait_for("the replica runs a stream", || !bad.runs().is_empty());
        overwrite(&site, bad, value);
        wait_for("the replica with the invalid entry is not usable", || usable(&site, 0) == 2.0);
        site.replicas.iter().for_each(|it| it.set(Mode::Good));
        for (number, call) in held.into_iter().enumerate() {
            let answer = call.join().expect("the caller thread panicked");
            assert_eq!(answer.body, all_events(&format!("held-{number}")), "{value}");
        }
        let before = bad.runs().len();
        (0..12).for_each(|it| assert_eq!(send(&site, 0, &format!("n{it}")).status, 200));
        assert_eq!(bad.runs().len(), before, "{value}: the replica got new requests");
        site.list(bad, "ready");
        wait_for("the replica is usable again", || usable(&site, 0) == 3.0);
    }
}

/// An entry that starts reads all values of the store. It must treat an invalid one as an entry
/// does that received it by its watch.
#[test]
fn verify_full_read_and_watch_treat_an_invalid_value_alike() {
    let mut site = site();
    overwrite(&site, &site.replicas[0], INVALID_VALUES[0]);
    wait_for("the replica with the invalid entry is not usable", || usable(&site, 0) == 2.0);
    let fresh = site.add_entry("");
    wait_for("the other replicas are usable", || usable(&site, fresh) == 2.0);
    std::thread::sleep(DRAIN_LIMIT / 2);
    assert_eq!(usable(&site, fresh), 2.0);
    let id = format!("servers/{}", site.replicas[0].id);
    let log_lines = |entry: usize| {
        let log = site.entries[entry].log();
        log.iter().filter(|it| it["event"] == "item not taken" && it["key"] == id).count()
    };
    assert_eq!((log_lines(0), log_lines(fresh)), (1, 1), "expected one log line per change");
    let admin = site.entries[fresh].addr("admin");
    assert_eq!(metric(&admin, "sablepass_bad_items_total", "reason=\"base64\""), 1.0);
}

/// The last accepted configuration stays in force, even if the newest is not text.
#[test]
fn verify_invalid_configuration_leaves_the_last_one_in_force() {
    for value in ["no base64 !", "/w==", "W10="] {
        let site = site();
        site.store.put_raw("op/config", value);
        let admin = site.entries[0].addr("admin");
        wait_for("the configuration is refused", || {
            let status = site.status(0);
            status["documents"][0]["refused"].is_string()
        });
        assert_eq!(send(&site, 0, "after").status, 200, "{value}");
        assert!(metric(&admin, "sablepass_requests_total", "") >= 1.0);
        // The entry still follows changes of the instance list.
        overwrite(&site, &site.replicas[1], "no base64 !");
        wait_for("the replica with the invalid entry is not usable", || usable(&site, 0) == 2.0);
    }
}

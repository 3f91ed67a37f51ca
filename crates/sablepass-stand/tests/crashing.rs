// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A request that ends each target that begins to run it.
//!
//! Seen: targets of one service ended one after the other, each a moment after it
//! was back, until most of the service's time was lost to them. How it came about:
//! a caller's request ended its target, and came again under a new id, at any entry.
//! Cause: what an entry knew of a request died with the attempt, and was told to no
//! other entry, so that each of them took it for a new one each time. Proof: the
//! same fingerprint on the lines of the entries about all targets that ended.

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::{Group, Replica};
use sablepass_stand::site::{Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Body of the request.
const FATAL: &str = "ends whatever runs it";
/// Targets that it may end: two prove it, and one may run it at the same time.
const MOST: usize = 3;
/// How often it comes.
const ROUNDS: usize = 12;
/// How long the list names a target that ended.
const LEASE: Duration = Duration::from_millis(300);

fn is_fatal_to(replicas: &[Replica]) {
    replicas.iter().for_each(|it| it.crash_on(FATAL));
}

/// Entries before six targets that end as they begin to run the request.
fn site(entries: usize) -> Site {
    let mut site = Site::open(6);
    for _ in 0..entries {
        site.add_entry("");
    }
    site.settle(6);
    is_fatal_to(&site.replicas);
    site
}

fn ended(site: &Site) -> usize {
    site.replicas.iter().filter(|it| it.crashed()).count()
}

/// Takes targets that ended off the list, and starts as many under new ids,
/// until no more end: one that was told to drop the request may have begun it.
fn replace(site: &mut Site, known: &mut usize) {
    while ended(site) > *known {
        thread::sleep(LEASE);
        let fresh = ended(site) - *known;
        *known += fresh;
        for it in site.replicas.iter().filter(|it| it.crashed()) {
            site.store.remove(&format!("servers/{}", it.id));
        }
        for _ in 0..fresh {
            let index = site.add_replica("orders");
            site.replicas[index].crash_on(FATAL);
        }
        let live = site.replicas.len() - *known;
        site.settle(live);
    }
}

fn send(site: &Site, entry: usize, kind: &str, id: &str, body: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, body).send(&site.http(entry))
}

#[test]
fn verify_a_request_that_ends_its_targets_is_sent_to_no_more_of_them() {
    for kind in ["stream", "safe", "once"] {
        let mut site = site(3);
        let mut known = 0;
        for round in 0..ROUNDS {
            send(&site, round % 3, kind, &format!("{kind}-{round}"), FATAL);
            replace(&mut site, &mut known);
            let id = format!("{kind}-sound-{round}");
            let sound = send(&site, (round + 1) % 3, kind, &id, "ends nothing");
            assert_eq!(sound.status, 200, "{kind}: {sound:?}");
        }
        assert!(known <= MOST, "{kind}: {known} targets ended");
    }
}

/// Several copies at once, at all entries.
#[test]
fn verify_copies_at_once_end_no_more_targets_once_it_is_known() {
    let mut site = site(3);
    let mut known = 0;
    for round in 0..ROUNDS {
        let before = known;
        let copy = |entry: usize| {
            let addr = site.http(entry);
            let id = format!("copy-{round}-{entry}");
            thread::spawn(move || ask("POST", "/stream/x", &id, FATAL).send(&addr))
        };
        let copies: Vec<_> = (0..3).map(copy).collect();
        copies.into_iter().for_each(|it| drop(it.join()));
        replace(&mut site, &mut known);
        assert!(before < 2 || known == before, "round {round}: {before}, then {known} ended");
    }
}

/// It is refused at once, with a time to come back, as what has not run.
#[test]
fn verify_what_ends_its_targets_is_refused_at_once() {
    let site = site(1);
    for round in 0..4 {
        send(&site, 0, "once", &format!("first-{round}"), FATAL);
    }
    let arrived = Instant::now();
    let refused = send(&site, 0, "once", "again", FATAL);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(arrived.elapsed() < Duration::from_millis(200), "{:?}", arrived.elapsed());
    assert_eq!(site.runs("again"), 0, "what is told not to have run has not");
    let admin = site.entries[0].addr("admin");
    let count = metric(&admin, "sablepass_refusals_total", "reason=\"ends-targets\"");
    assert!(count >= 1.0, "refusals are counted by their reason: {count}");
}

/// Entries keep nothing. What they found out outlasts them beside the targets.
#[test]
fn verify_entries_that_start_anew_learn_what_ends_targets() {
    let mut beside = SiteWithAgents::spawn(6);
    let site = &mut beside.site;
    is_fatal_to(&site.replicas);
    for round in 0..4 {
        send(site, 0, "stream", &format!("before-{round}"), FATAL);
    }
    let before = ended(site);
    assert!(before <= MOST, "{before} targets ended");
    site.entries[0].kill();
    let entry = site.add_entry(&beside.more);
    beside.wait_for_agents(entry);
    for round in 0..4 {
        send(&beside.site, entry, "stream", &format!("after-{round}"), FATAL);
    }
    assert_eq!(ended(&beside.site), before, "the new entry sent it on");
}

/// Ranks of one group stop together: one more end would cost all that the service runs, so
/// that what a rank ended under is not tried at the others. What did not run there is.
#[test]
fn verify_what_a_rank_ended_under_is_not_tried_at_the_others() {
    let beside = SiteWithAgents::spawn(4);
    let site = &beside.site;
    is_fatal_to(&site.replicas);
    let group = Group { open: true, size: 4, steps: true };
    site.replicas.iter().for_each(|it| it.report_group(group));
    let admin = site.entries[0].addr("admin");
    send(site, 0, "once", "first", FATAL);
    wait_for("its end is known", || metric(&admin, "sablepass_deaths_total", "") >= 1.0);
    for round in 0..4 {
        let again = send(site, 0, "once", &format!("again-{round}"), FATAL);
        assert_eq!(again.status, 503, "{again:?}");
    }
    assert_eq!(ended(site), 1, "it was tried again");
    wait_for("what did not run there is served", || {
        send(site, 0, "once", "innocent", "ends nothing").status == 200
    });
}

/// Longer than nobody tries what two targets ended under at one moment.
const PAUSED: Duration = Duration::from_millis(30_500);

/// Sends a request to two entries at once, so that two targets end under it at one moment,
/// which does not prove that it was the cause.
fn two_end_at_once() -> Site {
    for attempt in 0..20 {
        let site = site(3);
        let copy = |entry: usize| {
            let addr = site.http(entry);
            let id = format!("pair-{attempt}-{entry}");
            thread::spawn(move || ask("POST", "/once/x", &id, FATAL).send(&addr))
        };
        let copies: Vec<_> = (0..2).map(copy).collect();
        copies.into_iter().for_each(|it| drop(it.join()));
        if ended(&site) != 2 {
            continue;
        }
        let known = |entry: usize| {
            let status = site.status(entry);
            let suspect = &status["suspects"][0];
            let deaths = suspect["deaths"].as_array().map_or(0, Vec::len);
            (deaths, suspect["held_until"].is_null())
        };
        wait_for("both ends are known", || (0..3).all(|it| known(it).0 == 2));
        if known(0).1 {
            return site;
        }
    }
    panic!("no two targets ended at one moment");
}

/// Two ends of one moment prove nothing. What comes once nobody waits any longer is tried by
/// one entry, not by each that a copy reaches.
#[test]
fn verify_copies_after_two_ends_at_once_end_one_more_target_at_most() {
    let site = two_end_at_once();
    thread::sleep(PAUSED);
    let copy = |entry: usize| {
        let addr = site.http(entry);
        let id = format!("later-{entry}");
        thread::spawn(move || ask("POST", "/once/x", &id, FATAL).send(&addr))
    };
    let copies: Vec<_> = (0..3).map(copy).collect();
    copies.into_iter().for_each(|it| drop(it.join()));
    assert!(ended(&site) <= MOST, "2, then {} targets ended", ended(&site));
}

/// What two targets ended under by chance is served again everywhere, once one entry has
/// seen it run.
#[test]
fn verify_what_two_targets_ended_under_by_chance_is_served_again() {
    let site = two_end_at_once();
    site.replicas.iter().for_each(|it| it.crash_on("something else"));
    thread::sleep(PAUSED);
    wait_for("all entries serve it", || {
        (0..3).all(|entry| send(&site, entry, "once", "innocent", FATAL).status == 200)
    });
    assert_eq!(ended(&site), 2);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A request ends each target that starts to run it. Entries must block it before it ends more
//! targets than they need to identify it.
//!
//! Guards against a fault in which the targets of one service ended one after another, each
//! shortly after its restart, until the service was unavailable most of the time. A caller
//! repeated the request under a new id at any entry. Entries dropped what they knew of a request
//! with the attempt and didn't send it to other entries, so that each took it for a new request
//! each time.

mod common;

use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use common::crashes::{ended, replace_ended};
use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::replica::{Group, Replica};
use sablepass_stand::site::{Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Body of the request that ends its targets.
const FATAL: &str = "ends whatever runs it";
/// Maximum number of targets that the request may end: two identify it, and a third may run it concurrently.
const MAX_ENDED: usize = 3;
/// Time within which agents report the group of their ranks.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// How many times the request is sent.
const ROUNDS: usize = 12;
fn end_all_on_fatal(replicas: &[Replica]) {
    replicas.iter().for_each(|it| it.crash_on(FATAL));
}

/// A site of `entries` entries and six targets that end when they start to run the request.
fn site(entries: usize) -> Site {
    let mut site = Site::open(6);
    for _ in 0..entries {
        site.add_entry("");
    }
    site.settle(6);
    end_all_on_fatal(&site.replicas);
    site
}

fn send(site: &Site, entry: usize, kind: &str, id: &str, body: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, body).send(&site.http(entry))
}

#[test]
fn verify_a_request_that_ends_its_targets_is_blocked() {
    for kind in ["stream", "safe", "once"] {
        let mut site = site(3);
        let mut replaced = 0;
        for round in 0..ROUNDS {
            send(&site, round % 3, kind, &format!("{kind}-{round}"), FATAL);
            replace_ended(&mut site, &mut replaced, |it| it.crash_on(FATAL));
            let id = format!("{kind}-sound-{round}");
            let harmless = send(&site, (round + 1) % 3, kind, &id, "ends nothing");
            assert_eq!(harmless.status, 200, "{kind}: {harmless:?}");
        }
        assert!(replaced <= MAX_ENDED, "{kind}: {replaced} targets ended");
    }
}

/// Concurrent duplicates of the request arrive at all entries in each round.
#[test]
fn verify_concurrent_duplicates_end_no_more_targets_once_blocked() {
    let mut site = site(3);
    let mut replaced = 0;
    for round in 0..ROUNDS {
        let before = replaced;
        let duplicate = |entry: usize| {
            let addr = site.http(entry);
            let id = format!("copy-{round}-{entry}");
            thread::spawn(move || ask("POST", "/stream/x", &id, FATAL).send(&addr))
        };
        let duplicates: Vec<_> = (0..3).map(duplicate).collect();
        duplicates.into_iter().for_each(|it| drop(it.join()));
        replace_ended(&mut site, &mut replaced, |it| it.crash_on(FATAL));
        assert!(
            before < 2 || replaced == before,
            "round {round}: {before}, then {replaced} targets ended"
        );
    }
}

/// A blocked request is refused at once with status 503, as one that has not run and may be
/// retried later.
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
    assert_eq!(site.runs("again"), 0, "a request that was refused as not run has run");
    let admin = site.entries[0].addr("admin");
    let count = metric(&admin, "sablepass_refusals_total", "reason=\"ends-targets\"");
    assert!(count >= 1.0, "refusals for the reason ends-targets: {count}");
}

/// Entries store nothing; agents keep the suspects that entries found. A restarted entry gets
/// them from there.
#[test]
fn verify_restarted_entries_block_known_suspects() {
    let mut beside = SiteWithAgents::spawn(6);
    let site = &mut beside.site;
    end_all_on_fatal(&site.replicas);
    for round in 0..4 {
        send(site, 0, "stream", &format!("before-{round}"), FATAL);
    }
    let before = ended(site);
    assert!(before <= MAX_ENDED, "{before} targets ended");
    site.entries[0].kill();
    let entry = site.add_entry(&beside.more);
    beside.wait_for_agents(entry);
    for round in 0..4 {
        send(&beside.site, entry, "stream", &format!("after-{round}"), FATAL);
    }
    assert_eq!(ended(&beside.site), before, "the new entry forwarded the request");
}

/// A group of ranks that end when they start to run the request, of which the first `reporting`
/// report that they belong to it.
fn group(reporting: usize) -> SiteWithAgents {
    let beside = SiteWithAgents::spawn(4);
    end_all_on_fatal(&beside.site.replicas);
    let group = Group { open: true, size: 4, steps: true };
    beside.site.replicas[..reporting].iter().for_each(|it| it.report_group(group));
    beside
}

/// Ends a rank with the request, and checks that the request is not tried at the others.
fn check_other_ranks_are_spared(site: &Site) {
    let admin = site.entries[0].addr("admin");
    send(site, 0, "once", "first", FATAL);
    wait_for("the entry knows that the rank ended", || {
        metric(&admin, "sablepass_deaths_total", "") >= 1.0
    });
    for round in 0..4 {
        let again = send(site, 0, "once", &format!("again-{round}"), FATAL);
        assert_eq!(again.status, 503, "{again:?}");
    }
    assert_eq!(ended(site), 1, "the request was tried again");
}

/// Ranks of one group stop together, so that one more end would cost all requests that the
/// service runs. A request under which one rank ended is not tried at the others; requests that
/// did not run at this rank are.
#[test]
fn verify_a_request_that_ended_a_rank_is_not_tried_at_other_ranks() {
    let beside = group(4);
    check_other_ranks_are_spared(&beside.site);
    wait_for("a request that did not run at the rank is served", || {
        send(&beside.site, 0, "once", "innocent", "ends nothing").status == 200
    });
}

/// Guards against trying a request at other ranks of a group because some ranks, as the one that
/// ended, have not reported their group.
#[test]
fn verify_ranks_that_have_not_reported_count_for_the_group() {
    let beside = group(2);
    thread::sleep(REPORT_TIME);
    check_other_ranks_are_spared(&beside.site);
}

/// Slightly longer than the 30 s for which entries block a request under which two targets ended
/// at the same time.
const TRIAL_PAUSE: Duration = Duration::from_millis(30_500);

/// Sends a request to two entries at once until two targets end under it at the same time, which
/// does not prove that the request was the cause. Neither target ends before both requests have
/// started; the attempt fails only if both reach the same target.
fn site_with_two_simultaneous_deaths() -> Site {
    for attempt in 0..20 {
        let site = site(3);
        let barrier = Arc::new(Barrier::new(2));
        site.replicas.iter().for_each(|it| it.crash_together_on(FATAL, &barrier));
        let duplicate = |entry: usize| {
            let addr = site.http(entry);
            let id = format!("pair-{attempt}-{entry}");
            thread::spawn(move || ask("POST", "/once/x", &id, FATAL).send(&addr))
        };
        let duplicates: Vec<_> = (0..2).map(duplicate).collect();
        duplicates.into_iter().for_each(|it| drop(it.join()));
        if ended(&site) != 2 {
            continue;
        }
        let suspect_state = |entry: usize| {
            let status = site.status(entry);
            let suspect = &status["suspects"][0];
            let deaths = suspect["deaths"].as_array().map_or(0, Vec::len);
            (deaths, suspect["held_until"].is_null())
        };
        wait_for("all entries know of both deaths", || (0..3).all(|it| suspect_state(it).0 == 2));
        if suspect_state(0).1 {
            end_all_on_fatal(&site.replicas);
            return site;
        }
    }
    panic!("no two targets ended at one moment");
}

/// Two simultaneous deaths prove nothing, so that the request is tried again once the block is
/// over. Only one entry may try it, even if duplicates reach all entries.
#[test]
fn verify_duplicates_after_two_simultaneous_deaths_end_at_most_one_more_target() {
    let site = site_with_two_simultaneous_deaths();
    thread::sleep(TRIAL_PAUSE);
    let duplicate = |entry: usize| {
        let addr = site.http(entry);
        let id = format!("later-{entry}");
        thread::spawn(move || ask("POST", "/once/x", &id, FATAL).send(&addr))
    };
    let duplicates: Vec<_> = (0..3).map(duplicate).collect();
    duplicates.into_iter().for_each(|it| drop(it.join()));
    assert!(ended(&site) <= MAX_ENDED, "2 targets ended at first, {} in total", ended(&site));
}

/// A request under which two targets ended by chance is served again by all entries once one
/// entry has seen it complete.
#[test]
fn verify_what_two_targets_ended_under_by_chance_is_served_again() {
    let site = site_with_two_simultaneous_deaths();
    site.replicas.iter().for_each(|it| it.crash_on("something else"));
    thread::sleep(TRIAL_PAUSE);
    wait_for("all entries serve the request", || {
        (0..3).all(|entry| send(&site, entry, "once", "innocent", FATAL).status == 200)
    });
    assert_eq!(ended(&site), 2);
}

/// Guards against sending requests to a target after another entry reported its end: the instance
/// list shows it for seconds, and a request whose attempts all go to such targets fails.
#[test]
fn verify_entries_avoid_a_target_once_another_reports_its_end() {
    let site = site(2);
    send(&site, 0, "once", "fatal", FATAL);
    let admin = site.entries[1].addr("admin");
    wait_for("the other entry was told", || {
        metric(&admin, "sablepass_deaths_total", "told") >= 1.0
    });
    for number in 0..30 {
        let sound = send(&site, 1, "safe", &format!("sound-{number}"), "ends nothing");
        assert_eq!(sound.status, 200, "{sound:?}");
    }
    assert_eq!(metric(&admin, "sablepass_retries_total", ""), 0.0, "attempts at the ended target");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target that names how many requests a second it takes from all entries together.
//!
//! Seen: a target that named one request a second went on to get as many as all others,
//! twelve and more in four seconds, from entries that it had told.
//! How it came about: nothing else changed for it; it had as little load as the others, so that
//! all entries went on to choose it among all.
//! Cause: neither entries nor agents read that field of an answer, and nothing in them could
//! keep a number of requests a second that belongs to all entries together.
//! Proof: with real entries and each way to a target, it got hundreds in four seconds.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, Ask, metric, wait_for};
use sablepass_stand::limits;
use sablepass_stand::replica::{Arrival, Replica};
use sablepass_stand::site::Site;

/// Entries of a small site.
const ENTRIES: usize = 5;
/// Callers at each entry.
const CALLERS: usize = 2;
/// Time between an answer and its caller's next request.
const PAUSE: Duration = Duration::from_millis(20);
/// How long they call: the time from which a limit binds, and more than one span after it.
const LASTS: Duration = Duration::from_millis(limits::GRACE_MS + 2 * limits::WINDOW_MS);

/// Callers at so many entries, who send requests of all kinds for so long.
fn call(site: &Site, entries: usize, label: &str, lasts: Duration) -> Vec<Answer> {
    let callers = common::Callers { entries, each: CALLERS, pause: PAUSE };
    callers.call(site, label, lasts)
}

fn keeps(arrivals: &[Arrival], limit: f64) {
    let (most, allowed) = limits::busiest_window(arrivals, limit).expect("it was sent something");
    assert!(most as f64 <= allowed, "{most} requests in a span, {allowed} are allowed");
}

#[test]
fn verify_a_target_gets_no_more_than_it_takes() {
    let site = common::site(3, ENTRIES);
    site.replicas[0].set_limit(Some(1.0));
    let answers = call(&site, ENTRIES, "limited", LASTS);
    keeps(&site.replicas[0].arrivals(), 1.0);
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(unserved.is_empty(), "the others have room for all: {unserved:?}");
}

/// In one answer in three: the others do not mean that it is over.
#[test]
fn verify_a_limit_holds_that_few_answers_name() {
    let site = common::site(3, 2);
    site.replicas[0].set_limit(Some(1.0));
    site.replicas[0].set_limit_interval(3);
    call(&site, 2, "few", LASTS);
    keeps(&site.replicas[0].arrivals(), 1.0);
}

/// The field that cannot be read changes nothing, whatever stands there.
#[test]
fn verify_what_is_no_rate_is_counted_and_changes_nothing() {
    let site = common::site(2, 1);
    let garbled = &site.replicas[0];
    for text in ["many", "-1", "NaN", "2/s", "1, 2", ""] {
        garbled.set_limit_text(text);
        let before = garbled.runs().len();
        call(&site, 1, "garbled", Duration::from_millis(400));
        assert!(garbled.runs().len() > before + 5, "{text:?}: it is used as before");
    }
    let admin = site.entries[0].addr("admin");
    assert!(metric(&admin, "sablepass_limits_named_total", "limit=\"unread\"") > 30.0);
    assert_eq!(metric(&admin, "sablepass_targets", "state=\"limited\""), 0.0);
}

/// It is lowered, raised and ends; soon after that the target gets as much as the others.
#[test]
fn verify_a_limit_follows_what_its_target_says() {
    let site = common::site(3, 2);
    let limited = &site.replicas[0];
    for limit in [20.0, 2.0, 8.0] {
        limited.set_limit(Some(limit));
        call(&site, 2, &format!("at-{limit}"), LASTS);
        keeps(&limited.arrivals(), limit);
    }
    limited.set_limit(None);
    let ended = Instant::now();
    wait_for("all entries know that it is over", || {
        call(&site, 2, "over", Duration::from_millis(200));
        site.entries
            .iter()
            .all(|it| metric(&it.addr("admin"), "sablepass_targets", "state=\"limited\"") == 0.0)
    });
    // Three answers at eight a second, and a second until the others believe it.
    assert!(ended.elapsed() < Duration::from_secs(4), "{:?}", ended.elapsed());
    let before: Vec<usize> = site.replicas.iter().map(|it| it.runs().len()).collect();
    call(&site, 2, "after", Duration::from_secs(2));
    let runs = site.replicas.iter().zip(before).map(|(it, before)| it.runs().len() - before);
    let runs: Vec<usize> = runs.collect();
    assert!(runs[0] * 6 > runs.iter().sum(), "it gets about a third again: {runs:?}");
}

/// Its entry in the list lapses and comes back: it is the same life.
#[test]
fn verify_no_list_ends_a_limit() {
    let site = common::site(3, 2);
    let limited = &site.replicas[0];
    limited.set_limit(Some(1.0));
    call(&site, 2, "first", Duration::from_millis(500));
    site.store.remove(&format!("servers/{}", limited.id));
    site.settle(2);
    site.list(limited, "ready");
    site.settle(3);
    call(&site, 2, "back", LASTS);
    keeps(&limited.arrivals(), 1.0);
}

#[test]
fn verify_a_limit_ends_with_the_life_that_named_it() {
    let mut site = common::site(2, 2);
    site.replicas[0].set_limit(Some(0.1));
    call(&site, 2, "first", Duration::from_millis(500));
    site.replicas[0].crash();
    let next = site.replicas[0].new_incarnation();
    site.list(&next, "ready");
    site.replicas[0] = next;
    wait_for("its next life gets as many as come", || {
        call(&site, 2, "next", Duration::from_millis(200));
        site.replicas[0].runs().len() > 20
    });
}

/// What nobody reads may be how a target wants to be used: it shows before it does harm.
#[test]
fn verify_fields_that_nobody_reads_are_counted() {
    let site = common::site(2, 1);
    site.replicas[0].set_extra_header(Some("server-mood: low"));
    call(&site, 1, "mood", Duration::from_millis(500));
    let admin = site.entries[0].addr("admin");
    assert!(metric(&admin, "sablepass_fields_unread_total", "field=\"server-mood\"") > 1.0);
    let log = site.entries[0].log();
    let lines = log.iter().filter(|it| it["event"] == "field of an answer unread");
    assert_eq!(lines.count(), 1, "once for the target");
}

/// Callers come at one entry only, and all targets have limits: all of these are used, and
/// whoever gets nothing is told so at once, and when there is something.
#[test]
fn verify_all_of_a_limit_is_used_where_no_other_target_is_there() {
    let site = common::site(2, 3);
    let limits = [2.0, 4.0];
    let name = |it: (&Replica, f64)| it.0.set_limit(Some(it.1));
    site.replicas.iter().zip(limits).for_each(name);
    let answers = call(&site, 1, "one", LASTS);
    let seconds = LASTS.as_secs_f64();
    let served = answers.iter().filter(|it| it.status == 200).count() as f64;
    let least = 0.8 * 6.0 * seconds;
    assert!(served > least, "{served} of {} were served, at least {least}", answers.len());
    for (it, limit) in site.replicas.iter().zip(limits) {
        keeps(&it.arrivals(), limit);
    }
    let refused: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(refused.iter().all(|it| it.status == 503 && it.ran != "ran"), "{refused:?}");
    let told = refused.iter().filter_map(|it| it.retry_after.parse::<f64>().ok());
    let told: Vec<f64> = told.collect();
    assert_eq!(told.len(), refused.len(), "all are told when to come back");
    // One of the two takes a request in 0.25 s at the latest; as long again spreads them.
    assert!(told.iter().all(|it| *it < 1.0), "{told:?}");
    for entry in &site.entries {
        let fault = metric(&entry.addr("admin"), "sablepass_sent_over_limit_total", "");
        assert_eq!(fault, 0.0, "an entry sent over its part");
    }
}

/// Entries end, are stopped, go on and start anew meanwhile.
#[test]
fn verify_a_limit_holds_while_entries_come_and_go() {
    let mut site = common::site(3, 4);
    let limited = site.replicas[0].clone();
    limited.set_limit(Some(1.0));
    for round in 0..3 {
        call(&site, 4, &format!("before-{round}"), Duration::from_secs(2));
        let changed = round + 1;
        if round == 1 {
            site.entries[changed].pause();
            call(&site, 1, &format!("stopped-{round}"), Duration::from_secs(3));
            site.entries[changed].resume();
        } else {
            drop(site.entries.remove(changed));
            call(&site, 1, &format!("ended-{round}"), Duration::from_secs(2));
            site.add_entry("");
        }
    }
    call(&site, 4, "last", LASTS);
    keeps(&limited.arrivals(), 1.0);
}

/// Targets with an agent before them: the agent sees what all entries send.
#[test]
fn verify_an_engine_behind_its_agent_gets_no_more_than_it_takes() {
    let mut fleet = common::fleet(false);
    fleet.add_entry("entry-2", "ba-1", "");
    fleet.settle(3, 1);
    let limited = &fleet.targets[0];
    limited.set_limit(Some(1.0));
    let addrs = [fleet.http(0), fleet.http(1)];
    let until = Instant::now() + LASTS;
    let caller = |addr: &str, label: &str| {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let word = format!("{label}{number}");
            let answer = Ask::chat(common::FARM, "triage", &word, 2, true).send(addr);
            assert_eq!(answer.status, 200, "another engine has room: {answer:?}");
        }
    };
    thread::scope(|scope| {
        scope.spawn(|| caller(&addrs[0], "one"));
        scope.spawn(|| caller(&addrs[1], "two"));
    });
    let at = |it: &serde_json::Value| it["at"].as_u64().unwrap_or_default();
    let arrival = |it| Arrival { at: at(it), limit: Some(1.0), ..Arrival::default() };
    keeps(&limited.runs().iter().map(arrival).collect::<Vec<Arrival>>(), 1.0);
}

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

use sablepass_stand::client::{Answer, Ask};
use sablepass_stand::limits;
use sablepass_stand::replica::Arrival;
use sablepass_stand::site::{Site, ask};

/// Entries of a small site.
const ENTRIES: usize = 5;
/// Callers at each entry.
const CALLERS: usize = 2;
/// How long they call: the time from which a limit binds, and more than one span after it.
const LASTS: Duration = Duration::from_millis(limits::CONTACT + 2 * limits::SPAN);

fn site(replicas: usize, entries: usize) -> Site {
    let mut site = Site::open(replicas);
    for _ in 0..entries {
        site.add_entry("");
    }
    site.settle(replicas);
    site
}

/// Callers who send requests of all kinds to all entries, each after its answer to the one
/// before it, for so long. What they were answered.
fn call(site: &Site, entries: usize, label: &str, lasts: Duration) -> Vec<Answer> {
    let until = Instant::now() + lasts;
    let caller = |entry: usize, caller: usize| {
        let kinds = ["stream", "safe", "once"].iter().cycle();
        let numbered = kinds.zip(0..).take_while(|_| Instant::now() < until);
        let answers = numbered.map(|(kind, number)| {
            thread::sleep(Duration::from_millis(20));
            let id = format!("{entry}-{label}-{caller}-{number}");
            ask("POST", &format!("/{kind}/x"), &id, "q").send(&site.http(entry))
        });
        answers.collect::<Vec<Answer>>()
    };
    thread::scope(|scope| {
        let all = (0..entries).flat_map(|entry| (0..CALLERS).map(move |it| (entry, it)));
        let threads: Vec<_> =
            all.map(|(entry, it)| scope.spawn(move || caller(entry, it))).collect();
        threads.into_iter().flat_map(|it| it.join().expect("a caller ends")).collect()
    })
}

fn keeps(arrivals: &[Arrival], limit: f64) {
    let (most, allowed) = limits::fullest_span(arrivals, limit).expect("it was sent something");
    assert!(most as f64 <= allowed, "{most} requests in a span, {allowed} are allowed");
}

#[test]
fn verify_a_target_gets_no_more_than_it_takes() {
    let site = site(3, ENTRIES);
    site.replicas[0].name_limit(Some(1.0));
    let answers = call(&site, ENTRIES, "limited", LASTS);
    keeps(&site.replicas[0].arrivals(), 1.0);
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(unserved.is_empty(), "the others have room for all: {unserved:?}");
}

/// Targets with an agent before them: the agent sees what all entries send.
#[test]
fn verify_an_engine_behind_its_agent_gets_no_more_than_it_takes() {
    let mut fleet = common::fleet(false);
    fleet.add_entry("entry-2", "ba-1", "");
    fleet.settle(3, 1);
    let limited = &fleet.targets[0];
    limited.name_limit(Some(1.0));
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

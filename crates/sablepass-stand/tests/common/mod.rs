// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Helpers shared by the integration tests: a small fleet or site, callers, and checks of their
//! answers.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

pub mod crashes;
pub mod crowd;
pub mod crowd_site;
pub mod endless;
pub mod invalid;
pub mod load;
pub mod raw;
pub mod running;
pub mod waiting;

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Target, Timers};
use sablepass_stand::site::{self, Site};

/// API key of a customer of the partner Tatranská.
pub const FARM: &str = "tatranska:key-build-farm";
/// API key of a customer of the partner Masa Norte.
pub const BAKER: &str = "masa:key-baker-01";

/// Configuration of Tatranská: two model targets, one service target and a customer.
pub const TATRANSKA: &str = r#"
[[target]]
name = "t1"
serves = "triage"
hall = "ba-1"
capacity = 16
[[target]]
name = "t2"
serves = "triage"
hall = "ba-1"
capacity = 16
[[target]]
name = "s1"
kind = "service"
serves = "claims"
hall = "ba-1"
capacity = 16
[[customer]]
name = "farm"
key = "tatranska:key-build-farm"
share = 10
priority = "urgent"
"#;

/// Configuration of Masa Norte: a customer and no targets.
pub const MASA: &str = r#"
[[customer]]
name = "baker"
key = "masa:key-baker-01"
share = 10
"#;

/// Starts two model targets, a service target and an entry, and waits until they are ready.
/// With `proxied`, connections to the targets run through a fault-injecting proxy.
pub fn fleet(proxied: bool) -> Fleet {
    fleet_with(Timers::default(), proxied)
}

/// Like [`fleet`], with the given timers.
pub fn fleet_with(timers: Timers, proxied: bool) -> Fleet {
    let mut fleet = Fleet::open(timers);
    fleet.publish("tatranska/main.toml", TATRANSKA);
    let revision = fleet.publish("masa/main.toml", MASA);
    fleet.add_target("tatranska/t1", "ba-1", Serves::Model(4), proxied);
    fleet.add_target("tatranska/t2", "ba-1", Serves::Model(4), proxied);
    fleet.add_target("tatranska/s1", "ba-1", Serves::Service(0), proxied);
    fleet.add_entry("entry-1", "ba-1", "");
    fleet.settle(3, revision);
    fleet
}

/// A request's answer and what is expected of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Text that occurs in this request only, by which its runs are found in the targets' logs.
    pub marker: String,
    /// The request must not run more than once.
    pub once: bool,
    /// Text that a complete answer must have.
    pub expected: String,
    /// Answer that the caller received.
    pub answer: Answer,
}

/// Asserts that answers agree with the targets' run logs: a request marked `once` ran at most
/// once, one answered `not-run` never ran, and a complete answer has the expected text.
pub fn check_outcomes(fleet: &Fleet, outcomes: &[Outcome]) {
    let logs: Vec<String> =
        fleet.targets.iter().flat_map(Target::runs).map(|it| it.to_string()).collect();
    for outcome in outcomes {
        let runs = logs.iter().filter(|log| log.contains(&outcome.marker)).count();
        assert!(
            !outcome.once || runs <= 1,
            "{} ran {runs} times: {:?}",
            outcome.marker,
            outcome.answer
        );
        let not_run = outcome.answer.ran == "not-run";
        assert!(
            !not_run || runs == 0,
            "{} was answered not-run but ran {runs} times: {:?}",
            outcome.marker,
            outcome.answer
        );
        if outcome.answer.status == 200
            && outcome.answer.reason().is_empty()
            && outcome.answer.ran == "ran"
        {
            assert_eq!(
                outcome.answer.text(),
                outcome.expected,
                "{}: {:?}",
                outcome.marker,
                outcome.answer
            );
        }
    }
}

/// Returns the text of a complete answer of `tokens` tokens.
pub fn expected(marker: &str, tokens: u64) -> String {
    (0..tokens).map(|it| format!("{marker}:{it} ")).collect()
}

/// Waits until a target runs a request and returns the target's index.
pub fn busy_target(fleet: &Fleet) -> usize {
    let mut found = None;
    wait_for("a target runs a request", || {
        let running = |it: &Target| it.runs().iter().any(|run| run["end"] == "running");
        found = fleet.targets.iter().position(running);
        found.is_some()
    });
    found.unwrap_or_default()
}

/// Returns the current time in milliseconds since the Unix epoch, as callers state it as the issue
/// time of an idempotency key.
pub fn now_text() -> String {
    sablepass_edge::clock::now().to_string()
}

/// Starts a site with this many replicas and entries, and waits until it is ready.
pub fn site(replicas: usize, entries: usize) -> Site {
    let mut site = Site::open(replicas);
    for _ in 0..entries {
        site.add_entry("");
    }
    site.settle(replicas);
    site
}

/// Callers of a site, and how often they send requests.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Number of entries that receive requests.
    pub entries: usize,
    /// Callers per entry.
    pub each: usize,
    /// Pause between an answer and the caller's next request.
    pub pause: Duration,
}

impl Callers {
    /// Sends requests of all kinds for the time `lasts` and returns the answers. Request ids begin
    /// with the entry's index.
    pub fn call(self, site: &Site, label: &str, lasts: Duration) -> Vec<Answer> {
        let until = Instant::now() + lasts;
        let caller = |entry: usize, caller: usize| {
            let kinds = ["stream", "safe", "once"].iter().cycle();
            let numbered = kinds.zip(0..).take_while(|_| Instant::now() < until);
            let answers = numbered.map(|(kind, number)| {
                thread::sleep(self.pause);
                let id = format!("{entry}-{label}-{caller}-{number}");
                site::ask("POST", &format!("/{kind}/x"), &id, "q").send(&site.http(entry))
            });
            answers.collect::<Vec<Answer>>()
        };
        thread::scope(|scope| {
            let all = (0..self.entries)
                .flat_map(|entry| (0..self.each).map(move |number| (entry, number)));
            let threads: Vec<_> =
                all.map(|(entry, number)| scope.spawn(move || caller(entry, number))).collect();
            threads.into_iter().flat_map(|it| it.join().expect("caller thread panicked")).collect()
        })
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The fleet that most tests start with.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod running;

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, wait_for};
use sablepass_stand::fleet::{Fleet, Serves, Target, Timers};
use sablepass_stand::site::{self, Site};

/// Key of a customer of Tatranská.
pub const FARM: &str = "tatranska:key-build-farm";
/// Key of a customer of Masa Norte.
pub const BAKER: &str = "masa:key-baker-01";

/// Declarations of Tatranská: two engines and one service.
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

/// Declarations of Masa Norte: a customer only.
pub const MASA: &str = r#"
[[customer]]
name = "baker"
key = "masa:key-baker-01"
share = 10
"#;

/// Two engines, a service and an entry, settled.
pub fn fleet(proxied: bool) -> Fleet {
    fleet_with(Timers::default(), proxied)
}

/// The same with other timers.
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

/// What a caller asked for and was told, for the judge.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// A word that stands only in this request.
    pub marker: String,
    /// It must not run more than once.
    pub once: bool,
    /// The whole answer, if it got one, must be this text.
    pub expected: String,
    /// What it was told.
    pub answer: Answer,
}

/// Compares what callers were told with what the targets logged.
pub fn check_outcomes(fleet: &Fleet, outcomes: &[Outcome]) {
    let logs: Vec<String> =
        fleet.targets.iter().flat_map(Target::runs).map(|it| it.to_string()).collect();
    for it in outcomes {
        let runs = logs.iter().filter(|log| log.contains(&it.marker)).count();
        assert!(!it.once || runs <= 1, "{} ran {runs} times: {:?}", it.marker, it.answer);
        let not_run = it.answer.ran == "not-run";
        assert!(!not_run || runs == 0, "{} ran {runs} times: {:?}", it.marker, it.answer);
        if it.answer.status == 200 && it.answer.reason().is_empty() && it.answer.ran == "ran" {
            assert_eq!(it.answer.text(), it.expected, "{}: {:?}", it.marker, it.answer);
        }
    }
}

/// The text of a whole answer of so many tokens.
pub fn expected(marker: &str, tokens: u64) -> String {
    (0..tokens).map(|it| format!("{marker}:{it} ")).collect()
}

/// The index of the model target that runs something now; waits until one does.
pub fn busy_target(fleet: &Fleet) -> usize {
    let mut found = None;
    wait_for("a target runs something", || {
        let running = |it: &Target| it.runs().iter().any(|run| run["end"] == "running");
        found = fleet.targets.iter().position(running);
        found.is_some()
    });
    found.unwrap_or_default()
}

/// Milliseconds since the Unix epoch, as callers say when they made a key.
pub fn now_text() -> String {
    sablepass_edge::clock::now().to_string()
}

/// So many replicas and entries of a small site, settled.
pub fn site(replicas: usize, entries: usize) -> Site {
    let mut site = Site::open(replicas);
    for _ in 0..entries {
        site.add_entry("");
    }
    site.settle(replicas);
    site
}

/// Callers of a small site, and how often they ask.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Entries that they ask.
    pub entries: usize,
    /// Callers at each of them.
    pub each: usize,
    /// Time between an answer and the next request.
    pub pause: Duration,
}

impl Callers {
    /// Sends requests of all kinds for so long. What they were answered; ids begin with the
    /// entry's number.
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
            let all = (0..self.entries).flat_map(|entry| (0..self.each).map(move |it| (entry, it)));
            let threads: Vec<_> =
                all.map(|(entry, it)| scope.spawn(move || caller(entry, it))).collect();
            threads.into_iter().flat_map(|it| it.join().expect("a caller ends")).collect()
        })
    }
}

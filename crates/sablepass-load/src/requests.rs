// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The `requests` subcommand: sends open-loop load to the given entries, or to a fleet that it
//! starts.

use std::time::Duration;

use sablepass_stand::client::control;
use sablepass_stand::fleet::Fleet;

use crate::bench;
use crate::traffic::{self, Plan, Stream, StreamStats};

/// Options of a run. Those of the fleet apply if no entries are given.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of entries; if empty, a fleet is started.
    pub entries: Vec<String>,
    /// API key for the given entries.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Requests per second.
    pub rate: f64,
    /// Tokens per answer.
    pub tokens: u64,
    /// Length of the measurement, in seconds.
    pub seconds: u64,
    /// Length of the warm-up, in seconds.
    pub warmup: u64,
    /// Number of distinct prompt prefixes.
    pub prefixes: u64,
    /// Number of targets in the fleet.
    pub targets: usize,
    /// Step time of the fleet's targets, in milliseconds.
    pub step: u64,
    /// Factor by which the steps of the first target are longer.
    pub slow: u64,
    /// Policy by which the fleet's entries choose targets; `all` runs four policies in turn.
    pub policy: String,
    /// Whether to send to the first target directly, without an entry and an agent.
    pub direct: bool,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Whether to print JSON lines.
    pub json: bool,
}

/// Runs the load and prints the results.
pub fn run(options: &Options) {
    if !options.entries.is_empty() {
        let stats = load(options, &options.entries, &options.key);
        print(options, "given entries", &stats, "");
        return;
    }
    let all = ["round-robin", "least-load", "two-choices", "affinity"];
    let policies: Vec<&str> =
        if options.policy == "all" { all.to_vec() } else { vec![&options.policy] };
    for policy in policies {
        let fleet = start(options, policy);
        let entries: Vec<String> = if options.direct {
            vec![fleet.targets[0].base.clone()]
        } else {
            (0..fleet.entries.len()).map(|index| fleet.http(index)).collect()
        };
        let stats = load(options, &entries, &bench::key("big"));
        print(options, if options.direct { "direct" } else { policy }, &stats, &cache(&fleet));
    }
}

/// Starts a fleet whose entries choose targets by `policy`.
fn start(options: &Options, policy: &str) -> Fleet {
    let steps: Vec<u64> = (0..options.targets)
        .map(|index| if index == 0 { options.step * options.slow.max(1) } else { options.step })
        .collect();
    let document =
        bench::targets("t", options.targets, 64) + &bench::customers(&[("big", 8), ("small", 2)]);
    bench::fleet(&document, &steps, 2, &format!("policy = {policy:?}\nexchanges = 4000"))
}

/// Sends the load and returns the statistics of all streams together.
fn load(options: &Options, entries: &[String], key: &str) -> StreamStats {
    // In a started fleet, one customer sends four times as many requests as the other.
    let own_fleet = options.entries.is_empty();
    let stream = |name: &str, key: String, rate: f64| Stream {
        name: name.to_owned(),
        key,
        model: options.model.clone(),
        priority: "normal",
        rate,
        tokens: options.tokens,
        prefixes: options.prefixes,
    };
    let plan = Plan {
        entries: entries.to_vec(),
        streams: if own_fleet {
            let small = stream("b", bench::key("small"), options.rate * 0.2);
            vec![stream("a", key.to_owned(), options.rate * 0.8), small]
        } else {
            vec![stream("a", key.to_owned(), options.rate)]
        },
        warmup: Duration::from_secs(options.warmup),
        length: Duration::from_secs(options.seconds),
        seed: options.seed,
    };
    let mut all = traffic::run(&plan).into_values();
    let mut sum = all.next().unwrap_or_else(|| unreachable!("a plan has at least one stream"));
    all.for_each(|stats| sum.add(&stats));
    sum
}

/// Describes the hit rate of the engines' prefix caches.
fn cache(fleet: &Fleet) -> String {
    let (mut hits, mut runs) = (0, 0);
    for target in &fleet.targets {
        let counts = control(&target.base, "GET", "/control/cache", "");
        hits += counts["hits"].as_u64().unwrap_or(0);
        runs += counts["runs"].as_u64().unwrap_or(0);
    }
    format!("cache hits {:.0}%", hits as f64 * 100.0 / runs.max(1) as f64)
}

fn print(options: &Options, name: &str, stats: &StreamStats, note: &str) {
    if options.json {
        println!("{}", traffic::json(name, stats));
    } else {
        println!("{} {note}", traffic::line(name, stats));
    }
}

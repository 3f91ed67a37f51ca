// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The `overload` subcommand: sends more requests than the targets can serve, with one customer
//! above its share and with mixed priorities, and optionally kills a third of the targets.

use std::time::{Duration, Instant};

use sablepass_stand::fleet::Fleet;

use crate::bench;
use crate::traffic::{self, Plan, Stream};

/// Number of targets in the fleet.
const TARGETS: usize = 3;
/// Step time of a target.
const STEP_MS: u64 = 6;
/// Maximum number of sequences that a target runs concurrently.
const CAPACITY: u32 = 32;
/// Tokens of an answer with normal priority, and of an urgent one.
const TOKENS: (u64, u64) = (60, 6);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the measurement, in seconds.
    pub seconds: u64,
    /// Whether to kill a third of the targets after a third of the measurement.
    pub kill: bool,
    /// Whether the greedy customer belongs to the other partner, whose grant is 0.4 of the model.
    pub foreign: bool,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Runs the load at each multiple of the targets' capacity and prints the results.
pub fn run(multiples: &[f64], options: Options) {
    println!(
        "{:<16} {:>6} {:>6} {:>5}   (offered as a multiple of capacity; {options:?})",
        "customer", "sent", "whole", "wrong"
    );
    for multiple in multiples {
        run_multiple(*multiple, options);
    }
}

fn run_multiple(multiple: f64, options: Options) {
    let customers = [("greedy", 4), ("fair", 4), ("urgent", 2)];
    let document = bench::targets("t", TARGETS, CAPACITY) + &bench::customers(&customers);
    let grant = "[[grant]]\nto = \"masa\"\nserves = \"triage\"\npart = 0.4\n";
    let mut fleet = bench::fleet(&(document + grant), &[STEP_MS; TARGETS], 2, "exchanges = 4000");
    let masa = "[[customer]]\nname = \"greedy\"\nkey = \"masa:key-of-greedy\"\nshare = 1\nstreams = 5000\n";
    let revision = fleet.publish("masa/main.toml", masa);
    fleet.settle(TARGETS, revision);
    let foreign = |name: &str| options.foreign && name == "greedy";
    // A sequence occupies a slot for 8 steps of prefill and one step per token.
    let length = (TOKENS.0 + 8) * STEP_MS;
    let capacity = TARGETS as f64 * f64::from(CAPACITY) * 1_000.0 / length as f64;
    let stream = |name: &str, part: f64, priority, tokens| Stream {
        name: name.to_owned(),
        key: if foreign(name) { "masa:key-of-greedy".to_owned() } else { bench::key(name) },
        model: "tatranska/triage".to_owned(),
        priority,
        rate: capacity * part,
        tokens,
        prefixes: 64,
    };
    // The fair customer sends at most 0.3 of the capacity, which is within its share. The greedy
    // customer sends the rest.
    let fair_part = 0.3_f64.min(multiple * 0.3);
    let plan = Plan {
        entries: vec![fleet.http(0), fleet.http(1)],
        streams: vec![
            stream("greedy", multiple - fair_part, "normal", TOKENS.0),
            stream("fair", fair_part, "normal", TOKENS.0),
            stream("urgent", 0.1, "urgent", TOKENS.1),
        ],
        warmup: Duration::from_secs(2),
        length: Duration::from_secs(options.seconds),
        seed: options.seed,
    };
    let start = Instant::now();
    let stats = std::thread::scope(|scope| {
        let load = scope.spawn(|| traffic::run(&plan));
        if options.kill {
            std::thread::sleep(plan.warmup + plan.length / 3);
            fleet.targets.iter_mut().take(TARGETS / 3).for_each(|it| it.server().kill());
        }
        load.join().unwrap_or_default()
    });
    println!(
        "offered {multiple:.1} x {capacity:.0} requests/s, {:.0} s",
        start.elapsed().as_secs_f64()
    );
    for (name, stream_stats) in &stats {
        println!("{}", traffic::line(name, stream_stats));
    }
    println!("  {}", retries(&fleet));
    recovery(&plan, capacity);
}

/// Sends light load for two seconds, directly after the overload, and prints the results.
fn recovery(plan: &Plan, capacity: f64) {
    let streams = plan.streams.iter().filter(|it| it.name != "greedy").cloned();
    let streams = streams.map(|it| Stream { rate: capacity * 0.1, ..it }).collect();
    let length = Duration::from_secs(2);
    let light_load = Plan { streams, warmup: Duration::ZERO, length, ..plan.clone() };
    for (name, stats) in &traffic::run(&light_load) {
        println!("  after the fall: {}", traffic::line(name, stats));
    }
}

/// Describes the number of retries as a part of first attempts, for both entries together.
fn retries(fleet: &Fleet) -> String {
    let sum = |name: &str| (0..2).map(|it| fleet.entry_metric(it, name, "")).sum::<f64>();
    let (first, retries) = (sum("sablepass_requests_total"), sum("sablepass_retries_total"));
    format!(
        "retries {retries:.0} of {first:.0} first attempts ({:.1}%)",
        retries * 100.0 / first.max(1.0)
    )
}

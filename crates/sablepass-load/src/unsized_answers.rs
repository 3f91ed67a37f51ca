// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The `unsized-answers` subcommand: sends requests whose answers state no length, to targets that
//! are idle or have all slots taken, and prints how many answers arrive whole, and how long after
//! their end at the target.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sablepass_stand::replica::{Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask};

/// Number of targets.
const TARGETS: usize = 2;
/// Number of requests that a target runs at once, if its slots are to be taken.
const SLOTS: u32 = 4;
/// Callers per slot, if the slots are to be taken: so many that requests always wait for a slot.
const CALLERS_PER_SLOT: usize = 2;
/// Pause after each part of an answer.
const PART_PAUSE: Duration = Duration::from_millis(10);
const BODY: &str = "an order line, confirmed";
/// Kinds of requests, as the first part of their paths.
const KINDS: [&str; 3] = ["safe", "once", "stream"];

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of each measurement, in seconds.
    pub seconds: u64,
    /// Interval at which callers that find idle targets send requests, in milliseconds.
    pub interval: u64,
}

/// An answer that a caller received.
#[derive(Clone, Debug)]
struct Received {
    kind: &'static str,
    id: String,
    whole: bool,
    at: Instant,
}

/// Runs the load on idle targets and on targets with all slots taken, and prints the results.
pub fn run(options: Options) {
    println!(
        "{:<12} {:<8} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}   ms from the end at the target",
        "slots", "kind", "sent", "whole", "median", "p90", "p99", "max"
    );
    for taken in [false, true] {
        run_load(options, taken);
    }
}

fn run_load(options: Options, taken: bool) {
    let mut site = Site::open(TARGETS);
    site.add_entry("");
    site.settle(TARGETS);
    for replica in &site.replicas {
        replica.set(Mode::Unsized);
        replica.set_part_pause(PART_PAUSE);
        if taken {
            replica.limit_slots(SLOTS);
        }
    }
    let callers = if taken { TARGETS * SLOTS as usize * CALLERS_PER_SLOT } else { 1 };
    let pause = if taken { Duration::ZERO } else { Duration::from_millis(options.interval) };
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let received: Vec<Received> = std::thread::scope(|scope| {
        let site = &site;
        let start = |number: usize| scope.spawn(move || call(site, number, pause, until));
        let threads: Vec<_> = (0..callers).map(start).collect();
        threads.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect()
    });
    let ends: HashMap<String, Instant> =
        site.replicas.iter().flat_map(Replica::unsized_ends).collect();
    for kind in KINDS {
        let of_kind: Vec<&Received> = received.iter().filter(|it| it.kind == kind).collect();
        let whole: Vec<&Received> = of_kind.iter().copied().filter(|it| it.whole).collect();
        let delay = |it: &&Received| {
            let end = ends.get(&it.id)?;
            Some(it.at.saturating_duration_since(*end).as_secs_f64() * 1_000.0)
        };
        let mut delays: Vec<f64> = whole.iter().filter_map(delay).collect();
        delays.sort_by(f64::total_cmp);
        let quantile = |part: f64| {
            let index = (delays.len() as f64 * part) as usize;
            delays.get(index.min(delays.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
        };
        println!(
            "{:<12} {kind:<8} {:>6} {:>6} {:>8.2} {:>8.2} {:>8.2} {:>8.2}",
            if taken { "all taken" } else { "idle" },
            of_kind.len(),
            whole.len(),
            quantile(0.5),
            quantile(0.9),
            quantile(0.99),
            quantile(1.0)
        );
    }
    let checks: u32 = site.replicas.iter().map(Replica::health_checks).sum();
    let connections: u32 = site.replicas.iter().map(Replica::connections).sum();
    println!("{checks} health checks, {connections} connections to targets");
}

/// Sends requests of all kinds in turn until a time.
fn call(site: &Site, caller: usize, pause: Duration, until: Instant) -> Vec<Received> {
    let numbered = KINDS.iter().cycle().zip(0..);
    let received = numbered.take_while(|_| Instant::now() < until).map(|(kind, number)| {
        std::thread::sleep(pause);
        let id = format!("{caller}-{number}");
        let answer = ask("POST", &format!("/{kind}/x"), &id, BODY).send(&site.http(0));
        let expected = if *kind == "stream" { all_events(&id) } else { BODY.to_owned() };
        let whole = answer.status == 200 && answer.body == expected;
        Received { kind, id, whole, at: Instant::now() }
    });
    received.collect()
}

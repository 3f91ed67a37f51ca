// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The `capacity` subcommand: measures how resource usage grows with size, for docs/CAPACITY.md.
//! Each slope is measured at three sizes, and each size prints a row.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sablepass_core::catalogue::Catalogue;
use sablepass_core::config::{Delta, Document, Store, StoreKind, Version};
use sablepass_core::expert::drift::{self, Estimate};
use sablepass_core::expert::map::{Map, Shape};
use sablepass_core::expert::plan;
use sablepass_core::id::{AttemptId, RequestId};
use sablepass_core::once::{self, Table};
use sablepass_core::revision::Revision;
use sablepass_stand::client::{control, lines, metric};
use sablepass_stand::fleet::Fleet;
use sablepass_stand::process::Process;
use sablepass_stand::ranks;
use sablepass_stand::site::{Pace, Site};

use crate::bench::{self, Usage};
use crate::traffic::{self, Plan, Stream};

/// Step time of an engine, which is the time between two tokens of a stream. The requirements
/// specify 61 ms.
const STEP_MS: u64 = 61;

/// Measurements of how resource usage grows with one size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slope {
    /// Processor time and memory of an entry and an agent, by open streams.
    Streams,
    /// Propagation time and traffic of configuration changes, by number of entries.
    Spread,
    /// Control traffic between an entry and its targets' agents, by number of agents.
    Links,
    /// Traffic between processes by kind of message, by number of agents and entries.
    Kinds,
    /// Processor time and traffic of a group's planner and other members, by layers.
    Group,
    /// Memory and time of the at-most-once table, by attempts.
    Once,
    /// Time and memory of a decision on an expert map, by ranks and layers.
    Plan,
    /// Time and memory of the catalogue, by targets.
    Catalogue,
}

/// Measures a slope and prints its rows.
pub fn run(slope: Slope) {
    match slope {
        Slope::Streams => [100, 300, 1_000].into_iter().for_each(streams),
        Slope::Spread => [5, 20, 60].into_iter().for_each(spread),
        Slope::Links => [4, 8, 16].into_iter().for_each(links),
        Slope::Kinds => [(24, 6), (63, 17), (60, 40)].into_iter().for_each(kinds),
        Slope::Group => [15, 30, 60].into_iter().for_each(group),
        Slope::Once => [50_000, 100_000, 200_000].into_iter().for_each(once_table),
        Slope::Plan => [(8, 15), (16, 30), (32, 60)].into_iter().for_each(|it| plans(it.0, it.1)),
        Slope::Catalogue => [500, 1_500, 5_000].into_iter().for_each(catalogue),
    }
}

/// Resident memory of this process, in MiB.
fn memory() -> f64 {
    Usage::of(std::process::id()).memory
}

/// Usage of one entry and one agent, first idle and then with about `count` open streams.
fn streams(count: u64) {
    let document = bench::targets("t", 1, 2_000) + &bench::customers(&[("big", 1)]);
    let fleet = bench::fleet(&document, &[STEP_MS], 1, "exchanges = 4000");
    let control_address = fleet.targets[0].base.clone();
    control(&control_address, "POST", "/control/batch", &count.to_string());
    let (entry, agent) = (fleet.entries[0].1.id(), fleet.targets[0].agent.id());
    let idle_start = (Usage::of(entry), Usage::of(agent));
    std::thread::sleep(Duration::from_secs(3));
    let idle_end = (Usage::of(entry), Usage::of(agent));
    // Each answer takes 8 s and its prefill. At this rate about `count` answers are open.
    let tokens = 8_000 / STEP_MS;
    let plan = Plan {
        entries: vec![fleet.http(0)],
        streams: vec![Stream {
            name: "s".to_owned(),
            key: bench::key("big"),
            model: "triage".to_owned(),
            priority: "normal",
            rate: count as f64 / 8.5,
            tokens,
            prefixes: 16,
        }],
        warmup: Duration::from_secs(9),
        length: Duration::from_secs(6),
        seed: 1,
    };
    let (busy_start, busy_end, stats) = std::thread::scope(|scope| {
        let load = scope.spawn(|| traffic::run(&plan));
        std::thread::sleep(plan.warmup);
        let busy_start = (Usage::of(entry), Usage::of(agent));
        std::thread::sleep(plan.length);
        let busy_end = (Usage::of(entry), Usage::of(agent));
        (busy_start, busy_end, load.join().unwrap_or_default())
    });
    let requests = fleet.entry_metric(0, "sablepass_requests_total", "");
    println!(
        "streams {count}: entry idle {:.4} cores {:.1} MB, busy {:.3} cores {:.1} MB {} threads; \
         agent idle {:.4} cores {:.1} MB, busy {:.3} cores {:.1} MB {} threads; requests {requests:.0}",
        idle_end.0.cores_since(&idle_start.0),
        idle_end.0.memory,
        busy_end.0.cores_since(&busy_start.0),
        busy_end.0.memory,
        busy_end.0.threads,
        idle_end.1.cores_since(&idle_start.1),
        idle_end.1.memory,
        busy_end.1.cores_since(&busy_start.1),
        busy_end.1.memory,
        busy_end.1.threads,
    );
    for (name, stream_stats) in &stats {
        println!("  {}", traffic::line(name, stream_stats));
    }
}

/// Propagation of configuration changes to `count` entries in three data halls: time until a change
/// is in force everywhere, reads of the platform's service, and control traffic.
fn spread(count: usize) {
    let mut fleet = Fleet::open(bench::timers());
    let customers = bench::customers(&[("big", 1)]);
    let mut revision = fleet.publish("tatranska/main.toml", &customers);
    for index in 0..count {
        fleet.add_entry(&format!("entry-{index}"), &format!("hall-{}", index % 3), "");
    }
    fleet.settle(0, revision);
    let admins: Vec<String> = (0..count).map(|it| fleet.admin(it)).collect();
    std::thread::sleep(Duration::from_secs(4));
    let sent_bytes = || -> f64 {
        admins.iter().map(|it| metric(it, "sablepass_link_bytes_total", "direction=\"out\"")).sum()
    };
    let usage = || -> Vec<Usage> { fleet.entries.iter().map(|it| Usage::of(it.1.id())).collect() };
    let (bytes, usage_before, start) = (sent_bytes(), usage(), Instant::now());
    std::thread::sleep(Duration::from_secs(10));
    let elapsed = start.elapsed().as_secs_f64();
    let usage_after = usage();
    let idle = (sent_bytes() - bytes) / elapsed / count as f64;
    let cores: f64 =
        usage_after.iter().zip(&usage_before).map(|(now, then)| now.cores_since(then)).sum::<f64>()
            / count as f64;
    let memory = usage_after.iter().map(|it| it.memory).fold(0.0, f64::max);
    let (bytes, reads) = (sent_bytes(), reads(&fleet));
    let mut times = Vec::new();
    let changes = 10;
    for change in 0..changes {
        let body = format!("{customers}# change {change}\n");
        let start = Instant::now();
        revision = fleet.publish("tatranska/main.toml", &body);
        while !admins
            .iter()
            .all(|it| metric(it, "sablepass_config_revision", "") >= revision as f64)
        {
            std::thread::sleep(Duration::from_millis(2));
        }
        times.push(start.elapsed().as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    let bytes_per_change = (sent_bytes() - bytes) / f64::from(changes) / count as f64;
    println!(
        "spread {count}: in force everywhere median {:.3} s, worst {:.3} s; {:.1} reads a change; \
         {bytes_per_change:.0} B out a change and process (idle traffic included); \
         idle {idle:.0} B/s out, {cores:.4} cores, {memory:.1} MB a process",
        times[times.len() / 2],
        times[times.len() - 1],
        (self::reads(&fleet) - reads) / f64::from(changes),
    );
}

/// Number of reads of the configuration service so far.
fn reads(fleet: &Fleet) -> f64 {
    let counts = control(&fleet.platform.addr("http"), "GET", "/control/reads", "");
    counts["config"].as_f64().unwrap_or(0.0)
}

/// Control traffic between one entry and `count` idle agents, by kind of message.
fn links(count: usize) {
    let document = bench::targets("t", count, 32) + &bench::customers(&[("big", 1)]);
    let fleet = bench::fleet(&document, &vec![STEP_MS; count], 1, "subset = 64");
    let admin = fleet.admin(0);
    let bytes = |kind: &str, direction: &str| {
        let label = format!("direction=\"{direction}\",kind=\"{kind}\"");
        metric(&admin, "sablepass_link_bytes_total", &label)
    };
    let traffic = || ["report", "digest"].map(|it| [bytes(it, "in"), bytes(it, "out")]);
    let (before, usage_before) = (traffic(), Usage::of(fleet.entries[0].1.id()));
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(10));
    let (after, usage_after) = (traffic(), Usage::of(fleet.entries[0].1.id()));
    let elapsed = start.elapsed().as_secs_f64();
    let rate = |kind: usize, direction: usize| {
        (after[kind][direction] - before[kind][direction]) / elapsed
    };
    println!(
        "links {count}: entry takes {:.0} B/s of reports, {:.0} B/s of digests, sends {:.0} B/s of digests, {:.4} cores, {:.1} MB",
        rate(0, 0),
        rate(1, 0),
        rate(1, 1),
        usage_after.cores_since(&usage_before),
        usage_after.memory
    );
}

/// Traffic of an idle fleet with the intervals of the users' platform, whose agents belong to the
/// ranks of one group: bytes per second of each kind of message, on average over the processes of a
/// role and for the process that sends most of it. All entries are seeds.
fn kinds((agents, entries): (usize, usize)) {
    let mut site = Site::open(0);
    site.pace = Pace::Platform;
    let group = ranks::Group::spawn(agents);
    for rank in 0..agents {
        site.store.put(&format!("servers/m-{rank}"), &group.entry(rank));
    }
    site.configure(&ranks::Group::configuration(2));
    let port = ranks::free_port(agents);
    for _ in 0..entries {
        site.add_entry(&format!("agent_port = {port}\nsubset = 1024"));
    }
    let add_agent = |rank: usize| {
        let addr = SocketAddr::new(ranks::loopback(rank), port);
        site.add_agent_with(addr, group.addrs[rank], ("heartbeat = 200", ""))
    };
    let agents: Vec<Process> = (0..agents).map(add_agent).collect();
    std::thread::sleep(Duration::from_secs(20));
    let roles = [("entry", &site.entries), ("agent", &agents)];
    let read = || roles.map(|it| it.1.iter().map(mesh_bytes).collect::<Vec<_>>());
    let (before, start) = (read(), Instant::now());
    std::thread::sleep(Duration::from_secs(20));
    let (after, elapsed) = (read(), start.elapsed().as_secs_f64());
    for (role, (name, _)) in roles.iter().enumerate() {
        let mut totals: BTreeMap<&str, f64> = BTreeMap::new();
        let mut by_kind: BTreeMap<(&str, &str), (f64, f64)> = BTreeMap::new();
        for (now, then) in after[role].iter().zip(&before[role]) {
            let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
            for ((direction, kind), bytes) in now {
                let before = then.get(&(direction.clone(), kind.clone())).unwrap_or(&0.0);
                let rate = (bytes - before) / elapsed;
                *sums.entry(direction).or_default() += rate;
                let entry = by_kind.entry((direction, kind)).or_default();
                *entry = (entry.0 + rate / after[role].len() as f64, entry.1.max(rate));
            }
            for (direction, sum) in sums {
                let most = totals.entry(direction).or_default();
                *most = most.max(sum);
            }
        }
        println!(
            "kinds {}+{entries} {name}: at most {:.0} B/s out, {:.0} B/s in",
            agents.len(),
            totals.get("out").unwrap_or(&0.0),
            totals.get("in").unwrap_or(&0.0)
        );
        for ((direction, kind), (mean, most)) in by_kind.iter().filter(|it| it.1.1 >= 1.0) {
            println!("  {direction} {kind}: mean {mean:.0} B/s, most {most:.0} B/s");
        }
    }
}

/// Bytes that a process sent and received, by direction and kind of message.
fn mesh_bytes(process: &Process) -> BTreeMap<(String, String), f64> {
    let lines = lines(&process.addr("admin"), "sablepass_mesh_bytes_total{");
    let label = |line: &str, name: &str| {
        let value = line.split_once(&format!("{name}=\"")).map(|it| it.1);
        value.and_then(|it| it.split_once('"')).map_or(String::new(), |it| it.0.to_owned())
    };
    let mut bytes = BTreeMap::new();
    for line in &lines {
        let count: f64 = line.rsplit(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0.0);
        *bytes.entry((label(line, "direction"), label(line, "kind"))).or_default() += count;
    }
    bytes
}

/// Processor time and ballot traffic of a group of four members while the popularity of experts
/// changes in a wave every 10 s.
fn group(layers: usize) {
    const MEMBERS: usize = 4;
    let mut document = String::new();
    for member in 0..MEMBERS {
        document += &format!(
            "[[target]]\nname = \"g{member}\"\nserves = \"triage\"\nhall = \"ba-1\"\ncapacity = 64\nchecks_fence = true\n"
        );
    }
    document += &format!(
        "[[group]]\nname = \"triage\"\nmembers = [\"g0\", \"g1\", \"g2\", \"g3\"]\nranks = 32\nexperts = 64\nlayers = {layers}\nslots = 3\nmove_weight = 0.2\n"
    );
    let mut fleet = Fleet::open(bench::timers());
    let revision = fleet.publish("tatranska/main.toml", &document);
    let layers_text = layers.to_string();
    let engines = fleet.add_group("tatranska/g", "ba-1", MEMBERS, &["--layers", &layers_text]);
    fleet.settle(0, revision);
    let admins: Vec<String> = fleet.targets.iter().map(|it| it.agent.addr("admin")).collect();
    let usage =
        || -> Vec<Usage> { fleet.targets.iter().map(|it| Usage::of(it.agent.id())).collect() };
    let ballots = || {
        let label = "direction=\"out\",kind=\"ballot\"";
        metric(&admins[0], "sablepass_link_bytes_total", label)
    };
    std::thread::sleep(Duration::from_secs(5));
    let (before, sent, start) = (usage(), ballots(), Instant::now());
    for wave in 1..=3 {
        control(&engines.addr("http"), "POST", "/control/mode", &format!("wave {wave}"));
        std::thread::sleep(Duration::from_secs(10));
    }
    let (after, elapsed) = (usage(), start.elapsed().as_secs_f64());
    let cores: Vec<f64> =
        after.iter().zip(&before).map(|(now, then)| now.cores_since(then)).collect();
    let others = cores[1..].iter().sum::<f64>() / (MEMBERS - 1) as f64;
    let record = control(&engines.addr("http"), "GET", "/control/steps", "");
    let switches = record["steps"].as_array().map_or(0, Vec::len) - 1;
    println!(
        "group 32 ranks x {layers} layers: planner {:.4} cores, other members {others:.4}; \
         planner sends {:.0} B/s of ballots through a wave every 10 s; {switches} switches, \
         steps held {}; {:.1} MB",
        cores[0],
        (ballots() - sent) / elapsed,
        record["held"],
        after[0].memory
    );
}

/// Memory and time to add `count` attempts to the at-most-once table.
fn once_table(count: u64) {
    let before = memory();
    let options = once::Options { max_attempts: count as usize, ..once::Options::default() };
    let mut table = Table::new(options);
    let start = Instant::now();
    for number in 0..count {
        let request = RequestId(u128::from(number) << 64 | u128::from(number));
        let _ = table.start(number / 100, AttemptId { request, number: 1 });
    }
    let took = start.elapsed();
    println!(
        "once {count} attempts: {:.1} MB, {:.0} B and {:.2} us an attempt",
        memory() - before,
        (memory() - before) * 1_048_576.0 / count as f64,
        took.as_secs_f64() * 1e6 / count as f64
    );
    drop(table);
}

/// Time and memory to decide on an expert map, from an even map and from the map decided on.
fn plans(ranks: usize, layers: usize) {
    let shape = Shape { ranks, layers, experts: ranks * 2, slots: 3 };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = || -> Vec<Vec<f64>> {
        let mut layer = || -> Vec<f64> {
            (0..shape.experts).map(|_| rng.random_range(1.0_f64..10.0).powi(3)).collect()
        };
        (0..layers).map(|_| layer()).collect()
    };
    let counts = counts();
    let before = memory();
    let mut estimate = Estimate::new(drift::Options::default(), layers, shape.experts);
    (1..50).for_each(|step| {
        estimate.observe(step * 100, &counts);
    });
    let Ok(map) = Map::even(shape) else { return };
    let options = plan::Options::default();
    let start = Instant::now();
    let rounds = 5;
    for _ in 0..rounds {
        std::hint::black_box(plan::decide(&options, &map, &estimate));
    }
    let took = start.elapsed().as_secs_f64() * 1_000.0 / f64::from(rounds);
    let planned = match plan::decide(&options, &map, &estimate) {
        plan::Decision::Change { map, .. } => map,
        plan::Decision::Keep(_) => map.clone(),
    };
    let start = Instant::now();
    std::hint::black_box(plan::decide(&options, &planned, &estimate));
    println!(
        "plan {ranks} ranks x {layers} layers: {took:.1} ms from an even map, {:.1} ms from a settled one, {:.1} MB, map {} B",
        start.elapsed().as_secs_f64() * 1_000.0,
        memory() - before,
        map.encode().len()
    );
}

/// Time and memory to merge documents into the store and to build the catalogue from it.
fn catalogue(targets: usize) {
    let before = memory();
    // Each document declares 50 targets.
    let documents: Vec<Document> = (0..targets / 50)
        .map(|it| Document {
            key: format!("tatranska/d{it}.toml"),
            newest: Version {
                revision: (it as u64 + 1).into(),
                body: bench::targets(&format!("d{it}t"), 50, 32),
            },
            removed: false,
            accepted: None,
        })
        .collect();
    let bytes: usize = documents.iter().map(|it| it.newest.body.len()).sum();
    let start = Instant::now();
    let mut store = Store::open(StoreKind::Declarations);
    let revision = (documents.len() as u64).into();
    if store.merge(Delta { after: Revision::default(), revision, documents, whole: None }).is_err()
    {
        return;
    }
    let merge_ms = start.elapsed().as_secs_f64() * 1_000.0;
    let start = Instant::now();
    let catalogue = Catalogue::build(&store);
    let build_ms = start.elapsed().as_secs_f64() * 1_000.0;
    println!(
        "catalogue {} targets: {:.0} KB of documents, {merge_ms:.1} ms to take in, {build_ms:.1} ms to build, {:.1} MB with the store",
        catalogue.targets.len(),
        bytes as f64 / 1_024.0,
        memory() - before
    );
}

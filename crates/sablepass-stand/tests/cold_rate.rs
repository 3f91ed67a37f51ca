// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target that has just started sustains only a part of its later rate, and all entries together
//! must not exceed it.
//!
//! Guards against entries that each send a cold target what its free slots allow, and against
//! entries that leave it unused although callers are refused.

mod common;

use std::thread;
use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::ranks;
use sablepass_stand::replica::{Arrival, Group, Replica};
use sablepass_stand::site::{self, Site};
use sablepass_stand::site_with_agents::SiteWithAgents;
use serde_json::json;

const ENTRIES: usize = 3;
const RATE: f64 = 4.0;
/// Requests allowed in a second: the rate times 1.5, and 5 more.
const BOUND: usize = 11;
/// Time for which calls last, in seconds.
const SECONDS: f64 = 6.0;
/// Time after which the statement of a response must be known to all entries, in milliseconds.
const GRACE_MS: u64 = 300;

/// Starts an entry that limits the requests to cold targets.
fn add_entry(site: &mut Site, list_cold: bool) {
    let number = site.entries.len();
    let seeds: Vec<String> = site.entries.iter().map(|it| it.addr("peers")).collect();
    let text = format!(
        "http = \"127.0.0.1:0\"\ndialect = \"routes\"\npolicy = \"even\"\nretry_slack = 90\n\
         [cold]\novershoot = 1.5\nslack = 5\n\
         [node]\nname = \"entry-{number}\"\nhall = \"ba-1\"\nlisten = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\nplatform = \"http://{}\"\nform = \"keys\"\nseeds = {seeds:?}\n\
         list_every = 20\ndigest_every = 100\npatience = 200\nwatch = 1000\nlist_cold = {list_cold}\n",
        site.store.addr,
    );
    let name = format!("sablepass-cold-{}-{number}.toml", site.store.addr.port());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the settings file can be written");
    site.entries.push(Process::spawn("sablepass-entry", &["--config", &path.to_string_lossy()]));
    // The file was read by the time that the process announced its addresses.
    let _ = std::fs::remove_file(&path);
}

/// Lists a replica with a remaining cold time.
fn list(site: &Site, replica: &Replica, cold_ms: u64) {
    let text = replica.entry("ready");
    let mut item: serde_json::Value = serde_json::from_str(&text).expect("the entry is JSON");
    item["coldRemainingMs"] = cold_ms.into();
    site.store.put(&format!("servers/{}", replica.id), &item.to_string());
}

/// A site whose service has a cold rate; its replica is listed with a remaining cold time.
fn site(cold_ms: u64, list_cold: bool) -> Site {
    let mut site = Site::open(1);
    let mut configuration = site::configuration(2);
    configuration["services"][0]["coldPerS"] = json!(RATE);
    configuration["services"][0]["coldStartS"] = json!(3);
    site.configure(&configuration);
    list(&site, &site.replicas[0], cold_ms);
    for _ in 0..ENTRIES {
        add_entry(&mut site, list_cold);
    }
    site.settle(1);
    // Entries use their shares once all have been known by name for a second.
    std::thread::sleep(Duration::from_millis(1_500));
    site
}

fn call(site: &Site, label: &str, entries: usize, seconds: f64) -> Vec<Arrival> {
    let before = site.replicas[0].arrivals().len();
    let callers = common::Callers { entries, each: 3, pause: Duration::from_millis(20) };
    let answers = callers.call(site, label, Duration::from_secs_f64(seconds));
    let refused = answers.iter().filter(|it| it.status == 503);
    assert!(refused.clone().count() > 0, "more is requested than the target sustains");
    for it in refused {
        assert!(!it.retry_after.is_empty(), "the time of the next turn is stated: {it:?}");
    }
    site.replicas[0].arrivals().split_off(before)
}

/// Highest number of requests in any second.
fn busiest_second(arrivals: &[Arrival]) -> usize {
    let within =
        |start: u64| arrivals.iter().filter(|it| (start..start + 1_000).contains(&it.at)).count();
    arrivals.iter().map(|it| within(it.at)).max().unwrap_or(0)
}

fn assert_kept_and_used(arrivals: &[Arrival], seconds: f64) {
    let busiest = busiest_second(arrivals);
    assert!(busiest <= BOUND, "{busiest} requests in a second");
    let used = arrivals.len() as f64 / (RATE * seconds);
    assert!(used >= 0.8, "{used} of the rate is used");
}

#[test]
fn verify_a_target_listed_as_cold_gets_no_more_than_its_rate_and_no_less() {
    let site = site(60_000, true);
    for entries in [ENTRIES, 1] {
        let arrivals = call(&site, &format!("at-{entries}"), entries, SECONDS);
        assert_kept_and_used(&arrivals, SECONDS);
    }
    for entry in &site.entries {
        let admin = entry.addr("admin");
        assert_eq!(metric(&admin, "sablepass_targets", "state=\"cold\""), 1.0);
        assert_eq!(metric(&admin, "sablepass_sent_over_cold_rate_total", ""), 0.0);
    }
    list(&site, &site.replicas[0], 0);
    wait_for("no entry limits the target", || {
        let cold = |it: &Process| metric(&it.addr("admin"), "sablepass_targets", "state=\"cold\"");
        site.entries.iter().all(|it| cold(it) == 0.0)
    });
    assert_not_limited(&site);
}

fn assert_not_limited(site: &Site) {
    let before = site.replicas[0].arrivals().len();
    let callers = common::Callers { entries: 1, each: 3, pause: Duration::from_millis(20) };
    callers.call(site, "warm", Duration::from_secs(1));
    let count = site.replicas[0].arrivals().len() - before;
    assert!(count > 2 * BOUND, "the target is not limited: {count}");
}

/// Without the setting, lines are the same as those of processes that do not know cold targets.
#[test]
fn verify_without_the_setting_lines_do_not_state_cold_times() {
    let site = site(60_000, false);
    let admin = site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_targets", "state=\"cold\""), 0.0);
    assert_not_limited(&site);
}

/// Only responses state that the target is cold; one entry receives the first of them.
#[test]
fn verify_a_cold_time_that_a_response_states_binds_all_entries() {
    let site = site(0, true);
    site.replicas[0].set_extra_header(Some("x-cold-ms: 3000"));
    site::ask("POST", "/safe/x", "first", "q").send(&site.http(0));
    std::thread::sleep(Duration::from_millis(GRACE_MS));
    let arrivals = call(&site, "told", ENTRIES, SECONDS);
    assert_kept_and_used(&arrivals, SECONDS);
}

/// All ranks of a group are cold, and streams wait at one entry for it to open. They must start as
/// their targets can take them, rather than all at once or not at all, also at the targets whose
/// rate another entry holds.
#[test]
fn verify_streams_that_wait_for_a_group_start_at_the_cold_rate() {
    const RANKS: usize = 4;
    const STREAMS: usize = 20;
    let group = |open| Group { open, size: RANKS as u32, steps: open };
    let mut beside = SiteWithAgents::spawn(RANKS);
    let mut configuration = ranks::Group::configuration(3);
    // With a bound of three requests in a second, each target's rate is held by one entry.
    configuration["services"][0]["coldPerS"] = json!(1);
    beside.site.configure(&configuration);
    let more = format!("{}\n[cold]\novershoot = 1.5\nslack = 1.5", beside.more);
    let [first, second] = [(); 2].map(|()| beside.site.add_entry(&more));
    beside.site.settle(RANKS);
    beside.wait_for_agents(first);
    beside.wait_for_agents(second);
    beside.site.entries.remove(0);
    let site = &beside.site;
    let admin = site.entries[0].addr("admin");
    site.replicas.iter().for_each(|it| it.set_extra_header(Some("x-cold-ms: 60000")));
    wait_for("all targets are known to be cold", || {
        site::ask("POST", "/safe/x", "first", "q").send(&site.http(0));
        metric(&admin, "sablepass_targets", "state=\"cold\"") == RANKS as f64
    });
    // The entries agree on their number and use their shares, whose buckets fill.
    thread::sleep(Duration::from_millis(3_000));
    site.replicas.iter().for_each(|it| it.report_group(group(false)));
    wait_for("the group is closed", || {
        metric(&admin, "sablepass_targets", "state=\"usable\"") == 0.0
    });
    let before: Vec<usize> = site.replicas.iter().map(|it| it.arrivals().len()).collect();
    let answers: Vec<Answer> = thread::scope(|scope| {
        let ask =
            |it: usize| site::ask("POST", "/stream/x", &format!("w-{it}"), "q").send(&site.http(0));
        let threads: Vec<_> = (0..STREAMS).map(|it| scope.spawn(move || ask(it))).collect();
        thread::sleep(Duration::from_millis(300));
        site.replicas.iter().for_each(|it| it.report_group(group(true)));
        threads.into_iter().map(|it| it.join().expect("caller thread panicked")).collect()
    });
    let served = answers.iter().filter(|it| it.status == 200).count();
    for (replica, before) in site.replicas.iter().zip(before) {
        let arrivals = replica.arrivals().split_off(before);
        let busiest = busiest_second(&arrivals);
        assert!(busiest <= 2, "{busiest} streams in a second");
    }
    // More than a second is left to the callers when the group opens, so that each target can take
    // two streams.
    assert!(served >= 2 * RANKS - 1, "{served} streams started");
    assert_eq!(metric(&admin, "sablepass_sent_over_cold_rate_total", ""), 0.0);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Cold targets sustain few requests a second. All entries together must not exceed the bound in
//! any second, whatever happens to them, and must use the rate where callers would otherwise be
//! refused.

mod common;

use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use common::load::{Load, Sample, sender, sleep_until};
use common::waiting;
use sablepass_edge::clock;
use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::keys::Mode;
use sablepass_stand::limits;
use sablepass_stand::replica::{Arrival, ColdNotice, Replica};
use sablepass_stand::site::{self, Renewal, Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Requests a second that a cold target sustains.
const RATE: f64 = 4.0;
/// Time for which targets are cold after an evacuation.
const START_S: f64 = 3.0;
const ENTRIES: usize = 3;
const TARGETS: usize = 4;
/// The hall of the entries, and another one.
const HALL: &str = "ba-1";
const OTHER: &str = "ba-2";
/// Interval at which targets write their items, shorter than the platform's 1,200 ms.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time within which all entries know that a target has turned cold, in milliseconds.
const KNOWN_MS: u64 = 1_000;
/// Time for which targets are cold, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Upper limit of the time that a refusal asks the caller to wait, in seconds.
const MAX_RETRY_AFTER_S: f64 = 3.0;

/// A site without targets and with entries that limit the rate of cold targets.
fn empty_site(entries: usize) -> Site {
    let mut site = Site::open(0);
    site.node = limits::COLD_LIST_SETTING.to_owned();
    site.configure(&site::with_cold(site::configuration(2), RATE, START_S));
    for _ in 0..entries {
        site.add_entry(limits::COLD_SETTINGS);
    }
    site
}

/// A site with this many targets, none of which is cold.
fn warm_site(entries: usize, targets: usize) -> Site {
    let mut site = empty_site(entries);
    for _ in 0..targets {
        site.add_replica("orders");
    }
    site.settle(targets);
    site
}

/// Lists a new target that is cold.
fn add_cold(site: &mut Site) {
    let replica = Replica::spawn("orders");
    replica.set_cold(COLD_MS);
    site.list(&replica, "ready");
    site.replicas.push(replica);
}

/// A site all of whose targets are cold, with callers at all entries. The targets are listed after
/// the entries know each other.
fn cold_site() -> (Site, Renewal, Load) {
    let mut site = empty_site(ENTRIES);
    wait_for("all entries know each other", || {
        (0..ENTRIES).all(|it| site.status(it)["entries"].as_u64() == Some(ENTRIES as u64))
    });
    thread::sleep(Duration::from_millis(1_500));
    for _ in 0..TARGETS {
        add_cold(&mut site);
    }
    let renewal = renew(&site);
    let load = call(&site);
    (site, renewal, load)
}

fn renew(site: &Site) -> Renewal {
    site.renew_items(&site.replicas, RENEWAL_INTERVAL)
}

fn call(site: &Site) -> Load {
    Load::spawn(site, 4, Duration::from_millis(15))
}

/// Arrivals at a cold target since a time.
fn cold_arrivals(replica: &Replica, since: u64) -> Vec<Arrival> {
    replica.arrivals().into_iter().filter(|it| it.cold && it.at >= since).collect()
}

/// Asserts that no target got more requests in a second than a cold one may get, among the
/// arrivals that `of` selects.
fn assert_bound_kept(site: &Site, of: impl Fn(&Replica) -> Vec<Arrival>) {
    let allowed = limits::allowed_cold(RATE);
    let counts = site.replicas.iter().map(|it| limits::busiest_second(&of(it)));
    let counts: Vec<usize> = counts.collect();
    let senders = |it: &Replica| of(it).iter().map(sender).collect::<Vec<usize>>();
    let kept = counts.iter().all(|it| *it <= allowed);
    assert!(
        kept,
        "requests in the busiest second at each target: {counts:?}, allowed are {allowed}; \
         requests at the first target by entry: {:?}",
        (0..site.entries.len())
            .map(|entry| senders(&site.replicas[0]).iter().filter(|it| **it == entry).count())
            .collect::<Vec<usize>>()
    );
}

/// Asserts that these targets together got at least 0.8 of their rate between two times in which
/// callers were refused.
fn assert_rate_used(replicas: &[Replica], from: u64, until: u64) {
    let in_time = |it: &&Arrival| (from..until).contains(&it.at);
    let counts = replicas.iter().map(|it| it.arrivals().iter().filter(in_time).count());
    let counts: Vec<usize> = counts.collect();
    let seconds = (until - from) as f64 / 1_000.0;
    let least = 0.8 * RATE * counts.len() as f64 * seconds;
    let used: usize = counts.iter().sum();
    assert!(
        used as f64 >= least,
        "{used} requests {counts:?} in {seconds} s, {least} are required"
    );
}

/// Asserts that requests that were not served were refused as not run with a time to retry.
fn assert_refused_properly(samples: &[Sample]) {
    let retry_after = |it: &Sample| it.answer.retry_after.parse::<f64>().unwrap_or(f64::MAX);
    let proper = |it: &Sample| {
        it.answer.status == 503
            && it.answer.body.starts_with("not-run")
            && retry_after(it) < MAX_RETRY_AFTER_S
    };
    let improper: Vec<_> =
        samples.iter().filter(|it| it.answer.status != 200 && !proper(it)).collect();
    assert!(improper.is_empty(), "{} bad refusals: {:?}", improper.len(), improper.first());
}

/// The other targets have capacity for all requests. Guards also against a target that stays
/// limited after its cold time.
#[test]
fn verify_one_cold_target_gets_no_more_than_its_bound() {
    let mut site = warm_site(ENTRIES, TARGETS - 1);
    let load = call(&site);
    thread::sleep(Duration::from_millis(500));
    add_cold(&mut site);
    let _renewal = renew(&site);
    let listed = clock::now();
    sleep_until(listed + COLD_MS);
    let cold = &site.replicas[TARGETS - 1];
    let warm_used = || cold.arrivals().iter().filter(|it| !it.cold).count() > 30;
    wait_for("the target is used like the others", warm_used);
    let took = clock::now() - listed - COLD_MS;
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
    assert!(took < 3_000, "used like the others only after {took} ms");
    let unserved: Vec<_> = load.join().into_iter().filter(|it| it.answer.status != 200).collect();
    assert!(unserved.is_empty(), "{} unserved: {:?}", unserved.len(), unserved.first());
}

#[test]
fn verify_the_rate_is_used_if_all_targets_are_cold() {
    let (site, _renewal, load) = cold_site();
    let started = clock::now();
    sleep_until(started + COLD_MS - 500);
    let samples = load.join();
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
    assert_rate_used(&site.replicas, started + 2_000, started + 7_000);
    assert_refused_properly(&samples);
}

/// Guards against cold times that end early, or never, while the store is down.
#[test]
fn verify_the_bound_is_kept_while_the_store_is_down() {
    let (site, _renewal, load) = cold_site();
    let started = clock::now();
    thread::sleep(Duration::from_millis(700));
    site.store.set(Mode::Down);
    sleep_until(started + COLD_MS + 3_000);
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
    let warm = |it: &Arrival| !it.cold;
    let warm = site.replicas.iter().map(|it| it.arrivals().into_iter().filter(warm).collect());
    let warm: Vec<usize> = warm.map(|it: Vec<Arrival>| limits::busiest_second(&it)).collect();
    let limited = |it: &usize| *it <= limits::allowed_cold(RATE);
    assert!(!warm.iter().any(limited), "warm targets stay limited: {warm:?}");
    drop(load);
}

/// Guards against entries that use a part of the rate before they know who else does.
#[test]
fn verify_the_bound_is_kept_while_entries_start_and_end() {
    let (mut site, _renewal, mut load) = cold_site();
    let started = clock::now();
    for round in 0..3 {
        sleep_until(started + 1_500 + round * 2_000);
        if round < 2 {
            site.entries[round as usize].kill();
        }
        let entry = site.add_entry(limits::COLD_SETTINGS);
        load.call(&site, entry);
    }
    sleep_until(started + COLD_MS);
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
}

/// Guards against an entry that continues after its suspension with a part that others have taken
/// over, or with requests that have piled up.
#[test]
fn verify_the_bound_is_kept_when_an_entry_resumes() {
    let (site, _renewal, load) = cold_site();
    let started = clock::now();
    for (entry, at) in [(1, 1_500), (2, 3_500)] {
        sleep_until(started + at);
        site.entries[entry].pause();
        thread::sleep(Duration::from_millis(1_600));
        site.entries[entry].resume();
    }
    sleep_until(started + COLD_MS);
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
    drop(load);
}

/// A target that served all entries turns cold and says so in the place given. Guards against
/// entries that limit only new targets, or only targets whose items say that they are cold.
fn check_turns_cold(notice: ColdNotice) {
    let site = warm_site(ENTRIES, TARGETS);
    let _renewal = renew(&site);
    let load = call(&site);
    thread::sleep(Duration::from_secs(1));
    site.replicas[0].set_cold_with(COLD_MS, notice);
    let turned = clock::now();
    sleep_until(turned + COLD_MS);
    assert_bound_kept(&site, |it| cold_arrivals(it, turned + KNOWN_MS));
    let unserved: Vec<_> = load.join().into_iter().filter(|it| it.answer.status != 200).collect();
    assert!(unserved.is_empty(), "{} unserved: {:?}", unserved.len(), unserved.first());
}

#[test]
fn verify_a_target_that_turns_cold_is_limited() {
    check_turns_cold(ColdNotice::Item);
}

#[test]
fn verify_a_target_that_says_only_in_answers_that_it_is_cold_is_limited() {
    check_turns_cold(ColdNotice::Answers);
}

/// First pattern of the return of a hall: an evacuation ends while callers are refused or wait. No
/// target says that it is cold.
#[test]
fn verify_targets_are_limited_after_an_evacuation() {
    let mut site = empty_site(ENTRIES);
    for hall in [HALL, HALL, OTHER] {
        site.add_replica_in(hall, "orders");
    }
    site.settle(3);
    site.replicas[2].set_limit(Some(5.0));
    let load = call(&site);
    thread::sleep(Duration::from_secs(1));
    let evacuated = site.evacuate(HALL);
    sleep_until(evacuated + 3_000);
    let before: usize = site.replicas[..2].iter().map(|it| it.arrivals().len()).sum();
    let released = site.release(HALL);
    let limited_until = released + (START_S * 1_000.0) as u64;
    sleep_until(limited_until);
    let after: usize = site.replicas[..2].iter().map(|it| it.arrivals().len()).sum();
    assert!(after > before, "the hall is used again");
    let limited = |it: &Arrival| (released..limited_until).contains(&it.at);
    assert_bound_kept(&site, |it| {
        let in_hall = it.hall == HALL;
        it.arrivals().into_iter().filter(|it| in_hall && limited(it)).collect()
    });
    drop(load);
}

/// Second pattern: all targets of a hall lose power and return cold while the other hall is at its
/// limit.
#[test]
fn verify_targets_are_limited_when_a_hall_returns_after_a_loss_of_power() {
    let mut site = empty_site(ENTRIES);
    for hall in [HALL, HALL, OTHER] {
        site.add_replica_in(hall, "orders");
    }
    site.settle(3);
    site.replicas[2].set_limit(Some(5.0));
    let load = call(&site);
    thread::sleep(Duration::from_secs(1));
    site.replicas[..2].iter().for_each(Replica::crash);
    thread::sleep(Duration::from_secs(2));
    for index in 0..2 {
        let next = site.replicas[index].new_incarnation();
        next.set_cold(COLD_MS);
        site.list(&next, "ready");
        site.replicas[index] = next;
    }
    let _renewal = renew(&site);
    let returned = clock::now();
    sleep_until(returned + COLD_MS);
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
    assert_rate_used(&site.replicas[..2], returned + 2_000, returned + 7_000);
    drop(load);
}

/// Third pattern: a cold group becomes ready while many requests wait for it.
#[test]
fn verify_a_group_that_opens_with_a_full_queue_is_limited() {
    let mut site = Site::open(0);
    site.node = limits::COLD_LIST_SETTING.to_owned();
    let mut spawned = SiteWithAgents::spawn_with(site, &[HALL, OTHER], limits::COLD_SETTINGS);
    // The entry lets no more requests wait than the group has slots.
    spawned.site.replicas.iter_mut().for_each(|it| it.slots = 100);
    let site = &spawned.site;
    let mut configuration = site::with_cold(waiting::configuration(3, 1_500), RATE, START_S);
    configuration["services"][0]["engine"]["slots"] = 100.into();
    site.replicas.iter().for_each(|it| it.set_cold(COLD_MS));
    let _renewal = renew(site);
    thread::sleep(Duration::from_millis(KNOWN_MS));
    let callers = waiting::wait_for_group(site, &configuration, 40);
    waiting::open_group(site);
    thread::sleep(Duration::from_secs(5));
    assert_bound_kept(site, |it| cold_arrivals(it, 0));
    let used: usize = site.replicas.iter().map(|it| it.arrivals().len()).sum();
    assert!(used as f64 >= 2.0 * RATE, "the group got {used} requests");
    drop(callers);
}

/// One entry knows no other one, and the agents count all of them. Guards against parts of the rate
/// that two sides of a partition hold at once.
#[test]
fn verify_the_bound_is_kept_by_an_entry_that_is_cut_off_from_the_others() {
    let mut site = Site::open(0);
    site.node = limits::COLD_LIST_SETTING.to_owned();
    let mut spawned = SiteWithAgents::spawn_with(site, &[HALL; 3], limits::COLD_SETTINGS);
    let configuration = site::with_cold(waiting::configuration(3, 100), RATE, START_S);
    let revision = spawned.site.configure(&configuration);
    let more = spawned.more.clone();
    spawned.site.add_entry_with_seeds(&more, 1);
    spawned.site.add_entry_with_seeds(&more, 0);
    let site = &spawned.site;
    wait_for("all entries are counted and have the configuration", || {
        let known = |status: serde_json::Value| {
            status["entries"].as_u64() == Some(ENTRIES as u64)
                && status["revision"].as_u64() >= Some(revision)
        };
        (0..ENTRIES).all(|it| known(site.status(it)))
    });
    let load = call(site);
    thread::sleep(Duration::from_secs(2));
    let _renewal = renew(site);
    site.replicas.iter().for_each(|it| it.set_cold(COLD_MS));
    let turned = clock::now();
    sleep_until(turned + COLD_MS);
    assert_bound_kept(site, |it| cold_arrivals(it, turned + KNOWN_MS));
    let before = |it: &&Arrival| it.at < turned;
    let used = site.replicas.iter().map(|it| it.arrivals().iter().filter(before).count());
    let used: Vec<usize> = used.collect();
    assert!(used.iter().all(|it| *it > 30), "warm targets got {used:?} requests");
    drop(load);
}

/// Entries that have sent nothing so far meet the cold target at the same moment, again and again.
/// Guards against buckets that start full, and against too many holders of a part.
#[test]
fn verify_seventeen_entries_that_meet_a_cold_target_at_once_keep_the_bound() {
    const MANY: usize = 17;
    const CALLERS: usize = 2;
    const ROUNDS: u64 = 6;
    let mut site = empty_site(MANY);
    wait_for("all entries know each other", || {
        (0..MANY).all(|it| site.status(it)["entries"].as_u64() == Some(MANY as u64))
    });
    thread::sleep(Duration::from_millis(1_500));
    add_cold(&mut site);
    let _renewal = renew(&site);
    for entry in 0..MANY {
        let admin = site.entries[entry].addr("admin");
        let listed = || metric(&admin, "sablepass_targets", "state=\"listed\"") == 1.0;
        wait_for("the entry lists the target", listed);
    }
    let started = clock::now();
    let barrier = Barrier::new(MANY * CALLERS);
    let caller = |entry: usize, number: usize| {
        for round in 0..ROUNDS {
            sleep_until(started + round * 700);
            barrier.wait();
            let id = format!("{entry}-{number}-{round}");
            ask("POST", "/safe/x", &id, "q").with("x-deadline-ms", "600").send(&site.http(entry));
        }
    };
    thread::scope(|scope| {
        let all = (0..MANY).flat_map(|entry| (0..CALLERS).map(move |number| (entry, number)));
        for (entry, number) in all {
            scope.spawn(move || caller(entry, number));
        }
    });
    assert_bound_kept(&site, |it| cold_arrivals(it, 0));
    let used = cold_arrivals(&site.replicas[0], 0).len();
    assert!(used as u64 >= ROUNDS, "the target got {used} requests");
}

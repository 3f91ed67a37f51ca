// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The platform's store is restored from a copy: it loses what it had confirmed since, and
//! gives out the same revisions again. Operators and targets write anew what was lost.

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::keys::{Backup, Mode};
use sablepass_stand::replica::Mode::{Good, Shed};
use sablepass_stand::site::{self, KEY, Site, ask};
use serde_json::{Value, json};

const ENTRIES: usize = 5;
/// Within this time a confirmed configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Era of the store after it was restored; it begins in the first one.
const SECOND: u64 = 2;

fn site(replicas: usize) -> Site {
    let mut site = Site::open(replicas);
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.settle(replicas);
    site
}

/// A configuration with a public route of its own besides the usual ones.
fn with_route(version: u64) -> Value {
    let mut it = site::configuration(version);
    let mut route = it["routes"][1].clone();
    route["name"] = json!(format!("added-{version}"));
    route["pathPrefix"] = json!(format!("/added-{version}/"));
    it["routes"].as_array_mut().expect("routes").push(route);
    it
}

/// Status of a request on the route that a version has.
fn on_route(site: &Site, entry: usize, version: u64) -> u16 {
    let path = format!("/added-{version}/x");
    ask("GET", &path, &format!("r-{entry}-{version}"), "").send(&site.http(entry)).status
}

fn wait_in_force(site: &Site, version: u64) {
    let written = Instant::now();
    for entry in 0..site.entries.len() {
        let what = format!("version {version} is in force at entry {entry}");
        wait_for(&what, || on_route(site, entry, version) == 200);
        assert!(written.elapsed() < IN_FORCE, "{what}: {:?}", written.elapsed());
    }
}

/// The store is away for a moment and comes back from a copy.
fn restore(site: &Site, copy: &Backup) {
    site.store.set(Mode::Down);
    thread::sleep(Duration::from_millis(300));
    site.store.restore(copy, SECOND);
    site.store.set(Mode::Up);
}

/// Versions confirmed after the copy raise the revision that processes hold, so that what
/// is written to the restored store has lower ones.
#[test]
fn verify_a_configuration_is_in_force_in_time_after_the_store_was_restored() {
    let site = site(1);
    let copy = site.store.backup();
    for version in 2..8 {
        site.configure(&with_route(version));
    }
    wait_in_force(&site, 7);
    restore(&site, &copy);
    thread::sleep(Duration::from_secs(1));
    site.configure(&with_route(8));
    wait_in_force(&site, 8);
}

/// The restored store gives the revision that processes hold to another version.
#[test]
fn verify_a_revision_that_is_given_out_again_is_read_again() {
    let site = site(1);
    let copy = site.store.backup();
    let held = site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.store.set(Mode::Down);
    site.store.restore(&copy, SECOND);
    assert_eq!(site.configure(&with_route(3)), held);
    site.store.set(Mode::Up);
    wait_in_force(&site, 3);
}

/// The restored store is past the revision that processes hold when they ask again, so
/// that a watch from there succeeds and gives nothing of what was written before it.
#[test]
fn verify_a_watch_from_before_the_restore_misses_nothing() {
    let site = site(1);
    let copy = site.store.backup();
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.store.set(Mode::Down);
    site.store.restore(&copy, SECOND);
    site.configure(&with_route(3));
    for _ in 0..10 {
        site.list(&site.replicas[0], "ready");
    }
    site.store.set(Mode::Up);
    wait_in_force(&site, 3);
}

/// What the operator wrote is written again only some seconds after the store is back.
#[test]
fn verify_a_restored_store_takes_back_nothing_that_was_in_force() {
    let mut site = site(1);
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    let copy = site.store.backup();
    let mut third = with_route(3);
    third["tenants"][0]["apiKeys"] = json!(["another-key-of-the-customer"]);
    site.configure(&third);
    let with_key = |site: &Site, entry: usize, key: &str| {
        let mut ask = ask("GET", "/added-3/x", &format!("k-{entry}"), "");
        ask.headers.retain(|it| it.0 != "authorization");
        ask.with("authorization", &format!("Bearer {key}")).send(&site.http(entry)).status
    };
    for entry in 0..ENTRIES {
        let taken = || with_key(&site, entry, KEY) == 401;
        wait_for("the key is taken away", taken);
    }
    restore(&site, &copy);
    let until = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < until {
        for entry in 0..ENTRIES {
            assert_eq!(with_key(&site, entry, KEY), 401, "entry {entry} took an old key");
            let added = with_key(&site, entry, "another-key-of-the-customer");
            assert_eq!(added, 200, "entry {entry} lost a route");
        }
        thread::sleep(Duration::from_millis(50));
    }
    // A process that knows only the restored store learns better from the others.
    let fresh = site.add_entry("");
    wait_for("a fresh entry knows the route", || {
        with_key(&site, fresh, "another-key-of-the-customer") == 200
    });
    assert_eq!(with_key(&site, fresh, KEY), 401, "the fresh entry took an old key");
    site.configure(&third);
    site.configure(&site::configuration(4));
    for entry in 0..=ENTRIES {
        wait_for("the route is gone", || with_key(&site, entry, KEY) == 404);
    }
}

/// Replicas that were not in the copy write their entries again.
#[test]
fn verify_targets_written_after_the_copy_serve_on() {
    let mut site = site(2);
    let copy = site.store.backup();
    site.add_replica("orders");
    site.settle(3);
    restore(&site, &copy);
    site.replicas.iter().for_each(|it| site.list(it, "ready"));
    thread::sleep(Duration::from_secs(4));
    site.settle(3);
}

/// The copy names targets that have left since, as if they were ready.
#[test]
fn verify_a_target_that_left_before_the_restore_gets_nothing_more() {
    for says_so in [true, false] {
        let site = site(3);
        let copy = site.store.backup();
        let leaving = &site.replicas[0];
        if says_so {
            site.list(leaving, "draining");
        } else {
            site.store.remove(&format!("servers/{}", leaving.id));
        }
        site.settle(2);
        // It is gone for good at all entries.
        thread::sleep(Duration::from_secs(2));
        let before = leaving.arrivals().len();
        restore(&site, &copy);
        site.replicas[1..].iter().for_each(|it| site.list(it, "ready"));
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            for entry in 0..ENTRIES {
                let path = "/safe/x";
                let answer = ask("GET", path, "after", "").send(&site.http(entry));
                assert_eq!(answer.status, 200, "{answer:?}");
            }
        }
        let sent = leaving.arrivals().len() - before;
        assert_eq!(sent, 0, "says so: {says_so}; {sent} requests reached what had left");
    }
}

/// An era that is missing, cannot be read or is far ahead says nothing of where an answer
/// belongs; what the store lists is taken all the same.
#[test]
fn verify_an_era_that_cannot_be_believed_loses_nothing() {
    let site = site(1);
    let bad = ["", "-1", "two", "18446744073709551615", "18446744073709551616"];
    let texts = bad.into_iter().map(Some).chain([None, Some("1")]);
    for (version, text) in (2..).zip(texts) {
        site.store.set_era_header(text);
        site.configure(&with_route(version));
        wait_in_force(&site, version);
    }
    // An entry that another one told first has no answer of its own.
    let count = |entry: usize| {
        let admin = site.entries[entry].addr("admin");
        metric(&admin, "sablepass_bad_items_total", "reason=\"era\"")
    };
    let counted: f64 = (0..ENTRIES).map(count).sum();
    assert!(counted >= bad.len() as f64, "{counted} counted");
}

/// Something still answers as the store before it was restored.
#[test]
fn verify_answers_of_an_earlier_era_take_nothing_back() {
    let site = site(1);
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    let before = site.store.backup();
    restore(&site, &before);
    site.configure(&with_route(3));
    wait_in_force(&site, 3);
    let after = site.store.backup();
    site.store.restore(&before, 1);
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        for entry in 0..ENTRIES {
            assert_eq!(on_route(&site, entry, 3), 200, "entry {entry}");
        }
    }
    site.store.restore(&after, SECOND);
    site.configure(&with_route(4));
    wait_in_force(&site, 4);
}

/// Two restores in a moment, and all entries start anew between them: the copy is all that
/// there is until the operator writes again.
#[test]
fn verify_entries_that_start_within_restores_learn_what_is_written_again() {
    let mut site = site(2);
    let copy = site.store.backup();
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    restore(&site, &copy);
    for entry in 0..ENTRIES {
        site.entries[entry].kill();
    }
    site.entries.clear();
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.store.restore(&copy, SECOND + 1);
    site.settle(2);
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.configure(&with_route(3));
    wait_in_force(&site, 3);
}

/// Pages of two eras are no read: the first page names what the copy has not.
#[test]
fn verify_pages_from_before_and_after_a_restore_are_no_read() {
    let mut site = site(2);
    let copy = site.store.backup();
    site.add_replica("orders");
    site.add_replica("orders");
    site.settle(4);
    site.store.restore_within_read(1, &copy, SECOND);
    let fresh = site.add_entry("");
    let listed = || {
        let admin = site.entries[fresh].addr("admin");
        metric(&admin, "sablepass_targets", "state=\"listed\"")
    };
    wait_for("the fresh entry lists what the copy has", || listed() == 2.0);
    site.replicas.iter().for_each(|it| site.list(it, "ready"));
    site.settle(4);
}

/// A refusal names the era as well, and the store may pass the held revision meanwhile.
#[test]
fn verify_a_store_that_refuses_calls_after_a_restore_is_read_anew() {
    let site = site(1);
    let copy = site.store.backup();
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.store.set(Mode::Refusing);
    site.store.restore(&copy, SECOND);
    site.configure(&with_route(3));
    (0..10).for_each(|_| site.list(&site.replicas[0], "ready"));
    wait_in_force(&site, 3);
}

/// What the store says with a field that nobody reads shows before it matters.
#[test]
fn verify_a_field_of_the_store_that_nobody_reads_is_counted() {
    let site = site(1);
    let count = |field: &str| {
        let admin = site.entries[0].addr("admin");
        metric(&admin, "sablepass_fields_unread_total", &format!("field=\"{field}\""))
    };
    site.store.set_extra_header("Store-Mood");
    site.configure(&with_route(2));
    wait_for("it is counted", || count("store-mood") >= 1.0);
    assert_eq!(count("store-era"), 0.0);
    let said = |it: &Value| it["field"] == "store-mood" && it["target"] == "platform";
    let lines = || site.entries[0].log().into_iter().filter(said).count();
    // Lines are written beside the counters.
    wait_for("it is logged", || lines() > 0);
    let before = count("store-mood");
    site.configure(&with_route(3));
    wait_for("it is counted again", || count("store-mood") > before);
    wait_for("a later line is there", || {
        let later = |it: &Value| it["versions"] == "op/config=3";
        site.entries[0].log().iter().any(later)
    });
    assert_eq!(lines(), 1, "it is logged once");
}

/// A store whose pages never are of one era is asked again and again, with pauses.
#[test]
fn verify_pages_of_changing_eras_are_not_asked_for_without_a_pause() {
    let mut site = site(3);
    site.store.alternate_eras(1);
    site.add_entry("");
    let before = site.store.calls();
    thread::sleep(Duration::from_secs(2));
    let calls = site.store.calls() - before;
    // Two pages a try, ten tries a second at most, and the watches of the others.
    assert!(calls < 100, "{calls} calls in two seconds");
}

/// A copy lists the life that a target had before it started anew: what the present life
/// asked for holds.
#[test]
fn verify_a_rest_outlasts_a_copy_that_lists_an_earlier_life() {
    let mut site = Site::open(2);
    site.add_entry("");
    site.settle(2);
    let copy = site.store.backup();
    site.replicas[0].crash();
    let reborn = site.replicas[0].new_incarnation();
    site.list(&reborn, "ready");
    site.settle(2);
    reborn.set(Shed(5_000));
    let send = |number: usize| {
        ask("GET", "/safe/x", &format!("rest-{number}"), "").send(&site.http(0));
    };
    wait_for("it has asked for a rest", || {
        send(0);
        !reborn.arrivals().is_empty()
    });
    let told = reborn.arrivals().len();
    reborn.set(Good);
    site.store.restore(&copy, SECOND);
    thread::sleep(Duration::from_millis(400));
    site.list(&reborn, "ready");
    let until = Instant::now() + Duration::from_secs(2);
    (1..).take_while(|_| Instant::now() < until).for_each(send);
    let sent = reborn.arrivals().len() - told;
    assert!(sent <= 2, "{sent} requests reached it while it rests");
}

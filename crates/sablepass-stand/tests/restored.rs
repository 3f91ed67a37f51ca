// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The platform's store is restored from a backup: it loses the writes that it had confirmed
//! since, and assigns their revisions again. Operators and targets repeat the lost writes.

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::keys::{Backup, Mode};
use sablepass_stand::replica::Mode::{Good, Shed};
use sablepass_stand::site::{self, KEY, Site, ask};
use serde_json::{Value, json};

const ENTRIES: usize = 5;
/// Time within which a confirmed configuration must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Era of the store after its first restore; a store starts in era 1.
const SECOND: u64 = 2;

fn site(replicas: usize) -> Site {
    let mut site = Site::open(replicas);
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.settle(replicas);
    site
}

/// A configuration with the usual routes and a public one that is named after the version.
fn with_route(version: u64) -> Value {
    let mut configuration = site::configuration(version);
    let mut route = configuration["routes"][1].clone();
    route["name"] = json!(format!("added-{version}"));
    route["pathPrefix"] = json!(format!("/added-{version}/"));
    configuration["routes"].as_array_mut().expect("routes").push(route);
    configuration
}

/// Status of a request on the route that is named after the version.
fn status_on_route(site: &Site, entry: usize, version: u64) -> u16 {
    let path = format!("/added-{version}/x");
    ask("GET", &path, &format!("r-{entry}-{version}"), "").send(&site.http(entry)).status
}

fn wait_in_force(site: &Site, version: u64) {
    let waiting_since = Instant::now();
    for entry in 0..site.entries.len() {
        let what = format!("version {version} is in force at entry {entry}");
        wait_for(&what, || status_on_route(site, entry, version) == 200);
        assert!(waiting_since.elapsed() < IN_FORCE, "{what}: {:?}", waiting_since.elapsed());
    }
}

/// Takes the store down for 300 ms and brings it back from a backup.
fn restore(site: &Site, backup: &Backup) {
    site.store.set(Mode::Down);
    thread::sleep(Duration::from_millis(300));
    site.store.restore(backup, SECOND);
    site.store.set(Mode::Up);
}

/// Versions confirmed after the backup raise the revision that processes have seen, so that
/// writes to the restored store get lower revisions.
#[test]
fn verify_a_configuration_is_in_force_in_time_after_the_store_was_restored() {
    let site = site(1);
    let backup = site.store.backup();
    for version in 2..8 {
        site.configure(&with_route(version));
    }
    wait_in_force(&site, 7);
    restore(&site, &backup);
    thread::sleep(Duration::from_secs(1));
    site.configure(&with_route(8));
    wait_in_force(&site, 8);
}

/// The restored store assigns the revision that processes have seen to another version.
#[test]
fn verify_a_revision_that_is_assigned_again_is_read_again() {
    let site = site(1);
    let backup = site.store.backup();
    let seen_revision = site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.store.set(Mode::Down);
    site.store.restore(&backup, SECOND);
    assert_eq!(site.configure(&with_route(3)), seen_revision);
    site.store.set(Mode::Up);
    wait_in_force(&site, 3);
}

/// The restored store has passed the revision that processes have seen when they reconnect. A
/// watch from this revision succeeds, but delivers none of the writes below it.
#[test]
fn verify_a_watch_from_before_the_restore_misses_nothing() {
    let site = site(1);
    let backup = site.store.backup();
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.store.set(Mode::Down);
    site.store.restore(&backup, SECOND);
    site.configure(&with_route(3));
    for _ in 0..10 {
        site.list(&site.replicas[0], "ready");
    }
    site.store.set(Mode::Up);
    wait_in_force(&site, 3);
}

/// The operator repeats the lost write only seconds after the store is back; until then the
/// configuration that was in force must stay so.
#[test]
fn verify_a_restored_store_does_not_revert_a_configuration_in_force() {
    let mut site = site(1);
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    let backup = site.store.backup();
    let mut version_3 = with_route(3);
    version_3["tenants"][0]["apiKeys"] = json!(["another-key-of-the-customer"]);
    site.configure(&version_3);
    let with_key = |site: &Site, entry: usize, key: &str| {
        let mut ask = ask("GET", "/added-3/x", &format!("k-{entry}"), "");
        ask.headers.retain(|it| it.0 != "authorization");
        ask.with("authorization", &format!("Bearer {key}")).send(&site.http(entry)).status
    };
    for entry in 0..ENTRIES {
        let revoked = || with_key(&site, entry, KEY) == 401;
        wait_for("the key is revoked", revoked);
    }
    restore(&site, &backup);
    let until = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < until {
        for entry in 0..ENTRIES {
            assert_eq!(with_key(&site, entry, KEY), 401, "entry {entry} accepted a revoked key");
            let added = with_key(&site, entry, "another-key-of-the-customer");
            assert_eq!(added, 200, "entry {entry} lost a route");
        }
        thread::sleep(Duration::from_millis(50));
    }
    // An entry that has read only the restored store gets the newer state from the others.
    let fresh = site.add_entry("");
    wait_for("the new entry knows the route", || {
        with_key(&site, fresh, "another-key-of-the-customer") == 200
    });
    assert_eq!(with_key(&site, fresh, KEY), 401, "the new entry accepted a revoked key");
    site.configure(&version_3);
    site.configure(&site::configuration(4));
    for entry in 0..=ENTRIES {
        wait_for("the route is removed", || with_key(&site, entry, KEY) == 404);
    }
}

/// A target that the backup lacks writes its line again after the restore, and must stay in use.
#[test]
fn verify_targets_listed_after_the_backup_stay_in_use() {
    let mut site = site(2);
    let backup = site.store.backup();
    site.add_replica("orders");
    site.settle(3);
    restore(&site, &backup);
    site.replicas.iter().for_each(|it| site.list(it, "ready"));
    thread::sleep(Duration::from_secs(4));
    site.settle(3);
}

/// The backup lists a target as ready that has left since.
#[test]
fn verify_a_target_that_left_before_the_restore_gets_no_more_requests() {
    for announced in [true, false] {
        let site = site(3);
        let backup = site.store.backup();
        let leaving = &site.replicas[0];
        if announced {
            site.list(leaving, "draining");
        } else {
            site.store.remove(&format!("servers/{}", leaving.id));
        }
        site.settle(2);
        // Afterwards all entries treat the removal as final.
        thread::sleep(Duration::from_secs(2));
        let before = leaving.arrivals().len();
        restore(&site, &backup);
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
        assert_eq!(
            sent, 0,
            "announced: {announced}; {sent} requests reached a target that had left"
        );
    }
}

/// An era that is missing, malformed or implausibly far ahead doesn't say to which era an answer
/// belongs. The answer's contents must be applied nevertheless, and the bad era counted.
#[test]
fn verify_an_answer_with_an_invalid_era_is_applied() {
    let site = site(1);
    let invalid = ["", "-1", "two", "18446744073709551615", "18446744073709551616"];
    let texts = invalid.into_iter().map(Some).chain([None, Some("1")]);
    for (version, text) in (2..).zip(texts) {
        site.store.set_era_header(text);
        site.configure(&with_route(version));
        wait_in_force(&site, version);
    }
    // An entry that received a version from another one may have read no answer itself, so that
    // only the sum over all entries is known.
    let count = |entry: usize| {
        let admin = site.entries[entry].addr("admin");
        metric(&admin, "sablepass_bad_items_total", "reason=\"era\"")
    };
    let counted: f64 = (0..ENTRIES).map(count).sum();
    assert!(counted >= invalid.len() as f64, "{counted} invalid eras counted");
}

/// A server still answers with the state and era from before the restore.
#[test]
fn verify_answers_of_an_earlier_era_revert_nothing() {
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
            assert_eq!(status_on_route(&site, entry, 3), 200, "entry {entry}");
        }
    }
    site.store.restore(&after, SECOND);
    site.configure(&with_route(4));
    wait_in_force(&site, 4);
}

/// All entries are restarted between two restores that follow each other closely, so that the
/// backup is their only source until the operator repeats the lost writes.
#[test]
fn verify_entries_started_between_restores_apply_repeated_writes() {
    let mut site = site(2);
    let backup = site.store.backup();
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    restore(&site, &backup);
    for entry in 0..ENTRIES {
        site.entries[entry].kill();
    }
    site.entries.clear();
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.store.restore(&backup, SECOND + 1);
    site.settle(2);
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.configure(&with_route(3));
    wait_in_force(&site, 3);
}

/// Pages of two eras must not be combined into one read: the first page, from before the
/// restore, lists targets that the backup lacks.
#[test]
fn verify_pages_from_before_and_after_a_restore_are_not_combined() {
    let mut site = site(2);
    let backup = site.store.backup();
    site.add_replica("orders");
    site.add_replica("orders");
    site.settle(4);
    site.store.restore_within_read(1, &backup, SECOND);
    let fresh = site.add_entry("");
    let listed = || {
        let admin = site.entries[fresh].addr("admin");
        metric(&admin, "sablepass_targets", "state=\"listed\"")
    };
    wait_for("the new entry lists the targets of the backup", || listed() == 2.0);
    site.replicas.iter().for_each(|it| site.list(it, "ready"));
    site.settle(4);
}

/// Refusals carry the era as well, and the store may pass the revision that entries have seen
/// while it refuses calls.
#[test]
fn verify_a_store_that_refuses_calls_after_a_restore_is_read_in_full_again() {
    let site = site(1);
    let backup = site.store.backup();
    site.configure(&with_route(2));
    wait_in_force(&site, 2);
    site.store.set(Mode::Refusing);
    site.store.restore(&backup, SECOND);
    site.configure(&with_route(3));
    (0..10).for_each(|_| site.list(&site.replicas[0], "ready"));
    wait_in_force(&site, 3);
}

/// Header fields of the store that entries don't read are counted and logged once, so that
/// operators notice an extension of the store's interface.
#[test]
fn verify_an_unread_header_field_of_the_store_is_counted() {
    let site = site(1);
    let count = |field: &str| {
        let admin = site.entries[0].addr("admin");
        metric(&admin, "sablepass_fields_unread_total", &format!("field=\"{field}\""))
    };
    site.store.set_extra_header("Store-Mood");
    site.configure(&with_route(2));
    wait_for("the field is counted", || count("store-mood") >= 1.0);
    assert_eq!(count("store-era"), 0.0);
    let names_field = |it: &Value| it["field"] == "store-mood" && it["target"] == "platform";
    let lines = || site.entries[0].log().into_iter().filter(names_field).count();
    // Log lines are written asynchronously to the counters.
    wait_for("the field is logged", || lines() > 0);
    let before = count("store-mood");
    site.configure(&with_route(3));
    wait_for("the field is counted again", || count("store-mood") > before);
    wait_for("a later line is logged", || {
        let later = |it: &Value| it["versions"] == "op/config=3";
        site.entries[0].log().iter().any(later)
    });
    assert_eq!(lines(), 1, "the field is logged once");
}

/// Reads of a store whose pages always differ in their era are retried with a back-off.
#[test]
fn verify_reads_with_changing_eras_are_retried_with_a_back_off() {
    let mut site = site(3);
    site.store.alternate_eras(1);
    site.add_entry("");
    let before = site.store.calls();
    thread::sleep(Duration::from_secs(2));
    let calls = site.store.calls() - before;
    // Two pages per attempt, at most ten attempts a second, and the watches of other entries.
    assert!(calls < 100, "the store got {calls} calls in two seconds");
}

/// The restored backup lists the incarnation before a target's restart. The pause that the
/// present incarnation requested must stay in effect.
#[test]
fn verify_a_requested_pause_outlasts_a_backup_with_an_earlier_incarnation() {
    let mut site = Site::open(2);
    site.add_entry("");
    site.settle(2);
    let backup = site.store.backup();
    site.replicas[0].crash();
    let restarted = site.replicas[0].new_incarnation();
    site.list(&restarted, "ready");
    site.settle(2);
    restarted.set(Shed(5_000));
    let send = |number: usize| {
        ask("GET", "/safe/x", &format!("rest-{number}"), "").send(&site.http(0));
    };
    wait_for("the target requests a pause", || {
        send(0);
        !restarted.arrivals().is_empty()
    });
    let before = restarted.arrivals().len();
    restarted.set(Good);
    site.store.restore(&backup, SECOND);
    thread::sleep(Duration::from_millis(400));
    site.list(&restarted, "ready");
    let until = Instant::now() + Duration::from_secs(2);
    (1..).take_while(|_| Instant::now() < until).for_each(send);
    let sent = restarted.arrivals().len() - before;
    assert!(sent <= 2, "{sent} requests reached the target during its pause");
}

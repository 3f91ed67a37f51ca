// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Invalid values from other writers of the platform's store: real entries must ignore them and
//! still use the valid ones.

use std::time::Duration;

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::replica::{Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask};

/// Time after which a target with an invalid entry in the store gets no more requests. The same
/// limit applies to targets that are leaving.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Values that describe no replica. The first is not even base64.
const INVALID_VALUES: [&str; 4] = ["no base64 !", "/w==", "W10=", "eyJzZXJ2aWNlIjoib3JkZXJzIn0="];

fn site() -> Site {
    let mut site = Site::open(3);
    site.add_entry("");
    site.settle(3);
    site
}

/// Overwrites a replica's entry in the store.
fn overwrite(site: &Site, replica: &Replica, value: &str) {
    site.store.put_raw(&format!("servers/{}", replica.id), value);
}

/// Number of targets that an entry can use.
fn usable(site: &Site, entry: usize) -> f64 {
    let admin = site.entries[entry].addr("admin");
    metric(&admin, "sablepass_targets", "state=\"usable\"")
}

fn send(site: &Site, entry: usize, id: &str) -> Answer {
    ask("POST", "/safe/x", id, "q").send(&site.http(entry))
}

/// Running requests of a replica with an invalid entry are completed, and new ones go to the other
/// replicas. The replica is used again once its entry is valid.
#[test]
fn verify_invalid_replica_entry_excludes_only_that_replica() {
    for value in INVALID_VALUES {
        let site = site();
        let bad = &site.replicas[0];
        site.replicas.iter().for_each(|it| it.set(Mode::Hold(2)));
        let addr = site.http(0);
        let held: Vec<_> = (0..6)
            .map(|it| {
                let addr = addr.clone();
                std::thread::spawn(move || {
                    ask("POST", "/stream/x", &format!("held-{it}"), "p").send(&addr)
                })
            })
            .collect();
        wait_for("the replica runs a stream", || !bad.runs().is_empty());
        overwrite(&site, bad, value);
        wait_for("the replica with the invalid entry is not usable", || usable(&site, 0) == 2.0);
        site.replicas.iter().for_each(|it| it.set(Mode::Good));
        for (number, call) in held.into_iter().enumerate() {
            let answer = call.join().expect("the caller thread panicked");
            assert_eq!(answer.body, all_events(&format!("held-{number}")), "{value}");
        }
        let before = bad.runs().len();
        (0..12).for_each(|it| assert_eq!(send(&site, 0, &format!("n{it}")).status, 200));
        assert_eq!(bad.runs().len(), before, "{value}: the replica got new requests");
        site.list(bad, "ready");
        wait_for("the replica is usable again", || usable(&site, 0) == 3.0);
    }
}

/// An entry that starts reads all values of the store. It must treat an invalid one as an entry
/// does that received it by its watch.
#[test]
fn verify_full_read_and_watch_treat_an_invalid_value_alike() {
    let mut site = site();
    overwrite(&site, &site.replicas[0], INVALID_VALUES[0]);
    wait_for("the replica with the invalid entry is not usable", || usable(&site, 0) == 2.0);
    let fresh = site.add_entry("");
    wait_for("the other replicas are usable", || usable(&site, fresh) == 2.0);
    std::thread::sleep(DRAIN_LIMIT / 2);
    assert_eq!(usable(&site, fresh), 2.0);
    let id = format!("servers/{}", site.replicas[0].id);
    let log_lines = |entry: usize| {
        let log = site.entries[entry].log();
        log.iter().filter(|it| it["event"] == "item not taken" && it["key"] == id).count()
    };
    assert_eq!((log_lines(0), log_lines(fresh)), (1, 1), "expected one log line per change");
    let admin = site.entries[fresh].addr("admin");
    assert_eq!(metric(&admin, "sablepass_bad_items_total", "reason=\"base64\""), 1.0);
}

/// The last accepted configuration stays in force, even if the newest is not text.
#[test]
fn verify_invalid_configuration_leaves_the_last_one_in_force() {
    for value in ["no base64 !", "/w==", "W10="] {
        let site = site();
        site.store.put_raw("op/config", value);
        let admin = site.entries[0].addr("admin");
        wait_for("the configuration is refused", || {
            let status = site.status(0);
            status["documents"][0]["refused"].is_string()
        });
        assert_eq!(send(&site, 0, "after").status, 200, "{value}");
        assert!(metric(&admin, "sablepass_requests_total", "") >= 1.0);
        // The entry still follows changes of the instance list.
        overwrite(&site, &site.replicas[1], "no base64 !");
        wait_for("the replica with the invalid entry is not usable", || usable(&site, 0) == 2.0);
    }
}

/// Entries of replicas that JSON or the entry's own types can hardly hold. `ADDRESS` stands for the
/// address of the replica.
fn odd_entries() -> Vec<(&'static str, String)> {
    let entry = |field: &str, value: &str| {
        let fields = [
            ("service", "\"orders\""),
            ("address", "\"ADDRESS\""),
            ("zone", "\"ba-1\""),
            ("version", "\"v1\""),
            ("slots", "12"),
            ("state", "\"ready\""),
            ("coldRemainingMs", "0"),
            ("seq", "4"),
        ];
        let others = fields.iter().filter(|it| it.0 != field);
        let text: Vec<String> = others.map(|(name, value)| format!("\"{name}\":{value}")).collect();
        format!("{{{},\"{field}\":{value}}}", text.join(","))
    };
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = |depth: usize| format!("{}0{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    let huge = "9".repeat(400);
    vec![
        ("nested", nested(200_000)),
        ("nested objects", objects(100_000)),
        ("unclosed", "[".repeat(300_000)),
        ("nested field", entry("zone", &nested(200_000))),
        ("nested unknown field", entry("other", &nested(200_000))),
        ("slots", entry("slots", &huge)),
        ("slots in powers", entry("slots", "1e400")),
        ("negative slots", entry("slots", "-1")),
        ("fraction of a slot", entry("slots", "0.5")),
        ("sequence", entry("seq", &huge)),
        ("negative sequence", entry("seq", "-1")),
        ("remaining", entry("coldRemainingMs", "1e400")),
        ("start", entry("born", &huge)),
        ("port", entry("address", "\"127.0.0.1:65536\"")),
        ("port 0", entry("address", "\"127.0.0.1:0\"")),
        ("negative port", entry("address", "\"127.0.0.1:-1\"")),
        ("no port", entry("address", "\"127.0.0.1\"")),
        ("any address", entry("address", "\"0.0.0.0:80\"")),
        ("number as address", entry("address", "80")),
        ("field twice", entry("zone", "\"ba-1\",\"zone\":\"ba-2\"")),
        ("long", entry("zone", &format!("\"{}\"", "z".repeat(1 << 20)))),
        ("null", "null".to_owned()),
        ("empty", String::new()),
        ("half a pair", entry("zone", "\"\\ud800\"")),
        ("control byte", entry("zone", "\"a\u{1}b\"")),
        ("escaped line end", entry("zone", "\"a\\n\\u0000\\\"b\"")),
    ]
}

/// Checks that an entry uses a replica that was listed last: it follows the list.
fn check_follows(site: &Site, entry: usize, newest: usize, what: &str) {
    let replica = &site.replicas[newest];
    let before = replica.runs().len();
    let mut number = 0;
    wait_for(&format!("{what}: entry {entry} uses the newest replica"), || {
        number += 1;
        send(site, entry, &format!("{what}-{entry}-{number}"));
        replica.runs().len() > before
    });
}

/// Guards against entries of the list, left by another writer, under which the processes that read
/// it end, or stop to follow it. Each is read by a watch, and by a process that starts.
#[test]
fn verify_odd_replica_entries_neither_end_a_reader_nor_stop_it() {
    let mut site = site();
    for (name, text) in odd_entries() {
        let odd = &site.replicas[0];
        let text = text.replace("ADDRESS", &odd.addr.to_string());
        site.store.put(&format!("servers/{}", odd.id), &text);
        site.store.put("servers/i-odd", &text);
        let newest = site.add_replica("orders");
        check_follows(&site, 0, newest, name);
        let fresh = site.add_entry("");
        check_follows(&site, fresh, newest, name);
        let ended = site.entries.iter_mut().any(Process::ended);
        assert!(!ended, "{name}: a process ended");
        // The next sound version of the same entry is used.
        site.store.remove("servers/i-odd");
        site.list(&site.replicas[0], "ready");
        check_follows(&site, 0, 0, name);
        site.entries.truncate(1);
        let newest = site.replicas.pop().expect("the newest replica");
        site.store.remove(&format!("servers/{}", newest.id));
    }
}

/// Guards against one item of the store, in another form than expected, that keeps all others from
/// being read.
#[test]
fn verify_items_in_another_form_keep_no_other_from_being_read() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let key = "\"tlsKey\":\"servers/i-odd\"";
    let items = [
        format!("{{{key},\"revision\":1,\"value\":{nested}}}"),
        format!("{{{key},\"revision\":1,\"value\":\"e30=\",\"more\":{nested}}}"),
        format!("{{{key},\"revision\":{},\"value\":\"e30=\"}}", "9".repeat(400)),
        format!("{{{key},\"revision\":-1,\"value\":\"e30=\"}}"),
        format!("{{{key},\"revision\":1,\"value\":1e999}}"),
        format!("{{{key},\"revision\":1,\"gone\":7}}"),
        "{\"tlsKey\":7,\"revision\":1,\"value\":\"e30=\"}".to_owned(),
        "{\"revision\":1}".to_owned(),
        "7".to_owned(),
        "null".to_owned(),
        nested.clone(),
    ];
    let mut site = site();
    for (number, item) in items.iter().enumerate() {
        let what = format!("item-{number}");
        site.store.put_item("servers/i-odd", item);
        let newest = site.add_replica("orders");
        check_follows(&site, 0, newest, &what);
        let fresh = site.add_entry("");
        check_follows(&site, fresh, newest, &what);
        let ended = site.entries.iter_mut().any(Process::ended);
        assert!(!ended, "{what}: a process ended");
        site.store.remove("servers/i-odd");
        site.entries.truncate(1);
        let newest = site.replicas.pop().expect("the newest replica");
        site.store.remove(&format!("servers/{}", newest.id));
    }
}

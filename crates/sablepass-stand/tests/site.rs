// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The whole path on the users' platform: real entries, with stand-ins for
//! the store and the replicas. The judge is what the replicas ran.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::keys;
use sablepass_stand::replica::{self, EVENTS, Mode, Replica};
use sablepass_stand::site::{self, CUSTOMER, HOST, KEY, Site, ask};
use sablepass_wire::frame::Codec;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use serde_json::{Value, json};

fn site(replicas: usize) -> Site {
    let mut site = Site::open(replicas);
    site.add_entry("");
    site.settle(replicas);
    site
}

fn all(site: &Site, mode: Mode) {
    site.replicas.iter().for_each(|it| it.set(mode));
}

#[test]
fn verify_each_kind_passes_unchanged() {
    let site = site(2);
    let addr = site.http(0);
    let stream = ask("POST", "/stream/a%20b?x=1&y", "s1", "prompt").send(&addr);
    assert_eq!((stream.status, stream.body.as_str()), (200, replica::all_events("s1").as_str()));
    let safe = ask("GET", "/safe/q?z=%2F", "g1", "").send(&addr);
    assert_eq!((safe.status, safe.body.as_str()), (200, ""));
    let once = ask("POST", "/once/claim", "u1", "one claim").send(&addr);
    assert_eq!((once.status, once.body.as_str()), (200, "one claim"));
    assert_eq!(once.id, "u1");
    let runs: Vec<_> = site.replicas.iter().flat_map(Replica::runs).collect();
    let run = |id: &str| runs.iter().find(|it| it.id == id).expect("it ran").clone();
    assert_eq!(run("s1").line, "POST /stream/a%20b?x=1&y");
    assert_eq!(run("s1").body, b"prompt");
    assert_eq!(run("g1").line, "GET /safe/q?z=%2F");
    for it in &runs {
        assert_eq!(it.field("x-tenant"), CUSTOMER);
        assert_eq!(it.field("authorization"), "", "the key is not shown to replicas");
        let left: u64 = it.field("x-deadline-ms").parse().expect("a number");
        assert!((1..=3_000).contains(&left), "{left} ms are left of a route's 3,000");
    }
}

/// Retries and places are shared over all entries, and few of them read the list,
/// also where most know but one of the others at their start.
#[test]
fn verify_entries_that_meet_at_a_seed_know_of_each_other() {
    let mut site = Site::open(1);
    for _ in 0..6 {
        site.add_entry_with_seeds("", 1);
    }
    let known = |entry| site.status(entry)["entries"].as_u64();
    wait_for("all entries are known", || (0..6).all(|it| known(it) == Some(6)));
}

/// Whoever has not said that it is an entry changes nobody's share.
#[test]
fn verify_names_of_entries_are_taken_from_entries_only() {
    let mut site = Site::open(1);
    site.add_entry("");
    site.settle(1);
    let names = (0..50).map(|it| format!("made-up-{it}")).collect();
    let mut bytes = Vec::new();
    let entries = Body::Entries(wire::Entries { names });
    Codec::open().encode(entries, &mut bytes).expect("encoded");
    let mut stranger = TcpStream::connect(site.entries[0].addr("peers")).expect("connected");
    stranger.write_all(&bytes).expect("sent");
    let admin = site.entries[0].addr("admin");
    let ignored = || metric(&admin, "sablepass_ignored_total", "reason=\"bad-frame\"");
    wait_for("the names are counted as ignored", || ignored() >= 1.0);
    assert_eq!(site.status(0)["entries"].as_u64(), Some(1));
}

#[test]
fn verify_caller_that_leaves_cancels() {
    let site = site(1);
    for (id, mode) in [("gone-early", Mode::Hang), ("gone-late", Mode::Hold(2))] {
        site.replicas[0].set(mode);
        let mut socket = TcpStream::connect(site.http(0)).expect("the entry listens");
        write!(
            socket,
            "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n"
        )
        .expect("written");
        let replica = &site.replicas[0];
        wait_for("it runs", || site.runs(id) == 1);
        let left = Instant::now();
        drop(socket);
        wait_for("it is dropped", || replica.runs().iter().any(|it| it.id == id && it.dropped));
        assert!(left.elapsed() < Duration::from_millis(500), "{id}: {:?}", left.elapsed());
        replica.set(Mode::Good);
    }
}

#[test]
fn verify_stream_goes_on_after_a_reset_within_an_event() {
    let site = site(2);
    for event in 1..=EVENTS {
        all(&site, Mode::ResetIn(event));
        let id = format!("reset-{event}");
        let answer = ask("POST", "/stream/x", &id, "p").send(&site.http(0));
        // The second replica resets as well, unless it begins behind the event.
        all(&site, Mode::Good);
        if answer.status == 200 {
            assert_eq!(answer.body, replica::all_events(&id), "event {event}");
        }
        assert!(site.runs(&id) <= 2, "event {event}");
    }
    let one = &site.replicas[0];
    one.set(Mode::ResetIn(3));
    let mut resumed = 0;
    for round in 0..20 {
        let id = format!("once-reset-{round}");
        let answer = ask("POST", "/stream/x", &id, "p").send(&site.http(0));
        assert_eq!((answer.status, answer.body), (200, replica::all_events(&id)));
        let again = site.replicas.iter().flat_map(Replica::runs);
        resumed += again.filter(|it| it.id == id && it.field("last-event-id") == "2").count();
    }
    assert_eq!(resumed, 1, "one stream was taken up after its second event");
}

#[test]
fn verify_stream_that_cannot_go_on_does_not_look_whole() {
    let site = site(1);
    site.replicas[0].set(Mode::ResetIn(3));
    let mut configuration = site::configuration(2);
    configuration["routes"][0]["streamResume"] = json!(false);
    let revision = site.configure(&configuration);
    wait_for("in force", || site.status(0)["documents"][0]["in_force"] == json!(revision));
    let answer = ask("POST", "/stream/x", "cut", "p").send(&site.http(0));
    assert_eq!(answer.status, 0, "the answer breaks off: {answer:?}");
    assert_eq!(site.runs("cut"), 1);
}

#[test]
fn verify_surplus_answer_goes_to_nobody() {
    let site = site(1);
    site.replicas[0].set(Mode::Twice);
    for round in 0..30 {
        let (id, body) = (format!("twice-{round}"), format!("body {round}"));
        let answer = ask("POST", "/safe/x", &id, &body).send(&site.http(0));
        assert_eq!((answer.status, answer.id, answer.body), (200, id, body));
    }
}

#[test]
fn verify_early_answer_spoils_no_connection() {
    let site = site(1);
    let body = "b".repeat(90_000);
    for round in 0..5 {
        site.replicas[0].set(Mode::Early);
        let id = format!("early-{round}");
        let answer = ask("POST", "/once/x", &id, &body).send(&site.http(0));
        assert_eq!((answer.status, answer.body.as_str()), (200, "early"));
        site.replicas[0].set(Mode::Good);
        let id = format!("next-{round}");
        let next = ask("POST", "/safe/x", &id, "next").send(&site.http(0));
        assert_eq!((next.status, next.body.as_str()), (200, "next"));
    }
    for run in site.replicas[0].runs() {
        assert!(run.body == body.as_bytes() || run.body == b"next", "{}", run.line);
    }
}

#[test]
fn verify_answer_without_length_is_whole() {
    let site = site(1);
    site.replicas[0].set(Mode::Unsized);
    let answer = ask("POST", "/once/x", "unsized", "to the end").send(&site.http(0));
    assert_eq!((answer.status, answer.body.as_str()), (200, "to the end"));
}

#[test]
fn verify_proof_of_not_run_moves_any_request_on() {
    let site = site(2);
    site.replicas[0].set(Mode::Full);
    for round in 0..10 {
        let id = format!("full-{round}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (200, 1), "{answer:?}");
    }
    site.replicas[1].set(Mode::Full);
    let answer = ask("POST", "/once/x", "none-left", "claim").send(&site.http(0));
    assert_eq!((answer.status, site.runs("none-left")), (503, 0), "{answer:?}");
    let seconds: f64 = answer.retry_after.parse().expect("when to come back");
    assert!(seconds > 0.0 && seconds < 1.0);
}

#[test]
fn verify_address_of_another_replica_runs_nothing_twice() {
    let site = site(2);
    let old = site.replicas[0].with_id("i-gone");
    site.list(&old, "ready");
    site.settle(3);
    for round in 0..10 {
        let id = format!("moved-{round}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (200, 1), "{answer:?}");
    }
    assert!(metric(&site.entries[0].addr("admin"), "sablepass_retries_total", "refused") >= 1.0);
}

#[test]
fn verify_successor_at_an_address_gets_the_work_at_once() {
    let mut site = site(0);
    let replica = Replica::spawn("orders");
    site.list(&replica.with_id("i-predecessor"), "ready");
    site.settle(1);
    site.list(&replica, "ready");
    site.settle(2);
    site.replicas.push(replica);
    for round in 0..20 {
        let id = format!("successor-{round}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (200, 1), "{answer:?}");
    }
    let admin = site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_retries_total", "refused"), 0.0, "sent to who is gone");
}

#[test]
fn verify_unsafe_runs_once_and_is_never_told_not_run_without_proof() {
    let site = site(2);
    let bad = [Mode::CloseAfterRun, Mode::Garbage, Mode::Unsigned, Mode::BareBusy];
    for mode in bad {
        all(&site, mode);
        let id = format!("unsafe-{mode:?}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (502, 1), "{mode:?}: {answer:?}");
    }
    all(&site, Mode::Failing);
    let answer = ask("POST", "/once/x", "failing", "claim").send(&site.http(0));
    assert_eq!((answer.status, answer.body.as_str()), (500, "it failed"));
    assert_eq!(site.runs("failing"), 1);
}

#[test]
fn verify_safe_request_is_tried_elsewhere() {
    for mode in [Mode::CloseAfterRun, Mode::Garbage, Mode::Unsigned, Mode::Failing, Mode::BareBusy]
    {
        let site = site(2);
        site.replicas[0].set(mode);
        for round in 0..10 {
            let id = format!("safe-{mode:?}-{round}");
            let answer = ask("POST", "/safe/x", &id, "question").send(&site.http(0));
            assert_eq!((answer.status, answer.body.as_str()), (200, "question"), "{mode:?}");
        }
        all(&site, mode);
        let answer = ask("POST", "/safe/x", "all-bad", "question").send(&site.http(0));
        assert!(matches!(answer.status, 500 | 502), "{mode:?}: {answer:?}");
        assert_eq!(site.runs("all-bad"), 2, "{mode:?}: no more than the route's attempts");
    }
}

/// Requests in a row, and how many of them a target that fails may get: three,
/// and one after each time that it was left alone.
const ROUNDS: usize = 100;
const FEW: usize = 8;

#[test]
fn verify_target_that_fails_gets_little_work() {
    let site = site(4);
    site.replicas[0].set(Mode::Failing);
    let status = |round: usize| {
        ask("POST", "/once/x", &format!("grey-{round}"), "claim").send(&site.http(0)).status
    };
    let failed = (0..ROUNDS).filter(|round| status(*round) != 200).count();
    let tried = site.replicas[0].runs().len();
    assert!(failed <= FEW && tried <= FEW, "{failed} failed, {tried} sent there");
    // It is sound again, and gets its part of the work.
    site.replicas[0].set(Mode::Good);
    wait_for("it gets work", || {
        status(ROUNDS + site.replicas[1].runs().len());
        site.replicas[0].runs().len() > tried
    });
}

#[test]
fn verify_targets_that_all_fail_are_still_asked() {
    let site = site(2);
    site.replicas.iter().for_each(|it| it.set(Mode::Failing));
    for round in 0..20 {
        let id = format!("all-grey-{round}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (500, 1), "the target's own answer");
    }
}

#[test]
fn verify_answer_at_the_route_timeout() {
    let site = site(1);
    let mut configuration = site::configuration(2);
    for route in 0..3 {
        configuration["routes"][route]["timeoutMs"] = json!(300);
    }
    let revision = site.configure(&configuration);
    wait_for("in force", || site.status(0)["documents"][0]["in_force"] == json!(revision));
    site.replicas[0].set(Mode::Hang);
    for path in ["/stream/x", "/safe/x", "/once/x"] {
        let asked = Instant::now();
        let answer = ask("POST", path, path, "").send(&site.http(0));
        let took = asked.elapsed();
        assert_eq!(answer.status, 504, "{path}: {answer:?}");
        assert!((280..700).contains(&(took.as_millis() as u64)), "{path}: {took:?}");
    }
}

#[test]
fn verify_store_down_at_the_start() {
    let mut site = Site::open(1);
    site.store.set(keys::Mode::Down);
    site.add_entry("");
    let addr = site.http(0);
    let early = ask("GET", "/safe/x", "early", "").send(&addr);
    assert_eq!((early.status, site.runs("early")), (503, 0), "{early:?}");
    let ready = |site: &Site, entry: usize| {
        let admin = site.entries[entry].addr("admin");
        ask("GET", "/-/readyz", "", "").send(&admin).status
    };
    assert_eq!(ready(&site, 0), 503);
    site.store.set(keys::Mode::Up);
    site.settle(1);
    assert_eq!(ready(&site, 0), 200);
    assert_eq!(ask("GET", "/safe/x", "later", "").send(&addr).status, 200);
    // A new entry learns all from the first one while the store says nothing.
    site.store.set(keys::Mode::Silent);
    site.add_entry("");
    site.settle(1);
    assert_eq!(ask("GET", "/safe/x", "other", "").send(&site.http(1)).status, 200);
    site.store.set(keys::Mode::Up);
}

#[test]
fn verify_outage_of_the_store_changes_nothing() {
    let site = site(2);
    for mode in [keys::Mode::Down, keys::Mode::Silent] {
        site.store.set(mode);
        for round in 0..5 {
            let id = format!("{mode:?}-{round}");
            assert_eq!(ask("GET", "/safe/x", &id, "").send(&site.http(0)).status, 200);
        }
    }
    // Back again, with a history that it has forgotten, and a change meanwhile.
    let mut configuration = site::configuration(9);
    configuration["routes"][1]["pathPrefix"] = json!("/new/");
    site.configure(&configuration);
    site.store.discard_history();
    site.store.set(keys::Mode::Up);
    wait_for("the change", || ask("GET", "/new/x", "new", "").send(&site.http(0)).status == 200);
    assert_eq!(ask("GET", "/safe/x", "old", "").send(&site.http(0)).status, 404);
}

#[test]
fn verify_configuration_is_followed() {
    let site = site(1);
    let addr = site.http(0);
    let status = |path: &str, key: &str| {
        let mut ask = ask("GET", path, "c", "");
        ask.headers.retain(|it| it.0 != "authorization");
        ask.with("authorization", &format!("Bearer {key}")).send(&addr).status
    };
    assert_eq!(status("/safe/x", KEY), 200);
    assert_eq!(status("/safe/x", "another key"), 401);
    assert_eq!(status("/nowhere/x", KEY), 404);
    let mut configuration = site::configuration(2);
    configuration["tenants"][0]["apiKeys"] = json!(["the next key"]);
    configuration["routes"][1]["pathPrefix"] = json!("/safe/deeper/");
    site.configure(&configuration);
    wait_for("the old key is out", || status("/safe/deeper/x", KEY) == 401);
    assert_eq!(status("/safe/deeper/x", "the next key"), 200);
    assert_eq!(status("/safe/x", "the next key"), 404);
}

#[test]
fn verify_bad_items_lose_nothing() {
    let site = site(1);
    let addr = site.http(0);
    site.store.put("op/config", "{\"version\": 3, \"routes\": \"none\"}");
    site.store.put_raw("servers/i-broken", "this is not base64!");
    site.store.put("servers/i-odd", "{\"service\":\"orders\",\"address\":\"nowhere\"}");
    let refused = |site: &Site| site.status(0)["documents"][0]["refused"].clone();
    wait_for("the refusal shows", || refused(&site) != Value::Null);
    let text = refused(&site).to_string();
    assert!(text.contains("op/config") && text.contains("routes"), "{text}");
    assert_eq!(ask("GET", "/safe/x", "still", "").send(&addr).status, 200);
    let log = |site: &Site, event: &str| {
        site.entries[0].log().iter().any(|it| it["event"] == json!(event))
    };
    wait_for("a line says so", || log(&site, "declaration refused"));
    // What follows a bad item is still learnt.
    site.store.remove("servers/i-broken");
    site.configure(&site::configuration(4));
    wait_for("the next one is in force", || refused(&site) == Value::Null);
}

#[test]
fn verify_leaving_replica_gets_no_new_work() {
    let site = site(2);
    site.list(&site.replicas[0], "draining");
    site.settle(1);
    let before = site.replicas[0].runs().len();
    for round in 0..10 {
        let answer = ask("GET", "/safe/x", &format!("d-{round}"), "").send(&site.http(0));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.replicas[0].runs().len(), before);
    // It is gone; so is the other one, and both come back at once.
    let gone = Instant::now();
    site.store.remove(&format!("servers/{}", site.replicas[0].id));
    site.store.remove(&format!("servers/{}", site.replicas[1].id));
    let answer = ask("GET", "/safe/x", "lapsed", "").send(&site.http(0));
    assert!(gone.elapsed() > Duration::from_secs(1) || answer.status == 200, "{answer:?}");
}

fn raw(site: &Site, request: &str) -> TcpStream {
    let mut socket = TcpStream::connect(site.http(0)).expect("the entry listens");
    socket.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
    socket.write_all(request.as_bytes()).expect("written");
    socket
}

fn first_line(socket: &mut TcpStream) -> String {
    let mut text = [0; 4_096];
    let length = socket.read(&mut text).unwrap_or(0);
    String::from_utf8_lossy(&text[..length]).lines().next().unwrap_or("").to_owned()
}

#[test]
fn verify_declared_limits_hold() {
    let site = site(1);
    let head = format!("POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n");
    let long = format!("{head}x-long: {}\r\ncontent-length: 0\r\n\r\n", "l".repeat(5_000));
    assert!(first_line(&mut raw(&site, &long)).contains(" 431 "));
    let large = ask("POST", "/safe/x", "large", &"b".repeat(100_001)).send(&site.http(0));
    assert!(large.status == 413 || large.status == 0, "{large:?}");
    assert!(first_line(&mut raw(&site, "no http at all\r\n\r\n")).contains(" 400 "));
    let asked = Instant::now();
    assert!(first_line(&mut raw(&site, &head)).contains(" 408 "), "a head that does not end");
    assert!(asked.elapsed() > Duration::from_millis(1_400));
    // A connection that rests is closed after its time, not much before.
    let request = format!("{head}x-request-id: idle\r\ncontent-length: 0\r\n\r\n");
    let mut socket = raw(&site, &request);
    assert!(first_line(&mut socket).contains(" 200 "));
    let rested = Instant::now();
    assert_eq!(socket.read(&mut [0; 16]).unwrap_or(1), 0);
    assert!((1_600..8_000).contains(&(rested.elapsed().as_millis() as u64)));
    assert_eq!(site.replicas[0].runs().len(), 1, "only the last one ran");
}

#[test]
fn verify_connection_is_kept_for_both_sides() {
    let site = site(1);
    let mut socket = raw(&site, "");
    for round in 0..5 {
        let request = format!(
            "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-request-id: k{round}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        );
        socket.write_all(request.as_bytes()).expect("written");
        assert!(first_line(&mut socket).contains(" 200 "), "round {round}");
    }
    assert_eq!(site.replicas[0].connections(), 1);
    assert!(site.replicas[0].runs().iter().all(|it| it.body == b"abc"));
}

#[test]
fn verify_log_leads_from_a_request_to_its_cause() {
    let site = site(1);
    site.replicas[0].set(Mode::CloseAfterRun);
    let answer = ask("POST", "/once/x", "why-failed", "claim").send(&site.http(0));
    assert_eq!(answer.status, 502);
    let lines = |site: &Site| -> Vec<Value> {
        let log = site.entries[0].log();
        log.into_iter().filter(|it| it["id"] == "why-failed").collect()
    };
    wait_for("its lines", || lines(&site).iter().any(|it| it["event"] == "failed"));
    let lines = lines(&site);
    let events: Vec<&str> = lines.iter().filter_map(|it| it["event"].as_str()).collect();
    assert_eq!(events, ["sent", "target broke off", "failed"], "{lines:?}");
    assert_eq!(lines[0]["target"], json!(site.replicas[0].id));
    assert_eq!(lines[0]["route"], "once");
    assert!(lines[0]["revision"].as_u64() > Some(0));
    assert_eq!(lines[1]["sent"], true);
    assert_eq!(
        (&lines[2]["ran"], &lines[2]["reason"]),
        (&json!("unknown"), &json!("engine-broke"))
    );
}

#[test]
fn verify_reload_cuts_no_request() {
    let site = site(1);
    site.replicas[0].set(Mode::Hold(3));
    let addr = site.http(0);
    let call = std::thread::spawn(move || ask("POST", "/stream/x", "reload", "p").send(&addr));
    wait_for("it runs", || site.runs("reload") == 1);
    site.entries[0].reload();
    let said = |event: &str| site.entries[0].log().iter().any(|it| it["event"] == event);
    wait_for("it says so", || said("settings reloaded"));
    site.replicas[0].set(Mode::Good);
    let answer: Answer = call.join().expect("the caller ends");
    assert_eq!((answer.status, answer.body), (200, replica::all_events("reload")));
}

#[test]
fn verify_stop_cuts_no_request() {
    let mut site = site(1);
    site.replicas[0].set(Mode::Hold(3));
    let addr = site.http(0);
    let call = std::thread::spawn(move || ask("POST", "/stream/x", "planned", "p").send(&addr));
    wait_for("it runs", || site.runs("planned") == 1);
    site.entries[0].stop();
    let admin = site.entries[0].addr("admin");
    wait_for("not ready", || ask("GET", "/-/readyz", "", "").send(&admin).status == 503);
    site.replicas[0].set(Mode::Good);
    let answer: Answer = call.join().expect("the caller ends");
    assert_eq!((answer.status, answer.body), (200, replica::all_events("planned")));
    assert!(site.entries[0].wait(), "it ends well");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! End-to-end tests on the users' platform: real entries between callers and stand-ins for the
//! store and the replicas. What ran is checked against the replicas' run logs.

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

fn set_all(site: &Site, mode: Mode) {
    site.replicas.iter().for_each(|it| it.set(mode));
}

#[test]
fn verify_each_kind_of_request_is_forwarded_unchanged() {
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
    let run = |id: &str| runs.iter().find(|it| it.id == id).expect("the request ran").clone();
    assert_eq!(run("s1").line, "POST /stream/a%20b?x=1&y");
    assert_eq!(run("s1").body, b"prompt");
    assert_eq!(run("g1").line, "GET /safe/q?z=%2F");
    for run in &runs {
        assert_eq!(run.field("x-tenant"), CUSTOMER);
        assert_eq!(run.field("authorization"), "", "the API key must not be forwarded to replicas");
        let remaining: u64 = run.field("x-deadline-ms").parse().expect("x-deadline-ms is a number");
        assert!(
            (1..=3_000).contains(&remaining),
            "deadline of {remaining} ms, route timeout 3,000 ms"
        );
    }
}

/// Entries share the retry budget and the targets' capacity, and only a few of them read the
/// instance list. They must discover each other even if most of them start with a single seed.
#[test]
fn verify_entries_with_one_common_seed_discover_each_other() {
    let mut site = Site::open(1);
    for _ in 0..6 {
        site.add_entry_with_seeds("", 1);
    }
    let known = |entry| site.status(entry)["entries"].as_u64();
    wait_for("every entry counts all entries", || (0..6).all(|it| known(it) == Some(6)));
}

/// Names of entries from a peer that has not identified itself as an entry must not change the
/// number of entries, by which shares are computed.
#[test]
fn verify_names_of_entries_are_accepted_from_entries_only() {
    let mut site = Site::open(1);
    site.add_entry("");
    site.settle(1);
    let names = (0..50).map(|it| format!("made-up-{it}")).collect();
    let mut bytes = Vec::new();
    let entries = Body::Entries(wire::Entries { names });
    Codec::open().encode(entries, &mut bytes).expect("frame encoded");
    let mut stranger =
        TcpStream::connect(site.entries[0].addr("peers")).expect("the entry accepts peers");
    stranger.write_all(&bytes).expect("frame sent");
    let admin = site.entries[0].addr("admin");
    let ignored = || metric(&admin, "sablepass_ignored_total", "reason=\"bad-frame\"");
    wait_for("the frame is counted as ignored", || ignored() >= 1.0);
    assert_eq!(site.status(0)["entries"].as_u64(), Some(1));
}

#[test]
fn verify_disconnect_of_the_caller_cancels_the_request() {
    let site = site(1);
    for (id, mode) in [("gone-early", Mode::Hang), ("gone-late", Mode::Hold(2))] {
        site.replicas[0].set(mode);
        let mut socket = TcpStream::connect(site.http(0)).expect("the entry listens");
        write!(
            socket,
            "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n"
        )
        .expect("request sent");
        let replica = &site.replicas[0];
        wait_for("the request runs", || site.runs(id) == 1);
        let disconnected_at = Instant::now();
        drop(socket);
        wait_for("the replica sees its connection close", || {
            replica.runs().iter().any(|it| it.id == id && it.dropped)
        });
        assert!(
            disconnected_at.elapsed() < Duration::from_millis(500),
            "{id}: {:?}",
            disconnected_at.elapsed()
        );
        replica.set(Mode::Good);
    }
}

#[test]
fn verify_stream_resumes_after_a_reset_within_an_event() {
    let site = site(2);
    for event in 1..=EVENTS {
        set_all(&site, Mode::ResetIn(event));
        let id = format!("reset-{event}");
        let answer = ask("POST", "/stream/x", &id, "p").send(&site.http(0));
        // The second replica resets as well, unless it resumes after the event.
        set_all(&site, Mode::Good);
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
    assert_eq!(resumed, 1, "exactly one stream must resume after its second event");
}

#[test]
fn verify_stream_that_cannot_resume_does_not_look_complete() {
    let site = site(1);
    site.replicas[0].set(Mode::ResetIn(3));
    let mut configuration = site::configuration(2);
    configuration["routes"][0]["streamResume"] = json!(false);
    let revision = site.configure(&configuration);
    wait_for("the configuration is in force", || {
        site.status(0)["documents"][0]["in_force"] == json!(revision)
    });
    let answer = ask("POST", "/stream/x", "cut", "p").send(&site.http(0));
    assert_eq!(answer.status, 0, "the answer must be cut off: {answer:?}");
    assert_eq!(site.runs("cut"), 1);
}

#[test]
fn verify_surplus_answer_is_discarded() {
    let site = site(1);
    site.replicas[0].set(Mode::Twice);
    for round in 0..30 {
        let (id, body) = (format!("twice-{round}"), format!("body {round}"));
        let answer = ask("POST", "/safe/x", &id, &body).send(&site.http(0));
        assert_eq!((answer.status, answer.id, answer.body), (200, id, body));
    }
}

#[test]
fn verify_answer_before_the_whole_body_leaves_the_connection_usable() {
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
fn verify_answer_without_length_is_complete() {
    let site = site(1);
    site.replicas[0].set(Mode::Unsized);
    let answer = ask("POST", "/once/x", "unsized", "to the end").send(&site.http(0));
    assert_eq!((answer.status, answer.body.as_str()), (200, "to the end"));
}

#[test]
fn verify_request_that_provably_did_not_run_is_retried() {
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
    let seconds: f64 = answer.retry_after.parse().expect("Retry-After is a number of seconds");
    assert!(seconds > 0.0 && seconds < 1.0);
}

#[test]
fn verify_listing_with_a_stale_replica_id_runs_nothing_twice() {
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
fn verify_successor_at_an_address_gets_requests_at_once() {
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
    assert_eq!(
        metric(&admin, "sablepass_retries_total", "refused"),
        0.0,
        "requests were sent to the predecessor's id"
    );
}

#[test]
fn verify_unsafe_request_runs_once_and_is_reported_not_run_only_with_proof() {
    let site = site(2);
    let bad = [Mode::CloseAfterRun, Mode::Garbage, Mode::Unsigned, Mode::BareBusy];
    for mode in bad {
        set_all(&site, mode);
        let id = format!("unsafe-{mode:?}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (502, 1), "{mode:?}: {answer:?}");
    }
    set_all(&site, Mode::Failing);
    let answer = ask("POST", "/once/x", "failing", "claim").send(&site.http(0));
    assert_eq!((answer.status, answer.body.as_str()), (500, "it failed"));
    assert_eq!(site.runs("failing"), 1);
}

#[test]
fn verify_safe_request_is_retried_at_another_target() {
    for mode in [Mode::CloseAfterRun, Mode::Garbage, Mode::Unsigned, Mode::Failing, Mode::BareBusy]
    {
        let site = site(2);
        site.replicas[0].set(mode);
        for round in 0..10 {
            let id = format!("safe-{mode:?}-{round}");
            let answer = ask("POST", "/safe/x", &id, "question").send(&site.http(0));
            assert_eq!((answer.status, answer.body.as_str()), (200, "question"), "{mode:?}");
        }
        set_all(&site, mode);
        let answer = ask("POST", "/safe/x", "all-bad", "question").send(&site.http(0));
        assert!(matches!(answer.status, 500 | 502), "{mode:?}: {answer:?}");
        assert_eq!(site.runs("all-bad"), 2, "{mode:?}: the route allows two attempts");
    }
}

/// Requests sent one after the other.
const REQUESTS: usize = 100;
/// Requests that a failing target may get of these: three, and one after each back-off.
const MAX_FAILED: usize = 8;

#[test]
fn verify_failing_target_gets_few_requests() {
    let site = site(4);
    site.replicas[0].set(Mode::Failing);
    let status = |round: usize| {
        ask("POST", "/once/x", &format!("grey-{round}"), "claim").send(&site.http(0)).status
    };
    let failed = (0..REQUESTS).filter(|round| status(*round) != 200).count();
    let tried = site.replicas[0].runs().len();
    assert!(
        failed <= MAX_FAILED && tried <= MAX_FAILED,
        "{failed} requests failed, {tried} reached the failing target"
    );
    // Once it has recovered, it gets requests again.
    site.replicas[0].set(Mode::Good);
    wait_for("the recovered target gets requests", || {
        status(REQUESTS + site.replicas[1].runs().len());
        site.replicas[0].runs().len() > tried
    });
}

#[test]
fn verify_requests_still_reach_targets_that_all_fail() {
    let site = site(2);
    site.replicas.iter().for_each(|it| it.set(Mode::Failing));
    for round in 0..20 {
        let id = format!("all-grey-{round}");
        let answer = ask("POST", "/once/x", &id, "claim").send(&site.http(0));
        assert_eq!((answer.status, site.runs(&id)), (500, 1), "expected the target's own answer");
    }
}

#[test]
fn verify_route_timeout_is_answered_in_time() {
    let site = site(1);
    let mut configuration = site::configuration(2);
    for route in 0..3 {
        configuration["routes"][route]["timeoutMs"] = json!(300);
    }
    let revision = site.configure(&configuration);
    wait_for("the configuration is in force", || {
        site.status(0)["documents"][0]["in_force"] == json!(revision)
    });
    site.replicas[0].set(Mode::Hang);
    for path in ["/stream/x", "/safe/x", "/once/x"] {
        let sent_at = Instant::now();
        let answer = ask("POST", path, path, "").send(&site.http(0));
        let elapsed = sent_at.elapsed();
        assert_eq!(answer.status, 504, "{path}: {answer:?}");
        assert!((280..700).contains(&(elapsed.as_millis() as u64)), "{path}: {elapsed:?}");
    }
}

#[test]
fn verify_entry_starts_while_the_store_is_down() {
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
    // A new entry gets the configuration and the list from the first one while the store does not
    // answer.
    site.store.set(keys::Mode::Silent);
    site.add_entry("");
    site.settle(1);
    assert_eq!(ask("GET", "/safe/x", "other", "").send(&site.http(1)).status, 200);
    site.store.set(keys::Mode::Up);
}

/// Guards against an entry that answers 404 to proper requests, and calls itself ready, because it
/// read the store before the first configuration was written.
#[test]
fn verify_an_entry_without_a_configuration_refuses_with_503_and_is_not_ready() {
    let mut site = Site::open(1);
    site.store.remove("op/config");
    site.evacuate("ba-9");
    site.add_entry("");
    wait_for("the entry has read the store", || site.status(0)["revision"].as_u64() > Some(0));
    site.store.set(keys::Mode::Silent);
    site.configure(&site::configuration(2));
    let admin = site.entries[0].addr("admin");
    let ready = || ask("GET", "/-/readyz", "", "").send(&admin).status;
    assert_eq!(ready(), 503);
    let kinds = ["stream", "safe", "once"];
    for kind in kinds {
        let answer = ask("POST", &format!("/{kind}/x"), kind, "q").send(&site.http(0));
        assert_eq!(answer.status, 503, "{kind}: {answer:?}");
    }
    site.store.set(keys::Mode::Up);
    wait_for("the entry is ready", || ready() == 200);
    for kind in kinds {
        let id = format!("{kind}-again");
        wait_for("requests are served", || {
            ask("POST", &format!("/{kind}/x"), &id, "q").send(&site.http(0)).status == 200
        });
    }
}

#[test]
fn verify_outage_of_the_store_does_not_affect_requests() {
    let site = site(2);
    for mode in [keys::Mode::Down, keys::Mode::Silent] {
        site.store.set(mode);
        for round in 0..5 {
            let id = format!("{mode:?}-{round}");
            assert_eq!(ask("GET", "/safe/x", &id, "").send(&site.http(0)).status, 200);
        }
    }
    // The store is back without its event history, with a configuration written meanwhile.
    let mut configuration = site::configuration(9);
    configuration["routes"][1]["pathPrefix"] = json!("/new/");
    site.configure(&configuration);
    site.store.discard_history();
    site.store.set(keys::Mode::Up);
    wait_for("the new route is in force", || {
        ask("GET", "/new/x", "new", "").send(&site.http(0)).status == 200
    });
    assert_eq!(ask("GET", "/safe/x", "old", "").send(&site.http(0)).status, 404);
}

#[test]
fn verify_new_configuration_comes_into_force() {
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
    wait_for("the old key is refused", || status("/safe/deeper/x", KEY) == 401);
    assert_eq!(status("/safe/deeper/x", "the next key"), 200);
    assert_eq!(status("/safe/x", "the next key"), 404);
}

/// Guards against a configuration that never comes into force, with its revoked keys, because the
/// name of a customer in it is not a plain word.
#[test]
fn verify_configuration_with_any_name_of_a_customer_comes_into_force() {
    let site = site(1);
    let addr = site.http(0);
    let send = |id: &str, key: &str| {
        let mut ask = ask("GET", "/safe/x", id, "");
        ask.headers.retain(|it| it.0 != "authorization");
        ask.with("authorization", &format!("Bearer {key}")).send(&addr).status
    };
    let names = ["Masa Norte", "a/b", "S\u{e3}o Jo\u{e3}o", "\"quoted\"", &"n".repeat(300)];
    for (number, name) in names.into_iter().enumerate() {
        let (old, new) = (format!("key-{number}"), format!("key-{}", number + 1));
        let mut configuration = site::configuration(2 + number as u64);
        configuration["tenants"][0]["name"] = json!(name);
        configuration["tenants"][0]["apiKeys"] = json!([new]);
        site.configure(&configuration);
        wait_for("the new key is accepted", || send(&format!("new-{number}"), &new) == 200);
        assert_eq!(send(&format!("old-{number}"), &old), 401, "{name}");
        let runs = site.replicas[0].runs();
        let run = runs.iter().find(|it| it.id == format!("new-{number}")).expect("it ran");
        assert_eq!(run.field("x-tenant"), name);
    }
    // A name that fits no header field keeps only the requests of that customer from being served.
    let mut configuration = site::configuration(20);
    let broken = json!({ "name": "line\r\nbreak", "apiKeys": ["key-broken"] });
    configuration["tenants"].as_array_mut().expect("a list").push(broken);
    site.configure(&configuration);
    wait_for("the first key is accepted again", || send("again", KEY) == 200);
    assert_eq!((send("broken", "key-broken"), site.runs("broken")), (503, 0));
}

#[test]
fn verify_bad_items_in_the_store_change_nothing_else() {
    let site = site(1);
    let addr = site.http(0);
    site.store.put("op/config", "{\"version\": 3, \"routes\": \"none\"}");
    site.store.put_raw("servers/i-broken", "this is not base64!");
    site.store.put("servers/i-odd", "{\"service\":\"orders\",\"address\":\"nowhere\"}");
    let refused = |site: &Site| site.status(0)["documents"][0]["refused"].clone();
    wait_for("the status shows the refusal", || refused(&site) != Value::Null);
    let text = refused(&site).to_string();
    assert!(text.contains("op/config") && text.contains("routes"), "{text}");
    assert_eq!(ask("GET", "/safe/x", "still", "").send(&addr).status, 200);
    let logged = |site: &Site, event: &str| {
        site.entries[0].log().iter().any(|it| it["event"] == json!(event))
    };
    wait_for("the refusal is logged", || logged(&site, "declaration refused"));
    let admin = site.entries[0].addr("admin");
    assert_eq!(metric(&admin, "sablepass_declarations_refused", ""), 1.0);
    // Items that are written after a bad one still take effect.
    site.store.remove("servers/i-broken");
    site.configure(&site::configuration(4));
    wait_for("the next configuration is in force", || refused(&site) == Value::Null);
    assert_eq!(metric(&admin, "sablepass_declarations_refused", ""), 0.0);
}

#[test]
fn verify_draining_replica_gets_no_new_requests() {
    let site = site(2);
    site.list(&site.replicas[0], "draining");
    site.settle(1);
    let before = site.replicas[0].runs().len();
    for round in 0..10 {
        let answer = ask("GET", "/safe/x", &format!("d-{round}"), "").send(&site.http(0));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.replicas[0].runs().len(), before);
    // Both replicas disappear from the list. The request is answered, or fails only after a wait.
    let removed_at = Instant::now();
    site.store.remove(&format!("servers/{}", site.replicas[0].id));
    site.store.remove(&format!("servers/{}", site.replicas[1].id));
    let answer = ask("GET", "/safe/x", "lapsed", "").send(&site.http(0));
    assert!(removed_at.elapsed() > Duration::from_secs(1) || answer.status == 200, "{answer:?}");
}

/// Connects to the entry and sends the bytes of `request` as they are.
fn send_raw(site: &Site, request: &str) -> TcpStream {
    let mut socket = TcpStream::connect(site.http(0)).expect("the entry listens");
    socket.set_read_timeout(Some(Duration::from_secs(20))).expect("read timeout set");
    socket.write_all(request.as_bytes()).expect("request sent");
    socket
}

fn first_line(socket: &mut TcpStream) -> String {
    let mut text = [0; 4_096];
    let length = socket.read(&mut text).unwrap_or(0);
    String::from_utf8_lossy(&text[..length]).lines().next().unwrap_or("").to_owned()
}

#[test]
fn verify_configured_limits_are_enforced() {
    let site = site(1);
    let head = format!("POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n");
    let long = format!("{head}x-long: {}\r\ncontent-length: 0\r\n\r\n", "l".repeat(5_000));
    assert!(first_line(&mut send_raw(&site, &long)).contains(" 431 "));
    let large = ask("POST", "/safe/x", "large", &"b".repeat(100_001)).send(&site.http(0));
    assert!(large.status == 413 || large.status == 0, "{large:?}");
    assert!(first_line(&mut send_raw(&site, "no http at all\r\n\r\n")).contains(" 400 "));
    let sent_at = Instant::now();
    assert!(
        first_line(&mut send_raw(&site, &head)).contains(" 408 "),
        "an incomplete request head must time out"
    );
    assert!(sent_at.elapsed() > Duration::from_millis(1_400));
    // An idle connection is closed after the idle timeout, not much before.
    let request = format!("{head}x-request-id: idle\r\ncontent-length: 0\r\n\r\n");
    let mut socket = send_raw(&site, &request);
    assert!(first_line(&mut socket).contains(" 200 "));
    let idle_since = Instant::now();
    assert_eq!(socket.read(&mut [0; 16]).unwrap_or(1), 0);
    assert!((1_600..8_000).contains(&(idle_since.elapsed().as_millis() as u64)));
    assert_eq!(site.replicas[0].runs().len(), 1, "only the last request may reach the replica");
}

#[test]
fn verify_connections_to_callers_and_replicas_are_reused() {
    let site = site(1);
    let mut socket = send_raw(&site, "");
    for round in 0..5 {
        let request = format!(
            "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-request-id: k{round}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        );
        socket.write_all(request.as_bytes()).expect("request sent");
        assert!(first_line(&mut socket).contains(" 200 "), "round {round}");
    }
    assert_eq!(site.replicas[0].connections(), 1);
    assert!(site.replicas[0].runs().iter().all(|it| it.body == b"abc"));
}

#[test]
fn verify_log_shows_the_cause_of_a_failed_request() {
    let site = site(1);
    site.replicas[0].set(Mode::CloseAfterRun);
    let answer = ask("POST", "/once/x", "why-failed", "claim").send(&site.http(0));
    assert_eq!(answer.status, 502);
    let lines = |site: &Site| -> Vec<Value> {
        let log = site.entries[0].log();
        log.into_iter().filter(|it| it["id"] == "why-failed").collect()
    };
    wait_for("the failure is logged", || lines(&site).iter().any(|it| it["event"] == "failed"));
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
fn verify_reload_does_not_interrupt_requests() {
    let site = site(1);
    site.replicas[0].set(Mode::Hold(3));
    let addr = site.http(0);
    let call = std::thread::spawn(move || ask("POST", "/stream/x", "reload", "p").send(&addr));
    wait_for("the request runs", || site.runs("reload") == 1);
    site.entries[0].reload();
    let logged = |event: &str| site.entries[0].log().iter().any(|it| it["event"] == event);
    wait_for("the reload is logged", || logged("settings reloaded"));
    site.replicas[0].set(Mode::Good);
    let answer: Answer = call.join().expect("the caller thread panicked");
    assert_eq!((answer.status, answer.body), (200, replica::all_events("reload")));
}

#[test]
fn verify_graceful_shutdown_does_not_interrupt_requests() {
    let mut site = site(1);
    site.replicas[0].set(Mode::Hold(3));
    let addr = site.http(0);
    let call = std::thread::spawn(move || ask("POST", "/stream/x", "planned", "p").send(&addr));
    wait_for("the request runs", || site.runs("planned") == 1);
    site.entries[0].stop();
    let admin = site.entries[0].addr("admin");
    wait_for("the entry reports that it is not ready", || {
        ask("GET", "/-/readyz", "", "").send(&admin).status == 503
    });
    site.replicas[0].set(Mode::Good);
    let answer: Answer = call.join().expect("the caller thread panicked");
    assert_eq!((answer.status, answer.body), (200, replica::all_events("planned")));
    assert!(site.entries[0].wait(), "the entry must exit with status 0");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target announces in its answers how many requests a second it accepts from all entries
//! together, and must not get more.
//!
//! Guards against a fault in which a target with a limit of one request a second got as many as
//! the targets without one, twelve and more in four seconds: its load was as low as theirs, so
//! that all entries went on to select it. Neither entries nor agents read the field, and they
//! had no rate limit that is shared by all entries. With real entries, direct or through an
//! agent, such a target got hundreds of requests in four seconds.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use sablepass_core::holders::Holders;
use sablepass_core::id::TargetIncarnation;
use sablepass_core::limits::{Rate, Turn};
use sablepass_stand::client::{Answer, Ask, metric, wait_for};
use sablepass_stand::limits;
use sablepass_stand::replica::{Arrival, Replica};
use sablepass_stand::site::{Site, ask};
use sablepass_wire::frame::Codec;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::turns;

/// Number of entries of a small site.
const ENTRIES: usize = 5;
/// Number of callers at each entry.
const CALLERS: usize = 2;
/// Time between an answer and the next request of the same caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Duration of the calls: the time until a limit must be kept, and more than one measured span
/// after it.
const CALL_DURATION: Duration = Duration::from_millis(limits::GRACE_MS + 2 * limits::WINDOW_MS);

/// Has callers at the first `entries` entries send requests of all kinds for `duration`.
fn call(site: &Site, entries: usize, label: &str, duration: Duration) -> Vec<Answer> {
    let callers = common::Callers { entries, each: CALLERS, pause: PAUSE };
    callers.call(site, label, duration)
}

fn assert_limit_kept(arrivals: &[Arrival], limit: f64) {
    let (count, allowed) = limits::busiest_window(arrivals, limit)
        .expect("the target got requests while its limit had to be kept");
    assert!(count as f64 <= allowed, "{count} requests in a span, {allowed} are allowed");
}

#[test]
fn verify_a_target_gets_no_more_requests_than_its_limit() {
    let site = common::site(3, ENTRIES);
    site.replicas[0].set_limit(Some(1.0));
    let answers = call(&site, ENTRIES, "limited", CALL_DURATION);
    assert_limit_kept(&site.replicas[0].arrivals(), 1.0);
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(unserved.is_empty(), "the other targets have capacity for all requests: {unserved:?}");
}

/// Only one answer in three names the limit. The others don't end it.
#[test]
fn verify_a_limit_that_few_answers_name_is_kept() {
    let site = common::site(3, 2);
    site.replicas[0].set_limit(Some(1.0));
    site.replicas[0].set_limit_interval(3);
    call(&site, 2, "few", CALL_DURATION);
    assert_limit_kept(&site.replicas[0].arrivals(), 1.0);
}

/// A malformed limit is counted and otherwise ignored.
#[test]
fn verify_a_malformed_limit_is_counted_and_ignored() {
    let site = common::site(2, 1);
    let garbled = &site.replicas[0];
    for text in ["many", "-1", "NaN", "2/s", "1, 2", ""] {
        garbled.set_limit_text(text);
        let before = garbled.runs().len();
        call(&site, 1, "garbled", Duration::from_millis(400));
        assert!(garbled.runs().len() > before + 5, "{text:?}: the target is used as before");
    }
    let admin = site.entries[0].addr("admin");
    assert!(metric(&admin, "sablepass_limits_named_total", "limit=\"unread\"") > 30.0);
    assert_eq!(metric(&admin, "sablepass_targets", "state=\"limited\""), 0.0);
}

/// The limit is lowered, raised and removed. Soon after its removal the target gets as many
/// requests as the others.
#[test]
fn verify_changes_of_a_limit_are_followed() {
    let site = common::site(3, 2);
    let limited = &site.replicas[0];
    for limit in [20.0, 2.0, 8.0] {
        limited.set_limit(Some(limit));
        call(&site, 2, &format!("at-{limit}"), CALL_DURATION);
        assert_limit_kept(&limited.arrivals(), limit);
    }
    limited.set_limit(None);
    let removed_at = Instant::now();
    wait_for("all entries know that the limit is removed", || {
        call(&site, 2, "over", Duration::from_millis(200));
        site.entries
            .iter()
            .all(|it| metric(&it.addr("admin"), "sablepass_targets", "state=\"limited\"") == 0.0)
    });
    // An entry needs three answers without a limit, at eight requests a second; the other entries
    // follow within a second.
    assert!(removed_at.elapsed() < Duration::from_secs(4), "{:?}", removed_at.elapsed());
    let before: Vec<usize> = site.replicas.iter().map(|it| it.runs().len()).collect();
    call(&site, 2, "after", Duration::from_secs(2));
    let runs = site.replicas.iter().zip(before).map(|(it, before)| it.runs().len() - before);
    let runs: Vec<usize> = runs.collect();
    assert!(
        runs[0] * 6 > runs.iter().sum(),
        "the target gets about a third of the requests again: {runs:?}"
    );
}

/// The target's line expires and is written again by the same incarnation, whose limit stays.
#[test]
fn verify_an_expired_line_does_not_end_a_limit() {
    let site = common::site(3, 2);
    let limited = &site.replicas[0];
    limited.set_limit(Some(1.0));
    call(&site, 2, "first", Duration::from_millis(500));
    site.store.remove(&format!("servers/{}", limited.id));
    site.settle(2);
    site.list(limited, "ready");
    site.settle(3);
    call(&site, 2, "back", CALL_DURATION);
    assert_limit_kept(&limited.arrivals(), 1.0);
}

#[test]
fn verify_a_limit_ends_with_the_incarnation_that_named_it() {
    let mut site = common::site(2, 2);
    site.replicas[0].set_limit(Some(0.1));
    call(&site, 2, "first", Duration::from_millis(500));
    site.replicas[0].crash();
    let restarted = site.replicas[0].new_incarnation();
    site.list(&restarted, "ready");
    site.replicas[0] = restarted;
    wait_for("the restarted target gets requests without a limit", || {
        call(&site, 2, "next", Duration::from_millis(200));
        site.replicas[0].runs().len() > 20
    });
}

/// A header field that entries don't read may restrict how a target is to be used. It is counted,
/// and logged once for a target, so that operators notice it.
#[test]
fn verify_unread_header_fields_are_counted() {
    let site = common::site(2, 1);
    site.replicas[0].set_extra_header(Some("server-mood: low"));
    call(&site, 1, "mood", Duration::from_millis(500));
    let admin = site.entries[0].addr("admin");
    assert!(metric(&admin, "sablepass_fields_unread_total", "field=\"server-mood\"") > 1.0);
    let log = site.entries[0].log();
    let lines = log.iter().filter(|it| it["event"] == "field of an answer unread");
    assert_eq!(lines.count(), 1, "the field is logged once for the target");
}

/// All callers use one entry, and all targets have limits. The limits are used up, and requests
/// beyond them are refused at once with the time after which a retry may be admitted.
#[test]
fn verify_limits_are_used_up_where_all_targets_have_one() {
    let site = common::site(2, 3);
    let limits = [2.0, 4.0];
    let name_limit = |it: (&Replica, f64)| it.0.set_limit(Some(it.1));
    site.replicas.iter().zip(limits).for_each(name_limit);
    let answers = call(&site, 1, "one", CALL_DURATION);
    let seconds = CALL_DURATION.as_secs_f64();
    let served = answers.iter().filter(|it| it.status == 200).count() as f64;
    let least_served = 0.8 * 6.0 * seconds;
    assert!(
        served > least_served,
        "{served} of {} were served, at least {least_served} are required",
        answers.len()
    );
    for (replica, limit) in site.replicas.iter().zip(limits) {
        assert_limit_kept(&replica.arrivals(), limit);
    }
    let refused: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    assert!(refused.iter().all(|it| it.status == 503 && it.ran != "ran"), "{refused:?}");
    let retry_after = refused.iter().filter_map(|it| it.retry_after.parse::<f64>().ok());
    let retry_after: Vec<f64> = retry_after.collect();
    assert_eq!(retry_after.len(), refused.len(), "all refusals have a retry-after");
    // The target with the higher limit accepts a request every 0.25 s; a spread of the same length
    // is added so that callers don't retry at once.
    assert!(retry_after.iter().all(|it| *it < 1.0), "{retry_after:?}");
    for entry in &site.entries {
        let over_limit = metric(&entry.addr("admin"), "sablepass_sent_over_limit_total", "");
        assert_eq!(over_limit, 0.0, "an entry exceeded its share of a limit");
    }
}

/// Entries end, are paused and resumed, and are started meanwhile.
#[test]
fn verify_a_limit_is_kept_while_entries_start_and_end() {
    let mut site = common::site(3, 4);
    let limited = site.replicas[0].clone();
    limited.set_limit(Some(1.0));
    for round in 0..3 {
        call(&site, 4, &format!("before-{round}"), Duration::from_secs(2));
        let changed = round + 1;
        if round == 1 {
            site.entries[changed].pause();
            call(&site, 1, &format!("stopped-{round}"), Duration::from_secs(3));
            site.entries[changed].resume();
        } else {
            drop(site.entries.remove(changed));
            call(&site, 1, &format!("ended-{round}"), Duration::from_secs(2));
            site.add_entry("");
        }
    }
    call(&site, 4, "last", CALL_DURATION);
    assert_limit_kept(&limited.arrivals(), 1.0);
}

/// An agent before the target sees the requests of all entries, and must keep its limit.
#[test]
fn verify_an_engine_behind_its_agent_gets_no_more_requests_than_its_limit() {
    let mut fleet = common::fleet(false);
    fleet.add_entry("entry-2", "ba-1", "");
    fleet.settle(3, 1);
    let limited = &fleet.targets[0];
    limited.set_limit(Some(1.0));
    let addrs = [fleet.http(0), fleet.http(1)];
    let until = Instant::now() + CALL_DURATION;
    let caller = |addr: &str, label: &str| {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let word = format!("{label}{number}");
            let answer = Ask::chat(common::FARM, "triage", &word, 2, true).send(addr);
            assert_eq!(answer.status, 200, "the other engine has capacity: {answer:?}");
        }
    };
    thread::scope(|scope| {
        scope.spawn(|| caller(&addrs[0], "one"));
        scope.spawn(|| caller(&addrs[1], "two"));
    });
    let time_ms = |it: &serde_json::Value| it["at"].as_u64().unwrap_or_default();
    let arrival = |it| Arrival { at: time_ms(it), limit: Some(1.0), ..Arrival::default() };
    assert_limit_kept(&limited.runs().iter().map(arrival).collect::<Vec<Arrival>>(), 1.0);
}

/// Connects to the first entry as a process with this name and role.
fn connect_peer(site: &Site, name: &str, role: &str) -> TcpStream {
    let mut peer = TcpStream::connect(site.entries[0].addr("peers")).expect("the entry accepts");
    let (name, role) = (name.to_owned(), role.to_owned());
    let hall = "ba-1".to_owned();
    let hello = wire::Hello { name, role, hall, incarnation: 1, spread: false };
    send_body(&mut peer, Body::Hello(hello));
    peer
}

fn send_body(peer: &mut TcpStream, body: Body) {
    let mut bytes = Vec::new();
    Codec::open().encode(body, &mut bytes).expect("frame encoded");
    peer.write_all(&bytes).expect("frame sent");
}

/// Reads the next request for a turn.
fn next_ask(peer: &mut TcpStream) -> wire::TurnAsk {
    let mut codec = Codec::open();
    let mut buffer = [0; 4096];
    loop {
        while let Some((body, _)) = codec.next_body().expect("a valid frame") {
            if let Body::TurnAsk(it) = body {
                return it;
            }
        }
        let size = peer.read(&mut buffer).expect("the entry sends");
        assert!(size > 0, "the entry closed the connection");
        codec.feed(&buffer[..size]);
    }
}

/// Guards against a request that is sent with a turn of a peer which was not asked for it last: an
/// answer may arrive after its request has asked another peer for a turn at another target.
#[test]
fn verify_only_the_peer_that_was_asked_grants_a_turn() {
    let site = common::site(1, 1);
    let target = &site.replicas[0];
    target.set_limit(Some(1.0));
    let item: serde_json::Value = serde_json::from_str(&target.entry("ready")).expect("JSON");
    let born = item["born"].as_u64().expect("a start time");
    let life = TargetIncarnation { name: &target.id, started_at: born };
    let rate = Rate::new(1.0).expect("a valid rate");
    let holds = |name: &String| {
        let mut holders = Holders::open("entry-1");
        holders.set_peers([name.clone()]);
        holders.watch(0, Some(2));
        holders.other_holders(life, rate) == [name]
    };
    // Which names hold the limit depends on the id of the target, which differs from run to run.
    let holder = (0..1_000_000).map(|it| format!("peer-{it}")).find(holds).expect("a holder");
    let mut peer = connect_peer(&site, &holder, "entry");
    wait_for("the entry knows its peer", || site.status(0)["entries"].as_u64() == Some(2));
    let first = ask("POST", "/safe/x", "first", "q").send(&site.http(0));
    assert_eq!(first.status, 200);
    for (sender_asked, status) in [(false, 503), (true, 200)] {
        let mut other = connect_peer(&site, "other", "agent");
        let id = format!("limited-{sender_asked}");
        let call = ask("POST", "/safe/x", &id, "q");
        let http = site.http(0);
        let answer = thread::spawn(move || call.send(&http));
        let request = turns::parse_ask(&next_ask(&mut peer)).expect("a valid message").request;
        let granted = turns::answer(turns::Answer { request, turn: Turn::In(0) });
        send_body(if sender_asked { &mut peer } else { &mut other }, granted);
        let answer = answer.join().expect("an answer");
        assert_eq!(answer.status, status, "asked: {sender_asked}, {answer:?}");
    }
}

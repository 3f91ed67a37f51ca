// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Streams with neither a length nor chunks, which end with the target's connection.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use common::crashes::replace_ended;
use sablepass_stand::client::{Ask, wait_for};
use sablepass_stand::fleet::{Fleet, Timers};
use sablepass_stand::replica::{EVENTS, Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask, configuration};

/// A site with one entry whose route for streams forbids to resume them at another target, unless
/// `resume` is set.
fn site(replicas: usize, resume: bool) -> Site {
    let site = common::site(replicas, 1);
    let mut configuration = configuration(2);
    configuration["routes"][0]["streamResume"] = resume.into();
    let revision = site.configure(&configuration);
    wait_for("the entry has the configuration", || {
        site.status(0)["revision"].as_u64() >= Some(revision)
    });
    site
}

#[test]
fn verify_a_stream_may_end_with_its_connection() {
    for resume in [false, true] {
        let site = site(1, resume);
        site.replicas[0].set(Mode::Unsized);
        let answer = ask("POST", "/stream/x", "whole", "q").send(&site.http(0));
        assert_eq!((answer.status, answer.body), (200, all_events("whole")), "resume: {resume}");
    }
}

/// Guards against passing on a stream as complete that ends inside an event.
#[test]
fn verify_a_stream_that_ends_inside_an_event_is_broken_off() {
    let site = site(1, false);
    for number in 1..=EVENTS {
        site.replicas[0].set(Mode::UnsizedCutIn(number));
        let answer = ask("POST", "/stream/x", "cut", "q").send(&site.http(0));
        assert_eq!(answer.status, 0, "event {number}: the answer looks complete: {answer:?}");
    }
}

/// A stream that may be resumed continues at another target after its last whole event.
#[test]
fn verify_a_resumable_stream_that_ends_inside_an_event_continues() {
    let site = site(2, true);
    site.replicas[0].set(Mode::UnsizedCutIn(3));
    for number in 0..6 {
        let id = format!("resumed-{number}");
        let answer = ask("POST", "/stream/x", &id, "q").send(&site.http(0));
        assert_eq!((answer.status, answer.body), (200, all_events(&id)));
    }
}

/// Guards against passing on a stream as complete whose target crashed between two events.
#[test]
fn verify_a_stream_whose_target_crashes_after_an_event_is_broken_off() {
    for number in [1, 3] {
        let site = site(2, false);
        site.replicas.iter().for_each(|it| it.set(Mode::UnsizedCrashAfter(number)));
        let answer = ask("POST", "/stream/x", "crashed", "q").send(&site.http(0));
        assert_eq!(answer.status, 0, "event {number}: the answer looks complete: {answer:?}");
    }
}

/// A stream that may be resumed continues at another target.
#[test]
fn verify_a_resumable_stream_whose_target_crashes_continues() {
    let site = site(2, true);
    site.replicas[0].set(Mode::UnsizedCrashAfter(3));
    let mut number = 0;
    wait_for("a stream was sent to the target that crashes", || {
        number += 1;
        let id = format!("resumed-{number}");
        let answer = ask("POST", "/stream/x", &id, "q").send(&site.http(0));
        assert_eq!((answer.status, answer.body), (200, all_events(&id)));
        site.replicas[0].crashed()
    });
}

/// Guards against clearing a prompt part by an answer that seems to end well as its target crashes.
#[test]
fn verify_a_crash_after_an_event_does_not_clear_the_prompt_part() {
    let mut site = site(8, false);
    let mut replaced = 0;
    let prepare = |it: &Replica| it.set(Mode::UnsizedCrashAfter(1));
    site.replicas.iter().for_each(prepare);
    for round in 0..8 {
        let parts = format!("f{round}:40,bad0:40,own-{round}:90");
        let ask = ask("POST", "/stream/x", &format!("fatal-{round}"), &format!("q{round}"));
        ask.with("x-prompt-prefix", &parts).send(&site.http(0));
        replace_ended(&mut site, &mut replaced, prepare);
    }
    assert!(replaced <= 5, "{replaced} targets ended");
}

/// Answers requests with a body without length that ends with the connection. After the second
/// answer the listening socket is closed as well, as that of a process that crashed.
fn serve_two(listener: TcpListener) {
    let mut answered = 0;
    while answered < 2
        && let Ok((mut stream, _)) = listener.accept()
    {
        // A connection without a request is a probe. A target that closes with unread bytes resets
        // its answer, so the request is read to the end of its body.
        let mut request = Vec::new();
        let mut part = [0; 4096];
        while !request.ends_with(b"\r\n\r\nq")
            && let Ok(received @ 1..) = stream.read(&mut part)
        {
            request.extend_from_slice(&part[..received]);
        }
        if !request.is_empty() {
            let written = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole or not");
            answered += usize::from(written.is_ok());
        }
    }
}

/// Guards against agents passing on an answer as complete whose target crashed.
#[test]
fn verify_an_agent_breaks_off_an_answer_whose_target_crashes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base = listener.local_addr().expect("a listening socket has an address").to_string();
    let mut fleet = Fleet::open(Timers::default());
    let document = "[[target]]\nname = \"s1\"\nkind = \"service\"\nserves = \"claims\"\nhall = \"ba-1\"\ncapacity = 4\n[[customer]]\nname = \"farm\"\nkey = \"tatranska:key-build-farm\"\nshare = 10\n";
    let revision = fleet.publish("tatranska/main.toml", document);
    fleet.add_service_at("tatranska/s1", "ba-1", &base);
    fleet.add_entry("entry-1", "ba-1", "");
    fleet.settle(1, revision);
    let server = thread::spawn(move || serve_two(listener));
    let ask = || Ask::post(common::FARM, "/services/claims/x", "q").only_once("");
    let whole = ask().send(&fleet.http(0));
    assert_eq!((whole.status, whole.body.as_str()), (200, "whole or not"), "{whole:?}");
    let crashed = ask().send(&fleet.http(0));
    assert_eq!(crashed.status, 502, "the answer looks complete: {crashed:?}");
    server.join().expect("the server thread ends");
}

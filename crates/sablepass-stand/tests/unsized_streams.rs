// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Streams with neither a length nor chunks, which end with the target's connection.

mod common;

use common::crashes::replace_ended;
use sablepass_stand::replica::{EVENTS, Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask, configuration};

/// A site with one entry whose route for streams forbids to resume them at another target, unless
/// `resume` is set.
fn site(replicas: usize, resume: bool) -> Site {
    let site = common::site(replicas, 1);
    let mut configuration = configuration(2);
    configuration["routes"][0]["streamResume"] = resume.into();
    let revision = site.configure(&configuration);
    sablepass_stand::client::wait_for("the entry has the configuration", || {
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
    for number in 0..6 {
        let id = format!("resumed-{number}");
        let answer = ask("POST", "/stream/x", &id, "q").send(&site.http(0));
        assert_eq!((answer.status, answer.body), (200, all_events(&id)));
    }
    assert!(site.replicas[0].crashed());
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Streams with neither a length nor chunks, which end with the target's connection.

mod common;

use sablepass_stand::replica::{EVENTS, Mode, all_events};
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients that send only a part of a request, or more than one, and stay connected: the
//! entry stays within the limits of its machine and serves ordinary callers.

mod common;

use std::sync::Arc;

use sablepass_stand::site::{Site, ask};

use crate::common::crowd::{self, Bounds, Client, Watch};
use crate::common::crowd_site::{self, MAX_BODY, MAX_HEAD};

/// Number of clients with large bodies.
const BODIES: usize = 64;
/// Number of connections: more than the entry may accept with its descriptors.
const CONNECTIONS: usize = 800;
/// Bytes that a client sends at once, piece by piece.
const PIECE: usize = 16 * 1024;

/// Lets `count` clients send the head and the body, and checks the entry while they stay connected.
fn play(site: &mut Site, count: usize, head: impl Fn(usize) -> String, body: &Arc<Vec<u8>>) {
    let watch = Watch::start(&site.entries[0]);
    let addr = site.http(0);
    let mut clients: Vec<Client> =
        (0..count).map(|number| Client::connect(&addr, head(number), body)).collect();
    crowd::send(&mut clients, PIECE);
    crowd_site::check(site, &watch);
}

fn with_length(path: &str, number: usize, length: usize) -> String {
    let head = crowd_site::head("POST", path, &format!("crowd-{number}"));
    format!("{head}content-length: {length}\r\n\r\n")
}

fn in_chunks(path: &str, number: usize) -> String {
    let head = crowd_site::head("POST", path, &format!("crowd-{number}"));
    format!("{head}transfer-encoding: chunked\r\n\r\n")
}

/// Guards against bodies with a length that stop before their last byte and keep the memory for bodies.
#[test]
fn verify_unfinished_bodies_with_a_length_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    let head = |number| with_length("/safe/2", number, MAX_BODY);
    play(&mut site, BODIES, head, &crowd::all_but_last(MAX_BODY));
}

/// Guards against bodies of which only the length arrives and which keep the memory for bodies.
#[test]
fn verify_announced_bodies_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    let head = |number| with_length("/safe/2", number, MAX_BODY);
    play(&mut site, BODIES, head, &crowd::all_but_last(2));
}

/// Guards against bodies in chunks that stop before their last chunk and take more memory than is counted.
#[test]
fn verify_unfinished_bodies_in_chunks_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    play(&mut site, BODIES, |number| in_chunks("/safe/2", number), &crowd::chunks(MAX_BODY, 8_000));
}

/// Guards against whole bodies whose requests are not answered and which take more memory than is counted.
#[test]
fn verify_whole_bodies_leave_room_for_ordinary_callers() {
    const BODY: usize = 1 << 20;
    let _alone = crowd::alone();
    let mut site = crowd_site::open(8);
    let head = |number| with_length("/safe/hang", number, BODY);
    play(&mut site, BODIES, head, &Arc::new(vec![b'b'; BODY]));
}

/// Guards against heads that do not end and take all connections or more memory than is counted.
#[test]
fn verify_unfinished_heads_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    let head = |number| {
        let head = crowd_site::head("GET", "/safe/2", &format!("crowd-{number}"));
        format!("{head}x-long: ")
    };
    play(&mut site, CONNECTIONS, head, &Arc::new(vec![b'h'; MAX_HEAD - 1_024]));
}

/// Guards against idle connections that take all connections of the entry.
#[test]
fn verify_idle_connections_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    play(&mut site, CONNECTIONS, |_| String::new(), &Arc::default());
}

/// Guards against input that is sent ahead of an answer and takes more memory than is counted.
#[test]
fn verify_input_sent_ahead_leaves_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(80);
    let head = |number| {
        let head = crowd_site::head("GET", "/safe/hang", &format!("crowd-{number}"));
        format!("{head}\r\n")
    };
    play(&mut site, 500, head, &Arc::new(vec![b'n'; 64 * 1024]));
}

/// Guards against large heads whose requests are not answered and which take more memory than is counted.
#[test]
fn verify_large_heads_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(80);
    let long = "h".repeat(MAX_HEAD - 1_024);
    let head = |number| {
        let head = crowd_site::head("GET", "/safe/hang", &format!("crowd-{number}"));
        format!("{head}x-long: {long}\r\n\r\n")
    };
    play(&mut site, 400, head, &Arc::default());
}

/// Guards against connections to targets that keep the buffer of a large request after it is sent.
#[test]
fn verify_large_requests_in_a_row_leave_room_for_ordinary_callers() {
    const BODY: usize = 2 << 20;
    const REQUESTS: usize = 96;
    let _alone = crowd::alone();
    let mut site = crowd_site::open(0);
    for _ in 0..8 {
        site.add_replica("orders");
    }
    site.settle(8);
    let watch = Watch::start(&site.entries[0]);
    let body = "b".repeat(BODY);
    for number in 0..REQUESTS {
        let answer = ask("POST", "/once/x", &format!("row-{number}"), &body).send(&site.http(0));
        assert_eq!((answer.status, answer.body.len()), (200, BODY), "request {number}");
    }
    let answer = ask("POST", "/safe/x", "ordinary", "q").send(&site.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!site.entries[0].ended(), "the entry has ended");
    watch.check(crowd_site::BOUNDS);
}

/// Guards against clients of all kinds at once that together take more memory than each kind alone.
#[test]
fn verify_a_mixed_crowd_leaves_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(80);
    let watch = Watch::start(&site.entries[0]);
    let addr = site.http(0);
    let plain =
        |path: &str, number: usize| crowd_site::head("GET", path, &format!("crowd-{number}"));
    let (whole, cut, none) =
        (crowd::all_but_last(MAX_BODY), crowd::chunks(MAX_BODY, 8_000), Arc::default());
    let (ahead, long) = (Arc::new(vec![b'n'; 64 * 1024]), Arc::new(vec![b'h'; MAX_HEAD - 1_024]));
    let connect = |number: usize| match number % 6 {
        0 => Client::connect(&addr, with_length("/safe/2", number, MAX_BODY), &whole),
        1 => Client::connect(&addr, in_chunks("/safe/2", number), &cut),
        2 => Client::connect(&addr, format!("{}\r\n", plain("/safe/hang", number)), &ahead),
        3 => Client::connect(&addr, format!("{}x-long: ", plain("/safe/2", number)), &long),
        4 => Client::connect(&addr, format!("{}\r\n", plain("/safe/1000000", number)), &none),
        _ => Client::connect(&addr, format!("{}\r\n", plain("/stream/1000000", number)), &none),
    };
    // Each crowd leaves before the next one comes.
    for _ in 0..3 {
        let mut clients: Vec<Client> = (0..CONNECTIONS).map(connect).collect();
        crowd::send(&mut clients, PIECE);
        crowd_site::check(&mut site, &watch);
    }
}

/// Guards against limits on the memory of all requests that keep out a single one of the largest size.
#[test]
fn verify_the_largest_request_is_served_in_calm_on_the_smallest_machine() {
    const SMALLEST: Bounds = Bounds { memory: 32, descriptors: 512 };
    let _alone = crowd::alone();
    let mut site = crowd_site::open_on(SMALLEST, 0);
    site.add_replica("orders");
    site.settle(1);
    let watch = Watch::start(&site.entries[0]);
    let body = "b".repeat(MAX_BODY);
    for number in 0..10 {
        let answer = ask("POST", "/once/x", &format!("large-{number}"), &body).send(&site.http(0));
        assert_eq!((answer.status, answer.body.len()), (200, MAX_BODY), "request {number}");
    }
    assert!(!site.entries[0].ended(), "the entry has ended");
    watch.check(SMALLEST);
}

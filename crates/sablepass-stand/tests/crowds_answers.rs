// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients that do not read their answers and stay connected: the entry stays within the
//! limits of its machine and serves ordinary callers.

mod common;

use std::sync::Arc;

use crate::common::crowd::{self, Client, Watch};
use crate::common::crowd_site;

/// Bytes that a client sends at once.
const PIECE: usize = 64 * 1024;

/// Lets `count` clients send requests that they do not read the answers of, and checks the entry
/// while they stay connected.
fn play(replicas: usize, count: usize, requests: impl Fn(usize) -> String) {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(replicas);
    let watch = Watch::start(&site.entries[0]);
    let addr = site.http(0);
    let connect = |number| Client::connect(&addr, requests(number), &Arc::default());
    let mut clients: Vec<Client> = (0..count).map(connect).collect();
    crowd::send(&mut clients, PIECE);
    crowd_site::wait_for_answers(&site);
    crowd_site::check(&mut site, &watch);
}

fn get(path: &str, id: &str) -> String {
    format!("{}\r\n", crowd_site::head("GET", path, id))
}

/// Guards against whole answers that are not read and take more memory than the machine has.
#[test]
fn verify_unread_answers_leave_room_for_ordinary_callers() {
    play(8, 64, |number| get("/safe/4000000", &format!("crowd-{number}")));
}

/// Guards against streams that are not read and take more memory than the machine has.
#[test]
fn verify_unread_streams_leave_room_for_ordinary_callers() {
    play(40, 300, |number| get("/stream/4000000", &format!("crowd-{number}")));
}

/// Guards against requests in a row on a connection whose answers, not read, take more memory than the machine has.
#[test]
fn verify_unread_answers_in_a_row_leave_room_for_ordinary_callers() {
    let row = |number: usize| -> String {
        (0..64).map(|it| get("/safe/2000000", &format!("crowd-{number}-{it}"))).collect()
    };
    play(8, 4, row);
}

/// Guards against refused requests in a row on a connection whose answers, not read, take more memory than the machine has.
#[test]
fn verify_unread_refusals_in_a_row_leave_room_for_ordinary_callers() {
    let refused = "GET / HTTP/1.1\r\nhost: h\r\n\r\n".repeat(500_000);
    play(2, 4, |_| refused.clone());
}

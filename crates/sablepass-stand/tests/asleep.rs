// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Machines beside targets that sleep for a while and wake: real entries, with
//! stand-ins for the targets. The judge is what the targets ran.

use std::io::Write;
use std::net::TcpStream;

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{HOST, KEY, Site, ask};

/// A caller that asks and is gone once its request has been sent on.
fn ask_and_leave(site: &Site, id: &str) {
    let before = site.replicas[0].connections();
    let mut stream = TcpStream::connect(site.http(0)).expect("the entry accepts");
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 5000\r\ncontent-length: 1\r\n\r\n."
    );
    stream.write_all(head.as_bytes()).expect("the request leaves");
    wait_for("it is sent on", || site.replicas[0].connections() > before);
}

#[test]
fn verify_what_its_caller_left_is_not_begun_by_a_target_that_wakes() {
    let mut site = Site::open(1);
    site.add_entry("");
    site.settle(1);
    site.replicas[0].set(Mode::Asleep);
    let admin = site.entries[0].addr("admin");
    for number in 0..4 {
        ask_and_leave(&site, &format!("left-{number}"));
    }
    wait_for("the entry knows that they left", || {
        metric(&admin, "sablepass_refusals_total", "caller-gone") >= 4.0
    });
    // Counted on the event loop, whose answer comes after all that was to be closed.
    site.status(0);
    site.replicas[0].set(Mode::Good);
    let answer = ask("POST", "/stream/x", "stays", "").send(&site.http(0));
    assert_eq!(answer.status, 200, "{answer:?}");
    for number in 0..4 {
        assert_eq!(site.runs(&format!("left-{number}")), 0, "caller {number} was gone");
    }
}

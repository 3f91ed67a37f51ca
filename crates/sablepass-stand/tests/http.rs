// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Servers under many connections at once.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use sablepass_stand::http;

/// Time within which every connection has been given a thread.
const LIMIT: Duration = Duration::from_secs(5);

/// Opens a connection that stays open and sends one request on it.
fn ask(addr: std::net::SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(addr).expect("the server listens");
    write!(socket, "GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("written");
    socket
}

/// Bursts of connections, of which every one stays open: each must get its
/// request through, though idle threads of earlier connections are about.
#[test]
fn verify_no_connection_starves() {
    let (server, addr) = http::bind(([127, 0, 0, 1], 0).into()).expect("bound");
    // Once nothing listens its look-out ends the process, also while the harness still writes
    // how this test went: it listens until the process ends.
    let server = Box::leak(Box::new(server));
    let mut held = Vec::new();
    let mut sockets = Vec::new();
    for round in 0..20 {
        // Some short connections leave idle threads behind.
        let short: Vec<TcpStream> = (0..8).map(|_| ask(addr)).collect();
        for _ in 0..8 {
            let request = server.recv_timeout(LIMIT).expect("received").expect("in time");
            request.respond(http::answer(200, "text/plain", Vec::new())).expect("answered");
        }
        drop(short);
        sockets.extend((0..30).map(|_| ask(addr)));
        let until = Instant::now() + LIMIT;
        for index in 0..30 {
            let left = until.saturating_duration_since(Instant::now());
            let request = server.recv_timeout(left).expect("received");
            let request =
                request.unwrap_or_else(|| panic!("round {round}: only {index} of 30 arrived"));
            held.push(request);
        }
    }
}

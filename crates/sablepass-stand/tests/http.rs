// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The stand's HTTP server under many concurrent connections.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use sablepass_stand::http;

/// Time within which the server must receive a request from every connection.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens a connection that stays open and sends one request on it.
fn ask(addr: std::net::SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(addr).expect("the server listens");
    write!(socket, "GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("request sent");
    socket
}

/// Opens bursts of connections that all stay open, while threads of earlier connections are idle.
/// The server must receive a request from each. `tiny_http` may queue a connection for an idle
/// thread that is already due to serve another one, and then never read its request.
#[test]
fn verify_no_connection_starves() {
    let (server, addr) = http::bind(([127, 0, 0, 1], 0).into()).expect("address bound");
    // The server's monitor ends the process once nothing listens, even while the test harness is
    // still printing the result. The server is therefore leaked, so that it listens until then.
    let server = Box::leak(Box::new(server));
    let mut held = Vec::new();
    let mut sockets = Vec::new();
    for round in 0..20 {
        // Connections that are closed soon leave idle threads behind.
        let short: Vec<TcpStream> = (0..8).map(|_| ask(addr)).collect();
        for _ in 0..8 {
            let request = server
                .recv_timeout(RECEIVE_TIMEOUT)
                .expect("the server receives")
                .expect("request within the timeout");
            request.respond(http::answer(200, "text/plain", Vec::new())).expect("answer sent");
        }
        drop(short);
        sockets.extend((0..30).map(|_| ask(addr)));
        let deadline = Instant::now() + RECEIVE_TIMEOUT;
        for index in 0..30 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let request = server.recv_timeout(remaining).expect("the server receives");
            let request = request
                .unwrap_or_else(|| panic!("round {round}: only {index} of 30 requests arrived"));
            held.push(request);
        }
    }
}

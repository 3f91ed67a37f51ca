// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Where a request's body ends: real entries must run the requests that callers sent, with the
//! bodies that they sent, whatever the method and the framing.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use sablepass_stand::replica::Replica;
use sablepass_stand::site::{HOST, KEY, Site};

/// Time within which an answer arrives, and after which a silent connection counts as idle.
const ANSWER_TIME: Duration = Duration::from_millis(500);

fn site() -> Site {
    let mut site = Site::open(1);
    site.add_entry("");
    site.settle(1);
    site
}

fn connect(site: &Site) -> TcpStream {
    let socket = TcpStream::connect(site.http(0)).expect("the entry listens");
    socket.set_read_timeout(Some(ANSWER_TIME)).expect("read timeout set");
    socket
}

/// A request in its wire format. `framing` are header lines, each with its line end.
fn request(line: &str, id: &str, framing: &str, body: &str) -> String {
    format!(
        "{line}\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-request-id: {id}\r\n{framing}\r\n{body}"
    )
}

/// Sends bytes and returns the status lines of the answers, and whether the entry closed the
/// connection.
fn exchange(socket: &mut TcpStream, bytes: &str) -> (Vec<String>, bool) {
    socket.write_all(bytes.as_bytes()).expect("request sent");
    let mut text = Vec::new();
    let mut part = [0; 4_096];
    let closed = loop {
        match socket.read(&mut part) {
            Ok(0) => break true,
            Ok(length) => text.extend_from_slice(&part[..length]),
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&text);
    // A body need not end with a line end, so the next status line may follow it on the same line.
    let heads = text.match_indices("HTTP/1.1 ").map(|(start, _)| &text[start..]);
    (heads.filter_map(|it| it.lines().next()).map(str::to_owned).collect(), closed)
}

/// Requests that the replica ran: id, method and path, and body.
fn runs(site: &Site) -> Vec<(String, String, String)> {
    let text = |it: Vec<u8>| String::from_utf8_lossy(&it).into_owned();
    let all = site.replicas.iter().flat_map(Replica::runs);
    all.map(|it| (it.id, it.line, text(it.body))).collect()
}

fn run(id: &str, line: &str, body: &str) -> (String, String, String) {
    (id.to_owned(), line.to_owned(), body.to_owned())
}

/// Guards against running the body of a HEAD request as a request, or as the start of the next one.
#[test]
fn verify_body_of_a_head_request_is_read_and_forwarded_as_its_body() {
    let site = site();
    let hidden = request("POST /once/hidden HTTP/1.1", "hidden", "content-length: 0\r\n", "");
    let sized = |body: &str| (format!("content-length: {}\r\n", body.len()), body.to_owned());
    let chunked = |body: &str| {
        let body = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        ("transfer-encoding: chunked\r\n".to_owned(), body)
    };
    let mut socket = connect(&site);
    let mut expected = Vec::new();
    for (round, body) in ["hello", hidden.as_str()].into_iter().enumerate() {
        for (kind, (framing, encoded)) in [("sized", sized(body)), ("chunked", chunked(body))] {
            let (id, next) = (format!("{kind}-{round}"), format!("next-{kind}-{round}"));
            let head = request("HEAD /safe/x HTTP/1.1", &id, &framing, &encoded);
            assert_eq!(exchange(&mut socket, &head), (vec!["HTTP/1.1 200 OK".to_owned()], false));
            let get = request("GET /safe/y HTTP/1.1", &next, "", "");
            assert_eq!(exchange(&mut socket, &get), (vec!["HTTP/1.1 200 OK".to_owned()], false));
            expected.extend([run(&id, "HEAD /safe/x", body), run(&next, "GET /safe/y", "")]);
        }
    }
    assert_eq!(runs(&site), expected);
}

/// Guards against bytes of a body that are not read with some methods.
#[test]
fn verify_every_method_is_run_once_with_its_body_in_every_framing() {
    let site = site();
    let methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "PURGE"];
    let expecting = "expect: 100-continue\r\n";
    let framings = [
        ("none", String::new(), "", ""),
        ("empty", "content-length: 0\r\n".to_owned(), "", ""),
        ("sized", "content-length: 5\r\n".to_owned(), "hello", "hello"),
        (
            "chunked",
            "transfer-encoding: chunked\r\n".to_owned(),
            "5\r\nhello\r\n0\r\n\r\n",
            "hello",
        ),
        ("expecting", format!("{expecting}content-length: 5\r\n"), "hello", "hello"),
    ];
    let mut expected = Vec::new();
    let mut sent = String::new();
    for method in methods {
        for (kind, framing, encoded, body) in &framings {
            let (id, line) = (format!("{method}-{kind}"), format!("{method} /safe/x"));
            sent += &request(&format!("{line} HTTP/1.1"), &id, framing, encoded);
            expected.push(run(&id, &line, body));
        }
    }
    let mut socket = connect(&site);
    let (mut answers, closed) = exchange(&mut socket, &sent);
    answers.retain(|it| !it.contains(" 100 "));
    assert_eq!((answers.len(), closed), (expected.len(), false), "{answers:?}");
    assert!(answers.iter().all(|it| it == "HTTP/1.1 200 OK"), "{answers:?}");
    assert_eq!(runs(&site), expected);
}

/// Guards against the end of the process by a CONNECT request.
#[test]
fn verify_connect_requests_are_refused() {
    let site = site();
    for target in ["users.example:443", "/safe/x", "*", "http://users.example/safe/x"] {
        for framing in ["", "content-length: 5\r\n"] {
            let body = if framing.is_empty() { "" } else { "hello" };
            let sent = request(&format!("CONNECT {target} HTTP/1.1"), "c", framing, body);
            let (answers, _) = exchange(&mut connect(&site), &sent);
            let refused = answers.len() == 1 && answers[0].starts_with("HTTP/1.1 4");
            assert!(refused, "{target}: {answers:?}");
        }
    }
    let get = request("GET /safe/x HTTP/1.1", "after", "", "");
    assert_eq!(exchange(&mut connect(&site), &get).0, ["HTTP/1.1 200 OK"]);
    assert_eq!(runs(&site), [run("after", "GET /safe/x", "")]);
}

/// Guards against running what follows a request with two framings as a further request.
#[test]
fn verify_connection_is_closed_after_a_request_with_a_length_and_chunks() {
    let site = site();
    let framing = "content-length: 30\r\ntransfer-encoding: chunked\r\n";
    let mut sent = request("POST /safe/x HTTP/1.1", "both", framing, "5\r\nhello\r\n0\r\n\r\n");
    sent += &request("GET /safe/hidden HTTP/1.1", "hidden", "", "");
    let (answers, closed) = exchange(&mut connect(&site), &sent);
    assert_eq!((answers, closed), (vec!["HTTP/1.1 200 OK".to_owned()], true));
    assert_eq!(runs(&site), [run("both", "POST /safe/x", "hello")]);
}

/// Guards against taking a request for one without a body because its framing is not understood.
#[test]
fn verify_request_whose_body_has_no_known_end_is_refused_and_the_connection_closed() {
    let site = site();
    let codings = ["gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", ""];
    let lines = codings.map(|it| ("HTTP/1.1", format!("transfer-encoding: {it}\r\n")));
    let others = [
        ("HTTP/1.0", "transfer-encoding: chunked\r\n".to_owned()),
        ("HTTP/1.1", "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n".to_owned()),
        ("HTTP/1.1", "content-length: 5\r\ncontent-length: 6\r\n".to_owned()),
        ("HTTP/1.1", "content-length: +5\r\n".to_owned()),
        ("HTTP/1.1", "content-length: \r\n".to_owned()),
        ("HTTP/1.1", "transfer-encoding: chunked\r\n\r\n+2\r\nno\r\n0\r\n".to_owned()),
        ("HTTP/1.1", "transfer-encoding: chunked\r\n\r\n2\r\nno\r\n+0\r\n".to_owned()),
        ("HTTP/1.1", "transfer-encoding: chunked\r\n\r\n \r\n0\r\n".to_owned()),
    ];
    let hidden = request("GET /safe/hidden HTTP/1.1", "hidden", "", "");
    for method in ["GET", "HEAD", "POST"] {
        for (version, framing) in lines.iter().chain(&others) {
            let line = format!("{method} /safe/x {version}");
            let sent = request(&line, "unknown", framing, &hidden);
            let (answers, closed) = exchange(&mut connect(&site), &sent);
            let refused = answers.len() == 1 && answers[0].contains(" 400 ");
            assert!(refused && closed, "{line}, {framing:?}: {answers:?}");
        }
    }
    assert_eq!(runs(&site), []);
}

/// Guards against requests that cannot be sent to a target and are held against it.
#[test]
fn verify_requests_that_cannot_be_forwarded_are_refused_and_charge_no_target() {
    let site = site();
    let long = "M".repeat(300);
    let sent = request(&format!("{long} /safe/x HTTP/1.1"), "long", "", "");
    assert_eq!(exchange(&mut connect(&site), &sent).0, ["HTTP/1.1 200 OK"]);
    let twice = "host: users.example\r\n";
    let sent = request("GET /safe/x HTTP/1.1", "twice", twice, "");
    assert_eq!(exchange(&mut connect(&site), &sent).0, ["HTTP/1.1 400 Bad Request"]);
    let get = request("GET /safe/x HTTP/1.1", "after", "", "");
    assert_eq!(exchange(&mut connect(&site), &get).0, ["HTTP/1.1 200 OK"]);
    let line = format!("{long} /safe/x");
    assert_eq!(runs(&site), [run("long", &line, ""), run("after", "GET /safe/x", "")]);
}

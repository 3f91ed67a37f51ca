// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP server of the stand-ins, with one thread per request, and accessors for requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sablepass_stand::http;
use tiny_http::Request;

use crate::Error;

/// Prints the addresses that a stand-in listens on, as one line of JSON.
pub fn announce(addresses: &serde_json::Value) {
    println!("{addresses}");
}

/// Listens on `addr`, announces the address under `name`, and serves until the process ends.
/// `handle` runs on a new thread for each request.
pub fn serve(
    addr: SocketAddr,
    name: &str,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> Result<(), Error> {
    let (server, addr) = http::bind(addr)?;
    announce(&serde_json::json!({ name: addr }));
    let handle = Arc::new(handle);
    while let Ok(request) = server.recv() {
        let handle = handle.clone();
        std::thread::spawn(move || handle(request));
    }
    Ok(())
}

/// The path without the query.
pub fn path(request: &Request) -> String {
    request.url().split('?').next().unwrap_or("").to_owned()
}

/// The value of a numeric query parameter; 0 if it is missing or invalid.
pub fn query(request: &Request, name: &str) -> u64 {
    let query = request.url().split_once('?').map_or("", |it| it.1);
    let value = query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
    value.and_then(|it| it.1.parse().ok()).unwrap_or(0)
}

/// The value of a header; empty if it is missing.
pub fn header(request: &Request, name: &str) -> String {
    let matches = |it: &&tiny_http::Header| it.field.as_str().as_str().eq_ignore_ascii_case(name);
    let found = request.headers().iter().find(matches);
    found.map_or(String::new(), |it| it.value.as_str().to_owned())
}

/// The body as text, as far as it was received; empty if it is not UTF-8.
pub fn body(request: &mut Request) -> String {
    let mut text = String::new();
    // An incomplete body is used as received: the sender has an error on its side.
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

/// Responds with 503, and a `retry-after` header of `pause_ms` milliseconds.
pub fn refuse_for(request: Request, pause_ms: u64) {
    let seconds = Duration::from_millis(pause_ms).as_secs_f64().to_string();
    let field = tiny_http::Header::from_bytes("retry-after", seconds)
        .expect("a number is a valid header value");
    let answer = http::answer_json(503, &serde_json::json!({ "error": "busy" }));
    // The caller may have closed the connection.
    let _ = request.respond(answer.with_header(field));
}

/// Response header with the requests per second that a target accepts.
pub const LIMIT_HEADER: &str = "server-limit";

/// Responds with 200, a JSON body, and the [`LIMIT_HEADER`] if there is a limit.
pub fn json_with_limit(request: Request, value: &serde_json::Value, limit: Option<f64>) {
    let mut answer = http::answer_json(200, value);
    if let Some(field) = limit.and_then(|it| http::header(LIMIT_HEADER, &it.to_string())) {
        answer.add_header(field);
    }
    // The caller may have closed the connection.
    let _ = request.respond(answer);
}

/// Responds with a JSON body.
pub fn json(request: Request, status: u16, value: &serde_json::Value) {
    // The caller may have closed the connection.
    let _ = request.respond(http::answer_json(status, value));
}

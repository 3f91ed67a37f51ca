// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Serving HTTP for the stand-ins: a thread a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sablepass_stand::http;
use tiny_http::Request;

use crate::Error;

/// Prints the addresses a stand-in serves on, as one JSON line.
pub fn announce(addresses: &serde_json::Value) {
    println!("{addresses}");
}

/// Serves forever; `handle` runs on a thread a request.
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

/// The path without its query.
pub fn path(request: &Request) -> String {
    request.url().split('?').next().unwrap_or("").to_owned()
}

/// A number in the query, or 0.
pub fn query(request: &Request, name: &str) -> u64 {
    let query = request.url().split_once('?').map_or("", |it| it.1);
    let value = query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
    value.and_then(|it| it.1.parse().ok()).unwrap_or(0)
}

/// A header's value, or nothing.
pub fn header(request: &Request, name: &str) -> String {
    let fits = |it: &&tiny_http::Header| it.field.as_str().as_str().eq_ignore_ascii_case(name);
    let found = request.headers().iter().find(fits);
    found.map_or(String::new(), |it| it.value.as_str().to_owned())
}

/// The body as text.
pub fn body(request: &mut Request) -> String {
    let mut text = String::new();
    // A body that breaks off is taken as it is: the sender sees its own error.
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

/// Turns a request away and asks for a rest of so many milliseconds.
pub fn turn_away(request: Request, rest: u64) {
    let seconds = Duration::from_millis(rest).as_secs_f64().to_string();
    let field = tiny_http::Header::from_bytes("retry-after", seconds).expect("a header field");
    let answer = http::answer_json(503, &serde_json::json!({ "error": "busy" }));
    // The asker may be gone.
    let _ = request.respond(answer.with_header(field));
}

/// The field that names a limit.
pub const LIMIT: &str = "server-limit";

/// Answers with JSON, and names a limit if there is one.
pub fn json_with_limit(request: Request, value: &serde_json::Value, limit: Option<f64>) {
    let mut answer = http::answer_json(200, value);
    if let Some(field) = limit.and_then(|it| http::header(LIMIT, &it.to_string())) {
        answer.add_header(field);
    }
    // The asker may be gone.
    let _ = request.respond(answer);
}

/// Answers with JSON.
pub fn json(request: Request, status: u16, value: &serde_json::Value) {
    // The asker may be gone.
    let _ = request.respond(http::answer_json(status, value));
}

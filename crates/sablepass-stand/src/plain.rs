// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for a plain service. Each call is logged before the response is sent, so the log
//! shows which calls ran even if the response is lost.
//!
//! `GET /control/runs` returns the log.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::{Error, web};

/// Runs the stand-in; each call takes `delay_ms` milliseconds.
pub fn run(addr: SocketAddr, delay_ms: u64) -> Result<(), Error> {
    let runs: Mutex<Vec<Value>> = Mutex::new(Vec::new());
    web::serve(addr, "http", move |mut request| {
        let path = web::path(&request);
        if path == "/control/runs" {
            let log = runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
            web::json(request, 200, &Value::Array(log));
            return;
        }
        let id = web::header(&request, "x-request-id");
        let customer = web::header(&request, "x-customer");
        let body = web::body(&mut request);
        let run = json!({ "id": id, "customer": customer, "path": path, "body": body });
        let number = {
            let mut log = runs.lock().unwrap_or_else(PoisonError::into_inner);
            log.push(run);
            log.len()
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        web::json(request, 200, &json!({ "number": number, "path": path, "echo": body }));
    })
}

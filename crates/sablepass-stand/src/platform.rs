// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for the platform: configuration service and instance list.
//!
//! `GET /v1/config?after=R&wait_ms=W` returns the documents changed after revision R, and waits
//! up to W milliseconds for a change. `PUT` and `DELETE /v1/config/KEY` publish and remove
//! documents, as the operators' tool does. The instance list has the same calls under
//! `/v1/instances`, but its reads don't wait. `POST /control/mode` takes `up`, `down`, `stale N`
//! (as of N revisions ago) or `slow MS`; `GET /control/reads` returns the number of reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::{Error, web};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Up,
    Down,
    /// Serves no change of the configuration after this revision.
    Stale(u64),
    /// Delays reads of the configuration by this many milliseconds.
    Slow(u64),
}

/// A published change.
struct Change {
    revision: u64,
    key: String,
    /// `None` for a removal.
    body: Option<String>,
    published_at: Instant,
}

#[derive(Default)]
struct Log {
    changes: Vec<Change>,
}

impl Log {
    fn revision(&self) -> u64 {
        self.changes.last().map_or(0, |it| it.revision)
    }

    fn put(&mut self, key: &str, body: Option<String>) -> u64 {
        let revision = self.revision() + 1;
        let published_at = Instant::now();
        self.changes.push(Change { revision, key: key.to_owned(), body, published_at });
        revision
    }

    /// The latest change of each key later than revision `after` and not later than `limit`.
    fn after(&self, after: u64, limit: u64) -> Vec<&Change> {
        let mut latest: BTreeMap<&str, &Change> = BTreeMap::new();
        for it in self.changes.iter().filter(|it| it.revision > after && it.revision <= limit) {
            latest.insert(&it.key, it);
        }
        latest.into_values().collect()
    }
}

struct State {
    mode: Mode,
    config: Log,
    instances: Log,
    /// Delay of the instance list behind its changes.
    lag: Duration,
    config_reads: u64,
    list_reads: u64,
}

struct Platform {
    state: Mutex<State>,
    changed: Condvar,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Runs the stand-in; the instance list shows a change `lag_ms` milliseconds later.
pub fn run(addr: SocketAddr, lag_ms: u64) -> Result<(), Error> {
    let state = State {
        mode: Mode::Up,
        config: Log::default(),
        instances: Log::default(),
        lag: Duration::from_millis(lag_ms),
        config_reads: 0,
        list_reads: 0,
    };
    let platform = Arc::new(Platform { state: Mutex::new(state), changed: Condvar::new() });
    web::serve(addr, "http", move |request| handle(&platform, request))
}

fn handle(platform: &Platform, mut request: Request) {
    let path = web::path(&request);
    let body = web::body(&mut request);
    match (request.method().clone(), path.as_str()) {
        (Method::Get, "/v1/config") => read_config(platform, request),
        (Method::Get, "/v1/instances") => read_instances(platform, request),
        (Method::Get, "/control/reads") => {
            let state = platform.lock();
            let counts = json!({ "config": state.config_reads, "instances": state.list_reads });
            web::json(request, 200, &counts);
        }
        (Method::Post, "/control/mode") => set_mode(platform, request, &body),
        (Method::Put, _) => publish(platform, request, &path, Some(body)),
        (Method::Delete, _) => publish(platform, request, &path, None),
        _ => web::json(request, 404, &json!({ "error": "unknown path" })),
    }
}

fn publish(platform: &Platform, request: Request, path: &str, body: Option<String>) {
    let mut state = platform.lock();
    let revision = if let Some(key) = path.strip_prefix("/v1/config/") {
        state.config.put(key, body)
    } else if let Some(key) = path.strip_prefix("/v1/instances/") {
        state.instances.put(key, body)
    } else {
        web::json(request, 404, &json!({ "error": "unknown path" }));
        return;
    };
    platform.changed.notify_all();
    web::json(request, 200, &json!({ "revision": revision }));
}

fn set_mode(platform: &Platform, request: Request, text: &str) {
    let mut state = platform.lock();
    let (word, number) = text.trim().split_once(' ').unwrap_or((text.trim(), "0"));
    let number: u64 = number.parse().unwrap_or(0);
    let mode = match word {
        "up" => Mode::Up,
        "down" => Mode::Down,
        "stale" => Mode::Stale(state.config.revision().saturating_sub(number)),
        "slow" => Mode::Slow(number),
        _ => {
            web::json(
                request,
                400,
                &json!({ "error": "unknown mode; expected up, down, stale N or slow MS" }),
            );
            return;
        }
    };
    state.mode = mode;
    platform.changed.notify_all();
    web::json(request, 200, &json!({ "mode": format!("{mode:?}") }));
}

fn read_config(platform: &Platform, request: Request) {
    let after = web::query(&request, "after");
    let wait = Duration::from_millis(web::query(&request, "wait_ms"));
    let deadline = Instant::now() + wait;
    let mut state = platform.lock();
    state.config_reads += 1;
    if let Mode::Slow(ms) = state.mode {
        drop(state);
        std::thread::sleep(Duration::from_millis(ms));
        state = platform.lock();
    }
    loop {
        let limit = match state.mode {
            Mode::Down => {
                web::json(request, 503, &json!({ "error": "the platform is in mode down" }));
                return;
            }
            Mode::Stale(limit) => limit,
            Mode::Up | Mode::Slow(_) => u64::MAX,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let changes = state.config.after(after, limit);
        if !changes.is_empty() || left.is_zero() {
            let revision = state.config.revision().min(limit);
            let documents: Vec<Value> = changes.into_iter().map(document).collect();
            web::json(request, 200, &json!({ "revision": revision, "documents": documents }));
            return;
        }
        let waited = platform.changed.wait_timeout(state, left);
        state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
    }
}

fn document(change: &Change) -> Value {
    json!({
        "key": change.key, "revision": change.revision, "removed": change.body.is_none(),
        "body": change.body.clone().unwrap_or_default(),
    })
}

fn read_instances(platform: &Platform, request: Request) {
    let after = web::query(&request, "after");
    let mut state = platform.lock();
    state.list_reads += 1;
    if state.mode == Mode::Down {
        web::json(request, 503, &json!({ "error": "the platform is in mode down" }));
        return;
    }
    let visible = |it: &&Change| it.published_at.elapsed() >= state.lag;
    let limit = state.instances.changes.iter().rfind(visible).map_or(0, |it| it.revision);
    let documents: Vec<Value> =
        state.instances.after(after, limit).into_iter().map(document).collect();
    web::json(request, 200, &json!({ "revision": limit, "documents": documents }));
}

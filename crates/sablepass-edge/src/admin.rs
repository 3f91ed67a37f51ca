// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The operators' HTTP interface of a process: `/metrics`, `/healthz`,
//! `/readyz`, and queries that the process's main actor answers.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{self, HeaderValue};
use sablepass_platform::request::READY_PATH;
use stakker::{ActorOwn, CX, Fwd, Stakker, actor_new, call, fwd_to, ret_shutdown};

use crate::server::{self, Incoming, Limits, Server};
use crate::telemetry::Metrics;

/// A question to the main actor.
#[derive(Debug)]
pub struct Query {
    /// What is asked.
    pub ask: Ask,
    /// Where the answer goes.
    pub reply: Asker,
}

/// What may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Is the process ready for work?
    Ready,
    /// What is desired, accepted and in force?
    Status,
    /// What became of a request?
    Request(String),
    /// How does a group stand?
    Group(String),
}

/// Who waits for an answer.
#[derive(Clone, Debug)]
pub struct Asker(server::Reply);

impl Asker {
    /// Answers. An asker that is gone is not told.
    pub fn send(&self, it: Reply) {
        answer(&self.0, it.status, "application/json", it.json.into_bytes());
    }
}

/// An answer: HTTP status and JSON text.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub json: String,
}

impl Reply {
    /// An answer with status 200.
    pub fn ok(value: &serde_json::Value) -> Self {
        Self { status: 200, json: value.to_string() }
    }

    /// An answer that says what is missing.
    pub fn missing(what: &str) -> Self {
        let json = serde_json::json!({ "error": "unknown", "what": what });
        Self { status: 404, json: json.to_string() }
    }
}

/// The actor.
pub struct Admin {
    metrics: Arc<Metrics>,
    queries: Fwd<Query>,
    _server: ActorOwn<Server>,
}

/// Opens the interface. Returns its address and the actor that serves it.
pub fn spawn(
    s: &mut Stakker,
    addr: SocketAddr,
    metrics: Arc<Metrics>,
    queries: Fwd<Query>,
) -> Result<(SocketAddr, ActorOwn<Admin>), server::Error> {
    let listener = server::listen(addr)?;
    let addr = listener.local_addr().unwrap_or(addr);
    let admin = actor_new!(s, Admin, ret_shutdown!(s));
    let events = fwd_to!([admin], event() as (server::Event));
    let server = actor_new!(s, Server, ret_shutdown!(s));
    call!([server], Server::init(listener, Limits::default(), events));
    call!([admin], Admin::init(metrics, queries, server));
    Ok((addr, admin))
}

impl Admin {
    fn init(
        _cx: CX![],
        metrics: Arc<Metrics>,
        queries: Fwd<Query>,
        server: ActorOwn<Server>,
    ) -> Option<Self> {
        Some(Self { metrics, queries, _server: server })
    }

    fn event(&mut self, _cx: CX![], event: server::Event) {
        match event {
            server::Event::Request(it) => self.request(*it),
            // Answers are short and written at once.
            server::Event::Gone(_) | server::Event::Full(_) | server::Event::Drained(_) => {}
        }
    }

    fn request(&self, it: Incoming) {
        let Ok(head) = it.head else {
            answer(&it.reply, 400, "text/plain", b"not understood\n".to_vec());
            return;
        };
        let ask = match (head.uri().path(), head.uri().query()) {
            ("/metrics", _) => {
                answer(&it.reply, 200, "text/plain; version=0.0.4", self.metrics.render());
                return;
            }
            ("/healthz", _) => {
                answer(&it.reply, 200, "text/plain", b"ok\n".to_vec());
                return;
            }
            ("/readyz" | READY_PATH, _) => Ask::Ready,
            ("/status", _) => Ask::Status,
            ("/explain/request", Some(id)) => Ask::Request(id.to_owned()),
            ("/explain/group", Some(name)) => Ask::Group(name.to_owned()),
            _ => {
                answer(&it.reply, 404, "text/plain", b"unknown path\n".to_vec());
                return;
            }
        };
        self.queries.fwd(Query { ask, reply: Asker(it.reply) });
    }
}

fn answer(to: &server::Reply, status: u16, content_type: &'static str, body: Vec<u8>) {
    let mut head = http::Response::new(());
    *head.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    head.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    to.whole(head, body);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP interface of a process for operators: `/metrics`, `/healthz`, `/readyz`, and queries that
//! the main actor of the process answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use sablepass_platform::request::READY_PATH;
use stakker::{ActorOwn, CX, Fwd, Stakker, actor_new, call, fwd_to, ret_shutdown};

use crate::room::Room;
use crate::server::{self, Incoming, Limits, Server};
use crate::telemetry::Metrics;

/// Limits of the interface: queries have no body, and few come at once.
const LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 64 * 1024,
    head_time: Duration::from_secs(10),
    idle_time: Duration::from_secs(75),
    connections: 64,
    bodies: 1 << 20,
    buffers: 4 << 20,
};

/// A query to the main actor.
#[derive(Debug)]
pub struct Query {
    /// Subject of the query.
    pub subject: Subject,
    /// Sender of the answer.
    pub reply: Responder,
}

/// Subject of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Readiness of the process.
    Ready,
    /// Desired, accepted and effective configuration.
    Status,
    /// Trace of the request with this id.
    Request(String),
    /// State of the group with this name.
    Group(String),
}

/// Sender of the answer to one query.
#[derive(Clone, Debug)]
pub struct Responder(server::Reply);

impl Responder {
    /// Sends the answer. It is dropped if the caller has disconnected.
    pub fn send(&self, reply: Reply) {
        send_response(&self.0, reply.status, "application/json", reply.json.into_bytes());
    }
}

/// An answer to a query.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub json: String,
}

impl Reply {
    /// Creates an answer with status 200.
    pub fn ok(value: &serde_json::Value) -> Self {
        Self { status: 200, json: value.to_string() }
    }

    /// Creates an answer with status 404 that names the unknown item.
    pub fn missing(what: &str) -> Self {
        let json = serde_json::json!({ "error": "unknown", "what": what });
        Self { status: 404, json: json.to_string() }
    }
}

/// Actor that serves the interface.
pub struct Admin {
    metrics: Arc<Metrics>,
    queries: Fwd<Query>,
    _server: ActorOwn<Server>,
}

/// Starts the interface. Returns its address and the actor that serves it.
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
    let buffers = Room::open(LIMITS.buffers);
    call!([server], Server::init(listener, LIMITS, buffers, events));
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
            server::Event::Request(request) => self.request(*request),
            // Answers are short and written at once, so flow control is not needed.
            server::Event::Disconnected(_)
            | server::Event::OutputFull(_)
            | server::Event::OutputReady(_) => {}
            server::Event::GaveWay(activity) => self.metrics.gave_way(activity),
        }
    }

    fn request(&self, request: Incoming) {
        let Ok(head) = request.head else {
            send_response(&request.reply, 400, "text/plain", b"not understood\n".to_vec());
            return;
        };
        let subject = match (head.uri().path(), head.uri().query()) {
            ("/metrics", _) => {
                send_response(
                    &request.reply,
                    200,
                    "text/plain; version=0.0.4",
                    self.metrics.render(),
                );
                return;
            }
            ("/healthz", _) => {
                send_response(&request.reply, 200, "text/plain", b"ok\n".to_vec());
                return;
            }
            ("/readyz" | READY_PATH, _) => Subject::Ready,
            ("/status", _) => Subject::Status,
            ("/explain/request", Some(id)) => Subject::Request(id.to_owned()),
            ("/explain/group", Some(name)) => Subject::Group(name.to_owned()),
            _ => {
                send_response(&request.reply, 404, "text/plain", b"unknown path\n".to_vec());
                return;
            }
        };
        self.queries.fwd(Query { subject, reply: Responder(request.reply) });
    }
}

fn send_response(to: &server::Reply, status: u16, content_type: &'static str, body: Vec<u8>) {
    let mut head = http::Response::new(());
    *head.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    head.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    to.send_complete(head, body);
}

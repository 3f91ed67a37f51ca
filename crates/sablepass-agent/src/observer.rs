// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The actor beside a target that takes requests straight from entries: it
//! reads the target's account of itself, which costs nothing from here, and
//! tells the entries its load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use sablepass_core::id::Millis;
use sablepass_edge::client::{self, Connection, Outgoing};
use sablepass_edge::mesh::{self, Mesh, PeerKey};
use sablepass_edge::telemetry::Metrics;
use sablepass_edge::{admin, clock, runtime};
use sablepass_platform::engine;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use stakker::{ActorOwn, CX, actor_new, after, call, fwd_to, ret_nop, ret_some_do};

use crate::settings::Settings;

/// Age beyond which the target counts as gone when it does not answer.
const AWAY: Millis = 1_000;

/// The last reading.
struct Reading {
    report: engine::Report,
    at: Millis,
}

/// The actor.
pub struct Observer {
    settings: Settings,
    target: SocketAddr,
    log: Logger,
    metrics: Arc<Metrics>,
    mesh: ActorOwn<Mesh>,
    entries: Vec<PeerKey>,
    connection: Option<ActorOwn<Connection>>,
    /// Counts connections, so that a late event of an old one is known.
    opened: u64,
    /// When the reading under way was asked for.
    asked: Option<Millis>,
    status: u16,
    body: Vec<u8>,
    reading: Option<Reading>,
    /// The target answered the last time.
    good: bool,
}

impl Observer {
    /// Starts to read.
    pub fn init(
        cx: CX![],
        settings: Settings,
        target: SocketAddr,
        log: Logger,
        metrics: Arc<Metrics>,
        mesh: ActorOwn<Mesh>,
    ) -> Option<Self> {
        let mut observer = Self {
            settings,
            target,
            log,
            metrics,
            mesh,
            entries: Vec::new(),
            connection: None,
            opened: 0,
            asked: None,
            status: 0,
            body: Vec::new(),
            reading: None,
            good: false,
        };
        observer.beat(cx);
        Some(observer)
    }

    /// Takes an event of the mesh.
    pub fn mesh_event(&mut self, _cx: CX![], event: mesh::Event) {
        match event {
            mesh::Event::Up(peer, it) if it.role == "entry" && it.dialled.is_none() => {
                slog::info!(self.log, "entry up"; "entry" => it.name);
                self.entries.push(peer);
            }
            mesh::Event::Down(peer) => self.entries.retain(|it| *it != peer),
            _ => {}
        }
    }

    fn beat(&mut self, cx: CX![]) {
        let now = clock::now();
        let patience = AWAY.max(self.settings.heartbeat);
        if self.asked.is_some_and(|at| now >= at + patience) {
            // The target is silent; a new connection tells whether it is there.
            self.lost("no answer");
        }
        if self.asked.is_none() {
            self.ask(cx, now);
        }
        after!(Duration::from_millis(self.settings.heartbeat), [cx], beat());
    }

    fn ask(&mut self, cx: CX![], now: Millis) {
        if self.connection.is_none() {
            self.connect(cx);
        }
        let mut head = http::Request::new(());
        *head.uri_mut() = http::Uri::from_static(engine::REPORT_PATH);
        if let Ok(host) = HeaderValue::from_str(&self.target.to_string()) {
            head.headers_mut().insert(header::HOST, host);
        }
        self.body.clear();
        self.asked = Some(now);
        if let Some(it) = &self.connection {
            call!([it], send(Outgoing { head, body: Vec::new(), echo: None }));
        }
    }

    fn connect(&mut self, cx: CX![]) {
        self.opened += 1;
        let opened = self.opened;
        let events = fwd_to!([cx], |this, cx, it: client::Event| this.event(cx, opened, it));
        let connection = actor_new!(cx, Connection, ret_nop!());
        let options = client::Options::default();
        call!([connection], Connection::init(self.target, options, events));
        self.connection = Some(connection);
    }

    fn event(&mut self, _cx: CX![], opened: u64, event: client::Event) {
        if opened != self.opened {
            return;
        }
        match event {
            client::Event::Head(head) => self.status = head.status().as_u16(),
            client::Event::Bytes(bytes) => self.body.extend_from_slice(&bytes),
            client::Event::End { reusable, .. } => {
                if !reusable {
                    self.connection = None;
                }
                self.answered();
            }
            client::Event::Closed { cause, .. } => {
                self.connection = None;
                if self.asked.is_some() {
                    self.lost(&cause.to_string());
                }
            }
        }
    }

    fn answered(&mut self) {
        let Some(asked) = self.asked.take() else { return };
        if self.status != 200 {
            self.lost(&format!("status {}", self.status));
            return;
        }
        match engine::report(&self.body) {
            Ok(report) => {
                if !self.good {
                    self.good = true;
                    slog::info!(self.log, "target regained"; "target" => %self.target);
                }
                self.reading = Some(Reading { report, at: asked });
                self.tell();
            }
            Err(e) => self.lost(&e.to_string()),
        }
    }

    fn lost(&mut self, why: &str) {
        self.connection = None;
        self.asked = None;
        if self.good {
            self.good = false;
            slog::warn!(self.log, "target lost"; "target" => %self.target, "why" => why);
        }
    }

    fn tell(&self) {
        let Some(it) = &self.reading else { return };
        let age = clock::now().saturating_sub(it.at);
        let load = it.report.running + it.report.waiting;
        self.metrics.in_flight.set(load.into());
        let report = Body::Report(wire::Report {
            in_flight: load,
            capacity: 0,
            engine_load: load,
            load_age: u32::try_from(age).unwrap_or(u32::MAX),
            leaving: false,
            away: false,
        });
        for peer in &self.entries {
            call!([self.mesh], send(*peer, report.clone()));
        }
    }

    /// Answers an operator's query.
    pub fn query(&mut self, _cx: CX![], query: admin::Query) {
        let now = clock::now();
        let load = self.reading.as_ref().map(|it| {
            serde_json::json!({
                "running": it.report.running, "waiting": it.report.waiting,
                "age_ms": now.saturating_sub(it.at),
            })
        });
        match query.ask {
            admin::Ask::Ready => {
                let json = serde_json::json!({ "ready": self.good }).to_string();
                let status = if self.good { 200 } else { 503 };
                query.reply.send(admin::Reply { status, json });
            }
            admin::Ask::Status => {
                let (good, reply) = (self.good, query.reply);
                let ret = ret_some_do!(move |mesh: serde_json::Value| {
                    let mut status = mesh;
                    status["role"] = "agent".into();
                    status["target_answers"] = good.into();
                    status["load"] = load.into();
                    reply.send(admin::Reply::ok(&status));
                });
                call!([self.mesh], status(ret));
            }
            admin::Ask::Request(_) => {
                query.reply.send(admin::Reply::missing("request; ask the entry that took it"));
            }
            admin::Ask::Group(_) => query.reply.send(admin::Reply::missing("group")),
        }
    }

    /// Takes a signal. It ends at once: nothing waits for this process.
    pub fn signal(&mut self, cx: CX![], signal: runtime::Signal) {
        match signal {
            runtime::Signal::Stop => {
                slog::info!(self.log, "stopped");
                stakker::stop!(cx);
            }
            runtime::Signal::Reload => {
                slog::info!(self.log, "settings kept"; "why" => "an agent takes them at its start");
            }
        }
    }
}

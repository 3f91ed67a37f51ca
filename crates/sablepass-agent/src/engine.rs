// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Calls to the replica beside this agent, one after the other on one
//! connection, so that what an account shows is after every order before it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http::header::{self, HeaderValue};
use sablepass_edge::client::{self, Connection, Outgoing};
use sablepass_platform::engine;
use stakker::{ActorOwn, CX, Fwd, actor_new, after, call, fwd_to, ret_nop};

/// How long a reading may take. It does not leave the machine.
const CALL_TIME: Duration = Duration::from_millis(120);
/// How long an order may take: an answer comes within some milliseconds or not
/// at all, and while it is waited for a step may be held.
const ORDER_TIME: Duration = Duration::from_millis(50);
/// Calls that wait at most; readings beyond it are not made.
const QUEUE: usize = 16;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Its account of itself.
    Report,
    /// The counts of chosen experts.
    Counts,
    /// The experts that it holds.
    Lists,
    /// An order of the switch.
    Order(Vec<u8>),
    /// The order to prepare a map.
    Prepare(Vec<u8>),
}

/// How a call ended.
#[derive(Debug)]
pub enum Heard {
    /// With an answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
    },
    /// Without: nobody knows whether an order was taken.
    Nothing,
}

/// The actor.
pub struct Engine {
    target: SocketAddr,
    owner: Fwd<(Ask, Heard)>,
    connection: Option<ActorOwn<Connection>>,
    /// Counts connections, so that a late event of an old one is known.
    opened: u64,
    waiting: VecDeque<Ask>,
    current: Option<Ask>,
    /// Counts calls, for their time limits.
    calls: u64,
    status: u16,
    body: Vec<u8>,
}

impl Engine {
    /// Opens without a connection.
    pub fn init(_cx: CX![], target: SocketAddr, owner: Fwd<(Ask, Heard)>) -> Option<Self> {
        Some(Self {
            target,
            owner,
            connection: None,
            opened: 0,
            waiting: VecDeque::new(),
            current: None,
            calls: 0,
            status: 0,
            body: Vec::new(),
        })
    }

    /// Makes a call after those before it. A reading that already waits is
    /// not made twice.
    pub fn ask(&mut self, cx: CX![], it: Ask) {
        let order = matches!(it, Ask::Order(_) | Ask::Prepare(_));
        let skip = !order && (self.waiting.contains(&it) || self.waiting.len() >= QUEUE);
        if skip {
            return;
        }
        self.waiting.push_back(it);
        self.next(cx);
    }

    fn next(&mut self, cx: CX![]) {
        if self.current.is_some() {
            return;
        }
        let Some(ask) = self.waiting.pop_front() else { return };
        if self.connection.is_none() {
            self.connect(cx);
        }
        let outgoing = self.outgoing(&ask);
        let limit = match ask {
            Ask::Order(_) | Ask::Prepare(_) => ORDER_TIME,
            Ask::Report | Ask::Counts | Ask::Lists => CALL_TIME,
        };
        self.current = Some(ask);
        self.status = 0;
        self.body.clear();
        self.calls += 1;
        let number = self.calls;
        if let Some(it) = &self.connection {
            call!([it], send(outgoing));
        }
        after!(limit, [cx], check_time(number));
    }

    fn outgoing(&self, ask: &Ask) -> Outgoing {
        let path = match ask {
            Ask::Report => engine::REPORT_PATH,
            Ask::Counts => engine::PICKED_PATH,
            Ask::Lists => engine::LISTS_PATH,
            Ask::Order(_) | Ask::Prepare(_) => engine::ORDER_PATH,
        };
        let mut head = http::Request::new(());
        *head.uri_mut() = http::Uri::from_static(path);
        let fields = head.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&self.target.to_string()) {
            fields.insert(header::HOST, host);
        }
        let body = match ask {
            Ask::Order(body) | Ask::Prepare(body) => body.clone(),
            Ask::Report | Ask::Counts | Ask::Lists => Vec::new(),
        };
        if !body.is_empty() {
            fields.insert(header::CONTENT_LENGTH, body.len().into());
            let json = HeaderValue::from_static("application/json");
            fields.insert(header::CONTENT_TYPE, json);
            *head.method_mut() = http::Method::POST;
        }
        Outgoing { head, body, echo: None }
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

    fn check_time(&mut self, cx: CX![], number: u64) {
        if self.calls == number && self.current.is_some() {
            self.connection = None;
            self.end(cx, Heard::Nothing);
        }
    }

    fn event(&mut self, cx: CX![], opened: u64, event: client::Event) {
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
                let (status, body) = (self.status, std::mem::take(&mut self.body));
                self.end(cx, Heard::Answer { status, body });
            }
            client::Event::Closed { .. } => {
                self.connection = None;
                self.end(cx, Heard::Nothing);
            }
        }
    }

    fn end(&mut self, cx: CX![], heard: Heard) {
        if let Some(ask) = self.current.take() {
            self.owner.fwd((ask, heard));
        }
        self.next(cx);
    }
}

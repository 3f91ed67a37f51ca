// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Short calls to one address, one at a time, over a connection that is kept:
//! the answer comes whole, or a reason why there is none.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderValue};
use snafu::Snafu;
use stakker::{ActorOwn, CX, Fwd, actor_new, after, call, fwd_to, ret_nop};

use crate::client::{self, Connection, Outgoing};

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection ended before the answer was whole.
    #[snafu(display("{source}"))]
    Broken {
        /// Why.
        source: client::Cause,
    },
    /// No answer in time.
    #[snafu(display("no answer in time"))]
    Time,
    /// The answer is longer than it may be.
    #[snafu(display("answer longer than {most} bytes"))]
    TooLong {
        /// The most.
        most: usize,
    },
}

impl Error {
    /// Whether nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Broken { source } if source.is_refused())
    }
}

/// A whole answer.
#[derive(Debug, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Its header fields.
    pub fields: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
}

/// A call.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: http::Method,
    /// Path with its query.
    pub path: String,
    /// JSON body, if it has one.
    pub body: Option<Vec<u8>>,
    /// Time in which the answer must be whole.
    pub limit: Duration,
}

impl Call {
    /// A call that reads.
    pub fn get(path: impl Into<String>, limit: Duration) -> Self {
        Self { method: http::Method::GET, path: path.into(), body: None, limit }
    }

    /// A call that gives a JSON body.
    pub fn post(path: impl Into<String>, body: Vec<u8>, limit: Duration) -> Self {
        Self { method: http::Method::POST, path: path.into(), body: Some(body), limit }
    }
}

/// The call under way.
struct Current {
    number: u64,
    answer: Answer,
}

/// The actor.
pub struct Caller {
    addr: SocketAddr,
    most: usize,
    owner: Fwd<Result<Answer, Error>>,
    connection: Option<ActorOwn<Connection>>,
    /// Counts connections, so that a late event of an old one is known.
    opened: u64,
    /// Counts calls, for their time limits.
    calls: u64,
    current: Option<Current>,
}

impl Caller {
    /// Opens without a connection. Answers have `most` bytes at most.
    pub fn init(
        _cx: CX![],
        addr: SocketAddr,
        most: usize,
        owner: Fwd<Result<Answer, Error>>,
    ) -> Option<Self> {
        Some(Self { addr, most, owner, connection: None, opened: 0, calls: 0, current: None })
    }

    /// Makes a call. One that is still under way is given up without a word.
    pub fn call(&mut self, cx: CX![], it: Call) {
        if self.current.is_some() {
            self.connection = None;
        }
        self.calls += 1;
        let number = self.calls;
        self.current = Some(Current { number, answer: Answer::default() });
        let limit = it.limit;
        let outgoing = self.outgoing(it);
        if self.connection.is_none() {
            self.connect(cx);
        }
        if let Some(connection) = &self.connection {
            call!([connection], send(outgoing));
        }
        after!(limit, [cx], check_time(number));
    }

    fn outgoing(&self, it: Call) -> Outgoing {
        let mut head = http::Request::new(());
        *head.method_mut() = it.method;
        // Paths are made by this project and always valid.
        *head.uri_mut() = it.path.parse().unwrap_or_default();
        let fields = head.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            fields.insert(header::HOST, host);
        }
        if let Some(body) = &it.body {
            fields.insert(header::CONTENT_LENGTH, body.len().into());
            let json = HeaderValue::from_static("application/json");
            fields.insert(header::CONTENT_TYPE, json);
        }
        Outgoing { head, body: it.body.unwrap_or_default(), echo: None }
    }

    fn connect(&mut self, cx: CX![]) {
        self.opened += 1;
        let opened = self.opened;
        let events = fwd_to!([cx], |this, cx, it: client::Event| this.event(cx, opened, it));
        let connection = actor_new!(cx, Connection, ret_nop!());
        let options = client::Options::default();
        call!([connection], Connection::init(self.addr, options, events));
        self.connection = Some(connection);
    }

    fn check_time(&mut self, _cx: CX![], number: u64) {
        if self.current.as_ref().is_some_and(|it| it.number == number) {
            self.fail(Error::Time);
        }
    }

    fn event(&mut self, _cx: CX![], opened: u64, event: client::Event) {
        if opened != self.opened {
            return;
        }
        match event {
            client::Event::Connected => {}
            client::Event::Head(head) => {
                if let Some(it) = &mut self.current {
                    it.answer.status = head.status().as_u16();
                    it.answer.fields = head.into_parts().0.headers;
                }
            }
            client::Event::Bytes(bytes) => self.bytes(&bytes),
            client::Event::End { reusable, .. } => {
                if !reusable {
                    self.connection = None;
                }
                if let Some(it) = self.current.take() {
                    self.owner.fwd(Ok(it.answer));
                }
            }
            client::Event::Closed { cause, .. } => self.fail(Error::Broken { source: cause }),
        }
    }

    fn bytes(&mut self, bytes: &[u8]) {
        let Some(it) = &mut self.current else { return };
        it.answer.body.extend_from_slice(bytes);
        if it.answer.body.len() > self.most {
            self.fail(Error::TooLong { most: self.most });
        }
    }

    /// Ends the call, if there is one, and its connection.
    fn fail(&mut self, e: Error) {
        self.connection = None;
        if self.current.take().is_some() {
            self.owner.fwd(Err(e));
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Makes short HTTP calls to one address, one at a time, over a connection that is kept open. The
//! owner receives the complete answer or an error.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use snafu::Snafu;
use stakker::{ActorOwn, CX, Fwd, actor_new, after, call, fwd_to, ret_nop};

use crate::client::{self, Connection, Echo, Outgoing};

/// Error of a call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection ended before the answer was complete.
    #[snafu(display("{source}"))]
    Broken {
        /// Underlying error.
        source: client::Cause,
    },
    /// No complete answer arrived in time.
    #[snafu(display("no complete answer in time"))]
    Timeout,
    /// The answer exceeds the maximum size.
    #[snafu(display("answer longer than {max_bytes} bytes"))]
    TooLong {
        /// Maximum size in bytes.
        max_bytes: usize,
    },
}

impl Error {
    /// Whether the connection was refused: nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Broken { source } if source.is_refused())
    }
}

/// A complete answer.
#[derive(Debug, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub fields: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: http::Method,
    /// Path with its query.
    pub path: String,
    /// JSON body, if it has one.
    pub body: Option<Vec<u8>>,
    /// Time for the complete answer to arrive.
    pub timeout: Duration,
    /// Header field in which the call carries an id of its own. An answer with another id belongs
    /// to an earlier call.
    pub id_field: Option<HeaderName>,
}

impl Call {
    /// Creates a GET call.
    pub fn get(path: impl Into<String>, timeout: Duration) -> Self {
        let (method, path) = (http::Method::GET, path.into());
        Self { method, path, body: None, timeout, id_field: None }
    }

    /// Creates a POST call with a JSON body.
    pub fn post(path: impl Into<String>, body: Vec<u8>, timeout: Duration) -> Self {
        let (method, path) = (http::Method::POST, path.into());
        Self { method, path, body: Some(body), timeout, id_field: None }
    }

    /// The same call with an id of its own in this header field.
    pub fn with_id(self, field: HeaderName) -> Self {
        Self { id_field: Some(field), ..self }
    }
}

/// The pending call.
struct Current {
    number: u64,
    answer: Answer,
}

/// Actor that makes the calls.
pub struct Caller {
    addr: SocketAddr,
    max_bytes: usize,
    owner: Fwd<Result<Answer, Error>>,
    connection: Option<ActorOwn<Connection>>,
    /// Number of the current connection, by which late events of an earlier one are recognized.
    connection_number: u64,
    /// Number of the last call, by which an expired timer of an earlier one is recognized.
    calls: u64,
    current: Option<Current>,
}

impl Caller {
    /// Creates a caller without a connection. Answers may have up to `max_bytes` bytes.
    pub fn init(
        _cx: CX![],
        addr: SocketAddr,
        max_bytes: usize,
        owner: Fwd<Result<Answer, Error>>,
    ) -> Option<Self> {
        Some(Self {
            addr,
            max_bytes,
            owner,
            connection: None,
            connection_number: 0,
            calls: 0,
            current: None,
        })
    }

    /// Makes a call. A pending one is abandoned without a result.
    pub fn call(&mut self, cx: CX![], request: Call) {
        if self.current.is_some() {
            self.connection = None;
        }
        self.calls += 1;
        let number = self.calls;
        self.current = Some(Current { number, answer: Answer::default() });
        let timeout = request.timeout;
        let outgoing = self.outgoing(request);
        if self.connection.is_none() {
            self.connect(cx);
        }
        if let Some(connection) = &self.connection {
            call!([connection], send(outgoing));
        }
        after!(timeout, [cx], check_timeout(number));
    }

    fn outgoing(&self, request: Call) -> Outgoing {
        let mut head = http::Request::new(());
        *head.method_mut() = request.method;
        // Paths are built by this program and are always valid.
        *head.uri_mut() = request.path.parse().unwrap_or_default();
        let fields = head.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            fields.insert(header::HOST, host);
        }
        if let Some(body) = &request.body {
            fields.insert(header::CONTENT_LENGTH, body.len().into());
            let json = HeaderValue::from_static("application/json");
            fields.insert(header::CONTENT_TYPE, json);
        }
        let echo = request.id_field.map(|name| {
            fields.insert(&name, self.calls.into());
            Echo { name, required: false }
        });
        Outgoing { head, body: request.body.unwrap_or_default(), echo }
    }

    fn connect(&mut self, cx: CX![]) {
        self.connection_number += 1;
        let connection_number = self.connection_number;
        let events =
            fwd_to!([cx], |this, cx, it: client::Event| this.event(cx, connection_number, it));
        let connection = actor_new!(cx, Connection, ret_nop!());
        let options = client::Options::default();
        call!([connection], Connection::init(self.addr, options, events));
        self.connection = Some(connection);
    }

    fn check_timeout(&mut self, _cx: CX![], number: u64) {
        if self.current.as_ref().is_some_and(|it| it.number == number) {
            self.fail(Error::Timeout);
        }
    }

    fn event(&mut self, _cx: CX![], connection_number: u64, event: client::Event) {
        if connection_number != self.connection_number {
            return;
        }
        match event {
            client::Event::Connected => {}
            client::Event::Head(head) => {
                if let Some(current) = &mut self.current {
                    current.answer.status = head.status().as_u16();
                    current.answer.fields = head.into_parts().0.headers;
                }
            }
            client::Event::Bytes(bytes) => self.bytes(&bytes),
            client::Event::End { reusable, .. } => {
                if !reusable {
                    self.connection = None;
                }
                if let Some(current) = self.current.take() {
                    self.owner.fwd(Ok(current.answer));
                }
            }
            client::Event::Closed { cause, .. } => self.fail(Error::Broken { source: cause }),
        }
    }

    fn bytes(&mut self, bytes: &[u8]) {
        let Some(current) = &mut self.current else { return };
        current.answer.body.extend_from_slice(bytes);
        if current.answer.body.len() > self.max_bytes {
            self.fail(Error::TooLong { max_bytes: self.max_bytes });
        }
    }

    /// Closes the connection and fails the pending call, if there is one.
    fn fail(&mut self, e: Error) {
        self.connection = None;
        if self.current.take().is_some() {
            self.owner.fwd(Err(e));
        }
    }
}

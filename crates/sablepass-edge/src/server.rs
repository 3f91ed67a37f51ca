// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP/1.1 server on the event loop.
//!
//! [`Server`] accepts; each connection is an actor of its own. A request goes
//! to the owner when its body is there; the answer comes back part by part
//! and each part is written as it comes. The protocol is `ureq-proto`'s. Both
//! directions are bounded: a caller that sends ahead is not read, and the
//! owner is told when a caller does not read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};
use stakker::{ActorOwn, CX, Fwd, actor_new, after, call, fwd_to, ret_some_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::connection::Connection;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Bytes of an answer that the kernel holds for a caller that reads slowly. Set,
/// since it otherwise grows to megabytes a connection.
const SEND_BUFFER: usize = 256 * 1024;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;
/// Time between two looks at connections that rest or do not move.
const SWEEP: Duration = Duration::from_millis(250);

/// Why a server could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be listened on.
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// One exchange of a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeKey {
    /// The connection, by number within its server.
    pub connection: u64,
    /// Counts from 1 within the connection.
    pub number: u32,
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// It is not HTTP/1.1.
    Malformed,
    /// Its head is longer than the limit.
    HeadTooLarge,
    /// Its body is longer than the limit.
    BodyTooLarge,
    /// It did not arrive in time.
    Slow,
}

/// A whole request.
#[derive(Debug)]
pub struct Incoming {
    /// The exchange.
    pub key: ExchangeKey,
    /// Its head, or what is wrong with it.
    pub head: Result<http::Request<()>, Problem>,
    /// Its body.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub reply: Reply,
}

/// What a server tells its owner.
#[derive(Debug)]
pub enum Event {
    /// A request is there. It must be answered.
    Request(Box<Incoming>),
    /// Its caller went away; nothing can be answered.
    Gone(ExchangeKey),
    /// Its caller does not read: no more parts, please.
    Full(ExchangeKey),
    /// Its caller has read.
    Drained(ExchangeKey),
}

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length: it is written when it is whole.
    Whole,
    /// By chunks: each part is written as it comes.
    Chunked,
}

/// A part of an answer.
#[derive(Debug)]
pub enum Part {
    /// It begins.
    Head(Box<http::Response<()>>, Framing),
    /// Bytes of the body.
    Bytes(Vec<u8>),
    /// It is whole.
    End,
    /// It breaks off: the connection is closed, so that it does not look whole.
    Abort,
}

/// Where the answer of one exchange goes.
#[derive(Clone)]
pub struct Reply {
    to: Fwd<(ExchangeKey, Part)>,
    key: ExchangeKey,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Reply({:?})", self.key)
    }
}

impl Reply {
    pub(crate) fn open(to: Fwd<(ExchangeKey, Part)>, key: ExchangeKey) -> Self {
        Self { to, key }
    }

    /// Sends a part.
    pub fn send(&self, part: Part) {
        self.to.fwd((self.key, part));
    }

    /// Sends an answer that is whole.
    pub fn whole(&self, head: http::Response<()>, body: Vec<u8>) {
        self.send(Part::Head(Box::new(head), Framing::Whole));
        self.send(Part::Bytes(body));
        self.send(Part::End);
    }
}

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the head of a request.
    pub head: usize,
    /// Bytes of its body.
    pub body: usize,
    /// Time in which head and body must be there, each.
    pub head_time: Duration,
    /// Time that a connection may rest between two requests.
    pub idle_time: Duration,
    /// Connections at once.
    pub connections: usize,
}

impl Default for Limits {
    /// 16 KiB of head, as many servers; 4 MiB of body; 10 s to send; 75 s to
    /// rest, longer than usual clients rest; 4,000 connections.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 << 20,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(75),
            connections: 4_000,
        }
    }
}

/// Listens with a backlog that takes a burst of connections.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let domain = socket2::Domain::for_address(addr);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.set_send_buffer_size(SEND_BUFFER)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        Ok(TcpListener::from_std(socket.into()))
    };
    open().context(ListenSnafu { addr })
}

/// The actor that accepts.
pub struct Server {
    listener: Option<MioSource<TcpListener>>,
    owner: Fwd<Event>,
    limits: Limits,
    connections: HashMap<u64, ActorOwn<Connection>>,
    next: u64,
    draining: bool,
}

impl Server {
    /// Starts to accept.
    pub fn init(
        cx: CX![],
        listener: TcpListener,
        limits: Limits,
        owner: Fwd<Event>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let addr = listener.local_addr().unwrap_or_else(|_| ([0, 0, 0, 0], 0).into());
        let accept = fwd_to!([cx], accept() as (Ready));
        let listener = match poll.add(listener, Interest::READABLE, PRIORITY, accept) {
            Ok(it) => Some(it),
            Err(source) => {
                stakker::fail!(cx, Error::Listen { addr, source });
                return None;
            }
        };
        after!(SWEEP, [cx], sweep());
        let connections = HashMap::new();
        Some(Self { listener, owner, limits, connections, next: 0, draining: false })
    }

    /// Changes the limits, for connections that are open as well.
    pub fn limit(&mut self, _cx: CX![], limits: Limits) {
        self.limits = limits;
        for it in self.connections.values() {
            call!([it], limit(limits));
        }
    }

    /// From now on each answer is the last one on its connection.
    pub fn drain(&mut self, _cx: CX![]) {
        self.draining = true;
        for it in self.connections.values() {
            call!([it], drain());
        }
    }

    /// Accepts no more, and closes connections on which nothing is under way.
    pub fn close(&mut self, _cx: CX![]) {
        self.listener = None;
        for it in self.connections.values() {
            call!([it], close_idle());
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(|it| it.accept()) {
            if self.connections.len() < self.limits.connections {
                self.adopt(cx, stream);
            }
        }
    }

    fn adopt(&mut self, cx: CX![], stream: TcpStream) {
        self.next += 1;
        let key = self.next;
        let ended = ret_some_to!([cx], |this, _cx, _cause: stakker::StopCause| {
            this.connections.remove(&key);
        });
        let connection = actor_new!(cx, Connection, ended);
        let (limits, owner, draining) = (self.limits, self.owner.clone(), self.draining);
        call!([connection], Connection::init(key, stream, limits, draining, owner));
        self.connections.insert(key, connection);
    }

    fn sweep(&mut self, cx: CX![]) {
        let now = Instant::now();
        for it in self.connections.values() {
            call!([it], sweep(now));
        }
        after!(SWEEP, [cx], sweep());
    }
}

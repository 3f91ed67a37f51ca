// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP/1.1 server on the event loop, with the protocol implementation of `ureq-proto`.
//!
//! [`Server`] accepts connections; each connection is an actor. A request is forwarded to the owner
//! when its body is complete. The owner sends the answer in parts, which are written as they
//! arrive. Buffers are bounded in both directions: the input of a caller that sends ahead is not
//! read, and the owner is notified when a caller does not read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};
use stakker::{ActorOwn, CX, Fwd, Ret, actor_new, after, call, fwd_to, ret, ret_some_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::connection::{Connection, GiveWay, Rooms};
use crate::progress::{Activity, Progress};
use crate::room::Room;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 4096;
/// Size of the kernel's send buffer per connection. Without a limit it grows to megabytes for a
/// caller that reads slowly.
const SEND_BUFFER_BYTES: usize = 256 * 1024;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;
/// Maximum number of connections that are accepted before other events are processed.
const ACCEPTS_PER_TURN: usize = 64;
/// Interval between two checks for idle and blocked connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Error of opening a server.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        /// The listening address.
        addr: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
}

/// Identifies one exchange of a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeKey {
    /// Number of the connection within its server.
    pub connection: u64,
    /// Number of the exchange within the connection, from 1.
    pub number: u32,
}

/// Error of a request that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The request is not valid HTTP/1.1.
    Malformed,
    /// The head exceeds [`Limits::head`].
    HeadTooLarge,
    /// The body exceeds [`Limits::body`].
    BodyTooLarge,
    /// The request did not arrive in time.
    Slow,
    /// Memory for requests is short: that of all connections together would exceed
    /// [`Limits::bodies`] or [`Limits::buffers`], or the request arrives too slowly meanwhile.
    NoRoom,
}

/// A complete request.
#[derive(Debug)]
pub struct Incoming {
    /// The exchange of this request.
    pub key: ExchangeKey,
    /// Head of the request, or the error if it could not be read.
    pub head: Result<http::Request<()>, Problem>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Sender of the answer.
    pub reply: Reply,
}

/// Events that a server reports to its owner.
#[derive(Debug)]
pub enum Event {
    /// A request arrived. The owner must answer it.
    Request(Box<Incoming>),
    /// The caller disconnected; the exchange cannot be answered.
    Disconnected(ExchangeKey),
    /// The output buffer is full because the caller does not read: the owner should send no more
    /// parts until [`Event::OutputReady`].
    OutputFull(ExchangeKey),
    /// The output buffer has room again.
    OutputReady(ExchangeKey),
    /// A connection that did this gave way to others, as memory or connections were short.
    GaveWay(Activity),
}

/// Framing of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By length: the answer is buffered and written when it is complete.
    ContentLength,
    /// Chunked: each part is written as it arrives.
    Chunked,
}

/// A part of an answer.
#[derive(Debug)]
pub enum Part {
    /// The head, which starts the answer.
    Head(Box<http::Response<()>>, Framing),
    /// Part of the body.
    Bytes(Vec<u8>),
    /// End of the answer.
    End,
    /// Aborts the answer. The connection is closed, so that the caller cannot mistake the answer
    /// for a complete one.
    Abort,
}

/// Sender of the answer of one exchange.
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

    /// Sends a part of the answer.
    pub fn send(&self, part: Part) {
        self.to.fwd((self.key, part));
    }

    /// Sends a complete answer.
    pub fn send_complete(&self, head: http::Response<()>, body: Vec<u8>) {
        self.send(Part::Head(Box::new(head), Framing::ContentLength));
        self.send(Part::Bytes(body));
        self.send(Part::End);
    }
}

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub head: usize,
    /// Maximum size of a request's body in bytes.
    pub body: usize,
    /// Time for the head to arrive, and for the body.
    pub head_time: Duration,
    /// Maximum idle time between two requests.
    pub idle_time: Duration,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size in bytes of the requests of all connections together: bodies and large heads.
    /// A body that is the only one is read regardless of its size.
    pub bodies: usize,
    /// Maximum size in bytes of all that connections hold besides: input that is not processed, and
    /// answers that are not read.
    pub buffers: usize,
}

impl Default for Limits {
    /// 16 KiB of head, as in many servers; 4 MiB of body; 10 s each to send them; 75 s idle, longer
    /// than common clients keep an idle connection; 4,000 connections; any size of all bodies
    /// and of all buffers.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 << 20,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(75),
            connections: 4_000,
            bodies: usize::MAX,
            buffers: usize::MAX,
        }
    }
}

/// Opens a listening socket with a backlog that holds a burst of connections.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let domain = socket2::Domain::for_address(addr);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        Ok(TcpListener::from_std(socket.into()))
    };
    open().context(ListenSnafu { addr })
}

/// A connection that was accepted.
struct Accepted {
    actor: ActorOwn<Connection>,
    progress: Rc<Progress>,
    /// Whether it was told to close for another one.
    closing: bool,
}

/// Actor that accepts connections.
pub struct Server {
    listener: Option<MioSource<TcpListener>>,
    owner: Fwd<Event>,
    limits: Limits,
    connections: HashMap<u64, Accepted>,
    rooms: Rooms,
    next_key: u64,
    /// Number of connections that were told to close for others.
    closing: usize,
    draining: bool,
    /// Receives the end of the last connection once the server closes.
    closed: Option<Ret<()>>,
}

impl Server {
    /// Starts to accept connections. What they hold besides requests is counted in `buffers`, with
    /// what the owner holds for them.
    pub fn init(
        cx: CX![],
        listener: TcpListener,
        limits: Limits,
        buffers: Room,
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
        after!(SWEEP_INTERVAL, [cx], sweep());
        Some(Self {
            listener,
            owner,
            limits,
            connections: HashMap::new(),
            rooms: Rooms { bodies: Room::open(limits.bodies), buffers },
            next_key: 0,
            closing: 0,
            draining: false,
            closed: None,
        })
    }

    /// Changes the limits, also of open connections.
    pub fn limit(&mut self, _cx: CX![], limits: Limits) {
        self.limits = limits;
        self.rooms.bodies.set_limit(limits.bodies);
        self.rooms.buffers.set_limit(limits.buffers);
        for it in self.connections.values() {
            call!([it.actor], limit(limits));
        }
    }

    /// Makes every connection close after its next answer.
    pub fn drain(&mut self, _cx: CX![]) {
        self.draining = true;
        for it in self.connections.values() {
            call!([it.actor], drain());
        }
    }

    /// Stops accepting, and closes each connection as soon as no exchange is in progress and its
    /// answers are written. Returns to `closed` after the last one.
    pub fn close(&mut self, _cx: CX![], closed: Ret<()>) {
        self.listener = None;
        for it in self.connections.values() {
            call!([it.actor], close_when_idle());
        }
        self.closed = Some(closed);
        self.check_closed();
    }

    fn check_closed(&mut self) {
        if self.connections.is_empty()
            && let Some(closed) = self.closed.take()
        {
            ret!([closed], ());
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_waiting(cx);
    }

    /// Accepts the connections that wait, a limited number at once, so that those that are to be
    /// closed for others are closed meanwhile.
    fn accept_waiting(&mut self, cx: CX![]) {
        for _ in 0..ACCEPTS_PER_TURN {
            let Some(Ok((stream, _))) = self.listener.as_ref().map(|it| it.accept()) else {
                return;
            };
            if self.has_room_for_connection() {
                self.add_connection(cx, stream);
            }
        }
        call!([cx], accept_waiting());
    }

    /// Returns whether another connection may be opened. Makes one give way if there are too many:
    /// the one that is idle for the longest time, or else one that is slow.
    fn has_room_for_connection(&mut self) -> bool {
        if self.connections.len() - self.closing < self.limits.connections {
            return true;
        }
        let now = Instant::now();
        let may_close = |it: &Accepted| {
            !it.closing && (it.progress.activity() == Activity::Idle || it.progress.is_slow(now))
        };
        let rank = |it: &Accepted| (it.progress.activity() != Activity::Idle, it.progress.since());
        let candidates = self.connections.values_mut().filter(|it| may_close(it));
        let Some(it) = candidates.min_by_key(|it| rank(it)) else { return false };
        it.closing = true;
        self.closing += 1;
        call!([it.actor], give_way(GiveWay::Close));
        true
    }

    fn add_connection(&mut self, cx: CX![], stream: TcpStream) {
        self.next_key += 1;
        let key = self.next_key;
        let ended = ret_some_to!([cx], |this, _cx, _cause: stakker::StopCause| {
            this.remove_connection(key);
            this.check_closed();
        });
        let actor = actor_new!(cx, Connection, ended);
        let (limits, owner, draining) = (self.limits, self.owner.clone(), self.draining);
        let progress = Rc::new(Progress::open());
        let held = (limits, self.rooms.clone(), Rc::clone(&progress));
        call!([actor], Connection::init(key, stream, held, draining, owner));
        self.connections.insert(key, Accepted { actor, progress, closing: false });
    }

    fn remove_connection(&mut self, key: u64) {
        if self.connections.remove(&key).is_some_and(|it| it.closing) {
            self.closing -= 1;
        }
    }

    fn sweep(&mut self, cx: CX![]) {
        let now = Instant::now();
        for it in self.connections.values() {
            call!([it.actor], sweep(now));
        }
        self.relieve(now);
        // Connections wait if there was no descriptor for them.
        self.accept_waiting(cx);
        after!(SWEEP_INTERVAL, [cx], sweep());
    }

    /// Makes slow connections give way if memory was short.
    fn relieve(&self, now: Instant) {
        self.relieve_room(now, &self.rooms.bodies, |it| it.body.get());
        self.relieve_room(now, &self.rooms.buffers, |it| it.buffers.get());
    }

    /// Makes slow connections give way if a room was short: those that hold most of it first.
    fn relieve_room(&self, now: Instant, room: &Room, held: impl Fn(&Progress) -> usize) {
        let mut shortage = room.take_shortage();
        if shortage == 0 {
            return;
        }
        let is_slow = |it: &&Accepted| !it.closing && it.progress.is_slow(now);
        let slow = self.connections.values().filter(is_slow).map(|it| (held(&it.progress), it));
        let mut slow: Vec<(usize, &Accepted)> = slow.filter(|(bytes, _)| *bytes > 0).collect();
        slow.sort_by_key(|(bytes, _)| std::cmp::Reverse(*bytes));
        for (bytes, it) in slow {
            if shortage == 0 {
                break;
            }
            call!([it.actor], give_way(GiveWay::Refuse));
            shortage = shortage.saturating_sub(bytes);
        }
    }
}

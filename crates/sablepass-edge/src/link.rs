// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One TCP connection to another process of the system, as an actor that owns the socket. Used by
//! [`crate::mesh`].

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sablepass_core::reason::Ignored;
use sablepass_wire::frame::{self, Codec};
use sablepass_wire::generated::frame::Body;
use sablepass_wire::short_form::{Restorer, Shortener};
use snafu::Snafu;
use stakker::{CX, Fwd, after, call, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::telemetry::Metrics;
use crate::{buffers, socket};

/// Size of one read, and of the buffer that each connection keeps. An agent in a group of 72 ranks
/// has 83 connections; with 64 KB their buffers took 9 MB of its 13 MB of memory.
const READ_SIZE: usize = 8 * 1024;
/// Maximum number of reads before other events are processed.
const READS_PER_TURN: usize = 16;
/// Size of the send buffer above which the peer counts as stuck.
const MAX_SEND_BUFFER_BYTES: usize = 32 << 20;
/// Time to establish a connection: some round trips, but less than the kernel waits before it
/// retransmits a lost SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which sent data may stay unacknowledged before the kernel ends the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before keep-alive probes start, and their interval: the minimum of the kernel.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;

/// Reason for the end of a connection.
#[derive(Debug, Snafu)]
pub enum Cause {
    /// The peer closed the connection.
    #[snafu(display("connection closed by the peer"))]
    Closed,
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Underlying error.
        source: std::io::Error,
    },
    /// A frame could not be encoded or decoded.
    #[snafu(display("frame: {source}"))]
    Frame {
        /// Underlying error.
        source: frame::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("connect: timed out"))]
    ConnectTimeout,
    /// The send buffer is full because the peer does not read.
    #[snafu(display("send buffer is full: the peer does not read"))]
    Stuck,
}

/// Events that a connection reports to its owner. A message is moved only once, into the owner's
/// queue, so the size of the variants does not matter.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Event {
    /// A message arrived.
    Message(Body),
    /// The connection has ended; no event follows.
    Closed(Cause),
}

/// Actor that owns the connection.
pub struct Link {
    tcp: TcpStreamBuf,
    codec: Codec,
    owner: Fwd<Event>,
    metrics: Arc<Metrics>,
    connected: bool,
    /// Number of bytes that wait to be written; 0 after the end.
    unsent: Arc<AtomicUsize>,
    /// Data hall of this process.
    hall: String,
    /// Whether the peer is in the same hall. False until the peer has introduced itself: frames
    /// before that are a few bytes per connection.
    same_hall: bool,
    shortener: Shortener,
    restorer: Restorer,
}

impl Link {
    /// Takes over a socket that is connected or connecting.
    pub fn init(
        cx: CX![],
        stream: TcpStream,
        owner: Fwd<Event>,
        metrics: Arc<Metrics>,
        (hall, unsent): (String, Arc<AtomicUsize>),
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = fwd_to!([cx], ready() as (Ready));
        let guarded = socket::guard(&stream, UNACKED_TIMEOUT, PROBE_INTERVAL);
        match guarded.and_then(|()| poll.add(stream, interest, PRIORITY, ready)) {
            Ok(source) => {
                let mut tcp = TcpStreamBuf::new();
                tcp.init(source);
                tcp.set_nodelay(true);
                after!(CONNECT_TIMEOUT, [cx], check_connected());
                let mut codec = Codec::open();
                codec.limit_frames(frame::MAX_FIRST_FRAME_BYTES);
                let connected = false;
                Some(Self {
                    tcp,
                    codec,
                    owner,
                    metrics,
                    connected,
                    unsent,
                    hall,
                    same_hall: false,
                    shortener: Shortener::default(),
                    restorer: Restorer::default(),
                })
            }
            Err(source) => {
                owner.fwd(Event::Closed(Cause::Socket { source }));
                stop!(cx);
                None
            }
        }
    }

    /// Sends a message.
    pub fn send(&mut self, cx: CX![], body: Body) {
        let body = self.shortener.shorten(body);
        let before = self.tcp.out.len();
        let kind = frame::kind(&body);
        if let Err(source) = self.codec.encode(body, &mut self.tcp.out) {
            self.close(cx, Cause::Frame { source });
            return;
        }
        let size = self.tcp.out.len() - before;
        self.metrics.message(kind, "out", size);
        self.metrics.frame(kind, "out", self.same_hall, size);
        if self.tcp.out.len() > MAX_SEND_BUFFER_BYTES {
            self.close(cx, Cause::Stuck);
            return;
        }
        self.flush(cx);
    }

    fn check_connected(&mut self, cx: CX![]) {
        if !self.connected {
            self.close(cx, Cause::ConnectTimeout);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        self.connected |= ready.is_writable() || ready.is_readable();
        if ready.is_writable() {
            self.flush(cx);
        }
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            self.read(cx);
        }
    }

    fn flush(&mut self, cx: CX![]) {
        let flushed = self.tcp.flush();
        self.unsent.store(self.tcp.out.len(), Ordering::Relaxed);
        buffers::release_empty(&mut self.tcp.out);
        if let Err(source) = flushed {
            self.close(cx, Cause::Socket { source });
        }
    }

    /// Reads a limited number of bytes, so that the owner processes the messages in between, and then
    /// continues after other events.
    fn read(&mut self, cx: CX![]) {
        for _ in 0..READS_PER_TURN {
            let cause = match self.tcp.read(READ_SIZE) {
                ReadStatus::NewData => match self.decode() {
                    Ok(()) => continue,
                    Err(source) => Cause::Frame { source },
                },
                ReadStatus::WouldBlock => return,
                ReadStatus::EndOfStream => Cause::Closed,
                ReadStatus::Error(source) => Cause::Socket { source },
            };
            self.close(cx, cause);
            return;
        }
        call!([cx], continue_read());
    }

    fn continue_read(&mut self, cx: CX![]) {
        self.read(cx);
    }

    fn decode(&mut self) -> Result<(), frame::Error> {
        self.codec.feed(&self.tcp.inp[self.tcp.rd..self.tcp.wr]);
        self.tcp.rd = self.tcp.wr;
        while let Some((body, size)) = self.codec.next_body()? {
            match &body {
                Body::Hello(it) => {
                    self.same_hall = it.hall == self.hall;
                    self.codec.limit_frames(frame::MAX_FRAME_BYTES);
                }
                Body::Digest(it) if it.short_forms => self.shortener.accept(),
                _ => {}
            }
            let kind = frame::kind(&body);
            self.metrics.message(kind, "in", size);
            self.metrics.frame(kind, "in", self.same_hall, size + frame::LENGTH_BYTES);
            match self.restorer.restore(body) {
                Some(body) => self.owner.fwd(Event::Message(body)),
                None => self.metrics.ignored(Ignored::BadFrame),
            }
        }
        Ok(())
    }

    fn close(&mut self, cx: CX![], cause: Cause) {
        self.tcp.deinit();
        self.owner.fwd(Event::Closed(cause));
        stop!(cx);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.unsent.store(0, Ordering::Relaxed);
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One TCP connection to another process, as an actor that owns its socket.

use std::sync::Arc;
use std::time::Duration;

use sablepass_wire::frame::{self, Codec};
use sablepass_wire::generated::frame::Body;
use snafu::Snafu;
use stakker::{CX, Fwd, after, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::socket;
use crate::telemetry::Metrics;

/// Bytes read at once. Each connection keeps a buffer of this size, and an agent
/// of a group of 72 ranks has 83 of them; with 64 KB they were 9 of its 13 MB.
const READ_SIZE: usize = 8 * 1024;
/// Bytes that may wait to be sent before a peer counts as stuck.
const SEND_LIMIT: usize = 32 << 20;
/// Time in which a connection must be made: some round trips, and less than a
/// kernel waits before it sends a lost opening packet again.
const CONNECT: Duration = Duration::from_millis(600);
/// Time after which bytes that are not acknowledged end a connection.
const UNACKED: Duration = Duration::from_secs(3);
/// Time without a word after which the other side is probed: the least that a kernel takes.
const PROBE: Duration = Duration::from_secs(1);
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;

/// Why a connection ended.
#[derive(Debug, Snafu)]
pub enum Cause {
    /// The peer closed it.
    #[snafu(display("closed by the peer"))]
    End,
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Why.
        source: std::io::Error,
    },
    /// The peer sent what is not a frame.
    #[snafu(display("frame: {source}"))]
    Frame {
        /// Why.
        source: frame::Error,
    },
    /// It was not made in time.
    #[snafu(display("no answer in time"))]
    ConnectTime,
    /// The peer does not read.
    #[snafu(display("the peer does not read"))]
    Stuck,
}

/// What a connection tells its owner. A message is moved once, into the
/// owner's queue, so its size does not matter here.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Event {
    /// A message arrived.
    Message(Body),
    /// The connection ended; nothing follows.
    Closed(Cause),
}

/// The actor.
pub struct Link {
    tcp: TcpStreamBuf,
    codec: Codec,
    owner: Fwd<Event>,
    metrics: Arc<Metrics>,
    connected: bool,
}

impl Link {
    /// Takes a socket, connected or connecting.
    pub fn init(
        cx: CX![],
        stream: TcpStream,
        owner: Fwd<Event>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = fwd_to!([cx], ready() as (Ready));
        let guarded = socket::guard(&stream, UNACKED, PROBE);
        match guarded.and_then(|()| poll.add(stream, interest, PRIORITY, ready)) {
            Ok(source) => {
                let mut tcp = TcpStreamBuf::new();
                tcp.init(source);
                tcp.set_nodelay(true);
                after!(CONNECT, [cx], check_connected());
                Some(Self { tcp, codec: Codec::open(), owner, metrics, connected: false })
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
        let before = self.tcp.out.len();
        let kind = frame::kind(&body);
        if let Err(source) = self.codec.encode(body, &mut self.tcp.out) {
            self.close(cx, Cause::Frame { source });
            return;
        }
        self.metrics.message(kind, "out", self.tcp.out.len() - before);
        if self.tcp.out.len() > SEND_LIMIT {
            self.close(cx, Cause::Stuck);
            return;
        }
        self.flush(cx);
    }

    fn check_connected(&mut self, cx: CX![]) {
        if !self.connected {
            self.close(cx, Cause::ConnectTime);
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
        if let Err(source) = self.tcp.flush() {
            self.close(cx, Cause::Socket { source });
        }
    }

    fn read(&mut self, cx: CX![]) {
        loop {
            let cause = match self.tcp.read(READ_SIZE) {
                ReadStatus::NewData => match self.take() {
                    Ok(()) => continue,
                    Err(source) => Cause::Frame { source },
                },
                ReadStatus::WouldBlock => return,
                ReadStatus::EndOfStream => Cause::End,
                ReadStatus::Error(source) => Cause::Socket { source },
            };
            self.close(cx, cause);
            return;
        }
    }

    fn take(&mut self) -> Result<(), frame::Error> {
        self.codec.feed(&self.tcp.inp[self.tcp.rd..self.tcp.wr]);
        self.tcp.rd = self.tcp.wr;
        while let Some((body, size)) = self.codec.next_body()? {
            self.metrics.message(frame::kind(&body), "in", size);
            self.owner.fwd(Event::Message(body));
        }
        Ok(())
    }

    fn close(&mut self, cx: CX![], cause: Cause) {
        self.tcp.deinit();
        self.owner.fwd(Event::Closed(cause));
        stop!(cx);
    }
}

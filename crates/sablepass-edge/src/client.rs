// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP/1.1 client on the event loop: one connection, as an actor that owns
//! its socket, with one request at a time.
//!
//! Each part of an answer goes to the owner as it comes. When the connection
//! ends before the answer is whole, the owner learns whether any byte of the
//! request had left; only that none had is proof that it did not run.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use http::header::{self, HeaderValue};
use snafu::Snafu;
use stakker::{CX, Fwd, after, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use ureq_proto::client::{
    self as proto, RecvBodyResult, RecvResponseResult, SendRequestResult, state,
};

use crate::socket;

/// Bytes read at once.
const READ_SIZE: usize = 4 * 1024;
/// Bytes of a head that is not whole beyond which it is none.
const HEAD_LIMIT: usize = 64 * 1024;
/// Bytes of a request line, and of what separates a header field.
const LINE: usize = 64;
/// Most bytes by which the protocol makes a body longer, for each chunk of 10 KiB.
const CHUNK_EXTRA: usize = 16;
/// Bytes of a chunk, as the protocol cuts them.
const CHUNK: usize = 10 * 1024;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;

/// Why a connection ended.
#[derive(Debug, Snafu)]
pub enum Cause {
    /// It could not be made.
    #[snafu(display("connect: {source}"))]
    Connect {
        /// Why.
        source: std::io::Error,
    },
    /// It was not made in time.
    #[snafu(display("connect: no answer in time"))]
    ConnectTime,
    /// The other side closed it.
    #[snafu(display("closed by the other side"))]
    Closed,
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Why.
        source: std::io::Error,
    },
    /// What came is no answer, or what was to be sent no request.
    #[snafu(display("protocol: {source}"))]
    Protocol {
        /// Why.
        source: ureq_proto::Error,
    },
    /// The answer does not name the request.
    #[snafu(display("the answer does not name the request"))]
    Nameless,
    /// Bytes came while no answer was due.
    #[snafu(display("bytes came while no answer was due"))]
    Unasked,
}

impl Cause {
    /// Whether nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Whether the other side, or the way to it, ended a connection that stood.
    pub fn is_end(&self) -> bool {
        matches!(self, Self::Closed | Self::Socket { .. })
    }
}

/// What a connection tells its owner.
#[derive(Debug)]
pub enum Event {
    /// The connection stands; nothing has left yet.
    Connected,
    /// The answer begins.
    Head(Box<http::Response<()>>),
    /// Bytes of its body.
    Bytes(Vec<u8>),
    /// It is whole.
    End {
        /// The connection can take another request.
        reusable: bool,
        /// How long it may rest until then, if the other side said so.
        rest: Option<Duration>,
    },
    /// The connection is over; nothing follows.
    Closed {
        /// Why.
        cause: Cause,
        /// Bytes of the current request had left.
        sent: bool,
    },
}

/// A request to be sent.
#[derive(Debug)]
pub struct Outgoing {
    /// Its head.
    pub head: http::Request<()>,
    /// Its body.
    pub body: Vec<u8>,
    /// A field that the answer must repeat. Answers with another value are to
    /// earlier requests and skipped.
    pub echo: Option<HeaderName>,
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time in which it must be made.
    pub connect: Duration,
    /// Time after which bytes that are not acknowledged end it.
    pub unacked: Duration,
    /// Time without a word after which the other side is probed.
    pub probe: Duration,
}

impl Default for Options {
    /// 300 ms to connect, some round trips between the halls of a region; 2 s
    /// without acknowledgement; a probe a second when nothing is said, the
    /// least that a kernel takes.
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            unacked: Duration::from_secs(2),
            probe: Duration::from_secs(1),
        }
    }
}

enum Phase {
    Idle,
    Answer(Box<proto::Call<state::RecvResponse>>),
    Body(Box<proto::Call<state::RecvBody>>),
    Over,
}

/// The actor.
pub struct Connection {
    tcp: TcpStreamBuf,
    phase: Phase,
    owner: Fwd<Event>,
    connected: bool,
    /// Bytes of the current request have left.
    sent: bool,
    paused: bool,
    echo: Option<(HeaderName, HeaderValue)>,
    /// The answer that comes is to an earlier request.
    skipping: bool,
    rest: Option<Duration>,
    input_closed: bool,
}

impl Connection {
    /// Begins to connect.
    pub fn init(cx: CX![], addr: SocketAddr, options: Options, owner: Fwd<Event>) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = TcpStream::connect(addr)
            .and_then(|it| socket::guard(&it, options.unacked, options.probe).map(|()| it))
            .and_then(|it| socket::reset_on_close(&it).map(|()| it))
            .and_then(|it| poll.add(it, interest, PRIORITY, ready));
        let source = match source {
            Ok(it) => it,
            Err(source) => {
                owner.fwd(Event::Closed { cause: Cause::Connect { source }, sent: false });
                stop!(cx);
                return None;
            }
        };
        let mut tcp = TcpStreamBuf::new();
        tcp.init(source);
        tcp.set_nodelay(true);
        after!(options.connect, [cx], check_connected());
        Some(Self {
            tcp,
            phase: Phase::Idle,
            owner,
            connected: false,
            sent: false,
            paused: false,
            echo: None,
            skipping: false,
            rest: None,
            input_closed: false,
        })
    }

    /// Sends a request. The one before must have ended.
    pub fn send(&mut self, cx: CX![], it: Outgoing) {
        self.sent = false;
        self.skipping = false;
        self.echo = it.echo.and_then(|name| {
            let value = it.head.headers().get(&name)?.clone();
            Some((name, value))
        });
        match encode(it.head, &it.body, &mut self.tcp.out) {
            Ok(call) => {
                self.phase = Phase::Answer(Box::new(call));
                self.flush(cx);
            }
            Err(source) => self.close(cx, Cause::Protocol { source }),
        }
    }

    /// Stops or goes on to read, as the reader of the answer can take it.
    pub fn pause(&mut self, cx: CX![], paused: bool) {
        self.paused = paused;
        if !paused {
            self.read(cx);
        }
    }

    fn check_connected(&mut self, cx: CX![]) {
        if !self.connected {
            self.close(cx, Cause::ConnectTime);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        self.input_closed |= ready.is_read_closed() || ready.is_error();
        if ready.is_writable() && !self.input_closed {
            if !std::mem::replace(&mut self.connected, true) {
                self.owner.fwd(Event::Connected);
            }
            self.flush(cx);
        }
        if ready.is_readable() || self.input_closed {
            self.read(cx);
        }
    }

    fn flush(&mut self, cx: CX![]) {
        if !self.connected || matches!(self.phase, Phase::Over) {
            return;
        }
        let before = self.tcp.out.len();
        let flushed = self.tcp.flush();
        self.sent |= self.tcp.out.len() < before;
        if let Err(source) = flushed {
            self.input_closed = true;
            // An answer may have come before the connection broke.
            self.read(cx);
            self.close(cx, Cause::Socket { source });
        }
    }

    fn read(&mut self, cx: CX![]) {
        while !self.paused && !matches!(self.phase, Phase::Over) {
            let before = self.tcp.wr - self.tcp.rd;
            let status = self.tcp.read(READ_SIZE);
            let taken = self.tcp.wr - self.tcp.rd - before;
            match status {
                ReadStatus::NewData => {
                    self.connected = true;
                    if let Err(cause) = self.take() {
                        self.close(cx, cause);
                        return;
                    }
                    if taken < READ_SIZE && !self.input_closed {
                        return;
                    }
                }
                ReadStatus::WouldBlock => return,
                ReadStatus::EndOfStream => {
                    self.end_of_stream(cx);
                    return;
                }
                ReadStatus::Error(source) if self.connected => {
                    self.close(cx, Cause::Socket { source });
                    return;
                }
                ReadStatus::Error(source) => {
                    self.close(cx, Cause::Connect { source });
                    return;
                }
            }
        }
    }

    /// An answer without a length is whole when its connection ends in order.
    fn end_of_stream(&mut self, cx: CX![]) {
        let unsized_body = match &self.phase {
            Phase::Body(it) => it.body_mode() == ureq_proto::BodyMode::CloseDelimited,
            _ => false,
        };
        if unsized_body && !self.skipping {
            self.owner.fwd(Event::End { reusable: false, rest: None });
            self.phase = Phase::Idle;
        }
        self.close(cx, Cause::Closed);
    }

    fn take(&mut self) -> Result<(), Cause> {
        loop {
            let more = match self.phase {
                Phase::Idle => return self.take_idle(),
                Phase::Answer(_) => self.take_head()?,
                Phase::Body(_) => self.take_body()?,
                Phase::Over => false,
            };
            if !more {
                return Ok(());
            }
        }
    }

    fn take_idle(&self) -> Result<(), Cause> {
        if self.tcp.rd == self.tcp.wr { Ok(()) } else { Err(Cause::Unasked) }
    }

    fn take_head(&mut self) -> Result<bool, Cause> {
        let Phase::Answer(call) = &mut self.phase else { return Ok(false) };
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        let (used, response) =
            call.try_response(input, false).map_err(|source| Cause::Protocol { source })?;
        self.tcp.rd += used;
        let Some(response) = response else {
            if self.tcp.wr - self.tcp.rd > HEAD_LIMIT {
                return Err(Cause::Protocol { source: ureq_proto::Error::HttpParseTooManyHeaders });
            }
            return Ok(used > 0);
        };
        self.skipping = self.is_surplus(&response)?;
        self.rest = rest(&response);
        let Phase::Answer(call) = std::mem::replace(&mut self.phase, Phase::Over) else {
            return Ok(false);
        };
        if !self.skipping {
            self.owner.fwd(Event::Head(Box::new(response)));
        }
        match call.proceed() {
            Some(RecvResponseResult::RecvBody(it)) => self.phase = Phase::Body(Box::new(it)),
            Some(RecvResponseResult::Redirect(it)) => self.finish(it.must_close_connection())?,
            Some(RecvResponseResult::Cleanup(it)) => self.finish(it.must_close_connection())?,
            None => return Ok(false),
        }
        Ok(true)
    }

    /// Whether an answer is to an earlier request.
    fn is_surplus(&self, response: &http::Response<()>) -> Result<bool, Cause> {
        let Some((name, value)) = &self.echo else { return Ok(false) };
        match response.headers().get(name) {
            Some(it) => Ok(it != value),
            None => Err(Cause::Nameless),
        }
    }

    fn take_body(&mut self) -> Result<bool, Cause> {
        let Phase::Body(call) = &mut self.phase else { return Ok(false) };
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        let mut bytes = vec![0; input.len()];
        let mut gained = 0;
        let mut used = 0;
        loop {
            let (taken, made) = call
                .read(&input[used..], &mut bytes[gained..])
                .map_err(|source| Cause::Protocol { source })?;
            used += taken;
            gained += made;
            if taken == 0 {
                break;
            }
        }
        self.tcp.rd += used;
        bytes.truncate(gained);
        let unsized_body = call.body_mode() == ureq_proto::BodyMode::CloseDelimited;
        let whole = call.can_proceed() && !unsized_body;
        if !bytes.is_empty() && !self.skipping {
            self.owner.fwd(Event::Bytes(bytes));
        }
        if !whole {
            return Ok(false);
        }
        let Phase::Body(call) = std::mem::replace(&mut self.phase, Phase::Over) else {
            return Ok(false);
        };
        match call.proceed() {
            Some(RecvBodyResult::Redirect(it)) => self.finish(it.must_close_connection())?,
            Some(RecvBodyResult::Cleanup(it)) => self.finish(it.must_close_connection())?,
            None => return Ok(false),
        }
        Ok(true)
    }

    fn finish(&mut self, must_close: bool) -> Result<(), Cause> {
        if self.skipping {
            // The answer to this request is still due, behind the surplus one.
            let again = resume().map_err(|source| Cause::Protocol { source })?;
            self.phase = Phase::Answer(Box::new(again));
            return if must_close { Err(Cause::Closed) } else { Ok(()) };
        }
        let clean = self.tcp.rd == self.tcp.wr && self.tcp.out.is_empty() && !self.input_closed;
        let reusable = !must_close && clean;
        self.owner.fwd(Event::End { reusable, rest: self.rest });
        self.phase = Phase::Idle;
        Ok(())
    }

    fn close(&mut self, cx: CX![], cause: Cause) {
        if matches!(self.phase, Phase::Over) {
            return;
        }
        self.phase = Phase::Over;
        self.tcp.deinit();
        self.owner.fwd(Event::Closed { cause, sent: self.sent });
        stop!(cx);
    }
}

/// One that carries nothing is closed in order.
impl Drop for Connection {
    fn drop(&mut self) {
        if matches!(self.phase, Phase::Idle) {
            self.tcp.out_eof = true;
            // The socket is closed either way.
            let _ = self.tcp.flush();
        }
    }
}

/// How long the other side keeps a resting connection, in whole seconds.
fn rest(response: &http::Response<()>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let parts = value.split(',').filter_map(|it| it.trim().split_once('='));
    let found = parts.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    found.and_then(|(_, value)| value.trim().parse().ok()).map(Duration::from_secs)
}

/// Writes a whole request to the end of `out`.
fn encode(
    head: http::Request<()>,
    body: &[u8],
    out: &mut Vec<u8>,
) -> Result<proto::Call<state::RecvResponse>, ureq_proto::Error> {
    let fields = head.headers().iter();
    let size: usize =
        fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>()
            + head.uri().path_and_query().map_or(1, |it| it.as_str().len());
    let with_body = head.headers().contains_key(header::CONTENT_LENGTH);
    let mut call = proto::Call::new(head)?;
    call.allow_non_standard_methods(true);
    if with_body {
        call.force_send_body();
    }
    let mut call = call.proceed();
    let start = out.len();
    out.resize(start + size + 4 * LINE, 0);
    let mut end = start;
    while !call.can_proceed() {
        end += call.write(&mut out[end..])?;
    }
    out.truncate(end);
    match call.proceed()? {
        Some(SendRequestResult::RecvResponse(it)) => Ok(it),
        Some(SendRequestResult::SendBody(it)) => encode_body(it, body, out),
        // The field that asks for it is never sent.
        Some(SendRequestResult::Await100(_)) | None => Err(ureq_proto::Error::BodyNotAllowed),
    }
}

fn encode_body(
    mut call: proto::Call<state::SendBody>,
    mut body: &[u8],
    out: &mut Vec<u8>,
) -> Result<proto::Call<state::RecvResponse>, ureq_proto::Error> {
    loop {
        let start = out.len();
        let room = body.len() + (body.len() / CHUNK + 1) * CHUNK_EXTRA;
        out.resize(start + room, 0);
        let (used, gained) = call.write(body, &mut out[start..])?;
        out.truncate(start + gained);
        body = &body[used..];
        if call.can_proceed() || (used == 0 && gained == 0) {
            break;
        }
    }
    call.proceed().ok_or(ureq_proto::Error::BodyNotAllowed)
}

/// The state of a request that was sent and waits for its answer.
fn resume() -> Result<proto::Call<state::RecvResponse>, ureq_proto::Error> {
    let mut head = http::Request::new(());
    head.headers_mut().insert(header::HOST, HeaderValue::from_static("localhost"));
    encode(head, &[], &mut Vec::new())
}

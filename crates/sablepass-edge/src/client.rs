// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP/1.1 client on the event loop. An actor owns one connection, which carries one request at a
//! time.
//!
//! The parts of an answer are forwarded to the owner as they arrive. If the connection ends before
//! the answer is complete, the owner learns whether any byte of the request had been written to the
//! socket; only a request of which none was written is known not to have run.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use http::header::{self, HeaderValue};
use snafu::{ResultExt, Snafu, ensure};
use stakker::{CX, Fwd, after, call, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use ureq_proto::client::{
    self as proto, RecvBodyResult, RecvResponseResult, SendRequestResult, state,
};

use crate::{buffers, framing, socket};

/// Size of one read.
const READ_SIZE: usize = 4 * 1024;
/// Maximum number of reads before other events are processed.
const READS_PER_TURN: usize = 4;
/// Size of a response head, with the interim responses before it, beyond which the response is
/// rejected.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Number of bytes of a chunked body that carry no data, as in a trailer, beyond which the response
/// is rejected.
const MAX_OVERHEAD_BYTES: usize = 64 * 1024;
/// Allowance in bytes for a request line, and for other parts of a head.
const LINE_OVERHEAD: usize = 64;
/// Maximum number of bytes that the chunked encoding adds to each chunk.
const CHUNK_OVERHEAD: usize = 16;
/// Maximum size of a chunk written by `ureq-proto`.
const CHUNK_SIZE: usize = 10 * 1024;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;

/// Reason for the end of a connection.
#[derive(Debug, Snafu)]
pub enum Cause {
    /// The connection could not be established.
    #[snafu(display("connect: {source}"))]
    Connect {
        /// Underlying error.
        source: std::io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("connect: timed out"))]
    ConnectTimeout,
    /// The peer closed the connection.
    #[snafu(display("connection closed by the peer"))]
    Closed,
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Underlying error.
        source: std::io::Error,
    },
    /// The request cannot be sent in this protocol; no byte of it was sent.
    #[snafu(display("request: {source}"))]
    Request {
        /// Underlying error.
        source: ureq_proto::Error,
    },
    /// The response violates the protocol.
    #[snafu(display("protocol: {source}"))]
    Protocol {
        /// Underlying error.
        source: ureq_proto::Error,
    },
    /// The response is not one that can be read.
    #[snafu(display("response: {source}"))]
    Response {
        /// Underlying error.
        source: framing::Error,
    },
    /// The response has a head or a trailer that does not end.
    #[snafu(display("response has too many bytes without content"))]
    Endless,
    /// The response lacks the header field of [`Outgoing::echo`].
    #[snafu(display("response lacks the header field that identifies the request"))]
    MissingEcho,
    /// Data arrived while no response was pending.
    #[snafu(display("data received while no response was pending"))]
    UnexpectedData,
}

impl Cause {
    /// Whether the peer refused the connection: nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Whether an established connection was ended by the peer or by the network.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Closed | Self::Socket { .. })
    }
}

/// Events that a connection reports to its owner.
#[derive(Debug)]
pub enum Event {
    /// The connection is established; no request bytes have been written.
    Connected,
    /// The head of the response.
    Head(Box<http::Response<()>>),
    /// Part of the response body.
    Bytes(Vec<u8>),
    /// The response is complete.
    End {
        /// Whether the connection can carry another request.
        reusable: bool,
        /// Whether the response states its length. The end of any other response is that of the
        /// connection, which also ends if the target crashes.
        framed: bool,
        /// Time for which the peer keeps the idle connection, if the response gave one.
        keep_alive: Option<Duration>,
    },
    /// The connection has ended; no event follows.
    Closed {
        /// Underlying error.
        cause: Cause,
        /// Whether any byte of the current request was written to the socket.
        sent: bool,
    },
}

/// A request to send.
#[derive(Debug)]
pub struct Outgoing {
    /// Head of the request.
    pub head: http::Request<()>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// How a response to an earlier request is told apart.
    pub echo: Option<Echo>,
}

/// A request header field that the response repeats. A response with another value belongs to an
/// earlier request and is skipped.
#[derive(Clone, Debug)]
pub struct Echo {
    /// Name of the field.
    pub name: HeaderName,
    /// Whether a response without the field is an error. Otherwise it counts as that to the current
    /// request.
    pub required: bool,
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time to establish the connection.
    pub connect_timeout: Duration,
    /// Time for which sent data may stay unacknowledged before the kernel ends the connection.
    pub unacked_timeout: Duration,
    /// Idle time before keep-alive probes start, and their interval.
    pub probe_interval: Duration,
}

impl Default for Options {
    /// 300 ms to connect, which allows for some round trips between the halls of a region; 2 s
    /// without acknowledgement; probes on an idle connection every second, the minimum of the
    /// kernel.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            unacked_timeout: Duration::from_secs(2),
            probe_interval: Duration::from_secs(1),
        }
    }
}

enum Phase {
    Idle,
    Answer(Box<proto::Call<state::RecvResponse>>),
    Body(Box<proto::Call<state::RecvBody>>),
    Closed,
}

/// Actor that owns the connection.
pub struct Connection {
    tcp: TcpStreamBuf,
    phase: Phase,
    owner: Fwd<Event>,
    connected: bool,
    /// Whether any byte of the current request was written to the socket.
    sent: bool,
    paused: bool,
    echo: Option<(Echo, HeaderValue)>,
    /// The current response belongs to an earlier request.
    skipping: bool,
    /// Number of bytes received of the current response since it last had content.
    overhead: usize,
    keep_alive: Option<Duration>,
    input_closed: bool,
    /// Error of a write. The kernel reports an error of the connection once, so that the input then
    /// seems to end in order.
    write_error: Option<std::io::Error>,
}

impl Connection {
    /// Starts to connect.
    pub fn init(cx: CX![], addr: SocketAddr, options: Options, owner: Fwd<Event>) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = TcpStream::connect(addr)
            .and_then(|it| {
                socket::guard(&it, options.unacked_timeout, options.probe_interval).map(|()| it)
            })
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
        after!(options.connect_timeout, [cx], check_connected());
        Some(Self {
            tcp,
            phase: Phase::Idle,
            owner,
            connected: false,
            sent: false,
            paused: false,
            echo: None,
            skipping: false,
            overhead: 0,
            keep_alive: None,
            input_closed: false,
            write_error: None,
        })
    }

    /// Sends a request. The previous exchange must have ended.
    pub fn send(&mut self, cx: CX![], request: Outgoing) {
        self.sent = false;
        self.overhead = 0;
        self.skipping = false;
        self.echo = request.echo.and_then(|echo| {
            let value = request.head.headers().get(&echo.name)?.clone();
            Some((echo, value))
        });
        match encode(request.head, &request.body, &mut self.tcp.out) {
            Ok(call) => {
                self.phase = Phase::Answer(Box::new(call));
                self.flush(cx);
            }
            Err(source) => self.close(cx, Cause::Request { source }),
        }
    }

    /// Pauses or resumes reading, for flow control by the reader of the response.
    pub fn pause(&mut self, cx: CX![], paused: bool) {
        self.paused = paused;
        if !paused {
            self.read(cx);
        }
    }

    fn check_connected(&mut self, cx: CX![]) {
        if !self.connected {
            self.close(cx, Cause::ConnectTimeout);
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
        if !self.connected || matches!(self.phase, Phase::Closed) {
            return;
        }
        let before = self.tcp.out.len();
        let flushed = self.tcp.flush();
        self.sent |= self.tcp.out.len() < before;
        buffers::release_empty(&mut self.tcp.out);
        if let Err(source) = flushed {
            self.input_closed = true;
            self.write_error = Some(source);
            // A response may have arrived before the connection broke.
            self.read(cx);
        }
    }

    /// Reads a limited number of bytes, so that the owner can pause the connection, and then
    /// continues after other events.
    fn read(&mut self, cx: CX![]) {
        for _ in 0..READS_PER_TURN {
            if self.paused || matches!(self.phase, Phase::Closed) {
                return;
            }
            let before = self.tcp.wr - self.tcp.rd;
            let status = self.tcp.read(READ_SIZE);
            let received = self.tcp.wr - self.tcp.rd - before;
            match status {
                ReadStatus::NewData => {
                    self.connected = true;
                    if let Err(cause) = self.process_input() {
                        self.close(cx, cause);
                        return;
                    }
                    if received < READ_SIZE && !self.input_closed {
                        return;
                    }
                }
                ReadStatus::WouldBlock if self.write_error.is_none() => return,
                ReadStatus::WouldBlock | ReadStatus::EndOfStream => {
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
        call!([cx], continue_read());
    }

    fn continue_read(&mut self, cx: CX![]) {
        self.read(cx);
    }

    /// Handles the end of the input. A body delimited by the end of the connection is complete
    /// then, unless the connection broke.
    fn end_of_stream(&mut self, cx: CX![]) {
        if let Some(source) = self.write_error.take() {
            self.close(cx, Cause::Socket { source });
            return;
        }
        let unsized_body = match &self.phase {
            Phase::Body(it) => it.body_mode() == ureq_proto::BodyMode::CloseDelimited,
            _ => false,
        };
        if unsized_body && !self.skipping {
            self.owner.fwd(Event::End { reusable: false, framed: false, keep_alive: None });
            self.phase = Phase::Idle;
        }
        self.close(cx, Cause::Closed);
    }

    fn process_input(&mut self) -> Result<(), Cause> {
        loop {
            let more = match self.phase {
                Phase::Idle => return self.check_idle_input(),
                Phase::Answer(_) => self.parse_head()?,
                Phase::Body(_) => self.parse_body()?,
                Phase::Closed => false,
            };
            if !more {
                return Ok(());
            }
        }
    }

    fn check_idle_input(&self) -> Result<(), Cause> {
        if self.tcp.rd == self.tcp.wr { Ok(()) } else { Err(Cause::UnexpectedData) }
    }

    fn parse_head(&mut self) -> Result<bool, Cause> {
        let Phase::Answer(call) = &mut self.phase else { return Ok(false) };
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        let (used, response) =
            call.try_response(input, false).map_err(|source| Cause::Protocol { source })?;
        self.tcp.rd += used;
        let Some(response) = response else {
            // Interim responses are skipped.
            self.overhead += used;
            let unread = self.tcp.wr - self.tcp.rd;
            ensure!(self.overhead + unread <= MAX_HEAD_BYTES, EndlessSnafu);
            return Ok(used > 0);
        };
        self.overhead = 0;
        framing::check_response(&response).context(ResponseSnafu)?;
        self.skipping = self.is_for_earlier_request(&response)?;
        self.keep_alive = keep_alive_timeout(&response);
        let Phase::Answer(call) = std::mem::replace(&mut self.phase, Phase::Closed) else {
            return Ok(false);
        };
        if !self.skipping {
            self.owner.fwd(Event::Head(Box::new(response)));
        }
        match call.proceed() {
            Some(RecvResponseResult::RecvBody(mut it)) => {
                it.stop_on_chunk_boundary(true);
                self.phase = Phase::Body(Box::new(it));
            }
            Some(RecvResponseResult::Redirect(it)) => self.finish(it.must_close_connection())?,
            Some(RecvResponseResult::Cleanup(it)) => self.finish(it.must_close_connection())?,
            None => return Ok(false),
        }
        Ok(true)
    }

    /// Whether a response belongs to an earlier request.
    fn is_for_earlier_request(&self, response: &http::Response<()>) -> Result<bool, Cause> {
        let Some((echo, value)) = &self.echo else { return Ok(false) };
        match response.headers().get(&echo.name) {
            Some(it) => Ok(it != value),
            None if echo.required => Err(Cause::MissingEcho),
            None => Ok(false),
        }
    }

    fn parse_body(&mut self) -> Result<bool, Cause> {
        let Phase::Body(call) = &mut self.phase else { return Ok(false) };
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        let mut bytes = vec![0; input.len()];
        let mut decoded = 0;
        let mut used = 0;
        loop {
            if call.is_on_chunk_boundary()
                && input.get(used).is_some_and(|it| !framing::begins_chunk_size(*it))
            {
                return Err(Cause::Response { source: framing::Error::ChunkSize });
            }
            let (consumed, output) = call
                .read(&input[used..], &mut bytes[decoded..])
                .map_err(|source| Cause::Protocol { source })?;
            used += consumed;
            decoded += output;
            if consumed == 0 {
                break;
            }
        }
        self.tcp.rd += used;
        bytes.truncate(decoded);
        self.overhead = if decoded > 0 { 0 } else { self.overhead + used };
        let unread = self.tcp.wr - self.tcp.rd;
        let unsized_body = call.body_mode() == ureq_proto::BodyMode::CloseDelimited;
        let complete = call.can_proceed() && !unsized_body;
        if !bytes.is_empty() && !self.skipping {
            self.owner.fwd(Event::Bytes(bytes));
        }
        if !complete {
            ensure!(self.overhead + unread <= MAX_OVERHEAD_BYTES, EndlessSnafu);
            return Ok(false);
        }
        let Phase::Body(call) = std::mem::replace(&mut self.phase, Phase::Closed) else {
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
            // The response to the current request follows the skipped one.
            let call = awaiting_response().map_err(|source| Cause::Protocol { source })?;
            self.phase = Phase::Answer(Box::new(call));
            return if must_close { Err(Cause::Closed) } else { Ok(()) };
        }
        let is_clean = self.tcp.rd == self.tcp.wr && self.tcp.out.is_empty() && !self.input_closed;
        let reusable = !must_close && is_clean;
        self.owner.fwd(Event::End { reusable, framed: true, keep_alive: self.keep_alive });
        self.phase = Phase::Idle;
        Ok(())
    }

    fn close(&mut self, cx: CX![], cause: Cause) {
        if matches!(self.phase, Phase::Closed) {
            return;
        }
        self.phase = Phase::Closed;
        self.tcp.deinit();
        self.owner.fwd(Event::Closed { cause, sent: self.sent });
        stop!(cx);
    }
}

/// Closes an idle connection in order. A connection with an exchange in progress is reset.
impl Drop for Connection {
    fn drop(&mut self) {
        if matches!(self.phase, Phase::Idle) {
            self.tcp.out_eof = true;
            // The socket is closed in any case.
            let _ = self.tcp.flush();
        }
    }
}

/// The `timeout` parameter of the `Keep-Alive` header field, in whole seconds.
fn keep_alive_timeout(response: &http::Response<()>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let parts = value.split(',').filter_map(|it| it.trim().split_once('='));
    let found = parts.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    found.and_then(|(_, value)| value.trim().parse().ok()).map(Duration::from_secs)
}

/// Appends an encoded request to `out`.
fn encode(
    head: http::Request<()>,
    body: &[u8],
    out: &mut Vec<u8>,
) -> Result<proto::Call<state::RecvResponse>, ureq_proto::Error> {
    let fields = head.headers().iter();
    let size: usize =
        fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>()
            + head.uri().path_and_query().map_or(1, |it| it.as_str().len())
            + head.method().as_str().len();
    let with_body = head.headers().contains_key(header::CONTENT_LENGTH);
    let mut call = proto::Call::new(head)?;
    call.allow_non_standard_methods(true);
    if with_body {
        call.force_send_body();
    }
    let mut call = call.proceed();
    let start = out.len();
    out.resize(start + size + 4 * LINE_OVERHEAD, 0);
    let mut end = start;
    while !call.can_proceed() {
        end += call.write(&mut out[end..])?;
    }
    out.truncate(end);
    match call.proceed()? {
        Some(SendRequestResult::RecvResponse(it)) => Ok(it),
        Some(SendRequestResult::SendBody(it)) => encode_body(it, body, out),
        // `Expect: 100-continue` is never sent.
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
        let max_size = body.len() + (body.len() / CHUNK_SIZE + 1) * CHUNK_OVERHEAD;
        out.resize(start + max_size, 0);
        let (used, written) = call.write(body, &mut out[start..])?;
        out.truncate(start + written);
        body = &body[used..];
        if call.can_proceed() || (used == 0 && written == 0) {
            break;
        }
    }
    call.proceed().ok_or(ureq_proto::Error::BodyNotAllowed)
}

/// Returns the state of a request that was sent and waits for its response.
fn awaiting_response() -> Result<proto::Call<state::RecvResponse>, ureq_proto::Error> {
    let mut head = http::Request::new(());
    head.headers_mut().insert(header::HOST, HeaderValue::from_static("localhost"));
    encode(head, &[], &mut Vec::new())
}

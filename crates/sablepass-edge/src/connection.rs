// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One connection of a caller to a [`crate::server`]. The actor owns the socket, reads requests and
//! writes answers, one exchange at a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderValue};
use stakker::{CX, Fwd, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use ureq_proto::server::{self as proto, RecvRequestResult, SendResponseResult, state};

use crate::buffers;
use crate::framing::{self, RequestFraming};
use crate::progress::{Activity, Progress};
use crate::room::{Room, Share};
use crate::server::{Event, ExchangeKey, Framing, Incoming, Limits, Part, Problem, Reply};

/// Size of one read.
const READ_SIZE: usize = 4 * 1024;
/// Size of the input buffer of an idle connection.
const IDLE_INPUT: usize = 2 * READ_SIZE;
/// Size of the input after the current request from which the connection is no longer read until
/// the answer is complete. The buffer of an idle connection holds it.
const MAX_READ_AHEAD: usize = READ_SIZE;
/// Maximum capacity that a body has before any of it has arrived.
const MAX_FIRST_CAPACITY: usize = 4 << 20;
/// Size of the output buffer above which the owner is asked to pause.
const WRITE_HIGH_WATER: usize = 64 * 1024;
/// Size of the output buffer below which the owner may continue.
const WRITE_LOW_WATER: usize = 8 * 1024;
/// Size of the output buffer above which the connection is closed if memory is short and the answer
/// is still being sent.
const MAX_UNREAD: usize = 2 * WRITE_HIGH_WATER;
/// Time without progress in writing after which the caller counts as disconnected, if the owner was
/// asked to pause. With less output, it is [`Limits::idle_time`] if that is longer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for a caller to read the last answer before its connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// Maximum number of bytes that the chunked encoding adds to each chunk.
const CHUNK_OVERHEAD: usize = 16;
/// Maximum size of a chunk written by `ureq-proto`.
const CHUNK_SIZE: usize = 10 * 1024;
/// Allowance in bytes for a status line, and for other parts of a head.
const LINE_OVERHEAD: usize = 64;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;
/// A valid request without a body. It brings the protocol into the state in which a request that
/// could not be parsed can be answered.
const PLACEHOLDER: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// An empty chunked body, for a request that announces no body.
const NO_BODY: &[u8] = b"0\r\n\r\n";

/// State of the exchange.
enum Phase {
    /// Idle between two requests, or reading a head.
    Head(Box<proto::Reply<state::RecvRequest>>),
    /// Reading a body.
    Body(Box<Receiving>),
    /// The owner has the request; the answer has not started.
    Waiting(Box<proto::Reply<state::ProvideResponse>>),
    /// Buffering an answer until it is complete.
    Gathering(Box<Gathering>),
    /// Writing an answer part by part.
    Sending(Box<proto::Reply<state::SendBody>>),
    /// The last answer is in the output buffer or written; the caller may still read it.
    Lingering,
    /// Closed.
    Closed,
}

struct Receiving {
    proto: proto::Reply<state::RecvBody>,
    request: http::Request<()>,
    /// Size of the request's head beyond that of an idle connection's input.
    head_bytes: usize,
    body: Vec<u8>,
}

impl Receiving {
    /// Returns the capacity that the body needs to take this much input. It grows by factors, up to
    /// the largest body.
    fn capacity_for(&self, input: usize, max_body: usize) -> usize {
        let needed = self.body.len() + input;
        let capacity = self.body.capacity();
        if needed <= capacity { capacity } else { needed.max((2 * capacity).min(max_body)) }
    }

    /// Decodes input as far as possible, which the body has the capacity for. Returns the number of
    /// bytes used, or `None` if the body is malformed.
    fn read(&mut self, input: &[u8]) -> Option<usize> {
        let mut end = self.body.len();
        self.body.resize(end + input.len(), 0);
        let mut used = 0;
        while !self.proto.is_ended() {
            let rest = &input[used..];
            if self.proto.is_on_chunk_boundary()
                && rest.first().is_some_and(|it| !framing::begins_chunk_size(*it))
            {
                return None;
            }
            let (consumed, decoded) = self.proto.read(rest, &mut self.body[end..]).ok()?;
            used += consumed;
            end += decoded;
            if consumed == 0 {
                break;
            }
        }
        self.body.truncate(end);
        Some(used)
    }
}

struct Gathering {
    proto: proto::Reply<state::ProvideResponse>,
    head: http::Response<()>,
    body: Vec<u8>,
}

/// Result of a step on the connection. An error closes the connection.
type Step = Result<(), StopCause>;

/// Reason for closing the connection.
#[derive(Debug)]
enum StopCause {
    /// The caller closed the connection, or cannot be written to.
    Disconnected,
    /// The protocol does not allow the attempted write.
    Protocol,
}

impl From<std::io::Error> for StopCause {
    fn from(_: std::io::Error) -> Self {
        Self::Disconnected
    }
}

impl From<ureq_proto::Error> for StopCause {
    fn from(_: ureq_proto::Error) -> Self {
        Self::Protocol
    }
}

/// Memory that the connections of a server share.
#[derive(Clone, Debug)]
pub struct Rooms {
    /// For requests.
    pub bodies: Room,
    /// For input that is not processed, and output that is not read.
    pub buffers: Room,
}

/// How a connection gives way to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveWay {
    /// It refuses the request that it receives, and keeps others.
    Refuse,
    /// It closes.
    Close,
}

/// Actor that owns the connection.
pub struct Connection {
    tcp: TcpStreamBuf,
    key: ExchangeKey,
    phase: Phase,
    limits: Limits,
    /// Memory for the current request: its body, and its head if that is large.
    held: Share,
    /// Memory for input that is not processed, and output that is not read.
    buffered: Share,
    progress: Rc<Progress>,
    owner: Fwd<Event>,
    replies: Fwd<(ExchangeKey, Part)>,
    /// The connection closes after the next answer.
    close_after_reply: bool,
    /// The caller has closed its sending side.
    input_closed: bool,
    /// The owner was asked to pause, since the output buffer exceeded [`WRITE_HIGH_WATER`].
    output_full: bool,
    /// Time of the last progress in writing, while the output buffer is not empty.
    written_at: Option<Instant>,
    /// Time by which the current phase must make progress. Times of an idle or lingering connection
    /// count from the moment at which its last answer is written.
    deadline: Option<Instant>,
    /// The connection closes as soon as no exchange is in progress.
    closing: bool,
}

impl Connection {
    /// Takes over an accepted socket.
    pub fn init(
        cx: CX![],
        key: u64,
        stream: TcpStream,
        (limits, rooms, progress): (Limits, Rooms, Rc<Progress>),
        close_after_reply: bool,
        owner: Fwd<Event>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = fwd_to!([cx], ready() as (Ready));
        let Ok(source) = poll.add(stream, interest, PRIORITY, ready) else {
            // The caller sees a closed connection of which nothing was read.
            stop!(cx);
            return None;
        };
        let mut tcp = TcpStreamBuf::new();
        tcp.init(source);
        tcp.set_nodelay(true);
        Some(Self {
            tcp,
            key: ExchangeKey { connection: key, number: 0 },
            phase: idle(),
            limits,
            held: Share::open(&rooms.bodies),
            buffered: Share::open(&rooms.buffers),
            progress,
            owner,
            replies: fwd_to!([cx], |this, cx, it: (ExchangeKey, Part)| this
                .handle_part(cx, it.0, it.1)),
            close_after_reply,
            input_closed: false,
            output_full: false,
            written_at: None,
            deadline: Some(Instant::now() + limits.idle_time),
            closing: false,
        })
    }

    /// Changes the limits.
    pub fn limit(&mut self, _cx: CX![], limits: Limits) {
        self.limits = limits;
        if matches!(self.phase, Phase::Head(_)) {
            self.start_idle_time();
        }
    }

    /// Closes the connection after the next answer.
    pub fn drain(&mut self, _cx: CX![]) {
        self.close_after_reply = true;
    }

    /// Closes the connection as soon as no exchange is in progress and its answers are written.
    pub fn close_when_idle(&mut self, cx: CX![]) {
        self.closing = true;
        self.close_after_reply = true;
        self.close_if_idle(cx);
    }

    fn close_if_idle(&mut self, cx: CX![]) {
        let idle = matches!(self.phase, Phase::Head(_)) && self.tcp.rd == self.tcp.wr;
        let done = idle || matches!(self.phase, Phase::Lingering);
        if self.closing && done && self.tcp.out.is_empty() {
            self.close(cx);
        }
    }

    /// Closes the connection if it has been idle or blocked for too long, and refuses a request
    /// that has not arrived in time.
    pub fn sweep(&mut self, cx: CX![], now: Instant) {
        let min_time = if self.output_full { Duration::ZERO } else { self.limits.idle_time };
        let write_time = WRITE_TIMEOUT.max(min_time);
        if self.written_at.is_some_and(|it| now >= it + write_time) {
            self.close_on_error(cx, Err(StopCause::Disconnected));
            return;
        }
        if self.deadline.is_none_or(|it| now < it) {
            return;
        }
        let has_input = self.tcp.rd != self.tcp.wr;
        match self.phase {
            Phase::Head(_) if !has_input => self.close(cx),
            Phase::Head(_) | Phase::Body(_) => self.refuse(Problem::Slow),
            Phase::Lingering => self.close(cx),
            _ => self.deadline = None,
        }
    }

    /// Gives way to other connections. If the owner has its request, the connection is kept until it
    /// is answered.
    pub fn give_way(&mut self, cx: CX![], how: GiveWay) {
        let activity = self.progress.activity();
        if activity == Activity::Busy {
            self.close_after_reply |= how == GiveWay::Close;
            return;
        }
        self.owner.fwd(Event::GaveWay(activity));
        if how == GiveWay::Refuse && activity == Activity::Receiving {
            self.refuse(Problem::NoRoom);
            self.update_progress();
        } else {
            self.close_on_error(cx, Err(StopCause::Disconnected));
        }
    }

    /// Updates the memory that the connection holds, and its progress.
    fn update_progress(&mut self) {
        self.buffered.set(self.buffered_bytes());
        let activity = match self.phase {
            _ if !self.tcp.out.is_empty() => Activity::Writing,
            Phase::Head(_) if self.tcp.rd == self.tcp.wr => Activity::Idle,
            Phase::Head(_) | Phase::Body(_) => Activity::Receiving,
            Phase::Waiting(_) | Phase::Gathering(_) | Phase::Sending(_) => Activity::Busy,
            Phase::Lingering | Phase::Closed => Activity::Idle,
        };
        self.progress.set_activity(activity);
        self.progress.body.set(self.held.bytes());
        self.progress.buffers.set(self.buffered.bytes());
    }

    /// Returns the size of the buffers beyond those of an idle connection.
    fn buffered_bytes(&self) -> usize {
        let gathered = match &self.phase {
            Phase::Gathering(it) => it.body.capacity(),
            _ => 0,
        };
        self.tcp.inp.len().saturating_sub(IDLE_INPUT) + self.tcp.out.capacity() + gathered
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        self.process_ready(cx, ready);
        self.update_progress();
    }

    fn process_ready(&mut self, cx: CX![], ready: Ready) {
        self.input_closed |= ready.is_read_closed() || ready.is_error();
        if ready.is_writable() {
            let continued = self.flush().and_then(|()| self.continue_input());
            if continued.is_err() {
                self.close_on_error(cx, continued);
                return;
            }
            self.close_if_idle(cx);
        }
        if ready.is_readable() || self.input_closed {
            let step = self.read();
            self.close_on_error(cx, step);
        }
    }

    /// Closes the connection if a step failed, and reports an unfinished exchange to the owner.
    fn close_on_error(&mut self, cx: CX![], step: Step) {
        if step.is_ok() {
            return;
        }
        let unfinished =
            matches!(self.phase, Phase::Waiting(_) | Phase::Gathering(_) | Phase::Sending(_));
        // An answer may be complete here without having reached its caller.
        if unfinished || !self.tcp.out.is_empty() {
            self.owner.fwd(Event::Disconnected(self.key));
        }
        self.close(cx);
    }

    fn close(&mut self, cx: CX![]) {
        self.phase = Phase::Closed;
        self.tcp.deinit();
        stop!(cx);
    }

    // Requests.

    fn read(&mut self) -> Step {
        while self.accepts_input() {
            let before = self.tcp.wr - self.tcp.rd;
            match self.tcp.read(READ_SIZE) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return Ok(()),
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    return Err(StopCause::Disconnected);
                }
            }
            let received = self.tcp.wr - self.tcp.rd - before;
            self.progress.add(received);
            self.advance()?;
            self.release_input();
            if received < READ_SIZE && !self.input_closed {
                // The socket is drained; further data makes it readable again.
                return Ok(());
            }
        }
        // A caller that has closed its side expects no answer.
        if self.input_closed { Err(StopCause::Disconnected) } else { Ok(()) }
    }

    fn accepts_input(&self) -> bool {
        match self.phase {
            Phase::Head(_) if self.output_full => self.has_read_ahead_room(),
            Phase::Head(_) | Phase::Body(_) | Phase::Lingering => true,
            Phase::Waiting(_) | Phase::Gathering(_) | Phase::Sending(_) => {
                self.has_read_ahead_room()
            }
            Phase::Closed => false,
        }
    }

    fn has_read_ahead_room(&self) -> bool {
        self.tcp.wr - self.tcp.rd < MAX_READ_AHEAD
    }

    /// Continues with the input after an answer: the next request, which the caller may have sent
    /// already, or the rest of a refused one. The next request waits while the caller does not read
    /// its answers.
    fn continue_input(&mut self) -> Step {
        let waits = self.output_full || !matches!(self.phase, Phase::Head(_) | Phase::Lingering);
        if waits || self.tcp.rd == self.tcp.wr {
            return Ok(());
        }
        let read_ahead_full = !self.has_read_ahead_room();
        self.advance()?;
        if read_ahead_full { self.read() } else { Ok(()) }
    }

    /// Frees an input buffer that is empty and has grown, as for a large head.
    fn release_input(&mut self) {
        if self.tcp.rd == self.tcp.wr && self.tcp.inp.len() > IDLE_INPUT {
            self.tcp.inp = Vec::new();
            (self.tcp.rd, self.tcp.wr) = (0, 0);
        }
    }

    /// Returns whether there is memory for the input buffer to grow if the next read needs it.
    fn has_room_for_input(&mut self) -> bool {
        let unread = self.tcp.wr - self.tcp.rd;
        let grows = unread + READ_SIZE > self.tcp.inp.len();
        let growth = if grows { self.tcp.inp.len() } else { 0 };
        self.buffered.resize(self.buffered_bytes() + growth)
    }

    /// Processes the input buffer as far as the current phase allows.
    fn advance(&mut self) -> Step {
        if matches!(self.phase, Phase::Lingering) {
            self.tcp.rd = self.tcp.wr;
        }
        if matches!(self.phase, Phase::Head(_)) && !self.output_full {
            self.parse_head()?;
        }
        if matches!(self.phase, Phase::Body(_)) {
            self.parse_body()?;
        }
        Ok(())
    }

    fn parse_head(&mut self) -> Step {
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        if input.is_empty() {
            return Ok(());
        }
        let Phase::Head(proto) = &mut self.phase else { return Ok(()) };
        let (used, request) = match proto.try_request(input) {
            Ok(it) => it,
            Err(_) => {
                self.refuse(Problem::Malformed);
                return Ok(());
            }
        };
        if used.max(if request.is_none() { input.len() } else { 0 }) > self.limits.head {
            self.refuse(Problem::HeadTooLarge);
            return Ok(());
        }
        let Some(request) = request else {
            if !self.has_room_for_input() {
                self.refuse(Problem::NoRoom);
                return Ok(());
            }
            let head_deadline = Instant::now() + self.limits.head_time;
            self.deadline = Some(self.deadline.map_or(head_deadline, |it| it.min(head_deadline)));
            return Ok(());
        };
        self.tcp.rd += used;
        self.begin_request(request, used.saturating_sub(IDLE_INPUT))
    }

    fn begin_request(&mut self, request: http::Request<()>, head_bytes: usize) -> Step {
        if !self.held.resize(head_bytes) {
            self.refuse(Problem::NoRoom);
            return Ok(());
        }
        match framing::of_request(&request) {
            Ok(RequestFraming::Stated) => {}
            Ok(RequestFraming::Ambiguous) => self.close_after_reply = true,
            Err(_) => {
                self.refuse(Problem::Malformed);
                return Ok(());
            }
        }
        let Phase::Head(proto) = std::mem::replace(&mut self.phase, Phase::Closed) else {
            return Ok(());
        };
        let mut proto = match proto.proceed() {
            Some(RecvRequestResult::ProvideResponse(it)) => {
                self.deliver(request, Vec::new(), it);
                return Ok(());
            }
            Some(RecvRequestResult::RecvBody(it)) => it,
            Some(RecvRequestResult::Send100(it)) => {
                let start = self.tcp.out.len();
                self.tcp.out.resize(start + LINE_OVERHEAD, 0);
                let (used, it) = it.accept(&mut self.tcp.out[start..])?;
                self.tcp.out.truncate(start + used);
                self.flush()?;
                it
            }
            None => return Err(StopCause::Protocol),
        };
        let fields = request.headers();
        let announced = fields.contains_key(header::CONTENT_LENGTH)
            || fields.contains_key(header::TRANSFER_ENCODING);
        if !announced {
            proto.read(NO_BODY, &mut [0; LINE_OVERHEAD])?;
        }
        // A body that is too large is refused as such, when more than its limit has arrived.
        let length = announced_length(fields).unwrap_or(0).min(self.limits.body);
        if !self.held.resize(head_bytes + length) {
            self.refuse(Problem::NoRoom);
            return Ok(());
        }
        proto.stop_on_chunk_boundary(true);
        self.deadline = Some(Instant::now() + self.limits.head_time);
        let body = Vec::with_capacity(length.min(MAX_FIRST_CAPACITY));
        self.phase = Phase::Body(Box::new(Receiving { proto, request, head_bytes, body }));
        Ok(())
    }

    fn parse_body(&mut self) -> Step {
        let Phase::Body(it) = &mut self.phase else { return Ok(()) };
        let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
        let capacity = it.capacity_for(input.len(), self.limits.body);
        if !self.held.resize(it.head_bytes + capacity) {
            self.refuse(Problem::NoRoom);
            return Ok(());
        }
        it.body.reserve_exact(capacity - it.body.len());
        let Some(used) = it.read(input) else {
            self.refuse(Problem::Malformed);
            return Ok(());
        };
        self.tcp.rd += used;
        if it.body.len() > self.limits.body {
            self.refuse(Problem::BodyTooLarge);
            return Ok(());
        }
        if !it.proto.is_ended() {
            // The line with a chunk's size, or of a trailer, does not end.
            if self.tcp.wr - self.tcp.rd > self.limits.head {
                self.refuse(Problem::Malformed);
            }
            return Ok(());
        }
        let Phase::Body(it) = std::mem::replace(&mut self.phase, Phase::Closed) else {
            return Ok(());
        };
        let proto = it.proto.proceed()?;
        self.deliver(it.request, it.body, proto);
        Ok(())
    }

    fn deliver(
        &mut self,
        request: http::Request<()>,
        body: Vec<u8>,
        proto: proto::Reply<state::ProvideResponse>,
    ) {
        self.phase = Phase::Waiting(Box::new(proto));
        self.forward_request(Ok(request), body);
    }

    fn forward_request(&mut self, head: Result<http::Request<()>, Problem>, body: Vec<u8>) {
        self.deadline = None;
        self.key.number += 1;
        let reply = Reply::open(self.replies.clone(), self.key);
        let it = Incoming { key: self.key, head, body, reply };
        self.owner.fwd(Event::Request(Box::new(it)));
    }

    /// Passes a request that could not be read to the owner for an error answer. The end of this
    /// request is unknown, so the connection closes after the answer.
    fn refuse(&mut self, problem: Problem) {
        self.close_after_reply = true;
        self.held.release();
        self.tcp.rd = self.tcp.wr;
        self.release_input();
        self.phase = match placeholder() {
            Some(it) => Phase::Waiting(Box::new(it)),
            None => Phase::Closed,
        };
        self.forward_request(Err(problem), Vec::new());
    }

    // Answers.

    fn handle_part(&mut self, cx: CX![], key: ExchangeKey, part: Part) {
        if key != self.key {
            // Part of an answer to an exchange that has ended.
            return;
        }
        let step = self.write(part);
        self.close_on_error(cx, step);
        self.update_progress();
    }

    fn write(&mut self, part: Part) -> Step {
        match part {
            Part::Head(head, Framing::Chunked) => {
                let Phase::Waiting(proto) = std::mem::replace(&mut self.phase, Phase::Closed)
                else {
                    return Err(StopCause::Protocol);
                };
                self.write_head(*proto, *head)?;
            }
            Part::Head(head, Framing::ContentLength) => {
                let Phase::Waiting(proto) = std::mem::replace(&mut self.phase, Phase::Closed)
                else {
                    return Err(StopCause::Protocol);
                };
                let it = Gathering { proto: *proto, head: *head, body: Vec::new() };
                self.phase = Phase::Gathering(Box::new(it));
            }
            Part::Bytes(bytes) => match &mut self.phase {
                Phase::Gathering(it) if it.body.is_empty() => it.body = bytes,
                Phase::Gathering(it) => it.body.extend_from_slice(&bytes),
                _ => self.write_body(&bytes)?,
            },
            Part::End => self.write_end()?,
            Part::Abort => return self.abort(),
        }
        self.flush()?;
        self.continue_input()
    }

    /// Closes the connection without an event, since the owner asked for it.
    fn abort(&mut self) -> Step {
        self.phase = Phase::Closed;
        Err(StopCause::Protocol)
    }

    fn write_head(
        &mut self,
        proto: proto::Reply<state::ProvideResponse>,
        mut head: http::Response<()>,
    ) -> Step {
        if self.close_after_reply {
            head.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let fields = head.headers().iter();
        let size: usize =
            fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>();
        let mut proto = proto.provide(head)?;
        let start = self.tcp.out.len();
        self.tcp.out.resize(start + size + 4 * LINE_OVERHEAD, 0);
        let mut end = start;
        while !proto.is_finished() {
            end += proto.write(&mut self.tcp.out[end..])?;
        }
        self.tcp.out.truncate(end);
        match proto.proceed() {
            SendResponseResult::SendBody(it) => self.phase = Phase::Sending(Box::new(it)),
            SendResponseResult::Cleanup(it) => self.finish(it.must_close_connection())?,
        }
        Ok(())
    }

    fn write_body(&mut self, mut bytes: &[u8]) -> Step {
        let Phase::Sending(proto) = &mut self.phase else {
            // Answers to HEAD requests and answers with some statuses have no body.
            return Ok(());
        };
        while !bytes.is_empty() {
            let start = self.tcp.out.len();
            let max_size = bytes.len() + (bytes.len() / CHUNK_SIZE + 1) * CHUNK_OVERHEAD;
            self.tcp.out.resize(start + max_size, 0);
            let (used, written) = proto.write(bytes, &mut self.tcp.out[start..])?;
            self.tcp.out.truncate(start + written);
            bytes = &bytes[used..];
        }
        Ok(())
    }

    fn write_end(&mut self) -> Step {
        if let Phase::Gathering(_) = self.phase {
            self.write_gathered()?;
        }
        match std::mem::replace(&mut self.phase, Phase::Closed) {
            Phase::Sending(mut proto) => {
                let start = self.tcp.out.len();
                self.tcp.out.resize(start + CHUNK_OVERHEAD, 0);
                let (_, written) = proto.write(&[], &mut self.tcp.out[start..])?;
                self.tcp.out.truncate(start + written);
                if !proto.is_finished() {
                    return Err(StopCause::Protocol);
                }
                let must_close = proto.proceed().must_close_connection();
                self.finish(must_close)
            }
            other => {
                // An answer without a body ended with its head.
                self.phase = other;
                Ok(())
            }
        }
    }

    fn write_gathered(&mut self) -> Step {
        let Phase::Gathering(it) = std::mem::replace(&mut self.phase, Phase::Closed) else {
            return Ok(());
        };
        let Gathering { proto, mut head, body } = *it;
        let status = head.status();
        let bodiless = status.is_informational()
            || status == http::StatusCode::NO_CONTENT
            || status == http::StatusCode::NOT_MODIFIED;
        if !bodiless {
            head.headers_mut().insert(header::CONTENT_LENGTH, body.len().into());
        }
        self.write_head(proto, head)?;
        self.write_body(&body)
    }

    /// Ends an exchange whose answer is written. Continues with the next request, or lets the
    /// connection close.
    fn finish(&mut self, must_close: bool) -> Step {
        self.held.release();
        if must_close || self.close_after_reply {
            self.tcp.out_eof = true;
            self.phase = Phase::Lingering;
            self.start_idle_time();
            return Ok(());
        }
        self.phase = idle();
        self.start_idle_time();
        Ok(())
    }

    fn flush(&mut self) -> Step {
        let before = self.tcp.out.len();
        self.tcp.flush()?;
        let left = self.tcp.out.len();
        self.progress.add(before - left);
        self.buffered.set(self.buffered_bytes());
        let is_short = self.buffered.room().is_full();
        if is_short && left > MAX_UNREAD && matches!(self.phase, Phase::Sending(_)) {
            // The owner cannot pause this answer.
            self.owner.fwd(Event::GaveWay(Activity::Writing));
            return Err(StopCause::Disconnected);
        }
        let high_water = if is_short { WRITE_LOW_WATER } else { WRITE_HIGH_WATER };
        if left > high_water && !self.output_full {
            self.output_full = true;
            self.owner.fwd(Event::OutputFull(self.key));
        } else if self.output_full && left < WRITE_LOW_WATER {
            self.output_full = false;
            self.owner.fwd(Event::OutputReady(self.key));
        }
        if left == 0 {
            self.written_at = None;
            if before > 0 {
                self.start_idle_time();
                buffers::release_empty(&mut self.tcp.out);
            }
        } else if left < before || self.written_at.is_none() {
            self.written_at = Some(Instant::now());
        }
        Ok(())
    }

    /// Starts the time after which an idle or lingering connection is closed, unless a part of the
    /// last answer is still to be written.
    fn start_idle_time(&mut self) {
        let has_input = self.tcp.rd != self.tcp.wr;
        let time = match self.phase {
            Phase::Head(_) if has_input => self.limits.head_time,
            Phase::Head(_) => self.limits.idle_time,
            Phase::Lingering => LINGER,
            _ => return,
        };
        self.deadline = self.tcp.out.is_empty().then(|| Instant::now() + time);
    }
}

/// Returns the length of a body that its request announces.
fn announced_length(fields: &header::HeaderMap) -> Option<usize> {
    fields.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

fn idle() -> Phase {
    let Ok(mut proto) = proto::Reply::new() else { return Phase::Closed };
    // The framing alone says whether a request has a body. By default the protocol reads none after
    // some methods, and a body that is not read would be parsed as the next request.
    proto.force_recv_body();
    Phase::Head(Box::new(proto))
}

fn placeholder() -> Option<proto::Reply<state::ProvideResponse>> {
    let mut proto = proto::Reply::new().ok()?;
    proto.try_request(PLACEHOLDER).ok()?;
    match proto.proceed()? {
        RecvRequestResult::ProvideResponse(it) => Some(it),
        RecvRequestResult::RecvBody(_) | RecvRequestResult::Send100(_) => None,
    }
}

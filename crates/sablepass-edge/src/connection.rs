// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One connection of a caller to a [`crate::server`], as an actor that owns
//! its socket: requests in, answers out, one after the other.

use std::time::{Duration, Instant};

use http::header::{self, HeaderValue};
use stakker::{CX, Fwd, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use ureq_proto::server::{self as proto, RecvRequestResult, SendResponseResult, state};

use crate::server::{Event, ExchangeKey, Framing, Incoming, Limits, Part, Problem, Reply};

/// Bytes read at once. Buffers of a connection that rests keep about twice that.
const READ_SIZE: usize = 4 * 1024;
/// Bytes that a caller may send ahead of its turn before it is not read any more.
const AHEAD: usize = 64 * 1024;
/// Bytes that may wait to be written before the owner is told to pause.
const FULL: usize = 64 * 1024;
/// Bytes that may still wait when the owner is told to go on.
const LOW: usize = 8 * 1024;
/// A caller that reads nothing for this long while bytes wait for it is gone.
const STUCK: Duration = Duration::from_secs(4);
/// Time given to a caller to read the last answer before its connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// Most bytes by which the protocol makes a part of an answer longer, a chunk.
const CHUNK_EXTRA: usize = 16;
/// Bytes of a chunk, as the protocol cuts them.
const CHUNK: usize = 10 * 1024;
/// Bytes of a status line and of what separates a header field.
const LINE: usize = 64;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;
/// A request without a body, to answer one that could not be read.
const PLACEHOLDER: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// A body that ends at once, for a request that announces none.
const NO_BODY: &[u8] = b"0\r\n\r\n";

/// What the connection is doing.
enum Phase {
    /// Between two requests, or within a head.
    Head(Box<proto::Reply<state::RecvRequest>>),
    /// Within a body.
    Body(Box<Receiving>),
    /// The request is with the owner.
    Waiting(Box<proto::Reply<state::ProvideResponse>>),
    /// The answer is gathered until it is whole.
    Gathering(Box<Gathering>),
    /// The answer is written part by part.
    Sending(Box<proto::Reply<state::SendBody>>),
    /// The last answer is written; the caller may still read it.
    Lingering,
    /// Over.
    Closed,
}

struct Receiving {
    proto: proto::Reply<state::RecvBody>,
    request: http::Request<()>,
    body: Vec<u8>,
}

struct Gathering {
    proto: proto::Reply<state::ProvideResponse>,
    head: http::Response<()>,
    body: Vec<u8>,
}

/// Whether the connection goes on.
type Step = Result<(), Stop>;

/// Why it does not.
#[derive(Debug)]
enum Stop {
    /// The caller closed it or cannot be written to.
    Gone,
    /// The protocol does not allow what was to be written.
    Protocol,
}

impl From<std::io::Error> for Stop {
    fn from(_: std::io::Error) -> Self {
        Self::Gone
    }
}

impl From<ureq_proto::Error> for Stop {
    fn from(_: ureq_proto::Error) -> Self {
        Self::Protocol
    }
}

/// The actor.
pub struct Connection {
    tcp: TcpStreamBuf,
    key: ExchangeKey,
    phase: Phase,
    limits: Limits,
    owner: Fwd<Event>,
    replies: Fwd<(ExchangeKey, Part)>,
    /// The next answer is the last one.
    last: bool,
    /// The caller sends no more.
    input_closed: bool,
    /// Since when nothing could be written although bytes wait.
    full: Option<Instant>,
    /// When what is under way must have come on.
    due: Option<Instant>,
}

impl Connection {
    /// Takes a socket.
    pub fn init(
        cx: CX![],
        key: u64,
        stream: TcpStream,
        limits: Limits,
        last: bool,
        owner: Fwd<Event>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = fwd_to!([cx], ready() as (Ready));
        let Ok(source) = poll.add(stream, interest, PRIORITY, ready) else {
            // The caller finds its connection closed before it was read.
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
            owner,
            replies: fwd_to!([cx], |this, cx, it: (ExchangeKey, Part)| this.part(cx, it.0, it.1)),
            last,
            input_closed: false,
            full: None,
            due: Some(Instant::now() + limits.idle_time),
        })
    }

    /// Changes the limits.
    pub fn limit(&mut self, _cx: CX![], limits: Limits) {
        self.limits = limits;
        if matches!(self.phase, Phase::Head(_)) {
            self.due = Some(Instant::now() + limits.idle_time);
        }
    }

    /// Makes the next answer the last one.
    pub fn drain(&mut self, _cx: CX![]) {
        self.last = true;
    }

    /// Closes the connection if nothing is under way.
    pub fn close_idle(&mut self, cx: CX![]) {
        let idle = matches!(self.phase, Phase::Head(_)) && self.tcp.rd == self.tcp.wr;
        if idle || matches!(self.phase, Phase::Lingering) {
            self.close(cx);
        }
    }

    /// Closes the connection if it rests or stands still for too long.
    pub fn sweep(&mut self, cx: CX![], now: Instant) {
        if self.full.is_some_and(|it| now >= it + STUCK) {
            self.settle(cx, Err(Stop::Gone));
            return;
        }
        if self.due.is_none_or(|it| now < it) {
            return;
        }
        let begun = self.tcp.rd != self.tcp.wr;
        match self.phase {
            Phase::Head(_) if !begun => self.close(cx),
            Phase::Head(_) | Phase::Body(_) => self.refuse(Problem::Slow),
            Phase::Lingering => self.close(cx),
            _ => self.due = None,
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        self.input_closed |= ready.is_read_closed() || ready.is_error();
        if ready.is_writable() {
            let flushed = self.flush();
            if flushed.is_err() {
                self.settle(cx, flushed);
                return;
            }
        }
        if ready.is_readable() || self.input_closed {
            let step = self.read();
            self.settle(cx, step);
        }
    }

    /// Ends the connection if a step says so.
    fn settle(&mut self, cx: CX![], step: Step) {
        if step.is_ok() {
            return;
        }
        let open =
            matches!(self.phase, Phase::Waiting(_) | Phase::Gathering(_) | Phase::Sending(_));
        // An answer may be whole here and not yet with its caller.
        if open || !self.tcp.out.is_empty() {
            self.owner.fwd(Event::Gone(self.key));
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
        while self.wants_input() {
            let before = self.tcp.wr - self.tcp.rd;
            match self.tcp.read(READ_SIZE) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return Ok(()),
                ReadStatus::EndOfStream | ReadStatus::Error(_) => return Err(Stop::Gone),
            }
            let taken = self.tcp.wr - self.tcp.rd - before;
            self.advance()?;
            if taken < READ_SIZE && !self.input_closed {
                // The socket is empty; more makes it ready again.
                return Ok(());
            }
        }
        // A caller that closed its side wants no answer any more.
        if self.input_closed { Err(Stop::Gone) } else { Ok(()) }
    }

    fn wants_input(&self) -> bool {
        match self.phase {
            Phase::Head(_) | Phase::Body(_) | Phase::Lingering => true,
            Phase::Waiting(_) | Phase::Gathering(_) | Phase::Sending(_) => {
                self.tcp.wr - self.tcp.rd < AHEAD
            }
            Phase::Closed => false,
        }
    }

    /// Takes what was read as far as it goes.
    fn advance(&mut self) -> Step {
        if matches!(self.phase, Phase::Lingering) {
            self.tcp.rd = self.tcp.wr;
        }
        if matches!(self.phase, Phase::Head(_)) {
            self.take_head()?;
        }
        if matches!(self.phase, Phase::Body(_)) {
            self.take_body()?;
        }
        Ok(())
    }

    fn take_head(&mut self) -> Step {
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
            let late = Instant::now() + self.limits.head_time;
            self.due = Some(self.due.map_or(late, |it| it.min(late)));
            return Ok(());
        };
        self.tcp.rd += used;
        self.begin(request)
    }

    fn begin(&mut self, request: http::Request<()>) -> Step {
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
                self.tcp.out.resize(start + LINE, 0);
                let (used, it) = it.accept(&mut self.tcp.out[start..])?;
                self.tcp.out.truncate(start + used);
                self.flush()?;
                it
            }
            None => return Err(Stop::Protocol),
        };
        let fields = request.headers();
        let announced = fields.contains_key(header::CONTENT_LENGTH)
            || fields.contains_key(header::TRANSFER_ENCODING);
        if !announced {
            proto.read(NO_BODY, &mut [0; LINE])?;
        }
        self.due = Some(Instant::now() + self.limits.head_time);
        self.phase = Phase::Body(Box::new(Receiving { proto, request, body: Vec::new() }));
        Ok(())
    }

    fn take_body(&mut self) -> Step {
        let Phase::Body(it) = &mut self.phase else { return Ok(()) };
        while !it.proto.is_ended() {
            let input = &self.tcp.inp[self.tcp.rd..self.tcp.wr];
            let start = it.body.len();
            it.body.resize(start + input.len(), 0);
            let Ok((used, gained)) = it.proto.read(input, &mut it.body[start..]) else {
                self.refuse(Problem::Malformed);
                return Ok(());
            };
            it.body.truncate(start + gained);
            self.tcp.rd += used;
            if it.body.len() > self.limits.body {
                self.refuse(Problem::BodyTooLarge);
                return Ok(());
            }
            if used == 0 {
                return Ok(());
            }
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
        self.hand_over(Ok(request), body);
    }

    fn hand_over(&mut self, head: Result<http::Request<()>, Problem>, body: Vec<u8>) {
        self.due = None;
        self.key.number += 1;
        let reply = Reply::open(self.replies.clone(), self.key);
        let it = Incoming { key: self.key, head, body, reply };
        self.owner.fwd(Event::Request(Box::new(it)));
    }

    /// Has the owner answer a request that could not be read. What follows on
    /// the connection cannot be told apart from it, so the answer is the last.
    fn refuse(&mut self, problem: Problem) {
        self.last = true;
        self.tcp.rd = self.tcp.wr;
        self.phase = match placeholder() {
            Some(it) => Phase::Waiting(Box::new(it)),
            None => Phase::Closed,
        };
        self.hand_over(Err(problem), Vec::new());
    }

    // Answers.

    fn part(&mut self, cx: CX![], key: ExchangeKey, part: Part) {
        if key != self.key {
            // The answer of an exchange that is over.
            return;
        }
        let step = self.write(part);
        self.settle(cx, step);
    }

    fn write(&mut self, part: Part) -> Step {
        match part {
            Part::Head(head, Framing::Chunked) => {
                let Phase::Waiting(proto) = std::mem::replace(&mut self.phase, Phase::Closed)
                else {
                    return Err(Stop::Protocol);
                };
                self.write_head(*proto, *head)?;
            }
            Part::Head(head, Framing::Whole) => {
                let Phase::Waiting(proto) = std::mem::replace(&mut self.phase, Phase::Closed)
                else {
                    return Err(Stop::Protocol);
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
        self.flush()
    }

    /// Closes at once; the owner knows.
    fn abort(&mut self) -> Step {
        self.phase = Phase::Closed;
        Err(Stop::Protocol)
    }

    fn write_head(
        &mut self,
        proto: proto::Reply<state::ProvideResponse>,
        mut head: http::Response<()>,
    ) -> Step {
        if self.last {
            head.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let fields = head.headers().iter();
        let size: usize =
            fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>();
        let mut proto = proto.provide(head)?;
        let start = self.tcp.out.len();
        self.tcp.out.resize(start + size + 4 * LINE, 0);
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
            // An answer to HEAD, or one whose status takes no body.
            return Ok(());
        };
        while !bytes.is_empty() {
            let start = self.tcp.out.len();
            let room = bytes.len() + (bytes.len() / CHUNK + 1) * CHUNK_EXTRA;
            self.tcp.out.resize(start + room, 0);
            let (used, gained) = proto.write(bytes, &mut self.tcp.out[start..])?;
            self.tcp.out.truncate(start + gained);
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
                self.tcp.out.resize(start + CHUNK_EXTRA, 0);
                let (_, gained) = proto.write(&[], &mut self.tcp.out[start..])?;
                self.tcp.out.truncate(start + gained);
                if !proto.is_finished() {
                    return Err(Stop::Protocol);
                }
                let must_close = proto.proceed().must_close_connection();
                self.finish(must_close)
            }
            other => {
                // Answers without a body ended with their head.
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

    /// The answer is written: on to the next request, or to the end.
    fn finish(&mut self, must_close: bool) -> Step {
        if must_close || self.last {
            self.tcp.out_eof = true;
            self.due = Some(Instant::now() + LINGER);
            self.phase = Phase::Lingering;
            return Ok(());
        }
        self.due = Some(Instant::now() + self.limits.idle_time);
        self.phase = idle();
        // A caller may have sent its next request already.
        let ahead = self.tcp.wr - self.tcp.rd >= AHEAD;
        self.advance()?;
        if ahead { self.read() } else { Ok(()) }
    }

    fn flush(&mut self) -> Step {
        let before = self.tcp.out.len();
        self.tcp.flush()?;
        let left = self.tcp.out.len();
        if left > FULL && self.full.is_none() {
            self.full = Some(Instant::now());
            self.owner.fwd(Event::Full(self.key));
        } else if self.full.is_some() && left < LOW {
            self.full = None;
            self.owner.fwd(Event::Drained(self.key));
        } else if self.full.is_some() && left < before {
            self.full = Some(Instant::now());
        }
        Ok(())
    }
}

fn idle() -> Phase {
    match proto::Reply::new() {
        Ok(it) => Phase::Head(Box::new(it)),
        Err(_) => Phase::Closed,
    }
}

fn placeholder() -> Option<proto::Reply<state::ProvideResponse>> {
    let mut proto = proto::Reply::new().ok()?;
    proto.try_request(PLACEHOLDER).ok()?;
    match proto.proceed()? {
        RecvRequestResult::ProvideResponse(it) => Some(it),
        RecvRequestResult::RecvBody(_) | RecvRequestResult::Send100(_) => None,
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Runs one attempt on the target over HTTP, on a thread of its own, and sends the parts of the
//! answer to the keeper.

use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sablepass_core::id::{AttemptId, Millis};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::{clock, framing};
use sablepass_platform::answer::{self, Limit, Pause};
use stakker::sync::Channel;

use crate::flow::Flow;
use crate::transport;
use crate::witness::{self, Witness};

/// Size of the buffer for the answer's body; the maximum size of a part.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// An attempt to run on the target.
#[derive(Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// Path, appended to the target's base URL.
    pub path: String,
    /// Content type of the body, or empty.
    pub content_type: String,
    /// Priority; sent to model engines only.
    pub priority: u32,
    /// Qualified name of the customer.
    pub customer: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time at which the attempt was passed to its thread.
    pub sent: Millis,
    /// Set when no caller awaits the answer any more.
    pub cancelled: Arc<AtomicBool>,
    /// Parts of the answer that are on their way to the entry.
    pub flow: Flow,
}

/// A part of an attempt's answer.
#[derive(Debug)]
pub struct Part {
    /// The attempt.
    pub attempt: AttemptId,
    /// The content of the part.
    pub content: Content,
}

/// Pause and limit that a target announces in the headers of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetNotice {
    /// Time at which the request was sent.
    pub sent: Millis,
    /// Time for which the target requests a pause.
    pub pause: Option<Millis>,
    /// Rate of requests that the target accepts from all entries together.
    pub limit: Limit,
}

/// Content of a part of an answer.
#[derive(Debug)]
pub enum Content {
    /// Start of the answer.
    Head {
        /// HTTP status.
        status: u32,
        /// Content type.
        content_type: String,
        /// The target's announcement.
        notice: TargetNotice,
    },
    /// Bytes of the body.
    Bytes(Vec<u8>),
    /// The answer is complete.
    End,
    /// The attempt failed; the answer is missing or incomplete.
    Failed(Failure),
}

/// Returns the request ID that identifies an attempt to the target.
pub fn target_request_id(attempt: AttemptId) -> String {
    format!("{}-{}", attempt.request, attempt.number)
}

/// Runs a job to its end. `read_timeout` limits the wait for the answer's head and for each
/// read of its body.
pub fn run(
    agent: &ureq::Agent,
    base: &str,
    engine: bool,
    read_timeout: Duration,
    job: Job,
    parts: &Channel<Part>,
) {
    let attempt = job.attempt;
    let send = |content| parts.send(Part { attempt, content });
    transport::watch(job.cancelled.clone());
    let response = match call(agent, base, engine, read_timeout, job.body.as_slice(), &job) {
        Ok(it) if framing::check_response(&it).is_ok() => it,
        Ok(_) => {
            send(Content::Failed(Failure { reason: Refusal::EngineBroke, ran: Ran::Unknown }));
            return;
        }
        Err(e) => {
            let failure = classify_error(&e);
            let reason = interruption(failure.reason, base);
            send(Content::Failed(Failure { reason, ..failure }));
            return;
        }
    };
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|it| it.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let (head, body) = response.into_parts();
    let status = u32::from(head.status.as_u16());
    let is_framed = head.headers.contains_key("content-length")
        || head.headers.contains_key("transfer-encoding")
        || matches!(status, 204 | 304);
    let notice = decode_notice(&job, head);
    send(Content::Head { status, content_type, notice });
    let mut witness = (!is_framed).then(|| Witness::open(base));
    let end = stream_body(body.into_reader(), &job.cancelled, |bytes| {
        job.flow.add(bytes.len());
        send(Content::Bytes(bytes));
        job.flow.wait(&job.cancelled);
        if let Some(it) = &mut witness {
            it.renew();
        }
    });
    let reason = match &end {
        Content::Failed(failure) => Some(interruption(failure.reason, base)),
        // The connection ended, and with it the answer or the target's process.
        Content::End if witness.is_some_and(|it| !it.is_running()) => {
            Some(interruption(Refusal::EngineBroke, base))
        }
        _ => None,
    };
    send(reason.map_or(end, |reason| Content::Failed(Failure { reason, ran: Ran::Ran })));
}

/// Returns the reason for an interrupted attempt: whether the target's process has ended, or only
/// the connection.
fn interruption(reason: Refusal, base: &str) -> Refusal {
    let ended = reason == Refusal::EngineBroke && has_ended(base);
    if ended { Refusal::EngineEnded } else { reason }
}

/// Returns whether the target refuses connections just after one of them ended, so that its process
/// has ended too.
fn has_ended(base: &str) -> bool {
    std::thread::sleep(witness::SETTLE_TIME);
    let connected =
        witness::address(base).map(|it| TcpStream::connect_timeout(&it, witness::CONNECT_TIMEOUT));
    matches!(connected, Some(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn call(
    agent: &ureq::Agent,
    base: &str,
    engine: bool,
    read_timeout: Duration,
    body: &[u8],
    job: &Job,
) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let mut request = ureq::http::Request::builder()
        .method(job.method.as_str())
        .uri(format!("{base}{}", job.path))
        .header("x-request-id", target_request_id(job.attempt))
        .header("x-customer", &job.customer);
    if !job.content_type.is_empty() {
        request = request.header("content-type", &job.content_type);
    }
    if engine {
        request = request.header("x-priority", job.priority.to_string());
    }
    let request = request.body(body)?;
    let request = agent
        .configure_request(request)
        .timeout_recv_response(Some(read_timeout))
        .timeout_per_read(Some(read_timeout))
        .allow_non_standard_methods(true)
        .build();
    agent.run(request)
}

/// Decodes the announcement in an answer's headers. An unreadable pause is ignored.
fn decode_notice(job: &Job, head: ureq::http::response::Parts) -> TargetNotice {
    let meta = answer::decode(clock::now(), &ureq::http::Response::from_parts(head, ()));
    let pause = match meta.pause {
        Pause::For(it) => Some(it),
        Pause::None | Pause::Unread => None,
    };
    TargetNotice { sent: job.sent, pause, limit: meta.limit }
}

/// Passes the body on in parts. Returns how it ended.
fn stream_body(
    mut from: impl Read,
    cancelled: &AtomicBool,
    mut to: impl FnMut(Vec<u8>),
) -> Content {
    let failed = |reason| Content::Failed(Failure { reason, ran: Ran::Ran });
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if cancelled.load(Ordering::Relaxed) {
            // Dropping the reader closes the connection, which cancels the request on the engine.
            return failed(Refusal::CallerGone);
        }
        match from.read(&mut buffer) {
            Ok(0) => return Content::End,
            Ok(length) => {
                transport::record_content();
                to(buffer[..length].to_vec());
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) if cancelled.load(Ordering::Relaxed) => return failed(Refusal::CallerGone),
            Err(_) => return failed(Refusal::EngineBroke),
        }
    }
}

/// Classifies a failed call. Only a connection that was never established proves that the
/// target did not run the request.
fn classify_error(e: &ureq::Error) -> Failure {
    let never_sent = match e {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(it) => it.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if never_sent {
        return Failure { reason: Refusal::EngineAway, ran: Ran::NotRun };
    }
    Failure { reason: Refusal::EngineBroke, ran: Ran::Unknown }
}

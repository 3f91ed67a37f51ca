// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One request at the target, on its own thread.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sablepass_core::id::{AttemptId, Millis};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_platform::answer::{self, Limit, Pause};
use stakker::sync::Channel;

/// Bytes read from the target at once.
const READ_SIZE: usize = 8 * 1024;

/// What to run.
#[derive(Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Priority, for an engine.
    pub priority: u32,
    /// Qualified customer.
    pub customer: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it is sent.
    pub sent: Millis,
    /// Set when nobody wants the answer any more.
    pub cancelled: Arc<AtomicBool>,
}

/// A part of an attempt's answer.
#[derive(Debug)]
pub struct Part {
    /// The attempt.
    pub attempt: AttemptId,
    /// The part.
    pub content: Content,
}

/// What a target says of itself with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    /// When the request was sent.
    pub sent: Millis,
    /// How long the target wants nothing more.
    pub rest: Option<Millis>,
    /// What it takes from all entries together.
    pub limit: Limit,
}

/// What a part holds.
#[derive(Debug)]
pub enum Content {
    /// The answer begins.
    Head {
        /// HTTP status.
        status: u32,
        /// Content type.
        content_type: String,
        /// What the target says of itself.
        said: Said,
    },
    /// Bytes.
    Bytes(Vec<u8>),
    /// The answer is whole.
    End,
    /// There will be no whole answer.
    Failed(Failure),
}

/// The name by which the target knows an attempt.
pub fn target_id(it: AttemptId) -> String {
    format!("{}-{}", it.request, it.number)
}

/// Runs a job to its end.
pub fn run(
    agent: &ureq::Agent,
    base: &str,
    engine: bool,
    read: Duration,
    job: Job,
    parts: &Channel<Part>,
) {
    let attempt = job.attempt;
    let send = |content| parts.send(Part { attempt, content });
    let response = match call(agent, base, engine, read, job.body.as_slice(), &job) {
        Ok(it) => it,
        Err(e) => {
            send(Content::Failed(failure(&e)));
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
    let said = said(&job, head);
    send(Content::Head { status, content_type, said });
    let end = copy(body.into_reader(), &job.cancelled, |bytes| {
        send(Content::Bytes(bytes));
    });
    send(end);
}

fn call(
    agent: &ureq::Agent,
    base: &str,
    engine: bool,
    read: Duration,
    body: &[u8],
    job: &Job,
) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let mut request = ureq::http::Request::builder()
        .method(job.method.as_str())
        .uri(format!("{base}{}", job.path))
        .header("x-request-id", target_id(job.attempt))
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
        .timeout_recv_response(Some(read))
        .timeout_per_read(Some(read))
        .allow_non_standard_methods(true)
        .build();
    agent.run(request)
}

fn said(job: &Job, head: ureq::http::response::Parts) -> Said {
    let meta = answer::decode(clock::now(), &ureq::http::Response::from_parts(head, ()));
    let rest = match meta.pause {
        Pause::For(it) => Some(it),
        Pause::None | Pause::Unread => None,
    };
    Said { sent: job.sent, rest, limit: meta.limit }
}

fn copy(mut from: impl Read, cancelled: &AtomicBool, mut to: impl FnMut(Vec<u8>)) -> Content {
    let broke = |reason| Content::Failed(Failure { reason, ran: Ran::Ran });
    let mut buffer = vec![0; READ_SIZE];
    loop {
        if cancelled.load(Ordering::Relaxed) {
            // Dropping the reader closes the connection, which stops the engine.
            return broke(Refusal::CallerGone);
        }
        match from.read(&mut buffer) {
            Ok(0) => return Content::End,
            Ok(length) => to(buffer[..length].to_vec()),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return broke(Refusal::EngineBroke),
        }
    }
}

/// Only a connection that was never made proves that nothing ran.
fn failure(e: &ureq::Error) -> Failure {
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

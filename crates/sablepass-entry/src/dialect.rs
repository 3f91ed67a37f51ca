// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The protocols that callers may use. The router parses requests and writes answers through them.

use http::StatusCode;
use sablepass_core::flight::Head;
use sablepass_core::id::Millis;
use sablepass_core::outcome::Failure;
use sablepass_core::reason::Refusal;
use sablepass_edge::server::{Framing, Incoming, Part, Problem, Reply};
use serde::Deserialize;

use crate::call::Call;
use crate::{openai, routes};

/// Protocol of the callers of an entry.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Dialect {
    /// The `OpenAI` API, and plain services under `/services/`.
    #[default]
    OpenAi,
    /// Any HTTP request, forwarded by the declared routes.
    Routes,
}

/// A request that is refused because it cannot be parsed.
#[derive(Debug)]
pub struct Refused {
    /// Identifies the request towards the caller; empty if unknown.
    pub label: String,
    /// Reason of the refusal.
    pub reason: Refusal,
}

impl Dialect {
    /// Parses a request.
    pub fn parse(self, options: &openai::Options, incoming: Incoming) -> Result<Call, Refused> {
        match self {
            Self::OpenAi => openai::parse(options, incoming),
            Self::Routes => routes::parse(options, incoming),
        }
    }

    /// Sends the head of an answer. Without `stream`, the body is sent as a whole.
    pub fn send_head(self, reply: &Reply, label: &str, head: Head, stream: bool) {
        let framing = if stream { Framing::Chunked } else { Framing::ContentLength };
        let head = match self {
            Self::OpenAi => openai::head(label, head, stream),
            Self::Routes => routes::head(head),
        };
        reply.send(Part::Head(Box::new(head), framing));
    }

    /// Answers with a failure. `retry_after` is the time after which the caller may retry; if absent,
    /// the dialect's default for the reason applies.
    pub fn send_failure(
        self,
        reply: &Reply,
        label: &str,
        failure: Failure,
        retry_after: Option<Millis>,
    ) {
        let (head, body) = match self {
            Self::OpenAi => openai::failure(label, failure, retry_after),
            Self::Routes => routes::failure(label, failure, retry_after),
        };
        reply.send_complete(head, body);
    }

    /// Ends an answer that was started and cannot be completed.
    pub fn abort_answer(self, reply: &Reply, label: &str, failure: Failure) {
        match self {
            Self::OpenAi => openai::abort_stream(reply, label, failure),
            Self::Routes => reply.send(Part::Abort),
        }
    }
}

/// Returns the reason for refusing a request that the HTTP server could not read.
pub fn refusal_for(problem: Problem) -> Refusal {
    match problem {
        Problem::Malformed => Refusal::BadRequest,
        Problem::HeadTooLarge => Refusal::HeaderTooLarge,
        Problem::BodyTooLarge => Refusal::BodyTooLarge,
        Problem::Slow => Refusal::SlowRequest,
        Problem::NoRoom => Refusal::BodiesFull,
    }
}

/// Converts a status code of a target or of this program; 502 if it is not a valid status.
pub fn status(code: u32) -> StatusCode {
    let code = u16::try_from(code).ok().and_then(|it| StatusCode::from_u16(it).ok());
    code.unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Appends the header fields of a target's answer. Fields that were parsed from HTTP are always
/// valid; others are skipped.
pub fn add_fields(to: &mut http::HeaderMap, head: &Head) {
    for field in &head.fields {
        let name = http::HeaderName::from_bytes(field.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The languages that callers speak.

use http::StatusCode;
use sablepass_core::flight::Head;
use sablepass_core::id::Millis;
use sablepass_core::outcome::Failure;
use sablepass_core::reason::Refusal;
use sablepass_edge::server::{Framing, Incoming, Part, Problem, Reply};
use serde::Deserialize;

use crate::call::Call;
use crate::{openai, routes};

/// A language.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Dialect {
    /// That of clients of the `OpenAI` API, and plain services under `/services/`.
    #[default]
    OpenAi,
    /// Any HTTP request, sent on by the routes declared.
    Routes,
}

/// A request that cannot be run, and the name that its caller knows.
#[derive(Debug)]
pub struct Refused {
    /// The name.
    pub label: String,
    /// Why.
    pub reason: Refusal,
}

impl Dialect {
    /// Reads a request.
    pub fn parse(self, options: &openai::Options, it: Incoming) -> Result<Call, Refused> {
        match self {
            Self::OpenAi => openai::parse(options, it),
            Self::Routes => routes::parse(options, it),
        }
    }

    /// Begins an answer.
    pub fn head(self, reply: &Reply, label: &str, head: Head, stream: bool) {
        let framing = if stream { Framing::Chunked } else { Framing::ContentLength };
        let head = match self {
            Self::OpenAi => openai::head(label, head, stream),
            Self::Routes => routes::head(head),
        };
        reply.send(Part::Head(Box::new(head), framing));
    }

    /// Answers that there will be no answer.
    pub fn fail(self, reply: &Reply, label: &str, failure: Failure, comeback: Option<Millis>) {
        let (head, body) = match self {
            Self::OpenAi => openai::failure(label, failure, comeback),
            Self::Routes => routes::failure(label, failure, comeback),
        };
        reply.send_complete(head, body);
    }

    /// Ends an answer that has begun and will not be whole.
    pub fn break_off(self, reply: &Reply, label: &str, failure: Failure) {
        match self {
            Self::OpenAi => openai::break_off(reply, label, failure),
            Self::Routes => reply.send(Part::Abort),
        }
    }
}

/// Why a request that could not be read is refused.
pub fn refusal(it: Problem) -> Refusal {
    match it {
        Problem::Malformed => Refusal::BadRequest,
        Problem::HeadTooLarge => Refusal::HeaderTooLarge,
        Problem::BodyTooLarge => Refusal::BodyTooLarge,
        Problem::Slow => Refusal::SlowRequest,
    }
}

/// A status that a target sent or this project gave; one that is none is a bad gateway's.
pub fn status(code: u32) -> StatusCode {
    let code = u16::try_from(code).ok().and_then(|it| StatusCode::from_u16(it).ok());
    code.unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Adds the fields of a target's answer. Fields that were read from HTTP fit into it.
pub fn add_fields(to: &mut http::HeaderMap, head: &Head) {
    for it in &head.fields {
        let name = http::HeaderName::from_bytes(it.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&it.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

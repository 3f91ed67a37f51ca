// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How an entry asks another one, that holds a target's limit, when it may send a request.

use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_core::limits::Turn;

use crate::convert::{self, Error};
use crate::generated as wire;
use crate::generated::frame::Body;
use crate::notices;

/// The wait of an answer by an entry that holds no limit of the target.
const NEVER: u32 = u32::MAX;

/// A question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask<'a> {
    /// Where the request is to be sent.
    pub target: TargetIncarnation<'a>,
    /// The request.
    pub request: RequestId,
    /// The longest wait of any use, in milliseconds.
    pub max_wait: Millis,
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request.
    pub request: RequestId,
    /// When it may be sent.
    pub turn: Turn,
}

/// The message of a question.
pub fn ask(it: Ask<'_>) -> Body {
    Body::TurnAsk(wire::TurnAsk {
        target: it.target.name.to_owned(),
        born: it.target.started_at,
        request: convert::request_bytes(it.request),
        most: u32::try_from(it.max_wait).unwrap_or(u32::MAX),
    })
}

/// Reads a question.
pub fn parse_ask(it: &wire::TurnAsk) -> Result<Ask<'_>, Error> {
    const MESSAGE: &str = "turn ask";
    let target = notices::life(MESSAGE, &it.target, it.born)?;
    Ok(Ask { target, request: request(MESSAGE, &it.request)?, max_wait: it.most.into() })
}

/// The message of an answer.
pub fn answer(it: Answer) -> Body {
    let wait = |it: Millis| u32::try_from(it).unwrap_or(NEVER).min(NEVER - 1);
    let (granted, wait) = match it.turn {
        Turn::In(it) => (true, wait(it)),
        Turn::TooLate(it) => (false, wait(it)),
        Turn::Never => (false, NEVER),
    };
    let request = convert::request_bytes(it.request);
    Body::TurnAnswer(wire::TurnAnswer { request, granted, wait })
}

/// Reads an answer.
pub fn parse_answer(it: &wire::TurnAnswer) -> Result<Answer, Error> {
    let turn = match (it.granted, it.wait) {
        (_, NEVER) => Turn::Never,
        (true, wait) => Turn::In(wait.into()),
        (false, wait) => Turn::TooLate(wait.into()),
    };
    Ok(Answer { request: request("turn answer", &it.request)?, turn })
}

fn request(message: &'static str, bytes: &[u8]) -> Result<RequestId, Error> {
    RequestId::parse(bytes).ok_or(Error::Field { message, field: "request" })
}

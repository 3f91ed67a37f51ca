// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages by which an entry asks another entry, which has a share of a target's limit, for
//! permission to send a request to the target.

use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_core::limits::Turn;

use crate::convert::{self, Error};
use crate::generated as wire;
use crate::generated::frame::Body;
use crate::notices;

/// Wait in the answer of an entry that has no share of the target's limit.
const NO_SHARE: u32 = u32::MAX;

/// A request for permission to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask<'a> {
    /// Target of the request.
    pub target: TargetIncarnation<'a>,
    /// Id of the request.
    pub request: RequestId,
    /// Longest useful wait, in milliseconds; a later permission would not be used.
    pub max_wait: Millis,
}

/// Answer to a request for permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Id of the request.
    pub request: RequestId,
    /// When the request may be sent.
    pub turn: Turn,
}

/// Builds the message that asks for permission.
pub fn ask(ask: Ask<'_>) -> Body {
    Body::TurnAsk(wire::TurnAsk {
        target: ask.target.name.to_owned(),
        born: ask.target.started_at,
        request: convert::request_bytes(ask.request),
        most: u32::try_from(ask.max_wait).unwrap_or(u32::MAX),
    })
}

/// Reads the message that asks for permission.
pub fn parse_ask(message: &wire::TurnAsk) -> Result<Ask<'_>, Error> {
    const MESSAGE: &str = "turn ask";
    let target = notices::incarnation(MESSAGE, &message.target, message.born)?;
    Ok(Ask { target, request: request(MESSAGE, &message.request)?, max_wait: message.most.into() })
}

/// Builds the answer. A wait that does not fit is sent as the longest one.
pub fn answer(answer: Answer) -> Body {
    let encode = |wait: Millis| u32::try_from(wait).unwrap_or(NO_SHARE).min(NO_SHARE - 1);
    let (granted, wait) = match answer.turn {
        Turn::In(wait) => (true, encode(wait)),
        Turn::TooLate(wait) => (false, encode(wait)),
        Turn::Never => (false, NO_SHARE),
    };
    let request = convert::request_bytes(answer.request);
    Body::TurnAnswer(wire::TurnAnswer { request, granted, wait })
}

/// Reads the answer.
pub fn parse_answer(message: &wire::TurnAnswer) -> Result<Answer, Error> {
    let turn = match (message.granted, message.wait) {
        (_, NO_SHARE) => Turn::Never,
        (true, wait) => Turn::In(wait.into()),
        (false, wait) => Turn::TooLate(wait.into()),
    };
    Ok(Answer { request: request("turn answer", &message.request)?, turn })
}

fn request(message: &'static str, bytes: &[u8]) -> Result<RequestId, Error> {
    RequestId::parse(bytes).ok_or(Error::Field { message, field: "request" })
}

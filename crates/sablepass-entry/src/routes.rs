// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The dialect of declared routes. It passes requests and answers through unchanged; header fields
//! that concern one connection are replaced by `sablepass_platform`.

use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use sablepass_core::flight::Head;
use sablepass_core::id::Millis;
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_edge::server::Incoming;
use sablepass_platform::request;

use crate::call::{self, Call, Run, Selector};
use crate::dialect::{self, Refused};
use crate::openai::Options;

/// `Retry-After` in seconds when the targets or the entry are at capacity: some requests complete
/// in that time, and callers that wait for half a second can still retry.
const RETRY_AFTER_FULL_S: &str = "0.15";
/// `Retry-After` in seconds when there is no target, or this process has no configuration yet or is
/// stopping: about the time until the next instance list arrives.
const RETRY_AFTER_NO_TARGET_S: &str = "0.4";
/// `Retry-After` in seconds while a group is not ready: a replaced rank returns in about that time,
/// and callers wait before a retry for at most a third of their total time.
const RETRY_AFTER_GROUP_S: &str = "2.4";

/// `Retry-After` in seconds while all targets are evacuated: callers heed up to a third of the time
/// left to them, and retries any sooner would mostly be refused again.
const RETRY_AFTER_EVACUATED_S: &str = "2";

/// Parses a request.
pub fn parse(options: &Options, incoming: Incoming) -> Result<Call, Refused> {
    let arrived = clock::now();
    let head = match incoming.head {
        Ok(head) => head,
        Err(problem) => {
            let reason = dialect::refusal_for(problem);
            return Err(Refused { label: String::new(), reason });
        }
    };
    let asked = request::decode(head.headers());
    let selector = Selector::Route { host: asked.host, path: head.uri().path().to_owned() };
    Ok(Call::Run(Box::new(Run {
        id: call::new_id(),
        label: asked.id,
        arrived,
        key: asked.key,
        selector,
        deadline: arrived + asked.patience.unwrap_or(options.deadline),
        priority: None,
        unsafe_repeat: true,
        idempotency_key: None,
        key_issued_at: None,
        stream: false,
        resumed: asked.resumed,
        prefix: None,
        shared_parts: asked.shared_parts,
        path: String::new(),
        head,
        body: incoming.body,
        reply: incoming.reply,
    })))
}

/// Returns the head of a target's answer, unchanged.
pub fn head(target_head: Head) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = dialect::status(target_head.status);
    dialect::add_fields(head.headers_mut(), &target_head);
    head
}

/// Returns head and body of an answer that reports a failure.
pub fn failure(
    label: &str,
    failure: Failure,
    retry_after: Option<Millis>,
) -> (Response<()>, Vec<u8>) {
    let mut head = Response::new(());
    let status = status(failure);
    *head.status_mut() = status;
    let fields = head.headers_mut();
    *fields = request::own_answer(label);
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let default = default_retry_after(failure, status).map(str::to_owned);
    let seconds = retry_after.map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
    let value = seconds.or(default).and_then(|it| HeaderValue::try_from(it).ok());
    if let Some(value) = value {
        fields.insert(header::RETRY_AFTER, value);
    }
    let body = format!("{}: {}\n", failure.ran.label(), failure.reason.label());
    (head, body.into_bytes())
}

/// Returns the status of a failure. Some statuses promise that the request did not run and never
/// will, so that callers may safely retry it; if it may have run, the status is 502 instead.
fn status(failure: Failure) -> StatusCode {
    let status = dialect::status(failure.reason.status().into());
    let promises_not_run = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if promises_not_run && failure.ran != Ran::NotRun { StatusCode::BAD_GATEWAY } else { status }
}

/// Returns the `Retry-After` value for temporary refusals.
fn default_retry_after(failure: Failure, status: StatusCode) -> Option<&'static str> {
    let temporary =
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    if !temporary {
        return None;
    }
    Some(match failure.reason {
        Refusal::Evacuated => RETRY_AFTER_EVACUATED_S,
        Refusal::GroupClosed => RETRY_AFTER_GROUP_S,
        Refusal::NoTarget
        | Refusal::OutsideRegions
        | Refusal::NoConfiguration
        | Refusal::Stopping => RETRY_AFTER_NO_TARGET_S,
        _ => RETRY_AFTER_FULL_S,
    })
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The dialect of routes: requests pass unchanged, and so do answers.

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

/// Seconds after which a caller may come back when targets are full or the
/// entry is: some requests end in that time, and it is within the patience of
/// callers that wait half a second.
const SOON: &str = "0.15";
/// Seconds after which a caller may come back when no target is there, or
/// this process knows nothing yet: about what a list takes to arrive.
const LATER: &str = "0.4";

/// Seconds after which a caller may come back while a group is not complete: a
/// rank that was replaced is back in about that time, and callers wait for a
/// third of their time at most.
const REFORMED: &str = "2.4";

/// Reads a request.
pub fn parse(options: &Options, it: Incoming) -> Result<Call, Refused> {
    let arrived = clock::now();
    let head = match it.head {
        Ok(it) => it,
        Err(problem) => {
            let reason = dialect::refusal(problem);
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
        path: String::new(),
        head,
        body: it.body,
        reply: it.reply,
    })))
}

/// The head of a target's answer, unchanged.
pub fn head(it: Head) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = dialect::status(it.status);
    dialect::add_fields(head.headers_mut(), &it);
    head
}

/// An answer of this system's own.
pub fn failure(label: &str, it: Failure, comeback: Option<Millis>) -> (Response<()>, Vec<u8>) {
    let mut head = Response::new(());
    let status = status(it);
    *head.status_mut() = status;
    let fields = head.headers_mut();
    *fields = request::own_answer(label);
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let usual = retry_after(it, status).map(str::to_owned);
    let comeback = comeback.map(|it| format!("{}.{:03}", it / 1_000, it % 1_000));
    let value = comeback.or(usual).and_then(|it| HeaderValue::try_from(it).ok());
    if let Some(it) = value {
        fields.insert(header::RETRY_AFTER, it);
    }
    let body = format!("{}: {}\n", it.ran.label(), it.reason.label());
    (head, body.into_bytes())
}

/// Some statuses promise that the request has not run and never will. They
/// are given only with proof; what may have run is a bad gateway's failure.
fn status(it: Failure) -> StatusCode {
    let status = dialect::status(it.reason.status().into());
    let promises = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if promises && it.ran != Ran::NotRun { StatusCode::BAD_GATEWAY } else { status }
}

fn retry_after(it: Failure, status: StatusCode) -> Option<&'static str> {
    let passes = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    if !passes {
        return None;
    }
    Some(match it.reason {
        Refusal::GroupClosed => REFORMED,
        Refusal::NoTarget | Refusal::NoConfiguration | Refusal::Stopping => LATER,
        _ => SOON,
    })
}

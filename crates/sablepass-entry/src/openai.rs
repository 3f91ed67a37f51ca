// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The dialect of the `OpenAI` API: completions and models, and plain services under
//! `/services/NAME/`.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Response};
use sablepass_core::declaration::{Kind, Priority};
use sablepass_core::flight::Head;
use sablepass_core::id::Millis;
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_edge::server::{Incoming, Part, Reply};
use serde::Serialize;

use crate::call::{self, Call, Run, Selector};
use crate::completion::Completion;
use crate::dialect::{self, Refused};
use crate::settings::Settings;

/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Millis = 3_600_000;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const RAN: HeaderName = HeaderName::from_static("x-sablepass-ran");
const REPLAYED: HeaderName = HeaderName::from_static("x-sablepass-replayed");

/// Settings that the dialects use.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Deadline of a request that specifies none, relative to its arrival.
    pub deadline: Millis,
    /// Length in characters of the prompt's prefix that routing by affinity uses.
    pub prefix: usize,
}

impl From<&Settings> for Options {
    fn from(settings: &Settings) -> Self {
        Self { deadline: settings.deadline, prefix: settings.prefix }
    }
}

// Requests.

enum Path {
    Chat,
    Text,
    Models,
    Service { name: String, path: String },
}

/// Parses a request.
pub fn parse(options: &Options, incoming: Incoming) -> Result<Call, Refused> {
    let id = call::new_id();
    let refused = |reason| Refused { label: id.to_string(), reason };
    parse_call(options, id, incoming).map_err(refused)
}

fn parse_call(
    options: &Options,
    id: sablepass_core::id::RequestId,
    incoming: Incoming,
) -> Result<Call, Refusal> {
    let arrived = clock::now();
    let head = incoming.head.map_err(dialect::refusal_for)?;
    let fields = head.headers();
    let path = parse_path(&head)?;
    let key = parse_key(fields).ok_or(Refusal::UnknownKey)?;
    if matches!(path, Path::Models) {
        return Ok(Call::Models { key, reply: incoming.reply });
    }
    let idempotency_key = text(fields, "idempotency-key").map(str::to_owned);
    if idempotency_key.as_ref().is_some_and(|it| it.is_empty() || it.len() > MAX_KEY_BYTES) {
        return Err(Refusal::BadHeader);
    }
    let mut run = Run {
        id,
        label: id.to_string(),
        arrived,
        key: Some(key),
        selector: Selector::Named(Kind::Model, String::new()),
        deadline: arrived + parse_deadline(options, fields)?,
        priority: parse_priority(fields)?,
        unsafe_repeat: parse_unsafe(fields)?,
        idempotency_key,
        key_issued_at: parse_number(fields, "x-sablepass-key-issued")?,
        resumed: false,
        stream: false,
        prefix: None,
        shared_parts: Vec::new(),
        path: String::new(),
        body: incoming.body,
        reply: incoming.reply,
        head,
    };
    match path {
        Path::Service { name, path } => {
            run.selector = Selector::Named(Kind::Service, name);
            run.path = path;
        }
        Path::Chat => parse_completion(&mut run, "/v1/chat/completions", options.prefix)?,
        Path::Text => parse_completion(&mut run, "/v1/completions", options.prefix)?,
        Path::Models => {}
    }
    Ok(Call::Run(Box::new(run)))
}

fn parse_path(request: &http::Request<()>) -> Result<Path, Refusal> {
    let method = request.method();
    let post = |path| if method == Method::POST { Ok(path) } else { Err(Refusal::WrongMethod) };
    match request.uri().path() {
        "/v1/chat/completions" => post(Path::Chat),
        "/v1/completions" => post(Path::Text),
        "/v1/models" if method == Method::GET => Ok(Path::Models),
        "/v1/models" => Err(Refusal::WrongMethod),
        _ => {
            let whole = request.uri().path_and_query().map_or("", |it| it.as_str());
            let rest = whole.strip_prefix("/services/").ok_or(Refusal::UnknownPath)?;
            let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
            if name.is_empty() {
                return Err(Refusal::UnknownPath);
            }
            let plain = [Method::GET, Method::POST, Method::PUT, Method::DELETE, Method::PATCH];
            if !plain.contains(method) {
                return Err(Refusal::WrongMethod);
            }
            Ok(Path::Service { name: name.to_owned(), path: format!("/{path}") })
        }
    }
}

fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name).and_then(|it| it.to_str().ok())
}

fn parse_key(fields: &HeaderMap) -> Option<String> {
    let value = text(fields, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn parse_number(fields: &HeaderMap, name: &str) -> Result<Option<Millis>, Refusal> {
    text(fields, name).map(|it| it.parse().map_err(|_| Refusal::BadHeader)).transpose()
}

fn parse_deadline(options: &Options, fields: &HeaderMap) -> Result<Millis, Refusal> {
    match parse_number(fields, "x-sablepass-deadline-ms")? {
        None => Ok(options.deadline),
        Some(it) if (1..=MAX_DEADLINE).contains(&it) => Ok(it),
        Some(_) => Err(Refusal::BadHeader),
    }
}

fn parse_priority(fields: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    let parse = |it: &str| Priority::parse(it).ok_or(Refusal::BadHeader);
    text(fields, "x-sablepass-priority").map(parse).transpose()
}

fn parse_unsafe(fields: &HeaderMap) -> Result<bool, Refusal> {
    match text(fields, "x-sablepass-unsafe") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(Refusal::BadHeader),
    }
}

fn parse_completion(run: &mut Run, path: &str, prefix: usize) -> Result<(), Refusal> {
    let completion = Completion::parse(&run.body, prefix).map_err(|_| Refusal::BadBody)?;
    let prompt = completion.prompt.ok_or(Refusal::BadBody)?;
    run.selector = Selector::Named(Kind::Model, completion.model);
    run.stream = completion.stream;
    run.prefix = Some(prompt.prefix);
    run.shared_parts = prompt.shared_parts;
    run.path = path.to_owned();
    Ok(())
}

// Answers.

/// Error body of the `OpenAI` API, with the additional fields `request_id` and `ran`.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    message: String,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    param: Option<&'a str>,
    request_id: &'a str,
    ran: &'a str,
}

fn error_json(label: &str, failure: Failure) -> String {
    let reason = failure.reason;
    let kind = match reason.status() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let message = format!("request {}: {}", failure.ran.label(), reason.label());
    let error = ErrorFields {
        message,
        kind,
        code: reason.label(),
        param: None,
        request_id: label,
        ran: failure.ran.label(),
    };
    // Serialization of these fields cannot fail.
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Returns the `Retry-After` value in seconds for temporary refusals.
fn default_retry_after(failure: Failure) -> Option<u32> {
    match failure.reason {
        // The owner of the key is available again once its agent has been restarted.
        Refusal::OwnerAway | Refusal::Leaving => Some(10),
        Refusal::Evacuated | Refusal::HallEvacuated => Some(2),
        // Keys that are created from now on are accepted.
        Refusal::KeyUncertain => Some(30),
        it => matches!(it.status(), 429 | 503).then_some(1),
    }
}

/// Returns the head of a target's answer, with the fields that identify the request.
pub fn head(label: &str, target_head: Head, stream: bool) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = dialect::status(target_head.status);
    let fields = head.headers_mut();
    dialect::add_fields(fields, &target_head);
    if stream {
        fields.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    if target_head.replayed {
        fields.insert(REPLAYED, HeaderValue::from_static("true"));
    }
    add_request_fields(fields, label, Ran::Ran);
    head
}

fn add_request_fields(fields: &mut HeaderMap, label: &str, ran: Ran) {
    // The label is a request id in hex digits, which is always valid.
    if let Ok(label) = HeaderValue::from_str(label) {
        fields.insert(REQUEST_ID, label);
    }
    fields.insert(RAN, HeaderValue::from_static(ran.label()));
}

/// Returns head and body of an answer that reports a failure. `retry_after` is rounded up to
/// seconds.
pub fn failure(
    label: &str,
    failure: Failure,
    retry_after: Option<Millis>,
) -> (Response<()>, Vec<u8>) {
    let mut head = Response::new(());
    *head.status_mut() = dialect::status(failure.reason.status().into());
    let fields = head.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    add_request_fields(fields, label, failure.ran);
    let requested = retry_after.map(|ms| ms.div_ceil(1_000) as u32);
    if let Some(seconds) = requested.or(default_retry_after(failure)) {
        fields.insert(header::RETRY_AFTER, seconds.into());
    }
    (head, error_json(label, failure).into_bytes())
}

/// Ends an interrupted stream. Its status was already sent, so the failure is sent as the last
/// event, without a `[DONE]` after it.
pub fn abort_stream(reply: &Reply, label: &str, failure: Failure) {
    let event = format!("data: {}\n\n", error_json(label, failure));
    reply.send(Part::Bytes(event.into_bytes()));
    reply.send(Part::End);
}

/// Answers with the list of models of these qualified names.
pub fn send_models(reply: &Reply, names: &[String]) {
    let data: Vec<serde_json::Value> = names
        .iter()
        .map(|name| {
            let owner = name.split('/').next().unwrap_or("");
            serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": owner })
        })
        .collect();
    let list = serde_json::json!({ "object": "list", "data": data });
    let mut head = Response::new(());
    let json = HeaderValue::from_static("application/json");
    head.headers_mut().insert(header::CONTENT_TYPE, json);
    reply.send_complete(head, list.to_string().into_bytes());
}

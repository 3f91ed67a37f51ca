// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The dialect of clients of the `OpenAI` API: completions and models, and
//! plain services under `/services/NAME/`.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Response};
use sablepass_core::declaration::{Kind, Priority};
use sablepass_core::flight::Head;
use sablepass_core::id::Millis;
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_edge::server::{Incoming, Part, Reply};
use serde::{Deserialize, Serialize};

use crate::call::{self, Asks, Call, Run};
use crate::dialect::{self, Refused};
use crate::settings::Settings;

/// Longest deadline that a caller may ask for.
const DEADLINE_MOST: Millis = 3_600_000;
/// Longest idempotency key in bytes.
const KEY_MOST: usize = 255;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const RAN: HeaderName = HeaderName::from_static("x-sablepass-ran");
const REPLAYED: HeaderName = HeaderName::from_static("x-sablepass-replayed");

/// What the dialects take from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Deadline of a request that names none, in milliseconds.
    pub deadline: Millis,
    /// Characters of a prompt that count as its prefix.
    pub prefix: usize,
}

impl From<&Settings> for Options {
    fn from(it: &Settings) -> Self {
        Self { deadline: it.deadline, prefix: it.prefix }
    }
}

// Requests.

/// The part of a completion request that routing needs; the rest goes to the
/// engine untouched.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    prompt: Option<serde_json::Value>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Option<serde_json::Value>,
}

enum Path {
    Chat,
    Text,
    Models,
    Service { name: String, path: String },
}

/// Reads a request.
pub fn parse(options: &Options, it: Incoming) -> Result<Call, Refused> {
    let id = call::new_id();
    let refused = |reason| Refused { label: id.to_string(), reason };
    parse_call(options, id, it).map_err(refused)
}

fn parse_call(
    options: &Options,
    id: sablepass_core::id::RequestId,
    it: Incoming,
) -> Result<Call, Refusal> {
    let arrived = clock::now();
    let head = it.head.map_err(dialect::refusal)?;
    let fields = head.headers();
    let path = parse_path(&head)?;
    let key = parse_key(fields).ok_or(Refusal::UnknownKey)?;
    if matches!(path, Path::Models) {
        return Ok(Call::Models { key, reply: it.reply });
    }
    let idempotency = text(fields, "idempotency-key").map(str::to_owned);
    if idempotency.as_ref().is_some_and(|it| it.is_empty() || it.len() > KEY_MOST) {
        return Err(Refusal::BadHeader);
    }
    let mut run = Run {
        id,
        label: id.to_string(),
        arrived,
        key: Some(key),
        asks: Asks::Named(Kind::Model, String::new()),
        deadline: arrived + parse_deadline(options, fields)?,
        priority: parse_priority(fields)?,
        unsafe_repeat: parse_unsafe(fields)?,
        idempotency,
        issued: parse_number(fields, "x-sablepass-key-issued")?,
        resumed: false,
        stream: false,
        prefix: None,
        path: String::new(),
        body: it.body,
        reply: it.reply,
        head,
    };
    match path {
        Path::Service { name, path } => {
            run.asks = Asks::Named(Kind::Service, name);
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
        Some(it) if (1..=DEADLINE_MOST).contains(&it) => Ok(it),
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
    let it: Completion = serde_json::from_slice(&run.body).map_err(|_| Refusal::BadBody)?;
    let text = match (it.messages, it.prompt) {
        (Some(messages), _) => {
            let parts = messages.into_iter().filter_map(|it| it.content);
            parts.map(|it| plain_text(&it)).collect::<Vec<_>>().join("\n")
        }
        (None, Some(prompt)) => plain_text(&prompt),
        (None, None) => return Err(Refusal::BadBody),
    };
    run.asks = Asks::Named(Kind::Model, it.model);
    run.stream = it.stream;
    run.prefix = Some(text.chars().take(prefix).collect());
    run.path = path.to_owned();
    Ok(())
}

fn plain_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

// Answers.

/// The error body of the interface.
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
    // These fields always serialize.
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Seconds after which a caller may come back, for refusals that pass.
fn retry_after(failure: Failure) -> Option<u32> {
    match failure.reason {
        // An owner comes back when its agent has been restarted.
        Refusal::OwnerAway | Refusal::Leaving => Some(10),
        // A key made from now on will do.
        Refusal::KeyUncertain => Some(30),
        it => matches!(it.status(), 429 | 503).then_some(1),
    }
}

/// The head of an answer of a target.
pub fn head(label: &str, it: Head, stream: bool) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = dialect::status(it.status);
    let fields = head.headers_mut();
    dialect::add_fields(fields, &it);
    if stream {
        fields.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    if it.replayed {
        fields.insert(REPLAYED, HeaderValue::from_static("true"));
    }
    name_request(fields, label, Ran::Ran);
    head
}

fn name_request(fields: &mut HeaderMap, label: &str, ran: Ran) {
    // The name is drawn here, in hex digits.
    if let Ok(label) = HeaderValue::from_str(label) {
        fields.insert(REQUEST_ID, label);
    }
    fields.insert(RAN, HeaderValue::from_static(ran.label()));
}

/// The answer that there will be none.
pub fn failure(label: &str, it: Failure, comeback: Option<Millis>) -> (Response<()>, Vec<u8>) {
    let mut head = Response::new(());
    *head.status_mut() = dialect::status(it.reason.status().into());
    let fields = head.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    name_request(fields, label, it.ran);
    let comeback = comeback.map(|it| it.div_ceil(1_000) as u32);
    if let Some(seconds) = comeback.or(retry_after(it)) {
        fields.insert(header::RETRY_AFTER, seconds.into());
    }
    (head, error_json(label, it).into_bytes())
}

/// Ends a stream that broke: the status is long sent, so the failure is the
/// last event, and no `[DONE]` follows.
pub fn break_off(reply: &Reply, label: &str, it: Failure) {
    let event = format!("data: {}\n\n", error_json(label, it));
    reply.send(Part::Bytes(event.into_bytes()));
    reply.send(Part::End);
}

/// The list of models.
pub fn models(reply: &Reply, names: &[String]) {
    let data: Vec<serde_json::Value> = names
        .iter()
        .map(|it| {
            let owner = it.split('/').next().unwrap_or("");
            serde_json::json!({ "id": it, "object": "model", "created": 0, "owned_by": owner })
        })
        .collect();
    let list = serde_json::json!({ "object": "list", "data": data });
    let mut head = Response::new(());
    let json = HeaderValue::from_static("application/json");
    head.headers_mut().insert(header::CONTENT_TYPE, json);
    reply.send_complete(head, list.to_string().into_bytes());
}

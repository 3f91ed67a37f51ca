// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for a model engine: continuous batching in steps, a limited
//! cache of prompt prefixes, priorities, cancellation, and a run log.
//!
//! The tokens of a response are `WORD:0 WORD:1 ...`, where WORD is the last word of the prompt,
//! so that a caller recognizes the response to its own request.
//!
//! `POST /control/mode` takes one of:
//!
//! - `ok`;
//! - `freeze`: no steps;
//! - `busy`: 503 to new requests;
//! - `rest N`: the same, with a `retry-after` header of N milliseconds;
//! - `break N`: break off each response after N tokens;
//! - `hold N`: stop each response at N tokens until the mode changes.
//!
//! `POST /control/limit` takes the requests per second that responses announce as the limit of
//! the engine, or `none`. `POST /control/batch` takes the maximum number of sequences in a
//! step. `GET /control/runs`, `/control/turned` and `/control/cache` return the run log, the
//! times of refusals in mode `rest`, and the counts of cache hits and runs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sablepass_edge::clock;
use sablepass_stand::http::StreamWriter;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::{Error, web};

/// Length of the prompt prefix that is cached, in characters.
const PREFIX_CHARS: usize = 256;
/// Tokens of a response if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Size and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of a step, in milliseconds.
    pub step: u64,
    /// Maximum sequences in a step.
    pub batch: usize,
    /// Prefill steps of a prompt that is not cached; a cached one takes one step.
    pub prefill: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Ok,
    Freeze,
    Busy,
    Rest(u64),
    Break(u64),
    Hold(u64),
}

struct Sequence {
    /// Request id.
    id: String,
    /// Index in the run log.
    run: usize,
    priority: u64,
    /// Remaining prefill steps.
    prefill: u64,
    /// Tokens generated so far.
    generated: u64,
    /// Tokens to generate.
    requested: u64,
    /// Sends the index of each token to the thread that responds.
    token_sender: mpsc::Sender<u64>,
}

struct State {
    mode: Mode,
    /// Requests per second that responses announce as the limit.
    limit: Option<f64>,
    /// Maximum sequences in a step.
    batch: usize,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    /// Cached prefixes, the least recently used first.
    cached: VecDeque<String>,
    /// Cache hits.
    hits: u64,
    /// Run log.
    runs: Vec<Value>,
    /// Times of refusals in mode `rest`, in milliseconds since the Unix epoch.
    refused_at: Vec<u64>,
}

/// An engine, stepped by its owner.
pub struct Engine {
    options: Options,
    state: Mutex<State>,
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Creates an engine; it generates tokens only in calls of [`Self::step`].
    pub fn open(options: Options) -> Arc<Self> {
        let state = State {
            mode: Mode::Ok,
            limit: None,
            batch: options.batch,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
            hits: 0,
            runs: Vec::new(),
            refused_at: Vec::new(),
        };
        Arc::new(Self { options, state: Mutex::new(state) })
    }

    /// Whether the mode breaks responses off before this token.
    fn breaks_at(&self, token: u64) -> bool {
        matches!(self.lock().mode, Mode::Break(it) if token >= it)
    }

    /// Makes one step, unless the engine is in mode `freeze`.
    pub fn step(&self) {
        let mut state = self.lock();
        if state.mode != Mode::Freeze {
            state.step();
        }
    }
}

/// Runs the stand-in: one engine, stepped at a fixed interval.
pub fn run(addr: SocketAddr, options: Options) -> Result<(), Error> {
    let engine = Engine::open(options);
    let stepper = engine.clone();
    std::thread::spawn(move || step_forever(&stepper));
    web::serve(addr, "http", move |request| {
        let path = web::path(&request);
        handle(&engine, request, &path);
    })
}

fn step_forever(engine: &Engine) {
    let step = Duration::from_millis(engine.options.step.max(1));
    let mut next = Instant::now();
    loop {
        next += step;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        engine.step();
    }
}

impl State {
    fn step(&mut self) {
        while self.running.len() < self.batch {
            let Some(next) = self.next_waiting() else {
                break;
            };
            self.running.extend(self.waiting.remove(next));
        }
        let mode = self.mode;
        let runs = &mut self.runs;
        self.running.retain_mut(|it| {
            if mode == Mode::Hold(it.generated) {
                return true;
            }
            if it.prefill > 0 {
                it.prefill -= 1;
                return true;
            }
            let received = it.token_sender.send(it.generated).is_ok();
            it.generated += 1;
            runs[it.run]["tokens"] = it.generated.into();
            let done = it.generated >= it.requested;
            if !received {
                runs[it.run]["end"] = "gone".into();
            } else if done {
                runs[it.run]["end"] = "done".into();
            }
            received && !done
        });
    }

    /// Index of the oldest waiting sequence of the highest priority.
    fn next_waiting(&self) -> Option<usize> {
        let rank = |(index, it): &(usize, &Sequence)| (it.priority, std::cmp::Reverse(*index));
        self.waiting.iter().enumerate().max_by_key(rank).map(|it| it.0)
    }

    /// Ends the sequences of a request id.
    fn cancel(&mut self, id: &str) {
        for it in self.running.iter().chain(&self.waiting).filter(|it| it.id == id) {
            self.runs[it.run]["end"] = "cancelled".into();
        }
        self.running.retain(|it| it.id != id);
        self.waiting.retain(|it| it.id != id);
    }

    /// Adds the prefix to the cache as the most recently used one. Returns whether it was cached
    /// before.
    fn cache(&mut self, prefix: String, capacity: usize) -> bool {
        let found = self.cached.iter().position(|it| *it == prefix);
        if let Some(at) = found {
            self.cached.remove(at);
            self.hits += 1;
        }
        self.cached.push_back(prefix);
        if self.cached.len() > capacity {
            self.cached.pop_front();
        }
        found.is_some()
    }
}

/// Responds to a request for `path`, which a group gives without the prefix of the member.
pub fn handle(engine: &Engine, mut request: Request, path: &str) {
    let body = web::body(&mut request);
    match (request.method().clone(), path) {
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            complete(engine, request, path, &body);
        }
        (Method::Get, "/load") => {
            let state = engine.lock();
            let load = json!({ "running": state.running.len(), "waiting": state.waiting.len() });
            drop(state);
            web::json(request, 200, &load);
        }
        (Method::Post, "/v1/cancel") => {
            engine.lock().cancel(&web::header(&request, "x-request-id"));
            web::json(request, 200, &json!({}));
        }
        (Method::Get, "/control/runs") => {
            let runs = engine.lock().runs.clone();
            web::json(request, 200, &Value::Array(runs));
        }
        (Method::Get, "/control/turned") => {
            let refused_at = engine.lock().refused_at.clone();
            web::json(request, 200, &json!(refused_at));
        }
        (Method::Get, "/control/cache") => {
            let state = engine.lock();
            let counts = json!({ "hits": state.hits, "runs": state.runs.len() });
            drop(state);
            web::json(request, 200, &counts);
        }
        (Method::Post, "/control/mode") => set_mode(engine, request, &body),
        (Method::Post, "/control/limit") => {
            engine.lock().limit = body.trim().parse().ok();
            web::json(request, 200, &json!({}));
        }
        (Method::Post, "/control/batch") => {
            engine.lock().batch = body.trim().parse().unwrap_or(engine.options.batch).max(1);
            web::json(request, 200, &json!({}));
        }
        _ => web::json(request, 404, &json!({ "error": "unknown path" })),
    }
}

fn set_mode(engine: &Engine, request: Request, text: &str) {
    let (word, number) = text.trim().split_once(' ').unwrap_or((text.trim(), "0"));
    let mode = match word {
        "ok" => Mode::Ok,
        "freeze" => Mode::Freeze,
        "busy" => Mode::Busy,
        "rest" => Mode::Rest(number.parse().unwrap_or(0)),
        "break" => Mode::Break(number.parse().unwrap_or(0)),
        "hold" => Mode::Hold(number.parse().unwrap_or(0)),
        _ => {
            web::json(
                request,
                400,
                &json!({ "error": "unknown mode; expected ok, freeze, busy, rest N, break N or hold N" }),
            );
            return;
        }
    };
    engine.lock().mode = mode;
    web::json(request, 200, &json!({ "mode": format!("{mode:?}") }));
}

/// Runs a completion.
fn complete(engine: &Engine, request: Request, path: &str, body: &str) {
    let Ok(parameters) = serde_json::from_str::<Value>(body) else {
        web::json(request, 400, &json!({ "error": "the body is not valid JSON" }));
        return;
    };
    let prompt = prompt_of(&parameters);
    let id = web::header(&request, "x-request-id");
    let requested = parameters["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    let (token_sender, tokens) = mpsc::channel();
    {
        let mut state = engine.lock();
        if state.mode == Mode::Busy {
            drop(state);
            web::json(request, 503, &json!({ "error": "the engine is in mode busy" }));
            return;
        }
        if let Mode::Rest(pause_ms) = state.mode {
            state.refused_at.push(clock::now());
            drop(state);
            web::refuse_for(request, pause_ms);
            return;
        }
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let cached = state.cache(prefix, engine.options.cache);
        let run = state.runs.len();
        let customer = web::header(&request, "x-customer");
        let entry = json!({ "id": id, "customer": customer, "prompt": prompt, "tokens": 0, "end": "running", "at": clock::now() });
        state.runs.push(entry);
        let priority = web::header(&request, "x-priority").parse().unwrap_or(1);
        let prefill = if cached { 1 } else { engine.options.prefill };
        state.waiting.push_back(Sequence {
            id,
            run,
            priority,
            prefill,
            generated: 0,
            requested,
            token_sender,
        });
    }
    let word = prompt.split_whitespace().last().unwrap_or("").to_owned();
    let chat = path.contains("chat");
    if parameters["stream"].as_bool().unwrap_or(false) {
        stream(engine, request, &tokens, &word, chat, requested);
    } else {
        respond_whole(engine, request, &tokens, &word, chat, requested);
    }
}

/// The text of all messages of a chat, or the prompt of a plain completion.
fn prompt_of(parameters: &Value) -> String {
    if let Some(messages) = parameters["messages"].as_array() {
        let parts = messages.iter().map(|it| it["content"].as_str().unwrap_or(""));
        return parts.collect::<Vec<_>>().join("\n");
    }
    parameters["prompt"].as_str().unwrap_or("").to_owned()
}

/// Sends the tokens as server-sent events.
fn stream(
    engine: &Engine,
    request: Request,
    tokens: &mpsc::Receiver<u64>,
    word: &str,
    chat: bool,
    requested: u64,
) {
    let limit = engine.lock().limit.map(|it| it.to_string());
    let limit = limit.iter().map(|it| (web::LIMIT_HEADER, it.as_str()));
    let fields: Vec<_> = limit.chain([("content-type", "text/event-stream")]).collect();
    let Ok(mut out) = StreamWriter::open(request, 200, &fields) else { return };
    let mut sent = 0;
    while let Ok(token) = tokens.recv() {
        if engine.breaks_at(token) {
            break;
        }
        let text = format!("{word}:{token} ");
        let choice = if chat {
            json!({ "index": 0, "delta": { "content": text } })
        } else {
            json!({ "index": 0, "text": text })
        };
        let event = json!({ "object": "chunk", "choices": [choice] });
        if out.part(format!("data: {event}\n\n").as_bytes()).is_err() {
            return;
        }
        sent += 1;
    }
    if sent == requested {
        let _ = out.part(b"data: [DONE]\n\n");
        return;
    }
    // Without the end marker the response would still end as valid HTTP; its reader must see
    // that it broke off.
    let _ = out.break_off();
}

/// Sends the tokens as one JSON document.
fn respond_whole(
    engine: &Engine,
    request: Request,
    tokens: &mpsc::Receiver<u64>,
    word: &str,
    chat: bool,
    requested: u64,
) {
    let texts: Vec<String> = tokens
        .iter()
        .take_while(|it| !engine.breaks_at(*it))
        .map(|it| format!("{word}:{it} "))
        .collect();
    if texts.len() as u64 != requested {
        web::json(request, 500, &json!({ "error": "cancelled or broken off" }));
        return;
    }
    let text = texts.concat();
    let choice = if chat {
        json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": "stop" })
    };
    let usage = json!({ "prompt_tokens": 1, "completion_tokens": requested, "total_tokens": requested + 1 });
    let answer =
        json!({ "id": "c", "object": "chat.completion", "choices": [choice], "usage": usage });
    let limit = engine.lock().limit;
    web::json_with_limit(request, &answer, limit);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for a model engine: continuous batching in steps, a limited
//! cache of prompt prefixes, priorities, cancel, and a run log.
//!
//! An answer's tokens are `WORD:0 WORD:1 ...`, where WORD is the last word of
//! the prompt, so that a caller can tell its own answer. `POST
//! /control/mode` takes `ok`, `freeze` (no steps), `busy` (503 to new
//! requests), `rest N` (the same, and it asks for a rest of N milliseconds), `break N` (close each stream after N tokens) or `hold N` (make
//! N tokens of each answer and no more until told otherwise). `POST /control/limit`
//! takes the requests a second that its answers name as its limit, or `none`.

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

/// Characters of a prompt that are cached as its prefix.
const PREFIX: usize = 256;
/// Tokens of an answer when the request does not say.
const TOKENS: u64 = 16;

/// Size and speed.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Milliseconds of a step.
    pub step: u64,
    /// Sequences of a step.
    pub batch: usize,
    /// Steps of a prompt that is not cached; a cached one takes one.
    pub prefill: u64,
    /// Prefixes cached.
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
    id: String,
    run: usize,
    priority: u64,
    prefill: u64,
    made: u64,
    wanted: u64,
    out: mpsc::Sender<u64>,
}

struct State {
    mode: Mode,
    /// What its answers name as the requests a second that it takes.
    limit: Option<f64>,
    batch: usize,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cached: VecDeque<String>,
    hits: u64,
    runs: Vec<Value>,
    /// When it turned requests away and asked for a rest. Milliseconds since the Unix epoch.
    turned: Vec<u64>,
}

/// An engine.
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
    /// Opens an engine that does nothing until it is stepped.
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
            turned: Vec::new(),
        };
        Arc::new(Self { options, state: Mutex::new(state) })
    }

    /// Whether an answer is to break off before this token.
    fn breaks_at(&self, token: u64) -> bool {
        matches!(self.lock().mode, Mode::Break(it) if token >= it)
    }

    /// Makes one step, unless it is frozen.
    pub fn step(&self) {
        let mut state = self.lock();
        if state.mode != Mode::Freeze {
            state.step();
        }
    }
}

/// Runs the stand-in.
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
            let Some(best) = self.best_waiting() else {
                break;
            };
            self.running.extend(self.waiting.remove(best));
        }
        let mode = self.mode;
        let runs = &mut self.runs;
        self.running.retain_mut(|it| {
            if mode == Mode::Hold(it.made) {
                return true;
            }
            if it.prefill > 0 {
                it.prefill -= 1;
                return true;
            }
            let heard = it.out.send(it.made).is_ok();
            it.made += 1;
            runs[it.run]["tokens"] = it.made.into();
            let done = it.made >= it.wanted;
            if !heard {
                runs[it.run]["end"] = "gone".into();
            } else if done {
                runs[it.run]["end"] = "done".into();
            }
            heard && !done
        });
    }

    /// The oldest of the highest priority.
    fn best_waiting(&self) -> Option<usize> {
        let rank = |(index, it): &(usize, &Sequence)| (it.priority, std::cmp::Reverse(*index));
        self.waiting.iter().enumerate().max_by_key(rank).map(|it| it.0)
    }

    fn cancel(&mut self, id: &str) {
        for it in self.running.iter().chain(&self.waiting).filter(|it| it.id == id) {
            self.runs[it.run]["end"] = "cancelled".into();
        }
        self.running.retain(|it| it.id != id);
        self.waiting.retain(|it| it.id != id);
    }

    /// Whether the prefix is cached; it is from now on.
    fn cache(&mut self, prefix: String, size: usize) -> bool {
        let found = self.cached.iter().position(|it| *it == prefix);
        if let Some(at) = found {
            self.cached.remove(at);
            self.hits += 1;
        }
        self.cached.push_back(prefix);
        if self.cached.len() > size {
            self.cached.pop_front();
        }
        found.is_some()
    }
}

/// Answers a request for a path.
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
            let turned = engine.lock().turned.clone();
            web::json(request, 200, &json!(turned));
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
                &json!({ "error": "ok, freeze, busy, rest N, break N or hold N" }),
            );
            return;
        }
    };
    engine.lock().mode = mode;
    web::json(request, 200, &json!({ "mode": format!("{mode:?}") }));
}

fn complete(engine: &Engine, request: Request, path: &str, body: &str) {
    let Ok(asked) = serde_json::from_str::<Value>(body) else {
        web::json(request, 400, &json!({ "error": "not JSON" }));
        return;
    };
    let prompt = prompt_of(&asked);
    let id = web::header(&request, "x-request-id");
    let wanted = asked["max_tokens"].as_u64().unwrap_or(TOKENS).max(1);
    let (out, tokens) = mpsc::channel();
    {
        let mut state = engine.lock();
        if state.mode == Mode::Busy {
            drop(state);
            web::json(request, 503, &json!({ "error": "busy" }));
            return;
        }
        if let Mode::Rest(rest) = state.mode {
            state.turned.push(clock::now());
            drop(state);
            web::turn_away(request, rest);
            return;
        }
        let prefix: String = prompt.chars().take(PREFIX).collect();
        let cached = state.cache(prefix, engine.options.cache);
        let run = state.runs.len();
        let customer = web::header(&request, "x-customer");
        let entry = json!({ "id": id, "customer": customer, "prompt": prompt, "tokens": 0, "end": "running", "at": clock::now() });
        state.runs.push(entry);
        let priority = web::header(&request, "x-priority").parse().unwrap_or(1);
        let prefill = if cached { 1 } else { engine.options.prefill };
        state.waiting.push_back(Sequence { id, run, priority, prefill, made: 0, wanted, out });
    }
    let word = prompt.split_whitespace().last().unwrap_or("").to_owned();
    let chat = path.contains("chat");
    if asked["stream"].as_bool().unwrap_or(false) {
        stream(engine, request, &tokens, &word, chat, wanted);
    } else {
        whole(engine, request, &tokens, &word, chat, wanted);
    }
}

fn prompt_of(asked: &Value) -> String {
    if let Some(messages) = asked["messages"].as_array() {
        let parts = messages.iter().map(|it| it["content"].as_str().unwrap_or(""));
        return parts.collect::<Vec<_>>().join("\n");
    }
    asked["prompt"].as_str().unwrap_or("").to_owned()
}

fn stream(
    engine: &Engine,
    request: Request,
    tokens: &mpsc::Receiver<u64>,
    word: &str,
    chat: bool,
    wanted: u64,
) {
    let limit = engine.lock().limit.map(|it| it.to_string());
    let limit = limit.iter().map(|it| (web::LIMIT, it.as_str()));
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
    if sent == wanted {
        let _ = out.part(b"data: [DONE]\n\n");
        return;
    }
    // An answer that broke off must not look whole.
    let _ = out.spoil();
}

fn whole(
    engine: &Engine,
    request: Request,
    tokens: &mpsc::Receiver<u64>,
    word: &str,
    chat: bool,
    wanted: u64,
) {
    let made: Vec<String> = tokens
        .iter()
        .take_while(|it| !engine.breaks_at(*it))
        .map(|it| format!("{word}:{it} "))
        .collect();
    if made.len() as u64 != wanted {
        web::json(request, 500, &json!({ "error": "cancelled" }));
        return;
    }
    let text = made.concat();
    let choice = if chat {
        json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": "stop" })
    };
    let usage =
        json!({ "prompt_tokens": 1, "completion_tokens": wanted, "total_tokens": wanted + 1 });
    let answer =
        json!({ "id": "c", "object": "chat.completion", "choices": [choice], "usage": usage });
    let limit = engine.lock().limit;
    web::json_with_limit(request, &answer, limit);
}

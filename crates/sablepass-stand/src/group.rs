// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for a group of engines whose ranks step together on an expert map.
//!
//! Member K serves, under `/member/K`, the paths of an engine and also `/state` (its
//! register), `/map`, `/experts` (token counts, up to 20 steps old) and `POST /order`. The
//! group makes a step only when the registers of all members allow it; the duration of a step
//! is determined by the most loaded rank of each layer. `GET /control/steps` returns the map
//! digest of every rank for each range of steps. `POST /control/mode` takes `wave N` (draw
//! other popular experts with seed N), `stall MS` (delay the next step, as one stopped rank
//! does), `store slow MS`, `store refuse` and `store ok`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::expert::map::{Map, Shape};
use sablepass_core::expert::switch::{Order, Register};
use serde::Deserialize;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::engine::{self, Engine};
use crate::{Error, web};

/// Tokens routed by one layer in one step.
const TOKENS_PER_STEP: f64 = 32_768.0;
/// Popular experts per layer, and their weight relative to the other experts.
const HOT_EXPERTS: (usize, f64) = (3, 6.0);
/// Interval at which the published token counts are updated, in steps.
const COUNT_INTERVAL_STEPS: u64 = 20;
/// Polling interval while a register forbids the next step.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Size and speed of the group.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of a step under even load, in milliseconds.
    pub step: u64,
    /// Number of members, each with an engine.
    pub members: usize,
    /// Ranks, layers, experts and slots.
    pub shape: Shape,
    /// Time to load the weights of one expert, in milliseconds.
    pub load: u64,
    /// Orders with an outdated fence are accepted.
    pub ignores_fences: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Store {
    Ok,
    Slow(u64),
    Refuse,
}

/// State of a member, the same for all of its ranks.
struct Member {
    register: Register,
    fence: u64,
    map: Map,
    /// Digest and map loaded by an arm order, used from the switch on.
    staged: Option<(u64, Map)>,
}

/// Range of consecutive steps in which no rank changed its map.
struct StepRange {
    from: u64,
    to: u64,
    /// Map digest of each rank.
    maps: Vec<u64>,
}

struct State {
    members: Vec<Member>,
    /// Tokens per step of each expert, by layer.
    tokens: Vec<Vec<f64>>,
    /// Step and `tokens` of the last published counts.
    counts: (u64, Vec<Vec<f64>>),
    steps: Vec<StepRange>,
    store: Store,
    /// Additional duration of the next step, in milliseconds.
    stall_ms: u64,
    /// Number of polls at which a register forbade the next step.
    blocked_polls: u64,
}

struct Group {
    options: Options,
    engines: Vec<Arc<Engine>>,
    state: Mutex<State>,
}

impl Group {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the stand-in.
pub fn run(addr: SocketAddr, options: Options) -> Result<(), Error> {
    let map = Map::even(options.shape)?;
    let register = Register { step: 1, ..Register::default() };
    let member = || Member { register, fence: 0, map: map.clone(), staged: None };
    let tokens = popularity(options.shape, 0);
    let state = State {
        members: (0..options.members).map(|_| member()).collect(),
        counts: (0, tokens.clone()),
        tokens,
        steps: Vec::new(),
        store: Store::Ok,
        stall_ms: 0,
        blocked_polls: 0,
    };
    let batch = engine::Options { step: options.step, batch: 32, prefill: 4, cache: 64 };
    let engines = (0..options.members).map(|_| Engine::open(batch)).collect();
    let group = Arc::new(Group { options, engines, state: Mutex::new(state) });
    let stepper = group.clone();
    std::thread::spawn(move || step_forever(&stepper));
    web::serve(addr, "http", move |request| handle(&group, request))
}

/// Draws the popular experts; returns the tokens per step of each expert, by layer.
fn popularity(shape: Shape, seed: u64) -> Vec<Vec<f64>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut layer = || {
        let mut weights = vec![1.0; shape.experts];
        for _ in 0..HOT_EXPERTS.0 {
            weights[rng.random_range(0..shape.experts)] = HOT_EXPERTS.1;
        }
        let sum: f64 = weights.iter().sum();
        weights.into_iter().map(|it| it / sum * TOKENS_PER_STEP).collect()
    };
    (0..shape.layers).map(|_| layer()).collect()
}

fn step_forever(group: &Group) {
    loop {
        let Some(length) = step(group) else {
            std::thread::sleep(BLOCKED_POLL_INTERVAL);
            continue;
        };
        for engine in &group.engines {
            engine.step();
        }
        std::thread::sleep(length);
    }
}

/// Makes one step and returns its duration; `None` if the register of a member forbids it.
fn step(group: &Group) -> Option<Duration> {
    let mut state = group.lock();
    let stall = Duration::from_millis(std::mem::take(&mut state.stall_ms));
    if !state.members.iter().all(|it| it.register.may_step()) {
        state.blocked_polls += 1;
        return None;
    }
    let number = state.members[0].register.step;
    for it in &mut state.members {
        it.advance();
    }
    let ranks = group.options.shape.ranks / group.options.members;
    let digests = state.members.iter().map(|it| it.map.digest());
    let maps = digests.flat_map(|it| std::iter::repeat_n(it, ranks)).collect();
    state.record(number, maps);
    if number.is_multiple_of(COUNT_INTERVAL_STEPS) {
        state.counts = (number, state.tokens.clone());
    }
    let skews = state.members[0].map.skews(&state.tokens);
    let skew = skews.iter().sum::<f64>() / skews.len() as f64;
    Some(Duration::from_millis(group.options.step).mul_f64(skew) + stall)
}

impl Member {
    fn advance(&mut self) {
        let before = self.register.current;
        self.register.advance();
        if self.register.current == before {
            return;
        }
        let current = self.register.current.map(|it| it.digest);
        if let Some((digest, map)) = self.staged.take()
            && Some(digest) == current
        {
            self.map = map;
        }
    }
}

impl State {
    fn record(&mut self, step: u64, maps: Vec<u64>) {
        match self.steps.last_mut() {
            Some(last) if last.maps == maps => last.to = step,
            _ => self.steps.push(StepRange { from: step, to: step, maps }),
        }
    }
}

fn handle(group: &Group, mut request: Request) {
    let path = web::path(&request);
    let member = path.strip_prefix("/member/").and_then(|it| it.split_once('/'));
    if let Some((number, rest)) = member
        && let Some(index) = number.parse().ok().filter(|it| *it < group.engines.len())
    {
        let rest = format!("/{rest}");
        handle_member(group, request, index, &rest);
        return;
    }
    match (request.method().clone(), path.as_str()) {
        (Method::Get, "/control/steps") => {
            let state = group.lock();
            let line = |it: &StepRange| json!({ "from": it.from, "to": it.to, "maps": it.maps });
            let steps: Vec<Value> = state.steps.iter().map(line).collect();
            let blocked_polls = state.blocked_polls;
            drop(state);
            web::json(request, 200, &json!({ "steps": steps, "held": blocked_polls }));
        }
        (Method::Post, "/control/mode") => {
            let text = web::body(&mut request);
            set_mode(group, request, text.trim());
        }
        _ => web::json(request, 404, &json!({ "error": "unknown path" })),
    }
}

fn set_mode(group: &Group, request: Request, text: &str) {
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    let number: u64 = rest.rsplit(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut state = group.lock();
    match (word, rest.split(' ').next()) {
        ("wave", _) => state.tokens = popularity(group.options.shape, number),
        ("stall", _) => state.stall_ms = number,
        ("store", Some("slow")) => state.store = Store::Slow(number),
        ("store", Some("refuse")) => state.store = Store::Refuse,
        ("store", Some("ok")) => state.store = Store::Ok,
        _ => {
            drop(state);
            web::json(
                request,
                400,
                &json!({ "error": "unknown mode; expected wave N, stall MS, store ok, store slow MS or store refuse" }),
            );
            return;
        }
    }
    drop(state);
    web::json(request, 200, &json!({}));
}

/// Body of `POST /order`: the order, its fence, and the map to load if it is an arm order.
#[derive(Deserialize)]
struct OrderRequest {
    fence: u64,
    order: Order,
    #[serde(default)]
    map: Vec<u8>,
}

fn handle_member(group: &Group, mut request: Request, index: usize, path: &str) {
    match (request.method().clone(), path) {
        (Method::Get, "/state") => {
            let register = group.lock().members[index].register;
            web::json(request, 200, &json!(register));
        }
        (Method::Get, "/map") => {
            let map = group.lock().members[index].map.encode();
            web::json(request, 200, &json!(map));
        }
        (Method::Get, "/experts") => {
            let (step, tokens) = group.lock().counts.clone();
            web::json(request, 200, &json!({ "step": step, "tokens": tokens }));
        }
        (Method::Post, "/order") => {
            let text = web::body(&mut request);
            match serde_json::from_str::<OrderRequest>(&text) {
                Ok(body) => order(group, request, index, body),
                Err(e) => web::json(request, 400, &json!({ "error": e.to_string() })),
            }
        }
        _ => engine::handle(&group.engines[index], request, path),
    }
}

fn order(group: &Group, request: Request, index: usize, body: OrderRequest) {
    let staged = match body.order {
        Order::Arm(plan) => match load(group, index, &body.map) {
            Some(map) => Some((plan.digest, map)),
            None => {
                web::json(
                    request,
                    503,
                    &json!({ "error": "the weight store refuses to load the map" }),
                );
                return;
            }
        },
        Order::Bar(_) | Order::Commit(_) | Order::Abort(_) => None,
    };
    let mut state = group.lock();
    let member = &mut state.members[index];
    if body.fence < member.fence && !group.options.ignores_fences {
        drop(state);
        web::json(
            request,
            409,
            &json!({ "error": "the fence is older than that of an earlier order" }),
        );
        return;
    }
    member.fence = member.fence.max(body.fence);
    if member.register.apply(body.order) && staged.is_some() {
        member.staged = staged;
    }
    let register = member.register;
    drop(state);
    web::json(request, 200, &json!(register));
}

/// Loads a map while the current one stays in use, and sleeps for the loading time. Returns
/// `None` if the map is invalid or the store refuses.
fn load(group: &Group, index: usize, bytes: &[u8]) -> Option<Map> {
    let map = Map::parse(group.options.shape, bytes).ok()?;
    let (moves, store) = {
        let state = group.lock();
        (map.moves_from(&state.members[index].map), state.store)
    };
    // The members load in parallel, each the share of its own ranks.
    let load_ms = moves as u64 / group.options.members as u64 * group.options.load;
    let total_ms = match store {
        Store::Ok => load_ms,
        Store::Slow(ms) => load_ms + ms,
        Store::Refuse => return None,
    };
    std::thread::sleep(Duration::from_millis(total_ms));
    Some(map)
}

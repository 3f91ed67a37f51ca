// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for the users' metadata store: range reads and watches of keys,
//! on threads of the test that starts it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use tiny_http::Request;

use crate::http;

/// How long a slow one takes.
const SLOW: Duration = Duration::from_millis(300);

/// How it behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Up,
    /// It refuses all calls.
    Down,
    /// It takes calls and never answers.
    Silent,
    /// It takes 300 ms for each answer.
    Slow,
    /// It refuses every second call.
    Refusing,
}

#[derive(Clone, Debug)]
struct Item {
    revision: u64,
    /// None is a removal, kept as history.
    value: Option<String>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revisions up to this one are no longer in the history.
    forgotten: u64,
    /// Text of the field that names its era; none in answers of a store that has none.
    era: Option<String>,
    /// A further field of its answers.
    field: Option<&'static str>,
    /// Most items of a page, and what happens once the first page of a read is answered.
    page: usize,
    /// Each page of a read names another era.
    flips: bool,
    after_page: Option<(Copy, u64)>,
    calls: u64,
}

/// An answer, with the era in which it was made.
struct Reply {
    status: u16,
    body: Value,
    era: Option<String>,
}

/// What it held at some moment.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

impl State {
    fn restore(&mut self, copy: &Copy, era: u64) {
        self.revision = copy.revision;
        self.items = copy.items.clone();
        self.era = Some(era.to_string());
    }
}

/// The store. It serves until the process ends.
#[derive(Clone, Debug)]
pub struct Store {
    /// Where it serves.
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn spawn() -> Self {
        let (server, addr) = http::bind(([127, 0, 0, 1], 0).into()).expect("the store listens");
        let state = State {
            mode: Mode::Up,
            revision: 100,
            items: BTreeMap::new(),
            forgotten: 0,
            era: Some("1".to_owned()),
            field: None,
            page: 500,
            flips: false,
            after_page: None,
            calls: 0,
        };
        let store = Self { addr, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        std::thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let store = serving.clone();
                std::thread::spawn(move || store.answer(request));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it behaves.
    pub fn set(&self, mode: Mode) {
        self.lock().mode = mode;
        self.state.1.notify_all();
    }

    /// Writes a value, given as text. Its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(BASE64_STANDARD.encode(value)))
    }

    /// Writes what is not base64.
    pub fn put_raw(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value.to_owned()))
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), Item { revision, value });
        self.state.1.notify_all();
        revision
    }

    /// Forgets its history, so that watches from before get no answer.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.forgotten = state.revision;
        self.state.1.notify_all();
    }

    /// Revision at which a key was last written or removed.
    pub fn written(&self, key: &str) -> Option<u64> {
        self.lock().items.get(key).map(|it| it.revision)
    }

    /// Its revision, which every change raises.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Takes a copy of it.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy { revision: state.revision, items: state.items.clone() }
    }

    /// Replaces what it holds by a copy, from which it goes on in this era. Later revisions
    /// are given out again.
    pub fn restore(&self, copy: &Copy, era: u64) {
        self.lock().restore(copy, era);
        self.state.1.notify_all();
    }

    /// Answers reads by pages of so many items, and is restored between the first page of the
    /// next read and its second.
    pub fn restore_within_read(&self, items: usize, copy: &Copy, era: u64) {
        let mut state = self.lock();
        state.page = items;
        state.after_page = Some((copy.clone(), era));
    }

    /// Answers reads by pages of so many items, each of which names another era.
    pub fn flip(&self, items: usize) {
        let mut state = self.lock();
        state.page = items;
        state.flips = true;
    }

    /// Changes the field that names its era; none leaves it out.
    pub fn name_era(&self, text: Option<&str>) {
        self.lock().era = text.map(str::to_owned);
    }

    /// Adds a field of this name to its answers.
    pub fn name_field(&self, name: &'static str) {
        self.lock().field = Some(name);
    }

    /// Calls taken so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn answer(&self, request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map_or("", |it| it.1).to_owned()
        };
        let prefix = field("pathPrefix");
        let (mode, calls, era) = {
            let mut state = self.lock();
            state.calls += 1;
            (state.mode, state.calls, state.era.clone())
        };
        if mode == Mode::Slow {
            std::thread::sleep(SLOW);
        }
        let refused = mode == Mode::Refusing && calls.is_multiple_of(2);
        let Reply { status, body, era } = match (mode, path) {
            _ if refused => Reply { status: 429, body: json!({ "error": "too many calls" }), era },
            (Mode::Down, _) => Reply { status: 503, body: json!({ "error": "down" }), era },
            (Mode::Silent, _) => {
                self.wait_for_voice();
                return;
            }
            (_, "/-/kv-range") => self.range(&prefix, &field("after")),
            (_, "/-/kv-watch") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                self.watch(&prefix, after, wait)
            }
            (_, _) => Reply { status: 400, body: json!({ "error": "no such call" }), era },
        };
        let mut response = http::answer_json(status, &body);
        if let Some(field) = era.and_then(|it| http::header("Store-Era", &it)) {
            response.add_header(field);
        }
        let field = self.lock().field;
        if let Some(field) = field.and_then(|it| http::header(it, "1")) {
            response.add_header(field);
        }
        // The asker may be gone.
        let _ = request.respond(response);
    }

    fn wait_for_voice(&self) {
        let silent = |state: &mut State| state.mode == Mode::Silent;
        let held = self.state.1.wait_while(self.lock(), silent);
        drop(held.unwrap_or_else(PoisonError::into_inner));
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let mut state = self.lock();
        let live = state.items.iter().filter(|(key, it)| {
            key.starts_with(prefix) && key.as_str() > after && it.value.is_some()
        });
        let mut items: Vec<Value> = live.map(|(key, it)| item(key, it)).collect();
        let more = items.len() > state.page;
        items.truncate(state.page);
        let body = json!({ "items": items, "more": more, "at": state.revision });
        let reply = Reply { status: 200, body, era: state.era.clone() };
        if state.flips {
            let era = if state.era.as_deref() == Some("2") { "3" } else { "2" };
            state.era = Some(era.to_owned());
        }
        if more && let Some((copy, era)) = state.after_page.take() {
            state.restore(&copy, era);
            self.state.1.notify_all();
        }
        reply
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let reply = |state: &State, status, body| Reply { status, body, era: state.era.clone() };
        loop {
            if after < state.forgotten || after > state.revision {
                return reply(&state, 410, json!({ "error": "history gone" }));
            }
            if matches!(state.mode, Mode::Down | Mode::Silent) {
                return reply(&state, 503, json!({ "error": "down" }));
            }
            let newer = state
                .items
                .iter()
                .filter(|(key, it)| key.starts_with(prefix) && it.revision > after);
            let mut events: Vec<(u64, Value)> =
                newer.map(|(key, it)| (it.revision, item(key, it))).collect();
            events.sort_by_key(|it| it.0);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<Value> = events.into_iter().map(|it| it.1).collect();
                return reply(&state, 200, json!({ "events": events, "at": state.revision }));
            }
            let held = self.state.1.wait_timeout(state, left);
            state = held.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, it: &Item) -> Value {
    match &it.value {
        Some(value) => json!({
            "tlsKey": key, "value": value, "revision": it.revision, "made": it.revision, "lease": 0,
        }),
        None => json!({ "tlsKey": key, "revision": it.revision, "gone": true }),
    }
}

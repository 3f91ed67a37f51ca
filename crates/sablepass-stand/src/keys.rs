// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for the users' metadata store: range reads and watches of keys, served by threads of
//! the test that starts it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use tiny_http::Request;

use crate::http;

/// Delay of each response in [`Mode::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(300);

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves all calls.
    Up,
    /// Refuses all calls with 503.
    Down,
    /// Accepts calls and does not respond; the calls are dropped when the mode changes.
    Silent,
    /// Responds after 300 ms.
    Slow,
    /// Refuses every second call with 429.
    Refusing,
}

#[derive(Clone, Debug)]
struct Item {
    revision: u64,
    content: Content,
}

/// Content of an item.
#[derive(Clone, Debug)]
enum Content {
    /// Value in base64.
    Value(String),
    /// The item exists, but has no value.
    NoValue,
    /// The whole item as it is sent, which need not be a valid one.
    Whole(String),
    /// The key was removed; it is kept for watches.
    Gone,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// First revision from which a watch may start; the history before it is discarded.
    history_start: u64,
    /// Value of the `Store-Era` header of responses; `None` leaves the header out.
    era: Option<String>,
    /// Name of an additional header of responses.
    extra_header: Option<&'static str>,
    /// Maximum number of items in a page of a range read.
    page_items: usize,
    /// The era changes after each page of a range read.
    era_changes_per_page: bool,
    /// Backup and era to restore after the next page that has a successor.
    restore_after_page: Option<(Backup, u64)>,
    /// Older contents with which the pages of range reads after the first one are answered.
    stale_pages: Option<Backup>,
    /// Number of calls received.
    calls: u64,
}

/// A response, with the era in which it was made.
struct Reply {
    status: u16,
    body: Value,
    era: Option<String>,
}

/// Backup of the contents of the store at one revision.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    items: BTreeMap<String, Item>,
}

impl State {
    fn restore(&mut self, backup: &Backup, era: u64) {
        self.revision = backup.revision;
        self.items = backup.items.clone();
        self.era = Some(era.to_string());
    }
}

/// The store. It serves until the process ends; clones share its contents.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address it listens on.
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store in era 1.
    pub fn spawn() -> Self {
        let (server, addr) =
            http::bind(([127, 0, 0, 1], 0).into()).expect("the store can listen on a free port");
        let state = State {
            mode: Mode::Up,
            revision: 100,
            items: BTreeMap::new(),
            history_start: 0,
            era: Some("1".to_owned()),
            extra_header: None,
            page_items: 500,
            era_changes_per_page: false,
            restore_after_page: None,
            stale_pages: None,
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

    /// Changes the behaviour of the store.
    pub fn set(&self, mode: Mode) {
        self.lock().mode = mode;
        self.state.1.notify_all();
    }

    /// Writes a value in base64; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Content::Value(BASE64_STANDARD.encode(value)))
    }

    /// Writes a value without encoding it, for values that are not valid base64.
    pub fn put_raw(&self, key: &str, value: &str) -> u64 {
        self.change(key, Content::Value(value.to_owned()))
    }

    /// Writes an item without a value; returns its revision.
    pub fn put_without_value(&self, key: &str) -> u64 {
        self.change(key, Content::NoValue)
    }

    /// Writes an item that is sent as this text; returns its revision.
    pub fn put_item(&self, key: &str, text: &str) -> u64 {
        self.change(key, Content::Whole(text.to_owned()))
    }

    /// Removes a key; returns the revision of the removal.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, Content::Gone)
    }

    fn change(&self, key: &str, content: Content) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), Item { revision, content });
        self.state.1.notify_all();
        revision
    }

    /// Discards the history, so that watches from an earlier revision are refused with 410.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.history_start = state.revision;
        self.state.1.notify_all();
    }

    /// Revision at which a key was last written or removed.
    pub fn key_revision(&self, key: &str) -> Option<u64> {
        self.lock().items.get(key).map(|it| it.revision)
    }

    /// Current revision, which every change increments.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Takes a backup of the contents.
    pub fn backup(&self) -> Backup {
        let state = self.lock();
        Backup { revision: state.revision, items: state.items.clone() }
    }

    /// Replaces the contents by a backup and continues in this era. Revisions later than the
    /// backup are assigned a second time.
    pub fn restore(&self, backup: &Backup, era: u64) {
        self.lock().restore(backup, era);
        self.state.1.notify_all();
    }

    /// Sets the page size of range reads, and restores the backup between the first and the second
    /// page of the next range read.
    pub fn restore_within_read(&self, items: usize, backup: &Backup, era: u64) {
        let mut state = self.lock();
        state.page_items = items;
        state.restore_after_page = Some((backup.clone(), era));
    }

    /// Sets the page size of range reads, and answers all pages but the first one with older
    /// contents of the same era, at their older revision.
    pub fn set_stale_pages(&self, items: usize, older: Option<&Backup>) {
        let mut state = self.lock();
        state.page_items = items;
        state.stale_pages = older.cloned();
    }

    /// Sets the page size of range reads, and alternates between two eras from page to page.
    pub fn alternate_eras(&self, items: usize) {
        let mut state = self.lock();
        state.page_items = items;
        state.era_changes_per_page = true;
    }

    /// Sets the value of the `Store-Era` header; `None` leaves the header out.
    pub fn set_era_header(&self, text: Option<&str>) {
        self.lock().era = text.map(str::to_owned);
    }

    /// Adds a header of this name to all responses.
    pub fn set_extra_header(&self, name: &'static str) {
        self.lock().extra_header = Some(name);
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn answer(&self, request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map_or("", |it| it.1).to_owned()
        };
        let prefix = parameter("pathPrefix");
        let (mode, calls, era) = {
            let mut state = self.lock();
            state.calls += 1;
            (state.mode, state.calls, state.era.clone())
        };
        if mode == Mode::Slow {
            std::thread::sleep(SLOW_DELAY);
        }
        let refused = mode == Mode::Refusing && calls.is_multiple_of(2);
        let Reply { status, body, era } = match (mode, path) {
            _ if refused => Reply { status: 429, body: json!({ "error": "too many calls" }), era },
            (Mode::Down, _) => {
                Reply { status: 503, body: json!({ "error": "the store is down" }), era }
            }
            (Mode::Silent, _) => {
                self.wait_while_silent();
                return;
            }
            (_, "/-/kv-range") => self.range(&prefix, &parameter("after")),
            (_, "/-/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                self.watch(&prefix, after, wait)
            }
            (_, _) => Reply { status: 400, body: json!({ "error": "unknown call" }), era },
        };
        let text = self.insert_whole_items(body.to_string());
        let mut response = http::answer(status, "application/json", text.into_bytes());
        if let Some(header) = era.and_then(|it| http::header("Store-Era", &it)) {
            response.add_header(header);
        }
        let extra = self.lock().extra_header;
        if let Some(header) = extra.and_then(|it| http::header(it, "1")) {
            response.add_header(header);
        }
        // The caller may have closed the connection.
        let _ = request.respond(response);
    }

    /// Replaces the placeholders of items that are sent as they are.
    fn insert_whole_items(&self, mut text: String) -> String {
        for (key, it) in &self.lock().items {
            if let Content::Whole(item) = &it.content {
                text = text.replace(&placeholder(key).to_string(), item);
            }
        }
        text
    }

    /// Blocks until the mode is no longer [`Mode::Silent`].
    fn wait_while_silent(&self) {
        let silent = |state: &mut State| state.mode == Mode::Silent;
        let guard = self.state.1.wait_while(self.lock(), silent);
        drop(guard.unwrap_or_else(PoisonError::into_inner));
    }

    /// One page of the items under `prefix` with keys later than `after`.
    fn range(&self, prefix: &str, after: &str) -> Reply {
        let mut state = self.lock();
        let older = state.stale_pages.as_ref().filter(|_| !after.is_empty());
        let (all, revision) =
            older.map_or((&state.items, state.revision), |it| (&it.items, it.revision));
        let live = all.iter().filter(|(key, it)| {
            key.starts_with(prefix) && key.as_str() > after && !matches!(it.content, Content::Gone)
        });
        let mut items: Vec<Value> = live.map(|(key, it)| item(key, it)).collect();
        let more = items.len() > state.page_items;
        items.truncate(state.page_items);
        let body = json!({ "items": items, "more": more, "at": revision });
        let reply = Reply { status: 200, body, era: state.era.clone() };
        if state.era_changes_per_page {
            let era = if state.era.as_deref() == Some("2") { "3" } else { "2" };
            state.era = Some(era.to_owned());
        }
        if more && let Some((backup, era)) = state.restore_after_page.take() {
            state.restore(&backup, era);
            self.state.1.notify_all();
        }
        reply
    }

    /// Changes under `prefix` later than revision `after`; waits for one until the timeout.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        let reply = |state: &State, status, body| Reply { status, body, era: state.era.clone() };
        loop {
            if after < state.history_start || after > state.revision {
                return reply(
                    &state,
                    410,
                    json!({ "error": "the history no longer has this revision" }),
                );
            }
            if matches!(state.mode, Mode::Down | Mode::Silent) {
                return reply(&state, 503, json!({ "error": "the store is down" }));
            }
            let newer = state
                .items
                .iter()
                .filter(|(key, it)| key.starts_with(prefix) && it.revision > after);
            let mut events: Vec<(u64, Value)> =
                newer.map(|(key, it)| (it.revision, item(key, it))).collect();
            events.sort_by_key(|it| it.0);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<Value> = events.into_iter().map(|it| it.1).collect();
                return reply(&state, 200, json!({ "events": events, "at": state.revision }));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, it: &Item) -> Value {
    match &it.content {
        Content::Value(value) => json!({
            "tlsKey": key, "value": value, "revision": it.revision, "made": it.revision, "lease": 0,
        }),
        Content::NoValue => json!({
            "tlsKey": key, "revision": it.revision, "made": it.revision, "lease": 0,
        }),
        Content::Whole(_) => placeholder(key),
        Content::Gone => json!({ "tlsKey": key, "revision": it.revision, "gone": true }),
    }
}

/// Stands for an item that is sent as it is.
fn placeholder(key: &str) -> Value {
    format!("whole item {key}").into()
}

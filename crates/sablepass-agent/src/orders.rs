// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Orders to the engine of a group, and readings of it, over HTTP.
//!
//! Two threads: orders are carried out one after the other, and loading the
//! weights of a map may take long; readings go on meanwhile. Each order ends
//! in a reading of the register, however often that has to be tried: the
//! register alone says what became of the order.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use sablepass_core::expert::switch::{Order, Register};
use serde::Deserialize;
use serde_json::json;
use stakker::sync::Channel;

/// How long an order may take: loading weights from a slow store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a reading may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before a failed reading is tried again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the threads are told.
#[derive(Debug)]
pub enum Command {
    /// Carry out an order, with the map that an arm order loads.
    Order(Order, Vec<u8>),
    /// Read the map in force.
    Map,
}

/// What the engine said.
#[derive(Debug)]
pub enum EngineEvent {
    /// Its register, at any time.
    Register(Register),
    /// Its register, after an order.
    Done(Register),
    /// Late counts: the step, and tokens a step by layer and expert.
    Counts(u64, Vec<Vec<f64>>),
    /// The bytes of the map in force.
    Map(Vec<u8>),
}

#[derive(Debug, Deserialize)]
struct Counts {
    step: u64,
    tokens: Vec<Vec<f64>>,
}

/// A handle on both threads. Dropping it ends them.
pub struct Orders {
    commands: mpsc::Sender<Command>,
    readings: mpsc::SyncSender<bool>,
    map_pending: Arc<AtomicBool>,
}

struct EngineClient {
    agent: ureq::Agent,
    base: String,
    fence: u64,
    events: Channel<EngineEvent>,
}

impl Orders {
    /// Starts the threads. Orders carry `fence`, which grows from agent to agent.
    pub fn spawn(base: &str, fence: u64, events: Channel<EngineEvent>) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        let engine = || EngineClient {
            agent: ureq::Agent::new_with_defaults(),
            base: base.clone(),
            fence,
            events: events.clone(),
        };
        let (commands, command_rx) = mpsc::channel();
        let map_pending = Arc::new(AtomicBool::new(false));
        let (first, second, pending) = (engine(), engine(), map_pending.clone());
        std::thread::spawn(move || {
            while let Ok(it) = command_rx.recv() {
                first.carry_out(it, &pending);
            }
        });
        let (readings, reading_rx) = mpsc::sync_channel(1);
        std::thread::spawn(move || {
            while let Ok(counts) = reading_rx.recv() {
                second.read(counts);
            }
        });
        Self { commands, readings, map_pending }
    }

    /// Gives a command.
    pub fn send(&self, it: Command) {
        // The thread ends only when this handle does.
        let _ = self.commands.send(it);
    }

    /// Asks for the map, unless that is under way.
    pub fn send_once(&self, it: Command) {
        if !self.map_pending.swap(true, Ordering::Relaxed) {
            self.send(it);
        }
    }

    /// Asks for a reading of the register, with the counts or without. False
    /// if one is waiting already.
    pub fn read(&self, counts: bool) -> bool {
        self.readings.try_send(counts).is_ok()
    }
}

impl EngineClient {
    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("{}{path}", self.base);
        let request = self.agent.get(url).config().timeout_global(Some(READ_TIMEOUT)).build();
        let text = request.call().ok()?.body_mut().read_to_string().ok()?;
        serde_json::from_str(&text).ok()
    }

    fn read(&self, counts: bool) {
        if let Some(it) = self.get("/state") {
            self.events.send(EngineEvent::Register(it));
        }
        if counts && let Some(Counts { step, tokens }) = self.get("/experts") {
            self.events.send(EngineEvent::Counts(step, tokens));
        }
    }

    fn carry_out(&self, it: Command, map_pending: &AtomicBool) {
        match it {
            Command::Order(order, map) => {
                self.order(order, &map);
                while !self.events.is_closed() {
                    if let Some(it) = self.get("/state") {
                        self.events.send(EngineEvent::Done(it));
                        return;
                    }
                    std::thread::sleep(READ_RETRY_DELAY);
                }
            }
            Command::Map => {
                if let Some(it) = self.get("/map") {
                    self.events.send(EngineEvent::Map(it));
                }
                map_pending.store(false, Ordering::Relaxed);
            }
        }
    }

    fn order(&self, order: Order, map: &[u8]) {
        let body = json!({ "fence": self.fence, "order": order, "map": map }).to_string();
        let url = format!("{}/order", self.base);
        let request = self.agent.post(url).config().timeout_global(Some(ORDER_TIMEOUT)).build();
        // Whether it was obeyed is read from the register.
        let _ = request.header("content-type", "application/json").send(body.as_str());
    }
}

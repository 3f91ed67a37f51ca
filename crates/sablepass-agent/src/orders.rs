// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Orders to the engine of a group, and readings of its state, over HTTP; used by
//! [`Group`](crate::group::Group).
//!
//! One thread executes orders one after the other; loading the weights of a map may take long.
//! A second thread makes readings meanwhile. Each order ends with a reading of the register,
//! retried until it succeeds: only the register shows the outcome of the order.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use sablepass_core::expert::switch::{Order, Register};
use serde::Deserialize;
use serde_json::json;
use stakker::sync::Channel;

/// Timeout of an order, which may load weights from slow storage.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed reading is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A command to the thread that executes orders.
#[derive(Debug)]
pub enum Command {
    /// Execute an order. The bytes are the map to load; empty except for [`Order::Arm`].
    Order(Order, Vec<u8>),
    /// Read the map in force.
    Map,
}

/// A reading of the engine.
#[derive(Debug)]
pub enum EngineEvent {
    /// The register, from a periodic reading.
    Register(Register),
    /// The register after an order.
    Done(Register),
    /// Recent counts: the step, and tokens per step by layer and expert.
    Counts(u64, Vec<Vec<f64>>),
    /// The bytes of the map in force.
    Map(Vec<u8>),
}

#[derive(Debug, Deserialize)]
struct Counts {
    step: u64,
    tokens: Vec<Vec<f64>>,
}

/// Handle of both threads. Dropping it ends them.
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
    /// Starts the threads. Orders carry `fence`, which increases from one agent to its successor.
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

    /// Queues a command.
    pub fn send(&self, command: Command) {
        // Cannot fail: the thread ends only when this handle is dropped.
        let _ = self.commands.send(command);
    }

    /// Queues the command to read the map, unless one is pending.
    pub fn send_once(&self, command: Command) {
        if !self.map_pending.swap(true, Ordering::Relaxed) {
            self.send(command);
        }
    }

    /// Requests a reading of the register, and of the counts if `counts` is set. Returns false if a
    /// reading is already queued.
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
        if let Some(register) = self.get("/state") {
            self.events.send(EngineEvent::Register(register));
        }
        if counts && let Some(Counts { step, tokens }) = self.get("/experts") {
            self.events.send(EngineEvent::Counts(step, tokens));
        }
    }

    fn carry_out(&self, command: Command, map_pending: &AtomicBool) {
        match command {
            Command::Order(order, map) => {
                self.order(order, &map);
                while !self.events.is_closed() {
                    if let Some(register) = self.get("/state") {
                        self.events.send(EngineEvent::Done(register));
                        return;
                    }
                    std::thread::sleep(READ_RETRY_DELAY);
                }
            }
            Command::Map => {
                if let Some(map) = self.get("/map") {
                    self.events.send(EngineEvent::Map(map));
                }
                map_pending.store(false, Ordering::Relaxed);
            }
        }
    }

    fn order(&self, order: Order, map: &[u8]) {
        let body = json!({ "fence": self.fence, "order": order, "map": map }).to_string();
        let url = format!("{}/order", self.base);
        let request = self.agent.post(url).config().timeout_global(Some(ORDER_TIMEOUT)).build();
        // The outcome is read from the register.
        let _ = request.header("content-type", "application/json").send(body.as_str());
    }
}

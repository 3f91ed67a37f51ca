// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP client of the target of this agent: runs attempts, cancels them, and reads the load.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use sablepass_core::id::{AttemptId, Millis};
use sablepass_edge::clock;
use serde::Deserialize;
use stakker::sync::Channel;
use ureq::unversioned::resolver::DefaultResolver;

use crate::run::{self, Job, Part};
use crate::settings::Settings;
use crate::transport;

/// Interval between readings of an engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for connecting to the target, for reading its load, and for a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of a call's input buffer and of its output buffer. The library's default is sixteen
/// times as large, at which a run takes 300 KB.
const BUFFER_BYTES: usize = 8 * 1024;
/// Stack size of the thread of a run.
const STACK_BYTES: usize = 256 * 1024;

/// Load that the engine reported.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of requests that run or wait on the engine.
    pub requests: u32,
    /// Time of the reading.
    pub at: Millis,
}

/// Body of the engine's answer to a load query.
#[derive(Debug, Deserialize)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
}

/// Handle of the target. Dropping it ends the threads that read the load and send
/// cancellations.
pub struct Target {
    agent: ureq::Agent,
    base: Arc<str>,
    engine: bool,
    read: Duration,
    cancels: mpsc::Sender<AttemptId>,
}

impl Target {
    /// Creates the handle and, for an engine, starts the threads that read its load and cancel
    /// attempts.
    pub fn open(settings: &Settings, loads: Channel<Load>) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONTROL_TIMEOUT))
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections_per_host(settings.limit)
            .build();
        let agent =
            ureq::Agent::with_parts(config, transport::connector(), DefaultResolver::default());
        let base: Arc<str> = settings.target.trim_end_matches('/').into();
        let (cancels, cancel_rx) = mpsc::channel();
        if settings.engine {
            spawn_load_reader(agent.clone(), base.clone(), loads);
            spawn_canceller(agent.clone(), base.clone(), cancel_rx);
        }
        let read = Duration::from_millis(settings.read);
        Self { agent, base, engine: settings.engine, read, cancels }
    }

    /// Returns whether the target is a model engine.
    pub fn is_engine(&self) -> bool {
        self.engine
    }

    /// Requests that the engine stop an attempt. Does nothing if the target is not an engine.
    pub fn cancel(&self, attempt: AttemptId) {
        if self.engine {
            // Cannot fail: the thread ends only when this handle is dropped.
            let _ = self.cancels.send(attempt);
        }
    }

    /// Runs a job on a thread of its own, which sends the parts of the answer to `parts`. Returns
    /// false if no thread could be created.
    pub fn spawn(&self, job: Job, parts: Channel<Part>) -> bool {
        let (agent, base, engine, read) =
            (self.agent.clone(), self.base.clone(), self.engine, self.read);
        let work = move || run::run(&agent, &base, engine, read, job, &parts);
        std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work).is_ok()
    }
}

fn spawn_load_reader(agent: ureq::Agent, base: Arc<str>, loads: Channel<Load>) {
    std::thread::spawn(move || {
        while !loads.is_closed() {
            if let Some(it) = read_load(&agent, &base) {
                loads.send(Load { requests: it.running + it.waiting, at: clock::now() });
            }
            std::thread::sleep(LOAD_INTERVAL);
        }
    });
}

fn read_load(agent: &ureq::Agent, base: &str) -> Option<LoadAnswer> {
    let request =
        agent.get(format!("{base}/load")).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
    let text = request.call().ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

fn spawn_canceller(agent: ureq::Agent, base: Arc<str>, cancel_rx: mpsc::Receiver<AttemptId>) {
    std::thread::spawn(move || {
        while let Ok(it) = cancel_rx.recv() {
            let url = format!("{base}/v1/cancel");
            let request = agent.post(&url).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
            // A failure can be ignored: the thread of the run also closes its connection, and
            // either of the two cancels the request.
            let _ = request.header("x-request-id", &run::target_request_id(it)).send_empty();
        }
    });
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Traces of the most recent requests, shown by `sablepassctl explain`. The router records them.

use std::collections::{HashMap, VecDeque};

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::outcome::Failure;
use sablepass_core::reason::Retry;

/// One step in the trace of a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// The request was admitted.
    Admitted {
        /// Qualified name of the customer.
        customer: String,
        /// Qualified name of the model or service.
        serves: String,
    },
    /// The request was sent to a target.
    Sent {
        /// Qualified target.
        target: String,
        /// Load of the target relative to its capacity when it was chosen.
        load: f64,
        /// Number of targets among which it was chosen.
        candidates: usize,
    },
    /// The target terminated while it ran the request.
    TargetEnded {
        /// Qualified target.
        target: String,
    },
    /// The target rejected the request.
    TurnedAway {
        /// Qualified target.
        target: String,
        /// Pause that the target requested from this entry.
        pause: Option<Millis>,
    },
    /// All candidate targets are at their rate limits; the request may be sent to this one later.
    Turn {
        /// Qualified target.
        target: String,
        /// Time until the turn.
        wait: Millis,
    },
    /// The request is retried for this reason.
    Retried(Retry),
    /// The answer was sent completely.
    Answered,
    /// The request failed.
    Failed(Failure),
}

/// Traces of the most recent requests.
#[derive(Debug)]
pub struct Traces {
    /// Maximum number of traces.
    capacity: usize,
    traces: HashMap<RequestId, Vec<(Millis, Step)>>,
    order: VecDeque<RequestId>,
}

impl Traces {
    /// Creates an empty store for the traces of `capacity` requests.
    pub fn open(capacity: usize) -> Self {
        Self { capacity, traces: HashMap::new(), order: VecDeque::new() }
    }

    /// Adds a step to the trace of a request. A new request replaces the oldest one if the store is
    /// full.
    pub fn add(&mut self, now: Millis, id: RequestId, step: Step) {
        if !self.traces.contains_key(&id) {
            self.order.push_back(id);
            if self.order.len() > self.capacity
                && let Some(oldest) = self.order.pop_front()
            {
                self.traces.remove(&oldest);
            }
        }
        self.traces.entry(id).or_default().push((now, step));
    }

    /// Returns the trace of a request as JSON, or none if the id is malformed or unknown.
    pub fn explain(&self, id: &str) -> Option<serde_json::Value> {
        let id = RequestId(u128::from_str_radix(id, 16).ok()?);
        let trace = self.traces.get(&id)?;
        let steps: Vec<serde_json::Value> =
            trace.iter().map(|(at, step)| step_json(*at, step)).collect();
        Some(serde_json::json!({ "request": id.to_string(), "steps": steps }))
    }
}

fn step_json(at: Millis, step: &Step) -> serde_json::Value {
    match step {
        Step::Admitted { customer, serves } => {
            serde_json::json!({ "at": at, "step": "admitted", "customer": customer, "serves": serves })
        }
        Step::Sent { target, load, candidates } => serde_json::json!({
            "at": at, "step": "sent", "target": target, "load": load, "candidates": candidates,
        }),
        Step::TargetEnded { target } => {
            serde_json::json!({ "at": at, "step": "target-ended", "target": target })
        }
        Step::TurnedAway { target, pause } => serde_json::json!({
            "at": at, "step": "turned-away", "target": target, "rest": pause,
        }),
        Step::Turn { target, wait } => {
            serde_json::json!({ "at": at, "step": "turn", "target": target, "wait": wait })
        }
        Step::Retried(reason) => {
            serde_json::json!({ "at": at, "step": "retried", "reason": reason.label() })
        }
        Step::Answered => serde_json::json!({ "at": at, "step": "answered" }),
        Step::Failed(failure) => serde_json::json!({
            "at": at, "step": "failed", "reason": failure.reason.label(), "ran": failure.ran.label(),
        }),
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What became of the last requests, for `sablepassctl explain`.

use std::collections::{HashMap, VecDeque};

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::outcome::Failure;
use sablepass_core::reason::Retry;

/// One line of a request's story.
#[derive(Clone, Debug)]
pub enum Step {
    /// It was admitted for this customer and model.
    Admitted {
        /// Qualified customer.
        customer: String,
        /// Qualified model or service.
        serves: String,
    },
    /// It was sent to this target.
    Sent {
        /// Qualified target.
        target: String,
        /// Load of the target, relative to its capacity, when chosen.
        load: f64,
        /// Targets that could have been chosen.
        candidates: usize,
    },
    /// This target ended while it held the request.
    TargetEnded {
        /// Qualified target.
        target: String,
    },
    /// This target did not take it.
    TurnedAway {
        /// Qualified target.
        target: String,
        /// How long it wants nothing more from this entry.
        rest: Option<Millis>,
    },
    /// All that could serve it get as many requests as they take; it has its turn at this target.
    Turn {
        /// Qualified target.
        target: String,
        /// Milliseconds until then.
        wait: Millis,
    },
    /// It is sent again.
    Retried(Retry),
    /// It got its answer.
    Answered,
    /// It failed.
    Failed(Failure),
}

/// The stories of the last requests.
#[derive(Debug)]
pub struct Traces {
    /// Requests remembered.
    keep: usize,
    stories: HashMap<RequestId, Vec<(Millis, Step)>>,
    order: VecDeque<RequestId>,
}

impl Traces {
    /// Opens an empty memory of so many requests.
    pub fn open(keep: usize) -> Self {
        Self { keep, stories: HashMap::new(), order: VecDeque::new() }
    }

    /// Adds a line to a request's story.
    pub fn add(&mut self, now: Millis, id: RequestId, step: Step) {
        if !self.stories.contains_key(&id) {
            self.order.push_back(id);
            if self.order.len() > self.keep
                && let Some(oldest) = self.order.pop_front()
            {
                self.stories.remove(&oldest);
            }
        }
        self.stories.entry(id).or_default().push((now, step));
    }

    /// A request's story as JSON.
    pub fn explain(&self, id: &str) -> Option<serde_json::Value> {
        let id = RequestId(u128::from_str_radix(id, 16).ok()?);
        let story = self.stories.get(&id)?;
        let steps: Vec<serde_json::Value> =
            story.iter().map(|(at, step)| step_json(*at, step)).collect();
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
        Step::TurnedAway { target, rest } => serde_json::json!({
            "at": at, "step": "turned-away", "target": target, "rest": rest,
        }),
        Step::Turn { target, wait } => {
            serde_json::json!({ "at": at, "step": "turn", "target": target, "wait": wait })
        }
        Step::Retried(it) => {
            serde_json::json!({ "at": at, "step": "retried", "reason": it.label() })
        }
        Step::Answered => serde_json::json!({ "at": at, "step": "answered" }),
        Step::Failed(it) => serde_json::json!({
            "at": at, "step": "failed", "reason": it.reason.label(), "ran": it.ran.label(),
        }),
    }
}

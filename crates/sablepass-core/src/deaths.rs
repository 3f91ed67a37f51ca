// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Finds out whether a target that interrupted a request has ended.
//!
//! Connections end for many reasons: a link fails, a group gives up the requests of its ranks, a
//! target corrupts one response. A target counts as ended only if it is seen to be gone as well: it
//! refuses connections, or the instance list no longer contains it or shows a later incarnation.

use std::collections::{HashMap, VecDeque};

use crate::fingerprint::Fingerprint;
use crate::id::{Millis, RequestId};
use crate::suspects::Death;

/// How long after the interruption of a request its target may be found to be gone. The users'
/// platform removes a target that is silent for three of its reports of 1.2 s; with leases and the
/// propagation of the list that takes 5 s.
const PROOF_WINDOW: Millis = 6_000;
/// A target that ends interrupts all its requests at once; their connections report it within this
/// time, and the target's agent that it refuses connections. Requests interrupted longer before the
/// last ones, or before the first refusal, were interrupted by something else.
const END_WINDOW: Millis = 2_000;
/// Maximum number of interrupted requests that wait for proof: two for each slot of 40 targets that
/// one entry fills alone.
const MAX_INTERRUPTED: usize = 1_024;

/// A request that its target interrupted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interrupted {
    /// The request at this entry.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the shared parts of its prompt.
    pub parts: Vec<Fingerprint>,
    /// The death of its target, if that is proved.
    pub death: Death,
}

/// Recently interrupted requests, and targets that refuse connections.
#[derive(Debug, Default)]
pub struct Deaths {
    interrupted: VecDeque<Interrupted>,
    /// When each target last refused a connection, from any process.
    refused: HashMap<String, Millis>,
}

impl Deaths {
    /// Records that a target interrupted a request. Returns the request if the target is already
    /// known to be gone.
    pub fn record_interrupted(&mut self, now: Millis, request: Interrupted) -> Option<Interrupted> {
        let refused = self.refused.get(&request.death.target);
        if refused.is_some_and(|at| *at >= request.death.sent) {
            return Some(request);
        }
        self.expire(now);
        if self.interrupted.len() >= MAX_INTERRUPTED {
            self.interrupted.pop_front();
        }
        self.interrupted.push_back(request);
        None
    }

    /// Records that a target refuses connections. Returns the requests that it was running when it
    /// ended.
    pub fn record_refusal(&mut self, now: Millis, target: &str) -> Vec<Interrupted> {
        self.refused.insert(target.to_owned(), now);
        let mut ended = self.record_gone(now, target);
        ended.retain(|it| now < it.death.ended + END_WINDOW);
        ended
    }

    /// Records that the instance list no longer contains a target, or shows a later incarnation.
    /// Returns the requests that it was running when it ended.
    pub fn record_gone(&mut self, now: Millis, target: &str) -> Vec<Interrupted> {
        self.expire(now);
        let (mut ended, waiting): (Vec<Interrupted>, Vec<Interrupted>) =
            self.interrupted.drain(..).partition(|it| it.death.target == target);
        self.interrupted = waiting.into();
        let last = ended.iter().map(|it| it.death.ended).max().unwrap_or(0);
        ended.retain(|it| last < it.death.ended + END_WINDOW);
        ended
    }

    /// Whether a request that this target interrupted waits for proof.
    pub fn is_pending(&self, target: &str) -> bool {
        self.interrupted.iter().any(|it| it.death.target == target)
    }

    fn expire(&mut self, now: Millis) {
        self.interrupted.retain(|it| now < it.death.ended + PROOF_WINDOW);
        self.refused.retain(|_, at| now < *at + PROOF_WINDOW);
    }
}

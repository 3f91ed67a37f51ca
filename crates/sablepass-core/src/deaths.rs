// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether a target that broke off a request has ended.
//!
//! Connections end for many reasons: a link fails, a group gives up what its
//! ranks run, a target spoils one answer. Only where the target is seen to be
//! gone as well did it end under what it held: it refuses connections, or the
//! instance list names it no more, or names a later life of it.

use std::collections::{HashMap, VecDeque};

use crate::fingerprint::Fingerprint;
use crate::id::{Millis, RequestId};
use crate::suspects::Death;

/// How long after a request was broken off its target may be found to be gone.
/// The users' platform drops one that is silent after three of its reports of
/// 1.2 s; with its leases and the way of the list that is 5 s.
const PROOF: Millis = 6_000;
/// Requests broken off that wait for such proof: two for each of the places of
/// 40 targets that one entry fills alone.
const MOST: usize = 1_024;

/// A request that its target broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interrupted {
    /// The attempt's request here.
    pub request: RequestId,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// The end of its target, if it proves to be one.
    pub death: Death,
}

/// Requests that were broken off lately, and targets that refuse connections.
#[derive(Debug, Default)]
pub struct Deaths {
    cases: VecDeque<Interrupted>,
    /// When a target last refused a connection, to whomever.
    refused: HashMap<String, Millis>,
}

impl Deaths {
    /// Records that a target broke off a request. The case, if the target has
    /// been seen to be gone already.
    pub fn record_interrupted(&mut self, now: Millis, case: Interrupted) -> Option<Interrupted> {
        let refused = self.refused.get(&case.death.target);
        if refused.is_some_and(|at| *at >= case.death.sent) {
            return Some(case);
        }
        self.lapse(now);
        if self.cases.len() >= MOST {
            self.cases.pop_front();
        }
        self.cases.push_back(case);
        None
    }

    /// Records that a target refuses connections. Returns the requests that it
    /// ended under.
    pub fn record_refusal(&mut self, now: Millis, target: &str) -> Vec<Interrupted> {
        self.refused.insert(target.to_owned(), now);
        self.record_gone(now, target)
    }

    /// Records that the instance list names a target no more, or a later life
    /// of it. Returns the requests that it ended under.
    pub fn record_gone(&mut self, now: Millis, target: &str) -> Vec<Interrupted> {
        self.lapse(now);
        let (ended, waiting) =
            self.cases.drain(..).partition(|it: &Interrupted| it.death.target == target);
        self.cases = waiting;
        Vec::from(ended)
    }

    /// Whether a request that this target broke off waits for such proof.
    pub fn is_pending(&self, target: &str) -> bool {
        self.cases.iter().any(|it| it.death.target == target)
    }

    fn lapse(&mut self, now: Millis) {
        self.cases.retain(|it| now < it.death.ended + PROOF);
        self.refused.retain(|_, at| now < *at + PROOF);
    }
}

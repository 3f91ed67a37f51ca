// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Decides at a target's agent whether a dispatched attempt may run.
//!
//! The agent passes every dispatch and every probe to its [`Gate`]. A refused attempt has
//! provably not run and never will, except where the reason itself says that an earlier request
//! with the same idempotency key may have run.

use crate::id::{AttemptId, Incarnation, Millis};
use crate::once::{self, AttemptState, Key, KeyVerdict};
use crate::reason::Refusal;
use crate::rendezvous;

/// Limits of a [`Gate`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of requests that run or wait at the target. Default 256.
    pub max_requests: usize,
    /// Margin after a change of key owners in which the former owner may still run keys: the
    /// longest delay until all agents apply the change, plus the clock skew of callers.
    /// Default 10 s: agents apply a change within 7 s.
    pub handover_margin: Millis,
    /// Longest interval between two ticks. After a longer one the process is taken to have been
    /// suspended and to have missed changes of key owners. Default 3 s: well under
    /// `handover_margin`.
    pub max_tick_interval: Millis,
    /// Limits of the at-most-once table.
    pub once: once::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_requests: 256,
            handover_margin: 10_000,
            max_tick_interval: 3_000,
            once: once::Options::default(),
        }
    }
}

/// Properties of a dispatched attempt by which the gate decides.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt was sent to.
    pub incarnation: Incarnation,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Millis,
    /// Whether the request is unsafe: it must run at most once.
    pub unsafe_repeat: bool,
    /// Idempotency key of the request.
    pub key: Option<Key>,
    /// Time at which the caller created the key, if the request states it.
    pub issued: Option<Millis>,
    /// Hash of method, path and body.
    pub body_hash: u64,
}

/// The gate's decision on a dispatch.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the attempt.
    Run,
    /// Answer with the recorded answer of the key.
    Replay(once::Answer),
    /// Refuse the attempt.
    Refuse(Refusal),
}

/// Admission control of one target, for one incarnation of its agent.
#[derive(Debug)]
pub struct Gate {
    options: Options,
    incarnation: Incarnation,
    started: Millis,
    table: once::Table,
    running: usize,
    leaving: bool,
    name: String,
    /// The declared sets of key owners that still matter, oldest first.
    owner_sets: Vec<OwnerSet>,
    /// Time of the last tick.
    last_tick: Millis,
}

/// The declared targets among which keys are distributed, and the time since which this
/// declaration has been in force.
#[derive(Debug)]
struct OwnerSet {
    since: Millis,
    names: Vec<String>,
}

impl Gate {
    /// Returns the gate of target `name` for an agent of `incarnation` that starts at `now`.
    pub fn new(options: Options, incarnation: Incarnation, name: &str, now: Millis) -> Self {
        Self {
            options,
            incarnation,
            started: now,
            table: once::Table::new(options.once),
            running: 0,
            leaving: false,
            name: name.to_owned(),
            owner_sets: Vec::new(),
            last_tick: now,
        }
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns whether the target is draining and accepts no new work.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of attempts and of keys in the at-most-once table.
    pub fn once_table_len(&self) -> (usize, usize) {
        self.table.len()
    }

    /// Starts to drain: refuses new work for the rest of this incarnation.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records the declared targets among which keys are distributed, in force from `now` on.
    pub fn declare(&mut self, now: Millis, names: Vec<String>) {
        if self.owner_sets.last().is_some_and(|it| it.names == names) {
            return;
        }
        // The first set that an incarnation learns of applies from its start.
        let since = if self.owner_sets.is_empty() { self.started } else { now };
        self.owner_sets.push(OwnerSet { since, names });
        // A set is dropped once no acceptable key can have been created while it was in force.
        let oldest = now.saturating_sub(self.options.once.retention + self.options.handover_margin);
        while self.owner_sets.len() > 1 && self.owner_sets[1].since < oldest {
            self.owner_sets.remove(0);
        }
    }

    /// Records that the process is running, to detect that it was suspended. To be called at
    /// intervals well below [`Options::max_tick_interval`].
    pub fn tick(&mut self, now: Millis) {
        if now > self.last_tick + self.options.max_tick_interval {
            // Keys may have had other owners while this process was suspended, so its
            // ownership counts from now on only.
            self.owner_sets.drain(..self.owner_sets.len().saturating_sub(1));
            if let Some(set) = self.owner_sets.last_mut() {
                set.since = now;
            }
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Decides on a dispatched attempt, and records it if it runs.
    pub fn dispatch(&mut self, now: Millis, dispatch: &Dispatch) -> Decision {
        self.dispatch_if(now, dispatch, || Ok(()))
    }

    /// Decides like [`Gate::dispatch`], with an additional check `admit` whether the target
    /// accepts requests at the moment. It is called last, and only for attempts that would run,
    /// so that the state or answer of a known key is reported even if the target accepts none.
    pub fn dispatch_if(
        &mut self,
        now: Millis,
        dispatch: &Dispatch,
        admit: impl FnOnce() -> Result<(), Refusal>,
    ) -> Decision {
        self.tick(now);
        match self.check_dispatch(now, dispatch) {
            Ok(()) => {}
            Err(reason) => return Decision::Refuse(reason),
        }
        if let Some(key) = dispatch.key.as_ref().filter(|_| dispatch.unsafe_repeat) {
            match self.check_key(now, dispatch, key) {
                KeyVerdict::Run => {}
                KeyVerdict::Replay(answer) => return Decision::Replay(answer),
                KeyVerdict::Refuse(reason) => return Decision::Refuse(reason),
            }
        }
        if let Err(reason) = admit().and_then(|()| self.table.start(now, dispatch.attempt)) {
            if let Some(key) = dispatch.key.as_ref().filter(|_| dispatch.unsafe_repeat) {
                self.table.release_key(key);
            }
            return Decision::Refuse(reason);
        }
        self.running += 1;
        Decision::Run
    }

    fn check_dispatch(&self, now: Millis, dispatch: &Dispatch) -> Result<(), Refusal> {
        match self.table.attempt_state(dispatch.attempt) {
            Some(AttemptState::Blocked) => return Err(Refusal::Blocked),
            Some(_) => return Err(Refusal::Duplicate),
            None => {}
        }
        if dispatch.incarnation != self.incarnation {
            return Err(Refusal::WrongIncarnation);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if now >= dispatch.deadline {
            return Err(Refusal::DeadlinePassed);
        }
        if self.running >= self.options.max_requests {
            return Err(Refusal::AgentLimit);
        }
        Ok(())
    }

    /// Accepts a key only if no other process can have run it: this agent owns it by the
    /// declarations that it knows, and has owned it since `handover_margin` before the key was
    /// created. A key without a creation time is taken to be as old as keys may be.
    fn check_key(&mut self, now: Millis, dispatch: &Dispatch, key: &Key) -> KeyVerdict {
        if self.table.has_key(key) {
            return self.table.start_key(key, dispatch.body_hash);
        }
        let oldest = now.saturating_sub(self.options.once.retention);
        let newest = now + self.options.handover_margin;
        if dispatch.issued.is_some_and(|at| at < oldest || at > newest) {
            return KeyVerdict::Refuse(Refusal::KeyExpired);
        }
        let issued = dispatch.issued.unwrap_or(oldest);
        if !self.owns(key) {
            return KeyVerdict::Refuse(Refusal::NotOwner);
        }
        if issued < self.owned_since(key).saturating_add(self.options.handover_margin) {
            return KeyVerdict::Refuse(Refusal::KeyUncertain);
        }
        self.table.start_key(key, dispatch.body_hash)
    }

    fn owns(&self, key: &Key) -> bool {
        self.owner_sets.last().is_some_and(|it| self.owns_in(key, it))
    }

    fn owns_in(&self, key: &Key, set: &OwnerSet) -> bool {
        let text = owner_key(key);
        let owner = rendezvous::owner(&text, set.names.iter().map(String::as_str));
        owner == Some(self.name.as_str())
    }

    /// Returns the time since which this agent has owned `key` without interruption, or
    /// `Millis::MAX` if it doesn't own it.
    fn owned_since(&self, key: &Key) -> Millis {
        let mut since = Millis::MAX;
        for set in self.owner_sets.iter().rev() {
            if !self.owns_in(key, set) {
                break;
            }
            since = set.since;
        }
        since
    }

    /// Records how a running attempt ended. `key` is its idempotency key, if the request is
    /// unsafe.
    pub fn finish(&mut self, now: Millis, attempt: AttemptId, key: Option<&Key>, end: Completion) {
        self.running = self.running.saturating_sub(1);
        self.table.finish(attempt);
        let Some(key) = key else { return };
        match end {
            Completion::NotRun => self.table.release_key(key),
            Completion::Complete(answer) => self.table.finish_key(now, key, Some(answer)),
            Completion::Incomplete => self.table.finish_key(now, key, None),
        }
    }

    /// Answers a probe with the state of the attempt. An unknown attempt is refused from now on,
    /// should its dispatch still arrive.
    pub fn probe(&mut self, now: Millis, attempt: AttemptId) -> AttemptState {
        self.table.block(now, attempt)
    }
}

/// How an attempt ended at the target.
#[derive(Debug)]
pub enum Completion {
    /// The attempt didn't run: no connection to the target was made.
    NotRun,
    /// The target's answer is complete.
    Complete(once::Answer),
    /// The attempt may have run, but there is no complete answer.
    Incomplete,
}

/// Returns the text that is hashed to choose the owner of a key among the declared targets.
pub fn owner_key(key: &Key) -> String {
    format!("{}\u{0}{}", key.customer, key.text)
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The gate of a target: decides whether a dispatch may run.
//!
//! The agent asks the gate for every dispatch and probe. Whatever the gate
//! refuses has provably not run here and never will, except where the
//! reason itself says that an earlier post of the same key may have.

use crate::id::{AttemptId, Incarnation, Millis};
use crate::once::{self, Key, KeyVerdict, Mark};
use crate::reason::Refusal;
use crate::rendezvous;

/// Limits of a [`Gate`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most requests that run or wait at the target. Default 256.
    pub limit: usize,
    /// How far an agent may lag behind a change of owners, clock skew of
    /// callers included. Default 10 s: a change is in force within 7 s.
    pub handover: Millis,
    /// A gate that was not ticked for so long was paused, and knows nothing of
    /// what changed meanwhile. Default 3 s: well under `handover`.
    pub pause: Millis,
    /// Limits of the at-most-once table.
    pub once: once::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self { limit: 256, handover: 10_000, pause: 3_000, once: once::Options::default() }
    }
}

/// What the gate needs to know of a dispatch.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation it is meant for.
    pub incarnation: Incarnation,
    /// When it is no longer wanted.
    pub deadline: Millis,
    /// Whether it must not run more than once.
    pub unsafe_repeat: bool,
    /// Its idempotency key.
    pub key: Option<Key>,
    /// When the caller made the key, if said.
    pub issued: Option<Millis>,
    /// Hash of method, path and body.
    pub body_hash: u64,
}

/// The gate's decision on a dispatch.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it.
    Run,
    /// Send the recorded answer.
    Replay(once::Answer),
    /// Refuse it.
    Refuse(Refusal),
}

/// The gate.
#[derive(Debug)]
pub struct Gate {
    options: Options,
    me: Incarnation,
    started: Millis,
    table: once::Table,
    running: usize,
    leaving: bool,
    name: String,
    owners: Vec<Owners>,
    /// When the gate last ran.
    last: Millis,
}

/// The declared targets that share keys with this one, since a time.
#[derive(Debug)]
struct Owners {
    since: Millis,
    names: Vec<String>,
}

impl Gate {
    /// Opens the gate of target `name`.
    pub fn open(options: Options, me: Incarnation, name: &str, now: Millis) -> Self {
        Self {
            options,
            me,
            started: now,
            table: once::Table::open(options.once),
            running: 0,
            leaving: false,
            name: name.to_owned(),
            owners: Vec::new(),
            last: now,
        }
    }

    /// Number of requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether the target is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Size of the at-most-once table: attempts and keys.
    pub fn remembered(&self) -> (usize, usize) {
        self.table.len()
    }

    /// Stops new work for good. There is no way back within an incarnation.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records the declared targets among which keys are owned.
    pub fn declare(&mut self, now: Millis, names: Vec<String>) {
        if self.owners.last().is_some_and(|it| it.names == names) {
            return;
        }
        // The first set that an incarnation sees reaches back to its start.
        let since = if self.owners.is_empty() { self.started } else { now };
        self.owners.push(Owners { since, names });
        // A set is dropped when no key can be so old that it mattered.
        let oldest = now.saturating_sub(self.options.once.keep + self.options.handover);
        while self.owners.len() > 1 && self.owners[1].since < oldest {
            self.owners.remove(0);
        }
    }

    /// Tells the gate that time passes, often.
    pub fn tick(&mut self, now: Millis) {
        if now > self.last + self.options.pause {
            // Keys may have had another owner while this process was paused:
            // it owns them anew from now on.
            self.owners.drain(..self.owners.len().saturating_sub(1));
            if let Some(set) = self.owners.last_mut() {
                set.since = now;
            }
        }
        self.last = self.last.max(now);
    }

    /// Decides on a dispatch, and records it if it runs.
    pub fn dispatch(&mut self, now: Millis, it: &Dispatch) -> Decision {
        self.dispatch_if(now, it, || Ok(()))
    }

    /// The same, where the target may want nothing now: `takes` is asked last, about
    /// requests that would run, so that what is known of an earlier post is told all the same.
    pub fn dispatch_if(
        &mut self,
        now: Millis,
        it: &Dispatch,
        takes: impl FnOnce() -> Result<(), Refusal>,
    ) -> Decision {
        self.tick(now);
        match self.check(now, it) {
            Ok(()) => {}
            Err(reason) => return Decision::Refuse(reason),
        }
        if let Some(key) = it.key.as_ref().filter(|_| it.unsafe_repeat) {
            match self.check_key(now, it, key) {
                KeyVerdict::Run => {}
                KeyVerdict::Replay(answer) => return Decision::Replay(answer),
                KeyVerdict::Refuse(reason) => return Decision::Refuse(reason),
            }
        }
        if let Err(reason) = takes().and_then(|()| self.table.start(now, it.attempt)) {
            if let Some(key) = it.key.as_ref().filter(|_| it.unsafe_repeat) {
                self.table.release_key(key);
            }
            return Decision::Refuse(reason);
        }
        self.running += 1;
        Decision::Run
    }

    fn check(&self, now: Millis, it: &Dispatch) -> Result<(), Refusal> {
        match self.table.mark(it.attempt) {
            Some(Mark::Blocked) => return Err(Refusal::Blocked),
            Some(_) => return Err(Refusal::Duplicate),
            None => {}
        }
        if it.incarnation != self.me {
            return Err(Refusal::WrongIncarnation);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if now >= it.deadline {
            return Err(Refusal::DeadlinePassed);
        }
        if self.running >= self.options.limit {
            return Err(Refusal::AgentLimit);
        }
        Ok(())
    }

    /// A key runs here only if no other process can have run it: this agent
    /// owns it by its declarations, and has done so since before the key was
    /// made. A key without a time is taken to be as old as keys may be.
    fn check_key(&mut self, now: Millis, it: &Dispatch, key: &Key) -> KeyVerdict {
        if self.table.has_key(key) {
            return self.table.start_key(key, it.body_hash);
        }
        let oldest = now.saturating_sub(self.options.once.keep);
        let newest = now + self.options.handover;
        if it.issued.is_some_and(|at| at < oldest || at > newest) {
            return KeyVerdict::Refuse(Refusal::KeyExpired);
        }
        let made = it.issued.unwrap_or(oldest);
        if !self.owns(key) {
            return KeyVerdict::Refuse(Refusal::NotOwner);
        }
        if made < self.owned_since(key).saturating_add(self.options.handover) {
            return KeyVerdict::Refuse(Refusal::KeyUncertain);
        }
        self.table.start_key(key, it.body_hash)
    }

    fn owns(&self, key: &Key) -> bool {
        self.owners.last().is_some_and(|it| self.owns_in(key, it))
    }

    fn owns_in(&self, key: &Key, set: &Owners) -> bool {
        let text = owner_key(key);
        let owner = rendezvous::owner(&text, set.names.iter().map(String::as_str));
        owner == Some(self.name.as_str())
    }

    /// Since when this agent has owned `key` without a break.
    fn owned_since(&self, key: &Key) -> Millis {
        let mut since = Millis::MAX;
        for set in self.owners.iter().rev() {
            if !self.owns_in(key, set) {
                break;
            }
            since = set.since;
        }
        since
    }

    /// Records the end of an attempt that ran.
    pub fn finish(&mut self, now: Millis, attempt: AttemptId, key: Option<&Key>, end: End) {
        self.running = self.running.saturating_sub(1);
        self.table.finish(attempt);
        let Some(key) = key else { return };
        match end {
            End::NotRun => self.table.release_key(key),
            End::Whole(answer) => self.table.finish_key(now, key, Some(answer)),
            End::Broken => self.table.finish_key(now, key, None),
        }
    }

    /// Answers a probe: what is known of the attempt. An attempt that was
    /// not seen is refused from now on.
    pub fn probe(&mut self, now: Millis, attempt: AttemptId) -> Mark {
        self.table.block(now, attempt)
    }
}

/// How an attempt ended at the target.
#[derive(Debug)]
pub enum End {
    /// The target was never reached.
    NotRun,
    /// The whole answer came.
    Whole(once::Answer),
    /// It may have run; there is no whole answer.
    Broken,
}

/// The text by which owners of a key are ranked.
pub fn owner_key(key: &Key) -> String {
    format!("{}\u{0}{}", key.customer, key.text)
}

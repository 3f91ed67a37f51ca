// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The at-most-once table of an agent, through which the gate keeps unsafe requests from running
//! twice.
//!
//! It has two indexes: by attempt, so that a duplicated or delayed dispatch does not run, and by
//! customer and idempotency key, so that a request repeated through any entry does not run
//! again. Both are bounded. A full table refuses new work: to evict a record before its
//! retention ends would allow a second run.

use std::collections::{HashMap, VecDeque};

use crate::id::{AttemptId, Millis};
use crate::reason::Refusal;

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retention of attempts and of keys, the latter from the end of their request. Default 600 s.
    pub retention: Millis,
    /// Maximum number of recorded attempts. Default 200,000.
    pub max_attempts: usize,
    /// Maximum number of recorded keys. Default 20,000.
    pub max_keys: usize,
    /// Maximum size in bytes of an answer that is recorded for a key. Default 16 KiB.
    pub max_answer_bytes: usize,
    /// Maximum size in bytes of all recorded answers together. Default 16 MiB. An answer above
    /// a limit is not recorded, but its key does not run again either.
    pub max_total_answer_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: 600_000,
            max_attempts: 200_000,
            max_keys: 20_000,
            max_answer_bytes: 16 * 1024,
            max_total_answer_bytes: 16 << 20,
        }
    }
}

/// A customer's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Qualified name of the customer.
    pub customer: String,
    /// The key as the caller sent it.
    pub text: String,
}

/// The recorded answer of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u32,
    /// Content type.
    pub content_type: String,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// State of a recorded attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has not run and is refused if it arrives.
    Blocked,
    /// The attempt is running.
    Running,
    /// The attempt has finished.
    Finished,
}

#[derive(Debug)]
enum KeyState {
    Running,
    /// The answer is `None` if it was interrupted or above a size limit.
    Finished(Option<Answer>),
}

#[derive(Debug)]
struct KeyRecord {
    body_hash: u64,
    state: KeyState,
}

/// Decision on a dispatch with an idempotency key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The key is new: run the request.
    Run,
    /// The key's request has finished: send its recorded answer.
    Replay(Answer),
    /// Refuse the request.
    Refuse(Refusal),
}

/// The at-most-once table.
#[derive(Debug)]
pub struct Table {
    options: Options,
    attempts: HashMap<AttemptId, AttemptState>,
    /// Attempts by the time from which their retention counts, oldest first.
    attempt_order: VecDeque<(Millis, AttemptId)>,
    keys: HashMap<Key, KeyRecord>,
    /// Finished keys by the end of their request, oldest first.
    key_order: VecDeque<(Millis, Key)>,
    /// Total size of the recorded answers in bytes.
    answer_bytes: usize,
}

impl Table {
    /// Returns an empty table.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            attempts: HashMap::new(),
            attempt_order: VecDeque::new(),
            keys: HashMap::new(),
            key_order: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the state of `attempt`, if it is recorded.
    pub fn attempt_state(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.attempts.get(&attempt).copied()
    }

    /// Returns the number of recorded attempts and of recorded keys.
    pub fn len(&self) -> (usize, usize) {
        (self.attempts.len(), self.keys.len())
    }

    /// Returns whether no attempt and no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.keys.is_empty()
    }

    /// Records that `attempt` starts to run. Refuses an attempt that is already recorded, and any
    /// attempt while the table is full.
    pub fn start(&mut self, now: Millis, attempt: AttemptId) -> Result<(), Refusal> {
        self.remove_expired(now);
        match self.attempt_state(attempt) {
            Some(AttemptState::Blocked) => return Err(Refusal::Blocked),
            Some(AttemptState::Running | AttemptState::Finished) => return Err(Refusal::Duplicate),
            None => {}
        }
        if self.attempts.len() >= self.options.max_attempts {
            return Err(Refusal::OnceTableFull);
        }
        self.insert_attempt(now, attempt, AttemptState::Running);
        Ok(())
    }

    /// Records that `attempt` has finished.
    pub fn finish(&mut self, attempt: AttemptId) {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            *state = AttemptState::Finished;
        }
    }

    /// Returns the state of `attempt`. An attempt that is not recorded is blocked from now on.
    pub fn block(&mut self, now: Millis, attempt: AttemptId) -> AttemptState {
        self.remove_expired(now);
        if let Some(state) = self.attempt_state(attempt) {
            return state;
        }
        self.insert_attempt(now, attempt, AttemptState::Blocked);
        AttemptState::Blocked
    }

    /// Decides on a request with an idempotency key, and records the key if the request may run.
    pub fn start_key(&mut self, key: &Key, body_hash: u64) -> KeyVerdict {
        let Some(record) = self.keys.get(key) else {
            if self.keys.len() >= self.options.max_keys {
                return KeyVerdict::Refuse(Refusal::OnceTableFull);
            }
            let record = KeyRecord { body_hash, state: KeyState::Running };
            self.keys.insert(key.clone(), record);
            return KeyVerdict::Run;
        };
        if record.body_hash != body_hash {
            return KeyVerdict::Refuse(Refusal::KeyReused);
        }
        match &record.state {
            KeyState::Running => KeyVerdict::Refuse(Refusal::KeyInFlight),
            KeyState::Finished(Some(answer)) => KeyVerdict::Replay(answer.clone()),
            KeyState::Finished(None) => KeyVerdict::Refuse(Refusal::KeyAnswerLost),
        }
    }

    /// Returns whether a key is recorded.
    pub fn has_key(&self, key: &Key) -> bool {
        self.keys.contains_key(key)
    }

    /// Records that the request of a key has finished, with its answer if that is complete. The
    /// retention of the key counts from here, not from the start of the request.
    pub fn finish_key(&mut self, now: Millis, key: &Key, answer: Option<Answer>) {
        let Some(record) = self.keys.get_mut(key) else {
            return;
        };
        let room = self
            .options
            .max_answer_bytes
            .min(self.options.max_total_answer_bytes - self.answer_bytes);
        let kept = answer.filter(|it| it.body.len() <= room);
        self.answer_bytes += kept.as_ref().map_or(0, |it| it.body.len());
        record.state = KeyState::Finished(kept);
        self.key_order.push_back((now, key.clone()));
    }

    /// Removes a key whose request provably did not run.
    pub fn release_key(&mut self, key: &Key) {
        self.keys.remove(key);
    }

    fn insert_attempt(&mut self, now: Millis, attempt: AttemptId, state: AttemptState) {
        self.attempts.insert(attempt, state);
        self.attempt_order.push_back((now, attempt));
    }

    /// Removes attempts and keys whose retention has ended. The retention of a running attempt is
    /// renewed, so that it is never removed.
    fn remove_expired(&mut self, now: Millis) {
        let oldest = now.saturating_sub(self.options.retention);
        while let Some(&(at, attempt)) = self.attempt_order.front() {
            if at >= oldest {
                break;
            }
            self.attempt_order.pop_front();
            if self.attempts.get(&attempt) == Some(&AttemptState::Running) {
                self.attempt_order.push_back((now, attempt));
                continue;
            }
            self.attempts.remove(&attempt);
        }
        while self.key_order.front().is_some_and(|(at, _)| *at < oldest) {
            let Some((_, key)) = self.key_order.pop_front() else {
                break;
            };
            let record = self.keys.remove(&key);
            if let Some(KeyState::Finished(Some(answer))) = record.map(|it| it.state) {
                self.answer_bytes -= answer.body.len();
            }
        }
    }
}

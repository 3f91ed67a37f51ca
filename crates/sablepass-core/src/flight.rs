// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! State machine of one request at an entry, from admission to its final answer.
//!
//! The entry feeds it [`Event`]s and carries out the [`Action`]s that it returns. All decisions
//! on retries, and on which outcome is reported to the caller, are made here:
//!
//! - An unsafe request, which must run at most once, is sent to one target. It is retried only
//!   if an agent has proved that the earlier attempt did not run.
//! - When contact is lost during an attempt of an unsafe request, the same agent is probed for
//!   the state of the attempt once it is connected again.
//! - A safe request is retried at another target as long as no part of an answer was delivered
//!   to the caller, its deadline has not passed and the retry budget is not used up.
//! - A resumable stream continues at another target after the last complete event that was
//!   delivered to the caller.

use crate::events::Splitter;
use crate::id::{AttemptId, Incarnation, Millis, RequestId};
use crate::outcome::{Failure, Ran};
use crate::reason::{Ignored, Refusal, Retry};

/// Time without a part of the answer after which an attempt counts as silent: twice the longest
/// forward pass that callers are promised.
const SILENCE_THRESHOLD: Millis = 400;

/// Limits of a [`Flight`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum size in bytes of an answer that is buffered until it is complete. Default 4 MiB.
    pub max_answer_bytes: usize,
    /// Time after which a probe without an answer fails the request. Default 5 s.
    pub probe_timeout: Millis,
    /// Time without any message from a target's agent after which a safe request is retried at
    /// another target. Default 10 s.
    pub stall_timeout: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_answer_bytes: 4 << 20, probe_timeout: 5_000, stall_timeout: 10_000 }
    }
}

/// Properties of a request that are fixed at its admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in all messages.
    pub id: RequestId,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Millis,
    /// Maximum number of attempts, the first included. Attempts that were not sent don't count.
    pub max_attempts: u32,
    /// Whether the request is unsafe: it must run at most once.
    pub unsafe_repeat: bool,
    /// Whether the request has an idempotency key. Only the target that owns the key may run it.
    pub keyed: bool,
    /// Whether the answer is delivered part by part rather than once it is complete.
    pub stream: bool,
    /// Whether another target may continue an interrupted answer after its last complete event.
    pub resumable: bool,
}

/// A header field of an answer, forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Field name in lower case.
    pub name: String,
    /// Field value as received.
    pub value: Vec<u8>,
}

/// Status and header fields of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u32,
    /// Header fields for the caller, without hop-by-hop fields.
    pub fields: Vec<Field>,
    /// Whether this is the recorded answer of an earlier request with the same idempotency key.
    pub replayed: bool,
}

impl Head {
    /// Returns a head whose only field is `content-type`, as in answers that agents forward.
    pub fn plain(status: u32, content_type: &str, replayed: bool) -> Self {
        let field = Field { name: "content-type".to_owned(), value: content_type.into() };
        Self { status, fields: vec![field], replayed }
    }

    /// Returns whether the body is a stream of server-sent events.
    fn is_event_stream(&self) -> bool {
        let is_type = |it: &&Field| it.name.eq_ignore_ascii_case("content-type");
        let value = self.fields.iter().find(is_type).map(|it| it.value.as_slice());
        value.is_some_and(|it| it.to_ascii_lowercase().starts_with(b"text/event-stream"))
    }
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The head of the answer arrived.
    Head(Head),
    /// Bytes of the answer's body arrived.
    Chunk {
        /// Position of the first byte in the body.
        offset: u64,
        /// The bytes.
        data: Vec<u8>,
    },
    /// The answer is complete.
    Done {
        /// Length of the body in bytes.
        length: u64,
    },
    /// The agent refused the attempt.
    Refused(Refusal),
    /// Before any part of the attempt was sent, the target announced that it accepts no requests,
    /// or its data hall was evacuated.
    Unsent,
    /// The target failed to answer, or its answer was interrupted.
    Failed(Failure),
    /// The agent answered a probe.
    Verdict(Verdict),
    /// The connection to the agent was lost.
    LinkDown,
    /// The connection to an agent of this incarnation was established.
    LinkUp(Incarnation),
    /// Checks the timeouts; sent periodically.
    Tick {
        /// Time of the last message from the target's agent, 0 if unknown.
        heard: Millis,
    },
    /// The target is so slow that it delays all requests of its group.
    TargetDegraded,
    /// The target's machine is unresponsive, and no part of this answer has arrived for a while.
    TargetUnresponsive,
    /// There is no memory for the part of the answer that is kept until it is complete.
    NoRoom,
    /// The answer ended with its connection, and nothing has proved for a while that it is
    /// complete.
    EndUnconfirmed,
    /// The request is blocked as a suspect: several targets terminated while they ran it.
    EndsTargets,
    /// The caller closed its connection.
    CallerGone,
    /// The process is about to be killed.
    ProcessEnds,
}

/// State of an attempt, as an agent reports it in answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt did not run, and the agent will refuse it from now on.
    Blocked,
    /// The attempt is running; its answer follows.
    Running,
    /// The attempt has finished; its answer follows if the agent still has it.
    Finished,
}

impl Verdict {
    /// Decodes the number used on the wire. Returns `None` for an unknown number.
    pub fn parse(code: u32) -> Option<Self> {
        match code {
            0 => Some(Self::Blocked),
            1 => Some(Self::Running),
            2 => Some(Self::Finished),
            _ => None,
        }
    }
}

/// Output of the state machine: what the entry must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a target, preferably one that was not tried yet, and send it the request.
    Dispatch,
    /// Ask the agent of the current attempt for the attempt's state.
    Probe(AttemptId),
    /// Ask the agent to cancel the attempt.
    Cancel(AttemptId),
    /// Send the head of the answer to the caller.
    Head(Head),
    /// Send bytes of the body to the caller.
    Deliver(Vec<u8>),
    /// Complete the caller's answer.
    Finish,
    /// Answer the caller with this failure.
    Fail(Failure),
    /// Increment the counter of retries for this reason.
    CountRetry(Retry),
    /// Increment the counter of ignored messages for this reason.
    CountIgnored(Ignored),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No attempt is in progress; waits for the entry to choose a target.
    Choosing,
    /// An attempt was sent, and its agent is connected.
    Sent,
    /// Contact with the agent was lost. The agent is probed when it is connected again.
    Probing { since: Millis },
    /// The caller got the final answer or failure.
    Ended,
}

#[derive(Clone, Debug)]
struct Sent {
    target: String,
    incarnation: Incarnation,
}

/// State machine of one request.
#[derive(Clone, Debug)]
pub struct Flight {
    options: Options,
    request: Request,
    state: State,
    attempt: u32,
    /// Number of attempts of which no part was sent.
    unsent_attempts: u32,
    sent: Option<Sent>,
    head: Option<Head>,
    /// Bytes of the current attempt's answer received so far, without gaps.
    received: u64,
    /// Buffered body of an answer that is not streamed.
    body: Vec<u8>,
    /// Whether the head of a streamed answer was delivered to the caller.
    head_delivered: bool,
    /// Splits the answer into events, if it is a stream of them.
    splitter: Option<Splitter>,
    /// Time of the last message about the current attempt or from its agent.
    last_heard: Millis,
    tried: Vec<String>,
    /// Whether any attempt before the current one ran.
    ran_before: Ran,
}

impl Flight {
    /// Returns the initial state, which waits for a target.
    pub fn new(options: Options, request: Request) -> Self {
        let splitter = request.stream.then(Splitter::default);
        Self {
            options,
            request,
            state: State::Choosing,
            attempt: 0,
            unsent_attempts: 0,
            sent: None,
            head: None,
            received: 0,
            body: Vec::new(),
            head_delivered: false,
            splitter,
            last_heard: 0,
            tried: Vec::new(),
            ran_before: Ran::NotRun,
        }
    }

    /// Returns the request's fixed properties.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the id of the latest attempt; its number is 0 before the first one.
    pub fn attempt(&self) -> AttemptId {
        AttemptId { request: self.request.id, number: self.attempt }
    }

    /// Returns the target of the latest attempt, `None` before the first one.
    pub fn target(&self) -> Option<&str> {
        self.sent.as_ref().map(|it| it.target.as_str())
    }

    /// Returns the targets that attempts were made at, without duplicates.
    pub fn tried(&self) -> &[String] {
        &self.tried
    }

    /// Returns the id of the last complete event, after which another target resumes a stream.
    pub fn last_event_id(&self) -> Option<&str> {
        self.splitter.as_ref().filter(|_| self.request.resumable).and_then(Splitter::last_id)
    }

    /// Returns the memory in bytes for the part of the answer that is kept: a whole answer until it
    /// is complete, and an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.body.capacity() + self.splitter.as_ref().map_or(0, Splitter::pending_bytes)
    }

    /// Returns whether an attempt is in progress and no part of its answer, nor any other sign
    /// of its target, was recorded for `SILENCE_THRESHOLD`.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.state == State::Sent && now >= self.last_heard + SILENCE_THRESHOLD
    }

    /// Returns whether no attempt is in progress and the request waits for a target.
    pub fn is_choosing(&self) -> bool {
        self.state == State::Choosing
    }

    /// Returns whether the caller got its final answer or failure.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Returns whether a timeout has expired, so that an [`Event::Tick`] has an effect. `heard`
    /// is the time of the last message from the target's agent.
    pub fn is_due(&self, now: Millis, heard: Millis) -> bool {
        let late = now >= self.request.deadline;
        match self.state {
            State::Probing { since } => late || now >= since + self.options.probe_timeout,
            State::Sent => late || self.is_stalled(now, heard),
            State::Choosing => late,
            State::Ended => false,
        }
    }

    /// Starts the next attempt, at `target`, and returns its id. To be called in answer to
    /// [`Action::Dispatch`].
    pub fn send(&mut self, now: Millis, target: &str, incarnation: Incarnation) -> AttemptId {
        debug_assert!(self.state == State::Choosing, "send() without a pending Action::Dispatch");
        self.attempt += 1;
        self.sent = Some(Sent { target: target.to_owned(), incarnation });
        self.state = State::Sent;
        self.start_attempt(now);
        if !self.tried.iter().any(|it| it == target) {
            self.tried.push(target.to_owned());
        }
        self.attempt()
    }

    /// Fails the request because no target could be chosen, in answer to [`Action::Dispatch`].
    pub fn refuse(&mut self, reason: Refusal) -> Vec<Action> {
        self.fail(reason, Ran::NotRun)
    }

    /// Handles an event of attempt `number`, or of the whole request if `number` is 0, and
    /// returns the resulting actions. `budget` takes one retry from the retry budget and returns
    /// false if there is none left. Events of earlier attempts are ignored and counted.
    pub fn handle_event(
        &mut self,
        now: Millis,
        number: u32,
        event: Event,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if self.is_ended() || (number != 0 && number != self.attempt) {
            return vec![Action::CountIgnored(Ignored::LateAnswer)];
        }
        match event {
            Event::Head(head) => self.on_head(now, head, budget),
            Event::Chunk { offset, data } => self.on_chunk(now, offset, data, budget),
            Event::Done { length } => self.on_done(now, length, budget),
            Event::Refused(reason) => self.on_refused(now, reason, budget),
            Event::Unsent => self.on_unsent(),
            Event::Failed(failure) => self.on_failed(now, failure, budget),
            Event::Verdict(verdict) => self.on_verdict(now, verdict),
            Event::LinkDown => self.on_link_down(now, budget),
            Event::LinkUp(incarnation) => self.on_link_up(now, incarnation),
            Event::Tick { heard } => {
                self.last_heard = self.last_heard.max(heard);
                self.on_tick(now, budget)
            }
            Event::TargetDegraded => self.switch_target(now, Retry::SlowTarget, budget),
            Event::TargetUnresponsive => self.switch_target(now, Retry::QuietTarget, budget),
            Event::EndUnconfirmed => self.switch_target(now, Retry::UnconfirmedEnd, budget),
            Event::NoRoom => self.refuse_answer(Refusal::AnswersFull),
            Event::EndsTargets => self.on_ends_targets(),
            Event::ProcessEnds => self.give_up(Refusal::Stopping),
            Event::CallerGone => self.on_caller_gone(),
        }
    }

    fn start_attempt(&mut self, now: Millis) {
        self.last_heard = now;
        self.head = None;
        self.received = 0;
        self.body.clear();
        if let Some(splitter) = &mut self.splitter {
            splitter.discard_partial();
        }
    }

    fn on_head(
        &mut self,
        now: Millis,
        head: Head,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        self.record_activity(now);
        if self.head.is_some() {
            // After a probe the agent sends its answer again from the start.
            return Vec::new();
        }
        let busy = matches!(head.status, 429 | 503);
        if busy && !self.request.unsafe_repeat {
            let failure = Failure { reason: Refusal::EngineBusy, ran: Ran::NotRun };
            return self.retry_if_safe(now, Retry::EngineBusy, failure, budget);
        }
        if self.head_delivered {
            // The caller already got the head of an earlier attempt's answer.
            return self.on_resumed(now, head, budget);
        }
        if head.status >= 500 && self.may_run_again(now) && budget() {
            // The body of the error response is not needed.
            let mut actions = vec![Action::Cancel(self.attempt())];
            actions.extend(self.redispatch(Retry::EngineFailed, Ran::Unknown));
            return actions;
        }
        self.head = Some(head.clone());
        if !self.request.stream {
            return Vec::new();
        }
        self.head_delivered = true;
        if !(200..300).contains(&head.status) {
            // The body of an error response is not an event stream.
            self.splitter = None;
        }
        if !self.request.resumable && !head.is_event_stream() {
            self.splitter = None;
        }
        vec![Action::Head(head)]
    }

    fn on_resumed(
        &mut self,
        now: Millis,
        head: Head,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if (200..300).contains(&head.status) {
            self.head = Some(head);
            return Vec::new();
        }
        let failure = Failure { reason: Refusal::EngineBroke, ran: Ran::Ran };
        self.retry_if_safe(now, Retry::EngineFailed, failure, budget)
    }

    fn on_chunk(
        &mut self,
        now: Millis,
        offset: u64,
        mut data: Vec<u8>,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        self.record_activity(now);
        let end = offset + data.len() as u64;
        if offset > self.received || self.head.is_none() {
            return self.on_gap(now, budget);
        }
        if end <= self.received {
            // Already received: after a probe the agent sends its answer again from the start.
            return Vec::new();
        }
        data.drain(..(self.received - offset) as usize);
        self.received = end;
        if let Some(splitter) = &mut self.splitter {
            let complete = splitter.push(&data);
            if splitter.pending_bytes() > self.options.max_answer_bytes {
                return self.refuse_answer(Refusal::AnswerTooLarge);
            }
            // Incomplete events are held back only if another target may continue the stream.
            let ready = if self.request.resumable { complete } else { data };
            return if ready.is_empty() { Vec::new() } else { vec![Action::Deliver(ready)] };
        }
        if self.request.stream {
            return vec![Action::Deliver(data)];
        }
        if self.body.len() + data.len() > self.options.max_answer_bytes {
            return self.refuse_answer(Refusal::AnswerTooLarge);
        }
        self.body.extend_from_slice(&data);
        Vec::new()
    }

    /// Fails a request whose answer, or an event of it, cannot be kept.
    fn refuse_answer(&mut self, reason: Refusal) -> Vec<Action> {
        let mut actions = vec![Action::Cancel(self.attempt())];
        actions.extend(self.fail(reason, Ran::Ran));
        actions
    }

    fn on_done(
        &mut self,
        now: Millis,
        length: u64,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        let partial = self.splitter.as_ref().is_some_and(Splitter::is_partial);
        if length != self.received || self.head.is_none() || partial {
            return self.on_gap(now, budget);
        }
        self.state = State::Ended;
        if self.request.stream {
            return vec![Action::Finish];
        }
        let Some(head) = self.head.take() else {
            return Vec::new();
        };
        let body = std::mem::take(&mut self.body);
        vec![Action::Head(head), Action::Deliver(body), Action::Finish]
    }

    fn on_gap(&mut self, now: Millis, budget: &mut dyn FnMut() -> bool) -> Vec<Action> {
        let cancel = Action::Cancel(self.attempt());
        let failure = Failure { reason: Refusal::AnswerGap, ran: Ran::Ran };
        let mut actions = vec![cancel];
        actions.extend(self.retry_if_safe(now, Retry::AnswerGap, failure, budget));
        actions
    }

    fn on_refused(
        &mut self,
        now: Millis,
        reason: Refusal,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        let mut ran = reason.ran_after_agent_refusal();
        if reason == Refusal::Duplicate {
            // A duplicate of the dispatch message was refused; the first is still being handled.
            return vec![Action::CountIgnored(Ignored::LateAnswer)];
        }
        if self.head_delivered {
            ran = Ran::Ran;
        }
        if reason == Refusal::HallEvacuated && !self.request.keyed {
            // The agent sent no part of the attempt to its target.
            return self.on_unsent();
        }
        let failure = Failure { reason, ran };
        // If the agent proved that this attempt did not run, even an unsafe request may be
        // retried at another target, unless it has a key: only the key's owner may run it.
        let may_repeat = ran == Ran::NotRun || !self.request.unsafe_repeat;
        if reason.may_retry_elsewhere() && may_repeat && !self.request.keyed {
            return self.retry_within_limits(now, Retry::Refused, failure, budget);
        }
        self.fail(failure.reason, failure.ran)
    }

    /// An attempt that was not sent puts no load on its target, so it counts neither against the
    /// maximum of attempts nor against the retry budget.
    fn on_unsent(&mut self) -> Vec<Action> {
        self.unsent_attempts += 1;
        self.redispatch(Retry::TargetRests, Ran::NotRun)
    }

    fn on_failed(
        &mut self,
        now: Millis,
        failure: Failure,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if failure.ran == Ran::NotRun && !self.request.keyed {
            return self.retry_within_limits(now, Retry::EngineFailed, failure, budget);
        }
        self.retry_if_safe(now, Retry::EngineFailed, failure, budget)
    }

    fn on_verdict(&mut self, now: Millis, verdict: Verdict) -> Vec<Action> {
        self.record_activity(now);
        match verdict {
            Verdict::Blocked if self.head.is_none() => self.fail(Refusal::ContactLost, Ran::NotRun),
            Verdict::Blocked => self.fail(Refusal::AnswerGap, Ran::Ran),
            Verdict::Running | Verdict::Finished => {
                self.state = State::Sent;
                Vec::new()
            }
        }
    }

    fn on_link_down(&mut self, now: Millis, budget: &mut dyn FnMut() -> bool) -> Vec<Action> {
        if self.state != State::Sent {
            return Vec::new();
        }
        if self.request.unsafe_repeat {
            self.state = State::Probing { since: now };
            return Vec::new();
        }
        let failure = Failure { reason: Refusal::ContactLost, ran: Ran::Unknown };
        self.retry_if_safe(now, Retry::ContactLost, failure, budget)
    }

    fn on_link_up(&mut self, now: Millis, incarnation: Incarnation) -> Vec<Action> {
        let State::Probing { .. } = self.state else {
            return Vec::new();
        };
        let same = self.sent.as_ref().is_some_and(|it| it.incarnation == incarnation);
        if !same {
            return self.fail(Refusal::AgentRestarted, Ran::Unknown);
        }
        self.state = State::Probing { since: now };
        vec![Action::Probe(self.attempt())]
    }

    fn on_tick(&mut self, now: Millis, budget: &mut dyn FnMut() -> bool) -> Vec<Action> {
        if now >= self.request.deadline {
            return self.give_up(Refusal::DeadlinePassed);
        }
        match self.state {
            State::Probing { since } if now >= since + self.options.probe_timeout => {
                self.fail(Refusal::ContactLost, Ran::Unknown)
            }
            State::Sent if self.is_stalled(now, self.last_heard) => {
                let cancel = Action::Cancel(self.attempt());
                let failure = Failure { reason: Refusal::ContactLost, ran: Ran::Unknown };
                let mut actions = vec![cancel];
                actions.extend(self.retry_if_safe(now, Retry::Stalled, failure, budget));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether the stall timeout of a request that may be retried has expired. Other
    /// requests wait until their deadline.
    fn is_stalled(&self, now: Millis, heard: Millis) -> bool {
        let retryable = !self.request.unsafe_repeat && !self.is_committed();
        retryable && now >= self.last_heard.max(heard) + self.options.stall_timeout
    }

    /// Cancels the current attempt and retries the request at another target, if it may be
    /// retried. Otherwise the attempt continues: the target is slow or silent but has not failed.
    fn switch_target(
        &mut self,
        now: Millis,
        retry: Retry,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if self.state != State::Sent || !self.may_run_again(now) || !budget() {
            return Vec::new();
        }
        let ran = if self.head_delivered { Ran::Ran } else { Ran::Unknown };
        let mut actions = vec![Action::Cancel(self.attempt())];
        actions.extend(self.redispatch(retry, ran));
        actions
    }

    /// Fails a request for which no time is left.
    fn give_up(&mut self, reason: Refusal) -> Vec<Action> {
        let ran = match self.state {
            State::Choosing => Ran::NotRun,
            _ if self.head.is_some() => Ran::Ran,
            _ => Ran::Unknown,
        };
        let mut actions = self.cancel_sent();
        actions.extend(self.fail(reason, ran));
        actions
    }

    /// Fails a request that is blocked as a suspect, unless a part of its answer has arrived: a
    /// request that terminates its target does so before the first part.
    fn on_ends_targets(&mut self) -> Vec<Action> {
        let ran = match self.state {
            State::Choosing => Ran::NotRun,
            State::Sent | State::Probing { .. } if self.received == 0 => Ran::Unknown,
            State::Sent | State::Probing { .. } | State::Ended => return Vec::new(),
        };
        let mut actions = self.cancel_sent();
        actions.extend(self.fail(Refusal::EndsTargets, ran));
        actions
    }

    fn on_caller_gone(&mut self) -> Vec<Action> {
        let ran = if self.attempt == 0 { Ran::NotRun } else { Ran::Unknown };
        let mut actions = self.cancel_sent();
        actions.extend(self.fail(Refusal::CallerGone, ran));
        actions
    }

    fn cancel_sent(&self) -> Vec<Action> {
        match self.state {
            State::Sent => vec![Action::Cancel(self.attempt())],
            State::Choosing | State::Probing { .. } | State::Ended => Vec::new(),
        }
    }

    /// Retries a safe request if no part of an answer was delivered that can't be resumed.
    /// Fails any other request.
    fn retry_if_safe(
        &mut self,
        now: Millis,
        retry: Retry,
        failure: Failure,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if self.request.unsafe_repeat || self.is_committed() {
            return self.fail(failure.reason, failure.ran);
        }
        self.retry_within_limits(now, retry, failure, budget)
    }

    /// Retries the request if its limits and the retry budget allow it, or fails it. To be called
    /// only if the request is safe or the current attempt is proved not to have run.
    fn retry_within_limits(
        &mut self,
        now: Millis,
        retry: Retry,
        failure: Failure,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if !self.is_retry_allowed(now) {
            return self.fail(failure.reason, failure.ran);
        }
        if !budget() {
            return self.fail(Refusal::RetryBudget, failure.ran);
        }
        self.redispatch(retry, failure.ran)
    }

    /// Returns whether the deadline, the number of attempts and the delivered part of the answer
    /// allow another attempt.
    fn is_retry_allowed(&self, now: Millis) -> bool {
        let late = now >= self.request.deadline;
        !self.is_committed()
            && !late
            && self.attempt - self.unsent_attempts < self.request.max_attempts
    }

    /// Returns whether part of an answer was delivered that no other target can continue.
    fn is_committed(&self) -> bool {
        self.head_delivered && !(self.request.resumable && self.splitter.is_some())
    }

    /// Returns whether the request may be retried although the current attempt may have run.
    fn may_run_again(&self, now: Millis) -> bool {
        !self.request.unsafe_repeat && self.is_retry_allowed(now)
    }

    /// Ends the current attempt and asks for a target for the next one. `ran` says whether the
    /// current attempt ran.
    fn redispatch(&mut self, retry: Retry, ran: Ran) -> Vec<Action> {
        self.ran_before = self.combined_ran(ran);
        self.head = None;
        self.state = State::Choosing;
        vec![Action::CountRetry(retry), Action::Dispatch]
    }

    fn fail(&mut self, reason: Refusal, ran: Ran) -> Vec<Action> {
        let ran = self.combined_ran(ran);
        self.state = State::Ended;
        vec![Action::Fail(Failure { reason, ran })]
    }

    /// Combines the results of all attempts, `last` being that of the current one. The request
    /// counts as not run only if that is proved for every attempt.
    fn combined_ran(&self, last: Ran) -> Ran {
        match (self.ran_before, last) {
            (Ran::Ran, _) | (_, Ran::Ran) => Ran::Ran,
            _ if self.head.is_some() => Ran::Ran,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
        }
    }

    fn record_activity(&mut self, now: Millis) {
        self.last_heard = now;
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One request's life at an entry, from admission to its final answer.
//!
//! The state machine takes what happened and says what to do. It is the only
//! place that decides whether a request may be sent again and what the
//! caller is told of it:
//!
//! - A request that must not repeat is sent once. It may be sent again only
//!   after an agent has proved that the earlier attempt did not run.
//! - Lost contact with such a request ends in a probe of the same agent.
//! - A safe request is sent elsewhere as long as nothing of an answer was
//!   delivered, the deadline has not passed and the retry budget lasts.
//! - A stream that may be resumed is taken up elsewhere after the last whole
//!   event that was delivered.

use crate::events::Splitter;
use crate::id::{AttemptId, Incarnation, Millis, RequestId};
use crate::outcome::{Failure, Ran};
use crate::reason::{Ignored, Refusal, Retry};

/// Time without a part of an answer after which its target counts as silent: two
/// passes of the longest that callers are promised on the users' platform.
const SILENT: Millis = 400;

/// Limits of a [`Flight`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes of an answer kept until it is whole. Default 4 MiB.
    pub answer: usize,
    /// How long a probe may stay without an answer. Default 5 s.
    pub probe: Millis,
    /// How long a target may give no sign of life before a safe request is
    /// sent elsewhere. Default 10 s.
    pub stall: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self { answer: 4 << 20, probe: 5_000, stall: 10_000 }
    }
}

/// What is fixed when the request is admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// When it is no longer wanted.
    pub deadline: Millis,
    /// Targets that it may be sent to in all.
    pub attempts: u32,
    /// It must not run more than once.
    pub unsafe_repeat: bool,
    /// It has an idempotency key, so that one target owns it.
    pub keyed: bool,
    /// The answer is delivered as it comes, not when it is whole.
    pub stream: bool,
    /// A broken answer may be taken up by another target after its last event.
    pub resume: bool,
}

/// A header field of an answer, passed on as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// How an answer begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u32,
    /// Header fields that the caller gets, without those of one connection.
    pub fields: Vec<Field>,
    /// A recorded answer.
    pub replayed: bool,
}

impl Head {
    /// A head with nothing but its content type, as agents send it.
    pub fn plain(status: u32, content_type: &str, replayed: bool) -> Self {
        let field = Field { name: "content-type".to_owned(), value: content_type.into() };
        Self { status, fields: vec![field], replayed }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The target began to answer.
    Head(Head),
    /// Bytes of the answer.
    Chunk {
        /// Where they start.
        offset: u64,
        /// The bytes.
        data: Vec<u8>,
    },
    /// The answer is whole.
    Done {
        /// Its length.
        length: u64,
    },
    /// The agent refused.
    Refused(Refusal),
    /// The target said that it takes nothing more, before anything of the attempt was sent.
    Unsent,
    /// The target failed.
    Failed(Failure),
    /// A probe was answered.
    Verdict(Verdict),
    /// Contact with the agent was lost.
    LinkDown,
    /// Contact with the agent is back.
    LinkUp(Incarnation),
    /// Time passed.
    Tick {
        /// When the target's agent last gave a sign of life, as far as known.
        heard: Millis,
    },
    /// The target takes so long that it holds up all that others run.
    TargetCrawls,
    /// Nothing is heard of the target's machine, nor of the request there.
    TargetQuiet,
    /// Targets are known to end as they run the request.
    EndsTargets,
    /// The caller went away.
    CallerGone,
}

/// An agent's answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It never ran and never will.
    Blocked,
    /// It runs; its answer follows.
    Running,
    /// It ended; its answer follows if it was kept.
    Finished,
}

impl Verdict {
    /// Reads a number from the wire.
    pub fn parse(code: u32) -> Option<Self> {
        match code {
            0 => Some(Self::Blocked),
            1 => Some(Self::Running),
            2 => Some(Self::Finished),
            _ => None,
        }
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a target, not among those tried if possible, and send it there.
    Dispatch,
    /// Ask the same agent what it knows of the attempt.
    Probe(AttemptId),
    /// Tell the agent to stop the attempt.
    Cancel(AttemptId),
    /// Begin the caller's answer.
    Head(Head),
    /// Hand bytes to the caller.
    Deliver(Vec<u8>),
    /// The caller's answer is whole.
    Finish,
    /// The caller's answer is this failure.
    Fail(Failure),
    /// Count a retry.
    CountRetry(Retry),
    /// Count something ignored.
    CountIgnored(Ignored),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Waits for a target.
    Choosing,
    /// Sent; contact is good.
    Sent,
    /// Contact was lost; the agent is asked when it is back.
    Probing { since: Millis },
    /// The final answer was given.
    Ended,
}

#[derive(Clone, Debug)]
struct Sent {
    target: String,
    incarnation: Incarnation,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Flight {
    options: Options,
    request: Request,
    state: State,
    attempt: u32,
    /// Attempts of which nothing was sent.
    unsent: u32,
    sent: Option<Sent>,
    head: Option<Head>,
    received: u64,
    body: Vec<u8>,
    delivered: bool,
    /// Cuts the answer into events, if it may be resumed.
    events: Option<Splitter>,
    heard: Millis,
    tried: Vec<String>,
    /// What is known of all attempts before this one together.
    before: Ran,
}

impl Flight {
    /// Opens a flight that waits for a target.
    pub fn open(options: Options, request: Request) -> Self {
        let events = request.resume.then(Splitter::default);
        Self {
            options,
            request,
            state: State::Choosing,
            attempt: 0,
            unsent: 0,
            sent: None,
            head: None,
            received: 0,
            body: Vec::new(),
            delivered: false,
            events,
            heard: 0,
            tried: Vec::new(),
            before: Ran::NotRun,
        }
    }

    /// The request.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// The attempt in progress.
    pub fn attempt(&self) -> AttemptId {
        AttemptId { request: self.request.id, number: self.attempt }
    }

    /// The target of the attempt in progress.
    pub fn target(&self) -> Option<&str> {
        self.sent.as_ref().map(|it| it.target.as_str())
    }

    /// Targets tried so far.
    pub fn tried(&self) -> &[String] {
        &self.tried
    }

    /// Id of the last event delivered, after which another target goes on.
    pub fn last_event(&self) -> Option<&str> {
        self.events.as_ref().and_then(Splitter::last)
    }

    /// Whether nothing of the answer has come for longer than a target takes
    /// between two parts of one.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.state == State::Sent && now >= self.heard + SILENT
    }

    /// Whether the final answer was given.
    pub fn ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether a tick would do anything now.
    pub fn due(&self, now: Millis, heard: Millis) -> bool {
        let late = now >= self.request.deadline;
        match self.state {
            State::Probing { since } => late || now >= since + self.options.probe,
            State::Sent => late || self.stalled(now, heard),
            State::Choosing => late,
            State::Ended => false,
        }
    }

    /// Records that an attempt is sent, and returns its name. To be called
    /// in answer to [`Action::Dispatch`].
    pub fn send(&mut self, now: Millis, target: &str, incarnation: Incarnation) -> AttemptId {
        debug_assert!(self.state == State::Choosing, "a dispatch must be asked for");
        self.attempt += 1;
        self.sent = Some(Sent { target: target.to_owned(), incarnation });
        self.state = State::Sent;
        self.reset(now);
        if !self.tried.iter().any(|it| it == target) {
            self.tried.push(target.to_owned());
        }
        self.attempt()
    }

    /// Records that no target could be chosen.
    pub fn refuse(&mut self, reason: Refusal) -> Vec<Action> {
        self.fail(reason, Ran::NotRun)
    }

    /// Takes an event of attempt `number`, or of the whole request if 0.
    pub fn on(
        &mut self,
        now: Millis,
        number: u32,
        event: Event,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if self.ended() || (number != 0 && number != self.attempt) {
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
            Event::LinkDown => self.on_down(now, budget),
            Event::LinkUp(incarnation) => self.on_up(now, incarnation),
            Event::Tick { heard } => {
                self.heard = self.heard.max(heard);
                self.on_tick(now, budget)
            }
            Event::TargetCrawls => self.leave(now, Retry::SlowTarget, budget),
            Event::TargetQuiet => self.leave(now, Retry::QuietTarget, budget),
            Event::EndsTargets => self.on_ends_targets(),
            Event::CallerGone => self.on_gone(),
        }
    }

    fn reset(&mut self, now: Millis) {
        self.heard = now;
        self.head = None;
        self.received = 0;
        self.body.clear();
        if let Some(events) = &mut self.events {
            events.restart();
        }
    }

    fn on_head(
        &mut self,
        now: Millis,
        head: Head,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        self.alive(now);
        if self.head.is_some() {
            // A resumed answer repeats its head.
            return Vec::new();
        }
        let busy = matches!(head.status, 429 | 503);
        if busy && !self.request.unsafe_repeat {
            let failure = Failure { reason: Refusal::EngineBusy, ran: Ran::NotRun };
            return self.again(now, Retry::EngineBusy, failure, budget);
        }
        if self.delivered {
            // The caller keeps the head of the first target.
            return self.on_resumed(now, head, budget);
        }
        if head.status >= 500 && self.may_move(now) && budget() {
            // The rest of its answer is not waited for.
            let mut actions = vec![Action::Cancel(self.attempt())];
            actions.extend(self.move_on(Retry::EngineFailed, Ran::Unknown));
            return actions;
        }
        self.head = Some(head.clone());
        if !self.request.stream {
            return Vec::new();
        }
        self.delivered = true;
        if !(200..300).contains(&head.status) {
            // What follows is not made of events.
            self.events = None;
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
        self.again(now, Retry::EngineFailed, failure, budget)
    }

    fn on_chunk(
        &mut self,
        now: Millis,
        offset: u64,
        mut data: Vec<u8>,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        self.alive(now);
        let end = offset + data.len() as u64;
        if offset > self.received || self.head.is_none() {
            return self.gap(now, budget);
        }
        if end <= self.received {
            // Bytes that a resumed answer repeats.
            return Vec::new();
        }
        data.drain(..(self.received - offset) as usize);
        self.received = end;
        if let Some(events) = &mut self.events {
            let whole = events.take(&data);
            return if whole.is_empty() { Vec::new() } else { vec![Action::Deliver(whole)] };
        }
        if self.request.stream {
            return vec![Action::Deliver(data)];
        }
        if self.body.len() + data.len() > self.options.answer {
            let mut actions = vec![Action::Cancel(self.attempt())];
            actions.extend(self.fail(Refusal::AnswerTooLarge, Ran::Ran));
            return actions;
        }
        self.body.extend_from_slice(&data);
        Vec::new()
    }

    fn on_done(
        &mut self,
        now: Millis,
        length: u64,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        let partial = self.events.as_ref().is_some_and(Splitter::is_partial);
        if length != self.received || self.head.is_none() || partial {
            return self.gap(now, budget);
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

    fn gap(&mut self, now: Millis, budget: &mut dyn FnMut() -> bool) -> Vec<Action> {
        let cancel = Action::Cancel(self.attempt());
        let failure = Failure { reason: Refusal::AnswerGap, ran: Ran::Ran };
        let mut actions = vec![cancel];
        actions.extend(self.again(now, Retry::AnswerGap, failure, budget));
        actions
    }

    fn on_refused(
        &mut self,
        now: Millis,
        reason: Refusal,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        let mut ran = reason.ran_by_agent();
        if reason == Refusal::Duplicate {
            // The attempt was seen before and its first copy is what counts.
            return vec![Action::CountIgnored(Ignored::LateAnswer)];
        }
        if self.delivered {
            ran = Ran::Ran;
        }
        let failure = Failure { reason, ran };
        // Where the agent proved that this attempt never runs, even a request that
        // must not repeat may go elsewhere, unless its key has one owner.
        let may_repeat = ran == Ran::NotRun || !self.request.unsafe_repeat;
        if reason.try_elsewhere() && may_repeat && !self.request.keyed {
            return self.resend(now, Retry::Refused, failure, budget);
        }
        self.fail(failure.reason, failure.ran)
    }

    /// What was not sent costs its target nothing, and so no attempt and no retry.
    fn on_unsent(&mut self) -> Vec<Action> {
        self.unsent += 1;
        self.move_on(Retry::TargetRests, Ran::NotRun)
    }

    fn on_failed(
        &mut self,
        now: Millis,
        failure: Failure,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if failure.ran == Ran::NotRun && !self.request.keyed {
            return self.resend(now, Retry::EngineFailed, failure, budget);
        }
        self.again(now, Retry::EngineFailed, failure, budget)
    }

    fn on_verdict(&mut self, now: Millis, verdict: Verdict) -> Vec<Action> {
        self.alive(now);
        match verdict {
            Verdict::Blocked if self.head.is_none() => self.fail(Refusal::ContactLost, Ran::NotRun),
            Verdict::Blocked => self.fail(Refusal::AnswerGap, Ran::Ran),
            Verdict::Running | Verdict::Finished => {
                self.state = State::Sent;
                Vec::new()
            }
        }
    }

    fn on_down(&mut self, now: Millis, budget: &mut dyn FnMut() -> bool) -> Vec<Action> {
        if self.state != State::Sent {
            return Vec::new();
        }
        if self.request.unsafe_repeat {
            self.state = State::Probing { since: now };
            return Vec::new();
        }
        let failure = Failure { reason: Refusal::ContactLost, ran: Ran::Unknown };
        self.again(now, Retry::ContactLost, failure, budget)
    }

    fn on_up(&mut self, now: Millis, incarnation: Incarnation) -> Vec<Action> {
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
            return self.on_deadline();
        }
        match self.state {
            State::Probing { since } if now >= since + self.options.probe => {
                self.fail(Refusal::ContactLost, Ran::Unknown)
            }
            State::Sent if self.stalled(now, self.heard) => {
                let cancel = Action::Cancel(self.attempt());
                let failure = Failure { reason: Refusal::ContactLost, ran: Ran::Unknown };
                let mut actions = vec![cancel];
                actions.extend(self.again(now, Retry::Stalled, failure, budget));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Only a safe request of which nothing was delivered is moved off a
    /// silent target; any other one waits for its deadline.
    fn stalled(&self, now: Millis, heard: Millis) -> bool {
        let movable = !self.request.unsafe_repeat && !self.is_bound();
        movable && now >= self.heard.max(heard) + self.options.stall
    }

    /// Moves what can go on elsewhere. Anything else stays where it is: it is
    /// no failure, only late.
    fn leave(
        &mut self,
        now: Millis,
        retry: Retry,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if self.state != State::Sent || !self.may_move(now) || !budget() {
            return Vec::new();
        }
        let ran = if self.delivered { Ran::Ran } else { Ran::Unknown };
        let mut actions = vec![Action::Cancel(self.attempt())];
        actions.extend(self.move_on(retry, ran));
        actions
    }

    fn on_deadline(&mut self) -> Vec<Action> {
        let ran = match self.state {
            State::Choosing => Ran::NotRun,
            _ if self.head.is_some() => Ran::Ran,
            _ => Ran::Unknown,
        };
        let mut actions = self.cancel();
        actions.extend(self.fail(Refusal::DeadlinePassed, ran));
        actions
    }

    /// Gives up an attempt of whose answer nothing came: the target would end as
    /// it begins. One that answers has not ended.
    fn on_ends_targets(&mut self) -> Vec<Action> {
        let ran = match self.state {
            State::Choosing => Ran::NotRun,
            State::Sent | State::Probing { .. } if self.received == 0 => Ran::Unknown,
            State::Sent | State::Probing { .. } | State::Ended => return Vec::new(),
        };
        let mut actions = self.cancel();
        actions.extend(self.fail(Refusal::EndsTargets, ran));
        actions
    }

    fn on_gone(&mut self) -> Vec<Action> {
        let ran = if self.attempt == 0 { Ran::NotRun } else { Ran::Unknown };
        let mut actions = self.cancel();
        actions.extend(self.fail(Refusal::CallerGone, ran));
        actions
    }

    fn cancel(&self) -> Vec<Action> {
        match self.state {
            State::Sent => vec![Action::Cancel(self.attempt())],
            State::Choosing | State::Probing { .. } | State::Ended => Vec::new(),
        }
    }

    /// Sends a *safe* request again if nothing of an answer was delivered.
    fn again(
        &mut self,
        now: Millis,
        retry: Retry,
        failure: Failure,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if self.request.unsafe_repeat || self.is_bound() {
            return self.fail(failure.reason, failure.ran);
        }
        self.resend(now, retry, failure, budget)
    }

    /// Sends the request again. The caller has made sure that it may.
    fn resend(
        &mut self,
        now: Millis,
        retry: Retry,
        failure: Failure,
        budget: &mut dyn FnMut() -> bool,
    ) -> Vec<Action> {
        if !self.has_room(now) {
            return self.fail(failure.reason, failure.ran);
        }
        if !budget() {
            return self.fail(Refusal::RetryBudget, failure.ran);
        }
        self.move_on(retry, failure.ran)
    }

    /// Whether time, attempts and what was delivered leave room for one more attempt.
    fn has_room(&self, now: Millis) -> bool {
        let late = now >= self.request.deadline;
        !self.is_bound() && !late && self.attempt - self.unsent < self.request.attempts
    }

    /// Whether what was delivered binds the answer to its target.
    fn is_bound(&self) -> bool {
        self.delivered && self.events.is_none()
    }

    /// Whether an attempt that may have run can be followed by another one.
    fn may_move(&self, now: Millis) -> bool {
        !self.request.unsafe_repeat && self.has_room(now)
    }

    /// Leaves the attempt, of which `ran` is known, for another one.
    fn move_on(&mut self, retry: Retry, ran: Ran) -> Vec<Action> {
        self.before = self.overall(ran);
        self.head = None;
        self.state = State::Choosing;
        vec![Action::CountRetry(retry), Action::Dispatch]
    }

    fn fail(&mut self, reason: Refusal, ran: Ran) -> Vec<Action> {
        let ran = self.overall(ran);
        self.state = State::Ended;
        vec![Action::Fail(Failure { reason, ran })]
    }

    /// Not-run of the whole request takes proof for every attempt.
    fn overall(&self, last: Ran) -> Ran {
        match (self.before, last) {
            (Ran::Ran, _) | (_, Ran::Ran) => Ran::Ran,
            _ if self.head.is_some() => Ran::Ran,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
        }
    }

    fn alive(&mut self, now: Millis) {
        self.heard = now;
    }
}

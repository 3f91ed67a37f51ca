// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The main actor of an entry. It owns the requests in progress, chooses their targets, sends them
//! and carries out the actions that each request's state machine returns. `main` starts it; other
//! modules of this crate add the parts that face callers, targets, agents and operators.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::admit::Admission;
use sablepass_core::balance::Policy;
use sablepass_core::budget::Budget;
use sablepass_core::flight::{Action, Event};
use sablepass_core::id::{AttemptId, Incarnation, Millis, RequestId};
use sablepass_core::outcome::Failure;
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_core::starts::StartQueue;
use sablepass_edge::client;
use sablepass_edge::clock;
use sablepass_edge::mesh::Mesh;
use sablepass_edge::reader::Form;
use sablepass_edge::room::Room;
use sablepass_edge::server::{ExchangeKey, Part, Server};
use sablepass_edge::telemetry::Metrics;
use sablepass_edge::unread::UnreadFields;
use sablepass_wire::convert;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use stakker::{ActorOwn, CX, call, fwd_to};

use crate::ends::EndChecks;
use crate::open::OpenRequest;
use crate::openai;
use crate::pool::{ConnectionKey, Destination, Pool};
use crate::settings::Settings;
use crate::suspects::SuspectTracker;
use crate::targets::limits::Spent;
use crate::targets::{self, Choice, Served, Targets, Via};
use crate::trace::{Step, Traces};
use crate::turns::PeerTurns;
use crate::whole::WaitingAnswers;

/// Maximum time that a request waits for a connection to the target that owns its idempotency key.
const OWNER_WAIT: Millis = 2_000;
/// Maximum time that a started stream waits for a target that can continue it. Callers close
/// streams that deliver nothing for two seconds or more.
pub(crate) const RESUME_WAIT: Millis = 1_700;
/// Upper bound of the random addition to the retry-after time of callers that are refused while all
/// targets are paused, so that they do not all retry at once. Streams start and spread over the
/// targets within tenths of a second.
const MAX_RETRY_AFTER_SPREAD: Millis = 200;
/// Maximum number of requests that wait for a group to become ready, as a fraction of this entry's
/// share of the service's capacity. A group starts with its first expert map, which balances the
/// load poorly, and all waiting requests start at once: with more of them, their delays would
/// delay the following requests as well.
const MAX_WAITING_FRACTION: f64 = 0.5;

/// The main actor of an entry.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) settings_file: PathBuf,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) mesh: ActorOwn<Mesh>,
    pub(crate) targets: Targets,
    pub(crate) admission: Admission,
    pub(crate) options: openai::Options,
    /// Retry budget of each service.
    pub(crate) retry_budgets: HashMap<Served, Budget>,
    pub(crate) requests: HashMap<RequestId, OpenRequest>,
    pub(crate) exchanges: HashMap<ExchangeKey, RequestId>,
    /// Streams that wait to be started, by service.
    pub(crate) start_queues: HashMap<Served, StartQueue>,
    pub(crate) pool: Pool,
    /// Memory for answers that are not passed on or not read.
    pub(crate) answers: Room,
    pub(crate) waiting_answers: WaitingAnswers,
    /// Answers without a length whose ends are not known to be complete.
    pub(crate) ends: EndChecks,
    pub(crate) traces: Traces,
    /// Requests suspected of terminating their targets.
    pub(crate) watch: SuspectTracker,
    /// Next turns that other entries reported for targets with limits.
    pub(crate) turns: PeerTurns,
    /// Header fields of answers that this program does not interpret.
    pub(crate) unread: UnreadFields,
    pub(crate) rng: StdRng,
    pub(crate) server: ActorOwn<Server>,
    /// When the graceful shutdown started.
    pub(crate) stopping_since: Option<Millis>,
    /// Detects that this process was suspended.
    pub(crate) suspension_detector: clock::SuspensionDetector,
    /// Whether the last answer was sent and the process is about to exit.
    pub(crate) shutting_down: bool,
}

impl Router {
    /// Creates the actor, without configuration and connections, and starts its periodic tick.
    pub fn init(
        cx: CX![],
        (settings, settings_file): (Settings, PathBuf),
        log: Logger,
        metrics: Arc<Metrics>,
        mesh: ActorOwn<Mesh>,
        (server, answers): (ActorOwn<Server>, Room),
    ) -> Option<Self> {
        let options = targets::Options {
            me: settings.node.name.clone(),
            hall: settings.node.hall.clone(),
            subset: settings.subset,
            stop_lead: settings.stop_lead,
            silence: settings.silence,
            group_stall: settings.stands,
            drain: settings.drain,
            agent_port: settings.agent_port,
            evacuates_listed: settings.node.form == Form::Keys,
            regions: settings.regions.clone(),
            cold: settings.cold_bound(),
        };
        let policy = Policy::parse(&settings.policy).unwrap_or_default();
        let mut router = Self {
            targets: Targets::open(options, policy),
            admission: Admission::open(settings.admission_options()),
            options: openai::Options::from(&settings),
            retry_budgets: HashMap::new(),
            requests: HashMap::new(),
            exchanges: HashMap::new(),
            start_queues: HashMap::new(),
            pool: Pool::open(
                fwd_to!([cx], direct_event() as ((ConnectionKey, client::Event))),
                settings.capacity().map_or(usize::MAX, |it| it.targets),
            ),
            answers,
            waiting_answers: WaitingAnswers::default(),
            ends: EndChecks::default(),
            traces: Traces::open(settings.stories),
            watch: SuspectTracker::default(),
            turns: PeerTurns::default(),
            unread: UnreadFields::default(),
            rng: StdRng::seed_from_u64(rand::random()),
            stopping_since: None,
            suspension_detector: clock::SuspensionDetector::default(),
            shutting_down: false,
            settings,
            settings_file,
            log,
            metrics,
            mesh,
            server,
        };
        router.tick(cx);
        Some(router)
    }

    // Sending.

    /// Sends a request to a target, unless it is blocked as a suspect, no target is in its regions,
    /// or its start is deferred.
    pub(crate) fn dispatch(&mut self, cx: CX![], id: RequestId) {
        let now = clock::now();
        if !self.refuse_if_blocked(cx, now, id)
            && !self.refuse_if_outside(cx, id)
            && !self.refuse_if_evacuated(cx, now, id)
            && !self.defer_start(cx, now, id)
        {
            self.place(cx, id);
        }
    }

    /// Chooses a target for a request and sends it there, without asking the start queue.
    pub(crate) fn place(&mut self, cx: CX![], id: RequestId) {
        let now = clock::now();
        if self.refuse_if_blocked(cx, now, id) || self.refuse_if_outside(cx, id) {
            return;
        }
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        if now >= open.flight.request().deadline {
            // The deadline passed while the request waited, as when the process was suspended.
            self.handle_event(cx, id, 0, Event::Tick { heard: now });
            return;
        }
        if let Some(name) = open.counted_target.take() {
            self.targets.ended(&name);
        }
        let turn = open.slot.take().and_then(|it| it.granted());
        let turn = turn.filter(|it| !it.is_void(now, &self.targets));
        let reserved =
            turn.and_then(|it| self.targets.choose_reserved(now, it.incarnation(), &open.scope));
        let choice = match &open.owner {
            _ if reserved.is_some() => reserved,
            Some(owner) => {
                let choice = self.targets.choose_owner(now, owner, &open.scope);
                let since = *open.waiting_since.get_or_insert(now);
                if choice.is_none() && now < since + OWNER_WAIT && now < open.run.deadline {
                    self.update_wanted_peers(cx);
                    return;
                }
                choice
            }
            None => {
                let prefix = open.run.prefix.as_deref();
                let tried = open.flight.tried();
                self.targets.choose(now, &mut self.rng, open.demand(), prefix, tried)
            }
        };
        open.waiting_since = None;
        match choice {
            Some(choice) => self.send(cx, now, id, &choice),
            None => self.handle_no_target(cx, now, id),
        }
    }

    /// Handles a request that no target can take now: lets it wait if a target is expected in
    /// time, and refuses it otherwise.
    fn handle_no_target(&mut self, cx: CX![], now: Millis, id: RequestId) {
        if self.refuse_if_evacuated(cx, now, id) {
            return;
        }
        // Heartbeats may have arrived since the last tick.
        self.targets.update_groups(now);
        let ready_soon = self.should_wait_for_group(now, id);
        if self.seek_turn(cx, now, id) {
            return;
        }
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let paused_until = self.targets.pause_ends_at(now, open.demand());
        if open.head_sent && paused_until.unwrap_or(now) < open.delivered_at + RESUME_WAIT {
            open.waiting_since = Some(now);
            return;
        }
        if paused_until.is_some() {
            let actions = open.flight.refuse(Refusal::TargetsRest);
            self.apply_actions(cx, id, actions);
            return;
        }
        if ready_soon {
            open.waiting_since = Some(now);
            slog::info!(self.log, "waiting for its group to become ready"; "id" => &open.run.label,
                "service" => &open.served.1, "after" => now.saturating_sub(open.run.arrived));
            return;
        }
        let is_evacuated = self.targets.is_all_evacuated(now, open.demand(), open.owner());
        let reason = match (&open.owner, self.targets.has_closed_group(now, open.demand())) {
            _ if is_evacuated => Refusal::Evacuated,
            (Some(_), _) => Refusal::OwnerAway,
            (None, true) => Refusal::GroupClosed,
            (None, false) => Refusal::NoTarget,
        };
        let actions = open.flight.refuse(reason);
        self.apply_actions(cx, id, actions);
    }

    /// Returns whether a request without a target should wait for its group to become ready.
    fn should_wait_for_group(&self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else { return false };
        if !open.may_wait_for_group(now)
            || open.owner.is_some()
            || !self.targets.opens_soon(now, open.demand())
        {
            return false;
        }
        let waits_too = |it: &&OpenRequest| {
            it.waiting_since.is_some() && it.served == open.served && it.scope.overlaps(&open.scope)
        };
        let max_waiting = self.targets.total_share(open.demand()).capacity * MAX_WAITING_FRACTION;
        (self.requests.values().filter(waits_too).count() as f64) < max_waiting
    }

    fn send(&mut self, cx: CX![], now: Millis, id: RequestId, choice: &Choice) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let incarnation = match choice.via {
            Via::Agent(_, it) => it,
            Via::Direct(..) => Incarnation(0),
        };
        let attempt = open.flight.send(now, &choice.name, incarnation);
        open.sent_at = now;
        open.counted_target = Some(choice.name.clone());
        open.turn_requested = false;
        open.queued = None;
        let spent =
            if choice.reserved { Spent::Within } else { self.targets.spend(now, &choice.name) };
        match spent {
            Spent::Within => {}
            Spent::OverLimit => {
                self.metrics.sent_over_limit.inc();
                slog::error!(self.log, "sent beyond this entry's part of a limit";
                    "id" => &open.run.label, "target" => &choice.name);
            }
            Spent::OverCold => {
                self.metrics.sent_over_cold_rate.inc();
                slog::error!(self.log, "sent beyond this entry's part of a cold target's rate";
                    "id" => &open.run.label, "target" => &choice.name);
            }
        }
        if !self.watch.suspects.is_empty() {
            self.log_suspect(now, id);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        self.targets.sent(&choice.name);
        if attempt.number == 1 {
            open.started = now;
            let wait_s = now.saturating_sub(open.run.arrived) as f64 / 1_000.0;
            self.metrics.wait.observe(wait_s);
        }
        let addr = match choice.via {
            Via::Agent(..) => None,
            Via::Direct(it, _) => Some(it.to_string()),
        };
        slog::info!(self.log, "sent"; "id" => &open.run.label, "target" => &choice.name, "addr" => addr,
            "attempt" => attempt.number, "load" => choice.load, "of" => choice.candidates,
            "after" => open.flight.last_event_id(), "route" => route_name(open), "era" => open.revision.era,
            "revision" => open.revision.number, "left" => open.flight.request().deadline.saturating_sub(now));
        let step = Step::Sent {
            target: choice.name.clone(),
            load: choice.load,
            candidates: choice.candidates,
        };
        self.traces.add(now, id, step);
        match choice.via {
            Via::Agent(peer, incarnation) => {
                let body = dispatch_body(open, attempt, incarnation);
                call!([self.mesh], send(peer, body));
            }
            Via::Direct(addr, started_at) => {
                let to = Destination { target: &choice.name, started_at, addr };
                self.send_direct(cx, now, attempt, to);
            }
        }
    }

    /// Returns the retry budget of a service, and creates it on first use.
    pub(crate) fn budget(&mut self, served: &Served) -> &mut Budget {
        let options = self.settings.budget_options(self.targets.sharers());
        let new_budget = || Budget::open(options);
        self.retry_budgets.entry(served.clone()).or_insert_with(new_budget)
    }

    // Events.

    /// Passes an event to the state machine of a request and carries out the resulting actions.
    /// `number` is the attempt that the event belongs to, 0 if it concerns the whole request.
    pub(crate) fn handle_event(&mut self, cx: CX![], id: RequestId, number: u32, event: Event) {
        let Some(open) = self.requests.get_mut(&id) else {
            self.metrics.ignored(Ignored::LateAnswer);
            return;
        };
        let mut budget = self.retry_budgets.get_mut(&open.served);
        let mut spend_retry = || budget.as_mut().is_some_and(|it| it.spend());
        let mut actions = open.flight.handle_event(clock::now(), number, event, &mut spend_retry);
        if !open.reserve_buffered() {
            let event = Event::NoRoom;
            actions.extend(open.flight.handle_event(clock::now(), 0, event, &mut spend_retry));
        }
        self.apply_actions(cx, id, actions);
    }

    /// Carries out actions of a request's state machine, and removes the request once it has ended.
    pub(crate) fn apply_actions(&mut self, cx: CX![], id: RequestId, actions: Vec<Action>) {
        for action in actions {
            self.apply_action(cx, id, action);
        }
        if self.requests.get(&id).is_some_and(|it| it.flight.is_ended()) {
            self.close_request(id);
        }
    }

    fn apply_action(&mut self, cx: CX![], id: RequestId, action: Action) {
        let now = clock::now();
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        match action {
            Action::Dispatch => self.dispatch(cx, id),
            Action::Probe(attempt) => {
                let probe = Body::Probe(wire::Probe {
                    request: convert::request_bytes(attempt.request),
                    attempt: attempt.number,
                    offset: 0,
                });
                self.send_to_agent(id, probe);
            }
            Action::Cancel(attempt) => self.cancel(id, attempt),
            Action::Head(head) => {
                let wait_s = now.saturating_sub(open.run.arrived) as f64 / 1_000.0;
                self.metrics.first_byte.observe(wait_s);
                open.succeeded = (200..300).contains(&head.status);
                open.head_sent = true;
                open.delivered_at = now;
                open.time_to_first_byte = now.saturating_sub(open.run.arrived);
                let stream = open.flight.request().stream;
                self.settings.dialect.send_head(&open.run.reply, &open.run.label, head, stream);
            }
            Action::Deliver(bytes) => {
                let pause = now.saturating_sub(open.delivered_at);
                open.longest_pause = open.longest_pause.max((pause, now));
                self.metrics.between.observe(pause as f64 / 1_000.0);
                open.delivered_at = now;
                open.run.reply.send(Part::Bytes(bytes));
            }
            Action::Finish => {
                self.metrics.answered.inc();
                open.run.reply.send(Part::End);
                slog::info!(self.log, "answered"; "id" => &open.run.label,
                    "target" => open.flight.target(), "attempts" => open.flight.attempt().number,
                    "took" => now.saturating_sub(open.run.arrived), "first" => open.time_to_first_byte,
                    "started" => open.started.saturating_sub(open.run.arrived),
                    "pause" => open.longest_pause.0, "pause_until" => open.longest_pause.1,
                    "service" => &open.served.1, "allowed" => open.route.as_ref().and_then(|it| it.pause),
                    "objective" => open.route.as_ref().map(|it| it.objective));
                let (served, started) = (open.served.clone(), open.started);
                let first_byte_after_start =
                    (open.run.arrived + open.time_to_first_byte).saturating_sub(started);
                let queue = self.start_queues.entry(served).or_default();
                queue.record_end(now.saturating_sub(started), first_byte_after_start);
                self.traces.add(now, id, Step::Answered);
                self.request_completed(id);
            }
            Action::Fail(failure) => self.fail(now, id, failure),
            Action::CountRetry(reason) => {
                self.metrics.retried(reason);
                slog::warn!(self.log, "retried"; "id" => &open.run.label,
                    "reason" => reason.label(), "target" => open.flight.target(),
                    "attempt" => open.flight.attempt().number);
                self.traces.add(now, id, Step::Retried(reason));
            }
            Action::CountIgnored(reason) => self.metrics.ignored(reason),
        }
    }

    /// Sets the retry-after time of a request that fails while all of its possible targets are paused.
    fn set_retry_after(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if let Some(until) = self.targets.pause_ends_at(now, open.demand()) {
            let spread = self.rng.random_range(0..MAX_RETRY_AFTER_SPREAD);
            open.retry_after.get_or_insert((until - now).saturating_add(spread));
        }
    }

    fn fail(&mut self, now: Millis, id: RequestId, failure: Failure) {
        self.set_retry_after(now, id);
        let Some(open) = self.requests.get(&id) else { return };
        self.metrics.refused(failure.reason);
        slog::warn!(self.log, "failed"; "id" => &open.run.label,
            "reason" => failure.reason.label(), "ran" => failure.ran.label(),
            "target" => open.flight.target(), "attempts" => open.flight.attempt().number,
            "begun" => open.head_sent, "took" => now.saturating_sub(open.run.arrived),
            "customer" => &open.customer, "service" => &open.served.1,
            "era" => open.revision.era, "revision" => open.revision.number, "comeback" => open.retry_after);
        self.traces.add(now, id, Step::Failed(failure));
        if failure.reason == Refusal::CallerGone {
            return;
        }
        let (reply, label) = (&open.run.reply, &open.run.label);
        if open.head_sent {
            self.settings.dialect.abort_answer(reply, label, failure);
        } else {
            self.settings.dialect.send_failure(reply, label, failure, open.retry_after);
        }
    }

    /// Cancels an attempt: closes its connection to the target, or notifies the target's agent.
    fn cancel(&mut self, id: RequestId, attempt: AttemptId) {
        if self.cancel_direct(id) {
            return;
        }
        let cancel = Body::Cancel(wire::Cancel {
            request: convert::request_bytes(attempt.request),
            attempt: attempt.number,
        });
        self.send_to_agent(id, cancel);
    }

    /// Sends a message to the agent of the request's current target, if that is connected.
    fn send_to_agent(&self, id: RequestId, body: Body) {
        let target = self.requests.get(&id).and_then(|it| it.flight.target());
        if let Some(peer) = target.and_then(|it| self.targets.link(it)) {
            call!([self.mesh], send(peer, body));
        }
    }

    /// Removes a request that has ended and releases its admission.
    fn close_request(&mut self, id: RequestId) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        self.admission.release(&open.ticket);
        self.exchanges.remove(&open.exchange);
        if let Some(name) = open.counted_target {
            self.targets.ended(&name);
        }
        self.metrics.in_flight.set(self.requests.len() as i64);
    }
}

fn dispatch_body(open: &OpenRequest, attempt: AttemptId, incarnation: Incarnation) -> Body {
    let run = &open.run;
    Body::Dispatch(wire::Dispatch {
        request: convert::request_bytes(attempt.request),
        attempt: attempt.number,
        incarnation: incarnation.0,
        deadline: run.deadline,
        customer: open.customer.clone(),
        priority: open.priority as u32,
        unsafe_repeat: run.unsafe_repeat,
        key: run.idempotency_key.clone().unwrap_or_default(),
        issued: run.key_issued_at.unwrap_or(0),
        method: run.head.method().to_string(),
        path: run.path.clone(),
        content_type: content_type(&run.head).to_owned(),
        body: run.body.clone().into(),
    })
}

fn route_name(open: &OpenRequest) -> Option<&str> {
    open.route.as_ref().map(|it| it.name.as_str())
}

fn content_type(head: &http::Request<()>) -> &str {
    let value = head.headers().get(http::header::CONTENT_TYPE);
    value.and_then(|it| it.to_str().ok()).unwrap_or_default()
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The actor that owns an entry's requests: it admits, chooses, sends, and
//! does what each request's state machine says.

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
use sablepass_edge::server::{ExchangeKey, Part, Server};
use sablepass_edge::telemetry::Metrics;
use sablepass_edge::unread::UnreadFields;
use sablepass_wire::convert;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use stakker::{ActorOwn, CX, call, fwd_to};

use crate::open::Open;
use crate::openai;
use crate::pool::{ConnectionKey, Destination, Pool};
use crate::settings::Settings;
use crate::suspects::Watch;
use crate::targets::{self, Choice, Served, Targets, Via};
use crate::trace::{Step, Traces};
use crate::turns::Turns;

/// How long a request waits for a connection to the owner of its key.
const OWNER_WAIT: Millis = 2_000;
/// How long a stream that has begun waits for a target that can go on with it.
/// Callers give up a stream that is silent for two seconds or more.
pub(crate) const RESUME_WAIT: Millis = 1_700;
/// Over how long callers come back who were refused while all targets rest, so that
/// they do not come as one: some tenths of a second, in which streams begin and are spread.
const COME_BACK_SPREAD: Millis = 200;
/// Requests that wait so, for each place of this entry's part of the service. A group
/// opens on its first map, which is far from even, and what waited begins at once: with more,
/// those late would make the next ones late as well.
const FORM_PART: f64 = 0.5;

/// The actor.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) file: PathBuf,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) mesh: ActorOwn<Mesh>,
    pub(crate) targets: Targets,
    pub(crate) admission: Admission,
    pub(crate) options: openai::Options,
    /// A retry budget a service.
    pub(crate) budgets: HashMap<Served, Budget>,
    pub(crate) open: HashMap<RequestId, Open>,
    pub(crate) exchanges: HashMap<ExchangeKey, RequestId>,
    /// Streams that wait to begin, by service.
    pub(crate) starts: HashMap<Served, StartQueue>,
    pub(crate) pool: Pool,
    pub(crate) traces: Traces,
    /// Requests that end their targets.
    pub(crate) watch: Watch,
    /// What other entries said of turns at targets with limits.
    pub(crate) turns: Turns,
    /// Fields of answers that nobody reads.
    pub(crate) unread: UnreadFields,
    pub(crate) rng: StdRng,
    pub(crate) server: ActorOwn<Server>,
    pub(crate) stopping: Option<Millis>,
    /// Notices that this process did not run for a while.
    pub(crate) sleep: clock::SuspensionDetector,
    /// The last answer is written and the process about to end.
    pub(crate) ending: bool,
}

impl Router {
    /// Starts with no configuration and no connections.
    pub fn init(
        cx: CX![],
        (settings, file): (Settings, PathBuf),
        log: Logger,
        metrics: Arc<Metrics>,
        mesh: ActorOwn<Mesh>,
        server: ActorOwn<Server>,
    ) -> Option<Self> {
        let options = targets::Options {
            me: settings.node.name.clone(),
            hall: settings.node.hall.clone(),
            subset: settings.subset,
            lead: settings.stop_lead,
            silence: settings.silence,
            stands: settings.stands,
            agent_port: settings.agent_port,
        };
        let policy = Policy::parse(&settings.policy).unwrap_or_default();
        let mut router = Self {
            targets: Targets::open(options, policy),
            admission: Admission::open(settings.admit()),
            options: openai::Options::from(&settings),
            budgets: HashMap::new(),
            open: HashMap::new(),
            exchanges: HashMap::new(),
            starts: HashMap::new(),
            pool: Pool::open(fwd_to!([cx], direct_event() as ((ConnectionKey, client::Event)))),
            traces: Traces::open(settings.stories),
            watch: Watch::default(),
            turns: Turns::default(),
            unread: UnreadFields::default(),
            rng: StdRng::seed_from_u64(rand::random()),
            stopping: None,
            sleep: clock::SuspensionDetector::default(),
            ending: false,
            settings,
            file,
            log,
            metrics,
            mesh,
            server,
        };
        router.tick(cx);
        Some(router)
    }

    // Sending.

    pub(crate) fn dispatch(&mut self, cx: CX![], id: RequestId) {
        let now = clock::now();
        if !self.holds_back(cx, now, id) && !self.defers(cx, now, id) {
            self.place(cx, id);
        }
    }

    /// Chooses a target for a request and sends it there.
    pub(crate) fn place(&mut self, cx: CX![], id: RequestId) {
        let now = clock::now();
        if self.holds_back(cx, now, id) {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if now >= open.flight.request().deadline {
            // It waited while this process slept.
            self.event(cx, id, 0, Event::Tick { heard: now });
            return;
        }
        if let Some(name) = open.counted.take() {
            self.targets.ended(&name);
        }
        let given = open.slot.take().and_then(|it| it.given());
        let given = given.and_then(|it| self.targets.choose_given(now, it.life()));
        let choice = match &open.owner {
            _ if given.is_some() => given,
            Some(owner) => {
                let choice = self.targets.choose_owner(now, owner);
                let since = *open.waiting.get_or_insert(now);
                if choice.is_none() && now < since + OWNER_WAIT && now < open.run.deadline {
                    self.want(cx);
                    return;
                }
                choice
            }
            None => {
                let prefix = open.run.prefix.as_deref();
                let tried = open.flight.tried();
                self.targets.choose(now, &mut self.rng, &open.served, prefix, tried)
            }
        };
        open.waiting = None;
        match choice {
            Some(choice) => self.send(cx, now, id, &choice),
            None => self.no_target(cx, now, id),
        }
    }

    /// A request has no target now: it waits where that is of use, and is
    /// refused at once where it is not.
    fn no_target(&mut self, cx: CX![], now: Millis, id: RequestId) {
        // A report may have come since the last tick.
        self.targets.watch_groups(now);
        let opens_soon = self.may_wait(now, id);
        if self.seek_turn(cx, now, id) {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let rested = self.targets.rested(now, &open.served);
        if open.begun && rested.unwrap_or(now) < open.spoke + RESUME_WAIT {
            open.waiting = Some(now);
            return;
        }
        if rested.is_some() {
            let actions = open.flight.refuse(Refusal::TargetsRest);
            self.act(cx, id, actions);
            return;
        }
        if opens_soon {
            open.waiting = Some(now);
            slog::info!(self.log, "waits for its group"; "id" => &open.run.label,
                "service" => &open.served.1, "after" => now.saturating_sub(open.run.arrived));
            return;
        }
        let reason = match (&open.owner, self.targets.closed(now, &open.served)) {
            (Some(_), _) => Refusal::OwnerAway,
            (None, true) => Refusal::GroupClosed,
            (None, false) => Refusal::NoTarget,
        };
        let actions = open.flight.refuse(reason);
        self.act(cx, id, actions);
    }

    /// Whether a request that has no target had better wait for its group.
    fn may_wait(&self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        if !open.is_patient(now)
            || open.owner.is_some()
            || !self.targets.opens_soon(now, &open.served)
        {
            return false;
        }
        let same = |it: &&Open| it.waiting.is_some() && it.served == open.served;
        let most = self.targets.whole(&open.served).capacity * FORM_PART;
        (self.open.values().filter(same).count() as f64) < most
    }

    fn send(&mut self, cx: CX![], now: Millis, id: RequestId, choice: &Choice) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let incarnation = match choice.via {
            Via::Agent(_, it) => it,
            Via::Direct(..) => Incarnation(0),
        };
        let attempt = open.flight.send(now, &choice.name, incarnation);
        open.sent = now;
        open.counted = Some(choice.name.clone());
        open.sought = false;
        if !choice.given && !self.targets.spend(now, &choice.name) {
            self.metrics.sent_over_limit.inc();
            slog::error!(self.log, "sent over the part of a limit"; "id" => &open.run.label,
                "target" => &choice.name);
        }
        if !self.watch.suspects.is_empty() {
            self.note_suspect(now, id);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        self.targets.sent(&choice.name);
        if attempt.number == 1 {
            open.started = now;
            let waited = now.saturating_sub(open.run.arrived) as f64 / 1_000.0;
            self.metrics.wait.observe(waited);
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
            Via::Direct(addr, born) => {
                let to = Destination { target: &choice.name, born, addr };
                self.send_direct(cx, now, attempt, to);
            }
        }
    }

    /// The retry budget of a service.
    pub(crate) fn budget(&mut self, served: &Served) -> &mut Budget {
        let options = self.settings.budget(self.targets.sharers());
        let open = || Budget::open(options);
        self.budgets.entry(served.clone()).or_insert_with(open)
    }

    // Events.

    pub(crate) fn event(&mut self, cx: CX![], id: RequestId, number: u32, event: Event) {
        let Some(open) = self.open.get_mut(&id) else {
            self.metrics.ignored(Ignored::LateAnswer);
            return;
        };
        let mut budget = self.budgets.get_mut(&open.served);
        let mut spend = || budget.as_mut().is_some_and(|it| it.spend());
        let actions = open.flight.handle_event(clock::now(), number, event, &mut spend);
        self.act(cx, id, actions);
    }

    pub(crate) fn act(&mut self, cx: CX![], id: RequestId, actions: Vec<Action>) {
        for action in actions {
            self.act_one(cx, id, action);
        }
        if self.open.get(&id).is_some_and(|it| it.flight.is_ended()) {
            self.close(id);
        }
    }

    fn act_one(&mut self, cx: CX![], id: RequestId, action: Action) {
        let now = clock::now();
        let Some(open) = self.open.get_mut(&id) else {
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
                self.to_target(id, probe);
            }
            Action::Cancel(attempt) => self.cancel(id, attempt),
            Action::Head(head) => {
                let took = now.saturating_sub(open.run.arrived) as f64 / 1_000.0;
                self.metrics.first_byte.observe(took);
                open.begun = true;
                open.spoke = now;
                open.first = now.saturating_sub(open.run.arrived);
                let stream = open.flight.request().stream;
                self.settings.dialect.head(&open.run.reply, &open.run.label, head, stream);
            }
            Action::Deliver(bytes) => {
                let paused = now.saturating_sub(open.spoke);
                open.pause = open.pause.max((paused, now));
                self.metrics.between.observe(paused as f64 / 1_000.0);
                open.spoke = now;
                open.run.reply.send(Part::Bytes(bytes));
            }
            Action::Finish => {
                self.metrics.answered.inc();
                open.run.reply.send(Part::End);
                slog::info!(self.log, "answered"; "id" => &open.run.label,
                    "target" => open.flight.target(), "attempts" => open.flight.attempt().number,
                    "took" => now.saturating_sub(open.run.arrived), "first" => open.first,
                    "started" => open.started.saturating_sub(open.run.arrived),
                    "pause" => open.pause.0, "pause_until" => open.pause.1,
                    "service" => &open.served.1, "allowed" => open.route.as_ref().and_then(|it| it.pause),
                    "objective" => open.route.as_ref().map(|it| it.objective));
                let (served, started) = (open.served.clone(), open.started);
                let opened = (open.run.arrived + open.first).saturating_sub(started);
                let starts = self.starts.entry(served).or_default();
                starts.record_end(now.saturating_sub(started), opened);
                self.traces.add(now, id, Step::Answered);
                self.ran_whole(id);
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

    /// When a caller may come back that is refused while all that could serve it rest.
    fn set_return(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(until) = self.targets.rested(now, &open.served) {
            let spread = self.rng.random_range(0..COME_BACK_SPREAD);
            open.comeback.get_or_insert((until - now).saturating_add(spread));
        }
    }

    fn fail(&mut self, now: Millis, id: RequestId, failure: Failure) {
        self.set_return(now, id);
        let Some(open) = self.open.get(&id) else { return };
        self.metrics.refused(failure.reason);
        slog::warn!(self.log, "failed"; "id" => &open.run.label,
            "reason" => failure.reason.label(), "ran" => failure.ran.label(),
            "target" => open.flight.target(), "attempts" => open.flight.attempt().number,
            "begun" => open.begun, "took" => now.saturating_sub(open.run.arrived),
            "customer" => &open.customer, "service" => &open.served.1,
            "era" => open.revision.era, "revision" => open.revision.number, "comeback" => open.comeback);
        self.traces.add(now, id, Step::Failed(failure));
        if failure.reason == Refusal::CallerGone {
            return;
        }
        let (reply, label) = (&open.run.reply, &open.run.label);
        if open.begun {
            self.settings.dialect.break_off(reply, label, failure);
        } else {
            self.settings.dialect.fail(reply, label, failure, open.comeback);
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptId) {
        if self.cancel_direct(id) {
            return;
        }
        let cancel = Body::Cancel(wire::Cancel {
            request: convert::request_bytes(attempt.request),
            attempt: attempt.number,
        });
        self.to_target(id, cancel);
    }

    fn to_target(&self, id: RequestId, body: Body) {
        let target = self.open.get(&id).and_then(|it| it.flight.target());
        if let Some(peer) = target.and_then(|it| self.targets.link(it)) {
            call!([self.mesh], send(peer, body));
        }
    }

    fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.admission.release(&open.ticket);
        self.exchanges.remove(&open.exchange);
        if let Some(name) = open.counted {
            self.targets.ended(&name);
        }
        self.metrics.in_flight.set(self.open.len() as i64);
    }
}

fn dispatch_body(open: &Open, attempt: AttemptId, incarnation: Incarnation) -> Body {
    let run = &open.run;
    Body::Dispatch(wire::Dispatch {
        request: convert::request_bytes(attempt.request),
        attempt: attempt.number,
        incarnation: incarnation.0,
        deadline: run.deadline,
        customer: open.customer.clone(),
        priority: open.priority as u32,
        unsafe_repeat: run.unsafe_repeat,
        key: run.idempotency.clone().unwrap_or_default(),
        issued: run.issued.unwrap_or(0),
        method: run.head.method().to_string(),
        path: run.path.clone(),
        content_type: content_type(&run.head).to_owned(),
        body: run.body.clone().into(),
    })
}

fn route_name(open: &Open) -> Option<&str> {
    open.route.as_ref().map(|it| it.name.as_str())
}

fn content_type(head: &http::Request<()>) -> &str {
    let value = head.headers().get(http::header::CONTENT_TYPE);
    value.and_then(|it| it.to_str().ok()).unwrap_or_default()
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The actor of the agent of a gated target. It passes each dispatch to the gate, starts the
//! admitted ones on the target, forwards their answers to the entries, reports the target's
//! state, and drains on shutdown.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablepass_core::catalogue::Catalogue;
use sablepass_core::gate::{Completion, Decision, Gate};
use sablepass_core::id::{AttemptId, Incarnation, Millis};
use sablepass_core::once::{Answer, AttemptState, Key};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_edge::clock;
use sablepass_edge::mesh::{self, Mesh, PeerKey};
use sablepass_edge::room::{Room, Share};
use sablepass_edge::telemetry::Metrics;
use sablepass_wire::convert;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use stakker::sync::Channel;
use stakker::{ActorOwn, CX, call};

use crate::flow::Flow;
use crate::group::Group;
use crate::listeners::Listeners;
use crate::memory::SuspectCache;
use crate::notices::Notices;
use crate::orders::EngineEvent;
use crate::run::{Content, Job, Part};
use crate::settings::Settings;
use crate::target::{Load, Target};

/// Maximum size of a kept answer of a request that is not safe to repeat. An entry that lost
/// its connection can fetch the answer with a probe.
const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// An attempt that runs, or whose answer is still kept.
pub(crate) struct Active {
    /// The entry that receives the answer; `None` while its connection is lost.
    pub(crate) peer: Option<PeerKey>,
    pub(crate) unsafe_repeat: bool,
    pub(crate) key: Option<Key>,
    pub(crate) cancelled: Arc<AtomicBool>,
    /// Parts of the answer that are on their way to the entry.
    pub(crate) flow: Flow,
    /// Memory for the body of the request while it runs.
    pub(crate) body: Share,
    /// HTTP status and content type of the answer.
    pub(crate) head: Option<(u32, String)>,
    /// Bytes of the answer received so far.
    pub(crate) sent: u64,
    /// The answer so far, for requests that are not safe to repeat.
    pub(crate) kept: Vec<u8>,
    /// Whether `kept` has all of the answer so far.
    pub(crate) complete: bool,
    /// Time and result of the attempt's end.
    pub(crate) end: Option<(Millis, Result<(), Failure>)>,
}

/// Actors, threads and channels that the keeper uses.
pub struct Handles {
    /// The connections to other processes.
    pub mesh: ActorOwn<Mesh>,
    /// The target.
    pub target: Target,
    /// Receives the parts of answers from the threads of the runs.
    pub parts: Channel<Part>,
    /// Receives the readings and outcomes of orders from the engine's threads.
    pub engine: Channel<EngineEvent>,
}

/// The actor of the agent of a gated target.
pub struct Keeper {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) mesh: ActorOwn<Mesh>,
    pub(crate) target: Target,
    pub(crate) parts: Channel<Part>,
    pub(crate) engine: Channel<EngineEvent>,
    /// Fence of this agent's orders; increases from one agent to its successor.
    pub(crate) fence: Millis,
    pub(crate) group: Option<Group>,
    /// Names of the connected agents.
    pub(crate) agents: HashMap<PeerKey, String>,
    pub(crate) gate: Gate,
    /// Memory for the bodies of the requests that run.
    pub(crate) bodies: Room,
    pub(crate) active: HashMap<AttemptId, Active>,
    /// Ended attempts whose answers are kept, in the order of their ends.
    pub(crate) ended: VecDeque<AttemptId>,
    pub(crate) entries: Listeners,
    suspects: SuspectCache,
    pub(crate) load: Option<Load>,
    /// Time of the latest failed connection to the target, or `None` if the target is reachable.
    pub(crate) unreachable_at: Option<Millis>,
    /// Pause and limit that the target announced.
    pub(crate) notices: Notices,
    /// Declared capacity; 0 if the target is not declared.
    pub(crate) capacity: u32,
    /// Time of the planned stop.
    pub(crate) stop_at: Option<Millis>,
    /// Whether the target is in a data hall that its partner evacuates.
    evacuated: bool,
    pub(crate) stopping: bool,
    pub(crate) drained: bool,
}

impl Keeper {
    /// Creates the actor without configuration and connections, and starts its timers.
    pub fn init(
        cx: CX![],
        settings: Settings,
        me: Incarnation,
        log: Logger,
        metrics: Arc<Metrics>,
        handles: Handles,
    ) -> Option<Self> {
        let Handles { mesh, target, parts, engine } = handles;
        let gate = Gate::new(settings.gate(), me, &settings.node.name, clock::now());
        let mut keeper = Self {
            gate,
            bodies: Room::open(settings.bodies),
            log,
            metrics,
            mesh,
            target,
            parts,
            engine,
            fence: clock::now(),
            group: None,
            agents: HashMap::new(),
            active: HashMap::new(),
            ended: VecDeque::new(),
            entries: Listeners::default(),
            suspects: SuspectCache::default(),
            load: None,
            unreachable_at: None,
            notices: Notices::default(),
            capacity: 0,
            stop_at: None,
            evacuated: false,
            stopping: false,
            drained: false,
            settings,
        };
        keeper.tick(cx);
        keeper.send_heartbeat(cx);
        Some(keeper)
    }

    // Connections to entries and other agents.

    /// Handles an event of the mesh.
    pub fn mesh_event(&mut self, cx: CX![], event: mesh::Event) {
        match event {
            mesh::Event::Up(peer, it) if it.role == "entry" && it.dialled.is_none() => {
                self.entries.up(peer, it.name, it.unsent);
                self.report();
                let blocked = self.suspects.message(clock::now());
                blocked.into_iter().for_each(|it| self.send(Some(peer), it));
            }
            mesh::Event::Up(peer, it) => self.on_agent_connected(peer, it.name),
            mesh::Event::Down(peer) => self.down(peer),
            mesh::Event::Message(peer, body) => self.message(cx, peer, body),
            mesh::Event::Config(it) => {
                self.declare(&it);
                self.set_group(&it);
            }
            mesh::Event::Entries(_) => {}
            mesh::Event::Instances(it) => {
                let me = it.instances.get(&self.settings.node.name);
                if me.is_some_and(|it| it.leaving) {
                    self.leave("instance list");
                }
            }
        }
    }

    fn declare(&mut self, catalogue: &Catalogue) {
        let name = &self.settings.node.name;
        self.gate.declare(clock::now(), catalogue.siblings(name));
        self.capacity = catalogue.targets.get(name).map_or(0, |it| it.resource.capacity);
        self.stop_at = catalogue.stops.get(name).copied();
        let evacuated = catalogue.is_evacuated(name);
        if std::mem::replace(&mut self.evacuated, evacuated) != evacuated {
            slog::info!(self.log, "evacuation of the target's hall changed";
                "evacuated" => evacuated, "era" => catalogue.revision.era,
                "revision" => catalogue.revision.number, "running" => self.gate.running());
        }
    }

    fn message(&mut self, _cx: CX![], peer: PeerKey, body: Body) {
        let handled = match body {
            Body::Dispatch(it) => self.dispatch(peer, it),
            Body::Cancel(it) => convert::attempt("cancel", &it.request, it.attempt)
                .map(|attempt| self.cancel(attempt)),
            Body::Ballot(it) => {
                self.on_ballot(peer, &it);
                Ok(())
            }
            Body::Suspects(it) => self.suspects.update(clock::now(), it),
            Body::Probe(it) => convert::attempt("probe", &it.request, it.attempt)
                .map(|attempt| self.probe(peer, attempt)),
            _ => {
                self.metrics.ignored(Ignored::BadFrame);
                Ok(())
            }
        };
        if handled.is_err() {
            self.metrics.ignored(Ignored::BadFrame);
        }
    }

    pub(crate) fn send(&self, to: Option<PeerKey>, body: Body) {
        if let Some(peer) = to {
            call!([self.mesh], send(peer, body));
        }
    }

    // Requests.

    fn dispatch(&mut self, peer: PeerKey, dispatch: wire::Dispatch) -> Result<(), convert::Error> {
        let parsed = convert::dispatch(&dispatch)?;
        let attempt = parsed.attempt;
        let now = clock::now();
        let mut body = Share::open(&self.bodies);
        let (notices, evacuated) = (&mut self.notices, self.evacuated);
        let admit = || {
            if evacuated {
                return Err(Refusal::HallEvacuated);
            }
            if !body.resize(dispatch.body.len()) {
                return Err(Refusal::BodiesFull);
            }
            notices.admit(now)
        };
        match self.gate.dispatch_if(now, &parsed, admit) {
            Decision::Run => {
                let key = parsed.key.filter(|_| parsed.unsafe_repeat);
                self.start(peer, attempt, (key, body), dispatch);
            }
            Decision::Replay(answer) => self.replay(peer, attempt, &answer),
            Decision::Refuse(reason) => self.refuse(peer, attempt, reason),
        }
        Ok(())
    }

    fn refuse(&self, peer: PeerKey, attempt: AttemptId, reason: Refusal) {
        self.metrics.refused(reason);
        self.send(Some(peer), convert::refused(attempt, reason));
    }

    fn replay(&self, peer: PeerKey, attempt: AttemptId, answer: &Answer) {
        let head = head_body(attempt, answer.status, &answer.content_type, true);
        self.send(Some(peer), head);
        self.send_chunk(Some(peer), attempt, 0, &answer.body);
        self.send(Some(peer), done_body(attempt, answer.body.len() as u64));
    }

    fn start(
        &mut self,
        peer: PeerKey,
        attempt: AttemptId,
        (key, body): (Option<Key>, Share),
        dispatch: wire::Dispatch,
    ) {
        let cancelled = Arc::new(AtomicBool::new(false));
        let flow = self.entries.flow(peer);
        let active = Active {
            peer: Some(peer),
            unsafe_repeat: dispatch.unsafe_repeat,
            key,
            cancelled: cancelled.clone(),
            flow: flow.clone(),
            body,
            head: None,
            sent: 0,
            kept: Vec::new(),
            complete: true,
            end: None,
        };
        self.active.insert(attempt, active);
        self.metrics.requests.inc();
        self.metrics.in_flight.set(self.gate.running() as i64);
        let job = Job {
            attempt,
            method: dispatch.method,
            path: dispatch.path,
            content_type: dispatch.content_type,
            priority: dispatch.priority,
            customer: dispatch.customer,
            sent: clock::now(),
            body: dispatch.body.to_vec(),
            cancelled,
            flow,
        };
        if !self.target.spawn(job, self.parts.clone()) {
            let failure = Failure { reason: Refusal::ProcessLimit, ran: Ran::NotRun };
            self.end(attempt, Err(failure));
        }
    }

    /// Handles a part of an answer from the thread of a run.
    pub fn part(&mut self, _cx: CX![], part: Part) {
        let attempt = part.attempt;
        match part.content {
            Content::Head { status, content_type, notice } => {
                self.on_notice(attempt, notice);
                let Some(active) = self.active.get_mut(&attempt) else {
                    return;
                };
                active.head = Some((status, content_type.clone()));
                let peer = active.peer;
                self.send(peer, head_body(attempt, status, &content_type, false));
            }
            Content::Bytes(bytes) => self.on_bytes(attempt, &bytes),
            Content::End => self.end(attempt, Ok(())),
            Content::Failed(failure) => self.end(attempt, Err(failure)),
        }
    }

    fn on_bytes(&mut self, attempt: AttemptId, bytes: &[u8]) {
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        active.flow.remove(bytes.len());
        let offset = active.sent;
        active.sent += bytes.len() as u64;
        if active.unsafe_repeat && active.complete {
            if active.kept.len() + bytes.len() > MAX_KEPT_ANSWER_BYTES {
                active.complete = false;
                active.kept = Vec::new();
            } else {
                active.kept.extend_from_slice(bytes);
            }
        }
        let peer = active.peer;
        self.send_chunk(peer, attempt, offset, bytes);
    }

    fn send_chunk(&self, to: Option<PeerKey>, attempt: AttemptId, offset: u64, bytes: &[u8]) {
        let chunk = Body::Chunk(wire::Chunk {
            request: convert::request_bytes(attempt.request),
            attempt: attempt.number,
            offset,
            data: bytes.to_vec().into(),
        });
        self.send(to, chunk);
    }

    fn end(&mut self, attempt: AttemptId, result: Result<(), Failure>) {
        let now = clock::now();
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        active.end = Some((now, result));
        active.body.release();
        let end = completion(active, result);
        let (peer, key, sent) = (active.peer, active.key.clone(), active.sent);
        let keep = active.unsafe_repeat;
        self.gate.finish(now, attempt, key.as_ref(), end);
        match result {
            Ok(()) => {
                self.metrics.answered.inc();
                self.send(peer, done_body(attempt, sent));
            }
            Err(failure) => {
                if matches!(failure.reason, Refusal::EngineAway | Refusal::EngineEnded) {
                    self.unreachable_at = Some(now);
                    // A target that refuses connections has ended. Its next incarnation has not
                    // announced anything yet.
                    self.notices = Notices::default();
                }
                self.metrics.refused(failure.reason);
                self.send(peer, convert::failed(attempt, failure));
            }
        }
        if keep {
            self.ended.push_back(attempt);
        } else {
            self.active.remove(&attempt);
        }
        self.metrics.in_flight.set(self.gate.running() as i64);
        self.check_drained_if_leaving();
    }

    /// Stops an attempt whose answer no caller awaits. An attempt with an idempotency key
    /// continues, so that a repeat with the same key receives its answer.
    fn cancel(&mut self, attempt: AttemptId) {
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        if active.key.is_some() || active.end.is_some() {
            return;
        }
        active.cancelled.store(true, Ordering::Relaxed);
        active.peer = None;
        self.target.cancel(attempt);
    }

    /// Reports the state of an attempt to an entry and sends the answer kept so far. The entry
    /// receives the rest of the answer from now on.
    fn probe(&mut self, peer: PeerKey, attempt: AttemptId) {
        let state = self.gate.probe(clock::now(), attempt);
        self.send(Some(peer), convert::verdict(attempt, state));
        if state == AttemptState::Blocked {
            return;
        }
        let Some(active) = self.active.get_mut(&attempt).filter(|it| it.complete) else {
            let failure = Failure { reason: Refusal::KeyAnswerLost, ran: Ran::Ran };
            self.send(Some(peer), convert::failed(attempt, failure));
            return;
        };
        active.peer = Some(peer);
        let (head, kept, end) = (active.head.clone(), active.kept.clone(), active.end);
        if let Some((status, content_type)) = head {
            self.send(Some(peer), head_body(attempt, status, &content_type, false));
            self.send_chunk(Some(peer), attempt, 0, &kept);
        }
        match end {
            None => {}
            Some((_, Ok(()))) => self.send(Some(peer), done_body(attempt, kept.len() as u64)),
            Some((_, Err(failure))) => self.send(Some(peer), convert::failed(attempt, failure)),
        }
    }

    /// Handles the end of a connection. Stops the entry's attempts that may be repeated on another
    /// target; the others continue and their answers are kept.
    fn down(&mut self, peer: PeerKey) {
        self.entries.down(peer);
        self.agents.remove(&peer);
        if let Some(group) = &mut self.group {
            group.down(peer);
        }
        let affected: Vec<AttemptId> = self
            .active
            .iter()
            .filter(|(_, it)| it.peer == Some(peer))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in affected {
            let Some(active) = self.active.get_mut(&attempt) else {
                continue;
            };
            active.peer = None;
            if !active.unsafe_repeat {
                self.cancel(attempt);
            }
        }
    }
}

/// Returns how an attempt ended, for the gate. Only a complete answer can be replayed.
fn completion(active: &Active, result: Result<(), Failure>) -> Completion {
    match (result, &active.head) {
        (Err(Failure { ran: Ran::NotRun, .. }), _) => Completion::NotRun,
        (Ok(()), Some((status, content_type))) if active.complete => Completion::Complete(Answer {
            status: *status,
            content_type: content_type.clone(),
            body: active.kept.clone(),
        }),
        _ => Completion::Incomplete,
    }
}

fn head_body(attempt: AttemptId, status: u32, content_type: &str, replayed: bool) -> Body {
    Body::Head(wire::Head {
        request: convert::request_bytes(attempt.request),
        attempt: attempt.number,
        status,
        content_type: content_type.to_owned(),
        replayed,
    })
}

fn done_body(attempt: AttemptId, length: u64) -> Body {
    Body::Done(wire::Done {
        request: convert::request_bytes(attempt.request),
        attempt: attempt.number,
        length,
    })
}

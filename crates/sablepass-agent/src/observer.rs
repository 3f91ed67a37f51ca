// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The actor of the agent of a direct target. It polls the target's report, which is cheap on
//! the same machine, sends the load to the entries, and takes part in switches of the group's
//! expert map.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sablepass_core::expert::map::Bounds;
use sablepass_core::id::Millis;
use sablepass_core::membership::Pace;
use sablepass_core::pass::Steps;
use sablepass_core::reason::Ignored;
use sablepass_core::rendezvous;
use sablepass_core::revision::Revision;
use sablepass_edge::caller::Answer;
use sablepass_edge::instance::{Instance, Role};
use sablepass_edge::mesh::{self, Mesh, RequiredPeer};
use sablepass_edge::telemetry::Metrics;
use sablepass_edge::{admin, clock, runtime};
use sablepass_platform::answer::{self, Limit};
use sablepass_platform::engine;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::{convert, generated as wire};
use slog::Logger;
use stakker::{ActorOwn, CX, after, call, ret_some_do};

use crate::engine::{Call, CallResult, Engine};
use crate::listeners::Listeners;
use crate::memory::SuspectCache;
use crate::ranks::{Action, Ranks};
use crate::settings::Settings;

/// Interval at which the target's report is read while a switch is in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of polls between two readings of the counts, which show shifts of demand.
const POLLS_PER_COUNTS: u64 = 4;

/// Resolution at which a change of the lag causes a report at once: tenths.
const LAG_STATE_SCALE: f64 = 10.0;
/// Unit of the lag in reports: thousandths.
const LAG_REPORT_SCALE: f64 = 1_000.0;

/// The latest report of the target.
struct Reading {
    report: engine::Report,
    at: Millis,
}

/// The actor of the agent of a direct target.
pub struct Observer {
    settings: Settings,
    target: SocketAddr,
    log: Logger,
    metrics: Arc<Metrics>,
    mesh: ActorOwn<Mesh>,
    engine: ActorOwn<Engine>,
    entries: Listeners,
    suspects: SuspectCache,
    reading: Option<Reading>,
    steps: Steps,
    /// Whether the latest report could be read.
    answering: bool,
    /// Whether the target refused the latest connection.
    refuses: bool,
    /// The limit that the target last announced.
    limit: Limit,
    ranks: Ranks,
    /// Bounds of the maps of each service, with the configuration revision that declares them.
    bounds: BTreeMap<String, (Revision, Bounds)>,
    instances: Rc<BTreeMap<String, Instance>>,
    /// The service that the target belongs to; empty until the instance list has the target.
    service: String,
    polls: u64,
    suspension: clock::SuspensionDetector,
    /// Time of the latest report to the entries.
    reported_at: Millis,
    /// State in the latest report to the entries.
    reported_state: State,
}

/// State of the rank that the entries use to choose targets. A change is reported at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// The group is incomplete, so that no request runs there.
    closed: bool,
    /// The group makes no step although there is work.
    stalled: bool,
    /// Pace of the rank, which its whole group waits for.
    pace: Pace,
    /// Lag of the group's map in tenths, or 0 if this agent is not the planner.
    lag: u32,
    /// The target refuses connections, so its process has ended.
    refuses: bool,
}

impl Observer {
    /// Creates the actor and starts to poll the target.
    pub fn init(
        cx: CX![],
        settings: Settings,
        target: SocketAddr,
        log: Logger,
        metrics: Arc<Metrics>,
        mesh: ActorOwn<Mesh>,
        engine: ActorOwn<Engine>,
    ) -> Option<Self> {
        // Fences are based on the time of day, so that they increase from one agent to its
        // successor. The first order reveals a fence that is too low because the clock was set
        // back.
        let hall = settings.node.hall.clone();
        let (link, fence) = (settings.link, clock::time_of_day());
        let ranks = Ranks::new(log.clone(), metrics.clone(), hall, link, fence);
        let mut observer = Self {
            settings,
            target,
            log,
            metrics,
            mesh,
            engine,
            entries: Listeners::default(),
            suspects: SuspectCache::default(),
            reading: None,
            steps: Steps::default(),
            answering: false,
            refuses: false,
            limit: Limit::None,
            ranks,
            bounds: BTreeMap::new(),
            instances: Rc::default(),
            service: String::new(),
            polls: 0,
            suspension: clock::SuspensionDetector::default(),
            reported_at: 0,
            reported_state: State::default(),
        };
        observer.poll(cx);
        Some(observer)
    }

    // Other processes.

    /// Handles an event of the mesh.
    pub fn mesh_event(&mut self, _cx: CX![], event: mesh::Event) {
        match event {
            mesh::Event::Up(peer, it) if it.role == Role::Entry.name() => {
                if it.dialled.is_none() {
                    slog::info!(self.log, "entry connected"; "entry" => &it.name);
                    self.entries.up(peer, it.name, it.unsent);
                    if let Some(held) = self.suspects.message(clock::now()) {
                        call!([self.mesh], send(peer, held));
                    }
                }
            }
            mesh::Event::Up(peer, it) => {
                slog::info!(self.log, "agent connected"; "agent" => it.name);
                let list = self.ranks.up(clock::now(), peer, it.hall);
                self.carry_out(list);
            }
            mesh::Event::Down(peer) => {
                self.entries.down(peer);
                self.ranks.down(peer);
            }
            mesh::Event::Message(_, Body::Bounds(it)) => self.on_bounds(it),
            mesh::Event::Message(_, Body::Suspects(it)) => {
                if self.suspects.update(clock::now(), it).is_err() {
                    self.metrics.ignored(Ignored::BadFrame);
                }
            }
            mesh::Event::Message(peer, body) => {
                let list = self.ranks.on_message(clock::now(), peer, body);
                self.carry_out(list.unwrap_or_default());
            }
            mesh::Event::Instances(it) => {
                self.instances = it.instances;
                self.join_group();
            }
            // Entries send the bounds, which is all that an observer needs of the configuration.
            mesh::Event::Config(_) | mesh::Event::Entries(_) => {}
        }
    }

    /// Handles the bounds that an entry sent for a service. Bounds of an older configuration
    /// revision than the known one are ignored.
    fn on_bounds(&mut self, message: wire::Bounds) {
        let bounds = match convert::parse_bounds(&message) {
            Ok(bounds) => bounds,
            Err(e) => {
                slog::warn!(self.log, "invalid bounds of maps ignored";
                    "service" => message.service,
                    "error" => %e);
                return;
            }
        };
        let revision = Revision::new(message.era, message.revision);
        let known = self.bounds.get(&message.service);
        // Bounds of the same revision replace the known ones: an entry that corrects its
        // configuration sends them again at its current revision.
        if known.is_some_and(|known| known.0 > revision) {
            return;
        }
        if known.is_none_or(|known| known.1 != bounds) {
            slog::info!(self.log, "bounds of maps"; "service" => &message.service,
                "era" => message.era, "revision" => message.revision, "bounds" => ?bounds);
        }
        self.bounds.insert(message.service, (revision, bounds));
        self.join_group();
    }

    /// Sets the bounds of the group that the target is a rank of, and connects to the agents of
    /// the group. Bounds and instance list arrive in either order.
    fn join_group(&mut self) {
        let instances = self.instances.clone();
        let targets = || instances.values().filter(|it| it.role == Role::Target);
        let Some(mine) = targets().find(|it| it.addr == self.target) else { return };
        self.service.clone_from(&mine.serves);
        let bounds = self.bounds.get(&self.service).map(|it| it.1);
        let bounds = bounds.filter(|_| self.settings.keeps_maps);
        self.ranks.set_bounds(bounds);
        if bounds.is_none() {
            return;
        }
        let me = self.settings.node.listen;
        // Of each pair of agents, the one with the lower address connects to the other.
        let others = targets().filter(|it| it.serves == self.service && it.addr.ip() > me.ip());
        let wanted = others.map(|it| RequiredPeer::At(SocketAddr::new(it.addr.ip(), me.port())));
        let wanted: Vec<RequiredPeer> = wanted.collect();
        call!([self.mesh], require_peers(wanted));
    }

    fn carry_out(&self, list: Vec<Action>) {
        for it in list {
            match it {
                Action::Call(call) => call!([self.engine], enqueue(call)),
                Action::Send(peer, body) => call!([self.mesh], send(peer, body)),
            }
        }
    }

    // Target.

    /// Reads the target when that is due, and runs the periodic work.
    fn poll(&mut self, cx: CX![]) {
        let now = clock::now();
        self.polls += 1;
        if let Some(suspended_for) = self.suspension.check(now) {
            self.on_resume(suspended_for);
        }
        let count = self.polls.is_multiple_of(POLLS_PER_COUNTS);
        let active = self.ranks.is_active();
        let due = now >= self.reported_at + self.settings.heartbeat;
        if due || self.ranks.is_busy() || (active && count) {
            call!([self.engine], enqueue(Call::Report));
        }
        if active && count && self.reading.is_some() {
            if self.ranks.needs_counts() {
                call!([self.engine], enqueue(Call::Counts));
            }
            let list = self.ranks.tick(now);
            self.carry_out(list);
            self.report_if_due(now);
        }
        after!(POLL_INTERVAL, [cx], poll());
    }

    /// Discards the latest report after a suspension of this process. It is outdated, so nothing
    /// is reported or ordered until the next one.
    fn on_resume(&mut self, suspended_for: Millis) {
        slog::warn!(self.log, "process resumed after a suspension"; "for" => suspended_for);
        self.metrics.sleeps.inc();
        self.reading = None;
        call!([self.engine], enqueue(Call::Report));
    }

    /// Handles the result of a call to the target.
    pub fn on_call_result(&mut self, _cx: CX![], (call, result): (Call, CallResult)) {
        let now = clock::now();
        if let Ok(it) = &result {
            self.on_limit(answer::limit(&it.fields));
        }
        match (&call, &result) {
            (Call::Report, Ok(Answer { status: 200, body, .. })) => match engine::report(body) {
                Ok(it) => self.on_report(now, it),
                Err(e) => self.on_failure(now, &e.to_string(), false),
            },
            (Call::Report, Ok(it)) => self.on_failure(now, &format!("status {}", it.status), false),
            (Call::Report, Err(e)) => self.on_failure(now, &e.to_string(), e.is_refused()),
            _ => {
                let list = self.ranks.on_call_result(now, &call, &result);
                self.carry_out(list);
            }
        }
    }

    /// Logs a change of the limit that the target announces.
    fn on_limit(&mut self, limit: Limit) {
        if std::mem::replace(&mut self.limit, limit) != limit {
            slog::info!(self.log, "target's announced limit changed"; "limit" => ?limit);
        }
    }

    fn on_report(&mut self, now: Millis, report: engine::Report) {
        self.refuses = false;
        if !self.answering {
            self.answering = true;
            slog::info!(self.log, "target's report is available"; "target" => %self.target);
        }
        let before = self.reading.as_ref().map(|it| it.report.started_at);
        if before.is_some_and(|it| it != report.started_at) {
            // Orders and votes need no reset: they belong to an epoch of the group, which ends
            // when a rank ends.
            slog::info!(self.log, "target restarted"; "born" => report.started_at);
            self.steps = Steps::default();
        }
        let busy = report.running + report.waiting > 0;
        self.steps.watch(now, report.group.as_ref().map_or(0, |it| it.reading.step), busy);
        let list = self.ranks.on_report(now, report.group.clone(), report.running);
        self.carry_out(list);
        self.reading = Some(Reading { report, at: now });
        let state = self.state();
        if state.pace != self.reported_state.pace {
            slog::info!(self.log, "pace class of the target changed"; "judged" => ?state.pace,
                "pace" => self.group().map(|it| it.pace));
        }
        self.report_if_due(now);
    }

    /// Reports to the entries if the heartbeat is due or the state has changed.
    fn report_if_due(&mut self, now: Millis) {
        let state = self.state();
        if now >= self.reported_at + self.settings.heartbeat || state != self.reported_state {
            self.reported_at = now;
            self.reported_state = state;
            self.send_report();
        }
    }

    fn group(&self) -> Option<&engine::Group> {
        self.reading.as_ref().and_then(|it| it.report.group.as_ref())
    }

    fn state(&self) -> State {
        State {
            closed: self.group().is_some_and(|it| !it.open),
            stalled: self.steps.is_stalled(clock::now()),
            pace: self.group().map_or(Pace::Sound, |it| Pace::of(it.pace)),
            lag: self.scaled_lag(LAG_STATE_SCALE),
            refuses: self.refuses,
        }
    }

    /// Returns the lag of the group's map multiplied by `scale`, or 0 if this agent is not the
    /// planner.
    fn scaled_lag(&self, scale: f64) -> u32 {
        self.ranks.lag().map_or(0, |it| (it * scale).round() as u32)
    }

    /// Handles a failure to read the target's report. `refuses`: the connection was refused.
    fn on_failure(&mut self, now: Millis, why: &str, refuses: bool) {
        let changed = std::mem::replace(&mut self.refuses, refuses) != refuses;
        if self.answering {
            self.answering = false;
            slog::warn!(self.log, "cannot read the target's report"; "target" => %self.target,
                "why" => why);
        }
        if changed {
            self.report_if_due(now);
        }
    }

    /// Reports load and state of the target to all entries.
    fn send_report(&self) {
        let Some(reading) = &self.reading else { return };
        let age = clock::now().saturating_sub(reading.at);
        let load = reading.report.running + reading.report.waiting;
        self.metrics.in_flight.set(load.into());
        let report = Body::Report(wire::Report {
            in_flight: load,
            capacity: 0,
            engine_load: load,
            load_age: u32::try_from(age).unwrap_or(u32::MAX),
            leaving: false,
            away: self.state().closed,
            pace: convert::pace_number(self.state().pace),
            size: self.group().map_or(0, |it| it.size.into()),
            lag: self.scaled_lag(LAG_REPORT_SCALE),
            entries: self.entries.count(),
            stands: self.state().stalled,
            refuses: self.refuses,
            group: self.group().map_or(0, |it| rendezvous::stable_hash(&it.name) as u32),
            // This agent sends the target no requests, so it learns of no pause.
            rest: 0,
            limit: None,
        });
        for peer in self.entries.peers() {
            call!([self.mesh], send(peer, report.clone()));
        }
    }

    /// Answers an operator's query.
    pub fn query(&mut self, _cx: CX![], query: admin::Query) {
        let now = clock::now();
        let load = self.reading.as_ref().map(|it| {
            serde_json::json!({
                "running": it.report.running, "waiting": it.report.waiting,
                "age_ms": now.saturating_sub(it.at),
            })
        });
        match query.subject {
            admin::Subject::Ready => {
                let json = serde_json::json!({ "ready": self.answering }).to_string();
                let status = if self.answering { 200 } else { 503 };
                query.reply.send(admin::Reply { status, json });
            }
            admin::Subject::Status => {
                let (answering, reply) = (self.answering, query.reply);
                let ret = ret_some_do!(move |mesh: serde_json::Value| {
                    let mut status = mesh;
                    status["role"] = "agent".into();
                    status["target_answers"] = answering.into();
                    status["load"] = load.into();
                    reply.send(admin::Reply::ok(&status));
                });
                call!([self.mesh], status(ret));
            }
            admin::Subject::Request(_) => {
                query.reply.send(admin::Reply::missing("request; ask the entry that took it"));
            }
            admin::Subject::Group(_) => {
                query.reply.send(admin::Reply::ok(&self.ranks.explain()));
            }
        }
    }

    /// Handles a signal. A stop takes effect at once, since no request runs through this process.
    pub fn signal(&mut self, cx: CX![], signal: runtime::Signal) {
        match signal {
            runtime::Signal::Stop => {
                slog::info!(self.log, "stopped");
                stakker::stop!(cx);
            }
            runtime::Signal::Reload => {
                slog::info!(self.log, "settings not reloaded";
                    "why" => "an agent reads its settings only at startup; restart it");
            }
        }
    }
}

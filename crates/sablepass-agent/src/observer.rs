// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The actor beside a target that takes requests straight from entries: it
//! reads the target's account of itself, which costs nothing from here, tells
//! the entries its load, and keeps its rank's share of the group's map.

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
use sablepass_edge::mesh::{self, Mesh, Wanted};
use sablepass_edge::telemetry::Metrics;
use sablepass_edge::{admin, clock, runtime};
use sablepass_platform::answer::{self, Limit};
use sablepass_platform::engine;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::{convert, generated as wire};
use slog::Logger;
use stakker::{ActorOwn, CX, after, call, ret_some_do};

use crate::engine::{Ask, Engine, Heard};
use crate::listeners::Listeners;
use crate::memory::Memory;
use crate::ranks::{Do, Ranks};
use crate::settings::Settings;

/// Time between two looks at a group that is about to switch.
const PULSE: Duration = Duration::from_millis(25);
/// Pulses between two readings of the counts, in which shifts of demand show.
const COUNT_PULSES: u64 = 4;

/// Parts in which a lag that changes is told at once, and those that are told.
const TENTHS: f64 = 10.0;
const THOUSANDTHS: f64 = 1_000.0;

/// The last reading.
struct Reading {
    report: engine::Report,
    at: Millis,
}

/// The actor.
pub struct Observer {
    settings: Settings,
    target: SocketAddr,
    log: Logger,
    metrics: Arc<Metrics>,
    mesh: ActorOwn<Mesh>,
    engine: ActorOwn<Engine>,
    entries: Listeners,
    memory: Memory,
    reading: Option<Reading>,
    steps: Steps,
    /// The target answered the last time.
    good: bool,
    /// It refused the last connection.
    refuses: bool,
    /// The limit that it last named.
    limit: Limit,
    ranks: Ranks,
    /// What entries told of the maps of services, with the revision that says so.
    bounds: BTreeMap<String, (Revision, Bounds)>,
    instances: Rc<BTreeMap<String, Instance>>,
    /// The service that the target answers for, once it is listed.
    service: String,
    pulses: u64,
    sleep: clock::Sleep,
    /// When the entries were last told the load.
    told: Millis,
    /// What they were told of the rank.
    told_state: State,
}

/// How a rank stands, for those that choose targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// Its group is not complete, so that nothing sent there runs.
    closed: bool,
    /// Its group makes no step although there is work.
    stands: bool,
    /// How long it takes, for which its group waits.
    pace: Pace,
    /// Lag of the group's map in tenths, where this agent plans it.
    lag: u32,
    /// It refuses connections: its process has ended.
    refuses: bool,
}

impl Observer {
    /// Starts to read.
    pub fn init(
        cx: CX![],
        settings: Settings,
        target: SocketAddr,
        log: Logger,
        metrics: Arc<Metrics>,
        mesh: ActorOwn<Mesh>,
        engine: ActorOwn<Engine>,
    ) -> Option<Self> {
        // Fences grow from agent to agent by the time of day; one that is too
        // low after a clock went back is found out by the first order.
        let hall = settings.node.hall.clone();
        let (link, fence) = (settings.link, clock::time_of_day());
        let ranks = Ranks::open(log.clone(), metrics.clone(), hall, link, fence);
        let mut observer = Self {
            settings,
            target,
            log,
            metrics,
            mesh,
            engine,
            entries: Listeners::default(),
            memory: Memory::default(),
            reading: None,
            steps: Steps::default(),
            good: false,
            refuses: false,
            limit: Limit::None,
            ranks,
            bounds: BTreeMap::new(),
            instances: Rc::default(),
            service: String::new(),
            pulses: 0,
            sleep: clock::Sleep::default(),
            told: 0,
            told_state: State::default(),
        };
        observer.pulse(cx);
        Some(observer)
    }

    // Other processes.

    /// Takes an event of the mesh.
    pub fn mesh_event(&mut self, _cx: CX![], event: mesh::Event) {
        match event {
            mesh::Event::Up(peer, it) if it.role == Role::Entry.name() => {
                if it.dialled.is_none() {
                    slog::info!(self.log, "entry up"; "entry" => &it.name);
                    self.entries.up(peer, it.name);
                    if let Some(held) = self.memory.recall(clock::now()) {
                        call!([self.mesh], send(peer, held));
                    }
                }
            }
            mesh::Event::Up(peer, it) => {
                slog::info!(self.log, "agent up"; "agent" => it.name);
                let list = self.ranks.up(clock::now(), peer, it.hall);
                self.carry_out(list);
            }
            mesh::Event::Down(peer) => {
                self.entries.down(peer);
                self.ranks.down(peer);
            }
            mesh::Event::Message(_, Body::Bounds(it)) => self.take_bounds(it),
            mesh::Event::Message(_, Body::Suspects(it)) => {
                if self.memory.take(clock::now(), it).is_err() {
                    self.metrics.ignored(Ignored::BadFrame);
                }
            }
            mesh::Event::Message(peer, body) => {
                let list = self.ranks.message(clock::now(), peer, body);
                self.carry_out(list.unwrap_or_default());
            }
            mesh::Event::Instances(it) => {
                self.instances = it.instances;
                self.meet_group();
            }
            // Entries tell what is needed of the configuration.
            mesh::Event::Config(_) | mesh::Event::Entries(_) => {}
        }
    }

    /// Takes what an entry told of a service, unless another one told it by a
    /// later configuration.
    fn take_bounds(&mut self, it: wire::Bounds) {
        let told = match convert::parse_bounds(&it) {
            Ok(told) => told,
            Err(e) => {
                slog::warn!(self.log, "bounds ignored"; "service" => it.service, "error" => %e);
                return;
            }
        };
        let revision = Revision::new(it.era, it.revision);
        let known = self.bounds.get(&it.service);
        // An entry that learns better tells it anew at the revision that it holds.
        if known.is_some_and(|known| known.0 > revision) {
            return;
        }
        if known.is_none_or(|known| known.1 != told) {
            slog::info!(self.log, "bounds of maps"; "service" => &it.service,
                "era" => it.era, "revision" => it.revision, "bounds" => ?told);
        }
        self.bounds.insert(it.service, (revision, told));
        self.meet_group();
    }

    /// Declares the group that the target is a rank of, and connects to its
    /// agents. Bounds and list come in either order.
    fn meet_group(&mut self) {
        let instances = self.instances.clone();
        let targets = || instances.values().filter(|it| it.role == Role::Target);
        let Some(mine) = targets().find(|it| it.addr == self.target) else { return };
        self.service.clone_from(&mine.serves);
        let bounds = self.bounds.get(&self.service).map(|it| it.1);
        let bounds = bounds.filter(|_| self.settings.keeps_maps);
        self.ranks.declare(bounds);
        if bounds.is_none() {
            return;
        }
        let me = self.settings.node.listen;
        // Of two agents one dials.
        let others = targets().filter(|it| it.serves == self.service && it.addr.ip() > me.ip());
        let wanted = others.map(|it| Wanted::At(SocketAddr::new(it.addr.ip(), me.port())));
        let wanted: Vec<Wanted> = wanted.collect();
        call!([self.mesh], want(wanted));
    }

    fn carry_out(&self, list: Vec<Do>) {
        for it in list {
            match it {
                Do::Ask(ask) => call!([self.engine], ask(ask)),
                Do::Send(peer, body) => call!([self.mesh], send(peer, body)),
            }
        }
    }

    // The target.

    fn pulse(&mut self, cx: CX![]) {
        let now = clock::now();
        self.pulses += 1;
        if let Some(slept) = self.sleep.look(now) {
            self.wake(slept);
        }
        let count = self.pulses.is_multiple_of(COUNT_PULSES);
        let active = self.ranks.is_active();
        let due = now >= self.told + self.settings.heartbeat;
        if due || self.ranks.is_busy() || (active && count) {
            call!([self.engine], ask(Ask::Report));
        }
        if active && count && self.reading.is_some() {
            if self.ranks.wants_counts() {
                call!([self.engine], ask(Ask::Counts));
            }
            let list = self.ranks.tick(now);
            self.carry_out(list);
            self.tell_changes(now);
        }
        after!(PULSE, [cx], pulse());
    }

    /// What was read before this process slept says nothing any more: nothing is
    /// told or ordered by it.
    fn wake(&mut self, slept: Millis) {
        slog::warn!(self.log, "slept"; "for" => slept);
        self.metrics.sleeps.inc();
        self.reading = None;
        call!([self.engine], ask(Ask::Report));
    }

    /// Takes the end of a call to the target.
    pub fn heard(&mut self, _cx: CX![], (ask, heard): (Ask, Heard)) {
        let now = clock::now();
        if let Ok(it) = &heard {
            self.names_limit(answer::limit(&it.fields));
        }
        match (&ask, &heard) {
            (Ask::Report, Ok(Answer { status: 200, body, .. })) => match engine::report(body) {
                Ok(it) => self.report(now, it),
                Err(e) => self.lost(now, &e.to_string(), false),
            },
            (Ask::Report, Ok(it)) => self.lost(now, &format!("status {}", it.status), false),
            (Ask::Report, Err(e)) => self.lost(now, &e.to_string(), e.is_refused()),
            _ => {
                let list = self.ranks.heard(now, &ask, &heard);
                self.carry_out(list);
            }
        }
    }

    /// Says when the target begins or ends to name a limit, or names another.
    fn names_limit(&mut self, limit: Limit) {
        if std::mem::replace(&mut self.limit, limit) != limit {
            slog::info!(self.log, "target names a limit"; "limit" => ?limit);
        }
    }

    fn report(&mut self, now: Millis, report: engine::Report) {
        self.refuses = false;
        if !self.good {
            self.good = true;
            slog::info!(self.log, "target regained"; "target" => %self.target);
        }
        let before = self.reading.as_ref().map(|it| it.report.started_at);
        if before.is_some_and(|it| it != report.started_at) {
            // Orders and votes are bound to the group's epoch, which ends with a rank.
            slog::info!(self.log, "target started anew"; "born" => report.started_at);
            self.steps = Steps::default();
        }
        let busy = report.running + report.waiting > 0;
        self.steps.watch(now, report.group.as_ref().map_or(0, |it| it.reading.step), busy);
        let list = self.ranks.report(now, report.group.clone(), report.running);
        self.carry_out(list);
        self.reading = Some(Reading { report, at: now });
        let state = self.state();
        if state.pace != self.told_state.pace {
            slog::info!(self.log, "pace changed"; "judged" => ?state.pace,
                "pace" => self.group().map(|it| it.pace));
        }
        self.tell_changes(now);
    }

    /// Tells the entries, if it is time or something changed that matters to them.
    fn tell_changes(&mut self, now: Millis) {
        let state = self.state();
        if now >= self.told + self.settings.heartbeat || state != self.told_state {
            self.told = now;
            self.told_state = state;
            self.tell();
        }
    }

    fn group(&self) -> Option<&engine::Group> {
        self.reading.as_ref().and_then(|it| it.report.group.as_ref())
    }

    fn state(&self) -> State {
        State {
            closed: self.group().is_some_and(|it| !it.open),
            stands: self.steps.is_stalled(clock::now()),
            pace: self.group().map_or(Pace::Sound, |it| Pace::of(it.pace)),
            lag: self.lag(TENTHS),
            refuses: self.refuses,
        }
    }

    /// Lag of the group's map in such parts; 0 where this agent does not plan it.
    fn lag(&self, parts: f64) -> u32 {
        self.ranks.lag().map_or(0, |it| (it * parts).round() as u32)
    }

    fn lost(&mut self, now: Millis, why: &str, refuses: bool) {
        let changed = std::mem::replace(&mut self.refuses, refuses) != refuses;
        if self.good {
            self.good = false;
            slog::warn!(self.log, "target lost"; "target" => %self.target, "why" => why);
        }
        if changed {
            self.tell_changes(now);
        }
    }

    fn tell(&self) {
        let Some(it) = &self.reading else { return };
        let age = clock::now().saturating_sub(it.at);
        let load = it.report.running + it.report.waiting;
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
            lag: self.lag(THOUSANDTHS),
            entries: self.entries.count(),
            stands: self.state().stands,
            refuses: self.refuses,
            group: self.group().map_or(0, |it| rendezvous::stable_hash(&it.name) as u32),
            // It sends the target no requests that could be turned away.
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
        match query.ask {
            admin::Ask::Ready => {
                let json = serde_json::json!({ "ready": self.good }).to_string();
                let status = if self.good { 200 } else { 503 };
                query.reply.send(admin::Reply { status, json });
            }
            admin::Ask::Status => {
                let (good, reply) = (self.good, query.reply);
                let ret = ret_some_do!(move |mesh: serde_json::Value| {
                    let mut status = mesh;
                    status["role"] = "agent".into();
                    status["target_answers"] = good.into();
                    status["load"] = load.into();
                    reply.send(admin::Reply::ok(&status));
                });
                call!([self.mesh], status(ret));
            }
            admin::Ask::Request(_) => {
                query.reply.send(admin::Reply::missing("request; ask the entry that took it"));
            }
            admin::Ask::Group(_) => {
                query.reply.send(admin::Reply::ok(&self.ranks.explain()));
            }
        }
    }

    /// Takes a signal. It ends at once: nothing waits for this process.
    pub fn signal(&mut self, cx: CX![], signal: runtime::Signal) {
        match signal {
            runtime::Signal::Stop => {
                slog::info!(self.log, "stopped");
                stakker::stop!(cx);
            }
            runtime::Signal::Reload => {
                slog::info!(self.log, "settings kept"; "why" => "an agent takes them at its start");
            }
        }
    }
}

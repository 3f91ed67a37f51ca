// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert map of a declared group behind the gate: this agent is one member of the switch
//! protocol and, as the first declared member, also the planner. The keeper drives it.
//!
//! The planner is always the first member. A switch requires a vote of every member, so none is
//! possible while the first one is missing, and a failover would gain nothing. Two members may
//! plan concurrently while a declaration propagates; the switch protocol makes that harmless.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sablepass_core::catalogue::Declared;
use sablepass_core::declaration::Group as Declaration;
use sablepass_core::expert::drift::{self, Estimate};
use sablepass_core::expert::map::{Map, Shape};
use sablepass_core::expert::plan::{self, Decision, Reason};
use sablepass_core::expert::switch::{MAX_MEMBERS, Member, Message, Order, Output, Plan, Register};
use sablepass_core::id::Millis;
use sablepass_core::reason::Ignored;
use sablepass_edge::mesh::PeerKey;
use sablepass_edge::telemetry::Metrics;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use serde_json::json;
use slog::Logger;

use crate::orders::{Command, EngineEvent, Orders};

/// Interval between decisions of the planner.
const PLAN_INTERVAL: Millis = 2_000;
/// Minimum time between changes. Each change sends the complete map to every member.
const MIN_CHANGE_INTERVAL: Millis = 10_000;
/// Interval at which the planner reads the counts.
const PLANNER_COUNTS_INTERVAL: Millis = 1_000;
/// Interval at which the other members read the counts, which they only show to operators.
const MEMBER_COUNTS_INTERVAL: Millis = 10_000;
/// Interval between queries for missing votes.
const VOTE_QUERY_INTERVAL: Millis = 300;
/// Time from the proposal of a switch to its step, in addition to the loading time.
const SWITCH_LEAD: Millis = 1_500;
/// Expected time to load the weights of one moved expert.
const LOAD_TIME_PER_MOVE: Millis = 5;
/// Time for which a new agent does not take part if its engine checks no fences, so that the
/// last orders of its predecessor have arrived.
const PREDECESSOR_GRACE: Millis = 1_000;
/// Number of maps of proposed plans at which older ones are dropped.
const MAX_KEPT_MAPS: usize = 4;

/// A message to another member, with the connection to send it on.
pub type Outgoing = (PeerKey, Body);

/// State that is constant for a declaration.
struct Config {
    name: String,
    shape: Shape,
    members: Vec<String>,
    own_index: u8,
    options: plan::Options,
    quiet_hours: Option<[u8; 2]>,
    /// Time from which this member takes part in switches.
    active_from: Millis,
}

/// The member of the switch protocol and, on the first member, the planner.
pub struct Group {
    config: Config,
    declaration: Declaration,
    log: Logger,
    metrics: Arc<Metrics>,
    orders: Orders,
    /// `None` until the engine's register has been read.
    member: Option<Member>,
    /// The map in force.
    map: Option<Map>,
    /// Maps of proposed plans, by digest.
    maps: BTreeMap<u64, Map>,
    estimate: Estimate,
    /// Connections to the other members, by member index.
    connections: HashMap<u8, PeerKey>,
    /// Moving average of the group's steps per second; 0 if unknown.
    steps_per_second: f64,
    /// Time and number of the latest step reading.
    last_step: Option<(Millis, u64)>,
    /// Number of orders whose outcome has not been read.
    pending_orders: usize,
    queried_at: Millis,
    planned_at: Millis,
    proposed_at: Millis,
    counts_read_at: Millis,
    /// Latest decision of the planner, for operators.
    last_decision: String,
}

/// Error in setting up a declared group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// This agent's target is not a member.
    NotMember,
    /// The group has more members than the switch protocol supports.
    TooMany,
}

impl Group {
    /// Creates the member of the group for the agent of `target`.
    pub fn open(
        now: Millis,
        declared: &Declared<Declaration>,
        target: &str,
        checks_fence: bool,
        orders: Orders,
        (log, metrics): (Logger, Arc<Metrics>),
    ) -> Result<Self, OpenError> {
        let members: Vec<String> = declared
            .resource
            .members
            .iter()
            .map(|name| format!("{}/{name}", declared.partner))
            .collect();
        if members.len() > MAX_MEMBERS {
            return Err(OpenError::TooMany);
        }
        let me = members.iter().position(|it| it == target).ok_or(OpenError::NotMember)?;
        let shape = Shape {
            ranks: declared.resource.ranks as usize,
            layers: declared.resource.layers as usize,
            experts: declared.resource.experts as usize,
            slots: declared.resource.slots as usize,
        };
        let options = plan::Options {
            skew_weight: declared.resource.skew_weight,
            move_weight: declared.resource.move_weight,
            ..plan::Options::default()
        };
        let config = Config {
            name: format!("{}/{}", declared.partner, declared.resource.name),
            shape,
            members,
            own_index: me as u8,
            options,
            quiet_hours: declared.resource.quiet_hours,
            active_from: if checks_fence { now } else { now + PREDECESSOR_GRACE },
        };
        orders.send(Command::Map);
        Ok(Self {
            config,
            declaration: declared.resource.clone(),
            log,
            metrics,
            orders,
            member: None,
            map: None,
            maps: BTreeMap::new(),
            estimate: Estimate::new(drift::Options::default(), shape.layers, shape.experts),
            connections: HashMap::new(),
            steps_per_second: 0.0,
            last_step: None,
            pending_orders: 0,
            queried_at: 0,
            planned_at: now,
            proposed_at: 0,
            counts_read_at: 0,
            last_decision: "none".to_owned(),
        })
    }

    /// Returns whether the group was created from this declaration.
    pub fn has_declaration(&self, declared: &Declared<Declaration>) -> bool {
        self.declaration == declared.resource
    }

    /// Returns the names of the other members.
    pub fn peers(&self) -> Vec<String> {
        let me = usize::from(self.config.own_index);
        let others = self.config.members.iter().enumerate().filter(|it| it.0 != me);
        others.map(|it| it.1.clone()).collect()
    }

    /// Records a connection to the member `name`; ignores the names of other agents.
    pub fn up(&mut self, name: &str, peer: PeerKey) {
        if let Some(index) = self.config.members.iter().position(|it| it == name) {
            self.connections.insert(index as u8, peer);
        }
    }

    /// Records the end of a connection.
    pub fn down(&mut self, peer: PeerKey) {
        self.connections.retain(|_, it| *it != peer);
    }

    // Switch protocol.

    /// Handles a message of another member.
    pub fn on_ballot(
        &mut self,
        now: Millis,
        peer: PeerKey,
        ballot: &wire::Ballot,
    ) -> Vec<Outgoing> {
        let from = self.connections.iter().find(|(_, link)| **link == peer).map(|it| *it.0);
        // The sender may use a connection that it opened itself; the message names it.
        let named = self.config.members.iter().position(|name| *name == ballot.member);
        let Some(from) = from.or(named.map(|it| it as u8)) else {
            self.metrics.ignored(Ignored::BadFrame);
            return Vec::new();
        };
        let Some(message) = self.parse(ballot) else {
            self.metrics.ignored(Ignored::BadFrame);
            return Vec::new();
        };
        let ready = now >= self.config.active_from;
        match self.member.as_mut().filter(|_| ready) {
            Some(member) => {
                let outputs = member.on_message(from, message);
                self.carry_out(outputs)
            }
            None => Vec::new(),
        }
    }

    /// Decodes a message and stores the map of a proposal. `None` if the message is invalid.
    fn parse(&mut self, ballot: &wire::Ballot) -> Option<Message> {
        let plan = Plan { version: ballot.version, step: ballot.step, digest: ballot.digest };
        match ballot.kind {
            0 => {
                let map = Map::parse(self.config.shape, &ballot.map).ok()?;
                if map.digest() != ballot.digest {
                    return None;
                }
                self.store_map(map);
                Some(Message::Propose(plan))
            }
            1 | 2 => Some(Message::Vote { plan, yes: ballot.kind == 1, floor: ballot.floor }),
            3 => Some(Message::Ask(plan)),
            _ => None,
        }
    }

    /// Stores the map of a proposed plan. If there are too many, drops all but that of the armed
    /// plan.
    fn store_map(&mut self, map: Map) {
        if self.maps.len() >= MAX_KEPT_MAPS {
            let armed = self.member.as_ref().and_then(|it| it.register().armed);
            let armed = armed.map(|it| it.plan.digest);
            self.maps.retain(|digest, _| Some(*digest) == armed);
        }
        self.maps.insert(map.digest(), map);
    }

    fn carry_out(&mut self, outputs: Vec<Output>) -> Vec<Outgoing> {
        let mut sends = Vec::new();
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    if let Some(peer) = self.connections.get(&to) {
                        sends.push((*peer, self.body(message)));
                    }
                }
                Output::Order(order) => self.order(order),
            }
        }
        sends
    }

    fn order(&mut self, order: Order) {
        let map = match order {
            // Without the plan's map the engine cannot be armed, so bar the version.
            Order::Arm(plan) => match self.maps.get(&plan.digest) {
                Some(map) => map.encode(),
                None => return self.order(Order::Bar(plan.version)),
            },
            Order::Bar(_) | Order::Commit(_) | Order::Abort(_) => Vec::new(),
        };
        self.pending_orders += 1;
        self.orders.send(Command::Order(order, map));
    }

    fn body(&self, message: Message) -> Body {
        let member = self.config.members[usize::from(self.config.own_index)].clone();
        let ballot = |kind, plan: Plan| wire::Ballot {
            group: self.config.name.clone(),
            kind,
            version: plan.version,
            step: plan.step,
            digest: plan.digest,
            member: member.clone(),
            ..wire::Ballot::default()
        };
        Body::Ballot(match message {
            Message::Propose(plan) => {
                let map = self.maps.get(&plan.digest).map(Map::encode).unwrap_or_default();
                wire::Ballot { map: map.into(), ..ballot(0, plan) }
            }
            Message::Vote { plan, yes, floor } => {
                wire::Ballot { floor, ..ballot(if yes { 1 } else { 2 }, plan) }
            }
            Message::Ask(plan) => ballot(3, plan),
        })
    }

    /// Handles a reading of the engine or the outcome of an order.
    pub fn on_engine_event(&mut self, now: Millis, event: EngineEvent) -> Vec<Outgoing> {
        match event {
            EngineEvent::Register(it) => self.on_register(now, it, false),
            EngineEvent::Done(it) => {
                self.pending_orders = self.pending_orders.saturating_sub(1);
                let done = self.pending_orders == 0;
                self.on_register(now, it, done)
            }
            EngineEvent::Counts(step, tokens) => {
                let fits = tokens.len() == self.config.shape.layers
                    && tokens.iter().all(|it| it.len() == self.config.shape.experts);
                if fits {
                    self.estimate.observe(step, &tokens);
                } else {
                    self.metrics.ignored(Ignored::BadFrame);
                }
                Vec::new()
            }
            EngineEvent::Map(bytes) => {
                match Map::parse(self.config.shape, &bytes) {
                    Ok(map) => self.map = Some(map),
                    Err(e) => {
                        slog::warn!(self.log, "engine's map does not match the declared group";
                            "error" => %e);
                        self.last_decision =
                            format!("engine's map does not match the declared group: {e}");
                    }
                }
                Vec::new()
            }
        }
    }

    /// Handles a reading of the register. `done` means that no order is pending any more.
    fn on_register(&mut self, now: Millis, register: Register, done: bool) -> Vec<Outgoing> {
        self.update_pace(now, register.step);
        let size = self.config.members.len() as u8;
        let Some(member) = &mut self.member else {
            self.member = Some(Member::open(self.config.own_index, size, register));
            return Vec::new();
        };
        let before = member.register().current;
        let outputs = if done { member.on_done(register) } else { member.on_register(register) };
        if register.current != before {
            self.on_switch(register);
        }
        self.carry_out(outputs)
    }

    fn on_switch(&mut self, register: Register) {
        self.metrics.map_version.set(register.version() as i64);
        slog::info!(self.log, "expert map in force"; "version" => register.version());
        let digest = register.current.map(|it| it.digest);
        match digest.and_then(|it| self.maps.remove(&it)) {
            Some(map) => self.map = Some(map),
            None => self.orders.send(Command::Map),
        }
    }

    /// Updates the average number of steps per second from two register readings.
    fn update_pace(&mut self, now: Millis, step: u64) {
        if let Some((at, last)) = self.last_step
            && now > at
            && step > last
        {
            let pace = (step - last) as f64 * 1_000.0 / (now - at) as f64;
            self.steps_per_second = if self.steps_per_second > 0.0 {
                0.8 * self.steps_per_second + 0.2 * pace
            } else {
                pace
            };
        }
        self.last_step = Some((now, step));
    }

    // Periodic work.

    /// Reads the engine, queries missing votes and plans, each when it is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        let planner = self.config.own_index == 0;
        let every = if planner { PLANNER_COUNTS_INTERVAL } else { MEMBER_COUNTS_INTERVAL };
        let count = now >= self.counts_read_at + every;
        if self.orders.read(count) && count {
            self.counts_read_at = now;
        }
        if self.member.is_none() || self.map.is_none() {
            self.orders.send_once(Command::Map);
        }
        let mut sends = Vec::new();
        if now >= self.queried_at + VOTE_QUERY_INTERVAL
            && let Some(member) = &mut self.member
        {
            self.queried_at = now;
            let outputs = member.tick();
            sends.extend(self.carry_out(outputs));
        }
        if planner && now >= self.planned_at + PLAN_INTERVAL && now >= self.config.active_from {
            self.planned_at = now;
            sends.extend(self.plan(now));
        }
        sends
    }

    /// Proposes a switch to a better map, if the planner decides for one.
    fn plan(&mut self, now: Millis) -> Vec<Outgoing> {
        let decision = self.decide(now);
        let (outcome, map, moves) = match decision {
            Decision::Keep(reason) => {
                self.metrics.plans.with_label_values(&[reason.label()]).inc();
                if !matches!(reason, Reason::Switching | Reason::TooSoon) {
                    self.last_decision = format!("kept: {}", reason.label());
                }
                return Vec::new();
            }
            Decision::Change { map, moves, saved, cost } => {
                (format!("{moves} moves: {saved:.1} steps saved, {cost:.1} delayed"), map, moves)
            }
        };
        let Some(member) = &mut self.member else { return Vec::new() };
        self.metrics.plans.with_label_values(&["proposed"]).inc();
        let lead = SWITCH_LEAD + LOAD_TIME_PER_MOVE * moves as Millis;
        let steps = (self.steps_per_second * lead as f64 / 1_000.0).ceil() as u64;
        let plan = Plan {
            version: member.next_version(),
            step: member.register().step + steps.max(1),
            digest: map.digest(),
        };
        slog::info!(self.log, "expert map proposed"; "version" => plan.version, "why" => &outcome);
        self.last_decision = format!("proposed version {}, {outcome}", plan.version);
        self.proposed_at = now;
        self.maps.insert(plan.digest, map);
        let outputs = member.propose(plan);
        self.carry_out(outputs)
    }

    fn decide(&self, now: Millis) -> Decision {
        let (Some(member), Some(map)) = (&self.member, &self.map) else {
            return Decision::Keep(Reason::NoCounts);
        };
        if member.register().armed.is_some() || self.pending_orders > 0 {
            return Decision::Keep(Reason::Switching);
        }
        if now < self.proposed_at + MIN_CHANGE_INTERVAL {
            return Decision::Keep(Reason::TooSoon);
        }
        if self.connections.len() + 1 < self.config.members.len() {
            return Decision::Keep(Reason::MemberAway);
        }
        let hour = (now / 3_600_000 % 24) as u8;
        if plan::in_quiet_hours(self.config.quiet_hours, hour) {
            return Decision::Keep(Reason::QuietHours);
        }
        plan::decide(&self.config.options, map, &self.estimate)
    }

    /// Returns the group's status, as known to this member, for operators.
    pub fn explain(&self) -> serde_json::Value {
        let register = self.member.as_ref().map(|it| *it.register());
        let skews = match &self.map {
            Some(map) if self.estimate.has_counts() => map.skews(&self.estimate.tokens()),
            _ => Vec::new(),
        };
        let mean = skews.iter().sum::<f64>() / skews.len().max(1) as f64;
        if !skews.is_empty() {
            self.metrics.skew.set(mean);
        }
        let near = |index: &usize| *index == usize::from(self.config.own_index);
        let reached = |index: usize| near(&index) || self.connections.contains_key(&(index as u8));
        let away: Vec<&String> = self
            .config
            .members
            .iter()
            .enumerate()
            .filter(|(index, _)| !reached(*index))
            .map(|it| it.1)
            .collect();
        json!({
            "group": self.config.name, "planner": self.config.members[0], "members_away": away,
            "version": register.map_or(0, |it| it.version()), "register": register,
            "skew_mean": mean, "skew_by_layer": skews, "steps_a_second": self.steps_per_second,
            "last_decision": self.last_decision,
        })
    }

    /// Returns the qualified name of the group.
    pub fn name(&self) -> &str {
        &self.config.name
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Atomic switch of a group from one map to the next, for engines that store their
//! vote. The agents of the group's members run this protocol.
//!
//! A plan names a version, a map and a step. Every member promises or refuses the
//! plan, and a vote never changes. The group switches at the named step if all
//! members promised, otherwise it does not switch. The outcome is therefore a
//! function of the votes, and any member can learn it by querying the others. An
//! engine that reaches the named step before the outcome is known waits there. This
//! delays no step that could have run otherwise, since a group in lock-step cannot
//! execute a step without all of its members.
//!
//! Votes are stored by the engine, not by the agent: an engine either arms a plan
//! (yes) or bars a version (no), and neither is revoked. A restarted agent reads the
//! vote back, and a late order of its predecessor is checked against the same
//! register as an order that arrives in time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A planned switch. Two plans for the same version differ in `step` or `digest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Plan {
    /// Version of the new map; higher than that of the old map.
    pub version: u64,
    /// First step that runs on the new map.
    pub step: u64,
    /// Digest of the map's content.
    pub digest: u64,
}

/// A plan that an engine has promised to carry out if it is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// The promised plan.
    pub plan: Plan,
    /// The outcome, once the engine has received it.
    pub outcome: Option<Outcome>,
}

/// Outcome of the vote on a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// All members promised: the group switches at the named step.
    Commit,
    /// A member refused: the group never switches by this plan.
    Abort,
}

/// Switch state that an engine stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Register {
    /// The next step to execute.
    pub step: u64,
    /// Plan of the map in force; `None` for the initial map.
    pub current: Option<Plan>,
    /// Plans with this version or a lower one are refused permanently unless armed.
    pub floor: u64,
    /// The promised plan, until the switch or its abort.
    pub armed: Option<Armed>,
}

/// An order that an agent sends to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Order {
    /// Promise a plan, whose map is already loaded beside the current one.
    Arm(Plan),
    /// Refuse all plans with this version or a lower one that are not armed.
    Bar(u64),
    /// Switch to the armed plan's map at its step.
    Commit(Plan),
    /// Drop the armed plan.
    Abort(Plan),
}

impl Register {
    /// Version of the map in force; 0 for the initial map.
    pub fn version(&self) -> u64 {
        self.current.map_or(0, |it| it.version)
    }

    /// Lowest version that a new plan may have.
    pub fn next_version(&self) -> u64 {
        let armed = self.armed.map_or(0, |it| it.plan.version);
        self.floor.max(self.version()).max(armed) + 1
    }

    /// Carries out an order. Returns false and changes nothing if it is refused.
    pub fn apply(&mut self, order: Order) -> bool {
        match order {
            Order::Arm(plan) => {
                let fresh = plan.version > self.floor && plan.version > self.version();
                if !fresh || plan.step <= self.step || self.armed.is_some() {
                    return false;
                }
                self.armed = Some(Armed { plan, outcome: None });
            }
            Order::Bar(version) => self.floor = self.floor.max(version),
            Order::Commit(plan) => return self.resolve(plan, Outcome::Commit),
            Order::Abort(plan) => return self.resolve(plan, Outcome::Abort),
        }
        true
    }

    fn resolve(&mut self, plan: Plan, outcome: Outcome) -> bool {
        match &mut self.armed {
            Some(armed) if armed.plan == plan && armed.outcome.is_none() => {
                armed.outcome = Some(outcome);
            }
            _ => return false,
        }
        if outcome == Outcome::Abort {
            self.floor = self.floor.max(plan.version);
            self.armed = None;
        }
        true
    }

    /// Whether the next step may be executed: not at an armed plan's step while the
    /// outcome is unknown.
    pub fn may_step(&self) -> bool {
        self.armed.is_none_or(|it| it.plan.step > self.step || it.outcome.is_some())
    }

    /// Executes the next step, on the map of `current` as updated here. Must only be
    /// called when [`Register::may_step`] returns true.
    pub fn advance(&mut self) {
        if let Some(armed) = self.armed
            && armed.plan.step <= self.step
            && armed.outcome == Some(Outcome::Commit)
        {
            self.current = Some(armed.plan);
            self.floor = self.floor.max(armed.plan.version);
            self.armed = None;
        }
        self.step += 1;
    }

    /// Returns the member's vote on a plan, or `None` if it has not voted yet.
    pub fn vote(&self, plan: Plan) -> Option<bool> {
        let promised = self.armed.is_some_and(|it| it.plan == plan);
        if promised || self.current == Some(plan) {
            return Some(true);
        }
        let closed = plan.version <= self.floor || plan.version <= self.version();
        closed.then_some(false)
    }
}

/// A message between members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Requests a vote on a plan.
    Propose(Plan),
    /// A member's vote on a plan.
    Vote {
        /// The plan that the vote is for.
        plan: Plan,
        /// Whether the member promised the plan.
        yes: bool,
        /// Highest version for which the voter refuses new plans.
        floor: u64,
    },
    /// Queries the receiver's vote. A receiver that has not voted yet refuses the plan.
    Ask(Plan),
}

/// An action that a [`Member`] requests from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to the member with this number.
    Send(u8, Message),
    /// Send an order to the member's own engine, which answers with its register.
    Order(Order),
}

/// Protocol state of a member's agent. It is not persisted: after a restart the agent
/// continues from its engine's register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    me: u8,
    size: u8,
    register: Register,
    /// Members that promised each plan, as a bit mask.
    yes: BTreeMap<Plan, u32>,
    /// Members that refused each plan, as a bit mask.
    no: BTreeMap<Plan, u32>,
    /// Plans that were proposed or queried and on which this member has not voted yet.
    undecided: Vec<Plan>,
    /// Highest floor that any member reported.
    floor: u64,
}

/// Maximum number of members in a group.
pub const MAX_MEMBERS: usize = 32;

impl Member {
    /// Creates the agent of member `me` in a group of `size` members from the current
    /// register of its engine.
    pub fn open(me: u8, size: u8, register: Register) -> Self {
        Self {
            me,
            size,
            register,
            yes: BTreeMap::new(),
            no: BTreeMap::new(),
            undecided: Vec::new(),
            floor: 0,
        }
    }

    /// Returns the engine's register as last read.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Lowest version that this member should propose: above its engine's versions and
    /// above the floors that other members reported.
    pub fn next_version(&self) -> u64 {
        self.register.next_version().max(self.floor + 1)
    }

    fn others(&self) -> impl Iterator<Item = u8> + use<> {
        let me = self.me;
        (0..self.size).filter(move |it| *it != me)
    }

    fn broadcast(&self, message: Message) -> Vec<Output> {
        self.others().map(|it| Output::Send(it, message)).collect()
    }

    /// Proposes a plan to all members, including this one.
    pub fn propose(&mut self, plan: Plan) -> Vec<Output> {
        let mut outputs = self.broadcast(Message::Propose(plan));
        outputs.extend(self.on_propose(plan));
        outputs
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, from: u8, message: Message) -> Vec<Output> {
        match message {
            Message::Propose(plan) => self.on_propose(plan),
            Message::Vote { plan, yes, floor } => {
                self.floor = self.floor.max(floor);
                self.record_vote(plan, from, yes);
                self.resolve()
            }
            Message::Ask(plan) => self.on_ask(from, plan),
        }
    }

    fn on_propose(&mut self, plan: Plan) -> Vec<Output> {
        if let Some(yes) = self.register.vote(plan) {
            return self.broadcast(self.vote_message(plan, yes));
        }
        self.add_undecided(plan);
        let busy = self.register.armed.is_some();
        let late = plan.step <= self.register.step;
        let order = if busy || late { Order::Bar(plan.version) } else { Order::Arm(plan) };
        vec![Output::Order(order)]
    }

    fn on_ask(&mut self, from: u8, plan: Plan) -> Vec<Output> {
        if let Some(yes) = self.register.vote(plan) {
            return vec![Output::Send(from, self.vote_message(plan, yes))];
        }
        if self.undecided.contains(&plan) {
            // An order is in flight; the resulting vote will be broadcast.
            return Vec::new();
        }
        self.add_undecided(plan);
        vec![Output::Order(Order::Bar(plan.version))]
    }

    fn vote_message(&self, plan: Plan, yes: bool) -> Message {
        Message::Vote { plan, yes, floor: self.register.next_version() - 1 }
    }

    fn add_undecided(&mut self, plan: Plan) {
        if !self.undecided.contains(&plan) {
            self.undecided.push(plan);
        }
    }

    /// Handles a reading of the engine's register, at any time. Broadcasts the votes
    /// that it decides, and sends the outcome to the engine once known.
    pub fn on_register(&mut self, register: Register) -> Vec<Output> {
        self.register = register;
        let mut outputs = Vec::new();
        let (decided, undecided): (Vec<Plan>, Vec<Plan>) =
            self.undecided.iter().partition(|plan| register.vote(**plan).is_some());
        self.undecided = undecided;
        for plan in decided {
            let yes = register.vote(plan) == Some(true);
            outputs.extend(self.broadcast(self.vote_message(plan, yes)));
        }
        outputs.extend(self.resolve());
        self.prune_votes();
        outputs
    }

    /// Handles the engine's register after all orders in flight have completed. The
    /// engine refused the arm order of any plan that is still undecided, for example
    /// because its step had passed; these plans are barred.
    pub fn on_done(&mut self, register: Register) -> Vec<Output> {
        let mut outputs = self.on_register(register);
        let bar = |it: &Plan| Output::Order(Order::Bar(it.version));
        outputs.extend(self.undecided.iter().map(bar));
        outputs
    }

    fn record_vote(&mut self, plan: Plan, from: u8, yes: bool) {
        let votes = if yes { &mut self.yes } else { &mut self.no };
        *votes.entry(plan).or_default() |= 1 << from;
    }

    /// Orders the engine to commit or abort its armed plan, once the outcome is known.
    fn resolve(&mut self) -> Vec<Output> {
        let Some(Armed { plan, outcome: None }) = self.register.armed else {
            return Vec::new();
        };
        let refused = self.no.get(&plan).is_some_and(|it| *it != 0);
        if refused {
            return vec![Output::Order(Order::Abort(plan))];
        }
        let promised = self.yes.get(&plan).copied().unwrap_or(0) | 1 << self.me;
        if promised.count_ones() == u32::from(self.size) {
            return vec![Output::Order(Order::Commit(plan))];
        }
        Vec::new()
    }

    /// Queries the members whose vote on the armed plan is unknown. Called periodically.
    pub fn tick(&mut self) -> Vec<Output> {
        let mut outputs = self.resolve();
        if let Some(Armed { plan, outcome: None }) = self.register.armed {
            let heard = self.yes.get(&plan).copied().unwrap_or(0);
            let unknown = self.others().filter(|it| heard & 1 << it == 0);
            outputs.extend(unknown.map(|it| Output::Send(it, Message::Ask(plan))));
        }
        outputs
    }

    /// Removes the votes on plans up to the version in force, except the armed plan's.
    fn prune_votes(&mut self) {
        let version = self.register.version();
        let armed = self.register.armed.map(|it| it.plan);
        let keep = |plan: &Plan| Some(*plan) == armed || plan.version > version;
        self.yes.retain(|plan, _| keep(plan));
        self.no.retain(|plan, _| keep(plan));
    }
}

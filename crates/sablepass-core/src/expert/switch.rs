// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The switch of a group from one map to the next.
//!
//! A plan names a version, a map and a step. Every member promises it or
//! refuses it, and a vote never changes. The group switches at the named
//! step if all promised, else not at all; so the outcome is a function of
//! the votes, and any member can learn it by asking the rest. A member whose
//! step has come and that does not know yet holds its engine there. That
//! costs no step that could have been made: a group in lock-step cannot step
//! without any one of its members.
//!
//! A vote is not the agent's memory but a fact of its engine: an engine
//! arms a plan (yes) or bars a version (no), one or the other for good. A
//! restarted agent reads it back, and a predecessor's late order finds the
//! register as strict as an early one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A plan of a switch. Two plans of one version differ in their id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Plan {
    /// Version of the new map; above that of the old one.
    pub version: u64,
    /// The first step on the new map.
    pub step: u64,
    /// Name of the map's content.
    pub digest: u64,
}

/// A plan that an engine has promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Armed {
    /// The plan.
    pub plan: Plan,
    /// The outcome, once the engine was told.
    pub outcome: Option<Outcome>,
}

/// What becomes of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// All promised: the switch happens at the named step.
    Commit,
    /// One refused: it never happens.
    Abort,
}

/// What an engine keeps for its group's switches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Register {
    /// The step that comes next.
    pub step: u64,
    /// The plan whose map is in force; none for the first map.
    pub current: Option<Plan>,
    /// Plans of this version and below that are not armed are refused for good.
    pub floor: u64,
    /// The promised plan.
    pub armed: Option<Armed>,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Order {
    /// Promise a plan; its map has been loaded beside the old one.
    Arm(Plan),
    /// Refuse all plans of this version and below that are not armed.
    Bar(u64),
    /// Switch at the named step.
    Commit(Plan),
    /// Drop the armed plan.
    Abort(Plan),
}

impl Register {
    /// Version of the map in force; 0 for the first one.
    pub fn version(&self) -> u64 {
        self.current.map_or(0, |it| it.version)
    }

    /// The least version that a new plan may have.
    pub fn next_version(&self) -> u64 {
        let armed = self.armed.map_or(0, |it| it.plan.version);
        self.floor.max(self.version()).max(armed) + 1
    }

    /// Carries out an order, or refuses it without a change.
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

    /// Whether the next step may be made.
    pub fn may_step(&self) -> bool {
        self.armed.is_none_or(|it| it.plan.step > self.step || it.outcome.is_some())
    }

    /// Makes the next step; the map in force for it is that of `current`.
    /// Only to be called when [`Register::may_step`].
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

    /// The member's vote on a plan: none while it is open.
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
    /// Promise or refuse this plan.
    Propose(Plan),
    /// A member's vote, and the least version it would take.
    Vote {
        /// The plan voted on.
        plan: Plan,
        /// Promised or refused.
        yes: bool,
        /// Version below which the voter refuses everything.
        floor: u64,
    },
    /// What is your vote? Whoever has none refuses.
    Ask(Plan),
}

/// What a member wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send to a member.
    Send(u8, Message),
    /// Give an order to the own engine; its answer is the register.
    Order(Order),
}

/// A member's agent. Everything in here may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    me: u8,
    size: u8,
    register: Register,
    /// Votes heard, by plan; a bit a member.
    yes: BTreeMap<Plan, u32>,
    no: BTreeMap<Plan, u32>,
    /// Plans whose vote somebody waits for.
    open: Vec<Plan>,
    /// The highest floor heard of.
    floor: u64,
}

/// Most members of a group.
pub const MAX_MEMBERS: usize = 32;

impl Member {
    /// Opens member `me` of `size`, with its engine's register as read.
    pub fn open(me: u8, size: u8, register: Register) -> Self {
        Self {
            me,
            size,
            register,
            yes: BTreeMap::new(),
            no: BTreeMap::new(),
            open: Vec::new(),
            floor: 0,
        }
    }

    /// The engine's register as last read.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// The least version that a plan of this member should have.
    pub fn next_version(&self) -> u64 {
        self.register.next_version().max(self.floor + 1)
    }

    fn others(&self) -> impl Iterator<Item = u8> + use<> {
        let me = self.me;
        (0..self.size).filter(move |it| *it != me)
    }

    fn tell_all(&self, message: Message) -> Vec<Output> {
        self.others().map(|it| Output::Send(it, message)).collect()
    }

    /// Proposes a plan to all, this member included.
    pub fn propose(&mut self, plan: Plan) -> Vec<Output> {
        let mut outputs = self.tell_all(Message::Propose(plan));
        outputs.extend(self.on_propose(plan));
        outputs
    }

    /// Takes a message of another member.
    pub fn on_message(&mut self, from: u8, message: Message) -> Vec<Output> {
        match message {
            Message::Propose(plan) => self.on_propose(plan),
            Message::Vote { plan, yes, floor } => {
                self.floor = self.floor.max(floor);
                self.count(plan, from, yes);
                self.resolve()
            }
            Message::Ask(plan) => self.on_ask(from, plan),
        }
    }

    fn on_propose(&mut self, plan: Plan) -> Vec<Output> {
        if let Some(yes) = self.register.vote(plan) {
            return self.tell_all(self.vote(plan, yes));
        }
        self.await_vote(plan);
        let busy = self.register.armed.is_some();
        let late = plan.step <= self.register.step;
        let order = if busy || late { Order::Bar(plan.version) } else { Order::Arm(plan) };
        vec![Output::Order(order)]
    }

    fn on_ask(&mut self, from: u8, plan: Plan) -> Vec<Output> {
        if let Some(yes) = self.register.vote(plan) {
            return vec![Output::Send(from, self.vote(plan, yes))];
        }
        if self.open.contains(&plan) {
            // An order is under way; its outcome is told to all.
            return Vec::new();
        }
        self.await_vote(plan);
        vec![Output::Order(Order::Bar(plan.version))]
    }

    fn vote(&self, plan: Plan, yes: bool) -> Message {
        Message::Vote { plan, yes, floor: self.register.next_version() - 1 }
    }

    fn await_vote(&mut self, plan: Plan) {
        if !self.open.contains(&plan) {
            self.open.push(plan);
        }
    }

    /// Takes the engine's register as read at any time.
    pub fn on_register(&mut self, register: Register) -> Vec<Output> {
        self.register = register;
        let mut outputs = Vec::new();
        let (decided, open): (Vec<Plan>, Vec<Plan>) =
            self.open.iter().partition(|plan| register.vote(**plan).is_some());
        self.open = open;
        for plan in decided {
            let yes = register.vote(plan) == Some(true);
            outputs.extend(self.tell_all(self.vote(plan, yes)));
        }
        outputs.extend(self.resolve());
        self.forget();
        outputs
    }

    /// Takes the engine's register as it is when no order is under way any
    /// more. What is still open was refused, as when its step had passed, and
    /// is barred.
    pub fn on_done(&mut self, register: Register) -> Vec<Output> {
        let mut outputs = self.on_register(register);
        let bar = |it: &Plan| Output::Order(Order::Bar(it.version));
        outputs.extend(self.open.iter().map(bar));
        outputs
    }

    fn count(&mut self, plan: Plan, from: u8, yes: bool) {
        let votes = if yes { &mut self.yes } else { &mut self.no };
        *votes.entry(plan).or_default() |= 1 << from;
    }

    /// Tells the engine the outcome of its armed plan, once it is known.
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

    /// Asks those whose vote on the armed plan is not known.
    pub fn tick(&mut self) -> Vec<Output> {
        let mut outputs = self.resolve();
        if let Some(Armed { plan, outcome: None }) = self.register.armed {
            let heard = self.yes.get(&plan).copied().unwrap_or(0);
            let unknown = self.others().filter(|it| heard & 1 << it == 0);
            outputs.extend(unknown.map(|it| Output::Send(it, Message::Ask(plan))));
        }
        outputs
    }

    /// Forgets votes on plans that are settled here.
    fn forget(&mut self) {
        let version = self.register.version();
        let armed = self.register.armed.map(|it| it.plan);
        let keep = |plan: &Plan| Some(*plan) == armed || plan.version > version;
        self.yes.retain(|plan, _| keep(plan));
        self.no.retain(|plan, _| keep(plan));
    }
}

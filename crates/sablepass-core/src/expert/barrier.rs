// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The switch of a group whose engines keep no vote: they can prepare a map,
//! arm it for a step, hold a step and let it go, and they check fences.
//!
//! A plan names a prepared version and a step. Each member holds its rank at
//! the step, arms the version for it, and tells what its engine's own account
//! then shows: yes, it is armed. A member that cannot do so first has
//! its engine take a disarm order with a higher fence, after which nothing
//! sent before can arm it, and then tells no. A vote never changes. The step
//! cannot begin while any rank holds it, and a member lets it go only when
//! all are armed, or when one said no and its own rank is disarmed. So at the
//! step all ranks have the new map or none.
//!
//! Votes are gathered up a [`Tree`] and their outcome is spread down it. That is
//! a matter of speed only: a set of votes may be passed on by anybody, and who
//! waits for longer than a tick asks members whose votes it lacks.
//!
//! Orders may be carried out late. Each carries the group's epoch and a fence
//! above all earlier ones of its rank, so what is late meets a newer order or
//! another epoch and is refused. Whatever a lost agent left behind stands in
//! its engine's account; its successor bars late orders, reads that, and goes
//! on: armed is a yes that was given, anything else becomes a no.

use std::collections::BTreeMap;

use snafu::{Snafu, ensure};

use crate::expert::members::{self, MAX_MEMBERS, Members};
use crate::expert::tree::Tree;

mod dissemination;

/// Plans whose vote is remembered, for members that ask late.
const SETTLED: usize = 16;
/// How much a fence jumps when an engine knows a higher one.
const FENCE_JUMP: u64 = 1 << 20;

/// Why a group is not kept, or a message is not taken. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The group has more members than a set of votes takes.
    #[snafu(display("a group of {size}; {MAX_MEMBERS} at most"))]
    TooMany {
        /// Members of the group.
        size: u16,
    },
    /// A member that the group does not have.
    #[snafu(transparent)]
    Members {
        /// Which one.
        source: members::Error,
    },
}

/// A plan of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Plan {
    /// Version of the new map, which the ranks have prepared.
    pub version: u64,
    /// The first step on it. Above that of every earlier plan of the epoch.
    pub step: u64,
}

/// An engine's account of itself, read when no order is under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reading {
    /// Grows each time the group forms anew.
    pub epoch: u64,
    /// The last step begun.
    pub step: u64,
    /// Version of the map in force.
    pub version: u64,
    /// Version that is prepared.
    pub prepared: Option<u64>,
    /// The plan that it is armed for.
    pub armed: Option<Plan>,
    /// The step that it holds.
    pub held: Option<u64>,
}

/// An order to the own engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Order {
    /// Change nothing, but refuse what was sent before.
    Bar,
    /// Do not begin this step.
    Hold(u64),
    /// Take the prepared version as this step begins.
    Arm(Plan),
    /// Do not take this version.
    Disarm(u64),
    /// Begin the held step.
    Go(u64),
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Done {
    /// The engine took it.
    Taken,
    /// It did not fit the engine's state.
    Refused,
    /// The engine knows a higher fence.
    Fenced,
    /// Nobody knows; it may be carried out later.
    Unknown,
}

/// A message between members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Switch by this plan.
    Switch(Plan),
    /// The votes that the sender knows, its own among them. Anybody may pass
    /// them on, so two members need no connection to learn of each other.
    Votes {
        /// The plan.
        plan: Plan,
        /// Members that are armed.
        yes: Members,
        /// One member is never to be.
        no: bool,
    },
    /// Which votes do you know? Whoever has none says no.
    Ask(Plan),
}

/// What a member wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send to a member, in this epoch.
    Send(u16, u64, Message),
    /// Give the own engine an order. The account is to be read after it.
    Order {
        /// The order.
        order: Order,
        /// The epoch that it is for.
        epoch: u64,
        /// Its fence.
        fence: u64,
    },
}

/// Votes heard on a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Votes {
    yes: Members,
    no: bool,
    /// Those of all members below were passed on up the tree.
    gathered: bool,
    /// The outcome was passed on.
    spread: bool,
}

/// The plan in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Current {
    plan: Plan,
    vote: Option<bool>,
    /// No is all that is left to say.
    refusing: bool,
    /// After a yes: the rank is disarmed, since another one said no.
    undone: bool,
    /// A tick went by since the vote.
    waited: bool,
    /// The member that was asked last for votes.
    asked: u16,
}

impl Current {
    fn open(plan: Plan, me: u16) -> Self {
        Self { plan, vote: None, refusing: false, undone: false, waited: false, asked: me }
    }
}

/// A member's agent. Everything in here may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    me: u16,
    size: u16,
    tree: Tree,
    /// This member and those below it.
    below: Members,
    fence: u64,
    /// The version that this agent itself had prepared last.
    wanted: u64,
    /// The engine refuses what a predecessor sent.
    barred: bool,
    reading: Option<Reading>,
    /// The reading was made after the last order.
    fresh: bool,
    pending: Option<Order>,
    /// An order failed that has to be given again: at the next tick.
    resting: bool,
    current: Option<Current>,
    votes: BTreeMap<Plan, Votes>,
    /// Own votes on plans that are over.
    settled: BTreeMap<Plan, bool>,
    /// A plan that somebody waits for and that is not the current one: it is
    /// barred and refused, whatever becomes of the current one.
    asked: Option<Plan>,
    /// The plan that the order under way bars.
    barring: Option<Plan>,
    /// Plans that were barred and whose refusal is to be told.
    refused: Vec<Plan>,
}

impl Member {
    /// Opens member `me` of `size`, whose orders carry fences above `fence`.
    pub fn open(me: u16, size: u16, fence: u64) -> Result<Self, Error> {
        ensure!(size <= MAX_MEMBERS, TooManySnafu { size });
        members::check(me, size)?;
        let tree = Tree::open(size);
        Ok(Self {
            me,
            size,
            tree,
            below: tree.subtree(me),
            fence,
            wanted: 0,
            barred: false,
            reading: None,
            fresh: false,
            pending: None,
            resting: false,
            current: None,
            votes: BTreeMap::new(),
            settled: BTreeMap::new(),
            asked: None,
            barring: None,
            refused: Vec::new(),
        })
    }

    /// The engine's account as last read.
    pub fn reading(&self) -> Option<&Reading> {
        self.reading.as_ref()
    }

    /// The plan in progress.
    pub fn plan(&self) -> Option<Plan> {
        self.current.map(|it| it.plan)
    }

    /// Whether a new plan can be begun.
    pub fn is_free(&self) -> bool {
        let idle = |it: &Reading| it.armed.is_none() && it.held.is_none();
        self.barred
            && self.fresh
            && self.current.is_none()
            && self.reading.as_ref().is_some_and(idle)
    }

    /// Records that this agent has a version prepared, and gives the fence of
    /// that order. A plan for any other version is refused: its proposal was
    /// meant for a predecessor, whose votes are not known here.
    pub fn prepare(&mut self, version: u64) -> u64 {
        self.wanted = version;
        self.next_fence()
    }

    fn next_fence(&mut self) -> u64 {
        self.fence += 1;
        self.fence
    }

    /// Records that the engine knows a higher fence than that of an order.
    pub fn raise_fence(&mut self) {
        self.fence += FENCE_JUMP;
    }

    /// Takes a message of a member.
    pub fn on_message(
        &mut self,
        from: u16,
        epoch: u64,
        message: Message,
    ) -> Result<Vec<Output>, Error> {
        members::check(from, self.size)?;
        if let Message::Votes { yes, .. } = &message {
            yes.check(self.size)?;
        }
        Ok(self.take(from, epoch, message))
    }

    fn take(&mut self, from: u16, epoch: u64, message: Message) -> Vec<Output> {
        if self.reading.is_none() || epoch != self.epoch() {
            // Of another epoch, or too early to know. Who waits asks again.
            return Vec::new();
        }
        match message {
            Message::Switch(plan) => {
                let mut outputs = self.pass_plan(plan);
                self.begin(plan);
                outputs.extend(self.advance());
                outputs
            }
            Message::Votes { plan, yes, no } => {
                let votes = self.votes.entry(plan).or_default();
                votes.yes = votes.yes.union(&yes);
                votes.no |= no;
                let decides = no || yes.len() == u32::from(self.size);
                let mut outputs = self.pass_votes(plan, decides.then_some(from));
                outputs.extend(self.advance());
                outputs
            }
            Message::Ask(plan) => self.on_ask(from, plan),
        }
    }

    fn knows(&self, plan: Plan) -> bool {
        self.settled.contains_key(&plan) || self.plan() == Some(plan)
    }

    fn begin(&mut self, plan: Plan) {
        let barred = self.asked == Some(plan) || self.barring == Some(plan);
        if self.knows(plan) || barred || self.current.is_some() || !self.barred {
            return;
        }
        if plan.version != self.wanted {
            self.asked = Some(plan);
            return;
        }
        let passed = self.settled.keys().any(|it| it.step >= plan.step);
        self.current = Some(Current { refusing: passed, ..Current::open(plan, self.me) });
    }

    /// Takes the engine's account.
    pub fn on_reading(&mut self, reading: Reading) -> Vec<Output> {
        if self.pending.is_some() {
            return Vec::new();
        }
        let known = self.reading.map(|it| it.epoch);
        if known.is_some_and(|it| it != reading.epoch) {
            // The group formed anew: nothing of the old one counts.
            self.current = None;
            self.asked = None;
            self.refused.clear();
            self.votes.clear();
            self.settled.clear();
        }
        self.reading = Some(reading);
        self.fresh = true;
        self.advance()
    }

    /// Takes the end of an order. The account is read next.
    pub fn on_done(&mut self, done: Done) {
        let Some(order) = self.pending.take() else { return };
        self.fresh = false;
        if let Some(plan) = self.barring.take() {
            self.barred_plan(plan, done);
            return;
        }
        if done == Done::Fenced {
            self.raise_fence();
        }
        match (order, done) {
            (Order::Bar, Done::Taken) => self.barred = true,
            // What went unanswered is given again, if the account does not
            // show it. The later one bars the earlier.
            (Order::Hold(_) | Order::Arm(_), Done::Taken | Done::Unknown) => {}
            (Order::Hold(_) | Order::Arm(_), Done::Refused) => self.refuse(),
            (Order::Disarm(_), Done::Taken) => self.disarmed(),
            // The account says whether it has to be given again. Time enough went
            // by until it counted as unanswered.
            (Order::Go(_), Done::Taken | Done::Unknown) | (_, Done::Fenced) => {}
            (Order::Bar | Order::Disarm(_), Done::Unknown) => {}
            (Order::Bar | Order::Disarm(_) | Order::Go(_), _) => self.resting = true,
        }
    }

    fn barred_plan(&mut self, plan: Plan, done: Done) {
        match done {
            Done::Taken => {
                self.asked = self.asked.filter(|it| *it != plan);
                self.remember(plan, false);
                self.refused.push(plan);
            }
            Done::Fenced => self.raise_fence(),
            Done::Unknown => {}
            Done::Refused => self.resting = true,
        }
    }

    fn refuse(&mut self) {
        if let Some(it) = &mut self.current {
            it.refusing = true;
        }
    }

    /// Nothing sent before can arm the rank any more.
    fn disarmed(&mut self) {
        let Some(it) = &mut self.current else { return };
        match it.vote {
            None => {
                it.vote = Some(false);
                let plan = it.plan;
                self.votes.entry(plan).or_default().no = true;
            }
            Some(true) => it.undone = true,
            Some(false) => {}
        }
    }

    /// Asks for votes that are still not known, and tries again what failed.
    pub fn tick(&mut self) -> Vec<Output> {
        self.resting = false;
        let mut outputs = self.advance();
        outputs.extend(self.ask());
        outputs
    }

    fn epoch(&self) -> u64 {
        self.reading.map_or(0, |it| it.epoch)
    }

    /// Does what is next, as far as the account allows.
    fn advance(&mut self) -> Vec<Output> {
        let Some(reading) = self.reading.filter(|_| self.fresh) else { return Vec::new() };
        if self.pending.is_some() || self.resting {
            return Vec::new();
        }
        if !self.barred {
            return vec![self.order(Order::Bar)];
        }
        if self.current.is_none() {
            self.adopt(&reading);
        }
        let mut outputs = self.announce();
        let order = match self.current {
            None => reading.held.map(Order::Go),
            Some(it) => self.next_order(&reading, it),
        };
        outputs.extend(self.announce());
        let order = order.or_else(|| self.next_bar(&reading));
        outputs.extend(order.map(|it| self.order(it)));
        outputs
    }

    /// The order that bars a plan which somebody waits for. The rank is not
    /// armed for it, and what it is armed for stays as it is.
    fn next_bar(&mut self, reading: &Reading) -> Option<Order> {
        let plan = self.asked?;
        let known = self.knows(plan);
        let other = self.plan().is_some_and(|it| it.version == plan.version);
        if known || other || reading.version == plan.version {
            self.asked = None;
            return None;
        }
        self.barring = Some(plan);
        Some(Order::Disarm(plan.version))
    }

    fn order(&mut self, order: Order) -> Output {
        self.pending = Some(order);
        Output::Order { order, epoch: self.epoch(), fence: self.next_fence() }
    }

    /// Takes up what the account shows of a plan that is not known: armed is
    /// a yes, which may have been given.
    fn adopt(&mut self, reading: &Reading) {
        self.current = reading.armed.map(|plan| Current::open(plan, self.me));
    }

    fn next_order(&mut self, reading: &Reading, it: Current) -> Option<Order> {
        match it.vote {
            None => self.next_before_vote(reading, it),
            Some(true) => self.next_after_yes(reading, it),
            Some(false) => self.next_after_no(reading, it),
        }
    }

    fn next_before_vote(&mut self, reading: &Reading, it: Current) -> Option<Order> {
        let Plan { version, step } = it.plan;
        let armed = reading.armed == Some(it.plan);
        if armed || reading.version == version {
            self.vote_yes(it.plan);
            return self.next_after_yes(reading, Current { vote: Some(true), ..it });
        }
        let late = reading.step >= step || reading.prepared != Some(version);
        let busy = reading.armed.is_some() || reading.held.is_some_and(|it| it != step);
        if it.refusing || late || busy {
            return Some(Order::Disarm(version));
        }
        if reading.held.is_none() {
            return Some(Order::Hold(step));
        }
        Some(Order::Arm(it.plan))
    }

    fn vote_yes(&mut self, plan: Plan) {
        if let Some(it) = &mut self.current {
            it.vote = Some(true);
        }
        self.votes.entry(plan).or_default().yes.insert(self.me);
    }

    fn next_after_yes(&mut self, reading: &Reading, it: Current) -> Option<Order> {
        let Plan { version, step } = it.plan;
        if reading.version == version {
            self.settle(it.plan, true);
            return reading.held.map(Order::Go);
        }
        let votes = self.votes.get(&it.plan).copied().unwrap_or_default();
        if votes.no {
            if !it.undone {
                return Some(Order::Disarm(version));
            }
            if reading.held == Some(step) {
                return Some(Order::Go(step));
            }
            self.settle(it.plan, true);
            return None;
        }
        let all = votes.yes.len() == u32::from(self.size);
        (all && reading.held == Some(step)).then_some(Order::Go(step))
    }

    fn next_after_no(&mut self, reading: &Reading, it: Current) -> Option<Order> {
        if reading.held == Some(it.plan.step) {
            return Some(Order::Go(it.plan.step));
        }
        self.settle(it.plan, false);
        None
    }

    /// A plan is over for this member.
    fn settle(&mut self, plan: Plan, vote: bool) {
        self.current = None;
        self.remember(plan, vote);
    }

    fn remember(&mut self, plan: Plan, vote: bool) {
        self.settled.insert(plan, vote);
        while self.settled.len() > SETTLED {
            self.settled.pop_first();
        }
        let settled = &self.settled;
        self.votes.retain(|it, _| *it > plan || settled.contains_key(it));
    }
}

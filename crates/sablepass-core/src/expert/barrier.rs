// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Atomic switch of a group to a new map, for engines that store no vote. Such
//! engines can prepare a map, arm it for a step, hold a step and release it, and they
//! check fences. The agents of the group's members run this protocol.
//!
//! A plan names a prepared version and a step. Each member has its engine hold the
//! step and arm the version for it, and votes yes once the engine's state shows that
//! it is armed. A member that cannot do so first has its engine accept a disarm order
//! with a higher fence, after which no earlier order can arm it, and then votes no. A
//! vote never changes. The step cannot begin while any rank holds it, and a member
//! releases it only when all ranks are armed, or when a member voted no and the state
//! of its own engine shows that it is disarmed. At that step either all ranks switch to
//! the new map or none.
//!
//! Votes are aggregated up a [`Tree`], and their outcome is sent down it. Only latency
//! depends on the tree: any member may forward a set of votes, and a member that waits
//! for longer than a tick queries members whose votes it lacks.
//!
//! Orders may be carried out late. Each order carries the group's epoch and a fence
//! above those of all earlier orders of its rank, so a late order meets a higher fence
//! or another epoch and is refused. The engine's state shows what a lost agent left
//! behind. Its successor bars late orders, reads that state and continues from it: an
//! armed plan counts as a yes that may have been sent, anything else becomes a no.

use std::collections::BTreeMap;

use snafu::{Snafu, ensure};

use crate::expert::members::{self, MAX_MEMBERS, Members};
use crate::expert::tree::Tree;

mod dissemination;

/// Maximum number of completed plans whose vote is kept, for members that query late.
const MAX_SETTLED_PLANS: usize = 16;
/// Increment of the fence after the engine reported a higher one.
const FENCE_JUMP: u64 = 1 << 20;

/// Rejection of a group or of a message. No state has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The group has more members than a set of votes can hold.
    #[snafu(display("group has {size} members; the maximum is {MAX_MEMBERS}"))]
    TooMany {
        /// Number of members in the group.
        size: u16,
    },
    /// The group has no such member.
    #[snafu(transparent)]
    Members {
        /// The underlying error.
        source: members::Error,
    },
}

/// A planned switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Plan {
    /// Version of the new map. The ranks have prepared it.
    pub version: u64,
    /// First step that runs on the new map. Higher than the step of every earlier plan
    /// of the epoch.
    pub step: u64,
}

/// Reading of an engine's state, taken while no order is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reading {
    /// Epoch of the group; increases whenever the group forms again.
    pub epoch: u64,
    /// Last step that has begun.
    pub step: u64,
    /// Version of the map in force.
    pub version: u64,
    /// Version of the prepared map.
    pub prepared: Option<u64>,
    /// Plan that the engine is armed for.
    pub armed: Option<Plan>,
    /// Step that the engine holds.
    pub held: Option<u64>,
}

/// An order to the member's own engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Order {
    /// Change nothing, but refuse orders that were sent earlier.
    Bar,
    /// Do not begin this step until it is released.
    Hold(u64),
    /// Switch to the plan's prepared version when its step begins.
    Arm(Plan),
    /// Do not switch to this version.
    Disarm(u64),
    /// Release the held step.
    Go(u64),
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Done {
    /// The engine accepted the order.
    Taken,
    /// The order does not fit the engine's state.
    Refused,
    /// The engine has seen a higher fence.
    Fenced,
    /// No answer was received; the order may still be carried out.
    Unknown,
}

/// A message between members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Start the switch by this plan.
    Switch(Plan),
    /// Votes known to the sender, including its own. Any member may forward them, so
    /// two members can exchange votes without a direct connection.
    Votes {
        /// The plan that the votes are for.
        plan: Plan,
        /// Members that are armed.
        yes: Members,
        /// Whether a member voted no and will never be armed for the plan.
        no: bool,
    },
    /// Queries the votes known to the receiver. A receiver that does not know the plan
    /// votes no.
    Ask(Plan),
}

/// An action that a [`Member`] requests from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to the member with this number, in this epoch.
    Send(u16, u64, Message),
    /// Send an order to the member's own engine, and read the engine's state afterwards.
    Order {
        /// The order to send.
        order: Order,
        /// Epoch that the order is valid for.
        epoch: u64,
        /// Fence of the order.
        fence: u64,
    },
}

/// Known votes on a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Votes {
    yes: Members,
    no: bool,
    /// The votes of the member's whole subtree, or the outcome, were sent to its parent.
    sent_up: bool,
    /// The outcome was forwarded.
    outcome_sent: bool,
}

/// The plan in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ActivePlan {
    plan: Plan,
    /// The member's own vote.
    vote: Option<bool>,
    /// The member can only vote no.
    refusing: bool,
    /// The member voted yes, but disarmed its rank because another member voted no.
    rolled_back: bool,
    /// A tick has passed since the vote.
    ticked_since_vote: bool,
    /// The member that was queried last for votes.
    last_queried: u16,
}

impl ActivePlan {
    fn open(plan: Plan, me: u16) -> Self {
        Self {
            plan,
            vote: None,
            refusing: false,
            rolled_back: false,
            ticked_since_vote: false,
            last_queried: me,
        }
    }
}

/// Protocol state of a member's agent. It is not persisted: after a restart the agent
/// continues from its engine's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    me: u16,
    size: u16,
    tree: Tree,
    /// This member and its descendants in the tree.
    subtree: Members,
    /// Fence of the latest order.
    fence: u64,
    /// The version that this agent itself last had its engine prepare.
    prepared_version: u64,
    /// The engine refuses orders that a predecessor of this agent sent.
    barred: bool,
    /// The engine's state as last read.
    reading: Option<Reading>,
    /// The reading was taken after the last order.
    fresh: bool,
    /// The order in flight.
    pending: Option<Order>,
    /// An order failed and is repeated at the next tick.
    backed_off: bool,
    current: Option<ActivePlan>,
    votes: BTreeMap<Plan, Votes>,
    /// Own votes on completed plans.
    settled: BTreeMap<Plan, bool>,
    /// A plan to bar and refuse independently of the current plan: one that another
    /// member queried, or one whose version this agent did not prepare.
    plan_to_bar: Option<Plan>,
    /// The plan that the order in flight bars.
    barring: Option<Plan>,
    /// Barred plans whose refusal has not been sent yet.
    unsent_refusals: Vec<Plan>,
}

impl Member {
    /// Creates the agent of member `me` in a group of `size` members. Its orders carry
    /// fences above `fence`. Returns an error if the group is too large or does not have
    /// the member.
    pub fn open(me: u16, size: u16, fence: u64) -> Result<Self, Error> {
        ensure!(size <= MAX_MEMBERS, TooManySnafu { size });
        members::check(me, size)?;
        let tree = Tree::open(size);
        Ok(Self {
            me,
            size,
            tree,
            subtree: tree.subtree(me),
            fence,
            prepared_version: 0,
            barred: false,
            reading: None,
            fresh: false,
            pending: None,
            backed_off: false,
            current: None,
            votes: BTreeMap::new(),
            settled: BTreeMap::new(),
            plan_to_bar: None,
            barring: None,
            unsent_refusals: Vec::new(),
        })
    }

    /// Returns the engine's state as last read.
    pub fn reading(&self) -> Option<&Reading> {
        self.reading.as_ref()
    }

    /// Returns the plan in progress.
    pub fn plan(&self) -> Option<Plan> {
        self.current.map(|it| it.plan)
    }

    /// Whether a new plan can be started.
    pub fn is_free(&self) -> bool {
        let idle = |it: &Reading| it.armed.is_none() && it.held.is_none();
        self.barred
            && self.fresh
            && self.current.is_none()
            && self.reading.as_ref().is_some_and(idle)
    }

    /// Records that this agent orders its engine to prepare `version`, and returns the
    /// fence of that order. Plans for other versions are refused: they were proposed to
    /// a predecessor of this agent, whose votes are unknown here.
    pub fn prepare(&mut self, version: u64) -> u64 {
        self.prepared_version = version;
        self.next_fence()
    }

    fn next_fence(&mut self) -> u64 {
        self.fence += 1;
        self.fence
    }

    /// Raises the fence after the engine reported one above that of an order.
    pub fn raise_fence(&mut self) {
        self.fence += FENCE_JUMP;
    }

    /// Handles a message from a member. Messages of another epoch are ignored. Returns an
    /// error if the sender or a member in the votes does not belong to the group.
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
        Ok(self.handle_message(from, epoch, message))
    }

    fn handle_message(&mut self, from: u16, epoch: u64, message: Message) -> Vec<Output> {
        if self.reading.is_none() || epoch != self.epoch() {
            // Another epoch, or the epoch is not known yet. A waiting member queries again.
            return Vec::new();
        }
        match message {
            Message::Switch(plan) => {
                let mut outputs = self.forward_plan(plan);
                self.start_plan(plan);
                outputs.extend(self.advance());
                outputs
            }
            Message::Votes { plan, yes, no } => {
                let votes = self.votes.entry(plan).or_default();
                votes.yes = votes.yes.union(&yes);
                votes.no |= no;
                let decides = no || yes.len() == u32::from(self.size);
                let mut outputs = self.forward_votes(plan, decides.then_some(from));
                outputs.extend(self.advance());
                outputs
            }
            Message::Ask(plan) => self.on_ask(from, plan),
        }
    }

    fn is_known(&self, plan: Plan) -> bool {
        self.settled.contains_key(&plan) || self.plan() == Some(plan)
    }

    fn start_plan(&mut self, plan: Plan) {
        let barred = self.plan_to_bar == Some(plan) || self.barring == Some(plan);
        if self.is_known(plan) || barred || self.current.is_some() || !self.barred {
            return;
        }
        if plan.version != self.prepared_version {
            self.plan_to_bar = Some(plan);
            return;
        }
        let superseded = self.settled.keys().any(|it| it.step >= plan.step);
        self.current = Some(ActivePlan { refusing: superseded, ..ActivePlan::open(plan, self.me) });
    }

    /// Handles a reading of the engine's state. It is ignored while an order is in
    /// flight.
    pub fn on_reading(&mut self, reading: Reading) -> Vec<Output> {
        if self.pending.is_some() {
            return Vec::new();
        }
        let known_epoch = self.reading.map(|it| it.epoch);
        if known_epoch.is_some_and(|it| it != reading.epoch) {
            // The group has formed again, which voids all plans and votes.
            self.current = None;
            self.plan_to_bar = None;
            self.unsent_refusals.clear();
            self.votes.clear();
            self.settled.clear();
        }
        self.reading = Some(reading);
        self.fresh = true;
        self.advance()
    }

    /// Handles the result of the order in flight. The caller then reads the engine's
    /// state and passes it to [`Member::on_reading`].
    pub fn on_done(&mut self, done: Done) {
        let Some(order) = self.pending.take() else { return };
        self.fresh = false;
        if let Some(plan) = self.barring.take() {
            self.on_plan_barred(plan, done);
            return;
        }
        if done == Done::Fenced {
            self.raise_fence();
        }
        match (order, done) {
            (Order::Bar, Done::Taken) => self.barred = true,
            // An unanswered order is repeated unless the engine's state shows its
            // effect. The higher fence of the repeated order bars the earlier one.
            (Order::Hold(_) | Order::Arm(_), Done::Taken | Done::Unknown) => {}
            (Order::Hold(_) | Order::Arm(_), Done::Refused) => self.mark_refusing(),
            (Order::Disarm(_), Done::Taken) => self.on_disarmed(),
            // The engine's state shows whether the order has to be repeated. It is repeated
            // without a back-off, since the timeout that made it unanswered has passed.
            (Order::Go(_), Done::Taken | Done::Unknown) | (_, Done::Fenced) => {}
            (Order::Bar | Order::Disarm(_), Done::Unknown) => {}
            (Order::Bar | Order::Disarm(_) | Order::Go(_), _) => self.backed_off = true,
        }
    }

    fn on_plan_barred(&mut self, plan: Plan, done: Done) {
        match done {
            Done::Taken => {
                self.plan_to_bar = self.plan_to_bar.filter(|it| *it != plan);
                self.record_settled(plan, false);
                self.unsent_refusals.push(plan);
            }
            Done::Fenced => self.raise_fence(),
            Done::Unknown => {}
            Done::Refused => self.backed_off = true,
        }
    }

    fn mark_refusing(&mut self) {
        if let Some(current) = &mut self.current {
            current.refusing = true;
        }
    }

    /// Votes no, or rolls back after a yes: no earlier order can arm the rank any more.
    fn on_disarmed(&mut self) {
        let Some(current) = &mut self.current else { return };
        match current.vote {
            None => {
                current.vote = Some(false);
                let plan = current.plan;
                self.votes.entry(plan).or_default().no = true;
            }
            Some(true) => current.rolled_back = true,
            Some(false) => {}
        }
    }

    /// Repeats failed orders and queries missing votes. Called periodically.
    pub fn tick(&mut self) -> Vec<Output> {
        self.backed_off = false;
        let mut outputs = self.advance();
        outputs.extend(self.query_missing_votes());
        outputs
    }

    fn epoch(&self) -> u64 {
        self.reading.map_or(0, |it| it.epoch)
    }

    /// Returns the next messages and the next order that the engine's state permits.
    fn advance(&mut self) -> Vec<Output> {
        let Some(reading) = self.reading.filter(|_| self.fresh) else { return Vec::new() };
        if self.pending.is_some() || self.backed_off {
            return Vec::new();
        }
        if !self.barred {
            return vec![self.issue(Order::Bar)];
        }
        if self.current.is_none() {
            self.adopt_armed_plan(&reading);
        }
        let mut outputs = self.forward_own_votes();
        let order = match self.current {
            None => reading.held.map(Order::Go),
            Some(current) => self.next_order(&reading, current),
        };
        outputs.extend(self.forward_own_votes());
        let order = order.or_else(|| self.next_bar(&reading));
        outputs.extend(order.map(|it| self.issue(it)));
        outputs
    }

    /// Returns the order that bars `plan_to_bar`. The rank is not armed for that plan,
    /// and the order leaves a different armed plan in place.
    fn next_bar(&mut self, reading: &Reading) -> Option<Order> {
        let plan = self.plan_to_bar?;
        let known = self.is_known(plan);
        let same_version = self.plan().is_some_and(|it| it.version == plan.version);
        if known || same_version || reading.version == plan.version {
            self.plan_to_bar = None;
            return None;
        }
        self.barring = Some(plan);
        Some(Order::Disarm(plan.version))
    }

    fn issue(&mut self, order: Order) -> Output {
        self.pending = Some(order);
        Output::Order { order, epoch: self.epoch(), fence: self.next_fence() }
    }

    /// Continues the plan that the engine is armed for, if any. A predecessor of this
    /// agent may already have sent a yes for it.
    fn adopt_armed_plan(&mut self, reading: &Reading) {
        self.current = reading.armed.map(|plan| ActivePlan::open(plan, self.me));
    }

    fn next_order(&mut self, reading: &Reading, current: ActivePlan) -> Option<Order> {
        match current.vote {
            None => self.next_before_vote(reading, current),
            Some(true) => self.next_after_yes(reading, current),
            Some(false) => self.next_after_no(reading, current),
        }
    }

    fn next_before_vote(&mut self, reading: &Reading, current: ActivePlan) -> Option<Order> {
        let Plan { version, step } = current.plan;
        let armed = reading.armed == Some(current.plan);
        if armed || reading.version == version {
            self.vote_yes(current.plan);
            return self.next_after_yes(reading, ActivePlan { vote: Some(true), ..current });
        }
        let late = reading.step >= step || reading.prepared != Some(version);
        let busy = reading.armed.is_some() || reading.held.is_some_and(|it| it != step);
        if current.refusing || late || busy {
            return Some(Order::Disarm(version));
        }
        if reading.held.is_none() {
            return Some(Order::Hold(step));
        }
        Some(Order::Arm(current.plan))
    }

    fn vote_yes(&mut self, plan: Plan) {
        if let Some(current) = &mut self.current {
            current.vote = Some(true);
        }
        self.votes.entry(plan).or_default().yes.insert(self.me);
    }

    fn next_after_yes(&mut self, reading: &Reading, current: ActivePlan) -> Option<Order> {
        let Plan { version, step } = current.plan;
        if reading.version == version {
            self.settle(current.plan, true);
            return reading.held.map(Order::Go);
        }
        let votes = self.votes.get(&current.plan).copied().unwrap_or_default();
        if votes.no {
            if !current.rolled_back {
                return Some(Order::Disarm(version));
            }
            if is_armed_for(reading, version) {
                return Some(self.repeat_disarm(version));
            }
            if reading.held == Some(step) {
                return Some(Order::Go(step));
            }
            self.settle(current.plan, true);
            return None;
        }
        let all = votes.yes.len() == u32::from(self.size);
        (all && reading.held == Some(step)).then_some(Order::Go(step))
    }

    fn next_after_no(&mut self, reading: &Reading, current: ActivePlan) -> Option<Order> {
        if is_armed_for(reading, current.plan.version) {
            return Some(self.repeat_disarm(current.plan.version));
        }
        if reading.held == Some(current.plan.step) {
            return Some(Order::Go(current.plan.step));
        }
        self.settle(current.plan, false);
        None
    }

    /// Returns the order to disarm again, and waits until the next tick: the engine has accepted
    /// the order and may still be carrying it out.
    fn repeat_disarm(&mut self, version: u64) -> Order {
        self.backed_off = true;
        Order::Disarm(version)
    }

    /// Completes the current plan for this member, with its own vote.
    fn settle(&mut self, plan: Plan, vote: bool) {
        self.current = None;
        self.record_settled(plan, vote);
    }

    fn record_settled(&mut self, plan: Plan, vote: bool) {
        self.settled.insert(plan, vote);
        while self.settled.len() > MAX_SETTLED_PLANS {
            self.settled.pop_first();
        }
        let settled = &self.settled;
        self.votes.retain(|it, _| *it > plan || settled.contains_key(it));
    }
}

fn is_armed_for(reading: &Reading, version: u64) -> bool {
    reading.armed.is_some_and(|it| it.version == version)
}

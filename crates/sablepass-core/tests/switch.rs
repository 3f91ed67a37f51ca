// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Model check of `expert::switch`, run on the production code: an exhaustive search
//! of small settings, and random walks of larger ones. Messages and orders may be lost,
//! duplicated, reordered and delayed; agents crash, restart and pause; two planners
//! propose concurrently; orders of a predecessor arrive after a restart. No step may run
//! on two maps, and the group must recover from every state once messages and orders
//! get through again.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

use sablepass_core::expert::switch::{Member, Message, Order, Output, Plan, Register};

/// A fault injected into the code under test, which the search must detect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// An engine does not store its member's refusal.
    ChangesVote,
    /// An agent commits once a majority of the members has promised.
    Majority,
    /// An engine does not wait at the named step.
    DoesNotHold,
}

#[derive(Clone, Copy)]
struct Limits {
    members: u8,
    crashes: u8,
    /// Plans in the order of their proposal, each with its proposing member.
    plans: &'static [(u8, Plan)],
    last_step: u64,
    mutation: Mutation,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    registers: Vec<Register>,
    agents: Vec<Member>,
    /// All messages sent so far, with sender and receiver; each may be delivered again at
    /// any time.
    mail: BTreeSet<(u8, u8, Message)>,
    /// All orders given so far, with the member and its agent's incarnation; each may be
    /// carried out again at any time.
    orders: BTreeSet<(u8, u8, Order)>,
    incarnations: Vec<u8>,
    /// Number of plans proposed so far.
    proposed: usize,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Propose,
    Deliver(u8, u8, Message),
    Execute(u8, u8, Order),
    Tick(u8),
    Read(u8),
    Crash(u8),
    Step,
}

impl World {
    fn open(limits: &Limits) -> Self {
        let size = limits.members;
        let register = Register { step: 1, ..Register::default() };
        Self {
            registers: vec![register; usize::from(size)],
            agents: (0..size).map(|me| Member::open(me, size, register)).collect(),
            mail: BTreeSet::new(),
            orders: BTreeSet::new(),
            incarnations: vec![0; usize::from(size)],
            proposed: 0,
        }
    }

    fn actions(&self, limits: &Limits) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.proposed < limits.plans.len() {
            actions.push(Action::Propose);
        }
        actions.extend(self.mail.iter().map(|&(from, to, it)| Action::Deliver(from, to, it)));
        actions.extend(self.orders.iter().map(|&(at, by, it)| Action::Execute(at, by, it)));
        for member in 0..limits.members {
            actions.push(Action::Tick(member));
            actions.push(Action::Read(member));
            let crashes: u8 = self.incarnations.iter().sum();
            if crashes < limits.crashes {
                actions.push(Action::Crash(member));
            }
        }
        actions.push(Action::Step);
        actions
    }

    fn carry_out(&mut self, member: u8, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    self.mail.insert((member, to, message));
                }
                Output::Order(order) => {
                    let by = self.incarnations[usize::from(member)];
                    self.orders.insert((member, by, order));
                }
            }
        }
    }

    fn execute(&mut self, limits: &Limits, at: u8, by: u8, order: Order) {
        let index = usize::from(at);
        let loses_refusal =
            limits.mutation == Mutation::ChangesVote && matches!(order, Order::Bar(_));
        if !loses_refusal {
            self.registers[index].apply(order);
        }
        if by != self.incarnations[index] {
            return;
        }
        let mut register = self.registers[index];
        if loses_refusal && let Order::Bar(version) = order {
            // The agent sees its refusal in the register, but the engine did not store it.
            register.floor = register.floor.max(version);
        }
        let mut outputs = self.agents[index].on_done(register);
        if limits.mutation == Mutation::Majority
            && let Some(armed) = self.registers[index].armed
        {
            let promised = self.registers.iter().filter(|it| it.vote(armed.plan) == Some(true));
            if promised.count() * 2 > usize::from(limits.members) {
                outputs.push(Output::Order(Order::Commit(armed.plan)));
            }
        }
        self.carry_out(at, outputs);
    }

    fn act(&mut self, limits: &Limits, action: Action) -> Result<(), String> {
        match action {
            Action::Propose => {
                let (member, plan) = limits.plans[self.proposed];
                self.proposed += 1;
                let outputs = self.agents[usize::from(member)].propose(plan);
                self.carry_out(member, outputs);
            }
            Action::Deliver(from, to, message) => {
                let outputs = self.agents[usize::from(to)].on_message(from, message);
                self.carry_out(to, outputs);
            }
            Action::Execute(at, by, order) => self.execute(limits, at, by, order),
            Action::Tick(member) => {
                let outputs = self.agents[usize::from(member)].tick();
                self.carry_out(member, outputs);
            }
            Action::Read(member) => {
                let register = self.registers[usize::from(member)];
                let outputs = self.agents[usize::from(member)].on_register(register);
                self.carry_out(member, outputs);
            }
            Action::Crash(member) => {
                let index = usize::from(member);
                self.incarnations[index] += 1;
                let register = self.registers[index];
                self.agents[index] = Member::open(member, limits.members, register);
            }
            Action::Step => return self.step(limits),
        }
        Ok(())
    }

    fn step(&mut self, limits: &Limits) -> Result<(), String> {
        let holds = limits.mutation != Mutation::DoesNotHold;
        let may = |it: &Register| it.may_step() || !holds;
        if self.registers[0].step > limits.last_step || !self.registers.iter().all(may) {
            return Ok(());
        }
        self.registers.iter_mut().for_each(Register::advance);
        let maps: BTreeSet<Option<Plan>> = self.registers.iter().map(|it| it.current).collect();
        if maps.len() > 1 {
            return Err(format!("step {} ran on maps {maps:?}", self.registers[0].step - 1));
        }
        Ok(())
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// Whether all engines can step again once all messages and orders get through and no
    /// further faults occur.
    fn recovers(&self, limits: &Limits) -> bool {
        let mut world = self.clone();
        for _ in 0..12 {
            if world.registers.iter().all(Register::may_step) {
                return true;
            }
            for member in 0..limits.members {
                let _ = world.act(limits, Action::Read(member));
                let _ = world.act(limits, Action::Tick(member));
            }
            for action in world.actions(limits) {
                if matches!(action, Action::Deliver(..) | Action::Execute(..)) {
                    let _ = world.act(limits, action);
                }
            }
        }
        world.registers.iter().all(Register::may_step)
    }
}

/// Visits states breadth first, `max_states` at most. Returns the number of states visited
/// and whether these are all reachable ones, or an error if a step runs on two maps or the
/// group cannot recover.
fn explore(limits: &Limits, max_states: usize) -> Result<(usize, bool), String> {
    let mut seen = HashSet::new();
    let mut queue = std::collections::VecDeque::new();
    let start = World::open(limits);
    seen.insert(start.fingerprint());
    queue.push_back(start);
    while let Some(world) = queue.pop_front() {
        let checked = limits.mutation == Mutation::None;
        if checked && !world.recovers(limits) {
            return Err(format!("the group cannot step any more: {:?}", world.registers));
        }
        for action in world.actions(limits) {
            let mut next = world.clone();
            next.act(limits, action).map_err(|e| format!("{e} after {action:?}"))?;
            if seen.len() < max_states && seen.insert(next.fingerprint()) {
                queue.push_back(next);
            }
        }
    }
    let complete = seen.len() < max_states;
    Ok((seen.len(), complete))
}

const ONE: Plan = Plan { version: 1, step: 2, digest: 7 };
const OTHER: Plan = Plan { version: 1, step: 3, digest: 8 };
const LATER: Plan = Plan { version: 2, step: 3, digest: 9 };

fn limits(members: u8, crashes: u8, plans: &'static [(u8, Plan)]) -> Limits {
    Limits { members, crashes, plans, last_step: 4, mutation: Mutation::None }
}

/// Maximum number of states that a test explores, so that it ends in seconds. The
/// environment variable `SABLEPASS_STATES` overrides it for a longer search.
fn max_states() -> usize {
    std::env::var("SABLEPASS_STATES").ok().and_then(|it| it.parse().ok()).unwrap_or(60_000)
}

fn verify(name: &str, limits: &Limits) {
    match explore(limits, max_states()) {
        Ok((states, complete)) => {
            println!("{name}: {states} states, {}", if complete { "all" } else { "cut off" });
        }
        Err(e) => panic!("{name}: {e}"),
    }
}

#[test]
fn verify_one_plan() {
    verify("two members, one plan, no crash", &limits(2, 0, &[(0, ONE)]));
    verify("two members, one plan, two crashes", &limits(2, 2, &[(0, ONE)]));
}

#[test]
fn verify_two_planners() {
    verify("two members, two planners, one crash", &limits(2, 1, &[(0, ONE), (1, OTHER)]));
}

#[test]
fn verify_two_versions() {
    verify("two members, two versions, one crash", &limits(2, 1, &[(0, ONE), (1, LATER)]));
}

#[test]
fn verify_three_members() {
    verify("three members, one plan, one crash", &limits(3, 1, &[(0, ONE)]));
    verify("three members, two planners", &limits(3, 0, &[(0, ONE), (1, OTHER)]));
}

#[test]
fn verify_search_finds_mutations() {
    for mutation in [Mutation::ChangesVote, Mutation::Majority, Mutation::DoesNotHold] {
        let members = if mutation == Mutation::Majority { 3 } else { 2 };
        let limits = Limits { mutation, ..limits(members, 1, &[(0, ONE)]) };
        let found = explore(&limits, 400_000);
        assert!(found.is_err(), "the search did not detect an injected fault: {found:?}");
    }
}

/// Random walks beyond the reach of the exhaustive search: four members, one or three
/// planners, three crashes, and plans some steps ahead.
#[test]
fn verify_random_walks() {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    const FAR: Plan = Plan { version: 1, step: 12, digest: 1 };
    const RIVAL: Plan = Plan { version: 1, step: 13, digest: 2 };
    const NEXT: Plan = Plan { version: 2, step: 14, digest: 3 };
    let long = |it| Limits { last_step: 18, ..it };
    let several = long(limits(4, 3, &[(0, FAR), (1, RIVAL), (2, NEXT)]));
    let single = long(limits(4, 3, &[(0, FAR)]));
    let mut switched = 0;
    for seed in 0..1_000 {
        let limits = if seed % 2 == 0 { single } else { several };
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::open(&limits);
        for _ in 0..2_000 {
            let actions = world.actions(&limits);
            let action = actions[rng.random_range(0..actions.len())];
            // Ticks are kept rare: a query that arrives before its plan leads to a refusal.
            if matches!(action, Action::Tick(_)) && rng.random_bool(0.98) {
                continue;
            }
            world.act(&limits, action).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        }
        assert!(
            world.recovers(&limits),
            "seed {seed}: the group cannot step any more: {:?}",
            world.registers
        );
        switched += usize::from(world.registers[0].current.is_some());
    }
    assert!(switched > 100, "only {switched} of 1,000 walks switched at all");
    println!("1,000 walks of 2,000 actions, {switched} switched");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The way of plans and votes from member to member: down and up the tree, and
//! to whoever asks.

use crate::expert::barrier::{Current, Member, Message, Output, Plan};
use crate::expert::members::Members;

/// Members that are asked at a tick: each that waits learns what so many others
/// know, so the votes of 192 are with all after three ticks, whoever of those in
/// between is gone, with 16 messages a member and tick.
const ASKS: usize = 8;

impl Member {
    /// Begins a plan at all members, this one included.
    pub fn propose(&mut self, plan: Plan) -> Vec<Output> {
        let up = self.tree.parent(self.me).is_some().then_some(0);
        let mut outputs = self.tell(up, Message::Switch(plan));
        outputs.extend(self.take(self.me, self.epoch(), Message::Switch(plan)));
        outputs
    }

    /// Passes a plan on to the members below, the first time.
    pub(super) fn pass_plan(&self, plan: Plan) -> Vec<Output> {
        if self.knows(plan) {
            return Vec::new();
        }
        self.tell(self.tree.children(self.me), Message::Switch(plan))
    }

    /// Passes votes on that others wait for: up once all from below are there, and
    /// both ways once it is clear what comes of the plan, but not to the member
    /// `knows` that said so.
    pub(super) fn pass_votes(&mut self, plan: Plan, knows: Option<u16>) -> Vec<Output> {
        let Some(votes) = self.votes.get_mut(&plan) else { return Vec::new() };
        let decided = votes.no || votes.yes.len() == u32::from(self.size);
        let gathered = votes.yes.contains_all(&self.below);
        let spreads = decided && !votes.spread;
        let gathers = gathered && !votes.gathered;
        if !spreads && !gathers {
            return Vec::new();
        }
        votes.gathered = true;
        votes.spread |= spreads;
        let message = Message::Votes { plan, yes: votes.yes, no: votes.no };
        let below = self.tree.children(self.me).filter(|_| spreads);
        let to = self.tree.parent(self.me).into_iter().chain(below);
        self.tell(to.filter(|it| Some(*it) != knows), message)
    }

    pub(super) fn on_ask(&mut self, from: u16, plan: Plan) -> Vec<Output> {
        let current = self.current.filter(|it| it.plan == plan);
        let in_force = self.reading.is_some_and(|it| it.version == plan.version);
        let vote = match current {
            Some(it) => it.vote,
            None => self.settled.get(&plan).copied().or(in_force.then_some(true)),
        };
        if let Some(yes) = vote {
            return vec![Output::Send(from, self.epoch(), self.known(plan, yes))];
        }
        if current.is_none() {
            self.asked = Some(plan);
        }
        self.advance()
    }

    /// The votes known on a plan, with the own one.
    pub(super) fn known(&self, plan: Plan, yes: bool) -> Message {
        let votes = self.votes.get(&plan).copied().unwrap_or_default();
        let mine = if yes { Members::one(self.me) } else { Members::default() };
        Message::Votes { plan, yes: votes.yes.union(&mine), no: votes.no || !yes }
    }

    /// Asks some of the members whose votes are missing since the last tick, others
    /// each time.
    pub(super) fn ask(&mut self) -> Vec<Output> {
        let Some(it) = &mut self.current else { return Vec::new() };
        let waits = it.vote == Some(true) && !it.undone;
        let heard = self.votes.get(&it.plan).map_or(Members::default(), |it| it.yes);
        if !waits || !std::mem::replace(&mut it.waited, true) {
            return Vec::new();
        }
        let next = (it.asked + 1..self.size).chain(0..=it.asked);
        let missing = next.filter(|it| !heard.contains(*it));
        let asked: Vec<u16> = missing.take(ASKS).collect();
        if asked.len() == ASKS {
            it.asked = asked[ASKS - 1];
        }
        let plan = it.plan;
        self.tell(asked, Message::Ask(plan))
    }

    pub(super) fn tell(&self, to: impl IntoIterator<Item = u16>, message: Message) -> Vec<Output> {
        let epoch = self.epoch();
        to.into_iter().map(|it| Output::Send(it, epoch, message)).collect()
    }

    /// Passes on a vote that was not told yet.
    pub(super) fn announce(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for plan in std::mem::take(&mut self.refused) {
            self.votes.entry(plan).or_default().no = true;
            outputs.extend(self.pass_votes(plan, None));
        }
        if let Some(Current { plan, vote: Some(_), .. }) = self.current {
            outputs.extend(self.pass_votes(plan, None));
        }
        outputs
    }
}

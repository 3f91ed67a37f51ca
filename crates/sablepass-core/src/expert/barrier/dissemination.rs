// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Dissemination of plans and votes between the members of a group: along the tree,
//! and in reply to queries.

use crate::expert::barrier::{ActivePlan, Member, Message, Output, Plan};
use crate::expert::members::Members;

/// Maximum number of members that a waiting member queries per tick. Each learns the
/// votes known to that many others, so all votes of 192 members reach every member
/// within three ticks even if inner members of the tree are lost. That takes 16
/// messages per member and tick, with the replies.
const QUERIES_PER_TICK: usize = 8;

impl Member {
    /// Starts a plan at all members, including this one.
    pub fn propose(&mut self, plan: Plan) -> Vec<Output> {
        let root = self.tree.parent(self.me).is_some().then_some(0);
        let mut outputs = self.send_to(root, Message::Switch(plan));
        outputs.extend(self.handle_message(self.me, self.epoch(), Message::Switch(plan)));
        outputs
    }

    /// Forwards a plan to the children in the tree, unless it is already known.
    pub(super) fn forward_plan(&self, plan: Plan) -> Vec<Output> {
        if self.is_known(plan) {
            return Vec::new();
        }
        self.send_to(self.tree.children(self.me), Message::Switch(plan))
    }

    /// Forwards votes to the parent once those of the whole subtree are known, and to
    /// the parent and the children once the outcome is known, but not to `exclude`, the
    /// member that sent the deciding votes.
    pub(super) fn forward_votes(&mut self, plan: Plan, exclude: Option<u16>) -> Vec<Output> {
        let Some(votes) = self.votes.get_mut(&plan) else { return Vec::new() };
        let decided = votes.no || votes.yes.len() == u32::from(self.size);
        let subtree_complete = votes.yes.contains_all(&self.subtree);
        let send_outcome = decided && !votes.outcome_sent;
        let send_up = subtree_complete && !votes.sent_up;
        if !send_outcome && !send_up {
            return Vec::new();
        }
        votes.sent_up = true;
        votes.outcome_sent |= send_outcome;
        let message = Message::Votes { plan, yes: votes.yes, no: votes.no };
        let children = self.tree.children(self.me).filter(|_| send_outcome);
        let recipients = self.tree.parent(self.me).into_iter().chain(children);
        self.send_to(recipients.filter(|it| Some(*it) != exclude), message)
    }

    /// Replies to a query with the known votes. A plan that is neither current nor voted
    /// on is barred and refused first.
    pub(super) fn on_ask(&mut self, from: u16, plan: Plan) -> Vec<Output> {
        let current = self.current.filter(|it| it.plan == plan);
        let in_force = self.reading.is_some_and(|it| it.version == plan.version);
        let vote = match current {
            Some(current) => current.vote,
            None => self.settled.get(&plan).copied().or(in_force.then_some(true)),
        };
        if let Some(yes) = vote {
            return vec![Output::Send(from, self.epoch(), self.known_votes(plan, yes))];
        }
        if current.is_none() {
            self.plan_to_bar = Some(plan);
        }
        self.advance()
    }

    /// Returns a message with the known votes on a plan, including this member's own.
    pub(super) fn known_votes(&self, plan: Plan, yes: bool) -> Message {
        let votes = self.votes.get(&plan).copied().unwrap_or_default();
        let own = if yes { Members::one(self.me) } else { Members::default() };
        Message::Votes { plan, yes: votes.yes.union(&own), no: votes.no || !yes }
    }

    /// Queries members whose votes are still missing, from the second tick after the own
    /// vote on. The members are queried in turn, [`QUERIES_PER_TICK`] at a time.
    pub(super) fn query_missing_votes(&mut self) -> Vec<Output> {
        let Some(current) = &mut self.current else { return Vec::new() };
        let waits = current.vote == Some(true) && !current.rolled_back;
        let received = self.votes.get(&current.plan).map_or(Members::default(), |it| it.yes);
        if !waits || !std::mem::replace(&mut current.ticked_since_vote, true) {
            return Vec::new();
        }
        let order = (current.last_queried + 1..self.size).chain(0..=current.last_queried);
        let missing = order.filter(|it| !received.contains(*it));
        let queried: Vec<u16> = missing.take(QUERIES_PER_TICK).collect();
        if queried.len() == QUERIES_PER_TICK {
            current.last_queried = queried[QUERIES_PER_TICK - 1];
        }
        let plan = current.plan;
        self.send_to(queried, Message::Ask(plan))
    }

    pub(super) fn send_to(
        &self,
        recipients: impl IntoIterator<Item = u16>,
        message: Message,
    ) -> Vec<Output> {
        let epoch = self.epoch();
        recipients.into_iter().map(|it| Output::Send(it, epoch, message)).collect()
    }

    /// Forwards this member's own votes and refusals that were not sent yet.
    pub(super) fn forward_own_votes(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for plan in std::mem::take(&mut self.unsent_refusals) {
            self.votes.entry(plan).or_default().no = true;
            outputs.extend(self.forward_votes(plan, None));
        }
        if let Some(ActivePlan { plan, vote: Some(_), .. }) = self.current {
            outputs.extend(self.forward_votes(plan, None));
        }
        outputs
    }
}

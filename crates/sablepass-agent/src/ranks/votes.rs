// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The own rank's member of the switch protocol: executes its outputs and decodes the messages
//! of other members.

use sablepass_core::expert::barrier::{Done, Message, Output, Plan};
use sablepass_core::expert::members::{self, Members};
use sablepass_core::reason::Ignored;
use sablepass_platform::engine;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use snafu::{OptionExt, Snafu};

use crate::engine::Call;
use crate::ranks::{Action, Ranks};

impl Ranks {
    /// Converts the member's outputs to actions. Messages to ranks without a connection are
    /// dropped; the protocol queries missing votes again.
    pub(super) fn carry_out(&mut self, outputs: Vec<Output>) -> Vec<Action> {
        let mut list = Vec::new();
        for output in outputs {
            match output {
                Output::Send(to, epoch, message) => {
                    if let Some(rank) = self.ranks.get(&to) {
                        list.push(Action::Send(rank.peer, self.barrier(epoch, message)));
                    }
                }
                Output::Order { order, epoch, fence } => {
                    slog::info!(self.log, "order"; "order" => ?order, "epoch" => epoch,
                        "fence" => fence, "step" => self.group.as_ref().map(|it| it.reading.step));
                    list.push(Action::Call(Call::Order(engine::order(order, epoch, fence))));
                }
            }
        }
        list
    }

    fn barrier(&self, epoch: u64, message: Message) -> Body {
        let (kind, plan, yes, no) = match message {
            Message::Switch(plan) => (0, plan, Members::default(), false),
            Message::Votes { plan, yes, no } => (1, plan, yes, no),
            Message::Ask(plan) => (2, plan, Members::default(), false),
        };
        Body::Barrier(wire::Barrier {
            group: self.group_name(),
            epoch,
            rank: self.group.as_ref().map_or(0, |it| it.rank.into()),
            kind,
            version: plan.version,
            step: plan.step,
            yes: yes.encode().into(),
            no,
        })
    }

    /// Handles a message of the switch protocol. A message that is invalid in this group is counted
    /// as ignored and changes nothing.
    pub(super) fn on_barrier(&mut self, barrier: &wire::Barrier) -> Vec<Action> {
        let Some(group) =
            self.group.as_ref().filter(|_| self.is_own_epoch(&barrier.group, barrier.epoch))
        else {
            return Vec::new();
        };
        let Ok((from, message)) = parse(barrier, group.size) else {
            self.metrics.ignored(Ignored::BadFrame);
            return Vec::new();
        };
        let Some(member) = &mut self.member else { return Vec::new() };
        match member.on_message(from, barrier.epoch, message) {
            Ok(outputs) => self.carry_out(outputs),
            Err(e) => {
                slog::warn!(self.log, "invalid message of the switch protocol ignored";
                    "error" => %e);
                self.metrics.ignored(Ignored::BadFrame);
                Vec::new()
            }
        }
    }
}

/// Error in decoding a message of the switch protocol.
#[derive(Debug, Snafu)]
enum Error {
    /// The message kind is unknown.
    #[snafu(display("unknown message kind {kind}"))]
    Kind { kind: u32 },
    /// The sender's rank exceeds 65535.
    #[snafu(display("invalid sender rank {rank}; the maximum is 65535"))]
    Rank { rank: u32 },
    /// The votes are not a member set of this group.
    #[snafu(transparent)]
    Votes { source: members::Error },
}

/// Decodes the sender's rank and the message, for a group of `size` members.
fn parse(barrier: &wire::Barrier, size: u16) -> Result<(u16, Message), Error> {
    let plan = Plan { version: barrier.version, step: barrier.step };
    let message = match barrier.kind {
        0 => Message::Switch(plan),
        1 => Message::Votes { plan, yes: Members::parse(&barrier.yes, size)?, no: barrier.no },
        2 => Message::Ask(plan),
        kind => return KindSnafu { kind }.fail(),
    };
    let from = u16::try_from(barrier.rank).ok().context(RankSnafu { rank: barrier.rank })?;
    Ok((from, message))
}

/// Returns the result of an order by the HTTP status of its answer.
pub(super) fn order_outcome(status: u16) -> Done {
    match engine::taken(status) {
        engine::Taken::Yes => Done::Taken,
        engine::Taken::No => Done::Refused,
        engine::Taken::Fenced => Done::Fenced,
    }
}

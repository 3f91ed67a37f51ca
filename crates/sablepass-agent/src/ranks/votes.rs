// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The own rank's member of the switch: what it wants done, and what other
//! members tell it.

use sablepass_core::expert::barrier::{Done, Message, Output, Plan};
use sablepass_platform::engine;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;

use crate::engine::Ask;
use crate::ranks::{Do, Ranks};

impl Ranks {
    pub(super) fn carry_out(&mut self, outputs: Vec<Output>) -> Vec<Do> {
        let mut list = Vec::new();
        for output in outputs {
            match output {
                Output::Send(to, epoch, message) => {
                    if let Some(rank) = self.ranks.get(&to) {
                        list.push(Do::Send(rank.peer, self.barrier(epoch, message)));
                    }
                }
                Output::Order { order, epoch, fence } => {
                    slog::info!(self.log, "order"; "order" => ?order, "epoch" => epoch,
                        "fence" => fence, "step" => self.group.as_ref().map(|it| it.reading.step));
                    list.push(Do::Ask(Ask::Order(engine::order(order, epoch, fence))));
                }
            }
        }
        list
    }

    fn barrier(&self, epoch: u64, message: Message) -> Body {
        let (kind, plan, yes, no) = match message {
            Message::Switch(plan) => (0, plan, 0, false),
            Message::Votes { plan, yes, no } => (1, plan, yes, no),
            Message::Ask(plan) => (2, plan, 0, false),
        };
        Body::Barrier(wire::Barrier {
            group: self.group_name(),
            epoch,
            rank: self.group.as_ref().map_or(0, |it| it.rank.into()),
            kind,
            version: plan.version,
            step: plan.step,
            yes: yes.to_be_bytes().to_vec().into(),
            no,
        })
    }

    pub(super) fn on_barrier(&mut self, it: &wire::Barrier) -> Vec<Do> {
        if !self.is_mine(&it.group, it.epoch) {
            return Vec::new();
        }
        let plan = Plan { version: it.version, step: it.step };
        let message = match it.kind {
            0 => Message::Switch(plan),
            1 => match <[u8; 16]>::try_from(&it.yes[..]) {
                Ok(yes) => Message::Votes { plan, yes: u128::from_be_bytes(yes), no: it.no },
                Err(_) => return Vec::new(),
            },
            2 => Message::Ask(plan),
            _ => return Vec::new(),
        };
        let (Ok(from), Some(member)) = (u16::try_from(it.rank), &mut self.member) else {
            return Vec::new();
        };
        let outputs = member.on_message(from, it.epoch, message);
        self.carry_out(outputs)
    }
}

/// What became of an order, by the status of its answer.
pub(super) fn done(status: u16) -> Done {
    match engine::taken(status) {
        engine::Taken::Yes => Done::Taken,
        engine::Taken::No => Done::Refused,
        engine::Taken::Fenced => Done::Fenced,
    }
}

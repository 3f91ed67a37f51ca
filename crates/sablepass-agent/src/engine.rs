// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Calls to the replica beside this agent, one after the other on one
//! connection, so that what an account shows is after every order before it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_edge::caller::{self, Answer, Call, Caller};
use sablepass_platform::engine;
use stakker::{ActorOwn, CX, Fwd, actor_new, call, fwd_to, ret_nop};

/// How long a reading may take. It does not leave the machine.
const CALL_TIME: Duration = Duration::from_millis(120);
/// How long an order may take: an answer comes within three milliseconds or not
/// at all, and while it is waited for a step may be held.
const ORDER_TIME: Duration = Duration::from_millis(25);
/// Calls that wait at most; readings beyond it are not made.
const QUEUE: usize = 16;
/// Longest answer: the counts of some thousand experts.
const ANSWER_LIMIT: usize = 4 << 20;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Its account of itself.
    Report,
    /// The counts of chosen experts.
    Counts,
    /// The experts that it holds.
    Lists,
    /// An order of the switch.
    Order(Vec<u8>),
    /// The order to prepare a map.
    Prepare(Vec<u8>),
}

impl Ask {
    fn is_order(&self) -> bool {
        matches!(self, Self::Order(_) | Self::Prepare(_))
    }

    fn call(&self) -> Call {
        match self {
            Self::Report => Call::get(engine::REPORT_PATH, CALL_TIME),
            Self::Counts => Call::get(engine::EXPERT_COUNTS_PATH, CALL_TIME),
            Self::Lists => Call::get(engine::EXPERT_LISTS_PATH, CALL_TIME),
            Self::Order(body) | Self::Prepare(body) => {
                Call::post(engine::ORDER_PATH, body.clone(), ORDER_TIME)
            }
        }
    }
}

/// How a call ended. Without an answer, nobody knows whether an order was taken.
pub type Heard = Result<Answer, caller::Error>;

/// The actor.
pub struct Engine {
    owner: Fwd<(Ask, Heard)>,
    caller: ActorOwn<Caller>,
    waiting: VecDeque<Ask>,
    current: Option<Ask>,
}

impl Engine {
    /// Opens without a connection.
    pub fn init(cx: CX![], target: SocketAddr, owner: Fwd<(Ask, Heard)>) -> Option<Self> {
        let caller = actor_new!(cx, Caller, ret_nop!());
        let answers = fwd_to!([cx], heard() as (Heard));
        call!([caller], Caller::init(target, ANSWER_LIMIT, answers));
        Some(Self { owner, caller, waiting: VecDeque::new(), current: None })
    }

    /// Makes a call after those before it. A reading that already waits is
    /// not made twice.
    pub fn ask(&mut self, _cx: CX![], it: Ask) {
        let skip = self.waiting.contains(&it) || self.waiting.len() >= QUEUE;
        if skip && !it.is_order() {
            return;
        }
        self.waiting.push_back(it);
        self.next();
    }

    fn next(&mut self) {
        if self.current.is_some() {
            return;
        }
        let Some(ask) = self.waiting.pop_front() else { return };
        call!([self.caller], call(ask.call()));
        self.current = Some(ask);
    }

    fn heard(&mut self, _cx: CX![], heard: Heard) {
        if let Some(ask) = self.current.take() {
            self.owner.fwd((ask, heard));
        }
        self.next();
    }
}

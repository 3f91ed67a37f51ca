// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Calls to the replica beside this agent, one after the other on one
//! connection, so that what an account shows is after every order before it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_edge::caller::{self, Answer, Call as HttpCall, Caller};
use sablepass_platform::engine;
use stakker::{ActorOwn, CX, Fwd, actor_new, call, fwd_to, ret_nop};

/// How long a reading may take. It does not leave the machine.
const READ_TIMEOUT: Duration = Duration::from_millis(120);
/// How long an order may take: an answer comes within three milliseconds or not
/// at all, and while it is waited for a step may be held.
const ORDER_TIMEOUT: Duration = Duration::from_millis(25);
/// Calls that wait at most; readings beyond it are not made.
const MAX_QUEUED_CALLS: usize = 16;
/// Longest answer: the counts of some thousand experts.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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

impl Call {
    fn is_order(&self) -> bool {
        matches!(self, Self::Order(_) | Self::Prepare(_))
    }

    fn call(&self) -> HttpCall {
        match self {
            Self::Report => HttpCall::get(engine::REPORT_PATH, READ_TIMEOUT),
            Self::Counts => HttpCall::get(engine::PICKED_PATH, READ_TIMEOUT),
            Self::Lists => HttpCall::get(engine::LISTS_PATH, READ_TIMEOUT),
            Self::Order(body) | Self::Prepare(body) => {
                HttpCall::post(engine::ORDER_PATH, body.clone(), ORDER_TIMEOUT)
            }
        }
    }
}

/// How a call ended. Without an answer, nobody knows whether an order was taken.
pub type CallResult = Result<Answer, caller::Error>;

/// The actor.
pub struct Engine {
    owner: Fwd<(Call, CallResult)>,
    caller: ActorOwn<Caller>,
    waiting: VecDeque<Call>,
    current: Option<Call>,
}

impl Engine {
    /// Opens without a connection.
    pub fn init(cx: CX![], target: SocketAddr, owner: Fwd<(Call, CallResult)>) -> Option<Self> {
        let caller = actor_new!(cx, Caller, ret_nop!());
        let answers = fwd_to!([cx], on_answer() as (CallResult));
        call!([caller], Caller::init(target, MAX_ANSWER_BYTES, answers));
        Some(Self { owner, caller, waiting: VecDeque::new(), current: None })
    }

    /// Makes a call after those before it. A reading that already waits is
    /// not made twice.
    pub fn enqueue(&mut self, _cx: CX![], call: Call) {
        let skip = self.waiting.contains(&call) || self.waiting.len() >= MAX_QUEUED_CALLS;
        if skip && !call.is_order() {
            return;
        }
        self.waiting.push_back(call);
        self.start_next();
    }

    fn start_next(&mut self) {
        if self.current.is_some() {
            return;
        }
        let Some(next) = self.waiting.pop_front() else { return };
        call!([self.caller], call(next.call()));
        self.current = Some(next);
    }

    fn on_answer(&mut self, _cx: CX![], result: CallResult) {
        if let Some(call) = self.current.take() {
            self.owner.fwd((call, result));
        }
        self.start_next();
    }
}

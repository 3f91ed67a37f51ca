// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The actor that makes calls to the replica of this agent. Calls run one after the other on
//! one connection, so that a report reflects every order that was issued before it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_edge::caller::{self, Answer, Call as HttpCall, Caller};
use sablepass_platform::{engine, request};
use stakker::{ActorOwn, CX, Fwd, actor_new, call, fwd_to, ret_nop};

/// Timeout of a reading, which stays on the machine.
const READ_TIMEOUT: Duration = Duration::from_millis(120);
/// Timeout of an order. An answer arrives within 3 ms or not at all, and a step may be held
/// while the agent waits for it.
const ORDER_TIMEOUT: Duration = Duration::from_millis(25);
/// Number of queued calls from which readings are dropped; orders are always queued.
const MAX_QUEUED_CALLS: usize = 16;
/// Maximum size of an answer, enough for the counts of several thousand experts.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call to the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read its report.
    Report,
    /// Read the counts of chosen experts.
    Counts,
    /// Read the experts that it holds.
    Lists,
    /// Send an order of the switch protocol.
    Order(Vec<u8>),
    /// Send the order to prepare a map.
    Prepare(Vec<u8>),
}

impl Call {
    fn is_order(&self) -> bool {
        matches!(self, Self::Order(_) | Self::Prepare(_))
    }

    /// Returns the call. Its id tells its answer from a surplus one to an earlier call.
    fn call(&self) -> HttpCall {
        let call = match self {
            Self::Report => HttpCall::get(engine::REPORT_PATH, READ_TIMEOUT),
            Self::Counts => HttpCall::get(engine::EXPERT_COUNTS_PATH, READ_TIMEOUT),
            Self::Lists => HttpCall::get(engine::EXPERT_LISTS_PATH, READ_TIMEOUT),
            Self::Order(body) | Self::Prepare(body) => {
                HttpCall::post(engine::ORDER_PATH, body.clone(), ORDER_TIMEOUT)
            }
        };
        call.with_id(request::REQUEST_ID)
    }
}

/// Result of a call. Without an answer it is unknown whether an order was accepted.
pub type CallResult = Result<Answer, caller::Error>;

/// The actor that makes the calls.
pub struct Engine {
    owner: Fwd<(Call, CallResult)>,
    caller: ActorOwn<Caller>,
    waiting: VecDeque<Call>,
    current: Option<Call>,
}

impl Engine {
    /// Creates the actor without a connection. `owner` receives each call with its result.
    pub fn init(cx: CX![], target: SocketAddr, owner: Fwd<(Call, CallResult)>) -> Option<Self> {
        let caller = actor_new!(cx, Caller, ret_nop!());
        let answers = fwd_to!([cx], on_answer() as (CallResult));
        call!([caller], Caller::init(target, MAX_ANSWER_BYTES, answers));
        Some(Self { owner, caller, waiting: VecDeque::new(), current: None })
    }

    /// Queues a call. A reading that is already queued is not queued again.
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Ends of answers that state no length, as part of the router. Such an answer ends with its
//! connection. So does the answer of a target that crashes, which closes all its connections at
//! once and refuses new ones. The end of the answer is passed on once the target is known to live.

use std::time::Duration;

use sablepass_core::flight::Event;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use stakker::{CX, after};

use crate::pool::{ConnectionKey, InFlightAttempt};
use crate::router::Router;

/// Time after the end of a connection within which the other connections of a target that crashed
/// end too, and its listening socket is closed.
const CRASH_SETTLE_TIME: Duration = Duration::from_millis(5);
/// Time after which an end counts as that of the answer although the target could not be probed:
/// longer than a connection may take to be established.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// An answer that ended with its connection.
#[derive(Clone, Debug)]
pub struct UnconfirmedEnd {
    /// The attempt; its offset is the length of the answer.
    attempt: InFlightAttempt,
    target: String,
}

/// What a probe says about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProbe {
    /// The target accepts connections.
    Accepted,
    /// The target refuses connections: its process has ended.
    Refused,
    /// The probe had no result.
    Unknown,
}

impl Router {
    /// Handles the end of an answer that states no length.
    pub(crate) fn check_end(
        &mut self,
        cx: CX![],
        attempt: InFlightAttempt,
        target: String,
        started_at: Millis,
    ) {
        after!(CRASH_SETTLE_TIME, [cx], probe_end(attempt, target, started_at));
    }

    fn probe_end(
        &mut self,
        cx: CX![],
        attempt: InFlightAttempt,
        target: String,
        started_at: Millis,
    ) {
        let end = UnconfirmedEnd { attempt, target };
        let incarnation = TargetIncarnation { name: &end.target, started_at };
        if self.pool.is_connected(incarnation) {
            slog::info!(self.log, "target has another connection"; "target" => &end.target);
            self.resolve_end(cx, &end, EndProbe::Accepted);
            return;
        }
        let is_current = self.targets.started_at(&end.target) == started_at;
        match self.targets.destination(&end.target).filter(|_| is_current) {
            Some(to) => {
                let key = self.pool.probe(cx, clock::now(), to);
                self.unconfirmed_ends.insert(key, end);
                after!(PROBE_TIMEOUT, [cx], end_probed(key, EndProbe::Unknown));
            }
            None => self.resolve_end(cx, &end, EndProbe::Unknown),
        }
    }

    /// Handles the result of a connection attempt if it probes a target for the end of an answer.
    pub(crate) fn end_probed(&mut self, cx: CX![], key: ConnectionKey, probe: EndProbe) {
        if let Some(end) = self.unconfirmed_ends.remove(&key) {
            self.resolve_end(cx, &end, probe);
        }
    }

    fn resolve_end(&mut self, cx: CX![], end: &UnconfirmedEnd, probe: EndProbe) {
        let InFlightAttempt { request, attempt, offset } = end.attempt;
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.flight.attempt().number != attempt {
            return;
        }
        slog::info!(self.log, "answer without length ended"; "id" => &open.run.label,
            "target" => &end.target, "attempt" => attempt, "bytes" => offset, "probe" => ?probe);
        match probe {
            EndProbe::Accepted => {}
            // An answer that may be incomplete does not clear the parts of its prompt.
            EndProbe::Unknown => open.succeeded = false,
            EndProbe::Refused => {
                slog::info!(self.log, "target ended with an answer"; "id" => &open.run.label,
                    "target" => &end.target, "attempt" => attempt, "bytes" => offset);
                self.attempt_interrupted(cx, request, &end.target);
                let failure = Failure { reason: Refusal::EngineBroke, ran: Ran::Unknown };
                self.handle_event(cx, request, attempt, Event::Failed(failure));
                return;
            }
        }
        self.handle_event(cx, request, attempt, Event::Done { length: offset });
    }
}

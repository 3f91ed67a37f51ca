// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Ends of answers that state no length, as part of the router. Such an answer ends with its
//! connection, and its end is passed on once it is known to be complete ([`ends`]): the target has
//! answered a health check, or a request, that was sent after the end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_core::ends::{self, UnconfirmedEnd, UnconfirmedEnds};
use sablepass_core::flight::Event;
use sablepass_core::id::{AttemptId, Millis, RequestId, TargetIncarnation};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use sablepass_platform::health::{self, Identity};
use stakker::{CX, after};

use crate::direct::BACK_OFF_MISDIRECTED;
use crate::open::OpenRequest;
use crate::pool::{CheckRoute, ConnectionKey, Destination, InFlightAttempt};
use crate::router::Router;

const SETTLE_TIME: Duration = Duration::from_millis(ends::SETTLE_TIME);
/// Time after which a target is checked again if the first check is not answered, doubled with each
/// further one. A check of a busy target may have to wait for a slot.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an unanswered check is given up.
const CHECK_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a request whose answer may be incomplete is sent to another target, if it may
/// be repeated: half of the time for which callers wait for the next part of a stream. Any other
/// request waits for proof until its deadline.
const REPEAT_DELAY: Duration = Duration::from_millis(1_000);

/// A target's incarnation, and where its health is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedTarget {
    name: String,
    started_at: Millis,
    addr: SocketAddr,
    path: String,
}

impl CheckedTarget {
    fn incarnation(&self) -> TargetIncarnation<'_> {
        TargetIncarnation { name: &self.name, started_at: self.started_at }
    }
}

/// A health check in flight.
#[derive(Debug)]
struct Check {
    target: CheckedTarget,
    sent_at: Millis,
    route: CheckRoute,
}

/// Answers whose ends are not confirmed, and the health checks that are to confirm them.
#[derive(Debug, Default)]
pub struct EndChecks {
    unconfirmed: UnconfirmedEnds,
    checks: HashMap<ConnectionKey, Check>,
}

impl EndChecks {
    /// Returns whether a check of a target is in flight that was sent after `since`.
    fn is_checked_since(&self, target: &CheckedTarget, since: Millis) -> bool {
        self.checks.values().any(|it| it.target == *target && it.sent_at > since)
    }
}

impl Router {
    /// Returns the target of a connection that carries a request.
    pub(crate) fn checked_target(&mut self, key: ConnectionKey) -> Option<CheckedTarget> {
        let request = self.pool.in_flight(key)?.request;
        let service = &self.requests.get(&request)?.served.1;
        let service = self.targets.catalogue().services.get(service);
        let path = service.and_then(|it| it.health_path.as_deref()).unwrap_or(health::DEFAULT_PATH);
        let to = self.pool.destination(key)?;
        Some(CheckedTarget {
            name: to.target.to_owned(),
            started_at: to.started_at,
            addr: to.addr,
            path: path.to_owned(),
        })
    }

    /// Handles the end of an answer that states no length.
    pub(crate) fn check_end(
        &mut self,
        cx: CX![],
        in_flight: InFlightAttempt,
        target: CheckedTarget,
    ) {
        let attempt = AttemptId { request: in_flight.request, number: in_flight.attempt };
        let end = UnconfirmedEnd { attempt, length: in_flight.offset, ended_at: clock::now() };
        self.ends.unconfirmed.add(target.incarnation(), end);
        after!(SETTLE_TIME, [cx], check_target(target, RECHECK_INTERVAL));
        after!(REPEAT_DELAY, [cx], repeat_unconfirmed(attempt));
    }

    /// Checks a target while the end of one of its answers is unconfirmed. `interval` is the time
    /// to the next check.
    fn check_target(&mut self, cx: CX![], target: CheckedTarget, interval: Duration) {
        self.forget_closed_ends();
        let now = clock::now();
        match self.ends.unconfirmed.time_to_check(now, target.incarnation()) {
            None => return,
            Some(0) => {}
            // Timers count from the start of an iteration of the event loop, so they may be early.
            Some(wait) => {
                after!(Duration::from_millis(wait), [cx], check_target(target, interval));
                return;
            }
        }
        let listed = self.targets.started_at(&target.name);
        if listed != 0 && listed != target.started_at {
            self.target_exited(cx, target.incarnation(), "listed as another incarnation");
            return;
        }
        let since = now.saturating_sub(RECHECK_INTERVAL.as_millis() as Millis / 2);
        if self.ends.is_checked_since(&target, since) {
            return;
        }
        self.send_check(cx, target.clone(), CheckRoute::Idle);
        after!(interval, [cx], check_target(target, interval * 2));
    }

    fn send_check(&mut self, cx: CX![], target: CheckedTarget, route: CheckRoute) {
        if self.ends.unconfirmed.time_to_check(clock::now(), target.incarnation()).is_none() {
            return;
        }
        let head = match health::check(&target.path, &target.name, target.addr) {
            Ok(head) => head,
            Err(e) => {
                slog::warn!(self.log, "target cannot be checked"; "target" => &target.name,
                    "error" => %e);
                return;
            }
        };
        let to =
            Destination { target: &target.name, started_at: target.started_at, addr: target.addr };
        let (key, route) = self.pool.send_check(cx, to, head, route);
        let check = Check { target, sent_at: clock::now(), route };
        self.ends.checks.insert(key, check);
        after!(CHECK_TIMEOUT, [cx], give_up_check(key));
    }

    fn give_up_check(&mut self, _cx: CX![], key: ConnectionKey) {
        if self.ends.checks.remove(&key).is_some() {
            self.pool.close(key);
        }
    }

    /// Handles the head of an answer to a health check.
    pub(crate) fn check_answered(
        &mut self,
        cx: CX![],
        key: ConnectionKey,
        head: &http::Response<()>,
    ) {
        let Some(check) = self.ends.checks.remove(&key) else { return };
        let target = check.target;
        if check.route == CheckRoute::Idle && health::is_surplus(head) {
            self.pool.close(key);
            self.send_check(cx, target, CheckRoute::New);
            return;
        }
        self.pool.detach(clock::now(), key);
        match health::identify(&target.name, head) {
            Identity::Expected => {
                self.target_answered(cx, target.incarnation(), check.sent_at);
                // Other answers may have ended after the check was sent.
                self.check_target(cx, target, RECHECK_INTERVAL);
            }
            Identity::Other => {
                let until = clock::now() + BACK_OFF_MISDIRECTED;
                self.targets.record_misdirected(&target.name, until);
                self.target_refuses(cx, &target.name);
                self.target_exited(cx, target.incarnation(), "another target has its address");
            }
        }
    }

    /// Handles the end of a connection if a health check was in flight on it. Targets close idle
    /// connections at any time, so the check is sent again over a new one.
    pub(crate) fn check_closed(&mut self, cx: CX![], key: ConnectionKey) {
        let Some(check) = self.ends.checks.remove(&key) else { return };
        if check.route == CheckRoute::Idle {
            self.send_check(cx, check.target, CheckRoute::New);
        }
    }

    /// Records that a target's incarnation answered a request that was sent at `sent`, and passes
    /// on the ends that this confirms.
    pub(crate) fn target_answered(
        &mut self,
        cx: CX![],
        target: TargetIncarnation<'_>,
        sent: Millis,
    ) {
        for end in self.ends.unconfirmed.record_answer(target, sent) {
            self.metrics.unsized_ends.with_label_values(&["complete"]).inc();
            self.resolve_end(cx, target, end, Event::Done { length: end.length });
        }
    }

    /// Records that the process of a target has ended, for the reason `why`. Its answers whose ends
    /// are unconfirmed may be incomplete.
    pub(crate) fn target_exited(
        &mut self,
        cx: CX![],
        target: TargetIncarnation<'_>,
        why: &'static str,
    ) {
        for end in self.ends.unconfirmed.record_exit(target) {
            let Some(open) = self.open_attempt(end.attempt) else { continue };
            slog::info!(self.log, "target ended with an answer"; "id" => &open.run.label,
                "target" => target.name, "attempt" => end.attempt.number,
                "bytes" => end.length, "why" => why);
            self.metrics.unsized_ends.with_label_values(&["interrupted"]).inc();
            self.attempt_interrupted(cx, end.attempt.request, target.name);
            let failure = Failure { reason: Refusal::EngineBroke, ran: Ran::Unknown };
            self.resolve_end(cx, target, end, Event::Failed(failure));
        }
    }

    fn resolve_end(
        &mut self,
        cx: CX![],
        target: TargetIncarnation<'_>,
        end: UnconfirmedEnd,
        event: Event,
    ) {
        let Some(open) = self.open_attempt(end.attempt) else { return };
        let waited = clock::now().saturating_sub(end.ended_at);
        slog::info!(self.log, "end of an answer without length resolved"; "id" => &open.run.label,
            "target" => target.name, "attempt" => end.attempt.number, "bytes" => end.length,
            "waited" => waited, "complete" => matches!(event, Event::Done { .. }));
        self.handle_event(cx, end.attempt.request, end.attempt.number, event);
    }

    /// Sends a request to another target if it may be repeated and the end of its answer is still
    /// unconfirmed.
    fn repeat_unconfirmed(&mut self, cx: CX![], attempt: AttemptId) {
        if self.ends.unconfirmed.contains(attempt) && self.open_attempt(attempt).is_some() {
            self.metrics.unsized_ends.with_label_values(&["unconfirmed"]).inc();
            self.handle_event(cx, attempt.request, attempt.number, Event::EndUnconfirmed);
        }
    }

    /// Returns the request of an attempt that is in progress.
    pub(crate) fn open_attempt(&self, attempt: AttemptId) -> Option<&OpenRequest> {
        open_attempt(&self.requests, attempt)
    }

    fn forget_closed_ends(&mut self) {
        let requests = &self.requests;
        self.ends.unconfirmed.retain(|it| open_attempt(requests, it.attempt).is_some());
    }
}

fn open_attempt(
    requests: &HashMap<RequestId, OpenRequest>,
    attempt: AttemptId,
) -> Option<&OpenRequest> {
    let open = requests.get(&attempt.request)?;
    (open.flight.attempt() == attempt && !open.flight.is_choosing()).then_some(open)
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router's side towards targets that are reached directly: sends attempts over connections of
//! the pool, and derives from the answers what happened to the request.

use std::time::Duration;

use sablepass_core::fingerprint;
use sablepass_core::flight::{Event, Head};
use sablepass_core::id::{AttemptId, Millis, RequestId, TargetIncarnation};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::scope::Scope;
use sablepass_edge::client::{self, Echo, Outgoing};
use sablepass_edge::clock;
use sablepass_platform::answer::{self, Pause, Proof};
use sablepass_platform::request;
use stakker::CX;

use crate::notices::Source;
use crate::open::OpenRequest;
use crate::pool::{ConnectionKey, Destination, InFlightAttempt};
use crate::router::Router;

/// Back-off of a target that closed or refused a connection before a request was sent on it.
const BACK_OFF_REFUSED: Millis = 400;
/// Back-off of a target that was at capacity: about one forward pass.
const BACK_OFF_FULL: Millis = 40;
/// Back-off of a target at whose address another target answered: longer than it takes until the
/// instance list shows the change.
pub(crate) const BACK_OFF_MISDIRECTED: Millis = 5_000;

impl Router {
    /// Sends an attempt directly to a target. An unsafe request gets a new connection.
    pub(crate) fn send_direct(
        &mut self,
        cx: CX![],
        now: Millis,
        attempt: AttemptId,
        to: Destination<'_>,
    ) {
        let Some(open) = self.requests.get_mut(&attempt.request) else { return };
        let head = match request_head(now, open, to.target) {
            Ok(head) => head,
            Err(e) => {
                slog::warn!(self.log, "request cannot be forwarded"; "id" => &open.run.label,
                    "error" => %e);
                self.handle_event(cx, attempt.request, 0, Event::Refused(Refusal::Unforwardable));
                return;
            }
        };
        let fresh = open.flight.request().unsafe_repeat;
        let key = self.pool.acquire(cx, to, fresh);
        let in_flight =
            InFlightAttempt { request: attempt.request, attempt: attempt.number, offset: 0 };
        let body = open.run.body.clone();
        let echo = Some(Echo { name: request::REQUEST_ID, required: true });
        let outgoing = Outgoing { head, body, echo };
        open.connection = Some(key);
        self.pool.send(key, in_flight, outgoing);
    }

    /// Handles an event of a direct connection.
    pub fn direct_event(&mut self, cx: CX![], (key, event): (ConnectionKey, client::Event)) {
        match event {
            client::Event::Connected => self.direct_connected(cx, key),
            client::Event::Head(head) if self.pool.is_checking(key) => {
                self.check_answered(cx, key, &head);
            }
            client::Event::Head(head) => self.direct_head(cx, key, &head),
            client::Event::Bytes(data) => {
                let Some(in_flight) = self.pool.in_flight(key) else { return };
                let offset = in_flight.offset;
                in_flight.offset += data.len() as u64;
                let (id, attempt) = (in_flight.request, in_flight.attempt);
                self.handle_event(cx, id, attempt, Event::Chunk { offset, data });
            }
            client::Event::End { reusable, framed, keep_alive } => {
                self.direct_end(cx, key, framed, reusable, keep_alive);
            }
            client::Event::Closed { cause, sent } => self.direct_closed(cx, key, &cause, sent),
        }
    }

    /// Handles the end of an answer.
    fn direct_end(
        &mut self,
        cx: CX![],
        key: ConnectionKey,
        framed: bool,
        reusable: bool,
        keep_alive: Option<Duration>,
    ) {
        let now = clock::now();
        let in_flight = self.pool.in_flight(key).copied();
        let unframed = if framed { None } else { self.checked_target(key) };
        let leaving = self.pool.target(key).is_some_and(|it| self.targets.has_left(now, it));
        if reusable && !leaving {
            self.pool.release(now, key, keep_alive);
        } else {
            self.pool.close(key);
        }
        let Some(in_flight) = in_flight else { return };
        self.clear_connection(in_flight.request, key);
        match unframed {
            Some(target) => self.check_end(cx, in_flight, target),
            None => {
                let done = Event::Done { length: in_flight.offset };
                self.handle_event(cx, in_flight.request, in_flight.attempt, done);
            }
        }
    }

    /// Records that a request no longer uses a connection.
    pub(crate) fn clear_connection(&mut self, id: RequestId, key: ConnectionKey) {
        if let Some(open) = self.requests.get_mut(&id)
            && open.connection == Some(key)
        {
            open.connection = None;
        }
    }

    /// Handles the head of an answer: records what it says of the target, and passes the head, or the
    /// refusal or failure that it means, to the request's state machine.
    fn direct_head(&mut self, cx: CX![], key: ConnectionKey, head: &http::Response<()>) {
        let Some(in_flight) = self.pool.in_flight(key).copied() else { return };
        let now = clock::now();
        let meta = answer::decode(now, head);
        let Some(incarnation) = self.pool.target(key) else { return };
        let (target, started_at) = (incarnation.name.to_owned(), incarnation.started_at);
        if meta.leaving
            && self.target_leaving(
                now,
                TargetIncarnation { name: &target, started_at },
                Source::Response,
            )
        {
            self.send_leaving(TargetIncarnation { name: &target, started_at });
        }
        self.check_notices_respected(
            now,
            in_flight,
            TargetIncarnation { name: &target, started_at },
        );
        if meta.proof != Proof::Misdirected {
            let incarnation = TargetIncarnation { name: &target, started_at };
            self.check_evacuation_respected(in_flight.request, incarnation);
        }
        let attempt = AttemptId { request: in_flight.request, number: in_flight.attempt };
        if meta.proof != Proof::Misdirected
            && let Some(sent) = self.open_attempt(attempt).map(|it| it.sent_at)
        {
            self.target_answered(cx, TargetIncarnation { name: &target, started_at }, sent);
        }
        if let Some(load) = meta.load {
            self.targets.record_load(now, &target, load.running + load.waiting);
        }
        let status = head.status().as_u16();
        for field in answer::unread(head.headers()) {
            self.unread.record(&self.log, &self.metrics, &target, field);
        }
        self.limit_announced(
            now,
            in_flight,
            TargetIncarnation { name: &target, started_at },
            meta.limit,
        );
        if let Some(remaining) = meta.cold.filter(|_| meta.proof != Proof::Misdirected) {
            let incarnation = TargetIncarnation { name: &target, started_at };
            self.cold_answered(now, in_flight, incarnation, remaining);
        }
        if meta.pause != Pause::None || meta.proof != Proof::None {
            self.target_rejected(
                now,
                in_flight,
                TargetIncarnation { name: &target, started_at },
                status,
                &meta,
            );
        }
        // These statuses promise that the request did not run. This is not believed without the
        // target's own proof.
        let unproven = matches!(status, 408 | 429 | 503);
        let event = match meta.proof {
            Proof::NotRun => {
                self.targets.record_refusal(now, &target, now + BACK_OFF_FULL);
                Event::Refused(Refusal::TargetFull)
            }
            Proof::Misdirected => {
                self.targets.record_misdirected(&target, now + BACK_OFF_MISDIRECTED);
                Event::Refused(Refusal::Misdirected)
            }
            Proof::None if unproven => failed_unproven(Refusal::EngineBroke),
            Proof::None if meta.encoded || (head.status().is_success() && !meta.signed) => {
                failed_unproven(Refusal::WrongAnswer)
            }
            Proof::None => {
                match head.status() {
                    code if code.is_server_error() => self.record_failure(now, &target),
                    code if code.is_success() => self.targets.record_success(&target),
                    _ => {}
                }
                self.reserve_answer(in_flight.request, key, head);
                let fields = answer::forward(head.headers());
                let head = Head { status: status.into(), fields, replayed: false };
                self.handle_event(cx, in_flight.request, in_flight.attempt, Event::Head(head));
                return;
            }
        };
        self.clear_connection(in_flight.request, key);
        if let Event::Failed(_) = &event {
            self.record_failure(now, &target);
        }
        match &event {
            // The rest of the answer is discarded, and the connection is reused.
            Event::Refused(_) => self.pool.detach(now, key),
            _ => self.pool.close(key),
        }
        self.handle_event(cx, in_flight.request, in_flight.attempt, event);
    }

    /// Handles an established connection: sends the request that waits for it. If the target no
    /// longer accepts requests, or its hall is evacuated, the request is withdrawn instead. This is
    /// the last moment at which an announcement of the target can be taken into account.
    fn direct_connected(&mut self, cx: CX![], key: ConnectionKey) {
        let waiting = self.pool.mark_connected(key);
        if self.pool.is_checking(key) {
            self.pool.send_waiting(key);
            return;
        }
        if !waiting {
            self.log_accepted_probe(key);
            return;
        }
        let now = clock::now();
        let in_flight = self.pool.in_flight(key).copied();
        let open = in_flight.and_then(|it| self.requests.get(&it.request));
        let (sent, scope) = open.map_or((now, &Scope::ANY), |it| (it.sent_at, &it.scope));
        let target = self.pool.target(key);
        let admits = target.is_some_and(|it| self.targets.admits(now, it, scope, sent));
        if admits {
            self.pool.send_waiting(key);
            return;
        }
        if self.pool.target(key).is_some_and(|it| self.targets.has_left(now, it)) {
            self.pool.close(key);
        } else {
            self.pool.withdraw(key);
            self.pool.release(now, key, None);
        }
        if let Some(it) = in_flight {
            self.clear_connection(it.request, key);
            self.handle_event(cx, it.request, it.attempt, Event::Unsent);
        }
    }

    /// Records a failure of a target, which may back it off.
    fn record_failure(&mut self, now: Millis, target: &str) {
        if let Some(back_off) = self.targets.record_failure(now, target) {
            slog::warn!(self.log, "target backed off"; "target" => target, "for" => back_off,
                "why" => "several requests failed in a row");
        }
    }

    /// Handles the end of a connection. `sent` is whether a part of the current request was sent: only
    /// if none was, the request provably did not run.
    fn direct_closed(&mut self, cx: CX![], key: ConnectionKey, cause: &client::Cause, sent: bool) {
        let in_flight = self.pool.in_flight(key).copied();
        let target = self.pool.target(key).map(|it| (it.name.to_owned(), it.started_at));
        let (target, started_at) = target.unwrap_or_default();
        self.pool.close(key);
        if cause.is_refused() {
            self.target_refuses(cx, &target);
            let incarnation = TargetIncarnation { name: &target, started_at };
            self.target_exited(cx, incarnation, "refuses connections");
        }
        self.check_closed(cx, key);
        let Some(in_flight) = in_flight else { return };
        self.clear_connection(in_flight.request, key);
        if let Some(open) = self.requests.get(&in_flight.request) {
            slog::info!(self.log, "target broke off"; "id" => &open.run.label, "target" => &target,
                "attempt" => in_flight.attempt, "sent" => sent, "bytes" => in_flight.offset,
                "fingerprint" => %open.fingerprint(), "parts" => fingerprint::join(&open.parts),
                "cause" => %cause);
        }
        if sent && cause.is_disconnect() {
            self.attempt_interrupted(cx, in_flight.request, &target);
        }
        let event = if sent {
            self.record_failure(clock::now(), &target);
            failed_unproven(Refusal::EngineBroke)
        } else if matches!(cause, client::Cause::Request { .. }) {
            Event::Refused(Refusal::BadRequest)
        } else {
            self.targets.back_off(&target, clock::now() + BACK_OFF_REFUSED);
            Event::Refused(Refusal::EngineAway)
        };
        self.handle_event(cx, in_flight.request, in_flight.attempt, event);
    }

    /// Closes the connection of a request's current attempt, so that the target cancels it. Returns
    /// false if the request uses no direct connection.
    pub(crate) fn cancel_direct(&mut self, id: RequestId) -> bool {
        let connection = self.requests.get_mut(&id).and_then(|it| it.connection.take());
        let Some(key) = connection else { return false };
        self.pool.close(key);
        true
    }
}

/// Returns the failure of an attempt that may have run, as there is no proof that it did not.
fn failed_unproven(reason: Refusal) -> Event {
    Event::Failed(Failure { reason, ran: Ran::Unknown })
}

/// Returns the head of a request as it is sent to a target, or an error if a header field cannot be
/// encoded.
fn request_head(
    now: Millis,
    open: &OpenRequest,
    target: &str,
) -> sablepass_platform::Result<http::Request<()>> {
    let run = &open.run;
    let attempt = request::Attempt {
        customer: open.forwarded_customer.as_deref(),
        left: open.flight.request().deadline.saturating_sub(now).max(1),
        replica: target,
        after: open.flight.last_event_id(),
        length: run.body.len(),
        body: request::has_body(&run.head),
    };
    let mut head = http::Request::new(());
    *head.method_mut() = run.head.method().clone();
    *head.uri_mut() = run.head.uri().clone();
    *head.headers_mut() = request::forward(run.head.headers(), &attempt)?;
    Ok(head)
}

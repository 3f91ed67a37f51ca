// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards targets that take requests straight: what it sends, and
//! what their answers prove.

use sablepass_core::flight::{Event, Head};
use sablepass_core::id::{AttemptId, Millis, RequestId, TargetIncarnation};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_edge::client::{self, Outgoing};
use sablepass_edge::clock;
use sablepass_platform::answer::{self, Pause, Proof};
use sablepass_platform::request;
use stakker::CX;

use crate::notices::Source;
use crate::open::Open;
use crate::pool::{Carried, ConnectionKey, Destination};
use crate::router::Router;

/// How long a target is left alone that refused a connection.
const REST_AWAY: Millis = 400;
/// How long a target is left alone that was full: about one pass of its work.
const REST_FULL: Millis = 40;
/// How long a target is left alone whose address another one has: longer than
/// the instance list takes to say so.
const REST_MISDIRECTED: Millis = 5_000;

impl Router {
    /// Sends an attempt straight to a target.
    pub(crate) fn send_direct(
        &mut self,
        cx: CX![],
        now: Millis,
        attempt: AttemptId,
        to: Destination<'_>,
    ) {
        let Some(open) = self.open.get_mut(&attempt.request) else { return };
        let head = match direct_head(now, open, to.target) {
            Ok(it) => it,
            Err(e) => {
                slog::warn!(self.log, "request cannot be passed on"; "id" => &open.run.label,
                    "error" => %e);
                self.event(cx, attempt.request, 0, Event::Refused(Refusal::BadHeader));
                return;
            }
        };
        let fresh = open.flight.request().unsafe_repeat;
        let key = self.pool.take(cx, to, fresh);
        let carried = Carried { request: attempt.request, attempt: attempt.number, offset: 0 };
        let body = open.run.body.clone();
        let outgoing = Outgoing { head, body, echo: Some(request::REQUEST_ID) };
        open.connection = Some(key);
        self.pool.send(key, carried, outgoing);
    }

    /// Takes an event of a connection to a target.
    pub fn direct_event(&mut self, cx: CX![], (key, event): (ConnectionKey, client::Event)) {
        match event {
            client::Event::Connected => self.direct_connected(cx, key),
            client::Event::Head(head) => self.direct_answer(cx, key, &head),
            client::Event::Bytes(data) => {
                let Some(carried) = self.pool.carried(key) else { return };
                let offset = carried.offset;
                carried.offset += data.len() as u64;
                let (id, attempt) = (carried.request, carried.attempt);
                self.event(cx, id, attempt, Event::Chunk { offset, data });
            }
            client::Event::End { reusable, rest } => {
                let now = clock::now();
                let carried = self.pool.carried(key).copied();
                let leaves = self.pool.target(key).is_some_and(|it| self.targets.has_left(now, it));
                if reusable && !leaves {
                    self.pool.rest(now, key, rest);
                } else {
                    self.pool.close(key);
                }
                if let Some(it) = carried {
                    self.left(it.request, key);
                    let done = Event::Done { length: it.offset };
                    self.event(cx, it.request, it.attempt, done);
                }
            }
            client::Event::Closed { cause, sent } => self.direct_closed(cx, key, &cause, sent),
        }
    }

    fn left(&mut self, id: RequestId, key: ConnectionKey) {
        if let Some(open) = self.open.get_mut(&id)
            && open.connection == Some(key)
        {
            open.connection = None;
        }
    }

    fn direct_answer(&mut self, cx: CX![], key: ConnectionKey, head: &http::Response<()>) {
        let Some(carried) = self.pool.carried(key).copied() else { return };
        let now = clock::now();
        let meta = answer::decode(now, head);
        let Some(life) = self.pool.target(key) else { return };
        let (target, born) = (life.name.to_owned(), life.started_at);
        if meta.leaving
            && self.target_leaves(
                now,
                TargetIncarnation { name: &target, started_at: born },
                Source::Seen,
            )
        {
            self.tell_leaving(TargetIncarnation { name: &target, started_at: born });
        }
        self.check_wishes(now, carried, TargetIncarnation { name: &target, started_at: born });
        if let Some(load) = meta.load {
            self.targets.told(now, &target, load.running + load.waiting);
        }
        let status = head.status().as_u16();
        for field in answer::unread(head.headers()) {
            self.unread.note(&self.log, &self.metrics, &target, field);
        }
        self.names_limit(
            now,
            carried,
            TargetIncarnation { name: &target, started_at: born },
            meta.limit,
        );
        if meta.pause != Pause::None || meta.proof != Proof::None {
            self.turned_away(
                now,
                carried,
                TargetIncarnation { name: &target, started_at: born },
                status,
                &meta,
            );
        }
        // Statuses that promise that nothing ran need the target's own word for it.
        let unproven = matches!(status, 408 | 429 | 503);
        let event = match meta.proof {
            Proof::NotRun => {
                self.targets.refused(now, &target, now + REST_FULL);
                Event::Refused(Refusal::TargetFull)
            }
            Proof::Misdirected => {
                self.targets.misdirected(&target, now + REST_MISDIRECTED);
                Event::Refused(Refusal::Misdirected)
            }
            Proof::None if unproven => failed(Refusal::EngineBroke),
            Proof::None if meta.encoded || (head.status().is_success() && !meta.signed) => {
                failed(Refusal::WrongAnswer)
            }
            Proof::None => {
                match head.status() {
                    it if it.is_server_error() => self.target_failed(now, &target),
                    it if it.is_success() => self.targets.sound(&target),
                    _ => {}
                }
                let fields = answer::forward(head.headers());
                let head = Head { status: status.into(), fields, replayed: false };
                self.event(cx, carried.request, carried.attempt, Event::Head(head));
                return;
            }
        };
        self.left(carried.request, key);
        if let Event::Failed(_) = &event {
            self.target_failed(now, &target);
        }
        match &event {
            // The rest of the answer is read, and the connection used again.
            Event::Refused(_) => self.pool.forget(key),
            _ => self.pool.close(key),
        }
        self.event(cx, carried.request, carried.attempt, event);
    }

    /// A connection stands for which a request may wait: the last moment at which the
    /// target's wish to be left alone can be heeded.
    fn direct_connected(&mut self, cx: CX![], key: ConnectionKey) {
        if !self.pool.connected(key) {
            return;
        }
        let now = clock::now();
        let carried = self.pool.carried(key).copied();
        let sent = carried.and_then(|it| self.open.get(&it.request)).map_or(now, |it| it.sent);
        let admits = self.pool.target(key).is_some_and(|it| self.targets.admits(now, it, sent));
        if admits {
            self.pool.send_waiting(key);
            return;
        }
        if self.pool.target(key).is_some_and(|it| self.targets.has_left(now, it)) {
            self.pool.close(key);
        } else {
            self.pool.take_back(key);
            self.pool.rest(now, key, None);
        }
        if let Some(it) = carried {
            self.left(it.request, key);
            self.event(cx, it.request, it.attempt, Event::Unsent);
        }
    }

    fn target_failed(&mut self, now: Millis, target: &str) {
        if let Some(rest) = self.targets.failed(now, target) {
            slog::warn!(self.log, "target left alone"; "target" => target, "for" => rest,
                "why" => "it failed several requests in a row");
        }
    }

    fn direct_closed(&mut self, cx: CX![], key: ConnectionKey, cause: &client::Cause, sent: bool) {
        let carried = self.pool.carried(key).copied();
        let target = self.pool.target(key).map_or_else(String::new, |it| it.name.to_owned());
        self.pool.close(key);
        if cause.is_refused() {
            self.target_refuses(cx, &target);
        }
        let Some(carried) = carried else { return };
        self.left(carried.request, key);
        if let Some(open) = self.open.get(&carried.request) {
            slog::info!(self.log, "target broke off"; "id" => &open.run.label, "target" => &target,
                "attempt" => carried.attempt, "sent" => sent, "bytes" => carried.offset,
                "fingerprint" => %open.fingerprint(), "cause" => %cause);
        }
        if sent && cause.is_end() {
            self.broke_off(cx, carried.request, &target);
        }
        let event = if sent {
            self.target_failed(clock::now(), &target);
            failed(Refusal::EngineBroke)
        } else {
            self.targets.leave_alone(&target, clock::now() + REST_AWAY);
            Event::Refused(Refusal::EngineAway)
        };
        self.event(cx, carried.request, carried.attempt, event);
    }

    /// Closes the connection of an attempt that nobody wants, so that the
    /// target drops it.
    pub(crate) fn cancel_direct(&mut self, id: RequestId) -> bool {
        let connection = self.open.get_mut(&id).and_then(|it| it.connection.take());
        let Some(key) = connection else { return false };
        self.pool.close(key);
        true
    }
}

/// It may have run: nothing proves the contrary.
fn failed(reason: Refusal) -> Event {
    Event::Failed(Failure { reason, ran: Ran::Unknown })
}

fn direct_head(
    now: Millis,
    open: &Open,
    target: &str,
) -> sablepass_platform::Result<http::Request<()>> {
    let run = &open.run;
    let attempt = request::Attempt {
        customer: open.told.as_deref(),
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Turns under the rate limits of targets, as part of the router: a turn is the permission to send
//! one request. A request all of whose targets are at their limits reserves a turn at one of them,
//! for now or after a known wait, or is refused with a retry delay.
//!
//! An entry that holds no share of a limit requests the turn from a peer that does.

use std::collections::BTreeMap;

use rand::RngExt;
use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_core::limits::Turn;
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_wire::generated as wire;
use sablepass_wire::turns::{self, Answer, Ask};
use stakker::{CX, call};

use crate::router::{RESUME_WAIT, Router};
use crate::targets::Targets;
use crate::trace::Step;

/// How long an entry waits for a peer's answer: several one-way latencies between regions.
const ANSWER_TIMEOUT: Millis = 150;
/// Longest wait for a turn that is reserved for a stream from the queue of waiting streams. The
/// queue seeks turns at all targets, so it reserves none that another target could give much
/// sooner.
const MAX_QUEUED_WAIT: Millis = 250;
const MS_PER_SECOND: f64 = 1_000.0;

/// State of a request that waits for its turn.
#[derive(Clone, Debug)]
pub(crate) enum PendingTurn {
    /// A turn at this target was requested from a peer, whose answer is awaited until this time.
    Requested { target: String, peer: PeerKey, until: Millis },
    /// A turn is reserved.
    Granted(GrantedTurn),
}

/// A turn reserved at a target.
#[derive(Clone, Debug)]
pub(crate) struct GrantedTurn {
    target: String,
    /// Start time of the target's incarnation.
    started_at: Millis,
    /// When the request may be sent.
    at: Millis,
    /// When the turn was reserved.
    reserved_at: Millis,
}

impl GrantedTurn {
    /// The incarnation of the target under whose limit the turn is reserved.
    pub(crate) fn incarnation(&self) -> TargetIncarnation<'_> {
        TargetIncarnation { name: &self.target, started_at: self.started_at }
    }

    /// Whether the turn no longer counts at `now`.
    pub(crate) fn is_void(&self, now: Millis, targets: &Targets) -> bool {
        targets.is_void_turn(now, self.incarnation(), self.reserved_at, self.at)
    }
}

impl PendingTurn {
    /// The target at which a turn is reserved or requested.
    pub(crate) fn target(&self) -> &str {
        match self {
            Self::Requested { target, .. } | Self::Granted(GrantedTurn { target, .. }) => target,
        }
    }

    /// Whether a turn was requested from this peer, whose answer is awaited.
    fn is_requested_from(&self, from: PeerKey) -> bool {
        matches!(self, Self::Requested { peer, .. } if *peer == from)
    }

    /// The turn, if one is reserved.
    pub(crate) fn granted(self) -> Option<GrantedTurn> {
        match self {
            Self::Granted(turn) => Some(turn),
            Self::Requested { .. } => None,
        }
    }
}

/// When peers have their next turns at targets, as they reported.
#[derive(Debug, Default)]
pub struct PeerTurns {
    /// Time of the next turn, by target and peer.
    next: BTreeMap<(String, PeerKey), Millis>,
}

impl PeerTurns {
    /// Milliseconds until a peer's next turn at a target; none if the peer reported none, or the
    /// reported time has passed.
    fn wait(&self, now: Millis, target: &str, peer: PeerKey) -> Option<Millis> {
        let at = self.next.get(&(target.to_owned(), peer))?;
        at.checked_sub(now).filter(|it| *it > 0)
    }

    /// Milliseconds until the first turn of any peer at a target; none if none is known.
    fn soonest(&self, now: Millis, target: &str) -> Option<Millis> {
        let turns = self.next.iter().filter(|it| it.0.0 == target);
        turns.filter_map(|it| it.1.checked_sub(now)).filter(|it| *it > 0).min()
    }

    /// Records a peer's report of its next turn, in `wait` milliseconds.
    fn record(&mut self, now: Millis, target: &str, peer: PeerKey, wait: Millis) {
        self.next.retain(|_, at| *at > now);
        self.next.insert((target.to_owned(), peer), now.saturating_add(wait));
    }
}

impl Router {
    /// Finds a turn for a request all of whose targets are at their limits, or refuses the request.
    /// Returns false if limits are not the reason why it has no target, or if its answer has
    /// started, so that it can wait for a target.
    pub(crate) fn seek_turn(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else { return true };
        if open.owner.is_some() {
            return false;
        }
        let limited = self.targets.limited_targets(now, open.demand(), open.flight.tried());
        if limited.is_empty() {
            return false;
        }
        let max_wait = self.max_useful_wait(now, id);
        if self.reserve_own_turn(now, id, &limited, max_wait)
            || self.request_turn(now, id, &limited, max_wait)
        {
            return true;
        }
        if self.requests.get(&id).is_some_and(|it| it.head_sent) {
            return false;
        }
        if self.return_to_queue(now, id) {
            return true;
        }
        self.metrics.turns.with_label_values(&["refused"]).inc();
        self.refuse_limited(cx, now, id, &limited);
        true
    }

    /// Milliseconds for which a request may wait for its turn and still be answered in time.
    fn max_useful_wait(&self, now: Millis, id: RequestId) -> Millis {
        let Some(open) = self.requests.get(&id) else { return 0 };
        let deadline = open.flight.request().deadline;
        if open.head_sent {
            return deadline.min(open.delivered_at + RESUME_WAIT).saturating_sub(now);
        }
        let first_event =
            self.start_queues.get(&open.served).map_or(0, |it| it.time_to_first_event());
        if let Some(queued) = &open.queued {
            // The stream may be late already, but its caller still waits.
            let left = deadline.min(open.run.arrived + queued.patience);
            return left.saturating_sub(now + first_event).min(MAX_QUEUED_WAIT);
        }
        let objective = open.route.as_ref().map_or(0, |it| it.objective);
        deadline.min(open.run.arrived + objective).saturating_sub(now + first_event)
    }

    /// Reserves the next turn in this entry's own shares of the limits, if it comes within
    /// `max_wait` milliseconds.
    fn reserve_own_turn(
        &mut self,
        now: Millis,
        id: RequestId,
        limited: &[String],
        max_wait: Millis,
    ) -> bool {
        let turn = |it: &String| Some((self.targets.next_turn(now, it)?, it.clone()));
        let Some((_, target)) = limited.iter().filter_map(turn).min() else { return false };
        let started_at = self.targets.started_at(&target);
        match self.targets.reserve(now, TargetIncarnation { name: &target, started_at }, max_wait) {
            Turn::In(wait) => {
                self.metrics.turns.with_label_values(&["own"]).inc();
                let turn = GrantedTurn { target, started_at, at: now + wait, reserved_at: now };
                self.schedule_turn(now, id, turn);
                true
            }
            Turn::TooLate(_) | Turn::Never => false,
        }
    }

    /// Has a request wait for the turn that is reserved for it.
    fn schedule_turn(&mut self, now: Millis, id: RequestId, turn: GrantedTurn) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let wait = turn.at.saturating_sub(now);
        slog::info!(self.log, "turn reserved under a target's limit"; "id" => &open.run.label,
            "target" => &turn.target, "wait" => wait);
        self.traces.add(now, id, Step::Turn { target: turn.target.clone(), wait });
        open.waiting_since = Some(now);
        open.slot = Some(PendingTurn::Granted(turn));
    }

    /// Requests a turn from a random peer that holds the limit of one of these targets, unless
    /// peers have reported that they have none within `max_wait` milliseconds. Returns whether a
    /// turn was requested.
    fn request_turn(
        &mut self,
        now: Millis,
        id: RequestId,
        limited: &[String],
        max_wait: Millis,
    ) -> bool {
        if self.requests.get(&id).is_none_or(|it| it.turn_requested) {
            return false;
        }
        let useful = |target: &String, peer: &PeerKey| {
            self.turns.wait(now, target, *peer).is_none_or(|it| it <= max_wait)
        };
        let mut candidates: Vec<(&String, PeerKey)> = Vec::new();
        for target in limited {
            let holders = self.targets.limit_holders(now, target).into_iter();
            let peers = holders.filter_map(|it| self.watch.entry(it));
            candidates.extend(peers.filter(|it| useful(target, it)).map(|it| (target, it)));
        }
        if candidates.is_empty() {
            return false;
        }
        let (target, peer) = candidates[self.rng.random_range(0..candidates.len())];
        let incarnation =
            TargetIncarnation { name: target, started_at: self.targets.started_at(target) };
        call!(
            [self.mesh],
            send(peer, turns::ask(Ask { target: incarnation, request: id, max_wait }))
        );
        if let Some(open) = self.requests.get_mut(&id) {
            open.turn_requested = true;
            open.waiting_since = Some(now);
            open.slot = Some(PendingTurn::Requested {
                target: target.clone(),
                peer,
                until: now + ANSWER_TIMEOUT,
            });
        }
        true
    }

    /// Refuses a request whose targets are all at their limits. Its retry delay is the time to the
    /// next known turn, or else the mean interval between requests, plus a random part of that
    /// interval so that callers do not come back together.
    pub(crate) fn refuse_limited(
        &mut self,
        cx: CX![],
        now: Millis,
        id: RequestId,
        limited: &[String],
    ) {
        let target_rate =
            |it: &String| self.targets.allowed_rate(now, it).map(|rate| rate.per_second());
        let rate: f64 = limited.iter().filter_map(target_rate).sum();
        let interval = (MS_PER_SECOND / rate.max(f64::MIN_POSITIVE)).ceil() as Millis;
        let known =
            |it: &String| self.targets.next_turn(now, it).or_else(|| self.turns.soonest(now, it));
        let next = limited.iter().filter_map(known).min().unwrap_or(interval);
        let spread = self.rng.random_range(0..=interval);
        let Some(open) = self.requests.get_mut(&id) else { return };
        slog::info!(self.log, "request refused: all targets at their limits";
            "id" => &open.run.label, "limited" => limited.len(), "limits" => rate,
            "next" => next, "asked" => open.turn_requested);
        open.retry_after = Some(next.saturating_add(spread));
        let actions = open.flight.refuse(Refusal::TargetsLimited);
        self.apply_actions(cx, id, actions);
    }

    /// Places a request that waits for its turn, once its turn has come or the peer's answer is
    /// overdue.
    pub(crate) fn check_turn(&mut self, cx: CX![], id: RequestId) {
        let now = clock::now();
        let Some(open) = self.requests.get(&id) else { return };
        let due = match &open.slot {
            Some(PendingTurn::Granted(turn)) => turn.at,
            Some(PendingTurn::Requested { until, .. }) => *until,
            None => return,
        };
        // A turn at an evacuated target is of no use.
        let target = open.slot.as_ref().map_or("", PendingTurn::target);
        if now >= due || self.targets.is_evacuated(target) {
            if now >= due && matches!(open.slot, Some(PendingTurn::Requested { .. })) {
                self.metrics.turns.with_label_values(&["unanswered"]).inc();
            }
            self.place(cx, id);
        }
    }

    /// Answers a peer's request for a turn in this entry's share of a limit.
    pub(crate) fn answer_turn_request(&mut self, peer: PeerKey, message: &wire::TurnAsk) {
        let Ok(ask) = turns::parse_ask(message) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let turn = self.targets.reserve(clock::now(), ask.target, ask.max_wait);
        let outcome = if matches!(turn, Turn::In(_)) { "granted" } else { "denied" };
        self.metrics.turns.with_label_values(&[outcome]).inc();
        call!([self.mesh], send(peer, turns::answer(Answer { request: ask.request, turn })));
    }

    /// Processes a peer's answer to a request for a turn.
    pub(crate) fn receive_turn_answer(
        &mut self,
        cx: CX![],
        from: PeerKey,
        message: &wire::TurnAnswer,
    ) {
        let Ok(answer) = turns::parse_answer(message) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let now = clock::now();
        let open = self.requests.get_mut(&answer.request);
        let slot = open.and_then(|it| it.slot.take_if(|it| it.is_requested_from(from)));
        let Some(PendingTurn::Requested { target, peer, .. }) = slot else {
            // The answer came after its timeout, or for a request that has ended. The request may
            // have asked another peer since, for a turn at another target.
            self.metrics.ignored(Ignored::LateAnswer);
            return;
        };
        match answer.turn {
            Turn::In(wait) => {
                self.metrics.turns.with_label_values(&["asked"]).inc();
                let started_at = self.targets.started_at(&target);
                self.schedule_turn(
                    now,
                    answer.request,
                    GrantedTurn { target, started_at, at: now + wait, reserved_at: now },
                );
                self.check_turn(cx, answer.request);
            }
            Turn::TooLate(wait) => {
                self.turns.record(now, &target, peer, wait);
                self.place(cx, answer.request);
            }
            Turn::Never => self.place(cx, answer.request),
        }
    }
}

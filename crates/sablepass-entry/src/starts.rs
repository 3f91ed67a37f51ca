// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Streams that wait to start, as part of the router: defers or refuses streams for which a service
//! has no capacity, and starts the waiting ones once it has.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::reason::Refusal;
use sablepass_core::scope::Scope;
use sablepass_core::starts::{self, Room, StartDecision, StartRequest};
use sablepass_edge::clock;
use stakker::CX;

use crate::open::OpenRequest;
use crate::router::Router;
use crate::targets::Served;

impl Router {
    /// Defers or refuses a stream if passes would be too long with it, or its group is closed.
    /// Returns false if the stream may be sent now.
    pub(crate) fn defer_start(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else { return true };
        let first = open.flight.attempt().number == 0;
        let Some(route) = open.route.as_ref().filter(|_| first) else { return false };
        let Some(pause) = route.pause else { return false };
        let (arrived, resumed) = (open.run.arrived, open.run.resumed);
        let left = open.flight.request().deadline.saturating_sub(arrived);
        let patience = starts::patience(route.objective, pause).min(left);
        let (served, scope) = (open.served.clone(), open.scope.clone());
        let objective = route.objective;
        let request = StartRequest { id, arrived, objective, patience, resumed, scope };
        self.start_other_scopes(cx, &served, &request.scope);
        let Some(open) = self.requests.get(&id) else { return true };
        let mut room = self.targets.start_room(now, open.demand(), pause as f64);
        if matches!(room, Room::Opens { .. } | Room::Closed) {
            // The state of groups is updated at each tick; a report may have arrived since.
            self.targets.update_groups(now);
            room = self.targets.start_room(now, open.demand(), pause as f64);
        }
        let decision = self.start_queues.entry(served).or_default().request(now, &request, room);
        match decision {
            StartDecision::Now => false,
            StartDecision::Wait(wait) => {
                let Some(open) = self.requests.get(&id) else { return true };
                slog::info!(self.log, "stream waits to start"; "id" => &open.run.label,
                    "turn" => wait, "room" => ?room, "resumed" => resumed);
                true
            }
            StartDecision::Refuse(retry_after) => {
                self.refuse_start(cx, id, retry_after, room);
                true
            }
        }
    }

    /// Refuses a stream, with a retry delay in milliseconds if that is known.
    fn refuse_start(&mut self, cx: CX![], id: RequestId, retry_after: Option<Millis>, room: Room) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.retry_after = retry_after;
        let is_ready = matches!(room, Room::Open { .. } | Room::Free);
        let reason = if is_ready { Refusal::Crowded } else { Refusal::GroupClosed };
        let counts = self.targets.counts();
        slog::info!(self.log, "stream refused"; "id" => &open.run.label, "reason" => reason.label(),
            "room" => ?room, "turn" => retry_after, "targets" => counts.listed,
            "usable" => counts.usable);
        let actions = open.flight.refuse(reason);
        self.apply_actions(cx, id, actions);
    }

    /// Starts the waiting streams for which there is capacity now, and refuses those that cannot
    /// start before their callers give up.
    pub(crate) fn start_waiting(&mut self, cx: CX![]) {
        let services: Vec<Served> = self.start_queues.keys().cloned().collect();
        for served in services {
            let open = &self.requests;
            let Some(starts) = self.start_queues.get_mut(&served) else { continue };
            starts.retain(|it| open.contains_key(it));
            self.start_waiting_of(cx, &served);
        }
    }

    /// Starts the waiting streams of other scopes for which there is capacity, so that a new stream
    /// does not take capacity from streams that arrived before it.
    fn start_other_scopes(&mut self, cx: CX![], served: &Served, scope: &Scope) {
        let starts = self.start_queues.get(served);
        let fronts = starts.map(|it| it.fronts(clock::now())).unwrap_or_default();
        if fronts.iter().any(|it| it.scope != *scope) {
            self.start_waiting_of(cx, served);
        }
    }

    fn start_waiting_of(&mut self, cx: CX![], served: &Served) {
        let mut without_turn = Vec::new();
        while self.start_or_refuse_one(cx, served, &mut without_turn) {}
    }

    /// Starts or refuses the first waiting stream of a service that can start or has to be refused.
    /// Returns false if there is none. A stream that finds no turn at a cold target returns to the
    /// queue; its scope is added to `without_turn`, whose streams wait until the next tick.
    fn start_or_refuse_one(
        &mut self,
        cx: CX![],
        served: &Served,
        without_turn: &mut Vec<Scope>,
    ) -> bool {
        let now = clock::now();
        let starts = self.start_queues.get(served);
        for front in starts.map(|it| it.fronts(now)).unwrap_or_default() {
            let Some(room) = self.room_for(now, served, front.id) else { continue };
            let may_start =
                !without_turn.contains(&front.scope) && self.may_start(now, served, &front);
            let Some(starts) = self.start_queues.get_mut(served) else { return false };
            let next = if may_start { starts.next(now, &front.scope, room) } else { None };
            if let Some(id) = next {
                self.start(cx, now, id, front, without_turn);
                return true;
            }
            if let Some((id, retry_after)) = starts.give_up(now, &front.scope, room) {
                self.give_up_start(cx, now, id, retry_after, room);
                return true;
            }
        }
        false
    }

    /// Sends a stream that has left the queue.
    fn start(
        &mut self,
        cx: CX![],
        now: Millis,
        id: RequestId,
        stream: StartRequest,
        without_turn: &mut Vec<Scope>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let served = open.served.clone();
        let scope = stream.scope.clone();
        if self.targets.has_cold(now, open.demand()) {
            open.queued = Some(stream);
        }
        self.place(cx, id);
        if self.start_queues.get(&served).is_some_and(|it| it.contains(id)) {
            without_turn.push(scope);
        }
    }

    /// Whether a waiting stream may leave the queue now. While the targets are cold and none of
    /// them has a turn for it, no more streams leave the queue than there are targets, to seek the
    /// next turns.
    fn may_start(&self, now: Millis, served: &Served, stream: &StartRequest) -> bool {
        let Some(open) = self.requests.get(&stream.id) else { return true };
        if !self.targets.lacks_turns(now, open.demand()) {
            return true;
        }
        let limited = self.targets.limited_targets(now, open.demand(), &[]);
        self.seeking(served) < limited.len()
    }

    /// Number of streams of a service that left the queue and wait for a turn at a cold target.
    fn seeking(&self, served: &Served) -> usize {
        let seeks =
            |it: &&OpenRequest| it.queued.is_some() && it.slot.is_some() && it.served == *served;
        self.requests.values().filter(seeks).count()
    }

    /// Refuses a stream that cannot start before its caller gives up.
    fn give_up_start(
        &mut self,
        cx: CX![],
        now: Millis,
        id: RequestId,
        retry_after: Option<Millis>,
        room: Room,
    ) {
        let Some(open) = self.requests.get(&id) else { return };
        if self.targets.lacks_turns(now, open.demand()) {
            let limited = self.targets.limited_targets(now, open.demand(), &[]);
            self.refuse_limited(cx, now, id, &limited);
        } else {
            self.refuse_start(cx, id, retry_after, room);
        }
    }

    /// Returns a stream that found no turn at a cold target to the queue that it came from, while
    /// its caller still waits. Returns false if it did not come from there or is too late.
    pub(crate) fn return_to_queue(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let Some(stream) = open.queued.take() else { return false };
        let Some(starts) = self.start_queues.get_mut(&open.served) else { return false };
        if !starts.put_back(now, stream) {
            return false;
        }
        open.waiting_since = None;
        open.turn_requested = false;
        true
    }

    /// Capacity of its service for a waiting stream.
    fn room_for(&self, now: Millis, served: &Served, id: RequestId) -> Option<Room> {
        let open = self.requests.get(&id)?;
        let pause = open.route.as_ref()?.pause?;
        let room = self.targets.start_room(now, open.demand(), pause as f64);
        Some(match room {
            Room::Open { places, load, reads } if self.targets.has_cold(now, open.demand()) => {
                Room::Open { places, load: load + self.seeking(served) as f64, reads }
            }
            room => room,
        })
    }
}

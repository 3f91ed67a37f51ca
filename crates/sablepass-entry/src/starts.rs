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
        while self.start_or_refuse_one(cx, served) {}
    }

    /// Starts or refuses the first waiting stream of a service that can start or has to be refused.
    /// Returns false if there is none.
    fn start_or_refuse_one(&mut self, cx: CX![], served: &Served) -> bool {
        let now = clock::now();
        let starts = self.start_queues.get(served);
        for front in starts.map(|it| it.fronts(now)).unwrap_or_default() {
            let Some(room) = self.room_for(now, front.id) else { continue };
            let Some(starts) = self.start_queues.get_mut(served) else { return false };
            if let Some(id) = starts.next(now, &front.scope, room) {
                self.place(cx, id);
                return true;
            }
            if let Some((id, retry_after)) = starts.give_up(now, &front.scope, room) {
                self.refuse_start(cx, id, retry_after, room);
                return true;
            }
        }
        false
    }

    /// Capacity of its service for a waiting stream.
    fn room_for(&self, now: Millis, id: RequestId) -> Option<Room> {
        let open = self.requests.get(&id)?;
        let pause = open.route.as_ref()?.pause?;
        Some(self.targets.start_room(now, open.demand(), pause as f64))
    }
}

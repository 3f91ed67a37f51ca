// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Streams that wait to start, as part of the router: defers or refuses streams for which a service
//! has no capacity, and starts the waiting ones once it has.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::reason::Refusal;
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
        let request = StartRequest { id, arrived, objective: route.objective, patience, resumed };
        let served = open.served.clone();
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

    fn start_waiting_of(&mut self, cx: CX![], served: &Served) {
        let mut may_seek = true;
        while let Some(room) = self.room_for_next(served) {
            let Some(starts) = self.start_queues.get(served) else { return };
            let now = clock::now();
            let front = starts.front(now).filter(|_| may_seek);
            let next = front.filter(|it| self.may_start(now, served, it));
            let Some(starts) = self.start_queues.get_mut(served) else { return };
            if let Some(id) = next.and_then(|_| starts.next(now, room)) {
                if let Some(open) = self.requests.get_mut(&id)
                    && self.targets.has_cold(now, open.demand())
                {
                    open.queued = next;
                }
                self.place(cx, id);
                // One that found no turn waits until the next tick.
                may_seek = self.start_queues.get(served).is_some_and(|it| !it.contains(id));
            } else if let Some((id, retry_after)) = starts.give_up(now, room) {
                self.give_up_start(cx, now, id, retry_after, room);
            } else {
                return;
            }
        }
    }

    /// Whether a waiting stream may leave the queue now. While the targets are cold and none of them
    /// has a turn for it, no more streams leave the queue than there are targets, to seek the next
    /// turns.
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

    /// Capacity of a service for the waiting stream that starts next; none if no stream waits.
    fn room_for_next(&self, served: &Served) -> Option<Room> {
        let now = clock::now();
        let starts = self.start_queues.get(served)?;
        let open = self.requests.get(&starts.front(now)?.id)?;
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

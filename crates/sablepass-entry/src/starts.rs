// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router's streams that wait to begin: who waits, and when they go on.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::reason::Refusal;
use sablepass_core::starts::{self, Room, StartDecision, StartRequest};
use sablepass_edge::clock;
use stakker::CX;

use crate::router::Router;
use crate::targets::Served;

impl Router {
    /// Lets a stream wait or refuses it, if passes would be too long with it or
    /// its group is closed.
    pub(crate) fn defer_start(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        let first = open.flight.attempt().number == 0;
        let Some(route) = open.route.as_ref().filter(|_| first) else { return false };
        let Some(pause) = route.pause else { return false };
        let (arrived, resumed) = (open.run.arrived, open.run.resumed);
        let left = open.flight.request().deadline.saturating_sub(arrived);
        let patience = starts::patience(route.objective, pause).min(left);
        let ask = StartRequest { id, arrived, objective: route.objective, patience, resumed };
        let served = open.served.clone();
        let mut room = self.targets.start_room(now, &served, pause as f64);
        if matches!(room, Room::Opens { .. } | Room::Closed) {
            // A report may have come since the last tick.
            self.targets.update_groups(now);
            room = self.targets.start_room(now, &served, pause as f64);
        }
        let turn = self.starts.entry(served).or_default().request(now, &ask, room);
        match turn {
            StartDecision::Now => false,
            StartDecision::Wait(turn) => {
                let Some(open) = self.open.get(&id) else { return true };
                slog::info!(self.log, "waits to begin"; "id" => &open.run.label, "turn" => turn,
                    "room" => ?room, "resumed" => resumed);
                true
            }
            StartDecision::Refuse(turn) => {
                self.refuse_start(cx, id, turn, room);
                true
            }
        }
    }

    fn refuse_start(&mut self, cx: CX![], id: RequestId, wait: Option<Millis>, room: Room) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.comeback = wait;
        let open_now = matches!(room, Room::Open { .. } | Room::Free);
        let reason = if open_now { Refusal::Crowded } else { Refusal::GroupClosed };
        let counts = self.targets.counts();
        slog::info!(self.log, "no turn"; "id" => &open.run.label, "reason" => reason.label(),
            "room" => ?room, "turn" => wait, "targets" => counts.listed, "usable" => counts.usable);
        let actions = open.flight.refuse(reason);
        self.act(cx, id, actions);
    }

    /// Begins those streams that wait and for which there is room now, and
    /// refuses those for which there will be none.
    pub(crate) fn start_waiting(&mut self, cx: CX![]) {
        let services: Vec<Served> = self.starts.keys().cloned().collect();
        for served in services {
            let open = &self.open;
            let Some(starts) = self.starts.get_mut(&served) else { continue };
            starts.retain(|it| open.contains_key(it));
            self.start_waiting_of(cx, &served);
        }
    }

    fn start_waiting_of(&mut self, cx: CX![], served: &Served) {
        while let Some(room) = self.room_for_next(served) {
            let Some(starts) = self.starts.get_mut(served) else { return };
            let now = clock::now();
            if let Some(id) = starts.next(now, room) {
                self.place(cx, id);
            } else if let Some((id, turn)) = starts.give_up(now, room) {
                self.refuse_start(cx, id, turn, room);
            } else {
                return;
            }
        }
    }

    /// The room for the stream of a service whose turn is next.
    fn room_for_next(&self, served: &Served) -> Option<Room> {
        let now = clock::now();
        let starts = self.starts.get(served)?;
        let pause = self.open.get(&starts.front(now)?.id)?.route.as_ref()?.pause?;
        Some(self.targets.start_room(now, served, pause as f64))
    }
}

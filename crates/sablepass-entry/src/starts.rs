// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router's streams that wait to begin: who waits, and when they go on.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::reason::Refusal;
use sablepass_core::starts::{Ask, Turn};
use sablepass_edge::clock;
use stakker::CX;

use crate::router::Router;
use crate::targets::Served;

impl Router {
    /// Lets a stream wait or refuses it, if passes would be too long with it.
    pub(crate) fn defers(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        let first = open.flight.attempt().number == 0;
        let Some(route) = open.route.as_ref().filter(|_| first) else { return false };
        let Some(pause) = route.pause else { return false };
        let served = &open.served;
        let ask = Ask {
            id,
            objective: route.objective,
            waited: now.saturating_sub(open.run.arrived),
            excess: self.targets.excess(now, served, pause as f64),
            running: self.targets.own(served),
        };
        let turn = self.starts.entry(served.clone()).or_default().ask(&ask);
        match turn {
            Turn::Now => false,
            Turn::Wait(turn) => {
                slog::info!(self.log, "waits to begin"; "id" => &open.run.label, "turn" => turn,
                    "excess" => ask.excess, "running" => ask.running);
                true
            }
            Turn::Refuse(turn) => {
                self.refuse_until(cx, id, turn);
                true
            }
        }
    }

    fn refuse_until(&mut self, cx: CX![], id: RequestId, wait: Millis) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.comeback = Some(wait);
        let actions = open.flight.refuse(Refusal::Crowded);
        self.act(cx, id, actions);
    }

    /// Begins those streams that wait and for which there is room now.
    pub(crate) fn begin_waiting(&mut self, cx: CX![]) {
        let services: Vec<Served> = self.starts.keys().cloned().collect();
        for served in services {
            while let Some(id) = self.next_start(&served) {
                self.place(cx, id);
            }
        }
    }

    fn next_start(&mut self, served: &Served) -> Option<RequestId> {
        let starts = self.starts.get_mut(served)?;
        let open = &self.open;
        starts.retain(|it| open.contains_key(it));
        let pause = open.get(&starts.front()?)?.route.as_ref()?.pause?;
        starts.next(self.targets.excess(clock::now(), served, pause as f64))
    }
}

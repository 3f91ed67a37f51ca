// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Streams that wait to begin.
//!
//! Callers are promised that a stream does not pause, and all ranks of a group
//! pass together, so one stream too many makes all of them late. While passes
//! would be too long with it, a stream waits its turn here; where its turn
//! would come too late it is refused at once and told when to come back.

use std::collections::VecDeque;

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::reason::Refusal;
use sablepass_edge::clock;
use stakker::CX;

use crate::router::Router;
use crate::targets::Served;

/// How many times as long as usual a stream may take from its start to its
/// first event, so that it is still in time after the longest wait.
const OPENS_TIMES: f64 = 1.3;
/// How long that is taken to last before one has begun.
const OPENS: f64 = 200.0;
/// Weight of a stream in how long the next ones are taken to last.
const LASTS_WEIGHT: f64 = 0.1;
/// How long a stream is taken to last before one has ended.
const LASTS: f64 = 2_000.0;

/// Streams of a service that wait, those that came first at the front.
#[derive(Debug)]
pub(crate) struct Starts {
    waiting: VecDeque<RequestId>,
    /// Milliseconds that a stream lasts, and those to its first event, over some time.
    lasts: f64,
    opens: f64,
}

impl Default for Starts {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), lasts: LASTS, opens: OPENS }
    }
}

impl Router {
    /// Lets a stream wait or refuses it, if passes would be too long with it.
    pub(crate) fn defers(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        let pause = open.route.as_ref().and_then(|it| it.pause);
        let Some(pause) = pause.filter(|_| open.flight.attempt().number == 0) else {
            return false;
        };
        let (served, waited) = (open.served.clone(), now.saturating_sub(open.run.arrived));
        let excess = self.targets.excess(now, &served, pause as f64);
        let starts = self.starts.entry(served.clone()).or_default();
        let ahead = starts.waiting.len();
        let Some(excess) = excess.filter(|it| ahead > 0 || *it >= 0.0) else { return false };
        let running = self.targets.own(&served).max(1);
        let turn = (ahead as f64 + 1.0 + excess.max(0.0)) * starts.lasts / f64::from(running);
        let longest = open.route.as_ref().map_or(0.0, |it| it.objective as f64);
        if waited as f64 + turn > longest - starts.opens * OPENS_TIMES {
            self.refuse_until(cx, id, turn as Millis);
            return true;
        }
        starts.waiting.push_back(id);
        if let Some(open) = self.open.get_mut(&id) {
            slog::info!(self.log, "waits to begin"; "id" => &open.run.label, "ahead" => ahead,
                "excess" => excess, "running" => running, "turn" => turn);
        }
        true
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
        starts.waiting.retain(|it| open.contains_key(it));
        let pause = open.get(starts.waiting.front()?)?.route.as_ref()?.pause?;
        let excess = self.targets.excess(clock::now(), served, pause as f64);
        if excess.is_some_and(|it| it >= 0.0) {
            return None;
        }
        starts.waiting.pop_front()
    }

    /// Takes how long a stream lasted from its start on, and until its first event.
    pub(crate) fn stream_lasted(&mut self, served: &Served, lasted: Millis, opened: Millis) {
        if let Some(it) = self.starts.get_mut(served) {
            it.lasts += LASTS_WEIGHT * (lasted as f64 - it.lasts);
            it.opens += LASTS_WEIGHT * (opened as f64 - it.opens);
        }
    }
}

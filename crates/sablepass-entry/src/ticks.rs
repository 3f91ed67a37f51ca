// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router by the clock: deadlines, silence, turns to begin, what is to be told.

use std::time::Duration;

use sablepass_core::flight::Event;
use sablepass_core::id::RequestId;
use sablepass_edge::clock;
use stakker::{CX, after, call};

use crate::router::Router;

/// Time between two looks at deadlines and silence.
pub(crate) const TICK: Duration = Duration::from_millis(25);

impl Router {
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = clock::now();
        if let Some(slept) = self.sleep.check(now) {
            slog::warn!(self.log, "slept"; "for" => slept, "requests" => self.open.len());
            self.metrics.sleeps.inc();
            self.targets.slept(now);
        }
        for peer in self.targets.silent(now) {
            call!([self.mesh], drop_peer(peer));
        }
        self.targets.watch_groups(now);
        if self.targets.looks(now) {
            self.count_entries();
            for target in self.targets.watch_quiet(now) {
                slog::warn!(self.log, "target quiet"; "target" => target);
            }
            self.settle_limits(now);
            self.count_targets();
        }
        self.begin_waiting(cx);
        self.tell_suspects();
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            self.tick_one(cx, id);
        }
        self.pool.tick(now);
        let gone = self.targets.lapse_due(now);
        self.forget(cx, &gone);
        self.check_stop(cx, now);
        after!(TICK, [cx], tick());
    }

    fn count_targets(&self) {
        let it = self.targets.counts();
        let counts = [
            ("listed", it.listed),
            ("agents", it.beside),
            ("linked", it.linked),
            ("usable", it.usable),
            ("resting", it.resting),
            ("limited", it.limited),
        ];
        for (state, count) in counts {
            self.metrics.targets.with_label_values(&[state]).set(count as i64);
        }
    }

    fn tick_one(&mut self, cx: CX![], id: RequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.slot.is_some() {
            self.await_turn(cx, id);
            return;
        }
        if open.waiting.is_some() {
            // One that waits for its group has nowhere to go until that opens.
            let now = clock::now();
            let waits = !open.begun && open.is_patient(now);
            if !waits || !self.targets.opens_soon(now, &open.served) {
                self.dispatch(cx, id);
            }
            return;
        }
        let now = clock::now();
        let quiet = open.flight.target().is_some_and(|it| self.targets.is_quiet(it));
        if quiet && open.flight.is_silent(now) {
            self.event(cx, id, 0, Event::TargetUnresponsive);
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let heard = open.flight.target().map_or(0, |it| self.targets.last_alive(it));
        if open.flight.is_due(now, heard) {
            self.event(cx, id, 0, Event::Tick { heard });
        }
    }
}

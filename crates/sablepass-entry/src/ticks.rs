// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Periodic work of the router: deadlines, unresponsive agents and targets, waiting requests, and
//! messages to other entries.

use std::time::Duration;

use sablepass_core::flight::Event;
use sablepass_core::id::RequestId;
use sablepass_edge::clock;
use stakker::{CX, after, call};

use crate::router::Router;

/// Interval of the router's periodic work.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(25);

impl Router {
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = clock::now();
        if let Some(suspended_ms) = self.suspension_detector.check(now) {
            slog::warn!(self.log, "process resumed after a suspension"; "for" => suspended_ms,
                "requests" => self.requests.len());
            self.metrics.sleeps.inc();
            self.targets.resumed(now);
        }
        for peer in self.targets.silent_agents(now) {
            call!([self.mesh], drop_peer(peer));
        }
        self.targets.update_groups(now);
        if self.targets.evaluation_due(now) {
            self.count_entries();
            for target in self.targets.update_unresponsive(now) {
                slog::warn!(self.log, "target unresponsive"; "target" => target);
            }
            self.apply_pending_limits(now);
            self.expire_cold(now);
            self.update_target_metrics();
            self.metrics.blocked_parts.set(self.watch.parts.blocks(now).len() as i64);
        }
        self.refuse_evacuated(cx, now);
        self.start_waiting(cx);
        self.send_suspects();
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.tick_request(cx, id);
        }
        self.pool.close_expired(now);
        self.continue_answers();
        let gone = self.targets.remove_expired_if_missing(now);
        self.remove_targets(cx, &gone);
        self.answer_before_kill(cx, now);
        self.check_stop(cx, now);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn update_target_metrics(&self) {
        let counts = self.targets.counts();
        let values = [
            ("listed", counts.listed),
            ("agents", counts.agents),
            ("linked", counts.linked),
            ("usable", counts.usable),
            ("resting", counts.paused),
            ("limited", counts.limited),
            ("evacuated", counts.evacuated),
            ("cold", counts.cold),
        ];
        for (state, count) in values {
            self.metrics.targets.with_label_values(&[state]).set(count as i64);
        }
    }

    fn tick_request(&mut self, cx: CX![], id: RequestId) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        if open.slot.is_some() {
            self.check_turn(cx, id);
            return;
        }
        if open.waiting_since.is_some() {
            // A request that waits for its group has no target until the group is ready.
            let now = clock::now();
            let waits_for_group = !open.head_sent && open.may_wait_for_group(now);
            if !waits_for_group || !self.targets.opens_soon(now, open.demand()) {
                self.dispatch(cx, id);
            }
            return;
        }
        let now = clock::now();
        let unresponsive = open.flight.target().is_some_and(|it| self.targets.is_unresponsive(it));
        if unresponsive && open.flight.is_silent(now) {
            self.handle_event(cx, id, 0, Event::TargetUnresponsive);
        }
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let heard = open.flight.target().map_or(0, |it| self.targets.last_alive(it));
        if open.flight.is_due(now, heard) {
            self.handle_event(cx, id, 0, Event::Tick { heard });
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The keeper over time: heartbeats, planned stops, draining.

use std::time::Duration;

use sablepass_core::id::Millis;
use sablepass_core::limits::Rate;
use sablepass_edge::{clock, runtime};
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use stakker::{CX, after};

use crate::keeper::Keeper;
use crate::target::Load;

/// How long the answer of a request that must not repeat is kept after its end.
const ENDED_RETENTION: Millis = 60_000;
/// Ended answers kept at once.
const MAX_ENDED: usize = 256;
/// Time between two looks at planned stops and old answers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a plain service that refused a connection is left alone.
const UNREACHABLE_BACKOFF: Millis = 1_000;
/// How long a drained agent stays, so that its last frames are sent.
const DRAINED_LINGER: Duration = Duration::from_millis(300);

impl Keeper {
    /// Takes a reading of the engine's load.
    pub fn load(&mut self, _cx: CX![], it: Load) {
        self.load = Some(it);
        // An engine that answers is back.
        if self.unreachable_since.is_some_and(|since| it.at > since) {
            self.unreachable_since = None;
            self.report();
        }
    }

    pub(crate) fn send_heartbeat(&mut self, cx: CX![]) {
        self.report();
        let (attempts, keys) = self.gate.once_table_len();
        self.metrics.once.with_label_values(&["attempts"]).set(attempts as i64);
        self.metrics.once.with_label_values(&["keys"]).set(keys as i64);
        after!(Duration::from_millis(self.settings.heartbeat), [cx], send_heartbeat());
    }

    pub(crate) fn report(&self) {
        let now = clock::now();
        let (engine_load, load_age) = match self.load {
            Some(it) => (it.requests, now.saturating_sub(it.at) as u32),
            None => (0, u32::MAX),
        };
        let report = Body::Report(wire::Report {
            in_flight: self.gate.running() as u32,
            capacity: self.capacity,
            engine_load,
            load_age,
            leaving: self.gate.leaving(),
            away: self.unreachable_since.is_some(),
            pace: 0,
            size: 0,
            lag: 0,
            entries: self.entries.count(),
            group: 0,
            stands: false,
            refuses: self.unreachable_since.is_some(),
            rest: self.notices.remaining_pause(now),
            limit: self.notices.limit().map(Rate::per_second),
        });
        for peer in self.entries.peers() {
            self.send(Some(peer), report.clone());
        }
    }

    pub(crate) fn check_drained_if_leaving(&mut self) {
        if self.gate.leaving() {
            self.check_drained();
        }
    }

    pub(crate) fn leave(&mut self, why: &'static str) {
        if self.gate.leaving() {
            return;
        }
        slog::info!(self.log, "leaving"; "why" => why, "running" => self.gate.running());
        self.gate.leave();
        self.report();
        self.check_drained();
    }

    pub(crate) fn check_drained(&mut self) {
        if self.drained || self.gate.running() > 0 {
            return;
        }
        self.drained = true;
        self.metrics.drained.set(1);
        slog::info!(self.log, "drained");
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = clock::now();
        self.gate.tick(now);
        if self.stop_at.is_some_and(|at| now >= at) {
            self.leave("planned stop");
        }
        // A plain service cannot be asked: it is tried again after a while.
        if !self.target.is_engine()
            && self.unreachable_since.is_some_and(|since| now >= since + UNREACHABLE_BACKOFF)
        {
            self.unreachable_since = None;
            self.report();
        }
        self.drop_ended(now);
        if let Some(group) = &mut self.group {
            let sends = group.tick(now);
            self.send_all(sends);
        }
        if self.stopping && self.drained {
            after!(DRAINED_LINGER, [cx], |_, cx| stakker::stop!(cx));
            self.stopping = false;
        }
        after!(TICK_INTERVAL, [cx], tick());
    }

    pub(crate) fn drop_ended(&mut self, now: Millis) {
        while let Some(attempt) = self.ended.front() {
            let end = self.active.get(attempt).and_then(|it| it.end);
            let old = end.is_none_or(|(at, _)| now >= at + ENDED_RETENTION);
            if !old && self.ended.len() <= MAX_ENDED {
                break;
            }
            self.active.remove(attempt);
            self.ended.pop_front();
        }
    }

    /// Takes a signal: on a stop it leaves, and ends when drained.
    pub fn signal(&mut self, _cx: CX![], signal: runtime::Signal) {
        match signal {
            runtime::Signal::Stop => {
                self.stopping = true;
                self.leave("signal");
                self.check_drained();
            }
            runtime::Signal::Reload => {
                slog::info!(self.log, "settings kept"; "why" => "an agent takes them at its start");
            }
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The keeper's timers and shutdown: heartbeats, planned stops and draining.

use std::time::Duration;

use sablepass_core::id::Millis;
use sablepass_core::limits::Rate;
use sablepass_edge::{clock, runtime};
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use stakker::{CX, after};

use crate::keeper::Keeper;
use crate::target::Load;

/// Time after its end for which the answer of a request that is not safe to repeat is kept.
const ENDED_RETENTION: Millis = 60_000;
/// Maximum number of kept answers of ended attempts.
const MAX_ENDED: usize = 256;
/// Interval at which planned stops and expired answers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Back-off after a failed connection to a target that is not a model engine.
const UNREACHABLE_BACKOFF: Millis = 1_000;
/// Time from the end of a drain to the exit, so that the last frames are sent.
const DRAINED_LINGER: Duration = Duration::from_millis(300);

impl Keeper {
    /// Handles a reading of the engine's load.
    pub fn load(&mut self, _cx: CX![], load: Load) {
        self.load = Some(load);
        // An engine that answers is reachable again.
        if self.unreachable_at.is_some_and(|since| load.at > since) {
            self.unreachable_at = None;
            self.report();
        }
    }

    /// Reports to all entries and updates the metrics, at each heartbeat interval.
    pub(crate) fn send_heartbeat(&mut self, cx: CX![]) {
        self.report();
        let (attempts, keys) = self.gate.once_table_len();
        self.metrics.once.with_label_values(&["attempts"]).set(attempts as i64);
        self.metrics.once.with_label_values(&["keys"]).set(keys as i64);
        after!(Duration::from_millis(self.settings.heartbeat), [cx], send_heartbeat());
    }

    /// Reports load and state of the target to all entries.
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
            away: self.unreachable_at.is_some(),
            pace: 0,
            size: 0,
            lag: 0,
            entries: self.entries.count(),
            group: 0,
            stands: false,
            refuses: self.unreachable_at.is_some(),
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

    /// Starts the drain: the gate refuses new attempts and the entries are notified.
    pub(crate) fn leave(&mut self, why: &'static str) {
        if self.gate.leaving() {
            return;
        }
        slog::info!(self.log, "leaving"; "why" => why, "running" => self.gate.running());
        self.gate.leave();
        self.report();
        self.check_drained();
    }

    /// Marks the agent as drained once no attempt is running.
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
        // A target that is not an engine reports no load that would show its recovery, so it is
        // tried again after the back-off.
        if !self.target.is_engine()
            && self.unreachable_at.is_some_and(|since| now >= since + UNREACHABLE_BACKOFF)
        {
            self.unreachable_at = None;
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

    /// Drops the kept answers that have expired or exceed [`MAX_ENDED`].
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

    /// Handles a signal. A stop starts the drain; the process exits when it is drained.
    pub fn signal(&mut self, _cx: CX![], signal: runtime::Signal) {
        match signal {
            runtime::Signal::Stop => {
                self.stopping = true;
                self.leave("signal");
                self.check_drained();
            }
            runtime::Signal::Reload => {
                slog::info!(self.log, "settings not reloaded";
                    "why" => "an agent reads its settings only at startup; restart it");
            }
        }
    }
}

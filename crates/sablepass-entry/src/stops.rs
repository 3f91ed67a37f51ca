// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Signals to the router: a reload of the settings, and a graceful shutdown that interrupts no
//! request.

use std::time::Duration;

use sablepass_core::flight::Event;
use sablepass_core::id::{Millis, RequestId};
use sablepass_edge::{clock, runtime, settings};
use stakker::{CX, after, call, ret_some_to};

use crate::openai;
use crate::router::Router;
use crate::settings::Settings;

/// Time from the end of the last connection until a stopping process ends.
const LINGER: Duration = Duration::from_millis(200);
/// Time before the process is killed in which the answers to the remaining requests are written, at
/// most half of the whole time.
const ANSWER_TIME: Millis = 500;

impl Router {
    /// Processes a signal.
    pub fn signal(&mut self, cx: CX![], signal: runtime::Signal) {
        match signal {
            runtime::Signal::Stop => self.stop(cx),
            runtime::Signal::Reload => self.reload(),
        }
    }

    /// Reads the settings file again and applies the settings of routing and retries. Names, HTTP
    /// and readiness addresses, the dialect and the machine's limits stay as they were when the
    /// process started.
    fn reload(&mut self) {
        let fresh: Settings = match settings::open(&self.settings_file) {
            Ok(settings) => settings,
            Err(e) => {
                slog::warn!(self.log, "settings not reloaded"; "error" => %e);
                return;
            }
        };
        slog::info!(self.log, "settings reloaded"; "file" => %self.settings_file.display());
        self.options = openai::Options::from(&fresh);
        self.settings = Settings {
            node: self.settings.node.clone(),
            http: self.settings.http,
            ready: self.settings.ready,
            dialect: self.settings.dialect,
            limits: self.settings.limits,
            ..fresh
        };
        let burst = self.settings.budget_options(self.targets.sharers()).burst;
        self.retry_budgets.values_mut().for_each(|it| it.set_burst(burst));
    }

    /// Starts a graceful shutdown: the process ends after its last answer is written.
    fn stop(&mut self, cx: CX![]) {
        let now = clock::now();
        if self.stopping_since.is_none() {
            slog::info!(self.log, "stopping"; "requests" => self.requests.len());
            self.stopping_since = Some(now);
            call!([self.server], drain());
        }
        self.check_stop(cx, now);
    }

    /// Ends the process if it is stopping, the time in which callers are still accepted is over,
    /// and no request is in progress, once the answers are written.
    pub(crate) fn check_stop(&mut self, cx: CX![], now: Millis) {
        let Some(since) = self.stopping_since else { return };
        let accepts_callers = now < since + self.settings.admission_time();
        if self.shutting_down || accepts_callers || !self.requests.is_empty() {
            return;
        }
        self.shutting_down = true;
        let closed = ret_some_to!([cx], |this, cx, _it: ()| this.connections_closed(cx));
        call!([self.server], close(closed));
    }

    fn connections_closed(&mut self, cx: CX![]) {
        after!(LINGER, [cx], end());
    }

    fn end(&mut self, cx: CX![]) {
        slog::info!(self.log, "stopped");
        stakker::stop!(cx);
    }

    /// Answers the requests that are still in progress just before this process is killed. A closed
    /// connection would tell their callers nothing.
    pub(crate) fn answer_before_kill(&mut self, cx: CX![], now: Millis) {
        let Some((since, grace)) = self.stopping_since.zip(self.settings.stop_grace()) else {
            return;
        };
        if now < since + grace - ANSWER_TIME.min(grace / 2) {
            return;
        }
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.handle_event(cx, id, 0, Event::ProcessEnds);
        }
    }
}

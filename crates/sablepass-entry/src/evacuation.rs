// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Evacuations of data halls, as part of the router: logs them, withdraws the requests that have
//! not been sent to their targets yet, and refuses requests all of whose targets are evacuated.

use sablepass_core::cold;
use sablepass_core::flight::Event;
use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_core::reason::Refusal;
use sablepass_core::revision::Revision;
use sablepass_edge::clock;
use stakker::CX;

use crate::open::OpenRequest;
use crate::pool::ConnectionKey;
use crate::router::Router;
use crate::targets::Served;
use crate::targets::evacuation::{Changes, HallChange};

/// Back-off of a target whose agent refused a request since its hall is evacuated: about the time
/// until this entry learns of the evacuation too.
pub(crate) const BACK_OFF_EVACUATED: Millis = 400;

impl Router {
    /// Treats targets that were released by the end of an evacuation as cold, since they may have
    /// turned cold meanwhile. Called before any request is placed with the new configuration.
    pub(crate) fn assume_released_cold(&mut self, released: &[String]) {
        let now = clock::now();
        for name in released {
            let change = self.targets.assume_cold(now, name);
            let incarnation = TargetIncarnation { name, started_at: self.targets.started_at(name) };
            self.log_cold_change(incarnation, change, cold::Source::Evacuation);
        }
    }

    /// Processes the evacuations that began or ended. Targets in `changes.released` get requests
    /// again from now on.
    pub(crate) fn evacuations_changed(&mut self, cx: CX![], changes: &Changes) {
        let now = clock::now();
        let held = self.targets.catalogue().revision;
        for it in &changes.began {
            let is_there = |open: &&OpenRequest| {
                open.counted_target.as_ref().is_some_and(|name| it.targets.contains(name))
            };
            let Revision { era, number } = it.evacuation.revision;
            slog::info!(self.log, "hall evacuated"; "hall" => &it.hall, "by" => &it.partner,
                "era" => era, "revision" => number, "targets" => it.targets.len(),
                "running" => self.requests.values().filter(is_there).count());
            self.update_hall_metric(it);
        }
        for it in &changes.ended {
            slog::info!(self.log, "hall evacuation ended"; "hall" => &it.hall, "by" => &it.partner,
                "era" => held.era, "revision" => held.number, "targets" => it.targets.len(),
                "released" => changes.released.len(),
                "duration" => now.saturating_sub(it.evacuation.since));
            self.update_hall_metric(it);
            if let Some(hall) = self.targets.record_evacuation_end(&it.hall) {
                // Fails only if the metric is gone already.
                let _ = self.metrics.hall_evacuated.remove_label_values(&[hall.as_str()]);
            }
        }
        if !changes.began.is_empty() {
            self.withdraw_from_evacuated(cx);
            self.refuse_evacuated(cx, now);
        }
    }

    fn update_hall_metric(&self, change: &HallChange) {
        let is_evacuated = self.targets.is_hall_evacuated(&change.hall);
        let gauge = self.metrics.hall_evacuated.with_label_values(&[change.hall.as_str()]);
        gauge.set(i64::from(is_evacuated));
    }

    /// Withdraws the requests that wait for a connection to an evacuated target: no part of them
    /// was sent.
    fn withdraw_from_evacuated(&mut self, cx: CX![]) {
        let is_pending = |key: &ConnectionKey| {
            let target = self.pool.target(*key).filter(|_| self.pool.has_waiting(*key));
            target.is_some_and(|it| self.targets.is_evacuated(it.name))
        };
        let pending = self.requests.iter().filter_map(|(id, open)| {
            let key = open.connection.filter(is_pending)?;
            Some((*id, open.flight.attempt().number, key))
        });
        let pending: Vec<(RequestId, u32, ConnectionKey)> = pending.collect();
        for (id, attempt, key) in pending {
            self.pool.close(key);
            self.clear_connection(id, key);
            self.handle_event(cx, id, attempt, Event::Unsent);
        }
    }

    /// Refuses a request at once if every target that could serve it is evacuated. A stream whose
    /// answer has started waits for a target instead.
    pub(crate) fn refuse_if_evacuated(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return true };
        if open.head_sent || !self.targets.is_all_evacuated(now, open.demand(), open.owner()) {
            return false;
        }
        let served = open.served.clone();
        let actions = open.flight.refuse(Refusal::Evacuated);
        self.log_evacuated_refusal(&served);
        self.apply_actions(cx, id, actions);
        true
    }

    /// Refuses the waiting requests whose targets are all evacuated.
    pub(crate) fn refuse_evacuated(&mut self, cx: CX![], now: Millis) {
        if !self.targets.has_evacuations() {
            return;
        }
        let waits = |it: &&OpenRequest| it.counted_target.is_none();
        let waiting = self.requests.iter().filter(|it| waits(&it.1)).map(|it| *it.0);
        let waiting: Vec<RequestId> = waiting.collect();
        for id in waiting {
            self.refuse_if_evacuated(cx, now, id);
        }
    }

    /// Logs the first refusal of each service in an evacuation. The counter of refusals counts all.
    pub(crate) fn log_evacuated_refusal(&mut self, served: &Served) {
        if self.targets.is_first_refusal(served) {
            slog::warn!(self.log, "request refused: all targets are in evacuated halls";
                "service" => &served.1);
        }
    }

    /// Counts a response to a request that was sent after its target was known to be evacuated.
    /// That never happens unless the entry has a bug.
    pub(crate) fn check_evacuation_respected(
        &self,
        id: RequestId,
        incarnation: TargetIncarnation<'_>,
    ) {
        let Some(open) = self.requests.get(&id) else { return };
        if self.targets.was_evacuated_before(incarnation, open.sent_at) {
            self.metrics.sent_to_evacuated.inc();
            slog::error!(self.log, "request was sent to an evacuated target";
                "id" => &open.run.label, "target" => incarnation.name,
                "born" => incarnation.started_at, "sent" => open.sent_at);
        }
    }

    /// The evacuations in force, for operators.
    pub(crate) fn evacuation_status(&self) -> serde_json::Value {
        let status = self.targets.evacuations().map(|(hall, partner, it)| {
            serde_json::json!({
                "hall": hall, "partner": partner, "since": it.since,
                "era": it.revision.era, "revision": it.revision.number,
            })
        });
        status.collect()
    }
}

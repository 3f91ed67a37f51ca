// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Connections to agents and other entries, as part of the router: processes events of the mesh,
//! new declarations and instance lists, and the messages of agents and entries.

use std::time::Duration;

use sablepass_core::cold;
use sablepass_core::declaration::{Limits, Service};
use sablepass_core::flight::Event;
use sablepass_core::id::{AttemptId, RequestId, TargetIncarnation};
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_core::revision::Revision;
use sablepass_edge::instance::Role;
use sablepass_edge::mesh::{self, Introduction, PeerKey};
use sablepass_edge::{clock, server};
use sablepass_wire::generated::frame::Body;
use sablepass_wire::{convert, generated as wire};
use stakker::{CX, call};

use crate::evacuation::BACK_OFF_EVACUATED;
use crate::open::OpenRequest;
use crate::router::Router;
use crate::targets::listing::Changes;

impl Router {
    /// Processes an event of the mesh.
    pub fn mesh_event(&mut self, cx: CX![], event: mesh::Event) {
        match event {
            mesh::Event::Up(peer, introduction) => self.peer_connected(cx, peer, &introduction),
            mesh::Event::Down(peer) => self.peer_disconnected(cx, peer),
            mesh::Event::Message(peer, body) => self.message(cx, peer, body),
            mesh::Event::Config(catalogue) => {
                if let Some(declared) = catalogue.limits {
                    let limits = self.settings.bounded(server_limits(declared));
                    call!([self.server], limit(limits));
                }
                let changes = self.targets.set_catalogue(clock::now(), catalogue);
                self.targets.update_cold_plans(clock::now());
                self.assume_released_cold(&changes.released);
                self.update_wanted_peers(cx);
                self.send_bounds();
                self.update_scopes(cx);
                self.evacuations_changed(cx, &changes);
            }
            mesh::Event::Instances(list) => {
                let changes = self.targets.apply_list(clock::now(), &list);
                self.log_list_changes(&changes, list.revision);
                if changes.restored {
                    self.resend_notices();
                }
                for target in &changes.restarted {
                    self.pool.close_idle(target);
                    self.target_gone(cx, target);
                }
                self.remove_targets(cx, &changes.gone);
                self.update_wanted_peers(cx);
            }
            mesh::Event::Entries(names) => {
                self.targets.set_peers(names);
                self.count_entries();
            }
        }
    }

    /// Logs one line for each target whose state the new instance list changes.
    fn log_list_changes(&self, changes: &Changes, revision: Revision) {
        let now = clock::now();
        let events = [
            ("target listed", &changes.added),
            ("target no longer listed", &changes.missing),
            ("target restarted", &changes.restarted),
            ("leaving target listed as ready", &changes.ready_again),
        ];
        for (event, targets) in events {
            for target in targets {
                let line = self.targets.line_revision(target);
                slog::info!(self.log, "{}", event; "target" => target, "line" => line.number,
                    "born" => self.targets.started_at(target), "era" => revision.era,
                    "revision" => revision.number,
                    "used_for" => self.targets.remaining_use(now, target));
            }
        }
        for target in &changes.leaving {
            self.metrics.left.with_label_values(&["listed"]).inc();
            slog::info!(self.log, "target leaves"; "target" => target,
                "born" => self.targets.started_at(target), "source" => "listed",
                "era" => revision.era, "revision" => revision.number);
        }
        for (target, change) in &changes.cold {
            let started_at = self.targets.started_at(target);
            let incarnation = TargetIncarnation { name: target, started_at };
            self.log_cold_change(incarnation, *change, cold::Source::Listed);
        }
        for target in &changes.pauses_ended {
            slog::info!(self.log, "target pause ended"; "target" => target, "why" => "restarted");
        }
    }

    /// Updates the number of entries, and this entry's share of the retry budgets with it.
    pub(crate) fn count_entries(&mut self) {
        self.targets.count_entries(clock::now());
        let burst = self.settings.budget_options(self.targets.sharers()).burst;
        self.retry_budgets.values_mut().for_each(|it| it.set_burst(burst));
    }

    /// Closes the idle connections to targets that were removed from the instance list, and
    /// records the end of these targets.
    pub(crate) fn remove_targets(&mut self, cx: CX![], targets: &[String]) {
        for target in targets {
            slog::info!(self.log, "target removed"; "target" => target);
            self.pool.close_idle(target);
            self.target_gone(cx, target);
        }
    }

    /// Sends the mesh the processes to connect to.
    pub(crate) fn update_wanted_peers(&mut self, _cx: CX![]) {
        let wanted = self.targets.wanted_peers(clock::now());
        call!([self.mesh], require_peers(wanted));
    }

    /// Sends a newly connected entry the known suspects and notices. Records a newly connected
    /// agent, and sends it the blocked requests.
    fn peer_connected(&mut self, cx: CX![], peer: PeerKey, introduction: &Introduction) {
        if introduction.role == Role::Entry.name() {
            let deaths = self.watch.peer_connected(peer, &introduction.name);
            deaths.into_iter().for_each(|it| call!([self.mesh], send(peer, it.body())));
            self.send_all_notices(peer);
            return;
        }
        let Some(endpoint) = introduction.dialled.as_ref() else {
            return;
        };
        let blocked = self.watch.blocked_message(clock::now());
        blocked.into_iter().for_each(|it| call!([self.mesh], send(peer, it.body())));
        if self.targets.listed_agent_connected(peer, endpoint) {
            self.bounds().into_iter().for_each(|it| call!([self.mesh], send(peer, it)));
            return;
        }
        self.targets.agent_connected(
            clock::now(),
            peer,
            &introduction.name,
            introduction.incarnation,
        );
        slog::info!(self.log, "target agent connected"; "target" => &introduction.name);
        for id in self.requests_at(&introduction.name) {
            self.handle_event(cx, id, 0, Event::LinkUp(introduction.incarnation));
        }
    }

    /// The messages that announce the declared bounds of expert maps to the agents of listed
    /// targets, one for each service with such bounds.
    fn bounds(&self) -> Vec<Body> {
        let catalogue = self.targets.catalogue();
        let ranks = |it: &Service| it.engine.as_ref()?.bounds();
        let message = |(name, it): (&String, &Service)| {
            Some(convert::bounds(name, catalogue.revision, ranks(it)?))
        };
        catalogue.services.iter().filter_map(message).collect()
    }

    /// Sends the bounds to the agents of all listed targets: some ten bytes for each service,
    /// however large the configuration is.
    fn send_bounds(&self) {
        for body in self.bounds() {
            for peer in self.targets.listed_agents() {
                call!([self.mesh], send(peer, body.clone()));
            }
        }
    }

    fn peer_disconnected(&mut self, cx: CX![], peer: PeerKey) {
        self.watch.peer_disconnected(peer);
        let Some(name) = self.targets.agent_disconnected(peer) else {
            return;
        };
        slog::info!(self.log, "target agent disconnected"; "target" => &name);
        for id in self.requests_at(&name) {
            self.handle_event(cx, id, 0, Event::LinkDown);
        }
    }

    /// Ids of the requests that are assigned to a target.
    fn requests_at(&self, target: &str) -> Vec<RequestId> {
        let is_assigned = |it: &OpenRequest| it.flight.target() == Some(target);
        self.requests.iter().filter(|(_, it)| is_assigned(it)).map(|(id, _)| *id).collect()
    }

    fn message(&mut self, cx: CX![], peer: PeerKey, body: Body) {
        let body = match body {
            Body::Report(it) => return self.report(cx, peer, &it),
            Body::Suspects(it) => return self.receive_suspects(cx, peer, it),
            Body::Notices(it) => return self.receive_notices(&it),
            Body::TurnAsk(it) => return self.answer_turn_request(peer, &it),
            Body::TurnAnswer(it) => return self.receive_turn_answer(cx, peer, &it),
            other => other,
        };
        let Some(name) = self.targets.target_name(peer).map(str::to_owned) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        match convert::answer(body) {
            Ok(Some((attempt, event))) => self.answer(cx, &name, attempt, event),
            Ok(None) | Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    /// Processes an agent's heartbeat.
    fn report(&mut self, cx: CX![], peer: PeerKey, message: &wire::Report) {
        let now = clock::now();
        let Ok(report) = convert::report(message) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        if let Some(degraded) = self.targets.record_listed_heartbeat(now, peer, report) {
            degraded.iter().for_each(|it| self.move_requests(cx, it));
            if report.refuses {
                let refusing = self.targets.targets_of_agent(peer);
                refusing.iter().for_each(|it| self.target_refuses(cx, it));
            }
            return;
        }
        let Some(name) = self.targets.target_name(peer).map(str::to_owned) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let known = self.targets.members().get(&name);
        if known.is_some_and(|known| known.leaving && !report.leaving) {
            // Leaving is final, so a heartbeat that contradicts it was sent earlier.
            self.metrics.ignored(Ignored::LateHeartbeat);
        }
        self.targets.record_heartbeat(now, &name, report);
        self.limit_reported_by_agent(now, &name, report.limit);
        if report.refuses {
            self.target_refuses(cx, &name);
        }
    }

    /// Moves the requests of a severely degraded target to other targets, if those can take them
    /// over: while they run there, all ranks of the group are as slow as this one.
    fn move_requests(&mut self, cx: CX![], target: &str) {
        let ids = self.requests_at(target);
        if ids.is_empty() {
            return;
        }
        let can_move = |id: &RequestId| {
            let open = self.requests.get(id);
            open.is_some_and(|it| self.targets.can_take_over(it.demand()))
        };
        let moved: Vec<RequestId> = ids.iter().copied().filter(can_move).collect();
        slog::warn!(self.log, "target crawls"; "target" => target, "requests" => ids.len(),
            "moved" => !moved.is_empty());
        for id in moved {
            self.handle_event(cx, id, 0, Event::TargetDegraded);
        }
    }

    /// Processes an agent's message about an attempt.
    fn answer(&mut self, cx: CX![], from: &str, attempt: AttemptId, event: Event) {
        let open = self.requests.get(&attempt.request);
        let expected = open.is_some_and(|it| it.flight.target() == Some(from));
        if !expected {
            self.metrics.ignored(Ignored::LateAnswer);
            return;
        }
        match &event {
            Event::Head(_) => {
                let started_at = self.targets.started_at(from);
                let incarnation = TargetIncarnation { name: from, started_at };
                self.check_evacuation_respected(attempt.request, incarnation);
            }
            Event::Refused(Refusal::HallEvacuated) => {
                self.targets.back_off(from, clock::now() + BACK_OFF_EVACUATED);
            }
            Event::Refused(Refusal::Leaving) => self.targets.mark_leaving(from),
            Event::Failed(failure) if failure.reason == Refusal::EngineAway => {
                self.targets.refused_connection(from)
            }
            Event::Failed(failure) if failure.reason == Refusal::EngineBroke => {
                self.attempt_interrupted(cx, attempt.request, from);
            }
            Event::Failed(failure) if failure.reason == Refusal::EngineEnded => {
                self.targets.refused_connection(from);
                self.attempt_interrupted(cx, attempt.request, from);
                self.target_refuses(cx, from);
            }
            _ => {}
        }
        self.handle_event(cx, attempt.request, attempt.number, event);
    }
}

/// Converts the declared limits of callers' connections.
fn server_limits(declared: Limits) -> server::Limits {
    server::Limits {
        head: declared.head,
        body: declared.body,
        head_time: Duration::from_millis(declared.head_time),
        idle_time: Duration::from_millis(declared.idle_time),
        ..server::Limits::default()
    }
}

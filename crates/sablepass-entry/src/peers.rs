// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards other processes: agents, entries, and what they spread.

use std::time::Duration;

use sablepass_core::declaration::{Limits, Service};
use sablepass_core::flight::Event;
use sablepass_core::id::{AttemptId, RequestId};
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_core::revision::Revision;
use sablepass_edge::instance::Role;
use sablepass_edge::mesh::{self, Introduction, PeerKey};
use sablepass_edge::{clock, server};
use sablepass_wire::generated::frame::Body;
use sablepass_wire::{convert, generated as wire};
use stakker::{CX, call};

use crate::open::Open;
use crate::router::Router;
use crate::targets::listing::Changes;

impl Router {
    /// Takes an event of the mesh.
    pub fn mesh_event(&mut self, cx: CX![], event: mesh::Event) {
        match event {
            mesh::Event::Up(peer, it) => self.up(cx, peer, &it),
            mesh::Event::Down(peer) => self.down(cx, peer),
            mesh::Event::Message(peer, body) => self.message(cx, peer, body),
            mesh::Event::Config(catalogue) => {
                if let Some(it) = catalogue.limits {
                    call!([self.server], limit(limits(it)));
                }
                self.targets.set_catalogue(catalogue);
                self.update_wanted_peers(cx);
                self.send_bounds();
            }
            mesh::Event::Instances(it) => {
                let changes = self.targets.apply_list(clock::now(), &it);
                self.log_list_changes(&changes, it.revision);
                if changes.restored {
                    self.resend_notices();
                }
                for target in &changes.restarted {
                    self.pool.leave(target);
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

    /// A line for each target that a new list speaks of in another way than the one before.
    fn log_list_changes(&self, changes: &Changes, revision: Revision) {
        let now = clock::now();
        let said = [
            ("target listed", &changes.added),
            ("target missing", &changes.missing),
            ("target started anew", &changes.restarted),
        ];
        for (text, targets) in said {
            for target in targets {
                let line = self.targets.line_revision(target);
                slog::info!(self.log, "{}", text; "target" => target, "line" => line.number,
                    "born" => self.targets.started_at(target), "era" => revision.era,
                    "revision" => revision.number, "used_for" => self.targets.remaining_use(now, target));
            }
        }
        for target in &changes.leaving {
            self.metrics.left.with_label_values(&["listed"]).inc();
            slog::info!(self.log, "target leaves"; "target" => target,
                "born" => self.targets.started_at(target), "source" => "listed",
                "era" => revision.era, "revision" => revision.number);
        }
        for target in &changes.pauses_ended {
            slog::info!(self.log, "rest ends"; "target" => target, "why" => "new life");
        }
    }

    /// Counts the entries anew, and shares the retries among as many.
    pub(crate) fn count_entries(&mut self) {
        self.targets.count_entries(clock::now());
        let burst = self.settings.budget(self.targets.sharers()).burst;
        self.budgets.values_mut().for_each(|it| it.set_burst(burst));
    }

    pub(crate) fn remove_targets(&mut self, cx: CX![], targets: &[String]) {
        for target in targets {
            slog::info!(self.log, "target gone"; "target" => target);
            self.pool.leave(target);
            self.target_gone(cx, target);
        }
    }

    pub(crate) fn update_wanted_peers(&mut self, _cx: CX![]) {
        let wanted = self.targets.wanted_peers(clock::now());
        call!([self.mesh], want(wanted));
    }

    fn up(&mut self, cx: CX![], peer: PeerKey, it: &Introduction) {
        if it.role == Role::Entry.name() {
            let told = self.watch.peer_connected(peer, &it.name);
            told.into_iter().for_each(|it| call!([self.mesh], send(peer, it.body())));
            self.send_all_notices(peer);
            return;
        }
        let Some(endpoint) = it.dialled.as_ref() else {
            return;
        };
        let held = self.watch.blocked_message(clock::now());
        held.into_iter().for_each(|it| call!([self.mesh], send(peer, it.body())));
        if self.targets.listed_agent_connected(peer, endpoint) {
            self.bounds().into_iter().for_each(|it| call!([self.mesh], send(peer, it)));
            return;
        }
        self.targets.agent_connected(clock::now(), peer, &it.name, it.incarnation);
        slog::info!(self.log, "target up"; "target" => &it.name);
        for id in self.requests_at(&it.name) {
            self.event(cx, id, 0, Event::LinkUp(it.incarnation));
        }
    }

    /// What the agents beside listed targets need of the configuration.
    fn bounds(&self) -> Vec<Body> {
        let catalogue = self.targets.catalogue();
        let ranks = |it: &Service| it.engine.as_ref()?.bounds();
        let told = |(name, it): (&String, &Service)| {
            Some(convert::bounds(name, catalogue.revision, ranks(it)?))
        };
        catalogue.services.iter().filter_map(told).collect()
    }

    /// Tells all of them. A line of some ten bytes for each service, however
    /// large the configuration is.
    fn send_bounds(&self) {
        for body in self.bounds() {
            for peer in self.targets.listed_agents() {
                call!([self.mesh], send(peer, body.clone()));
            }
        }
    }

    fn down(&mut self, cx: CX![], peer: PeerKey) {
        self.watch.peer_disconnected(peer);
        let Some(name) = self.targets.agent_disconnected(peer) else {
            return;
        };
        slog::info!(self.log, "target down"; "target" => &name);
        for id in self.requests_at(&name) {
            self.event(cx, id, 0, Event::LinkDown);
        }
    }

    fn requests_at(&self, target: &str) -> Vec<RequestId> {
        let there = |it: &Open| it.flight.target() == Some(target);
        self.open.iter().filter(|(_, it)| there(it)).map(|(id, _)| *id).collect()
    }

    fn message(&mut self, cx: CX![], peer: PeerKey, body: Body) {
        let body = match body {
            Body::Report(it) => return self.report(cx, peer, &it),
            Body::Suspects(it) => return self.receive_suspects(cx, peer, it),
            Body::Notices(it) => return self.receive_notices(&it),
            Body::TurnAsk(it) => return self.answer_turn_request(peer, &it),
            Body::TurnAnswer(it) => return self.receive_turn_answer(cx, &it),
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

    /// Takes an agent's heartbeat.
    fn report(&mut self, cx: CX![], peer: PeerKey, it: &wire::Report) {
        let now = clock::now();
        let Ok(report) = convert::report(it) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        if let Some(began) = self.targets.record_listed_heartbeat(now, peer, report) {
            began.iter().for_each(|it| self.move_requests(cx, it));
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
            // Leaving is for good; what says otherwise was sent before.
            self.metrics.ignored(Ignored::LateHeartbeat);
        }
        self.targets.record_heartbeat(now, &name, report);
        self.limit_reported_by_agent(now, &name, report.limit);
        if report.refuses {
            self.target_refuses(cx, &name);
        }
    }

    /// Moves what runs at a target that crawls to others, as far as it can go
    /// on there: while it runs, all ranks of the group are as slow.
    fn move_requests(&mut self, cx: CX![], target: &str) {
        let there = |it: &&Open| it.flight.target() == Some(target);
        let Some(served) = self.open.values().find(there).map(|it| it.served.clone()) else {
            return;
        };
        let ids = self.requests_at(target);
        let moved = self.targets.can_take_over(&served);
        slog::warn!(self.log, "target crawls"; "target" => target, "requests" => ids.len(),
            "moved" => moved);
        for id in ids.into_iter().filter(|_| moved) {
            self.event(cx, id, 0, Event::TargetDegraded);
        }
    }

    fn answer(&mut self, cx: CX![], from: &str, attempt: AttemptId, event: Event) {
        let open = self.open.get(&attempt.request);
        let expected = open.is_some_and(|it| it.flight.target() == Some(from));
        if !expected {
            self.metrics.ignored(Ignored::LateAnswer);
            return;
        }
        match &event {
            Event::Refused(Refusal::Leaving) => self.targets.mark_leaving(from),
            Event::Failed(it) if it.reason == Refusal::EngineAway => {
                self.targets.refused_connection(from)
            }
            Event::Failed(it) if it.reason == Refusal::EngineBroke => {
                self.attempt_interrupted(cx, attempt.request, from);
            }
            _ => {}
        }
        self.event(cx, attempt.request, attempt.number, event);
    }
}

/// The declared limits of callers' connections.
fn limits(it: Limits) -> server::Limits {
    server::Limits {
        head: it.head,
        body: it.body,
        head_time: Duration::from_millis(it.head_time),
        idle_time: Duration::from_millis(it.idle_time),
        ..server::Limits::default()
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The keeper's part in its group: passes declarations, messages and engine events to
//! [`Group`], and sends the group's messages.

use sablepass_core::catalogue::{Catalogue, Declared};
use sablepass_core::declaration;
use sablepass_core::reason::Ignored;
use sablepass_edge::clock;
use sablepass_edge::mesh::{PeerKey, RequiredPeer};
use sablepass_wire::generated as wire;
use stakker::{CX, call};

use crate::group::{self, Group};
use crate::keeper::Keeper;
use crate::orders::{EngineEvent, Orders};

impl Keeper {
    /// Creates, keeps or drops the group according to the declarations.
    pub(crate) fn set_group(&mut self, catalogue: &Catalogue) {
        let name = &self.settings.node.name;
        let short = name.rsplit('/').next().unwrap_or(name);
        let owner = name.split('/').next().unwrap_or(name);
        let mine = |it: &&Declared<declaration::Group>| {
            it.partner == owner && it.resource.members.iter().any(|member| member == short)
        };
        let Some(declared) = catalogue.groups.values().find(mine) else {
            self.group = None;
            return;
        };
        if self.group.as_ref().is_some_and(|it| it.has_declaration(declared)) {
            return;
        }
        let checks = catalogue.targets.get(name).is_some_and(|it| it.resource.checks_fence);
        let orders = Orders::spawn(&self.settings.target, self.fence, self.engine.clone());
        let telemetry = (self.log.clone(), self.metrics.clone());
        match Group::open(clock::now(), declared, name, checks, orders, telemetry) {
            Ok(mut group) => {
                for (peer, name) in &self.agents {
                    group.up(name, *peer);
                }
                let wanted = group.peers().into_iter().map(RequiredPeer::Named).collect();
                call!([self.mesh], require_peers(wanted));
                self.group = Some(group);
            }
            Err(reason) => {
                slog::warn!(self.log, "declared group is not managed"; "reason" => ?reason);
                self.group = None;
            }
        }
    }

    pub(crate) fn on_agent_connected(&mut self, peer: PeerKey, name: String) {
        if let Some(group) = &mut self.group {
            group.up(&name, peer);
        }
        self.agents.insert(peer, name);
    }

    pub(crate) fn on_ballot(&mut self, peer: PeerKey, ballot: &wire::Ballot) {
        let Some(group) = self.group.as_mut().filter(|group| group.name() == ballot.group) else {
            self.metrics.ignored(Ignored::OldBallot);
            return;
        };
        let sends = group.on_ballot(clock::now(), peer, ballot);
        self.send_all(sends);
    }

    /// Handles a reading of the engine or the outcome of an order.
    pub fn engine_event(&mut self, _cx: CX![], event: EngineEvent) {
        let Some(group) = &mut self.group else { return };
        let sends = group.on_engine_event(clock::now(), event);
        self.send_all(sends);
    }

    pub(crate) fn send_all(&self, sends: Vec<group::Outgoing>) {
        for (peer, body) in sends {
            self.send(Some(peer), body);
        }
    }
}

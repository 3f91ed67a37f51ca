// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The keeper as a member of its group: declarations and messages in, what the
//! group wants sent out.

use sablepass_core::catalogue::{Catalogue, Declared};
use sablepass_core::declaration;
use sablepass_core::reason::Ignored;
use sablepass_edge::clock;
use sablepass_edge::mesh::{PeerKey, RequiredPeer};
use sablepass_wire::generated as wire;
use stakker::{CX, call};

use crate::group::{self, Group};
use crate::keeper::Keeper;
use crate::orders::{Heard, Orders};

impl Keeper {
    pub(crate) fn declare_group(&mut self, it: &Catalogue) {
        let name = &self.settings.node.name;
        let short = name.rsplit('/').next().unwrap_or(name);
        let owner = name.split('/').next().unwrap_or(name);
        let mine = |it: &&Declared<declaration::Group>| {
            it.partner == owner && it.resource.members.iter().any(|member| member == short)
        };
        let Some(declared) = it.groups.values().find(mine) else {
            self.group = None;
            return;
        };
        if self.group.as_ref().is_some_and(|it| it.is(declared)) {
            return;
        }
        let checks = it.targets.get(name).is_some_and(|it| it.resource.checks_fence);
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
                slog::warn!(self.log, "group not kept"; "reason" => ?reason);
                self.group = None;
            }
        }
    }

    pub(crate) fn agent_up(&mut self, peer: PeerKey, name: String) {
        if let Some(group) = &mut self.group {
            group.up(&name, peer);
        }
        self.agents.insert(peer, name);
    }

    pub(crate) fn ballot(&mut self, peer: PeerKey, it: &wire::Ballot) {
        let Some(group) = self.group.as_mut().filter(|group| group.name() == it.group) else {
            self.metrics.ignored(Ignored::OldBallot);
            return;
        };
        let sends = group.ballot(clock::now(), peer, it);
        self.send_all(sends);
    }

    /// Takes what the engine said about the group.
    pub fn engine(&mut self, _cx: CX![], it: Heard) {
        let Some(group) = &mut self.group else { return };
        let sends = group.heard(clock::now(), it);
        self.send_all(sends);
    }

    pub(crate) fn send_all(&self, sends: Vec<group::Send>) {
        for (peer, body) in sends {
            self.send(Some(peer), body);
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Proposed maps: forwards them along the group's spanning tree and has the own rank prepare
//! them.

use sablepass_core::expert::barrier::Done;
use sablepass_core::expert::difference;
use sablepass_core::expert::map::{self, Expert, Map};
use sablepass_core::expert::tree::Tree;
use sablepass_core::expert::version;
use sablepass_core::reason::Ignored;
use sablepass_edge::mesh::PeerKey;
use sablepass_platform::engine;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;

use crate::engine::{Call, CallResult};
use crate::ranks::votes::order_outcome;
use crate::ranks::{Action, Preparation, Ranks};

/// Maximum number of prepare orders for a map, including repeats after a missing answer.
const MAX_PREPARE_ORDERS: u32 = 4;

/// A complete map that was in force. All ranks have its experts in the same slots, so that
/// changes can be encoded relative to it.
pub(super) struct BaseMap {
    pub(super) version: u64,
    pub(super) map: Map,
}

impl Ranks {
    /// Handles a proposed map: forwards it to the children in the tree and prepares it. If the
    /// proposal is relative to a map that is unknown here, requests the complete map from the
    /// sender.
    pub(super) fn on_proposal(&mut self, peer: PeerKey, proposal: &wire::Proposal) -> Vec<Action> {
        let Some(shape) =
            self.map_shape().filter(|_| self.is_own_epoch(&proposal.group, proposal.epoch))
        else {
            return Vec::new();
        };
        let map = if proposal.map.is_empty() {
            self.apply_changes(proposal)
        } else {
            parse_full_map(shape, proposal)
        };
        match map {
            Ok(map) if !version::names(proposal.version, map.digest()) => {
                slog::warn!(self.log, "proposed map rejected"; "version" => proposal.version,
                    "error" => "the version names another map");
                self.metrics.ignored(Ignored::BadFrame);
                Vec::new()
            }
            Ok(map) => {
                let mut list = self.forward_proposal(proposal);
                list.extend(self.prepare(proposal.version, map));
                list
            }
            Err(difference::Error::BaseMismatch) => {
                slog::info!(self.log, "base map is unknown; requesting the complete map";
                    "version" => proposal.version, "base" => proposal.base);
                let pull = wire::MapPull {
                    group: proposal.group.clone(),
                    epoch: proposal.epoch,
                    version: proposal.version,
                };
                vec![Action::Send(peer, Body::MapPull(pull))]
            }
            Err(e) => {
                slog::warn!(self.log, "proposed map rejected"; "error" => %e);
                self.metrics.ignored(Ignored::BadFrame);
                Vec::new()
            }
        }
    }

    /// Applies the changes of a proposal to its base map.
    fn apply_changes(&self, proposal: &wire::Proposal) -> Result<Map, difference::Error> {
        let known = self.base.as_ref().filter(|base| base.version == proposal.base);
        let first = || Map::initial(self.map_shape()?).ok().filter(|_| proposal.base == 0);
        let base = known.map(|it| it.map.clone()).or_else(first);
        let base = base.ok_or(difference::Error::BaseMismatch)?;
        difference::apply(&base, &proposal.changes, proposal.digest)
    }

    /// Sends the complete map that the own rank prepares to a rank that lacks its base map.
    pub(super) fn on_map_pull(&self, peer: PeerKey, pull: &wire::MapPull) -> Vec<Action> {
        let preparation =
            self.preparation.as_ref().filter(|preparation| preparation.version == pull.version);
        let Some(preparation) = preparation.filter(|_| self.is_own_epoch(&pull.group, pull.epoch))
        else {
            return Vec::new();
        };
        let whole = wire::Proposal {
            group: pull.group.clone(),
            epoch: pull.epoch,
            version: pull.version,
            map: preparation.map.encode().into(),
            base: 0,
            changes: Vec::new(),
            digest: preparation.map.digest(),
        };
        vec![Action::Send(peer, Body::Proposal(whole))]
    }

    /// Forwards a proposed map to the children of the own rank in the tree.
    pub(super) fn forward_proposal(&self, proposal: &wire::Proposal) -> Vec<Action> {
        let Some(group) = &self.group else { return Vec::new() };
        let below = Tree::open(group.size).children(group.rank);
        let peers = below.filter_map(|rank| self.ranks.get(&rank)).map(|it| it.peer);
        peers.map(|peer| Action::Send(peer, Body::Proposal(proposal.clone()))).collect()
    }

    /// Keeps the map that came into force as the base map, if the own rank prepared it.
    pub(super) fn keep_base_map(&mut self, version: u64) {
        let preparation = self.preparation.as_ref().filter(|it| it.version == version);
        self.base = preparation.map(|it| BaseMap { version, map: it.map.clone() });
    }

    /// Returns the map in force, if it is known completely.
    pub(super) fn map_in_force(&self) -> Option<&Map> {
        let version = self.group.as_ref()?.reading.version;
        self.base.as_ref().filter(|it| it.version == version).map(|it| &it.map)
    }

    /// Derives the map in force from the experts that the ranks reported, if this agent did not
    /// have it prepared.
    pub(super) fn derive_base_map(&mut self) {
        let Some(version) = self.group.as_ref().map(|it| it.reading.version) else { return };
        if self.map_in_force().is_some() {
            return;
        }
        let Some(held) = self.map_from_ranks() else { return };
        let initial =
            Map::initial(held.shape).ok().filter(|it| version == 0 && it.holds_same(&held));
        self.base = Some(BaseMap { version, map: initial.unwrap_or(held) });
    }

    /// Builds a map from the experts that each rank reported. `None` while a report is missing.
    fn map_from_ranks(&self) -> Option<Map> {
        let shape = self.map_shape()?;
        let mine = &self.lists.as_ref()?.experts;
        let mut layers = vec![Vec::new(); shape.layers];
        for rank in 0..shape.ranks {
            let experts = match rank {
                0 => mine,
                _ => &self.ranks.get(&(rank as u16))?.experts,
            };
            for (slots, held) in layers.iter_mut().zip(experts) {
                let held = held.iter().map(|it| Some(Expert(*it)));
                slots.extend(held.chain(std::iter::repeat(None)).take(shape.slots));
            }
        }
        Map::build(shape, &layers).ok()
    }

    /// Returns the shape of the group's maps, from the declared bounds and the group's size.
    pub(super) fn map_shape(&self) -> Option<map::Shape> {
        let (bounds, group) = (self.bounds.as_ref()?, self.group.as_ref()?);
        Some(map::Shape {
            ranks: group.size.into(),
            layers: bounds.layers as usize,
            experts: bounds.experts as usize,
            slots: bounds.slots as usize,
        })
    }

    /// Starts to prepare a map at the own rank, unless it is outdated or a switch is in progress.
    pub(super) fn prepare(&mut self, version: u64, map: Map) -> Vec<Action> {
        let (Some(group), Some(member)) = (&self.group, &mut self.member) else {
            return Vec::new();
        };
        let reading = group.reading;
        self.highest_version = self.highest_version.max(version);
        if version <= reading.version || !group.open || !member.is_free() {
            return Vec::new();
        }
        self.preparation = Some(Preparation { version, map, orders: 0 });
        self.order_prepare()
    }

    /// Issues the prepare order, up to [`MAX_PREPARE_ORDERS`] times.
    fn order_prepare(&mut self) -> Vec<Action> {
        let (Some(group), Some(member), Some(preparation)) =
            (&self.group, &mut self.member, &mut self.preparation)
        else {
            return Vec::new();
        };
        preparation.orders += 1;
        if preparation.orders > MAX_PREPARE_ORDERS {
            return Vec::new();
        }
        let (version, epoch) = (preparation.version, group.reading.epoch);
        let fence = member.prepare(version);
        slog::info!(self.log, "preparing map"; "version" => version, "epoch" => epoch,
            "step" => group.reading.step, "fence" => fence, "orders" => preparation.orders);
        let body = engine::prepare(version, &experts_by_rank(&preparation.map), epoch, fence);
        vec![Action::Call(Call::Prepare(body))]
    }

    /// Handles the result of a prepare order.
    pub(super) fn on_prepare_result(&mut self, result: &CallResult) -> Vec<Action> {
        let done = match result {
            Ok(it) => order_outcome(it.status),
            Err(_) => Done::Unknown,
        };
        match done {
            Done::Taken => return Vec::new(),
            // The lost order may still arrive; the repeated order's higher fence invalidates it.
            Done::Unknown => return self.order_prepare(),
            Done::Fenced => {
                if let Some(member) = &mut self.member {
                    member.raise_fence();
                }
                return self.order_prepare();
            }
            Done::Refused => {}
        }
        slog::warn!(self.log, "engine refused to prepare the map"; "done" => ?done,
            "version" => self.preparation.as_ref().map(|it| it.version));
        self.preparation = None;
        Vec::new()
    }
}

fn parse_full_map(shape: map::Shape, proposal: &wire::Proposal) -> Result<Map, difference::Error> {
    Ok(Map::parse(shape, &proposal.map)?)
}

/// Returns the experts by layer and rank.
fn experts_by_rank(map: &Map) -> Vec<Vec<Vec<u16>>> {
    let rank = |layer: &map::Layer, rank: usize| {
        let held = layer.slots_of(map::Rank(rank as u16)).filter_map(|slot| layer.expert(slot));
        held.map(|it| it.0).collect::<Vec<u16>>()
    };
    let layer = |it: &map::Layer| (0..it.ranks()).map(|at| rank(it, at)).collect();
    map.layers.iter().map(layer).collect()
}

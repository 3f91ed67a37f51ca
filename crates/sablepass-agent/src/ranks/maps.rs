// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Proposed maps: passed on from rank to rank, and prepared at the own one.

use sablepass_core::expert::barrier::Done;
use sablepass_core::expert::map::{self, Map};
use sablepass_platform::engine;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;

use crate::engine::{Ask, Heard};
use crate::ranks::votes::done;
use crate::ranks::{Do, Ranks, Wanted};

/// How often the order to prepare a map is given again when it goes unanswered.
const PREPARES: u32 = 4;
/// Ranks that each rank passes a proposed map on to. The planner of 72 ranks,
/// whose maps take 5 KB, filled its link of 8 Mbit/s for 0.4 s; through two
/// levels of 8 no rank sends more than 41 KB, which takes 0.04 s there by that
/// rate. A map needs every rank, so the ranks on the way make it no less likely
/// to be prepared.
const RELAYS: u16 = 8;

impl Ranks {
    pub(super) fn on_proposal(&mut self, it: &wire::Proposal) -> Vec<Do> {
        let Some(shape) = self.map_shape().filter(|_| self.is_mine(&it.group, it.epoch)) else {
            return Vec::new();
        };
        match Map::parse(shape, &it.map) {
            Ok(map) => {
                let mut list = self.pass_on(it);
                list.extend(self.prepare(it.version, map));
                list
            }
            Err(e) => {
                slog::warn!(self.log, "proposed map does not fit"; "error" => %e);
                Vec::new()
            }
        }
    }

    /// Passes a proposed map on to the ranks below this one.
    pub(super) fn pass_on(&self, it: &wire::Proposal) -> Vec<Do> {
        let Some(group) = &self.group else { return Vec::new() };
        let first = group.rank.saturating_mul(RELAYS).saturating_add(1);
        let below = first..first.saturating_add(RELAYS).min(group.size);
        let peers = below.filter_map(|rank| self.ranks.get(&rank)).map(|it| it.peer);
        peers.map(|peer| Do::Send(peer, Body::Proposal(it.clone()))).collect()
    }

    pub(super) fn map_shape(&self) -> Option<map::Shape> {
        let (bounds, group) = (self.bounds.as_ref()?, self.group.as_ref()?);
        Some(map::Shape {
            ranks: group.size.into(),
            layers: bounds.layers as usize,
            experts: bounds.experts as usize,
            slots: bounds.slots as usize,
        })
    }

    pub(super) fn prepare(&mut self, version: u64, map: Map) -> Vec<Do> {
        let (Some(group), Some(member)) = (&self.group, &mut self.member) else {
            return Vec::new();
        };
        let reading = group.reading;
        self.highest = self.highest.max(version);
        if version <= reading.version || !group.open || !member.is_free() {
            return Vec::new();
        }
        self.wanted = Some(Wanted { version, map, orders: 0 });
        self.order_prepare()
    }

    fn order_prepare(&mut self) -> Vec<Do> {
        let (Some(group), Some(member), Some(wanted)) =
            (&self.group, &mut self.member, &mut self.wanted)
        else {
            return Vec::new();
        };
        wanted.orders += 1;
        if wanted.orders > PREPARES {
            return Vec::new();
        }
        let (version, epoch) = (wanted.version, group.reading.epoch);
        let fence = member.want(version);
        slog::info!(self.log, "map to be prepared"; "version" => version, "epoch" => epoch,
            "step" => group.reading.step, "fence" => fence, "orders" => wanted.orders);
        let body = engine::prepare(version, &by_rank(&wanted.map), epoch, fence);
        vec![Do::Ask(Ask::Prepare(body))]
    }

    pub(super) fn prepared(&mut self, heard: &Heard) -> Vec<Do> {
        let done = match heard {
            Ok(it) => done(it.status),
            Err(_) => Done::Unknown,
        };
        match done {
            Done::Taken => return Vec::new(),
            // It may be carried out late; one with a higher fence bars it.
            Done::Unknown => return self.order_prepare(),
            Done::Fenced => {
                if let Some(member) = &mut self.member {
                    member.fenced();
                }
                return self.order_prepare();
            }
            Done::Refused => {}
        }
        slog::warn!(self.log, "map not prepared"; "done" => ?done,
            "version" => self.wanted.as_ref().map(|it| it.version));
        self.wanted = None;
        Vec::new()
    }
}

/// The experts of each rank, layer by layer.
fn by_rank(map: &Map) -> Vec<Vec<Vec<u16>>> {
    let rank = |layer: &map::Layer, rank: usize| {
        let held = layer.slots_of(map::Rank(rank as u16)).filter_map(|slot| layer.expert(slot));
        held.map(|it| it.0).collect::<Vec<u16>>()
    };
    let layer = |it: &map::Layer| (0..it.ranks()).map(|at| rank(it, at)).collect();
    map.layers.iter().map(layer).collect()
}

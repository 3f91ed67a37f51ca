// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Tallies: the status that ranks send each other, and the expert counts of their requests that
//! they send to the planner.

use sablepass_core::expert::demand;
use sablepass_core::expert::draw::{self, ReportPlan};
use sablepass_core::id::Millis;
use sablepass_core::reason::Ignored;
use sablepass_edge::mesh::PeerKey;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;

use crate::ranks::planner::UNANSWERED_WINDOW;
use crate::ranks::{Action, CountsRequest, RankStatus, Ranks};

/// Unit of paces on the wire: thousandths.
const PACE_SCALE: f64 = 1_000.0;
/// Interval at which ranks report counts.
const COUNTS_INTERVAL_MS: f64 = 100.0;
/// Ends each layer in a rank's list of experts on the wire.
const LAYER_END: u32 = 65_535;

impl Ranks {
    /// Returns the own rank's status, on request with the experts that it holds.
    pub(super) fn tally(&self, now: Millis, experts: bool) -> Option<wire::Tally> {
        let group = self.group.as_ref()?;
        let lists = self.lists.as_ref().filter(|it| it.version == group.reading.version);
        let layers = lists.filter(|_| experts).map(|it| it.experts.as_slice()).unwrap_or_default();
        let experts = layers
            .iter()
            .flat_map(|it| it.iter().map(|it| u32::from(*it)).chain(std::iter::once(LAYER_END)));
        Some(wire::Tally {
            group: group.name.clone(),
            epoch: group.reading.epoch,
            rank: group.rank.into(),
            step: group.reading.step,
            version: group.reading.version,
            prepared: group.reading.prepared.unwrap_or(0),
            highest: self.highest_version,
            chosen: Vec::new(),
            experts: experts.collect(),
            pace: (group.pace * PACE_SCALE).round() as u32,
            samples: false,
            draws: 0,
            totals: Vec::new(),
            drawn: Vec::new(),
            unanswered: self.last_unanswered_at.is_some_and(|at| now < at + UNANSWERED_WINDOW),
        })
    }

    /// Returns the number of layers of the declared maps and of experts per layer.
    fn layer_shape(&self) -> (usize, usize) {
        self.bounds.as_ref().map_or((0, 0), |it| (it.layers as usize, it.experts as usize))
    }

    /// Returns how many ranks report counts, and how many choices they sample.
    fn report_plan(&self) -> ReportPlan {
        let (layers, experts) = self.layer_shape();
        draw::report_plan(
            demand::MAX_SAMPLED_RANKS,
            layers,
            experts,
            self.link_mbps,
            COUNTS_INTERVAL_MS,
        )
    }

    /// Returns, by rank, whether the planner requests its counts.
    pub(super) fn sampled_ranks(&self) -> Vec<bool> {
        let size = self.group.as_ref().map_or(0, |it| it.size);
        let in_hall = |rank| rank == 0 || self.ranks.get(&rank).is_some_and(|it| it.in_own_hall);
        let in_hall: Vec<bool> = (0..size).map(in_hall).collect();
        demand::sample(&in_hall, self.report_plan().ranks)
    }

    /// Returns a tally with the counts of experts that the own rank's requests chose, complete or
    /// sampled as the planner requested.
    pub(super) fn counts_tally(&self, now: Millis, chosen: &[u64]) -> Option<wire::Tally> {
        let tally = self.tally(now, false)?;
        let experts = self.bounds.as_ref()?.experts as usize;
        let Some(draws) = self.counts_request?.draws else {
            return Some(wire::Tally { chosen: chosen.to_vec(), ..tally });
        };
        let start = rand::random();
        let draw = |it: &[u64]| draw::Layer::draw(it, draws, start);
        let layers: Vec<draw::Layer> = chosen.chunks(experts.max(1)).map(draw).collect();
        Some(wire::Tally {
            totals: layers.iter().map(|it| it.total).collect(),
            drawn: layers.iter().flat_map(draw::Layer::encode).collect(),
            ..tally
        })
    }

    /// Returns the counts in a tally, or the counts estimated from its samples; `None` if it has
    /// neither.
    fn decode_counts(&self, tally: &wire::Tally) -> Result<Option<Vec<u64>>, draw::Error> {
        if tally.totals.is_empty() {
            return Ok(Some(tally.chosen.clone()).filter(|it| !it.is_empty()));
        }
        let (layers, experts) = self.layer_shape();
        let drawn = draw::parse(&tally.totals, &tally.drawn, layers)?;
        let counts: Vec<Vec<u64>> =
            drawn.iter().map(|it| it.counts(experts)).collect::<Result<_, _>>()?;
        Ok(Some(counts.concat()))
    }

    /// Sends the own rank's status to one agent.
    pub(super) fn report_to(&self, now: Millis, peer: PeerKey) -> Option<Action> {
        let tally = self.tally(now, false)?;
        Some(self.send_tally(&tally, &self.sampled_peers(), peer))
    }

    /// Sends the own rank's status to all connected agents.
    pub(super) fn report_to_all(&self, now: Millis) -> Vec<Action> {
        let Some(tally) = self.tally(now, false) else { return Vec::new() };
        let sampled = self.sampled_peers();
        self.agents.keys().map(|peer| self.send_tally(&tally, &sampled, *peer)).collect()
    }

    fn send_tally(&self, tally: &wire::Tally, sampled: &[PeerKey], peer: PeerKey) -> Action {
        let samples = sampled.contains(&peer);
        let draws = self.report_plan().draws.filter(|_| samples).unwrap_or(0);
        Action::Send(peer, Body::Tally(wire::Tally { samples, draws, ..tally.clone() }))
    }

    /// Returns the agents from which the planner requests counts; empty if this agent is not the
    /// planner.
    fn sampled_peers(&self) -> Vec<PeerKey> {
        if self.group.as_ref().is_none_or(|it| it.rank != 0) {
            return Vec::new();
        }
        let sample = self.sampled_ranks();
        let sampled = |rank: u16| sample.get(usize::from(rank)).is_some_and(|it| *it);
        self.ranks.iter().filter(|it| sampled(*it.0)).map(|it| it.1.peer).collect()
    }

    /// Handles the status of another rank, and its counts if it sent any.
    pub(super) fn on_tally(
        &mut self,
        now: Millis,
        peer: PeerKey,
        tally: wire::Tally,
    ) -> Vec<Action> {
        self.highest_version =
            self.highest_version.max(tally.highest).max(tally.version).max(tally.prepared);
        if self.group.as_ref().is_none_or(|mine| mine.name != tally.group) {
            return Vec::new();
        }
        let Ok(rank) = u16::try_from(tally.rank) else { return Vec::new() };
        let old = self.ranks.get(&rank).filter(|old| old.peer == peer);
        let known = old.is_some();
        let same = old.filter(|old| (old.epoch, old.version) == (tally.epoch, tally.version));
        let experts = match same {
            Some(old) if tally.experts.is_empty() => old.experts.clone(),
            _ => layers(&tally.experts),
        };
        if rank == 0 {
            let draws = Some(tally.draws).filter(|it| *it > 0);
            self.counts_request = tally.samples.then_some(CountsRequest { draws });
        }
        let status = RankStatus {
            peer,
            in_own_hall: self.agents.get(&peer).is_some_and(|hall| *hall == self.hall),
            epoch: tally.epoch,
            received_at: now,
            step: tally.step,
            version: tally.version,
            prepared: tally.prepared,
            experts,
            pace: f64::from(tally.pace) / PACE_SCALE,
            unanswered: tally.unanswered,
        };
        let changed = same.is_none();
        self.ranks.insert(rank, status);
        let mine = self.is_own_epoch(&tally.group, tally.epoch);
        if mine {
            self.record_counts(now, rank, &tally);
        }
        let mut list = self.try_switch(now);
        if changed {
            // The planner may have been waiting for this rank to adopt the map in force.
            list.extend(self.propose_if_better(now));
        }
        if !known {
            list.extend(self.report_to(now, peer));
        }
        list
    }

    /// Adds a rank's counts to the demand. Counts whose shape does not match the declared maps are
    /// counted as ignored.
    fn record_counts(&mut self, now: Millis, rank: u16, tally: &wire::Tally) {
        let decoded = self.decode_counts(tally);
        let Some(demand) = &mut self.demand else { return };
        let fits = match decoded {
            Ok(None) => true,
            Ok(Some(counts)) => demand.record(now, rank.into(), &counts),
            Err(_) => false,
        };
        if !fits {
            self.metrics.ignored(Ignored::BadFrame);
        }
    }

    /// Sends the own rank's status and its experts to the planner. The other agents only need to
    /// know which connection leads to which rank.
    pub(super) fn report_to_planner(&self, now: Millis) -> Option<Action> {
        let planner = self.ranks.get(&0)?.peer;
        Some(Action::Send(planner, Body::Tally(self.tally(now, true)?)))
    }
}

/// Splits a list of experts from the wire into layers.
fn layers(flat: &[u32]) -> Vec<Vec<u16>> {
    let parts = flat.split(|it| *it == LAYER_END);
    let mut layers: Vec<Vec<u16>> =
        parts.map(|it| it.iter().filter_map(|it| u16::try_from(*it).ok()).collect()).collect();
    layers.pop();
    layers
}

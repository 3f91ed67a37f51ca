// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What ranks tell each other of how they stand, and the planner of what their
//! requests chose.

use sablepass_core::expert::demand;
use sablepass_core::expert::draw::{self, ReportPlan};
use sablepass_core::id::Millis;
use sablepass_core::reason::Ignored;
use sablepass_edge::mesh::PeerKey;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;

use crate::ranks::planner::UNANSWERED_WINDOW;
use crate::ranks::{Action, CountsRequest, RankStatus, Ranks};

/// Thousandths, as paces are told on the wire.
const PACE_SCALE: f64 = 1_000.0;
/// Milliseconds between two tellings of counts.
const COUNTS_INTERVAL_MS: f64 = 100.0;
/// Separates the layers of a rank's experts on the wire.
const LAYER_END: u32 = 65_535;

impl Ranks {
    /// How the own rank stands, with the experts that it holds if asked for.
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

    /// Layers of the declared maps, and experts of a layer.
    fn layer_shape(&self) -> (usize, usize) {
        self.bounds.as_ref().map_or((0, 0), |it| (it.layers as usize, it.experts as usize))
    }

    /// How the planner has the ranks tell their counts.
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

    /// The ranks whose counts the planner asks for.
    pub(super) fn sampled_ranks(&self) -> Vec<bool> {
        let size = self.group.as_ref().map_or(0, |it| it.size);
        let near = |rank| rank == 0 || self.ranks.get(&rank).is_some_and(|it| it.in_own_hall);
        let near: Vec<bool> = (0..size).map(near).collect();
        demand::sample(&near, self.report_plan().ranks)
    }

    /// What the own rank's requests chose, for the planner.
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

    /// Counts that a rank told, or what its draws stand for; none if it told none.
    fn decode_counts(&self, it: &wire::Tally) -> Result<Option<Vec<u64>>, draw::Error> {
        if it.totals.is_empty() {
            return Ok(Some(it.chosen.clone()).filter(|it| !it.is_empty()));
        }
        let (layers, experts) = self.layer_shape();
        let told = draw::parse(&it.totals, &it.drawn, layers)?;
        let counts: Vec<Vec<u64>> =
            told.iter().map(|it| it.counts(experts)).collect::<Result<_, _>>()?;
        Ok(Some(counts.concat()))
    }

    pub(super) fn report_to(&self, now: Millis, peer: PeerKey) -> Option<Action> {
        let tally = self.tally(now, false)?;
        Some(self.report_body(&tally, &self.sampled_peers(), peer))
    }

    pub(super) fn report_to_all(&self, now: Millis) -> Vec<Action> {
        let Some(tally) = self.tally(now, false) else { return Vec::new() };
        let asked = self.sampled_peers();
        self.agents.keys().map(|peer| self.report_body(&tally, &asked, *peer)).collect()
    }

    fn report_body(&self, tally: &wire::Tally, asked: &[PeerKey], peer: PeerKey) -> Action {
        let samples = asked.contains(&peer);
        let draws = self.report_plan().draws.filter(|_| samples).unwrap_or(0);
        Action::Send(peer, Body::Tally(wire::Tally { samples, draws, ..tally.clone() }))
    }

    /// The agents that the planner asks for counts; none if it is not here.
    fn sampled_peers(&self) -> Vec<PeerKey> {
        if self.group.as_ref().is_none_or(|it| it.rank != 0) {
            return Vec::new();
        }
        let sample = self.sampled_ranks();
        let asked = |rank: u16| sample.get(usize::from(rank)).is_some_and(|it| *it);
        self.ranks.iter().filter(|it| asked(*it.0)).map(|it| it.1.peer).collect()
    }

    pub(super) fn on_tally(&mut self, now: Millis, peer: PeerKey, it: wire::Tally) -> Vec<Action> {
        self.highest_version =
            self.highest_version.max(it.highest).max(it.version).max(it.prepared);
        if self.group.as_ref().is_none_or(|mine| mine.name != it.group) {
            return Vec::new();
        }
        let Ok(rank) = u16::try_from(it.rank) else { return Vec::new() };
        let old = self.ranks.get(&rank).filter(|old| old.peer == peer);
        let known = old.is_some();
        let same = old.filter(|old| (old.epoch, old.version) == (it.epoch, it.version));
        let experts = match same {
            Some(old) if it.experts.is_empty() => old.experts.clone(),
            _ => layers(&it.experts),
        };
        if rank == 0 {
            let draws = Some(it.draws).filter(|it| *it > 0);
            self.counts_request = it.samples.then_some(CountsRequest { draws });
        }
        let told = RankStatus {
            peer,
            in_own_hall: self.agents.get(&peer).is_some_and(|hall| *hall == self.hall),
            epoch: it.epoch,
            received_at: now,
            step: it.step,
            version: it.version,
            prepared: it.prepared,
            experts,
            pace: f64::from(it.pace) / PACE_SCALE,
            unanswered: it.unanswered,
        };
        let changed = same.is_none();
        self.ranks.insert(rank, told);
        let mine = self.is_own_epoch(&it.group, it.epoch);
        if mine {
            self.record_counts(now, rank, &it);
        }
        let mut list = self.try_switch(now);
        if changed {
            // The last rank on a new map may be the one that the next was waiting for.
            list.extend(self.propose_if_better(now));
        }
        if !known {
            list.extend(self.report_to(now, peer));
        }
        list
    }

    /// Takes a rank's counts into the demand. Those of another shape are counted
    /// as ignored.
    fn record_counts(&mut self, now: Millis, rank: u16, it: &wire::Tally) {
        let told = self.decode_counts(it);
        let Some(demand) = &mut self.demand else { return };
        let fits = match told {
            Ok(None) => true,
            Ok(Some(counts)) => demand.record(now, rank.into(), &counts),
            Err(_) => false,
        };
        if !fits {
            self.metrics.ignored(Ignored::BadFrame);
        }
    }

    /// Tells the planner how the own rank stands and what it holds. Nobody else
    /// needs to know more than which rank is where.
    pub(super) fn report_to_planner(&self, now: Millis) -> Option<Action> {
        let planner = self.ranks.get(&0)?.peer;
        Some(Action::Send(planner, Body::Tally(self.tally(now, true)?)))
    }
}

fn layers(flat: &[u32]) -> Vec<Vec<u16>> {
    let parts = flat.split(|it| *it == LAYER_END);
    let mut layers: Vec<Vec<u16>> =
        parts.map(|it| it.iter().filter_map(|it| u16::try_from(*it).ok()).collect()).collect();
    layers.pop();
    layers
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! This agent's share of its group's expert map where the engines keep no
//! vote: one member of the switch, and, beside rank 0, the planner.
//!
//! The planner is fixed: a switch takes every rank, so there is none without
//! the first one anyway. It sums what all ranks' agents tell it, has a better
//! map prepared where one is worth it, and proposes the step of the switch
//! once all have prepared. Whatever it does, the switch itself is safe by the
//! votes of [`sablepass_core::expert::barrier`].

use std::collections::BTreeMap;
use std::sync::Arc;

use sablepass_core::expert::barrier::{Done, Member, Reading};
use sablepass_core::expert::calibration::LagCalibration;
use sablepass_core::expert::demand::{self, Demand};
use sablepass_core::expert::map::{Bounds, Map};
use sablepass_core::expert::rebalance::{self, SearchBackoff};
use sablepass_core::expert::watch::DemandMonitor;
use sablepass_core::id::Millis;
use sablepass_core::reason::Ignored;
use sablepass_edge::caller::Answer;
use sablepass_edge::mesh::PeerKey;
use sablepass_edge::telemetry::Metrics;
use sablepass_platform::engine::{self, ExpertCounts, Group, Lists};
use sablepass_wire::generated::frame::Body;
use slog::Logger;

use crate::engine::{Ask, Heard};
use crate::ranks::maps::Base;
use crate::ranks::planner::Obstacle;
use crate::ranks::votes::done;

mod maps;
mod planner;
mod tally;
mod votes;

/// Ticks between two tallies of a rank to the planner, and of the planner to all,
/// beside those that tell of a change. At each tick they were 1,910 messages a
/// second at the planner of 192 ranks; so they are 382.
const TELL_TICKS: u64 = 5;

/// Weight of a reading in the requests that a rank runs: some ten readings,
/// which come every 25 to 100 ms.
const RUNNING_WEIGHT: f64 = 0.1;

/// What is to be done.
#[derive(Debug)]
pub enum Do {
    /// Call the replica.
    Ask(Ask),
    /// Send to an agent.
    Send(PeerKey, Body),
}

/// What a rank last told.
#[derive(Clone, Debug)]
struct Rank {
    peer: PeerKey,
    /// It is in the own hall.
    near: bool,
    epoch: u64,
    at: Millis,
    step: u64,
    version: u64,
    prepared: u64,
    experts: Vec<Vec<u16>>,
    pace: f64,
    /// An order to it went unanswered lately.
    unanswered: bool,
}

/// How the planner is to be told the counts.
#[derive(Clone, Copy, Debug)]
struct Sampled {
    /// Choices of a layer that are drawn; none for all counts as they are.
    draws: Option<u32>,
}

/// A map that the own rank is to prepare.
struct Wanted {
    version: u64,
    map: Map,
    /// Orders given for it.
    orders: u32,
}

/// A map that ranks prepare.
struct Proposed {
    version: u64,
    /// When it is given up if not all of them have prepared it.
    until: Millis,
    /// The switch to it was proposed.
    switching: bool,
    /// The lag worked out for it.
    lag: f64,
}

/// The member, and the planner beside rank 0.
pub struct Ranks {
    log: Logger,
    metrics: Arc<Metrics>,
    bounds: Option<Bounds>,
    /// None until the replica has told that it is a rank.
    member: Option<Member>,
    /// The size of a group that no member could be opened for.
    refused: Option<u16>,
    group: Option<Group>,
    fence: u64,
    ranks: BTreeMap<u16, Rank>,
    /// The own hall.
    hall: String,
    /// Mbit/s that the machine's link takes.
    link: f64,
    /// Connections to other agents, of whatever group, and their halls.
    agents: BTreeMap<PeerKey, String>,
    lists: Option<Lists>,
    /// How the planner is to be told the counts, if it is.
    sampled: Option<Sampled>,
    /// The own rank's counts, and the planner that was told them.
    counts: demand::Counts,
    told: Option<PeerKey>,
    demand: Option<Demand>,
    /// What is in demand since the last shift.
    watch: DemandMonitor,
    /// A map that was in force last, if it is known as a whole.
    base: Option<Base>,
    /// How even maps turn out, beside rank 0.
    calibration: LagCalibration,
    /// Demand has shifted since the map in force came.
    outdated: bool,
    /// The map being prepared at the own rank.
    wanted: Option<Wanted>,
    ticks: u64,
    /// When an order last went unanswered.
    unanswered: Option<Millis>,
    proposed: Option<Proposed>,
    /// After a search that found no better map.
    rest: Option<SearchBackoff>,
    /// Highest version known to be used up.
    highest: u64,
    /// What keeps the planner from planning, since when, and whether that was said.
    obstacle: Option<(Obstacle, Millis, bool)>,
    /// When the last step was seen to begin, and milliseconds of a pass.
    paced: Option<(Millis, u64)>,
    pass: f64,
    /// Requests that the own rank runs, over some time.
    running: f64,
    /// Lag of the map in force under what is in demand, beside rank 0.
    lag: Option<f64>,
}

impl Ranks {
    /// Opens without knowledge, in a hall, behind a link of so many Mbit/s. Orders
    /// carry fences above `fence`.
    pub fn open(log: Logger, metrics: Arc<Metrics>, hall: String, link: f64, fence: u64) -> Self {
        Self {
            log,
            metrics,
            bounds: None,
            member: None,
            refused: None,
            group: None,
            fence,
            ranks: BTreeMap::new(),
            hall,
            link,
            agents: BTreeMap::new(),
            lists: None,
            sampled: None,
            counts: demand::Counts::default(),
            told: None,
            demand: None,
            watch: DemandMonitor::default(),
            base: None,
            calibration: LagCalibration::default(),
            outdated: false,
            wanted: None,
            ticks: 0,
            unanswered: None,
            proposed: None,
            rest: None,
            highest: 0,
            obstacle: None,
            paced: None,
            pass: 0.0,
            running: 0.0,
            lag: None,
        }
    }

    /// Takes what is declared of the group's maps, if the target is a rank of one.
    pub fn declare(&mut self, bounds: Option<Bounds>) {
        self.bounds = bounds;
    }

    /// Whether the replica is a rank of a group whose maps are kept here.
    pub fn is_active(&self) -> bool {
        self.bounds.is_some() && self.group.is_some()
    }

    /// Whether something is under way that wants frequent readings.
    pub fn is_busy(&self) -> bool {
        let switching = self.member.as_ref().is_some_and(|it| !it.is_free());
        let preparing = self.wanted.as_ref().is_some_and(|wanted| {
            self.group.as_ref().is_some_and(|it| it.reading.prepared != Some(wanted.version))
        });
        self.is_active() && (switching || preparing)
    }

    /// Whether the own rank's counts are of use: to the planner, here or
    /// elsewhere.
    pub fn wants_counts(&self) -> bool {
        let planner = self.group.as_ref().is_some_and(|it| it.rank == 0);
        self.is_active() && (planner || self.sampled.is_some())
    }

    /// Lag of the map in force under what is in demand, if this agent plans. That of
    /// a group's first map is known before any counts are.
    pub fn lag(&self) -> Option<f64> {
        let group = self.group.as_ref().filter(|it| it.rank == 0 && it.open);
        let first = group.filter(|it| it.reading.version == 0).map(|_| rebalance::INITIAL_LAG);
        self.lag.filter(|_| self.is_active()).or(first)
    }

    /// A connection to another agent came up.
    pub fn up(&mut self, now: Millis, peer: PeerKey, hall: String) -> Vec<Do> {
        self.agents.insert(peer, hall);
        self.tell(now, peer).into_iter().collect()
    }

    /// A connection went down.
    pub fn down(&mut self, peer: PeerKey) {
        self.ranks.retain(|_, it| it.peer != peer);
        self.agents.remove(&peer);
    }

    // The own rank.

    /// Takes the replica's account of its group, and how many requests it runs.
    pub fn report(&mut self, now: Millis, group: Option<Group>, running: u32) -> Vec<Do> {
        self.running += RUNNING_WEIGHT * (f64::from(running) - self.running);
        let Some(group) = group.filter(|_| self.bounds.is_some()) else {
            self.group = None;
            return Vec::new();
        };
        let before = self.group.replace(group.clone());
        let reading = group.reading;
        self.measure(now, reading.step);
        let formed = before.as_ref().is_none_or(|it| it.reading.epoch != reading.epoch);
        if formed {
            self.formed(&group);
        }
        self.join(&group);
        let outputs = match &mut self.member {
            // A group that is not complete takes no orders.
            Some(member) if group.open => member.on_reading(reading),
            _ => Vec::new(),
        };
        let mut list = self.carry_out(outputs);
        let known =
            before.as_ref().is_some_and(|it| (&it.name, it.rank) == (&group.name, group.rank));
        let old = before.map(|it| it.reading);
        let moved = |of: fn(&Reading) -> Option<u64>| old.as_ref().and_then(of) != of(&reading);
        if moved(|it| Some(it.version)) {
            slog::info!(self.log, "expert map in force"; "version" => reading.version,
                "epoch" => reading.epoch, "step" => reading.step);
            self.remember_map(reading.version);
        }
        if self
            .lists
            .as_ref()
            .is_none_or(|it| (it.epoch, it.version) != (reading.epoch, reading.version))
        {
            list.push(Do::Ask(Ask::Lists));
        }
        if !known {
            // Whoever passes something on has to know which rank is where.
            list.extend(self.tell_all(now));
        } else if moved(|it| Some(it.version)) || moved(|it| it.prepared) || formed {
            list.extend(self.tell_planner(now));
        }
        list
    }

    /// Opens the member of the switch. A group that is too large for one goes on
    /// without maps of ours.
    fn join(&mut self, group: &Group) {
        if self.member.is_some() || self.refused == Some(group.size) {
            return;
        }
        match Member::open(group.rank, group.size, self.fence) {
            Ok(it) => self.member = Some(it),
            Err(e) => {
                slog::error!(self.log, "group served without maps"; "group" => &group.name,
                    "rank" => group.rank, "error" => %e);
                self.metrics.ignored(Ignored::LargeGroup);
                self.refused = Some(group.size);
            }
        }
    }

    fn formed(&mut self, group: &Group) {
        slog::info!(self.log, "group formed"; "group" => &group.name, "rank" => group.rank,
            "size" => group.size, "epoch" => group.reading.epoch, "open" => group.open);
        self.base = None;
        self.wanted = None;
        self.proposed = None;
        self.lag = None;
        self.rest = None;
        self.lists = None;
        let bounds = self.bounds.as_ref();
        self.demand = bounds
            .map(|it| Demand::new(group.size.into(), it.layers as usize, it.experts as usize));
    }

    fn measure(&mut self, now: Millis, step: u64) {
        match self.paced {
            Some((at, last)) if step > last => {
                let pass = now.saturating_sub(at) as f64 / (step - last) as f64;
                self.pass = if self.pass > 0.0 { 0.7 * self.pass + 0.3 * pass } else { pass };
                self.paced = Some((now, step));
            }
            Some((_, last)) if step == last => {}
            _ => self.paced = Some((now, step)),
        }
    }

    /// Takes the end of a call to the replica.
    pub fn heard(&mut self, now: Millis, ask: &Ask, heard: &Heard) -> Vec<Do> {
        match (ask, heard) {
            (Ask::Order(_), it) => {
                let done = match it {
                    Ok(it) => done(it.status),
                    Err(_) => {
                        self.unanswered = Some(now);
                        Done::Unknown
                    }
                };
                if let Some(member) = &mut self.member {
                    member.on_done(done);
                }
                vec![Do::Ask(Ask::Report)]
            }
            (Ask::Prepare(_), it) => {
                let mut list = self.prepared(it);
                list.push(Do::Ask(Ask::Report));
                list
            }
            (Ask::Counts, Ok(Answer { status: 200, body, .. })) => {
                match engine::expert_counts(body) {
                    Ok(it) => self.picked(now, it),
                    Err(e) => self.not_decoded(&e),
                }
            }
            (Ask::Lists, Ok(Answer { status: 200, body, .. })) => match engine::lists(body) {
                Ok(it) => {
                    self.lists = Some(it);
                    let mut list: Vec<Do> = self.tell_planner(now).into_iter().collect();
                    list.extend(self.consider(now));
                    list
                }
                Err(e) => self.not_decoded(&e),
            },
            _ => Vec::new(),
        }
    }

    fn not_decoded(&self, e: &sablepass_platform::Error) -> Vec<Do> {
        slog::warn!(self.log, "answer not decoded"; "error" => %e);
        Vec::new()
    }

    fn picked(&mut self, now: Millis, it: ExpertCounts) -> Vec<Do> {
        let Some(group) = &self.group else { return Vec::new() };
        if it.epoch != group.reading.epoch {
            return Vec::new();
        }
        if group.rank == 0 {
            if let (Some(demand), Some(chosen)) = (&mut self.demand, self.counts.advance(it.counts))
            {
                demand.record(now, 0, &chosen);
            }
            return Vec::new();
        }
        let Some(planner) = self.ranks.get(&0).map(|it| it.peer) else { return Vec::new() };
        if self.told != Some(planner) {
            self.told = Some(planner);
            self.counts.reset();
        }
        let chosen = self.counts.advance(it.counts).unwrap_or_default();
        let tally = match chosen.is_empty() {
            true => self.tally(now, false),
            false => self.chosen(now, &chosen),
        };
        tally.map(|it| Do::Send(planner, Body::Tally(it))).into_iter().collect()
    }

    // Other ranks.

    fn group_name(&self) -> String {
        self.group.as_ref().map_or(String::new(), |it| it.name.clone())
    }

    /// Takes a message of another agent. None if it is not for groups.
    pub fn message(&mut self, now: Millis, peer: PeerKey, body: Body) -> Option<Vec<Do>> {
        match body {
            Body::Tally(it) => Some(self.on_tally(now, peer, it)),
            Body::Proposal(it) => Some(self.on_proposal(peer, &it)),
            Body::MapPull(it) => Some(self.on_pull(peer, &it)),
            Body::Barrier(it) => Some(self.on_barrier(&it)),
            _ => None,
        }
    }

    fn is_mine(&self, group: &str, epoch: u64) -> bool {
        self.group.as_ref().is_some_and(|it| it.name == group && it.reading.epoch == epoch)
    }

    // Time and plans.

    /// Asks for missing votes, and plans beside rank 0.
    pub fn tick(&mut self, now: Millis) -> Vec<Do> {
        let Some(member) = &mut self.member else { return Vec::new() };
        let outputs = member.tick();
        let mut list = self.carry_out(outputs);
        let rank = self.group.as_ref().map(|it| it.rank);
        self.ticks += 1;
        let turn = self.ticks + u64::from(rank.unwrap_or(0));
        if rank != Some(0) && turn.is_multiple_of(TELL_TICKS) {
            list.extend(self.tell_planner(now));
        }
        let planner = self.group.as_ref().is_some_and(|it| it.rank == 0 && it.open);
        if planner {
            if let Some(demand) = &mut self.demand {
                demand.snapshot(now);
            }
            list.extend(self.try_switch(now));
            list.extend(self.plan(now));
            if self.ticks.is_multiple_of(TELL_TICKS) {
                list.extend(self.tell_all(now));
            }
        }
        list
    }

    /// How the group stands, as this agent sees it.
    pub fn explain(&self) -> serde_json::Value {
        let reading = self.group.as_ref().map(|it| it.reading);
        serde_json::json!({
            "group": self.group_name(), "rank": self.group.as_ref().map(|it| it.rank),
            "epoch": reading.map(|it| it.epoch), "version": reading.map(|it| it.version),
            "step": reading.map(|it| it.step), "ranks_heard": self.ranks.len(),
            "pass_ms": self.pass, "skew": self.lag,
        })
    }
}

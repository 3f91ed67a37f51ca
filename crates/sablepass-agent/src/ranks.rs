// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert map of a group whose engines keep no votes: this agent is one member of the switch
//! protocol and, on rank 0, also the planner. The observer drives it.
//!
//! The planner is always on rank 0. A switch requires every rank, so none is possible while
//! rank 0 is missing, and a failover would gain nothing. The planner sums the counts that the
//! agents of the other ranks report, has all ranks prepare a better map if there is one, and
//! proposes the step of the switch once all have prepared it. The safety of the switch does
//! not depend on the planner, but on the votes of [`sablepass_core::expert::barrier`].

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

use crate::engine::{Call, CallResult};
use crate::ranks::maps::BaseMap;
use crate::ranks::planner::Obstacle;
use crate::ranks::votes::order_outcome;

mod maps;
mod planner;
mod tally;
mod votes;

/// Interval, in ticks, of a rank's periodic tally to the planner and of the planner's tally to
/// all ranks. Changes are reported at once. One tally per tick would be 1,910 messages per
/// second at the planner of 192 ranks; every fifth tick makes 382.
const REPORT_INTERVAL_TICKS: u64 = 5;

/// Weight of a reading in the moving average of running requests. The average covers about
/// ten readings, which arrive every 25 to 100 ms.
const RUNNING_EWMA_WEIGHT: f64 = 0.1;

/// An action that the caller performs.
#[derive(Debug)]
pub enum Action {
    /// Make a call to the own replica.
    Call(Call),
    /// Send a message to another agent.
    Send(PeerKey, Body),
}

/// Status last reported by another rank.
#[derive(Clone, Debug)]
struct RankStatus {
    peer: PeerKey,
    /// Whether the rank runs in this agent's data hall.
    in_own_hall: bool,
    epoch: u64,
    received_at: Millis,
    step: u64,
    version: u64,
    prepared: u64,
    experts: Vec<Vec<u16>>,
    pace: f64,
    /// Whether its agent recently received no answer to an order.
    unanswered: bool,
}

/// The planner's request for this rank's counts.
#[derive(Clone, Copy, Debug)]
struct CountsRequest {
    /// Number of choices sampled per layer, or `None` to send the complete counts.
    draws: Option<u32>,
}

/// A map that the own rank prepares.
struct Preparation {
    version: u64,
    map: Map,
    /// Number of prepare orders issued so far.
    orders: u32,
}

/// A map that the planner proposed and the ranks prepare.
struct Proposed {
    version: u64,
    /// Time at which the proposal is dropped unless all ranks have prepared the map.
    deadline: Millis,
    /// Whether the switch to this map has been proposed.
    switching: bool,
    /// Expected lag of the map.
    lag: f64,
}

/// The member of the switch protocol and, on rank 0, the planner.
pub struct Ranks {
    log: Logger,
    metrics: Arc<Metrics>,
    bounds: Option<Bounds>,
    /// `None` until the replica has reported that it is a rank of a group.
    member: Option<Member>,
    /// Size of a group that is too large for the switch protocol.
    unsupported_size: Option<u16>,
    group: Option<Group>,
    fence: u64,
    ranks: BTreeMap<u16, RankStatus>,
    /// The data hall of this agent.
    hall: String,
    /// Bandwidth of the machine's network link, in Mbit/s.
    link_mbps: f64,
    /// Connections to other agents, of any group, and their data halls.
    agents: BTreeMap<PeerKey, String>,
    lists: Option<Lists>,
    /// `None` while the planner does not request this rank's counts.
    counts_request: Option<CountsRequest>,
    /// Counts last read from the own replica.
    counts: demand::Counts,
    /// The planner that received the counts so far.
    counts_sent_to: Option<PeerKey>,
    demand: Option<Demand>,
    /// Demand since its last shift.
    demand_monitor: DemandMonitor,
    /// The latest map in force that is known completely; changes are encoded relative to it.
    base: Option<BaseMap>,
    /// On rank 0: comparison of the lag of maps in force with the lag expected of them.
    calibration: LagCalibration,
    /// Whether demand has shifted since the map in force was made.
    outdated: bool,
    /// The map that the own rank prepares.
    preparation: Option<Preparation>,
    ticks: u64,
    /// Time of the latest order that received no answer.
    last_unanswered_at: Option<Millis>,
    proposed: Option<Proposed>,
    /// Back-off after a search that found no better map.
    search_backoff: Option<SearchBackoff>,
    /// Highest version known to have been used.
    highest_version: u64,
    /// Whether this agent has proposed a map.
    has_proposed: bool,
    /// Condition that prevents planning, its start, and whether it has been logged.
    obstacle: Option<(Obstacle, Millis, bool)>,
    /// Time at which the latest step was first read, and its number.
    last_step: Option<(Millis, u64)>,
    /// Moving average of the duration of a pass, in milliseconds; 0 if unknown.
    pass_ms: f64,
    /// Moving average of the requests that the own rank runs.
    mean_running: f64,
    /// On rank 0: lag of the map in force under the current demand.
    lag: Option<f64>,
}

impl Ranks {
    /// Creates the state of an agent in data hall `hall`. Orders carry fences above `fence`.
    pub fn new(
        log: Logger,
        metrics: Arc<Metrics>,
        hall: String,
        link_mbps: f64,
        fence: u64,
    ) -> Self {
        Self {
            log,
            metrics,
            bounds: None,
            member: None,
            unsupported_size: None,
            group: None,
            fence,
            ranks: BTreeMap::new(),
            hall,
            link_mbps,
            agents: BTreeMap::new(),
            lists: None,
            counts_request: None,
            counts: demand::Counts::default(),
            counts_sent_to: None,
            demand: None,
            demand_monitor: DemandMonitor::default(),
            base: None,
            calibration: LagCalibration::default(),
            outdated: false,
            preparation: None,
            ticks: 0,
            last_unanswered_at: None,
            proposed: None,
            search_backoff: None,
            highest_version: 0,
            has_proposed: false,
            obstacle: None,
            last_step: None,
            pass_ms: 0.0,
            mean_running: 0.0,
            lag: None,
        }
    }

    /// Sets the declared bounds of the group's maps, or `None` if this agent manages no map.
    pub fn set_bounds(&mut self, bounds: Option<Bounds>) {
        self.bounds = bounds;
    }

    /// Returns whether the replica is a rank of a group whose maps this agent manages.
    pub fn is_active(&self) -> bool {
        self.bounds.is_some() && self.group.is_some()
    }

    /// Returns whether a switch or a preparation is in progress, which requires frequent readings.
    pub fn is_busy(&self) -> bool {
        let switching = self.member.as_ref().is_some_and(|it| !it.is_free());
        let preparing = self.preparation.as_ref().is_some_and(|preparation| {
            self.group.as_ref().is_some_and(|it| it.reading.prepared != Some(preparation.version))
        });
        self.is_active() && (switching || preparing)
    }

    /// Returns whether the planner, here or on another agent, uses the own rank's counts.
    pub fn needs_counts(&self) -> bool {
        let planner = self.group.as_ref().is_some_and(|it| it.rank == 0);
        self.is_active() && (planner || self.counts_request.is_some())
    }

    /// Returns the lag of the map in force under the current demand, if this agent is the planner.
    /// For a group's first map it is [`rebalance::INITIAL_LAG`] until counts are available.
    pub fn lag(&self) -> Option<f64> {
        let group = self.group.as_ref().filter(|it| it.rank == 0 && it.open);
        let first = group.filter(|it| it.reading.version == 0).map(|_| rebalance::INITIAL_LAG);
        self.lag.filter(|_| self.is_active()).or(first)
    }

    /// Handles a new connection to another agent.
    pub fn up(&mut self, now: Millis, peer: PeerKey, hall: String) -> Vec<Action> {
        self.agents.insert(peer, hall);
        self.report_to(now, peer).into_iter().collect()
    }

    /// Handles the end of a connection.
    pub fn down(&mut self, peer: PeerKey) {
        self.ranks.retain(|_, it| it.peer != peer);
        self.agents.remove(&peer);
    }

    // Own rank.

    /// Handles the replica's report: the state of its group and the number of running requests.
    pub fn on_report(&mut self, now: Millis, group: Option<Group>, running: u32) -> Vec<Action> {
        self.mean_running += RUNNING_EWMA_WEIGHT * (f64::from(running) - self.mean_running);
        let Some(group) = group.filter(|_| self.bounds.is_some()) else {
            self.group = None;
            return Vec::new();
        };
        let before = self.group.replace(group.clone());
        let reading = group.reading;
        self.update_pass_time(now, reading.step);
        let formed = before.as_ref().is_none_or(|it| it.reading.epoch != reading.epoch);
        if formed {
            self.reset_for_group(&group);
        }
        self.open_member(&group);
        let outputs = match &mut self.member {
            // The engines of an incomplete group accept no orders.
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
            self.keep_base_map(reading.version);
        }
        if self
            .lists
            .as_ref()
            .is_none_or(|it| (it.epoch, it.version) != (reading.epoch, reading.version))
        {
            list.push(Action::Call(Call::Lists));
        }
        if !known {
            // Every agent forwards messages, so it has to know the connection of each rank.
            list.extend(self.report_to_all(now));
        } else if moved(|it| Some(it.version)) || moved(|it| it.prepared) || formed {
            list.extend(self.report_to_planner(now));
        }
        list
    }

    /// Creates the member of the switch protocol. A group that is too large for the protocol keeps
    /// running on the engine's own map.
    fn open_member(&mut self, group: &Group) {
        if self.member.is_some() || self.unsupported_size == Some(group.size) {
            return;
        }
        match Member::open(group.rank, group.size, self.fence) {
            Ok(it) => self.member = Some(it),
            Err(e) => {
                slog::error!(self.log, "expert map of the group is not managed";
                    "group" => &group.name, "rank" => group.rank, "error" => %e);
                self.metrics.ignored(Ignored::LargeGroup);
                self.unsupported_size = Some(group.size);
            }
        }
    }

    /// Discards the state of the previous epoch when the group forms again.
    fn reset_for_group(&mut self, group: &Group) {
        slog::info!(self.log, "group formed"; "group" => &group.name, "rank" => group.rank,
            "size" => group.size, "epoch" => group.reading.epoch, "open" => group.open);
        self.base = None;
        self.preparation = None;
        self.proposed = None;
        self.lag = None;
        self.search_backoff = None;
        self.lists = None;
        let bounds = self.bounds.as_ref();
        self.demand = bounds
            .map(|it| Demand::new(group.size.into(), it.layers as usize, it.experts as usize));
    }

    /// Updates the average duration of a pass from the time between two step readings.
    fn update_pass_time(&mut self, now: Millis, step: u64) {
        match self.last_step {
            Some((at, last)) if step > last => {
                let pass_ms = now.saturating_sub(at) as f64 / (step - last) as f64;
                self.pass_ms =
                    if self.pass_ms > 0.0 { 0.7 * self.pass_ms + 0.3 * pass_ms } else { pass_ms };
                self.last_step = Some((now, step));
            }
            Some((_, last)) if step == last => {}
            _ => self.last_step = Some((now, step)),
        }
    }

    /// Handles the result of a call to the replica.
    pub fn on_call_result(&mut self, now: Millis, call: &Call, result: &CallResult) -> Vec<Action> {
        match (call, result) {
            (Call::Order(_), it) => {
                let done = match it {
                    Ok(it) => order_outcome(it.status),
                    Err(_) => {
                        self.last_unanswered_at = Some(now);
                        Done::Unknown
                    }
                };
                if let Some(member) = &mut self.member {
                    member.on_done(done);
                }
                vec![Action::Call(Call::Report)]
            }
            (Call::Prepare(_), it) => {
                let mut list = self.on_prepare_result(it);
                list.push(Action::Call(Call::Report));
                list
            }
            (Call::Counts, Ok(Answer { status: 200, body, .. })) => {
                match engine::expert_counts(body) {
                    Ok(it) => self.on_counts(now, it),
                    Err(e) => self.log_decode_error(&e),
                }
            }
            (Call::Lists, Ok(Answer { status: 200, body, .. })) => match engine::lists(body) {
                Ok(it) => {
                    self.lists = Some(it);
                    let mut list: Vec<Action> = self.report_to_planner(now).into_iter().collect();
                    list.extend(self.propose_if_better(now));
                    list
                }
                Err(e) => self.log_decode_error(&e),
            },
            _ => Vec::new(),
        }
    }

    fn log_decode_error(&self, e: &sablepass_platform::Error) -> Vec<Action> {
        slog::warn!(self.log, "cannot decode the replica's answer"; "error" => %e);
        Vec::new()
    }

    /// Records the own rank's counts on rank 0; other ranks send them to the planner.
    fn on_counts(&mut self, now: Millis, picked: ExpertCounts) -> Vec<Action> {
        let Some(group) = &self.group else { return Vec::new() };
        if picked.epoch != group.reading.epoch {
            return Vec::new();
        }
        if group.rank == 0 {
            if let (Some(demand), Some(chosen)) =
                (&mut self.demand, self.counts.advance(picked.counts))
            {
                demand.record(now, 0, &chosen);
            }
            return Vec::new();
        }
        let Some(planner) = self.ranks.get(&0).map(|it| it.peer) else { return Vec::new() };
        if self.counts_sent_to != Some(planner) {
            self.counts_sent_to = Some(planner);
            self.counts.reset();
        }
        let chosen = self.counts.advance(picked.counts).unwrap_or_default();
        let tally = match chosen.is_empty() {
            true => self.tally(now, false),
            false => self.counts_tally(now, &chosen),
        };
        tally.map(|it| Action::Send(planner, Body::Tally(it))).into_iter().collect()
    }

    // Other ranks.

    fn group_name(&self) -> String {
        self.group.as_ref().map_or(String::new(), |it| it.name.clone())
    }

    /// Handles a message of another agent. Returns `None` if the message is of another kind.
    pub fn on_message(&mut self, now: Millis, peer: PeerKey, body: Body) -> Option<Vec<Action>> {
        match body {
            Body::Tally(it) => Some(self.on_tally(now, peer, it)),
            Body::Proposal(it) => Some(self.on_proposal(peer, &it)),
            Body::MapPull(it) => Some(self.on_map_pull(peer, &it)),
            Body::Barrier(it) => Some(self.on_barrier(&it)),
            _ => None,
        }
    }

    /// Returns whether a message belongs to the own group in its current epoch.
    fn is_own_epoch(&self, group: &str, epoch: u64) -> bool {
        self.group.as_ref().is_some_and(|it| it.name == group && it.reading.epoch == epoch)
    }

    // Periodic work.

    /// Queries missing votes, sends periodic tallies and, on rank 0, plans.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let Some(member) = &mut self.member else { return Vec::new() };
        let outputs = member.tick();
        let mut list = self.carry_out(outputs);
        let rank = self.group.as_ref().map(|it| it.rank);
        self.ticks += 1;
        let turn = self.ticks + u64::from(rank.unwrap_or(0));
        if rank != Some(0) && turn.is_multiple_of(REPORT_INTERVAL_TICKS) {
            list.extend(self.report_to_planner(now));
        }
        let planner = self.group.as_ref().is_some_and(|it| it.rank == 0 && it.open);
        if planner {
            if let Some(demand) = &mut self.demand {
                demand.snapshot(now);
            }
            list.extend(self.try_switch(now));
            list.extend(self.plan(now));
            if self.ticks.is_multiple_of(REPORT_INTERVAL_TICKS) {
                list.extend(self.report_to_all(now));
            }
        }
        list
    }

    /// Returns the group's status, as known to this agent, for operators.
    pub fn explain(&self) -> serde_json::Value {
        let reading = self.group.as_ref().map(|it| it.reading);
        serde_json::json!({
            "group": self.group_name(), "rank": self.group.as_ref().map(|it| it.rank),
            "epoch": reading.map(|it| it.epoch), "version": reading.map(|it| it.version),
            "step": reading.map(|it| it.step), "ranks_heard": self.ranks.len(),
            "pass_ms": self.pass_ms, "skew": self.lag,
        })
    }
}

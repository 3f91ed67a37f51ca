// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The planner on rank 0: decides when a group needs another map, which one, and from which
//! step on it is in force.

use sablepass_core::expert::barrier::{Member, Plan};
use sablepass_core::expert::difference;
use sablepass_core::expert::map::{Bounds, Paces};
use sablepass_core::expert::rebalance::{self, SearchBackoff};
use sablepass_core::expert::version;
use sablepass_core::id::Millis;
use sablepass_edge::clock;
use sablepass_wire::generated as wire;

use crate::ranks::{Action, Proposed, RankStatus, Ranks};

/// Maximum age of a rank's counts for planning: about two and a half reporting intervals.
const MAX_COUNTS_AGE: Millis = 300;
/// Age of a rank's status beyond which the rank counts as silent: two and a half of the
/// intervals at which ranks report.
const MAX_STATUS_AGE: Millis = 1_250;
/// Time that ranks may take to prepare a map before it is dropped: this multiple of the copying
/// time, plus [`PREPARE_TIMEOUT_MARGIN`]. Orders may remain unanswered; each is repeated after
/// 25 ms, up to three times.
const PREPARE_TIMEOUT_FACTOR: f64 = 1.5;
const PREPARE_TIMEOUT_MARGIN: Millis = 1_000;
/// Time from the proposal of a switch to its step. Two orders on each rank and the votes take
/// 8 ms, and readings of the latest step are up to 25 ms old. A lead that is too short delays
/// the step by the difference, but is no less safe.
const SWITCH_LEAD: Millis = 35;
/// Additional lead while orders remain unanswered, so that four orders can be repeated before
/// the step is held.
const EXTRA_SWITCH_LEAD: Millis = 100;
/// Time for which an unanswered order extends the lead of switches.
pub(super) const UNANSWERED_WINDOW: Millis = 5_000;
/// Minimum duration of an obstacle to planning before it is logged.
const OBSTACLE_LOG_DELAY: Millis = 1_000;
/// Minimum lead of a switch in passes, in addition to the pass that starts next. An idle group
/// runs no pass until a request arrives.
const MIN_LEAD_PASSES: u64 = 1;
/// Number of versions left out before the first proposal of a planner, and after one that ranks did
/// not prepare in time: an earlier planner may have used higher versions than are known.
const SKIPPED_VERSIONS: u64 = 64;
/// Average number of running requests per rank below which its group counts as idle, so that
/// copying experts slows down no request.
const IDLE_REQUESTS: f64 = 0.05;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Unit of the declared `part` of the experts in a pass.
const THOUSANDTHS: f64 = 1_000.0;

/// Reason for dropping a proposed map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    /// Demand shifted before all ranks had prepared the map.
    Shifted,
    /// The ranks exceeded the time allowed for preparing the map.
    Late,
    /// The switch failed: a rank was not armed in time.
    Refused,
}

/// Cause of a change of the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The group runs on its first map, in which experts are assigned round-robin.
    Opened,
    /// Demand shifted since the map in force was made.
    Shifted,
    /// Demand drifted gradually, or the map in force has a higher lag than expected.
    Drifted,
    /// Slots are empty and the group is idle.
    Idle,
}

impl Cause {
    /// Returns the metric label.
    fn label(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Shifted => "shifted",
            Self::Drifted => "drifted",
            Self::Idle => "idle",
        }
    }
}

/// Condition that prevents planning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Obstacle {
    /// The own rank is busy with a switch.
    Switching,
    /// A rank's counts are missing or outdated.
    OldCounts,
    /// A rank has not reported recently, or has another map in force.
    RankMissing,
    /// The experts that the ranks reported do not form a map.
    NoMap,
}

impl Obstacle {
    /// Returns the metric label.
    fn label(self) -> &'static str {
        match self {
            Self::Switching => "waits-switching",
            Self::OldCounts => "waits-old-counts",
            Self::RankMissing => "waits-rank-missing",
            Self::NoMap => "waits-no-map",
        }
    }
}

impl Ranks {
    /// Evaluates the counts of the latest interval, drops a proposal that has become useless, and
    /// proposes a better map if there is one.
    pub(super) fn plan(&mut self, now: Millis) -> Vec<Action> {
        let interval = self.demand.as_ref().and_then(|it| it.recent(1, 0));
        let shifted = interval.is_some_and(|it| self.demand_monitor.observe(now, it));
        if shifted {
            slog::info!(self.log, "demand shifted";
                "life" => self.demand_monitor.expected_remaining_ms(now),
                "step" => self.group.as_ref().map(|it| it.reading.step));
            self.search_backoff = None;
            self.outdated = true;
            self.calibration.demand_shifted();
        }
        self.update_lag();
        self.calibrate(now);
        if let Some(why) = self.drop_reason(now, shifted) {
            let dropped = self.proposed.take();
            slog::warn!(self.log, "proposed map dropped"; "version" => dropped.map(|it| it.version),
                "why" => ?why);
            if why == DropReason::Late {
                self.highest_version = version::skip(self.highest_version, SKIPPED_VERSIONS);
            }
        }
        self.propose_if_better(now)
    }

    /// Proposes a better map, if there is one and no obstacle, proposal or back-off prevents it.
    pub(super) fn propose_if_better(&mut self, now: Millis) -> Vec<Action> {
        let planner = self.group.as_ref().is_some_and(|it| it.rank == 0 && it.open);
        if !planner || self.proposed.is_some() {
            return Vec::new();
        }
        let obstacle = self.obstacle(now);
        self.log_obstacle(now, obstacle);
        if obstacle.is_some() || self.is_search_backed_off(now) {
            return Vec::new();
        }
        if let Some(change) = self.decide(now) {
            let cause = self.cause();
            return self.propose(now, &change, cause);
        }
        match self.fill_spare_slots() {
            Some(it) => self.propose(now, &it, Cause::Idle),
            None => Vec::new(),
        }
    }

    /// Returns the cause of a change to a map with a lower lag.
    fn cause(&self) -> Cause {
        let first = self.group.as_ref().is_some_and(|it| it.reading.version == 0);
        match (first, self.outdated) {
            (true, _) => Cause::Opened,
            (false, true) => Cause::Shifted,
            (false, false) => Cause::Drifted,
        }
    }

    /// Returns a map with fewer empty slots, if the group is idle. The change's `max_copies` is an
    /// upper bound; most ranks receive fewer new experts.
    fn fill_spare_slots(&self) -> Option<rebalance::Change> {
        let spare = self.bounds.as_ref()?.spare as usize;
        let old = self.map_in_force().filter(|_| self.mean_running < IDLE_REQUESTS)?;
        let map = rebalance::fill(spare, old)?;
        let lag = self.lag.unwrap_or(1.0);
        let (moves, max_copies) = (map.moves_from(old), spare * old.layers.len());
        Some(rebalance::Change {
            map,
            lag_before: lag,
            lag_after: lag,
            moves,
            max_copies,
            saved_ms: 0.0,
        })
    }

    /// Returns why the proposed map has become useless, or `None` if it has not.
    fn drop_reason(&self, now: Millis, shifted: bool) -> Option<DropReason> {
        let proposed = self.proposed.as_ref()?;
        if self.group.as_ref().is_some_and(|group| group.reading.version >= proposed.version) {
            return None;
        }
        let free = self.member.as_ref().is_some_and(Member::is_free);
        if proposed.switching {
            // The switch has ended and this version is not in force, so it failed.
            return free.then_some(DropReason::Refused);
        }
        if shifted {
            return Some(DropReason::Shifted);
        }
        (now >= proposed.deadline).then_some(DropReason::Late)
    }

    /// Returns the obstacle to planning, if any.
    fn obstacle(&mut self, now: Millis) -> Option<Obstacle> {
        let Some(member) = self.member.as_ref().filter(|it| it.is_free()) else {
            return Some(Obstacle::Switching);
        };
        let version = member.reading().map_or(0, |it| it.version);
        let age = self.demand.as_ref().and_then(|it| it.age(now, &self.sampled_ranks()));
        if age.is_none_or(|it| it > MAX_COUNTS_AGE) {
            return Some(Obstacle::OldCounts);
        }
        if !self.all_ranks_on(now, version) {
            return Some(Obstacle::RankMissing);
        }
        self.derive_base_map();
        self.map_in_force().is_none().then_some(Obstacle::NoMap)
    }

    /// Logs and counts an obstacle once it has lasted for [`OBSTACLE_LOG_DELAY`].
    fn log_obstacle(&mut self, now: Millis, obstacle: Option<Obstacle>) {
        let Some(obstacle) = obstacle else {
            self.obstacle = None;
            return;
        };
        let (known, since, logged) = *self.obstacle.get_or_insert((obstacle, now, false));
        if known != obstacle {
            self.obstacle = Some((obstacle, now, false));
        } else if !logged && now >= since + OBSTACLE_LOG_DELAY {
            let ranks: Vec<u16> = self.silent_ranks(now);
            self.metrics.plans.with_label_values(&[obstacle.label()]).inc();
            slog::warn!(self.log, "planner is blocked"; "why" => ?obstacle,
                "silent_ranks" => ?ranks,
                "member" => ?self.member.as_ref().map(|it| (it.plan(), it.reading().copied())));
            self.obstacle = Some((obstacle, since, true));
        }
    }

    /// Returns the other ranks whose status is missing or older than [`MAX_STATUS_AGE`].
    fn silent_ranks(&self, now: Millis) -> Vec<u16> {
        let size = self.group.as_ref().map_or(0, |it| it.size);
        let fresh = |rank: &u16| {
            self.ranks
                .get(rank)
                .is_some_and(|it| now.saturating_sub(it.received_at) <= MAX_STATUS_AGE)
        };
        (1..size).filter(|it| !fresh(it)).collect()
    }

    /// Searches for a better map. Starts a back-off if there is none.
    fn decide(&mut self, now: Millis) -> Option<rebalance::Change> {
        let bounds = self.bounds.as_ref()?;
        let options = rebalance::Options {
            spare: bounds.spare as usize,
            copy_ms: f64::from(bounds.copy) / MICROS_PER_MILLI,
            expert_share: self.expert_share(bounds),
            demand_ms: self.demand_monitor.expected_remaining_ms(now),
            optimism: self.calibration.optimism(),
            ..rebalance::Options::default()
        };
        let map = self.map_in_force()?;
        let change = rebalance::decide(&options, map, self.demand_monitor.demand()?, &self.paces());
        if change.is_none() {
            self.search_backoff = self.lag.map(|lag| SearchBackoff::start(now, clock::now(), lag));
        }
        change
    }

    /// Returns whether a recent search found no better map and the lag gives no reason for another.
    fn is_search_backed_off(&self, now: Millis) -> bool {
        let search_backoff = self.search_backoff.as_ref().zip(self.lag);
        search_backoff.is_some_and(|(search_backoff, lag)| search_backoff.is_active(now, lag))
    }

    /// Records the lag of the map in force to calibrate future estimates, when that is due.
    fn calibrate(&mut self, now: Millis) {
        let Some(lag) = self.lag.filter(|_| self.calibration.is_due(now)) else { return };
        self.calibration.record_lag(lag);
        slog::info!(self.log, "lag of the map in force recorded"; "lag" => lag,
            "version" => self.group.as_ref().map(|it| it.reading.version),
            "optimism" => self.calibration.optimism());
    }

    /// Updates the lag of the map in force. The old value stays if the map or the demand is
    /// unknown.
    fn update_lag(&mut self) {
        let map = self.map_in_force().zip(self.demand_monitor.demand());
        let lag = map.map(|(map, demand)| rebalance::mean_lag(map, demand, &self.paces()));
        self.lag = lag.or(self.lag);
    }

    /// Returns the share of a pass that expert computation takes on an even map, for the number of
    /// sequences that the own rank has run recently.
    fn expert_share(&self, bounds: &Bounds) -> f64 {
        let sequences = f64::from(bounds.sequence) * self.mean_running.max(1.0);
        let experts = sequences * f64::from(bounds.part) / THOUSANDTHS;
        experts / (f64::from(bounds.step) + sequences).max(1.0)
    }

    /// Returns whether all other ranks reported recently and have this version in force.
    fn all_ranks_on(&self, now: Millis, version: u64) -> bool {
        let size = self.group.as_ref().map_or(0, |it| usize::from(it.size));
        let epoch = self.group.as_ref().map_or(0, |it| it.reading.epoch);
        let same = |it: &&RankStatus| it.version == version && it.epoch == epoch;
        let agrees =
            |it: &&RankStatus| same(it) && now.saturating_sub(it.received_at) <= MAX_STATUS_AGE;
        self.ranks.values().filter(agrees).count() + 1 >= size
    }

    /// Returns the paces that the ranks last reported.
    pub(super) fn paces(&self) -> Paces {
        let size = self.group.as_ref().map_or(0, |it| it.size);
        let mine = self.group.as_ref().map_or(1.0, |it| it.pace);
        let other = |rank: u16| self.ranks.get(&rank).map_or(1.0, |it| it.pace);
        Paces::new((0..size).map(|rank| if rank == 0 { mine } else { other(rank) }))
    }

    /// Sends a map to the other ranks and has the own rank prepare it.
    fn propose(&mut self, now: Millis, change: &rebalance::Change, cause: Cause) -> Vec<Action> {
        let Some(group) = &self.group else { return Vec::new() };
        let mut highest = self.highest_version.max(group.reading.version);
        if !std::mem::replace(&mut self.has_proposed, true) {
            highest = version::skip(highest, SKIPPED_VERSIONS);
        }
        let digest = change.map.digest();
        let version = version::next(highest, digest);
        slog::info!(self.log, "map proposed"; "version" => version, "epoch" => group.reading.epoch,
            "skew" => change.lag_before, "expected" => change.lag_after, "moves" => change.moves,
            "copies" => change.max_copies, "saved" => change.saved_ms, "cause" => cause.label(),
            "running" => self.mean_running, "paces" => ?self.paces());
        self.metrics.expert_copies.with_label_values(&[cause.label()]).inc_by(change.moves as u64);
        let Some(old) = &self.base else { return Vec::new() };
        let proposal = wire::Proposal {
            group: group.name.clone(),
            epoch: group.reading.epoch,
            version,
            map: bytes::Bytes::new(),
            base: old.version,
            changes: difference::between(&old.map, &change.map),
            digest,
        };
        let copying = self.bounds.map_or(0.0, |it| f64::from(it.copy) / MICROS_PER_MILLI);
        let copying = copying * change.max_copies as f64 * PREPARE_TIMEOUT_FACTOR;
        let deadline = now + copying as Millis + PREPARE_TIMEOUT_MARGIN;
        self.proposed =
            Some(Proposed { version, deadline, switching: false, lag: change.lag_after });
        let mut list = self.forward_proposal(&proposal);
        list.extend(self.prepare(version, change.map.clone()));
        list
    }

    /// Proposes the switch once all ranks have prepared the map. Ends the proposal once its map is
    /// in force.
    pub(super) fn try_switch(&mut self, now: Millis) -> Vec<Action> {
        let (Some(group), Some(member), Some(proposed)) =
            (&self.group, &mut self.member, &mut self.proposed)
        else {
            return Vec::new();
        };
        let version = proposed.version;
        let epoch = group.reading.epoch;
        let ready = |it: &&RankStatus| it.prepared == version && it.epoch == epoch;
        let others = self.ranks.values().filter(ready).count();
        let all = group.reading.prepared == Some(version) && others + 1 == usize::from(group.size);
        if group.reading.version >= version {
            self.calibration.map_applied(now, proposed.lag);
            self.outdated = false;
            self.proposed = None;
            return Vec::new();
        }
        if !all || proposed.switching || !member.is_free() {
            return Vec::new();
        }
        proposed.switching = true;
        let steps = self.ranks.values().filter(|it| it.epoch == epoch).map(|it| it.step);
        let known = steps.max().unwrap_or(0);
        let own_unanswered = self.last_unanswered_at.is_some_and(|at| now < at + UNANSWERED_WINDOW);
        let orders_unanswered = own_unanswered || self.ranks.values().any(|it| it.unanswered);
        let lead = if orders_unanswered { SWITCH_LEAD + EXTRA_SWITCH_LEAD } else { SWITCH_LEAD };
        let ahead = if self.pass_ms > 0.0 { (lead as f64 / self.pass_ms).ceil() as u64 } else { 0 };
        let step = known.max(group.reading.step) + ahead.max(MIN_LEAD_PASSES) + 1;
        let plan = Plan { version, step };
        slog::info!(self.log, "switch proposed"; "version" => version, "at" => step,
            "step" => group.reading.step, "pass" => self.pass_ms);
        let outputs = member.propose(plan);
        self.carry_out(outputs)
    }
}

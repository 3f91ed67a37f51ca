// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Targets that are ranks of a group: whether the group is closed, when it becomes ready, how many
//! streams it may run, and whether its other ranks can take over the requests of a degraded one.
//!
//! A service may have several groups. Agents report the group of their rank.

use std::collections::BTreeMap;

use sablepass_core::declaration::Kind;
use sablepass_core::expert::rebalance::INITIAL_LAG;
use sablepass_core::forming::{self, Forming, Opens, Ranks, Times};
use sablepass_core::id::Millis;
use sablepass_core::membership::Pace;
use sablepass_core::starts::Room;

use crate::targets::eligibility::Demand;
use crate::targets::shares::Share;
use crate::targets::{Served, Targets};

/// Requests are moved away from severely degraded targets while fewer than one in this many of
/// their service are: after a move, the new target has to process the prompt again.
const CRAWLING_DIVISOR: usize = 4;

/// Fraction of the pause allowed for callers that a pass may take: the rest is left for the
/// transmission to them, and for ranks that run one request more than the mean.
const PASS_TO_PAUSE_RATIO: f64 = 0.95;
/// Smallest fraction of its places that a group uses: no caller waits while half of them are free.
const MIN_PLACES_RATIO: f64 = 0.5;
/// Largest fraction of its places that a group uses: entries choose by reports that are up to
/// 200 ms old and do not fill all ranks evenly, so above this fraction streams queue at some ranks,
/// whose passes take longest.
const MAX_PLACES_RATIO: f64 = 0.85;
/// Lag assumed for the map of an open group until its planner reports one: the planner may have
/// restarted while the engines kept running, in which case their last map is balanced. The slots of
/// the ranks limit the number of streams in any case.
const ASSUMED_LAG: f64 = 1.0;
/// Units of a reported lag per unit of relative lag: lags are reported in thousandths.
const LAG_SCALE: f64 = 1_000.0;

impl Targets {
    /// Whether a target that may run a request belongs to a closed group, one of whose ranks is
    /// missing.
    pub fn has_closed_group(&self, now: Millis, demand: Demand<'_>) -> bool {
        let closed =
            |name: &String| self.members.closed(now, name) || self.is_in_broken_group(name);
        self.permitted(demand).any(closed)
    }

    /// Whether all targets of a service are ranks of one group, so that the end of one target stops
    /// all of them. Ranks that have not reported their group are assumed to be in the same one: a
    /// rank may end before its first report.
    pub fn is_single_group(&self, served: &Served) -> bool {
        let reported =
            |groups: &BTreeMap<u32, Forming>| groups.keys().filter(|it| **it != 0).count();
        self.forming_time(served).is_some()
            && self.groups.get(served).is_some_and(|it| !it.is_empty() && reported(it) <= 1)
    }

    /// Updates the set of groups that have lost a rank and have not noticed yet.
    pub(super) fn update_broken_groups(&mut self, now: Millis) {
        let broken = self.listed.iter().filter_map(|(name, listed)| {
            let group = self.members.lost_rank(now, name, self.options.group_stall)?;
            Some((listed.instance.serves.clone(), group))
        });
        self.broken_groups = broken.collect();
    }

    /// Whether a target's group has lost a rank and has not noticed yet.
    pub(super) fn is_in_broken_group(&self, name: &str) -> bool {
        if self.broken_groups.is_empty() {
            return false;
        }
        let (Some(listed), Some(member)) = (self.listed.get(name), self.members.get(name)) else {
            return false;
        };
        self.broken_groups.contains(&(listed.instance.serves.clone(), member.report.group))
    }

    /// Updates the state of all groups from the reports of their ranks.
    pub fn update_groups(&mut self, now: Millis) {
        let young = self.in_grace_period(now);
        let services: Vec<Served> =
            self.serving.keys().filter(|it| self.forming_time(it).is_some()).cloned().collect();
        self.groups.retain(|it, _| services.contains(it));
        for served in services {
            let ranks = self.ranks_by_group(now, &served);
            let groups = self.groups.entry(served).or_default();
            groups.retain(|it, _| ranks.contains_key(it));
            for (group, ranks) in ranks {
                groups.entry(group).or_default().watch(now, ranks, young);
            }
        }
    }

    /// This entry's share of all targets of a service that are not evacuated, whether or not they
    /// may get work now. Its load is 0.
    pub fn total_share(&self, demand: Demand<'_>) -> Share {
        let current = self.permitted(demand).filter(|it| !self.replaced.contains(*it));
        let capacities = current.filter_map(|it| Some(self.listed.get(it)?.instance.capacity));
        let capacities: Vec<u32> = capacities.collect();
        let capacity = f64::from(capacities.iter().sum::<u32>()) / self.sharers.count() as f64;
        Share { capacity, slots: capacity, load: 0.0, targets: capacities.len() as f64 }
    }

    /// Capacity of a service for streams of this entry. Passes must leave callers no longer pause
    /// than `pause` milliseconds.
    pub fn start_room(&self, now: Millis, demand: Demand<'_>, pause: f64) -> Room {
        let served = demand.served;
        let service = self.catalogue.services.get(&served.1);
        let Some(times) = service.and_then(|it| it.engine.as_ref()?.times()) else {
            return Room::Free;
        };
        let pass_ms = pause * PASS_TO_PAUSE_RATIO;
        let entries = self.entries_per_target(demand);
        let places = |share: &Share, lag: f64, taking: f64| {
            let sequences = times.sequences_of_part(pass_ms, lag, taking) * share.targets / entries;
            sequences.clamp(share.slots * MIN_PLACES_RATIO, share.slots * MAX_PLACES_RATIO)
        };
        let shares = self.shares_by_group(now, demand);
        if !shares.is_empty() {
            let (mut total, mut load) = (0.0, 0.0);
            for (group, share) in &shares {
                let lag = self.lag(now, served, *group).unwrap_or(ASSUMED_LAG);
                total += places(share, lag, self.taking_part(demand, Some(*group)));
                load += share.load;
            }
            let ranks: f64 = shares.values().map(|it| it.targets).sum();
            return Room::Open { places: total, load, reads: ranks / entries };
        }
        if !self.has_closed_group(now, demand) && !self.is_forming(demand) {
            return Room::Free;
        }
        let Some(Opens { within, sure }) = self.opens(now, demand) else { return Room::Closed };
        let share = self.total_share(demand);
        let taking = self.taking_part(demand, None);
        Room::Opens { within, places: places(&share, INITIAL_LAG, taking), sure }
    }

    /// Lag of a group's map, relative to a balanced one, as its planner reported it recently.
    fn lag(&self, now: Millis, served: &Served, group: u32) -> Option<f64> {
        let names = self.serving.get(served)?;
        let ranks = names.iter().filter(|it| {
            let member = self.members.get(it);
            member.is_some_and(|it| it.report.group == group)
        });
        let lags = ranks.filter_map(|it| self.members.lag(now, it));
        lags.max().map(|it| f64::from(it) / LAG_SCALE)
    }

    /// Whether requests for a service with closed groups should wait, since one of the groups is
    /// expected to become ready soon.
    pub fn opens_soon(&self, now: Millis, demand: Demand<'_>) -> bool {
        self.opens(now, demand).is_some()
    }

    /// When the first of the closed groups that may run a request is expected to become ready; none
    /// if unknown.
    fn opens(&self, now: Millis, demand: Demand<'_>) -> Option<Opens> {
        let form = self.forming_time(demand.served).unwrap_or(0);
        let times = Times { form, stall: self.options.group_stall };
        self.permitted_groups(demand).filter_map(|it| it.opens(now, times)).min()
    }

    /// Whether a group that may run a request is closed by the reports of its ranks.
    fn is_forming(&self, demand: Demand<'_>) -> bool {
        self.permitted_groups(demand).any(Forming::is_closed)
    }

    /// The groups of a service that may run a request.
    fn permitted_groups<'a>(&'a self, demand: Demand<'a>) -> impl Iterator<Item = &'a Forming> {
        let groups = self.groups.get(demand.served).into_iter().flatten();
        let permitted = groups.filter(move |it| self.is_group_permitted(demand, *it.0));
        permitted.map(|(_, forming)| forming)
    }

    /// Whether a group of a service has a rank that may run a request. Ranks that have not reported
    /// yet may belong to any group.
    pub(super) fn is_group_permitted(&self, demand: Demand<'_>, group: u32) -> bool {
        let may_belong = |name: &String| {
            let member = self.members.get(name);
            member.is_none_or(|it| !it.reported || it.report.group == group)
        };
        let unrestricted = demand.scope.is_any() && !self.has_evacuations();
        unrestricted || self.permitted(demand).any(may_belong)
    }

    /// Whether this process received its first instance list so recently that the state of ranks
    /// may still be unknown.
    fn in_grace_period(&self, now: Millis) -> bool {
        let agents = self.options.agent_port.is_some();
        agents && self.first_list_at.is_some_and(|since| now < since + forming::GRACE)
    }

    /// Declared time from the return of the last rank until the group becomes ready; none if the
    /// service has no groups.
    fn forming_time(&self, served: &Served) -> Option<Millis> {
        let service = self.catalogue.services.get(&served.1)?;
        Some(service.engine.as_ref()?.ranks.as_ref()?.form as Millis)
    }

    /// Number of ranks of a service in each state, by group. Ranks that have not reported yet may
    /// belong to any group, and count for each of them.
    fn ranks_by_group(&self, now: Millis, served: &Served) -> BTreeMap<u32, Ranks> {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        let mut groups: BTreeMap<u32, Ranks> = BTreeMap::new();
        let mut unknown = 0;
        for name in names.iter().filter(|it| !self.replaced.contains(*it)) {
            let Some(member) = self.members.get(name).filter(|it| !it.leaving) else { continue };
            if !member.reported {
                unknown += 1;
                continue;
            }
            let ranks = groups.entry(member.report.group).or_default();
            ranks.size = ranks.size.max(member.report.size);
            ranks.closed += u32::from(self.members.closed(now, name));
        }
        if groups.is_empty() {
            groups.insert(0, Ranks::default());
        }
        // Unknown ranks count only for groups that may be closed. Otherwise they are assumed to be
        // ready, since this process and the agents may have restarted while the targets kept
        // running.
        let suspected = self.suspected_closed.contains(&served.1);
        for ranks in groups.values_mut().filter(|it| it.closed > 0 || suspected) {
            ranks.unknown = unknown;
        }
        groups
    }

    /// Whether a rank that has not reported yet may belong to a closed group. That applies only
    /// shortly after this process received its first instance list.
    pub(super) fn may_be_closed(&self, now: Millis, name: &str) -> bool {
        let Some(listed) = self.listed.get(name).filter(|_| self.in_grace_period(now)) else {
            return false;
        };
        let groups = self.groups.get(&(Kind::Service, listed.instance.serves.clone()));
        groups.is_some_and(|it| it.values().any(Forming::is_closed))
            && self.members.get(name).is_some_and(|it| !it.reported)
    }

    /// Records that a target refused a request without running any of it, and backs the target off
    /// until `until`. If its agent has not reported yet, its group may be closed.
    pub fn record_refusal(&mut self, now: Millis, name: &str, until: Millis) {
        self.back_off(name, until);
        let unreported = self.members.get(name).is_some_and(|it| !it.reported);
        if let Some(listed) =
            self.listed.get(name).filter(|_| unreported && self.in_grace_period(now))
        {
            self.suspected_closed.insert(listed.instance.serves.clone());
            self.update_groups(now);
        }
    }

    /// Whether so few targets that may run a request are severely degraded that the others can
    /// take it over.
    pub fn can_take_over(&self, demand: Demand<'_>) -> bool {
        let degraded =
            |it: &&String| self.members.get(it).is_some_and(|it| it.report.pace == Pace::Crawling);
        let count = self.permitted(demand).filter(degraded).count();
        count * CRAWLING_DIVISOR < self.permitted(demand).count()
    }
}

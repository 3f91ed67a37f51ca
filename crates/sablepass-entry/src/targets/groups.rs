// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Targets that are ranks of a group: whether it is closed, whether it opens
//! soon, and whether the others can take over what a crawling one has.
//!
//! A service may have several groups. Agents tell which one their rank is of.

use std::collections::BTreeMap;

use sablepass_core::declaration::Kind;
use sablepass_core::expert::rebalance::INITIAL_LAG;
use sablepass_core::forming::{self, Forming, Opens, Ranks, Times};
use sablepass_core::id::Millis;
use sablepass_core::membership::Pace;
use sablepass_core::starts::Room;

use crate::targets::shares::Share;
use crate::targets::{Served, Targets};

/// Targets of a kind are relieved while fewer than one in so many crawls: a
/// move costs the others the prompt once more.
const CRAWLING_DIVISOR: usize = 4;

/// Part of the pause allowed to callers that a pass may take: the rest is for
/// the way to them and for ranks with a request more than the mean.
const PASS_TO_PAUSE_RATIO: f64 = 0.95;
/// Part of its places that a group is always given: no caller waits while half
/// of them are free.
const MIN_PLACES_RATIO: f64 = 0.5;
/// Part of its places that a group is given at most: entries choose by reports that
/// are 200 ms old and do not fill all of them evenly, so that beyond it streams
/// queue at some ranks, and passes at these are the longest.
const MAX_PLACES_RATIO: f64 = 0.85;
/// Lag that the map of an open group is taken to have while its planner has not
/// told: its processes may have started anew beside engines that went on, and
/// their last map is even. The slots of its ranks bound it all the same.
const ASSUMED_LAG: f64 = 1.0;
/// Parts in which a lag is told.
const LAG_SCALE: f64 = 1_000.0;

impl Targets {
    /// Whether what serves is there and closed: its group is not complete.
    pub fn has_closed_group(&self, now: Millis, served: &Served) -> bool {
        let names = self.serving.get(served);
        let closed =
            |name: &String| self.members.closed(now, name) || self.is_in_broken_group(name);
        names.is_some_and(|it| it.iter().any(closed))
    }

    /// Whether all targets of what serves are ranks of one group, so that the end of one
    /// stops all.
    pub fn is_single_group(&self, served: &Served) -> bool {
        self.forming_time(served).is_some()
            && self.groups.get(served).is_some_and(|it| it.len() == 1)
    }

    /// Looks which groups have lost a rank and do not know it yet.
    pub(super) fn update_broken_groups(&mut self, now: Millis) {
        let broken = self.listed.iter().filter_map(|(name, it)| {
            let group = self.members.lost_rank(now, name, self.options.group_stall)?;
            Some((it.instance.serves.clone(), group))
        });
        self.broken_groups = broken.collect();
    }

    /// Whether a target's group is one of those.
    pub(super) fn is_in_broken_group(&self, name: &str) -> bool {
        if self.broken_groups.is_empty() {
            return false;
        }
        let (Some(it), Some(member)) = (self.listed.get(name), self.members.get(name)) else {
            return false;
        };
        self.broken_groups.contains(&(it.instance.serves.clone(), member.report.group))
    }

    /// Looks at the groups again.
    pub fn update_groups(&mut self, now: Millis) {
        let young = self.in_grace_period(now);
        let served: Vec<Served> =
            self.serving.keys().filter(|it| self.forming_time(it).is_some()).cloned().collect();
        self.groups.retain(|it, _| served.contains(it));
        for it in served {
            let ranks = self.ranks_by_group(now, &it);
            let groups = self.groups.entry(it).or_default();
            groups.retain(|it, _| ranks.contains_key(it));
            for (group, ranks) in ranks {
                groups.entry(group).or_default().watch(now, ranks, young);
            }
        }
    }

    /// This entry's part of what serves, whether it takes work or not.
    pub fn total_share(&self, served: &Served) -> Share {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        let there = names.iter().filter(|it| !self.replaced.contains(*it));
        let places = there.filter_map(|it| Some(self.listed.get(it)?.instance.capacity));
        let places: Vec<u32> = places.collect();
        let capacity = f64::from(places.iter().sum::<u32>()) / self.sharers.count() as f64;
        Share { capacity, load: 0.0, targets: places.len() as f64 }
    }

    /// What serves has for streams that fall to this entry, whose passes are to
    /// take no longer than `pause`.
    pub fn start_room(&self, now: Millis, served: &Served, pause: f64) -> Room {
        let service = self.catalogue.services.get(&served.1);
        let Some(times) = service.and_then(|it| it.engine.as_ref()?.times()) else {
            return Room::Free;
        };
        let pause = pause * PASS_TO_PAUSE_RATIO;
        let sharing = self.entries_per_target(served);
        let places = |it: &Share, lag: f64| {
            let sequences = times.sequences(pause, lag) * it.targets / sharing;
            sequences.clamp(it.capacity * MIN_PLACES_RATIO, it.capacity * MAX_PLACES_RATIO)
        };
        let shares = self.shares_by_group(now, served);
        if !shares.is_empty() {
            let (mut all, mut load) = (0.0, 0.0);
            for (group, it) in &shares {
                let lag = self.lag(now, served, *group).unwrap_or(ASSUMED_LAG);
                all += places(it, lag);
                load += it.load;
            }
            let ranks: f64 = shares.values().map(|it| it.targets).sum();
            return Room::Open { places: all, load, reads: ranks / sharing };
        }
        if !self.has_closed_group(now, served) && !self.is_forming(served) {
            return Room::Free;
        }
        let Some(Opens { within, sure }) = self.opens(now, served) else { return Room::Closed };
        let it = self.total_share(served);
        Room::Opens { within, places: places(&it, INITIAL_LAG), sure }
    }

    /// Lag of a group's map, as its planner told it.
    fn lag(&self, now: Millis, served: &Served, group: u32) -> Option<f64> {
        let names = self.serving.get(served)?;
        let there = names.iter().filter(|it| {
            let member = self.members.get(it);
            member.is_some_and(|it| it.report.group == group)
        });
        let lags = there.filter_map(|it| self.members.lag(now, it));
        lags.max().map(|it| f64::from(it) / LAG_SCALE)
    }

    /// Whether work for closed groups had better wait: one of them opens soon.
    pub fn opens_soon(&self, now: Millis, served: &Served) -> bool {
        self.opens(now, served).is_some()
    }

    /// When the first of the closed groups opens, as far as is known.
    fn opens(&self, now: Millis, served: &Served) -> Option<Opens> {
        let times =
            Times { form: self.forming_time(served).unwrap_or(0), stall: self.options.group_stall };
        let groups = self.groups.get(served)?;
        groups.values().filter_map(|it| it.opens(now, times)).min()
    }

    fn is_forming(&self, served: &Served) -> bool {
        self.groups.get(served).is_some_and(|it| it.values().any(Forming::is_closed))
    }

    fn in_grace_period(&self, now: Millis) -> bool {
        let agents = self.options.agent_port.is_some();
        agents && self.first_list_at.is_some_and(|since| now < since + forming::GRACE)
    }

    /// The declared time from the return of the last rank to the group's next
    /// step; none if what serves is no group.
    fn forming_time(&self, served: &Served) -> Option<Millis> {
        let service = self.catalogue.services.get(&served.1)?;
        Some(service.engine.as_ref()?.ranks.as_ref()?.form as Millis)
    }

    /// What is known of the ranks, by group. Those of which nothing is known yet
    /// may be of any.
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
        // Where nothing speaks against it, a rank counts as good: processes of
        // this system may have started anew while their targets went on.
        let suspect = self.suspected_closed.contains(&served.1);
        for ranks in groups.values_mut().filter(|it| it.closed > 0 || suspect) {
            ranks.unknown = unknown;
        }
        groups
    }

    /// Whether a rank may be of a closed group, as this process has only begun
    /// to learn how ranks stand.
    pub(super) fn may_be_closed(&self, now: Millis, name: &str) -> bool {
        let Some(it) = self.listed.get(name).filter(|_| self.in_grace_period(now)) else {
            return false;
        };
        let group = self.groups.get(&(Kind::Service, it.instance.serves.clone()));
        group.is_some_and(|it| it.values().any(Forming::is_closed))
            && self.members.get(name).is_some_and(|it| !it.reported)
    }

    /// Records that a target ran nothing of what it was sent, and is left alone
    /// until `until`. Before its agent was heard that may mean that its group
    /// is closed.
    pub fn record_refusal(&mut self, now: Millis, name: &str, until: Millis) {
        self.back_off(name, until);
        let unheard = self.members.get(name).is_some_and(|it| !it.reported);
        if let Some(it) = self.listed.get(name).filter(|_| unheard && self.in_grace_period(now)) {
            self.suspected_closed.insert(it.instance.serves.clone());
            self.update_groups(now);
        }
    }

    /// Whether so few of the targets that serve the same crawl that the others
    /// can take over what runs there.
    pub fn can_take_over(&self, served: &Served) -> bool {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        let crawls =
            |it: &&String| self.members.get(it).is_some_and(|it| it.report.pace == Pace::Crawling);
        names.iter().filter(crawls).count() * CRAWLING_DIVISOR < names.len()
    }
}

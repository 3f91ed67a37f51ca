// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! This entry's share of the capacity and load of a service, in total and by group.

use std::collections::BTreeMap;

use sablepass_core::id::Millis;

use crate::targets::Targets;
use crate::targets::eligibility::Demand;

/// Share of an entry in the capacity and load of a model or service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Requests that may run at once.
    pub capacity: f64,
    /// The same, regardless of the rates of cold targets: streams that wait to start need free
    /// slots and turns, so that their number need not be limited twice.
    pub slots: f64,
    /// Requests that run or are queued.
    pub load: f64,
    /// Number of targets counted, not divided among entries.
    pub targets: f64,
}

impl Targets {
    /// This entry's share of the targets of a model or service that may get work now. Targets are
    /// shared with the other entries that use them.
    pub fn share(&self, now: Millis, demand: Demand<'_>) -> Share {
        let mut sum = Share::default();
        for share in self.shares_by_group(now, demand).into_values() {
            sum.capacity += share.capacity;
            sum.slots += share.slots;
            sum.load += share.load;
            sum.targets += share.targets;
        }
        sum
    }

    /// The same as [`Self::share`], by group id.
    pub(super) fn shares_by_group(&self, now: Millis, demand: Demand<'_>) -> BTreeMap<u32, Share> {
        let Demand { served, scope } = demand;
        let mut shares: BTreeMap<u32, Share> = BTreeMap::new();
        let Some(subset) = self.subsets.get(served) else { return shares };
        let entries = self.entries_per_target(demand);
        let available = subset.iter().filter(|it| self.is_available(now, it, scope)).collect();
        for name in self.prefer_responsive(available) {
            let (Some(candidate), Some(member)) =
                (self.candidate(now, name), self.members.get(name))
            else {
                continue;
            };
            let share = shares.entry(member.report.group).or_default();
            let used = member.share(entries) * entries;
            let slots = self.limited_capacity(name, f64::from(candidate.capacity));
            let capacity = self.cold_capacity(now, name, slots, used);
            share.slots += slots / entries;
            share.capacity += capacity / entries;
            share.load += member.share(entries).min(capacity);
            share.targets += 1.0;
        }
        shares
    }

    /// Mean number of entries that share a target that may run a request.
    pub(super) fn entries_per_target(&self, demand: Demand<'_>) -> f64 {
        let subset = self.subsets.get(demand.served).map(Vec::as_slice).unwrap_or_default();
        let permitted = subset.iter().filter(|it| self.is_permitted(it, demand.scope));
        let (subset, all) =
            (permitted.count() as f64, self.permitted(demand).count().max(1) as f64);
        (self.sharers.count() as f64 * subset / all).max(1.0)
    }
}

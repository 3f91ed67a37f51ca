// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What of a service falls to this entry: capacity and load, in all and by group.

use std::collections::BTreeMap;

use sablepass_core::id::Millis;

use crate::targets::{Served, Targets};

/// Capacity and load of a model that fall to this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Requests.
    pub capacity: f64,
    /// Requests.
    pub load: f64,
    /// Targets that may get new work.
    pub targets: f64,
}

impl Targets {
    /// Capacity and load of a model that fall to this entry: targets are
    /// shared with the other entries that keep connections to them.
    pub fn share(&self, now: Millis, served: &Served) -> Share {
        let mut sum = Share::default();
        for it in self.shares_by_group(now, served).into_values() {
            sum.capacity += it.capacity;
            sum.load += it.load;
            sum.targets += it.targets;
        }
        sum
    }

    /// The same by group.
    pub(super) fn shares_by_group(&self, now: Millis, served: &Served) -> BTreeMap<u32, Share> {
        let mut shares: BTreeMap<u32, Share> = BTreeMap::new();
        let Some(subset) = self.subsets.get(served) else { return shares };
        let sharing = self.entries_per_target(served);
        let open = subset.iter().filter(|it| self.is_available(now, it)).collect();
        for name in self.prefer_responsive(open) {
            let (Some(it), Some(member)) = (self.candidate(now, name), self.members.get(name))
            else {
                continue;
            };
            let share = shares.entry(member.report.group).or_default();
            let places = self.limited_capacity(name, f64::from(it.capacity));
            share.capacity += places / sharing;
            share.load += member.share(sharing).min(places);
            share.targets += 1.0;
        }
        shares
    }

    /// Entries that share a target of what serves.
    pub(super) fn entries_per_target(&self, served: &Served) -> f64 {
        let subset = self.subsets.get(served).map_or(0, Vec::len) as f64;
        let declared = self.serving.get(served).map_or(1, Vec::len).max(1) as f64;
        (self.sharers.count() as f64 * subset / declared).max(1.0)
    }
}

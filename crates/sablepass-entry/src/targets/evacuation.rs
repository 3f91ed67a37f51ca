// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Evacuated data halls: which targets are in them, and since when this process knows it. A target
//! in an evacuated hall gets no requests, and counts neither as capacity nor for expected waits.
//!
//! The declarations determine which halls are evacuated. A declared target is subject to the
//! evacuations of its own partner, a target of the instance list to those of the platform's store.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use sablepass_core::catalogue::Catalogue;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::revision::Revision;

use crate::targets::eligibility::Demand;
use crate::targets::{Served, Targets};

/// Number of halls whose metric is kept after their evacuation, so that names that operators write
/// cannot fill the metrics.
const MAX_ENDED_HALLS: usize = 64;

/// An evacuation of a hall by a partner, by all of its documents together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// When this process learnt of it.
    pub since: Millis,
    /// Revision of the first document that declares it.
    pub revision: Revision,
}

/// A hall whose evacuation began or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallChange {
    /// Name of the hall.
    pub hall: String,
    /// The partner that evacuates it.
    pub partner: String,
    /// The evacuation, as it was known last.
    pub evacuation: Evacuation,
    /// The targets that it applies to.
    pub targets: Vec<String>,
}

/// Evacuations that began or ended with new declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Evacuations that began.
    pub began: Vec<HallChange>,
    /// Evacuations that ended.
    pub ended: Vec<HallChange>,
    /// Targets that may get requests again, since no evacuation applies to them any more.
    pub released: Vec<String>,
}

/// Evacuations by hall and partner. Bounded by the documents that declare them.
type Halls = BTreeMap<String, BTreeMap<String, Evacuation>>;

/// The evacuations in force.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: Halls,
    /// Services for which a refusal was reported since an evacuation last began or ended.
    reported: HashSet<Served>,
    /// Halls whose evacuation ended, the latest at the end.
    ended_halls: VecDeque<String>,
}

impl Evacuations {
    /// The evacuations that declarations contain. Those known before keep the time at which this
    /// process learnt of them.
    fn next(&self, now: Millis, catalogue: &Catalogue) -> Halls {
        let mut next = Halls::new();
        for it in &catalogue.evacuations {
            let since = get(&self.halls, &it.hall, &it.partner).map_or(now, |it| it.since);
            let partners = next.entry(it.hall.clone()).or_default();
            let first = Evacuation { since, revision: it.revision };
            partners.entry(it.partner.clone()).or_insert(first);
        }
        next
    }

    /// Records that the evacuation of a hall ended. Returns a hall whose metric is to be dropped.
    fn record_end(&mut self, hall: &str) -> Option<String> {
        self.ended_halls.retain(|it| it != hall);
        self.ended_halls.push_back(hall.to_owned());
        if self.ended_halls.len() <= MAX_ENDED_HALLS {
            return None;
        }
        self.ended_halls.pop_front().filter(|it| !self.halls.contains_key(it))
    }
}

fn get(halls: &Halls, hall: &str, partner: &str) -> Option<Evacuation> {
    halls.get(hall)?.get(partner).copied()
}

/// All evacuations: hall, partner and the evacuation.
fn all(halls: &Halls) -> impl Iterator<Item = (&str, &str, Evacuation)> {
    halls.iter().flat_map(|(hall, partners)| {
        partners.iter().map(move |(partner, it)| (hall.as_str(), partner.as_str(), *it))
    })
}

/// The evacuations that `others` does not contain.
fn missing(halls: &Halls, others: &Halls) -> Vec<(String, String, Evacuation)> {
    let missing = all(halls).filter(|it| get(others, it.0, it.1).is_none());
    missing.map(|it| (it.0.to_owned(), it.1.to_owned(), it.2)).collect()
}

impl Targets {
    /// Applies the evacuations of the declarations in force. Returns what began and ended, and
    /// which targets were released.
    pub(super) fn update_evacuations(&mut self, now: Millis) -> Changes {
        if self.evacuations.halls.is_empty() && self.catalogue.evacuations.is_empty() {
            return Changes::default();
        }
        let next = self.evacuations.next(now, &self.catalogue);
        let began = missing(&next, &self.evacuations.halls);
        let ended = missing(&self.evacuations.halls, &next);
        let before = self.evacuated_targets();
        self.evacuations.halls = next;
        if !began.is_empty() || !ended.is_empty() {
            self.evacuations.reported.clear();
        }
        let released = before.into_iter().filter(|it| !self.is_evacuated(it)).collect();
        let change = |(hall, partner, evacuation): (String, String, Evacuation)| HallChange {
            targets: self.targets_in(&hall, &partner),
            hall,
            partner,
            evacuation,
        };
        Changes {
            began: began.into_iter().map(change).collect(),
            ended: ended.into_iter().map(change).collect(),
            released,
        }
    }

    /// Names of the targets that a partner's evacuation of a hall applies to.
    fn targets_in(&self, hall: &str, partner: &str) -> Vec<String> {
        let listed = self.listed.iter().filter(|_| self.options.evacuates_listed);
        let listed = listed.filter(|(_, it)| it.instance.hall == hall).map(|it| it.0);
        let declared = self.catalogue.targets.iter().filter(|(name, it)| {
            it.partner == partner && it.resource.hall == hall && !self.listed.contains_key(*name)
        });
        listed.chain(declared.map(|it| it.0)).cloned().collect()
    }

    fn evacuated_targets(&self) -> BTreeSet<String> {
        let targets = all(&self.evacuations.halls).flat_map(|it| self.targets_in(it.0, it.1));
        targets.collect()
    }

    /// The evacuation that applies to a target; the earliest if there are several.
    fn evacuation(&self, name: &str) -> Option<Evacuation> {
        if self.evacuations.halls.is_empty() {
            return None;
        }
        if let Some(listed) = self.listed.get(name).filter(|_| self.options.evacuates_listed) {
            let partners = self.evacuations.halls.get(&listed.instance.hall)?;
            return partners.values().min_by_key(|it| it.since).copied();
        }
        let declared = self.catalogue.targets.get(name)?;
        get(&self.evacuations.halls, &declared.resource.hall, &declared.partner)
    }

    /// Whether a target is in an evacuated hall.
    pub fn is_evacuated(&self, name: &str) -> bool {
        self.evacuation(name).is_some()
    }

    /// Whether any hall is evacuated.
    pub fn has_evacuations(&self) -> bool {
        !self.evacuations.halls.is_empty()
    }

    /// Whether a hall is evacuated by any partner.
    pub fn is_hall_evacuated(&self, hall: &str) -> bool {
        self.evacuations.halls.contains_key(hall)
    }

    /// Records that the evacuation of a hall ended. Returns a hall whose metric is to be dropped.
    pub fn record_evacuation_end(&mut self, hall: &str) -> Option<String> {
        self.evacuations.record_end(hall)
    }

    /// The evacuations in force: hall, partner and the evacuation.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, &str, Evacuation)> {
        all(&self.evacuations.halls)
    }

    /// Number of listed targets in evacuated halls.
    pub(super) fn evacuated_count(&self) -> usize {
        self.listed.keys().filter(|it| self.is_evacuated(it)).count()
    }

    /// Whether a target was known to be evacuated before `sent`, when a request was sent to it.
    pub fn was_evacuated_before(&self, incarnation: TargetIncarnation<'_>, sent: Millis) -> bool {
        !self.is_former_incarnation(incarnation)
            && self.evacuation(incarnation.name).is_some_and(|it| sent > it.since)
    }

    /// Whether every target that could serve a request is evacuated. Only the `owner` of a
    /// request's idempotency key could serve that request.
    pub fn is_all_evacuated(&self, now: Millis, demand: Demand<'_>, owner: Option<&str>) -> bool {
        if !self.has_evacuations() {
            return false;
        }
        if let Some(owner) = owner {
            return self.is_evacuated(owner);
        }
        let names = self.serving.get(demand.served).map(Vec::as_slice).unwrap_or_default();
        let mut able = names.iter().filter(|it| {
            self.is_in_scope(it, demand.scope)
                && !self.replaced.contains(*it)
                && !self.is_leaving(now, it)
        });
        let mut is_any = false;
        able.all(|it| {
            is_any = true;
            self.is_evacuated(it)
        }) && is_any
    }

    /// Whether this is the first refusal of a service since an evacuation last began or ended, so
    /// that it is to be reported.
    pub fn is_first_refusal(&mut self, served: &Served) -> bool {
        self.evacuations.reported.insert(served.clone())
    }

    /// The names of targets of which none is evacuated.
    pub(super) fn without_evacuated<'a>(
        &'a self,
        names: &'a [String],
    ) -> impl Iterator<Item = &'a String> {
        names.iter().filter(|it| !self.is_evacuated(it))
    }

    /// Part of the ranks of a service that take requests, in one group or in all groups that take
    /// any; above 0 and up to 1.
    pub(super) fn taking_part(&self, demand: Demand<'_>, group: Option<u32>) -> f64 {
        if !self.has_evacuations() {
            return 1.0;
        }
        let (mut taking, mut all) = (0.0, 0.0);
        for name in self.serving.get(demand.served).map(Vec::as_slice).unwrap_or_default() {
            let Some(member) = self.members.get(name) else { continue };
            let fits = match group {
                Some(group) => member.reported && member.report.group == group,
                None => self.is_group_permitted(demand, member.report.group),
            };
            if fits {
                all += 1.0;
                taking += f64::from(u8::from(!self.is_evacuated(name)));
            }
        }
        if taking > 0.0 { taking / all } else { 1.0 }
    }
}

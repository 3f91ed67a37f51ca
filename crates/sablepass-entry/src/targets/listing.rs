// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Applies the instance list to the target table: which targets exist, which have restarted or
//! left, and which target an address belongs to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use sablepass_core::balance;
use sablepass_core::cold;
use sablepass_core::declaration::Kind;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::revision::Revision;
use sablepass_edge::instance::{Instance, Role};
use sablepass_edge::mesh::Listing;

use crate::pool::Destination;
use crate::targets::{Listed, Missing, Options, Targets};

/// Time after the end of an outage of the list's service by which running targets whose lines
/// expired are listed again: two seconds, and the time to read the list.
const RELIST_TIME: Millis = 2_500;
/// Part of the drain time for noticing the end of an outage, and for the last request to arrive.
const DRAIN_MARGIN: Millis = 600;
/// How long a target is kept that the list no longer contains, since requests may still run there.
const MISSING_RETENTION: Millis = 1_200;

/// Differences between a new instance list and the state known before.
#[derive(Debug, Default)]
pub struct Changes {
    /// Targets that were removed from the table.
    pub gone: Vec<String>,
    /// Targets that restarted under the same name.
    pub restarted: Vec<String>,
    /// Restarted targets whose previous incarnation had a pause that had not expired.
    pub pauses_ended: Vec<String>,
    /// Whether the list was restored from a backup.
    pub restored: bool,
    /// Targets that an earlier list did not contain.
    pub added: Vec<String>,
    /// Targets that the list no longer contains, or not in their current incarnation.
    pub missing: Vec<String>,
    /// Targets that the list marks as leaving and that were not known to leave before.
    pub leaving: Vec<String>,
    /// Targets that the list marked as leaving and now marks as ready, in the same incarnation.
    pub ready_again: Vec<String>,
    /// Targets whose lines state that they became cold or no longer are.
    pub cold: Vec<(String, cold::Change)>,
}

impl Options {
    /// Time after the end of an outage of the list's service for which a missing target is used,
    /// since its line may have expired. A target that is removed after the outage must get no
    /// requests after its drain time.
    fn expiry_grace(&self) -> Millis {
        self.drain.saturating_sub(DRAIN_MARGIN).min(RELIST_TIME)
    }
}

impl Targets {
    /// Start time of a target's current incarnation; 0 if unknown.
    pub fn started_at(&self, name: &str) -> Millis {
        self.listed.get(name).map_or(0, |it| it.instance.born)
    }

    /// Revision of the list in which a target's line was written.
    pub fn line_revision(&self, name: &str) -> Revision {
        self.listed.get(name).map_or_else(Revision::default, |it| it.instance.revision)
    }

    /// Address and current incarnation of a listed target.
    pub fn destination<'a>(&self, target: &'a str) -> Option<Destination<'a>> {
        let instance = &self.listed.get(target)?.instance;
        Some(Destination { target, started_at: instance.born, addr: instance.addr })
    }

    /// Whether a target is missing from the list and counts as gone.
    pub(super) fn is_gone(&self, now: Millis, name: &str) -> bool {
        let missing = self.listed.get(name).and_then(|it| it.missing);
        missing.is_some_and(|it| now >= it.gone_at)
    }

    /// How much longer a target that the list no longer contains gets work; none if the list
    /// contains it.
    pub fn remaining_use(&self, now: Millis, name: &str) -> Option<Millis> {
        let missing = self.listed.get(name)?.missing?;
        Some(missing.gone_at.saturating_sub(now))
    }

    /// Whether a target is leaving, as announced by itself, its agent or the list.
    pub fn is_leaving(&self, now: Millis, name: &str) -> bool {
        let member = self.members.get(name);
        let has_left = self.has_left(now, self.incarnation(name));
        has_left
            || member.is_some_and(|it| it.leaving)
            || self.listed_leaving.iter().any(|it| it == name)
    }

    /// Applies a new instance list. Returns what changed.
    pub fn apply_list(&mut self, now: Millis, list: &Listing) -> Changes {
        let Listing { instances, revision, first_read, recovered_at } = list;
        let era = revision.era;
        let before = std::mem::replace(&mut self.era, era);
        let restored = before > 0 && before < era;
        let mut changes = Changes { restored, ..Changes::default() };
        let first = self.first_list_at.is_none();
        if !instances.is_empty() {
            self.first_list_at.get_or_insert(now);
        }
        let entries = instances.values().filter(|it| it.role == Role::Entry).count();
        self.listed_entries = entries;
        let leaving = instances.iter().filter(|(_, it)| it.leaving);
        self.listed_leaving = leaving.map(|(name, _)| name.clone()).collect();
        for (name, instance) in instances.iter().filter(|(_, it)| it.role == Role::Target) {
            if self.is_outdated(name, instance, *first_read) {
                continue;
            }
            let known = self.listed.get(name).map(|it| &it.instance);
            if known.is_some_and(|it| it.leaving && !instance.leaving && it.born == instance.born) {
                changes.ready_again.push(name.clone());
            }
            if self.listed.get(name).is_some_and(|known| known.instance.born != instance.born) {
                // Everything known about the target belongs to another incarnation.
                changes.restarted.push(name.clone());
                self.listed.remove(name);
                self.members.unlisted(name);
            }
            let incarnation = TargetIncarnation { name, started_at: instance.born };
            if self.notices.listed(now, incarnation) {
                changes.pauses_ended.push(name.clone());
            }
            // Recorded as a notice, which holds even if the line lapses and an older one is read.
            if instance.leaving && self.notices.leave(now, incarnation) {
                changes.leaving.push(name.clone());
            }
            self.members.listed(now, name, instance.leaving);
            let misdirected = self.listed.get(name).is_some_and(|it| it.misdirected);
            let known_line = self.listed.get(name).map(|it| it.instance.revision);
            let listed = Listed { instance: instance.clone(), missing: None, misdirected };
            if self.listed.insert(name.clone(), listed).is_none() && !first {
                changes.added.push(name.clone());
            }
            let change = self.cold_listed(now, name, instance, known_line);
            if matches!(change, cold::Change::Began(_) | cold::Change::Ended) {
                changes.cold.push((name.clone(), change));
            }
        }
        let is_there = |name: &String| {
            instances.get(name).is_some_and(|it| !self.is_outdated(name, it, *first_read))
        };
        let missing: Vec<String> = self.listed.keys().filter(|it| !is_there(it)).cloned().collect();
        for name in missing {
            if let Some(listed) = self.listed.get_mut(&name).filter(|it| it.missing.is_none()) {
                let gone_at = now.max(recovered_at + self.options.expiry_grace());
                listed.missing = Some(Missing { since: now, gone_at });
                changes.missing.push(name);
            }
        }
        changes.gone = self.remove_expired(now);
        changes
    }

    /// Whether a line does not describe a target's current incarnation. It may describe an earlier
    /// one than is known, as after the list was restored from a backup, or have no start time, as
    /// when another writer left it. A line with a start time that was written after `began` is
    /// never outdated, even if that start time is earlier: the clock of a restarted target may be
    /// behind.
    fn is_outdated(&self, name: &str, line: &Instance, began: Revision) -> bool {
        let listed = self.listed.get(name).map_or(0, |it| it.instance.born);
        let known = listed.max(self.notices.born(name));
        line.born < known && (line.born == 0 || line.revision <= began)
    }

    /// Removes targets that the list has not contained for long enough, and returns them.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<String> {
        let expired = |it: &Listed| {
            it.missing.is_some_and(|it| now >= it.gone_at && now >= it.since + MISSING_RETENTION)
        };
        let gone: Vec<String> =
            self.listed.iter().filter(|it| expired(it.1)).map(|it| it.0.clone()).collect();
        for name in &gone {
            self.listed.remove(name);
            self.members.unlisted(name);
            self.notices.unlisted(now, name);
        }
        self.rebuild_index();
        gone
    }

    /// The same as [`Self::remove_expired`], but does nothing unless a target is missing.
    pub fn remove_expired_if_missing(&mut self, now: Millis) -> Vec<String> {
        let missing = self.listed.values().any(|it| it.missing.is_some());
        if missing { self.remove_expired(now) } else { Vec::new() }
    }

    /// Updates the set of targets whose address belongs to a later one. A target that was found not
    /// to be at its address replaces no other.
    pub(super) fn update_replaced(&mut self) {
        let mut latest: HashMap<SocketAddr, Revision> = HashMap::new();
        let present = |it: &&Listed| it.missing.is_none() && !it.misdirected;
        for listed in self.listed.values().filter(present) {
            let revision = latest.entry(listed.instance.addr).or_default();
            *revision = listed.instance.revision.max(*revision);
        }
        let old = |it: &Listed| latest.get(&it.instance.addr) > Some(&it.instance.revision);
        let replaced = self.listed.iter().filter(|it| old(it.1));
        self.replaced = replaced.map(|it| it.0.clone()).collect();
    }

    /// Rebuilds the tables derived from the declarations and the instance list.
    pub(super) fn rebuild_index(&mut self) {
        self.update_replaced();
        self.serving.clear();
        for (name, declared) in &self.catalogue.targets {
            let served = (
                declared.resource.kind,
                format!("{}/{}", declared.partner, declared.resource.serves),
            );
            self.serving.entry(served).or_default().push(name.clone());
        }
        for (name, listed) in &self.listed {
            let served = (Kind::Service, listed.instance.serves.clone());
            self.serving.entry(served).or_default().push(name.clone());
        }
        let by_region = self.catalogue.has_regions();
        let subset = |names: &Vec<String>| {
            let mut chosen = self.subset(names, by_region);
            // Targets outside the evacuated halls are used in place of the evacuated ones, whose
            // connections stay for the requests that run there.
            if self.has_evacuations() {
                let others: Vec<String> = self.without_evacuated(names).cloned().collect();
                let mut others = self.subset(&others, by_region);
                others.retain(|it| !chosen.contains(it));
                chosen.extend(others);
            }
            chosen
        };
        self.subsets = self.serving.iter().map(|(it, names)| (it.clone(), subset(names))).collect();
    }

    /// The targets of a service that this entry uses. With `by_region`, they include as many of
    /// each region: otherwise none may be left for a request that is restricted to regions.
    fn subset<'a>(&self, names: &'a [String], by_region: bool) -> Vec<String> {
        let mut groups: Vec<Vec<&'a str>> = vec![names.iter().map(String::as_str).collect()];
        if by_region && names.len() > self.options.subset {
            let mut regions: BTreeMap<&str, Vec<&'a str>> = BTreeMap::new();
            for name in names {
                if let Some(region) = self.region(name) {
                    regions.entry(region).or_default().push(name);
                }
            }
            groups.extend(regions.into_values());
        }
        let choose = |group: Vec<&'a str>| {
            balance::subset(&self.options.me, self.options.subset, group.into_iter())
        };
        let mut seen = BTreeSet::new();
        let chosen = groups.into_iter().flat_map(choose).filter(|it| seen.insert(*it));
        chosen.map(str::to_owned).collect()
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The list of targets: which are there, which have left, and which address is
//! whose.

use std::collections::HashMap;
use std::net::SocketAddr;

use sablepass_core::balance;
use sablepass_core::declaration::Kind;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::revision::Revision;
use sablepass_edge::instance::{Instance, Role};
use sablepass_edge::mesh::Listing;

use crate::pool::Destination;
use crate::targets::{Listed, Missing, Targets};

/// Time from the return of the list's service in which targets that it names no more may have
/// lapsed while it was away: those that live are back within about two seconds.
const RETURN: Millis = 3_000;
/// How long a target is remembered that the list names no more, for what it still runs.
const KEEP: Millis = 1_200;

/// What a new list says of targets that the one before did not.
#[derive(Debug, Default)]
pub struct Changes {
    /// Those that are gone for good.
    pub gone: Vec<String>,
    /// Those that started anew under their name.
    pub reborn: Vec<String>,
    /// Those of them whose last life still wanted to rest.
    pub rested: Vec<String>,
    /// The list was restored from a copy.
    pub restored: bool,
    /// Those that an earlier list did not name.
    pub found: Vec<String>,
    /// Those that the list names no more, or not in their present life.
    pub missing: Vec<String>,
    /// Those that it says are leaving, and that nobody said so of before.
    pub leaving: Vec<String>,
}

impl Targets {
    /// When a target's present life began; 0 if it does not say.
    pub fn born(&self, name: &str) -> Millis {
        self.listed.get(name).map_or(0, |it| it.instance.born)
    }

    /// Revision of a target's line in the list.
    pub fn line(&self, name: &str) -> Revision {
        self.listed.get(name).map_or_else(Revision::default, |it| it.instance.revision)
    }

    /// Where a listed target takes requests in its present life.
    pub fn destination<'a>(&self, target: &'a str) -> Option<Destination<'a>> {
        let it = &self.listed.get(target)?.instance;
        Some(Destination { target, born: it.born, addr: it.addr })
    }

    /// Whether the list names a target no more, and not because it lapsed.
    pub(super) fn is_gone(&self, now: Millis, name: &str) -> bool {
        let missing = self.listed.get(name).and_then(|it| it.missing);
        missing.is_some_and(|it| now >= it.gone)
    }

    /// How much longer a target gets work that the list names no more; none if it names it.
    pub fn used_for(&self, now: Millis, name: &str) -> Option<Millis> {
        let missing = self.listed.get(name)?.missing?;
        Some(missing.gone.saturating_sub(now))
    }

    /// Whether a target is leaving.
    pub fn is_leaving(&self, now: Millis, name: &str) -> bool {
        let member = self.members.get(name);
        let said = self.has_left(now, self.life(name));
        said || member.is_some_and(|it| it.leaving) || self.leaving.iter().any(|it| it == name)
    }

    /// Takes a new instance list.
    pub fn list(&mut self, now: Millis, list: &Listing) -> Changes {
        let Listing { instances, revision, first_read, recovered_at } = list;
        let era = revision.era;
        let before = std::mem::replace(&mut self.era, era);
        let mut changes = Changes::default();
        if before > 0 && before < era {
            self.restored = now;
            changes.restored = true;
        }
        let back = self.restored.max(*recovered_at);
        let first = self.learning.is_none();
        if !instances.is_empty() {
            self.learning.get_or_insert(now);
        }
        let entries = instances.values().filter(|it| it.role == Role::Entry).count();
        self.listed_entries = entries;
        let leaving = instances.iter().filter(|(_, it)| it.leaving);
        self.leaving = leaving.map(|(name, _)| name.clone()).collect();
        for (name, it) in instances.iter().filter(|(_, it)| it.role == Role::Target) {
            if self.is_former(name, it, *first_read) {
                continue;
            }
            if self.listed.get(name).is_some_and(|known| known.instance.born != it.born) {
                // All that was known of it was of another life.
                changes.reborn.push(name.clone());
                self.listed.remove(name);
                self.members.unlisted(name);
            }
            let life = TargetIncarnation { name, started_at: it.born };
            if self.notices.listed(now, life) {
                changes.rested.push(name.clone());
            }
            // Also if its entry lapses and an older one is read.
            if it.leaving && self.notices.leave(now, life) {
                changes.leaving.push(name.clone());
            }
            self.members.listed(now, name, it.leaving);
            let misdirected = self.listed.get(name).is_some_and(|it| it.misdirected);
            let listed = Listed { instance: it.clone(), missing: None, misdirected };
            if self.listed.insert(name.clone(), listed).is_none() && !first {
                changes.found.push(name.clone());
            }
        }
        let is_there = |name: &String| {
            instances.get(name).is_some_and(|it| !self.is_former(name, it, *first_read))
        };
        let missing: Vec<String> = self.listed.keys().filter(|it| !is_there(it)).cloned().collect();
        for name in missing {
            if let Some(it) = self.listed.get_mut(&name).filter(|it| it.missing.is_none()) {
                it.missing = Some(Missing { since: now, gone: now.max(back + RETURN) });
                changes.missing.push(name);
            }
        }
        changes.gone = self.lapse(now);
        changes
    }

    /// Whether a line does not tell of a target's present life: it tells of an earlier one than
    /// the one known, as a copy from which the list was restored may, or of none, as one that
    /// another writer left. A line that was written later counts: the clock of a target that
    /// started anew may be behind.
    fn is_former(&self, name: &str, line: &Instance, began: Revision) -> bool {
        let listed = self.listed.get(name).map_or(0, |it| it.instance.born);
        let known = listed.max(self.notices.born(name));
        line.born < known && (line.born == 0 || line.revision <= began)
    }

    /// Drops targets that the list has not named for long enough.
    pub fn lapse(&mut self, now: Millis) -> Vec<String> {
        let over =
            |it: &Listed| it.missing.is_some_and(|it| now >= it.gone && now >= it.since + KEEP);
        let gone: Vec<String> =
            self.listed.iter().filter(|it| over(it.1)).map(|it| it.0.clone()).collect();
        for name in &gone {
            self.listed.remove(name);
            self.members.unlisted(name);
            self.notices.unlisted(now, name);
        }
        self.index();
        gone
    }

    /// The same, if any target is missing.
    pub fn lapse_due(&mut self, now: Millis) -> Vec<String> {
        let missing = self.listed.values().any(|it| it.missing.is_some());
        if missing { self.lapse(now) } else { Vec::new() }
    }

    /// Finds the targets whose address a later one has. One that turned out
    /// not to be there replaces nothing.
    pub(super) fn find_replaced(&mut self) {
        let mut latest: HashMap<SocketAddr, Revision> = HashMap::new();
        let there = |it: &&Listed| it.missing.is_none() && !it.misdirected;
        for it in self.listed.values().filter(there) {
            let revision = latest.entry(it.instance.addr).or_default();
            *revision = it.instance.revision.max(*revision);
        }
        let old = |it: &Listed| latest.get(&it.instance.addr) > Some(&it.instance.revision);
        let replaced = self.listed.iter().filter(|it| old(it.1));
        self.replaced = replaced.map(|it| it.0.clone()).collect();
    }

    pub(super) fn index(&mut self) {
        self.find_replaced();
        self.serving.clear();
        for (name, it) in &self.catalogue.targets {
            let served = (it.resource.kind, format!("{}/{}", it.partner, it.resource.serves));
            self.serving.entry(served).or_default().push(name.clone());
        }
        for (name, it) in &self.listed {
            let served = (Kind::Service, it.instance.serves.clone());
            self.serving.entry(served).or_default().push(name.clone());
        }
        let subset = |names: &Vec<String>| {
            let names = names.iter().map(String::as_str);
            let chosen = balance::subset(&self.options.me, self.options.subset, names);
            chosen.into_iter().map(str::to_owned).collect::<Vec<String>>()
        };
        self.subsets = self.serving.iter().map(|(it, names)| (it.clone(), subset(names))).collect();
    }
}

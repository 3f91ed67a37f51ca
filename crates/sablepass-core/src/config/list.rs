// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How a store takes lines of the instance list in.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::documents::Rejected;
use crate::config::parts::Mask;
use crate::config::{Delta, Document, Store, Version, What, Whole};
use crate::reason::Ignored;
use crate::revision::Revision;

impl Store {
    /// Takes in what there is of some parts of the list. True if any line changed. A line that says the same keeps
    /// its revision, and is told to no peer: whoever is behind this revision compares.
    pub(super) fn replace(&mut self, delta: Delta, whole: Whole) -> Result<bool, Ignored> {
        let other = matches!(whole, Whole::Parts(_, of) if of != self.parts.hash());
        if delta.revision < self.revision || other {
            return Err(Ignored::OldRevision);
        }
        let newer = delta.revision > self.revision;
        let mut changed = false;
        for key in self.unnamed(&delta, whole.mask()) {
            self.remove(&key);
            if delta.revision.era == self.revision.era {
                self.removals.record(&key, delta.revision);
            }
            changed = true;
        }
        for document in delta.documents {
            let held = self.documents.get(&document.key);
            let later = held.is_some_and(|it| it.newest.revision > delta.revision);
            let older = held.is_some_and(|it| it.newest.revision >= document.newest.revision);
            if later || self.holds(&document) || (older && !newer) {
                continue;
            }
            if !self.admits(whole, &document) {
                continue;
            }
            self.insert(document);
            changed = true;
        }
        self.revision = delta.revision;
        self.since = delta.revision;
        // Whoever is told of these by comparison has no use for them.
        self.documents.retain(|_, it| !it.removed || it.newest.revision > delta.revision);
        Ok(changed)
    }

    /// Whether a line is to be taken. What a peer lists it has judged itself.
    fn admits(&mut self, whole: Whole, line: &Document) -> bool {
        let Version { revision, .. } = line.newest;
        let admits = match whole {
            Whole::All(_) => self.removals.admits_listed(&line.key, revision),
            Whole::Parts(..) => self.removals.admits_written(&line.key, revision),
        };
        if !admits {
            self.reject(Rejected { key: line.key.clone(), revision, version: None });
        }
        admits
    }

    /// What is held of some parts, is not named and is not newer.
    fn unnamed(&self, delta: &Delta, mask: Mask) -> Vec<String> {
        let named: BTreeSet<&str> = delta.documents.iter().map(|it| it.key.as_str()).collect();
        let gone = |it: &&Document| {
            let there = !it.removed && it.newest.revision < delta.revision;
            there && mask.has(&it.key) && !named.contains(it.key.as_str())
        };
        self.documents.values().filter(gone).map(|it| it.key.clone()).collect()
    }

    pub(super) fn insert(&mut self, document: Document) {
        self.remove(&document.key);
        if !document.removed {
            self.parts.toggle(&document.key, &document.newest.body);
        }
        self.documents.insert(document.key.clone(), document);
    }

    fn remove(&mut self, key: &str) {
        if let Some(held) = self.documents.remove(key).filter(|it| !it.removed) {
            self.parts.toggle(key, &held.newest.body);
        }
    }

    /// Leaves out of a watch's answer the instances that say the same as what is
    /// held: each target writes its line anew with every heartbeat, and a line
    /// that is left out keeps its revision and is told to no peer. That is sound
    /// only where *all* changes of a line since then say the same. Where one says
    /// something else, as that a target left, the last one counts: it may be back
    /// as it was, and a peer that learnt of its leaving learns of its return only
    /// by a later revision. A read of everything, which does not show what was
    /// in between, is not trimmed.
    pub fn trim(&self, delta: &mut Delta) {
        if self.what != What::Instances || delta.whole.is_some() {
            return;
        }
        let other = |it: &&Document| !self.holds(it);
        let mut last: BTreeMap<String, Revision> = BTreeMap::new();
        for it in delta.documents.iter().filter(other) {
            last.insert(it.key.clone(), Revision::default());
        }
        for it in &delta.documents {
            if let Some(last) = last.get_mut(&it.key) {
                *last = it.newest.revision.max(*last);
            }
        }
        delta.documents.retain(|it| last.get(&it.key) == Some(&it.newest.revision));
    }

    pub(super) fn put_line(&mut self, line: Document) -> bool {
        let Version { revision, .. } = line.newest;
        // Everything was read later than that.
        let read = revision <= self.since;
        let held = self.documents.get(&line.key).map(|it| it.newest.revision);
        if read || held >= Some(revision) {
            return false;
        }
        if line.removed {
            self.removals.record(&line.key, revision);
        } else if !self.removals.admits_written(&line.key, revision) {
            self.reject(Rejected { key: line.key, revision, version: None });
            return false;
        }
        self.insert(line);
        true
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How a store takes lines of the instance list in.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::documents::Rejected;
use crate::config::parts::Mask;
use crate::config::{Delta, Document, Store, Version, What, Whole};
use crate::reason::Ignored;
use crate::revision::Revision;

/// What became of a removal that a peer told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was known, or the instance has written its line since.
    Known,
    /// It was not known.
    New,
    /// The instance was still listed, and is not any more.
    Listed,
}

impl Store {
    /// Takes in what there is of some parts of the list. True if any line changed. A line that says the same keeps
    /// its revision, and is told to no peer: whoever is behind this revision compares.
    pub(super) fn replace(&mut self, delta: Delta, whole: Whole) -> Result<bool, Ignored> {
        let other = matches!(whole, Whole::Parts(_, of) if of != self.parts.hash());
        if delta.revision < self.revision || other {
            return Err(Ignored::OldRevision);
        }
        let newer = delta.revision > self.revision;
        if delta.revision.era > self.revision.era {
            self.removals.begin(delta.revision);
        }
        let mut changed = false;
        for key in self.unnamed(&delta, whole.mask()) {
            self.remove(&key);
            if delta.revision.era == self.revision.era {
                self.removals.record(&key, delta.revision);
            }
            changed = true;
        }
        for document in delta.documents {
            let same = self.holds(&document);
            let held = self.documents.get_mut(&document.key);
            if same && let Some(held) = held {
                // Only a line of the present era can be told from a copy of one that left.
                held.newest.revision = held.newest.revision.max(document.newest.revision);
                continue;
            }
            let held = self.documents.get(&document.key);
            let later = held.is_some_and(|it| it.newest.revision > delta.revision);
            let older = held.is_some_and(|it| it.newest.revision >= document.newest.revision);
            if later || (older && !newer) {
                continue;
            }
            if !self.admits(&document) {
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

    /// Whether a line is to be taken.
    fn admits(&mut self, line: &Document) -> bool {
        let Version { revision, .. } = line.newest;
        let admits = self.removals.admits(&line.key, revision);
        if !admits {
            self.reject(Rejected { key: line.key.clone(), revision, version: None });
        }
        admits
    }

    /// Takes what a peer tells of an instance that was removed.
    pub fn take_removal(&mut self, key: &str, at: Revision) -> Taken {
        let held = self.documents.get(key).filter(|it| !it.removed);
        let Some(line) = held.map(|it| it.newest.revision) else {
            let new = self.removals.record(key, at);
            return if new { Taken::New } else { Taken::Known };
        };
        if line >= at && !self.removals.is_copy(line, at) {
            return Taken::Known;
        }
        self.remove(key);
        self.removals.record(key, at);
        Taken::Listed
    }

    /// The removals that are remembered, with their revisions.
    pub fn removals(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.removals.iter()
    }

    /// Takes how early in an era a peer knows the list to have been read. True if lines that
    /// were taken for copies may be none.
    pub fn hear_beginning(&mut self, read: Revision) -> bool {
        self.removals.begin(read) && self.removals.iter().next().is_some()
    }

    /// The earliest revision of the present era at which anybody is known to have read.
    pub fn beginning(&self) -> Revision {
        self.removals.began()
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
        } else if !self.admits(&line) {
            return false;
        }
        self.insert(line);
        true
    }
}

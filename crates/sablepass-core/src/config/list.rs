// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Merging of lines of the instance list into a store.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::documents::Rejected;
use crate::config::parts::Mask;
use crate::config::{Coverage, Delta, Document, Store, StoreKind, Version};
use crate::reason::Ignored;
use crate::revision::Revision;

/// Result of merging a removal that a peer reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalOutcome {
    /// The removal was known, or the instance has written its line since.
    Known,
    /// The removal was new, and the instance was not listed.
    New,
    /// The instance was listed; its line is now removed.
    Listed,
}

impl Store {
    /// Merges the complete content of some parts of the list. Returns whether any line changed. A
    /// line with the same content counts as unchanged and is not forwarded: a peer that is behind
    /// this revision compares instead.
    pub(super) fn replace(&mut self, delta: Delta, whole: Coverage) -> Result<bool, Ignored> {
        let other = matches!(whole, Coverage::Parts(_, of) if of != self.parts.hash());
        if delta.revision < self.revision || other {
            return Err(Ignored::OldRevision);
        }
        let newer = delta.revision > self.revision;
        if delta.revision.era > self.revision.era {
            self.removals.observe_first_read(delta.revision);
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
            let same = self.has_same_content(&document);
            let held = self.documents.get_mut(&document.key);
            if same && let Some(held) = held {
                // The later revision is kept: only a line of the present era is distinguishable
                // from a removed instance's line in a restored backup.
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
        // Peers that compare don't need these removals.
        self.documents.retain(|_, it| !it.removed || it.newest.revision > delta.revision);
        Ok(changed)
    }

    /// Whether a line is accepted; a line of a removed instance is rejected.
    fn admits(&mut self, line: &Document) -> bool {
        let Version { revision, .. } = line.newest;
        let admits = self.removals.admits(&line.key, revision);
        if !admits {
            self.reject(Rejected { key: line.key.clone(), revision, version: None });
        }
        admits
    }

    /// Merges the removal of an instance, at revision `at`, that a peer reported.
    pub fn take_removal(&mut self, key: &str, at: Revision) -> RemovalOutcome {
        let held = self.documents.get(key).filter(|it| !it.removed);
        let Some(line) = held.map(|it| it.newest.revision) else {
            let new = self.removals.record(key, at);
            return if new { RemovalOutcome::New } else { RemovalOutcome::Known };
        };
        if line >= at && !self.removals.is_from_backup(line, at) {
            return RemovalOutcome::Known;
        }
        self.remove(key);
        self.removals.record(key, at);
        RemovalOutcome::Listed
    }

    /// The removals kept, with their revisions.
    pub fn removals(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.removals.iter()
    }

    /// Merges the earliest revision of an era at which a peer knows the list to have been read.
    /// Returns true if lines that were rejected as coming from a backup may be live after all.
    pub fn observe_first_read(&mut self, read: Revision) -> bool {
        self.removals.observe_first_read(read) && self.removals.iter().next().is_some()
    }

    /// The earliest known revision of the present era at which any process read the list.
    pub fn first_read(&self) -> Revision {
        self.removals.first_read()
    }

    /// Keys of listed instances in some parts that a complete listing neither names nor predates.
    fn unnamed(&self, delta: &Delta, mask: Mask) -> Vec<String> {
        let named: BTreeSet<&str> = delta.documents.iter().map(|it| it.key.as_str()).collect();
        let gone = |it: &&Document| {
            let older = !it.removed && it.newest.revision < delta.revision;
            older && mask.has(&it.key) && !named.contains(it.key.as_str())
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

    /// Drops from a watch response the lines whose content equals that of the store: each target
    /// rewrites its line with every heartbeat, and a dropped line keeps its revision and is not
    /// forwarded to peers. A line is dropped only if *all* its changes in the response have that
    /// content. If one differs, such as a removal, the last change is kept even if it restores the
    /// stored content: a peer that received the removal learns of the return only by a later
    /// revision. A complete listing does not show the changes in between and is not trimmed.
    pub fn trim(&self, delta: &mut Delta) {
        if self.what != StoreKind::Instances || delta.whole.is_some() {
            return;
        }
        let other = |it: &&Document| !self.has_same_content(it);
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
        // Already covered by a complete listing at a later revision.
        let covered = revision <= self.since;
        let held = self.documents.get(&line.key).map(|it| it.newest.revision);
        if covered || held >= Some(revision) {
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Recent removals from the instance list.
//!
//! A service restored from a backup lists instances that have left since. Their lines are rejected
//! until they are written again, as live instances do. A process that did not see an instance leave
//! would accept such a line, so processes exchange their removals, and the earliest revision of the
//! present era at which any of them read the list: a line written after that revision is not from
//! the backup.

use std::collections::{BTreeMap, BTreeSet};

use crate::revision::Revision;

/// Removals kept. A backup is some seconds old, and far fewer instances leave within that time.
const MAX_REMOVALS: usize = 1_024;

/// Recent removals by key; beyond `MAX_REMOVALS` the oldest is dropped.
#[derive(Debug, Default)]
pub struct Removals {
    removals: BTreeMap<String, Revision>,
    order: BTreeSet<(Revision, String)>,
    /// Earliest known revision of the latest era at which any process read the list.
    first_read: Revision,
}

impl Removals {
    /// Records that an instance was removed at a revision. Returns false if this or a later removal
    /// is known.
    pub fn record(&mut self, key: &str, at: Revision) -> bool {
        if self.removals.get(key) >= Some(&at) {
            return false;
        }
        self.forget(key);
        self.removals.insert(key.to_owned(), at);
        self.order.insert((at, key.to_owned()));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.removals.remove(&oldest);
        }
        true
    }

    /// Records that a process read the list at a revision. Returns true if that is earlier than
    /// known so far in the same era, so that lines rejected as coming from a backup may be live
    /// after all.
    pub fn observe_first_read(&mut self, read: Revision) -> bool {
        let earlier = read.era == self.first_read.era && read < self.first_read;
        if earlier || read.era > self.first_read.era {
            self.first_read = read;
        }
        earlier
    }

    /// The earliest known revision of the latest era at which any process read the list.
    pub fn first_read(&self) -> Revision {
        self.first_read
    }

    /// All removals, with their revisions.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.removals.iter().map(|(key, at)| (key.as_str(), *at))
    }

    /// Whether a line dates from before a removal and was listed again by a restored backup. A line
    /// that was unchanged by the restore keeps its revision of an earlier era, and is compared with
    /// the removal directly.
    pub fn is_from_backup(&self, line: Revision, removal: Revision) -> bool {
        if line.era < self.first_read.era {
            return line < removal;
        }
        line.era > removal.era && line <= self.first_read
    }

    /// Whether a line is accepted: its instance was not removed, or has written the line since. In
    /// that case the removal is forgotten.
    pub fn admits(&mut self, key: &str, line: Revision) -> bool {
        let removed = self.removals.get(key);
        let admits = removed.is_none_or(|at| !self.is_from_backup(line, *at));
        if admits {
            self.forget(key);
        }
        admits
    }

    fn forget(&mut self, key: &str) {
        if let Some(at) = self.removals.remove(key) {
            self.order.remove(&(at, key.to_owned()));
        }
    }
}

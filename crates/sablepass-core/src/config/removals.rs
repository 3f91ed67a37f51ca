// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Instances that were removed from the list lately.
//!
//! A service that is restored from a copy lists instances again that have left since. Their
//! lines are not taken until they are written anew, as those of live instances are. A process
//! that did not see an instance leave takes such a line for a live one, so processes tell each
//! other of removals, and how early in the present era anybody read the list: what was written
//! later than that is no copy.

use std::collections::{BTreeMap, BTreeSet};

use crate::revision::Revision;

/// Removals remembered. Copies are some seconds old, and far fewer instances leave within
/// that time.
const MOST: usize = 1_024;

/// The removals, oldest first where there is no room for all.
#[derive(Debug, Default)]
pub struct Removals {
    removals: BTreeMap<String, Revision>,
    order: BTreeSet<(Revision, String)>,
    /// The earliest revision of the latest era at which anybody is known to have read.
    began: Revision,
}

impl Removals {
    /// Records that an instance was removed at a revision. Whether that is new.
    pub fn record(&mut self, key: &str, at: Revision) -> bool {
        if self.removals.get(key) >= Some(&at) {
            return false;
        }
        self.forget(key);
        self.removals.insert(key.to_owned(), at);
        self.order.insert((at, key.to_owned()));
        if self.removals.len() > MOST
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.removals.remove(&oldest);
        }
        true
    }

    /// Records that somebody read the list at a revision. True if that is the earliest known
    /// of its era, so that lines which were taken for copies may be none.
    pub fn begin(&mut self, read: Revision) -> bool {
        let earlier = read.era == self.began.era && read < self.began;
        if earlier || read.era > self.began.era {
            self.began = read;
        }
        earlier
    }

    /// The earliest revision of the latest era at which anybody is known to have read.
    pub fn began(&self) -> Revision {
        self.began
    }

    /// All removals, with their revisions.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.removals.iter().map(|(key, at)| (key.as_str(), *at))
    }

    /// Whether a line is a copy of one from before a removal. A line that the copy has in
    /// common with what was held before keeps its revision of an earlier era.
    pub fn is_copy(&self, line: Revision, removal: Revision) -> bool {
        if line.era < self.began.era {
            return line < removal;
        }
        line.era > removal.era && line <= self.began
    }

    /// Whether a line is to be taken: its instance was not removed, or has written it since.
    pub fn admits(&mut self, key: &str, line: Revision) -> bool {
        let removed = self.removals.get(key);
        let admits = removed.is_none_or(|at| !self.is_copy(line, *at));
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

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Instances that were removed from the list lately.
//!
//! A service that is restored from a copy lists instances again that have left since. Their
//! lines are not taken until they are written anew, as those of live instances are with
//! every heartbeat.

use std::collections::{BTreeMap, BTreeSet};

use crate::revision::Revision;

/// Removals remembered. Copies are some seconds old, and far fewer instances leave within
/// that time.
const MOST: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Removal {
    at: Revision,
    /// The line by which a later era lists the instance again.
    copied: Option<Revision>,
}

/// The removals, oldest first where there is no room for all.
#[derive(Debug, Default)]
pub struct Removals {
    removals: BTreeMap<String, Removal>,
    order: BTreeSet<(Revision, String)>,
}

impl Removals {
    /// Records that an instance was removed.
    pub fn record(&mut self, key: &str, at: Revision) {
        self.forget(key);
        self.removals.insert(key.to_owned(), Removal { at, copied: None });
        self.order.insert((at, key.to_owned()));
        if self.removals.len() > MOST
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.removals.remove(&oldest);
        }
    }

    /// Whether a line that a read of everything names is to be taken.
    pub fn admits_listed(&mut self, key: &str, line: Revision) -> bool {
        let Some(removal) = self.removals.get_mut(key) else { return true };
        let seen = removal.copied.unwrap_or(removal.at);
        if seen.era < line.era {
            removal.copied = Some(line);
        }
        self.admits_written(key, line)
    }

    /// Whether a line that was written after what is held is to be taken.
    pub fn admits_written(&mut self, key: &str, line: Revision) -> bool {
        let copied = self.removals.get(key).and_then(|it| it.copied);
        if copied.is_some_and(|it| line <= it) {
            return false;
        }
        self.forget(key);
        true
    }

    fn forget(&mut self, key: &str) {
        if let Some(removal) = self.removals.remove(key) {
            self.order.remove(&(removal.at, key.to_owned()));
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Exchange of removed instances between entries, so that no entry lists such an instance again
//! after the platform's service was restored from a backup.

use std::collections::BTreeMap;

use sablepass_core::config::StoreKind;
use sablepass_core::config::list::RemovalOutcome;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;
use sablepass_wire::removals::Removal;

use crate::spread::Replication;

impl Replication {
    /// Merges removals received from a peer. Returns the kind of store if the instance list
    /// changed.
    pub fn merge_removals(&mut self, received: &[Removal<'_>]) -> Option<StoreKind> {
        let mut changed = false;
        for &(key, at) in received {
            let outcome = self.list.store.take_removal(key, at);
            if outcome == RemovalOutcome::Known {
                continue;
            }
            self.unsent_removals.insert(key.to_owned(), at);
            if outcome == RemovalOutcome::Listed {
                slog::warn!(self.log, "removed instance was listed again"; "key" => key,
                    "era" => at.era, "revision" => at.number);
                self.metrics.ignored(Ignored::FormerLine);
                changed = true;
            }
        }
        changed.then(|| {
            self.apply_change(StoreKind::Instances);
            StoreKind::Instances
        })
    }

    /// All remembered removals, for a peer that may not know them.
    pub fn removals(&self) -> Vec<Removal<'_>> {
        self.list.store.removals().collect()
    }

    /// Returns and clears the removals to send to other entries: those learned since the last call,
    /// and all of them once the list's era has changed.
    pub fn take_unsent_removals(&mut self) -> BTreeMap<String, Revision> {
        let era = self.list.store.revision().era;
        if std::mem::replace(&mut self.removals_sent_era, era) != era {
            let all = self.list.store.removals().map(|(key, at)| (key.to_owned(), at));
            self.unsent_removals.extend(all);
        }
        std::mem::take(&mut self.unsent_removals)
    }
}

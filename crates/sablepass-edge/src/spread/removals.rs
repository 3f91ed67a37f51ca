// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entries tell each other of instances that left, so that none of them takes one back
//! from a copy of the service.

use std::collections::BTreeMap;

use sablepass_core::config::StoreKind;
use sablepass_core::config::list::RemovalOutcome;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;
use sablepass_wire::removals::Removal;

use crate::spread::Spread;

impl Spread {
    /// Takes what a peer tells of removals. Returns what changed.
    pub fn take_removals(&mut self, told: &[Removal<'_>]) -> Option<StoreKind> {
        let mut changed = false;
        for &(key, at) in told {
            let taken = self.list.store.take_removal(key, at);
            if taken == RemovalOutcome::Known {
                continue;
            }
            self.untold.insert(key.to_owned(), at);
            if taken == RemovalOutcome::Listed {
                slog::warn!(self.log, "instance listed that left before"; "key" => key,
                    "era" => at.era, "revision" => at.number);
                self.metrics.ignored(Ignored::FormerLine);
                changed = true;
            }
        }
        changed.then(|| {
            self.note(StoreKind::Instances);
            StoreKind::Instances
        })
    }

    /// The removals that are remembered, for a peer that may not know them.
    pub fn removals(&self) -> Vec<Removal<'_>> {
        self.list.store.removals().collect()
    }

    /// The removals that other entries have to be told of: those that were told here as news,
    /// and all once the list is of a later era.
    pub fn take_untold(&mut self) -> BTreeMap<String, Revision> {
        let era = self.list.store.revision().era;
        if std::mem::replace(&mut self.told_in, era) != era {
            let all = self.list.store.removals().map(|(key, at)| (key.to_owned(), at));
            self.untold.extend(all);
        }
        std::mem::take(&mut self.untold)
    }
}

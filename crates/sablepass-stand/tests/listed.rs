// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Entries that don't read the store receive changes of the instance list from those that do.

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::keys;
use sablepass_stand::site::Site;

/// Number of entries, of which only some read the store.
const ENTRIES: usize = 5;

/// A target is removed while the store is unavailable, and the store loses its history, so that
/// the entries that read it read the whole list. No event tells of the removal: it shows only as a difference
/// from the list that the other entries have.
#[test]
fn verify_all_entries_apply_removals_found_by_a_full_read() {
    let mut site = Site::open(4);
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.settle(4);
    let listed = |site: &Site, entry: usize| {
        metric(&site.entries[entry].addr("admin"), "sablepass_targets", "state=\"listed\"")
    };
    for remaining in [3, 2] {
        site.store.set(keys::Mode::Down);
        site.store.remove(&format!("servers/{}", site.replicas[remaining].id));
        site.store.discard_history();
        site.store.set(keys::Mode::Up);
        for entry in 0..ENTRIES {
            wait_for("the entry lists the remaining targets", || {
                listed(&site, entry) == remaining as f64
            });
        }
    }
    let added = site.add_replica("orders");
    site.store.discard_history();
    for entry in 0..ENTRIES {
        wait_for("the entry lists the added target", || listed(&site, entry) == 3.0);
    }
    assert_eq!(added, 4);
}

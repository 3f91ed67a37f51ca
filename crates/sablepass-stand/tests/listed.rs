// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entries that do not read the store themselves learn of the list from those that do.

use sablepass_stand::client::{metric, wait_for};
use sablepass_stand::keys;
use sablepass_stand::site::Site;

const ENTRIES: usize = 5;

/// Targets go while the store is away, and its history with them: whoever reads it reads all
/// of it, and what differs from what the others hold is that something is gone.
#[test]
fn verify_all_entries_learn_what_is_gone_from_a_read_of_everything() {
    let mut site = Site::open(4);
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.settle(4);
    let listed = |site: &Site, entry: usize| {
        metric(&site.entries[entry].addr("admin"), "sablepass_targets", "state=\"listed\"")
    };
    for left in [3, 2] {
        site.store.set(keys::Mode::Down);
        site.store.remove(&format!("servers/{}", site.replicas[left].id));
        site.store.discard_history();
        site.store.set(keys::Mode::Up);
        for entry in 0..ENTRIES {
            wait_for("an entry knows what is left", || listed(&site, entry) == left as f64);
        }
    }
    let added = site.add_replica("orders");
    site.store.discard_history();
    for entry in 0..ENTRIES {
        wait_for("an entry knows what came", || listed(&site, entry) == 3.0);
    }
    assert_eq!(added, 4);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Replicas of a site that crash, and their replacement.

use std::thread;
use std::time::Duration;

use sablepass_stand::replica::Replica;
use sablepass_stand::site::Site;

/// Time for which the instance list keeps a target that ended.
const LEASE: Duration = Duration::from_millis(300);

/// Number of replicas that have crashed.
pub fn ended(site: &Site) -> usize {
    site.replicas.iter().filter(|it| it.crashed()).count()
}

/// Removes ended targets from the instance list and starts as many under new ids, until no more
/// end: a target whose request was cancelled may already have started it. `replaced` counts the
/// replaced targets. `prepare` is called with each new one.
pub fn replace_ended(site: &mut Site, replaced: &mut usize, prepare: impl Fn(&Replica)) {
    while ended(site) > *replaced {
        thread::sleep(LEASE);
        let fresh = ended(site) - *replaced;
        *replaced += fresh;
        for replica in site.replicas.iter().filter(|it| it.crashed()) {
            site.store.remove(&format!("servers/{}", replica.id));
        }
        for _ in 0..fresh {
            let index = site.add_replica("orders");
            prepare(&site.replicas[index]);
        }
        let running = site.replicas.len() - *replaced;
        site.settle(running);
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Entries use the load that targets without agents report in their answers.

use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{Site, ask};

fn send(site: &Site, kind: &str, id: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, "q").send(&site.http(0))
}

/// All targets reported that they are full, and then have capacity again. Load reports arrive
/// only with answers, so that an entry that waited for a new report before it sent a request
/// would never get one.
#[test]
fn verify_targets_that_were_full_are_used_again() {
    for kind in ["safe", "once", "stream"] {
        let mut site = Site::open(2);
        site.add_entry("");
        site.settle(2);
        site.replicas.iter().for_each(|it| it.set(Mode::Full));
        for number in 0..6 {
            send(&site, kind, &format!("full-{number}"));
        }
        site.replicas.iter().for_each(|it| it.set(Mode::Good));
        let capacity_since = Instant::now();
        wait_for("the targets are used again", || send(&site, kind, "again").status == 200);
        assert!(
            capacity_since.elapsed() < Duration::from_secs(2),
            "{kind}: {:?}",
            capacity_since.elapsed()
        );
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests just after a rank of a group has died: the group is stalled until it gives the rank up,
//! and would refuse all requests that it received meanwhile.

use std::time::{Duration, Instant};

use sablepass_stand::client::wait_for;
use sablepass_stand::replica::{Group, Replica};
use sablepass_stand::site::{Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Number of ranks of the group.
const RANKS: usize = 3;
/// Time within which entries know that a rank died. Agents send heartbeats every 100 ms here.
const DETECTION_TIME: Duration = Duration::from_millis(250);
/// Interval between two requests. Many more at once would be refused for lack of capacity.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a group whose ranks all run, with an agent beside each, and waits until it serves
/// requests.
fn group() -> SiteWithAgents {
    let beside = SiteWithAgents::spawn(RANKS);
    let open = Group { open: true, size: RANKS as u32, steps: true };
    beside.site.replicas.iter().for_each(|it| it.report_group(open));
    wait_for("the group serves requests", || send(&beside.site, "first") == 200);
    std::thread::sleep(DETECTION_TIME);
    beside
}

fn send(site: &Site, id: &str) -> u16 {
    ask("POST", "/stream/x", id, id).send(&site.http(0)).status
}

fn runs(site: &Site) -> usize {
    site.replicas.iter().map(|it| it.runs().len()).sum()
}

/// Requests are refused at once with a Retry-After, rather than wait until the group has noticed
/// the loss.
#[test]
fn verify_no_request_is_sent_to_a_group_that_lost_a_rank() {
    let beside = group();
    let site = &beside.site;
    site.replicas[0].crash();
    std::thread::sleep(DETECTION_TIME);
    let before = runs(site);
    for number in 0..8 {
        let sent_at = Instant::now();
        let id = format!("during-{number}");
        let answer = ask("POST", "/stream/x", &id, &id).send(&site.http(0));
        assert_eq!((answer.status, answer.retry_after.as_str()), (503, "2.4"), "{answer:?}");
        assert!(sent_at.elapsed() < Duration::from_millis(100), "{:?}", sent_at.elapsed());
    }
    assert_eq!(runs(site), before, "other ranks of the group got requests");
}

/// Once the group had time to notice the loss, entries rely on the reports of the other ranks
/// again: these may have formed a group without the lost rank.
#[test]
fn verify_other_ranks_are_used_again_once_they_noticed_the_loss() {
    let beside = group();
    let site = &beside.site;
    site.replicas[0].crash();
    std::thread::sleep(DETECTION_TIME);
    let refused = send(site, "refused");
    assert_eq!(refused, 503);
    let refused_at = Instant::now();
    wait_for("the other ranks get requests again", || {
        std::thread::sleep(REQUEST_INTERVAL);
        send(site, &format!("t{}", refused_at.elapsed().as_nanos())) == 200
    });
    let elapsed = refused_at.elapsed();
    assert!((1_200..2_400).contains(&elapsed.as_millis()), "after {elapsed:?}");
    let lost: &Replica = &site.replicas[0];
    assert!(lost.crashed());
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The moments after a rank of a group has died: the group stands until it gives
//! the rank up, and turns away all that it was sent meanwhile.

use std::time::{Duration, Instant};

use sablepass_stand::client::wait_for;
use sablepass_stand::replica::{Group, Replica};
use sablepass_stand::site::{Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Ranks of the group.
const RANKS: usize = 3;
/// Within which entries know that a rank died: a heartbeat of its agent is 100 ms here.
const KNOWN: Duration = Duration::from_millis(250);
/// Between two callers: many more at once are turned away for want of room.
const PAUSE: Duration = Duration::from_millis(100);

fn group() -> SiteWithAgents {
    let beside = SiteWithAgents::spawn(RANKS);
    let open = Group { open: true, size: RANKS as u32, steps: true };
    beside.site.replicas.iter().for_each(|it| it.report_group(open));
    wait_for("agents know the group", || send(&beside.site, "first") == 200);
    std::thread::sleep(KNOWN);
    beside
}

fn send(site: &Site, id: &str) -> u16 {
    ask("POST", "/stream/x", id, id).send(&site.http(0)).status
}

fn runs(site: &Site) -> usize {
    site.replicas.iter().map(|it| it.runs().len()).sum()
}

/// Callers are told at once, with when to come back, in place of waiting for
/// the group to notice.
#[test]
fn verify_nothing_is_sent_to_a_group_that_lost_a_rank() {
    let beside = group();
    let site = &beside.site;
    site.replicas[0].crash();
    std::thread::sleep(KNOWN);
    let before = runs(site);
    for number in 0..8 {
        let began = Instant::now();
        let id = format!("during-{number}");
        let answer = ask("POST", "/stream/x", &id, &id).send(&site.http(0));
        assert_eq!((answer.status, answer.retry_after.as_str()), (503, "2.4"), "{answer:?}");
        assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    }
    assert_eq!(runs(site), before, "other ranks of the group got work");
}

/// When it had time to notice, its other ranks' own word counts: they may have
/// formed a group without the lost one.
#[test]
fn verify_the_ranks_word_counts_once_they_have_noticed() {
    let beside = group();
    let site = &beside.site;
    site.replicas[0].crash();
    std::thread::sleep(KNOWN);
    let refused = send(site, "refused");
    assert_eq!(refused, 503);
    let began = Instant::now();
    wait_for("the others are used again", || {
        std::thread::sleep(PAUSE);
        send(site, &format!("t{}", began.elapsed().as_nanos())) == 200
    });
    let took = began.elapsed();
    assert!((1_200..2_400).contains(&took.as_millis()), "after {took:?}");
    let listed: &Replica = &site.replicas[0];
    assert!(listed.crashed());
}

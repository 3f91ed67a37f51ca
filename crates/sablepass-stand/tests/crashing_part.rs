// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One part of a prompt ends each target that starts to run a request with it, whatever else the
//! request contains. Entries must block the part before it ends more targets than they need to
//! identify it, and go on serving requests that share other parts with the blocked ones.

mod common;

use std::thread;

use common::crashes::{ended, replace_ended};
use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::site::{Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// Id of the part that ends targets.
const FATAL: &str = "bad0";
/// Maximum number of targets that requests with the part may end.
const MAX_ENDED: usize = 5;
/// How many different requests with the part are sent, one after the other.
const ROUNDS: usize = 12;

/// A site with this many entries, and six targets that end when they start to run a request with
/// the part.
fn site(entries: usize) -> Site {
    let site = common::site(6, entries);
    site.replicas.iter().for_each(|it| it.crash_on_part(FATAL));
    site
}

/// Sends a request whose id, body and last prompt part no other request has.
fn send(site: &Site, entry: usize, kind: &str, id: &str, shared_parts: &[&str]) -> Answer {
    let shared: String = shared_parts.iter().map(|it| format!("{it}:40,")).collect();
    let parts = format!("{shared}own-{id}:250");
    let body = format!("body of {id}");
    ask("POST", &format!("/{kind}/x"), id, &body)
        .with("x-prompt-prefix", &parts)
        .send(&site.http(entry))
}

/// Sends requests with the part to all entries in turn, each followed by a request that has only
/// its first part and must be served. Returns how many targets ended.
fn ended_in_rounds(kind: &str, first_part: impl Fn(usize) -> String) -> usize {
    let mut site = site(3);
    let mut replaced = 0;
    for round in 0..ROUNDS {
        let first = first_part(round);
        send(&site, round % 3, kind, &format!("fatal-{round}"), &[&first, FATAL]);
        replace_ended(&mut site, &mut replaced, |it| it.crash_on_part(FATAL));
        let sound = send(&site, (round + 1) % 3, kind, &format!("sound-{round}"), &[&first]);
        assert_eq!(sound.status, 200, "{kind}, round {round}: {sound:?}");
    }
    ended(&site)
}

/// Guards against different requests with one crashing prompt part ending one target after another.
#[test]
fn verify_a_prompt_part_that_ends_targets_is_blocked() {
    for kind in ["stream", "safe", "once"] {
        let ended = ended_in_rounds(kind, |round| format!("f{}", round % 4));
        assert!(ended <= MAX_ENDED, "{kind}: {ended} targets ended");
    }
}

/// Guards against blocking the other parts of requests with a crashing prompt part.
#[test]
fn verify_a_part_that_always_precedes_the_blocked_one_is_served() {
    let ended = ended_in_rounds("stream", |_| "f0".to_owned());
    assert!(ended <= MAX_ENDED, "{ended} targets ended");
}

/// Guards against letting requests with a blocked prompt part wait instead of refusing them.
#[test]
fn verify_requests_with_a_blocked_part_are_refused_as_not_run() {
    let mut site = site(1);
    let mut replaced = 0;
    for round in 0..MAX_ENDED {
        send(&site, 0, "once", &format!("fatal-{round}"), &["f0", FATAL]);
        replace_ended(&mut site, &mut replaced, |it| it.crash_on_part(FATAL));
        let sound = send(&site, 0, "once", &format!("sound-{round}"), &["f0"]);
        assert_eq!(sound.status, 200, "round {round}: {sound:?}");
    }
    let refused = send(&site, 0, "once", "refused", &["f1", FATAL, "f2"]);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(!refused.retry_after.is_empty(), "{refused:?}");
    assert_eq!(site.runs("refused"), 0, "a request that was refused as not run has run");
    let admin = site.entries[0].addr("admin");
    let count = metric(&admin, "sablepass_refusals_total", "reason=\"ends-targets\"");
    assert!(count >= 1.0, "refusals for the reason ends-targets: {count}");
    wait_for("the gauge shows the part", || metric(&admin, "sablepass_blocked_parts", "") == 1.0);
    assert_eq!(site.status(0)["blocked_parts"].as_array().map(Vec::len), Some(1));
    let sound = send(&site, 0, "once", "last-part", &["f1"]);
    assert_eq!(sound.status, 200, "{sound:?}");
}

/// Guards against entries that learn of a crashing prompt part too late when different requests
/// with it arrive at all of them at once.
#[test]
fn verify_concurrent_requests_with_a_part_end_no_more_targets_once_blocked() {
    let mut site = site(3);
    let mut replaced = 0;
    for round in 0..ROUNDS {
        let before = replaced;
        thread::scope(|scope| {
            for entry in 0..3 {
                let (site, first) = (&site, format!("f{}", (round + entry) % 5));
                let id = format!("fatal-{round}-{entry}");
                scope.spawn(move || send(site, entry, "stream", &id, &[&first, FATAL]));
            }
        });
        replace_ended(&mut site, &mut replaced, |it| it.crash_on_part(FATAL));
        assert!(
            before < MAX_ENDED || replaced == before,
            "round {round}: {before}, then {replaced} targets ended"
        );
    }
}

/// Guards against a restarted entry letting a crashing prompt part through: entries store nothing,
/// and get what is blocked from agents.
#[test]
fn verify_restarted_entries_block_known_parts() {
    let mut beside = SiteWithAgents::spawn(6);
    let site = &mut beside.site;
    site.replicas.iter().for_each(|it| it.crash_on_part(FATAL));
    for round in 0..4 {
        let (id, first) = (format!("before-{round}"), format!("f{round}"));
        send(site, 0, "stream", &id, &[&first, FATAL]);
    }
    let before = ended(site);
    assert!(before <= MAX_ENDED, "{before} targets ended");
    site.entries[0].kill();
    let entry = site.add_entry(&beside.more);
    beside.wait_for_agents(entry);
    for round in 0..4 {
        let (id, first) = (format!("after-{round}"), format!("f{}", round + 4));
        send(&beside.site, entry, "stream", &id, &[&first, FATAL]);
    }
    assert_eq!(ended(&beside.site), before, "the new entry forwarded a request with the part");
}

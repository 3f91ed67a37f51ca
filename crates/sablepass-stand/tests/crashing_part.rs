// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! One part of a prompt ends each target that starts to run a request with it, whatever else the
//! request contains. Entries must block the part before it ends more targets than they need to
//! identify it, and go on serving requests that share other parts with the blocked ones.

mod common;

use common::crashes::{ended, replace_ended};
use sablepass_stand::client::{Answer, metric};
use sablepass_stand::site::{Site, ask};

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
    }
    let refused = send(&site, 0, "once", "refused", &["f1", FATAL, "f2"]);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(!refused.retry_after.is_empty(), "{refused:?}");
    assert_eq!(site.runs("refused"), 0, "a request that was refused as not run has run");
    let admin = site.entries[0].addr("admin");
    let count = metric(&admin, "sablepass_refusals_total", "reason=\"ends-targets\"");
    assert!(count >= 1.0, "refusals for the reason ends-targets: {count}");
    let sound = send(&site, 0, "once", "last-part", &["f1"]);
    assert_eq!(sound.status, 200, "{sound:?}");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target rejects requests and asks for a pause, during which it must get no requests.
//!
//! Guards against a fault in which targets that rejected all requests got more of them than
//! healthy ones, so that retries were used up and callers refused while most targets had
//! capacity. Each rejection asked the entry for three seconds without requests, but the next one
//! followed within a tenth of a second: entries read only that the request had not run, and
//! backed off for their own 40 ms. A target that rejects everything has no load and is then
//! selected first, even if all other targets are healthy.

mod common;

use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, Ask, metric, wait_for};
use sablepass_stand::replica::{Arrival, Mode, Replica, max_in_pause};
use sablepass_stand::site::{Site, ask};

/// Pause that targets ask for.
const REST_MS: u64 = 3_000;
/// Time for which requests in flight may still arrive once a pause is asked for.
const GRACE_MS: u64 = 500;
/// Maximum number of further requests that may reach a target during its pause.
const MAX_REQUESTS: usize = 2;
/// Number of callers at each entry.
const CALLERS: usize = 3;
/// Time between an answer and the next request of the same caller.
const PAUSE: Duration = Duration::from_millis(5);

fn send(site: &Site, entry: usize, kind: &str, id: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, "q").send(&site.http(entry))
}

/// Has callers at the first `entries` entries send requests of all kinds for `duration`.
fn call(site: &Site, entries: usize, label: &str, duration: Duration) -> Vec<Answer> {
    let callers = common::Callers { entries, each: CALLERS, pause: PAUSE };
    callers.call(site, label, duration)
}

/// The largest number of requests from one entry that reached a target during its pause.
fn max_requests_in_rest(replica: &Replica, entries: usize) -> usize {
    let from = |entry: usize| {
        let all = replica.arrivals().into_iter();
        all.filter(|it| it.id.starts_with(&format!("{entry}-"))).collect::<Vec<Arrival>>()
    };
    (0..entries).map(|entry| max_in_pause(&from(entry), GRACE_MS)).max().unwrap_or(0)
}

#[test]
fn verify_a_requested_pause_is_kept() {
    let site = common::site(4, 2);
    site.replicas[0].set(Mode::Shed(REST_MS));
    site.replicas[1].set(Mode::Shed(REST_MS));
    let answers = call(&site, 2, "rest", Duration::from_millis(2 * REST_MS + 500));
    for replica in &site.replicas[..2] {
        let most = max_requests_in_rest(replica, 2);
        assert!(most <= MAX_REQUESTS, "{most} requests reached a target during its pause");
    }
    // Two targets have capacity for all requests. A request fails only if both attempts that its
    // route allows ended at the other two, each of which asks an entry for at most three pauses.
    let reached =
        |replica: &Replica, id: &str| replica.arrivals().iter().any(|arrival| arrival.id == id);
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    let reached_both =
        |it: &&Answer| site.replicas[..2].iter().all(|replica| reached(replica, &it.id));
    assert!(unserved.iter().all(reached_both), "{unserved:?}");
    assert!(unserved.len() <= 6, "{} of {}", unserved.len(), answers.len());
    for entry in &site.entries {
        let sent_in_rest = metric(&entry.addr("admin"), "sablepass_sent_to_resting_total", "");
        assert_eq!(sent_in_rest, 0.0, "the entry sent requests to a target during its pause");
    }
}

/// A target is used again as soon as its pause is over.
#[test]
fn verify_a_target_is_used_again_after_its_pause() {
    let site = common::site(2, 1);
    let resting = &site.replicas[0];
    resting.set(Mode::Shed(1_000));
    wait_for("the target asks for a pause", || {
        send(&site, 0, "safe", "0-first");
        !resting.arrivals().is_empty()
    });
    resting.set(Mode::Good);
    let asked_at = Instant::now();
    wait_for("the target is used again", || {
        send(&site, 0, "safe", "0-again");
        !resting.runs().is_empty()
    });
    let elapsed = asked_at.elapsed();
    assert!((900..1_300).contains(&elapsed.as_millis()), "{elapsed:?}");
}

/// A target's line expires and is written again by the same incarnation, whose pause goes on.
#[test]
fn verify_an_expired_line_does_not_end_a_pause() {
    let site = common::site(3, 1);
    let resting = &site.replicas[0];
    resting.set(Mode::Shed(6_000));
    wait_for("the target asks for a pause", || {
        send(&site, 0, "safe", "0-first");
        !resting.arrivals().is_empty()
    });
    site.store.remove(&format!("servers/{}", resting.id));
    site.settle(2);
    site.list(resting, "ready");
    wait_for("the target is listed again", || {
        let admin = site.entries[0].addr("admin");
        metric(&admin, "sablepass_targets", "state=\"listed\"") == 3.0
    });
    call(&site, 1, "back", Duration::from_millis(1_500));
    let most = max_requests_in_rest(resting, 1);
    assert!(most <= MAX_REQUESTS, "{most} requests reached a target during its pause");
}

/// A restarted target has asked for no pause.
#[test]
fn verify_a_pause_ends_with_the_incarnation_that_asked_for_it() {
    let mut site = common::site(2, 1);
    site.replicas[0].set(Mode::Shed(60_000));
    wait_for("the target asks for a pause", || {
        send(&site, 0, "safe", "0-first");
        !site.replicas[0].arrivals().is_empty()
    });
    site.replicas[0].crash();
    let restarted = site.replicas[0].new_incarnation();
    site.list(&restarted, "ready");
    site.replicas[0] = restarted;
    wait_for("the restarted target is used", || {
        send(&site, 0, "safe", "0-again");
        !site.replicas[0].runs().is_empty()
    });
}

/// The agent before a target reads the requested pause, and so do the entries.
#[test]
fn verify_a_pause_of_an_engine_behind_its_agent_is_kept() {
    let fleet = common::fleet(false);
    let (resting, addr) = (&fleet.targets[0], fleet.http(0));
    resting.mode(&format!("rest {REST_MS}"));
    let until = Instant::now() + Duration::from_millis(REST_MS + 500);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let word = format!("rested{number}");
        let answer = Ask::chat(common::FARM, "triage", &word, 2, true).send(&addr);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let rejected_at = resting.refusal_times();
    let first = *rejected_at.first().expect("the engine rejected a request");
    let within = first + GRACE_MS..first + REST_MS;
    let most = rejected_at.iter().filter(|it| within.contains(it)).count();
    assert!(
        most <= MAX_REQUESTS,
        "{most} of {} requests reached an engine during its pause",
        rejected_at.len()
    );
}

/// All engines pause. Refusals name the time until the first one is back.
#[test]
fn verify_refusals_name_the_end_of_the_pause_of_all_engines() {
    let fleet = common::fleet(false);
    let addr = fleet.http(0);
    fleet.targets[..2].iter().for_each(|it| it.mode(&format!("rest {REST_MS}")));
    let asked_at = Instant::now();
    let ask = || Ask::chat(common::FARM, "triage", "all", 2, true).send(&addr);
    wait_for("all targets ask for a pause", || {
        ask();
        fleet.targets[..2].iter().all(|it| !it.refusal_times().is_empty())
    });
    wait_for("the entry refuses because all targets pause", || ask().reason() == "targets-rest");
    let answer = ask();
    let remaining = REST_MS as f64 / 1_000.0 - asked_at.elapsed().as_secs_f64();
    let retry_after: f64 = answer.retry_after.parse().expect("a retry-after in seconds");
    assert!(
        (remaining..remaining + 1.3).contains(&retry_after),
        "retry-after is {retry_after} s, {remaining} s are left"
    );
}

/// All targets pause. Requests are refused at once, with the time until the end of the pause.
#[test]
fn verify_refusals_name_the_end_of_the_pause_of_all_targets() {
    let site = common::site(2, 1);
    site.replicas.iter().for_each(|it| it.set(Mode::Shed(REST_MS)));
    let asked_at = Instant::now();
    wait_for("all targets ask for a pause", || {
        send(&site, 0, "safe", "0-first");
        site.replicas.iter().all(|it| !it.arrivals().is_empty())
    });
    for kind in ["stream", "safe", "once"] {
        let arrived = Instant::now();
        let answer = send(&site, 0, kind, &format!("0-{kind}"));
        assert!(arrived.elapsed() < Duration::from_millis(100), "{:?}", arrived.elapsed());
        let remaining = REST_MS as f64 / 1_000.0 - asked_at.elapsed().as_secs_f64();
        let retry_after: f64 = answer.retry_after.parse().expect("a retry-after in seconds");
        assert!(
            (retry_after - remaining).abs() < 0.3,
            "{kind}: retry-after is {retry_after} s, {remaining} s are left"
        );
        assert_eq!(answer.status, 503, "{kind}: the request did not run");
    }
}

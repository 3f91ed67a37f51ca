// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A target that turns requests away and asks for a rest.
//!
//! Seen: targets that turned all requests away got more of them than those that worked,
//! and retries were used up, so that callers were refused while most targets had room.
//! How it came about: each such answer asked for three seconds without requests from the
//! entry that got it, and the next one followed within a tenth of a second.
//! Cause: entries read of the answer only that the request had not run, and left the target alone
//! for 40 ms of their own; one that turns all away has no load and is then chosen first.
//! Proof: at one entry, all other targets being sound, most of the requests reach it.

mod common;

use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, Ask, metric, wait_for};
use sablepass_stand::replica::{Arrival, Mode, Replica, max_in_pause};
use sablepass_stand::site::{Site, ask};

/// The rest that is asked for.
const REST: u64 = 3_000;
/// Requests on their way when it is asked for may still arrive for so long.
const GRACE: u64 = 500;
/// Requests that may reach a target besides while it rests.
const MOST: usize = 2;
/// Callers at each entry.
const CALLERS: usize = 3;
/// Time between an answer and its caller's next request.
const PAUSE: Duration = Duration::from_millis(5);

fn send(site: &Site, entry: usize, kind: &str, id: &str) -> Answer {
    ask("POST", &format!("/{kind}/x"), id, "q").send(&site.http(entry))
}

/// Callers at so many entries, who send requests of all kinds for so long.
fn call(site: &Site, entries: usize, label: &str, lasts: Duration) -> Vec<Answer> {
    let callers = common::Callers { entries, each: CALLERS, pause: PAUSE };
    callers.call(site, label, lasts)
}

/// The most that any entry had reach a target while that wanted to rest.
fn pestered(it: &Replica, entries: usize) -> usize {
    let from = |entry: usize| {
        let all = it.arrivals().into_iter();
        all.filter(|it| it.id.starts_with(&format!("{entry}-"))).collect::<Vec<Arrival>>()
    };
    (0..entries).map(|entry| max_in_pause(&from(entry), GRACE)).max().unwrap_or(0)
}

#[test]
fn verify_a_target_that_asks_for_rest_is_left_alone() {
    let site = common::site(4, 2);
    site.replicas[0].set(Mode::Shed(REST));
    site.replicas[1].set(Mode::Shed(REST));
    let answers = call(&site, 2, "rest", Duration::from_millis(2 * REST + 500));
    for it in &site.replicas[..2] {
        let most = pestered(it, 2);
        assert!(most <= MOST, "{most} requests reached a target that rests");
    }
    // Two targets have room for all: a caller is refused only if both attempts that its
    // route allows ended at the other two, each of which asked an entry thrice at most.
    let met = |it: &Replica, id: &str| it.arrivals().iter().any(|arrival| arrival.id == id);
    let unserved: Vec<&Answer> = answers.iter().filter(|it| it.status != 200).collect();
    let all_met = |it: &&Answer| site.replicas[..2].iter().all(|replica| met(replica, &it.id));
    assert!(unserved.iter().all(all_met), "{unserved:?}");
    assert!(unserved.len() <= 6, "{} of {}", unserved.len(), answers.len());
    for entry in &site.entries {
        let fault = metric(&entry.addr("admin"), "sablepass_sent_to_resting_total", "");
        assert_eq!(fault, 0.0, "requests were sent to a target that rests");
    }
}

/// Once its rest is over it is used again, and asked for no more rest it stays so.
#[test]
fn verify_a_target_that_has_rested_is_used_again() {
    let site = common::site(2, 1);
    let rested = &site.replicas[0];
    rested.set(Mode::Shed(1_000));
    wait_for("it asks for rest", || {
        send(&site, 0, "safe", "0-first");
        !rested.arrivals().is_empty()
    });
    rested.set(Mode::Good);
    let asked = Instant::now();
    wait_for("it is used again", || {
        send(&site, 0, "safe", "0-again");
        !rested.runs().is_empty()
    });
    let after = asked.elapsed();
    assert!((900..1_300).contains(&after.as_millis()), "{after:?}");
}

/// The list drops a target and names it again: it is the same one, and still rests.
#[test]
fn verify_a_lapse_of_its_entry_does_not_end_a_rest() {
    let site = common::site(3, 1);
    let resting = &site.replicas[0];
    resting.set(Mode::Shed(6_000));
    wait_for("it asks for rest", || {
        send(&site, 0, "safe", "0-first");
        !resting.arrivals().is_empty()
    });
    site.store.remove(&format!("servers/{}", resting.id));
    site.settle(2);
    site.list(resting, "ready");
    wait_for("it is known again", || {
        let admin = site.entries[0].addr("admin");
        metric(&admin, "sablepass_targets", "state=\"listed\"") == 3.0
    });
    call(&site, 1, "back", Duration::from_millis(1_500));
    let most = pestered(resting, 1);
    assert!(most <= MOST, "{most} requests reached a target that rests");
}

/// A later life never asked for anything.
#[test]
fn verify_a_rest_ends_with_the_life_that_asked_for_it() {
    let mut site = common::site(2, 1);
    site.replicas[0].set(Mode::Shed(60_000));
    wait_for("it asks for rest", || {
        send(&site, 0, "safe", "0-first");
        !site.replicas[0].arrivals().is_empty()
    });
    site.replicas[0].crash();
    let next = site.replicas[0].new_incarnation();
    site.list(&next, "ready");
    site.replicas[0] = next;
    wait_for("its next life is used", || {
        send(&site, 0, "safe", "0-again");
        !site.replicas[0].runs().is_empty()
    });
}

/// Targets with an agent before them: it knows what they ask for, and so do the entries.
#[test]
fn verify_an_engine_behind_its_agent_is_left_alone() {
    let fleet = common::fleet(false);
    let (resting, addr) = (&fleet.targets[0], fleet.http(0));
    resting.mode(&format!("rest {REST}"));
    let until = Instant::now() + Duration::from_millis(REST + 500);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let word = format!("rested{number}");
        let answer = Ask::chat(common::FARM, "triage", &word, 2, true).send(&addr);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let turned = resting.refusal_times();
    let first = *turned.first().expect("it was asked once");
    let within = first + GRACE..first + REST;
    let most = turned.iter().filter(|it| within.contains(it)).count();
    assert!(most <= MOST, "{most} of {} reached an engine that rests", turned.len());
}

/// All of them rest: callers are told how long.
#[test]
fn verify_callers_are_told_when_all_engines_have_rested() {
    let fleet = common::fleet(false);
    let addr = fleet.http(0);
    fleet.targets[..2].iter().for_each(|it| it.mode(&format!("rest {REST}")));
    let asked = Instant::now();
    let ask = || Ask::chat(common::FARM, "triage", "all", 2, true).send(&addr);
    wait_for("all ask for rest", || {
        ask();
        fleet.targets[..2].iter().all(|it| !it.refusal_times().is_empty())
    });
    wait_for("the entry knows", || ask().reason() == "targets-rest");
    let answer = ask();
    let left = REST as f64 / 1_000.0 - asked.elapsed().as_secs_f64();
    let told: f64 = answer.retry_after.parse().expect("a time to come back");
    assert!((left..left + 1.3).contains(&told), "told {told} whole seconds, {left} are left");
}

/// Where all rest nothing can be served: callers are told so at once, and when to return.
#[test]
fn verify_callers_are_told_when_all_targets_have_rested() {
    let site = common::site(2, 1);
    site.replicas.iter().for_each(|it| it.set(Mode::Shed(REST)));
    let asked = Instant::now();
    wait_for("all ask for rest", || {
        send(&site, 0, "safe", "0-first");
        site.replicas.iter().all(|it| !it.arrivals().is_empty())
    });
    for kind in ["stream", "safe", "once"] {
        let arrived = Instant::now();
        let answer = send(&site, 0, kind, &format!("0-{kind}"));
        assert!(arrived.elapsed() < Duration::from_millis(100), "{:?}", arrived.elapsed());
        let left = REST as f64 / 1_000.0 - asked.elapsed().as_secs_f64();
        let told: f64 = answer.retry_after.parse().expect("a time to come back");
        assert!((told - left).abs() < 0.3, "{kind}: told {told}, {left} are left");
        assert_eq!(answer.status, 503, "{kind}: nothing ran");
    }
}

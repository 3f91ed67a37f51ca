// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Target selection, admission control and the retry budget.

use rand::SeedableRng;
use rand::rngs::StdRng;
use sablepass_core::admit::{Admission, Ask, Options};
use sablepass_core::balance::{Candidate, Chooser, Policy, subset};
use sablepass_core::budget::{self, Budget};
use sablepass_core::declaration::Priority;
use sablepass_core::reason::Refusal;

fn candidate(name: &str, same_hall: bool, own: u32) -> Candidate<'_> {
    Candidate { name, same_hall, capacity: 10, own, others: 0, slow: false }
}

fn choose(policy: Policy, prefix: Option<&str>, all: &[Candidate<'_>]) -> usize {
    let mut rng = StdRng::seed_from_u64(1);
    Chooser::open(policy).choose(&mut rng, prefix, all).expect("a candidate")
}

#[test]
fn verify_same_hall_is_preferred() {
    for policy in [Policy::RoundRobin, Policy::LeastLoad, Policy::TwoChoices, Policy::Affinity] {
        let near = [candidate("a", true, 9), candidate("b", false, 0)];
        assert_eq!(choose(policy, Some("p"), &near), 0, "{policy:?}");
        let full = [candidate("a", true, 10), candidate("b", false, 0)];
        assert_eq!(choose(policy, Some("p"), &full), 1, "{policy:?}");
        let all_full = [candidate("a", true, 10)];
        assert_eq!(choose(policy, Some("p"), &all_full), 0, "{policy:?}");
    }
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(Chooser::open(Policy::Affinity).choose(&mut rng, None, &[]), None);
}

#[test]
fn verify_slow_targets_are_excluded_while_others_have_room() {
    let policies =
        [Policy::RoundRobin, Policy::LeastLoad, Policy::TwoChoices, Policy::Affinity, Policy::Even];
    for policy in policies {
        let slow = Candidate { slow: true, ..candidate("a", true, 0) };
        let room = [slow.clone(), candidate("b", false, 9)];
        assert_eq!(choose(policy, Some("p"), &room), 1, "{policy:?}");
        let full = [slow.clone(), candidate("b", false, 10)];
        assert_eq!(choose(policy, Some("p"), &full), 0, "{policy:?}");
        assert_eq!(choose(policy, Some("p"), &[slow]), 0, "{policy:?}");
    }
}

#[test]
fn verify_least_load_and_two_choices() {
    let all = [candidate("a", true, 5), candidate("b", true, 1), candidate("c", true, 3)];
    assert_eq!(choose(Policy::LeastLoad, None, &all), 1);
    let mut rng = StdRng::seed_from_u64(7);
    let mut chooser = Chooser::open(Policy::TwoChoices);
    let mut counts = [0; 3];
    for _ in 0..3_000 {
        counts[chooser.choose(&mut rng, None, &all).expect("a candidate")] += 1;
    }
    assert!(counts[1] > counts[2] && counts[2] > counts[0], "{counts:?}");
}

#[test]
fn verify_affinity_has_a_bound() {
    let even = ["a", "b", "c", "d"].map(|it| candidate(it, true, 2));
    let owner = choose(Policy::Affinity, Some("prefix"), &even);
    assert!((0..20).all(|_| choose(Policy::Affinity, Some("prefix"), &even) == owner));
    let mut hot = even.clone();
    hot[owner].own = 9;
    assert_ne!(choose(Policy::Affinity, Some("prefix"), &hot), owner);
}

#[test]
fn verify_subsets_are_stable() {
    let names: Vec<String> = (0..200).map(|it| format!("t{it}")).collect();
    let pick = |names: &[String]| -> Vec<String> {
        let all = names.iter().map(String::as_str);
        subset("entry-1", 16, all).into_iter().map(str::to_owned).collect()
    };
    let before = pick(&names);
    assert_eq!(before.len(), 16);
    let gone = before[3].clone();
    let rest: Vec<String> = names.iter().filter(|it| **it != gone).cloned().collect();
    let after = pick(&rest);
    let kept = before.iter().filter(|it| after.contains(it)).count();
    assert_eq!(kept, 15, "the loss of one target changes one connection");
}

fn ask(customer: &str) -> Ask<'_> {
    Ask {
        customer,
        partner: "p",
        streams: 100,
        share: 0.25,
        serves: "p/m",
        owner: "p",
        granted: 1.0,
        priority: Priority::Normal,
        capacity: 20.0,
        load: 0.0,
    }
}

#[test]
fn verify_unused_capacity_may_be_used() {
    let mut admission = Admission::open(Options::default());
    for held in 0..15 {
        let load = f64::from(held);
        assert!(admission.admit(&Ask { load, ..ask("greedy") }).is_ok(), "at {held} of 20");
    }
}

#[test]
fn verify_share_is_enforced_when_capacity_is_short() {
    let mut admission = Admission::open(Options::default());
    let short = |customer| Ask { load: 19.5, ..ask(customer) };
    let tickets: Vec<_> = (0..5).filter_map(|_| admission.admit(&short("greedy")).ok()).collect();
    assert_eq!(tickets.len(), 5, "its share of 20 is 5");
    assert_eq!(admission.admit(&short("greedy")), Err(Refusal::OverShare));
    assert!(admission.admit(&short("fair")).is_ok());
    admission.release(&tickets[0]);
    assert!(admission.admit(&short("greedy")).is_ok());
}

#[test]
fn verify_lowest_priority_is_shed_first() {
    let at = |load, priority| {
        let mut admission = Admission::open(Options::default());
        admission.admit(&Ask { load, priority, ..ask("c") }).err()
    };
    assert_eq!(at(17.5, Priority::Bulk), Some(Refusal::Saturated));
    assert_eq!(at(17.5, Priority::Normal), None);
    assert_eq!(at(31.0, Priority::Normal), Some(Refusal::Saturated));
    assert_eq!(at(31.0, Priority::Urgent), None);
    assert_eq!(at(41.0, Priority::Urgent), Some(Refusal::Saturated));
}

#[test]
fn verify_limits_and_grants() {
    let mut admission = Admission::open(Options { limit: 3, ..Options::default() });
    let one = Ask { streams: 1, ..ask("c") };
    assert!(admission.admit(&one).is_ok());
    assert_eq!(admission.admit(&one), Err(Refusal::CustomerLimit));
    let foreign = Ask { partner: "q", granted: 0.0, ..ask("d") };
    assert_eq!(admission.admit(&foreign), Err(Refusal::NotGranted));
    let lent = Ask { partner: "q", granted: 0.05, ..ask("d") };
    assert!(admission.admit(&lent).is_ok());
    assert_eq!(admission.admit(&lent), Err(Refusal::GrantUsed));
    assert!(admission.admit(&ask("e")).is_ok());
    assert_eq!(admission.admit(&ask("e")), Err(Refusal::ProcessLimit));
}

#[test]
fn verify_retry_budget() {
    let mut budget = Budget::open(budget::Options { ratio: 0.1, burst: 2.0 });
    assert!(budget.spend() && budget.spend() && !budget.spend());
    (0..9).for_each(|_| budget.earn());
    assert!(!budget.spend(), "nine first attempts earn less than a retry");
    (0..2).for_each(|_| budget.earn());
    assert!(budget.spend() && !budget.spend());
}

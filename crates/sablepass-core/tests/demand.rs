// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Demand of a group from the counts that a sample of its ranks reports.

use sablepass_core::expert::demand::{self, Counts, Demand};

#[test]
fn verify_sample_takes_all_ranks_of_a_small_group() {
    assert_eq!(
        demand::sample(&[true, false, false, true], demand::MAX_SAMPLED_RANKS),
        vec![true; 4]
    );
}

#[test]
fn verify_sample_of_a_large_group_prefers_near_ranks_and_is_bounded() {
    let near: Vec<bool> = (0..72).map(|rank| rank % 3 == 1).collect();
    let sample = demand::sample(&near, demand::MAX_SAMPLED_RANKS);
    assert_eq!(sample, near, "the 24 near ranks fill the sample");
    let few: Vec<bool> = (0..72).map(|rank| rank == 70).collect();
    let sample = demand::sample(&few, demand::MAX_SAMPLED_RANKS);
    assert!(sample[70]);
    assert_eq!(sample.iter().filter(|it| **it).count(), demand::MAX_SAMPLED_RANKS);
}

#[test]
fn verify_counts_return_increments() {
    let mut counts = Counts::default();
    assert_eq!(counts.advance(vec![5, 7]), None, "no earlier counts to compare with");
    assert_eq!(counts.advance(vec![6, 7]), Some(vec![1, 0]));
    assert_eq!(counts.advance(vec![2, 1]), None, "the replica restarted");
    assert_eq!(counts.advance(vec![2, 4]), Some(vec![0, 3]));
    counts.reset();
    assert_eq!(counts.advance(vec![9, 9]), None, "reset for another receiver");
}

#[test]
fn verify_age_depends_on_sampled_ranks_only() {
    let mut demand = Demand::new(3, 1, 2);
    let sampled = [true, false, true];
    assert!(demand.record(100, 0, &[4, 0]));
    assert_eq!(demand.age(100, &sampled), None, "a sampled rank has not reported");
    assert!(demand.record(150, 2, &[0, 1]));
    assert_eq!(demand.age(160, &sampled), Some(60));
    assert!(!demand.record(160, 2, &[1]), "wrong number of counts");
    assert!(!demand.record(160, 3, &[1, 1]), "rank out of range");
}

#[test]
fn verify_recent_returns_choices_of_the_last_intervals() {
    let mut demand = Demand::new(2, 1, 2);
    demand.snapshot(0);
    demand.record(10, 0, &[100, 0]);
    demand.snapshot(100);
    demand.record(110, 0, &[1, 2]);
    demand.record(120, 1, &[0, 5]);
    demand.snapshot(200);
    assert_eq!(demand.recent(1, 0), Some(vec![vec![1.0, 7.0]]));
    assert_eq!(demand.recent(1, 1), Some(vec![vec![100.0, 0.0]]));
    assert_eq!(demand.recent(2, 1), None, "no snapshot from before the first interval");
}

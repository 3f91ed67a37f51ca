// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Prediction of when a group that is not ready becomes ready.

use sablepass_core::forming::{Forming, Opens, Ranks, Times};

/// The time to form that the users' sites declare, and the stall time, in milliseconds.
const FORM: Times = Times { form: 600, stall: 500 };

fn ranks(closed: u32) -> Ranks {
    Ranks { size: 4, closed, unknown: 0 }
}

#[test]
fn verify_an_incomplete_group_is_not_expected_to_become_ready() {
    let mut forming = Forming::default();
    forming.watch(1_000, ranks(3), false);
    assert!(forming.is_closed());
    assert!(!forming.opens_soon(1_000, FORM));
}

#[test]
fn verify_a_complete_group_is_expected_for_its_forming_time_only() {
    let mut forming = Forming::default();
    forming.watch(1_000, ranks(4), false);
    forming.watch(1_500, ranks(4), false);
    assert!(forming.opens_soon(1_500, FORM));
    forming.watch(2_200, ranks(4), false);
    assert!(!forming.opens_soon(2_200, FORM), "the group is not ready for another reason");
    // A rank disappeared and returned: the time starts again.
    forming.watch(2_300, ranks(3), false);
    assert!(!forming.opens_soon(2_300, FORM));
    forming.watch(2_400, ranks(4), false);
    assert!(forming.opens_soon(2_400, FORM));
}

#[test]
fn verify_a_ready_group_is_not_waited_for() {
    let mut forming = Forming::default();
    forming.watch(1_000, ranks(0), false);
    assert!(!forming.is_closed());
    assert!(!forming.opens_soon(1_000, FORM));
}

#[test]
fn verify_unknown_ranks_are_waited_for_by_a_young_process_only() {
    let unknown = Ranks { size: 0, closed: 0, unknown: 4 };
    let mut forming = Forming::default();
    forming.watch(1_000, unknown, true);
    assert!(forming.is_closed() && forming.opens_soon(1_000, FORM));
    forming.watch(2_000, unknown, false);
    assert!(!forming.is_closed(), "targets without agents take work as soon as they are listed");
}

/// All machines lost power, and ranks return one by one while the entry has just started itself.
#[test]
fn verify_returning_ranks_are_waited_for_by_a_young_process_only() {
    let mut forming = Forming::default();
    forming.watch(1_000, ranks(2), true);
    forming.watch(1_300, ranks(3), true);
    assert_eq!(
        forming.opens(1_300, FORM),
        Some(Opens { within: 700, sure: false }),
        "the last rank is expected at any moment"
    );
    forming.watch(2_000, ranks(3), false);
    assert!(forming.opens_soon(2_000, FORM));
    forming.watch(2_050, ranks(4), false);
    assert_eq!(
        forming.opens(2_350, FORM),
        Some(Opens { within: 400, sure: true }),
        "all ranks are present since 2,050"
    );
    // A rank that does not return in time is not waited for.
    let mut forming = Forming::default();
    forming.watch(1_000, ranks(3), true);
    forming.watch(1_900, ranks(3), false);
    assert!(!forming.opens_soon(1_900, FORM));
    // If this process kept running, a rank is missing because it died.
    let mut forming = Forming::default();
    forming.watch(1_000, ranks(0), false);
    forming.watch(1_200, ranks(2), false);
    forming.watch(1_300, ranks(3), false);
    assert!(!forming.opens_soon(1_300, FORM));
}

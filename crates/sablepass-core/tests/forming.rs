// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When a closed group is expected to open.

use sablepass_core::forming::{Forming, Opens, Ranks, Times};

/// The declared time, as on the users' sites, and one for which a group stands.
const FORM: Times = Times { form: 600, stall: 500 };

fn ranks(closed: u32) -> Ranks {
    Ranks { size: 4, closed, unknown: 0 }
}

#[test]
fn verify_a_group_without_a_rank_is_not_expected() {
    let mut it = Forming::default();
    it.watch(1_000, ranks(3), false);
    assert!(it.is_closed());
    assert!(!it.opens_soon(1_000, FORM));
}

#[test]
fn verify_a_complete_group_is_expected_for_its_time_only() {
    let mut it = Forming::default();
    it.watch(1_000, ranks(4), false);
    it.watch(1_500, ranks(4), false);
    assert!(it.opens_soon(1_500, FORM));
    it.watch(2_200, ranks(4), false);
    assert!(!it.opens_soon(2_200, FORM), "something else keeps it closed");
    // A rank went and came back: the time begins anew.
    it.watch(2_300, ranks(3), false);
    assert!(!it.opens_soon(2_300, FORM));
    it.watch(2_400, ranks(4), false);
    assert!(it.opens_soon(2_400, FORM));
}

#[test]
fn verify_an_open_group_is_not_waited_for() {
    let mut it = Forming::default();
    it.watch(1_000, ranks(0), false);
    assert!(!it.is_closed());
    assert!(!it.opens_soon(1_000, FORM));
}

#[test]
fn verify_a_young_process_waits_for_word_and_an_old_one_does_not() {
    let unknown = Ranks { size: 0, closed: 0, unknown: 4 };
    let mut it = Forming::default();
    it.watch(1_000, unknown, true);
    assert!(it.is_closed() && it.opens_soon(1_000, FORM));
    it.watch(2_000, unknown, false);
    assert!(!it.is_closed(), "targets without agents take work as they are listed");
}

/// A herd of restarts: all machines lost power, and ranks come back one by one.
#[test]
fn verify_ranks_that_come_back_are_waited_for_by_a_young_process_only() {
    let mut it = Forming::default();
    it.watch(1_000, ranks(2), true);
    it.watch(1_300, ranks(3), true);
    assert_eq!(
        it.opens(1_300, FORM),
        Some(Opens { within: 700, sure: false }),
        "the last one is expected at any moment"
    );
    it.watch(2_000, ranks(3), false);
    assert!(it.opens_soon(2_000, FORM));
    it.watch(2_050, ranks(4), false);
    assert_eq!(
        it.opens(2_350, FORM),
        Some(Opens { within: 400, sure: true }),
        "all are there since 2,050"
    );
    // A rank that stays away is not waited for.
    let mut it = Forming::default();
    it.watch(1_000, ranks(3), true);
    it.watch(1_900, ranks(3), false);
    assert!(!it.opens_soon(1_900, FORM));
    // Where this process lived on, a rank is missing because it died.
    let mut it = Forming::default();
    it.watch(1_000, ranks(0), false);
    it.watch(1_200, ranks(2), false);
    it.watch(1_300, ranks(3), false);
    assert!(!it.opens_soon(1_300, FORM));
}

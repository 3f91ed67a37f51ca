// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When a closed group is expected to open.

use sablepass_core::forming::{Forming, Ranks};

/// The declared time, as on the users' sites.
const FORM: u64 = 600;

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

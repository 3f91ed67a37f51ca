// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! An entry's view of its targets.

use sablepass_core::id::Incarnation;
use sablepass_core::membership::{Members, Pace, Report};

fn report(in_flight: u32, leaving: bool) -> Report {
    Report {
        in_flight,
        capacity: 16,
        leaving,
        away: false,
        pace: Pace::Sound,
        size: 0,
        lag: 0,
        entries: 1,
        group: 0,
        stalled: false,
        refuses: false,
        pause: 0,
        limit: None,
        engine_age: None,
    }
}

#[test]
fn verify_short_requests_do_not_pile_up() {
    let mut members = Members::open(1_000);
    members.connected(0, "t", Incarnation(1));
    members.record_heartbeat(0, "t", report(0, false));
    // Many more requests than the capacity start and end between two reports.
    for _ in 0..100 {
        members.sent("t");
        members.ended("t");
    }
    let member = members.usable(10, "t").expect("a usable target");
    assert_eq!(member.own + member.others, 0);
}

#[test]
fn verify_own_requests_are_not_counted_twice() {
    let mut members = Members::open(1_000);
    members.connected(0, "t", Incarnation(1));
    members.sent("t");
    members.sent("t");
    members.record_heartbeat(5, "t", report(5, false));
    members.sent("t");
    let member = members.usable(10, "t").expect("a usable target");
    assert_eq!((member.own, member.others), (3, 3));
}

#[test]
fn verify_leaving_outlasts_late_heartbeats() {
    let mut members = Members::open(1_000);
    members.connected(0, "t", Incarnation(1));
    members.record_heartbeat(1, "t", report(0, true));
    members.record_heartbeat(2, "t", report(0, false));
    assert!(members.usable(3, "t").is_none());
    members.disconnected("t");
    members.connected(4, "t", Incarnation(1));
    assert!(members.usable(5, "t").is_none(), "the same incarnation came back");
    members.connected(6, "t", Incarnation(2));
    assert!(members.usable(7, "t").is_some(), "a new incarnation is a new instance");
}

#[test]
fn verify_stalled_engine_is_not_chosen() {
    let mut members = Members::open(1_000);
    members.connected(0, "t", Incarnation(1));
    // The agent is alive and reports how long its engine has not responded.
    for now in (100..=2_900).step_by(100) {
        members.record_heartbeat(now, "t", Report { engine_age: Some(now), ..report(1, false) });
        assert!(members.usable(now, "t").is_some(), "at {now}");
    }
    members.record_heartbeat(3_000, "t", Report { engine_age: Some(3_000), ..report(1, false) });
    assert!(members.usable(3_000, "t").is_none());
    members.record_heartbeat(3_100, "t", Report { engine_age: Some(10), ..report(1, false) });
    assert!(members.usable(3_100, "t").is_some(), "the engine responds again");
}

#[test]
fn verify_target_is_away_until_its_agent_reports_otherwise() {
    let mut members = Members::open(1_000);
    members.connected(0, "t", Incarnation(1));
    members.refused_connection("t");
    assert!(members.usable(1, "t").is_none());
    members.record_heartbeat(2, "t", Report { away: true, ..report(0, false) });
    assert!(members.usable(3, "t").is_none());
    members.record_heartbeat(4, "t", report(0, false));
    assert!(members.usable(5, "t").is_some());
}

#[test]
fn verify_silent_target_is_not_chosen() {
    let mut members = Members::open(1_000);
    members.connected(0, "t", Incarnation(1));
    members.record_heartbeat(500, "t", report(0, false));
    assert!(members.usable(1_499, "t").is_some());
    assert!(members.usable(1_500, "t").is_none());
}

#[test]
fn verify_back_off_grows_with_consecutive_failures() {
    let mut members = Members::open(1_000);
    members.listed(0, "t", false);
    assert_eq!((members.record_failure("t"), members.record_failure("t")), (None, None));
    members.record_success("t");
    assert_eq!(
        (members.record_failure("t"), members.record_failure("t")),
        (None, None),
        "the count starts again"
    );
    let back_offs: Vec<Option<u64>> = (0..6).map(|_| members.record_failure("t")).collect();
    assert_eq!(back_offs, [500, 1_000, 2_000, 4_000, 4_000, 4_000].map(Some));
    assert_eq!(members.record_failure("unknown"), None);
}

#[test]
fn verify_a_machine_without_heartbeats_is_unresponsive() {
    let mut members = Members::open(3_000);
    for name in ["a", "b", "c", "d"] {
        members.listed(0, name, false);
        members.record_heartbeat(0, name, report(1, false));
    }
    for now in (200..=800).step_by(200) {
        ["b", "c", "d"].iter().for_each(|it| members.record_heartbeat(now, it, report(1, false)));
    }
    assert!(members.unresponsive(599).is_empty());
    assert_eq!(members.unresponsive(800).into_iter().collect::<Vec<_>>(), ["a"]);
    // The agent died, which says nothing about the target.
    members.agent_disconnected("a");
    assert!(members.unresponsive(800).is_empty());
    // No agent sends heartbeats: this process was suspended.
    members.record_heartbeat(801, "a", report(1, false));
    assert!(members.unresponsive(5_000).is_empty());
}

/// Number of entries, and slots for each of them.
const ENTRIES: usize = 16;
const SLOTS: f64 = 24.0;

/// All entries know the same reports and start at the same moment. Each must count the requests
/// that it has sent since in full, because the others send as many: if it counted only an equal
/// part of them, each entry would fill the slots of all.
#[test]
fn verify_entries_that_start_at_once_stay_within_all_slots() {
    let mut started = 0;
    for _ in 0..ENTRIES {
        let mut members = Members::open(1_000);
        members.listed(0, "t", false);
        members.record_heartbeat(0, "t", report(0, false));
        let share = |it: &Members| it.get("t").map_or(0.0, |it| it.share(ENTRIES as f64));
        while share(&members) + 1.0 <= SLOTS {
            members.sent("t");
            started += 1;
        }
        // The next report includes the requests of all entries, and the share stays the same.
        members.record_heartbeat(200, "t", report((ENTRIES as f64 * SLOTS) as u32, false));
        assert!((share(&members) - SLOTS).abs() < 1e-9);
        members.ended("t");
        assert!(share(&members) < SLOTS, "a request that ends makes room at once");
    }
    assert!(started as f64 <= ENTRIES as f64 * SLOTS, "{started}");
}

/// A rank's process ends. Its group notices after it has stalled for a while.
#[test]
fn verify_a_group_counts_as_incomplete_until_it_has_noticed() {
    const STALL: u64 = 1_500;
    let mut members = Members::open(1_000);
    members.listed(0, "t", false);
    let report_refusing = |refuses| Report { refuses, size: 16, group: 7, ..report(0, false) };
    members.record_heartbeat(0, "t", report_refusing(false));
    assert_eq!(members.lost_rank(0, "t", STALL), None);
    for now in (100..=1_800).step_by(100) {
        members.record_heartbeat(now, "t", report_refusing(true));
        assert!(members.usable(now, "t").is_none(), "no process listens there");
        assert_eq!(members.lost_rank(now, "t", STALL), Some(7));
    }
    members.record_heartbeat(1_900, "t", report_refusing(true));
    assert_eq!(members.lost_rank(1_900, "t", STALL), None, "its ranks have noticed by now");
    members.record_heartbeat(2_000, "t", report_refusing(false));
    assert!(members.usable(2_000, "t").is_some(), "its next incarnation listens");
    // The report of an agent that has become silent does not count.
    members.record_heartbeat(3_000, "t", report_refusing(true));
    assert!(members.usable(4_000, "t").is_some());
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Notices of targets bind until they end, whatever other messages arrive.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sablepass_core::holders::Holders;
use sablepass_core::id::TargetIncarnation;
use sablepass_core::limits::Rate;
use sablepass_core::notices::Notices;

const FIRST: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 100 };
const NEXT: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 200 };

/// An event about one incarnation of a target.
#[derive(Clone, Debug)]
enum Event {
    /// A response requests a pause of this duration.
    Pause(u64),
    /// The instance list no longer contains the target, for less time than a line may lapse.
    Unlisted,
    /// The instance list contains the target.
    Listed,
    /// Notices that are over are removed.
    Sweep,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 5 {
            0 => Self::Unlisted,
            1 => Self::Listed,
            2 => Self::Sweep,
            _ => Self::Pause(u64::from(u16::arbitrary(g) % 9_000)),
        }
    }
}

quickcheck! {
    /// Of several pauses the latest end applies, whatever the order of events.
    fn verify_the_latest_pause_end_applies(events: Vec<(Event, u16)>) -> bool {
        let mut notices = Notices::default();
        let (mut now, mut until) = (1_000, 0);
        events.iter().all(|(event, later)| {
            now += u64::from(*later % 500);
            match event {
                Event::Pause(duration) => {
                    notices.pause(now, FIRST, *duration);
                    until = until.max(now + duration);
                }
                Event::Unlisted => notices.unlisted(now, FIRST.name),
                Event::Listed => assert!(!notices.listed(now, FIRST)),
                Event::Sweep => notices.sweep(now),
            }
            // The target is listed again before its notices expire after a minute.
            if matches!(event, Event::Unlisted) {
                notices.listed(now, FIRST);
            }
            notices.paused_until(now, FIRST) == Some(until).filter(|it| now < *it)
        })
    }

    /// Pauses of any duration are observed, without overflow.
    fn verify_any_pause_is_observed(now: u32, duration: u64) -> bool {
        let now = u64::from(now);
        let mut notices = Notices::default();
        notices.pause(now, FIRST, duration);
        notices.paused_until(now, FIRST).is_some() == (duration > 0)
    }
}

#[test]
fn verify_only_a_new_incarnation_ends_a_pause() {
    let mut notices = Notices::default();
    assert!(notices.pause(1_000, FIRST, u64::MAX), "the pause begins");
    assert!(!notices.pause(2_000, FIRST, 5), "the pause continues");
    notices.sweep(1_000_000_000_000);
    assert!(notices.paused_until(1_000_000_000_000, FIRST).is_some());
    assert!(!notices.listed(3_000, FIRST), "the incarnation is the same");
    assert!(notices.listed(3_000, NEXT), "the next incarnation ends the pause");
    assert_eq!(notices.paused_until(3_000, NEXT), None);
    assert!(notices.is_empty());
}

#[test]
fn verify_leaving_is_final_for_an_incarnation() {
    let mut notices = Notices::default();
    assert!(notices.leave(1, FIRST), "the notice is new");
    assert!(!notices.leave(2, FIRST), "the notice was known");
    notices.pause(1_000, FIRST, 1);
    notices.listed(1_000, FIRST);
    notices.sweep(900_000);
    assert!(notices.is_leaving(FIRST), "neither time nor the instance list revokes it");
    assert!(!notices.is_leaving(NEXT));
    notices.listed(900_000, NEXT);
    assert!(notices.is_empty());
}

/// The instance list may show an incarnation long after its start: notices received meanwhile
/// belong to that incarnation.
#[test]
fn verify_leaving_belongs_to_an_incarnation_that_is_listed_late() {
    for (announced, leaves) in
        [(60_000, true), (NEXT.started_at + 1_000, false), (NEXT.started_at - 50, false)]
    {
        let mut notices = Notices::default();
        notices.leave(announced, FIRST);
        notices.listed(announced + 10, NEXT);
        assert_eq!(notices.is_leaving(NEXT), leaves, "announced at {announced}");
        notices.listed(announced + 20, FIRST);
        assert!(!notices.is_leaving(FIRST), "that incarnation has ended");
    }
}

/// A pause and a limit are attributed to an incarnation independently of each other.
#[test]
fn verify_pause_and_limit_belong_to_an_incarnation_that_is_listed_late() {
    let holders = Holders::open("entry-1");
    let rate = Rate::new(2.0).expect("a valid rate");
    let (early, late) = (NEXT.started_at + 10, 60_000);
    for (paused, limited) in [(early, late), (late, early), (late, late), (early, early)] {
        let mut notices = Notices::default();
        notices.pause(paused, FIRST, 200_000);
        notices.reported_by_peer(limited, FIRST, Some(rate), &holders);
        let ends = notices.listed(late + 10, NEXT);
        let case = format!("pause at {paused}, limit at {limited}");
        assert_eq!(notices.paused_until(late + 10, NEXT).is_some(), paused == late, "{case}");
        assert_eq!(notices.limited(NEXT).is_some(), limited == late, "{case}");
        assert_eq!(ends, paused == early, "{case}");
    }
}

/// Notices must not accumulate when a fleet is replaced repeatedly.
#[test]
fn verify_notices_of_unlisted_targets_are_removed() {
    let mut notices = Notices::default();
    for round in 0..10 {
        let now = round * 120_000;
        notices.sweep(now);
        assert!(notices.is_empty(), "round {round}: {}", notices.len());
        let names: Vec<String> = (0..5_000).map(|it| format!("i-{round}-{it}")).collect();
        for name in &names {
            let life = TargetIncarnation { name, started_at: 0 };
            notices.leave(1, life);
            notices.pause(now, life, u64::MAX);
            notices.unlisted(now + 1, name);
        }
        notices.sweep(now + 2_000);
        assert_eq!(notices.len(), names.len(), "lines of live targets may lapse and come back");
    }
}

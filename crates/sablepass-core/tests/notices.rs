// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What targets said of themselves binds until its end, whatever else is heard.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sablepass_core::holders::Holders;
use sablepass_core::id::Life;
use sablepass_core::limits::Rate;
use sablepass_core::notices::Notices;

const FIRST: Life<'static> = Life { name: "i-1", born: 100 };
const NEXT: Life<'static> = Life { name: "i-1", born: 200 };

/// What an entry hears of one life of a target, and how much later than the step before.
#[derive(Clone, Debug)]
enum Step {
    /// An answer asks for a rest of so long.
    Rest(u64),
    /// The list names it no more, for less than a lapse may last.
    Unlisted,
    /// The list names it.
    Listed,
    /// What is over is forgotten.
    Sweep,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 5 {
            0 => Self::Unlisted,
            1 => Self::Listed,
            2 => Self::Sweep,
            _ => Self::Rest(u64::from(u16::arbitrary(g) % 9_000)),
        }
    }
}

quickcheck! {
    /// The latest end holds, in whatever order and among whatever else it is told.
    fn verify_the_latest_end_holds(steps: Vec<(Step, u16)>) -> bool {
        let mut notices = Notices::default();
        let (mut now, mut until) = (1_000, 0);
        steps.iter().all(|(step, later)| {
            now += u64::from(*later % 500);
            match step {
                Step::Rest(asked) => {
                    notices.pause(now, FIRST, *asked);
                    until = until.max(now + asked);
                }
                Step::Unlisted => notices.unlisted(now, FIRST.name),
                Step::Listed => assert!(!notices.listed(now, FIRST)),
                Step::Sweep => notices.sweep(now),
            }
            // No lapse of these lasts a minute.
            if matches!(step, Step::Unlisted) {
                notices.listed(now, FIRST);
            }
            notices.paused_until(now, FIRST) == Some(until).filter(|it| now < *it)
        })
    }

    /// However long it is, and without overflow.
    fn verify_any_rest_is_honoured(now: u32, asked: u64) -> bool {
        let now = u64::from(now);
        let mut notices = Notices::default();
        notices.pause(now, FIRST, asked);
        notices.paused_until(now, FIRST).is_some() == (asked > 0)
    }
}

#[test]
fn verify_only_a_new_life_ends_a_rest() {
    let mut notices = Notices::default();
    assert!(notices.pause(1_000, FIRST, u64::MAX), "it begins");
    assert!(!notices.pause(2_000, FIRST, 5), "it goes on");
    notices.sweep(1_000_000_000_000);
    assert!(notices.paused_until(1_000_000_000_000, FIRST).is_some());
    assert!(!notices.listed(3_000, FIRST), "it is the same life");
    assert!(notices.listed(3_000, NEXT), "the next one ends it");
    assert_eq!(notices.paused_until(3_000, NEXT), None);
    assert!(notices.is_empty());
}

#[test]
fn verify_leaving_is_for_good_in_one_life() {
    let mut notices = Notices::default();
    assert!(notices.leave(1, FIRST), "it is new");
    assert!(!notices.leave(2, FIRST), "it was known");
    notices.pause(1_000, FIRST, 1);
    notices.listed(1_000, FIRST);
    notices.sweep(900_000);
    assert!(notices.is_leaving(FIRST), "neither time nor a list takes it back");
    assert!(!notices.is_leaving(NEXT));
    notices.listed(900_000, NEXT);
    assert!(notices.is_empty());
}

/// The list may name a life long after it began: what a target said meanwhile, this life said.
#[test]
fn verify_a_word_outlasts_a_list_that_learns_late_of_its_life() {
    for (said, leaves) in [(60_000, true), (NEXT.born + 1_000, false), (NEXT.born - 50, false)] {
        let mut notices = Notices::default();
        notices.leave(said, FIRST);
        notices.listed(said + 10, NEXT);
        assert_eq!(notices.is_leaving(NEXT), leaves, "said at {said}");
        notices.listed(said + 20, FIRST);
        assert!(!notices.is_leaving(FIRST), "a life that is over");
    }
}

/// What it wants of entries besides is judged word by word.
#[test]
fn verify_each_word_outlasts_a_list_that_learns_late_of_its_life() {
    let holders = Holders::open("entry-1");
    let rate = Rate::new(2.0).expect("a rate");
    let (early, late) = (NEXT.born + 10, 60_000);
    for (rests, limited) in [(early, late), (late, early), (late, late), (early, early)] {
        let mut notices = Notices::default();
        notices.pause(rests, FIRST, 200_000);
        notices.reported_by_peer(limited, FIRST, Some(rate), &holders);
        let ends = notices.listed(late + 10, NEXT);
        let case = format!("rest at {rests}, limit at {limited}");
        assert_eq!(notices.paused_until(late + 10, NEXT).is_some(), rests == late, "{case}");
        assert_eq!(notices.limited(NEXT).is_some(), limited == late, "{case}");
        assert_eq!(ends, rests == early, "{case}");
    }
}

/// A fleet that is replaced time and again leaves nothing behind.
#[test]
fn verify_what_is_listed_no_more_is_forgotten() {
    let mut notices = Notices::default();
    for round in 0..10 {
        let now = round * 120_000;
        notices.sweep(now);
        assert!(notices.is_empty(), "round {round}: {}", notices.len());
        let names: Vec<String> = (0..5_000).map(|it| format!("i-{round}-{it}")).collect();
        for name in &names {
            let life = Life { name, born: 0 };
            notices.leave(1, life);
            notices.pause(now, life, u64::MAX);
            notices.unlisted(now + 1, name);
        }
        notices.sweep(now + 2_000);
        assert_eq!(notices.len(), names.len(), "entries of live ones may lapse and come back");
    }
}

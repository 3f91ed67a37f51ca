// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A limit holds for as long as its target says so, however late and in whatever order its
//! answers come.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sablepass_core::holders::Holders;
use sablepass_core::id::Life;
use sablepass_core::limits::{Change, Rate, Turn};
use sablepass_core::notices::Notices;

const FIRST: Life<'static> = Life { name: "i-1", born: 100 };
const NEXT: Life<'static> = Life { name: "i-1", born: 200 };

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

/// The view of an entry that is alone and knows it.
fn alone() -> Holders {
    let mut holders = Holders::open("entry-1");
    holders.watch(0, Some(1));
    holders.watch(2_000, Some(1));
    holders
}

fn limit(notices: &Notices) -> Option<f64> {
    notices.limited(FIRST).map(|it| it.rate().per_second())
}

/// Answers take up to half a second; whether the target names its limit is as it was
/// when it answered.
#[derive(Clone, Debug)]
struct Answered {
    sent: u64,
    answered: u64,
    heard: u64,
}

impl Arbitrary for Answered {
    fn arbitrary(g: &mut Gen) -> Self {
        let sent = 1_000 + u64::from(u16::arbitrary(g) % 8_000);
        let answered = sent + u64::from(u8::arbitrary(g));
        Self { sent, answered, heard: answered + u64::from(u8::arbitrary(g)) }
    }
}

/// The target names a limit of 2 from then on, one of 1 for a while, then 2 again, then none.
fn named_at(at: u64) -> Option<f64> {
    match at {
        0..3_000 => None,
        3_000..4_000 | 5_500..7_000 => Some(2.0),
        4_000..5_500 => Some(1.0),
        _ => None,
    }
}

quickcheck! {
    /// It is never believed to be higher, or over, while an answer that was heard says
    /// otherwise and no request sent since was answered so.
    fn verify_no_late_answer_raises_or_ends_a_limit(answers: Vec<Answered>) -> bool {
        let (holders, mut notices) = (alone(), Notices::default());
        let mut answers = answers;
        answers.sort_by_key(|it| it.heard);
        let mut newest = None;
        answers.iter().all(|it| {
            let named = named_at(it.answered);
            notices.answered(it.heard, FIRST, it.sent, named.map(rate), &holders);
            if newest.is_none_or(|(at, _)| it.answered >= at) {
                newest = Some((it.answered, named));
            }
            // The newest answer heard names one: no more than that is believed.
            let Some((_, Some(truth))) = newest else { return true };
            limit(&notices).is_some_and(|it| it <= truth)
        })
    }

    fn verify_whatever_is_told_no_rate_is_wrong(steps: Vec<(bool, Option<u8>, u16)>) -> bool {
        let (holders, mut notices) = (alone(), Notices::default());
        let mut now = 3_000;
        steps.iter().all(|(told, figure, later)| {
            now += u64::from(*later % 900);
            let figure = figure.map(|it| rate(f64::from(it) / 8.0));
            if *told {
                notices.reported_by_peer(now, FIRST, figure, &holders);
            } else {
                notices.answered(now, FIRST, now - 1, figure, &holders);
            }
            notices.apply_pending(now, &holders);
            let part = notices.limited(FIRST).map(|it| (it.rate().usable(), it.bucket.per_second()));
            part.is_none_or(|(rate, part)| (rate.per_second() - part).abs() < 1e-6)
        })
    }
}

#[test]
fn verify_a_limit_ends_with_three_answers_without_it() {
    let (holders, mut notices) = (alone(), Notices::default());
    assert_eq!(
        notices.answered(3_000, FIRST, 0, Some(rate(1.0)), &holders),
        Change::Set(rate(1.0))
    );
    for late in 0..10 {
        let change = notices.answered(3_100 + late, FIRST, 2_900, None, &holders);
        assert_eq!(change, Change::None, "they were sent before it was named");
    }
    for (named, at) in [(None, 3_200), (None, 3_300), (Some(rate(1.0)), 3_400)] {
        let change = notices.answered(at, FIRST, at - 10, named, &holders);
        assert_eq!(change, Change::None, "a target may leave it out of two answers in a row");
    }
    let ends = [3_500, 3_600, 3_700].map(|at| notices.answered(at, FIRST, at - 10, None, &holders));
    assert_eq!(ends, [Change::None, Change::None, Change::Ended]);
    assert_eq!(notices.next(3_700, FIRST), None);
}

#[test]
fn verify_what_others_tell_waits_unless_it_is_lower() {
    let (holders, mut notices) = (alone(), Notices::default());
    notices.reported_by_peer(3_000, FIRST, Some(rate(4.0)), &holders);
    assert_eq!(limit(&notices), Some(4.0), "as if the target had told it");
    notices.reported_by_peer(3_000, FIRST, Some(rate(2.0)), &holders);
    assert_eq!(limit(&notices), Some(2.0), "a lower figure holds at once");
    notices.reported_by_peer(3_100, FIRST, Some(rate(8.0)), &holders);
    notices.apply_pending(3_900, &holders);
    assert_eq!(limit(&notices), Some(2.0), "a higher one has to wait");
    notices.apply_pending(4_100, &holders);
    assert_eq!(limit(&notices), Some(8.0));
    notices.reported_by_peer(5_000, FIRST, None, &holders);
    notices.answered(5_500, FIRST, 5_400, Some(rate(8.0)), &holders);
    notices.apply_pending(9_000, &holders);
    assert_eq!(limit(&notices), Some(8.0), "the target spoke against its end");
    notices.reported_by_peer(9_000, FIRST, None, &holders);
    assert_eq!(notices.apply_pending(10_000, &holders).len(), 1);
    assert_eq!(limit(&notices), None);
}

/// What is told of a limit, at each entry and target: little, however often its figure changes
/// by little.
#[test]
fn verify_small_changes_are_not_told() {
    let (holders, mut notices) = (alone(), Notices::default());
    let named = |notices: &mut Notices, step: u64| {
        let now = 3_000 + step * 10;
        let figure = rate(100.0 + (step % 10) as f64);
        notices.answered(now, FIRST, now - 1, Some(figure), &holders) != Change::None
    };
    let told = (0..1_000).filter(|step| named(&mut notices, *step)).count();
    assert_eq!(told, 1, "the first figure, from which no other differs by a tenth");
}

#[test]
fn verify_only_a_new_life_ends_a_limit_at_once() {
    let (holders, mut notices) = (alone(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(1.0)), &holders);
    notices.unlisted(3_100, FIRST.name);
    notices.sweep(50_000);
    notices.listed(50_000, FIRST);
    assert_eq!(limit(&notices), Some(1.0), "lapses and time do not");
    notices.listed(51_000, NEXT);
    assert!(notices.limited(NEXT).is_none() && notices.is_empty());
}

/// A million of targets that nobody lists: no more is kept than is stated.
#[test]
fn verify_a_flood_of_limits_is_bounded() {
    let (holders, mut notices) = (alone(), Notices::default());
    for number in 0..1_000_000 {
        let name = format!("i-{number}");
        if notices.has_room(&name) {
            notices.reported_by_peer(3_000, Life { name: &name, born: 0 }, Some(rate(1.0)), &holders);
            notices.unlisted(3_000, &name);
        }
    }
    assert_eq!(notices.len(), 16_384);
    notices.sweep(63_001);
    assert!(notices.is_empty(), "they lapse");
}

/// Rest goes first, and neither takes the other back.
#[test]
fn verify_a_limit_stands_beside_a_rest() {
    let (holders, mut notices) = (alone(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(1.0)), &holders);
    notices.pause(3_000, FIRST, 500);
    notices.sweep(4_000);
    assert!(notices.paused_until(4_000, FIRST).is_none());
    assert_eq!(limit(&notices), Some(1.0));
}

/// Nobody would hear that it is over.
#[test]
fn verify_a_limit_of_nothing_is_asked_about_now_and_then() {
    let (holders, mut notices) = (alone(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(0.0)), &holders);
    let sent = (3_000..63_000).filter(|now| notices.reserve(*now, FIRST, 0) == Some(Turn::In(0)));
    assert!((5..=6).contains(&sent.count()), "one in ten seconds");
}

/// Turns given out for later are counted: nobody else gets them.
#[test]
fn verify_turns_come_one_after_the_other() {
    let (holders, mut notices) = (alone(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(2.0)), &holders);
    let turns: Vec<Option<Turn>> = (0..4).map(|_| notices.reserve(3_000, FIRST, 1_700)).collect();
    let expected = [Turn::In(500), Turn::In(1_000), Turn::In(1_500), Turn::TooLate(2_000)];
    assert_eq!(turns, expected.map(Some).to_vec());
}

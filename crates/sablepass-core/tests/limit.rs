// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A limit holds until its target withdraws it, however late and in whatever order responses
//! arrive.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sablepass_core::holders::Holders;
use sablepass_core::id::TargetIncarnation;
use sablepass_core::limits::{Change, Rate, Turn};
use sablepass_core::notices::Notices;

const FIRST: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 100 };
const NEXT: TargetIncarnation<'static> = TargetIncarnation { name: "i-1", started_at: 200 };

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a valid rate")
}

/// The view of a single entry that knows the count of entries.
fn single_entry() -> Holders {
    let mut holders = Holders::open("entry-1");
    holders.watch(0, Some(1));
    holders.watch(2_000, Some(1));
    holders
}

fn limit(notices: &Notices) -> Option<f64> {
    notices.limited(FIRST).map(|it| it.rate().per_second())
}

/// A response, which takes up to half a second. The limit that it announces is the one at the time
/// `answered`, when the target sent it.
#[derive(Clone, Debug)]
struct Response {
    sent: u64,
    answered: u64,
    received: u64,
}

impl Arbitrary for Response {
    fn arbitrary(g: &mut Gen) -> Self {
        let sent = 1_000 + u64::from(u16::arbitrary(g) % 8_000);
        let answered = sent + u64::from(u8::arbitrary(g));
        Self { sent, answered, received: answered + u64::from(u8::arbitrary(g)) }
    }
}

/// The limit that the target announces at a time: none, then 2, for a while 1, then 2 again, then
/// none.
fn announced_at(at: u64) -> Option<f64> {
    match at {
        0..3_000 => None,
        3_000..4_000 | 5_500..7_000 => Some(2.0),
        4_000..5_500 => Some(1.0),
        _ => None,
    }
}

quickcheck! {
    /// A limit must not be raised or ended by late responses: while the newest response received
    /// announces a limit, no higher one is in force.
    fn verify_no_late_response_raises_or_ends_a_limit(responses: Vec<Response>) -> bool {
        let (holders, mut notices) = (single_entry(), Notices::default());
        let mut responses = responses;
        responses.sort_by_key(|it| it.received);
        let mut newest = None;
        responses.iter().all(|it| {
            let announced = announced_at(it.answered);
            notices.answered(it.received, FIRST, it.sent, announced.map(rate), &holders);
            if newest.is_none_or(|(at, _)| it.answered >= at) {
                newest = Some((it.answered, announced));
            }
            // The newest response received announces a limit: no higher one may be in force.
            let Some((_, Some(truth))) = newest else { return true };
            limit(&notices).is_some_and(|it| it <= truth)
        })
    }

    fn verify_share_matches_the_limit_after_any_reports(steps: Vec<(bool, Option<u8>, u16)>) -> bool {
        let (holders, mut notices) = (single_entry(), Notices::default());
        let mut now = 3_000;
        steps.iter().all(|(from_peer, reported, later)| {
            now += u64::from(*later % 900);
            let reported = reported.map(|it| rate(f64::from(it) / 8.0));
            if *from_peer {
                notices.reported_by_peer(now, FIRST, reported, &holders);
            } else {
                notices.answered(now, FIRST, now - 1, reported, &holders);
            }
            notices.apply_pending(now, &holders);
            let part = notices.limited(FIRST).map(|it| (it.rate().usable(), it.bucket.per_second()));
            part.is_none_or(|(rate, part)| (rate.per_second() - part).abs() < 1e-6)
        })
    }
}

#[test]
fn verify_a_limit_ends_after_three_responses_without_it() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    assert_eq!(
        notices.answered(3_000, FIRST, 0, Some(rate(1.0)), &holders),
        Change::Set(rate(1.0))
    );
    for late in 0..10 {
        let change = notices.answered(3_100 + late, FIRST, 2_900, None, &holders);
        assert_eq!(change, Change::None, "they were sent before the limit was announced");
    }
    for (announced, at) in [(None, 3_200), (None, 3_300), (Some(rate(1.0)), 3_400)] {
        let change = notices.answered(at, FIRST, at - 10, announced, &holders);
        assert_eq!(change, Change::None, "a target may omit it from two responses in a row");
    }
    let changes =
        [3_500, 3_600, 3_700].map(|at| notices.answered(at, FIRST, at - 10, None, &holders));
    assert_eq!(changes, [Change::None, Change::None, Change::Ended]);
    assert_eq!(notices.next(3_700, FIRST), None);
}

#[test]
fn verify_only_lower_rates_of_peers_apply_at_once() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    notices.reported_by_peer(3_000, FIRST, Some(rate(4.0)), &holders);
    assert_eq!(limit(&notices), Some(4.0), "as if the target had announced it");
    notices.reported_by_peer(3_000, FIRST, Some(rate(2.0)), &holders);
    assert_eq!(limit(&notices), Some(2.0), "a lower rate applies at once");
    notices.reported_by_peer(3_100, FIRST, Some(rate(8.0)), &holders);
    notices.apply_pending(3_900, &holders);
    assert_eq!(limit(&notices), Some(2.0), "a higher rate is delayed");
    notices.apply_pending(4_100, &holders);
    assert_eq!(limit(&notices), Some(8.0));
    notices.reported_by_peer(5_000, FIRST, None, &holders);
    notices.answered(5_500, FIRST, 5_400, Some(rate(8.0)), &holders);
    notices.apply_pending(9_000, &holders);
    assert_eq!(limit(&notices), Some(8.0), "the target contradicted the end");
    notices.reported_by_peer(9_000, FIRST, None, &holders);
    assert_eq!(notices.apply_pending(10_000, &holders).len(), 1);
    assert_eq!(limit(&notices), None);
}

/// Peers are sent few updates of a limit, however often its rate changes slightly.
#[test]
fn verify_small_changes_are_not_sent() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    let announce = |notices: &mut Notices, step: u64| {
        let now = 3_000 + step * 10;
        let reported = rate(100.0 + (step % 10) as f64);
        notices.answered(now, FIRST, now - 1, Some(reported), &holders) != Change::None
    };
    let sent = (0..1_000).filter(|step| announce(&mut notices, *step)).count();
    assert_eq!(sent, 1, "the first rate, from which no other differs by a tenth");
}

#[test]
fn verify_only_a_new_incarnation_ends_a_limit_at_once() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(1.0)), &holders);
    notices.unlisted(3_100, FIRST.name);
    notices.sweep(50_000);
    notices.listed(50_000, FIRST);
    assert_eq!(limit(&notices), Some(1.0), "a lapse or time does not end it");
    notices.listed(51_000, NEXT);
    assert!(notices.limited(NEXT).is_none() && notices.is_empty());
}

/// Notices of a million targets that are not in the instance list must not exceed the bound.
#[test]
fn verify_a_flood_of_limits_is_bounded() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    for number in 0..1_000_000 {
        let name = format!("i-{number}");
        if notices.has_room(&name) {
            notices.reported_by_peer(
                3_000,
                TargetIncarnation { name: &name, started_at: 0 },
                Some(rate(1.0)),
                &holders,
            );
            notices.unlisted(3_000, &name);
        }
    }
    assert_eq!(notices.len(), 16_384);
    notices.sweep(63_001);
    assert!(notices.is_empty(), "notices of unlisted targets expire");
}

/// A pause takes precedence over a limit, and neither revokes the other.
#[test]
fn verify_a_limit_is_independent_of_a_pause() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(1.0)), &holders);
    notices.pause(3_000, FIRST, 500);
    notices.sweep(4_000);
    assert!(notices.paused_until(4_000, FIRST).is_none());
    assert_eq!(limit(&notices), Some(1.0));
}

/// Without any requests, no entry would learn that a limit of 0 has ended.
#[test]
fn verify_a_limit_of_zero_is_probed() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(0.0)), &holders);
    let sent = (3_000..63_000).filter(|now| notices.reserve(*now, FIRST, 0) == Some(Turn::In(0)));
    assert!((5..=6).contains(&sent.count()), "one request in ten seconds");
}

/// Requests reserved for later are counted, so no slot is given out twice.
#[test]
fn verify_reserved_requests_are_spaced() {
    let (holders, mut notices) = (single_entry(), Notices::default());
    notices.answered(3_000, FIRST, 0, Some(rate(2.0)), &holders);
    let reserved: Vec<Option<Turn>> =
        (0..4).map(|_| notices.reserve(3_000, FIRST, 1_700)).collect();
    let expected = [Turn::In(500), Turn::In(1_000), Turn::In(1_500), Turn::TooLate(2_000)];
    assert_eq!(reserved, expected.map(Some).to_vec());
}

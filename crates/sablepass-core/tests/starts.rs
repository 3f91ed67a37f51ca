// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When streams begin, and how long passes take that they share.

use sablepass_core::id::RequestId;
use sablepass_core::pass::Times;
use sablepass_core::starts::{Ask, Starts, Turn};

fn ask(id: u128, excess: Option<f64>) -> Ask {
    Ask { id: RequestId(id), objective: 500, waited: 0, excess, running: 20 }
}

#[test]
fn verify_streams_begin_at_once_while_there_is_room_or_nothing_is_known() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(&ask(1, Some(-0.5))), Turn::Now);
    assert_eq!(starts.ask(&ask(2, None)), Turn::Now);
    assert_eq!(starts.front(), None);
}

#[test]
fn verify_streams_wait_in_order_and_behind_each_other() {
    let mut starts = Starts::default();
    assert_eq!(
        starts.ask(&ask(1, Some(0.0))),
        Turn::Wait(100),
        "20 streams of 2 s end 10 a second"
    );
    // There would be room, but another one was first.
    assert_eq!(starts.ask(&ask(2, Some(-0.5))), Turn::Wait(200));
    assert_eq!(starts.next(Some(0.5)), None, "no room");
    assert_eq!(starts.next(Some(-1.0)), Some(RequestId(1)));
    assert_eq!(starts.next(Some(-1.0)), Some(RequestId(2)));
    assert_eq!(starts.next(Some(-1.0)), None);
}

#[test]
fn verify_streams_that_would_be_late_are_refused_with_their_turn() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(&ask(1, Some(3.0))), Turn::Refuse(400));
    assert_eq!(starts.front(), None, "what is refused does not wait");
    // Waiting already used up what was left.
    let late = Ask { waited: 200, ..ask(2, Some(0.0)) };
    assert_eq!(starts.ask(&late), Turn::Refuse(100));
    // Streams that end sooner make room sooner.
    (0..100).for_each(|_| starts.lasted(500, 100));
    assert!(matches!(starts.ask(&ask(3, Some(3.0))), Turn::Wait(_)));
}

#[test]
fn verify_streams_that_left_lose_their_turn() {
    let mut starts = Starts::default();
    starts.ask(&ask(1, Some(0.0)));
    starts.ask(&ask(2, Some(0.0)));
    starts.retain(|it| *it != RequestId(1));
    assert_eq!(starts.front(), Some(RequestId(2)));
}

#[test]
fn verify_fewer_sequences_fit_into_a_pass_on_an_uneven_map() {
    // Four steps of 4.55 ms and 0.905 ms a sequence; prompts of 835 tokens at 61.4 a millisecond.
    let times = Times::new(4.0, 4.55, 0.905, 0.85, (835.0, 61.4));
    let fit = |lag| times.sequences(114.0, lag);
    assert!(fit(1.0) > fit(1.5) && fit(1.5) > fit(2.5) && fit(2.5) > fit(3.5));
    let pass = |sequences: f64, lag: f64| {
        times.base + (sequences * times.sequence + times.reading) * (0.15 + 0.85 * lag)
    };
    for lag in [1.0, 1.5, 2.5, 3.5] {
        assert!((pass(fit(lag), lag) - 114.0).abs() < 1e-6, "lag {lag}");
    }
    assert_eq!(times.sequences(10.0, 1.0), 0.0, "not even an empty pass is short enough");
    let free = Times::new(4.0, 4.55, 0.0, 0.85, (0.0, 0.0));
    assert_eq!(free.sequences(114.0, 3.0), f64::INFINITY);
}

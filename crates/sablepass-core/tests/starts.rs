// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When streams begin, and how long passes take that they share.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::pass::{Steps, Times};
use sablepass_core::starts::{Ask, Room, Starts, Turn};

/// A stream that arrives at this time.
fn ask(id: u128, arrived: Millis) -> Ask {
    Ask { id: RequestId(id), arrived, objective: 500, patience: 2_000, resumed: false }
}

/// Room for this many more than the 20 that run.
fn room(more: f64) -> Room {
    Room::Open { places: 20.0 + more, load: 20.0, reads: 4.0 }
}

#[test]
fn verify_streams_begin_at_once_while_there_is_room_or_nothing_is_known() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(0, &ask(1, 0), room(1.5)), Turn::Now);
    assert_eq!(starts.ask(0, &ask(2, 0), Room::Free), Turn::Now);
    assert!(starts.is_idle());
}

#[test]
fn verify_streams_wait_in_order_and_behind_each_other() {
    let mut starts = Starts::default();
    assert_eq!(
        starts.ask(0, &ask(1, 0), room(1.0)),
        Turn::Wait(100),
        "20 streams of 2 s end 10 a second"
    );
    // There would be room, but another one was first.
    assert_eq!(starts.ask(0, &ask(2, 0), room(1.5)), Turn::Wait(200));
    assert_eq!(starts.next(0, room(0.5)), None, "no room");
    assert_eq!(starts.next(0, room(2.0)), Some(RequestId(1)));
    assert_eq!(starts.next(0, room(2.0)), Some(RequestId(2)));
    assert_eq!(starts.next(0, room(2.0)), None);
}

#[test]
fn verify_streams_that_would_be_late_are_refused_with_their_turn() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(0, &ask(1, 0), room(-2.0)), Turn::Refuse(Some(400)));
    assert!(starts.is_idle(), "what is refused does not wait");
    // Waiting already used up what was left.
    assert_eq!(starts.ask(200, &ask(2, 0), room(1.0)), Turn::Refuse(Some(100)));
    // Streams that end sooner make room sooner.
    (0..100).for_each(|_| starts.lasted(500, 100));
    assert!(matches!(starts.ask(0, &ask(3, 0), room(-2.0)), Turn::Wait(_)));
}

#[test]
fn verify_streams_that_left_lose_their_turn() {
    let mut starts = Starts::default();
    starts.ask(0, &ask(1, 0), room(1.0));
    starts.ask(0, &ask(2, 0), room(1.0));
    starts.retain(|it| *it != RequestId(1));
    assert_eq!(starts.front(0).map(|it| it.id), Some(RequestId(2)));
}

/// A group that opens with a backlog: what waited for it and what broke off when
/// it was lost is late already, and what arrives now is not.
#[test]
fn verify_opening_with_a_backlog_serves_those_in_time_first() {
    let mut starts = Starts::default();
    let opens = Room::Opens { within: 600, places: 20.0, sure: true };
    for id in 0..14 {
        let turn = starts.ask(100, &ask(id, 100), opens);
        assert!(matches!(turn, Turn::Wait(_)), "stream {id}: {turn:?}");
    }
    let broken = Ask { resumed: true, ..ask(99, 650) };
    assert!(matches!(starts.ask(650, &broken, opens), Turn::Wait(_)));
    // More than there will be places for are told so and do not wait.
    let turns: Vec<Turn> = (90..98).map(|id| starts.ask(660, &ask(id, 660), opens)).collect();
    assert!(matches!(turns[7], Turn::Refuse(Some(601..))), "{turns:?}");
    assert_eq!(starts.next(699, opens), None, "nothing begins before it opens");
    // It opens. Those in time begin first, whenever they came, and then those late.
    let open = |load| Room::Open { places: 20.0, load, reads: 30.0 };
    let mut begun = Vec::new();
    while let Some(RequestId(id)) = starts.next(700, open(begun.len() as f64)) {
        begun.push(id);
    }
    let timely = begun.iter().take_while(|it| (90..98).contains(*it)).count();
    assert!(timely > 0, "{begun:?}");
    assert!(begun[timely..].iter().all(|it| *it < 15 || *it == 99), "{begun:?}");
    assert!((10..19).contains(&begun.len()), "late ones leave room: {begun:?}");
    let load = begun.len() as f64;
    assert_eq!(starts.ask(710, &ask(201, 710), open(load)), Turn::Now, "in time goes first");
}

#[test]
fn verify_a_herd_that_is_late_begins_as_fast_as_prompts_are_read() {
    let mut starts = Starts::default();
    let room = Room::Open { places: 100.0, load: 20.0, reads: 4.0 };
    let broken = |id| Ask { resumed: true, ..ask(id, 0) };
    let turns: Vec<Turn> = (0..8).map(|id| starts.ask(0, &broken(id), room)).collect();
    assert_eq!(turns[..4], [Turn::Now; 4]);
    assert!(turns[4..].iter().all(|it| matches!(it, Turn::Wait(1..=200))), "{turns:?}");
    assert_eq!(starts.ask(10, &ask(50, 10), room), Turn::Now, "one in time waits for none");
    assert_eq!(starts.next(100, room), None, "five are read");
    assert_eq!(starts.next(205, room), Some(RequestId(4)));
    assert_eq!(starts.next(205, room), Some(RequestId(5)));
}

#[test]
fn verify_what_will_have_no_turn_is_told_so_at_once() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(0, &ask(1, 0), Room::Closed), Turn::Refuse(None));
    // It would have its first event after its caller has left.
    let late = Room::Opens { within: 1_800, places: 20.0, sure: true };
    assert_eq!(starts.ask(0, &ask(2, 0), late), Turn::Refuse(Some(1_800)));
    let hoped = Room::Opens { within: 1_800, places: 20.0, sure: false };
    assert_eq!(starts.ask(0, &ask(2, 0), hoped), Turn::Refuse(None), "nobody knows when");
    // One that waits is told when the group is lost again.
    let opens = Room::Opens { within: 600, places: 20.0, sure: true };
    assert_eq!(starts.ask(0, &ask(3, 0), opens), Turn::Wait(600));
    assert_eq!(starts.give_up(100, opens), None);
    assert_eq!(starts.give_up(100, Room::Closed), Some((RequestId(3), None)));
    assert!(starts.is_idle());
}

/// The load of a burst: those in time take all that ends, and what is late is told
/// so instead of waiting for room that will not come.
#[test]
fn verify_what_is_late_does_not_wait_while_those_in_time_take_all_that_ends() {
    let mut starts = Starts::default();
    let full = Room::Open { places: 20.0, load: 20.0, reads: 4.0 };
    // Ten streams end a second, and ten arrive.
    for id in 0..60 {
        let now = u64::try_from(id).expect("small") * 100;
        starts.ask(now, &ask(id, now), full);
        starts.next(now, Room::Free);
    }
    let broken = Ask { resumed: true, ..ask(100, 6_000) };
    assert!(matches!(starts.ask(6_000, &broken, full), Turn::Refuse(Some(_))));
}

#[test]
fn verify_a_stream_that_broke_off_waits_as_long_as_its_caller() {
    let mut starts = Starts::default();
    let broken = Ask { resumed: true, ..ask(1, 0) };
    assert_eq!(starts.ask(0, &broken, room(-3.0)), Turn::Wait(400 + 100));
    assert_eq!(starts.give_up(1_700, room(-3.0)), None);
    let (id, turn) = starts.give_up(1_900, room(-3.0)).expect("its caller is about to leave");
    assert_eq!((id, turn), (RequestId(1), Some(100)));
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

#[test]
fn verify_a_group_stands_when_it_makes_no_step_although_there_is_work() {
    let mut steps = Steps::default();
    steps.watch(0, 7, true);
    assert!(!steps.is_stalled(499) && steps.is_stalled(500));
    steps.watch(600, 8, true);
    assert!(!steps.is_stalled(1_099), "it went on");
    steps.watch(1_200, 8, false);
    assert!(!steps.is_stalled(9_000), "an idle group makes no steps");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When streams start, and how long the passes take that they share.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::pass::{Steps, Times};
use sablepass_core::starts::{Ask, Room, Starts, Turn};

/// A stream that arrives at this time, in milliseconds.
fn ask(id: u128, arrived: Millis) -> Ask {
    Ask { id: RequestId(id), arrived, objective: 500, patience: 2_000, resumed: false }
}

/// Capacity for this many streams besides the 20 active ones.
fn room(more: f64) -> Room {
    Room::Open { places: 20.0 + more, load: 20.0, reads: 4.0 }
}

#[test]
fn verify_streams_start_at_once_with_free_capacity_or_without_a_limit() {
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
        "of 20 streams of 2 s, 10 end in a second"
    );
    // There would be capacity, but another stream came first.
    assert_eq!(starts.ask(0, &ask(2, 0), room(1.5)), Turn::Wait(200));
    assert_eq!(starts.next(0, room(0.5)), None, "no capacity");
    assert_eq!(starts.next(0, room(2.0)), Some(RequestId(1)));
    assert_eq!(starts.next(0, room(2.0)), Some(RequestId(2)));
    assert_eq!(starts.next(0, room(2.0)), None);
}

#[test]
fn verify_streams_that_would_be_late_are_refused_with_a_retry_time() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(0, &ask(1, 0), room(-2.0)), Turn::Refuse(Some(400)));
    assert!(starts.is_idle(), "a refused stream does not wait");
    // The stream has already waited too long for its objective.
    assert_eq!(starts.ask(200, &ask(2, 0), room(1.0)), Turn::Refuse(Some(100)));
    // Shorter streams free capacity sooner.
    (0..100).for_each(|_| starts.lasted(500, 100));
    assert!(matches!(starts.ask(0, &ask(3, 0), room(-2.0)), Turn::Wait(_)));
}

#[test]
fn verify_removed_streams_leave_the_queue() {
    let mut starts = Starts::default();
    starts.ask(0, &ask(1, 0), room(1.0));
    starts.ask(0, &ask(2, 0), room(1.0));
    starts.retain(|it| *it != RequestId(1));
    assert_eq!(starts.front(0).map(|it| it.id), Some(RequestId(2)));
}

/// A group becomes ready with a backlog: streams that waited for it, or that were interrupted when
/// it was lost, are late already; new arrivals are not.
#[test]
fn verify_a_ready_group_with_a_backlog_starts_streams_in_time_first() {
    let mut starts = Starts::default();
    let opening = Room::Opens { within: 600, places: 20.0, sure: true };
    for id in 0..14 {
        let turn = starts.ask(100, &ask(id, 100), opening);
        assert!(matches!(turn, Turn::Wait(_)), "stream {id}: {turn:?}");
    }
    let interrupted = Ask { resumed: true, ..ask(99, 650) };
    assert!(matches!(starts.ask(650, &interrupted, opening), Turn::Wait(_)));
    // Streams beyond the places that there will be are refused and do not wait.
    let turns: Vec<Turn> = (90..98).map(|id| starts.ask(660, &ask(id, 660), opening)).collect();
    assert!(matches!(turns[7], Turn::Refuse(Some(601..))), "{turns:?}");
    assert_eq!(starts.next(699, opening), None, "no stream starts before the group is ready");
    // The group is ready. Streams in time start first, whenever they arrived, and late ones after
    // them.
    let open = |load| Room::Open { places: 20.0, load, reads: 30.0 };
    let mut started = Vec::new();
    while let Some(RequestId(id)) = starts.next(700, open(started.len() as f64)) {
        started.push(id);
    }
    let in_time = started.iter().take_while(|it| (90..98).contains(*it)).count();
    assert!(in_time > 0, "{started:?}");
    assert!(started[in_time..].iter().all(|it| *it < 15 || *it == 99), "{started:?}");
    assert!((10..19).contains(&started.len()), "late streams leave places free: {started:?}");
    let load = started.len() as f64;
    assert_eq!(starts.ask(710, &ask(201, 710), open(load)), Turn::Now, "streams in time go first");
}

#[test]
fn verify_late_streams_start_as_fast_as_prompts_are_read() {
    let mut starts = Starts::default();
    let room = Room::Open { places: 100.0, load: 20.0, reads: 4.0 };
    let interrupted = |id| Ask { resumed: true, ..ask(id, 0) };
    let turns: Vec<Turn> = (0..8).map(|id| starts.ask(0, &interrupted(id), room)).collect();
    assert_eq!(turns[..4], [Turn::Now; 4]);
    assert!(turns[4..].iter().all(|it| matches!(it, Turn::Wait(1..=200))), "{turns:?}");
    assert_eq!(starts.ask(10, &ask(50, 10), room), Turn::Now, "a stream in time does not wait");
    assert_eq!(starts.next(100, room), None, "five prompts are being read");
    assert_eq!(starts.next(205, room), Some(RequestId(4)));
    assert_eq!(starts.next(205, room), Some(RequestId(5)));
}

#[test]
fn verify_streams_that_cannot_start_are_refused_at_once() {
    let mut starts = Starts::default();
    assert_eq!(starts.ask(0, &ask(1, 0), Room::Closed), Turn::Refuse(None));
    // Its first event would come after its caller has given up.
    let late = Room::Opens { within: 1_800, places: 20.0, sure: true };
    assert_eq!(starts.ask(0, &ask(2, 0), late), Turn::Refuse(Some(1_800)));
    let uncertain = Room::Opens { within: 1_800, places: 20.0, sure: false };
    assert_eq!(starts.ask(0, &ask(2, 0), uncertain), Turn::Refuse(None), "the time is unknown");
    // A waiting stream is refused when the group is lost again.
    let opening = Room::Opens { within: 600, places: 20.0, sure: true };
    assert_eq!(starts.ask(0, &ask(3, 0), opening), Turn::Wait(600));
    assert_eq!(starts.give_up(100, opening), None);
    assert_eq!(starts.give_up(100, Room::Closed), Some((RequestId(3), None)));
    assert!(starts.is_idle());
}

/// Under a burst of load, streams in time use all capacity that is freed. A late stream is refused
/// rather than left to wait for capacity that will not come.
#[test]
fn verify_late_streams_do_not_wait_while_streams_in_time_use_all_capacity() {
    let mut starts = Starts::default();
    let full = Room::Open { places: 20.0, load: 20.0, reads: 4.0 };
    // Ten streams end in a second, and ten arrive.
    for id in 0..60 {
        let now = u64::try_from(id).expect("small") * 100;
        starts.ask(now, &ask(id, now), full);
        starts.next(now, Room::Free);
    }
    let interrupted = Ask { resumed: true, ..ask(100, 6_000) };
    assert!(matches!(starts.ask(6_000, &interrupted, full), Turn::Refuse(Some(_))));
}

#[test]
fn verify_an_interrupted_stream_waits_as_long_as_its_caller() {
    let mut starts = Starts::default();
    let interrupted = Ask { resumed: true, ..ask(1, 0) };
    assert_eq!(starts.ask(0, &interrupted, room(-3.0)), Turn::Wait(400 + 100));
    assert_eq!(starts.give_up(1_700, room(-3.0)), None);
    let (id, turn) = starts.give_up(1_900, room(-3.0)).expect("its caller is about to give up");
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
fn verify_a_group_with_work_and_no_steps_is_stalled() {
    let mut steps = Steps::default();
    steps.watch(0, 7, true);
    assert!(!steps.stands(499) && steps.stands(500));
    steps.watch(600, 8, true);
    assert!(!steps.stands(1_099), "the group made a step");
    steps.watch(1_200, 8, false);
    assert!(!steps.stands(9_000), "an idle group makes no steps");
}

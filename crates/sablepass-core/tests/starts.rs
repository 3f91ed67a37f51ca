// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! When streams start, and how long the passes take that they share.

use sablepass_core::id::{Millis, RequestId};
use sablepass_core::pass::{Steps, Times};
use sablepass_core::scope::Scope;
use sablepass_core::starts::{Room, StartDecision, StartQueue, StartRequest};

/// A stream that arrives at this time, in milliseconds.
fn stream(id: u128, arrived: Millis) -> StartRequest {
    StartRequest {
        id: RequestId(id),
        arrived,
        objective: 500,
        patience: 2_000,
        resumed: false,
        scope: Scope::ANY,
    }
}

/// Capacity for this many streams besides the 20 active ones.
fn room(more: f64) -> Room {
    Room::Open { places: 20.0 + more, load: 20.0, reads: 4.0 }
}

#[test]
fn verify_streams_start_at_once_with_free_capacity_or_without_a_limit() {
    let mut starts = StartQueue::default();
    assert_eq!(starts.request(0, &stream(1, 0), room(1.5)), StartDecision::Now);
    assert_eq!(starts.request(0, &stream(2, 0), Room::Free), StartDecision::Now);
    assert!(starts.is_idle());
}

#[test]
fn verify_streams_wait_in_order_and_behind_each_other() {
    let mut starts = StartQueue::default();
    assert_eq!(
        starts.request(0, &stream(1, 0), room(1.0)),
        StartDecision::Wait(100),
        "of 20 streams of 2 s, 10 end in a second"
    );
    // There would be capacity, but another stream came first.
    assert_eq!(starts.request(0, &stream(2, 0), room(1.5)), StartDecision::Wait(200));
    assert_eq!(starts.next(0, &Scope::ANY, room(0.5)), None, "no capacity");
    assert_eq!(starts.next(0, &Scope::ANY, room(2.0)), Some(RequestId(1)));
    assert_eq!(starts.next(0, &Scope::ANY, room(2.0)), Some(RequestId(2)));
    assert_eq!(starts.next(0, &Scope::ANY, room(2.0)), None);
}

#[test]
fn verify_streams_that_would_be_late_are_refused_with_a_retry_time() {
    let mut starts = StartQueue::default();
    assert_eq!(starts.request(0, &stream(1, 0), room(-2.0)), StartDecision::Refuse(Some(400)));
    assert!(starts.is_idle(), "a refused stream does not wait");
    // The stream has already waited too long for its objective.
    assert_eq!(starts.request(200, &stream(2, 0), room(1.0)), StartDecision::Refuse(Some(100)));
    // Shorter streams free capacity sooner.
    (0..100).for_each(|_| starts.record_end(500, 100));
    assert!(matches!(starts.request(0, &stream(3, 0), room(-2.0)), StartDecision::Wait(_)));
}

#[test]
fn verify_removed_streams_leave_the_queue() {
    let mut starts = StartQueue::default();
    starts.request(0, &stream(1, 0), room(1.0));
    starts.request(0, &stream(2, 0), room(1.0));
    starts.retain(|it| *it != RequestId(1));
    assert_eq!(starts.fronts(0).first().map(|it| it.id), Some(RequestId(2)));
}

/// A group becomes ready with a backlog: streams that waited for it, or that were interrupted when
/// it was lost, are late already; new arrivals are not.
#[test]
fn verify_a_ready_group_with_a_backlog_starts_streams_in_time_first() {
    let mut starts = StartQueue::default();
    let opening = Room::Opens { within: 600, places: 20.0, sure: true };
    for id in 0..14 {
        let turn = starts.request(100, &stream(id, 100), opening);
        assert!(matches!(turn, StartDecision::Wait(_)), "stream {id}: {turn:?}");
    }
    let interrupted = StartRequest { resumed: true, ..stream(99, 650) };
    assert!(matches!(starts.request(650, &interrupted, opening), StartDecision::Wait(_)));
    // Streams beyond the places that there will be are refused and do not wait.
    let turns: Vec<StartDecision> =
        (90..98).map(|id| starts.request(660, &stream(id, 660), opening)).collect();
    assert!(matches!(turns[7], StartDecision::Refuse(Some(601..))), "{turns:?}");
    assert_eq!(
        starts.next(699, &Scope::ANY, opening),
        None,
        "no stream starts before the group is ready"
    );
    // The group is ready. Streams in time start first, whenever they arrived, and late ones after
    // them.
    let open = |load| Room::Open { places: 20.0, load, reads: 30.0 };
    let mut started = Vec::new();
    while let Some(RequestId(id)) = starts.next(700, &Scope::ANY, open(started.len() as f64)) {
        started.push(id);
    }
    let in_time = started.iter().take_while(|it| (90..98).contains(*it)).count();
    assert!(in_time > 0, "{started:?}");
    assert!(started[in_time..].iter().all(|it| *it < 15 || *it == 99), "{started:?}");
    assert!((10..19).contains(&started.len()), "late streams leave places free: {started:?}");
    let load = started.len() as f64;
    assert_eq!(
        starts.request(710, &stream(201, 710), open(load)),
        StartDecision::Now,
        "streams in time go first"
    );
}

#[test]
fn verify_late_streams_start_as_fast_as_prompts_are_read() {
    let mut starts = StartQueue::default();
    let room = Room::Open { places: 100.0, load: 20.0, reads: 4.0 };
    let interrupted = |id| StartRequest { resumed: true, ..stream(id, 0) };
    let turns: Vec<StartDecision> =
        (0..8).map(|id| starts.request(0, &interrupted(id), room)).collect();
    assert_eq!(turns[..4], [StartDecision::Now; 4]);
    assert!(turns[4..].iter().all(|it| matches!(it, StartDecision::Wait(1..=200))), "{turns:?}");
    assert_eq!(
        starts.request(10, &stream(50, 10), room),
        StartDecision::Now,
        "a stream in time does not wait"
    );
    assert_eq!(starts.next(100, &Scope::ANY, room), None, "five prompts are being read");
    assert_eq!(starts.next(205, &Scope::ANY, room), Some(RequestId(4)));
    assert_eq!(starts.next(205, &Scope::ANY, room), Some(RequestId(5)));
}

#[test]
fn verify_streams_that_cannot_start_are_refused_at_once() {
    let mut starts = StartQueue::default();
    assert_eq!(starts.request(0, &stream(1, 0), Room::Closed), StartDecision::Refuse(None));
    // Its first event would come after its caller has given up.
    let late = Room::Opens { within: 1_800, places: 20.0, sure: true };
    assert_eq!(starts.request(0, &stream(2, 0), late), StartDecision::Refuse(Some(1_800)));
    let uncertain = Room::Opens { within: 1_800, places: 20.0, sure: false };
    assert_eq!(
        starts.request(0, &stream(2, 0), uncertain),
        StartDecision::Refuse(None),
        "the time is unknown"
    );
    // A waiting stream is refused when the group is lost again.
    let opening = Room::Opens { within: 600, places: 20.0, sure: true };
    assert_eq!(starts.request(0, &stream(3, 0), opening), StartDecision::Wait(600));
    assert_eq!(starts.give_up(100, &Scope::ANY, opening), None);
    assert_eq!(starts.give_up(100, &Scope::ANY, Room::Closed), Some((RequestId(3), None)));
    assert!(starts.is_idle());
}

/// Under a burst of load, streams in time use all capacity that is freed. A late stream is refused
/// rather than left to wait for capacity that will not come.
#[test]
fn verify_late_streams_do_not_wait_while_streams_in_time_use_all_capacity() {
    let mut starts = StartQueue::default();
    let full = Room::Open { places: 20.0, load: 20.0, reads: 4.0 };
    // Ten streams end in a second, and ten arrive.
    for id in 0..60 {
        let now = u64::try_from(id).expect("small") * 100;
        starts.request(now, &stream(id, now), full);
        starts.next(now, &Scope::ANY, Room::Free);
    }
    let interrupted = StartRequest { resumed: true, ..stream(100, 6_000) };
    assert!(matches!(starts.request(6_000, &interrupted, full), StartDecision::Refuse(Some(_))));
}

#[test]
fn verify_an_interrupted_stream_waits_as_long_as_its_caller() {
    let mut starts = StartQueue::default();
    let interrupted = StartRequest { resumed: true, ..stream(1, 0) };
    assert_eq!(starts.request(0, &interrupted, room(-3.0)), StartDecision::Wait(400 + 100));
    assert_eq!(starts.give_up(1_700, &Scope::ANY, room(-3.0)), None);
    let (id, turn) =
        starts.give_up(1_900, &Scope::ANY, room(-3.0)).expect("its caller is about to give up");
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
    assert!(!steps.is_stalled(499) && steps.is_stalled(500));
    steps.watch(600, 8, true);
    assert!(!steps.is_stalled(1_099), "the group made a step");
    steps.watch(1_200, 8, false);
    assert!(!steps.is_stalled(9_000), "an idle group makes no steps");
}

fn scope(regions: &[&str]) -> Scope {
    let names: Vec<String> = regions.iter().map(|it| (*it).to_owned()).collect();
    Scope::intersection([names.as_slice()])
}

/// A stream that may run in these regions only.
fn restricted(id: u128, arrived: Millis, regions: &[&str]) -> StartRequest {
    StartRequest { scope: scope(regions), objective: 1_000, ..stream(id, arrived) }
}

/// The streams that start when the scopes have this capacity.
fn start_all(starts: &mut StartQueue, now: Millis, room_of: impl Fn(&Scope) -> Room) -> Vec<u128> {
    let mut started = Vec::new();
    loop {
        let fronts = starts.fronts(now);
        let next = fronts.iter().find_map(|it| starts.next(now, &it.scope, room_of(&it.scope)));
        let Some(id) = next else { return started };
        started.push(id.0);
    }
}

/// Guards against head-of-line blocking: the targets in one region are at capacity, and the stream
/// that waits for them is first in the queue.
#[test]
fn verify_a_scope_without_capacity_does_not_block_the_streams_behind() {
    let (north, south) = (scope(&["north"]), scope(&["south"]));
    let mut starts = StartQueue::default();
    for (id, regions) in [(1, ["north"]), (2, ["south"]), (3, ["north"]), (4, ["south"])] {
        let decision = starts.request(0, &restricted(id, 0, &regions), room(1.0));
        assert!(matches!(decision, StartDecision::Wait(_)), "stream {id}: {decision:?}");
    }
    let only = |free: &Scope, it: &Scope| if it == free { room(2.0) } else { room(0.5) };
    assert_eq!(start_all(&mut starts, 0, |_| room(0.5)), [] as [u128; 0], "no capacity");
    assert_eq!(start_all(&mut starts, 0, |it| only(&south, it)), [2, 4], "in order of arrival");
    // A new stream of the region with capacity starts at once, one of the other region waits
    // behind those of its own scope.
    let decision = starts.request(0, &restricted(5, 0, &["south"]), room(2.0));
    assert_eq!(decision, StartDecision::Now);
    let decision = starts.request(0, &restricted(6, 0, &["north"]), room(2.0));
    assert!(matches!(decision, StartDecision::Wait(_)), "{decision:?}");
    assert_eq!(start_all(&mut starts, 0, |it| only(&north, it)), [1, 3, 6]);
    assert!(starts.is_idle());
}

/// Guards against an estimate that leaves out streams which compete for the same targets, so that
/// a stream waits in vain.
#[test]
fn verify_the_expected_wait_counts_streams_of_overlapping_scopes() {
    let mut starts = StartQueue::default();
    assert_eq!(starts.request(0, &stream(1, 0), room(1.0)), StartDecision::Wait(100));
    let wait = |starts: &StartQueue, regions: &[&str]| {
        starts.clone().request(0, &restricted(9, 0, regions), room(1.0))
    };
    assert_eq!(wait(&starts, &["north"]), StartDecision::Wait(200), "1 may use any region");
    assert_eq!(
        starts.request(0, &restricted(2, 0, &["south"]), room(1.0)),
        StartDecision::Wait(200)
    );
    assert_eq!(wait(&starts, &["north"]), StartDecision::Wait(200), "2 is in another region");
    assert_eq!(wait(&starts, &["north", "south"]), StartDecision::Wait(300));
}

/// Guards against a stream that is counted in a scope that a new configuration has replaced.
#[test]
fn verify_a_waiting_stream_gets_its_new_scope() {
    let mut starts = StartQueue::default();
    starts.request(0, &restricted(1, 0, &["north"]), room(1.0));
    starts.request(0, &restricted(2, 0, &["north"]), room(1.0));
    starts.update_scopes(|it| (*it == RequestId(1)).then(|| scope(&["south"])));
    assert_eq!(starts.next(0, &scope(&["south"]), room(2.0)), Some(RequestId(1)));
    assert_eq!(starts.give_up(0, &scope(&["south"]), Room::Closed), None);
    assert_eq!(starts.give_up(0, &scope(&["north"]), Room::Closed), Some((RequestId(2), None)));
}

/// A stream that left the queue and found no turn at its target must not lose its place, nor count
/// as one whose prompt is being read: the queue would block itself.
#[test]
fn verify_a_stream_that_could_not_be_sent_returns_to_the_front() {
    let mut starts = StartQueue::default();
    let resumed = |id| StartRequest { resumed: true, ..stream(id, 0) };
    let room = Room::Open { places: 40.0, load: 20.0, reads: 1.0 };
    let opens = Room::Opens { within: 0, places: 40.0, sure: true };
    for id in 1..=2 {
        assert!(matches!(starts.request(0, &resumed(id), opens), StartDecision::Wait(_)));
    }
    for now in [0, 25, 50] {
        assert_eq!(starts.next(now, &Scope::ANY, room), Some(RequestId(1)));
        assert!(!starts.contains(RequestId(1)));
        assert!(starts.put_back(now, resumed(1)), "its caller still waits");
        assert!(starts.contains(RequestId(1)));
    }
    assert_eq!(starts.next(1_800, &Scope::ANY, room), Some(RequestId(1)));
    assert!(!starts.put_back(1_800, resumed(1)), "it can no longer start in time");
    assert_eq!(starts.next(1_800, &Scope::ANY, room), Some(RequestId(2)));
}

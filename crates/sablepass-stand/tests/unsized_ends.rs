// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Answers with neither a length nor chunks, whose targets end or do not: what a caller receives as
//! complete must be the whole answer, and whole answers must arrive.

mod common;

use std::hint;
use std::num::NonZero;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::replica::{Mode, Replica, all_events};
use sablepass_stand::site::{Site, ask, configuration};

/// Body of requests that are no streams; their answers repeat it.
const BODY: &str = "an order line, confirmed";
/// Number of requests that are sent beside load, one after the other.
const REQUESTS_BESIDE_LOAD: usize = 200;
/// Time within which their answers arrive: half of their deadline.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an entry is suspended after its target has been replaced.
const SUSPENSION: Duration = Duration::from_millis(1_500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Safe,
    Unsafe,
    /// A stream that another target may continue.
    ResumableStream,
    /// A stream that no other target may continue.
    Stream,
}

const KINDS: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::ResumableStream, Kind::Stream];

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/x",
            Self::Unsafe => "/once/x",
            Self::ResumableStream => "/stream/x",
            Self::Stream => "/stream/y/x",
        }
    }

    /// The whole answer to a request with this id.
    fn whole(self, id: &str) -> String {
        match self {
            Self::Safe | Self::Unsafe => BODY.to_owned(),
            Self::ResumableStream | Self::Stream => all_events(id),
        }
    }

    /// Whether another target may give the answer, or the rest of it.
    fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// Runs a test for each of several cases at once.
fn for_each_case<T: Copy + Send>(cases: &[T], test: impl Fn(T) + Sync) {
    thread::scope(|scope| {
        cases.iter().for_each(|it| {
            let (case, test) = (*it, &test);
            scope.spawn(move || test(case));
        });
    });
}

/// A site with one entry, and routes for all kinds of requests.
fn site(replicas: usize) -> Site {
    let site = common::site(replicas, 1);
    let mut configuration = configuration(2);
    let mut route = configuration["routes"][0].clone();
    route["name"] = "stream-once".into();
    route["pathPrefix"] = "/stream/y/".into();
    route["streamResume"] = false.into();
    configuration["routes"].as_array_mut().expect("an array").push(route);
    let revision = site.configure(&configuration);
    wait_for("the entry has the configuration", || {
        site.status(0)["revision"].as_u64() >= Some(revision)
    });
    site
}

/// Sends a request whose answer all replicas stop in the middle. Returns the index of the replica
/// that runs it, and the caller.
fn hold_answer(site: &Site, kind: Kind, id: &str) -> (usize, JoinHandle<Answer>) {
    site.replicas.iter().for_each(|it| it.set(Mode::UnsizedHold(1)));
    let (addr, sent) = (site.http(0), id.to_owned());
    let caller = thread::spawn(move || ask("POST", kind.path(), &sent, BODY).send(&addr));
    let runs = |it: &Replica| it.runs().iter().any(|run| run.id == id);
    let mut busy = None;
    wait_for("a replica runs the request", || {
        busy = site.replicas.iter().position(runs);
        busy.is_some()
    });
    // The entry has received the first part by then.
    thread::sleep(Duration::from_millis(50));
    (busy.expect("a replica that runs the request"), caller)
}

/// Asserts that an answer of a target that ended within it is whole or does not look complete.
fn check_interrupted(kind: Kind, id: &str, answer: &Answer) {
    if answer.status == 200 {
        assert_eq!(answer.body, kind.whole(id), "{kind:?}: the answer looks complete");
    }
    if kind.is_repeatable() {
        assert_eq!(answer.status, 200, "{kind:?}: another target can answer: {answer:?}");
    }
}

/// Guards against passing on as complete an answer whose target was replaced by another one at its
/// address, as seen by an entry that was suspended meanwhile.
#[test]
fn verify_an_answer_whose_target_was_replaced_during_a_suspension_does_not_look_complete() {
    for_each_case(&KINDS, |kind| {
        let site = site(2);
        let (busy, caller) = hold_answer(&site, kind, "cut");
        site.entries[0].pause();
        site.replicas[busy].crash();
        let _successor = site.replicas[busy].successor();
        site.replicas.iter().for_each(|it| it.set(Mode::Unsized));
        thread::sleep(SUSPENSION);
        site.entries[0].resume();
        let answer = caller.join().expect("the caller ends");
        check_interrupted(kind, "cut", &answer);
    });
}

/// Guards against passing on as complete an answer whose target was replaced by another one at its
/// address before the entry asked.
#[test]
fn verify_an_answer_whose_target_was_replaced_at_once_does_not_look_complete() {
    for_each_case(&KINDS, |kind| {
        let site = site(2);
        let (busy, caller) = hold_answer(&site, kind, "cut");
        site.replicas[busy].crash();
        let _successor = site.replicas[busy].successor();
        site.replicas.iter().for_each(|it| it.set(Mode::Unsized));
        let answer = caller.join().expect("the caller ends");
        check_interrupted(kind, "cut", &answer);
    });
}

/// Guards against passing on as complete an answer whose target ended, since another connection to
/// it still seems open.
#[test]
fn verify_an_answer_whose_target_ended_does_not_look_complete_while_a_connection_is_open() {
    let site = site(1);
    let warm = ask("POST", Kind::Safe.path(), "idle", BODY).send(&site.http(0));
    assert_eq!(warm.status, 200, "the entry keeps a connection: {warm:?}");
    let (_, caller) = hold_answer(&site, Kind::Unsafe, "cut");
    site.replicas[0].crash_with_late_ends();
    let answer = caller.join().expect("the caller ends");
    assert_eq!(answer.status, 502, "the answer looks complete: {answer:?}");
}

/// Guards against passing on as complete an answer whose target has not shown in time that it
/// lives.
#[test]
fn verify_an_answer_does_not_look_complete_while_nothing_is_known_of_its_target() {
    for_each_case(&KINDS, |kind| {
        let site = site(2);
        let (busy, caller) = hold_answer(&site, kind, "cut");
        // The successor accepts connections and does not answer.
        let successor = {
            site.entries[0].pause();
            site.replicas[busy].crash();
            let successor = site.replicas[busy].successor();
            successor.set(Mode::Asleep);
            site.replicas.iter().for_each(|it| it.set(Mode::Unsized));
            site.entries[0].resume();
            successor
        };
        let answer = caller.join().expect("the caller ends");
        check_interrupted(kind, "cut", &answer);
        successor.set(Mode::Good);
    });
}

/// Starts a replica in a process of its own at `listen` and lists it.
fn spawn_replica(site: &Site, id: &str, listen: &str) -> Process {
    let args = ["replica", "--listen", listen, "--id", id, "--pause", "100"];
    let process = Process::spawn("sablepass-stand", &args);
    let addr = process.addr("listen").parse().expect("an address");
    site.list(&site.replicas[0].with_id(id).at(addr), "ready");
    process
}

/// Guards against passing on as complete an answer whose target's process was killed and replaced
/// by another one at its address, whether or not the entry was suspended.
#[test]
fn verify_an_answer_of_a_killed_process_does_not_look_complete() {
    let cases: Vec<(bool, Kind)> =
        [false, true].iter().flat_map(|it| KINDS.map(|kind| (*it, kind))).collect();
    for_each_case(&cases, |(suspended, kind)| {
        let site = site(1);
        site.store.remove(&format!("servers/{}", site.replicas[0].id));
        site.settle(0);
        let mut killed = spawn_replica(&site, "i-killed", "127.0.0.1:0");
        site.settle(1);
        let whole = ask("POST", kind.path(), "whole", BODY).send(&site.http(0));
        check_whole(kind, "whole", &whole);
        let addr = site.http(0);
        let caller = thread::spawn(move || ask("POST", kind.path(), "cut", BODY).send(&addr));
        // Less than the pause of the target after the first part.
        thread::sleep(Duration::from_millis(60));
        if suspended {
            site.entries[0].pause();
        }
        killed.kill();
        let _successor = spawn_replica(&site, "i-successor", &killed.addr("listen"));
        site.store.remove("servers/i-killed");
        if suspended {
            thread::sleep(SUSPENSION);
            site.entries[0].resume();
        }
        let answer = caller.join().expect("the caller ends");
        if answer.status == 200 {
            check_whole(kind, "cut", &answer);
        }
    });
}

/// Sends a request whose answer ends well, prepares the target for its end with `prepare` while the
/// answer is incomplete, and returns the answer.
fn end_well(site: &Site, kind: Kind, id: &str, prepare: impl FnOnce(&Site, &Replica)) -> Answer {
    let (busy, caller) = hold_answer(site, kind, id);
    prepare(site, &site.replicas[busy]);
    site.replicas[busy].set(Mode::Unsized);
    caller.join().expect("the caller ends")
}

fn check_whole(kind: Kind, id: &str, answer: &Answer) {
    assert_eq!((answer.status, answer.body.as_str()), (200, kind.whole(id).as_str()), "{kind:?}");
}

/// Guards against breaking off whole answers: of a target that lives on, of one whose slots are all
/// taken, and of one whose end the entry sees only after a suspension.
#[test]
fn verify_whole_answers_stay_whole() {
    for_each_case(&KINDS, |kind| {
        let site = site(1);
        check_whole(kind, "plain", &end_well(&site, kind, "plain", |_, _| {}));
        let full = |_: &Site, replica: &Replica| replica.limit_slots(0);
        check_whole(kind, "full", &end_well(&site, kind, "full", full));
        site.replicas[0].limit_slots(u32::MAX);
        let (busy, caller) = hold_answer(&site, kind, "slept");
        site.entries[0].pause();
        site.replicas[busy].set(Mode::Unsized);
        thread::sleep(SUSPENSION);
        site.entries[0].resume();
        check_whole(kind, "slept", &caller.join().expect("the caller ends"));
        assert_eq!(site.runs("plain") + site.runs("full") + site.runs("slept"), 3, "{kind:?}");
    });
}

/// Guards against whole answers that are left waiting, without a check of their target, because a
/// timer of the entry fires a moment early, as it does now and then beside load.
#[test]
fn verify_whole_answers_arrive_in_time_beside_load() {
    let site = site(1);
    site.replicas[0].set(Mode::Unsized);
    let is_done = AtomicBool::new(false);
    let processors = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        for _ in 0..2 * processors {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    hint::spin_loop()
                }
            });
        }
        let send = |number: usize| {
            let id = format!("n-{number}");
            let sent_at = Instant::now();
            let answer = ask("POST", Kind::Unsafe.path(), &id, BODY).send(&site.http(0));
            (answer, sent_at.elapsed())
        };
        let answers: Vec<(Answer, Duration)> = (0..REQUESTS_BESIDE_LOAD).map(send).collect();
        is_done.store(true, Ordering::Relaxed);
        for (answer, took) in &answers {
            check_whole(Kind::Unsafe, &answer.id, answer);
            assert!(*took < MAX_ANSWER_TIME, "{} took {took:?}", answer.id);
        }
    });
}

/// Guards against taking whole answers for interrupted ones because their target shows only after a
/// while that it lives. Requests that may be repeated are sent to another target if it takes long.
#[test]
fn verify_a_whole_answer_waits_for_the_first_sign_of_its_target() {
    for (silence, repeats) in [(Duration::from_millis(600), 0), (Duration::from_millis(1_800), 1)] {
        for_each_case(&KINDS, |kind| {
            let site = site(2);
            let (busy, caller) = hold_answer(&site, kind, "late");
            // The answer that is on its way ends; checks are read and answered after the silence.
            site.replicas[busy].set(Mode::Asleep);
            thread::sleep(silence);
            site.replicas.iter().for_each(|it| it.set(Mode::Unsized));
            check_whole(kind, "late", &caller.join().expect("the caller ends"));
            let repeats = if kind.is_repeatable() { repeats } else { 0 };
            assert_eq!(site.runs("late"), 1 + repeats, "{kind:?}, silent for {silence:?}");
        });
    }
}

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Its entry in the store says draining.
    Draining,
    /// Its entry is removed from the store.
    Removed,
    /// Its answers announce it.
    Announced,
}

const WAYS: [Way; 3] = [Way::Draining, Way::Removed, Way::Announced];
/// Time from the start of a departure until the target's end, and after which an entry has removed
/// a target that is no longer listed.
const DEPARTURE: Duration = Duration::from_millis(1_500);

/// Each way of leaving with each kind of request.
fn cases() -> Vec<(Way, Kind)> {
    WAYS.iter().flat_map(|way| KINDS.iter().map(|kind| (*way, *kind))).collect()
}

fn leave(site: &Site, replica: &Replica, way: Way) {
    match way {
        Way::Draining => site.list(replica, "draining"),
        Way::Removed => {
            site.store.remove(&format!("servers/{}", replica.id));
        }
        Way::Announced => replica.leave(),
    }
    thread::sleep(DEPARTURE);
}

/// Guards against passing on as complete an answer whose target ended while it was leaving.
#[test]
fn verify_an_answer_whose_leaving_target_ended_does_not_look_complete() {
    for_each_case(&cases(), |(way, kind)| {
        let site = site(2);
        let (busy, caller) = hold_answer(&site, kind, "cut");
        leave(&site, &site.replicas[busy], way);
        site.replicas[busy].crash();
        site.replicas.iter().for_each(|it| it.set(Mode::Unsized));
        let answer = caller.join().expect("the caller ends");
        check_interrupted(kind, "cut", &answer);
    });
}

/// Guards against breaking off whole answers of targets that leave and have not ended yet.
#[test]
fn verify_whole_answers_of_leaving_targets_stay_whole() {
    for_each_case(&cases(), |(way, kind)| {
        let site = site(2);
        let prepare = |site: &Site, replica: &Replica| leave(site, replica, way);
        check_whole(kind, "whole", &end_well(&site, kind, "whole", prepare));
        assert_eq!(site.runs("whole"), 1, "{way:?} {kind:?}");
    });
}

/// A leaving target may end right after the last byte of its answer. Another target continues a
/// stream that may be resumed, even if no event is left, and repeats a request that may be
/// repeated.
#[test]
fn verify_repeatable_answers_are_whole_if_their_leaving_target_ends_right_after_them() {
    for_each_case(&[Kind::Safe, Kind::ResumableStream], |kind| {
        let site = site(2);
        let (busy, caller) = hold_answer(&site, kind, "last");
        leave(&site, &site.replicas[busy], Way::Draining);
        site.replicas.iter().for_each(|it| it.set(Mode::Unsized));
        wait_for("the answer ends", || !site.replicas[busy].unsized_ends().is_empty());
        site.replicas[busy].crash();
        check_whole(kind, "last", &caller.join().expect("the caller ends"));
    });
}

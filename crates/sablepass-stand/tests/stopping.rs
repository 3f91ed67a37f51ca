// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Planned stops of entries on the users' platform, which kills a process some time after it asked
//! it to stop.

use std::thread;
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{Site, ask};

/// Time from the stop signal until the process is killed.
const GRACE: Duration = Duration::from_secs(2);
/// Time after the stop signal in which requests are admitted.
const ADMISSION_TIME: Duration = Duration::from_millis(900);

fn site() -> Site {
    let mut site = Site::open(1);
    site.add_entry(&format!(
        "stop_wait = {}\nstop_grace_s = {:?}",
        ADMISSION_TIME.as_millis(),
        GRACE.as_secs_f64()
    ));
    site.settle(1);
    site
}

/// Guards against requests that are taken late in a planned stop and cut without an answer when the
/// process is killed.
#[test]
fn verify_requests_in_progress_are_answered_before_the_process_is_killed() {
    let mut site = site();
    site.replicas[0].set(Mode::Hang);
    let addr = site.http(0);
    let send = |kind: &'static str, number: usize| {
        let addr = addr.clone();
        thread::spawn(move || {
            let id = format!("{kind}-{number}");
            ask("POST", &format!("/{kind}/x"), &id, "q").send(&addr)
        })
    };
    let mut callers: Vec<_> = ["once", "safe", "stream"].map(|it| send(it, 0)).into();
    wait_for("the requests run", || site.replicas[0].runs().len() == 3);
    let stopped_at = Instant::now();
    site.entries[0].stop();
    for number in 1..4 {
        thread::sleep(ADMISSION_TIME / 4);
        callers.extend(["once", "safe", "stream"].map(|it| send(it, number)));
    }
    thread::sleep(ADMISSION_TIME / 2);
    let late: Vec<_> = ["once", "safe", "stream"].map(|it| send(it, 4)).into();
    thread::sleep(GRACE.saturating_sub(stopped_at.elapsed()));
    site.entries[0].kill();
    let answers: Vec<Answer> =
        callers.into_iter().map(|it| it.join().expect("the caller ends")).collect();
    for answer in &answers {
        assert_eq!(answer.status, 502, "{answer:?}");
    }
    for caller in late {
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, site.runs(&answer.id)), (503, 0), "{answer:?}");
        assert!(!answer.retry_after.is_empty(), "{answer:?}");
    }
}

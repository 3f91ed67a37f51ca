// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The clock that goes on while a machine is suspended.

use std::fs;
use std::thread;
use std::time::Duration;

use sablepass_edge::clock::{self, Sleep};

/// Seconds since the machine was booted, suspended ones included.
fn uptime() -> f64 {
    let text = fs::read_to_string("/proc/uptime").expect("the kernel tells");
    text.split(' ').next().and_then(|it| it.parse().ok()).expect("a number")
}

/// A test cannot suspend the machine. It can compare with what counts such time.
#[test]
fn verify_the_clock_counts_what_the_kernel_counts() {
    let (before, began) = (uptime(), clock::now());
    thread::sleep(Duration::from_millis(400));
    let (passed, counted) = (uptime() - before, clock::now() - began);
    let apart = (passed * 1_000.0 - counted as f64).abs();
    assert!(apart < 50.0, "{passed} s of the kernel, {counted} ms of the clock");
}

#[test]
fn verify_waking_is_noticed_once() {
    let mut sleep = Sleep::default();
    assert_eq!(sleep.look(10_000), None, "it has just started");
    assert_eq!(sleep.look(10_025), None);
    assert_eq!(sleep.look(10_600), None, "a slow moment");
    assert_eq!(sleep.look(15_600), Some(5_000));
    assert_eq!(sleep.look(15_625), None);
}

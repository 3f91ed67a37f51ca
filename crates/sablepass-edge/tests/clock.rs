// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Tests of the clock that advances while a machine is suspended.

use std::fs;
use std::thread;
use std::time::Duration;

use sablepass_edge::clock::{self, SuspensionDetector};

/// Seconds since the machine was booted, including suspensions.
fn uptime() -> f64 {
    let text = fs::read_to_string("/proc/uptime").expect("/proc/uptime is readable");
    text.split(' ')
        .next()
        .and_then(|it| it.parse().ok())
        .expect("/proc/uptime starts with a number")
}

/// Guards against a clock that stops during a suspension. A test cannot suspend the machine, so it
/// compares the clock with the kernel's uptime, which includes suspensions.
#[test]
fn verify_clock_advances_with_kernel_uptime() {
    let (before, started) = (uptime(), clock::now());
    thread::sleep(Duration::from_millis(400));
    let (elapsed_s, counted_ms) = (uptime() - before, clock::now() - started);
    let difference_ms = (elapsed_s * 1_000.0 - counted_ms as f64).abs();
    assert!(difference_ms < 50.0, "kernel: {elapsed_s} s, clock: {counted_ms} ms");
}

#[test]
fn verify_suspension_is_reported_once() {
    let mut detector = SuspensionDetector::default();
    assert_eq!(detector.check(10_000), None, "first check");
    assert_eq!(detector.check(10_025), None);
    assert_eq!(detector.check(10_600), None, "a scheduling delay is no suspension");
    assert_eq!(detector.check(15_600), Some(5_000));
    assert_eq!(detector.check(15_625), None);
}

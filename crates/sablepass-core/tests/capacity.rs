// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Capacity of an entry: too low a cap refuses requests of the known deployments, too high a cap
//! lets an entry run out of memory or descriptors.

use sablepass_core::capacity::Limits;

const SMALLEST: Limits = Limits { memory: 160.0, descriptors: 4_100, link: 40.0, cores: 0.18 };

/// Machines of entries in the known deployments.
const KNOWN: [Limits; 4] = [
    SMALLEST,
    Limits { memory: 260.0, descriptors: 4_100, link: 1_000.0, cores: 0.19 },
    Limits { memory: 320.0, descriptors: 8_200, link: 80.0, cores: 0.36 },
    Limits { memory: 512.0, descriptors: 8_192, link: 200.0, cores: 0.5 },
];

/// Requests that an entry of the known deployments holds at most, and bytes of a body.
const USED_REQUESTS: usize = 400;
const USED_BODY: usize = 8 * 1024;

/// Fails if an entry of a known deployment would refuse requests or drop log lines.
#[test]
fn verify_caps_are_well_above_the_use_in_known_deployments() {
    for limits in KNOWN {
        let capacity = limits.capacity().expect("usable limits");
        assert!(capacity.requests >= 3 * USED_REQUESTS, "{limits:?}: {capacity:?}");
        assert!(capacity.callers >= 4 * USED_REQUESTS, "{limits:?}: {capacity:?}");
        assert!(capacity.targets >= 3 * USED_REQUESTS, "{limits:?}: {capacity:?}");
        assert!(capacity.bodies >= 4 * USED_REQUESTS * USED_BODY, "{limits:?}: {capacity:?}");
        assert!(capacity.log_lines >= 200, "{limits:?}: {capacity:?}");
    }
}

/// Fails if an entry at its caps needs more descriptors or memory than its machine has.
#[test]
fn verify_caps_fit_the_machine() {
    let small = Limits { memory: 32.0, descriptors: 512, link: 1.0, cores: 0.01 };
    for limits in KNOWN.into_iter().chain([small]) {
        let it = limits.capacity().expect("usable limits");
        let connections = it.callers + it.targets;
        assert!(connections as u64 + 200 < limits.descriptors, "{limits:?}: {it:?}");
        // Buffers of connections, the state of requests, and bodies with one copy each.
        let bytes = connections * 8 * 1024 + it.requests * 32 * 1024 + it.bodies * 2;
        assert!((bytes as f64) < limits.memory * 0.8 * 1_048_576.0, "{limits:?}: {it:?}");
        // With what callers have not sent completely or not read, it fits the machine at its caps.
        let bytes = bytes + it.buffers;
        assert!((bytes as f64) < limits.memory * 0.9 * 1_048_576.0, "{limits:?}: {it:?}");
        assert!(it.requests <= it.targets, "{limits:?}: a request finds no connection: {it:?}");
    }
}

/// Fails if a cap does not follow the limit that binds it.
#[test]
fn verify_each_limit_binds() {
    let large = Limits { memory: 8_192.0, descriptors: 100_000, link: 10_000.0, cores: 8.0 };
    let of = |limits: Limits| limits.capacity().expect("usable limits");
    assert!(of(Limits { memory: 64.0, ..large }).bodies < of(large).bodies);
    assert!(of(Limits { memory: 64.0, ..large }).requests < of(large).requests);
    assert!(of(Limits { descriptors: 1_000, ..large }).callers < of(large).callers);
    assert!(of(Limits { descriptors: 1_000, ..large }).targets < of(large).targets);
    assert!(of(Limits { link: 5.0, ..large }).bodies < of(large).bodies);
    assert!(of(Limits { link: 5.0, ..large }).requests < of(large).requests);
    assert!(of(Limits { cores: 0.05, ..large }).requests < of(large).requests);
    assert!(of(Limits { cores: 0.05, ..large }).log_lines < of(large).log_lines);
}

/// Fails if limits with which an entry cannot serve are accepted, or if the error does not name the
/// key, the value and what is allowed.
#[test]
fn verify_unusable_limits_are_refused_by_name() {
    let cases = [
        (
            Limits { descriptors: 511, ..SMALLEST },
            "limits.descriptors = 511; allowed is 512 or more",
        ),
        (Limits { memory: 31.9, ..SMALLEST }, "limits.memory = 31.9; allowed is 32 or more (MB)"),
        (
            Limits { memory: f64::NAN, ..SMALLEST },
            "limits.memory = NaN; allowed is 32 or more (MB)",
        ),
        (Limits { link: 0.0, ..SMALLEST }, "limits.link = 0; allowed is more than 0 (Mbit/s)"),
        (
            Limits { link: f64::NAN, ..SMALLEST },
            "limits.link = NaN; allowed is more than 0 (Mbit/s)",
        ),
        (Limits { cores: -0.5, ..SMALLEST }, "limits.cores = -0.5; allowed is more than 0 (cores)"),
    ];
    for (limits, expected) in cases {
        let error = limits.capacity().expect_err("unusable limits");
        assert_eq!(error.to_string(), expected);
    }
    let least = Limits { memory: 32.0, descriptors: 512, link: 0.1, cores: 0.001 };
    let capacity = least.capacity().expect("the least usable limits");
    assert!(capacity.requests >= 1 && capacity.bodies >= 1 && capacity.log_lines >= 1);
}

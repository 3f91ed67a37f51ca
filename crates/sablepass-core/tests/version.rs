// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Versions of expert maps.

use quickcheck::{TestResult, quickcheck};
use sablepass_core::expert::version;

/// Highest version of two million maps.
const HIGHEST: u64 = 1 << 53;

quickcheck! {
    fn verify_versions_rise(highest: u64, digest: u64, maps: u8) -> bool {
        let highest = highest % HIGHEST;
        let skipped = version::skip(highest, maps.into());
        version::next(highest, digest) > highest && version::next(skipped, digest) > skipped
    }

    /// Guards against two maps of the same version, whatever their planners knew.
    fn verify_equal_versions_name_equal_digests(highest: u64, one: u32, other: u32) -> TestResult {
        if one == other {
            return TestResult::discard();
        }
        let version = version::next(highest % HIGHEST, one.into());
        let own = version::names(version, one.into());
        TestResult::from_bool(own && !version::names(version, other.into()))
    }
}

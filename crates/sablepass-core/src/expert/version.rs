// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Versions of expert maps. A version names the content of its map: the upper part counts the maps
//! of a group, the lower part is a digest of the map.
//!
//! A rank reports the version that it has prepared, but neither the content nor who ordered it, and
//! it reports nothing while it copies experts. A planner that starts after all agents were lost may
//! thus count from the same number as its predecessor. Since the digests differ, no rank that
//! prepared the predecessor's map counts as prepared for the new one.

/// Number of bits of the digest. With the others, a version stays within the whole numbers that a
/// JSON reader with doubles keeps exact, for two million maps.
const DIGEST_BITS: u32 = 32;

/// Returns the version of a map with this digest that follows the version `highest`.
pub fn next(highest: u64, digest: u64) -> u64 {
    (highest >> DIGEST_BITS).saturating_add(1) << DIGEST_BITS | digest_part(digest)
}

/// Returns a version that leaves room for `maps` others above `highest`.
pub fn skip(highest: u64, maps: u64) -> u64 {
    highest.saturating_add(maps << DIGEST_BITS)
}

/// Whether a version names a map with this digest.
pub fn names(version: u64, digest: u64) -> bool {
    digest_part(version) == digest_part(digest)
}

fn digest_part(value: u64) -> u64 {
    value & ((1 << DIGEST_BITS) - 1)
}

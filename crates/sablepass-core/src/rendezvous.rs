// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Rendezvous hashing: the candidate with the highest score for a key wins.
//!
//! The hash is SipHash with fixed keys, so that all processes of all versions agree on the scores.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Computes a hash that is the same in every process.
pub fn stable_hash<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Score of `candidate` for `key`.
pub fn score(key: &str, candidate: &str) -> u64 {
    stable_hash(&(key, candidate))
}

/// Candidates in descending order of their score.
pub fn rank<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = candidates.map(|it| (score(key, it), it)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, it)| it).collect()
}

/// The candidate with the highest score.
pub fn owner<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|it| (score(key, it), *it))
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Memory that connections share: too much of it ends a process, too little keeps callers out.

use quickcheck::QuickCheck;
use sablepass_edge::room::{Room, Share};

const LIMIT: usize = 8 << 20;
/// Size of the reserve for small shares.
const RESERVE: usize = LIMIT / 8;

/// Guards against shares that together exceed the limit by more than what a single large one may take.
#[test]
fn verify_shares_stay_within_the_limit() {
    fn property(sizes: Vec<u32>) -> bool {
        let room = Room::open(LIMIT);
        let mut shares: Vec<Share> = Vec::new();
        for size in sizes {
            let size = size as usize % (LIMIT + 1);
            let mut share = Share::open(&room);
            if share.resize(size) {
                shares.push(share);
            } else if share.bytes() != 0 {
                return false;
            }
        }
        shares.iter().map(Share::bytes).sum::<usize>() <= LIMIT + RESERVE
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u32>) -> bool);
}

/// Guards against a few large shares that keep out all small ones.
#[test]
fn verify_large_shares_leave_the_reserve_to_small_ones() {
    let room = Room::open(LIMIT);
    let mut large: Vec<Share> = (0..16).map(|_| Share::open(&room)).collect();
    let taken = large.iter_mut().filter_map(|it| it.resize(1 << 20).then_some(())).count();
    assert_eq!(taken, 7);
    assert!(room.is_full());
    let mut small: Vec<Share> = (0..64).map(|_| Share::open(&room)).collect();
    let taken = small.iter_mut().filter_map(|it| it.resize(64 * 1024).then_some(())).count();
    assert_eq!(taken, RESERVE / (64 * 1024));
}

/// Guards against a share larger than the limit that never fits, although little else is held.
#[test]
fn verify_a_share_of_any_size_fits_beside_small_ones() {
    let room = Room::open(LIMIT);
    let mut small = Share::open(&room);
    assert!(small.resize(64 * 1024));
    let mut large = Share::open(&room);
    assert!(large.resize(2 * LIMIT));
    assert!(!Share::open(&room).resize(1));
    large.release();
    assert!(Share::open(&room).resize(1));
}

/// Guards against memory that stays short, or that is asked for, although nobody wants it.
#[test]
fn verify_a_shortage_is_what_the_largest_refused_share_needs() {
    let room = Room::open(LIMIT);
    let mut large = Share::open(&room);
    assert!(large.resize(LIMIT - RESERVE));
    assert_eq!(room.take_shortage(), 0);
    assert!(!Share::open(&room).resize(1 << 20));
    assert!(!Share::open(&room).resize(2 << 20));
    assert_eq!(room.take_shortage(), 2 << 20);
    assert_eq!(room.take_shortage(), 0);
    drop(large);
    assert!(!room.is_full());
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Maps encoded as the difference from a base map.

use quickcheck::QuickCheck;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::expert::difference::{self, Error};
use sablepass_core::expert::map::{Expert, Map, Shape, Slot};

const LARGE: Shape = Shape { ranks: 192, layers: 10, experts: 384, slots: 3 };

/// Returns the map after the given number of random changes, some of which may be refused.
fn randomly_changed(map: &Map, rng: &mut StdRng, changes: usize) -> Map {
    let mut new = map.clone();
    let experts = map.shape.experts;
    for _ in 0..changes {
        let index = rng.random_range(0..new.layers.len());
        let layer = &mut new.layers[index];
        let slot = Slot(rng.random_range(0..map.shape.ranks * map.shape.slots));
        if rng.random_bool(0.2) {
            layer.clear(slot);
        } else {
            layer.put(slot, Expert(rng.random_range(0..experts) as u16));
        }
    }
    new
}

#[test]
fn verify_applying_a_difference_restores_the_map() {
    fn holds(seed: u64, changes: u8) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let shape = Shape { ranks: 7, layers: 3, experts: 12, slots: 4 };
        let old = randomly_changed(&Map::even(shape).expect("built"), &mut rng, 30);
        let new = randomly_changed(&old, &mut rng, changes.into());
        difference::apply(&old, &difference::between(&old, &new), new.digest()) == Ok(new)
    }
    QuickCheck::new().quickcheck(holds as fn(u64, u8) -> bool);
}

#[test]
fn verify_difference_of_large_maps_is_small() {
    let mut rng = StdRng::seed_from_u64(1);
    let old = Map::even(LARGE).expect("built");
    let new = randomly_changed(&old, &mut rng, 2_200);
    let moves = new.moves_from(&old);
    assert!(moves >= 500, "{moves}");
    let numbers = difference::between(&old, &new);
    let bytes: u32 = numbers.iter().map(|it| it.max(&1).ilog2() / 7 + 1).sum();
    assert!(bytes as usize * 2 < old.encode().len(), "{bytes} bytes for {moves} moves");
}

#[test]
fn verify_differences_from_another_base_or_malformed_are_refused() {
    let mut rng = StdRng::seed_from_u64(2);
    let old = Map::even(LARGE).expect("built");
    let new = randomly_changed(&old, &mut rng, 50);
    let other = randomly_changed(&old, &mut rng, 50);
    let numbers = difference::between(&old, &new);
    assert_eq!(difference::apply(&other, &numbers, new.digest()), Err(Error::BaseMismatch));
    let digest = new.digest();
    let refused = |numbers: &[u32]| difference::apply(&old, numbers, digest).err();
    assert_eq!(refused(&[1]), Some(Error::Unpaired { numbers: 1 }));
    assert_eq!(refused(&[5_760, 1]), Some(Error::Slot { slot: 5_760, slots: 5_760 }));
    assert_eq!(refused(&[0, 70_000]), Some(Error::Expert { expert: 70_000 }));
    assert_eq!(
        refused(&[0, 385]),
        Some(Error::BaseMismatch),
        "expert 384 of 384 makes the map invalid"
    );
    assert_eq!(refused(&[]), Some(Error::BaseMismatch));
}

#[test]
fn verify_initial_maps_hold_each_expert_once() {
    let map = Map::initial(LARGE).expect("built");
    assert!(map.layers.iter().all(|it| (0..384).all(|expert| it.replicas(Expert(expert)) == 1)));
    assert!(
        Map::initial(Shape { slots: 1, ..LARGE }).is_err(),
        "192 slots cannot hold 384 experts"
    );
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert maps, load estimates, placement, and the decisions of both planners.

use quickcheck::{QuickCheck, TestResult};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::expert::drift::{self, Estimate};
use sablepass_core::expert::map::{Error, Expert, Map, Paces, Rank, Shape, skew};
use sablepass_core::expert::place;
use sablepass_core::expert::plan::{self, Decision, Options, Reason};
use sablepass_core::expert::rebalance;

const SHAPE: Shape = Shape { ranks: 8, layers: 3, experts: 16, slots: 3 };

fn random_tokens(rng: &mut StdRng, shape: Shape) -> Vec<Vec<f64>> {
    let layer = |rng: &mut StdRng| {
        (0..shape.experts).map(|_| rng.random_range(0.0_f64..10.0).powi(3)).collect()
    };
    (0..shape.layers).map(|_| layer(rng)).collect()
}

/// Returns an estimate that has converged to the given counts.
fn converged(shape: Shape, tokens: &[Vec<f64>]) -> Estimate {
    let mut estimate = Estimate::new(drift::Options::default(), shape.layers, shape.experts);
    for step in 1..100 {
        estimate.observe(step * 100, tokens);
    }
    estimate
}

#[test]
fn verify_invalid_maps_are_rejected() {
    let shape = Shape { ranks: 2, layers: 1, experts: 2, slots: 2 };
    let (a, b) = (Some(Expert(0)), Some(Expert(1)));
    let build = |slots: [Option<Expert>; 4]| Map::build(shape, &[slots.to_vec()]);
    assert!(build([a, b, b, a]).is_ok());
    assert_eq!(build([a, None, None, None]), Err(Error::Missing { layer: 0, expert: 1 }));
    assert_eq!(build([a, a, b, None]), Err(Error::Duplicate { layer: 0, expert: 0, rank: 0 }));
    assert_eq!(build([a, b, Some(Expert(2)), None]), Err(Error::Unknown { layer: 0, expert: 2 }));
    assert!(matches!(Map::build(shape, &[vec![a, b]]), Err(Error::Size { .. })));
    assert!(matches!(Map::parse(shape, &[0; 3]), Err(Error::Size { .. })));
}

#[test]
fn verify_maps_round_trip_through_encoding() {
    let map = Map::even(SHAPE).expect("built");
    assert_eq!(Map::parse(SHAPE, &map.encode()), Ok(map));
}

#[test]
fn verify_rebuilt_maps_are_valid_and_keep_the_load() {
    fn holds(seed: u64) -> TestResult {
        let mut rng = StdRng::seed_from_u64(seed);
        let shape = Shape {
            ranks: rng.random_range(1..12),
            layers: 2,
            experts: rng.random_range(1..24),
            slots: rng.random_range(1..6),
        };
        if shape.ranks * shape.slots < shape.experts {
            return TestResult::discard();
        }
        let tokens = random_tokens(&mut rng, shape);
        let map = match place::rebuild(shape, &tokens) {
            Ok(map) => map,
            Err(e) => return TestResult::error(format!("{shape:?}: {e}")),
        };
        let total: f64 = tokens[0].iter().sum();
        let loads: f64 = map.layers[0].rank_loads(&tokens[0]).iter().sum();
        TestResult::from_bool((total - loads).abs() < 1e-6 * total.max(1.0))
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn verify_changes_keep_maps_valid() {
    fn holds(seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let tokens = random_tokens(&mut rng, SHAPE);
        let mut map = Map::even(SHAPE).expect("built");
        for _ in 0..50 {
            let Some(change) = place::best_change(&map.layers[0], &tokens[0], &Paces::default())
            else {
                break;
            };
            assert!(
                change.apply(&mut map.layers[0]),
                "best_change returned a change that cannot be applied"
            );
            // Decoding checks every constraint of a map.
            assert_eq!(Map::parse(SHAPE, &map.encode()).as_ref(), Ok(&map));
        }
        let even = Map::even(SHAPE).expect("built").layers[0].skew(&tokens[0]);
        map.layers[0].skew(&tokens[0]) <= even + 1e-9
    }
    QuickCheck::new().tests(300).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn verify_hot_expert_is_replicated() {
    let mut tokens = vec![vec![10.0; SHAPE.experts]; SHAPE.layers];
    tokens[1][5] = 200.0;
    let map = Map::even(SHAPE).expect("built");
    let decision = plan::decide(&Options::default(), &map, &converged(SHAPE, &tokens));
    let Decision::Change { map: new, moves, .. } = decision else {
        panic!("{decision:?}");
    };
    assert!(new.layers[1].replicas(Expert(5)) > map.layers[1].replicas(Expert(5)));
    assert!(new.layers[1].skew(&tokens[1]) < 1.3, "{}", new.layers[1].skew(&tokens[1]));
    assert_eq!(moves, new.moves_from(&map));
    assert_eq!(new.layers[0], map.layers[0], "a balanced layer was changed");
}

#[test]
fn verify_search_terminates_if_moves_are_free() {
    // Without a move cost, the search would loop forever if it accepted gains that are
    // only rounding errors.
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let tokens = random_tokens(&mut rng, SHAPE);
        let map = Map::even(SHAPE).expect("built");
        let free =
            Options { move_weight: 0.0, min_gain: 0.0, budget: usize::MAX, ..Options::default() };
        let decision = plan::decide(&free, &map, &converged(SHAPE, &tokens));
        assert!(matches!(decision, Decision::Change { .. }));
    }
}

#[test]
fn verify_move_weight_reduces_moves() {
    let mut rng = StdRng::seed_from_u64(3);
    let tokens = random_tokens(&mut rng, SHAPE);
    let map = Map::even(SHAPE).expect("built");
    let moves = |move_weight| {
        let options = Options { move_weight, ..Options::default() };
        match plan::decide(&options, &map, &converged(SHAPE, &tokens)) {
            Decision::Change { moves, .. } => moves,
            Decision::Keep(_) => 0,
        }
    };
    assert!(moves(0.01) > moves(50.0), "{} {}", moves(0.01), moves(50.0));
    assert_eq!(moves(1e9), 0);
}

#[test]
fn verify_map_is_kept_without_counts() {
    let map = Map::even(SHAPE).expect("built");
    let estimate = Estimate::new(drift::Options::default(), SHAPE.layers, SHAPE.experts);
    let decision = plan::decide(&Options::default(), &map, &estimate);
    assert_eq!(decision, Decision::Keep(Reason::NoCounts));
}

#[test]
fn verify_late_counts_are_ignored() {
    let mut estimate = Estimate::new(drift::Options::default(), 1, 2);
    assert!(estimate.observe(100, &[vec![1.0, 1.0]]));
    assert!(!estimate.observe(100, &[vec![9.0, 1.0]]));
    assert!(!estimate.observe(50, &[vec![9.0, 1.0]]));
    assert_eq!(estimate.tokens(), [vec![1.0, 1.0]]);
}

#[test]
fn verify_estimate_follows_a_load_change_and_not_noise() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut estimate = Estimate::new(drift::Options::default(), 1, 1);
    let mut noisy = |base: f64| vec![vec![base + rng.random_range(-20.0..20.0)]];
    for step in 1..600 {
        estimate.observe(step * 10, &noisy(100.0));
    }
    let steady = estimate.tokens()[0][0];
    assert!((steady - 100.0).abs() < 5.0, "{steady}");
    for step in 600..640 {
        estimate.observe(step * 10, &noisy(300.0));
    }
    let changed = estimate.tokens()[0][0];
    assert!(changed > 270.0, "estimate is {changed} 400 steps after the load changed");
}

#[test]
fn verify_quiet_hours_may_span_midnight() {
    let hours: Vec<u8> =
        (0..24).filter(|hour| plan::in_quiet_hours(Some([22, 3]), *hour)).collect();
    assert_eq!(hours, [0, 1, 2, 22, 23]);
    assert!(!plan::in_quiet_hours(None, 5));
}

#[test]
fn verify_skew_without_load_is_one() {
    assert!((skew(&[0.0, 0.0]) - 1.0).abs() < f64::EPSILON);
}

/// Applies changes until none is worth it, and returns their number.
fn settle(map: &mut Map, tokens: &[Vec<f64>], paces: &Paces) -> usize {
    let options = rebalance::Options::default();
    let mut changes = 0;
    while let Some(change) = rebalance::decide(&options, map, tokens, paces) {
        // Decoding checks every constraint of a map.
        assert_eq!(Map::parse(map.shape, &change.map.encode()).as_ref(), Ok(&change.map));
        *map = change.map;
        changes += 1;
        assert!(changes < 20, "the planner does not stop changing the map");
    }
    changes
}

#[test]
fn verify_load_moves_off_a_slow_rank() {
    let shape = Shape { ranks: 16, layers: 4, experts: 64, slots: 5 };
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let tokens = random_tokens(&mut rng, shape);
        let mut map = Map::even(shape).expect("built");
        settle(&mut map, &tokens, &Paces::default());
        let slow = rng.random_range(0..shape.ranks);
        let pace = [2.0, 4.0, 8.0][seed as usize % 3];
        let paces = Paces::new((0..shape.ranks).map(|rank| if rank == slow { pace } else { 1.0 }));
        let before = rebalance::mean_lag(&map, &tokens, &paces);
        settle(&mut map, &tokens, &paces);
        let after = rebalance::mean_lag(&map, &tokens, &paces);
        assert!(after < 1.7, "seed {seed}, rank {slow} at {pace}: {before} to {after}");
        // After the rank has recovered, the map is balanced again, with or without load moved
        // back to the rank.
        settle(&mut map, &tokens, &Paces::default());
        assert!(rebalance::mean_lag(&map, &tokens, &Paces::default()) < 1.7);
    }
}

#[test]
fn verify_paces_are_bounded() {
    let paces = Paces::new([f64::NAN, -1.0, 0.0, 1e300, f64::INFINITY]);
    let bounded: Vec<f64> = (0..6).map(|rank| paces.of(Rank(rank))).collect();
    assert_eq!(bounded, [1.0, 1.0, 1.0, 16.0, 1.0, 1.0]);
}

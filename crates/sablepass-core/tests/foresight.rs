// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Maps that turn out less even than worked out are not replaced by others that
//! would turn out no better, and a shift still brings one.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::expert::calibration::{EVALUATION_DELAY, LagCalibration};
use sablepass_core::expert::map::{Map, Paces, Shape};
use sablepass_core::expert::rebalance::{self, Options};
use sablepass_core::expert::watch::Watch;

const SHAPE: Shape = Shape { ranks: 48, layers: 3, experts: 96, slots: 3 };
/// Milliseconds between two intervals.
const INTERVAL: u64 = 100;

fn popularity(rng: &mut StdRng) -> Vec<Vec<f64>> {
    let mut layer = || {
        let mut weights: Vec<f64> = (0..SHAPE.experts).map(|it| 1.0 / (it as f64 + 6.0)).collect();
        for at in (1..weights.len()).rev() {
            weights.swap(at, rng.random_range(0..=at));
        }
        weights
    };
    (0..SHAPE.layers).map(|_| layer()).collect()
}

/// What few requests choose, each of which has favourites of its own.
fn interval(rng: &mut StdRng, mix: &[Vec<f64>]) -> Vec<Vec<f64>> {
    let mut counts = vec![vec![0.0; SHAPE.experts]; SHAPE.layers];
    for _ in 0..6 {
        for (counts, weights) in counts.iter_mut().zip(mix) {
            for (count, weight) in counts.iter_mut().zip(weights) {
                let own = if rng.random_bool(0.2) { 4.0 } else { 0.25 };
                *count += 3_000.0 * weight * own;
            }
        }
    }
    counts
}

/// Changes of map in some seconds of one demand, and in the second after a shift.
fn changes(seed: u64, learns: bool) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut map = Map::initial(SHAPE).expect("built");
    let (mut watch, mut calibration) = (Watch::default(), LagCalibration::default());
    let (mut steady, mut shifted) = (0, 0);
    let mut mix = popularity(&mut rng);
    for at in 0..70 {
        if at == 60 {
            mix = popularity(&mut rng);
        }
        let now = at * INTERVAL;
        if watch.take(now, interval(&mut rng, &mix)) {
            calibration.demand_shifted();
        }
        if calibration.is_due(now) {
            let demand = watch.demand().expect("counted");
            calibration.record_lag(rebalance::mean_lag(&map, demand, &Paces::default()));
        }
        let optimism = if learns { calibration.optimism() } else { 1.0 };
        let options =
            Options { copy_ms: 3.0, demand_ms: 4_000.0, expert_share: 0.8, optimism, ..Options::default() };
        let demand = watch.demand().expect("counted");
        // A change takes three intervals to come into force.
        let due = at % 3 == 0;
        let change = rebalance::decide(&options, &map, demand, &Paces::default());
        if let Some(change) = change.filter(|_| due) {
            calibration.map_applied(now, change.lag_after);
            map = change.map;
            steady += usize::from((20..60).contains(&at));
            shifted += usize::from(at >= 60);
        }
    }
    (steady, shifted)
}

#[test]
fn verify_no_map_is_chased_that_turns_out_no_better() {
    let sum = |learns| {
        let all = (0..6).map(|seed| changes(seed, learns));
        all.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    };
    let (chasing, learning) = (sum(false), sum(true));
    assert!(learning.0 * 3 <= chasing.0, "{learning:?} and {chasing:?} changes");
    assert!(learning.1 >= 6, "a shift brings a map: {learning:?}");
}

#[test]
fn verify_foresight_follows_what_maps_turn_out_to_be() {
    let mut calibration = LagCalibration::default();
    assert!(!calibration.is_due(10_000), "no map is in force");
    for at in 0..20 {
        calibration.map_applied(at * 1_000, 1.1);
        assert!(!calibration.is_due(at * 1_000 + EVALUATION_DELAY - 1));
        assert!(calibration.is_due(at * 1_000 + EVALUATION_DELAY));
        calibration.record_lag(1.1 * 1.4);
    }
    assert!((calibration.optimism() - 1.4).abs() < 0.01, "{}", calibration.optimism());
    calibration.map_applied(0, 1.1);
    calibration.demand_shifted();
    calibration.record_lag(9.0);
    assert!(calibration.optimism() < 1.41, "made for another demand");
}

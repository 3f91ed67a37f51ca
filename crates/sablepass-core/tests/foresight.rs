// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Lag calibration: a map whose lag is larger than predicted is not replaced by one that
//! would be no better, and a shift of demand still leads to a new map.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sablepass_core::expert::calibration::{EVALUATION_DELAY, LagCalibration};
use sablepass_core::expert::map::{Map, Paces, Shape};
use sablepass_core::expert::rebalance::{self, Options};
use sablepass_core::expert::watch::DemandMonitor;

const SHAPE: Shape = Shape { ranks: 48, layers: 3, experts: 96, slots: 3 };
/// Length of an interval of counts in milliseconds.
const INTERVAL_MS: u64 = 100;

/// Returns a random popularity of each layer's experts.
fn popularity(rng: &mut StdRng) -> Vec<Vec<f64>> {
    let mut layer = || {
        let mut weights: Vec<f64> = (0..SHAPE.experts).map(|it| 1.0 / (it as f64 + 6.0)).collect();
        for index in (1..weights.len()).rev() {
            weights.swap(index, rng.random_range(0..=index));
        }
        weights
    };
    (0..SHAPE.layers).map(|_| layer()).collect()
}

/// Returns the choices of a few requests, each of which deviates from the mix.
fn interval(rng: &mut StdRng, mix: &[Vec<f64>]) -> Vec<Vec<f64>> {
    let mut counts = vec![vec![0.0; SHAPE.experts]; SHAPE.layers];
    for _ in 0..6 {
        for (counts, weights) in counts.iter_mut().zip(mix) {
            for (count, weight) in counts.iter_mut().zip(weights) {
                let deviation = if rng.random_bool(0.2) { 4.0 } else { 0.25 };
                *count += 3_000.0 * weight * deviation;
            }
        }
    }
    counts
}

/// Returns the number of map changes during four seconds of constant demand, and during the
/// second after a shift.
fn changes(seed: u64, calibrated: bool) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut map = Map::initial(SHAPE).expect("built");
    let (mut watch, mut calibration) = (DemandMonitor::default(), LagCalibration::default());
    let (mut steady, mut shifted) = (0, 0);
    let mut mix = popularity(&mut rng);
    for at in 0..70 {
        if at == 60 {
            mix = popularity(&mut rng);
        }
        let now = at * INTERVAL_MS;
        if watch.observe(now, interval(&mut rng, &mix)) {
            calibration.demand_shifted();
        }
        if calibration.is_due(now) {
            let demand = watch.demand().expect("counted");
            calibration.record_lag(rebalance::mean_lag(&map, demand, &Paces::default()));
        }
        let optimism = if calibrated { calibration.optimism() } else { 1.0 };
        let options = Options {
            copy_ms: 3.0,
            demand_ms: 4_000.0,
            expert_share: 0.8,
            optimism,
            ..Options::default()
        };
        let demand = watch.demand().expect("counted");
        // A map takes three intervals to come into force.
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
fn verify_calibration_avoids_changes_to_maps_that_are_no_better() {
    let sum = |calibrated| {
        let all = (0..6).map(|seed| changes(seed, calibrated));
        all.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    };
    let (uncalibrated, calibrated) = (sum(false), sum(true));
    assert!(calibrated.0 * 3 <= uncalibrated.0, "{calibrated:?} and {uncalibrated:?} changes");
    assert!(calibrated.1 >= 6, "too few changes after a shift: {calibrated:?}");
}

#[test]
fn verify_optimism_follows_the_measured_lag() {
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
    assert!(calibration.optimism() < 1.41, "a map computed for another demand must not count");
}

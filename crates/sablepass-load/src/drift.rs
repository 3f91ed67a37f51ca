// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Synthetic drift of the experts' popularity, for the `experts` subcommand.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sablepass_core::expert::map::Shape;

/// Tokens that a layer routes to its experts in a step at full load.
const TOKENS_PER_STEP: f64 = 32_768.0;
/// Standard deviation of the logarithm of the experts' popularity.
const LOG_POPULARITY_STD_DEV: f64 = 0.6;
/// Experts per layer whose popularity a wave raises.
const WAVE_EXPERTS: usize = 3;
/// Factor by which a wave raises the popularity of an expert.
const WAVE_FACTOR: f64 = 4.0;
/// Load before a rush, as a part of full load.
const LOAD_BEFORE_RUSH: f64 = 0.1;

/// Kinds of drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The popularity of each expert changes slowly, in a random walk.
    Walk,
    /// Some experts become popular suddenly, and lose this popularity later.
    Wave,
    /// Low load, then suddenly full load on which other experts are popular.
    Rush,
    /// Two waves that overlap in time.
    Overlap,
    /// Constant popularity; only the drawn counts vary.
    Noise,
}

impl Kind {
    /// All kinds, in the order of the output.
    pub const ALL: [Self; 5] = [Self::Walk, Self::Wave, Self::Rush, Self::Overlap, Self::Noise];

    /// Name in the output.
    pub fn label(self) -> &'static str {
        match self {
            Self::Walk => "walk",
            Self::Wave => "wave",
            Self::Rush => "rush",
            Self::Overlap => "overlap",
            Self::Noise => "noise",
        }
    }
}

/// Generates the experts' popularity over time, and draws token counts from it.
pub struct Source {
    kind: Kind,
    steps: u64,
    rng: ChaCha8Rng,
    /// Logarithm of the popularity without waves, by layer and expert.
    log_popularity: Vec<Vec<f64>>,
    /// Experts whose popularity the first and the second wave raise, by layer.
    waves: [Vec<Vec<usize>>; 2],
}

impl Source {
    /// Creates a source for a run of `steps` steps.
    pub fn open(kind: Kind, shape: Shape, steps: u64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let layer = |rng: &mut ChaCha8Rng| {
            (0..shape.experts).map(|_| LOG_POPULARITY_STD_DEV * normal(rng)).collect::<Vec<f64>>()
        };
        let log_popularity = (0..shape.layers).map(|_| layer(&mut rng)).collect();
        let mut wave = || {
            let pick = |rng: &mut ChaCha8Rng| {
                (0..WAVE_EXPERTS).map(|_| rng.random_range(0..shape.experts)).collect()
            };
            (0..shape.layers).map(|_| pick(&mut rng)).collect::<Vec<Vec<usize>>>()
        };
        let waves = [wave(), wave()];
        Self { kind, steps, rng, log_popularity, waves }
    }

    /// Advances the random walk by `span` steps. Other kinds depend on the step only.
    pub fn advance(&mut self, span: u64) {
        if self.kind != Kind::Walk {
            return;
        }
        // Over the whole run, the walk adds as much variance as the popularity has at the start.
        let std_dev = LOG_POPULARITY_STD_DEV * (span as f64 / self.steps as f64).sqrt();
        for expert in self.log_popularity.iter_mut().flatten() {
            *expert += std_dev * normal(&mut self.rng);
        }
    }

    /// Expected tokens per step, by layer and expert.
    pub fn expected(&self, step: u64) -> Vec<Vec<f64>> {
        let progress = step as f64 / self.steps as f64;
        let active = match self.kind {
            Kind::Walk | Kind::Noise => [false, false],
            Kind::Wave => [(0.3..0.7).contains(&progress), false],
            Kind::Rush => [progress >= 0.5, false],
            Kind::Overlap => [(0.2..0.6).contains(&progress), (0.4..0.8).contains(&progress)],
        };
        let before_rush = self.kind == Kind::Rush && progress < 0.5;
        let total = if before_rush { TOKENS_PER_STEP * LOAD_BEFORE_RUSH } else { TOKENS_PER_STEP };
        let layer = |(index, experts): (usize, &Vec<f64>)| {
            let mut weights: Vec<f64> = experts.iter().map(|it| it.exp()).collect();
            for (wave, _) in self.waves.iter().zip(active).filter(|it| it.1) {
                wave[index].iter().for_each(|expert| weights[*expert] *= WAVE_FACTOR);
            }
            let sum: f64 = weights.iter().sum();
            weights.into_iter().map(|it| it / sum * total).collect()
        };
        self.log_popularity.iter().enumerate().map(layer).collect()
    }

    /// Draws token counts around their expected values: Poisson, approximated by a normal
    /// distribution.
    pub fn draw(&mut self, expected: &[Vec<f64>]) -> Vec<Vec<f64>> {
        let rng = &mut self.rng;
        let mut count = |mean: &f64| (mean + mean.sqrt() * normal(rng)).max(0.0);
        expected.iter().map(|layer| layer.iter().map(&mut count).collect()).collect()
    }

    /// Decides at random whether a report of counts is lost: one in ten is.
    pub fn loses_report(&mut self) -> bool {
        self.rng.random_bool(0.1)
    }
}

/// Draws from the standard normal distribution, by the method of Box and Muller (1958).
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0_f64)).cos()
}

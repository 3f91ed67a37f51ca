// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Estimating each expert's load from late and gappy counts.
//!
//! Two averages are kept, a quick and a slow one. The slow one is steady
//! under noise; the quick one is believed for an expert as far as its
//! distance from the slow one is more than noise explains.

/// Time constants of an [`Estimate`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Steps of the quick average. Default 150.
    pub fast_steps: f64,
    /// Steps of the slow average. Default 1,500.
    pub slow_steps: f64,
    /// Standard deviations by which the quick average must leave the slow one. Default 4.
    pub threshold_sigmas: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { fast_steps: 150.0, slow_steps: 1_500.0, threshold_sigmas: 4.0 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    quick: f64,
    slow: f64,
    /// Mean squared distance of a count from the quick average before it.
    variance: f64,
    /// Standard deviation of the quick average.
    noise: f64,
}

/// The estimate of a whole group.
#[derive(Clone, Debug)]
pub struct Estimate {
    options: Options,
    experts: usize,
    cells: Vec<Average>,
    step: Option<u64>,
}

impl Estimate {
    /// Opens an estimate that knows nothing.
    pub fn new(options: Options, layers: usize, experts: usize) -> Self {
        Self { options, experts, cells: vec![Average::default(); layers * experts], step: None }
    }

    /// Takes counts in: tokens a step of each layer's experts, up to step
    /// `step`. Counts that are older than what is held are ignored; after a
    /// gap, new counts weigh as much as the gap is long.
    pub fn observe(&mut self, step: u64, tokens: &[Vec<f64>]) -> bool {
        let span = match self.step {
            None => None,
            Some(last) if step <= last => return false,
            Some(last) => Some((step - last) as f64),
        };
        self.step = Some(step);
        let options = self.options;
        for (cell, &count) in self.cells.iter_mut().zip(tokens.iter().flatten()) {
            match span {
                None => *cell = Average::first(count),
                Some(span) => cell.take(options, span, count),
            }
        }
        true
    }

    /// Whether counts have come.
    pub fn has_counts(&self) -> bool {
        self.step.is_some()
    }

    /// Expected tokens a step of each layer's experts.
    pub fn tokens(&self) -> Vec<Vec<f64>> {
        let options = self.options;
        let layer = |it: &[Average]| it.iter().map(|it| it.expected(options)).collect();
        self.cells.chunks(self.experts).map(layer).collect()
    }
}

impl Average {
    /// Starts from one count, whose noise is taken to be that of a Poisson process.
    fn first(count: f64) -> Self {
        Self { quick: count, slow: count, variance: count, noise: count.sqrt() }
    }

    fn take(&mut self, options: Options, span: f64, count: f64) {
        let weight = |constant: f64| 1.0 - (-span / constant).exp();
        let (quick, slow) = (weight(options.fast_steps), weight(options.slow_steps));
        let off = count - self.quick;
        self.variance += slow * (off * off - self.variance);
        // What averaging leaves of a count's noise, for a weight w: w / (2 - w).
        self.noise = (self.variance * quick / (2.0 - quick)).sqrt();
        self.quick += quick * off;
        self.slow += slow * (count - self.slow);
        if self.has_left(options) {
            // The load has changed for good: the slow average catches up at the quick one's pace.
            self.slow += quick * (self.quick - self.slow);
        }
    }

    fn has_left(&self, options: Options) -> bool {
        (self.quick - self.slow).abs() > options.threshold_sigmas * self.noise
    }

    /// Between the two averages: the slow one while their distance is what
    /// noise explains, and the quick one the more the less it does.
    fn expected(&self, options: Options) -> f64 {
        let gap = self.quick - self.slow;
        let doubt = (options.threshold_sigmas * self.noise).max(f64::MIN_POSITIVE);
        let belief = (gap / doubt).powi(2).min(1.0);
        self.slow + gap * belief
    }
}

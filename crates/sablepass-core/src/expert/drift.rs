// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Estimates each expert's load from counts that arrive late and with gaps. Used by
//! the planner in [`crate::expert::plan`].
//!
//! Keeps a fast and a slow exponential moving average of each expert's counts. The
//! slow average is stable under noise. The more the fast average deviates from it
//! relative to the noise, the more weight the fast average gets in the estimate.

/// Time constants and noise threshold of an [`Estimate`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time constant of the fast average in steps. Default 150.
    pub fast_steps: f64,
    /// Time constant of the slow average in steps. Default 1,500.
    pub slow_steps: f64,
    /// Deviation of the fast average from the slow one that counts as a change of load, in
    /// standard deviations of the fast average. Default 4.
    pub threshold_sigmas: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { fast_steps: 150.0, slow_steps: 1_500.0, threshold_sigmas: 4.0 }
    }
}

/// Averages of one expert's counts.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    fast: f64,
    slow: f64,
    /// Mean squared difference between a count and the fast average before that count.
    variance: f64,
    /// Standard deviation of the fast average.
    noise: f64,
}

/// Load estimate of all experts of a group.
#[derive(Clone, Debug)]
pub struct Estimate {
    options: Options,
    experts: usize,
    /// Averages of all experts, layer by layer.
    averages: Vec<Average>,
    /// Step of the last accepted counts.
    step: Option<u64>,
}

impl Estimate {
    /// Creates an estimate without counts.
    pub fn new(options: Options, layers: usize, experts: usize) -> Self {
        Self { options, experts, averages: vec![Average::default(); layers * experts], step: None }
    }

    /// Adds counts, in tokens per step for each layer's experts, of the interval that
    /// ends at `step`. Returns `false` and ignores the counts if they are not newer than
    /// the last accepted ones. After a gap, the weight of counts grows with its length.
    pub fn observe(&mut self, step: u64, tokens: &[Vec<f64>]) -> bool {
        let span = match self.step {
            None => None,
            Some(last) if step <= last => return false,
            Some(last) => Some((step - last) as f64),
        };
        self.step = Some(step);
        let options = self.options;
        for (average, &count) in self.averages.iter_mut().zip(tokens.iter().flatten()) {
            match span {
                None => *average = Average::first(count),
                Some(span) => average.update(options, span, count),
            }
        }
        true
    }

    /// Returns whether any counts have been accepted.
    pub fn has_counts(&self) -> bool {
        self.step.is_some()
    }

    /// Returns the expected tokens per step of each layer's experts.
    pub fn tokens(&self) -> Vec<Vec<f64>> {
        let options = self.options;
        let layer = |averages: &[Average]| averages.iter().map(|it| it.expected(options)).collect();
        self.averages.chunks(self.experts).map(layer).collect()
    }
}

impl Average {
    /// Starts from one count. Its noise is assumed to be that of a Poisson process.
    fn first(count: f64) -> Self {
        Self { fast: count, slow: count, variance: count, noise: count.sqrt() }
    }

    /// Adds a count of an interval of `span` steps.
    fn update(&mut self, options: Options, span: f64, count: f64) {
        let weight = |constant: f64| 1.0 - (-span / constant).exp();
        let (fast, slow) = (weight(options.fast_steps), weight(options.slow_steps));
        let deviation = count - self.fast;
        self.variance += slow * (deviation * deviation - self.variance);
        // The variance of an exponential moving average with weight w is that of a count times
        // w / (2 - w).
        self.noise = (self.variance * fast / (2.0 - fast)).sqrt();
        self.fast += fast * deviation;
        self.slow += slow * (count - self.slow);
        if self.has_changed(options) {
            // The load has changed permanently: the slow average follows with the weight of the
            // fast one.
            self.slow += fast * (self.fast - self.slow);
        }
    }

    /// Returns whether the averages differ by more than noise explains.
    fn has_changed(&self, options: Options) -> bool {
        (self.fast - self.slow).abs() > options.threshold_sigmas * self.noise
    }

    /// Returns a value between the two averages. The weight of the fast average grows with
    /// the square of their difference and reaches 1 at the noise threshold.
    fn expected(&self, options: Options) -> f64 {
        let gap = self.fast - self.slow;
        let threshold = (options.threshold_sigmas * self.noise).max(f64::MIN_POSITIVE);
        let weight = (gap / threshold).powi(2).min(1.0);
        self.slow + gap * weight
    }
}

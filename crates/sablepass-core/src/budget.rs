// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Retry budget: limits retries to a fraction of first attempts, so that retries cannot overload
//! failing targets.

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries earned by each first attempt. Default 0.1.
    pub ratio: f64,
    /// Maximum number of unused retries. Default 20.
    pub burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { ratio: 0.1, burst: 20.0 }
    }
}

/// A token bucket that is refilled by first attempts instead of by time.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    tokens: f64,
}

impl Budget {
    /// Sets the maximum number of unused retries, as when the number of processes that share it
    /// changes.
    pub fn set_burst(&mut self, burst: f64) {
        self.options.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Creates a full budget.
    pub fn open(options: Options) -> Self {
        Self { tokens: options.burst, options }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.options.ratio).min(self.options.burst);
    }

    /// Takes one retry. Returns false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

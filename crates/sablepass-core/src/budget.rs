// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Retry budget: retries are a bounded share of first attempts, so that a
//! failing fleet is not buried under its own retries.

/// Limits of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries earned by each first attempt. Default 0.1.
    pub ratio: f64,
    /// The most that can be saved up. Default 20.
    pub burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { ratio: 0.1, burst: 20.0 }
    }
}

/// A token bucket that is filled by first attempts instead of by time.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    tokens: f64,
}

impl Budget {
    /// Changes the most that can be saved up, as when it is shared with more processes.
    pub fn set_burst(&mut self, burst: f64) {
        self.options.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Opens a budget that starts full.
    pub fn open(options: Options) -> Self {
        Self { tokens: options.burst, options }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.options.ratio).min(self.options.burst);
    }

    /// Takes one retry, if there is one left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

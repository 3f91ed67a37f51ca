// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reads traces of token counts: CSV lines `step,layer,expert,tokens`, sorted by step.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use sablepass_core::expert::map::Shape;
use snafu::{ResultExt, Snafu};

/// Errors of reading a trace.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A line is invalid.
    #[snafu(display("{}:{line}: {problem}; expected step,layer,expert,tokens", file.display()))]
    Line {
        /// Path of the file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Reason.
        problem: Problem,
    },
    /// The file has no counts.
    #[snafu(display("{}: the file has no token counts", file.display()))]
    Empty {
        /// Path of the file.
        file: PathBuf,
    },
}

/// Reasons why a line is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Problem {
    /// The number of fields is not four.
    #[snafu(display("not four fields"))]
    Fields,
    /// A field is not a number.
    #[snafu(display("field is not a number"))]
    Number,
    /// The shape has no such layer.
    #[snafu(display("layer is out of range"))]
    Layer,
    /// The shape has no such expert.
    #[snafu(display("expert is out of range"))]
    Expert,
    /// The number of tokens is negative or not finite.
    #[snafu(display("number of tokens is negative or not finite"))]
    Tokens,
    /// The step is lower than on the previous line.
    #[snafu(display("step is lower than on the previous line"))]
    Order,
}

/// Token counts by step, layer and expert.
pub type Trace = BTreeMap<u64, Vec<Vec<f64>>>;

/// Reads a trace. Counts of the same step, layer and expert are added up.
pub fn open(file: &Path, shape: Shape) -> Result<Trace, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let mut trace = Trace::new();
    let mut previous_step = 0;
    for (index, line) in text.lines().enumerate() {
        let header = index == 0 && line.starts_with("step");
        if header || line.trim().is_empty() {
            continue;
        }
        let parsed = parse(line, shape, previous_step);
        let (step, layer, expert, tokens) = parsed.map_err(|problem| Error::Line {
            file: file.to_owned(),
            line: index + 1,
            problem,
        })?;
        previous_step = step;
        let zeros = || vec![vec![0.0; shape.experts]; shape.layers];
        trace.entry(step).or_insert_with(zeros)[layer][expert] += tokens;
    }
    if trace.is_empty() {
        return EmptySnafu { file }.fail();
    }
    Ok(trace)
}

/// Parses a line as step, layer, expert and tokens.
fn parse(
    line: &str,
    shape: Shape,
    previous_step: u64,
) -> Result<(u64, usize, usize, f64), Problem> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let [step, layer, expert, tokens] = fields[..] else {
        return Err(Problem::Fields);
    };
    let step: u64 = step.parse().map_err(|_| Problem::Number)?;
    let layer: usize = layer.parse().map_err(|_| Problem::Number)?;
    let expert: usize = expert.parse().map_err(|_| Problem::Number)?;
    let tokens: f64 = tokens.parse().map_err(|_| Problem::Number)?;
    if layer >= shape.layers {
        return Err(Problem::Layer);
    }
    if expert >= shape.experts {
        return Err(Problem::Expert);
    }
    if !tokens.is_finite() || tokens < 0.0 {
        return Err(Problem::Tokens);
    }
    if step < previous_step {
        return Err(Problem::Order);
    }
    Ok((step, layer, expert, tokens))
}

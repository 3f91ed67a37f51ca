// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Header fields that nobody reads, in answers of targets and of the platform's store. One
//! may say something that matters, so each is counted by its name and logged once a sender.

use std::collections::BTreeSet;

use slog::Logger;

use crate::telemetry::Metrics;

/// Names that are counted apart, and the label of all others.
const NAMES: usize = 32;
const OTHER: &str = "other";
/// Pairs of a name and a sender that are logged.
const LOGGED: usize = 1_024;
/// Longest name that is counted apart.
const LONGEST: usize = 64;

/// What was met.
#[derive(Debug, Default)]
pub struct Unread {
    names: BTreeSet<String>,
    logged: BTreeSet<(String, String)>,
}

impl Unread {
    /// Takes note of a field of an answer.
    pub fn note(&mut self, log: &Logger, metrics: &Metrics, sender: &str, field: &str) {
        let label = self.label(field);
        metrics.fields_unread.with_label_values(&[label]).inc();
        if label != OTHER && self.is_new(field, sender) {
            slog::warn!(log, "field of an answer unread"; "field" => field, "target" => sender);
        }
    }

    /// The label under which a field is counted.
    fn label<'a>(&mut self, field: &'a str) -> &'a str {
        let known = self.names.contains(field);
        if !known && (self.names.len() >= NAMES || field.len() > LONGEST) {
            return OTHER;
        }
        if !known {
            self.names.insert(field.to_owned());
        }
        field
    }

    /// Whether a field of a sender is met for the first time.
    fn is_new(&mut self, field: &str, sender: &str) -> bool {
        self.logged.len() < LOGGED && self.logged.insert((field.to_owned(), sender.to_owned()))
    }
}

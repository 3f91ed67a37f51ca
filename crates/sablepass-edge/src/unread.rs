// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Records header fields that this program does not interpret, in answers of targets and of the
//! platform's store. Such a field may carry important information, so each one is counted by name
//! and logged once per sender.

use std::collections::BTreeSet;

use slog::Logger;

use crate::telemetry::Metrics;

/// Maximum number of names with their own label. All other names share [`OTHER_LABEL`].
const MAX_LABELS: usize = 32;
const OTHER_LABEL: &str = "other";
/// Maximum number of logged pairs of name and sender.
const MAX_LOGGED: usize = 1_024;
/// Maximum length in bytes of a name with its own label.
const MAX_LABEL_BYTES: usize = 64;

/// The fields seen so far.
#[derive(Debug, Default)]
pub struct UnreadFields {
    labels: BTreeSet<String>,
    logged: BTreeSet<(String, String)>,
}

impl UnreadFields {
    /// Records a header field of an answer.
    pub fn record(&mut self, log: &Logger, metrics: &Metrics, sender: &str, field: &str) {
        let label = self.label(field);
        metrics.fields_unread.with_label_values(&[label]).inc();
        if label != OTHER_LABEL && self.is_new(field, sender) {
            slog::warn!(log, "field of an answer unread"; "field" => field, "target" => sender);
        }
    }

    /// Returns the metric label for a field.
    fn label<'a>(&mut self, field: &'a str) -> &'a str {
        let known = self.labels.contains(field);
        if !known && (self.labels.len() >= MAX_LABELS || field.len() > MAX_LABEL_BYTES) {
            return OTHER_LABEL;
        }
        if !known {
            self.labels.insert(field.to_owned());
        }
        field
    }

    /// Whether this field of this sender is logged for the first time.
    fn is_new(&mut self, field: &str, sender: &str) -> bool {
        self.logged.len() < MAX_LOGGED && self.logged.insert((field.to_owned(), sender.to_owned()))
    }
}

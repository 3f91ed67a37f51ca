// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Fields of targets' answers that nobody reads. A target may say with one how it wants to
//! be used, so each is counted by its name and logged once a target.

use std::collections::BTreeSet;

use http::HeaderMap;
use sablepass_core::id::Life;
use sablepass_platform::answer;

use crate::router::Router;

/// Names that are counted apart, and the label of all others.
const NAMES: usize = 32;
const OTHER: &str = "other";
/// Pairs of a name and a target that are logged.
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

    /// Whether a field of a target is met for the first time.
    fn is_new(&mut self, field: &str, target: &str) -> bool {
        self.logged.len() < LOGGED && self.logged.insert((field.to_owned(), target.to_owned()))
    }
}

impl Router {
    /// Takes note of the fields of an answer that nobody reads.
    pub(crate) fn note_unread(&mut self, it: Life<'_>, fields: &HeaderMap) {
        for field in answer::unread(fields) {
            let label = self.unread.label(field);
            self.metrics.fields_unread.with_label_values(&[label]).inc();
            if label != OTHER && self.unread.is_new(field, it.name) {
                slog::warn!(self.log, "field of an answer unread"; "field" => field,
                    "target" => it.name);
            }
        }
    }
}

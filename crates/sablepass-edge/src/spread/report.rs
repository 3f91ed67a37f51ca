// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Lines and counts for what the platform says and cannot be taken: one for each change of an
//! item, not for each read.

use sablepass_core::config::StoreKind;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;

use crate::reader::Problem;
use crate::spread::{MOST_BAD, Spread};

impl Spread {
    /// A line and a count for documents whose operator's number is too low, and for lines of
    /// instances that left.
    pub(super) fn report_rejected(&mut self, what: StoreKind) {
        let (text, reason) = match what {
            StoreKind::Declarations => ("older version not taken", Ignored::OlderVersion),
            StoreKind::Instances => {
                ("line of an instance that left not taken", Ignored::FormerLine)
            }
        };
        for it in self.source(what).store.take_rejected() {
            if self.is_reported(what, &it.key, it.revision) {
                continue;
            }
            slog::warn!(self.log, "{}", text; "key" => &it.key, "version" => it.version,
                "era" => it.revision.era, "revision" => it.revision.number);
            self.metrics.ignored(reason);
        }
    }

    /// A count for each answer whose era is not believed, and a line for the first in a row.
    pub(super) fn report_doubt(&mut self, what: StoreKind, e: &sablepass_platform::Error) {
        self.metrics.bad_items.with_label_values(&[e.label()]).inc();
        if std::mem::replace(&mut self.doubted, true) {
            return;
        }
        slog::warn!(self.log, "era not believed"; "what" => ?what, "error" => %e);
    }

    /// Whether a version that cannot be taken is known as such.
    fn is_reported(&mut self, what: StoreKind, key: &str, revision: Revision) -> bool {
        let bad = &mut self.source(what).bad;
        if bad.len() >= MOST_BAD && !bad.contains_key(key) {
            bad.clear();
        }
        bad.insert(key.to_owned(), revision) == Some(revision)
    }

    /// A line and a count for each change that cannot be taken, not for each read.
    pub(super) fn report_problem(&mut self, what: StoreKind, it: &Problem) {
        if self.is_reported(what, &it.key, it.revision) {
            return;
        }
        slog::warn!(self.log, "item not taken"; "what" => ?what, "key" => &it.key,
            "era" => it.revision.era, "revision" => it.revision.number, "reason" => it.error.label(), "error" => %it.error);
        self.metrics.ignored(Ignored::BadDocument);
        self.metrics.bad_items.with_label_values(&[it.error.label()]).inc();
    }
}

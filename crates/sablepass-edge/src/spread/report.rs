// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Logs and counts what processes conclude from reads of the platform: outages, and items and eras
//! that are rejected. An item is reported once for each of its changes, not for each read.

use std::collections::BTreeMap;

use sablepass_core::config::{Delta, Document, StoreKind};
use sablepass_core::outage::Change;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;

use crate::instance::Instance;
use crate::reader::Problem;
use crate::spread::{MAX_REJECTED_ITEMS, Replication};

impl Replication {
    /// Logs and counts documents whose version number is too low, and list lines of instances that
    /// have left.
    pub(super) fn report_rejected(&mut self, kind: StoreKind) {
        let (text, reason) = match kind {
            StoreKind::Declarations => {
                ("rejected a document with an older version", Ignored::OlderVersion)
            }
            StoreKind::Instances => {
                ("rejected a list line of an instance that has left", Ignored::FormerLine)
            }
        };
        for it in self.source(kind).store.take_rejected() {
            if self.mark_reported(kind, &it.key, it.revision) {
                continue;
            }
            slog::warn!(self.log, "{}", text; "key" => &it.key, "version" => it.version,
                "era" => it.revision.era, "revision" => it.revision.number);
            self.metrics.ignored(reason);
        }
    }

    /// Logs and counts an outage of the instance list's service that has ended, and logs if there
    /// was none.
    pub(super) fn report_availability(&self, change: Change) {
        match change {
            Change::None => {}
            Change::Ended(outage) => {
                let evidence = outage.evidence.label();
                self.metrics.list_outages.with_label_values(&[evidence]).inc();
                slog::info!(self.log, "instance list outage ended"; "evidence" => evidence,
                    "since" => outage.since, "until" => outage.until);
            }
            Change::Disproved => slog::info!(self.log, "instance list outage disproved by a peer";
                "since" => self.availability.period().map(|it| it.since)),
        }
    }

    /// Logs lines that mark an instance as leaving and are overwritten within the same answer, so
    /// that the list never shows them.
    pub(super) fn report_overwritten(&self, delta: &Delta) {
        let is_leaving =
            |it: &Document| Instance::parse(&it.newest.body).is_ok_and(|line| line.leaving);
        let mut last: BTreeMap<&str, &Document> = BTreeMap::new();
        for it in &delta.documents {
            let Some(before) = last.insert(&it.key, it) else { continue };
            if !it.removed && !is_leaving(it) && is_leaving(before) {
                slog::warn!(self.log, "line of a leaving instance overwritten"; "key" => &it.key,
                    "revision" => before.newest.revision.number, "by" => it.newest.revision.number);
            }
        }
    }

    /// Counts each answer with an implausible era, and logs the first one in a row.
    pub(super) fn report_rejected_era(&mut self, kind: StoreKind, e: &sablepass_platform::Error) {
        self.metrics.bad_items.with_label_values(&[e.label()]).inc();
        if std::mem::replace(&mut self.era_rejected, true) {
            return;
        }
        slog::warn!(self.log, "rejected an implausible platform era"; "what" => ?kind,
            "error" => %e);
    }

    /// Marks a rejected revision of an item as reported. Returns whether it was already.
    fn mark_reported(&mut self, kind: StoreKind, key: &str, revision: Revision) -> bool {
        let rejected = &mut self.source(kind).rejected;
        if rejected.len() >= MAX_REJECTED_ITEMS && !rejected.contains_key(key) {
            rejected.clear();
        }
        rejected.insert(key.to_owned(), revision) == Some(revision)
    }

    /// Logs and counts an item that cannot be used, once for each change and not for each read.
    pub(super) fn report_problem(&mut self, kind: StoreKind, problem: &Problem) {
        if self.mark_reported(kind, &problem.key, problem.revision) {
            return;
        }
        slog::warn!(self.log, "item not taken"; "what" => ?kind, "key" => &problem.key,
            "era" => problem.revision.era, "revision" => problem.revision.number,
            "reason" => problem.error.label(), "error" => %problem.error);
        self.metrics.ignored(Ignored::BadDocument);
        self.metrics.bad_items.with_label_values(&[problem.error.label()]).inc();
    }
}

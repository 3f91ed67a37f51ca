// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Availability of the instance list's service, from the calls of this process and the digests of
//! its peers, and whether this process still hears of other entries.

use sablepass_core::id::Millis;
use sablepass_core::outage::Period;
use sablepass_wire::generated as wire;

use crate::instance::Role;
use crate::reader::{self, Batch, Form};
use crate::spread::Replication;

/// Delay after the end of a call's wait from which its answer counts as late. The service normally
/// answers in milliseconds, so a late answer means that it was unavailable in between.
const LATE_ANSWER: Millis = 500;
/// Time beyond the interval of digests without a digest of any entry from which this process no
/// longer relies on others to read the instance list.
const DIGEST_GRACE: Millis = 500;

impl Replication {
    /// Updates the availability of the instance list's service after a call that began at
    /// `started`. A late answer proves only that the service is available now, and a call without
    /// an answer that it was not when the answer was due.
    pub(super) fn record_availability(
        &mut self,
        now: Millis,
        started: Millis,
        result: &Result<Batch, reader::Error>,
    ) {
        let due = now.min(self.list.answer_due);
        match result {
            Ok(_) | Err(reader::Error::HistoryGone { .. } | reader::Error::Restored { .. }) => {
                let late = now > due + LATE_ANSWER;
                if late {
                    self.availability.failed(due);
                }
                let era = self.era.unwrap_or_default();
                let started = if late { now } else { started };
                let change = self.availability.answered(era, started, now);
                self.report_availability(change);
            }
            Err(e) if e.is_timeout() => self.availability.failed(due),
            Err(_) => self.availability.failed(now),
        }
    }

    /// Merges the period in which a peer knows the instance list's service to have been available.
    pub fn merge_availability(&mut self, now: Millis, peer: &wire::Digest) {
        let Some(available) = &peer.available else { return };
        let until = now.saturating_sub(Millis::from(available.age));
        let since = until.saturating_sub(Millis::from(available.duration));
        let recovered = since.saturating_sub(Millis::from(available.detection));
        let period = Period { era: available.era, recovered, since, until };
        let change = self.availability.observed(period);
        self.report_availability(change);
    }

    /// The period of availability that is sent to peers.
    pub(super) fn available(&self, now: Millis) -> Option<wire::Available> {
        self.availability.period().map(|it| wire::Available {
            era: it.era,
            age: duration_ms(it.until, now),
            duration: duration_ms(it.since, it.until),
            detection: duration_ms(it.recovered, it.since),
        })
    }

    /// Records that a digest of an entry arrived.
    pub fn record_entry_digest(&mut self, now: Millis) {
        self.last_entry_digest = now;
    }

    /// Whether this process hears nothing of the entries that would forward the instance list.
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        let expected = self.last_entry_digest + self.node.digest_every + DIGEST_GRACE;
        self.node.form == Form::Keys && self.role == Role::Entry && now > expected
    }
}

/// Milliseconds from one time to another, as they are sent to peers.
pub(super) fn duration_ms(from: Millis, to: Millis) -> u32 {
    u32::try_from(to.saturating_sub(from)).unwrap_or(u32::MAX)
}

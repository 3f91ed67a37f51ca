// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Cache of the suspects, requests under which targets end, for entries that restart. The agent
//! makes no decisions based on it.

use sablepass_core::id::Millis;
use sablepass_core::parts::{PartSuspects, PartsDeath};
use sablepass_core::suspects::Suspects;
use sablepass_wire::convert::Error;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::suspects::Evidence;

/// The deaths reported by entries.
#[derive(Debug, Default)]
pub struct SuspectCache {
    suspects: Suspects,
    parts: PartSuspects,
}

impl SuspectCache {
    /// Applies the deaths and cleared requests that an entry reported.
    pub fn update(&mut self, now: Millis, message: wire::Suspects) -> Result<(), Error> {
        let report = Evidence::parse(message)?;
        for it in report.deaths {
            self.parts.record(now, &it);
            self.suspects.record(now, it.request, it.death);
        }
        for request in report.completed {
            self.suspects.clear(now, request);
        }
        for (part, at) in report.completed_parts {
            self.parts.record_completed(at, &[part]);
        }
        Ok(())
    }

    /// Returns the message for an entry that has just connected, or `None` if no request and no
    /// prompt part is blocked.
    pub fn message(&self, now: Millis) -> Option<Body> {
        let requests = self.suspects.blocked(now).map(|(it, death)| PartsDeath::of(it, death));
        let deaths = requests.chain(self.parts.blocked(now)).collect();
        let report = Evidence { deaths, ..Evidence::default() };
        (!report.is_empty()).then(|| report.body())
    }
}

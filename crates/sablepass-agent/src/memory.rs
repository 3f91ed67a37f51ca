// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Cache of the suspects, requests under which targets end, for entries that restart. The agent
//! makes no decisions based on it.

use sablepass_core::id::Millis;
use sablepass_core::suspects::Suspects;
use sablepass_wire::convert::Error;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::suspects::Evidence;

/// The deaths reported by entries.
#[derive(Debug, Default)]
pub struct SuspectCache {
    suspects: Suspects,
}

impl SuspectCache {
    /// Applies the deaths and cleared requests that an entry reported.
    pub fn update(&mut self, now: Millis, message: wire::Suspects) -> Result<(), Error> {
        let report = Evidence::parse(message)?;
        for (request, death) in report.deaths {
            self.suspects.record(now, request, death);
        }
        for request in report.sound {
            self.suspects.clear(now, request);
        }
        Ok(())
    }

    /// Returns the message for an entry that has just connected, or `None` if no request is
    /// blocked.
    pub fn message(&self, now: Millis) -> Option<Body> {
        let blocked = self.suspects.blocked(now).map(|(it, death)| (it, death.clone()));
        let report = Evidence { deaths: blocked.collect(), sound: Vec::new() };
        (!report.is_empty()).then(|| report.body())
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What an agent remembers for entries that start anew: the requests that are
//! held back because targets end under them. It decides nothing by it.

use sablepass_core::id::Millis;
use sablepass_core::suspects::Suspects;
use sablepass_wire::convert::Error;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::suspects::Evidence;

/// The memory.
#[derive(Debug, Default)]
pub struct Memory {
    suspects: Suspects,
}

impl Memory {
    /// Takes what an entry tells.
    pub fn take(&mut self, now: Millis, it: wire::Suspects) -> Result<(), Error> {
        let told = Evidence::parse(it)?;
        for (request, death) in told.deaths {
            self.suspects.record(now, request, death);
        }
        for request in told.sound {
            self.suspects.clear(now, request);
        }
        Ok(())
    }

    /// What an entry is told that has just connected, if there is anything.
    pub fn recall(&self, now: Millis) -> Option<Body> {
        let held = self.suspects.blocked(now).map(|(it, death)| (it, death.clone()));
        let told = Evidence { deaths: held.collect(), sound: Vec::new() };
        (!told.is_empty()).then(|| told.body())
    }
}

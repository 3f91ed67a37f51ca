// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entries tell each other of instances that were removed from the list.

use sablepass_core::revision::Revision;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// A removed instance, and the revision of its removal.
pub type Removal<'a> = (&'a str, Revision);

/// The message that tells of removals.
pub fn body(removals: &[Removal<'_>]) -> Body {
    let one = |(key, at): &Removal<'_>| wire::Removal {
        key: (*key).to_owned(),
        revision: at.number,
        era: at.era,
    };
    Body::Removals(wire::Removals { removals: removals.iter().map(one).collect() })
}

/// Reads a message.
pub fn parse(it: &wire::Removals) -> Result<Vec<Removal<'_>>, Error> {
    it.removals.iter().map(removal).collect()
}

fn removal(it: &wire::Removal) -> Result<Removal<'_>, Error> {
    if it.key.is_empty() {
        return Err(Error::Field { message: "removal", field: "key" });
    }
    Ok((&it.key, Revision::new(it.era, it.revision)))
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages by which entries inform each other of instances that were removed from the instance
//! list.

use sablepass_core::revision::Revision;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// Key of a removed instance, and the revision of its removal.
pub type Removal<'a> = (&'a str, Revision);

/// Builds the message.
pub fn body(removals: &[Removal<'_>]) -> Body {
    let message = |(key, revision): &Removal<'_>| wire::Removal {
        key: (*key).to_owned(),
        revision: revision.number,
        era: revision.era,
    };
    Body::Removals(wire::Removals { removals: removals.iter().map(message).collect() })
}

/// Reads a message. Every removal must have a key.
pub fn parse(message: &wire::Removals) -> Result<Vec<Removal<'_>>, Error> {
    message.removals.iter().map(removal).collect()
}

fn removal(message: &wire::Removal) -> Result<Removal<'_>, Error> {
    if message.key.is_empty() {
        return Err(Error::Field { message: "removal", field: "key" });
    }
    Ok((&message.key, Revision::new(message.era, message.revision)))
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entries tell each other of targets that said that they leave.

use sablepass_core::notices::Life;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// The message about some lives of targets.
pub fn body<'a>(lives: impl Iterator<Item = Life<'a>>) -> Body {
    let notice = |it: Life<'_>| wire::Notice { target: it.name.to_owned(), born: it.born };
    Body::Notices(wire::Notices { notices: lives.map(notice).collect() })
}

/// Reads a message.
pub fn parse(it: &wire::Notices) -> Result<Vec<Life<'_>>, Error> {
    it.notices.iter().map(parse_one).collect()
}

fn parse_one(it: &wire::Notice) -> Result<Life<'_>, Error> {
    if it.target.is_empty() {
        return Err(Error::Field { message: "notice", field: "target" });
    }
    Ok(Life { name: &it.target, born: it.born })
}

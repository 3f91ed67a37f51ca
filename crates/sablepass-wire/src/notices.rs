// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entries tell each other of targets: which said that they leave, and what they
//! take from all entries together.

use sablepass_core::id::TargetIncarnation;
use sablepass_core::limits::Rate;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// A limit as told; none if the target names none any more.
pub type Limit<'a> = (TargetIncarnation<'a>, Option<Rate>);

/// What a message tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcements<'a> {
    /// Lives of targets that leave.
    pub leaving: Vec<TargetIncarnation<'a>>,
    /// Limits.
    pub limits: Vec<Limit<'a>>,
}

impl Announcements<'_> {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.limits.is_empty()
    }

    /// The message.
    pub fn body(&self) -> Body {
        let notice = |it: &TargetIncarnation<'_>| wire::Notice {
            target: it.name.to_owned(),
            born: it.started_at,
        };
        let limit = |(it, rate): &Limit<'_>| wire::Limit {
            target: it.name.to_owned(),
            born: it.started_at,
            rate: rate.map(Rate::per_second),
        };
        Body::Notices(wire::Notices {
            notices: self.leaving.iter().map(notice).collect(),
            limits: self.limits.iter().map(limit).collect(),
        })
    }
}

/// Reads a message.
pub fn parse(it: &wire::Notices) -> Result<Announcements<'_>, Error> {
    let leaving: Result<Vec<TargetIncarnation<'_>>, Error> =
        it.notices.iter().map(|it| life("notice", &it.target, it.born)).collect();
    let limits: Result<Vec<Limit<'_>>, Error> = it.limits.iter().map(limit).collect();
    Ok(Announcements { leaving: leaving?, limits: limits? })
}

fn limit(it: &wire::Limit) -> Result<Limit<'_>, Error> {
    Ok((life("limit", &it.target, it.born)?, rate("limit", it.rate)?))
}

/// Reads a life of a target.
pub(crate) fn life<'a>(
    message: &'static str,
    name: &'a str,
    born: u64,
) -> Result<TargetIncarnation<'a>, Error> {
    if name.is_empty() {
        return Err(Error::Field { message, field: "target" });
    }
    Ok(TargetIncarnation { name, started_at: born })
}

/// Reads a rate, if there is one.
pub(crate) fn rate(message: &'static str, it: Option<f64>) -> Result<Option<Rate>, Error> {
    let Some(it) = it else { return Ok(None) };
    Rate::new(it).map(Some).ok_or(Error::Field { message, field: "rate" })
}

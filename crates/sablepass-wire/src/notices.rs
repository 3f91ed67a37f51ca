// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages by which entries forward the notices of targets to each other: which targets are
//! leaving, their limits to the requests from all entries together, and how long they are cold.

use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::Rate;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// Limit of a target's incarnation; `None` if the target no longer has a limit.
pub type Limit<'a> = (TargetIncarnation<'a>, Option<Rate>);

/// Remaining time for which an incarnation of a target is cold, in milliseconds.
pub type Cold<'a> = (TargetIncarnation<'a>, Millis);

/// Content of a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcements<'a> {
    /// Incarnations of targets that are leaving.
    pub leaving: Vec<TargetIncarnation<'a>>,
    /// Limits of targets.
    pub limits: Vec<Limit<'a>>,
    /// Cold targets.
    pub cold: Vec<Cold<'a>>,
}

impl Announcements<'_> {
    /// Returns whether the message would be empty.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.limits.is_empty() && self.cold.is_empty()
    }

    /// Builds the message.
    pub fn body(&self) -> Body {
        let notice = |target: &TargetIncarnation<'_>| wire::Notice {
            target: target.name.to_owned(),
            born: target.started_at,
        };
        let limit = |(target, rate): &Limit<'_>| wire::Limit {
            target: target.name.to_owned(),
            born: target.started_at,
            rate: rate.map(Rate::per_second),
        };
        let cold = |(target, remaining): &Cold<'_>| wire::Cold {
            target: target.name.to_owned(),
            born: target.started_at,
            remaining: u32::try_from(*remaining).unwrap_or(u32::MAX),
        };
        Body::Notices(wire::Notices {
            notices: self.leaving.iter().map(notice).collect(),
            limits: self.limits.iter().map(limit).collect(),
            cold: self.cold.iter().map(cold).collect(),
        })
    }
}

/// Reads a message. Every target must have a name and every rate must be valid.
pub fn parse(message: &wire::Notices) -> Result<Announcements<'_>, Error> {
    let leaving: Result<Vec<TargetIncarnation<'_>>, Error> =
        message.notices.iter().map(|it| incarnation("notice", &it.target, it.born)).collect();
    let limits: Result<Vec<Limit<'_>>, Error> = message.limits.iter().map(limit).collect();
    let cold: Result<Vec<Cold<'_>>, Error> = message.cold.iter().map(cold).collect();
    Ok(Announcements { leaving: leaving?, limits: limits?, cold: cold? })
}

fn limit(message: &wire::Limit) -> Result<Limit<'_>, Error> {
    Ok((incarnation("limit", &message.target, message.born)?, rate("limit", message.rate)?))
}

fn cold(message: &wire::Cold) -> Result<Cold<'_>, Error> {
    Ok((incarnation("cold", &message.target, message.born)?, message.remaining.into()))
}

/// Reads the name and start time of a target. `message` names the kind of message in the error.
pub(crate) fn incarnation<'a>(
    message: &'static str,
    name: &'a str,
    started_at: u64,
) -> Result<TargetIncarnation<'a>, Error> {
    if name.is_empty() {
        return Err(Error::Field { message, field: "target" });
    }
    Ok(TargetIncarnation { name, started_at })
}

/// Reads an optional rate, in requests per second.
pub(crate) fn rate(message: &'static str, value: Option<f64>) -> Result<Option<Rate>, Error> {
    let Some(value) = value else { return Ok(None) };
    Rate::new(value).map(Some).ok_or(Error::Field { message, field: "rate" })
}

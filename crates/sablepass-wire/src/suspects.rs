// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What processes tell each other of requests under which targets ended.

use bytes::Bytes;
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::suspects::Death;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// What one message tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Targets that ended, with the requests that they held.
    pub deaths: Vec<(Fingerprint, Death)>,
    /// Requests that a target ran to their end.
    pub sound: Vec<Fingerprint>,
}

impl Evidence {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty() && self.sound.is_empty()
    }

    /// The message.
    pub fn body(&self) -> Body {
        let death = |(it, death): &(Fingerprint, Death)| wire::Death {
            request: bytes(*it),
            target: death.target.clone(),
            born: death.born,
            sent: death.sent,
            ended: death.ended,
        };
        Body::Suspects(wire::Suspects {
            deaths: self.deaths.iter().map(death).collect(),
            sound: self.sound.iter().copied().map(bytes).collect(),
        })
    }

    /// Reads a message.
    pub fn parse(it: wire::Suspects) -> Result<Self, Error> {
        let deaths: Result<Vec<_>, Error> = it.deaths.into_iter().map(parse_death).collect();
        let sound: Result<Vec<_>, Error> = it.sound.iter().map(|it| fingerprint(it)).collect();
        Ok(Self { deaths: deaths?, sound: sound? })
    }
}

fn parse_death(it: wire::Death) -> Result<(Fingerprint, Death), Error> {
    let request = fingerprint(&it.request)?;
    if it.target.is_empty() || it.sent > it.ended {
        return Err(Error::Field { message: "death", field: "target, sent or ended" });
    }
    let death = Death { target: it.target, born: it.born, sent: it.sent, ended: it.ended };
    Ok((request, death))
}

fn bytes(it: Fingerprint) -> Bytes {
    Bytes::copy_from_slice(&it.0.to_be_bytes())
}

fn fingerprint(bytes: &[u8]) -> Result<Fingerprint, Error> {
    let error = Error::Field { message: "suspects", field: "request" };
    let raw: [u8; 16] = bytes.try_into().map_err(|_| error)?;
    Ok(Fingerprint(u128::from_be_bytes(raw)))
}

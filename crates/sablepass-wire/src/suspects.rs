// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages by which entries and agents share the evidence about requests that may have crashed
//! their targets.

use bytes::Bytes;
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::suspects::Death;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// Content of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ends of targets, each with a request that the target was running.
    pub deaths: Vec<(Fingerprint, Death)>,
    /// Requests that completed successfully at a target.
    pub sound: Vec<Fingerprint>,
}

impl Evidence {
    /// Returns whether the message would be empty.
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty() && self.sound.is_empty()
    }

    /// Builds the message.
    pub fn body(&self) -> Body {
        let death = |(request, death): &(Fingerprint, Death)| wire::Death {
            request: bytes(*request),
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

    /// Reads a message. Every target must have a name, and must not have ended before the request
    /// was sent.
    pub fn parse(message: wire::Suspects) -> Result<Self, Error> {
        let deaths: Result<Vec<_>, Error> = message.deaths.into_iter().map(parse_death).collect();
        let sound: Result<Vec<_>, Error> = message.sound.iter().map(|it| fingerprint(it)).collect();
        Ok(Self { deaths: deaths?, sound: sound? })
    }
}

fn parse_death(message: wire::Death) -> Result<(Fingerprint, Death), Error> {
    let request = fingerprint(&message.request)?;
    if message.target.is_empty() || message.sent > message.ended {
        return Err(Error::Field { message: "death", field: "target, sent or ended" });
    }
    let death = Death {
        target: message.target,
        born: message.born,
        sent: message.sent,
        ended: message.ended,
    };
    Ok((request, death))
}

fn bytes(fingerprint: Fingerprint) -> Bytes {
    Bytes::copy_from_slice(&fingerprint.0.to_be_bytes())
}

fn fingerprint(bytes: &[u8]) -> Result<Fingerprint, Error> {
    let error = Error::Field { message: "suspects", field: "request" };
    let raw: [u8; 16] = bytes.try_into().map_err(|_| error)?;
    Ok(Fingerprint(u128::from_be_bytes(raw)))
}

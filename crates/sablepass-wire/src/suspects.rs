// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages by which entries and agents share the evidence about requests and prompt parts that may
//! have crashed their targets.

use bytes::Bytes;
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::id::Millis;
use sablepass_core::parts::PartsDeath;
use sablepass_core::suspects::Death;

use crate::convert::Error;
use crate::generated as wire;
use crate::generated::frame::Body;

/// Maximum number of prompt parts in one record.
const MAX_PARTS: usize = 64;

/// Content of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ends of targets, each with a request that the target was running.
    pub deaths: Vec<PartsDeath>,
    /// Requests that completed successfully at a target.
    pub completed: Vec<Fingerprint>,
    /// Suspected prompt parts on which an answer completed, and when.
    pub completed_parts: Vec<(Fingerprint, Millis)>,
}

impl Evidence {
    /// Returns whether the message would be empty.
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty() && self.completed.is_empty() && self.completed_parts.is_empty()
    }

    /// Builds the message.
    pub fn body(&self) -> Body {
        let death = |it: &PartsDeath| wire::Death {
            request: bytes(it.request),
            target: it.death.target.clone(),
            born: it.death.born,
            sent: it.death.sent,
            ended: it.death.ended,
            parts: it.parts.iter().copied().map(bytes).collect(),
            companions: it.companions.iter().copied().map(bytes).collect(),
        };
        let completion =
            |&(part, at): &(Fingerprint, Millis)| wire::PartCompletion { part: bytes(part), at };
        Body::Suspects(wire::Suspects {
            deaths: self.deaths.iter().map(death).collect(),
            sound: self.completed.iter().copied().map(bytes).collect(),
            completed_parts: self.completed_parts.iter().map(completion).collect(),
        })
    }

    /// Reads a message. Every target must have a name, and must not have ended before the request
    /// was sent.
    pub fn parse(message: wire::Suspects) -> Result<Self, Error> {
        let deaths: Result<Vec<_>, Error> = message.deaths.into_iter().map(parse_death).collect();
        let completed = fingerprints(&message.sound, "request");
        let completion =
            |it: &wire::PartCompletion| Ok((fingerprint(&it.part, "completed_parts")?, it.at));
        let completed_parts: Result<Vec<_>, Error> =
            message.completed_parts.iter().map(completion).collect();
        Ok(Self { deaths: deaths?, completed: completed?, completed_parts: completed_parts? })
    }
}

fn parse_death(message: wire::Death) -> Result<PartsDeath, Error> {
    if message.target.is_empty() || message.sent > message.ended {
        return Err(Error::Field { message: "death", field: "target, sent or ended" });
    }
    if message.parts.len().max(message.companions.len()) > MAX_PARTS {
        return Err(Error::Field { message: "death", field: "parts or companions" });
    }
    Ok(PartsDeath {
        request: fingerprint(&message.request, "request")?,
        parts: fingerprints(&message.parts, "parts")?,
        companions: fingerprints(&message.companions, "companions")?,
        death: Death {
            target: message.target,
            born: message.born,
            sent: message.sent,
            ended: message.ended,
        },
    })
}

fn bytes(fingerprint: Fingerprint) -> Bytes {
    Bytes::copy_from_slice(&fingerprint.0.to_be_bytes())
}

fn fingerprints(list: &[Bytes], field: &'static str) -> Result<Vec<Fingerprint>, Error> {
    list.iter().map(|it| fingerprint(it, field)).collect()
}

fn fingerprint(bytes: &[u8], field: &'static str) -> Result<Fingerprint, Error> {
    let error = Error::Field { message: "suspects", field };
    let raw: [u8; 16] = bytes.try_into().map_err(|_| error)?;
    Ok(Fingerprint(u128::from_be_bytes(raw)))
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Converts between wire messages and the types of `sablepass_core`. The functions that read a
//! message validate it, so that their callers need not.

use bytes::Bytes;
use sablepass_core::config::parts::{Mask, Parts};
use sablepass_core::config::{self, Coverage, StoreKind};
use sablepass_core::expert::map::Bounds;
use sablepass_core::flight::{Event, Head, Verdict};
use sablepass_core::id::{AttemptId, Incarnation, RequestId};
use sablepass_core::membership::Pace;
use sablepass_core::once::{AttemptState, Key};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::revision::Revision;
use sablepass_core::{gate, membership, rendezvous};
use snafu::Snafu;

use crate::generated as wire;
use crate::generated::frame::Body;
use crate::notices;

/// Highest number of connected entries that an agent may report; an agent accepts no more
/// connections than this.
pub const MAX_ENTRIES: u32 = 4_096;

/// Error of a message that cannot be converted.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// A field is missing or has an invalid value.
    #[snafu(display("field {field} of message {message} is missing or invalid"))]
    Field {
        /// Kind of message.
        message: &'static str,
        /// Name of the field.
        field: &'static str,
    },
}

/// Encodes a request id as 16 bytes, big-endian.
pub fn request_bytes(id: RequestId) -> Bytes {
    Bytes::copy_from_slice(&id.0.to_be_bytes())
}

/// Reads the id of an attempt from a request id and an attempt number, which starts at 1.
/// `message` names the kind of message in the error.
pub fn attempt(message: &'static str, request: &[u8], number: u32) -> Result<AttemptId, Error> {
    let request = RequestId::parse(request).ok_or(Error::Field { message, field: "request" })?;
    if number == 0 {
        return Err(Error::Field { message, field: "attempt" });
    }
    Ok(AttemptId { request, number })
}

/// Reads a dispatch as the input of the agent's gate. An empty key and an issue time of 0 mean
/// that there is none.
pub fn dispatch(message: &wire::Dispatch) -> Result<gate::Dispatch, Error> {
    let key = (!message.key.is_empty())
        .then(|| Key { customer: message.customer.clone(), text: message.key.clone() });
    Ok(gate::Dispatch {
        attempt: attempt("dispatch", &message.request, message.attempt)?,
        incarnation: Incarnation(message.incarnation),
        deadline: message.deadline,
        unsafe_repeat: message.unsafe_repeat,
        key,
        issued: (message.issued != 0).then_some(message.issued),
        body_hash: rendezvous::stable_hash(&(&message.method, &message.path, &message.body[..])),
    })
}

/// Reads an agent's message about an attempt. Returns `None` for every other kind of message.
pub fn answer(body: Body) -> Result<Option<(AttemptId, Event)>, Error> {
    let (id, event) = match body {
        Body::Head(message) => {
            let head = Head::plain(message.status, &message.content_type, message.replayed);
            (attempt("head", &message.request, message.attempt)?, Event::Head(head))
        }
        Body::Chunk(message) => {
            let chunk = Event::Chunk { offset: message.offset, data: message.data.to_vec() };
            (attempt("chunk", &message.request, message.attempt)?, chunk)
        }
        Body::Done(message) => (
            attempt("done", &message.request, message.attempt)?,
            Event::Done { length: message.length },
        ),
        Body::Refused(message) => {
            let reason = refusal("refused", message.reason)?;
            (attempt("refused", &message.request, message.attempt)?, Event::Refused(reason))
        }
        Body::Failed(message) => {
            let failure = Failure {
                reason: refusal("failed", message.reason)?,
                ran: Ran::parse(message.ran),
            };
            (attempt("failed", &message.request, message.attempt)?, Event::Failed(failure))
        }
        Body::Verdict(message) => {
            let field = Error::Field { message: "verdict", field: "verdict" };
            let verdict = Verdict::parse(message.verdict).ok_or(field)?;
            (attempt("verdict", &message.request, message.attempt)?, Event::Verdict(verdict))
        }
        _ => return Ok(None),
    };
    Ok(Some((id, event)))
}

fn refusal(message: &'static str, code: u32) -> Result<Refusal, Error> {
    Refusal::parse(code).ok_or(Error::Field { message, field: "reason" })
}

/// Builds the message that an agent refuses an attempt: it did not and will not run it.
pub fn refused(attempt: AttemptId, reason: Refusal) -> Body {
    Body::Refused(wire::Refused {
        request: request_bytes(attempt.request),
        attempt: attempt.number,
        reason: reason.code(),
    })
}

/// Builds the message that an attempt failed at the target.
pub fn failed(attempt: AttemptId, failure: Failure) -> Body {
    Body::Failed(wire::Failed {
        request: request_bytes(attempt.request),
        attempt: attempt.number,
        reason: failure.reason.code(),
        ran: failure.ran as u32,
    })
}

/// Builds the answer to a probe.
pub fn verdict(attempt: AttemptId, state: AttemptState) -> Body {
    let verdict = match state {
        AttemptState::Blocked => 0,
        AttemptState::Running => 1,
        AttemptState::Finished => 2,
    };
    Body::Verdict(wire::Verdict {
        request: request_bytes(attempt.request),
        attempt: attempt.number,
        verdict,
    })
}

/// Returns the wire number of a pace.
pub fn pace_number(pace: Pace) -> u32 {
    match pace {
        Pace::Sound => 0,
        Pace::Slow => 1,
        Pace::Crawling => 2,
    }
}

/// Reads the wire number of a pace. An unknown number, from a newer version, counts as the
/// slowest pace.
fn pace(number: u32) -> Pace {
    match number {
        0 => Pace::Sound,
        1 => Pace::Slow,
        _ => Pace::Crawling,
    }
}

/// Reads an agent's heartbeat. The larger of the load that the agent counted and the load that
/// the engine reported counts as in flight.
pub fn report(message: &wire::Report) -> Result<membership::Report, Error> {
    if message.entries == 0 || message.entries > MAX_ENTRIES {
        return Err(Error::Field { message: "report", field: "entries" });
    }
    Ok(membership::Report {
        in_flight: message.in_flight.max(message.engine_load),
        capacity: message.capacity,
        leaving: message.leaving,
        away: message.away,
        pace: pace(message.pace),
        size: message.size,
        lag: message.lag,
        entries: message.entries,
        group: message.group,
        stands: message.stands,
        refuses: message.refuses,
        rest: message.rest,
        limit: notices::rate("report", message.limit)?,
        // The agent of a plain service has no load reading of an engine and sends the maximum age.
        engine_age: (message.load_age != u32::MAX).then_some(message.load_age.into()),
    })
}

/// Builds the message with the bounds for the expert maps of a service's groups. `revision` is
/// that of the configuration that declares them.
pub fn bounds(service: &str, revision: Revision, bounds: Bounds) -> Body {
    Body::Bounds(wire::Bounds {
        service: service.to_owned(),
        era: revision.era,
        revision: revision.number,
        layers: bounds.layers,
        experts: bounds.experts,
        slots: bounds.slots,
        spare: bounds.spare,
        copy: bounds.copy,
        part: bounds.part,
        step: bounds.step,
        sequence: bounds.sequence,
    })
}

/// Reads the bounds for the expert maps of a service's groups. The numbers of layers, experts
/// and slots must not be 0.
pub fn parse_bounds(message: &wire::Bounds) -> Result<Bounds, Error> {
    let field = |field, value: u32| match value {
        0 => Err(Error::Field { message: "bounds", field }),
        nonzero => Ok(nonzero),
    };
    Ok(Bounds {
        layers: field("layers", message.layers)?,
        experts: field("experts", message.experts)?,
        slots: field("slots", message.slots)?,
        spare: message.spare,
        copy: message.copy,
        part: message.part,
        step: message.step,
        sequence: message.sequence,
    })
}

/// Builds the delta message of a store.
pub fn delta(kind: StoreKind, delta: &config::Delta) -> Body {
    let documents = delta.documents.iter().map(document).collect();
    let (whole, since, parts, asked) = match delta.whole {
        None => (false, Revision::default(), Vec::new(), 0),
        Some(Coverage::All(since)) => (true, since, Vec::new(), 0),
        Some(Coverage::Parts(mask, asked)) => {
            (false, Revision::default(), mask.0.to_le_bytes().to_vec(), asked)
        }
    };
    Body::Delta(wire::Delta {
        after: delta.after.number,
        revision: delta.revision.number,
        documents,
        what: kind as u32,
        whole,
        since: since.number,
        parts: parts.into(),
        asked,
        after_era: delta.after.era,
        era: delta.revision.era,
        since_era: since.era,
    })
}

fn document(document: &config::Document) -> wire::Document {
    let accepted = document.accepted.clone();
    let known = accepted.as_ref().map_or_else(Revision::default, |it| it.revision);
    wire::Document {
        key: document.key.clone(),
        revision: document.newest.revision.number,
        removed: document.removed,
        body: document.newest.body.clone(),
        accepted_revision: known.number,
        accepted_body: accepted.map_or(String::new(), |it| it.body),
        era: document.newest.revision.era,
        accepted_era: known.era,
    }
}

/// Reads a delta and the kind of store that it belongs to.
pub fn parse_delta(message: wire::Delta) -> Result<(StoreKind, config::Delta), Error> {
    let kind = store_kind("delta", message.what)?;
    let documents = message.documents.into_iter().map(parse_document).collect();
    let parts = (!message.parts.is_empty()).then(|| mask(&message.parts)).transpose()?;
    let whole = match (message.whole, parts) {
        (false, None) => None,
        (true, None) => Some(Coverage::All(Revision::new(message.since_era, message.since))),
        (false, Some(mask)) if kind == StoreKind::Instances => {
            Some(Coverage::Parts(mask, message.asked))
        }
        // Only the instance list is compared by parts. A partial list of declarations would
        // remove all the others.
        (_, Some(_)) => return Err(Error::Field { message: "delta", field: "whole" }),
    };
    let after = Revision::new(message.after_era, message.after);
    let revision = Revision::new(message.era, message.revision);
    Ok((kind, config::Delta { after, revision, documents, whole }))
}

fn mask(bytes: &[u8]) -> Result<Mask, Error> {
    let error = Error::Field { message: "delta", field: "parts" };
    let raw: [u8; 16] = bytes.try_into().map_err(|_| error)?;
    Ok(Mask(u128::from_le_bytes(raw)))
}

/// Builds the message that requests the content of a peer's store.
pub fn pull(kind: StoreKind, pull: &config::Pull) -> wire::Pull {
    let parts = pull.parts.as_ref().map_or_else(Vec::new, |it| it.hashes().to_vec());
    wire::Pull { after: pull.after.number, what: kind as u32, parts, era: pull.after.era }
}

/// Reads a peer's pull and the kind of store that it requests. Only a pull of the instance list
/// may carry hashes of parts.
pub fn parse_pull(message: &wire::Pull) -> Result<(StoreKind, config::Pull), Error> {
    let kind = store_kind("pull", message.what)?;
    let after = Revision::new(message.era, message.after);
    if message.parts.is_empty() {
        return Ok((kind, config::Pull { after, parts: None }));
    }
    let error = Error::Field { message: "pull", field: "parts" };
    let parts =
        Parts::parse(&message.parts).filter(|_| kind == StoreKind::Instances).ok_or(error)?;
    Ok((kind, config::Pull { after, parts: Some(parts) }))
}

/// Reads the kind of store from its wire number.
pub fn store_kind(message: &'static str, code: u32) -> Result<StoreKind, Error> {
    StoreKind::parse(code).ok_or(Error::Field { message, field: "what" })
}

fn parse_document(message: wire::Document) -> config::Document {
    let revision = Revision::new(message.accepted_era, message.accepted_revision);
    let accepted = (revision != Revision::default())
        .then_some(config::Version { revision, body: message.accepted_body });
    config::Document {
        key: message.key,
        newest: config::Version {
            revision: Revision::new(message.era, message.revision),
            body: message.body,
        },
        removed: message.removed,
        accepted,
    }
}

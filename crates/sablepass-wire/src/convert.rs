// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! From wire messages to core values and back. Parses, so that nothing
//! behind it has to validate.

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

/// Entries that an agent may count: the connections that it accepts.
pub const MOST_ENTRIES: u32 = 4_096;

/// Why a message is not a core value.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// A field is missing or has no such value.
    #[snafu(display("field {field} of {message}"))]
    Field {
        /// Kind of message.
        message: &'static str,
        /// The field.
        field: &'static str,
    },
}

/// The bytes of a request id.
pub fn request_bytes(it: RequestId) -> Bytes {
    Bytes::copy_from_slice(&it.0.to_be_bytes())
}

/// Reads an attempt.
pub fn attempt(message: &'static str, request: &[u8], number: u32) -> Result<AttemptId, Error> {
    let request = RequestId::parse(request).ok_or(Error::Field { message, field: "request" })?;
    if number == 0 {
        return Err(Error::Field { message, field: "attempt" });
    }
    Ok(AttemptId { request, number })
}

/// Reads a dispatch as the gate sees it.
pub fn dispatch(it: &wire::Dispatch) -> Result<gate::Dispatch, Error> {
    let key =
        (!it.key.is_empty()).then(|| Key { customer: it.customer.clone(), text: it.key.clone() });
    Ok(gate::Dispatch {
        attempt: attempt("dispatch", &it.request, it.attempt)?,
        incarnation: Incarnation(it.incarnation),
        deadline: it.deadline,
        unsafe_repeat: it.unsafe_repeat,
        key,
        issued: (it.issued != 0).then_some(it.issued),
        body_hash: rendezvous::stable_hash(&(&it.method, &it.path, &it.body[..])),
    })
}

/// Reads an agent's answer as an event of an attempt; none if it is another kind of message.
pub fn answer(body: Body) -> Result<Option<(AttemptId, Event)>, Error> {
    let (id, event) = match body {
        Body::Head(it) => {
            let head = Head::plain(it.status, &it.content_type, it.replayed);
            (attempt("head", &it.request, it.attempt)?, Event::Head(head))
        }
        Body::Chunk(it) => {
            let chunk = Event::Chunk { offset: it.offset, data: it.data.to_vec() };
            (attempt("chunk", &it.request, it.attempt)?, chunk)
        }
        Body::Done(it) => {
            (attempt("done", &it.request, it.attempt)?, Event::Done { length: it.length })
        }
        Body::Refused(it) => {
            let reason = refusal("refused", it.reason)?;
            (attempt("refused", &it.request, it.attempt)?, Event::Refused(reason))
        }
        Body::Failed(it) => {
            let failure =
                Failure { reason: refusal("failed", it.reason)?, ran: Ran::parse(it.ran) };
            (attempt("failed", &it.request, it.attempt)?, Event::Failed(failure))
        }
        Body::Verdict(it) => {
            let field = Error::Field { message: "verdict", field: "verdict" };
            let verdict = Verdict::parse(it.verdict).ok_or(field)?;
            (attempt("verdict", &it.request, it.attempt)?, Event::Verdict(verdict))
        }
        _ => return Ok(None),
    };
    Ok(Some((id, event)))
}

fn refusal(message: &'static str, code: u32) -> Result<Refusal, Error> {
    Refusal::parse(code).ok_or(Error::Field { message, field: "reason" })
}

/// The message of a refusal.
pub fn refused(it: AttemptId, reason: Refusal) -> Body {
    Body::Refused(wire::Refused {
        request: request_bytes(it.request),
        attempt: it.number,
        reason: reason.code(),
    })
}

/// The message of a failure.
pub fn failed(it: AttemptId, failure: Failure) -> Body {
    Body::Failed(wire::Failed {
        request: request_bytes(it.request),
        attempt: it.number,
        reason: failure.reason.code(),
        ran: failure.ran as u32,
    })
}

/// The message of a probe's answer.
pub fn verdict(it: AttemptId, state: AttemptState) -> Body {
    let verdict = match state {
        AttemptState::Blocked => 0,
        AttemptState::Running => 1,
        AttemptState::Finished => 2,
    };
    Body::Verdict(wire::Verdict { request: request_bytes(it.request), attempt: it.number, verdict })
}

/// The number of a pace.
pub fn pace_number(it: Pace) -> u32 {
    match it {
        Pace::Sound => 0,
        Pace::Slow => 1,
        Pace::Crawling => 2,
    }
}

/// Reads a pace. A number of a later version counts as the worst one.
fn pace(number: u32) -> Pace {
    match number {
        0 => Pace::Sound,
        1 => Pace::Slow,
        _ => Pace::Crawling,
    }
}

/// Reads a heartbeat.
pub fn report(it: &wire::Report) -> Result<membership::Report, Error> {
    if it.entries == 0 || it.entries > MOST_ENTRIES {
        return Err(Error::Field { message: "report", field: "entries" });
    }
    Ok(membership::Report {
        in_flight: it.in_flight.max(it.engine_load),
        capacity: it.capacity,
        leaving: it.leaving,
        away: it.away,
        pace: pace(it.pace),
        size: it.size,
        lag: it.lag,
        entries: it.entries,
        group: it.group,
        stands: it.stands,
        refuses: it.refuses,
        rest: it.rest,
        limit: notices::rate("report", it.limit)?,
        // The agent of a plain service has no reading, which it says by the greatest age.
        engine_age: (it.load_age != u32::MAX).then_some(it.load_age.into()),
    })
}

/// The message of what bounds the maps of a service's groups.
pub fn bounds(service: &str, revision: Revision, it: Bounds) -> Body {
    Body::Bounds(wire::Bounds {
        service: service.to_owned(),
        era: revision.era,
        revision: revision.number,
        layers: it.layers,
        experts: it.experts,
        slots: it.slots,
        spare: it.spare,
        copy: it.copy,
        part: it.part,
        step: it.step,
        sequence: it.sequence,
    })
}

/// Reads what bounds the maps of a service's groups.
pub fn parse_bounds(it: &wire::Bounds) -> Result<Bounds, Error> {
    let field = |field, value: u32| match value {
        0 => Err(Error::Field { message: "bounds", field }),
        it => Ok(it),
    };
    Ok(Bounds {
        layers: field("layers", it.layers)?,
        experts: field("experts", it.experts)?,
        slots: field("slots", it.slots)?,
        spare: it.spare,
        copy: it.copy,
        part: it.part,
        step: it.step,
        sequence: it.sequence,
    })
}

/// The message of a delta.
pub fn delta(what: StoreKind, it: &config::Delta) -> Body {
    let documents = it.documents.iter().map(document).collect();
    let (whole, since, parts, asked) = match it.whole {
        None => (false, Revision::default(), Vec::new(), 0),
        Some(Coverage::All(since)) => (true, since, Vec::new(), 0),
        Some(Coverage::Parts(mask, asked)) => {
            (false, Revision::default(), mask.0.to_le_bytes().to_vec(), asked)
        }
    };
    Body::Delta(wire::Delta {
        after: it.after.number,
        revision: it.revision.number,
        documents,
        what: what as u32,
        whole,
        since: since.number,
        parts: parts.into(),
        asked,
        after_era: it.after.era,
        era: it.revision.era,
        since_era: since.era,
    })
}

fn document(it: &config::Document) -> wire::Document {
    let accepted = it.accepted.clone();
    let known = accepted.as_ref().map_or_else(Revision::default, |it| it.revision);
    wire::Document {
        key: it.key.clone(),
        revision: it.newest.revision.number,
        removed: it.removed,
        body: it.newest.body.clone(),
        accepted_revision: known.number,
        accepted_body: accepted.map_or(String::new(), |it| it.body),
        era: it.newest.revision.era,
        accepted_era: known.era,
    }
}

/// Reads a delta.
pub fn parse_delta(it: wire::Delta) -> Result<(StoreKind, config::Delta), Error> {
    let what = what("delta", it.what)?;
    let documents = it.documents.into_iter().map(parse_document).collect();
    let parts = (!it.parts.is_empty()).then(|| mask(&it.parts)).transpose()?;
    let whole = match (it.whole, parts) {
        (false, None) => None,
        (true, None) => Some(Coverage::All(Revision::new(it.since_era, it.since))),
        (false, Some(mask)) if what == StoreKind::Instances => {
            Some(Coverage::Parts(mask, it.asked))
        }
        // Declarations are not compared: what is not among some would count as gone.
        (_, Some(_)) => return Err(Error::Field { message: "delta", field: "whole" }),
    };
    let after = Revision::new(it.after_era, it.after);
    let revision = Revision::new(it.era, it.revision);
    Ok((what, config::Delta { after, revision, documents, whole }))
}

fn mask(bytes: &[u8]) -> Result<Mask, Error> {
    let error = Error::Field { message: "delta", field: "parts" };
    let raw: [u8; 16] = bytes.try_into().map_err(|_| error)?;
    Ok(Mask(u128::from_le_bytes(raw)))
}

/// The message that asks a peer for what it holds.
pub fn pull(what: StoreKind, it: &config::Pull) -> wire::Pull {
    let parts = it.parts.as_ref().map_or_else(Vec::new, |it| it.hashes().to_vec());
    wire::Pull { after: it.after.number, what: what as u32, parts, era: it.after.era }
}

/// Reads what a peer asks for.
pub fn parse_pull(it: &wire::Pull) -> Result<(StoreKind, config::Pull), Error> {
    let what = what("pull", it.what)?;
    let after = Revision::new(it.era, it.after);
    if it.parts.is_empty() {
        return Ok((what, config::Pull { after, parts: None }));
    }
    let error = Error::Field { message: "pull", field: "parts" };
    let parts = Parts::parse(&it.parts).filter(|_| what == StoreKind::Instances).ok_or(error)?;
    Ok((what, config::Pull { after, parts: Some(parts) }))
}

/// Reads which store a message is about.
pub fn what(message: &'static str, code: u32) -> Result<StoreKind, Error> {
    StoreKind::parse(code).ok_or(Error::Field { message, field: "what" })
}

fn parse_document(it: wire::Document) -> config::Document {
    let revision = Revision::new(it.accepted_era, it.accepted_revision);
    let accepted = (revision != Revision::default())
        .then_some(config::Version { revision, body: it.accepted_body });
    config::Document {
        key: it.key,
        newest: config::Version { revision: Revision::new(it.era, it.revision), body: it.body },
        removed: it.removed,
        accepted,
    }
}

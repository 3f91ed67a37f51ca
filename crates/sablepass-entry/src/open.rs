// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! State that the router keeps for each request in progress.

use std::cell::OnceCell;
use std::rc::Rc;

use sablepass_core::admit::Ticket;
use sablepass_core::declaration::Priority;
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::flight::Flight;
use sablepass_core::id::Millis;
use sablepass_core::revision::Revision;
use sablepass_core::route::Route;
use sablepass_core::scope::Scope;
use sablepass_core::starts::StartRequest;
use sablepass_edge::room::Share;
use sablepass_edge::server::ExchangeKey;

use crate::call::Run;
use crate::pool::ConnectionKey;
use crate::targets::Served;
use crate::targets::eligibility::Demand;
use crate::turns::PendingTurn;

/// Maximum time from the arrival of a request that it waits for its group to become ready. Callers
/// disconnect after two seconds without data; the difference is left for processing the prompt.
const GROUP_READY_WAIT: Millis = 1_400;

/// A request that was admitted and has not ended.
pub(crate) struct OpenRequest {
    pub(crate) flight: Flight,
    pub(crate) run: Run,
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// Fingerprints of the parts of the prompt that other requests may share.
    pub(crate) parts: Vec<Fingerprint>,
    /// Qualified name of the customer; empty for a caller without a key.
    pub(crate) customer: String,
    /// Name of the customer that is sent to targets.
    pub(crate) forwarded_customer: Option<String>,
    pub(crate) priority: Priority,
    pub(crate) served: Served,
    /// Regions to which the request may be sent.
    pub(crate) scope: Scope,
    /// The route that matched the request, as declared at its admission.
    pub(crate) route: Option<Rc<Route>>,
    pub(crate) exchange: ExchangeKey,
    pub(crate) ticket: Ticket,
    /// The target that owns the request's idempotency key.
    pub(crate) owner: Option<String>,
    /// Since when the request waits for the owner's connection, a target that can continue its
    /// stream, its group or its turn.
    pub(crate) waiting_since: Option<Millis>,
    /// The turn under a target's limit that the request waits for.
    pub(crate) slot: Option<PendingTurn>,
    /// Whether another entry was asked for a turn since the request was last sent.
    pub(crate) turn_requested: bool,
    /// How the request was queued, if it was released from the queue of waiting streams to seek a
    /// turn at a cold target, and was not sent since.
    pub(crate) queued: Option<StartRequest>,
    /// The target whose load includes this request.
    pub(crate) counted_target: Option<String>,
    /// The connection in use, if the request was sent directly to its target.
    pub(crate) connection: Option<ConnectionKey>,
    /// Memory for the part of the answer that is not passed on yet.
    pub(crate) answer: Share,
    /// Whether the answer that was sent to the caller has a success status.
    pub(crate) succeeded: bool,
    /// Whether the head of the answer was sent to the caller.
    pub(crate) head_sent: bool,
    /// When a part of the answer was last sent to the caller; at first when the request was
    /// admitted.
    pub(crate) delivered_at: Millis,
    /// When the last attempt was sent.
    pub(crate) sent_at: Millis,
    /// When the first attempt was sent.
    pub(crate) started: Millis,
    /// Time from the arrival of the request until the head of its answer.
    pub(crate) time_to_first_byte: Millis,
    /// Longest time between two parts of the answer, and when it ended.
    pub(crate) longest_pause: (Millis, Millis),
    /// Time after which the caller may retry if the request is refused.
    pub(crate) retry_after: Option<Millis>,
    /// Revision of the configuration at the request's admission.
    pub(crate) revision: Revision,
}

impl OpenRequest {
    /// Returns the hash that all requests of the customer with the same content share. It is
    /// computed on first use, since it is needed for suspected requests only, which are rare.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.run.head.uri().path_and_query().map_or("", |it| it.as_str());
            Fingerprint::of(&self.served.1, &self.customer, path, &self.run.body)
        })
    }

    /// Counts the part of the answer that is not passed on yet. Returns false if there is no memory
    /// for it.
    pub(crate) fn reserve_buffered(&mut self) -> bool {
        let bytes = self.flight.buffered_bytes();
        bytes <= self.answer.bytes() || self.answer.resize(bytes)
    }

    /// Returns what the request demands of its target.
    pub(crate) fn demand(&self) -> Demand<'_> {
        Demand { served: &self.served, scope: &self.scope }
    }

    /// Returns the target that owns the request's idempotency key, if it has one.
    pub(crate) fn owner(&self) -> Option<&str> {
        self.owner.as_deref()
    }

    /// Returns whether the request may still wait for its group to become ready.
    pub(crate) fn may_wait_for_group(&self, now: Millis) -> bool {
        now < self.flight.request().deadline.min(self.run.arrived + GROUP_READY_WAIT)
    }
}

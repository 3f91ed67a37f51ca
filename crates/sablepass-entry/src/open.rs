// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A request in progress, as the router holds it.

use std::cell::OnceCell;
use std::rc::Rc;

use sablepass_core::admit::Ticket;
use sablepass_core::declaration::Priority;
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::flight::Flight;
use sablepass_core::id::Millis;
use sablepass_core::revision::Revision;
use sablepass_core::route::Route;
use sablepass_edge::server::ExchangeKey;

use crate::call::Run;
use crate::pool::ConnectionKey;
use crate::targets::Served;
use crate::turns::PendingTurn;

/// How long a request waits for a group that is about to open. With the time
/// that its prompt takes it then begins before its caller, who leaves after two
/// seconds of silence, is gone.
const FORM_WAIT: Millis = 1_400;

/// A request in progress.
pub(crate) struct Open {
    pub(crate) flight: Flight,
    pub(crate) run: Run,
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// The customer's qualified name.
    pub(crate) customer: String,
    /// The customer's name as targets are told it.
    pub(crate) told: Option<String>,
    pub(crate) priority: Priority,
    pub(crate) served: Served,
    /// The route that it came by, as it was then.
    pub(crate) route: Option<Rc<Route>>,
    pub(crate) exchange: ExchangeKey,
    pub(crate) ticket: Ticket,
    /// The target that owns the request's key.
    pub(crate) owner: Option<String>,
    /// Since when the request waits for a connection to that target.
    pub(crate) waiting: Option<Millis>,
    /// How it waits for a target that gets as many requests as it takes.
    pub(crate) slot: Option<PendingTurn>,
    /// It has asked another entry for its turn since it was last sent.
    pub(crate) sought: bool,
    /// The target that counts this request as its own.
    pub(crate) counted: Option<String>,
    /// The connection that carries it, if it goes straight to its target.
    pub(crate) connection: Option<ConnectionKey>,
    /// The caller's answer has begun.
    pub(crate) begun: bool,
    /// When the caller last got something.
    pub(crate) spoke: Millis,
    /// When its last attempt was sent.
    pub(crate) sent: Millis,
    /// When it was first sent to a target.
    pub(crate) started: Millis,
    /// How long its caller waited for the first of the answer, and at most for
    /// any more of it, with when that wait ended.
    pub(crate) first: Millis,
    pub(crate) pause: (Millis, Millis),
    /// When its caller may come back, if it is refused.
    pub(crate) comeback: Option<Millis>,
    /// Revision of the configuration that it was admitted by.
    pub(crate) revision: Revision,
}

impl Open {
    /// What the request has in common with any other one that asks for the
    /// same. Worked out when first asked for: few requests are ever suspected.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.run.head.uri().path_and_query().map_or("", |it| it.as_str());
            Fingerprint::of(&self.served.1, &self.customer, path, &self.run.body)
        })
    }

    /// Whether it may still wait for its group to open.
    pub(crate) fn is_patient(&self, now: Millis) -> bool {
        now < self.flight.request().deadline.min(self.run.arrived + FORM_WAIT)
    }
}

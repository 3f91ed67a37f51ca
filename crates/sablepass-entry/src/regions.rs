// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Requests that are restricted to regions, as part of the router: refuses those that no target may
//! run, and applies new restrictions to the requests in progress.

use sablepass_core::catalogue::Catalogue;
use sablepass_core::id::RequestId;
use sablepass_core::reason::Refusal;
use sablepass_core::scope::Scope;
use stakker::CX;

use crate::open::OpenRequest;
use crate::router::Router;

impl Router {
    /// Refuses a request if no target of its service, available or not, is in the regions to which
    /// it may be sent, or if its idempotency key belongs to a target outside of them. Returns
    /// whether it was refused.
    pub(crate) fn refuse_if_outside(&mut self, cx: CX![], id: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let inside = match &open.owner {
            Some(owner) => self.targets.is_in_scope(owner, &open.scope),
            None => self.targets.has_target_in_scope(open.demand()),
        };
        if inside {
            return false;
        }
        slog::warn!(self.log, "request refused: no target in its regions";
            "id" => &open.run.label, "regions" => %open.scope, "owner" => &open.owner,
            "route" => open.route.as_ref().map(|it| &it.name), "customer" => &open.customer,
            "service" => &open.served.1);
        let actions = open.flight.refuse(Refusal::OutsideRegions);
        self.apply_actions(cx, id, actions);
        true
    }

    /// Applies the regions of a new configuration to the requests in progress. One that runs at a
    /// target goes on there, and its retries use the new regions. One that waits is refused if no
    /// target is left for it, and gives up its turn at a target that is now excluded.
    pub(crate) fn update_scopes(&mut self, cx: CX![]) {
        let catalogue = self.targets.catalogue().clone();
        let mut changed = Vec::new();
        for (id, open) in &mut self.requests {
            let scope = current_scope(&catalogue, open).filter(|it| *it != open.scope);
            if let Some(scope) = scope {
                if let Some(stream) = &mut open.queued {
                    stream.scope = scope.clone();
                }
                open.scope = scope;
                changed.push(*id);
            }
        }
        if changed.is_empty() {
            return;
        }
        let requests = &self.requests;
        for starts in self.start_queues.values_mut() {
            starts.update_scopes(|id| Some(requests.get(id)?.scope.clone()));
        }
        for id in changed {
            let Some(open) = self.requests.get(&id).filter(|it| it.flight.is_choosing()) else {
                continue;
            };
            let turn = open.slot.as_ref();
            let excluded =
                turn.is_some_and(|it| !self.targets.is_in_scope(it.target(), &open.scope));
            if !self.refuse_if_outside(cx, id) && excluded {
                self.place(cx, id);
            }
        }
    }
}

/// The regions to which a request may be sent by the route and customer of this configuration. None
/// if it does not contain them, in which case the regions stay as they are.
fn current_scope(catalogue: &Catalogue, open: &OpenRequest) -> Option<Scope> {
    let route = match &open.route {
        Some(route) => catalogue.routes.current(route)?.regions.as_slice(),
        None => &[],
    };
    let customer = match open.customer.as_str() {
        "" => &[],
        name => catalogue.customers.get(name)?.resource.regions.as_slice(),
    };
    Some(Scope::intersection([route, customer]))
}

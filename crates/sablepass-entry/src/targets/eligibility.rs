// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Whether a target may get a request now. All paths by which a request is sent ask here: the first
//! choice, retries, resumed streams, requests that waited, and requests whose connection has just
//! been established.
//!
//! How many requests a target may get per second is decided in [`super::limits`].

use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::scope::Scope;

use crate::targets::{Served, Targets};

/// What a request demands of its target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The model or service.
    pub served: &'a Served,
    /// Regions to which the request may be sent.
    pub scope: &'a Scope,
}

/// Reason why a target may not get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barrier {
    /// The target has left: it announced that it leaves, or its line was removed from the list.
    Left,
    /// The target's data hall is evacuated.
    Evacuated,
    /// The target requested a pause until this time.
    Paused(Millis),
    /// The target is outside the regions to which the request may be sent.
    OutsideRegions,
}

impl Targets {
    /// The reason why a target may not get a request of this scope now, if there is one. Limits,
    /// back-off and load are not considered.
    pub fn barrier(
        &self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        scope: &Scope,
    ) -> Option<Barrier> {
        if self.has_left(now, incarnation) {
            return Some(Barrier::Left);
        }
        if self.is_evacuated(incarnation.name) {
            return Some(Barrier::Evacuated);
        }
        if let Some(until) = self.notices.paused_until(now, incarnation) {
            return Some(Barrier::Paused(until));
        }
        (!self.is_in_scope(incarnation.name, scope)).then_some(Barrier::OutsideRegions)
    }

    /// Region of the data hall of a listed or declared target; none if it is unknown.
    pub(super) fn region(&self, name: &str) -> Option<&str> {
        let hall = match self.listed.get(name) {
            Some(listed) => &listed.instance.hall,
            None => &self.catalogue.targets.get(name)?.resource.hall,
        };
        self.options.regions.get(hall).map(String::as_str)
    }

    /// Whether a target is in the regions to which a request may be sent.
    pub fn is_in_scope(&self, name: &str, scope: &Scope) -> bool {
        scope.is_any() || scope.allows(self.region(name))
    }

    /// Whether any target of a service, available or not, is in the regions to which a request may
    /// be sent. A request without restriction is never outside.
    pub fn has_target_in_scope(&self, demand: Demand<'_>) -> bool {
        demand.scope.is_any() || self.in_scope(demand).next().is_some()
    }

    /// Names of all targets of a service, available or not, that are in the regions to which a
    /// request may be sent.
    pub(super) fn in_scope<'a>(&'a self, demand: Demand<'a>) -> impl Iterator<Item = &'a String> {
        let names = self.serving.get(demand.served).map(Vec::as_slice).unwrap_or_default();
        names.iter().filter(move |it| self.is_in_scope(it, demand.scope))
    }

    /// Whether a target may run requests of this scope: it is in its regions and not evacuated.
    pub(super) fn is_permitted(&self, name: &str, scope: &Scope) -> bool {
        self.is_in_scope(name, scope) && !self.is_evacuated(name)
    }

    /// Names of all targets of a service, available or not, that may run a request.
    pub(super) fn permitted<'a>(&'a self, demand: Demand<'a>) -> impl Iterator<Item = &'a String> {
        self.in_scope(demand).filter(|it| !self.is_evacuated(it))
    }

    /// Whether a target may get new work of this scope now, regardless of its limit.
    pub(super) fn is_available(&self, now: Millis, name: &str, scope: &Scope) -> bool {
        self.barrier(now, self.incarnation(name), scope).is_none()
            && self.available_at(now, name).is_some_and(|it| now >= it)
    }
}

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
        (!scope.allows(self.region(incarnation.name))).then_some(Barrier::OutsideRegions)
    }

    /// Region of a target's data hall; none if it is unknown.
    fn region(&self, _name: &str) -> Option<&str> {
        None
    }

    /// Whether a target is in the regions to which a request may be sent.
    pub(super) fn is_in_scope(&self, name: &str, scope: &Scope) -> bool {
        scope.allows(self.region(name))
    }

    /// Whether a target may get new work of this scope now, regardless of its limit.
    pub(super) fn is_available(&self, now: Millis, name: &str, scope: &Scope) -> bool {
        self.barrier(now, self.incarnation(name), scope).is_none()
            && self.available_at(now, name).is_some_and(|it| now >= it)
    }
}

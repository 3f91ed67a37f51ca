// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Cold targets: which of the listed targets are cold, and the rate that all entries together may
//! send them. Without the bound in the settings, nothing is recorded; without a cold rate of their
//! service, targets are not limited.

use sablepass_core::cold::{Change, Plan};
use sablepass_core::declaration::ColdStart;
use sablepass_core::id::{Millis, TargetIncarnation};
use sablepass_core::limits::Rate;
use sablepass_core::revision::Revision;
use sablepass_edge::instance::Instance;

use crate::targets::Targets;
use crate::targets::eligibility::Demand;

/// How long a request may be on its way to a target until its turn is void: after a lost opening
/// packet, the requests of a second would be sent at once.
const TURN_VALIDITY: Millis = 100;

impl Targets {
    /// Cold rate and duration of a listed target's service; none if cold targets are not limited.
    fn cold_start(&self, name: &str) -> Option<ColdStart> {
        self.options.cold?;
        self.catalogue.services.get(&self.listed.get(name)?.instance.serves)?.cold
    }

    /// How the entries share the rate of a target while it is cold.
    fn cold_plan(&self, name: &str) -> Option<Plan> {
        Some(self.options.cold?.plan(Rate::new(self.cold_start(name)?.rate)?))
    }

    /// Processes a line of the instance list. `known` is the revision of the line that was known of
    /// this incarnation. Its cold time is kept, without an effect, also if the service has no cold
    /// rate: a process that starts may receive the list before the configuration.
    pub(super) fn cold_listed(
        &mut self,
        now: Millis,
        name: &str,
        line: &Instance,
        known: Option<Revision>,
    ) -> Change {
        if self.options.cold.is_none() || known.is_some_and(|it| it >= line.revision) {
            return Change::None;
        }
        let life = TargetIncarnation { name, started_at: line.born };
        // A line from a restored backup may be older than all that is known.
        let restored = known.is_some_and(|it| it.era < line.revision.era);
        let change = if restored {
            self.cold.stated(now, life, line.cold)
        } else {
            self.cold.listed(now, life, line.cold)
        };
        self.update_cold_plan(now, name);
        if known.is_none() && matches!(change, Change::Began(_)) {
            self.cold.set_idle(now, name, &self.holders);
        }
        if self.cold_start(name).is_some() { change } else { Change::None }
    }

    /// Processes the cold time that a response to a request sent at `sent` states.
    pub fn cold_answered(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        sent: Millis,
        remaining: Millis,
    ) -> Change {
        if self.is_former_incarnation(incarnation) || self.cold_start(incarnation.name).is_none() {
            return Change::None;
        }
        let change = self.cold.answered(now, incarnation, sent, remaining);
        self.update_cold_plan(now, incarnation.name);
        change
    }

    /// Processes the cold time that another entry states. One of a target that the list does not
    /// contain yet is kept, since the list may follow.
    pub fn cold_reported_by_peer(
        &mut self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        remaining: Millis,
    ) -> Change {
        let listed = self.listed.contains_key(incarnation.name);
        let keeps = if listed {
            !self.is_former_incarnation(incarnation) && self.cold_start(incarnation.name).is_some()
        } else {
            self.options.cold.is_some() && self.cold.has_room(incarnation.name)
        };
        if !keeps {
            return Change::None;
        }
        let change = self.cold.stated(now, incarnation, remaining);
        self.update_cold_plan(now, incarnation.name);
        change
    }

    /// Treats a target as cold for the usual time of its service from now on, unless the list says
    /// otherwise later. Called when the evacuation of its hall ends.
    pub fn assume_cold(&mut self, now: Millis, name: &str) -> Change {
        let Some(ColdStart { duration, .. }) = self.cold_start(name) else { return Change::None };
        let change = self.cold.assume(now, self.incarnation(name), duration);
        self.update_cold_plan(now, name);
        if matches!(change, Change::Began(_)) {
            self.cold.set_idle(now, name, &self.holders);
        }
        change
    }

    /// Removes the targets that are no longer cold, and returns them with their start times.
    pub fn expire_cold(&mut self, now: Millis) -> Vec<(String, Millis)> {
        if self.cold.is_empty() {
            return Vec::new();
        }
        let mut over = self.cold.sweep(now);
        over.retain(|it| self.cold_start(&it.0).is_some());
        over
    }

    fn update_cold_plan(&mut self, now: Millis, name: &str) {
        let plan = self.cold_plan(name);
        self.cold.set_plan(now, name, plan, &self.holders);
    }

    /// Updates how the rates of all cold targets are shared, after the list or the configuration
    /// may have changed.
    pub fn update_cold_plans(&mut self, now: Millis) {
        let names: Vec<String> = self.cold.iter().map(|it| it.0.name.to_owned()).collect();
        for name in names {
            self.update_cold_plan(now, &name);
        }
    }

    /// The incarnations whose rate is limited since they are cold, with their remaining times in
    /// milliseconds.
    pub fn cold_targets(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (TargetIncarnation<'_>, Millis)> {
        let limited = self.cold.iter().filter(|it| it.1.plan().is_some());
        limited.map(move |it| (it.0, it.1.remaining(now))).filter(|it| it.1 > 0)
    }

    /// The targets that are cold by a statement, with the remaining milliseconds. Targets that this
    /// entry only assumes to be cold are left out.
    pub fn stated_cold_targets(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (TargetIncarnation<'_>, Millis)> {
        let stated = self.cold.iter().filter(|it| it.1.plan().is_some() && !it.1.is_assumed());
        stated.map(move |it| (it.0, it.1.remaining(now))).filter(|it| it.1 > 0)
    }

    /// How the rate of a target is shared, if it is cold.
    pub(super) fn plan_if_cold(&self, now: Millis, name: &str) -> Option<Plan> {
        self.cold.get(now, self.incarnation(name))?.plan()
    }

    /// Whether a turn that was reserved at `reserved`, for sending at `at`, no longer counts: the
    /// target is cold, and that became known since, or the request is too late for its turn.
    pub fn is_void_turn(
        &self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        reserved: Millis,
        at: Millis,
    ) -> bool {
        let cold = self.cold.get(now, incarnation).filter(|it| it.plan().is_some());
        cold.is_some_and(|it| it.since() > reserved || now > at + TURN_VALIDITY)
    }

    /// Whether some targets of a service are cold, and all that could serve a request now have no
    /// turn for it.
    pub fn lacks_turns(&self, now: Millis, demand: Demand<'_>) -> bool {
        if self.cold.is_empty() {
            return false;
        }
        let names = self.subsets.get(demand.served).map(Vec::as_slice).unwrap_or_default();
        let (mut cold, mut any) = (false, false);
        for name in names.iter().filter(|it| self.is_available(now, it, demand.scope)) {
            if self.has_turn(now, name) {
                return false;
            }
            any = true;
            cold |= self.plan_if_cold(now, name).is_some();
        }
        any && cold
    }

    /// Whether some targets of a service are cold.
    pub fn has_cold(&self, now: Millis, demand: Demand<'_>) -> bool {
        if self.cold.is_empty() {
            return false;
        }
        let names = self.subsets.get(demand.served).map(Vec::as_slice).unwrap_or_default();
        names.iter().any(|it| self.plan_if_cold(now, it).is_some())
    }
}

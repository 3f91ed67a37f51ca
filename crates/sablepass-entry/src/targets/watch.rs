// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Evaluation of the reports of all agents together: the number of entries, and the targets that
//! are unresponsive or stalled.

use std::collections::BTreeSet;
use std::net::IpAddr;

use sablepass_core::id::Millis;
use sablepass_core::scope::Scope;
use sablepass_core::sharers::Sharers;

use crate::targets::Targets;

/// Interval between two evaluations of the agents' reports: half of their heartbeat interval.
const EVALUATION_INTERVAL: Millis = 100;

/// Numbers of listed targets by state, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All listed targets.
    pub listed: usize,
    /// Machines whose agent this entry is connected to.
    pub agents: usize,
    /// Targets whose agent is connected and has sent a heartbeat.
    pub linked: usize,
    /// Targets that may get work now.
    pub usable: usize,
    /// Targets that requested a pause.
    pub paused: usize,
    /// Targets that announced a limit.
    pub limited: usize,
    /// Targets in evacuated data halls.
    pub evacuated: usize,
    /// Targets whose rate is limited since they are cold.
    pub cold: usize,
}

impl Targets {
    /// Sets the names of the other entries that this one knows from connections.
    pub fn set_peers(&mut self, others: Vec<String>) {
        self.connected_entries = others.len() + 1;
        self.holders.set_peers(others);
    }

    /// Updates the number of entries from connections to them, the instance list and the agents'
    /// reports.
    pub fn count_entries(&mut self, now: Millis) {
        let known = self.connected_entries.max(self.listed_entries);
        self.sharers.watch(now, known, self.members.entries(now));
        self.update_holders(now);
    }

    /// The number of entries that share targets and retry budgets.
    pub fn sharers(&self) -> &Sharers {
        &self.sharers
    }

    /// Numbers of listed targets at the last evaluation.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn count(&self, now: Millis) -> Counts {
        let member = |name: &&String| self.members.get(name);
        let machines: BTreeSet<IpAddr> = self.listed_agents.values().copied().collect();
        Counts {
            listed: self.listed.len(),
            agents: machines.len(),
            linked: self.listed.keys().filter(|it| member(it).is_some_and(|it| it.linked)).count(),
            usable: self.listed.keys().filter(|it| self.is_available(now, it, &Scope::ANY)).count(),
            paused: self.paused_count(now),
            limited: self.limits().count(),
            evacuated: self.evacuated_count(),
            cold: self.cold_targets(now).count(),
        }
    }

    /// Whether an evaluation of the agents' reports is due. Returns true once per interval.
    pub fn evaluation_due(&mut self, now: Millis) -> bool {
        let due = now >= self.evaluated_at + EVALUATION_INTERVAL;
        if due {
            self.evaluated_at = now;
        }
        due
    }

    /// Evaluates the agents' reports: finds unresponsive and stalled targets, and removes expired
    /// notices and loads. Returns the targets that have become unresponsive.
    pub fn update_unresponsive(&mut self, now: Millis) -> Vec<String> {
        let unresponsive = self.members.unresponsive(now);
        let fresh = unresponsive.difference(&self.unresponsive).cloned().collect();
        self.update_broken_groups(now);
        self.notices.sweep(now);
        self.members.expire_loads(now);
        self.counts = self.count(now);
        self.avoided = self.members.stalled(now).chain(&unresponsive).cloned().collect();
        self.unresponsive = unresponsive;
        fresh
    }

    /// Removes unresponsive targets and those with a stalled group, unless no other is left.
    pub(super) fn prefer_responsive<'a>(&self, names: Vec<&'a String>) -> Vec<&'a String> {
        let preferred: Vec<&String> =
            names.iter().copied().filter(|it| !self.avoided.contains(*it)).collect();
        if preferred.is_empty() { names } else { preferred }
    }

    /// Whether a target's machine counts as unresponsive.
    pub fn is_unresponsive(&self, name: &str) -> bool {
        self.unresponsive.contains(name)
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What entries learn from all agents together: how many entries there are, and
//! which targets are better left alone.

use std::collections::BTreeSet;
use std::net::IpAddr;

use sablepass_core::id::Millis;
use sablepass_core::sharers::Sharers;

use crate::targets::Targets;

/// Time between two looks at what all agents told: half of their heartbeat.
const EVALUATION_INTERVAL: Millis = 100;

/// How many listed targets there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All of them.
    pub listed: usize,
    /// Agents that this entry is connected to.
    pub agents: usize,
    /// Those whose agent reports.
    pub linked: usize,
    /// Those that may get work.
    pub usable: usize,
    /// Those that asked for a rest.
    pub paused: usize,
    /// Those that name a limit.
    pub limited: usize,
}

impl Targets {
    /// Says which other entries this one knows of by itself.
    pub fn set_peers(&mut self, others: Vec<String>) {
        self.connected_entries = others.len() + 1;
        self.holders.set_peers(others);
    }

    /// Counts the entries anew, by connections to them and by the agents' word.
    pub fn count_entries(&mut self, now: Millis) {
        let met = self.connected_entries.max(self.listed_entries);
        self.sharers.watch(now, met, self.members.entries(now));
        self.update_holders(now);
    }

    /// Those that share targets and budgets.
    pub fn sharers(&self) -> &Sharers {
        &self.sharers
    }

    /// How many listed targets there were when last looked.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Counts the listed targets.
    fn count(&self, now: Millis) -> Counts {
        let member = |name: &&String| self.members.get(name);
        let beside: BTreeSet<IpAddr> = self.listed_agents.values().copied().collect();
        Counts {
            listed: self.listed.len(),
            agents: beside.len(),
            linked: self.listed.keys().filter(|it| member(it).is_some_and(|it| it.linked)).count(),
            usable: self.listed.keys().filter(|it| self.is_available(now, it)).count(),
            paused: self.paused_count(now),
            limited: self.limits().count(),
        }
    }

    /// Whether it is time to look again at what all agents told.
    pub fn evaluation_due(&mut self, now: Millis) -> bool {
        let due = now >= self.evaluated_at + EVALUATION_INTERVAL;
        if due {
            self.evaluated_at = now;
        }
        due
    }

    /// Looks again whose machine counts as asleep. Returns those that do since now.
    pub fn update_unresponsive(&mut self, now: Millis) -> Vec<String> {
        let quiet = self.members.unresponsive(now);
        let fresh = quiet.difference(&self.unresponsive).cloned().collect();
        self.update_broken_groups(now);
        self.notices.sweep(now);
        self.members.expire_loads(now);
        self.counts = self.count(now);
        self.avoided = self.members.stalled(now).chain(&quiet).cloned().collect();
        self.unresponsive = quiet;
        fresh
    }

    /// Those of some targets that are not idle, unless all are.
    pub(super) fn prefer_responsive<'a>(&self, names: Vec<&'a String>) -> Vec<&'a String> {
        let awake: Vec<&String> =
            names.iter().copied().filter(|it| !self.avoided.contains(*it)).collect();
        if awake.is_empty() { names } else { awake }
    }

    /// Whether a target's machine counts as asleep.
    pub fn is_unresponsive(&self, name: &str) -> bool {
        self.unresponsive.contains(name)
    }
}

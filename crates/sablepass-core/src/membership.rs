// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Liveness, load and failures of the targets, as one entry sees them.
//!
//! An agent's heartbeats take precedence over the instance list, which lags behind. Leaving is
//! final: an incarnation that has announced that it leaves never gets new work again, even if a
//! late message says otherwise.

use std::collections::{BTreeSet, HashMap};

use crate::id::{Incarnation, Millis};
use crate::limits::Rate;

/// An engine counts as stalled after this many times the silence that is allowed to agents: its
/// load is read less often than heartbeats are sent.
const ENGINE_SILENCE_FACTOR: Millis = 3;

/// How long a reported value that changes by itself stays valid: several heartbeat intervals.
const REPORT_VALIDITY: Millis = 1_000;

/// Time without a heartbeat over an open connection after which the agent's machine counts as
/// unresponsive: three intervals of 200 ms, as the users' platform configures them.
const UNRESPONSIVE_AFTER: Millis = 600;

/// Time from when a group gives up a rank until the agents of its other ranks have reported this:
/// more than one report interval of 200 ms.
const REPORT_DELAY: Millis = 300;

/// Speed of a target whose group runs in lock-step, so that the other ranks wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// The usual time.
    #[default]
    Sound,
    /// Slower than usual: new work should go to other targets.
    Slow,
    /// Severely degraded: requests that run there should move to other targets.
    Crawling,
}

impl Pace {
    /// Time for the same work, relative to a healthy target, from which a target is slow: more than
    /// healthy targets differ by.
    pub const SLOW: f64 = 1.25;
    /// Relative time from which a target is severely degraded. A rank's own part is a seventh of a
    /// pass of 80 ms, which may take 120 ms: at 2 the pass takes 91 ms, and more with queued
    /// prompts.
    pub const CRAWLING: f64 = 2.0;

    /// Classifies the time for the same work, relative to a healthy target.
    pub fn of(pace: f64) -> Self {
        match pace {
            it if it >= Self::CRAWLING => Self::Crawling,
            it if it >= Self::SLOW => Self::Slow,
            _ => Self::Sound,
        }
    }
}

/// Consecutive failures from which a target is backed off. Some services fail one request in seven
/// by themselves; there, three in a row happen once in 340.
const BACK_OFF_FAILURES: u32 = 3;
/// First back-off time, doubled with each further failure. Long compared with a request of a
/// service, short compared with a fault.
const BACK_OFF_FIRST: Millis = 500;
/// Longest back-off time: a target that has recovered gets no work for up to this long.
const BACK_OFF_MAX: Millis = 4_000;

/// Content of a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that the agent has admitted.
    pub in_flight: u32,
    /// Requests that the agent may admit at once.
    pub capacity: u32,
    /// The target is leaving and takes no new work.
    pub leaving: bool,
    /// The target takes no work for now: it refuses connections, or its group is not ready.
    pub away: bool,
    /// Speed of the target, if the other ranks of a group wait for it.
    pub pace: Pace,
    /// Number of ranks in the target's group; 0 if it belongs to no group.
    pub size: u32,
    /// Load of the rank with most of the experts' work, in thousandths of the mean, if this agent
    /// plans the group's maps; else 0.
    pub lag: u32,
    /// Identifies the target's group among those of its service.
    pub group: u32,
    /// The group is stalled: it runs no step although there is work.
    pub stalled: bool,
    /// The target refuses its agent's connections.
    pub refuses: bool,
    /// Entries connected to the agent; 0 if not reported.
    pub entries: u32,
    /// Remaining time of the pause that the target requested.
    pub pause: Millis,
    /// Rate that the target accepts from all entries together, if it announces a limit to its
    /// agent.
    pub limit: Option<Rate>,
    /// Time since the engine last answered its agent; none if the agent does not query the engine.
    pub engine_age: Option<Millis>,
}

/// Source of the knowledge that a target is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Heartbeats of the target's agent.
    Heartbeats,
    /// The instance list; heartbeats only report the load.
    Listing,
}

/// Last known state of a target and its agent.
#[derive(Clone, Debug)]
pub struct Member {
    /// How this entry knows that the target is live.
    pub source: Source,
    /// The target gets no work before this time, because it refused a connection or work, or
    /// failed. For a target reached directly this is the entry's own estimate, unlike the pause
    /// that a target requests; for a target behind its agent it is the end of the pause requested
    /// from the agent.
    pub backed_off_until: Millis,
    /// Incarnation of the agent; 0 for a target that is known from the instance list only.
    pub incarnation: Incarnation,
    /// Last heartbeat received.
    pub report: Report,
    /// Whether a heartbeat was received.
    pub reported: bool,
    /// Whether the connection to the agent on the target's machine is open.
    pub linked: bool,
    /// When the last heartbeat was received.
    pub heartbeat_at: Millis,
    /// When the target itself, not only its agent, last responded.
    pub last_alive: Millis,
    /// Since when the agent has reported that the target refuses connections.
    pub refusing_since: Option<Millis>,
    /// Whether the target is leaving; never reset for an incarnation.
    pub leaving: bool,
    /// Requests of other entries at the target: all that it last reported, less this entry's own at
    /// that time. Later requests of this entry are counted exactly in `own`.
    pub others: u32,
    /// Requests of this entry that are in flight at the target.
    pub own: u32,
    /// Value of `own` when the target or its agent last reported its load.
    pub own_at_load: u32,
    /// When the target or its agent last reported its load.
    pub load_at: Millis,
    /// Consecutive failures of this entry's requests.
    pub failures: u32,
}

impl Member {
    /// Load of the target attributed to one of `entries` entries: an equal part of the load last
    /// reported, and all requests that this entry has sent since. The other entries are assumed to
    /// have sent as many since, of which nothing is known yet.
    pub fn share(&self, entries: f64) -> f64 {
        let reported = f64::from(self.others + self.own_at_load) / entries;
        (reported + f64::from(self.own) - f64::from(self.own_at_load)).max(0.0)
    }
}

/// All targets and agents known to this process.
#[derive(Debug)]
pub struct Members {
    silence: Millis,
    members: HashMap<String, Member>,
}

impl Members {
    /// Creates an empty table. An agent without a heartbeat for `silence` gets no work.
    pub fn open(silence: Millis) -> Self {
        Self { silence, members: HashMap::new() }
    }

    /// Records that a connection to an agent was established.
    pub fn connected(&mut self, now: Millis, name: &str, incarnation: Incarnation) {
        let known = self.members.get(name).filter(|it| it.incarnation == incarnation);
        let leaving = known.is_some_and(|it| it.leaving);
        let own = known.map_or(0, |it| it.own);
        let member = Member {
            source: Source::Heartbeats,
            backed_off_until: 0,
            incarnation,
            report: Report::default(),
            reported: false,
            linked: false,
            heartbeat_at: now,
            last_alive: now,
            refusing_since: None,
            leaving,
            others: 0,
            own,
            own_at_load: 0,
            load_at: now,
            failures: known.map_or(0, |it| it.failures),
        };
        self.members.insert(name.to_owned(), member);
    }

    /// Records that the instance list contains a target.
    pub fn listed(&mut self, now: Millis, name: &str, leaving: bool) {
        if !self.members.contains_key(name) {
            self.connected(now, name, Incarnation(0));
        }
        if let Some(member) = self.members.get_mut(name) {
            member.source = Source::Listing;
            member.leaving |= leaving;
        }
    }

    /// Records that the instance list no longer contains a target.
    pub fn unlisted(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// Records the load that a target reported with a response: running and queued requests,
    /// including this entry's own.
    pub fn record_load(&mut self, now: Millis, name: &str, requests: u32) {
        if let Some(member) = self.members.get_mut(name) {
            member.load_at = now;
            member.others = requests.saturating_sub(member.own);
            member.own_at_load = member.own;
        }
    }

    /// Forgets loads of listed targets that are too old. Without agents, a target that is taken to
    /// be full would never report a new load, since it gets no requests.
    pub fn expire_loads(&mut self, now: Millis) {
        let old = |it: &&mut Member| {
            it.source == Source::Listing && now.saturating_sub(it.load_at) >= REPORT_VALIDITY
        };
        for member in self.members.values_mut().filter(old) {
            member.others = 0;
            member.own_at_load = 0;
        }
    }

    /// Backs a target off until `until`.
    pub fn back_off(&mut self, name: &str, until: Millis) {
        if let Some(member) = self.members.get_mut(name) {
            member.backed_off_until = member.backed_off_until.max(until);
        }
    }

    /// Records that a target completed a request successfully.
    pub fn record_success(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.failures = 0;
        }
    }

    /// Records that a target failed a request. Returns for how long to back it off, if it failed
    /// often enough in a row: a target that fails at once has the least load, and would get most of
    /// the work.
    pub fn record_failure(&mut self, name: &str) -> Option<Millis> {
        let member = self.members.get_mut(name)?;
        member.failures += 1;
        let excess = member.failures.checked_sub(BACK_OFF_FAILURES)?;
        Some((BACK_OFF_FIRST << excess.min(8)).min(BACK_OFF_MAX))
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Millis, name: &str, report: Report) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.heartbeat_at = now;
        member.reported = true;
        member.linked = true;
        member.last_alive = now.saturating_sub(report.engine_age.unwrap_or(0));
        if member.source == Source::Heartbeats {
            // The pause was requested from the agent, which observes it by itself.
            member.backed_off_until = now.saturating_add(report.pause);
        }
        member.refusing_since = report.refuses.then(|| member.refusing_since.unwrap_or(now));
        member.report = report;
        member.load_at = now;
        member.others = report.in_flight.saturating_sub(member.own);
        member.own_at_load = member.own;
        member.leaving |= report.leaving;
    }

    /// Records that the connection to the agent on a listed target's machine ended. The agent's
    /// process may have died while the target still runs.
    pub fn agent_disconnected(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.linked = false;
        }
    }

    /// Listed targets whose machine counts as unresponsive. Empty if that applies to half of them
    /// or more: then this process itself probably received nothing.
    pub fn unresponsive(&self, now: Millis) -> BTreeSet<String> {
        let linked = || {
            let connected = |it: &Member| it.source == Source::Listing && it.linked;
            self.members.iter().filter(move |it| connected(it.1))
        };
        let unresponsive =
            linked().filter(|it| now.saturating_sub(it.1.heartbeat_at) >= UNRESPONSIVE_AFTER);
        let unresponsive: BTreeSet<String> = unresponsive.map(|it| it.0.clone()).collect();
        if unresponsive.len() * 2 < linked().count() { unresponsive } else { BTreeSet::new() }
    }

    /// Records that the connection to an agent ended.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.heartbeat_at = 0;
        }
    }

    /// Records that the agent refused a request because it is leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.leaving = true;
        }
    }

    /// Records that the target refused a connection. The agent's next heartbeat resets this.
    pub fn refused_connection(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.report.away = true;
        }
    }

    /// Records that a request was sent to a target.
    pub fn sent(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.own += 1;
        }
    }

    /// Records that a request sent to a target ended.
    pub fn ended(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.own = member.own.saturating_sub(1);
        }
    }

    /// The target, if it may get new work now.
    pub fn usable(&self, now: Millis, name: &str) -> Option<&Member> {
        self.usable_after_back_off(now, name).filter(|it| now >= it.backed_off_until)
    }

    /// The target, if it may get new work once its back-off ends.
    pub fn usable_after_back_off(&self, now: Millis, name: &str) -> Option<&Member> {
        let member = self.members.get(name)?;
        let silent = now.saturating_sub(member.heartbeat_at) >= self.silence;
        let stalled = now.saturating_sub(member.last_alive) >= self.silence * ENGINE_SILENCE_FACTOR;
        let lost = match member.source {
            Source::Heartbeats => silent || stalled || member.report.away,
            Source::Listing => self.is_closed(now, member) || self.is_dead(now, member),
        };
        (!lost && !member.leaving).then_some(member)
    }

    /// Whether the agent reported recently that a listed target takes no work, as when its group is
    /// incomplete. The report of an agent that is silent since does not count.
    fn is_closed(&self, now: Millis, member: &Member) -> bool {
        member.report.away && now.saturating_sub(member.heartbeat_at) < self.silence
    }

    /// Whether the agent reported recently that a listed target refuses connections. The instance
    /// list contains the target for several seconds more, until its lease expires.
    fn is_dead(&self, now: Millis, member: &Member) -> bool {
        member.refusing_since.is_some() && now.saturating_sub(member.heartbeat_at) < self.silence
    }

    /// The group that lost this target as a rank and has not noticed yet: it stalls for `stall`
    /// before it gives up a rank.
    pub fn lost_rank(&self, now: Millis, name: &str, stall: Millis) -> Option<u32> {
        let member = self.get(name).filter(|it| self.is_dead(now, it))?;
        let noticed =
            member.refusing_since.is_some_and(|since| now >= since + stall + REPORT_DELAY);
        (member.report.size > 0 && !noticed).then_some(member.report.group)
    }

    /// Whether a target is known, is not leaving and takes no work for now.
    pub fn closed(&self, now: Millis, name: &str) -> bool {
        self.get(name).is_some_and(|it| !it.leaving && self.is_closed(now, it))
    }

    /// Targets whose group was reported recently as stalled.
    pub fn stalled(&self, now: Millis) -> impl Iterator<Item = &String> {
        let stalled = move |it: &Member| {
            it.report.stalled && now.saturating_sub(it.heartbeat_at) < REPORT_VALIDITY
        };
        self.members.iter().filter(move |it| stalled(it.1)).map(|it| it.0)
    }

    /// Map lag of the target's group as reported by its agent; none without a recent report.
    pub fn lag(&self, now: Millis, name: &str) -> Option<u32> {
        let member = self.get(name)?;
        let fresh = now.saturating_sub(member.heartbeat_at) < self.silence;
        (fresh && member.report.lag > 0).then_some(member.report.lag)
    }

    /// Largest number of connected entries that an agent reported recently; none without a report.
    pub fn entries(&self, now: Millis) -> Option<usize> {
        let fresh =
            |it: &&Member| it.reported && now.saturating_sub(it.heartbeat_at) < REPORT_VALIDITY;
        let reported = self.members.values().filter(fresh).map(|it| it.report.entries);
        reported.max().filter(|it| *it > 0).map(|it| it as usize)
    }

    /// The target in any state.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All known targets.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, it)| (name.as_str(), it))
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which targets are live, as one entry sees it.
//!
//! The agent's own heartbeat comes first, the lagging instance list second.
//! Leaving is sticky: an incarnation that once said it leaves is never
//! chosen again, whatever arrives late.

use std::collections::{BTreeSet, HashMap};

use crate::id::{Incarnation, Millis};
use crate::limits::Rate;

/// An engine that has not answered its agent for so many times the silence
/// allowed to agents is stalled: its load is read less often than heartbeats come.
const STALLED: Millis = 3;

/// How long a report counts for what changes by itself: some heartbeats.
const TOLD: Millis = 1_000;

/// Time without a word from an agent whose connection stands after which its
/// machine counts as asleep: three of the reports that agents give every 200 ms
/// by the settings of the users' platform.
const QUIET: Millis = 600;

/// Time from a group's giving up a rank until its other ranks' agents have told
/// so: a report each 200 ms.
const NOTICED: Millis = 300;

/// How long a target takes, where others wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// As long as it should.
    #[default]
    Sound,
    /// Longer, so that new work had better go elsewhere.
    Slow,
    /// So much longer that what runs there had better go on elsewhere.
    Crawling,
}

impl Pace {
    /// Time for the same work, relative to a sound target, from which one is
    /// slow: more than sound ones differ by.
    pub const SLOW: f64 = 1.25;
    /// The same from which one crawls. A rank's own part is a seventh of a pass
    /// of 80 ms, which may take 120: at 2 it takes 91, with queued prompts more.
    pub const CRAWLING: f64 = 2.0;

    /// Judges the time for the same work.
    pub fn of(pace: f64) -> Self {
        match pace {
            it if it >= Self::CRAWLING => Self::Crawling,
            it if it >= Self::SLOW => Self::Slow,
            _ => Self::Sound,
        }
    }
}

/// Failures in a row from which a target is left alone. Some services fail one
/// request in seven by themselves; three in a row are one in 340 there.
const FAILURES: u32 = 3;
/// How long it is left alone at first; twice as long after each further
/// failure. Long against a request of a service, short against a fault.
const REST_FIRST: Millis = 500;
/// How long at most: a target that is sound again gets no work for that long.
const REST_LAST: Millis = 4_000;

/// A heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests the agent holds.
    pub in_flight: u32,
    /// Requests it may hold.
    pub capacity: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// The target refuses connections.
    pub away: bool,
    /// How long it takes, where others wait for it.
    pub pace: Pace,
    /// Ranks of its group; 0 if it is a rank of none.
    pub size: u32,
    /// Thousandths of the mean that the rank with most of the experts' work has,
    /// if its agent plans its group's maps; else 0.
    pub lag: u32,
    /// Which group it is a rank of, among those of its service.
    pub group: u32,
    /// Its group makes no step although there is work.
    pub stands: bool,
    /// The target refuses its agent's connections.
    pub refuses: bool,
    /// Entries connected to the agent; 0 if it did not say.
    pub entries: u32,
    /// How much longer the target wants nothing.
    pub rest: Millis,
    /// What the target takes from all entries together, if it names a limit to its agent.
    pub limit: Option<Rate>,
    /// Time since the engine last answered its agent; none if it is not asked.
    pub engine_age: Option<Millis>,
}

/// What tells that a target is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Heartbeats of its agent.
    Heartbeats,
    /// The instance list; heartbeats only tell its load.
    Listing,
}

/// A target's agent as last heard of.
#[derive(Clone, Debug)]
pub struct Member {
    /// What tells that it is live.
    pub source: Source,
    /// It refused a connection or work, or failed, and is left alone until then: a guess,
    /// unlike the rest that a target asks for. Of a target behind its agent, the end of the rest
    /// that the agent was asked for.
    pub backed_off_until: Millis,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its last report.
    pub report: Report,
    /// It reported at all.
    pub reported: bool,
    /// The connection to the agent beside it stands.
    pub linked: bool,
    /// When that came.
    pub heartbeat_at: Millis,
    /// When the target itself, not only its agent, last gave a sign of life.
    pub last_alive: Millis,
    /// Since when its agent says that it refuses connections.
    pub refusing_since: Option<Millis>,
    /// It is leaving, for good.
    pub leaving: bool,
    /// Requests of others there by that report: all less this entry's own
    /// at that time. What this entry sends later is known better from `own`.
    pub others: u32,
    /// Requests of this entry there now.
    pub own: u32,
    /// Those that it had there when the target or its agent last told its load.
    pub own_at_load: u32,
    /// When that was.
    pub load_at: Millis,
    /// Requests of this entry that failed there, one after the other.
    pub failures: u32,
}

impl Member {
    /// Requests there that fall to one of so many entries: an equal part of
    /// those last told, and all that this one has sent since. The others send
    /// as many, of which nothing is known yet.
    pub fn share(&self, entries: f64) -> f64 {
        let told = f64::from(self.others + self.own_at_load) / entries;
        (told + f64::from(self.own) - f64::from(self.own_at_load)).max(0.0)
    }
}

/// All agents that this process has heard of.
#[derive(Debug)]
pub struct Members {
    silence: Millis,
    members: HashMap<String, Member>,
}

impl Members {
    /// Opens an empty table. An agent silent for `silence` is not chosen.
    pub fn open(silence: Millis) -> Self {
        Self { silence, members: HashMap::new() }
    }

    /// Records that a connection to an agent came up.
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

    /// Records that the instance list names a target.
    pub fn listed(&mut self, now: Millis, name: &str, leaving: bool) {
        if !self.members.contains_key(name) {
            self.connected(now, name, Incarnation(0));
        }
        if let Some(member) = self.members.get_mut(name) {
            member.source = Source::Listing;
            member.leaving |= leaving;
        }
    }

    /// Records that the instance list names a target no more.
    pub fn unlisted(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// Records what a target said of its load with an answer: requests that
    /// run and wait there, this entry's own included.
    pub fn record_load(&mut self, now: Millis, name: &str, requests: u32) {
        if let Some(member) = self.members.get_mut(name) {
            member.load_at = now;
            member.others = requests.saturating_sub(member.own);
            member.own_at_load = member.own;
        }
    }

    /// Forgets the load that listed targets told too long ago: of one that is taken to be
    /// full nothing new would ever be heard where no agent tells, since nothing is sent there.
    pub fn expire_loads(&mut self, now: Millis) {
        let old = |it: &&mut Member| {
            it.source == Source::Listing && now.saturating_sub(it.load_at) >= TOLD
        };
        for member in self.members.values_mut().filter(old) {
            member.others = 0;
            member.own_at_load = 0;
        }
    }

    /// Records that a target is better left alone until `until`.
    pub fn back_off(&mut self, name: &str, until: Millis) {
        if let Some(member) = self.members.get_mut(name) {
            member.backed_off_until = member.backed_off_until.max(until);
        }
    }

    /// Records that a target answered a request as it should.
    pub fn record_success(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.failures = 0;
        }
    }

    /// Records that a target failed a request, and returns how long it had
    /// better be left alone. One that fails at once has the least load, and so
    /// would get most of the work.
    pub fn record_failure(&mut self, name: &str) -> Option<Millis> {
        let member = self.members.get_mut(name)?;
        member.failures += 1;
        let more = member.failures.checked_sub(FAILURES)?;
        Some((REST_FIRST << more.min(8)).min(REST_LAST))
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
            // The agent was asked, and keeps to it by itself.
            member.backed_off_until = now.saturating_add(report.rest);
        }
        member.refusing_since = report.refuses.then(|| member.refusing_since.unwrap_or(now));
        member.report = report;
        member.load_at = now;
        member.others = report.in_flight.saturating_sub(member.own);
        member.own_at_load = member.own;
        member.leaving |= report.leaving;
    }

    /// Records that the connection to the agent beside a listed target ended.
    /// Its process may have died and the target go on.
    pub fn agent_disconnected(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.linked = false;
        }
    }

    /// Listed targets whose machine counts as asleep. None while that holds for
    /// half of them: then it is this process that heard nothing.
    pub fn unresponsive(&self, now: Millis) -> BTreeSet<String> {
        let linked = || {
            let told = |it: &Member| it.source == Source::Listing && it.linked;
            self.members.iter().filter(move |it| told(it.1))
        };
        let quiet = linked().filter(|it| now.saturating_sub(it.1.heartbeat_at) >= QUIET);
        let quiet: BTreeSet<String> = quiet.map(|it| it.0.clone()).collect();
        if quiet.len() * 2 < linked().count() { quiet } else { BTreeSet::new() }
    }

    /// Records that the connection went down.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.heartbeat_at = 0;
        }
    }

    /// Records that the agent refused because it is leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.leaving = true;
        }
    }

    /// Records that the target refused a connection. Its agent says when that is over.
    pub fn refused_connection(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.report.away = true;
        }
    }

    /// Records a request sent.
    pub fn sent(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.own += 1;
        }
    }

    /// Records the end of a request sent.
    pub fn ended(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.own = member.own.saturating_sub(1);
        }
    }

    /// The agent, if it may get new work.
    pub fn usable(&self, now: Millis, name: &str) -> Option<&Member> {
        self.usable_after_back_off(now, name).filter(|it| now >= it.backed_off_until)
    }

    /// The agent, if it may get new work once it is no longer left alone.
    pub fn usable_after_back_off(&self, now: Millis, name: &str) -> Option<&Member> {
        let member = self.members.get(name)?;
        let silent = now.saturating_sub(member.heartbeat_at) >= self.silence;
        let stalled = now.saturating_sub(member.last_alive) >= self.silence * STALLED;
        let lost = match member.source {
            Source::Heartbeats => silent || stalled || member.report.away,
            Source::Listing => self.is_closed(now, member) || self.is_dead(now, member),
        };
        (!lost && !member.leaving).then_some(member)
    }

    /// Whether a listed target's agent said lately that it takes no work, as
    /// when its group is not complete. Word of a silent agent does not count.
    fn is_closed(&self, now: Millis, member: &Member) -> bool {
        member.report.away && now.saturating_sub(member.heartbeat_at) < self.silence
    }

    /// Whether a listed target's agent said lately that it refuses connections:
    /// the list names it until its lease is over, for seconds.
    fn is_dead(&self, now: Millis, member: &Member) -> bool {
        member.refusing_since.is_some() && now.saturating_sub(member.heartbeat_at) < self.silence
    }

    /// The group that lost this target and has not noticed yet: it stands for
    /// `stands` before it gives up a rank.
    pub fn lost_rank(&self, now: Millis, name: &str, stands: Millis) -> Option<u32> {
        let member = self.get(name).filter(|it| self.is_dead(now, it))?;
        let noticed = member.refusing_since.is_some_and(|since| now >= since + stands + NOTICED);
        (member.report.size > 0 && !noticed).then_some(member.report.group)
    }

    /// Whether a target is known and takes no work for now.
    pub fn closed(&self, now: Millis, name: &str) -> bool {
        self.get(name).is_some_and(|it| !it.leaving && self.is_closed(now, it))
    }

    /// Targets of which it was told lately that their group stands.
    pub fn stalled(&self, now: Millis) -> impl Iterator<Item = &String> {
        let stands = move |it: &Member| it.report.stands && now.saturating_sub(it.heartbeat_at) < TOLD;
        self.members.iter().filter(move |it| stands(it.1)).map(|it| it.0)
    }

    /// Lag of a group's map as told beside a rank; none if it was not told lately.
    pub fn lag(&self, now: Millis, name: &str) -> Option<u32> {
        let member = self.get(name)?;
        let fresh = now.saturating_sub(member.heartbeat_at) < self.silence;
        (fresh && member.report.lag > 0).then_some(member.report.lag)
    }

    /// The most entries that an agent heard lately is connected to; none if
    /// none was heard.
    pub fn entries(&self, now: Millis) -> Option<usize> {
        let fresh = |it: &&Member| it.reported && now.saturating_sub(it.heartbeat_at) < TOLD;
        let told = self.members.values().filter(fresh).map(|it| it.report.entries);
        told.max().filter(|it| *it > 0).map(|it| it as usize)
    }

    /// The agent, in whatever state.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All agents.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, it)| (name.as_str(), it))
    }
}

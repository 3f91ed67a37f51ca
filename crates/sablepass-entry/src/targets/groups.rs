// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Targets that are ranks of a group: whether it is closed, whether it opens
//! soon, and whether the others can take over what a crawling one has.
//!
//! All ranks of a service count as one group. Where a service has several, one
//! that lacks a rank may be waited for in vain, which the wait's limit bounds.

use sablepass_core::declaration::Kind;
use sablepass_core::forming::{self, Forming, Ranks};
use sablepass_core::id::Millis;
use sablepass_core::membership::Pace;

use crate::targets::{Served, Targets};

/// Targets of a kind are relieved while fewer than one in so many crawls: a
/// move costs the others the prompt once more. Chosen, not measured.
const CRAWLING_PART: usize = 4;

/// Part of the pause allowed to callers that a pass may take: the rest is for
/// the way to them and for ranks with a request more than the mean.
const PAUSE_PART: f64 = 0.95;
/// Part of its places that a group is always given: no caller waits while half
/// of them are free.
const LEAST_PART: f64 = 0.5;
/// Parts in which a lag is told.
const THOUSANDTHS: f64 = 1_000.0;

impl Targets {
    /// Whether what serves is there and closed: its group is not complete.
    pub fn closed(&self, now: Millis, served: &Served) -> bool {
        let names = self.serving.get(served);
        names.is_some_and(|it| it.iter().any(|name| self.members.closed(now, name)))
    }

    /// Looks at the groups again.
    pub fn watch_groups(&mut self, now: Millis) {
        let young = self.is_young(now);
        let served: Vec<Served> =
            self.serving.keys().filter(|it| self.form(it).is_some()).cloned().collect();
        self.groups.retain(|it, _| served.contains(it));
        for it in served {
            let ranks = self.ranks(now, &it);
            self.groups.entry(it).or_default().watch(now, ranks, young);
        }
    }

    /// Places of this entry's part of what serves, whether it takes work or not.
    pub fn places(&self, served: &Served) -> f64 {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        let there = names.iter().filter(|it| !self.replaced.contains(*it));
        let places = there.filter_map(|it| Some(self.listed.get(it)?.instance.capacity));
        f64::from(places.sum::<u32>()) / self.sharers.count() as f64
    }

    /// Streams that this entry's part of a group has beyond those with which its
    /// passes take no longer than `pause`: negative while there is room. None if
    /// what serves is no group, or its planner has not told how even its map is.
    pub fn excess(&self, now: Millis, served: &Served, pause: f64) -> Option<f64> {
        let times = self.catalogue.services.get(&served.1)?.engine.as_ref()?.times()?;
        let lag = self.lag(now, served)?;
        let room = self.room(now, served);
        let ranks = self.serving.get(served).map_or(0, Vec::len).max(1) as f64;
        let places = self.places(served);
        let part = times.sequences(pause * PAUSE_PART, lag) * ranks / self.sharers.count() as f64;
        Some(room.load + 1.0 - part.max(places * LEAST_PART))
    }

    /// Lag of a group's map, as its planner told it.
    fn lag(&self, now: Millis, served: &Served) -> Option<f64> {
        let names = self.serving.get(served)?;
        let lags = names.iter().filter_map(|it| self.members.lag(now, it));
        lags.max().map(|it| f64::from(it) / THOUSANDTHS)
    }

    /// Requests that this entry has at what serves.
    pub fn own(&self, served: &Served) -> u32 {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        names.iter().filter_map(|it| self.members.get(it)).map(|it| it.own).sum()
    }

    /// Whether work for a closed group had better wait: it opens soon.
    pub fn opens_soon(&self, now: Millis, served: &Served) -> bool {
        let form = self.form(served).unwrap_or(0);
        self.groups.get(served).is_some_and(|it| it.opens_soon(now, form))
    }

    fn is_young(&self, now: Millis) -> bool {
        let agents = self.options.agent_port.is_some();
        agents && self.learning.is_some_and(|since| now < since + forming::GRACE)
    }

    /// The declared time from the return of the last rank to the group's next
    /// step; none if what serves is no group.
    fn form(&self, served: &Served) -> Option<Millis> {
        let service = self.catalogue.services.get(&served.1)?;
        Some(service.engine.as_ref()?.ranks.as_ref()?.form as Millis)
    }

    fn ranks(&self, now: Millis, served: &Served) -> Ranks {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        let mut ranks = Ranks::default();
        let mut unknown = 0;
        for name in names.iter().filter(|it| !self.replaced.contains(*it)) {
            let Some(member) = self.members.get(name).filter(|it| !it.leaving) else { continue };
            ranks.size = ranks.size.max(member.report.size);
            ranks.closed += u32::from(self.members.closed(now, name));
            unknown += u32::from(!member.reported);
        }
        // Where nothing speaks against it, a rank counts as good: processes of
        // this system may have started anew while their targets went on.
        let doubt = ranks.closed > 0 || self.suspects.contains(&served.1);
        Ranks { unknown: if doubt { unknown } else { 0 }, ..ranks }
    }

    /// Whether a rank may be of a closed group, as this process has only begun
    /// to learn how ranks stand.
    pub(super) fn is_unknown(&self, now: Millis, name: &str) -> bool {
        let Some(it) = self.listed.get(name).filter(|_| self.is_young(now)) else {
            return false;
        };
        let group = self.groups.get(&(Kind::Service, it.instance.serves.clone()));
        group.is_some_and(Forming::is_closed)
            && self.members.get(name).is_some_and(|it| !it.reported)
    }

    /// Records that a target ran nothing of what it was sent, and is left alone
    /// until `until`. Before its agent was heard that may mean that its group
    /// is closed.
    pub fn refused(&mut self, now: Millis, name: &str, until: Millis) {
        self.rest(name, until);
        let unheard = self.members.get(name).is_some_and(|it| !it.reported);
        if let Some(it) = self.listed.get(name).filter(|_| unheard && self.is_young(now)) {
            self.suspects.insert(it.instance.serves.clone());
            self.watch_groups(now);
        }
    }

    /// Whether so few of the targets that serve the same crawl that the others
    /// can take over what runs there.
    pub fn can_take_over(&self, served: &Served) -> bool {
        let names = self.serving.get(served).map(Vec::as_slice).unwrap_or_default();
        let crawls =
            |it: &&String| self.members.get(it).is_some_and(|it| it.report.pace == Pace::Crawling);
        names.iter().filter(crawls).count() * CRAWLING_PART < names.len()
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards requests that end their targets: what it saw and was told
//! of them, what it tells others, and what it holds back.

use std::collections::BTreeMap;
use std::time::Duration;

use sablepass_core::deaths::{Deaths, Interrupted};
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::flight::Event;
use sablepass_core::id::{Millis, RequestId};
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_core::suspects::{Change, Death, Standing, Suspects, Trial};
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_wire::generated as wire;
use sablepass_wire::suspects::Evidence;
use stakker::{CX, after, call};

use crate::open::Open;
use crate::router::Router;
use crate::trace::Step;

/// Deaths and answers told in one message, at most one in [`crate::ticks::TICK`]:
/// 64 of some 80 bytes are 5 KB, or 200 KB/s while hundreds of targets end.
const BATCH: usize = 64;
/// What waits to be told. More is dropped: it is heard of from the others that saw it.
const BACKLOG: usize = 4_096;

/// Time after which a target without an agent is looked at once more. Ten times what
/// the kernel, or a proxy in between, took to refuse connections after it had closed
/// those that stood; a caller that repeats a request at once comes later.
const LOOK_AGAIN: Duration = Duration::from_millis(30);
/// Looks at targets with agents that may be made at once. Agents see their
/// target's end within a heartbeat, and all ranks of a group break off what they
/// run when one of them has ended: some looks are enough, not one a rank.
const PROBES: u32 = 4;
/// Time after which one more may be made: an agent's heartbeat.
const PROBE_PAUSE: Millis = 200;

/// How many looks are left.
#[derive(Debug, Default)]
struct Probes {
    /// Those made since the count was last at 0.
    made: u32,
    /// When the count was last lowered.
    since: Millis,
}

impl Probes {
    fn take(&mut self, now: Millis) -> bool {
        let regained = now.saturating_sub(self.since) / PROBE_PAUSE;
        if regained > 0 {
            self.made = self.made.saturating_sub(u32::try_from(regained).unwrap_or(u32::MAX));
            self.since = now;
        }
        let left = self.made < PROBES;
        self.made += u32::from(left);
        left
    }
}

/// What this entry knows of requests that end their targets.
#[derive(Default)]
pub struct Watch {
    pub(crate) suspects: Suspects,
    deaths: Deaths,
    /// Connections to other entries, with their names.
    entries: BTreeMap<PeerKey, String>,
    /// What the other entries have not been told yet.
    untold: Evidence,
    probes: Probes,
}

impl Watch {
    /// Connections to other entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = PeerKey> {
        self.entries.keys().copied()
    }

    /// The connection to an entry.
    pub(crate) fn entry(&self, name: &str) -> Option<PeerKey> {
        self.entries.iter().find(|it| it.1 == name).map(|it| *it.0)
    }

    /// Records a connection to another entry, which is told all that is known.
    pub(crate) fn entry_up(&mut self, peer: PeerKey, name: &str) -> Option<Evidence> {
        self.entries.insert(peer, name.to_owned());
        Some(told(self.suspects.deaths())).filter(|it| !it.is_empty())
    }

    /// Records the end of a connection.
    pub(crate) fn down(&mut self, peer: PeerKey) {
        self.entries.remove(&peer);
    }

    /// What a process beside a target is to remember.
    pub(crate) fn held(&self, now: Millis) -> Option<Evidence> {
        Some(told(self.suspects.blocked(now))).filter(|it| !it.is_empty())
    }

    /// The next message to the other entries.
    fn next_told(&mut self) -> Option<Evidence> {
        let deaths = self.untold.deaths.len().min(BATCH);
        let sound = self.untold.sound.len().min(BATCH);
        let told = Evidence {
            deaths: self.untold.deaths.drain(..deaths).collect(),
            sound: self.untold.sound.drain(..sound).collect(),
        };
        Some(told).filter(|it| !it.is_empty())
    }

    /// What is known, for operators.
    pub(crate) fn status(&self, now: Millis) -> serde_json::Value {
        let mut requests: BTreeMap<Fingerprint, Vec<&Death>> = BTreeMap::new();
        for (it, death) in self.suspects.deaths() {
            requests.entry(it).or_default().push(death);
        }
        let death = |it: &&Death| {
            serde_json::json!({
                "target": it.target, "born": it.born, "sent": it.sent, "ended": it.ended,
            })
        };
        let line = |(it, deaths): (&Fingerprint, &Vec<&Death>)| {
            let until = match self.suspects.standing(now, *it) {
                Standing::Blocked(until) => Some(until),
                Standing::Suspect | Standing::Clear => None,
            };
            let deaths: Vec<serde_json::Value> = deaths.iter().map(death).collect();
            serde_json::json!({
                "fingerprint": it.to_string(), "held_until": until, "deaths": deaths,
            })
        };
        requests.iter().map(line).collect()
    }
}

fn told<'a>(deaths: impl Iterator<Item = (Fingerprint, &'a Death)>) -> Evidence {
    let deaths = deaths.map(|(it, death)| (it, death.clone()));
    Evidence { deaths: deaths.collect(), sound: Vec::new() }
}

impl Router {
    /// Records that a target broke off an attempt. It may have ended.
    pub(crate) fn broke_off(&mut self, cx: CX![], id: RequestId, target: &str) {
        let now = clock::now();
        let Some(open) = self.open.get(&id) else { return };
        if self.targets.is_leaving(now, target) {
            // Its end is planned.
            return;
        }
        let death = Death {
            target: target.to_owned(),
            born: self.targets.born(target),
            sent: open.sent,
            ended: now,
        };
        let case = Interrupted { request: id, fingerprint: open.fingerprint(), death };
        match self.watch.deaths.record_interrupted(now, case) {
            Some(case) => self.ended_under(cx, case),
            None => self.probe(cx, now, target),
        }
    }

    /// Looks whether a target that broke off a request takes connections: that
    /// proves its end in milliseconds, the instance list in seconds.
    fn probe(&mut self, cx: CX![], now: Millis, target: &str) {
        let told = self.targets.members().get(target).is_some_and(|it| it.linked);
        if told && !self.watch.probes.take(now) {
            return;
        }
        if let Some(to) = self.targets.destination(target) {
            self.pool.probe(cx, now, to);
        }
        if !told {
            let target = target.to_owned();
            after!(LOOK_AGAIN, [cx], look_again(target));
        }
    }

    /// A process that ends may close its connections before it stops to listen.
    fn look_again(&mut self, cx: CX![], target: String) {
        let waits = self.watch.deaths.is_pending(&target);
        if let Some(to) = self.targets.destination(&target).filter(|_| waits) {
            self.pool.probe(cx, clock::now(), to);
        }
    }

    /// Records that a target refuses connections: its process has ended.
    pub(crate) fn target_refuses(&mut self, cx: CX![], target: &str) {
        for case in self.watch.deaths.record_refusal(clock::now(), target) {
            self.ended_under(cx, case);
        }
    }

    /// Records that the instance list names a target no more, or a later life of it.
    pub(crate) fn target_gone(&mut self, cx: CX![], target: &str) {
        for case in self.watch.deaths.record_gone(clock::now(), target) {
            self.ended_under(cx, case);
        }
    }

    fn ended_under(&mut self, cx: CX![], case: Interrupted) {
        let target = case.death.target.clone();
        self.traces.add(case.death.ended, case.request, Step::TargetEnded { target });
        self.suspect(cx, case.fingerprint, case.death, None);
    }

    /// Takes what another process tells of requests.
    pub(crate) fn told_suspects(&mut self, cx: CX![], peer: PeerKey, it: wire::Suspects) {
        let Ok(told) = Evidence::parse(it) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        for (it, death) in told.deaths {
            self.suspect(cx, it, death, Some(peer));
        }
        for it in told.sound {
            self.absolve(it);
        }
    }

    /// Counts the end of a target under a request, seen here or told by `peer`.
    fn suspect(&mut self, cx: CX![], it: Fingerprint, death: Death, peer: Option<PeerKey>) {
        let now = clock::now();
        let evicted = self.watch.suspects.evicted();
        let change = self.watch.suspects.record(now, it, death.clone());
        self.metrics.suspects_evicted.inc_by(self.watch.suspects.evicted() - evicted);
        match change {
            Change::Nothing => return,
            Change::Cleared => return self.tell_sound(it),
            Change::Counted | Change::Blocked => {}
        }
        let source = if peer.is_some() { "told" } else { "seen" };
        self.metrics.deaths.with_label_values(&[source]).inc();
        slog::warn!(self.log, "target ended under a request"; "fingerprint" => %it,
            "target" => &death.target, "born" => death.born, "request_sent" => death.sent,
            "ended" => death.ended, "source" => source, "held" => change == Change::Blocked);
        if self.watch.untold.deaths.len() < BACKLOG {
            self.watch.untold.deaths.push((it, death));
        }
        if self.watch.untold.deaths.len() < BATCH {
            // At once: the next copy may be on its way to another entry.
            self.tell_suspects();
        }
        if change == Change::Blocked {
            self.hold_back(cx, now, it);
        }
    }

    /// Gives up the copies of a request that are under way, and has agents
    /// remember it for entries that start anew.
    fn hold_back(&mut self, cx: CX![], now: Millis, it: Fingerprint) {
        let copies = self.open.iter().filter(|(_, open)| open.fingerprint() == it);
        let copies: Vec<RequestId> = copies.map(|(id, _)| *id).collect();
        for id in copies {
            self.set_comeback(now, id);
            self.event(cx, id, 0, Event::EndsTargets);
        }
        let Some(held) = self.watch.held(now) else { return };
        let body = held.body();
        for peer in self.targets.keepers(&it.to_string()) {
            call!([self.mesh], send(peer, body.clone()));
        }
    }

    /// Says when the caller of a request that is held back may come again.
    /// Returns false for one that is not.
    fn set_comeback(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let it = open.fingerprint();
        let until = match self.watch.suspects.standing(now, it) {
            Standing::Blocked(until) => Some(until),
            Standing::Suspect => self.watch.suspects.paused_until(now, it, self.trial(id, open)),
            Standing::Clear => None,
        };
        if let Some(until) = until
            && let Some(open) = self.open.get_mut(&id)
        {
            open.comeback = Some(until.saturating_sub(now));
        }
        until.is_some()
    }

    fn trial(&self, id: RequestId, open: &Open) -> Trial {
        let it = open.fingerprint();
        let several = self.watch.suspects.deaths_of(it).len() >= 2;
        let copy = |(other, copy): (&RequestId, &Open)| {
            *other != id && copy.counted.is_some() && copy.fingerprint() == it
        };
        Trial {
            expensive: self.targets.stands_together(&open.served),
            owner: several && self.targets.owns(&it.to_string()),
            busy: several && self.open.iter().any(copy),
        }
    }

    /// Refuses a request that is held back. Whether it is.
    pub(crate) fn holds_back(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        if self.watch.suspects.is_empty() || !self.set_comeback(now, id) {
            return false;
        }
        let Some(open) = self.open.get_mut(&id) else { return false };
        slog::warn!(self.log, "held back"; "id" => &open.run.label,
            "fingerprint" => %open.fingerprint(), "for" => open.comeback);
        let actions = open.flight.refuse(Refusal::EndsTargets);
        self.act(cx, id, actions);
        true
    }

    /// A line when a suspected request is sent on all the same.
    pub(crate) fn note_suspect(&self, now: Millis, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let it = open.fingerprint();
        if self.watch.suspects.standing(now, it) == Standing::Suspect {
            let ended = self.watch.suspects.deaths_of(it).len();
            slog::warn!(self.log, "suspect tried"; "id" => &open.run.label, "fingerprint" => %it,
                "ended" => ended, "attempt" => open.flight.attempt().number);
        }
    }

    /// Records that a target ran a request to its end.
    pub(crate) fn ran_whole(&mut self, id: RequestId) {
        let Some(it) = self.open.get(&id).map(crate::open::Open::fingerprint) else { return };
        if self.watch.suspects.record_completed(clock::now(), it) {
            self.tell_sound(it);
        }
    }

    fn absolve(&mut self, it: Fingerprint) {
        if self.watch.suspects.clear(clock::now(), it) {
            self.tell_sound(it);
        }
    }

    fn tell_sound(&mut self, it: Fingerprint) {
        slog::info!(self.log, "request no longer suspected"; "fingerprint" => %it);
        if self.watch.untold.sound.len() < BACKLOG {
            self.watch.untold.sound.push(it);
        }
    }

    /// Tells the other entries what is new.
    pub(crate) fn tell_suspects(&mut self) {
        let Some(told) = self.watch.next_told() else { return };
        let body = told.body();
        for peer in self.watch.entries() {
            call!([self.mesh], send(peer, body.clone()));
        }
    }
}

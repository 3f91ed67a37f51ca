// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Detection of requests and prompt parts that end their targets, as part of the router: records the
//! ends of targets under requests, exchanges these records with peers, and blocks what is the cause.

use std::collections::BTreeMap;
use std::time::Duration;

use sablepass_core::deaths::{Deaths, Interrupted};
use sablepass_core::fingerprint::{self, Fingerprint};
use sablepass_core::flight::Event;
use sablepass_core::id::{Millis, RequestId};
use sablepass_core::parts::{Block, PartSuspects, PartsDeath};
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_core::suspects::{Change, Death, Standing, Suspects, Trial};
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_wire::generated as wire;
use sablepass_wire::suspects::Evidence;
use stakker::{CX, after, call};

use crate::open::OpenRequest;
use crate::pool::ConnectionKey;
use crate::router::Router;
use crate::trace::Step;

/// Maximum number of deaths, and of cleared requests, in one message. At most one message is sent
/// per [`crate::ticks::TICK_INTERVAL`]: 64 records of about 80 bytes, and 16 for each of some
/// prompt parts, are 10 KB, or 400 KB/s while hundreds of targets end.
const MAX_BATCH: usize = 64;
/// Maximum number of deaths under prompt parts that are sent to an entry when it connects, about
/// 150 bytes each.
const MAX_INITIAL: usize = 2_048;
/// Maximum number of records of each kind that wait to be sent. Further ones are dropped: other
/// entries that observed the same deaths send them.
const MAX_BACKLOG: usize = 4_096;

/// Time after its end for which a target gets no requests: about as long as the instance list takes
/// to show the end. If it takes longer, an attempt is refused and backs the target off again.
const ENDED_BACK_OFF: Millis = 2_000;
/// Delay of the second probe of a target without an agent. The kernel, or a proxy in between,
/// refuses new connections within a tenth of this time after it has closed the established ones; a
/// caller that repeats a request at once needs longer than this.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of probes at once of targets with agents. An agent detects the end of its target
/// within a heartbeat interval, and all ranks of a group interrupt their requests when one of them
/// has ended, so that a few probes are enough and one per rank is not needed.
const PROBE_BURST: u32 = 4;
/// Time after which one more probe is allowed: the heartbeat interval of an agent.
const PROBE_INTERVAL: Millis = 200;

/// Rate limiter of probes.
#[derive(Debug, Default)]
struct ProbeLimiter {
    /// Number of probes of the burst that are used up.
    used: u32,
    /// When `used` was last lowered.
    lowered_at: Millis,
}

impl ProbeLimiter {
    /// Returns whether a probe is allowed now, and counts it if so.
    fn take(&mut self, now: Millis) -> bool {
        let regained = now.saturating_sub(self.lowered_at) / PROBE_INTERVAL;
        if regained > 0 {
            self.used = self.used.saturating_sub(u32::try_from(regained).unwrap_or(u32::MAX));
            self.lowered_at = now;
        }
        let allowed = self.used < PROBE_BURST;
        self.used += u32::from(allowed);
        allowed
    }
}

/// Records of suspected requests and prompt parts, and the peers with which they are exchanged.
#[derive(Default)]
pub struct SuspectTracker {
    pub(crate) suspects: Suspects,
    pub(crate) parts: PartSuspects,
    deaths: Deaths,
    /// Names of the other entries, by connection.
    peers: BTreeMap<PeerKey, String>,
    /// Records that have not been sent to the other entries yet.
    unsent: Evidence,
    probes: ProbeLimiter,
}

impl SuspectTracker {
    /// Connections to other entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = PeerKey> {
        self.peers.keys().copied()
    }

    /// The connection to the entry with this name.
    pub(crate) fn entry(&self, name: &str) -> Option<PeerKey> {
        self.peers.iter().find(|it| it.1 == name).map(|it| *it.0)
    }

    /// Records a connection to another entry. Returns the message with all known deaths for that
    /// entry, if there are any.
    pub(crate) fn peer_connected(&mut self, peer: PeerKey, name: &str) -> Option<Evidence> {
        self.peers.insert(peer, name.to_owned());
        let parts = self.parts.deaths().take(MAX_INITIAL);
        let message = Evidence {
            deaths: request_deaths(self.suspects.deaths()).chain(parts).collect(),
            completed: Vec::new(),
            completed_parts: self.parts.completions().take(MAX_INITIAL).collect(),
        };
        Some(message).filter(|it| !it.is_empty())
    }

    /// Records the end of a connection.
    pub(crate) fn peer_disconnected(&mut self, peer: PeerKey) {
        self.peers.remove(&peer);
    }

    /// The message with the deaths under all that is blocked, which agents store; none if nothing
    /// is blocked.
    pub(crate) fn blocked_message(&self, now: Millis) -> Option<Evidence> {
        let requests = request_deaths(self.suspects.blocked(now));
        let deaths = requests.chain(self.parts.blocked(now)).collect();
        Some(Evidence { deaths, ..Evidence::default() }).filter(|it| !it.is_empty())
    }

    /// Whether nothing is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.parts.is_empty()
    }

    /// Number of suspects evicted since the start because a table was full.
    fn evicted(&self) -> u64 {
        self.suspects.evicted() + self.parts.evicted()
    }

    /// Removes the next message to the other entries from the records that wait to be sent.
    fn next_message(&mut self) -> Option<Evidence> {
        let deaths = self.unsent.deaths.len().min(MAX_BATCH);
        let completed = self.unsent.completed.len().min(MAX_BATCH);
        let parts = self.unsent.completed_parts.len().min(MAX_BATCH);
        let message = Evidence {
            deaths: self.unsent.deaths.drain(..deaths).collect(),
            completed: self.unsent.completed.drain(..completed).collect(),
            completed_parts: self.unsent.completed_parts.drain(..parts).collect(),
        };
        Some(message).filter(|it| !it.is_empty())
    }

    /// Blocked prompt parts as JSON, for operators.
    pub(crate) fn blocked_parts(&self, now: Millis) -> serde_json::Value {
        let line =
            |it: &Block| serde_json::json!({ "part": it.part.to_string(), "held_until": it.until });
        self.parts.blocks(now).iter().map(line).collect()
    }

    /// Suspected requests as JSON, for operators.
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

fn request_deaths<'a>(
    deaths: impl Iterator<Item = (Fingerprint, &'a Death)>,
) -> impl Iterator<Item = PartsDeath> {
    deaths.map(|(it, death)| PartsDeath::of(it, death))
}

impl Router {
    /// Records that a target interrupted an attempt. The target may have ended.
    pub(crate) fn attempt_interrupted(&mut self, cx: CX![], id: RequestId, target: &str) {
        let now = clock::now();
        let Some(open) = self.requests.get(&id) else { return };
        if self.targets.is_leaving(now, target) {
            // A leaving target ends as planned, not because of the request.
            return;
        }
        let death = Death {
            target: target.to_owned(),
            born: self.targets.started_at(target),
            sent: open.sent_at,
            ended: now,
        };
        let interrupted = Interrupted {
            request: id,
            fingerprint: open.fingerprint(),
            parts: open.parts.clone(),
            death,
        };
        match self.watch.deaths.record_interrupted(now, interrupted) {
            Some(ended) => self.target_ended(cx, ended),
            None => self.probe(cx, now, target),
        }
    }

    /// Probes whether a target that interrupted a request still accepts connections. A refusal
    /// proves its end within milliseconds, while the instance list takes seconds.
    fn probe(&mut self, cx: CX![], now: Millis, target: &str) {
        let has_agent = self.targets.members().get(target).is_some_and(|it| it.linked);
        if has_agent && !self.watch.probes.take(now) {
            return;
        }
        if let Some(to) = self.targets.destination(target) {
            self.pool.probe(cx, now, to);
        }
        if !has_agent {
            let target = target.to_owned();
            after!(SECOND_PROBE_DELAY, [cx], probe_again(target));
        }
    }

    /// Probes a target a second time: a process that ends may close its connections before its
    /// listening socket.
    fn probe_again(&mut self, cx: CX![], target: String) {
        let is_pending = self.watch.deaths.is_pending(&target);
        if let Some(to) = self.targets.destination(&target).filter(|_| is_pending) {
            self.pool.probe(cx, clock::now(), to);
        }
    }

    /// Logs that a target accepts connections although it interrupted a request, so that this
    /// interruption is no proof of its end.
    pub(crate) fn log_accepted_probe(&self, key: ConnectionKey) {
        let target = self.pool.target(key).filter(|it| self.watch.deaths.is_pending(it.name));
        if let Some(target) = target {
            slog::info!(self.log, "target accepts connections after an interruption";
                "target" => target.name, "born" => target.started_at);
        }
    }

    /// Records that a target refuses connections: its process has ended.
    pub(crate) fn target_refuses(&mut self, cx: CX![], target: &str) {
        for ended in self.watch.deaths.record_refusal(clock::now(), target) {
            self.target_ended(cx, ended);
        }
    }

    /// Records that the instance list no longer contains a target, or contains a later incarnation.
    pub(crate) fn target_gone(&mut self, cx: CX![], target: &str) {
        for ended in self.watch.deaths.record_gone(clock::now(), target) {
            self.target_ended(cx, ended);
        }
    }

    fn target_ended(&mut self, cx: CX![], ended: Interrupted) {
        let target = ended.death.target.clone();
        self.traces.add(ended.death.ended, ended.request, Step::TargetEnded { target });
        let record = PartsDeath {
            request: ended.fingerprint,
            parts: ended.parts,
            companions: Vec::new(),
            death: ended.death,
        };
        self.record_death(cx, record, None);
    }

    /// Processes the records of suspects that a peer or agent sent.
    pub(crate) fn receive_suspects(&mut self, cx: CX![], peer: PeerKey, message: wire::Suspects) {
        let Ok(records) = Evidence::parse(message) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        for (part, at) in records.completed_parts {
            self.clear_parts(at, &[part]);
        }
        for record in records.deaths {
            self.record_death(cx, record, Some(peer));
        }
        for fingerprint in records.completed {
            self.clear_suspect(fingerprint);
        }
    }

    /// Records that a target ended while running a request, as observed here or reported by `peer`.
    /// Blocks the request or parts of its prompt if that proves them to be the cause.
    fn record_death(&mut self, cx: CX![], record: PartsDeath, peer: Option<PeerKey>) {
        let now = clock::now();
        let evicted = self.watch.evicted();
        let (request, death) = (record.request, &record.death);
        let change = self.watch.suspects.record(now, request, death.clone());
        let parts = self.watch.parts.record(now, &record);
        self.metrics.suspects_evicted.inc_by(self.watch.evicted() - evicted);
        if change == Change::Cleared {
            self.announce_cleared(request);
        }
        self.announce_completed_parts(parts.completed);
        let counts = matches!(change, Change::Counted | Change::Blocked);
        if !counts && !parts.is_new {
            return;
        }
        if self.targets.started_at(&death.target) == death.born {
            // Another entry's clock may be ahead.
            let until = (death.ended + ENDED_BACK_OFF).min(now + ENDED_BACK_OFF);
            self.targets.back_off(&death.target, until);
        }
        let source = if peer.is_some() { "told" } else { "seen" };
        self.metrics.deaths.with_label_values(&[source]).inc();
        slog::warn!(self.log, "target ended under a request"; "fingerprint" => %request,
            "parts" => fingerprint::join(&record.parts), "target" => &death.target,
            "born" => death.born, "request_sent" => death.sent, "ended" => death.ended,
            "source" => source, "held" => change == Change::Blocked);
        for part in &parts.blocked {
            slog::warn!(self.log, "prompt part blocked"; "part" => %part, "target" => &death.target);
        }
        let blocked = parts.blocked.first().copied();
        let blocked = blocked.or((change == Change::Blocked).then_some(request));
        let blocked_parts = if parts.is_blocked { record.parts.clone() } else { Vec::new() };
        if self.watch.unsent.deaths.len() < MAX_BACKLOG {
            self.watch.unsent.deaths.push(record);
        }
        if self.watch.unsent.deaths.len() < MAX_BATCH {
            // Sent at once, since another entry may be about to send a duplicate of the request.
            self.send_suspects();
        }
        if parts.is_blocked || change == Change::Blocked {
            self.fail_blocked(cx, now, request, &blocked_parts);
        }
        if let Some(blocked) = blocked {
            self.store_blocked(now, blocked);
        }
    }

    /// Fails the open requests that are blocked since a target ended under a request: its
    /// duplicates, and requests that share some of these parts with it.
    fn fail_blocked(
        &mut self,
        cx: CX![],
        now: Millis,
        fingerprint: Fingerprint,
        parts: &[Fingerprint],
    ) {
        let request_blocked =
            matches!(self.watch.suspects.standing(now, fingerprint), Standing::Blocked(_));
        let is_blocked = |(id, open): &(&RequestId, &OpenRequest)| {
            let duplicate = request_blocked && open.fingerprint() == fingerprint;
            let shares_part = open.parts.iter().any(|it| parts.contains(it));
            duplicate || shares_part && self.part_block(now, **id, open).is_some()
        };
        let blocked: Vec<RequestId> =
            self.requests.iter().filter(is_blocked).map(|(id, _)| *id).collect();
        for id in blocked {
            self.set_retry_delay(now, id);
            self.handle_event(cx, id, 0, Event::EndsTargets);
        }
    }

    /// Has agents store all that is blocked, for entries that restart. The agents are chosen by the
    /// latest addition.
    fn store_blocked(&self, now: Millis, latest: Fingerprint) {
        let Some(blocked) = self.watch.blocked_message(now) else { return };
        let body = blocked.body();
        for peer in self.targets.replica_agents(&latest.to_string()) {
            call!([self.mesh], send(peer, body.clone()));
        }
    }

    /// Returns the part that forbids sending a request now.
    fn part_block(&self, now: Millis, id: RequestId, open: &OpenRequest) -> Option<Block> {
        let trial = |part: Fingerprint| {
            let is_busy = |(other, it): (&RequestId, &OpenRequest)| {
                *other != id && it.counted_target.is_some() && it.parts.contains(&part)
            };
            Trial {
                expensive: false,
                owner: self.targets.owns(&part.to_string()),
                busy: self.requests.iter().any(is_busy),
            }
        };
        self.watch.parts.block(now, &open.parts, trial)
    }

    /// Sets the retry delay for the caller of a request that is blocked itself or by a part of its
    /// prompt, or is suspected and paused. Returns false if the request may be sent.
    fn set_retry_delay(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else { return false };
        let fingerprint = open.fingerprint();
        let until = match self.watch.suspects.standing(now, fingerprint) {
            Standing::Blocked(until) => Some(until),
            Standing::Suspect => {
                self.watch.suspects.paused_until(now, fingerprint, self.trial(id, open))
            }
            Standing::Clear => None,
        };
        let part = self.part_block(now, id, open);
        let until = until.max(part.map(|it| it.until));
        if let Some(until) = until
            && let Some(open) = self.requests.get_mut(&id)
        {
            open.retry_after = Some(until.saturating_sub(now));
        }
        until.is_some()
    }

    fn trial(&self, id: RequestId, open: &OpenRequest) -> Trial {
        let fingerprint = open.fingerprint();
        let several = self.watch.suspects.deaths_of(fingerprint).len() >= 2;
        let is_duplicate = |(other, duplicate): (&RequestId, &OpenRequest)| {
            *other != id
                && duplicate.counted_target.is_some()
                && duplicate.fingerprint() == fingerprint
        };
        Trial {
            expensive: self.targets.is_single_group(&open.served),
            owner: several && self.targets.owns(&fingerprint.to_string()),
            busy: several && self.requests.iter().any(is_duplicate),
        }
    }

    /// Refuses a request that is blocked, or is suspected and paused. Returns whether it was
    /// refused.
    pub(crate) fn refuse_if_blocked(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        if self.watch.is_empty() || !self.set_retry_delay(now, id) {
            return false;
        }
        let Some(open) = self.requests.get_mut(&id) else { return false };
        slog::warn!(self.log, "request blocked as a suspect"; "id" => &open.run.label,
            "fingerprint" => %open.fingerprint(), "parts" => fingerprint::join(&open.parts),
            "for" => open.retry_after);
        let actions = open.flight.refuse(Refusal::EndsTargets);
        self.apply_actions(cx, id, actions);
        true
    }

    /// Logs a suspected request that is sent.
    pub(crate) fn log_suspect(&self, now: Millis, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let fingerprint = open.fingerprint();
        if self.watch.suspects.standing(now, fingerprint) == Standing::Suspect {
            let ended = self.watch.suspects.deaths_of(fingerprint).len();
            slog::warn!(self.log, "suspected request sent"; "id" => &open.run.label,
                "fingerprint" => %fingerprint, "ended" => ended,
                "attempt" => open.flight.attempt().number);
        }
    }

    /// Records that a target completed a request, which clears the request and the parts of its
    /// prompt if they were suspected.
    pub(crate) fn request_completed(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let (fingerprint, succeeded) = (open.fingerprint(), open.succeeded);
        let now = clock::now();
        if succeeded && !open.parts.is_empty() {
            let parts = open.parts.clone();
            self.clear_parts(now, &parts);
        }
        if self.watch.suspects.record_completed(now, fingerprint) {
            self.announce_cleared(fingerprint);
        }
    }

    /// Records that an answer on these parts completed at any entry.
    fn clear_parts(&mut self, at: Millis, parts: &[Fingerprint]) {
        let cleared = self.watch.parts.record_completed(at, parts);
        for part in &cleared {
            slog::info!(self.log, "prompt part no longer suspected"; "part" => %part);
        }
        self.announce_completed_parts(cleared.into_iter().map(|it| (it, at)));
    }

    /// Adds completed answers on suspected parts to the records for the other entries.
    fn announce_completed_parts(
        &mut self,
        completed: impl IntoIterator<Item = (Fingerprint, Millis)>,
    ) {
        let unsent = &mut self.watch.unsent.completed_parts;
        let room = MAX_BACKLOG.saturating_sub(unsent.len());
        unsent.extend(completed.into_iter().take(room));
    }

    fn clear_suspect(&mut self, fingerprint: Fingerprint) {
        if self.watch.suspects.clear(clock::now(), fingerprint) {
            self.announce_cleared(fingerprint);
        }
    }

    /// Logs that a request is cleared and adds it to the records for the other entries.
    fn announce_cleared(&mut self, fingerprint: Fingerprint) {
        slog::info!(self.log, "request no longer suspected"; "fingerprint" => %fingerprint);
        if self.watch.unsent.completed.len() < MAX_BACKLOG {
            self.watch.unsent.completed.push(fingerprint);
        }
    }

    /// Sends the next records to the other entries.
    pub(crate) fn send_suspects(&mut self) {
        let Some(message) = self.watch.next_message() else { return };
        let body = message.body();
        for peer in self.watch.entries() {
            call!([self.mesh], send(peer, body.clone()));
        }
    }
}

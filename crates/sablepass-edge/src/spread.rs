// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The replica of the platform's declarations and instance list in this process, and the choice of
//! when to read the platform directly. Used by [`crate::mesh`].
//!
//! Both stores are replicated in the same way: a few readers read the platform, and all other
//! processes pull from peers that hold a later revision. Where the platform's instance list names
//! our own processes, a few processes of each hall are readers. Where it does not, entries find
//! each other through seeds: every entry watches the declarations, and only a few read the instance
//! list, because it changes often.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sablepass_core::catalogue::Catalogue;
use sablepass_core::config::verdict::{Check, Verdict};
use sablepass_core::config::{Compare, Delta, Digest, Document, Store, StoreKind};
use sablepass_core::declaration;
use sablepass_core::duty;
use sablepass_core::heartbeat;
use sablepass_core::id::Millis;
use sablepass_core::outage::Availability;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;
use sablepass_wire::convert;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use stakker::{ActorOwn, Core, Fwd, actor_new, call, ret_nop};

use crate::instance::{Instance, Role};
use crate::reader::{self, Form, Read, ReadRequest, Reader};
use crate::settings::Node;
use crate::spread::availability::duration_ms;
use crate::telemetry::Metrics;
use crate::unread::UnreadFields;

mod availability;
mod removals;
mod report;

/// Maximum size of the documents in one delta.
const DELTA_SIZE_BYTES: usize = 512 * 1024;
/// Time after the end of its wait for which an outstanding watch still counts as proof that the
/// service is reachable.
const WATCH_GRACE: Millis = 2_000;
/// Delay before the first retry of a failed read. Doubles up to [`RETRY_MAX`].
const RETRY_FIRST: Millis = 100;
/// Maximum delay before a retry of a failed read: the end of an outage can go unnoticed for this
/// long.
const RETRY_MAX: Millis = 400;
/// Time allowed for a peer to answer a pull: some round trips and the transfer of a large document
/// over a slow link.
const PULL_TIMEOUT: Millis = 250;
/// Minimum time between two reads of the declarations, so that a burst of changes does not cause a
/// burst of calls.
const MIN_WATCH_INTERVAL: Millis = 50;

/// Maximum number of rejected items remembered per service, so that the next full read does not log
/// them again.
const MAX_REJECTED_ITEMS: usize = 1_024;

/// The local replica of one platform service, and the reader that updates it.
struct Source {
    store: Store,
    reader: ActorOwn<Reader>,
    /// Start of the pending call.
    read_started: Option<Millis>,
    /// Time by which a healthy service answers the last call.
    answer_due: Millis,
    /// Whether the last call succeeded with an answer that was not stale.
    healthy: bool,
    /// Consecutive failed calls.
    failures: u32,
    /// The next call must read the full state instead of the changes only.
    full_read: bool,
    /// Rejected items by key, with the revision at which each was last reported.
    rejected: BTreeMap<String, Revision>,
    /// Earliest time of the next call.
    next_call: Millis,
    /// Time and start revision of the last pull. The same pull is not sent to a second peer while
    /// the first one may still answer.
    last_pull: Option<(Millis, Revision)>,
}

impl Source {
    fn open(store: Store, reader: ActorOwn<Reader>, full_read: bool) -> Self {
        Self {
            store,
            reader,
            read_started: None,
            answer_due: 0,
            healthy: false,
            failures: 0,
            full_read,
            rejected: BTreeMap::new(),
            next_call: 0,
            last_pull: None,
        }
    }

    fn start_read(&mut self, now: Millis, wait: Duration) {
        self.read_started = Some(now);
        let wait = if self.full_read { Duration::ZERO } else { wait };
        self.answer_due = now + wait.as_millis() as Millis;
        let request = ReadRequest { after: self.store.revision(), wait, whole: self.full_read };
        call!([self.reader], start(request));
    }

    /// Whether a pull from `after` may be sent now. Records it as sent if so.
    fn may_pull(&mut self, now: Millis, after: Revision) -> bool {
        let pending =
            self.last_pull.is_some_and(|(at, from)| from == after && now < at + PULL_TIMEOUT);
        if !pending {
            self.last_pull = Some((now, after));
        }
        !pending
    }

    /// Counts a failure and returns the time of the retry. Jitter keeps processes that failed
    /// together from retrying together.
    fn next_retry(&mut self, now: Millis) -> Millis {
        self.failures += 1;
        let wait = (RETRY_FIRST << (self.failures - 1).min(8)).min(RETRY_MAX);
        now + wait + rand::random_range(0..=wait / 2)
    }
}

/// Replicas of the declarations and of the instance list, and the state for keeping them current.
pub struct Replication {
    node: Node,
    role: Role,
    log: Logger,
    metrics: Arc<Metrics>,
    declarations: Source,
    list: Source,
    /// The parsed instance list, by name. Lines that do not parse are left out.
    instances: Rc<BTreeMap<String, Instance>>,
    /// Names of all known entries except this process.
    entries: Vec<String>,
    started: Millis,
    /// Last time at which [`Self::shared_service`] is known to have answered any process.
    last_answer: Millis,
    /// When the last digest of an entry arrived.
    last_entry_digest: Millis,
    /// Availability of the instance list's service.
    availability: Availability,
    /// Era named by the last answer of the platform's service.
    era: Option<u64>,
    /// Whether the last answer named an implausible era.
    era_rejected: bool,
    /// Removals not sent to other entries yet.
    unsent_removals: BTreeMap<String, Revision>,
    /// Era of the list in which all removals were last sent.
    removals_sent_era: u64,
    unread: UnreadFields,
}

impl Replication {
    /// Opens empty stores and their readers. The readers send their results to `to`.
    pub fn open(
        core: &mut Core,
        now: Millis,
        (node, role): (&Node, Role),
        log: Logger,
        metrics: Arc<Metrics>,
        to: &Fwd<Read>,
    ) -> Self {
        let form = node.form;
        let check: Check = match form {
            Form::Changes => declaration::check,
            Form::Keys => sablepass_platform::config::check,
        };
        let mut source = |kind, addr: SocketAddr| {
            let reader = actor_new!(core, Reader, ret_nop!());
            call!(
                [reader],
                Reader::init(kind, (form, node.list_cold), addr, metrics.clone(), to.clone())
            );
            Source::open(Store::open_with(kind, check), reader, form == Form::Keys)
        };
        let declarations = source(StoreKind::Declarations, node.platform_addr());
        let list = source(StoreKind::Instances, node.instances_addr());
        Self {
            node: node.clone(),
            role,
            log,
            metrics,
            declarations,
            list,
            instances: Rc::default(),
            entries: Vec::new(),
            started: now,
            last_answer: 0,
            last_entry_digest: now,
            availability: Availability::default(),
            era: None,
            era_rejected: false,
            unsent_removals: BTreeMap::new(),
            removals_sent_era: 0,
            unread: UnreadFields::default(),
        }
    }

    /// Sets the names of the other entries.
    pub fn set_entries(&mut self, entries: Vec<String>) {
        self.entries = entries;
    }

    /// Whether the instance list names entries, which makes seeds unnecessary.
    pub fn lists_entries(&self) -> bool {
        self.instances.values().any(|it| it.role == Role::Entry)
    }

    fn source(&mut self, kind: StoreKind) -> &mut Source {
        match kind {
            StoreKind::Declarations => &mut self.declarations,
            StoreKind::Instances => &mut self.list,
        }
    }

    /// Revision of the declarations in this replica.
    pub fn revision(&self) -> Revision {
        self.declarations.store.revision()
    }

    /// Revision of the instance list in this replica.
    pub fn list_revision(&self) -> Revision {
        self.list.store.revision()
    }

    /// The earliest revision of the list's current era at which any process is known to have read
    /// the list.
    pub fn list_first_read(&self) -> Revision {
        self.list.store.first_read()
    }

    /// Time since [`Self::shared_service`] last answered any process, as far as this process knows.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_answer.max(self.started))
    }

    /// Builds the catalogue of the declarations, and logs and counts the refused ones.
    pub fn catalogue(&self) -> Catalogue {
        let catalogue = Catalogue::build(&self.declarations.store);
        for (key, e) in &catalogue.refused {
            slog::warn!(self.log, "declaration refused"; "key" => key, "error" => %e);
        }
        self.metrics.refused_declarations.set(catalogue.refused.len() as i64);
        catalogue
    }

    /// End of the last outage of the instance list's service; 0 if none is known.
    pub fn recovered_at(&self) -> Millis {
        self.availability.recovered_at()
    }

    /// The instances in the list, by name.
    pub fn instances(&self) -> &Rc<BTreeMap<String, Instance>> {
        &self.instances
    }

    fn parse_instances(&self) -> BTreeMap<String, Instance> {
        let live = self.list.store.documents().filter(|it| !it.removed);
        let parse = |document: &Document| {
            let instance = Instance::parse(&document.newest.body).ok()?;
            Some((
                document.key.clone(),
                Instance { revision: document.newest.revision, ..instance },
            ))
        };
        live.filter_map(parse).collect()
    }

    /// Status of each document as JSON: desired revision, revision in force, and reason for a
    /// refusal.
    pub fn status(&self) -> Vec<serde_json::Value> {
        let catalogue = Catalogue::build(&self.declarations.store);
        let line = |it: &Document| {
            let refused = catalogue.refused.get(&it.key).map(ToString::to_string);
            let verdict = self.declarations.store.verdicts().get(&it.key);
            let force = verdict.and_then(|it| it.force.as_ref());
            let version = force.and_then(|it| it.1.version);
            serde_json::json!({
                "key": it.key, "desired": it.newest.revision.number,
                "era": it.newest.revision.era, "removed": it.removed,
                "in_force": force.map(|it| it.0.number), "version": version, "refused": refused,
            })
        };
        self.declarations.store.documents().map(line).collect()
    }

    // Peers.

    /// The digest that is announced to peers.
    pub fn digest(&self, now: Millis) -> wire::Digest {
        let declarations = self.declarations.store.digest();
        let instances = self.list.store.digest();
        let own = usize::from(self.role == Role::Entry);
        wire::Digest {
            revision: declarations.revision.number,
            hash: declarations.hash,
            age: duration_ms(self.last_answer, now),
            list_revision: instances.revision.number,
            list_hash: instances.hash,
            list_since: instances.since.number,
            era: declarations.revision.era,
            list_era: instances.revision.era,
            list_since_era: instances.since.era,
            list_began: self.list.store.first_read().number,
            list_began_era: self.list.store.first_read().era,
            available: self.available(now),
            short_forms: heartbeat::is_large_fleet(self.entries.len() + own),
        }
    }

    /// Compares a peer's digest with this replica and returns the pulls to send to that peer.
    pub fn compare(&mut self, now: Millis, peer: &wire::Digest) -> Vec<wire::Pull> {
        self.last_answer = self.last_answer.max(now.saturating_sub(Millis::from(peer.age)));
        let declarations = Digest {
            revision: Revision::new(peer.era, peer.revision),
            hash: peer.hash,
            since: Revision::default(),
        };
        let instances = Digest {
            revision: Revision::new(peer.list_era, peer.list_revision),
            hash: peer.list_hash,
            since: Revision::new(peer.list_since_era, peer.list_since),
        };
        let theirs = [(StoreKind::Declarations, declarations), (StoreKind::Instances, instances)];
        let mut pulls = Vec::new();
        let first_read = Revision::new(peer.list_began_era, peer.list_began);
        if self.list.store.observe_first_read(first_read) {
            pulls.push(convert::pull(StoreKind::Instances, &self.list.store.pull(true)));
        }
        for (kind, digest) in theirs {
            if !self.is_replicated(kind) {
                continue;
            }
            let (compare, ignored) = self.source(kind).store.compare(digest);
            if let Some(reason) = ignored {
                self.metrics.ignored(reason);
            }
            if let Compare::Pull(pull) = compare
                && self.source(kind).may_pull(now, pull.after)
            {
                pulls.push(convert::pull(kind, &pull));
            }
        }
        pulls
    }

    /// Versions of the documents in force, as space-separated `key=version` pairs. Documents
    /// without a version number are left out.
    fn versions(&self) -> String {
        let version = |it: &Verdict| it.force.as_ref()?.1.version;
        let all = self.declarations.store.verdicts().iter();
        let numbered = all.filter_map(|(key, it)| Some(format!("{key}={}", version(it)?)));
        numbered.collect::<Vec<String>>().join(" ")
    }

    /// Returns the deltas that answer a peer's pull.
    pub fn deltas(&mut self, request: &wire::Pull) -> Result<Vec<Body>, convert::Error> {
        let (kind, pull) = convert::parse_pull(request)?;
        let deltas = self.source(kind).store.deltas(&pull, DELTA_SIZE_BYTES);
        Ok(deltas.iter().map(|it| convert::delta(kind, it)).collect())
    }

    /// Merges a delta. Returns the kind of store if its documents changed.
    pub fn merge(&mut self, kind: StoreKind, delta: Delta) -> Option<StoreKind> {
        // A revision without documents reaches peers with the next digest.
        let empty = delta.documents.is_empty() && delta.whole.is_none();
        let merged = self.source(kind).store.merge(delta);
        self.report_rejected(kind);
        self.metrics.revision.set(self.revision().number as i64);
        match merged {
            Ok(false) => None,
            Ok(true) if empty => None,
            Ok(true) => {
                self.apply_change(kind);
                Some(kind)
            }
            Err(reason) => {
                self.metrics.ignored(reason);
                None
            }
        }
    }

    /// Updates the state derived from a store whose documents changed.
    fn apply_change(&mut self, kind: StoreKind) {
        if kind == StoreKind::Instances {
            self.instances = Rc::new(self.parse_instances());
            return;
        }
        let revision = self.revision();
        slog::info!(self.log, "configuration in force"; "era" => revision.era,
            "revision" => revision.number, "versions" => self.versions());
    }

    // Platform.

    /// The service that only the chosen readers read. Its answers show all processes how recent
    /// their replicas are.
    fn shared_service(&self) -> StoreKind {
        match self.node.form {
            Form::Changes => StoreKind::Declarations,
            Form::Keys => StoreKind::Instances,
        }
    }

    /// Handles a completed read. Returns the kind of store if its documents changed.
    pub fn read(&mut self, now: Millis, read: Read) -> Option<StoreKind> {
        let kind = read.kind;
        let started = self.source(kind).read_started.take().unwrap_or(now);
        self.record_era(read.era);
        if kind == StoreKind::Instances {
            self.record_availability(now, started, &read.result);
        }
        if let Some(e) = &read.rejected_era {
            self.report_rejected_era(kind, e);
        }
        for field in &read.unread {
            self.unread.record(&self.log, &self.metrics, "platform", field);
        }
        let batch = match read.result {
            Ok(it) => it,
            Err(e) => {
                self.handle_failure(now, kind, &e);
                return None;
            }
        };
        for it in &batch.problems {
            self.report_problem(kind, it);
        }
        let stale = batch.delta.revision < self.source(kind).store.revision();
        self.set_health(kind, !stale, "stale");
        if stale {
            return self.read_stale(now, kind, batch.delta);
        }
        let interval = self.min_interval(kind);
        let source = self.source(kind);
        source.failures = 0;
        source.next_call = now.max(started + interval);
        let mut delta = batch.delta;
        if kind == StoreKind::Instances {
            self.report_overwritten(&delta);
        }
        let source = self.source(kind);
        source.full_read &= delta.whole.is_none();
        source.store.trim(&mut delta);
        let changed = self.merge(kind, delta);
        if kind == self.shared_service() {
            self.last_answer = now;
        }
        if changed.is_some() {
            // There may have been more changes during the call: read again as soon as allowed.
            self.tick(now);
        }
        changed
    }

    /// Handles a read older than the replica. Of a full read of the declarations, documents to
    /// which their operator gave a later version number are still merged.
    fn read_stale(&mut self, now: Millis, kind: StoreKind, delta: Delta) -> Option<StoreKind> {
        let (read, held) = (delta.revision, self.source(kind).store.revision());
        slog::info!(self.log, "stale platform read"; "what" => ?kind, "era" => read.era,
            "revision" => read.number, "held_era" => held.era, "held" => held.number);
        let source = self.source(kind);
        source.next_call = source.next_retry(now);
        if kind == StoreKind::Declarations && delta.whole.is_some() {
            return self.merge(kind, delta);
        }
        self.metrics.ignored(Ignored::OldRevision);
        None
    }

    /// Records the era named by an answer, and logs a change.
    fn record_era(&mut self, era: Option<u64>) {
        let Some(named) = era else { return };
        self.era_rejected = false;
        let before = self.era.replace(named);
        if before == era {
            return;
        }
        slog::info!(self.log, "platform era changed"; "before" => before, "now" => named);
        self.metrics.era.set(i64::try_from(named).unwrap_or(i64::MAX));
    }

    fn handle_failure(&mut self, now: Millis, kind: StoreKind, e: &reader::Error) {
        let source = self.source(kind);
        match e {
            reader::Error::HistoryGone { .. } | reader::Error::Restored { .. } => {
                // Pages that alternate between two eras must not cause calls without a delay.
                let again = std::mem::replace(&mut source.full_read, true);
                source.next_call = if again { source.next_retry(now) } else { now };
                slog::info!(self.log, "full read of the platform required"; "what" => ?kind,
                    "error" => %e);
                return;
            }
            reader::Error::OldEra { .. } => self.metrics.ignored(Ignored::OldRevision),
            _ => {}
        }
        let source = self.source(kind);
        source.next_call = source.next_retry(now);
        slog::debug!(self.log, "platform read failed"; "what" => ?kind, "error" => %e);
        self.set_health(kind, false, &e.to_string());
    }

    /// Minimum time between two calls to a service.
    fn min_interval(&self, kind: StoreKind) -> Millis {
        match (self.node.form, kind) {
            (_, StoreKind::Declarations) => MIN_WATCH_INTERVAL,
            (_, StoreKind::Instances) => self.node.list_every,
        }
    }

    /// Records whether a service is healthy and logs transitions only.
    fn set_health(&mut self, kind: StoreKind, healthy: bool, why: &str) {
        let before = std::mem::replace(&mut self.source(kind).healthy, healthy);
        match (before, healthy) {
            (false, true) => {
                slog::info!(self.log, "platform service available"; "what" => ?kind)
            }
            (true, false) => {
                slog::warn!(self.log, "platform service unavailable"; "what" => ?kind, "why" => why)
            }
            _ => {}
        }
    }

    /// Starts the reads that are due.
    pub fn tick(&mut self, now: Millis) {
        let max_watch = self.node.watch + WATCH_GRACE;
        let shared_service = self.shared_service();
        let source = self.source(shared_service);
        let watching = source.read_started.is_some_and(|at| now < at + max_watch);
        if watching && source.healthy && shared_service == StoreKind::Declarations {
            self.last_answer = now;
        }
        for kind in [StoreKind::Declarations, StoreKind::Instances] {
            let source = self.source(kind);
            let due = source.read_started.is_none() && now >= source.next_call;
            if due && self.should_read(now, kind) {
                let wait = self.max_wait(now, kind);
                self.source(kind).start_read(now, wait);
            }
        }
    }

    /// Maximum time for which the service may hold a call until something changes. Zero until a
    /// first call succeeds, because an empty service would hold the call; also zero for the
    /// instance list in [`Form::Changes`], which is not watched. A process that receives changes
    /// from the readers watches only as a fallback, with the separate time `watch_rest`.
    fn max_wait(&mut self, now: Millis, kind: StoreKind) -> Duration {
        let is_watched = self.node.form == Form::Keys || kind == StoreKind::Declarations;
        let watch = if self.acts_as_reader(now) { self.node.watch } else { self.node.watch_rest };
        let wait = if is_watched && self.source(kind).healthy { watch } else { 0 };
        Duration::from_millis(wait)
    }

    /// Whether this process replicates a store. Agents of listed targets need only a small part of
    /// the declarations, which may be large and change often; entries send them that part.
    fn is_replicated(&self, kind: StoreKind) -> bool {
        !matches!(
            (self.node.form, self.role, kind),
            (Form::Keys, Role::Agent, StoreKind::Declarations)
        )
    }

    /// Whether this process reads a service itself, instead of only pulling from peers.
    fn should_read(&self, now: Millis, kind: StoreKind) -> bool {
        match (self.node.form, self.role, kind) {
            (Form::Changes, _, StoreKind::Declarations) => self.ranks_as_reader(now),
            (Form::Changes, _, StoreKind::Instances) => {
                self.instances.is_empty() || self.ranks_as_reader(now)
            }
            (Form::Keys, Role::Entry, StoreKind::Declarations) => true,
            (Form::Keys, Role::Entry, StoreKind::Instances) => {
                self.instances.is_empty() || self.acts_as_reader(now)
            }
            // Agents are too numerous to read the platform; entries send them what they need.
            (Form::Keys, Role::Agent | Role::Target, _) => false,
        }
    }

    /// Whether this process reads the services itself, as one of the readers or since it hears
    /// nothing of them.
    fn acts_as_reader(&self, now: Millis) -> bool {
        self.is_isolated(now) || self.ranks_as_reader(now)
    }

    /// Whether this process is a reader now. While the service does not answer, a further
    /// substitute joins the readers after each period of `patience`.
    fn ranks_as_reader(&self, now: Millis) -> bool {
        let name = self.node.name.as_str();
        let patience = self.node.patience;
        let options = duty::Options { patience, ..duty::Options::default() };
        let hall = match self.node.form {
            Form::Changes => self.node.hall.as_str(),
            // Readers are chosen among the entries of all halls together.
            Form::Keys => "",
        };
        let mut names: Vec<&str> = match self.node.form {
            Form::Changes => {
                let near = self.instances.iter().filter(|it| it.1.hall == hall && !it.1.leaving);
                near.map(|(name, _)| name.as_str()).collect()
            }
            Form::Keys => {
                let others = self.entries.iter().map(String::as_str);
                others.chain(std::iter::once(name)).collect()
            }
        };
        if names.is_empty() {
            names.push(name);
        }
        duty::is_reader(options, name, hall, &names, self.age(now))
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What a process holds of the platform's two services, and when it reads
//! them itself.
//!
//! Both the declarations and the instance list spread alike: a few readers
//! read, everybody else pulls from peers that hold more. Where the platform
//! lists our own processes, the readers are a few of each hall. Where it does
//! not, entries find each other through seeds: each watches the declarations,
//! and a few of them the list, whose changes are many.

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
use sablepass_core::id::Millis;
use sablepass_core::outage::Outages;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;
use sablepass_wire::convert;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use stakker::{ActorOwn, Core, Fwd, actor_new, call, ret_nop};

use crate::instance::{Instance, Role};
use crate::reader::{self, Batch, Form, Order, Read, Reader};
use crate::settings::Node;
use crate::telemetry::Metrics;
use crate::unread::Unread;

mod removals;
mod report;

/// Bytes of documents in one delta.
const DELTA_SIZE: usize = 512 * 1024;
/// Time beyond its wait after which an outstanding watch no longer counts as good.
const WATCH_GRACE: Millis = 2_000;
/// First wait before a failed read is made again. Doubles up to [`RETRY_LAST`].
const RETRY_FIRST: Millis = 100;
/// Longest wait before a failed read is made again: an outage ends unseen for that long.
const RETRY_LAST: Millis = 800;
/// Time in which a peer answers a pull: some round trips and the transfer of a
/// large document over a slow link.
const PULL_TIME: Millis = 250;
/// Least time between two reads of declarations, so that a burst of changes
/// does not become a burst of calls.
const WATCH_PACE: Millis = 50;

/// Time beyond the wait of a call after which its answer is late: the service, which answers
/// in milliseconds, was away meanwhile.
const LATE: Millis = 500;

/// Items that cannot be taken whose last line is remembered, so that the next
/// read of everything does not repeat it.
const MOST_BAD: usize = 1_024;

/// One service and its reader.
struct Source {
    store: Store,
    reader: ActorOwn<Reader>,
    /// When the call that is under way was ordered.
    ordered: Option<Millis>,
    /// When the last call is answered by a service that is well.
    due: Millis,
    /// Whether the last call succeeded and was not stale.
    good: bool,
    /// Calls that failed in a row.
    failures: u32,
    /// Everything has to be read, not only what changed.
    whole: bool,
    /// Items that could not be taken, with the revision at which that was said.
    bad: BTreeMap<String, Revision>,
    /// When the next call is due.
    next: Millis,
    /// The last pull: when, and from which revision. The same is not asked of
    /// a second peer while the first may still answer.
    pulled: Option<(Millis, Revision)>,
}

impl Source {
    fn open(store: Store, reader: ActorOwn<Reader>, whole: bool) -> Self {
        Self {
            store,
            reader,
            ordered: None,
            due: 0,
            good: false,
            failures: 0,
            whole,
            bad: BTreeMap::new(),
            next: 0,
            pulled: None,
        }
    }

    fn order(&mut self, now: Millis, wait: Duration) {
        self.ordered = Some(now);
        let wait = if self.whole { Duration::ZERO } else { wait };
        self.due = now + wait.as_millis() as Millis;
        let order = Order { after: self.store.revision(), wait, whole: self.whole };
        call!([self.reader], order(order));
    }

    fn may_pull(&mut self, now: Millis, after: Revision) -> bool {
        let waits = self.pulled.is_some_and(|(at, from)| from == after && now < at + PULL_TIME);
        if !waits {
            self.pulled = Some((now, after));
        }
        !waits
    }

    /// When a failed call is made again. Spread, so that processes which
    /// failed together do not come back together.
    fn retry_at(&mut self, now: Millis) -> Millis {
        self.failures += 1;
        let wait = (RETRY_FIRST << (self.failures - 1).min(8)).min(RETRY_LAST);
        now + wait + rand::random_range(0..=wait / 2)
    }
}

/// What is held.
pub struct Spread {
    node: Node,
    role: Role,
    log: Logger,
    metrics: Arc<Metrics>,
    declarations: Source,
    list: Source,
    /// The list as parsed. Lines that do not parse are left out.
    instances: Rc<BTreeMap<String, Instance>>,
    /// Entries that there are, without this process.
    entries: Vec<String>,
    started: Millis,
    /// When the service that readers share the reading of last answered anybody.
    fresh: Millis,
    /// When the service of the instance list was away.
    outages: Outages,
    /// Era of the platform's service, as its last answer names it.
    era: Option<u64>,
    /// Whether the last answer named an era that is not believed.
    doubted: bool,
    /// Removals of which other entries have to be told.
    untold: BTreeMap<String, Revision>,
    /// Era in which all removals were told.
    told_in: u64,
    unread: Unread,
}

impl Spread {
    /// Opens empty stores and their readers, whose reads go to `to`.
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
        let mut source = |what, addr: SocketAddr| {
            let reader = actor_new!(core, Reader, ret_nop!());
            call!([reader], Reader::init(what, form, addr, metrics.clone(), to.clone()));
            Source::open(Store::open_with(what, check), reader, form == Form::Keys)
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
            fresh: 0,
            outages: Outages::open(node.watch),
            era: None,
            doubted: false,
            untold: BTreeMap::new(),
            told_in: 0,
            unread: Unread::default(),
        }
    }

    /// Says which other entries there are.
    pub fn meet(&mut self, entries: Vec<String>) {
        self.entries = entries;
    }

    /// Whether the instance list names entries, so that they are found there.
    pub fn lists_entries(&self) -> bool {
        self.instances.values().any(|it| it.role == Role::Entry)
    }

    fn source(&mut self, what: StoreKind) -> &mut Source {
        match what {
            StoreKind::Declarations => &mut self.declarations,
            StoreKind::Instances => &mut self.list,
        }
    }

    /// Revision of the declarations held.
    pub fn revision(&self) -> Revision {
        self.declarations.store.revision()
    }

    /// Revision of the instance list held.
    pub fn list_revision(&self) -> Revision {
        self.list.store.revision()
    }

    /// The earliest revision of the list's era at which anybody is known to have read it.
    pub fn list_beginning(&self) -> Revision {
        self.list.store.first_read()
    }

    /// Time since the service that readers share the reading of last answered
    /// anybody, as far as this process can have heard of it.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.fresh.max(self.started))
    }

    /// The catalogue of the declarations held, with a line for what is refused.
    pub fn catalogue(&self) -> Catalogue {
        let catalogue = Catalogue::build(&self.declarations.store);
        for (key, e) in &catalogue.refused {
            slog::warn!(self.log, "declaration refused"; "key" => key, "error" => %e);
        }
        catalogue
    }

    /// When the service of the instance list last came back; 0 if it never was away.
    pub fn back(&self) -> Millis {
        self.outages.recovered_at()
    }

    /// The instances listed, by name.
    pub fn instances(&self) -> &Rc<BTreeMap<String, Instance>> {
        &self.instances
    }

    fn parse_instances(&self) -> BTreeMap<String, Instance> {
        let live = self.list.store.documents().filter(|it| !it.removed);
        let parse = |it: &Document| {
            let instance = Instance::parse(&it.newest.body).ok()?;
            Some((it.key.clone(), Instance { revision: it.newest.revision, ..instance }))
        };
        live.filter_map(parse).collect()
    }

    /// Per document what is desired, in force, and refused why.
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

    /// What peers are told.
    pub fn digest(&self, now: Millis) -> wire::Digest {
        let declarations = self.declarations.store.digest();
        let instances = self.list.store.digest();
        wire::Digest {
            revision: declarations.revision.number,
            hash: declarations.hash,
            age: u32::try_from(now.saturating_sub(self.fresh)).unwrap_or(u32::MAX),
            list_revision: instances.revision.number,
            list_hash: instances.hash,
            list_since: instances.since.number,
            era: declarations.revision.era,
            list_era: instances.revision.era,
            list_since_era: instances.since.era,
            list_began: self.list.store.first_read().number,
            list_began_era: self.list.store.first_read().era,
        }
    }

    /// What to ask a peer for, given what it holds.
    pub fn compare(&mut self, now: Millis, it: &wire::Digest) -> Vec<wire::Pull> {
        self.fresh = self.fresh.max(now.saturating_sub(Millis::from(it.age)));
        if self.shared() == StoreKind::Instances {
            self.outages.answered(self.fresh);
        }
        let declarations = Digest {
            revision: Revision::new(it.era, it.revision),
            hash: it.hash,
            since: Revision::default(),
        };
        let instances = Digest {
            revision: Revision::new(it.list_era, it.list_revision),
            hash: it.list_hash,
            since: Revision::new(it.list_since_era, it.list_since),
        };
        let theirs = [(StoreKind::Declarations, declarations), (StoreKind::Instances, instances)];
        let mut pulls = Vec::new();
        let began = Revision::new(it.list_began_era, it.list_began);
        if self.list.store.observe_first_read(began) {
            pulls.push(convert::pull(StoreKind::Instances, &self.list.store.pull(true)));
        }
        for (what, digest) in theirs {
            if !self.is_held(what) {
                continue;
            }
            let (compare, ignored) = self.source(what).store.compare(digest);
            if let Some(reason) = ignored {
                self.metrics.ignored(reason);
            }
            if let Compare::Pull(pull) = compare
                && self.source(what).may_pull(now, pull.after)
            {
                pulls.push(convert::pull(what, &pull));
            }
        }
        pulls
    }

    /// The documents in force that their operators numbered.
    fn versions(&self) -> String {
        let version = |it: &Verdict| it.force.as_ref()?.1.version;
        let all = self.declarations.store.verdicts().iter();
        let numbered = all.filter_map(|(key, it)| Some(format!("{key}={}", version(it)?)));
        numbered.collect::<Vec<String>>().join(" ")
    }

    /// The answer to a peer's pull.
    pub fn deltas(&mut self, it: &wire::Pull) -> Result<Vec<Body>, convert::Error> {
        let (what, pull) = convert::parse_pull(it)?;
        let deltas = self.source(what).store.deltas(&pull, DELTA_SIZE);
        Ok(deltas.iter().map(|it| convert::delta(what, it)).collect())
    }

    /// Takes a delta in. Returns what changed.
    pub fn merge(&mut self, what: StoreKind, it: Delta) -> Option<StoreKind> {
        // A revision that brings no document is known to peers by the next digest.
        let empty = it.documents.is_empty() && it.whole.is_none();
        let merged = self.source(what).store.merge(it);
        self.report_rejected(what);
        self.metrics.revision.set(self.revision().number as i64);
        match merged {
            Ok(false) => None,
            Ok(true) if empty => None,
            Ok(true) => {
                self.note(what);
                Some(what)
            }
            Err(reason) => {
                self.metrics.ignored(reason);
                None
            }
        }
    }

    fn note(&mut self, what: StoreKind) {
        if what == StoreKind::Instances {
            self.instances = Rc::new(self.parse_instances());
            return;
        }
        let revision = self.revision();
        slog::info!(self.log, "configuration in force"; "era" => revision.era,
            "revision" => revision.number, "versions" => self.versions());
    }

    // The platform.

    /// The service of which the readers share the reading.
    fn shared(&self) -> StoreKind {
        match self.node.form {
            Form::Changes => StoreKind::Declarations,
            Form::Keys => StoreKind::Instances,
        }
    }

    /// Takes a read in. Returns what changed.
    pub fn read(&mut self, now: Millis, read: Read) -> Option<StoreKind> {
        let what = read.what;
        let ordered = self.source(what).ordered.take().unwrap_or(now);
        self.note_era(now, read.era);
        if what == StoreKind::Instances {
            self.note_outage(now, &read.result);
        }
        if let Some(e) = &read.doubt {
            self.report_doubt(what, e);
        }
        for field in &read.unread {
            self.unread.note(&self.log, &self.metrics, "platform", field);
        }
        let batch = match read.result {
            Ok(it) => it,
            Err(e) => {
                self.failed(now, what, &e);
                return None;
            }
        };
        for it in &batch.problems {
            self.report_problem(what, it);
        }
        let stale = batch.delta.revision < self.source(what).store.revision();
        self.judge(what, !stale, "stale");
        if stale {
            return self.read_stale(now, what, batch.delta);
        }
        let pace = self.pace(what);
        let source = self.source(what);
        source.failures = 0;
        source.next = now.max(ordered + pace);
        let mut delta = batch.delta;
        let source = self.source(what);
        source.whole &= delta.whole.is_none();
        source.store.trim(&mut delta);
        let changed = self.merge(what, delta);
        if what == self.shared() {
            self.fresh = now;
        }
        if changed.is_some() {
            // More may have changed meanwhile.
            self.tick(now);
        }
        changed
    }

    /// Takes from a read that is older than what is held the documents that their operator
    /// gave a later number.
    fn read_stale(&mut self, now: Millis, what: StoreKind, delta: Delta) -> Option<StoreKind> {
        let (read, held) = (delta.revision, self.source(what).store.revision());
        slog::info!(self.log, "stale read"; "what" => ?what, "era" => read.era,
            "revision" => read.number, "held_era" => held.era, "held" => held.number);
        let source = self.source(what);
        source.next = source.retry_at(now);
        if what == StoreKind::Declarations && delta.whole.is_some() {
            return self.merge(what, delta);
        }
        self.metrics.ignored(Ignored::OldRevision);
        None
    }

    /// Records whether the service of the instance list answered a call, and in time.
    fn note_outage(&mut self, now: Millis, result: &Result<Batch, reader::Error>) {
        let due = now.min(self.list.due);
        match result {
            Ok(_) | Err(reader::Error::History { .. } | reader::Error::Restored { .. }) => {
                if now > due + LATE {
                    self.outages.failed(due);
                }
                self.outages.answered(now);
            }
            Err(_) => self.outages.failed(due),
        }
    }

    /// A line when the service names another era.
    fn note_era(&mut self, now: Millis, era: Option<u64>) {
        let Some(named) = era else { return };
        self.doubted = false;
        let before = self.era.replace(named);
        if before == era {
            return;
        }
        slog::info!(self.log, "platform era"; "before" => before, "now" => named);
        self.metrics.era.set(i64::try_from(named).unwrap_or(i64::MAX));
        if before.is_some() {
            self.outages.restored(now);
        }
    }

    fn failed(&mut self, now: Millis, what: StoreKind, e: &reader::Error) {
        let source = self.source(what);
        match e {
            reader::Error::History { .. } | reader::Error::Restored { .. } => {
                // Pages of two eras in turn must not become calls without a pause.
                let again = std::mem::replace(&mut source.whole, true);
                source.next = if again { source.retry_at(now) } else { now };
                slog::info!(self.log, "platform to be read anew"; "what" => ?what, "error" => %e);
                return;
            }
            reader::Error::Earlier { .. } => self.metrics.ignored(Ignored::OldRevision),
            _ => {}
        }
        let source = self.source(what);
        source.next = source.retry_at(now);
        slog::debug!(self.log, "read failed"; "what" => ?what, "error" => %e);
        self.judge(what, false, &e.to_string());
    }

    /// Least time between two calls.
    fn pace(&self, what: StoreKind) -> Millis {
        match (self.node.form, what) {
            (_, StoreKind::Declarations) => WATCH_PACE,
            (_, StoreKind::Instances) => self.node.list_every,
        }
    }

    /// Records whether a service is good; a line only when that changes.
    fn judge(&mut self, what: StoreKind, good: bool, why: &str) {
        let before = std::mem::replace(&mut self.source(what).good, good);
        match (before, good) {
            (false, true) => slog::info!(self.log, "platform regained"; "what" => ?what),
            (true, false) => slog::warn!(self.log, "platform lost"; "what" => ?what, "why" => why),
            _ => {}
        }
    }

    /// Orders the reads that are due.
    pub fn tick(&mut self, now: Millis) {
        let limit = self.node.watch + WATCH_GRACE;
        let shared = self.shared();
        let source = self.source(shared);
        let waiting = source.ordered.is_some_and(|at| now < at + limit);
        if waiting && source.good && shared == StoreKind::Declarations {
            self.fresh = now;
        }
        for what in [StoreKind::Declarations, StoreKind::Instances] {
            let source = self.source(what);
            let due = source.ordered.is_none() && now >= source.next;
            if due && self.on_duty(now, what) {
                let wait = self.wait(now, what);
                self.source(what).order(now, wait);
            }
        }
    }

    /// How long a call may wait for a change. Until a first one succeeded it
    /// does not wait: an empty service would hold it. The list of the own
    /// form is not watched. Whoever hears of changes from the readers watches
    /// for longer, in case that it does not.
    fn wait(&mut self, now: Millis, what: StoreKind) -> Duration {
        let watched = self.node.form == Form::Keys || what == StoreKind::Declarations;
        let watch = if self.ranks_as_reader(now) { self.node.watch } else { self.node.watch_rest };
        let wait = if watched && self.source(what).good { watch } else { 0 };
        Duration::from_millis(wait)
    }

    /// Whether this process holds a copy of what a service has. Agents beside
    /// listed targets need next to nothing of a configuration that may be large
    /// and change often; entries tell them that.
    fn is_held(&self, what: StoreKind) -> bool {
        !matches!(
            (self.node.form, self.role, what),
            (Form::Keys, Role::Agent, StoreKind::Declarations)
        )
    }

    fn on_duty(&self, now: Millis, what: StoreKind) -> bool {
        match (self.node.form, self.role, what) {
            (Form::Changes, _, StoreKind::Declarations) => self.ranks_as_reader(now),
            (Form::Changes, _, StoreKind::Instances) => {
                self.instances.is_empty() || self.ranks_as_reader(now)
            }
            (Form::Keys, Role::Entry, StoreKind::Declarations) => true,
            (Form::Keys, Role::Entry, StoreKind::Instances) => {
                self.instances.is_empty() || self.ranks_as_reader(now)
            }
            // Agents are many; what they need they get from entries.
            (Form::Keys, Role::Agent | Role::Target, _) => false,
        }
    }

    fn ranks_as_reader(&self, now: Millis) -> bool {
        let me = self.node.name.as_str();
        let patience = self.node.patience;
        let options = duty::Options { patience, ..duty::Options::default() };
        let hall = match self.node.form {
            Form::Changes => self.node.hall.as_str(),
            // A few of all entries together.
            Form::Keys => "",
        };
        let mut names: Vec<&str> = match self.node.form {
            Form::Changes => {
                let near = self.instances.iter().filter(|it| it.1.hall == hall && !it.1.leaving);
                near.map(|(name, _)| name.as_str()).collect()
            }
            Form::Keys => {
                let others = self.entries.iter().map(String::as_str);
                others.chain(std::iter::once(me)).collect()
            }
        };
        if names.is_empty() {
            names.push(me);
        }
        duty::is_reader(options, me, hall, &names, self.age(now))
    }
}

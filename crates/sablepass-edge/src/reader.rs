// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reading one of the platform's services. Nothing is ever written there.
//!
//! The actor makes one call at a time and reports what it gave; when to call
//! is decided by [`crate::spread`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::HeaderMap;
use sablepass_core::config::{Coverage, Delta, Document, StoreKind, Version};
use sablepass_core::revision::Revision;
use sablepass_platform::{self as platform, config, replica, store};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use stakker::{ActorOwn, CX, Fwd, actor_new, call, fwd_to, ret_nop};

use crate::caller::{self, Answer, Call, Caller};
use crate::instance::{Instance, Role};
use crate::telemetry::Metrics;

/// Time beyond the wait of a watch after which a call has failed. The service
/// answers in milliseconds; a slow one is waited for this long.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Longest answer read: documents of up to 1 MiB, some hundred of them.
const ANSWER_LIMIT: usize = 64 << 20;
/// Restores of the store that a process may have missed. An era that is further ahead is
/// not believed: taken by mistake, it would hide every later one.
const MOST_RESTORES: u64 = 10_000;

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There was no whole answer.
    #[snafu(display("call: {source}"))]
    Call {
        /// Why.
        source: caller::Error,
    },
    /// The service refused.
    #[snafu(display("call: status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The service has forgotten what changed after the revision held.
    #[snafu(display("the service has forgotten what changed after revision {after}"))]
    History {
        /// The revision.
        after: u64,
    },
    /// The service was restored from a copy: what changed after the revision held is not
    /// known there.
    #[snafu(display("the service was restored: era {now}, {held} was held"))]
    Restored {
        /// Era of the revision held.
        held: u64,
        /// Era of the answer.
        now: u64,
    },
    /// The answer is from before the service was restored.
    #[snafu(display("the answer is of era {now}, {held} is held"))]
    Earlier {
        /// Era of the revision held.
        held: u64,
        /// Era of the answer.
        now: u64,
    },
    /// The answer is not of the expected shape.
    #[snafu(display("answer: {source}"))]
    Answer {
        /// Why.
        source: serde_json::Error,
    },
    /// The answer of the platform's store does not decode.
    #[snafu(display("answer: {source}"))]
    Platform {
        /// Why.
        source: platform::Error,
    },
}

/// How a service is read.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// `GET /v1/config` and `/v1/instances` with what changed after a revision.
    #[default]
    Changes,
    /// The platform's key-value store: range reads and watches.
    Keys,
}

/// A read to be made.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The revision held.
    pub after: Revision,
    /// How long the service may wait for a change.
    pub wait: Duration,
    /// Everything is to be read, not only what changed.
    pub whole: bool,
}

/// What a read gave.
#[derive(Debug)]
pub struct Batch {
    /// The documents.
    pub delta: Delta,
    /// Items that cannot be taken.
    pub problems: Vec<Problem>,
}

/// A read that ended.
#[derive(Debug)]
pub struct Read {
    /// Of which service.
    pub what: StoreKind,
    /// The service's era, if it answered and named one.
    pub era: Option<u64>,
    /// Why the era that it named is not believed.
    pub doubt: Option<platform::Error>,
    /// Header fields of the answer that nobody reads.
    pub unread: Vec<String>,
    /// What it gave.
    pub result: Result<Batch, Error>,
}

/// The read under way.
struct Reading {
    order: Order,
    /// Items of the pages before, and the revision of the first one.
    pages: Option<(Revision, Vec<store::Change>)>,
}

/// The actor.
pub struct Reader {
    what: StoreKind,
    form: Form,
    owner: Fwd<Read>,
    metrics: Arc<Metrics>,
    caller: ActorOwn<Caller>,
    reading: Option<Reading>,
}

impl Reader {
    /// Opens a reader that has made no call.
    pub fn init(
        cx: CX![],
        what: StoreKind,
        form: Form,
        addr: SocketAddr,
        metrics: Arc<Metrics>,
        owner: Fwd<Read>,
    ) -> Option<Self> {
        let caller = actor_new!(cx, Caller, ret_nop!());
        let answers = fwd_to!([cx], heard() as (Result<Answer, caller::Error>));
        call!([caller], Caller::init(addr, ANSWER_LIMIT, answers));
        Some(Self { what, form, owner, metrics, caller, reading: None })
    }

    /// Makes a read. One that is still under way is given up.
    pub fn order(&mut self, _cx: CX![], order: Order) {
        self.reading = Some(Reading { order, pages: None });
        self.send(order, None);
    }

    fn send(&self, order: Order, page_after: Option<&str>) {
        let call = Call::get(self.path(order, page_after), order.wait + CALL_TIME);
        call!([self.caller], call(call));
    }

    fn path(&self, order: Order, page_after: Option<&str>) -> String {
        let wait = order.wait;
        match (self.form, self.what) {
            (Form::Changes, what) => {
                let name = name(what);
                let wait = wait.as_millis();
                format!("/v1/{name}?after={}&wait_ms={wait}", order.after.number)
            }
            (Form::Keys, what) if order.whole => store::range_path(prefix(what), page_after),
            (Form::Keys, what) => store::watch_path(prefix(what), order.after.number, wait),
        }
    }

    fn heard(&mut self, _cx: CX![], result: Result<Answer, caller::Error>) {
        let Some(reading) = self.reading.take() else { return };
        let held = reading.order.after.era;
        let none = HeaderMap::new();
        let fields = result.as_ref().map_or(&none, |it| &it.fields);
        let (era, doubt) = self.era(held, fields);
        let unread = match self.form {
            Form::Changes => Vec::new(),
            Form::Keys => store::unread(fields).map(str::to_owned).collect(),
        };
        if let Some(result) = self.answered(reading, era.unwrap_or(held), result) {
            self.report(Read { what: self.what, era, doubt, unread, result });
        }
    }

    /// The era that an answer names, or why that is not believed. An answer without one is
    /// of the era held.
    fn era(&self, held: u64, fields: &HeaderMap) -> (Option<u64>, Option<platform::Error>) {
        match (self.form, store::era(fields)) {
            (Form::Changes, _) => (None, None),
            (Form::Keys, Err(e)) => (None, Some(e)),
            (Form::Keys, Ok(Some(era))) if held > 0 && era > held.saturating_add(MOST_RESTORES) => {
                (None, Some(platform::Error::EraJump { held, era }))
            }
            (Form::Keys, Ok(era)) => (era, None),
        }
    }

    /// What an answer of an era gives; none if more pages are to come.
    fn answered(
        &mut self,
        reading: Reading,
        era: u64,
        result: Result<Answer, caller::Error>,
    ) -> Option<Result<Batch, Error>> {
        let order = reading.order;
        let held = order.after.era;
        let Answer { status, body, .. } = match result {
            Ok(it) => it,
            Err(source) => return Some(Err(Error::Call { source })),
        };
        if !order.whole && era > held {
            return Some(Err(Error::Restored { held, now: era }));
        }
        if status == store::HISTORY_GONE {
            return Some(Err(Error::History { after: order.after.number }));
        }
        if status != 200 {
            return Some(Err(Error::Status { status }));
        }
        match self.form {
            Form::Changes => Some(changes(order, &body)),
            Form::Keys if order.whole => match store::page(&body) {
                Ok(page) => self.add_page(reading, era, page),
                Err(source) => Some(Err(Error::Platform { source })),
            },
            Form::Keys if era < held => Some(Err(Error::Earlier { held, now: era })),
            Form::Keys => Some(self.watched(order, &body)),
        }
    }

    /// Takes a page in. The batch, if it was the last; else the next is asked for.
    /// Pages are no snapshot: what changed since the first is watched from there.
    fn add_page(
        &mut self,
        mut reading: Reading,
        era: u64,
        page: store::Page,
    ) -> Option<Result<Batch, Error>> {
        let order = reading.order;
        let last = page.items.last().map(|it| it.key.clone());
        let first = Revision::new(era, page.revision);
        let (revision, items) = reading.pages.get_or_insert((first, Vec::new()));
        if revision.era != era {
            return Some(Err(Error::Restored { held: revision.era, now: era }));
        }
        items.extend(page.items);
        if page.more && last.is_some() {
            self.reading = Some(reading);
            self.send(order, last.as_deref());
            return None;
        }
        let (revision, items) = (*revision, std::mem::take(items));
        Some(Ok(self.batch(true, order.after.min(revision), revision, items)))
    }

    fn watched(&self, order: Order, body: &[u8]) -> Result<Batch, Error> {
        let it = store::changes(body).context(PlatformSnafu)?;
        let revision = Revision::new(order.after.era, it.revision);
        Ok(self.batch(false, order.after, revision, it.changes))
    }

    fn batch(
        &self,
        whole: bool,
        after: Revision,
        revision: Revision,
        changes: Vec<store::Change>,
    ) -> Batch {
        let mut documents = Vec::new();
        let mut problems = Vec::new();
        for it in changes {
            let (it, problem) = document(self.what, revision.era, it);
            documents.push(it);
            problems.extend(problem);
        }
        let whole = whole.then_some(Coverage::All(revision));
        Batch { delta: Delta { after, revision, documents, whole }, problems }
    }

    fn report(&mut self, read: Read) {
        let outcome = if read.result.is_ok() { "ok" } else { "failed" };
        self.metrics.reads.with_label_values(&[name(self.what), outcome]).inc();
        self.owner.fwd(read);
    }
}

fn name(what: StoreKind) -> &'static str {
    match what {
        StoreKind::Declarations => "config",
        StoreKind::Instances => "instances",
    }
}

fn prefix(what: StoreKind) -> &'static str {
    match what {
        StoreKind::Declarations => config::PREFIX,
        StoreKind::Instances => replica::PREFIX,
    }
}

/// An item that cannot be taken, and why.
#[derive(Debug)]
pub struct Problem {
    /// Its key.
    pub key: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Why.
    pub error: platform::Error,
}

/// A store item as a document. Replicas become lines of the instance list; an
/// entry that cannot be taken names none, as if it were gone, after a watch as
/// after a read of everything. A declaration that cannot be read is one that is
/// refused: the last accepted one stays in force.
fn document(what: StoreKind, era: u64, it: store::Change) -> (Document, Option<Problem>) {
    let (key, revision) = (it.key, Revision::new(era, it.revision));
    let body = it.value.and_then(|value| match (what, value) {
        (StoreKind::Instances, Some(text)) => Ok(Some(line(replica::decode(&key, &text)?).text())),
        (_, value) => Ok(value),
    });
    let name = match what {
        StoreKind::Instances => key.trim_start_matches(replica::PREFIX).to_owned(),
        StoreKind::Declarations => key.clone(),
    };
    let (body, problem) = match body {
        Ok(it) => (it, None),
        Err(error) => {
            let refused = (what == StoreKind::Declarations).then(String::new);
            (refused, Some(Problem { key, revision, error }))
        }
    };
    let removed = body.is_none();
    let newest = Version { revision, body: body.unwrap_or_default() };
    (Document { key: name, newest, removed, accepted: None }, problem)
}

fn line(it: replica::Replica) -> Instance {
    Instance {
        role: Role::Target,
        hall: it.hall,
        addr: it.address,
        leaving: it.leaving,
        serves: it.service,
        capacity: it.slots,
        born: it.started_at,
        revision: Revision::default(),
    }
}

/// An answer of the own form: what changed after a revision.
#[derive(Debug, Deserialize)]
struct Changes {
    revision: u64,
    documents: Vec<ChangedDocument>,
}

#[derive(Debug, Deserialize)]
struct ChangedDocument {
    key: String,
    revision: u64,
    #[serde(default)]
    removed: bool,
    #[serde(default)]
    body: String,
}

fn changes(order: Order, body: &[u8]) -> Result<Batch, Error> {
    let it: Changes = serde_json::from_slice(body).context(AnswerSnafu)?;
    let document = |it: ChangedDocument| Document {
        key: it.key,
        newest: Version { revision: it.revision.into(), body: it.body },
        removed: it.removed,
        accepted: None,
    };
    let documents = it.documents.into_iter().map(document).collect();
    let revision = it.revision.into();
    let delta = Delta { after: order.after, revision, documents, whole: None };
    Ok(Batch { delta, problems: Vec::new() })
}

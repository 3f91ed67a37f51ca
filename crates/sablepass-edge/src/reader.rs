// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reads one of the platform's services. Nothing is ever written there.
//!
//! The actor makes one call at a time and reports its result; [`crate::spread`] decides when to
//! call.

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

/// Time after the wait of a watch at which the call fails. The service normally answers in
/// milliseconds; the rest allows for a slow one.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of an answer: some hundred documents of up to 1 MiB.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Maximum number of restores of the store that this process may have missed. A larger step of the
/// era is rejected: if it were accepted by mistake, all correct later eras would look old.
const MAX_MISSED_RESTORES: u64 = 10_000;

/// Error of a read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No complete answer arrived.
    #[snafu(display("call: {source}"))]
    Call {
        /// Underlying error.
        source: caller::Error,
    },
    /// The service answered with an error status.
    #[snafu(display("call: HTTP status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The service no longer has the changes after the revision of the replica, so that a full read
    /// is required.
    #[snafu(display(
        "service no longer has the changes after revision {after}; a full read is required"
    ))]
    HistoryGone {
        /// Revision number of the replica.
        after: u64,
    },
    /// The service was restored from a backup. Changes after the revision of the replica are not
    /// known there.
    #[snafu(display("service was restored from a backup: era {now} follows era {held}"))]
    Restored {
        /// Era of the replica.
        held: u64,
        /// Era of the answer.
        now: u64,
    },
    /// The answer is of an era from before the service was restored.
    #[snafu(display("answer of era {now} is older than era {held} of the replica"))]
    OldEra {
        /// Era of the replica.
        held: u64,
        /// Era of the answer.
        now: u64,
    },
    /// The answer is not JSON of the expected shape.
    #[snafu(display("answer: {source}"))]
    Answer {
        /// Underlying error.
        source: serde_json::Error,
    },
    /// The answer of the platform's store cannot be decoded.
    #[snafu(display("answer: {source}"))]
    Platform {
        /// Underlying error.
        source: platform::Error,
    },
}

impl Error {
    /// Whether no answer arrived in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Call { source: caller::Error::Timeout })
    }
}

/// Protocol by which the platform's services are read.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// `GET /v1/config` and `GET /v1/instances`, which return the changes after a revision.
    #[default]
    Changes,
    /// Range reads and watches of the platform's key-value store.
    Keys,
}

/// Parameters of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// Revision of the replica.
    pub after: Revision,
    /// Maximum time for which the service may hold the call until something changes.
    pub wait: Duration,
    /// Read the full state instead of the changes only.
    pub whole: bool,
}

/// Content of a successful read.
#[derive(Debug)]
pub struct Batch {
    /// The documents read.
    pub delta: Delta,
    /// Rejected items.
    pub problems: Vec<Problem>,
}

/// Outcome of a read.
#[derive(Debug)]
pub struct Read {
    /// The service that was read.
    pub kind: StoreKind,
    /// Era of the service, if an answer named one.
    pub era: Option<u64>,
    /// The reason why the era in the answer was rejected.
    pub rejected_era: Option<platform::Error>,
    /// Header fields of the answer that this program does not interpret.
    pub unread: Vec<String>,
    /// The content read, or the error.
    pub result: Result<Batch, Error>,
}

/// A read that has not finished.
struct PendingRead {
    request: ReadRequest,
    /// Lowest revision of the pages so far, and their items.
    pages: Option<(Revision, Vec<store::Change>)>,
}

/// Actor that reads one service.
pub struct Reader {
    kind: StoreKind,
    form: Form,
    /// Whether lines state how long a target is cold.
    list_cold: bool,
    owner: Fwd<Read>,
    metrics: Arc<Metrics>,
    caller: ActorOwn<Caller>,
    pending: Option<PendingRead>,
}

impl Reader {
    /// Creates a reader, which makes its first call when [`Self::start`] is called.
    pub fn init(
        cx: CX![],
        kind: StoreKind,
        (form, list_cold): (Form, bool),
        addr: SocketAddr,
        metrics: Arc<Metrics>,
        owner: Fwd<Read>,
    ) -> Option<Self> {
        let caller = actor_new!(cx, Caller, ret_nop!());
        let answers = fwd_to!([cx], handle_answer() as (Result<Answer, caller::Error>));
        call!([caller], Caller::init(addr, MAX_ANSWER_BYTES, answers));
        Some(Self { kind, form, list_cold, owner, metrics, caller, pending: None })
    }

    /// Starts a read. A pending one is abandoned.
    pub fn start(&mut self, _cx: CX![], request: ReadRequest) {
        self.pending = Some(PendingRead { request, pages: None });
        self.send(request, None);
    }

    fn send(&self, request: ReadRequest, page_after: Option<&str>) {
        let call = Call::get(self.path(request, page_after), request.wait + CALL_TIMEOUT);
        call!([self.caller], call(call));
    }

    fn path(&self, request: ReadRequest, page_after: Option<&str>) -> String {
        let wait = request.wait;
        match (self.form, self.kind) {
            (Form::Changes, kind) => {
                let label = service_label(kind);
                let wait = wait.as_millis();
                format!("/v1/{label}?after={}&wait_ms={wait}", request.after.number)
            }
            (Form::Keys, kind) if request.whole => store::range_path(prefix(kind), page_after),
            (Form::Keys, kind) => store::watch_path(prefix(kind), request.after.number, wait),
        }
    }

    fn handle_answer(&mut self, _cx: CX![], result: Result<Answer, caller::Error>) {
        let Some(pending) = self.pending.take() else { return };
        let held = pending.request.after.era;
        let none = HeaderMap::new();
        let fields = result.as_ref().map_or(&none, |it| &it.fields);
        let (era, rejected_era) = self.era(held, fields);
        let unread = match self.form {
            Form::Changes => Vec::new(),
            Form::Keys => store::unread(fields).map(str::to_owned).collect(),
        };
        if let Some(result) = self.process_answer(pending, era.unwrap_or(held), result) {
            self.report(Read { kind: self.kind, era, rejected_era, unread, result });
        }
    }

    /// The era named by an answer, or the error if that is malformed or implausible. An answer
    /// without an era counts as one of the replica's era.
    fn era(&self, held: u64, fields: &HeaderMap) -> (Option<u64>, Option<platform::Error>) {
        match (self.form, store::era(fields)) {
            (Form::Changes, _) => (None, None),
            (Form::Keys, Err(e)) => (None, Some(e)),
            (Form::Keys, Ok(Some(era)))
                if held > 0 && era > held.saturating_add(MAX_MISSED_RESTORES) =>
            {
                (None, Some(platform::Error::EraJump { held, era }))
            }
            (Form::Keys, Ok(era)) => (era, None),
        }
    }

    /// Turns an answer into the result of the read. Returns `None` if more pages follow.
    fn process_answer(
        &mut self,
        pending: PendingRead,
        era: u64,
        result: Result<Answer, caller::Error>,
    ) -> Option<Result<Batch, Error>> {
        let request = pending.request;
        let held = request.after.era;
        let Answer { status, body, .. } = match result {
            Ok(it) => it,
            Err(source) => return Some(Err(Error::Call { source })),
        };
        if !request.whole && era > held {
            return Some(Err(Error::Restored { held, now: era }));
        }
        if status == store::HISTORY_GONE {
            return Some(Err(Error::HistoryGone { after: request.after.number }));
        }
        if status != 200 {
            return Some(Err(Error::Status { status }));
        }
        match self.form {
            Form::Changes => Some(parse_changes(request, &body)),
            Form::Keys if request.whole => match store::page(&body) {
                Ok(page) => self.add_page(pending, era, page),
                Err(source) => Some(Err(Error::Platform { source })),
            },
            Form::Keys if era < held => Some(Err(Error::OldEra { held, now: era })),
            Form::Keys => Some(self.parse_watch(request, &body)),
        }
    }

    /// Adds a page. Returns the batch after the last one; otherwise requests the next page. The
    /// pages are not a snapshot, so the next watch starts at their lowest revision to receive the
    /// changes made in between. That is the first page's revision, unless a later page was answered
    /// from an older state, which does not show that newer items are gone.
    fn add_page(
        &mut self,
        mut pending: PendingRead,
        era: u64,
        page: store::Page,
    ) -> Option<Result<Batch, Error>> {
        let request = pending.request;
        let last = page.items.iter().rev().find(|it| !it.key.is_empty());
        let last = last.map(|it| it.key.clone());
        let read = Revision::new(era, page.revision);
        let (revision, items) = pending.pages.get_or_insert((read, Vec::new()));
        if revision.era != era {
            return Some(Err(Error::Restored { held: revision.era, now: era }));
        }
        *revision = read.min(*revision);
        items.extend(page.items);
        if page.more && last.is_some() {
            self.pending = Some(pending);
            self.send(request, last.as_deref());
            return None;
        }
        let (revision, items) = (*revision, std::mem::take(items));
        Some(Ok(self.batch(true, request.after.min(revision), revision, items)))
    }

    fn parse_watch(&self, request: ReadRequest, body: &[u8]) -> Result<Batch, Error> {
        let watch = store::changes(body).context(PlatformSnafu)?;
        let revision = Revision::new(request.after.era, watch.revision);
        Ok(self.batch(false, request.after, revision, watch.changes))
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
        for change in changes {
            let has_key = !change.key.is_empty();
            let (document, problem) = to_document(self.kind, self.list_cold, revision.era, change);
            documents.extend(has_key.then_some(document));
            problems.extend(problem);
        }
        let whole = whole.then_some(Coverage::All(revision));
        Batch { delta: Delta { after, revision, documents, whole }, problems }
    }

    fn report(&mut self, read: Read) {
        let outcome = if read.result.is_ok() { "ok" } else { "failed" };
        self.metrics.reads.with_label_values(&[service_label(self.kind), outcome]).inc();
        self.owner.fwd(read);
    }
}

fn service_label(kind: StoreKind) -> &'static str {
    match kind {
        StoreKind::Declarations => "config",
        StoreKind::Instances => "instances",
    }
}

fn prefix(kind: StoreKind) -> &'static str {
    match kind {
        StoreKind::Declarations => config::PREFIX,
        StoreKind::Instances => replica::PREFIX,
    }
}

/// An item that was rejected.
#[derive(Debug)]
pub struct Problem {
    /// Key of the item.
    pub key: String,
    /// Revision of the item's last change.
    pub revision: Revision,
    /// Underlying error.
    pub error: platform::Error,
}

/// Converts an item of the store into a document. Replicas become lines of the instance list. A
/// replica that cannot be decoded is treated as removed, after a watch as well as after a full
/// read. A declaration that cannot be decoded becomes a refused one: the last accepted version
/// stays in force. Evacuations need no decoding.
fn to_document(
    kind: StoreKind,
    list_cold: bool,
    era: u64,
    change: store::Change,
) -> (Document, Option<Problem>) {
    let (key, revision) = (change.key, Revision::new(era, change.revision));
    let body = change.value.and_then(|value| match (kind, value) {
        (StoreKind::Instances, Some(text)) => {
            Ok(Some(list_line(replica::decode(&key, &text)?, list_cold).text()))
        }
        (_, value) => Ok(value),
    });
    let name = match kind {
        StoreKind::Instances => key.trim_start_matches(replica::PREFIX).to_owned(),
        StoreKind::Declarations => key.clone(),
    };
    let (body, problem) = match body {
        Ok(it) => (it, None),
        Err(error) => {
            let refused = (kind == StoreKind::Declarations).then(String::new);
            (refused, Some(Problem { key, revision, error }))
        }
    };
    let removed = body.is_none();
    let newest = Version { revision, body: body.unwrap_or_default() };
    (Document { key: name, newest, removed, accepted: None }, problem)
}

fn list_line(replica: replica::Replica, list_cold: bool) -> Instance {
    Instance {
        role: Role::Target,
        hall: replica.hall,
        addr: replica.address,
        leaving: replica.leaving,
        serves: replica.service,
        capacity: replica.slots,
        born: replica.started_at,
        cold: if list_cold { replica.cold } else { 0 },
        revision: Revision::default(),
    }
}

/// Answer in [`Form::Changes`]: the changes after a revision.
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

fn parse_changes(request: ReadRequest, body: &[u8]) -> Result<Batch, Error> {
    let changes: Changes = serde_json::from_slice(body).context(AnswerSnafu)?;
    let document = |it: ChangedDocument| Document {
        key: it.key,
        newest: Version { revision: it.revision.into(), body: it.body },
        removed: it.removed,
        accepted: None,
    };
    let documents = changes.documents.into_iter().map(document).collect();
    let revision = changes.revision.into();
    let delta = Delta { after: request.after, revision, documents, whole: None };
    Ok(Batch { delta, problems: Vec::new() })
}

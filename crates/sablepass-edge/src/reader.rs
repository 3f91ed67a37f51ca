// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reading one of the platform's services. Nothing is ever written there.
//!
//! The actor makes one call at a time and reports what it gave; when to call
//! is decided by [`crate::spread`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use sablepass_core::config::{Delta, Document, Version, What};
use sablepass_platform::{config, replica, store};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use stakker::{ActorOwn, CX, Fwd, actor_new, after, call, fwd_to, ret_nop};

use crate::client::{self, Connection, Outgoing};
use crate::instance::{Instance, Role};
use crate::telemetry::Metrics;

/// Time beyond the wait of a watch after which a call has failed. The service
/// answers in milliseconds; a slow one is waited for this long.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Longest answer read: documents of up to 1 MiB, some hundred of them.
const ANSWER_LIMIT: usize = 64 << 20;

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection ended before the answer was whole.
    #[snafu(display("call: {source}"))]
    Call {
        /// Why.
        source: client::Cause,
    },
    /// No answer in time.
    #[snafu(display("call: no answer in time"))]
    Time,
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
    /// The answer is too long.
    #[snafu(display("answer: longer than {ANSWER_LIMIT} bytes"))]
    TooLong,
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
        source: sablepass_platform::Error,
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
    pub after: u64,
    /// How long the service may wait for a change.
    pub wait: Duration,
    /// Everything is to be read, not only what changed.
    pub whole: bool,
}

/// What a read gave.
#[derive(Debug)]
pub struct Batch {
    /// It is everything that there is.
    pub whole: bool,
    /// The documents.
    pub delta: Delta,
    /// Items that did not decode. What is held of them stays.
    pub problems: Vec<sablepass_platform::Error>,
}

/// A read that ended.
#[derive(Debug)]
pub struct Read {
    /// Of which service.
    pub what: What,
    /// What it gave.
    pub result: Result<Batch, Error>,
}

/// The read under way.
struct Call {
    number: u64,
    order: Order,
    status: u16,
    body: Vec<u8>,
    /// Items of the pages before, and the revision of the first one.
    pages: Option<(u64, Vec<store::Change>)>,
}

/// The actor.
pub struct Reader {
    what: What,
    form: Form,
    addr: SocketAddr,
    owner: Fwd<Read>,
    metrics: Arc<Metrics>,
    connection: Option<ActorOwn<Connection>>,
    /// Counts connections, so that a late event of an old one is known.
    opened: u64,
    call: Option<Call>,
    calls: u64,
}

impl Reader {
    /// Opens a reader that has made no call.
    pub fn init(
        _cx: CX![],
        what: What,
        form: Form,
        addr: SocketAddr,
        metrics: Arc<Metrics>,
        owner: Fwd<Read>,
    ) -> Option<Self> {
        let (connection, call) = (None, None);
        Some(Self { what, form, addr, owner, metrics, connection, opened: 0, call, calls: 0 })
    }

    /// Makes a read. One that is still under way is given up.
    pub fn order(&mut self, cx: CX![], order: Order) {
        if self.call.is_some() {
            self.connection = None;
        }
        self.calls += 1;
        let number = self.calls;
        self.call = Some(Call { number, order, status: 0, body: Vec::new(), pages: None });
        self.send(cx, None);
    }

    fn send(&mut self, cx: CX![], page_after: Option<String>) {
        let Some(call) = &self.call else { return };
        let path = self.path(call.order, page_after.as_deref());
        let (number, wait) = (call.number, call.order.wait);
        let mut head = http::Request::new(());
        match path.parse() {
            Ok(uri) => *head.uri_mut() = uri,
            Err(_) => {
                self.fail(Error::Status { status: 0 });
                return;
            }
        }
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            head.headers_mut().insert(header::HOST, host);
        }
        if self.connection.is_none() {
            self.connect(cx);
        }
        if let Some(it) = &self.connection {
            call!([it], send(Outgoing { head, body: Vec::new(), echo: None }));
        }
        after!(wait + CALL_TIME, [cx], check_time(number));
    }

    fn connect(&mut self, cx: CX![]) {
        self.opened += 1;
        let opened = self.opened;
        let events = fwd_to!([cx], |this, cx, it: client::Event| this.event(cx, opened, it));
        let connection = actor_new!(cx, Connection, ret_nop!());
        let options = client::Options::default();
        call!([connection], Connection::init(self.addr, options, events));
        self.connection = Some(connection);
    }

    fn path(&self, order: Order, page_after: Option<&str>) -> String {
        let wait = order.wait;
        match (self.form, self.what) {
            (Form::Changes, what) => {
                let name = name(what);
                let wait = wait.as_millis();
                format!("/v1/{name}?after={}&wait_ms={wait}", order.after)
            }
            (Form::Keys, what) if order.whole => store::range_path(prefix(what), page_after),
            (Form::Keys, what) => store::watch_path(prefix(what), order.after, wait),
        }
    }

    fn check_time(&mut self, _cx: CX![], number: u64) {
        if self.call.as_ref().is_some_and(|it| it.number == number) {
            self.connection = None;
            self.fail(Error::Time);
        }
    }

    fn event(&mut self, cx: CX![], opened: u64, event: client::Event) {
        if opened != self.opened {
            return;
        }
        match event {
            client::Event::Head(head) => {
                if let Some(call) = &mut self.call {
                    call.status = head.status().as_u16();
                }
            }
            client::Event::Bytes(bytes) => {
                let Some(call) = &mut self.call else { return };
                call.body.extend_from_slice(&bytes);
                if call.body.len() > ANSWER_LIMIT {
                    self.connection = None;
                    self.fail(Error::TooLong);
                }
            }
            client::Event::End { reusable, .. } => {
                if !reusable {
                    self.connection = None;
                }
                self.answered(cx);
            }
            client::Event::Closed { cause, .. } => {
                self.connection = None;
                self.fail(Error::Call { source: cause });
            }
        }
    }

    fn answered(&mut self, cx: CX![]) {
        let Some(mut call) = self.call.take() else { return };
        let body = std::mem::take(&mut call.body);
        let (status, order) = (call.status, call.order);
        if status == store::HISTORY_GONE {
            self.fail(Error::History { after: order.after });
            return;
        }
        if status != 200 {
            self.fail(Error::Status { status });
            return;
        }
        let result = match self.form {
            Form::Changes => changes(order, &body),
            Form::Keys if order.whole => match store::page(&body) {
                Ok(page) => match self.add_page(cx, call, page) {
                    Some(it) => Ok(it),
                    None => return,
                },
                Err(source) => Err(Error::Platform { source }),
            },
            Form::Keys => self.watched(order, &body),
        };
        match result {
            Ok(it) => self.report(Ok(it)),
            Err(e) => self.fail(e),
        }
    }

    /// Takes a page in. The batch, if it was the last; else the next is asked for.
    /// Pages are no snapshot: what changed since the first is watched from there.
    fn add_page(&mut self, cx: CX![], mut call: Call, page: store::Page) -> Option<Batch> {
        let last = page.items.last().map(|it| it.key.clone());
        let (revision, items) = call.pages.get_or_insert((page.revision, Vec::new()));
        items.extend(page.items);
        if page.more && last.is_some() {
            self.call = Some(call);
            self.send(cx, last);
            return None;
        }
        let (revision, items) = (*revision, std::mem::take(items));
        Some(self.batch(true, call.order.after.min(revision), revision, items))
    }

    fn watched(&self, order: Order, body: &[u8]) -> Result<Batch, Error> {
        let it = store::changes(body).context(PlatformSnafu)?;
        Ok(self.batch(false, order.after, it.revision, it.changes))
    }

    fn batch(&self, whole: bool, after: u64, revision: u64, changes: Vec<store::Change>) -> Batch {
        let mut documents = Vec::new();
        let mut problems = Vec::new();
        for it in changes {
            match document(self.what, it) {
                Ok(it) => documents.push(it),
                Err(e) => problems.push(e),
            }
        }
        Batch { whole, delta: Delta { after, revision, documents }, problems }
    }

    fn fail(&mut self, e: Error) {
        self.report(Err(e));
    }

    fn report(&mut self, result: Result<Batch, Error>) {
        self.call = None;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        self.metrics.reads.with_label_values(&[name(self.what), outcome]).inc();
        self.owner.fwd(Read { what: self.what, result });
    }
}

fn name(what: What) -> &'static str {
    match what {
        What::Declarations => "config",
        What::Instances => "instances",
    }
}

fn prefix(what: What) -> &'static str {
    match what {
        What::Declarations => config::PREFIX,
        What::Instances => replica::PREFIX,
    }
}

/// A store item as a document. Replicas become lines of the instance list.
fn document(what: What, it: store::Change) -> Result<Document, sablepass_platform::Error> {
    let (key, body) = match (what, &it.value) {
        (What::Instances, Some(value)) => {
            let replica = replica::decode(&it.key, value)?;
            (replica.id.clone(), line(replica).text())
        }
        (What::Instances, None) => {
            (it.key.trim_start_matches(replica::PREFIX).to_owned(), String::new())
        }
        (What::Declarations, _) => (it.key.clone(), it.value.clone().unwrap_or_default()),
    };
    let newest = Version { revision: it.revision, body };
    Ok(Document { key, newest, removed: it.value.is_none(), accepted: None })
}

fn line(it: replica::Replica) -> Instance {
    Instance {
        role: Role::Target,
        hall: it.hall,
        addr: it.address,
        leaving: it.leaving,
        serves: it.service,
        capacity: it.slots,
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
        newest: Version { revision: it.revision, body: it.body },
        removed: it.removed,
        accepted: None,
    };
    let documents = it.documents.into_iter().map(document).collect();
    let delta = Delta { after: order.after, revision: it.revision, documents };
    Ok(Batch { whole: false, delta, problems: Vec::new() })
}

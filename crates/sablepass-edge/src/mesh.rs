// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The connections of a process to other processes, over which configuration is replicated.
//!
//! Every process accepts connections and dials a few processes: those that its owner requires, and
//! some peers chosen by rendezvous hashing in its own hall and in others. Both sides of a
//! connection send a digest of their state every second and after each change; a peer that is
//! behind pulls. The state itself is kept in [`crate::spread`].

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use sablepass_core::catalogue::Catalogue;
use sablepass_core::id::{Incarnation, Millis};
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use slog::Logger;
use snafu::{ResultExt, Snafu};
use stakker::{ActorOwn, CX, Fwd, actor_new, after, call, fwd_to, ret_nop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::clock;
use crate::dial::{self, AddrSource, Endpoint};
use crate::instance::{Instance, Role};
use crate::link::{self, Link};
use crate::reader;
use crate::settings;
use crate::spread::Replication;
use crate::telemetry::Metrics;

mod held;

/// Maximum delay before a failed connection is dialled again.
const REDIAL_MAX: Millis = 2_000;
/// Time without incoming messages after which a replication connection is closed.
const SILENCE_TIMEOUT: Millis = 5_000;
/// Factor by which digests are rarer, and the silence timeout is longer, on connections that were
/// dialled for requests only. An entry has an order of magnitude more of these than of replication
/// connections.
const REQUEST_LINK_FACTOR: u64 = 10;
/// Number of connections, in both directions, from which on no more are accepted.
const MAX_PEERS: usize = 4_096;
/// Maximum number of accepted connections whose peers have not introduced themselves.
const MAX_STRANGERS: usize = 256;
/// Maximum number of connections that are accepted before other events are processed.
const ACCEPTS_PER_TURN: usize = 64;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;

/// Error of opening a mesh.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        /// The listening address.
        addr: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
}

/// Identifies one connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerKey(u64);

/// Data from the `Hello` message of a peer.
#[derive(Clone, Debug)]
pub struct Introduction {
    /// Name of the peer.
    pub name: String,
    /// Role of the peer, as in [`Role::name`].
    pub role: String,
    /// Data hall of the peer.
    pub hall: String,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Name of the endpoint, if this process dialled the connection.
    pub dialled: Option<String>,
    /// Number of bytes that wait to be written on the connection.
    pub unsent: Arc<AtomicUsize>,
}

/// A process to which the owner requires a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequiredPeer {
    /// The instance with this name in the instance list.
    Named(String),
    /// The process at this address; its name is not checked.
    At(SocketAddr),
}

impl RequiredPeer {
    /// Name of the endpoint, as in [`Introduction::dialled`].
    pub fn endpoint(&self) -> String {
        match self {
            Self::Named(it) => it.clone(),
            Self::At(it) => it.to_string(),
        }
    }
}

/// Events that the mesh reports to its owner.
#[derive(Debug)]
pub enum Event {
    /// A peer has introduced itself on a connection.
    Up(PeerKey, Introduction),
    /// A connection on which a peer had introduced itself is closed.
    Down(PeerKey),
    /// A message that the mesh does not handle itself.
    Message(PeerKey, Body),
    /// New declarations were merged.
    Config(Rc<Catalogue>),
    /// The instance list changed.
    Instances(Listing),
    /// Names of the known entries except this process.
    Entries(Vec<String>),
}

/// State of the instance list.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The instances, by name.
    pub instances: Rc<BTreeMap<String, Instance>>,
    /// Revision of the list.
    pub revision: Revision,
    /// The earliest revision of the list's current era at which any process read the list. Lines
    /// with a later revision do not come from a restored backup.
    pub first_read: Revision,
    /// End of the last outage of the list's service; 0 if none is known.
    pub recovered_at: Millis,
}

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Settings of the process as a node.
    pub node: settings::Node,
    /// Role of the process.
    pub role: Role,
    /// Random number chosen when the process starts.
    pub incarnation: Incarnation,
}

impl Identity {
    /// Creates the identity of a process that has just started.
    pub fn open(node: settings::Node, role: Role) -> Self {
        Self { node, role, incarnation: Incarnation(rand::random()) }
    }
}

struct Peer {
    link: ActorOwn<Link>,
    unsent: Arc<AtomicUsize>,
    introduction: Option<Introduction>,
    /// Name of the endpoint, if this process dialled the connection.
    endpoint: Option<String>,
    /// Whether either side dialled the connection for replication.
    for_replication: bool,
    last_received: Millis,
    revision: Revision,
    /// Entries to which the peer reported connections.
    entries: Vec<String>,
}

impl Peer {
    /// Name of the peer, if it is an entry.
    fn entry_name(&self) -> Option<&String> {
        let introduction = self.introduction.as_ref()?;
        (introduction.role == Role::Entry.name()).then_some(&introduction.name)
    }
}

/// Actor that owns the connections of a process.
pub struct Mesh {
    pub(crate) node: settings::Node,
    role: Role,
    incarnation: Incarnation,
    log: Logger,
    metrics: Arc<Metrics>,
    owner: Fwd<Event>,
    listener: MioSource<TcpListener>,
    addr: SocketAddr,
    peers: HashMap<PeerKey, Peer>,
    next_peer: u64,
    /// Whether the set of connected entries has changed since it was last sent to peers.
    entries_changed: bool,
    pub(crate) endpoints: BTreeMap<String, Endpoint>,
    pub(crate) required: Vec<RequiredPeer>,
    pub(crate) replication: Replication,
    ticks: u64,
}

impl Mesh {
    /// Registers the listener, creates the readers, and starts to dial.
    pub fn init(
        cx: CX![],
        identity: Identity,
        log: Logger,
        metrics: Arc<Metrics>,
        owner: Fwd<Event>,
        listener: TcpListener,
    ) -> Option<Self> {
        let Identity { node, role, incarnation } = identity;
        let now = clock::now();
        let addr = listener.local_addr().unwrap_or(node.listen);
        let poll = cx.anymap_get::<MioPoll>();
        let accept = fwd_to!([cx], accept() as (Ready));
        let listener = match poll.add(listener, Interest::READABLE, PRIORITY, accept) {
            Ok(it) => it,
            Err(source) => {
                stakker::fail!(cx, Error::Listen { addr, source });
                return None;
            }
        };
        let reads = fwd_to!([cx], handle_read() as (reader::Read));
        let replication =
            Replication::open(cx, now, (&node, role), log.clone(), metrics.clone(), &reads);
        let mut mesh = Self {
            role,
            incarnation,
            log,
            metrics,
            owner,
            listener,
            addr,
            peers: HashMap::new(),
            next_peer: 0,
            entries_changed: false,
            endpoints: BTreeMap::new(),
            required: Vec::new(),
            replication,
            ticks: 0,
            node,
        };
        mesh.maintain(cx);
        mesh.tick(cx);
        Some(mesh)
    }

    /// Sets the processes to which the owner requires connections.
    pub fn require_peers(&mut self, cx: CX![], mut required: Vec<RequiredPeer>) {
        required.sort();
        required.dedup();
        if required != self.required {
            self.required = required;
            self.update_endpoints(cx);
        }
    }

    /// Sends a message on a connection. Does nothing if that is closed.
    pub fn send(&mut self, _cx: CX![], to: PeerKey, body: Body) {
        if let Some(peer) = self.peers.get(&to) {
            call!([peer.link], send(body));
        }
    }

    /// Closes a connection that the owner no longer trusts.
    pub fn drop_peer(&mut self, cx: CX![], key: PeerKey) {
        self.remove_peer(cx, key);
    }

    /// Returns the mesh's part of the process's status as JSON.
    pub fn status(&mut self, _cx: CX![], ret: stakker::Ret<serde_json::Value>) {
        let peers: BTreeMap<&str, Revision> = self
            .peers
            .values()
            .filter_map(|it| Some((it.introduction.as_ref()?.name.as_str(), it.revision)))
            .collect();
        let revision_json =
            |it: Revision| serde_json::json!({ "era": it.era, "revision": it.number });
        let peers: BTreeMap<&str, _> =
            peers.into_iter().map(|(name, it)| (name, revision_json(it))).collect();
        let revision = self.replication.revision();
        ret.ret(serde_json::json!({
            "name": self.node.name, "hall": self.node.hall, "peers": peers,
            "addr": self.addr.to_string(), "era": revision.era, "revision": revision.number,
            "instances": self.replication.instances().len(),
            "service_age_ms": self.replication.age(clock::now()),
            "documents": self.replication.status(),
        }));
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_waiting(cx);
    }

    /// Accepts the connections that wait, a limited number at once, so that those that are closed
    /// for others are closed meanwhile.
    fn accept_waiting(&mut self, cx: CX![]) {
        for _ in 0..ACCEPTS_PER_TURN {
            // A failed accept is retried at the next event, and the peer dials again.
            let Ok((stream, _)) = self.listener.accept() else { return };
            self.limit_strangers();
            if self.peers.len() < MAX_PEERS {
                self.add_peer(cx, stream, None);
            }
        }
        call!([cx], accept_waiting());
    }

    /// Closes the oldest accepted connection whose peer has not introduced itself if there are too
    /// many of them.
    fn limit_strangers(&mut self) {
        let is_stranger = |it: &Peer| it.introduction.is_none() && it.endpoint.is_none();
        let strangers = self.peers.iter().filter(|it| is_stranger(it.1)).map(|it| *it.0);
        let (count, oldest) = strangers.fold((0, None), |(count, oldest): (usize, _), key| {
            (count + 1, Some(oldest.map_or(key, |it: PeerKey| it.min(key))))
        });
        if count >= MAX_STRANGERS
            && let Some(key) = oldest
        {
            self.peers.remove(&key);
            self.metrics.strangers_closed.inc();
        }
    }

    pub(crate) fn add_peer(
        &mut self,
        cx: CX![],
        stream: TcpStream,
        endpoint: Option<String>,
    ) -> PeerKey {
        self.next_peer += 1;
        let key = PeerKey(self.next_peer);
        let events = fwd_to!([cx], link_event(key) as (link::Event));
        let link = actor_new!(cx, Link, ret_nop!());
        let unsent = Arc::default();
        let (metrics, hall) = (self.metrics.clone(), self.node.hall.clone());
        call!([link], Link::init(stream, events, metrics, (hall, Arc::clone(&unsent))));
        let dialled = endpoint.as_ref().and_then(|it| self.endpoints.get(it));
        let for_replication = dialled.is_some_and(|it| it.for_replication);
        let hello = Body::Hello(wire::Hello {
            name: self.node.name.clone(),
            role: self.role.name().to_owned(),
            hall: self.node.hall.clone(),
            incarnation: self.incarnation.0,
            spread: for_replication,
        });
        call!([link], send(hello));
        let peer = Peer {
            link,
            unsent,
            introduction: None,
            endpoint,
            for_replication,
            last_received: clock::now(),
            revision: Revision::default(),
            entries: Vec::new(),
        };
        self.peers.insert(key, peer);
        key
    }

    fn link_event(&mut self, cx: CX![], key: PeerKey, event: link::Event) {
        match event {
            link::Event::Message(body) => self.handle_message(cx, key, body),
            link::Event::Closed(cause) => {
                slog::debug!(self.log, "connection to peer closed"; "cause" => %cause);
                self.remove_peer(cx, key);
            }
        }
    }

    fn handle_message(&mut self, cx: CX![], key: PeerKey, body: Body) {
        let now = clock::now();
        let Some(peer) = self.peers.get_mut(&key) else {
            return;
        };
        peer.last_received = now;
        match body {
            Body::Hello(it) => self.handle_hello(cx, key, it),
            Body::Digest(it) => self.handle_digest(now, key, &it),
            Body::Pull(it) => self.handle_pull(key, &it),
            Body::Delta(it) => self.handle_delta(cx, it),
            Body::Removals(it) if peer.entry_name().is_some() => self.handle_removals(cx, &it),
            Body::Entries(it) if peer.entry_name().is_some() => {
                peer.entries = it.names;
                self.update_entries();
            }
            Body::Entries(_) | Body::Removals(_) => self.metrics.ignored(Ignored::BadFrame),
            other if peer.introduction.is_some() => self.owner.fwd(Event::Message(key, other)),
            _ => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    fn handle_hello(&mut self, cx: CX![], key: PeerKey, message: wire::Hello) {
        let digest = self.digest_body(clock::now());
        let Some(peer) = self.peers.get_mut(&key) else {
            return;
        };
        let is_listed = |it: &String| {
            self.endpoints.get(it).is_some_and(|it| it.addr_source == AddrSource::Listed)
        };
        let expected = peer.endpoint.as_ref().filter(|it| is_listed(it));
        if expected.is_some_and(|name| *name != message.name) {
            // The address in the instance list belongs to another process now.
            self.metrics.ignored(Ignored::BadFrame);
            self.remove_peer(cx, key);
            return;
        }
        if let Some(endpoint) = peer.endpoint.as_ref().and_then(|it| self.endpoints.get_mut(it)) {
            endpoint.redial_delay = dial::REDIAL_MIN;
        }
        let introduction = Introduction {
            name: message.name,
            role: message.role,
            hall: message.hall,
            incarnation: Incarnation(message.incarnation),
            dialled: peer.endpoint.clone(),
            unsent: Arc::clone(&peer.unsent),
        };
        peer.for_replication |= message.spread;
        peer.introduction = Some(introduction.clone());
        call!([peer.link], send(digest));
        self.send_all_removals(key);
        self.owner.fwd(Event::Up(key, introduction));
        self.update_link_metrics();
        self.entries_changed = true;
        self.update_entries();
    }

    /// Updates the known entries, among which common duties are divided: those connected to this
    /// process, and those connected to them. Where entries find each other through a few seeds,
    /// only the seeds are connected to all entries.
    fn update_entries(&mut self) {
        let direct = self.peers.values().filter_map(Peer::entry_name);
        let indirect = self.peers.values().flat_map(|it| &it.entries);
        let known: BTreeSet<&String> = direct.chain(indirect).collect();
        let others = known.into_iter().filter(|it| **it != self.node.name);
        let names: Vec<String> = others.cloned().collect();
        self.owner.fwd(Event::Entries(names.clone()));
        self.replication.set_entries(names);
    }

    /// Sends the names of the connected entries to all of these, if they have changed.
    fn send_entries(&mut self) {
        if self.role != Role::Entry || !std::mem::take(&mut self.entries_changed) {
            return;
        }
        let direct: BTreeSet<&String> = self.peers.values().filter_map(Peer::entry_name).collect();
        let names: Vec<String> = direct.into_iter().cloned().collect();
        for peer in self.peers.values().filter(|it| it.entry_name().is_some()) {
            call!([peer.link], send(Body::Entries(wire::Entries { names: names.clone() })));
        }
    }

    pub(crate) fn remove_peer(&mut self, _cx: CX![], key: PeerKey) {
        let Some(peer) = self.peers.remove(&key) else {
            return;
        };
        self.entries_changed |= peer.entry_name().is_some();
        let now = clock::now();
        if let Some(endpoint) = peer.endpoint.and_then(|it| self.endpoints.get_mut(&it)) {
            endpoint.peer = None;
            endpoint.next_dial =
                now + endpoint.redial_delay + rand::random_range(0..=endpoint.redial_delay / 2);
            endpoint.redial_delay = (endpoint.redial_delay * 2).min(REDIAL_MAX);
        }
        if peer.introduction.is_some() {
            self.owner.fwd(Event::Down(key));
        }
        self.update_link_metrics();
        self.update_entries();
    }

    fn update_link_metrics(&self) {
        let dialled = self.peers.values().filter(|it| it.endpoint.is_some()).count();
        let accepted = self.peers.len() - dialled;
        self.metrics.links.with_label_values(&["dialled"]).set(dialled as i64);
        self.metrics.links.with_label_values(&["accepted"]).set(accepted as i64);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = clock::now();
        self.ticks += 1;
        let include_all = self.ticks.is_multiple_of(REQUEST_LINK_FACTOR);
        self.send_digest(|it| it.for_replication || include_all);
        self.send_entries();
        self.close_silent(cx, now);
        let every = Duration::from_millis(self.node.digest_every);
        after!(every, [cx], tick());
    }

    fn close_silent(&mut self, cx: CX![], now: Millis) {
        let silence = SILENCE_TIMEOUT.max(self.node.digest_every * 3);
        let limit =
            |it: &Peer| if it.for_replication { silence } else { silence * REQUEST_LINK_FACTOR };
        let is_silent = |it: &Peer| {
            let anonymous = it.introduction.is_none();
            now.saturating_sub(it.last_received) > if anonymous { silence } else { limit(it) }
        };
        let keys: Vec<PeerKey> =
            self.peers.iter().filter(|(_, it)| is_silent(it)).map(|(key, _)| *key).collect();
        for key in keys {
            self.remove_peer(cx, key);
        }
    }
}

/// Opens the listening socket for other processes.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

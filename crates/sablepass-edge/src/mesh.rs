// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The connections of a process to others, and the spread of configuration
//! over them.
//!
//! Every process listens for others and dials a few: those its owner wants,
//! and a few peers by rendezvous hash, in its own hall and elsewhere. On every
//! connection both sides say every second what they hold, and at once when it
//! changes; whoever is behind pulls. What is held is [`crate::spread`]'s.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
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
use crate::dial::{self, Endpoint, Found};
use crate::instance::{Instance, Role};
use crate::link::{self, Link};
use crate::reader;
use crate::settings;
use crate::spread::Spread;
use crate::telemetry::Metrics;

mod held;

/// Longest wait before a failed connection is dialled again.
const REDIAL_LAST: Millis = 2_000;
/// A connection for spreading on which nothing arrives for this long is closed.
const SILENCE: Millis = 5_000;
/// Digests on a connection that was made for requests are so many times rarer:
/// an entry has an order of magnitude more of those.
const RARE: u64 = 10;
/// Most connections accepted.
const ACCEPT_LIMIT: usize = 4_096;
/// Priority of socket events in the poll.
const PRIORITY: u32 = 10;

/// Why a mesh could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be listened on.
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// One connection, for as long as it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerKey(u64);

/// What the other side of a connection said of itself.
#[derive(Clone, Debug)]
pub struct Introduction {
    /// Its name.
    pub name: String,
    /// "entry" or "agent".
    pub role: String,
    /// Its hall.
    pub hall: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The endpoint that this process dialled, if it did.
    pub dialled: Option<String>,
}

/// A process that the owner wants a connection to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wanted {
    /// The one that the instance list names so.
    Named(String),
    /// The one at this address, whatever its name.
    At(SocketAddr),
}

impl Wanted {
    /// The endpoint's name, as [`Introduction::dialled`] gives it.
    pub fn endpoint(&self) -> String {
        match self {
            Self::Named(it) => it.clone(),
            Self::At(it) => it.to_string(),
        }
    }
}

/// What the mesh tells its owner.
#[derive(Debug)]
pub enum Event {
    /// A connection is up.
    Up(PeerKey, Introduction),
    /// It is down.
    Down(PeerKey),
    /// A message that is not the mesh's own.
    Message(PeerKey, Body),
    /// A new configuration is in force here.
    Config(Rc<Catalogue>),
    /// The instance list changed.
    Instances(Listing),
    /// Names of the entries that there are, without this process.
    Entries(Vec<String>),
}

/// The instance list.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The instances, by name.
    pub instances: Rc<BTreeMap<String, Instance>>,
    /// Its revision.
    pub revision: Revision,
    /// The earliest revision of its era at which anybody read it: later lines are no copies.
    pub began: Revision,
    /// When its service last came back; 0 if it never was away.
    pub back: Millis,
}

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its settings as one of many.
    pub node: settings::Node,
    /// What it does.
    pub role: Role,
    /// Drawn when it started.
    pub incarnation: Incarnation,
}

impl Identity {
    /// Draws the identity of a process that starts.
    pub fn open(node: settings::Node, role: Role) -> Self {
        Self { node, role, incarnation: Incarnation(rand::random()) }
    }
}

struct Peer {
    link: ActorOwn<Link>,
    introduction: Option<Introduction>,
    /// Endpoint that was dialled.
    endpoint: Option<String>,
    /// Made for spreading, by either side.
    spread: bool,
    heard: Millis,
    revision: Revision,
    /// Entries that it said it is connected to.
    entries: Vec<String>,
}

impl Peer {
    /// Its name, if it is an entry.
    fn entry(&self) -> Option<&String> {
        let known = self.introduction.as_ref()?;
        (known.role == Role::Entry.name()).then_some(&known.name)
    }
}

/// The actor.
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
    /// Which entries are connected has changed since that was told.
    met: bool,
    pub(crate) endpoints: BTreeMap<String, Endpoint>,
    pub(crate) wanted: Vec<Wanted>,
    pub(crate) spread: Spread,
    ticks: u64,
}

impl Mesh {
    /// Opens the listener and the readers, and starts to dial.
    pub fn init(
        cx: CX![],
        me: Identity,
        log: Logger,
        metrics: Arc<Metrics>,
        owner: Fwd<Event>,
        listener: TcpListener,
    ) -> Option<Self> {
        let Identity { node, role, incarnation } = me;
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
        let reads = fwd_to!([cx], read() as (reader::Read));
        let spread = Spread::open(cx, now, (&node, role), log.clone(), metrics.clone(), &reads);
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
            met: false,
            endpoints: BTreeMap::new(),
            wanted: Vec::new(),
            spread,
            ticks: 0,
            node,
        };
        mesh.pulse(cx);
        mesh.tick(cx);
        Some(mesh)
    }

    /// Says which processes the owner wants connections to.
    pub fn want(&mut self, cx: CX![], mut wanted: Vec<Wanted>) {
        wanted.sort();
        wanted.dedup();
        if wanted != self.wanted {
            self.wanted = wanted;
            self.place(cx);
        }
    }

    /// Sends a message on a connection, if it is still there.
    pub fn send(&mut self, _cx: CX![], to: PeerKey, body: Body) {
        if let Some(peer) = self.peers.get(&to) {
            call!([peer.link], send(body));
        }
    }

    /// Closes a connection that the owner no longer trusts.
    pub fn drop_peer(&mut self, cx: CX![], key: PeerKey) {
        self.closed(cx, key);
    }

    /// What the mesh contributes to a process's status.
    pub fn status(&mut self, _cx: CX![], ret: stakker::Ret<serde_json::Value>) {
        let peers: BTreeMap<&str, Revision> = self
            .peers
            .values()
            .filter_map(|it| Some((it.introduction.as_ref()?.name.as_str(), it.revision)))
            .collect();
        let place = |it: Revision| serde_json::json!({ "era": it.era, "revision": it.number });
        let peers: BTreeMap<&str, _> =
            peers.into_iter().map(|(name, it)| (name, place(it))).collect();
        let revision = self.spread.revision();
        ret.ret(serde_json::json!({
            "name": self.node.name, "hall": self.node.hall, "peers": peers,
            "addr": self.addr.to_string(), "era": revision.era, "revision": revision.number,
            "instances": self.spread.instances().len(),
            "service_age_ms": self.spread.age(clock::now()),
            "documents": self.spread.status(),
        }));
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        // A failed accept is retried at the next event; the peer dials again.
        while let Ok((stream, _)) = self.listener.accept() {
            if self.peers.len() < ACCEPT_LIMIT {
                self.adopt(cx, stream, None);
            }
        }
    }

    pub(crate) fn adopt(
        &mut self,
        cx: CX![],
        stream: TcpStream,
        endpoint: Option<String>,
    ) -> PeerKey {
        self.next_peer += 1;
        let key = PeerKey(self.next_peer);
        let events = fwd_to!([cx], link_event(key) as (link::Event));
        let link = actor_new!(cx, Link, ret_nop!());
        call!([link], Link::init(stream, events, self.metrics.clone()));
        let known = endpoint.as_ref().and_then(|it| self.endpoints.get(it));
        let spread = known.is_some_and(|it| it.spread);
        let hello = Body::Hello(wire::Hello {
            name: self.node.name.clone(),
            role: self.role.name().to_owned(),
            hall: self.node.hall.clone(),
            incarnation: self.incarnation.0,
            spread,
        });
        call!([link], send(hello));
        let peer = Peer {
            link,
            introduction: None,
            endpoint,
            spread,
            heard: clock::now(),
            revision: Revision::default(),
            entries: Vec::new(),
        };
        self.peers.insert(key, peer);
        key
    }

    fn link_event(&mut self, cx: CX![], key: PeerKey, event: link::Event) {
        match event {
            link::Event::Message(body) => self.message(cx, key, body),
            link::Event::Closed(cause) => {
                slog::debug!(self.log, "connection closed"; "cause" => %cause);
                self.closed(cx, key);
            }
        }
    }

    fn message(&mut self, cx: CX![], key: PeerKey, body: Body) {
        let now = clock::now();
        let Some(peer) = self.peers.get_mut(&key) else {
            return;
        };
        peer.heard = now;
        match body {
            Body::Hello(it) => self.hello(cx, key, it),
            Body::Digest(it) => self.digest(now, key, &it),
            Body::Pull(it) => self.pull(key, &it),
            Body::Delta(it) => self.delta(cx, it),
            Body::Removals(it) if peer.entry().is_some() => self.removals(cx, &it),
            Body::Entries(it) if peer.entry().is_some() => {
                peer.entries = it.names;
                self.meet();
            }
            Body::Entries(_) | Body::Removals(_) => self.metrics.ignored(Ignored::BadFrame),
            other if peer.introduction.is_some() => self.owner.fwd(Event::Message(key, other)),
            _ => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    fn hello(&mut self, cx: CX![], key: PeerKey, it: wire::Hello) {
        let digest = self.digest_body(clock::now());
        let Some(peer) = self.peers.get_mut(&key) else {
            return;
        };
        let named =
            |it: &String| self.endpoints.get(it).is_some_and(|it| it.found == Found::Listed);
        let expected = peer.endpoint.as_ref().filter(|it| named(it));
        if expected.is_some_and(|name| *name != it.name) {
            // The address now belongs to another process.
            self.metrics.ignored(Ignored::BadFrame);
            self.closed(cx, key);
            return;
        }
        if let Some(endpoint) = peer.endpoint.as_ref().and_then(|it| self.endpoints.get_mut(it)) {
            endpoint.wait = dial::REDIAL_FIRST;
        }
        let introduction = Introduction {
            name: it.name,
            role: it.role,
            hall: it.hall,
            incarnation: Incarnation(it.incarnation),
            dialled: peer.endpoint.clone(),
        };
        peer.spread |= it.spread;
        peer.introduction = Some(introduction.clone());
        call!([peer.link], send(digest));
        self.tell_all_removals(key);
        self.owner.fwd(Event::Up(key, introduction));
        self.count_links();
        self.met = true;
        self.meet();
    }

    /// Tells which entries there are, for the share of each in common duties: those
    /// connected, and those that these are connected to. Where entries find each
    /// other by three seeds only these see all of them.
    fn meet(&mut self) {
        let direct = self.peers.values().filter_map(Peer::entry);
        let told = self.peers.values().flat_map(|it| &it.entries);
        let known: BTreeSet<&String> = direct.chain(told).collect();
        let others = known.into_iter().filter(|it| **it != self.node.name);
        let names: Vec<String> = others.cloned().collect();
        self.owner.fwd(Event::Entries(names.clone()));
        self.spread.meet(names);
    }

    /// Tells entries which others are connected here, if that changed.
    fn tell_entries(&mut self) {
        if self.role != Role::Entry || !std::mem::take(&mut self.met) {
            return;
        }
        let direct: BTreeSet<&String> = self.peers.values().filter_map(Peer::entry).collect();
        let names: Vec<String> = direct.into_iter().cloned().collect();
        for peer in self.peers.values().filter(|it| it.entry().is_some()) {
            call!([peer.link], send(Body::Entries(wire::Entries { names: names.clone() })));
        }
    }

    pub(crate) fn closed(&mut self, _cx: CX![], key: PeerKey) {
        let Some(peer) = self.peers.remove(&key) else {
            return;
        };
        self.met |= peer.entry().is_some();
        let now = clock::now();
        if let Some(endpoint) = peer.endpoint.and_then(|it| self.endpoints.get_mut(&it)) {
            endpoint.peer = None;
            endpoint.next = now + endpoint.wait + rand::random_range(0..=endpoint.wait / 2);
            endpoint.wait = (endpoint.wait * 2).min(REDIAL_LAST);
        }
        if peer.introduction.is_some() {
            self.owner.fwd(Event::Down(key));
        }
        self.count_links();
        self.meet();
    }

    fn count_links(&self) {
        let dialled = self.peers.values().filter(|it| it.endpoint.is_some()).count();
        let accepted = self.peers.len() - dialled;
        self.metrics.links.with_label_values(&["dialled"]).set(dialled as i64);
        self.metrics.links.with_label_values(&["accepted"]).set(accepted as i64);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = clock::now();
        self.ticks += 1;
        let all = self.ticks.is_multiple_of(RARE);
        self.tell(|it| it.spread || all);
        self.tell_entries();
        self.drop_silent(cx, now);
        let every = Duration::from_millis(self.node.digest_every);
        after!(every, [cx], tick());
    }

    fn drop_silent(&mut self, cx: CX![], now: Millis) {
        let silence = SILENCE.max(self.node.digest_every * 3);
        let limit = |it: &Peer| if it.spread { silence } else { silence * RARE };
        let silent = |it: &Peer| {
            let unknown = it.introduction.is_none();
            now.saturating_sub(it.heard) > if unknown { silence } else { limit(it) }
        };
        let keys: Vec<PeerKey> =
            self.peers.iter().filter(|(_, it)| silent(it)).map(|(key, _)| *key).collect();
        for key in keys {
            self.closed(cx, key);
        }
    }
}

/// Listens for other processes.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

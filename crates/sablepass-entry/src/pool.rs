// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Pool of HTTP connections to targets that are reached directly. Each connection carries one
//! request at a time and is reused. The router sends requests over it and handles its events.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_edge::client::{self, Connection, Outgoing};
use stakker::{ActorOwn, Core, Fwd, actor_new, call, ret_nop};

/// Time after which an idle connection is closed if its target announces no timeout. Targets close
/// idle connections after some seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time by which an idle connection is closed before the target's announced timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time in which the rest of an answer that nobody awaits must arrive.
const DISCARD_TIMEOUT: Millis = 1_000;
/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

/// Identifies a connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey(u64);

/// The attempt of a request that is in flight on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Number of bytes of the answer's body received so far.
    pub offset: u64,
}

/// The target to connect to.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Start time of its current incarnation.
    pub started_at: Millis,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
}

/// Connection over which a health check is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckRoute {
    /// An idle connection, which the target may be closing.
    Idle,
    /// A new connection.
    New,
}

struct PooledConnection {
    connection: ActorOwn<Connection>,
    target: String,
    /// Start time of the target's incarnation when the connection was opened.
    started_at: Millis,
    addr: SocketAddr,
    /// Whether the connection is established.
    connected: bool,
    /// Request to be sent once the connection is established, unless the target accepts no requests
    /// by then.
    waiting: Option<Outgoing>,
    in_flight: Option<InFlightAttempt>,
    /// Whether a health check is in flight.
    checking: bool,
    /// When the connection is closed if it is idle.
    idle_until: Millis,
}

impl PooledConnection {
    /// Sends a request, now or once the connection is established.
    fn send(&mut self, request: Outgoing) {
        self.idle_until = Millis::MAX;
        if self.connected {
            call!([self.connection], send(request));
        } else {
            self.waiting = Some(request);
        }
    }
}

/// All direct connections of an entry.
pub struct Pool {
    connections: HashMap<ConnectionKey, PooledConnection>,
    /// Idle connections by target, the one released last at the end.
    idle: HashMap<String, Vec<ConnectionKey>>,
    /// Connections on which the rest of an answer is discarded, and when they are closed, in order.
    discarding: VecDeque<(Millis, ConnectionKey)>,
    last_key: u64,
    /// Number of connections from which on one that no request uses is closed before the next is
    /// opened.
    limit: usize,
    events: Fwd<(ConnectionKey, client::Event)>,
}

impl Pool {
    /// Creates a pool without connections. Events of its connections are sent to `events`. It has
    /// at most `limit` connections if no more requests than that are sent at once.
    pub fn open(events: Fwd<(ConnectionKey, client::Event)>, limit: usize) -> Self {
        Self {
            connections: HashMap::new(),
            idle: HashMap::new(),
            discarding: VecDeque::new(),
            last_key: 0,
            limit,
            events,
        }
    }

    /// Returns an idle connection to a target, or a new one. `fresh` requires a new one, for unsafe
    /// requests: an idle connection may be closed by the target while the request is sent, and then
    /// it is unknown whether the request ran.
    pub fn acquire(&mut self, core: &mut Core, to: Destination<'_>, fresh: bool) -> ConnectionKey {
        let idle = if fresh { None } else { self.idle.get_mut(to.target).and_then(Vec::pop) };
        idle.unwrap_or_else(|| self.connect(core, to))
    }

    /// Closes connections that no request uses while the pool is full: idle ones, and those on
    /// which the rest of an answer is discarded.
    fn make_room(&mut self) {
        while self.connections.len() >= self.limit {
            let is_unused = |it: &PooledConnection| it.in_flight.is_none() && !it.checking;
            let unused = self.connections.iter().filter(|it| is_unused(it.1));
            let Some(key) = unused.min_by_key(|it| it.1.idle_until).map(|it| *it.0) else { return };
            self.close(key);
        }
    }

    fn connect(&mut self, core: &mut Core, to: Destination<'_>) -> ConnectionKey {
        self.make_room();
        self.last_key += 1;
        let key = ConnectionKey(self.last_key);
        let events = self.events.clone();
        let forward = Fwd::new(move |event| events.fwd((key, event)));
        let connection = actor_new!(core, Connection, ret_nop!());
        let options = client::Options::default();
        call!([connection], Connection::init(to.addr, options, forward));
        let pooled = PooledConnection {
            connection,
            target: to.target.to_owned(),
            started_at: to.started_at,
            addr: to.addr,
            connected: false,
            waiting: None,
            in_flight: None,
            checking: false,
            idle_until: Millis::MAX,
        };
        self.connections.insert(key, pooled);
        key
    }

    /// Opens an idle connection, to check whether the target accepts connections.
    pub fn probe(&mut self, core: &mut Core, now: Millis, to: Destination<'_>) -> ConnectionKey {
        let key = self.connect(core, to);
        self.release(now, key, None);
        key
    }

    /// Sends a health check to a target's incarnation. Returns the connection and how it was
    /// chosen: without an idle one, or if `route` says so, a new one is opened.
    pub fn send_check(
        &mut self,
        core: &mut Core,
        to: Destination<'_>,
        head: http::Request<()>,
        route: CheckRoute,
    ) -> (ConnectionKey, CheckRoute) {
        let idle = if route == CheckRoute::Idle { self.take_idle(to) } else { None };
        let route = if idle.is_some() { CheckRoute::Idle } else { CheckRoute::New };
        let key = idle.unwrap_or_else(|| self.connect(core, to));
        if let Some(pooled) = self.connections.get_mut(&key) {
            pooled.checking = true;
            pooled.send(Outgoing { head, body: Vec::new(), echo: None });
        }
        (key, route)
    }

    /// Removes the idle connection to an incarnation that was released last.
    fn take_idle(&mut self, to: Destination<'_>) -> Option<ConnectionKey> {
        let idle = self.idle.get_mut(to.target)?;
        let connections = &self.connections;
        let fits = |key: &ConnectionKey| {
            let pooled = connections.get(key);
            pooled.is_some_and(|it| it.started_at == to.started_at && it.addr == to.addr)
        };
        let position = idle.iter().rposition(fits)?;
        Some(idle.remove(position))
    }

    /// Returns whether a health check is in flight on a connection.
    pub fn is_checking(&self, key: ConnectionKey) -> bool {
        self.connections.get(&key).is_some_and(|it| it.checking)
    }

    /// Sends a request, now or once the connection is established.
    pub fn send(&mut self, key: ConnectionKey, attempt: InFlightAttempt, request: Outgoing) {
        let Some(pooled) = self.connections.get_mut(&key) else { return };
        pooled.in_flight = Some(attempt);
        pooled.send(request);
    }

    /// Records that a connection is established. Returns whether a request waits for this.
    pub fn mark_connected(&mut self, key: ConnectionKey) -> bool {
        let Some(pooled) = self.connections.get_mut(&key) else { return false };
        pooled.connected = true;
        pooled.waiting.is_some()
    }

    /// Sends the request that waits for the connection.
    pub fn send_waiting(&mut self, key: ConnectionKey) {
        let Some(pooled) = self.connections.get_mut(&key) else { return };
        if let Some(request) = pooled.waiting.take() {
            call!([pooled.connection], send(request));
        }
    }

    /// Returns whether a request waits for the connection to be established.
    pub fn has_waiting(&self, key: ConnectionKey) -> bool {
        self.connections.get(&key).is_some_and(|it| it.waiting.is_some())
    }

    /// Withdraws the request that waits for the connection; no part of it was sent.
    pub fn withdraw(&mut self, key: ConnectionKey) {
        if let Some(pooled) = self.connections.get_mut(&key) {
            pooled.waiting = None;
        }
    }

    /// Pauses or resumes the reading of an answer.
    pub fn pause(&self, key: ConnectionKey, paused: bool) {
        if let Some(pooled) = self.connections.get(&key) {
            call!([pooled.connection], pause(paused));
        }
    }

    /// Returns the attempt that is in flight on a connection.
    pub fn in_flight(&mut self, key: ConnectionKey) -> Option<&mut InFlightAttempt> {
        self.connections.get_mut(&key).and_then(|it| it.in_flight.as_mut())
    }

    /// Returns the target's incarnation to which a connection was opened.
    pub fn target(&self, key: ConnectionKey) -> Option<TargetIncarnation<'_>> {
        self.connections
            .get(&key)
            .map(|it| TargetIncarnation { name: &it.target, started_at: it.started_at })
    }

    /// Returns the target's incarnation to which a connection was opened, and its address.
    pub fn destination(&self, key: ConnectionKey) -> Option<Destination<'_>> {
        self.connections.get(&key).map(|it| Destination {
            target: &it.target,
            started_at: it.started_at,
            addr: it.addr,
        })
    }

    /// Detaches the attempt or the health check from its connection. The rest of the answer is read
    /// and discarded; the connection is closed if that takes too long.
    pub fn detach(&mut self, now: Millis, key: ConnectionKey) {
        if let Some(pooled) = self.connections.get_mut(&key) {
            pooled.in_flight = None;
            pooled.checking = false;
            self.discarding.push_back((now + DISCARD_TIMEOUT, key));
        }
    }

    /// Makes a connection idle, so that it can be reused. `announced` is the idle timeout that
    /// the target announced.
    pub fn release(&mut self, now: Millis, key: ConnectionKey, announced: Option<Duration>) {
        let Some(pooled) = self.connections.get_mut(&key) else { return };
        pooled.in_flight = None;
        pooled.checking = false;
        let timeout = announced.map_or(IDLE_TIMEOUT, |it| it.saturating_sub(IDLE_MARGIN));
        pooled.idle_until = now + timeout.as_millis() as Millis;
        let idle = self.idle.entry(pooled.target.clone()).or_default();
        idle.push(key);
        if idle.len() > MAX_IDLE_PER_TARGET {
            let oldest = idle.remove(0);
            self.connections.remove(&oldest);
        }
    }

    /// Closes a connection. The target cancels a request that is in flight on it.
    pub fn close(&mut self, key: ConnectionKey) {
        let Some(pooled) = self.connections.remove(&key) else { return };
        if let Some(idle) = self.idle.get_mut(&pooled.target) {
            idle.retain(|it| *it != key);
        }
    }

    /// Closes the idle connections to a target, as when it is leaving, gone or restarted.
    pub fn close_idle(&mut self, target: &str) {
        for key in self.idle.remove(target).unwrap_or_default() {
            self.connections.remove(&key);
        }
    }

    /// Closes the connections whose idle time is over, and those on which the rest of an answer has
    /// not arrived in time.
    pub fn close_expired(&mut self, now: Millis) {
        while let Some((_, key)) = self.discarding.pop_front_if(|it| it.0 <= now) {
            let is_discarding = |it: &PooledConnection| {
                it.in_flight.is_none() && !it.checking && it.idle_until == Millis::MAX
            };
            if self.connections.get(&key).is_some_and(is_discarding) {
                self.close(key);
            }
        }
        let connections = &mut self.connections;
        for idle in self.idle.values_mut() {
            idle.retain(|key| {
                let keep = connections.get(key).is_some_and(|it| now < it.idle_until);
                if !keep {
                    connections.remove(key);
                }
                keep
            });
        }
    }

    /// Returns the number of connections, idle ones included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

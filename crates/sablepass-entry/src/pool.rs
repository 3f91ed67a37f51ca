// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Connections to targets that take requests straight from this entry. Each
//! carries one request at a time; one that rests is used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_edge::client::{self, Connection, Outgoing};
use stakker::{ActorOwn, Core, Fwd, actor_new, call, ret_nop};

/// How long a connection rests before it is closed, where its target does not
/// say. Targets close resting connections after some seconds.
const REST: Duration = Duration::from_secs(3);
/// Time by which a connection is closed before its target would.
const EARLY: Duration = Duration::from_millis(700);
/// Connections that rest for one target.
const RESTING: usize = 16;

/// One connection, for as long as it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey(u64);

/// The request that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: u32,
    /// Bytes of the answer so far.
    pub offset: u64,
}

/// Where a connection goes.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// The target.
    pub target: &'a str,
    /// When its present life began.
    pub started_at: Millis,
    /// Where it takes requests.
    pub addr: SocketAddr,
}

struct Open {
    connection: ActorOwn<Connection>,
    target: String,
    /// When the life of the target began that it was made to.
    born: Millis,
    /// It stands.
    connected: bool,
    /// What is sent once it does, unless the target takes nothing more by then.
    waiting: Option<Outgoing>,
    carried: Option<InFlightAttempt>,
    /// When a connection that rests is closed.
    until: Millis,
}

/// The connections of an entry.
pub struct Pool {
    open: HashMap<ConnectionKey, Open>,
    resting: HashMap<String, Vec<ConnectionKey>>,
    next: u64,
    events: Fwd<(ConnectionKey, client::Event)>,
}

impl Pool {
    /// Opens a pool without connections, whose events go to `events`.
    pub fn open(events: Fwd<(ConnectionKey, client::Event)>) -> Self {
        Self { open: HashMap::new(), resting: HashMap::new(), next: 0, events }
    }

    /// A resting connection to a target, or a new one. `fresh` asks for a new
    /// one: a resting one may die just as it is used, and then nobody knows
    /// whether the request ran.
    pub fn acquire(&mut self, core: &mut Core, to: Destination<'_>, fresh: bool) -> ConnectionKey {
        let resting = if fresh { None } else { self.resting.get_mut(to.target).and_then(Vec::pop) };
        resting.unwrap_or_else(|| self.connect(core, to))
    }

    fn connect(&mut self, core: &mut Core, to: Destination<'_>) -> ConnectionKey {
        self.next += 1;
        let key = ConnectionKey(self.next);
        let events = self.events.clone();
        let forward = Fwd::new(move |it| events.fwd((key, it)));
        let connection = actor_new!(core, Connection, ret_nop!());
        let options = client::Options::default();
        call!([connection], Connection::init(to.addr, options, forward));
        let it = Open {
            connection,
            target: to.target.to_owned(),
            born: to.started_at,
            connected: false,
            waiting: None,
            carried: None,
            until: Millis::MAX,
        };
        self.open.insert(key, it);
        key
    }

    /// Makes a connection that rests, to see whether the target takes any.
    pub fn probe(&mut self, core: &mut Core, now: Millis, to: Destination<'_>) {
        let key = self.connect(core, to);
        self.release(now, key, None);
    }

    /// Sends a request, once the connection stands.
    pub fn send(&mut self, key: ConnectionKey, carried: InFlightAttempt, it: Outgoing) {
        let Some(open) = self.open.get_mut(&key) else { return };
        open.carried = Some(carried);
        open.until = Millis::MAX;
        if open.connected {
            call!([open.connection], send(it));
        } else {
            open.waiting = Some(it);
        }
    }

    /// Records that a connection stands. Whether a request waits for that.
    pub fn mark_connected(&mut self, key: ConnectionKey) -> bool {
        let Some(open) = self.open.get_mut(&key) else { return false };
        open.connected = true;
        open.waiting.is_some()
    }

    /// Sends the request that waits.
    pub fn send_waiting(&mut self, key: ConnectionKey) {
        let Some(open) = self.open.get_mut(&key) else { return };
        if let Some(it) = open.waiting.take() {
            call!([open.connection], send(it));
        }
    }

    /// Takes back the request that waits; nothing of it has left.
    pub fn withdraw(&mut self, key: ConnectionKey) {
        if let Some(open) = self.open.get_mut(&key) {
            open.waiting = None;
        }
    }

    /// Stops or goes on to read an answer.
    pub fn pause(&self, key: ConnectionKey, paused: bool) {
        if let Some(open) = self.open.get(&key) {
            call!([open.connection], pause(paused));
        }
    }

    /// What a connection carries.
    pub fn in_flight(&mut self, key: ConnectionKey) -> Option<&mut InFlightAttempt> {
        self.open.get_mut(&key).and_then(|it| it.carried.as_mut())
    }

    /// The target at the other end, in the life that the connection was made to.
    pub fn target(&self, key: ConnectionKey) -> Option<TargetIncarnation<'_>> {
        self.open.get(&key).map(|it| TargetIncarnation { name: &it.target, started_at: it.born })
    }

    /// Leaves the request that a connection carries; the rest of the answer is
    /// read and dropped.
    pub fn detach(&mut self, key: ConnectionKey) {
        if let Some(open) = self.open.get_mut(&key) {
            open.carried = None;
        }
    }

    /// Takes a connection back whose answer is whole.
    pub fn release(&mut self, now: Millis, key: ConnectionKey, rest: Option<Duration>) {
        let Some(open) = self.open.get_mut(&key) else { return };
        open.carried = None;
        let rest = rest.map_or(REST, |it| it.saturating_sub(EARLY));
        open.until = now + rest.as_millis() as Millis;
        let resting = self.resting.entry(open.target.clone()).or_default();
        resting.push(key);
        if resting.len() > RESTING {
            let oldest = resting.remove(0);
            self.open.remove(&oldest);
        }
    }

    /// Closes a connection, which has its target drop what it carries.
    pub fn close(&mut self, key: ConnectionKey) {
        let Some(open) = self.open.remove(&key) else { return };
        if let Some(resting) = self.resting.get_mut(&open.target) {
            resting.retain(|it| *it != key);
        }
    }

    /// Closes the resting connections of a target that is gone.
    pub fn close_idle(&mut self, target: &str) {
        for key in self.resting.remove(target).unwrap_or_default() {
            self.open.remove(&key);
        }
    }

    /// Closes what has rested for long enough.
    pub fn close_expired(&mut self, now: Millis) {
        let open = &mut self.open;
        for resting in self.resting.values_mut() {
            resting.retain(|key| {
                let keep = open.get(key).is_some_and(|it| now < it.until);
                if !keep {
                    open.remove(key);
                }
                keep
            });
        }
    }

    /// Connections open now.
    pub fn len(&self) -> usize {
        self.open.len()
    }
}

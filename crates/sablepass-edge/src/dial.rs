// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which processes a mesh dials, and when it tries again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_core::id::Millis;
use sablepass_core::rendezvous;
use stakker::{CX, after};
use stakker_mio::mio::net::TcpStream;

use crate::clock;
use crate::instance::{Instance, Role};
use crate::mesh::{Mesh, PeerKey, Wanted};

/// Time between two looks at what has to be dialled.
const PULSE: Duration = Duration::from_millis(100);
/// First wait before a failed connection is dialled again.
pub(crate) const REDIAL_FIRST: Millis = 100;
/// Peers of the own hall to dial.
const NEAR_PEERS: usize = 3;
/// Peers of other halls to dial.
const FAR_PEERS: usize = 2;

/// How the address of an endpoint was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// In the instance list: the other side must carry the endpoint's name.
    Listed,
    /// The owner gave it.
    Given,
    /// It is a seed.
    Seed,
}

/// A process to be connected to.
pub(crate) struct Endpoint {
    pub(crate) addr: SocketAddr,
    pub(crate) found: Found,
    /// Whether it is dialled for spreading.
    pub(crate) spread: bool,
    pub(crate) peer: Option<PeerKey>,
    pub(crate) next: Millis,
    pub(crate) wait: Millis,
}

impl Mesh {
    /// Makes the endpoints those that are wanted now.
    pub(crate) fn place(&mut self, cx: CX![]) {
        let spread = self.spread_peers();
        let instances = self.spread.instances().clone();
        let listed = |it: &String| {
            let found = instances.get(it)?;
            Some((it.clone(), (found.addr, Found::Listed)))
        };
        let mut chosen: BTreeMap<String, (SocketAddr, Found)> =
            spread.iter().filter_map(listed).collect();
        chosen.extend(self.wanted.iter().filter_map(|it| match it {
            Wanted::Named(name) => listed(name),
            Wanted::At(addr) => Some((it.endpoint(), (*addr, Found::Given))),
        }));
        let moved = |name: &String, it: &Endpoint| {
            it.found != Found::Seed && chosen.get(name).map(|it| it.0) != Some(it.addr)
        };
        let gone: Vec<String> = self
            .endpoints
            .iter()
            .filter(|(name, it)| moved(name, it))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            let endpoint = self.endpoints.remove(&name);
            if let Some(key) = endpoint.and_then(|it| it.peer) {
                self.closed(cx, key);
            }
        }
        for (name, (addr, found)) in chosen {
            let spread = spread.contains(&name);
            let fresh = Endpoint { addr, found, spread, peer: None, next: 0, wait: REDIAL_FIRST };
            self.endpoints.entry(name).or_insert(fresh);
        }
    }

    fn spread_peers(&self) -> Vec<String> {
        let me = &self.node.name;
        let pick = |near: bool, most: usize| {
            let fits = |it: &(&String, &Instance)| {
                (it.1.hall == self.node.hall) == near && it.0 != me && it.1.role != Role::Target
            };
            let names = self.spread.instances().iter().filter(fits).map(|it| it.0.as_str());
            let ranked = rendezvous::rank(me, names);
            ranked.into_iter().take(most).map(str::to_owned).collect::<Vec<_>>()
        };
        let mut names = pick(true, NEAR_PEERS);
        names.extend(pick(false, FAR_PEERS));
        names
    }

    pub(crate) fn pulse(&mut self, cx: CX![]) {
        let now = clock::now();
        self.spread.tick(now);
        self.use_seeds();
        let due = |it: &Endpoint| it.peer.is_none() && now >= it.next;
        let names: Vec<String> =
            self.endpoints.iter().filter(|(_, it)| due(it)).map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dial(cx, now, name);
        }
        after!(PULSE, [cx], pulse());
    }

    /// Seeds serve while the instance list names no entry.
    fn use_seeds(&mut self) {
        if self.spread.lists_entries() {
            return;
        }
        for addr in self.node.seeds.iter().filter(|it| **it != self.node.listen) {
            let fresh = Endpoint {
                addr: *addr,
                found: Found::Seed,
                spread: true,
                peer: None,
                next: 0,
                wait: REDIAL_FIRST,
            };
            self.endpoints.entry(format!("seed {addr}")).or_insert(fresh);
        }
    }

    fn dial(&mut self, cx: CX![], now: Millis, name: String) {
        let Some(addr) = self.endpoints.get(&name).map(|it| it.addr) else {
            return;
        };
        let peer = match TcpStream::connect(addr) {
            Ok(stream) => Some(self.adopt(cx, stream, Some(name.clone()))),
            Err(_) => None,
        };
        if let Some(endpoint) = self.endpoints.get_mut(&name) {
            endpoint.peer = peer;
            endpoint.next = now + endpoint.wait;
        }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Choice of the processes that a mesh dials, and the schedule of its attempts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sablepass_core::id::Millis;
use sablepass_core::rendezvous;
use stakker::{CX, after};
use stakker_mio::mio::net::TcpStream;

use crate::clock;
use crate::instance::{Instance, Role};
use crate::mesh::{Mesh, PeerKey, RequiredPeer};

/// Interval between two checks for reads and dial attempts that are due.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed connection is first dialled again.
pub(crate) const REDIAL_MIN: Millis = 100;
/// Number of replication peers in the own hall.
const NEAR_PEERS: usize = 3;
/// Number of replication peers in other halls.
const FAR_PEERS: usize = 2;

/// Source of an endpoint's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddrSource {
    /// The instance list. The peer must introduce itself under the endpoint's name.
    Listed,
    /// The owner of the mesh.
    Given,
    /// The seeds in the settings.
    Seed,
}

/// A process to dial.
pub(crate) struct Endpoint {
    pub(crate) addr: SocketAddr,
    pub(crate) addr_source: AddrSource,
    /// Whether it is dialled for replication.
    pub(crate) for_replication: bool,
    pub(crate) peer: Option<PeerKey>,
    pub(crate) next_dial: Millis,
    pub(crate) redial_delay: Millis,
}

impl Mesh {
    /// Updates the endpoints to the current replication peers and the processes required by the
    /// owner. Closes the connections of endpoints that are removed or have a new address.
    pub(crate) fn update_endpoints(&mut self, cx: CX![]) {
        let replication_peers = self.replication_peers();
        let instances = self.replication.instances().clone();
        let listed = |it: &String| {
            let instance = instances.get(it)?;
            Some((it.clone(), (instance.addr, AddrSource::Listed)))
        };
        let mut chosen: BTreeMap<String, (SocketAddr, AddrSource)> =
            replication_peers.iter().filter_map(listed).collect();
        chosen.extend(self.required.iter().filter_map(|it| match it {
            RequiredPeer::Named(name) => listed(name),
            RequiredPeer::At(addr) => Some((it.endpoint(), (*addr, AddrSource::Given))),
        }));
        let is_obsolete = |name: &String, it: &Endpoint| {
            it.addr_source != AddrSource::Seed && chosen.get(name).map(|it| it.0) != Some(it.addr)
        };
        let obsolete: Vec<String> = self
            .endpoints
            .iter()
            .filter(|(name, it)| is_obsolete(name, it))
            .map(|(name, _)| name.clone())
            .collect();
        for name in obsolete {
            let endpoint = self.endpoints.remove(&name);
            if let Some(key) = endpoint.and_then(|it| it.peer) {
                self.remove_peer(cx, key);
            }
        }
        for (name, (addr, addr_source)) in chosen {
            let for_replication = replication_peers.contains(&name);
            let endpoint = Endpoint {
                addr,
                addr_source,
                for_replication,
                peer: None,
                next_dial: 0,
                redial_delay: REDIAL_MIN,
            };
            self.endpoints.entry(name).or_insert(endpoint);
        }
    }

    fn replication_peers(&self) -> Vec<String> {
        let own_name = &self.node.name;
        let pick = |near: bool, limit: usize| {
            let fits = |it: &(&String, &Instance)| {
                (it.1.hall == self.node.hall) == near
                    && it.0 != own_name
                    && it.1.role != Role::Target
            };
            let names = self.replication.instances().iter().filter(fits).map(|it| it.0.as_str());
            let ranked = rendezvous::rank(own_name, names);
            ranked.into_iter().take(limit).map(str::to_owned).collect::<Vec<_>>()
        };
        let mut names = pick(true, NEAR_PEERS);
        names.extend(pick(false, FAR_PEERS));
        names
    }

    /// Starts the reads that are due and dials the endpoints that are due.
    pub(crate) fn maintain(&mut self, cx: CX![]) {
        let now = clock::now();
        self.replication.tick(now);
        self.add_seeds();
        let due = |it: &Endpoint| it.peer.is_none() && now >= it.next_dial;
        let names: Vec<String> =
            self.endpoints.iter().filter(|(_, it)| due(it)).map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dial(cx, now, name);
        }
        after!(MAINTENANCE_INTERVAL, [cx], maintain());
    }

    /// Adds the seeds as endpoints while the instance list names no entry.
    fn add_seeds(&mut self) {
        if self.replication.lists_entries() {
            return;
        }
        for addr in self.node.seeds.iter().filter(|it| **it != self.node.listen) {
            let endpoint = Endpoint {
                addr: *addr,
                addr_source: AddrSource::Seed,
                for_replication: true,
                peer: None,
                next_dial: 0,
                redial_delay: REDIAL_MIN,
            };
            self.endpoints.entry(format!("seed {addr}")).or_insert(endpoint);
        }
    }

    fn dial(&mut self, cx: CX![], now: Millis, name: String) {
        let Some(addr) = self.endpoints.get(&name).map(|it| it.addr) else {
            return;
        };
        let peer = match TcpStream::connect(addr) {
            Ok(stream) => Some(self.add_peer(cx, stream, Some(name.clone()))),
            Err(_) => None,
        };
        if let Some(endpoint) = self.endpoints.get_mut(&name) {
            endpoint.peer = peer;
            endpoint.next_dial = now + endpoint.redial_delay;
        }
    }
}

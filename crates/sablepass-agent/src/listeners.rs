// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The entries connected to an agent, which receive its reports.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use sablepass_edge::mesh::PeerKey;

use crate::flow::Flow;

/// Connections from entries, with the entries' names.
#[derive(Debug, Default)]
pub struct Listeners {
    names: BTreeMap<PeerKey, String>,
    /// Bytes that wait on each connection.
    unsent: BTreeMap<PeerKey, Arc<AtomicUsize>>,
}

impl Listeners {
    /// Records a connection from the entry `name`, with the number of bytes that wait on it.
    pub fn up(&mut self, peer: PeerKey, name: String, unsent: Arc<AtomicUsize>) {
        self.names.insert(peer, name);
        self.unsent.insert(peer, unsent);
    }

    /// Returns the flow of an answer to an entry.
    pub fn flow(&self, peer: PeerKey) -> Flow {
        Flow::open(self.unsent.get(&peer).cloned().unwrap_or_default())
    }

    /// Records the end of a connection.
    pub fn down(&mut self, peer: PeerKey) {
        self.names.remove(&peer);
        self.unsent.remove(&peer);
    }

    /// Returns the connections.
    pub fn peers(&self) -> impl Iterator<Item = PeerKey> {
        self.names.keys().copied()
    }

    /// Returns the number of distinct entries. A restarted entry has two connections until the old
    /// one is detected as closed.
    pub fn count(&self) -> u32 {
        self.names.values().collect::<BTreeSet<_>>().len() as u32
    }
}

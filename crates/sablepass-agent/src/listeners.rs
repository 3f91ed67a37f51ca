// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The entries connected to an agent, which receive its reports.

use std::collections::{BTreeMap, BTreeSet};

use sablepass_edge::mesh::PeerKey;

/// Connections from entries, with the entries' names.
#[derive(Debug, Default)]
pub struct Listeners {
    names: BTreeMap<PeerKey, String>,
}

impl Listeners {
    /// Records a connection from the entry `name`.
    pub fn up(&mut self, peer: PeerKey, name: String) {
        self.names.insert(peer, name);
    }

    /// Records the end of a connection.
    pub fn down(&mut self, peer: PeerKey) {
        self.names.remove(&peer);
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

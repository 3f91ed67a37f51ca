// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Messages of a mesh about the replicated documents: digests, pulls, deltas and removals.

use std::rc::Rc;

use sablepass_core::config::StoreKind;
use sablepass_core::id::Millis;
use sablepass_core::reason::Ignored;
use sablepass_core::revision::Revision;
use sablepass_wire::convert;
use sablepass_wire::generated as wire;
use sablepass_wire::generated::frame::Body;
use sablepass_wire::removals::{self, Removal};
use stakker::{CX, call};

use crate::clock;
use crate::instance::Role;
use crate::mesh::{Event, Listing, Mesh, Peer, PeerKey};
use crate::reader;

impl Mesh {
    pub(super) fn digest_body(&self, now: Millis) -> Body {
        Body::Digest(self.replication.digest(now))
    }

    pub(super) fn handle_digest(&mut self, now: Millis, key: PeerKey, message: &wire::Digest) {
        let Some(peer) = self.peers.get_mut(&key) else {
            return;
        };
        peer.revision = Revision::new(message.era, message.revision);
        if peer.entry_name().is_some() {
            self.replication.record_entry_digest(now);
        }
        for pull in self.replication.compare(now, message) {
            call!([peer.link], send(Body::Pull(pull)));
        }
        self.replication.merge_availability(now, message);
    }

    pub(super) fn handle_pull(&mut self, key: PeerKey, message: &wire::Pull) {
        let Some(peer) = self.peers.get(&key) else {
            return;
        };
        match self.replication.deltas(message) {
            Ok(deltas) => {
                for delta in deltas {
                    call!([peer.link], send(delta));
                }
            }
            Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    pub(super) fn handle_delta(&mut self, cx: CX![], message: wire::Delta) {
        match convert::parse_delta(message) {
            Ok((kind, delta)) => {
                let changed = self.replication.merge(kind, delta);
                self.publish(cx, changed);
                self.send_removals();
            }
            Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    pub(super) fn handle_read(&mut self, cx: CX![], read: reader::Read) {
        let changed = self.replication.read(clock::now(), read);
        self.publish(cx, changed);
        self.send_removals();
    }

    pub(super) fn handle_removals(&mut self, cx: CX![], message: &wire::Removals) {
        match removals::parse(message) {
            Ok(received) => {
                let changed = self.replication.merge_removals(&received);
                self.publish(cx, changed);
                self.send_removals();
            }
            Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    /// Sends removals learned recently to the connected entries. Only entries read list lines from
    /// the platform, so only they can mistake a line of a restored backup for a current one.
    fn send_removals(&mut self) {
        let unsent = self.replication.take_unsent_removals();
        if unsent.is_empty() || self.role != Role::Entry {
            return;
        }
        let unsent: Vec<Removal<'_>> = unsent.iter().map(|(key, at)| (key.as_str(), *at)).collect();
        let body = removals::body(&unsent);
        for peer in self.peers.values().filter(|it| it.entry_name().is_some()) {
            call!([peer.link], send(body.clone()));
        }
    }

    /// Sends all remembered removals to an entry that has just connected.
    pub(super) fn send_all_removals(&self, key: PeerKey) {
        let all = self.replication.removals();
        if all.is_empty() || self.role != Role::Entry {
            return;
        }
        if let Some(peer) = self.peers.get(&key).filter(|it| it.entry_name().is_some()) {
            call!([peer.link], send(removals::body(&all)));
        }
    }

    fn publish(&mut self, cx: CX![], changed: Option<StoreKind>) {
        match changed {
            None => return,
            Some(StoreKind::Declarations) => {
                let catalogue = self.replication.catalogue();
                self.owner.fwd(Event::Config(Rc::new(catalogue)));
            }
            Some(StoreKind::Instances) => {
                let listing = Listing {
                    instances: self.replication.instances().clone(),
                    revision: self.replication.list_revision(),
                    first_read: self.replication.list_first_read(),
                    recovered_at: self.replication.recovered_at(),
                };
                self.owner.fwd(Event::Instances(listing));
                self.update_endpoints(cx);
            }
        }
        self.send_digest_to_all();
    }

    fn send_digest_to_all(&self) {
        self.send_digest(|_| true);
    }

    pub(super) fn send_digest(&self, selected: impl Fn(&Peer) -> bool) {
        let digest = self.digest_body(clock::now());
        for peer in self.peers.values().filter(|it| selected(it)) {
            call!([peer.link], send(digest.clone()));
        }
    }
}

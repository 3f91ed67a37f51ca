// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What a mesh says of the documents that it holds, and takes in of others'.

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
        Body::Digest(self.spread.digest(now))
    }

    pub(super) fn digest(&mut self, now: Millis, key: PeerKey, it: &wire::Digest) {
        let Some(peer) = self.peers.get_mut(&key) else {
            return;
        };
        peer.revision = Revision::new(it.era, it.revision);
        for pull in self.spread.compare(now, it) {
            call!([peer.link], send(Body::Pull(pull)));
        }
    }

    pub(super) fn pull(&mut self, key: PeerKey, it: &wire::Pull) {
        let Some(peer) = self.peers.get(&key) else {
            return;
        };
        match self.spread.deltas(it) {
            Ok(deltas) => {
                for delta in deltas {
                    call!([peer.link], send(delta));
                }
            }
            Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    pub(super) fn delta(&mut self, cx: CX![], it: wire::Delta) {
        match convert::parse_delta(it) {
            Ok((what, delta)) => {
                let changed = self.spread.merge(what, delta);
                self.changed(cx, changed);
                self.tell_removals();
            }
            Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    pub(super) fn read(&mut self, cx: CX![], read: reader::Read) {
        let changed = self.spread.read(clock::now(), read);
        self.changed(cx, changed);
        self.tell_removals();
    }

    pub(super) fn removals(&mut self, cx: CX![], it: &wire::Removals) {
        match removals::parse(it) {
            Ok(told) => {
                let changed = self.spread.take_removals(&told);
                self.changed(cx, changed);
                self.tell_removals();
            }
            Err(_) => self.metrics.ignored(Ignored::BadFrame),
        }
    }

    /// Tells entries which removals they may not know. Only entries take lines from the
    /// service, so only they can take a copy for a live one.
    fn tell_removals(&mut self) {
        let untold = self.spread.take_untold();
        if untold.is_empty() || self.role != Role::Entry {
            return;
        }
        let untold: Vec<Removal<'_>> = untold.iter().map(|(key, at)| (key.as_str(), *at)).collect();
        let body = removals::body(&untold);
        for peer in self.peers.values().filter(|it| it.entry().is_some()) {
            call!([peer.link], send(body.clone()));
        }
    }

    /// Tells an entry that connects all removals.
    pub(super) fn tell_all_removals(&self, key: PeerKey) {
        let all = self.spread.removals();
        if all.is_empty() || self.role != Role::Entry {
            return;
        }
        if let Some(peer) = self.peers.get(&key).filter(|it| it.entry().is_some()) {
            call!([peer.link], send(removals::body(&all)));
        }
    }

    fn changed(&mut self, cx: CX![], changed: Option<StoreKind>) {
        match changed {
            None => return,
            Some(StoreKind::Declarations) => {
                let catalogue = self.spread.catalogue();
                self.owner.fwd(Event::Config(Rc::new(catalogue)));
            }
            Some(StoreKind::Instances) => {
                let listing = Listing {
                    instances: self.spread.instances().clone(),
                    revision: self.spread.list_revision(),
                    began: self.spread.list_beginning(),
                    back: self.spread.back(),
                };
                self.owner.fwd(Event::Instances(listing));
                self.place(cx);
            }
        }
        self.announce();
    }

    fn announce(&self) {
        self.tell(|_| true);
    }

    pub(super) fn tell(&self, wanted: impl Fn(&Peer) -> bool) {
        let digest = self.digest_body(clock::now());
        for peer in self.peers.values().filter(|it| wanted(it)) {
            call!([peer.link], send(digest.clone()));
        }
    }
}

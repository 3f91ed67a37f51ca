// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The replicated configuration store of a process, and the exchange by which two stores converge.
//!
//! Documents carry the revisions of the platform's service. A store at revision R contains every
//! document up to R, so a peer's delta after R makes the receiver as complete as the peer. Each
//! document keeps its last accepted version beside its newest one, so that an invalid edit does not
//! take the accepted version out of force.
//!
//! A revision tells where to continue reading. Which of two versions of a document is newer is
//! decided by the version number that its operator assigned, and by the revision only if there is
//! none: a service restored from a backup lists an earlier version at a later [`Revision`]. A
//! document that a restored service does not list may have been lost by the restore, so a document
//! of an earlier era stays until it is removed in the present one. An instance is dropped instead,
//! and is listed again when it next writes its line.

use std::collections::BTreeMap;

use crate::config::documents::Rejected;
use crate::config::parts::{Mask, Parts};
use crate::config::removals::Removals;
use crate::config::verdict::{Check, Verdict};
use crate::declaration;
use crate::reason::Ignored;
use crate::rendezvous;
use crate::revision::Revision;

pub mod documents;
pub mod list;
pub mod parts;
pub mod removals;
pub mod verdict;

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Version {
    /// The platform's revision at which this version was written.
    pub revision: Revision,
    /// TOML text.
    pub body: String,
}

/// A document as published, with its last accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Document {
    /// Path in the platform's service; the first segment names the partner.
    pub key: String,
    /// The newest version received.
    pub newest: Version,
    /// Whether the newest version is a removal.
    pub removed: bool,
    /// The last accepted version, if the newest one is refused.
    pub accepted: Option<Version>,
}

impl Document {
    fn size(&self) -> usize {
        let accepted = self.accepted.as_ref().map_or(0, |it| it.body.len());
        self.key.len() + self.newest.body.len() + accepted
    }
}

/// Summary of a store, which a process sends to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Highest revision of the store.
    pub revision: Revision,
    /// Declarations: hash of the keys of all documents that are not removed, with their newest
    /// revision and the revision in force.
    /// Instance list: hash of the content of its lines.
    pub hash: u64,
    /// A peer below this revision can't be sent the changes; it must compare the full content.
    pub since: Revision,
}

/// Request to a peer for the changes after a revision, or for a comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// Revision of the requesting store.
    pub after: Revision,
    /// Hashes of the requesting store's instance list, for a comparison.
    pub parts: Option<Parts>,
}

/// Marks a delta that lists the complete content, rather than changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// The complete store: a document that is not named does not exist. The sender has every
    /// removal after this revision.
    All(Revision),
    /// The complete content of these parts of the instance list. The hash is that of the receiver's
    /// list which the sender compared with its own.
    Parts(Mask, u64),
}

impl Coverage {
    fn mask(self) -> Mask {
        match self {
            Self::All(_) => Mask::ALL,
            Self::Parts(mask, _) => mask,
        }
    }
}

/// The documents changed after one revision and up to another, or the complete content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The receiver's store must be at this revision or later.
    pub after: Revision,
    /// Revision of the receiver's store afterwards.
    pub revision: Revision,
    /// The changed documents, or all of them.
    pub documents: Vec<Document>,
    /// Set if the documents are the complete content rather than changes.
    pub whole: Option<Coverage>,
}

/// Action that follows from comparing with a peer's digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// Both stores are equal.
    Same,
    /// The peer is ahead, or differs at the same revision: send it this pull.
    Pull(Pull),
    /// The peer is behind; it pulls when it receives this process's digest.
    Behind,
}

/// Kind of content of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKind {
    /// Declarations, which are validated before they come into force.
    Declarations = 0,
    /// The instance list, whose lines are stored without validation.
    Instances = 1,
}

impl StoreKind {
    /// Decodes the number used on the wire.
    pub fn parse(code: u32) -> Option<Self> {
        match code {
            0 => Some(Self::Declarations),
            1 => Some(Self::Instances),
            _ => None,
        }
    }
}

/// The configuration store of one process, of one kind of content.
#[derive(Debug)]
pub struct Store {
    what: StoreKind,
    check: Check,
    revision: Revision,
    /// Everything that existed at this revision is stored, possibly at lower revisions; items
    /// removed before it left no trace. Every change after it is stored, removals included.
    since: Revision,
    documents: BTreeMap<String, Document>,
    /// Hashes of the listed instances.
    parts: Parts,
    /// Recent removals of instances.
    removals: Removals,
    verdicts: BTreeMap<String, Verdict>,
    /// Versions rejected since the last call of `take_rejected`.
    rejected: Vec<Rejected>,
}

impl Store {
    /// Opens an empty store whose documents are in this project's own format.
    pub fn open(what: StoreKind) -> Self {
        Self::open_with(what, declaration::check)
    }

    /// Opens an empty store whose documents are in another format, validated by `check`.
    pub fn open_with(what: StoreKind, check: Check) -> Self {
        Self {
            what,
            check,
            revision: Revision::default(),
            since: Revision::default(),
            documents: BTreeMap::new(),
            parts: Parts::default(),
            removals: Removals::default(),
            verdicts: BTreeMap::new(),
            rejected: Vec::new(),
        }
    }

    /// Highest revision of the store.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes the document versions that were rejected since the last call.
    pub fn take_rejected(&mut self) -> Vec<Rejected> {
        std::mem::take(&mut self.rejected)
    }

    /// The document with this key; a removed one is returned with `removed` set.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.documents.get(key)
    }

    /// All documents ordered by key, removed ones included.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Validation results by document key; empty for the instance list, which is not validated.
    pub fn verdicts(&self) -> &BTreeMap<String, Verdict> {
        &self.verdicts
    }

    /// Digest of the store. For declarations the hash covers the revision in force as well as the
    /// newest one: otherwise a process that never received the last accepted version of a document
    /// with an invalid edit would not detect the difference. It does not cover removed documents: a
    /// process that started after a removal has no trace of it, and would differ forever from those
    /// that recorded it. A process that still holds the document differs from both.
    pub fn digest(&self) -> Digest {
        let hash = match self.what {
            StoreKind::Instances => self.parts.hash(),
            StoreKind::Declarations => {
                let line = |it: &Document| {
                    (it.key.clone(), it.newest.revision, self.revision_in_force(&it.key))
                };
                let present = self.documents.values().filter(|it| !it.removed);
                let held: Vec<(String, Revision, Option<Revision>)> = present.map(line).collect();
                rendezvous::stable_hash(&held)
            }
        };
        Digest { revision: self.revision, hash, since: self.since }
    }

    fn revision_in_force(&self, key: &str) -> Option<Revision> {
        self.verdicts.get(key)?.force.as_ref().map(|it| it.0)
    }

    /// Compares this store with a peer's digest. A different hash at the same revision is returned
    /// as [`Ignored::HashMismatch`] along with the pull.
    pub fn compare(&self, peer: Digest) -> (Compare, Option<Ignored>) {
        if peer.revision > self.revision {
            return (Compare::Pull(self.pull(peer.since > self.revision)), None);
        }
        if peer.revision < self.revision {
            return (Compare::Behind, None);
        }
        if peer.hash == self.digest().hash {
            return (Compare::Same, None);
        }
        (Compare::Pull(self.pull(true)), Some(Ignored::HashMismatch))
    }

    /// Builds a pull: for the changes after this store's revision, or, if `all` is set, for
    /// everything that differs.
    pub fn pull(&self, all: bool) -> Pull {
        match (self.what, all) {
            (_, false) => Pull { after: self.revision, parts: None },
            (StoreKind::Declarations, true) => Pull::default(),
            (StoreKind::Instances, true) => {
                Pull { after: self.revision, parts: Some(self.parts.clone()) }
            }
        }
    }

    /// Answers a pull with the changes that the peer lacks, in order of revision, in deltas of
    /// about `limit` bytes. Each delta makes the receiver complete up to its own revision, so they
    /// need not arrive together. That is at most this store's revision, although a read in pages
    /// may have found documents that were written later. Removals before `since` are unknown here,
    /// so a peer below that revision has to compare: it is sent all declarations, or the differing
    /// parts of the instance list.
    pub fn deltas(&self, pull: &Pull, limit: usize) -> Vec<Delta> {
        let after = pull.after;
        if let Some(parts) = &pull.parts {
            return vec![self.difference(after, parts)];
        }
        if after < self.since {
            return match self.what {
                StoreKind::Declarations => {
                    let documents = self.documents.values().cloned().collect();
                    let whole = Some(Coverage::All(self.since));
                    vec![Delta { after, revision: self.revision, documents, whole }]
                }
                // The peer pulled before it knew of `since`; after the next digest it compares.
                StoreKind::Instances => Vec::new(),
            };
        }
        let mut newer: Vec<&Document> =
            self.documents.values().filter(|it| it.newest.revision > after).collect();
        newer.sort_by_key(|it| it.newest.revision);
        let complete = self.revision.max(after);
        let mut deltas = vec![Delta { after, revision: after, documents: Vec::new(), whole: None }];
        let mut size = 0;
        for document in newer {
            size += document.size();
            let last = deltas.len() - 1;
            let full = size > limit && !deltas[last].documents.is_empty();
            let same = deltas[last].revision == document.newest.revision;
            if full && !same {
                let after = deltas[last].revision;
                deltas.push(Delta { after, revision: after, documents: Vec::new(), whole: None });
                size = document.size();
            }
            let last = deltas.len() - 1;
            deltas[last].revision = document.newest.revision.min(complete);
            deltas[last].documents.push(document.clone());
        }
        let last = deltas.len() - 1;
        deltas[last].revision = complete;
        deltas
    }

    /// The content of the parts of the instance list in which this store differs from a peer's
    /// hashes.
    fn difference(&self, after: Revision, parts: &Parts) -> Delta {
        let mask = self.parts.differing(parts);
        let listed = self.documents.values().filter(|it| !it.removed && mask.has(&it.key));
        let documents = listed.cloned().collect();
        let whole = Some(Coverage::Parts(mask, parts.hash()));
        Delta { after, revision: self.revision, documents, whole }
    }

    /// Merges a delta. Returns whether any content changed. A complete listing of declarations may
    /// be older than the store and still contain a newer accepted version; if it changes nothing,
    /// it is rejected as old.
    pub fn merge(&mut self, mut delta: Delta) -> Result<bool, Ignored> {
        if delta.after > self.revision {
            return Err(Ignored::DeltaGap);
        }
        if let Some(whole) = delta.whole {
            if self.what == StoreKind::Instances {
                return self.replace(delta, whole);
            }
            self.add_implied_removals(&mut delta);
        }
        let old = delta.revision < self.revision;
        let first = self.revision == Revision::default() && delta.revision > self.revision;
        let mut changed = first;
        for document in delta.documents {
            changed |= self.put(document);
        }
        // Items added and removed between the two revisions are unknown.
        if let Some(Coverage::All(since)) = delta.whole
            && since > self.revision
        {
            self.since = since;
        }
        if old && !changed {
            return Err(Ignored::OldRevision);
        }
        self.revision = self.revision.max(delta.revision);
        Ok(changed)
    }

    /// Whether the stored document has the same content, whatever its revision.
    pub(super) fn has_same_content(&self, document: &Document) -> bool {
        let held = self.documents.get(&document.key);
        held.is_some_and(|held| {
            held.removed == document.removed && held.newest.body == document.newest.body
        })
    }

    /// Merges a document or a line of the instance list. Returns whether the content changed.
    fn put(&mut self, document: Document) -> bool {
        match self.what {
            StoreKind::Declarations => self.put_document(document),
            StoreKind::Instances => self.put_line(document),
        }
    }
}

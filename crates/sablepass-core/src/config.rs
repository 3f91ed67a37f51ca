// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The configuration that a process holds, and how two processes agree on it.
//!
//! Documents carry the platform's revisions. Whoever holds revision R holds
//! every document up to R, so a peer's delta after R makes the receiver as
//! complete as the peer. Each document keeps its last accepted version
//! beside its newest one, so a bad edit loses nothing.
//!
//! A revision says what to read next. Which of two versions of a document is
//! the newer one is said by the number that its operator gave it, and by the
//! revision only where there is none: a service that was restored from a copy
//! lists an earlier version at a later [`Revision`]. What such a service does
//! not list may be what it lost, so a document of an earlier era stays until
//! it is removed in the present one; an instance is dropped, and is back when
//! it writes its line again.

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
    /// The platform's revision of this version.
    pub revision: Revision,
    /// TOML text.
    pub body: String,
}

/// A document as published, with its last accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Document {
    /// Path in the platform's service; its first part names the partner.
    pub key: String,
    /// The newest version seen.
    pub newest: Version,
    /// Whether the newest version is a removal.
    pub removed: bool,
    /// The last version that was accepted, when the newest one is refused.
    pub accepted: Option<Version>,
}

impl Document {
    fn size(&self) -> usize {
        let accepted = self.accepted.as_ref().map_or(0, |it| it.body.len());
        self.key.len() + self.newest.body.len() + accepted
    }
}

/// What a process tells its peers of what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Highest revision held.
    pub revision: Revision,
    /// Hash of all keys, revisions held, and revisions in force; of the instance list, of what its lines say.
    pub hash: u64,
    /// Whoever holds less than this revision has to be told by comparison.
    pub since: Revision,
}

/// What a process asks a peer for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// The revision held.
    pub after: Revision,
    /// What is held, for a comparison.
    pub parts: Option<Parts>,
}

/// What a delta is besides changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whole {
    /// All that there is: what it does not name is gone. Since this revision the sender
    /// knows of each removal.
    All(Revision),
    /// The same of these parts, which differed from what the receiver held by this hash.
    Parts(Mask, u64),
}

impl Whole {
    fn mask(self) -> Mask {
        match self {
            Self::All(_) => Mask::ALL,
            Self::Parts(mask, _) => mask,
        }
    }
}

/// Documents changed after a revision, up to another; or all that there are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The receiver must hold at least this revision.
    pub after: Revision,
    /// What the receiver holds afterwards.
    pub revision: Revision,
    /// The changed documents.
    pub documents: Vec<Document>,
    /// Set where the documents are not changes, but what there is.
    pub whole: Option<Whole>,
}

/// What a peer's digest asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// Nothing to do.
    Same,
    /// The peer is ahead: pull this from it.
    Pull(Pull),
    /// The peer is behind: it will pull when it hears of us.
    Behind,
}

/// What a store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Declarations, which are checked before they are in force.
    Declarations = 0,
    /// The instance list, which is taken as it is.
    Instances = 1,
}

impl What {
    /// Reads a number from the wire.
    pub fn parse(code: u32) -> Option<Self> {
        match code {
            0 => Some(Self::Declarations),
            1 => Some(Self::Instances),
            _ => None,
        }
    }
}

/// The store of one process.
#[derive(Debug)]
pub struct Store {
    what: What,
    check: Check,
    revision: Revision,
    /// What was there at this revision is held, by lines that may have older ones; what came
    /// and went before it left no trace here. Of what is later each change is held.
    since: Revision,
    documents: BTreeMap<String, Document>,
    /// Of the instances that are there.
    parts: Parts,
    /// Of the instances that were there.
    removals: Removals,
    verdicts: BTreeMap<String, Verdict>,
    /// Documents not taken since this was last asked for.
    rejected: Vec<Rejected>,
}

impl Store {
    /// Opens an empty store of documents in this project's own form.
    pub fn open(what: What) -> Self {
        Self::open_with(what, declaration::check)
    }

    /// Opens an empty store of documents in another form.
    pub fn open_with(what: What, check: Check) -> Self {
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

    /// Highest revision held.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The documents that were not taken since this was last called.
    pub fn take_rejected(&mut self) -> Vec<Rejected> {
        std::mem::take(&mut self.rejected)
    }

    /// A document, or its removal.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.documents.get(key)
    }

    /// All documents by key, removals included.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// What became of each document, by key. Instances are not judged.
    pub fn verdicts(&self) -> &BTreeMap<String, Verdict> {
        &self.verdicts
    }

    /// What is held, in short: all keys with their newest revision and the
    /// one in force. Without the latter, a process that never saw the last
    /// accepted version of a badly edited document would not notice.
    pub fn digest(&self) -> Digest {
        let hash = match self.what {
            What::Instances => self.parts.hash(),
            What::Declarations => {
                let line =
                    |it: &Document| (it.key.clone(), it.newest.revision, self.force(&it.key));
                let held: Vec<(String, Revision, Option<Revision>)> =
                    self.documents.values().map(line).collect();
                rendezvous::stable_hash(&held)
            }
        };
        Digest { revision: self.revision, hash, since: self.since }
    }

    /// Revision in force of a document.
    fn force(&self, key: &str) -> Option<Revision> {
        self.verdicts.get(key)?.force.as_ref().map(|it| it.0)
    }

    /// Compares with a peer's digest.
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

    /// What to ask for: what changed since, or all that differs.
    pub fn pull(&self, all: bool) -> Pull {
        match (self.what, all) {
            (_, false) => Pull { after: self.revision, parts: None },
            (What::Declarations, true) => Pull::default(),
            (What::Instances, true) => {
                Pull { after: self.revision, parts: Some(self.parts.clone()) }
            }
        }
    }

    /// What a peer lacks, in order of revision and in parts of about `limit` bytes. Each
    /// part makes the receiver complete up to its revision, so the parts need not arrive
    /// together. A peer that may hold what was gone before this process knew of removals has
    /// to compare, and gets the parts of the list that differ at once.
    pub fn deltas(&self, pull: &Pull, limit: usize) -> Vec<Delta> {
        let after = pull.after;
        if let Some(parts) = &pull.parts {
            return vec![self.difference(after, parts)];
        }
        if after < self.since {
            return match self.what {
                What::Declarations => {
                    let documents = self.documents.values().cloned().collect();
                    let whole = Some(Whole::All(self.since));
                    vec![Delta { after, revision: self.revision, documents, whole }]
                }
                // It asked before it knew; the next digest tells it.
                What::Instances => Vec::new(),
            };
        }
        let mut newer: Vec<&Document> =
            self.documents.values().filter(|it| it.newest.revision > after).collect();
        newer.sort_by_key(|it| it.newest.revision);
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
            deltas[last].revision = document.newest.revision;
            deltas[last].documents.push(document.clone());
        }
        let last = deltas.len() - 1;
        deltas[last].revision = self.revision.max(after);
        deltas
    }

    /// What this process holds of the parts in which it differs from a peer.
    fn difference(&self, after: Revision, parts: &Parts) -> Delta {
        let mask = self.parts.differing(parts);
        let there = self.documents.values().filter(|it| !it.removed && mask.has(&it.key));
        let documents = there.cloned().collect();
        let whole = Some(Whole::Parts(mask, parts.hash()));
        Delta { after, revision: self.revision, documents, whole }
    }

    /// Takes a delta in. True if any content changed. The parts of a full copy
    /// may be older than what is held and still bring an accepted version;
    /// one that brings nothing is old.
    pub fn merge(&mut self, mut delta: Delta) -> Result<bool, Ignored> {
        if delta.after > self.revision {
            return Err(Ignored::DeltaGap);
        }
        if let Some(whole) = delta.whole {
            if self.what == What::Instances {
                return self.replace(delta, whole);
            }
            self.complete(&mut delta);
        }
        let old = delta.revision < self.revision;
        let first = self.revision == Revision::default() && delta.revision > self.revision;
        let mut changed = first;
        for document in delta.documents {
            changed |= self.put(document);
        }
        // What came and went between the two revisions is not known here.
        if let Some(Whole::All(since)) = delta.whole
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

    /// Whether what is held says the same.
    pub(super) fn holds(&self, it: &Document) -> bool {
        let held = self.documents.get(&it.key);
        held.is_some_and(|held| held.removed == it.removed && held.newest.body == it.newest.body)
    }

    /// Takes a document or line in. True if that changed what is held.
    fn put(&mut self, document: Document) -> bool {
        match self.what {
            What::Declarations => self.put_document(document),
            What::Instances => self.put_line(document),
        }
    }
}

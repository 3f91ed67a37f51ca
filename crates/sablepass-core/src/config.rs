// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The configuration that a process holds, and how two processes agree on it.
//!
//! Documents carry the platform's revisions. Whoever holds revision R holds
//! every document up to R, so a peer's delta after R makes the receiver as
//! complete as the peer. The highest revision wins for good; anything older
//! is ignored and counted. Each document keeps its last accepted version
//! beside its newest one, so a bad edit loses nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::config::parts::{Mask, Parts};
use crate::declaration::{self, Declarations};
use crate::reason::Ignored;
use crate::rendezvous;

pub mod parts;

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Version {
    /// The platform's revision of this version.
    pub revision: u64,
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

/// What became of a document, found once when it arrived.
#[derive(Debug)]
pub struct Verdict {
    /// Revision in force, and what it declares.
    pub force: Option<(u64, Rc<Declarations>)>,
    /// Why the newest version is refused.
    pub refused: Option<declaration::Error>,
}

/// Reads and judges the text of a document, given its key.
pub type Check = fn(&str, &str) -> declaration::Result<Declarations>;

impl Verdict {
    fn of(document: &Document, check: Check) -> Self {
        if document.removed {
            return Self { force: None, refused: None };
        }
        let check = |it: &Version| check(&document.key, &it.body);
        match check(&document.newest) {
            Ok(it) => {
                let force = Some((document.newest.revision, Rc::new(it)));
                Self { force, refused: None }
            }
            Err(e) => {
                let accepted = document.accepted.as_ref();
                let force = accepted.and_then(|it| Some((it.revision, Rc::new(check(it).ok()?))));
                Self { force, refused: Some(e) }
            }
        }
    }
}

/// What a process tells its peers of what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Highest revision held.
    pub revision: u64,
    /// Hash of all keys, revisions held, and revisions in force; of the instance list, of what its lines say.
    pub hash: u64,
    /// Whoever holds less than this revision has to be told by comparison.
    pub since: u64,
}

/// What a process asks a peer for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// The revision held.
    pub after: u64,
    /// What is held, for a comparison.
    pub parts: Option<Parts>,
}

/// What a delta is besides changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whole {
    /// All that there is: what it does not name is gone. Since this revision the sender
    /// knows of each removal.
    All(u64),
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
    pub after: u64,
    /// What the receiver holds afterwards.
    pub revision: u64,
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
    revision: u64,
    /// What was there at this revision is held, by lines that may have older ones; what came
    /// and went before it left no trace here. Of what is later each change is held.
    since: u64,
    documents: BTreeMap<String, Document>,
    /// Of the instances that are there.
    parts: Parts,
    verdicts: BTreeMap<String, Verdict>,
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
            revision: 0,
            since: 0,
            documents: BTreeMap::new(),
            parts: Parts::default(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Highest revision held.
    pub fn revision(&self) -> u64 {
        self.revision
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
                let held: Vec<(String, u64, Option<u64>)> =
                    self.documents.values().map(line).collect();
                rendezvous::stable_hash(&held)
            }
        };
        Digest { revision: self.revision, hash, since: self.since }
    }

    /// Revision in force of a document.
    fn force(&self, key: &str) -> Option<u64> {
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
    fn pull(&self, all: bool) -> Pull {
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
    fn difference(&self, after: u64, parts: &Parts) -> Delta {
        let mask = self.parts.differing(parts);
        let there = self.documents.values().filter(|it| !it.removed && mask.has(&it.key));
        let documents = there.cloned().collect();
        let whole = Some(Whole::Parts(mask, parts.hash()));
        Delta { after, revision: self.revision, documents, whole }
    }

    /// Takes a delta in. True if anything changed. The parts of a full copy
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
        let mut changed = delta.revision > self.revision;
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

    /// Takes in what there is of some parts of the list. True if any line changed. A line that says the same keeps
    /// its revision, and is told to no peer: whoever is behind this revision compares.
    fn replace(&mut self, delta: Delta, whole: Whole) -> Result<bool, Ignored> {
        let other = matches!(whole, Whole::Parts(_, of) if of != self.parts.hash());
        if delta.revision < self.revision || other {
            return Err(Ignored::OldRevision);
        }
        let newer = delta.revision > self.revision;
        let mut changed = false;
        for key in self.unnamed(&delta, whole.mask()) {
            self.remove(&key);
            changed = true;
        }
        for document in delta.documents {
            let held = self.documents.get(&document.key);
            let later = held.is_some_and(|it| it.newest.revision > delta.revision);
            let older = held.is_some_and(|it| it.newest.revision >= document.newest.revision);
            if later || self.holds(&document) || (older && !newer) {
                continue;
            }
            self.insert(document);
            changed = true;
        }
        self.revision = delta.revision;
        self.since = delta.revision;
        // Whoever is told of these by comparison has no use for them.
        self.documents.retain(|_, it| !it.removed || it.newest.revision > delta.revision);
        Ok(changed)
    }

    /// What is held of some parts, is not named and is not newer.
    fn unnamed(&self, delta: &Delta, mask: Mask) -> Vec<String> {
        let named: BTreeSet<&str> = delta.documents.iter().map(|it| it.key.as_str()).collect();
        let gone = |it: &&Document| {
            let there = !it.removed && it.newest.revision < delta.revision;
            there && mask.has(&it.key) && !named.contains(it.key.as_str())
        };
        self.documents.values().filter(gone).map(|it| it.key.clone()).collect()
    }

    fn insert(&mut self, document: Document) {
        self.remove(&document.key);
        if !document.removed {
            self.parts.toggle(&document.key, &document.newest.body);
        }
        self.documents.insert(document.key.clone(), document);
    }

    fn remove(&mut self, key: &str) {
        if let Some(held) = self.documents.remove(key).filter(|it| !it.removed) {
            self.parts.toggle(key, &held.newest.body);
        }
    }

    /// Makes a delta out of everything that there is: what is held, is not
    /// named and is not newer is removed. What was gone already may have been
    /// back meanwhile, for those who hold more of its history: it is gone again.
    fn complete(&self, delta: &mut Delta) {
        let named: BTreeSet<&String> = delta.documents.iter().map(|it| &it.key).collect();
        let gone = |it: &&Document| !named.contains(&it.key) && it.newest.revision < delta.revision;
        let removal = |it: &Document| Document {
            key: it.key.clone(),
            newest: Version { revision: delta.revision, body: String::new() },
            removed: true,
            accepted: None,
        };
        let removals: Vec<Document> = self.documents.values().filter(gone).map(removal).collect();
        delta.documents.extend(removals);
    }

    /// Leaves out of a watch's answer the instances that say the same as what is
    /// held: each target writes its line anew with every heartbeat, and a line
    /// that is left out keeps its revision and is told to no peer. That is sound
    /// only where *all* changes of a line since then say the same. Where one says
    /// something else, as that a target left, the last one counts: it may be back
    /// as it was, and a peer that learnt of its leaving learns of its return only
    /// by a later revision. A read of everything, which does not show what was
    /// in between, is not trimmed.
    pub fn trim(&self, delta: &mut Delta) {
        if self.what != What::Instances || delta.whole.is_some() {
            return;
        }
        let other = |it: &&Document| !self.holds(it);
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for it in delta.documents.iter().filter(other) {
            last.insert(it.key.clone(), 0);
        }
        for it in &delta.documents {
            if let Some(last) = last.get_mut(&it.key) {
                *last = it.newest.revision.max(*last);
            }
        }
        delta.documents.retain(|it| last.get(&it.key) == Some(&it.newest.revision));
    }

    /// Whether what is held says the same.
    fn holds(&self, it: &Document) -> bool {
        let held = self.documents.get(&it.key);
        held.is_some_and(|held| held.removed == it.removed && held.newest.body == it.newest.body)
    }

    fn put(&mut self, mut document: Document) -> bool {
        let held = self.documents.get(&document.key).map(|it| it.newest.revision);
        let known = held.is_none() || self.what == What::Instances;
        if known && document.newest.revision <= self.since {
            // Everything was read later than that.
            return false;
        }
        if held > Some(document.newest.revision) {
            return false;
        }
        if held == Some(document.newest.revision) {
            return self.adopt(&document);
        }
        if self.what == What::Declarations {
            self.judge(&mut document);
        }
        self.insert(document);
        true
    }

    /// Takes a peer's last accepted version of a document whose newest one is
    /// held and refused, if that is newer than what is in force here.
    fn adopt(&mut self, document: &Document) -> bool {
        let accepted = document.accepted.as_ref();
        let newer = accepted.map(|it| it.revision) > self.force(&document.key);
        let Some(held) = self.documents.get_mut(&document.key).filter(|_| newer) else {
            return false;
        };
        held.accepted = accepted.cloned();
        let verdict = Verdict::of(held, self.check);
        self.verdicts.insert(document.key.clone(), verdict);
        true
    }

    /// Judges a document that takes over from the one held. What that one had
    /// in force stays so while the new one is refused.
    fn judge(&mut self, document: &mut Document) {
        let older = self.documents.get(&document.key);
        let force = self.verdicts.get(&document.key).and_then(|it| it.force.as_ref());
        let inherited = force.map(|it| it.0);
        let known = document.accepted.as_ref().map(|it| it.revision);
        if inherited > known
            && let Some(older) = older
        {
            let newest = Some(&older.newest).filter(|it| Some(it.revision) == inherited);
            document.accepted = newest.or(older.accepted.as_ref()).cloned();
        }
        self.verdicts.insert(document.key.clone(), Verdict::of(document, self.check));
    }
}

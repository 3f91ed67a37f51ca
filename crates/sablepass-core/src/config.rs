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

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::config::parts::{Mask, Parts};
use crate::config::removals::Removals;
use crate::declaration::{self, Declarations};
use crate::reason::Ignored;
use crate::rendezvous;
use crate::revision::Revision;

pub mod parts;
pub mod removals;

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

/// What became of a document, found once when it arrived.
#[derive(Debug)]
pub struct Verdict {
    /// Revision in force, and what it declares.
    pub force: Option<(Revision, Rc<Declarations>)>,
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

    /// Which of two verdicts on a document has the newer declarations in force, where their
    /// operator numbered both.
    fn numbered(&self, other: &Self) -> Option<Ordering> {
        let number = |it: &Self| it.force.as_ref()?.1.version;
        Some(number(self)?.cmp(&number(other)?))
    }

    /// Whether this one has newer declarations in force.
    fn supersedes(&self, other: &Self) -> bool {
        let revision = |it: &Self| it.force.as_ref().map(|it| it.0);
        let numbered = self.numbered(other).unwrap_or(Ordering::Equal);
        numbered.then(revision(self).cmp(&revision(other))).is_gt()
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

/// Versions not taken that are remembered until somebody asks for them.
const MOST_REJECTED: usize = 64;

/// A version of a document that is not taken: its operator's number is lower than that of
/// the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The document.
    pub key: String,
    /// Revision of the version.
    pub revision: Revision,
    /// Its number.
    pub version: Option<u64>,
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
            if delta.revision.era == self.revision.era {
                self.removals.record(&key, delta.revision);
            }
            changed = true;
        }
        for document in delta.documents {
            let held = self.documents.get(&document.key);
            let later = held.is_some_and(|it| it.newest.revision > delta.revision);
            let older = held.is_some_and(|it| it.newest.revision >= document.newest.revision);
            if later || self.holds(&document) || (older && !newer) {
                continue;
            }
            if !self.admits(whole, &document) {
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

    /// Whether a line is to be taken. What a peer lists it has judged itself.
    fn admits(&mut self, whole: Whole, line: &Document) -> bool {
        let Version { revision, .. } = line.newest;
        match whole {
            Whole::All(_) => self.removals.admits_listed(&line.key, revision),
            Whole::Parts(..) => self.removals.admits_written(&line.key, revision),
        }
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
    /// Only a read of the present era shows that a document of that era is gone.
    fn complete(&self, delta: &mut Delta) {
        let Revision { era, .. } = delta.revision;
        if era < self.revision.era {
            return;
        }
        let named: BTreeSet<&String> = delta.documents.iter().map(|it| &it.key).collect();
        let gone = |it: &&Document| {
            let Version { revision, .. } = it.newest;
            revision.era == era && revision < delta.revision && !named.contains(&it.key)
        };
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
        let mut last: BTreeMap<String, Revision> = BTreeMap::new();
        for it in delta.documents.iter().filter(other) {
            last.insert(it.key.clone(), Revision::default());
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

    /// Takes a document or line in. True if that changed what is held.
    fn put(&mut self, document: Document) -> bool {
        match self.what {
            What::Declarations => self.put_document(document),
            What::Instances => self.put_line(document),
        }
    }

    fn put_line(&mut self, line: Document) -> bool {
        let Version { revision, .. } = line.newest;
        // Everything was read later than that.
        let read = revision <= self.since;
        let held = self.documents.get(&line.key).map(|it| it.newest.revision);
        if read || held >= Some(revision) {
            return false;
        }
        if line.removed {
            self.removals.record(&line.key, revision);
        } else if !self.removals.admits_written(&line.key, revision) {
            return false;
        }
        self.insert(line);
        true
    }

    fn put_document(&mut self, mut document: Document) -> bool {
        let Version { revision, .. } = document.newest;
        let held = self.documents.get(&document.key).map(|it| it.newest.revision);
        let read = revision.era == self.since.era && revision <= self.since;
        if held.is_none() && read {
            // Everything was read later than that.
            return false;
        }
        if held == Some(revision) {
            return self.adopt(&document);
        }
        let verdict = self.judge(&mut document);
        let known = self.verdicts.get(&document.key);
        let newer = match known.and_then(|it| verdict.numbered(it)) {
            Some(Ordering::Less) => {
                let version = verdict.force.and_then(|it| it.1.version);
                if self.rejected.len() < MOST_REJECTED {
                    self.rejected.push(Rejected { key: document.key, revision, version });
                }
                return false;
            }
            Some(Ordering::Greater) => true,
            Some(Ordering::Equal) | None => held < Some(revision),
        };
        if !newer {
            return false;
        }
        let accepted = self.documents.get(&document.key).and_then(|it| it.accepted.as_ref());
        // What is written again at another revision is no change.
        let changed = !self.holds(&document) || accepted != document.accepted.as_ref();
        self.verdicts.insert(document.key.clone(), verdict);
        self.insert(document);
        changed
    }

    /// Takes a peer's last accepted version of a document whose newest one is
    /// held and refused, if that is newer than what is in force here.
    fn adopt(&mut self, document: &Document) -> bool {
        let Some(held) = self.documents.get(&document.key) else { return false };
        if document.accepted.is_none() || document.accepted == held.accepted {
            return false;
        }
        let adopted = Document { accepted: document.accepted.clone(), ..held.clone() };
        let verdict = Verdict::of(&adopted, self.check);
        let known = self.verdicts.get(&document.key);
        if known.is_some_and(|it| !verdict.supersedes(it)) {
            return false;
        }
        self.verdicts.insert(document.key.clone(), verdict);
        self.documents.insert(document.key.clone(), adopted);
        true
    }

    /// Judges a document that takes over from the one held. What that one had
    /// in force stays so while the new one is refused.
    fn judge(&self, document: &mut Document) -> Verdict {
        let verdict = Verdict::of(document, self.check);
        let (Some(older), Some(known)) =
            (self.documents.get(&document.key), self.verdicts.get(&document.key))
        else {
            return verdict;
        };
        if verdict.refused.is_none() || !known.supersedes(&verdict) {
            return verdict;
        }
        let force = known.force.as_ref().map(|it| it.0);
        let newest = Some(&older.newest).filter(|it| Some(it.revision) == force);
        document.accepted = newest.or(older.accepted.as_ref()).cloned();
        let force = known.force.clone();
        Verdict { force, refused: verdict.refused }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How a store takes declarations in: which version of a document is the newer
//! one, and which documents are gone.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use crate::config::verdict::Verdict;
use crate::config::{Delta, Document, Store, Version};
use crate::revision::Revision;

/// Versions not taken that are remembered until somebody asks for them.
const MOST_REJECTED: usize = 64;

/// A version of a document that is not taken: its operator's number is lower than that of
/// the one in force, or it is a copy of the line of an instance that left.
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
    /// Makes a delta out of everything that there is: what is held, is not
    /// named and is not newer is removed. What was gone already may have been
    /// back meanwhile, for those who hold more of its history: it is gone again.
    /// Only a read of the present era shows that a document of that era is gone.
    pub(super) fn complete(&self, delta: &mut Delta) {
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

    pub(super) fn put_document(&mut self, mut document: Document) -> bool {
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
                self.reject(Rejected { key: document.key, revision, version });
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

    pub(super) fn reject(&mut self, it: Rejected) {
        if self.rejected.len() < MOST_REJECTED {
            self.rejected.push(it);
        }
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

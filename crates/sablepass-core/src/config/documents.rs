// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Merging of declarations into a store: which version of a document is the newer one, and which
//! documents were removed.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use crate::config::verdict::Verdict;
use crate::config::{Delta, Document, Store, Version};
use crate::revision::Revision;

/// Rejected versions kept until the next `take_rejected`; further ones are dropped.
const MAX_REJECTED: usize = 64;

/// A version that a store rejected: the operator's version number is lower than that of the version
/// in force, or it is the line of a removed instance from a restored backup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Key of the document or line.
    pub key: String,
    /// Revision of the rejected version.
    pub revision: Revision,
    /// Version number assigned by the operator, if any.
    pub version: Option<u64>,
}

impl Store {
    /// Adds removals to a complete listing: for each stored document that the listing neither names
    /// nor predates. A document already removed here is marked again at the later revision, since a
    /// peer with more of the history may have seen it return meanwhile. A listing shows only that
    /// documents of its own era are gone, and one that is older than the store shows nothing: the
    /// store has every removal up to its own revision.
    pub(super) fn add_implied_removals(&self, delta: &mut Delta) {
        let Revision { era, .. } = delta.revision;
        if delta.revision < self.revision {
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
        let covered = revision.era == self.since.era && revision <= self.since;
        if held.is_none() && covered {
            // Already covered by a complete listing at a later revision.
            return false;
        }
        if held == Some(revision) {
            return self.adopt(&document);
        }
        let verdict = self.judge(&mut document);
        let known = self.verdicts.get(&document.key);
        let newer = match known.and_then(|it| verdict.compare_versions(it)) {
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
        // A rewrite with the same content at another revision is not a change.
        let changed = !self.has_same_content(&document) || accepted != document.accepted.as_ref();
        self.verdicts.insert(document.key.clone(), verdict);
        self.insert(document);
        changed
    }

    pub(super) fn reject(&mut self, rejected: Rejected) {
        if self.rejected.len() < MAX_REJECTED {
            self.rejected.push(rejected);
        }
    }

    /// Adopts a peer's last accepted version of a document whose newest version is stored here and
    /// refused, if the peer's is newer than the version in force.
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

    /// Validates a document that replaces the stored one. If it is refused, the version in force
    /// stays and is recorded as its last accepted version.
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

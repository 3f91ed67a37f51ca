// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Validation of a document when it arrives.

use std::cmp::Ordering;
use std::rc::Rc;

use crate::config::{Document, Version};
use crate::declaration::{self, Declarations};
use crate::revision::Revision;

/// Result of validating a document, computed once when it arrives.
#[derive(Debug)]
pub struct Verdict {
    /// The revision in force and its declarations.
    pub force: Option<(Revision, Rc<Declarations>)>,
    /// Reason why the newest version is refused.
    pub refused: Option<declaration::Error>,
}

/// Parses and validates a document, given its key and its text.
pub type Check = fn(&str, &str) -> declaration::Result<Declarations>;

impl Verdict {
    pub(super) fn of(document: &Document, check: Check) -> Self {
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

    /// Compares the operator's version numbers of the declarations in force; `None` unless both
    /// have one.
    pub(super) fn compare_versions(&self, other: &Self) -> Option<Ordering> {
        let number = |it: &Self| it.force.as_ref()?.1.version;
        Some(number(self)?.cmp(&number(other)?))
    }

    /// Whether this document's declarations in force are newer than the other's: by version number,
    /// then by revision.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        let revision = |it: &Self| it.force.as_ref().map(|it| it.0);
        let versions = self.compare_versions(other).unwrap_or(Ordering::Equal);
        versions.then(revision(self).cmp(&revision(other))).is_gt()
    }
}

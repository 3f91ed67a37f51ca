// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What becomes of a document when it arrives.

use std::cmp::Ordering;
use std::rc::Rc;

use crate::config::{Document, Version};
use crate::declaration::{self, Declarations};
use crate::revision::Revision;

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

    /// Which of two verdicts on a document has the newer declarations in force, where their
    /// operator numbered both.
    pub(super) fn numbered(&self, other: &Self) -> Option<Ordering> {
        let number = |it: &Self| it.force.as_ref()?.1.version;
        Some(number(self)?.cmp(&number(other)?))
    }

    /// Whether this one has newer declarations in force.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        let revision = |it: &Self| it.force.as_ref().map(|it| it.0);
        let numbered = self.numbered(other).unwrap_or(Ordering::Equal);
        numbered.then(revision(self).cmp(&revision(other))).is_gt()
    }
}

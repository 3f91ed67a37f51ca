// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Spanning tree over the members of a group. A broadcast along the tree delivers
//! one message to each member.
//!
//! Member 0 is the root. Each member has up to `ceil(sqrt(size))` children, so no
//! member is more than two hops from the root. If every member sent its vote to
//! every other member, a switch in a group of 192 would take 36,672 messages, 191
//! of them to each member. Along the tree, the plan, the votes and the outcome
//! together take 573 messages, at most 16 of them for one member.

use std::ops::Range;

use crate::expert::members::Members;

/// The spanning tree of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tree {
    size: u16,
    /// Maximum number of children per member.
    fanout: u16,
}

impl Tree {
    /// Creates the tree of a group of `size` members.
    pub fn open(size: u16) -> Self {
        Self { size, fanout: f64::from(size).sqrt().ceil().max(1.0) as u16 }
    }

    /// Returns the parent of a member, or `None` for the root.
    pub fn parent(&self, member: u16) -> Option<u16> {
        member.checked_sub(1).map(|it| it / self.fanout)
    }

    /// Returns the direct children of a member.
    pub fn children(&self, member: u16) -> Range<u16> {
        let first = member.saturating_mul(self.fanout).saturating_add(1).min(self.size);
        first..first.saturating_add(self.fanout).min(self.size)
    }

    /// Returns a member and all its descendants.
    pub fn subtree(&self, member: u16) -> Members {
        let mut all = Members::one(member);
        for child in self.children(member) {
            all = all.union(&self.subtree(child));
        }
        all
    }
}

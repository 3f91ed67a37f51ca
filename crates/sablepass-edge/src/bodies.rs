// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Counts the bytes of request bodies that the connections of a server hold together, from the
//! request's head to the end of its answer.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of the bodies of all connections of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBytes(Rc<Cell<usize>>);

/// Bytes of the body of one connection, which are released when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    total: BodyBytes,
    own: usize,
}

impl HeldBody {
    /// Creates the count of a connection without a body.
    pub(crate) fn open(total: &BodyBytes) -> Self {
        Self { total: total.clone(), own: 0 }
    }

    /// Raises the size of the body to `bytes`. Returns false if all bodies together would exceed
    /// `limit`; a body that is the only one always fits.
    pub(crate) fn grow(&mut self, bytes: usize, limit: usize) -> bool {
        if bytes <= self.own {
            return true;
        }
        let others = self.total.0.get() - self.own;
        if others > 0 && others.saturating_add(bytes) > limit {
            return false;
        }
        self.total.0.set(others.saturating_add(bytes));
        self.own = bytes;
        true
    }

    /// Releases the bytes of the body.
    pub(crate) fn release(&mut self) {
        self.total.0.set(self.total.0.get() - self.own);
        self.own = 0;
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.release();
    }
}

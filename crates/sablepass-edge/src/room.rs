// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Memory that several holders share, such as the connections of a server for the bodies of their
//! requests. Each has a share, and all shares together stay within a limit.

use std::cell::Cell;
use std::rc::Rc;

/// Size up to which a share counts as small.
const SMALL_BYTES: usize = 64 * 1024;
/// Part of the limit that is reserved for small shares, so that a few large ones do not keep out
/// all others: an eighth.
const RESERVED_PART: usize = 8;

#[derive(Debug)]
struct State {
    limit: Cell<usize>,
    used: Cell<usize>,
    /// Size of the largest share that did not fit since the last call of [`Room::take_shortage`].
    wanted: Cell<usize>,
}

/// Memory that is shared.
#[derive(Clone, Debug)]
pub struct Room(Rc<State>);

impl Room {
    /// Creates a room for shares of at most `limit` bytes together.
    pub fn open(limit: usize) -> Self {
        Self(Rc::new(State { limit: Cell::new(limit), used: Cell::new(0), wanted: Cell::new(0) }))
    }

    /// Changes the limit. Shares that exceed it stay as they are.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.set(limit);
    }

    /// Returns whether a large share would not fit.
    pub fn is_full(&self) -> bool {
        self.0.used.get() >= self.large_limit()
    }

    /// Returns the number of bytes that must be released so that the largest share fits that did
    /// not fit since the last call; 0 if all did.
    pub fn take_shortage(&self) -> usize {
        match self.0.wanted.take() {
            0 => 0,
            wanted => (self.0.used.get().saturating_add(wanted)).saturating_sub(self.large_limit()),
        }
    }

    fn large_limit(&self) -> usize {
        self.0.limit.get() - self.reserve()
    }

    fn reserve(&self) -> usize {
        self.0.limit.get() / RESERVED_PART
    }
}

/// Part of a [`Room`], which is released when this is dropped.
#[derive(Debug)]
pub struct Share {
    room: Room,
    own: usize,
}

impl Share {
    /// Creates an empty share.
    pub fn open(room: &Room) -> Self {
        Self { room: room.clone(), own: 0 }
    }

    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        self.own
    }

    /// Returns the room of the share.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// Changes the size to `bytes`. Returns false and changes nothing if the share grows and does
    /// not fit. A share of any size fits while the others take no more than the reserve for small
    /// ones.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (room, state) = (&self.room, &self.room.0);
        let others = state.used.get() - self.own;
        let limit = if bytes <= SMALL_BYTES { state.limit.get() } else { room.large_limit() };
        if bytes > self.own && others > room.reserve() && others.saturating_add(bytes) > limit {
            state.wanted.set(state.wanted.get().max(bytes));
            return false;
        }
        self.set(bytes);
        true
    }

    /// Changes the size to `bytes`, whether it fits or not.
    pub fn set(&mut self, bytes: usize) {
        let used = &self.room.0.used;
        used.set((used.get() - self.own).saturating_add(bytes));
        self.own = bytes;
    }

    /// Releases all bytes.
    pub fn release(&mut self) {
        self.set(0);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release();
    }
}

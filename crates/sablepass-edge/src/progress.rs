// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Progress of the connections of a server, by which it chooses those that give way to others when
//! memory or connections are short.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time in which no connection counts as slow.
const GRACE: Duration = Duration::from_secs(1);
/// Bytes per second below which a connection that sends a request or reads an answer is slow.
const MIN_RATE: f64 = 64.0 * 1024.0;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Nothing: it waits for a request.
    Idle,
    /// It receives a request.
    Receiving,
    /// The owner of the server has its request.
    Busy,
    /// It has output that its caller has not read.
    Writing,
}

impl Activity {
    /// Returns the label of the counter.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Busy => "busy",
            Self::Writing => "unread",
        }
    }
}

/// Progress of one connection. It is shared by the connection, which updates it, and its server.
#[derive(Debug)]
pub(crate) struct Progress {
    activity: Cell<Activity>,
    since: Cell<Instant>,
    /// Bytes received or written since the activity began.
    moved: Cell<usize>,
    /// Bytes that the connection holds for its request.
    pub(crate) body: Cell<usize>,
    /// Bytes of the connection's other buffers.
    pub(crate) buffers: Cell<usize>,
}

impl Progress {
    /// Creates the progress of an idle connection.
    pub(crate) fn open() -> Self {
        Self {
            activity: Cell::new(Activity::Idle),
            since: Cell::new(Instant::now()),
            moved: Cell::new(0),
            body: Cell::new(0),
            buffers: Cell::new(0),
        }
    }

    /// Returns what the connection does.
    pub(crate) fn activity(&self) -> Activity {
        self.activity.get()
    }

    /// Returns when the activity began.
    pub(crate) fn since(&self) -> Instant {
        self.since.get()
    }

    /// Records what the connection does now.
    pub(crate) fn set_activity(&self, activity: Activity) {
        if activity != self.activity.get() {
            self.activity.set(activity);
            self.since.set(Instant::now());
            self.moved.set(0);
        }
    }

    /// Records that bytes were received or written.
    pub(crate) fn add(&self, bytes: usize) {
        self.moved.set(self.moved.get().saturating_add(bytes));
    }

    /// Returns whether the caller sends or reads slower than is reasonable while others wait.
    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.since.get());
        let depends_on_caller = matches!(self.activity(), Activity::Receiving | Activity::Writing);
        let expected = elapsed.as_secs_f64() * MIN_RATE;
        depends_on_caller && elapsed >= GRACE && (self.moved.get() as f64) < expected
    }
}

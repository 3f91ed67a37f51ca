// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Flow control of answers: the thread of a run does not read on while the parts that it has read
//! are not on their way to the entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Size of the parts of one answer that may wait for the agent.
const MAX_QUEUED_BYTES: usize = 32 * 1024;
/// Size of what may wait on the connection to the entry.
const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Interval at which a thread checks whether it may read on.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes of one answer that are on their way. It is shared by the thread of the run and the agent.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    /// Bytes that the agent has not processed.
    queued: Arc<AtomicUsize>,
    /// Bytes of all answers that wait on the connection to the entry.
    unsent: Arc<AtomicUsize>,
}

impl Flow {
    /// Creates the flow of an answer to an entry, given what waits on its connection.
    pub fn open(unsent: Arc<AtomicUsize>) -> Self {
        Self { queued: Arc::default(), unsent }
    }

    /// Records that the thread has read a part.
    pub fn add(&self, bytes: usize) {
        self.queued.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that the agent has processed a part.
    pub fn remove(&self, bytes: usize) {
        self.queued.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Waits until the thread may read on, or `cancelled` is set.
    pub fn wait(&self, cancelled: &AtomicBool) {
        let is_full = || {
            self.queued.load(Ordering::Relaxed) > MAX_QUEUED_BYTES
                || self.unsent.load(Ordering::Relaxed) > MAX_UNSENT_BYTES
        };
        while is_full() && !cancelled.load(Ordering::Relaxed) {
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

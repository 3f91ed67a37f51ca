// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! How many processes share common limits, as one of them counts them.
//!
//! Places of a group and the budget of retries belong to all entries together,
//! and each uses its part. A count that is too low lets all of them together
//! go over a limit, so it rises at once with whoever sees more; it falls only
//! when all that is heard says so for a while.

use crate::id::Millis;

/// How long all that is heard must say that there are fewer. As long as two
/// processes take at most to tell each other whom they see.
const FEWER: Millis = 800;

/// How long one that has just started waits for somebody who can tell.
const LEARN: Millis = 1_000;

/// The count.
#[derive(Clone, Copy, Debug)]
pub struct Sharers {
    count: usize,
    /// Since when fewer are seen.
    fewer: Option<Millis>,
    /// Until when the count may be far too low, as nobody has told; none if
    /// nobody will.
    learning: Option<Learning>,
}

#[derive(Clone, Copy, Debug)]
enum Learning {
    Begins,
    Until(Millis),
}

impl Sharers {
    /// Opens the count of a process that has met nobody. `expects` is whether
    /// there are others who can tell.
    pub fn open(expects: bool) -> Self {
        Self { count: 1, fewer: None, learning: expects.then_some(Learning::Begins) }
    }

    /// Takes how many this process has met, itself included, and the most that
    /// somebody else who sees them counted lately, if anybody did.
    pub fn watch(&mut self, now: Millis, met: usize, told: Option<usize>) {
        let seen = met.max(told.unwrap_or(0)).max(1);
        // One that hears nobody is cut off, and the others may go on.
        let alone = met <= 1 && told.is_none();
        self.learning = match self.learning {
            Some(Learning::Begins) => Some(Learning::Until(now + LEARN)),
            Some(Learning::Until(it)) if now < it => Some(Learning::Until(it)),
            _ => None,
        };
        if told.is_some() {
            self.learning = None;
        }
        if seen >= self.count || alone {
            self.count = self.count.max(seen);
            self.fewer = None;
            return;
        }
        let since = *self.fewer.get_or_insert(now);
        if now >= since + FEWER {
            self.count = seen;
            self.fewer = None;
        }
    }

    /// How many there are, itself included.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether the count is as good as it gets.
    pub fn is_known(&self) -> bool {
        self.learning.is_none()
    }
}

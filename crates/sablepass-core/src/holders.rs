// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Which entries use a limit that belongs to all of them.
//!
//! A few entries hold it, chosen by a hash over the names of all, and each of them sends
//! its part, or lets others send some of it who have no other target. So the burst of all
//! together does not grow with the number of entries. Two processes that disagree who
//! there is could hold the same part twice: it is given up soon after fewer entries are known
//! by name than are counted, and what an entry takes over begins with an empty bucket.

use std::collections::BTreeSet;

use crate::id::{Life, Millis};
use crate::limits::Rate;
use crate::rendezvous;

/// Seconds of a limit that all holders together may send at once: each of them may send one
/// request, so that there is one holder for as many requests as the limit allows in it.
const BURST: f64 = 1.0;
/// How long entries go on to use their parts while some that are counted are not known by name:
/// longer than the count takes to follow the end of one.
const GIVES_UP: Millis = 1_000;
/// How long all must be known by name before an entry that starts, wakes or was cut off uses
/// its parts: as long as the others go on to use them.
const SETTLES: Millis = 1_000;

/// The entries, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Holders {
    me: String,
    /// The others by name, as last heard.
    others: BTreeSet<String>,
    /// Those among whom parts are shared out.
    shared: BTreeSet<String>,
    /// This entry may use its parts.
    active: bool,
    /// Since when all are known by name, or not.
    whole: bool,
    since: Millis,
}

impl Holders {
    /// Opens for an entry that has met nobody.
    pub fn open(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            others: BTreeSet::new(),
            shared: BTreeSet::new(),
            active: false,
            whole: false,
            since: 0,
        }
    }

    /// Takes the names of the other entries.
    pub fn set_peers(&mut self, others: impl IntoIterator<Item = String>) {
        self.others = others.into_iter().collect();
    }

    /// Compares them with how many there are, if that is known. Whether parts changed.
    pub fn watch(&mut self, now: Millis, count: Option<usize>) -> bool {
        let whole = count.is_some_and(|it| self.others.len() + 1 >= it);
        if whole != self.whole {
            self.whole = whole;
            self.since = now;
        }
        let lasts = now.saturating_sub(self.since);
        let was = self.active;
        if whole {
            self.active |= lasts >= SETTLES;
        } else {
            self.active &= lasts < GIVES_UP;
        }
        let moved = whole && self.shared != self.others;
        if moved {
            self.shared.clone_from(&self.others);
        }
        moved || was != self.active
    }

    /// Forgets who there is: this process did not run for a while, and others
    /// may have taken over its parts.
    pub fn resumed(&mut self, now: Millis) {
        self.active = false;
        self.whole = false;
        self.since = now;
    }

    /// This entry's part of a limit; none if it holds none.
    pub fn part(&self, it: Life<'_>, limit: Rate) -> Option<Rate> {
        if !self.active {
            return None;
        }
        let limit = limit.usable();
        let holders = self.count(limit);
        let key = key(it);
        let score = |name: &str| (rendezvous::score(&key, name), name.to_owned());
        let mine = score(&self.me);
        let before = self.shared.iter().filter(|it| score(it) > mine).count();
        (before < holders).then(|| limit.part(holders))
    }

    /// Whether this entry is the one of all that does something.
    pub fn owns(&self, key: &str) -> bool {
        let all = self.shared.iter().map(String::as_str).chain([self.me.as_str()]);
        self.active && rendezvous::owner(key, all) == Some(self.me.as_str())
    }

    /// The other entries that hold a limit.
    pub fn other_holders(&self, it: Life<'_>, limit: Rate) -> Vec<&str> {
        let all = self.shared.iter().map(String::as_str).chain([self.me.as_str()]);
        let ranked = rendezvous::rank(&key(it), all);
        let holders = ranked.into_iter().take(self.count(limit.usable()));
        holders.filter(|it| *it != self.me).collect()
    }

    /// How many entries hold a limit.
    fn count(&self, limit: Rate) -> usize {
        ((limit.per_second() * BURST) as usize).clamp(1, self.shared.len() + 1)
    }
}

fn key(it: Life<'_>) -> String {
    format!("{}/{}", it.name, it.born)
}

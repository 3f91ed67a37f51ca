// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Choosing a target among the candidates of a model.

use rand::seq::index;
use rand::{Rng, RngExt};

use crate::rendezvous;

/// How to choose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// One after the other. A baseline.
    RoundRobin,
    /// The least loaded of all. A baseline.
    LeastLoad,
    /// The less loaded of two random ones.
    TwoChoices,
    /// The least loaded of three random ones, whatever their hall. For ranks in
    /// lock-step, of which the most loaded one sets the pace.
    Even,
    /// The owner of the prompt's prefix unless it is over its load bound,
    /// else the less loaded of two random ones.
    #[default]
    Affinity,
}

impl Policy {
    /// Reads the setting.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "round-robin" => Some(Self::RoundRobin),
            "least-load" => Some(Self::LeastLoad),
            "two-choices" => Some(Self::TwoChoices),
            "even" => Some(Self::Even),
            "affinity" => Some(Self::Affinity),
            _ => None,
        }
    }
}

/// How much more than the mean load a prefix owner may carry. With 1.25, as
/// in Mirrokni et al., "Consistent Hashing with Bounded Loads" (2016).
pub const LOAD_BOUND: f64 = 1.25;

/// Random ones of which the least loaded is chosen. All entries know the same
/// reports, up to 200 ms old, and do not know what the others have just sent: with
/// the least loaded of all, 36 of them before 192 ranks sent to the same few, and
/// 38% of the requests waited in a queue while places were free. With 2, 3, 4 and 6
/// it was 2.6%, 2.4%, 2.1% and 3.6%, and with 4 entries before 16 ranks 2.3%, 1.0%,
/// 0.7% and 1.2%; by the model of `tests/crowd.rs`, with 75% of the places taken.
const CHOICES: usize = 3;

/// A candidate as an entry sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Qualified target name.
    pub name: &'a str,
    /// In the entry's own hall.
    pub same_hall: bool,
    /// Requests it holds at once.
    pub capacity: u32,
    /// Requests that this entry has there now.
    pub own: u32,
    /// Requests of others there, by the agent's last report.
    pub others: u32,
    /// It takes much longer than it should, and others wait for it.
    pub slow: bool,
}

impl Candidate<'_> {
    /// Load relative to capacity.
    pub fn load(&self) -> f64 {
        f64::from(self.own + self.others) / f64::from(self.capacity.max(1))
    }

    fn full(&self) -> bool {
        self.load() >= 1.0
    }
}

/// Chooses by a policy; holds what the policy remembers.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    turn: usize,
}

impl Chooser {
    /// Opens a chooser.
    pub fn open(policy: Policy) -> Self {
        Self { policy, turn: 0 }
    }

    /// Index of the chosen candidate. Slow ones are left out while another has
    /// room. Near ones are preferred until all of them are full; then any hall
    /// will do.
    pub fn choose(
        &mut self,
        rng: &mut impl Rng,
        prefix: Option<&str>,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let all = 0..candidates.len();
        let healthy = |it: &usize| !candidates[*it].slow && !candidates[*it].full();
        let pool = all.clone().filter(healthy).collect();
        let pool = first_of([pool, all.collect()]);
        if self.policy == Policy::Even {
            return least_of_some(rng, &pool, candidates);
        }
        let free: Vec<usize> = pool.iter().copied().filter(|&it| !candidates[it].full()).collect();
        let near = free.iter().copied().filter(|&it| candidates[it].same_hall).collect();
        let open = first_of([near, free, pool]);
        if open.is_empty() {
            return None;
        }
        let load = |it: usize| candidates[it].load();
        Some(match self.policy {
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                open[self.turn % open.len()]
            }
            Policy::LeastLoad | Policy::Even => least(&open, load),
            Policy::TwoChoices => two_choices(rng, &open, load),
            Policy::Affinity => {
                let owner = prefix.and_then(|it| bounded_owner(it, &open, candidates));
                owner.unwrap_or_else(|| two_choices(rng, &open, load))
            }
        })
    }
}

fn least(open: &[usize], load: impl Fn(usize) -> f64) -> usize {
    let mut best = open[0];
    for &it in open {
        if load(it) < load(best) {
            best = it;
        }
    }
    best
}

/// The first that is not empty; else none.
fn first_of<const N: usize>(lists: [Vec<usize>; N]) -> Vec<usize> {
    lists.into_iter().find(|it| !it.is_empty()).unwrap_or_default()
}

/// The least loaded of [`CHOICES`] random ones of a pool.
fn least_of_some(
    rng: &mut impl Rng,
    pool: &[usize],
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let drawn = index::sample(rng, pool.len(), CHOICES.min(pool.len()));
    let load = |it: &usize| candidates[*it].load();
    drawn.iter().map(|it| pool[it]).min_by(|a, b| load(a).total_cmp(&load(b)))
}

fn two_choices(rng: &mut impl Rng, open: &[usize], load: impl Fn(usize) -> f64) -> usize {
    let a = open[rng.random_range(0..open.len())];
    let b = open[rng.random_range(0..open.len())];
    if load(b) < load(a) { b } else { a }
}

/// The owner of the prefix, or the next one by rank that is under the bound.
fn bounded_owner(prefix: &str, open: &[usize], candidates: &[Candidate<'_>]) -> Option<usize> {
    let mean = open.iter().map(|&it| candidates[it].load()).sum::<f64>() / open.len() as f64;
    let ranked = rendezvous::rank(prefix, open.iter().map(|&it| candidates[it].name));
    let names = ranked.into_iter().take(2);
    let slack = 1.0 / f64::from(candidates[open[0]].capacity.max(1));
    let bound = mean * LOAD_BOUND + slack;
    let find = |name: &str| open.iter().copied().find(|&it| candidates[it].name == name);
    names.filter_map(find).find(|&it| candidates[it].load() <= bound)
}

/// The targets of a model that an entry keeps connections to: the first
/// `size` by rendezvous rank, the same on every call.
pub fn subset<'a>(entry: &str, size: usize, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked = rendezvous::rank(entry, names);
    ranked.truncate(size);
    ranked
}

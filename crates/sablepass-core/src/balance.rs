// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Load balancing: chooses a target among the candidates of a model.

use rand::seq::index;
use rand::{Rng, RngExt};

use crate::rendezvous;

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Each candidate in turn. A baseline for comparison.
    RoundRobin,
    /// The least loaded of all candidates. A baseline for comparison.
    LeastLoad,
    /// The less loaded of two random candidates.
    TwoChoices,
    /// The least loaded of three random candidates, in any data hall. For ranks that run in
    /// lock-step, where the most loaded rank determines the pace.
    Even,
    /// The owner of the prompt's prefix unless it exceeds its load bound; else the less loaded of
    /// two random candidates.
    #[default]
    Affinity,
}

impl Policy {
    /// Parses the policy's name in the configuration.
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

/// Load of a prefix owner, relative to the mean, up to which it is chosen. The value 1.25 is taken
/// from Mirrokni et al., "Consistent Hashing with Bounded Loads" (2016).
pub const LOAD_BOUND: f64 = 1.25;

/// Number of random candidates of which [`Policy::Even`] chooses the least loaded. All entries know
/// the same reports, up to 200 ms old, and not what other entries have sent since. If each chose
/// the least loaded of all, 36 entries before 192 ranks would send to the same few, and 38% of the
/// requests would queue while other ranks had free slots. With 2, 3, 4 and 6 candidates, 2.6%,
/// 2.4%, 2.1% and 3.6% do, and with 4 entries before 16 ranks 2.3%, 1.0%, 0.7% and 1.2%, in the
/// model of `tests/crowd.rs` with 75% of the slots in use.
const EVEN_CHOICES: usize = 3;

/// A candidate target, as one entry sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Qualified target name.
    pub name: &'a str,
    /// Whether the target is in the entry's own data hall.
    pub same_hall: bool,
    /// Number of requests that the target runs at once.
    pub capacity: u32,
    /// Requests of this entry that are in flight at the target.
    pub own: u32,
    /// Requests of other entries at the target, by its last report.
    pub others: u32,
    /// Whether the target is slower than the other ranks of its group, which wait for it.
    pub slow: bool,
}

impl Candidate<'_> {
    /// Load relative to capacity; 1 if the target is full.
    pub fn load(&self) -> f64 {
        f64::from(self.own + self.others) / f64::from(self.capacity.max(1))
    }

    fn full(&self) -> bool {
        self.load() >= 1.0
    }
}

/// Chooses candidates by a policy and keeps its state.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    rotation: usize,
}

impl Chooser {
    /// Creates a chooser.
    pub fn open(policy: Policy) -> Self {
        Self { policy, rotation: 0 }
    }

    /// Returns the index of the chosen candidate; none if there are no candidates. Slow candidates
    /// are excluded while another one has room. Candidates in the entry's own data hall are
    /// preferred until all of them are full. [`Policy::Even`] ignores the data hall.
    pub fn choose(
        &mut self,
        rng: &mut impl Rng,
        prefix: Option<&str>,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let all = 0..candidates.len();
        let healthy = |it: &usize| !candidates[*it].slow && !candidates[*it].full();
        let pool = all.clone().filter(healthy).collect();
        let pool = first_non_empty([pool, all.collect()]);
        if self.policy == Policy::Even {
            return least_loaded_sample(rng, &pool, candidates);
        }
        let free: Vec<usize> = pool.iter().copied().filter(|&it| !candidates[it].full()).collect();
        let same_hall = free.iter().copied().filter(|&it| candidates[it].same_hall).collect();
        let eligible = first_non_empty([same_hall, free, pool]);
        if eligible.is_empty() {
            return None;
        }
        let load = |it: usize| candidates[it].load();
        Some(match self.policy {
            Policy::RoundRobin => {
                self.rotation = self.rotation.wrapping_add(1);
                eligible[self.rotation % eligible.len()]
            }
            Policy::LeastLoad | Policy::Even => least_loaded(&eligible, load),
            Policy::TwoChoices => two_choices(rng, &eligible, load),
            Policy::Affinity => {
                let owner = prefix.and_then(|it| bounded_owner(it, &eligible, candidates));
                owner.unwrap_or_else(|| two_choices(rng, &eligible, load))
            }
        })
    }
}

fn least_loaded(eligible: &[usize], load: impl Fn(usize) -> f64) -> usize {
    let mut best = eligible[0];
    for &it in eligible {
        if load(it) < load(best) {
            best = it;
        }
    }
    best
}

/// The first list that is not empty; an empty one if there is none.
fn first_non_empty<const N: usize>(lists: [Vec<usize>; N]) -> Vec<usize> {
    lists.into_iter().find(|it| !it.is_empty()).unwrap_or_default()
}

/// The least loaded of [`EVEN_CHOICES`] random candidates of a pool.
fn least_loaded_sample(
    rng: &mut impl Rng,
    pool: &[usize],
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let drawn = index::sample(rng, pool.len(), EVEN_CHOICES.min(pool.len()));
    let load = |it: &usize| candidates[*it].load();
    drawn.iter().map(|it| pool[it]).min_by(|a, b| load(a).total_cmp(&load(b)))
}

fn two_choices(rng: &mut impl Rng, eligible: &[usize], load: impl Fn(usize) -> f64) -> usize {
    let a = eligible[rng.random_range(0..eligible.len())];
    let b = eligible[rng.random_range(0..eligible.len())];
    if load(b) < load(a) { b } else { a }
}

/// The owner of the prefix or, if it exceeds the load bound, the second by rendezvous rank, if that
/// one does not.
fn bounded_owner(prefix: &str, eligible: &[usize], candidates: &[Candidate<'_>]) -> Option<usize> {
    let mean =
        eligible.iter().map(|&it| candidates[it].load()).sum::<f64>() / eligible.len() as f64;
    let ranked = rendezvous::rank(prefix, eligible.iter().map(|&it| candidates[it].name));
    let names = ranked.into_iter().take(2);
    let slack = 1.0 / f64::from(candidates[eligible[0]].capacity.max(1));
    let bound = mean * LOAD_BOUND + slack;
    let find = |name: &str| eligible.iter().copied().find(|&it| candidates[it].name == name);
    names.filter_map(find).find(|&it| candidates[it].load() <= bound)
}

/// The targets of a model to which an entry keeps connections: the first `size` by rendezvous rank,
/// the same on every call.
pub fn subset<'a>(entry: &str, size: usize, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked = rendezvous::rank(entry, names);
    ranked.truncate(size);
    ranked
}

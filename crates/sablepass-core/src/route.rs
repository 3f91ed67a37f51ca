// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Routes: which service answers a request, by its host and path.
//!
//! A lookup costs one hash a path segment, however many routes a host has.

use std::collections::HashMap;
use std::rc::Rc;

use serde::Deserialize;

use crate::id::Millis;

/// What may be done with a request beyond sending it once.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    #[default]
    Unsafe,
    /// Its answer is a stream of events, delivered as they come. It runs at
    /// most once, unless the route allows to resume it.
    Stream,
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host header that it answers to.
    pub host: String,
    /// Beginning of the paths that it answers to; begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    #[serde(default)]
    pub class: Class,
    /// Milliseconds that a request may be held. 1 to 3,600,000.
    pub timeout: Millis,
    /// Milliseconds within which an answer is in time.
    pub objective: Millis,
    /// Targets that one request may be sent to. 1 to 100.
    pub attempts: u32,
    /// Rank of its requests; 0 is the most urgent.
    #[serde(default)]
    pub rank: u8,
    /// Takes requests without a key.
    #[serde(default)]
    pub open: bool,
    /// A broken stream may be taken up again after the last event that arrived.
    #[serde(default)]
    pub resume: bool,
    /// Milliseconds between two events of a stream beyond which it counts as late.
    #[serde(default)]
    pub pause: Option<Millis>,
    /// The services that answer.
    pub shares: Vec<Share>,
}

impl Route {
    /// Whether its requests must not run more than once.
    pub fn at_most_once(&self) -> bool {
        match self.class {
            Class::Safe => false,
            Class::Unsafe => true,
            Class::Stream => !self.resume,
        }
    }

    /// The service for a draw between 0 and 1, by weight. None without weight.
    pub fn pick(&self, draw: f64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw * total as f64;
        let weighted = || self.shares.iter().filter(|it| it.weight > 0);
        for share in weighted() {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        weighted().next_back().map(|it| it.service.as_str())
    }
}

/// All routes, for lookup.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
    count: usize,
}

impl Table {
    /// Adds a route. False, and nothing changed, if its host and prefix are taken.
    pub fn add(&mut self, route: Route) -> bool {
        let prefixes = self.hosts.entry(route.host.to_ascii_lowercase()).or_default();
        if prefixes.contains_key(&route.prefix) {
            return false;
        }
        prefixes.insert(route.prefix.clone(), Rc::new(route));
        self.count += 1;
        true
    }

    /// Whether a host and prefix are taken.
    pub fn has(&self, host: &str, prefix: &str) -> bool {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase());
        prefixes.is_some_and(|it| it.contains_key(prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The route with the longest prefix that begins `path`, which carries no query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let prefixes = match self.hosts.get(host) {
            Some(it) => it,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let mut found = ends.filter_map(|end| prefixes.get(&path[..end]));
        found.next()
    }
}

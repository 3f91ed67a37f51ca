// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The route table: finds the service for a request by its host and path.
//!
//! A lookup costs one hash computation per path segment, however many routes a host has.

use std::collections::HashMap;
use std::rc::Rc;

use serde::Deserialize;

use crate::id::Millis;

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// The request may run more than once.
    Safe,
    /// The request runs at most once.
    #[default]
    Unsafe,
    /// The response is a stream of events, delivered as they arrive. The request runs at most once,
    /// unless the route allows resuming the stream.
    Stream,
}

/// A service and its weight in a route.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight of the service among the shares of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host header that the route matches.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be sent more than once.
    #[serde(default)]
    pub class: Class,
    /// Request timeout in milliseconds, 1 to 3,600,000.
    pub timeout: Millis,
    /// Latency objective in milliseconds.
    pub objective: Millis,
    /// Maximum number of targets to which one request is sent, 1 to 100.
    pub attempts: u32,
    /// Priority rank of its requests; 0 is the most urgent.
    #[serde(default)]
    pub rank: u8,
    /// Whether requests without an API key are accepted.
    #[serde(default)]
    pub open: bool,
    /// Whether an interrupted stream may be resumed after the last event received.
    #[serde(default)]
    pub resume: bool,
    /// Longest interval in milliseconds between two events of a stream; a longer one counts as
    /// late.
    #[serde(default)]
    pub pause: Option<Millis>,
    /// Regions to which its requests may be sent; if empty, all.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Services among which the requests are distributed.
    pub shares: Vec<Share>,
}

impl Route {
    /// Whether its requests must run at most once.
    pub fn at_most_once(&self) -> bool {
        match self.class {
            Class::Safe => false,
            Class::Unsafe => true,
            Class::Stream => !self.resume,
        }
    }

    /// Chooses a service by weight, for a random `draw` from 0 to 1. None if all weights are 0.
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

/// The route table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
    count: usize,
}

impl Table {
    /// Adds a route. Returns false and changes nothing if its host and prefix are taken.
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

    /// Finds the current version of a route: the one of the same name at the same host and prefix,
    /// or else the only one of that name. None if there is none, or if several partners declare
    /// the name.
    pub fn current(&self, route: &Route) -> Option<&Rc<Route>> {
        let prefixes = self.hosts.get(&route.host.to_ascii_lowercase());
        let same_place = prefixes.and_then(|it| it.get(&route.prefix));
        if let Some(found) = same_place.filter(|it| it.name == route.name) {
            return Some(found);
        }
        let mut named = self.all().filter(|it| it.name == route.name);
        let found = named.next()?;
        named.next().is_none().then_some(found)
    }

    /// All routes, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Finds the route with the longest prefix of `path`, which must not contain a query.
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

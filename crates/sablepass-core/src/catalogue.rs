// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The catalogue: everything declared and in force, made of all documents.
//!
//! Documents are added in the order of their revisions in force, so that what
//! is in force keeps its place; one that clashes with an earlier one is
//! refused whole and shown, never merged. Documents of different partners
//! cannot clash: names are qualified, and customers' keys carry the partner's
//! name.

use std::collections::BTreeMap;

use crate::config;
use crate::declaration::{
    self, Customer, Declarations, Error, Grant, Group, Kind, Limits, Result, Service, Target,
};
use crate::id::Millis;
use crate::revision::Revision;
use crate::route::Table;

/// A declared resource with its partner and the document it stands in.
#[derive(Clone, Debug)]
pub struct Declared<T> {
    /// The partner that owns it.
    pub partner: String,
    /// Key of its document.
    pub holder: String,
    /// The resource.
    pub it: T,
}

/// Everything in force, by qualified name `partner/name`.
#[derive(Debug, Default)]
pub struct Catalogue {
    /// Revision it was made of.
    pub revision: Revision,
    /// Targets.
    pub targets: BTreeMap<String, Declared<Target>>,
    /// Groups.
    pub groups: BTreeMap<String, Declared<Group>>,
    /// Customers.
    pub customers: BTreeMap<String, Declared<Customer>>,
    /// Customer names by key.
    pub keys: BTreeMap<String, String>,
    /// Grants.
    pub grants: Vec<Declared<Grant>>,
    /// Start of the planned stop of each target.
    pub stops: BTreeMap<String, Millis>,
    /// Routes of all partners.
    pub routes: Table,
    /// Services that routes name, by their own name.
    pub services: BTreeMap<String, Service>,
    /// Limits of callers' connections, where declared.
    pub limits: Option<Limits>,
    /// What is refused, by document key.
    pub refused: BTreeMap<String, Error>,
}

impl Catalogue {
    /// Makes the catalogue of a store.
    pub fn build(store: &config::Store) -> Self {
        let mut catalogue = Self { revision: store.revision(), ..Self::default() };
        let mut force = Vec::new();
        for (key, verdict) in store.verdicts() {
            if let Some(e) = &verdict.refused {
                catalogue.refused.insert(key.clone(), e.clone());
            }
            force.extend(verdict.force.as_ref().map(|(revision, it)| (*revision, key, it)));
        }
        force.sort_by_key(|(revision, key, _)| (*revision, *key));
        for (_, key, declared) in force {
            if let Err(e) = catalogue.add(key, Declarations::clone(declared)) {
                catalogue.refused.insert(key.clone(), e);
            }
        }
        catalogue
    }

    /// Adds a document, or nothing of it when it clashes with an earlier one.
    fn add(&mut self, key: &str, it: Declarations) -> Result<()> {
        let partner = declaration::partner(key)?.to_owned();
        let qualify = |name: &str| format!("{partner}/{name}");
        for target in &it.target {
            self.free(key, "target", &qualify(&target.name), |c, n| holder(&c.targets, n))?;
        }
        for group in &it.group {
            self.free(key, "group", &qualify(&group.name), |c, n| holder(&c.groups, n))?;
        }
        for customer in &it.customer {
            self.free(key, "customer", &qualify(&customer.name), |c, n| holder(&c.customers, n))?;
            if let Some(other) = customer.all_keys().find_map(|it| self.keys.get(it)) {
                return Err(clash(key, "customer key of", &customer.name, other));
            }
        }
        for route in &it.route {
            if self.routes.has(&route.host, &route.prefix) {
                return Err(clash(key, "route", &route.name, "another route of that prefix"));
            }
        }
        for service in &it.service {
            if self.services.contains_key(&service.name) {
                return Err(clash(key, "service", &service.name, "another document"));
            }
        }
        let own = |it| Declared { partner: partner.clone(), holder: key.to_owned(), it };
        for target in it.target {
            self.targets.insert(qualify(&target.name), own(target));
        }
        let own = |it| Declared { partner: partner.clone(), holder: key.to_owned(), it };
        for group in it.group {
            self.groups.insert(qualify(&group.name), own(group));
        }
        let own = |it| Declared { partner: partner.clone(), holder: key.to_owned(), it };
        for customer in it.customer {
            let name = qualify(&customer.name);
            self.keys.extend(customer.all_keys().map(|it| (it.clone(), name.clone())));
            self.customers.insert(qualify(&customer.name), own(customer));
        }
        let own = |it| Declared { partner: partner.clone(), holder: key.to_owned(), it };
        self.grants.extend(it.grant.into_iter().map(own));
        for stop in it.stop {
            self.stops.insert(qualify(&stop.target), stop.at);
        }
        for route in it.route {
            self.routes.add(route);
        }
        let services = it.service.into_iter().map(|it| (it.name.clone(), it));
        self.services.extend(services);
        self.limits = it.limits.or(self.limits);
        Ok(())
    }

    fn free(
        &self,
        key: &str,
        kind: &'static str,
        name: &str,
        find: impl Fn(&Self, &str) -> Option<String>,
    ) -> Result<()> {
        match find(self, name) {
            Some(holder) => Err(clash(key, kind, name, &holder)),
            None => Ok(()),
        }
    }

    /// Names of the targets that serve `serves`, a qualified model or service.
    pub fn serving(&self, kind: Kind, serves: &str) -> Vec<String> {
        let fits = |it: &Declared<Target>| {
            it.it.kind == kind && serves == format!("{}/{}", it.partner, it.it.serves)
        };
        self.targets.iter().filter(|(_, it)| fits(it)).map(|(name, _)| name.clone()).collect()
    }

    /// The targets that share the keys of `target`: all that serve the same.
    pub fn siblings(&self, target: &str) -> Vec<String> {
        let Some(it) = self.targets.get(target) else {
            return Vec::new();
        };
        self.serving(it.it.kind, &format!("{}/{}", it.partner, it.it.serves))
    }

    /// The part of `serves` that a customer of `partner` may use: 1 for its own partner.
    pub fn granted(&self, partner: &str, owner: &str, serves: &str) -> f64 {
        if partner == owner {
            return 1.0;
        }
        let fits = |it: &&Declared<Grant>| {
            it.partner == owner && it.it.to == partner && it.it.serves == serves
        };
        self.grants.iter().find(fits).map_or(0.0, |it| it.it.part)
    }
}

fn holder<T>(map: &BTreeMap<String, Declared<T>>, name: &str) -> Option<String> {
    map.get(name).map(|it| it.holder.clone())
}

fn clash(key: &str, kind: &'static str, name: &str, holder: &str) -> Error {
    Error::Clash { key: key.to_owned(), kind, name: name.to_owned(), holder: holder.to_owned() }
}

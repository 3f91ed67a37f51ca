// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The catalogue: all declarations in force, built from all documents.
//!
//! Documents are added in the order of their revisions in force, so that a later document cannot
//! displace an earlier one. A document that conflicts with an earlier one is refused as a whole and
//! reported, never merged. Documents of different partners cannot conflict: names are qualified by
//! the partner, and customers' keys begin with the partner's name.

use std::collections::BTreeMap;

use crate::config;
use crate::declaration::{
    self, Customer, Declarations, Error, Grant, Group, Kind, Limits, Result, Service, Target,
};
use crate::id::Millis;
use crate::revision::Revision;
use crate::route::Table;

/// A declared resource with its partner and its document.
#[derive(Clone, Debug)]
pub struct Declared<T> {
    /// The partner that owns it.
    pub partner: String,
    /// Key of the document that declares it.
    pub document: String,
    /// The resource.
    pub resource: T,
}

/// An evacuation of a data hall that is in force. Several documents may evacuate the same hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallEvacuation {
    /// Name of the data hall.
    pub hall: String,
    /// Key of the document that declares it.
    pub document: String,
    /// The partner that owns the document.
    pub partner: String,
    /// Revision of the document in force.
    pub revision: Revision,
}

/// All resources in force, by qualified name `partner/name`.
#[derive(Debug, Default)]
pub struct Catalogue {
    /// Revision of the store from which it was built.
    pub revision: Revision,
    /// Whether a document in force declares more than evacuations. The store may have been read
    /// before the first configuration was written.
    pub configured: bool,
    /// Targets.
    pub targets: BTreeMap<String, Declared<Target>>,
    /// Groups.
    pub groups: BTreeMap<String, Declared<Group>>,
    /// Customers.
    pub customers: BTreeMap<String, Declared<Customer>>,
    /// Qualified customer names by customer key.
    pub keys: BTreeMap<String, String>,
    /// Grants.
    pub grants: Vec<Declared<Grant>>,
    /// Start of the planned stop of each target, in milliseconds since the Unix epoch.
    pub stops: BTreeMap<String, Millis>,
    /// Evacuations of data halls, in the order of their documents' revisions.
    pub evacuations: Vec<HallEvacuation>,
    /// Routes of all partners.
    pub routes: Table,
    /// Services that routes refer to, by unqualified name.
    pub services: BTreeMap<String, Service>,
    /// Limits on callers' connections, if declared.
    pub limits: Option<Limits>,
    /// Reasons for refused documents, by document key.
    pub refused: BTreeMap<String, Error>,
}

impl Catalogue {
    /// Builds the catalogue of the documents of a store.
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
        for (revision, key, declared) in force {
            if let Err(e) = catalogue.add(key, revision, Declarations::clone(declared)) {
                catalogue.refused.insert(key.clone(), e);
            }
        }
        catalogue
    }

    /// Adds the declarations of a document, or none of them if one conflicts with an earlier
    /// document.
    fn add(&mut self, key: &str, revision: Revision, declared: Declarations) -> Result<()> {
        let partner = declaration::partner(key)?.to_owned();
        let configures = declared.is_configuration();
        let qualify = |name: &str| format!("{partner}/{name}");
        for target in &declared.target {
            self.check_unused(key, "target", &qualify(&target.name), |c, n| {
                declared_in(&c.targets, n)
            })?;
        }
        for group in &declared.group {
            self.check_unused(key, "group", &qualify(&group.name), |c, n| {
                declared_in(&c.groups, n)
            })?;
        }
        for customer in &declared.customer {
            self.check_unused(key, "customer", &qualify(&customer.name), |c, n| {
                declared_in(&c.customers, n)
            })?;
            if let Some(other) = customer.all_keys().find_map(|it| self.keys.get(it)) {
                return Err(conflict(key, "customer key of", &customer.name, other));
            }
        }
        for route in &declared.route {
            if self.routes.has(&route.host, &route.prefix) {
                return Err(conflict(key, "route", &route.name, "another route of that prefix"));
            }
        }
        for service in &declared.service {
            if self.services.contains_key(&service.name) {
                return Err(conflict(key, "service", &service.name, "another document"));
            }
        }
        let own =
            |resource| Declared { partner: partner.clone(), document: key.to_owned(), resource };
        for target in declared.target {
            self.targets.insert(qualify(&target.name), own(target));
        }
        let own =
            |resource| Declared { partner: partner.clone(), document: key.to_owned(), resource };
        for group in declared.group {
            self.groups.insert(qualify(&group.name), own(group));
        }
        let own =
            |resource| Declared { partner: partner.clone(), document: key.to_owned(), resource };
        for customer in declared.customer {
            let name = qualify(&customer.name);
            self.keys.extend(customer.all_keys().map(|it| (it.clone(), name.clone())));
            self.customers.insert(qualify(&customer.name), own(customer));
        }
        let own =
            |resource| Declared { partner: partner.clone(), document: key.to_owned(), resource };
        self.grants.extend(declared.grant.into_iter().map(own));
        for stop in declared.stop {
            self.stops.insert(qualify(&stop.target), stop.at);
        }
        self.evacuations.extend(declared.evacuation.into_iter().map(|it| HallEvacuation {
            hall: it.hall,
            document: key.to_owned(),
            partner: partner.clone(),
            revision,
        }));
        for route in declared.route {
            self.routes.add(route);
        }
        let services = declared.service.into_iter().map(|it| (it.name.clone(), it));
        self.services.extend(services);
        self.limits = declared.limits.or(self.limits);
        self.configured |= configures;
        Ok(())
    }

    /// Fails if `find` returns a document that already declares this name.
    fn check_unused(
        &self,
        key: &str,
        kind: &'static str,
        name: &str,
        find: impl Fn(&Self, &str) -> Option<String>,
    ) -> Result<()> {
        match find(self, name) {
            Some(document) => Err(conflict(key, kind, name, &document)),
            None => Ok(()),
        }
    }

    /// Whether a route or a customer is restricted to regions.
    pub fn has_regions(&self) -> bool {
        self.routes.all().any(|it| !it.regions.is_empty())
            || self.customers.values().any(|it| !it.resource.regions.is_empty())
    }

    /// Names of the targets that serve `serves`, the qualified name of a model or service.
    pub fn serving(&self, kind: Kind, serves: &str) -> Vec<String> {
        let fits = |it: &Declared<Target>| {
            it.resource.kind == kind && serves == format!("{}/{}", it.partner, it.resource.serves)
        };
        self.targets.iter().filter(|(_, it)| fits(it)).map(|(name, _)| name.clone()).collect()
    }

    /// The targets that serve the same model or service as `target`, itself included. They share
    /// its keys.
    pub fn siblings(&self, target: &str) -> Vec<String> {
        let Some(it) = self.targets.get(target) else {
            return Vec::new();
        };
        self.serving(it.resource.kind, &format!("{}/{}", it.partner, it.resource.serves))
    }

    /// Whether a declared target is in a data hall that its partner evacuates.
    pub fn is_evacuated(&self, target: &str) -> bool {
        let evacuates = |target: &Declared<Target>| {
            let fits = |it: &HallEvacuation| {
                it.partner == target.partner && it.hall == target.resource.hall
            };
            self.evacuations.iter().any(fits)
        };
        self.targets.get(target).is_some_and(evacuates)
    }

    /// The part, 0 to 1, of the capacity of `serves` that customers of `partner` may use; 1 for the
    /// owner's own customers.
    pub fn granted(&self, partner: &str, owner: &str, serves: &str) -> f64 {
        if partner == owner {
            return 1.0;
        }
        let fits = |it: &&Declared<Grant>| {
            it.partner == owner && it.resource.to == partner && it.resource.serves == serves
        };
        self.grants.iter().find(fits).map_or(0.0, |it| it.resource.part)
    }
}

/// Key of the document that declares `name`.
fn declared_in<T>(map: &BTreeMap<String, Declared<T>>, name: &str) -> Option<String> {
    map.get(name).map(|it| it.document.clone())
}

fn conflict(key: &str, kind: &'static str, name: &str, document: &str) -> Error {
    Error::Clash { key: key.to_owned(), kind, name: name.to_owned(), document: document.to_owned() }
}

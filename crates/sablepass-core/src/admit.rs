// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Admission control of an entry: limits, customers' shares and partners' grants.
//!
//! While capacity is free, any customer may use it. When capacity is short, work of low priority is
//! refused first, and customers over their share are refused.

use std::collections::HashMap;

use crate::declaration::Priority;
use crate::reason::Refusal;

/// Settings of an [`Admission`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of requests in progress at an entry. Default 2,000.
    pub limit: usize,
    /// Load relative to capacity from which bulk work is refused. Default 0.85.
    pub bulk_mark: f64,
    /// Load relative to capacity from which customers over their share are refused. Default 0.95.
    pub share_mark: f64,
    /// Load relative to capacity from which all but urgent work is refused. Default 1.5.
    pub normal_mark: f64,
    /// Load relative to capacity from which all work is refused. Default 2.0.
    pub urgent_mark: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { limit: 2_000, bulk_mark: 0.85, share_mark: 0.95, normal_mark: 1.5, urgent_mark: 2.0 }
    }
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Qualified name of the customer.
    pub customer: &'a str,
    /// Partner of the customer.
    pub partner: &'a str,
    /// Maximum number of concurrent requests of the customer.
    pub streams: u32,
    /// The customer's fraction of all customers' shares, 0 to 1.
    pub share: f64,
    /// Qualified name of the model or service.
    pub serves: &'a str,
    /// Partner that owns the model or service.
    pub owner: &'a str,
    /// Fraction of the capacity that the owner grants to the customer's partner.
    pub granted: f64,
    /// Priority of the request.
    pub priority: Priority,
    /// This entry's part of the model's capacity, in concurrent requests.
    pub capacity: f64,
    /// This entry's part of the model's load: what targets reported and what this entry has sent
    /// since.
    pub load: f64,
}

/// Admission of one request, to be released when the request ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    customer: String,
    serves: String,
    grant: Option<(String, String)>,
}

/// Decides on admission and counts the admitted requests.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    total: usize,
    customers: HashMap<String, u32>,
    shares: HashMap<(String, String), u32>,
    grants: HashMap<(String, String), u32>,
}

impl Admission {
    /// Creates an admission control without requests.
    pub fn open(options: Options) -> Self {
        Self {
            options,
            total: 0,
            customers: HashMap::new(),
            shares: HashMap::new(),
            grants: HashMap::new(),
        }
    }

    /// Number of admitted requests in progress.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Admits a request, or returns the reason for the refusal.
    pub fn admit(&mut self, ask: &Ask<'_>) -> Result<Ticket, Refusal> {
        self.check_limits(ask)?;
        self.check_grant(ask)?;
        self.check_load(ask)?;
        let grant = (ask.partner != ask.owner).then(|| grant_key(ask));
        let ticket =
            Ticket { customer: ask.customer.to_owned(), serves: ask.serves.to_owned(), grant };
        self.count(&ticket);
        Ok(ticket)
    }

    fn check_limits(&self, ask: &Ask<'_>) -> Result<(), Refusal> {
        if self.total >= self.options.limit {
            return Err(Refusal::ProcessLimit);
        }
        let held = self.customers.get(ask.customer).copied().unwrap_or(0);
        if held >= ask.streams {
            return Err(Refusal::CustomerLimit);
        }
        Ok(())
    }

    fn check_grant(&self, ask: &Ask<'_>) -> Result<(), Refusal> {
        if ask.partner == ask.owner {
            return Ok(());
        }
        if ask.granted <= 0.0 {
            return Err(Refusal::NotGranted);
        }
        let held = self.grants.get(&grant_key(ask)).copied().unwrap_or(0);
        let max_held = (ask.capacity * ask.granted).max(1.0);
        if f64::from(held) >= max_held {
            return Err(Refusal::GrantUsed);
        }
        Ok(())
    }

    fn check_load(&self, ask: &Ask<'_>) -> Result<(), Refusal> {
        if ask.capacity <= 0.0 {
            return Ok(());
        }
        let used = ask.load / ask.capacity;
        let limit = match ask.priority {
            Priority::Bulk => self.options.bulk_mark,
            Priority::Normal => self.options.normal_mark,
            Priority::Urgent => self.options.urgent_mark,
        };
        if used >= limit {
            return Err(Refusal::Saturated);
        }
        let key = (ask.customer.to_owned(), ask.serves.to_owned());
        let held = f64::from(self.shares.get(&key).copied().unwrap_or(0));
        let fair_share = (ask.capacity * ask.share).max(1.0);
        if used >= self.options.share_mark && held >= fair_share {
            return Err(Refusal::OverShare);
        }
        Ok(())
    }

    fn count(&mut self, ticket: &Ticket) {
        self.total += 1;
        *self.customers.entry(ticket.customer.clone()).or_default() += 1;
        let key = (ticket.customer.clone(), ticket.serves.clone());
        *self.shares.entry(key).or_default() += 1;
        if let Some(grant) = &ticket.grant {
            *self.grants.entry(grant.clone()).or_default() += 1;
        }
    }

    /// Releases the ticket of a request that ended.
    pub fn release(&mut self, ticket: &Ticket) {
        self.total = self.total.saturating_sub(1);
        decrement(&mut self.customers, &ticket.customer);
        decrement(&mut self.shares, &(ticket.customer.clone(), ticket.serves.clone()));
        if let Some(grant) = &ticket.grant {
            decrement(&mut self.grants, grant);
        }
    }
}

fn grant_key(ask: &Ask<'_>) -> (String, String) {
    (ask.partner.to_owned(), ask.serves.to_owned())
}

fn decrement<K: std::hash::Hash + Eq>(map: &mut HashMap<K, u32>, key: &K) {
    let Some(count) = map.get_mut(key) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        map.remove(key);
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards callers: what they ask for, and whether it is admitted.

use std::cell::OnceCell;
use std::rc::Rc;

use rand::RngExt;
use sablepass_core::admit;
use sablepass_core::catalogue::{Catalogue, Declared};
use sablepass_core::declaration::{Customer, Kind, Priority};
use sablepass_core::flight::{self, Event, Flight};
use sablepass_core::id::Millis;
use sablepass_core::once::Key;
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::revision::Revision;
use sablepass_core::route::{Class, Route};
use sablepass_edge::{clock, server};
use stakker::CX;

use crate::call::{Asks, Call, Run};
use crate::open::Open;
use crate::openai;
use crate::router::Router;
use crate::targets::Served;
use crate::trace::Step;

/// Requests that one caller without a key may hold at one entry: no bound of its own.
const KEYLESS_STREAMS: u32 = u32::MAX;

/// What admission found out about a request.
struct Admitted {
    /// The customer's qualified name; empty for a caller without a key.
    customer: String,
    /// The customer's name as targets are told it.
    told: Option<String>,
    served: Served,
    route: Option<Rc<Route>>,
    priority: Priority,
    ticket: admit::Ticket,
}

impl Router {
    /// Takes an event of the callers' server.
    pub fn server_event(&mut self, cx: CX![], event: server::Event) {
        match event {
            server::Event::Request(it) => self.request(cx, *it),
            server::Event::Disconnected(key) => match self.exchanges.get(&key).copied() {
                Some(id) => self.event(cx, id, 0, Event::CallerGone),
                // The answer was whole; only its delivery failed.
                None => self.metrics.refused(Refusal::CallerGone),
            },
            server::Event::OutputFull(key) => self.pause(key, true),
            server::Event::OutputReady(key) => self.pause(key, false),
        }
    }

    /// Has the target's answer wait while the caller does not read.
    fn pause(&self, key: server::ExchangeKey, paused: bool) {
        let open = self.exchanges.get(&key).and_then(|id| self.open.get(id));
        if let Some(connection) = open.and_then(|it| it.connection) {
            self.pool.pause(connection, paused);
        }
    }

    fn request(&mut self, cx: CX![], it: server::Incoming) {
        let (exchange, reply) = (it.key, it.reply.clone());
        match self.settings.dialect.parse(&self.options, it) {
            Ok(Call::Run(run)) => self.run(cx, exchange, *run),
            Ok(Call::Models { key, reply }) => self.models(&key, &reply),
            Err(e) => self.refuse(&reply, &e.label, e.reason),
        }
    }

    fn models(&self, key: &str, reply: &server::Reply) {
        let catalogue = self.targets.catalogue();
        let Some(customer) = catalogue.keys.get(key).and_then(|it| catalogue.customers.get(it))
        else {
            self.refuse(reply, "", Refusal::UnknownKey);
            return;
        };
        let mut names: Vec<String> = catalogue
            .targets
            .values()
            .filter(|it| it.resource.kind == Kind::Model)
            .filter(|it| {
                catalogue.granted(&customer.partner, &it.partner, &it.resource.serves) > 0.0
            })
            .map(|it| format!("{}/{}", it.partner, it.resource.serves))
            .collect();
        names.sort();
        names.dedup();
        openai::models(reply, &names);
    }

    fn refuse(&self, reply: &server::Reply, label: &str, reason: Refusal) {
        self.metrics.refused(reason);
        let revision = self.targets.catalogue().revision;
        slog::warn!(self.log, "refused"; "id" => label, "reason" => reason.label(),
            "revision" => revision.number, "era" => revision.era, "held" => self.open.len());
        self.settings.dialect.fail(reply, label, Failure { reason, ran: Ran::NotRun }, None);
    }

    fn run(&mut self, cx: CX![], exchange: server::ExchangeKey, run: Run) {
        let now = clock::now();
        match self.admit(now, &run) {
            Ok(it) => {
                let id = run.id;
                let open = self.open_request(now, exchange, run, it);
                self.metrics.requests.inc();
                self.budget(&open.served).earn();
                self.exchanges.insert(exchange, id);
                self.open.insert(id, open);
                self.metrics.in_flight.set(self.open.len() as i64);
                self.dispatch(cx, id);
            }
            Err(reason) => self.refuse(&run.reply, &run.label, reason),
        }
    }

    fn open_request(
        &mut self,
        now: Millis,
        exchange: server::ExchangeKey,
        run: Run,
        it: Admitted,
    ) -> Open {
        let key = run.idempotency.as_ref().filter(|_| run.unsafe_repeat);
        let key = key.map(|text| Key { customer: it.customer.clone(), text: text.clone() });
        let request = self.flight_request(&run, it.route.as_deref(), key.is_some());
        let step = Step::Admitted { customer: it.customer.clone(), serves: it.served.1.clone() };
        self.traces.add(now, run.id, step);
        Open {
            flight: Flight::new(self.settings.flight(), request),
            customer: it.customer,
            told: it.told,
            owner: key.and_then(|key| self.targets.owner(&it.served, &key)),
            priority: it.priority,
            run,
            served: it.served,
            route: it.route,
            exchange,
            ticket: it.ticket,
            waiting: None,
            slot: None,
            sought: false,
            counted: None,
            connection: None,
            begun: false,
            spoke: now,
            fingerprint: OnceCell::new(),
            sent: now,
            started: now,
            first: 0,
            pause: (0, 0),
            comeback: None,
            revision: self.targets.catalogue().revision,
        }
    }

    fn flight_request(&self, run: &Run, route: Option<&Route>, keyed: bool) -> flight::Request {
        let own = flight::Request {
            id: run.id,
            deadline: run.deadline,
            max_attempts: self.settings.attempts,
            unsafe_repeat: run.unsafe_repeat,
            keyed,
            stream: run.stream,
            resumable: false,
        };
        let Some(route) = route else { return own };
        flight::Request {
            deadline: run.deadline.min(run.arrived + route.timeout),
            max_attempts: route.attempts,
            unsafe_repeat: route.at_most_once(),
            stream: route.class == Class::Stream,
            resumable: route.class == Class::Stream && route.resume,
            ..own
        }
    }

    fn admit(&mut self, now: Millis, run: &Run) -> Result<Admitted, Refusal> {
        let wait = self.settings.stop_wait;
        if self.stopping.is_some_and(|since| now >= since + wait) {
            return Err(Refusal::Stopping);
        }
        let catalogue = self.targets.catalogue().clone();
        if catalogue.revision == Revision::default() {
            return Err(Refusal::NoConfiguration);
        }
        match &run.asks {
            Asks::Named(kind, name) => self.admit_named(now, run, &catalogue, *kind, name),
            Asks::Route { host, path } => {
                let route = catalogue.routes.find(host, path).ok_or(Refusal::UnknownRoute)?;
                self.admit_route(now, run, &catalogue, route)
            }
        }
    }

    fn admit_named(
        &mut self,
        now: Millis,
        run: &Run,
        catalogue: &Catalogue,
        kind: Kind,
        name: &str,
    ) -> Result<Admitted, Refusal> {
        let (customer, declared) = customer_of(catalogue, run)?.ok_or(Refusal::UnknownKey)?;
        let resolved = self.targets.resolve(&declared.partner, kind, name);
        let served = resolved.ok_or(Refusal::UnknownModel)?;
        let (owner, serves) = served.1.split_once('/').ok_or(Refusal::UnknownModel)?;
        let priority = run.priority.unwrap_or_default().min(declared.resource.priority);
        if run.priority.is_some_and(|it| it > declared.resource.priority) {
            return Err(Refusal::NotGranted);
        }
        let room = self.targets.room(now, &served);
        let ticket = self.admission.admit(&admit::Ask {
            customer: &customer,
            partner: &declared.partner,
            streams: declared.resource.streams,
            share: share(catalogue, declared),
            serves: &served.1,
            owner,
            granted: catalogue.granted(&declared.partner, owner, serves),
            priority,
            capacity: room.capacity,
            load: room.load,
        })?;
        Ok(Admitted {
            told: Some(customer.clone()),
            customer,
            served,
            route: None,
            priority,
            ticket,
        })
    }

    fn admit_route(
        &mut self,
        now: Millis,
        run: &Run,
        catalogue: &Catalogue,
        route: &Rc<Route>,
    ) -> Result<Admitted, Refusal> {
        let known = customer_of(catalogue, run)?;
        if known.is_none() && !route.open {
            return Err(Refusal::UnknownKey);
        }
        let service = route.pick(self.rng.random()).ok_or(Refusal::NoTarget)?;
        let served = (Kind::Service, service.to_owned());
        let room = self.targets.room(now, &served);
        let priority = Priority::default();
        let (customer, partner, streams, share, told) = match &known {
            Some((name, it)) => {
                let share = share(catalogue, it);
                (
                    name.as_str(),
                    it.partner.as_str(),
                    it.resource.streams,
                    share,
                    Some(&it.resource.name),
                )
            }
            None => ("", "", KEYLESS_STREAMS, 1.0, None),
        };
        let ticket = self.admission.admit(&admit::Ask {
            customer,
            partner,
            streams,
            share,
            serves: &served.1,
            owner: partner,
            granted: 1.0,
            priority,
            capacity: room.capacity,
            load: room.load,
        })?;
        Ok(Admitted {
            customer: customer.to_owned(),
            told: told.cloned(),
            served,
            route: Some(route.clone()),
            priority,
            ticket,
        })
    }
}

/// The customer whose key a request carries; none if it carries no key.
fn customer_of<'a>(
    catalogue: &'a Catalogue,
    run: &Run,
) -> Result<Option<(String, &'a Declared<Customer>)>, Refusal> {
    let Some(key) = &run.key else { return Ok(None) };
    let name = catalogue.keys.get(key).ok_or(Refusal::UnknownKey)?;
    let customer = catalogue.customers.get(name).ok_or(Refusal::UnknownKey)?;
    Ok(Some((name.clone(), customer)))
}

/// A customer's part of the shares of its partner's customers.
fn share(catalogue: &Catalogue, it: &Declared<Customer>) -> f64 {
    let peers = catalogue.customers.values().filter(|other| other.partner == it.partner);
    let shares: u64 = peers.map(|it| u64::from(it.resource.share)).sum();
    f64::from(it.resource.share) / shares.max(1) as f64
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router's side towards callers: handles events of the HTTP server and admits or refuses
//! requests.

use std::cell::OnceCell;
use std::rc::Rc;

use rand::RngExt;
use sablepass_core::admit;
use sablepass_core::catalogue::{Catalogue, Declared};
use sablepass_core::declaration::{Customer, Kind, Priority};
use sablepass_core::fingerprint::Fingerprint;
use sablepass_core::flight::{self, Event, Flight};
use sablepass_core::id::Millis;
use sablepass_core::once::Key;
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;
use sablepass_core::route::{Class, Route};
use sablepass_core::scope::Scope;
use sablepass_edge::room::Share;
use sablepass_edge::{clock, server};
use stakker::CX;

use crate::call::{Call, Run, Selector};
use crate::open::OpenRequest;
use crate::openai;
use crate::router::Router;
use crate::targets::Served;
use crate::targets::eligibility::Demand;
use crate::trace::Step;

/// Limit of concurrent requests of callers without a key, which have no limit of their own.
const KEYLESS_STREAM_LIMIT: u32 = u32::MAX;

/// Result of the admission of a request.
struct Admitted {
    /// Qualified name of the customer; empty for a caller without a key.
    customer: String,
    /// Name of the customer that is sent to targets.
    forwarded_customer: Option<String>,
    served: Served,
    scope: Scope,
    route: Option<Rc<Route>>,
    priority: Priority,
    ticket: admit::Ticket,
}

impl Router {
    /// Handles an event of the HTTP server for callers.
    pub fn server_event(&mut self, cx: CX![], event: server::Event) {
        match event {
            server::Event::Request(incoming) => self.request(cx, *incoming),
            server::Event::Disconnected(key) => match self.exchanges.get(&key).copied() {
                Some(id) => self.handle_event(cx, id, 0, Event::CallerGone),
                // The answer was complete; only its delivery failed.
                None => self.metrics.refused(Refusal::CallerGone),
            },
            server::Event::OutputFull(key) => self.pause(key, true),
            server::Event::OutputReady(key) => self.pause(key, false),
            server::Event::GaveWay(activity) => self.metrics.gave_way(activity),
        }
    }

    /// Pauses or resumes reading the target's answer, as the caller does not read fast enough. Only
    /// direct connections can be paused.
    fn pause(&self, key: server::ExchangeKey, paused: bool) {
        let open = self.exchanges.get(&key).and_then(|id| self.requests.get(id));
        if let Some(connection) = open.and_then(|it| it.connection) {
            self.pool.pause(connection, paused);
        }
    }

    fn request(&mut self, cx: CX![], incoming: server::Incoming) {
        let (exchange, reply) = (incoming.key, incoming.reply.clone());
        match self.settings.dialect.parse(&self.options, incoming) {
            Ok(Call::Run(run)) => self.run(cx, exchange, *run),
            Ok(Call::Models { key, reply }) => self.models(&key, &reply),
            Err(e) => self.refuse(&reply, &e.label, e.reason),
        }
    }

    /// Answers with the models that are granted to the partner of a key's customer.
    fn models(&self, key: &str, reply: &server::Reply) {
        let catalogue = self.targets.catalogue();
        if !catalogue.configured {
            self.refuse(reply, "", Refusal::NoConfiguration);
            return;
        }
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
        openai::send_models(reply, &names);
    }

    /// Refuses a request that was not admitted.
    fn refuse(&self, reply: &server::Reply, label: &str, reason: Refusal) {
        self.metrics.refused(reason);
        let revision = self.targets.catalogue().revision;
        slog::warn!(self.log, "refused"; "id" => label, "reason" => reason.label(),
            "revision" => revision.number, "era" => revision.era, "held" => self.requests.len());
        self.settings.dialect.send_failure(
            reply,
            label,
            Failure { reason, ran: Ran::NotRun },
            None,
        );
    }

    fn run(&mut self, cx: CX![], exchange: server::ExchangeKey, run: Run) {
        let now = clock::now();
        match self.admit(now, &run) {
            Ok(admitted) => {
                let id = run.id;
                let open = self.open_request(now, exchange, run, admitted);
                self.metrics.requests.inc();
                self.budget(&open.served).earn();
                self.exchanges.insert(exchange, id);
                self.requests.insert(id, open);
                self.metrics.in_flight.set(self.requests.len() as i64);
                self.dispatch(cx, id);
            }
            Err(reason) => self.refuse(&run.reply, &run.label, reason),
        }
    }

    /// Creates the state of an admitted request.
    fn open_request(
        &mut self,
        now: Millis,
        exchange: server::ExchangeKey,
        run: Run,
        admitted: Admitted,
    ) -> OpenRequest {
        let key = run.idempotency_key.as_ref().filter(|_| run.unsafe_repeat);
        let key = key.map(|text| Key { customer: admitted.customer.clone(), text: text.clone() });
        let request = self.flight_request(&run, admitted.route.as_deref(), key.is_some());
        let service = &admitted.served.1;
        let parts = run.shared_parts.iter().map(|it| Fingerprint::of_part(service, it)).collect();
        let step = Step::Admitted {
            customer: admitted.customer.clone(),
            serves: admitted.served.1.clone(),
        };
        self.traces.add(now, run.id, step);
        OpenRequest {
            flight: Flight::new(self.settings.flight_options(), request),
            customer: admitted.customer,
            forwarded_customer: admitted.forwarded_customer,
            owner: key.and_then(|key| self.targets.owner(&admitted.served, &key)),
            priority: admitted.priority,
            run,
            served: admitted.served,
            scope: admitted.scope,
            route: admitted.route,
            exchange,
            ticket: admitted.ticket,
            waiting_since: None,
            slot: None,
            turn_requested: false,
            queued: None,
            counted_target: None,
            connection: None,
            answer: Share::open(&self.answers),
            succeeded: false,
            head_sent: false,
            delivered_at: now,
            fingerprint: OnceCell::new(),
            parts,
            sent_at: now,
            started: now,
            time_to_first_byte: 0,
            longest_pause: (0, 0),
            retry_after: None,
            revision: self.targets.catalogue().revision,
        }
    }

    /// Returns the properties for the request's state machine: those of the caller's request, unless
    /// its route declares others.
    fn flight_request(&self, run: &Run, route: Option<&Route>, keyed: bool) -> flight::Request {
        let requested = flight::Request {
            id: run.id,
            deadline: run.deadline,
            max_attempts: self.settings.attempts,
            unsafe_repeat: run.unsafe_repeat,
            keyed,
            stream: run.stream,
            resumable: false,
        };
        let Some(route) = route else { return requested };
        flight::Request {
            deadline: run.deadline.min(run.arrived + route.timeout),
            max_attempts: route.attempts,
            unsafe_repeat: route.at_most_once(),
            stream: route.class == Class::Stream,
            resumable: route.class == Class::Stream && route.resume,
            ..requested
        }
    }

    /// Admits a request, or returns the reason for refusing it.
    fn admit(&mut self, now: Millis, run: &Run) -> Result<Admitted, Refusal> {
        let wait = self.settings.admission_time();
        if self.stopping_since.is_some_and(|since| now >= since + wait) {
            return Err(Refusal::Stopping);
        }
        let catalogue = self.targets.catalogue().clone();
        if !catalogue.configured {
            return Err(Refusal::NoConfiguration);
        }
        match &run.selector {
            Selector::Named(kind, name) => self.admit_named(now, run, &catalogue, *kind, name),
            Selector::Route { host, path } => {
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
        let scope = Scope::intersection([&declared.resource.regions[..]]);
        if self.targets.is_all_evacuated(now, Demand { served: &served, scope: &scope }, None) {
            self.log_evacuated_refusal(&served);
            return Err(Refusal::Evacuated);
        }
        let room = self.targets.share(now, Demand { served: &served, scope: &scope });
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
            forwarded_customer: Some(customer.clone()),
            customer,
            served,
            scope,
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
        let declared = customer_of(catalogue, run)?;
        if declared.is_none() && !route.open {
            return Err(Refusal::UnknownKey);
        }
        let service = route.pick(self.rng.random()).ok_or(Refusal::NoTarget)?;
        let served = (Kind::Service, service.to_owned());
        let customer_regions = declared.as_ref().map(|(_, it)| it.resource.regions.as_slice());
        let scope = Scope::intersection([&route.regions, customer_regions.unwrap_or_default()]);
        let room = self.targets.share(now, Demand { served: &served, scope: &scope });
        let priority = Priority::default();
        let (customer, partner, streams, share, forwarded_customer) = match &declared {
            Some((name, customer)) => {
                let share = share(catalogue, customer);
                (
                    name.as_str(),
                    customer.partner.as_str(),
                    customer.resource.streams,
                    share,
                    Some(&customer.resource.name),
                )
            }
            None => ("", "", KEYLESS_STREAM_LIMIT, 1.0, None),
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
            forwarded_customer: forwarded_customer.cloned(),
            served,
            scope,
            route: Some(route.clone()),
            priority,
            ticket,
        })
    }
}

/// Returns the customer of a request's API key with its qualified name, or none if the request has
/// no key. An unknown key is refused.
fn customer_of<'a>(
    catalogue: &'a Catalogue,
    run: &Run,
) -> Result<Option<(String, &'a Declared<Customer>)>, Refusal> {
    let Some(key) = &run.key else { return Ok(None) };
    let name = catalogue.keys.get(key).ok_or(Refusal::UnknownKey)?;
    let customer = catalogue.customers.get(name).ok_or(Refusal::UnknownKey)?;
    Ok(Some((name.clone(), customer)))
}

/// Returns a customer's fraction of the shares of all customers of its partner, 0 to 1.
fn share(catalogue: &Catalogue, customer: &Declared<Customer>) -> f64 {
    let peers = catalogue.customers.values().filter(|other| other.partner == customer.partner);
    let shares: u64 = peers.map(|it| u64::from(it.resource.share)).sum();
    f64::from(customer.resource.share) / shares.max(1) as f64
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The entry instance: accepts callers' HTTP requests and forwards them to targets.
//!
//! The HTTP server of `sablepass-edge` receives a request, a [`dialect`] parses it, and the
//! [`router`] admits it, chooses a target and sends it there: to the target's agent, or directly
//! over a connection of the [`pool`]. Answers return on the same path.

mod answers;
mod call;
mod callers;
mod completion;
mod dialect;
mod direct;
mod ends;
mod evacuation;
mod notices;
mod open;
mod openai;
mod peers;
mod pool;
mod regions;
mod router;
mod routes;
mod settings;
mod starts;
mod stops;
mod suspects;
mod targets;
mod ticks;
mod trace;
mod turns;
mod whole;

use std::path::PathBuf;
use std::process::ExitCode;

use sablepass_edge::daemon::{self, Base};
use sablepass_edge::instance::Role;
use sablepass_edge::room::Room;
use sablepass_edge::server::{Limits, Server};
use sablepass_edge::{admin, mesh, runtime, server};
use stakker::{actor_new, call, fwd_to, ret_shutdown};

use crate::router::Router;

/// Number of callers' connections accepted beyond the admission limit, so that the requests in
/// excess are refused with an answer.
const REFUSAL_HEADROOM: usize = 64;

fn main() -> ExitCode {
    daemon::main("sablepass-entry", "Takes callers' requests and routes them", run)
}

fn run(mut settings: settings::Settings, file: PathBuf) -> Result<(), daemon::Error> {
    if let Some(capacity) = settings.capacity() {
        settings.node.log_rate = settings.node.log_rate.min(capacity.log_lines);
    }
    let base = Base::open(&settings.node, Role::Entry)?;
    let listener = server::listen(settings.http)?;
    let callers = listener.local_addr().unwrap_or(settings.http);
    runtime::run::<_, daemon::Error>(|s| {
        let actor = actor_new!(s, Router, ret_shutdown!(s));
        let queries = || fwd_to!([actor], query() as (admin::Query));
        let signals = runtime::signals(s, fwd_to!([actor], signal() as (runtime::Signal)))?;
        let (log, metrics, peers) = (base.log.clone(), base.metrics.clone(), base.peer_addr);
        let mesh = base.spawn_mesh(s, fwd_to!([actor], mesh_event() as (mesh::Event)));
        let (admin, operators) = admin::spawn(s, settings.node.admin, metrics.clone(), queries())?;
        let ready = match settings.ready {
            Some(addr) => Some(admin::spawn(s, addr, metrics.clone(), queries())?),
            None => None,
        };
        let server = actor_new!(s, Server, ret_shutdown!(s));
        let limits = settings.bounded(Limits {
            body: settings.body,
            connections: settings.exchanges + REFUSAL_HEADROOM,
            ..Limits::default()
        });
        let events = fwd_to!([actor], server_event() as (server::Event));
        let buffers = Room::open(limits.buffers);
        call!([server], Server::init(listener, limits, buffers.clone(), events));
        let addresses = serde_json::json!({ "http": callers, "peers": peers, "admin": admin });
        println!("{addresses}");
        slog::info!(log, "started"; "callers" => %callers, "peers" => %peers, "admin" => %admin);
        call!([actor], Router::init((settings, file), log, metrics, mesh, (server, buffers)));
        Ok((actor, signals, operators, ready))
    })
}

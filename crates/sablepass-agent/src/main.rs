// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The agent of a target, on the target's machine. For a gated target, every dispatch passes
//! the agent's [`gate`], and each admitted one runs on the target from its own thread. For
//! a direct target, to which entries send requests over HTTP, the agent only observes it.
//!
//! [`gate`]: sablepass_core::gate

mod answers;
mod engine;
mod flow;
mod group;
mod keeper;
mod leaving;
mod listeners;
mod member;
mod memory;
mod notices;
mod observer;
mod orders;
mod ranks;
mod run;
mod settings;
mod target;
mod transport;
mod witness;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use sablepass_edge::daemon::{self, Base};
use sablepass_edge::instance::Role;
use sablepass_edge::settings::parse_url;
use sablepass_edge::{admin, mesh, runtime};
use stakker::sync::Channel;
use stakker::{actor_new, call, fwd_to, ret_shutdown};

use crate::engine::{Call, CallResult, Engine};
use crate::keeper::Keeper;
use crate::observer::Observer;

fn main() -> ExitCode {
    daemon::main(
        "sablepass-agent",
        "Runs beside a target, admits its requests and reports its state",
        run,
    )
}

fn run(settings: settings::Settings, _: PathBuf) -> Result<(), daemon::Error> {
    match parse_url(&settings.target).filter(|_| !settings.gate) {
        Some(target) => observe(settings, target),
        None => guard(settings),
    }
}

/// Runs the agent of a direct target.
fn observe(settings: settings::Settings, target: SocketAddr) -> Result<(), daemon::Error> {
    let base = Base::open(&settings.node, Role::Agent)?;
    runtime::run::<_, daemon::Error>(|s| {
        let actor = actor_new!(s, Observer, ret_shutdown!(s));
        let queries = fwd_to!([actor], query() as (admin::Query));
        let signals = runtime::signals(s, fwd_to!([actor], signal() as (runtime::Signal)))?;
        let (log, metrics, peers) = (base.log.clone(), base.metrics.clone(), base.peer_addr);
        let mesh = base.spawn_mesh(s, fwd_to!([actor], mesh_event() as (mesh::Event)));
        let (admin, operators) = admin::spawn(s, settings.node.admin, metrics.clone(), queries)?;
        println!("{}", serde_json::json!({ "peers": peers, "admin": admin }));
        slog::info!(log, "started"; "target" => %target, "peers" => %peers, "admin" => %admin);
        let engine = actor_new!(s, Engine, ret_shutdown!(s));
        let results = fwd_to!([actor], on_call_result() as ((Call, CallResult)));
        call!([engine], Engine::init(target, results));
        call!([actor], Observer::init(settings, target, log, metrics, mesh, engine));
        Ok((actor, signals, operators))
    })
}

/// Runs the agent of a gated target.
fn guard(settings: settings::Settings) -> Result<(), daemon::Error> {
    let base = Base::open(&settings.node, Role::Agent)?;
    runtime::run::<_, daemon::Error>(|s| {
        let actor = actor_new!(s, Keeper, ret_shutdown!(s));
        let (parts, parts_guard) = Channel::new(s, fwd_to!([actor], part() as (run::Part)));
        let (loads, loads_guard) = Channel::new(s, fwd_to!([actor], load() as (target::Load)));
        let queries = fwd_to!([actor], query() as (admin::Query));
        let (engine, engine_guard) =
            Channel::new(s, fwd_to!([actor], engine_event() as (orders::EngineEvent)));
        let signals = runtime::signals(s, fwd_to!([actor], signal() as (runtime::Signal)))?;
        let (log, metrics, peers) = (base.log.clone(), base.metrics.clone(), base.peer_addr);
        let me = base.identity.incarnation;
        let mesh = base.spawn_mesh(s, fwd_to!([actor], mesh_event() as (mesh::Event)));
        let (admin, operators) = admin::spawn(s, settings.node.admin, metrics.clone(), queries)?;
        let target = target::Target::open(&settings, loads);
        let handles = keeper::Handles { mesh, target, parts, engine };
        println!("{}", serde_json::json!({ "peers": peers, "admin": admin }));
        slog::info!(log, "started"; "peers" => %peers, "admin" => %admin);
        call!([actor], Keeper::init(settings, me, log, metrics, handles));
        Ok((actor, parts_guard, loads_guard, operators, engine_guard, signals))
    })
}

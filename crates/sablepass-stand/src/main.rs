// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Small stand-ins for what surrounds sablepass, for tests and the demo
//! only: the platform's services, a model engine, a plain service, and a TCP
//! proxy that injects faults.

mod demo;
mod engine;
mod group;
mod plain;
mod platform;
mod proxy;
mod web;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use sablepass_core::expert::map::Shape;
use sablepass_edge::cli;
use snafu::Snafu;

/// Why a stand-in could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Its HTTP server failed.
    #[snafu(transparent)]
    Http {
        /// Why.
        source: sablepass_stand::http::Error,
    },
    /// A socket failed.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Why.
        source: std::io::Error,
    },
    /// No map fits the shape.
    #[snafu(transparent)]
    Shape {
        /// Why.
        source: sablepass_core::expert::map::Error,
    },
    /// The demo found promises broken.
    #[snafu(display("{broken} of the promises were broken"))]
    Broken {
        /// How many.
        broken: usize,
    },
}

fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDR")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn command() -> Command {
    Command::new("sablepass-stand")
        .about("Stand-ins for tests and the demo")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Configuration service and instance list")
                .arg(address("listen"))
                .arg(number("lag", "0", "Milliseconds by which the instance list lags")),
        )
        .subcommand(
            Command::new("engine")
                .about("Model engine with continuous batching")
                .arg(address("listen"))
                .arg(number("step", "6", "Milliseconds of a step"))
                .arg(number("batch", "32", "Sequences of a step"))
                .arg(number("prefill", "8", "Steps of a prompt that is not cached"))
                .arg(number("cache", "64", "Prompt prefixes cached")),
        )
        .subcommand(
            Command::new("group")
                .about("Group of engines whose ranks step together on an expert map")
                .arg(address("listen"))
                .arg(number("step", "6", "Milliseconds of an even step"))
                .arg(number("members", "4", "Members, each with an engine"))
                .arg(number("ranks", "32", "Ranks"))
                .arg(number("experts", "64", "Experts a layer"))
                .arg(number("layers", "4", "Layers"))
                .arg(number("slots", "3", "Slots of a rank in a layer"))
                .arg(number("load", "1", "Milliseconds of one loading of weights"))
                .arg(
                    Arg::new("careless")
                        .long("careless")
                        .action(clap::ArgAction::SetTrue)
                        .help("Do not check the fence of orders"),
                ),
        )
        .subcommand(
            Command::new("service")
                .about("Plain service that logs what it ran")
                .arg(address("listen"))
                .arg(number("delay", "0", "Milliseconds of a call")),
        )
        .subcommand(
            Command::new("demo").about("Start a small fleet and check what its callers get").arg(
                Arg::new("hold")
                    .long("hold")
                    .action(clap::ArgAction::SetTrue)
                    .help("Leave it running until Ctrl-C"),
            ),
        )
        .subcommand(
            Command::new("proxy")
                .about("TCP proxy that injects faults")
                .arg(address("listen"))
                .arg(address("control"))
                .arg(address("to")),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("platform", it)) => platform::run(addr(it, "listen"), value(it, "lag")),
        Some(("engine", it)) => engine::run(addr(it, "listen"), engine_options(it)),
        Some(("group", it)) => group::run(addr(it, "listen"), group_options(it)),
        Some(("service", it)) => plain::run(addr(it, "listen"), value(it, "delay")),
        Some(("proxy", it)) => proxy::run(addr(it, "listen"), addr(it, "control"), addr(it, "to")),
        Some(("demo", it)) => demo::run(it.get_flag("hold")),
        _ => Ok(()),
    };
    cli::exit("sablepass-stand", result)
}

fn engine_options(it: &ArgMatches) -> engine::Options {
    engine::Options {
        step: value(it, "step"),
        batch: value(it, "batch") as usize,
        prefill: value(it, "prefill"),
        cache: value(it, "cache") as usize,
    }
}

fn group_options(it: &ArgMatches) -> group::Options {
    let number = |name| value(it, name) as usize;
    group::Options {
        step: value(it, "step"),
        members: number("members").max(1),
        shape: Shape {
            ranks: number("ranks"),
            layers: number("layers"),
            experts: number("experts"),
            slots: number("slots"),
        },
        load: value(it, "load"),
        careless: it.get_flag("careless"),
    }
}

fn addr(it: &ArgMatches, name: &str) -> SocketAddr {
    it.get_one::<SocketAddr>(name).copied().unwrap_or_else(|| ([127, 0, 0, 1], 0).into())
}

fn value(it: &ArgMatches, name: &str) -> u64 {
    it.get_one::<u64>(name).copied().unwrap_or(0)
}

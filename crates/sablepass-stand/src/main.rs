// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Command-line program with the stand-ins of outside programs, for tests and the demo
//! only: the platform's services, a model engine, a group of engines, a plain service, a replica of
//! the users' services, and a TCP proxy that injects faults.

mod demo;
mod engine;
mod group;
mod plain;
mod platform;
mod proxy;
mod web;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use sablepass_core::expert::map::Shape;
use sablepass_edge::cli;
use sablepass_stand::replica::{Mode, Replica};
use snafu::Snafu;

/// Errors of a stand-in that cannot run, or of a failed demo.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The HTTP server of the stand-in failed.
    #[snafu(transparent)]
    Http {
        /// Cause.
        source: sablepass_stand::http::Error,
    },
    /// A socket or the signal handler could not be set up.
    #[snafu(display("cannot set up a socket or signal handler: {source}"))]
    Socket {
        /// Cause.
        source: std::io::Error,
    },
    /// No expert map fits the shape given on the command line.
    #[snafu(transparent)]
    Shape {
        /// Cause.
        source: sablepass_core::expert::map::Error,
    },
    /// Checks of the demo failed.
    #[snafu(display("{broken} checks of the demo failed"))]
    Broken {
        /// Number of failed checks.
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
                .arg(number(
                    "lag",
                    "0",
                    "Delay of the instance list behind its changes, in milliseconds",
                )),
        )
        .subcommand(
            Command::new("engine")
                .about("Model engine with continuous batching")
                .arg(address("listen"))
                .arg(number("step", "6", "Duration of a step, in milliseconds"))
                .arg(number("batch", "32", "Maximum sequences in a step"))
                .arg(number("prefill", "8", "Prefill steps of a prompt that is not cached"))
                .arg(number("cache", "64", "Capacity of the prefix cache, in prompts")),
        )
        .subcommand(
            Command::new("group")
                .about("Group of engines whose ranks step together on an expert map")
                .arg(address("listen"))
                .arg(number("step", "6", "Duration of a step under even load, in milliseconds"))
                .arg(number("members", "4", "Number of members, each with an engine"))
                .arg(number("ranks", "32", "Number of ranks"))
                .arg(number("experts", "64", "Experts per layer"))
                .arg(number("layers", "4", "Number of layers"))
                .arg(number("slots", "3", "Expert slots per rank and layer"))
                .arg(number("load", "1", "Time to load the weights of one expert, in milliseconds"))
                .arg(
                    Arg::new("careless")
                        .long("careless")
                        .action(clap::ArgAction::SetTrue)
                        .help("Accept orders with an outdated fence"),
                ),
        )
        .subcommand(
            Command::new("service")
                .about("Plain service that logs each call")
                .arg(address("listen"))
                .arg(number("delay", "0", "Duration of a call, in milliseconds")),
        )
        .subcommand(
            Command::new("replica")
                .about("Replica of the users' services whose answers state no length")
                .arg(address("listen"))
                .arg(Arg::new("id").long("id").value_name("ID").required(true))
                .arg(number("pause", "0", "Pause after each part of an answer, in milliseconds")),
        )
        .subcommand(
            Command::new("demo")
                .about("Start a small fleet and check the responses that callers receive")
                .arg(
                    Arg::new("hold")
                        .long("hold")
                        .action(clap::ArgAction::SetTrue)
                        .help("Skip the checks and leave the fleet running until Ctrl-C"),
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
        Some(("platform", args)) => platform::run(addr(args, "listen"), value(args, "lag")),
        Some(("engine", args)) => engine::run(addr(args, "listen"), engine_options(args)),
        Some(("group", args)) => group::run(addr(args, "listen"), group_options(args)),
        Some(("service", args)) => plain::run(addr(args, "listen"), value(args, "delay")),
        Some(("replica", args)) => {
            let id = args.get_one::<String>("id").cloned().unwrap_or_default();
            run_replica(addr(args, "listen"), id, value(args, "pause"))
        }
        Some(("proxy", args)) => {
            proxy::run(addr(args, "listen"), addr(args, "control"), addr(args, "to"))
        }
        Some(("demo", args)) => demo::run(args.get_flag("hold")),
        _ => Ok(()),
    };
    cli::exit("sablepass-stand", result)
}

/// Runs a replica until the process ends.
fn run_replica(listen: SocketAddr, id: String, pause_ms: u64) -> Result<(), Error> {
    let replica = Replica::spawn_as("orders", listen, id);
    replica.set(Mode::Unsized);
    replica.set_part_pause(Duration::from_millis(pause_ms));
    web::announce(&serde_json::json!({ "listen": replica.addr }));
    loop {
        std::thread::park();
    }
}

fn engine_options(args: &ArgMatches) -> engine::Options {
    engine::Options {
        step: value(args, "step"),
        batch: value(args, "batch") as usize,
        prefill: value(args, "prefill"),
        cache: value(args, "cache") as usize,
    }
}

fn group_options(args: &ArgMatches) -> group::Options {
    let number = |name| value(args, name) as usize;
    group::Options {
        step: value(args, "step"),
        members: number("members").max(1),
        shape: Shape {
            ranks: number("ranks"),
            layers: number("layers"),
            experts: number("experts"),
            slots: number("slots"),
        },
        load: value(args, "load"),
        ignores_fences: args.get_flag("careless"),
    }
}

fn addr(args: &ArgMatches, name: &str) -> SocketAddr {
    args.get_one::<SocketAddr>(name).copied().unwrap_or_else(|| ([127, 0, 0, 1], 0).into())
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or(0)
}

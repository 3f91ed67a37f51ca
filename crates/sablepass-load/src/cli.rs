// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Command line of `sablepass-load`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sablepass_core::expert::map::Shape;

use crate::capacity::Slope;
use crate::{experts, overload, requests, unsized_answers};

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn decimal(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("X")
        .default_value(default)
        .value_parser(value_parser!(f64))
        .help(help)
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON instead of a table")
}

/// Builds the command with all its subcommands.
pub fn command() -> Command {
    Command::new("sablepass-load")
        .about("Measures load, resource usage and policies for expert maps")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("experts")
                .about("Compare policies for expert maps under drift")
                .arg(number("seed", "1", "Seed of the random numbers"))
                .arg(
                    Arg::new("trace")
                        .long("trace")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("CSV 'step,layer,expert,tokens' instead of synthetic drift"),
                )
                .arg(
                    Arg::new("weights")
                        .long("weights")
                        .value_name("skew=X,moves=Y")
                        .value_parser(experts::parse_weights)
                        .help("Add a row for a policy with these weights"),
                )
                .arg(number("ranks", "32", "Ranks of the group"))
                .arg(number("experts", "64", "Experts per layer"))
                .arg(number("layers", "60", "Layers"))
                .arg(number("slots", "3", "Slots per rank and layer"))
                .arg(number("steps", "30000", "Steps of synthetic drift"))
                .arg(number("period", "1000", "Steps between two decisions"))
                .arg(number("lag", "100", "Delay of expert counts, in steps"))
                .arg(decimal("move-cost", "0.5", "Work delayed by loading one expert, in steps"))
                .arg(decimal(
                    "load-steps",
                    "0.15",
                    "Time to load one expert from the store, in steps",
                ))
                .arg(decimal(
                    "expert-bytes",
                    "44e6",
                    "Size of one expert's weights in a layer, in bytes",
                ))
                .arg(json()),
        )
        .subcommand(requests_command())
        .subcommand(
            Command::new("capacity")
                .about("Measure how resource usage grows, for docs/CAPACITY.md")
                .arg(
                    Arg::new("slope")
                        .value_name("SLOPE")
                        .num_args(0..)
                        .value_parser([
                            "streams",
                            "spread",
                            "links",
                            "kinds",
                            "group",
                            "once",
                            "plan",
                            "catalogue",
                        ])
                        .help("Slopes to measure; all by default"),
                ),
        )
        .subcommand(
            Command::new("overload")
                .about("Send more requests than the targets can serve")
                .arg(
                    Arg::new("multiple")
                        .value_name("X")
                        .num_args(0..)
                        .value_parser(value_parser!(f64))
                        .help("Multiples of capacity; 0.5, 1, 2 and 4 by default"),
                )
                .arg(number("seconds", "8", "Length of the measurement, in seconds"))
                .arg(number("seed", "1", "Seed of the arrival times"))
                .arg(
                    Arg::new("kill")
                        .long("kill")
                        .action(ArgAction::SetTrue)
                        .help("Kill a third of the targets after a third of the time"),
                )
                .arg(
                    Arg::new("foreign")
                        .long("foreign")
                        .action(ArgAction::SetTrue)
                        .help("Let the greedy customer belong to the other partner"),
                ),
        )
        .subcommand(
            Command::new("unsized-answers")
                .about("Measure answers that state no length, from idle targets and full ones")
                .arg(number("seconds", "10", "Length of each measurement, in seconds"))
                .arg(number(
                    "interval",
                    "5",
                    "Pause before each request to an idle target, in milliseconds",
                )),
        )
}

fn requests_command() -> Command {
    Command::new("requests")
        .about("Send open-loop load to the given entries, or to a fleet started for it")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDR")
                .action(ArgAction::Append)
                .help("Address of an entry; can be repeated"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .default_value("")
                .help("API key for the given entries"),
        )
        .arg(Arg::new("model").long("model").value_name("NAME").default_value("triage"))
        .arg(decimal("rate", "50", "Requests per second"))
        .arg(number("tokens", "30", "Tokens per answer"))
        .arg(number("seconds", "10", "Length of the measurement, in seconds"))
        .arg(number("warmup", "2", "Length of the warm-up, in seconds"))
        .arg(number("prefixes", "64", "Distinct prompt prefixes"))
        .arg(number("targets", "4", "Targets of the started fleet"))
        .arg(number("step", "6", "Step time of its targets, in milliseconds"))
        .arg(number("slow", "1", "Factor by which its first target is slower"))
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_parser(["round-robin", "least-load", "two-choices", "affinity", "all"])
                .default_value("affinity")
                .help("Policy by which its entries choose targets"),
        )
        .arg(
            Arg::new("direct")
                .long("direct")
                .action(ArgAction::SetTrue)
                .help("Send to its first target directly, for comparison"),
        )
        .arg(number("seed", "1", "Seed of the arrival times"))
        .arg(json())
}

/// Parses the options of `requests`.
pub fn requests_options(matches: &ArgMatches) -> requests::Options {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    requests::Options {
        entries: matches.get_many::<String>("entry").into_iter().flatten().cloned().collect(),
        key: text("key"),
        model: text("model"),
        rate: float(matches, "rate"),
        tokens: integer(matches, "tokens"),
        seconds: integer(matches, "seconds"),
        warmup: integer(matches, "warmup"),
        prefixes: integer(matches, "prefixes"),
        targets: integer(matches, "targets").max(1) as usize,
        step: integer(matches, "step"),
        slow: integer(matches, "slow"),
        policy: text("policy"),
        direct: matches.get_flag("direct"),
        seed: integer(matches, "seed"),
        json: matches.get_flag("json"),
    }
}

/// Parses the slopes of `capacity`; all if none are given.
pub fn slopes(matches: &ArgMatches) -> Vec<Slope> {
    let all = ["once", "plan", "catalogue", "links", "kinds", "group", "spread", "streams"];
    let given: Vec<&str> =
        matches.get_many::<String>("slope").into_iter().flatten().map(String::as_str).collect();
    let names = if given.is_empty() { all.to_vec() } else { given };
    let parse = |name| match name {
        "streams" => Slope::Streams,
        "spread" => Slope::Spread,
        "links" => Slope::Links,
        "kinds" => Slope::Kinds,
        "group" => Slope::Group,
        "once" => Slope::Once,
        "plan" => Slope::Plan,
        _ => Slope::Catalogue,
    };
    names.into_iter().map(parse).collect()
}

/// Parses the multiples of capacity and the options of `overload`.
pub fn overload_options(matches: &ArgMatches) -> (Vec<f64>, overload::Options) {
    let given: Vec<f64> =
        matches.get_many::<f64>("multiple").into_iter().flatten().copied().collect();
    let multiples = if given.is_empty() { vec![0.5, 1.0, 2.0, 4.0] } else { given };
    let options = overload::Options {
        seconds: integer(matches, "seconds"),
        kill: matches.get_flag("kill"),
        foreign: matches.get_flag("foreign"),
        seed: integer(matches, "seed"),
    };
    (multiples, options)
}

/// Parses the options of `unsized-answers`.
pub fn unsized_answers_options(matches: &ArgMatches) -> unsized_answers::Options {
    unsized_answers::Options {
        seconds: integer(matches, "seconds"),
        interval: integer(matches, "interval"),
    }
}

fn integer(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

fn float(matches: &ArgMatches, name: &str) -> f64 {
    matches.get_one::<f64>(name).copied().unwrap_or(0.0)
}

/// Parses the options of `experts`.
pub fn experts_options(matches: &ArgMatches) -> experts::Options {
    experts::Options {
        seed: integer(matches, "seed"),
        trace: matches.get_one::<PathBuf>("trace").cloned(),
        weights: matches.get_one::<experts::Weights>("weights").copied(),
        shape: Shape {
            ranks: integer(matches, "ranks") as usize,
            layers: integer(matches, "layers") as usize,
            experts: integer(matches, "experts") as usize,
            slots: integer(matches, "slots") as usize,
        },
        steps: integer(matches, "steps"),
        period: integer(matches, "period").max(1),
        lag: integer(matches, "lag"),
        move_cost: float(matches, "move-cost"),
        load_steps: float(matches, "load-steps"),
        expert_bytes: float(matches, "expert-bytes"),
        json: matches.get_flag("json"),
    }
}

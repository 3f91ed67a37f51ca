// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! `sablepass-soak`: runs the fault soak for a range of seeds and prints a line for
//! each. For a seed that violates a guarantee it prints the schedule and the
//! violations and, with `--shrink`, a minimised schedule.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sablepass_stand::soak::schedule::{self, PlannedFault};
use sablepass_stand::soak::{self, Options};

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
}

fn command() -> Command {
    Command::new("sablepass-soak")
        .about("Runs the real programs under seeded faults and checks what callers and targets saw")
        .arg(number_arg("first", "0", "First seed"))
        .arg(number_arg("seeds", "10", "Number of seeds"))
        .arg(
            Arg::new("fresh")
                .long("fresh")
                .action(ArgAction::SetTrue)
                .help("Choose the first seed at random; overrides --first"),
        )
        .arg(number_arg("entries", "4", "Number of entries"))
        .arg(number_arg(
            "replicas",
            "6",
            "Number of replicas in three data halls, each behind its own proxy",
        ))
        .arg(number_arg("callers", "12", "Number of concurrent callers"))
        .arg(number_arg("length", "4000", "Period within which faults start, in milliseconds"))
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .action(ArgAction::SetTrue)
                .help("Minimise the schedule of a seed that violates a guarantee"),
        )
}

fn options(matches: &ArgMatches) -> Options {
    let size = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default() as usize;
    Options {
        entries: size("entries").max(1),
        replicas: size("replicas").max(1),
        callers: size("callers").max(1),
        length: size("length").max(1) as u64,
    }
}

fn print_schedule(plan: &[PlannedFault]) {
    plan.iter().for_each(|it| println!("  {it}"));
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let options = options(&matches);
    let count = matches.get_one::<u64>("seeds").copied().unwrap_or_default();
    let first = matches.get_one::<u64>("first").copied().unwrap_or_default();
    let first = if matches.get_flag("fresh") { rand::random::<u32>().into() } else { first };
    let (mut failed, mut requests, mut faults) = (0, 0, 0);
    for seed in first..first + count {
        let plan = schedule::draw(seed, options.length);
        let outcome = soak::run(&options, &plan);
        println!(
            "seed {seed}: {} faults, {} requests, {} answered, {} breaches",
            plan.len(),
            outcome.requests,
            outcome.answered,
            outcome.violations.len()
        );
        (requests, faults) = (requests + outcome.requests, faults + plan.len());
        let Some(violation) = outcome.violations.first() else { continue };
        failed += 1;
        print_schedule(&plan);
        outcome.violations.iter().take(5).for_each(|it| println!("  broken: {it}"));
        if matches.get_flag("shrink") {
            println!("  fewest faults that break {:?}:", violation.guarantee);
            print_schedule(&soak::shrink(&options, &plan, violation.guarantee));
        }
    }
    println!(
        "{count} seeds from {first}, {faults} faults, {requests} requests: {failed} seeds broke a promise"
    );
    ExitCode::from(u8::from(failed > 0))
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! `sablepass-soak`: runs seeds of the fault soak, a line for each, and shrinks
//! the schedule of one that broke a promise.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sablepass_stand::soak::schedule::{self, PlannedFault};
use sablepass_stand::soak::{self, Options};

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
}

fn command() -> Command {
    Command::new("sablepass-soak")
        .about("Runs real programs under faults drawn from seeds, and judges what callers and targets saw")
        .arg(number("first", "0", "First seed"))
        .arg(number("seeds", "10", "How many seeds"))
        .arg(Arg::new("fresh").long("fresh").action(ArgAction::SetTrue).help("Draw the first seed"))
        .arg(number("entries", "4", "Entries"))
        .arg(number("replicas", "6", "Replicas, each behind a proxy"))
        .arg(number("callers", "12", "Callers at once"))
        .arg(number("length", "4000", "Milliseconds in which faults begin"))
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .action(ArgAction::SetTrue)
                .help("Leave out faults of a seed that breaks a promise while the rest breaks it"),
        )
}

fn options(it: &ArgMatches) -> Options {
    let size = |name: &str| it.get_one::<u64>(name).copied().unwrap_or_default() as usize;
    Options {
        entries: size("entries").max(1),
        replicas: size("replicas").max(1),
        callers: size("callers").max(1),
        length: size("length").max(1) as u64,
    }
}

fn print(plan: &[PlannedFault]) {
    plan.iter().for_each(|it| println!("  {it}"));
}

fn main() -> ExitCode {
    let it = command().get_matches();
    let options = options(&it);
    let count = it.get_one::<u64>("seeds").copied().unwrap_or_default();
    let first = it.get_one::<u64>("first").copied().unwrap_or_default();
    let first = if it.get_flag("fresh") { rand::random::<u32>().into() } else { first };
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
        print(&plan);
        outcome.violations.iter().take(5).for_each(|it| println!("  broken: {it}"));
        if it.get_flag("shrink") {
            println!("  fewest faults that break {:?}:", violation.guarantee);
            print(&soak::shrink(&options, &plan, violation.guarantee));
        }
    }
    println!(
        "{count} seeds from {first}, {faults} faults, {requests} requests: {failed} seeds broke a promise"
    );
    ExitCode::from(u8::from(failed > 0))
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! `sablepass-load`, the measurement tool: compares policies for expert maps, sends open-loop load
//! and measures resource usage.

mod bench;
mod capacity;
mod cli;
mod drift;
mod experts;
mod overload;
mod requests;
mod trace;
mod traffic;
mod unsized_answers;

use std::process::ExitCode;

use clap::ArgMatches;
use snafu::Snafu;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(transparent)]
    Experts { source: experts::Error },
}

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    sablepass_edge::cli::exit("sablepass-load", run(&matches))
}

fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("experts", args)) => Ok(experts::run(&cli::experts_options(args))?),
        Some(("requests", args)) => {
            requests::run(&cli::requests_options(args));
            Ok(())
        }
        Some(("capacity", args)) => {
            cli::slopes(args).into_iter().for_each(capacity::run);
            Ok(())
        }
        Some(("overload", args)) => {
            let (multiples, options) = cli::overload_options(args);
            overload::run(&multiples, options);
            Ok(())
        }
        Some(("unsized-answers", args)) => {
            unsized_answers::run(cli::unsized_answers_options(args));
            Ok(())
        }
        _ => Ok(()),
    }
}

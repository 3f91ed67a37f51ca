// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! `sablepassctl`, the operators' tool: checks declarations before they are published, and shows
//! which revisions are desired, accepted and in force. All its operations are read-only.

mod check;
mod cli;
mod remote;
mod show;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use snafu::Snafu;

/// Interval between two queries of `watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(transparent)]
    Check { source: check::Error },
    #[snafu(transparent)]
    Remote { source: remote::Error },
    #[snafu(display("number of refused documents: {refused}"))]
    Refused { refused: usize },
}

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    sablepass_edge::cli::exit("sablepassctl", run(&matches))
}

fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("check", args)) => run_check(args),
        Some(("status", args)) => {
            let status = remote::statuses(&processes(args));
            print!("{}", show::status(&status, args.get_flag("json")));
            Ok(())
        }
        Some(("watch", args)) => {
            watch(&processes(args), args.get_flag("json"));
            Ok(())
        }
        Some(("explain", args)) => explain(args),
        _ => Ok(()),
    }
}

fn run_check(args: &ArgMatches) -> Result<(), Error> {
    let files: Vec<PathBuf> =
        args.get_many::<PathBuf>("file").into_iter().flatten().cloned().collect();
    let partner = args.get_one::<String>("partner").map(String::as_str);
    let verdicts = check::files(&files, partner)?;
    for (key, verdict) in &verdicts {
        match verdict {
            Ok(summary) => println!("accepted  {key}  {summary}"),
            Err(e) => println!("refused   {e}"),
        }
    }
    let refused = verdicts.iter().filter(|it| it.1.is_err()).count();
    if refused > 0 { Err(Error::Refused { refused }) } else { Ok(()) }
}

fn processes(args: &ArgMatches) -> Vec<String> {
    args.get_many::<String>("process").into_iter().flatten().cloned().collect()
}

/// Prints the status at the start and after each change, until the process is terminated.
fn watch(processes: &[String], json: bool) {
    let mut printed = String::new();
    loop {
        let text = show::status(&remote::statuses(processes), json);
        if text != printed {
            println!("{text}");
            printed = text;
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn explain(args: &ArgMatches) -> Result<(), Error> {
    let (path, name, processes) = match args.subcommand() {
        Some(("request", args)) => {
            ("/explain/request", args.get_one::<String>("id"), processes(args))
        }
        Some(("group", args)) => {
            ("/explain/group", args.get_one::<String>("name"), processes(args))
        }
        _ => return Ok(()),
    };
    let name = name.cloned().unwrap_or_default();
    let answer = remote::first_answer(&processes, &format!("{path}?{name}"))?;
    println!("{answer:#}");
    Ok(())
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Command line that all daemons share.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Builds the command line of a daemon with a settings file.
pub fn daemon(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML)"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

/// Path of the settings file.
pub fn config(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("config").cloned().unwrap_or_default()
}

/// Whether `--check` was given.
pub fn check_only(matches: &ArgMatches) -> bool {
    matches.get_flag("check")
}

/// Maps a result to an exit code: 0, or 1 after printing the error to standard error.
pub fn exit<E: std::error::Error>(name: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::FAILURE
        }
    }
}

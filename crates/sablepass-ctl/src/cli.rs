// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Command line of `sablepassctl`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

fn process() -> Arg {
    Arg::new("process")
        .long("process")
        .short('p')
        .value_name("ADDR")
        .required(true)
        .action(ArgAction::Append)
        .help("Admin address of a process; can be repeated")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON instead of a table")
}

/// Builds the command with all its subcommands.
pub fn command() -> Command {
    Command::new("sablepassctl")
        .about("Checks declarations and shows the configuration in force")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check declarations as entries and agents do; exit with 1 if one is refused")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .required(true)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Documents; the parent directory's name is the partner"),
                )
                .arg(
                    Arg::new("partner")
                        .long("partner")
                        .value_name("NAME")
                        .help("Partner of all files, regardless of their directories"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Show the desired revision of each document, the one in force, and refusals")
                .arg(process())
                .arg(json()),
        )
        .subcommand(
            Command::new("watch")
                .about("Show the status again each time it changes")
                .arg(process())
                .arg(json()),
        )
        .subcommand(
            Command::new("explain")
                .about("Show the trace of a request or the state of a group")
                .subcommand_required(true)
                .subcommand(
                    Command::new("request")
                        .arg(Arg::new("id").value_name("REQUEST-ID").required(true))
                        .arg(process()),
                )
                .subcommand(
                    Command::new("group")
                        .arg(Arg::new("name").value_name("NAME").required(true))
                        .arg(process()),
                ),
        )
}

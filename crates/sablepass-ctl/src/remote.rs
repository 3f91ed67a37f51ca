// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Queries processes over their admin interface.

use std::time::Duration;

use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};

/// Timeout of one query, including its response.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Errors of queries.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A query failed.
    #[snafu(display("{process}: query failed: {source}"))]
    Call {
        /// Admin address of the process.
        process: String,
        /// Cause.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// A response is not JSON.
    #[snafu(display("{process}: response is not JSON: {source}"))]
    Answer {
        /// Admin address of the process.
        process: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// No process returned an answer.
    #[snafu(display(
        "no queried process returned an answer; query the entry that received the request, or an agent of the group"
    ))]
    Unknown,
}

/// Admin address of a process and its status, or the error of the query.
pub type Status = (String, Result<Value, Error>);

fn get(process: &str, path: &str) -> Result<Value, Error> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(QUERY_TIMEOUT)).build().into();
    let call = agent.get(format!("http://{process}{path}")).call();
    let mut response = call.context(CallSnafu { process })?;
    let text = response.body_mut().read_to_string().context(CallSnafu { process })?;
    serde_json::from_str(&text).context(AnswerSnafu { process })
}

/// Queries the status of each process, in order.
pub fn statuses(processes: &[String]) -> Vec<Status> {
    processes.iter().map(|it| (it.clone(), get(it, "/status"))).collect()
}

/// Queries the processes in order and returns the first successful answer.
pub fn first_answer(processes: &[String], path: &str) -> Result<Value, Error> {
    processes.iter().find_map(|it| get(it, path).ok()).context(UnknownSnafu)
}

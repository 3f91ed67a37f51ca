// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Settings of an entry.

use std::net::SocketAddr;

use sablepass_core::balance::Policy;
use sablepass_core::sharers::Sharers;
use sablepass_core::{admit, budget, flight};
use sablepass_edge::settings::{self, Checker, Error};
use serde::Deserialize;

use crate::dialect::Dialect;

/// The file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The process as one of many.
    pub node: settings::Node,
    /// Where callers connect to.
    pub http: SocketAddr,
    /// How a target is chosen. Default "affinity".
    #[serde(default = "default_policy")]
    pub policy: String,
    /// Targets of a model to keep connections to. Default 8.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Milliseconds without a heartbeat after which a target is not chosen. Default 3,000.
    #[serde(default = "default_silence")]
    pub silence: u64,
    /// Milliseconds before a planned stop from which its target is not chosen. Default 2,000.
    #[serde(default = "default_lead")]
    pub stop_lead: u64,
    /// Exchanges held at once. Default 2,000.
    #[serde(default = "default_exchanges")]
    pub exchanges: usize,
    /// Longest request body in bytes. Default 4 MiB less room for the frame.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Deadline in milliseconds of a request that names none. Default 120,000.
    #[serde(default = "default_deadline")]
    pub deadline: u64,
    /// Attempts of a request in all. Default 4.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Milliseconds without a sign of life of its target after which a safe
    /// request is sent elsewhere. Default 10,000.
    #[serde(default = "default_stall")]
    pub stall: u64,
    /// Milliseconds for which a group of ranks stands before it gives up one that
    /// it lost. Default 1,500.
    #[serde(default = "default_stands")]
    pub stands: u64,
    /// Milliseconds that a probe of lost contact may take. Default 5,000.
    #[serde(default = "default_probe")]
    pub probe: u64,
    /// Retries as a part of first attempts. Default 0.1.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries that all entries together may make at once beyond that, for
    /// each service. Absent, every entry may make 20.
    #[serde(default)]
    pub retry_slack: Option<f64>,
    /// Characters of a prompt that count as its prefix. Default 256.
    #[serde(default = "default_prefix")]
    pub prefix: usize,
    /// What callers speak. Default open-ai.
    #[serde(default)]
    pub dialect: Dialect,
    /// Where a balancer asks whether this entry takes callers; on the admin
    /// address as well.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Port of the agents beside targets that the instance list names, which
    /// tell their load.
    #[serde(default)]
    pub agent_port: Option<u16>,
    /// Milliseconds after a stop signal in which callers are still taken,
    /// until a balancer has seen that this entry is not ready. Default 0.
    #[serde(default)]
    pub stop_wait: u64,
    /// Requests whose stories are remembered. Default 10,000.
    #[serde(default = "default_stories")]
    pub stories: usize,
}

fn default_stories() -> usize {
    10_000
}

/// Retries at once that an entry may make where nothing else is set.
const RETRY_BURST: f64 = 20.0;
/// Part of the common retries that entries use, so that one that starts anew,
/// with a new share, does not bring all of them over the limit.
const RETRY_PART: f64 = 0.6;
/// Entries among which the common retries are shared at least: there may be
/// some that this one has not met.
const RETRY_SHARERS: usize = 4;
/// The same while this one has just started and heard of none: more than there
/// are on any deployment known. Agents tell within some 300 ms.
const RETRY_UNKNOWN: usize = 64;

fn default_policy() -> String {
    "affinity".to_owned()
}

fn default_subset() -> usize {
    8
}

fn default_silence() -> u64 {
    3_000
}

fn default_lead() -> u64 {
    2_000
}

fn default_exchanges() -> usize {
    admit::Options::default().limit
}

fn default_body() -> usize {
    (4 << 20) - 65_536
}

fn default_deadline() -> u64 {
    120_000
}

fn default_attempts() -> u32 {
    4
}

fn default_stall() -> u64 {
    flight::Options::default().stall_timeout
}

fn default_stands() -> u64 {
    1_500
}

fn default_probe() -> u64 {
    flight::Options::default().probe_timeout
}

fn default_retry_ratio() -> f64 {
    budget::Options::default().ratio
}

fn default_prefix() -> usize {
    256
}

impl settings::Settings for Settings {
    fn check(&self, checker: &Checker<'_>) -> Result<(), Error> {
        self.node.check(checker)?;
        let known = Policy::parse(&self.policy).is_some();
        let names = "round-robin, least-load, two-choices, even or affinity";
        checker.ensure("policy", &self.policy, known, names)?;
        checker.ensure("subset", self.subset, (1..=1_024).contains(&self.subset), "1 to 1024")?;
        let exchanges = self.exchanges;
        checker.ensure("exchanges", exchanges, (1..=20_000).contains(&exchanges), "1 to 20000")?;
        let most = default_body();
        checker.ensure(
            "body",
            self.body,
            (1_024..=most).contains(&self.body),
            "1024 to 4128768",
        )?;
        checker.ensure("attempts", self.attempts, (1..=10).contains(&self.attempts), "1 to 10")?;
        let ratio = self.retry_ratio;
        checker.ensure("retry_ratio", ratio, (0.0..=1.0).contains(&ratio), "0 to 1")?;
        let slack = self.retry_slack.unwrap_or(0.0);
        checker.ensure("retry_slack", slack, (0.0..=1e6).contains(&slack), "0 to 1000000")?;
        let wait = self.stop_wait;
        checker.ensure("stop_wait", wait, wait <= 3_600_000, "0 to 3600000")?;
        let stories = self.stories;
        checker.ensure("stories", stories, (1..=1_000_000).contains(&stories), "1 to 1000000")?;
        let spans = [
            ("silence", self.silence),
            ("stop_lead", self.stop_lead),
            ("deadline", self.deadline),
            ("stall", self.stall),
            ("stands", self.stands),
            ("probe", self.probe),
        ];
        for (key, value) in spans {
            checker.ensure(key, value, (50..=3_600_000).contains(&value), "50 to 3600000")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Options of the request state machine.
    pub fn flight(&self) -> flight::Options {
        flight::Options {
            stall_timeout: self.stall,
            probe_timeout: self.probe,
            ..flight::Options::default()
        }
    }

    /// Options of admission.
    pub fn admit(&self) -> admit::Options {
        admit::Options { limit: self.exchanges, ..admit::Options::default() }
    }

    /// Options of the retry budget of a service, shared with these entries.
    pub fn budget(&self, entries: &Sharers) -> budget::Options {
        let least = if entries.is_known() { RETRY_SHARERS } else { RETRY_UNKNOWN };
        let share = |it: f64| it * RETRY_PART / entries.count().max(least) as f64;
        let burst = self.retry_slack.map_or(RETRY_BURST, share);
        budget::Options { ratio: self.retry_ratio, burst }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Settings of an entry, read from its file at start-up and again on SIGHUP.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sablepass_core::balance::Policy;
use sablepass_core::capacity::{self, Capacity};
use sablepass_core::cold::Bound;
use sablepass_core::id::Millis;
use sablepass_core::sharers::Sharers;
use sablepass_core::{admit, budget, flight};
use sablepass_edge::server;
use sablepass_edge::settings::{self, Checker, Error};
use serde::Deserialize;

use crate::dialect::Dialect;

/// Content of the settings file. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings common to all instances.
    pub node: settings::Node,
    /// Address at which callers connect.
    pub http: SocketAddr,
    /// Load-balancing policy by which a target is chosen. Default "affinity".
    #[serde(default = "default_policy")]
    pub policy: String,
    /// Number of targets of each model to which connections are kept. Default 8.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Time without a heartbeat after which a target is not chosen. Default 3,000.
    #[serde(default = "default_silence")]
    pub silence: u64,
    /// Time before a planned stop of a target from which it is not chosen. Default 2,000.
    #[serde(default = "default_stop_lead")]
    pub stop_lead: u64,
    /// Maximum number of requests in progress. Default 2,000.
    #[serde(default = "default_exchanges")]
    pub exchanges: usize,
    /// Maximum size of a request body in bytes. Default 4 MiB less 64 KiB for the other fields of
    /// the message that carries it.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Maximum size in bytes of the bodies and large heads of all requests together. Default 256
    /// MiB.
    #[serde(default = "default_room")]
    pub bodies: usize,
    /// Maximum size in bytes of all unfinished heads, and of all answers that are not passed on or
    /// that callers have not read. Default 256 MiB.
    #[serde(default = "default_room")]
    pub buffers: usize,
    /// Deadline of a request that specifies none. Default 120,000.
    #[serde(default = "default_deadline")]
    pub deadline: u64,
    /// Maximum number of attempts for a request, the first included. Default 4.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Time without any message from a target's agent after which a safe request is retried at
    /// another target. Default 10,000.
    #[serde(default = "default_stall")]
    pub stall: u64,
    /// Time for which a group of ranks stalls before it gives up a lost rank. Default 1,500.
    #[serde(default = "default_stands")]
    pub stands: u64,
    /// Time within which the last request reaches a target after its line marks it as leaving or is
    /// removed. Default 2,000.
    #[serde(default = "default_drain")]
    pub drain: u64,
    /// Timeout of a probe that asks an agent, after contact was lost, for the state of an attempt.
    /// Default 5,000.
    #[serde(default = "default_probe")]
    pub probe: u64,
    /// Retries that each first attempt adds to the retry budget. Default 0.1.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Burst of retries that all entries together may make for each service. If absent, each entry
    /// may make 20.
    #[serde(default)]
    pub retry_slack: Option<f64>,
    /// Length in characters of the prompt's prefix that routing by affinity uses. Default 256.
    #[serde(default = "default_prefix")]
    pub prefix: usize,
    /// Protocol of the callers. Default open-ai.
    #[serde(default)]
    pub dialect: Dialect,
    /// Address at which load balancers query readiness, in addition to the admin address.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Port of the agents on the machines of targets from the instance list. These agents report
    /// the targets' load.
    #[serde(default)]
    pub agent_port: Option<u16>,
    /// Time after a stop signal in which requests are still admitted, so that load balancers can
    /// notice that this entry is not ready. Default 0.
    #[serde(default)]
    pub stop_wait: u64,
    /// Time in seconds from a stop signal until the process is killed. If absent, the process may take
    /// as long as its requests.
    #[serde(default)]
    pub stop_grace_s: Option<f64>,
    /// Number of requests whose traces are kept. Default 10,000.
    #[serde(default = "default_stories")]
    pub stories: usize,
    /// Region of each data hall. A request that is restricted to regions is not sent to a hall
    /// that is not listed here. Default none.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Bound on the requests that all entries together send a cold target in a second. If absent,
    /// cold targets are not limited.
    #[serde(default)]
    pub cold: Option<Cold>,
    /// Limits of the machine, from which the number of connections and requests, the size of bodies
    /// and the rate of log lines are derived. If absent, only the other settings limit them.
    #[serde(default)]
    pub limits: Option<capacity::Limits>,
}

/// Bound on the requests to a cold target in a second, relative to its rate.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Additional requests. Default 0.
    #[serde(default)]
    pub slack: f64,
}

/// Allowed values of `bodies` and `buffers`: 64 KiB to 1 TiB.
const ROOM_RANGE: std::ops::RangeInclusive<usize> = 1 << 16..=1 << 40;
/// Maximum of `stop_grace_s`: a day.
const MAX_STOP_GRACE_S: f64 = 86_400.0;
/// Maximum number of data halls in the table of regions; known deployments have three.
const MAX_HALLS: usize = 1_024;
/// Maximum length of the name of a data hall or region in bytes.
const MAX_HALL_BYTES: usize = 256;

fn default_stories() -> usize {
    10_000
}

/// Burst of retries that an entry may make if `retry_slack` is absent.
const DEFAULT_RETRY_BURST: f64 = 20.0;
/// Fraction of the common burst that the entries divide among themselves. The rest is a reserve for
/// entries that restart with a full share, so that all together stay below the limit.
const RETRY_BURST_FRACTION: f64 = 0.6;
/// Minimum number of entries among which the common burst is divided, as some may not be known to
/// this one.
const MIN_RETRY_SHARERS: usize = 4;
/// Minimum number of entries assumed after the start, until their number is reported: more than
/// known deployments have. Agents report it within about 300 ms.
const INITIAL_RETRY_SHARERS: usize = 64;

fn default_policy() -> String {
    "affinity".to_owned()
}

fn default_subset() -> usize {
    8
}

fn default_silence() -> u64 {
    3_000
}

fn default_stop_lead() -> u64 {
    2_000
}

fn default_exchanges() -> usize {
    admit::Options::default().limit
}

fn default_body() -> usize {
    (4 << 20) - 65_536
}

fn default_room() -> usize {
    256 << 20
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

fn default_drain() -> u64 {
    2_000
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
        let allowed = "round-robin, least-load, two-choices, even or affinity";
        checker.ensure("policy", &self.policy, known, allowed)?;
        checker.ensure("subset", self.subset, (1..=1_024).contains(&self.subset), "1 to 1024")?;
        let exchanges = self.exchanges;
        checker.ensure("exchanges", exchanges, (1..=20_000).contains(&exchanges), "1 to 20000")?;
        let max_body = default_body();
        checker.ensure(
            "body",
            self.body,
            (1_024..=max_body).contains(&self.body),
            "1024 to 4128768",
        )?;
        for (key, value) in [("bodies", self.bodies), ("buffers", self.buffers)] {
            checker.ensure(key, value, ROOM_RANGE.contains(&value), "65536 to 1099511627776")?;
        }
        checker.ensure("attempts", self.attempts, (1..=10).contains(&self.attempts), "1 to 10")?;
        let ratio = self.retry_ratio;
        checker.ensure("retry_ratio", ratio, (0.0..=1.0).contains(&ratio), "0 to 1")?;
        let slack = self.retry_slack.unwrap_or(0.0);
        checker.ensure("retry_slack", slack, (0.0..=1e6).contains(&slack), "0 to 1000000")?;
        let wait = self.stop_wait;
        checker.ensure("stop_wait", wait, wait <= 3_600_000, "0 to 3600000")?;
        let grace = self.stop_grace_s.unwrap_or_default();
        let fits = (0.0..=MAX_STOP_GRACE_S).contains(&grace);
        checker.ensure("stop_grace_s", grace, fits, "0 to 86400")?;
        let stories = self.stories;
        checker.ensure("stories", stories, (1..=1_000_000).contains(&stories), "1 to 1000000")?;
        let halls = self.regions.len();
        checker.ensure("regions", halls, halls <= MAX_HALLS, "at most 1024 halls")?;
        for (hall, region) in &self.regions {
            let fits = (1..=MAX_HALL_BYTES).contains(&hall.len());
            checker.ensure("regions", hall, fits, "halls with names of 1 to 256 bytes")?;
            let fits = (1..=MAX_HALL_BYTES).contains(&region.len());
            checker.ensure("regions", region, fits, "regions with names of 1 to 256 bytes")?;
        }
        if let Some(Cold { overshoot, slack }) = self.cold {
            let fits = (1.0..=100.0).contains(&overshoot);
            checker.ensure("cold.overshoot", overshoot, fits, "1 to 100")?;
            let fits = (0.0..=100_000.0).contains(&slack);
            checker.ensure("cold.slack", slack, fits, "0 to 100000")?;
        }
        let spans = [
            ("silence", self.silence),
            ("stop_lead", self.stop_lead),
            ("deadline", self.deadline),
            ("stall", self.stall),
            ("stands", self.stands),
            ("drain", self.drain),
            ("probe", self.probe),
        ];
        for (key, value) in spans {
            checker.ensure(key, value, (50..=3_600_000).contains(&value), "50 to 3600000")?;
        }
        match self.limits.map(|it| it.check()) {
            Some(Err(it)) => checker.ensure(it.key, it.value, false, it.allowed),
            Some(Ok(())) | None => Ok(()),
        }
    }
}

impl Settings {
    /// Returns the options of the request state machine.
    pub fn flight_options(&self) -> flight::Options {
        flight::Options {
            stall_timeout: self.stall,
            probe_timeout: self.probe,
            ..flight::Options::default()
        }
    }

    /// Returns the time from a stop signal until the process is killed, if it is known.
    pub fn stop_grace(&self) -> Option<Millis> {
        self.stop_grace_s.map(|it| (it * 1_000.0) as Millis)
    }

    /// Returns the time after a stop signal in which requests are admitted: at most half of the time
    /// that is left, so that those requests can be completed.
    pub fn admission_time(&self) -> Millis {
        let half = self.stop_grace().map_or(Millis::MAX, |it| it / 2);
        self.stop_wait.min(half)
    }

    /// Returns the bound on the requests to a cold target, if they are limited.
    pub fn cold_bound(&self) -> Option<Bound> {
        self.cold.map(|it| Bound { overshoot: it.overshoot, slack: it.slack })
    }

    /// Returns the options of admission control.
    pub fn admission_options(&self) -> admit::Options {
        let requests = self.capacity().map_or(usize::MAX, |it| it.requests);
        admit::Options { limit: self.exchanges.min(requests), ..admit::Options::default() }
    }

    /// Returns the capacity of the machine, if its limits are known. They were validated when the
    /// settings were read.
    pub fn capacity(&self) -> Option<Capacity> {
        self.limits.and_then(|it| it.capacity().ok())
    }

    /// Reduces the limits of callers' connections to those of the settings and to the capacity of the
    /// machine.
    pub fn bounded(&self, limits: server::Limits) -> server::Limits {
        let limits = server::Limits { bodies: self.bodies, buffers: self.buffers, ..limits };
        let Some(capacity) = self.capacity() else { return limits };
        server::Limits {
            connections: limits.connections.min(capacity.callers),
            bodies: limits.bodies.min(capacity.bodies),
            buffers: limits.buffers.min(capacity.buffers),
            ..limits
        }
    }

    /// Returns the options of a service's retry budget, which is divided among `entries`.
    pub fn budget_options(&self, entries: &Sharers) -> budget::Options {
        let sharers = if entries.is_known() { MIN_RETRY_SHARERS } else { INITIAL_RETRY_SHARERS };
        let share = |burst: f64| burst * RETRY_BURST_FRACTION / entries.count().max(sharers) as f64;
        let burst = self.retry_slack.map_or(DEFAULT_RETRY_BURST, share);
        budget::Options { ratio: self.retry_ratio, burst }
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Settings of an agent, read from its settings file at startup.

use sablepass_core::{gate, once};
use sablepass_edge::settings::{self, Checker, Error};
use serde::Deserialize;

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings common to all processes. The node's name is the target's qualified name.
    pub node: settings::Node,
    /// Base URL of the target.
    pub target: String,
    /// Whether entries send this target's requests through the agent's gate. If not, they send
    /// them directly to the target over HTTP, and the agent reads the target's load and reports
    /// it to them. Default true.
    #[serde(default = "default_gate")]
    pub gate: bool,
    /// Whether the target is a model engine, which accepts priorities and cancellations and
    /// reports its load. Default true.
    #[serde(default = "default_engine")]
    pub engine: bool,
    /// Maximum number of requests that run or wait on the target. Default 256.
    #[serde(default = "default_limit")]
    pub limit: usize,
    /// Maximum size in bytes of the bodies of the requests that run or wait on the target together.
    /// A body that is the only one is taken regardless of its size. Default 16 MiB.
    #[serde(default = "default_bodies")]
    pub bodies: usize,
    /// Heartbeat interval, in milliseconds. Default 1,000.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: u64,
    /// Retention of attempts and finished idempotency keys, in milliseconds. Default 600,000.
    #[serde(default = "default_keep")]
    pub keep: u64,
    /// Maximum delay with which an agent learns of a change of key owners, in milliseconds.
    /// Default 10,000.
    #[serde(default = "default_handover")]
    pub handover: u64,
    /// Timeout of each read of an answer, in milliseconds. Default 60,000.
    #[serde(default = "default_read")]
    pub read: u64,
    /// Without a gate: whether the agent takes part in switches of its group's expert map.
    /// Requires engines that check fences. Default true.
    #[serde(default = "default_gate")]
    pub keeps_maps: bool,
    /// Bandwidth of the machine's network link, in Mbit/s. A planner uses half of it for expert
    /// counts. Default 1,000.
    #[serde(default = "default_link")]
    pub link: f64,
}

/// Allowed values of `bodies`: 64 KiB to 1 TiB.
const BODIES_RANGE: std::ops::RangeInclusive<usize> = 1 << 16..=1 << 40;

fn default_link() -> f64 {
    1_000.0
}

fn default_gate() -> bool {
    true
}

fn default_engine() -> bool {
    true
}

fn default_limit() -> usize {
    gate::Options::default().max_requests
}

fn default_bodies() -> usize {
    16 << 20
}

fn default_heartbeat() -> u64 {
    1_000
}

fn default_keep() -> u64 {
    once::Options::default().retention
}

fn default_handover() -> u64 {
    gate::Options::default().handover_margin
}

fn default_read() -> u64 {
    60_000
}

impl settings::Settings for Settings {
    fn check(&self, checker: &Checker<'_>) -> Result<(), Error> {
        self.node.check(checker)?;
        if self.gate {
            let qualified = self.node.name.contains('/');
            checker.ensure("node.name", &self.node.name, qualified, "partner/target")?;
            let http = self.target.starts_with("http://");
            checker.ensure("target", &self.target, http, "a URL with http://")?;
        } else {
            let fits = settings::parse_url(&self.target).is_some();
            checker.ensure("target", &self.target, fits, "http:// with an IP address and port")?;
        }
        checker.ensure("limit", self.limit, (1..=10_000).contains(&self.limit), "1 to 10000")?;
        let bodies = self.bodies;
        checker.ensure(
            "bodies",
            bodies,
            BODIES_RANGE.contains(&bodies),
            "65536 to 1099511627776",
        )?;
        checker.ensure("link", self.link, (0.1..=1e6).contains(&self.link), "0.1 to 1000000")?;
        let spans = [("heartbeat", self.heartbeat), ("keep", self.keep), ("read", self.read)];
        for (key, value) in spans {
            checker.ensure(key, value, (20..=86_400_000).contains(&value), "20 to 86400000")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Returns the options of the gate.
    pub fn gate(&self) -> gate::Options {
        let once = once::Options { retention: self.keep, ..once::Options::default() };
        let (max_requests, handover_margin) = (self.limit, self.handover);
        gate::Options { max_requests, handover_margin, once, ..gate::Options::default() }
    }
}

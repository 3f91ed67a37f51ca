// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Metrics of a process.

use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use sablepass_core::reason::{Ignored, Refusal, Retry};
use snafu::{ResultExt, Snafu};

/// Why telemetry could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {source}"))]
pub struct Error {
    source: prometheus::Error,
}

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    ignored: IntCounterVec,
    control_bytes: IntCounterVec,
    control_messages: IntCounterVec,
    /// Requests admitted (entry) or started (agent).
    pub requests: IntCounter,
    /// Requests that got a whole answer.
    pub answered: IntCounter,
    /// Requests held now.
    pub in_flight: IntGauge,
    /// Configuration revision held.
    pub revision: IntGauge,
    /// Era of the platform's service: it rises each time that this was restored from a copy.
    pub era: IntGauge,
    /// Reads of the platform's service, watches included, by outcome.
    pub reads: IntCounterVec,
    /// Seconds from a request's arrival to the first byte of its answer.
    pub first_byte: Histogram,
    /// Seconds between two parts of an answer.
    pub between: Histogram,
    /// Seconds that a request waited before it was sent to a target.
    pub wait: Histogram,
    /// 1 when an agent has drained.
    pub drained: IntGauge,
    /// Connections to other processes, by direction.
    pub links: IntGaugeVec,
    /// Entries of the at-most-once table, by kind.
    pub once: IntGaugeVec,
    /// Version of the expert map in force.
    pub map_version: IntGauge,
    /// Mean skew of a group over its layers.
    pub skew: Gauge,
    /// Decisions on expert maps, by outcome.
    pub plans: IntCounterVec,
    /// Experts that ranks are to copy for proposed maps, by what the maps answer.
    pub expert_copies: IntCounterVec,
    /// Items of the platform that could not be taken, by reason.
    pub bad_items: IntCounterVec,
    /// Times that this process woke: its machine was suspended, or it was stopped.
    pub sleeps: IntCounter,
    /// Targets by how this entry knows them: listed, with a connection to the agent beside
    /// them, usable now.
    pub targets: IntGaugeVec,
    /// Targets that ended under a request, seen here or told by others.
    pub deaths: IntCounterVec,
    /// Requests sent to targets that rested: none, unless this program has a fault.
    pub sent_to_resting: IntCounter,
    /// Requests sent to targets that were known to leave: a fault of this process.
    pub sent_to_leaving: IntCounter,
    /// Targets that said with an answer that they leave, seen here or told by others.
    pub left: IntCounterVec,
    /// Requests that targets did not take, by what they asked for.
    pub turned_away: IntCounterVec,
    /// Fields of targets' answers that nobody reads, by name.
    pub fields_unread: IntCounterVec,
    /// Requests sent over this entry's part of a limit: none, unless this program has a fault.
    pub sent_over_limit: IntCounter,
    /// Requests a second that targets with limits take from all entries, and this one's part.
    pub limits: GaugeVec,
    /// Requests that had to wait for their turn at a target with a limit, by outcome.
    pub turns: IntCounterVec,
    /// Answers that named a limit, by whether that could be read.
    pub limits_named: IntCounterVec,
    /// Requests under which targets ended, forgotten for want of room.
    pub suspects_evicted: IntCounter,
}

/// Buckets in seconds: 1 ms to about 16 s.
fn buckets() -> Vec<f64> {
    prometheus::exponential_buckets(0.001, 2.0, 15).unwrap_or_default()
}

impl Metrics {
    /// Opens the metrics, with a counter at 0 for every reason.
    pub fn open() -> Result<Self, Error> {
        let registry = Registry::new();
        let r = &registry;
        let metrics = Self {
            refusals: counters(r, "refusals_total", "Requests refused or failed", &["reason"])?,
            retries: counters(r, "retries_total", "Attempts that followed another", &["reason"])?,
            ignored: counters(r, "ignored_total", "Arrivals ignored", &["reason"])?,
            control_bytes: counters(
                r,
                "link_bytes_total",
                "Bytes between processes",
                &["kind", "direction"],
            )?,
            control_messages: counters(
                r,
                "link_messages_total",
                "Messages between processes",
                &["kind", "direction"],
            )?,
            requests: counter(r, "requests_total", "Requests admitted or started")?,
            answered: counter(r, "answered_total", "Requests with a whole answer")?,
            in_flight: gauge(r, "in_flight", "Requests held")?,
            revision: gauge(r, "config_revision", "Configuration revision held")?,
            era: gauge(r, "platform_era", "Era of the platform's service")?,
            reads: counters(
                r,
                "platform_reads_total",
                "Reads of the platform's service",
                &["what", "outcome"],
            )?,
            first_byte: histogram(r, "first_byte_seconds", "Arrival to first byte")?,
            between: histogram(r, "between_parts_seconds", "Between two parts of an answer")?,
            wait: histogram(r, "wait_seconds", "Wait before the request was sent")?,
            drained: gauge(r, "drained", "1 when the agent has drained")?,
            links: gauges(r, "links", "Connections to other processes", &["direction"])?,
            once: gauges(r, "once_entries", "Entries of the at-most-once table", &["kind"])?,
            map_version: gauge(r, "map_version", "Version of the expert map in force")?,
            skew: float_gauge(r, "skew", "Mean skew of the group over its layers")?,
            plans: counters(r, "plans_total", "Decisions on expert maps", &["outcome"])?,
            expert_copies: counters(
                r,
                "expert_copies_total",
                "Experts copied for proposed maps",
                &["cause"],
            )?,
            bad_items: counters(r, "bad_items_total", "Items not taken", &["reason"])?,
            sleeps: counter(r, "sleeps_total", "Times that the process woke")?,
            targets: gauges(r, "targets", "Targets by how they are known", &["state"])?,
            deaths: counters(r, "deaths_total", "Targets that ended under a request", &["source"])?,
            sent_to_resting: counter(
                r,
                "sent_to_resting_total",
                "Requests sent to targets that rested: a fault",
            )?,
            sent_to_leaving: counter(
                r,
                "sent_to_leaving_total",
                "Requests sent to targets that were known to leave: a fault",
            )?,
            left: counters(
                r,
                "targets_left_total",
                "Targets that said that they leave",
                &["source"],
            )?,
            turned_away: counters(
                r,
                "turned_away_total",
                "Requests that targets did not take",
                &["asked"],
            )?,
            fields_unread: counters(
                r,
                "fields_unread_total",
                "Fields of answers that nobody reads",
                &["field"],
            )?,
            sent_over_limit: counter(
                r,
                "sent_over_limit_total",
                "Requests sent over the part of a limit: a fault",
            )?,
            limits: float_gauges(r, "limits", "Requests a second under limits", &["whose"])?,
            turns: counters(r, "turns_total", "Turns at targets with limits", &["outcome"])?,
            limits_named: counters(
                r,
                "limits_named_total",
                "Answers that named a limit",
                &["limit"],
            )?,
            suspects_evicted: counter(
                r,
                "suspects_evicted_total",
                "Requests that ended targets forgotten",
            )?,
            registry,
        };
        metrics.start();
        Ok(metrics)
    }

    /// Makes every label appear before its first count.
    fn start(&self) {
        for it in Refusal::ALL {
            self.refusals.with_label_values(&[it.label()]);
        }
        for it in Retry::ALL {
            self.retries.with_label_values(&[it.label()]);
        }
        for it in Ignored::ALL {
            self.ignored.with_label_values(&[it.label()]);
        }
    }

    /// Counts a refusal or failure.
    pub fn refused(&self, it: Refusal) {
        self.refusals.with_label_values(&[it.label()]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, it: Retry) {
        self.retries.with_label_values(&[it.label()]).inc();
    }

    /// Counts something ignored.
    pub fn ignored(&self, it: Ignored) {
        self.ignored.with_label_values(&[it.label()]).inc();
    }

    /// Counts a message between processes.
    pub fn message(&self, kind: &str, direction: &str, bytes: usize) {
        self.control_messages.with_label_values(&[kind, direction]).inc();
        self.control_bytes.with_label_values(&[kind, direction]).inc_by(bytes as u64);
    }

    /// The text that `/metrics` serves.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for metrics without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("sablepass_{name}"), help)
}

fn add<T: prometheus::core::Collector + Clone + 'static>(r: &Registry, it: T) -> Result<T, Error> {
    r.register(Box::new(it.clone())).context(Snafu)?;
    Ok(it)
}

fn counter(r: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    add(r, IntCounter::with_opts(opts(name, help)).context(Snafu)?)
}

fn counters(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
    add(r, IntCounterVec::new(opts(name, help), labels).context(Snafu)?)
}

fn gauge(r: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    add(r, IntGauge::with_opts(opts(name, help)).context(Snafu)?)
}

fn float_gauge(r: &Registry, name: &str, help: &str) -> Result<Gauge, Error> {
    add(r, Gauge::with_opts(opts(name, help)).context(Snafu)?)
}

fn gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, Error> {
    add(r, IntGaugeVec::new(opts(name, help), labels).context(Snafu)?)
}

fn float_gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec, Error> {
    add(r, GaugeVec::new(opts(name, help), labels).context(Snafu)?)
}

fn histogram(r: &Registry, name: &str, help: &str) -> Result<Histogram, Error> {
    let opts = HistogramOpts::new(format!("sablepass_{name}"), help).buckets(buckets());
    add(r, Histogram::with_opts(opts).context(Snafu)?)
}

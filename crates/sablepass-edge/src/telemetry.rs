// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Prometheus metrics of a process. Names and labels are part of the interface to operators.

use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use sablepass_core::reason::{Ignored, Refusal, Retry};
use snafu::{ResultExt, Snafu};

use crate::progress::Activity;

/// Error of setting up the metrics.
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
    mesh_bytes: IntCounterVec,
    /// Requests admitted (entry) or started (agent).
    pub requests: IntCounter,
    /// Requests that were answered completely.
    pub answered: IntCounter,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Revision of the declarations in this process.
    pub revision: IntGauge,
    /// Era of the platform's service. Rises with each restore from a backup.
    pub era: IntGauge,
    /// Reads of the platform's service, including watches, by outcome.
    pub reads: IntCounterVec,
    /// Seconds from a request's arrival to the first byte of its answer.
    pub first_byte: Histogram,
    /// Seconds between two consecutive parts of an answer.
    pub between: Histogram,
    /// Seconds that a request waited before it was sent to a target.
    pub wait: Histogram,
    /// 1 once an agent has drained.
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
    /// Expert copies that proposed maps require of ranks, by reason for the map.
    pub expert_copies: IntCounterVec,
    /// Items of the platform that were rejected, by reason.
    pub bad_items: IntCounterVec,
    /// Declarations whose newest version is refused, so that an earlier one or none is in force.
    pub refused_declarations: IntGauge,
    /// Outages of the instance list's service that have ended, by the evidence for them.
    pub list_outages: IntCounterVec,
    /// Suspensions of this process: its machine was suspended, or the process was stopped.
    pub sleeps: IntCounter,
    /// Targets by state: listed, connected to their agent, and usable now.
    pub targets: IntGaugeVec,
    /// Answers that stated no length and ended, by what was found out: complete, interrupted, or
    /// not confirmed in time.
    pub unsized_ends: IntCounterVec,
    /// Targets that ended during a request, by source: observed here or reported by others.
    pub deaths: IntCounterVec,
    /// Requests sent to targets that had asked for a pause. Always 0 unless this program has a
    /// fault.
    pub sent_to_resting: IntCounter,
    /// Requests sent to targets known to be leaving. Always 0 unless this program has a fault.
    pub sent_to_leaving: IntCounter,
    /// Requests sent to targets known to be evacuated. Always 0 unless this program has a fault.
    pub sent_to_evacuated: IntCounter,
    /// 1 for each evacuated data hall, 0 after its evacuation has ended.
    pub hall_evacuated: IntGaugeVec,
    /// Targets whose answer announced that they are leaving, by source: observed here or reported
    /// by others.
    pub left: IntCounterVec,
    /// Requests that targets rejected, by whether and how a pause was requested.
    pub turned_away: IntCounterVec,
    /// Header fields of answers that this program does not interpret, by name.
    pub fields_unread: IntCounterVec,
    /// Requests sent beyond this entry's share of a limit. Always 0 unless this program has a
    /// fault.
    pub sent_over_limit: IntCounter,
    /// Requests sent beyond this entry's share of the rate of a cold target. Always 0 unless this
    /// program has a fault.
    pub sent_over_cold_rate: IntCounter,
    /// Requests per second that targets with limits accept from all entries, and this entry's
    /// share.
    pub limits: GaugeVec,
    /// Requests that waited for permission under a target's limit, by outcome.
    pub turns: IntCounterVec,
    /// Connections of peers that did not introduce themselves and gave way to others.
    pub strangers_closed: IntCounter,
    /// Answers whose body was not read at once, as there was no memory for it.
    pub answers_waited: IntCounter,
    /// Connections that gave way to others while memory or connections were short, by what they
    /// did.
    gave_way: IntCounterVec,
    /// Answers that named a limit, by whether the limit could be read.
    pub limits_named: IntCounterVec,
    /// Suspect requests, during which targets had ended, that were evicted because the table was
    /// full.
    pub suspects_evicted: IntCounter,
    /// Prompt parts with which no request is sent, because targets ended under them.
    pub blocked_parts: IntGauge,
}

/// Histogram buckets: 1 ms to about 16 s.
fn buckets() -> Vec<f64> {
    prometheus::exponential_buckets(0.001, 2.0, 15).unwrap_or_default()
}

impl Metrics {
    /// Registers the metrics and creates the counters of every reason at 0.
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
            mesh_bytes: counters(
                r,
                "mesh_bytes_total",
                "Bytes between processes with frame overhead, by hall of the peer",
                &["kind", "direction", "hall"],
            )?,
            requests: counter(r, "requests_total", "Requests admitted or started")?,
            answered: counter(r, "answered_total", "Requests with a whole answer")?,
            in_flight: gauge(r, "in_flight", "Requests held")?,
            refused_declarations: gauge(r, "declarations_refused", "Declarations refused")?,
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
            list_outages: counters(
                r,
                "list_outages_total",
                "Outages of the instance list's service that ended",
                &["evidence"],
            )?,
            sleeps: counter(r, "sleeps_total", "Times that the process woke")?,
            targets: gauges(r, "targets", "Targets by how they are known", &["state"])?,
            unsized_ends: counters(
                r,
                "unsized_ends_total",
                "Answers that ended with their connection",
                &["result"],
            )?,
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
            sent_to_evacuated: counter(
                r,
                "sent_to_evacuated_total",
                "Requests sent to targets that were known to be evacuated: a fault",
            )?,
            hall_evacuated: gauges(r, "hall_evacuated", "1 for an evacuated hall", &["hall"])?,
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
            sent_over_cold_rate: counter(
                r,
                "sent_over_cold_rate_total",
                "Requests sent over the part of a cold target's rate: a fault",
            )?,
            limits: float_gauges(r, "limits", "Requests a second under limits", &["whose"])?,
            turns: counters(r, "turns_total", "Turns at targets with limits", &["outcome"])?,
            strangers_closed: counter(
                r,
                "strangers_closed_total",
                "Connections of peers without introduction that gave way to others",
            )?,
            answers_waited: counter(
                r,
                "answers_waited_total",
                "Answers that were not read until there was memory for them",
            )?,
            gave_way: counters(
                r,
                "connections_gave_way_total",
                "Connections that gave way to others while memory or connections were short",
                &["activity"],
            )?,
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
            blocked_parts: gauge(r, "blocked_parts", "Prompt parts that end targets")?,
            registry,
        };
        metrics.create_labels();
        Ok(metrics)
    }

    /// Makes every label visible before its first count.
    fn create_labels(&self) {
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

    /// Counts a connection that gave way to others.
    pub fn gave_way(&self, activity: Activity) {
        self.gave_way.with_label_values(&[activity.label()]).inc();
    }

    /// Counts a refused or failed request.
    pub fn refused(&self, reason: Refusal) {
        self.refusals.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, reason: Retry) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts an ignored event.
    pub fn ignored(&self, reason: Ignored) {
        self.ignored.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a message between processes and its size.
    pub fn message(&self, kind: &str, direction: &str, bytes: usize) {
        self.control_messages.with_label_values(&[kind, direction]).inc();
        self.control_bytes.with_label_values(&[kind, direction]).inc_by(bytes as u64);
    }

    /// Counts the bytes of a frame between processes by the peer's hall. Looking up a counter that
    /// exists allocates nothing.
    pub fn frame(&self, kind: &str, direction: &str, same_hall: bool, bytes: usize) {
        let hall = if same_hall { "own" } else { "other" };
        self.mesh_bytes.with_label_values(&[kind, direction, hall]).inc_by(bytes as u64);
    }

    /// Renders the metrics in the Prometheus text format.
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

fn add<T: prometheus::core::Collector + Clone + 'static>(
    r: &Registry,
    collector: T,
) -> Result<T, Error> {
    r.register(Box::new(collector.clone())).context(Snafu)?;
    Ok(collector)
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

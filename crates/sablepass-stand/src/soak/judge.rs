// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Checks of a soak run: compares what callers received with what targets recorded and reports
//! violated guarantees. The checks don't use any state or status of the tested programs.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::limits;
use crate::replica::{self, Arrival, Replica, max_in_pause};
use crate::soak::callers::{Kind, Sample};
use crate::soak::fleet::{
    COLD_MS, COLD_PER_S, Component, Evacuation, FATAL_BODY, FATAL_PART, FaultWindow, Fleet,
};

/// Time after a fault in which its effects may still show, in milliseconds.
pub const FAULT_GRACE_MS: u64 = 500;
/// Time within which an acknowledged change of the configuration or the instance list takes
/// effect at every entry, in milliseconds: the platform's bound of 2 s, and 500 ms for a loaded
/// machine.
const IN_EFFECT_MS: u64 = 2_500;
/// Longest time from sending a request to its answer, in milliseconds: the routes' `timeoutMs`,
/// 500 ms for a loaded machine, and 500 ms to deliver the answer.
const MAX_ANSWER_MS: u64 = 3_000 + 1_000;
/// Retry budget of all entries together: retries per request, and a fixed allowance.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 90.0;
/// Targets that one request may crash: three, and three more to which the request is already in
/// flight when entries learn of the third crash.
const MAX_FATAL_RUNS: usize = 6;
/// Requests with the fatal prompt part that may crash targets: five, and three more that are sent
/// later.
const MAX_FATAL_PART_RUNS: usize = 5 + 3;
/// Requests from one entry that may still reach a target during a back-off that it asked for,
/// as on the platform.
const MAX_SENT_IN_BACKOFF: usize = 2;
/// Time after the store's acknowledgement of an evacuation within which requests may still reach
/// the hall, in milliseconds.
const EVACUATE_MS: u64 = 5_000;
/// Time within which a healthy group completes at least one step.
const STEP_TIMEOUT: Duration = Duration::from_millis(500);

/// A guarantee of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    /// A request that isn't safe to repeat runs at most once.
    AtMostOnce,
    /// A request whose answer says that it was not run was not run and never runs.
    NotRun,
    /// A successful answer is complete and belongs to the caller's request.
    AnswerIntegrity,
    /// No request starts on a replica that has been draining or unlisted for longer than a
    /// change takes to come into effect.
    Drain,
    /// A request that a target ran is answered if no fault affected its path.
    Answered,
    /// A configuration comes into effect in time, and an entry never reverts to an earlier one.
    Configuration,
    /// The retries of all entries stay within the common budget.
    RetryBudget,
    /// Every request is answered or refused within its time limit.
    Timeout,
    /// All ranks use the same expert map in every step, and the group continues to make steps.
    OneMap,
    /// An entry that is asked to shut down exits in time.
    Shutdown,
    /// A request that crashes its targets is sent to a limited number of targets.
    FatalRequest,
    /// Requests with a prompt part that crashes targets are sent to a limited number of targets.
    FatalPart,
    /// An entry doesn't send to a target during the back-off that the target asked it for.
    Backoff,
    /// An entry sends nothing more to a target that announced in an answer to it that it is
    /// leaving.
    LeaveNotice,
    /// All entries together stay within the request limit that a target announced.
    Limit,
    /// No request reaches a replica in an evacuated data hall, except shortly after the
    /// evacuation was written.
    Evacuation,
    /// All entries together stay within the bound of a cold replica.
    ColdRate,
}

/// A violated guarantee with the observation that shows the violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// Description of the observation.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.seen)
    }
}

/// A run of a request: the replica's number and the start time, in milliseconds since the Unix
/// epoch.
#[derive(Clone, Copy, Debug)]
struct Run {
    replica: usize,
    at: u64,
}

/// Records of callers and targets, and the faults that were injected.
#[derive(Debug)]
pub struct Observations {
    /// Requests and answers of all callers.
    pub samples: Vec<Sample>,
    runs: HashMap<String, Vec<Run>>,
    fault_windows: Vec<FaultWindow>,
    /// Start time of each entry. Milliseconds since the Unix epoch.
    started_at: Vec<u64>,
    /// Replicas that were listed as draining or unlisted, each with the time of that change.
    leaving: Vec<(usize, u64)>,
    /// Declaration time of each added route, in the order of the routes' numbers.
    routes: Vec<u64>,
    /// Steps that started with different expert maps at different ranks.
    split_steps: Vec<u64>,
    /// Whether the group made no step within [`STEP_TIMEOUT`] after the last fault.
    stalled: bool,
    /// Entries that didn't exit in time after the request to shut down.
    stop_timeouts: Vec<usize>,
    /// Number of runs of the fatal request; each crashes its target.
    fatal_runs: usize,
    /// Number of runs of requests with the fatal prompt part; each crashes its target.
    fatal_part_runs: usize,
    /// Requests that reached each replica, and the ids and times of its answers that announced
    /// that it was leaving.
    arrivals: Vec<Vec<Arrival>>,
    notices: Vec<Vec<(String, u64)>>,
    /// Data hall of each replica, and the evacuations.
    halls: Vec<String>,
    evacuations: Vec<Evacuation>,
}

impl Observations {
    /// Collects the records of a fleet after all faults have ended.
    pub fn collect(fleet: &mut Fleet, samples: Vec<Sample>) -> Self {
        let before = fleet.group.progress().0;
        std::thread::sleep(STEP_TIMEOUT);
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        let mut fault_windows = fleet.fault_windows.clone();
        let (mut fatal_runs, mut fatal_part_runs) = (0, 0);
        for (replica, it) in fleet.site.replicas.iter().enumerate() {
            if let Some(at) = it.crashed_at() {
                let component = Component::Replica(replica);
                fault_windows.push(FaultWindow { component, from: at, until: at + FAULT_GRACE_MS });
            }
            fatal_runs += it.runs().iter().filter(|it| it.body == FATAL_BODY.as_bytes()).count();
            fatal_part_runs += it.runs().iter().filter(|it| it.shares_part(FATAL_PART)).count();
            for run in it.runs() {
                runs.entry(run.id).or_default().push(Run { replica, at: run.began });
            }
        }
        Self {
            samples,
            runs,
            fault_windows,
            fatal_runs,
            fatal_part_runs,
            started_at: fleet.started_at.clone(),
            leaving: fleet.leaving.clone(),
            routes: fleet.routes.clone(),
            split_steps: fleet.group.inconsistent_steps(),
            stalled: fleet.group.progress().0 == before,
            stop_timeouts: fleet.stop_timeouts.clone(),
            arrivals: fleet.site.replicas.iter().map(Replica::arrivals).collect(),
            notices: fleet.site.replicas.iter().map(Replica::notices).collect(),
            halls: fleet.site.replicas.iter().map(|it| it.hall.clone()).collect(),
            evacuations: fleet.evacuations.clone(),
        }
    }

    fn runs(&self, id: &str) -> &[Run] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    fn affected(&self, component: Component, from: u64, until: u64) -> bool {
        let overlaps = |it: &FaultWindow| it.from <= until && it.until >= from;
        self.fault_windows.iter().any(|it| it.component == component && overlaps(it))
    }
}

/// Checks all guarantees and returns the violations.
pub fn check(observed: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sample in &observed.samples {
        violations.extend(check_sample(observed, sample));
    }
    violations.extend(check_configuration(observed));
    violations.extend(check_retry_budget(observed));
    let sent = observed.samples.iter().map(|it| (it.id.as_str(), it)).collect();
    violations.extend(
        (0..observed.arrivals.len()).filter_map(|replica| check_backoff(observed, &sent, replica)),
    );
    violations.extend(
        (0..observed.notices.len())
            .filter_map(|replica| check_leave_notices(observed, &sent, replica)),
    );
    violations.extend(
        (0..observed.arrivals.len()).filter_map(|replica| check_limit(observed, &sent, replica)),
    );
    violations.extend(
        (0..observed.arrivals.len())
            .filter_map(|replica| check_evacuation(observed, &sent, replica)),
    );
    violations.extend(
        (0..observed.arrivals.len())
            .filter_map(|replica| check_cold_rate(observed, &sent, replica)),
    );
    if !observed.split_steps.is_empty() {
        let seen = format!(
            "steps {:?} started with different expert maps at different ranks",
            observed.split_steps
        );
        violations.push(Violation { guarantee: Guarantee::OneMap, seen });
    }
    if observed.stalled {
        let seen = "the group makes no steps after the last fault".to_owned();
        violations.push(Violation { guarantee: Guarantee::OneMap, seen });
    }
    if observed.fatal_runs > MAX_FATAL_RUNS {
        let seen = format!(
            "a request crashed {} targets, at most {MAX_FATAL_RUNS} are allowed",
            observed.fatal_runs
        );
        violations.push(Violation { guarantee: Guarantee::FatalRequest, seen });
    }
    if observed.fatal_part_runs > MAX_FATAL_PART_RUNS {
        let seen = format!(
            "requests with one prompt part crashed {} targets, at most {MAX_FATAL_PART_RUNS} are allowed",
            observed.fatal_part_runs
        );
        violations.push(Violation { guarantee: Guarantee::FatalPart, seen });
    }
    if !observed.stop_timeouts.is_empty() {
        let seen = format!(
            "entries {:?} did not exit in time after the request to shut down",
            observed.stop_timeouts
        );
        violations.push(Violation { guarantee: Guarantee::Shutdown, seen });
    }
    violations
}

fn check_sample(observed: &Observations, sample: &Sample) -> Option<Violation> {
    let runs = observed.runs(&sample.id);
    let violation = |guarantee, what: &str| {
        let Sample { id, kind, entry, sent, ended, answer } = sample;
        let took = ended - sent;
        let seen =
            format!("{what}: {id} {kind:?} at entry {entry}, {took} ms, {runs:?}, {answer:?}");
        Some(Violation { guarantee, seen })
    };
    let status = sample.answer.status;
    if sample.kind == Kind::Once && runs.len() > 1 {
        return violation(Guarantee::AtMostOnce, "ran more than once although it must not repeat");
    }
    if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() && sample.kind == Kind::Once {
        return violation(Guarantee::NotRun, "ran although the answer says that it was not run");
    }
    if status == 200 && sample.answer.body != expected(sample) {
        return violation(Guarantee::AnswerIntegrity, "answer is incomplete or altered");
    }
    if status == 200 && sample.answer.id != sample.id {
        return violation(Guarantee::AnswerIntegrity, "answer belongs to another request");
    }
    if let Some(run) = runs.iter().find(|run| started_after_leave(observed, sample, run)) {
        return violation(Guarantee::Drain, &format!("started at leaving replica {}", run.replica));
    }
    let (from, until) = (sample.sent.saturating_sub(FAULT_GRACE_MS), sample.ended);
    let entry = observed.affected(Component::Entry(sample.entry), from, until);
    let path =
        runs.iter().any(|run| observed.affected(Component::Replica(run.replica), from, until));
    if status == 0 && !runs.is_empty() && !entry && !path {
        return violation(
            Guarantee::Answered,
            "ran and was not answered although no fault affected its path",
        );
    }
    if sample.ended - sample.sent > MAX_ANSWER_MS && !entry {
        return violation(Guarantee::Timeout, "not answered in time");
    }
    None
}

fn expected(sample: &Sample) -> String {
    match sample.kind {
        Kind::Stream => replica::all_events(&sample.id),
        Kind::Safe | Kind::Added(_) => String::new(),
        Kind::Once => sample.id.clone(),
    }
}

/// Whether a run started at a replica that had been draining or unlisted for longer than
/// [`IN_EFFECT_MS`], although its entry had the means to learn of it. Once an entry has read that
/// a replica is leaving, later faults of the store are no excuse, since the entry must remember it.
fn started_after_leave(observed: &Observations, sample: &Sample, run: &Run) -> bool {
    let leaving = observed.leaving.iter().find(|left| left.0 == run.replica);
    leaving.is_some_and(|&(_, since)| {
        let latest = run.at.saturating_sub(IN_EFFECT_MS);
        let entry_started = observed.started_at[sample.entry];
        let store_reachable =
            !observed.affected(Component::Store, since, run.at.min(since + IN_EFFECT_MS));
        let reading_since = since.max(entry_started.saturating_sub(IN_EFFECT_MS));
        let read = entry_started < since
            || !observed.affected(
                Component::Store,
                reading_since,
                run.at.min(entry_started + IN_EFFECT_MS),
            );
        since < latest
            && store_reachable
            && read
            && !observed.affected(Component::Entry(sample.entry), since, run.at)
            && !observed.affected(Component::Replica(run.replica), since, run.at)
    })
}

/// Checks that an added route is served once its configuration must be in effect, and that an
/// entry that has served the route continues to do so.
fn check_configuration(observed: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    // Time at which each entry was first observed to serve each route.
    let mut first_served: HashMap<(usize, u64), u64> = HashMap::new();
    let mut samples: Vec<&Sample> = observed.samples.iter().collect();
    samples.sort_by_key(|it| it.sent);
    for sample in samples {
        let Kind::Added(route) = sample.kind else { continue };
        let key = (sample.entry, route);
        if sample.answer.status != 404 {
            if sample.answer.status == 200 {
                first_served.entry(key).or_insert(sample.ended);
            }
            continue;
        }
        let since = observed.routes[route as usize - 1];
        let reverted = first_served.get(&key).is_some_and(|first| sample.sent > *first);
        let late = sample.sent > since.max(observed.started_at[sample.entry]) + IN_EFFECT_MS
            && !observed.affected(Component::Store, since, sample.ended)
            && !observed.affected(Component::Entry(sample.entry), since, sample.ended);
        if reverted || late {
            let after = sample.sent.saturating_sub(since);
            let seen = format!(
                "route {route} unknown to entry {} after {after} ms, served before: {reverted}: {}",
                sample.entry, sample.id
            );
            violations.push(Violation { guarantee: Guarantee::Configuration, seen });
        }
    }
    violations
}

/// Samples by request id.
type Sent<'a> = HashMap<&'a str, &'a Sample>;

/// Checks that no entry sent more than [`MAX_SENT_IN_BACKOFF`] requests during a back-off that
/// the replica asked for, unless a fault affected the entry, the replica or their link.
fn check_backoff(observed: &Observations, sent: &Sent<'_>, replica: usize) -> Option<Violation> {
    let mut from: HashMap<usize, Vec<Arrival>> = HashMap::new();
    for arrival in &observed.arrivals[replica] {
        // Arrivals of the fatal request have no sample.
        let Some(sample) = sent.get(arrival.id.as_str()) else { continue };
        let until = arrival.at + arrival.pause_ms.unwrap_or(0);
        let excused = observed.affected(Component::Entry(sample.entry), arrival.at, until)
            || observed.affected(
                Component::Replica(replica),
                arrival.at.saturating_sub(FAULT_GRACE_MS),
                until,
            );
        let pause_ms = arrival.pause_ms.filter(|_| !excused);
        let arrival = Arrival { pause_ms, ..arrival.clone() };
        from.entry(sample.entry).or_default().push(arrival);
    }
    let worst =
        from.iter().map(|(entry, all)| (max_in_pause(all, FAULT_GRACE_MS), *entry)).max()?;
    let seen = format!(
        "{} requests from entry {} to replica {replica} during its back-off",
        worst.0, worst.1
    );
    (worst.0 > MAX_SENT_IN_BACKOFF).then_some(Violation { guarantee: Guarantee::Backoff, seen })
}

/// Checks that the replica received no more than its announced limit allows. Counts requests
/// from entries that the replica has announced the limit to, unless a fault affected the entry,
/// the replica or their link since the announcement.
fn check_limit(observed: &Observations, sent: &Sent<'_>, replica: usize) -> Option<Violation> {
    let mut notified_at: HashMap<usize, u64> = HashMap::new();
    let mut counted = Vec::new();
    for arrival in &observed.arrivals[replica] {
        let Some(sample) = sent.get(arrival.id.as_str()) else { continue };
        let Some(limit) = arrival.limit else {
            notified_at.clear();
            continue;
        };
        let notified_at = *notified_at.entry(sample.entry).or_insert(arrival.at);
        let excused = observed.affected(Component::Entry(sample.entry), notified_at, arrival.at)
            || observed.affected(
                Component::Replica(replica),
                notified_at.saturating_sub(FAULT_GRACE_MS),
                arrival.at,
            );
        if arrival.at > notified_at + FAULT_GRACE_MS && !excused {
            counted.push((arrival.at, limit));
        }
    }
    counted.iter().find_map(|&(since, limit)| {
        let span = since..since + limits::WINDOW_MS;
        let same = |other: &&(u64, f64)| span.contains(&other.0) && other.1 == limit;
        let count = counted.iter().filter(same).count();
        let seen = format!(
            "{count} requests in a span to replica {replica} with a limit of {limit} a second"
        );
        let exceeded = count as f64 > limits::allowed(limit);
        exceeded.then_some(Violation { guarantee: Guarantee::Limit, seen })
    })
}

/// Checks that no entry sent a request to the replica after an answer to that entry announced
/// that the replica was leaving.
fn check_leave_notices(
    observed: &Observations,
    sent: &Sent<'_>,
    replica: usize,
) -> Option<Violation> {
    let mut notified_at: HashMap<usize, u64> = HashMap::new();
    for (id, at) in &observed.notices[replica] {
        let Some(sample) = sent.get(id.as_str()) else { continue };
        let first = notified_at.entry(sample.entry).or_insert(*at);
        *first = (*at).min(*first);
    }
    let late = observed.arrivals[replica].iter().find(|arrival| {
        let Some(sample) = sent.get(arrival.id.as_str()) else { return false };
        let Some(at) = notified_at.get(&sample.entry) else { return false };
        sample.sent > at + FAULT_GRACE_MS
            && !observed.affected(Component::Entry(sample.entry), *at, arrival.at)
            && !observed.affected(
                Component::Replica(replica),
                at.saturating_sub(FAULT_GRACE_MS),
                arrival.at,
            )
    });
    late.map(|arrival| {
        let seen = format!(
            "{} sent to replica {replica} after it announced that it was leaving",
            arrival.id
        );
        Violation { guarantee: Guarantee::LeaveNotice, seen }
    })
}

/// Time until which requests of an entry may reach a hall that is evacuated since this time: the
/// bound, and the faults that kept the entry from hearing of the evacuation.
fn may_send_until(observed: &Observations, entry: usize, since: u64) -> u64 {
    let hides = |it: &&FaultWindow| {
        it.component == Component::Store || it.component == Component::Entry(entry)
    };
    let mut windows: Vec<&FaultWindow> = observed.fault_windows.iter().filter(hides).collect();
    windows.sort_by_key(|it| it.from);
    let (mut until, mut counted_until) = (since + EVACUATE_MS, since);
    for window in windows {
        let from = window.from.max(counted_until);
        if window.from <= until && window.until > from {
            until += window.until - from;
            counted_until = window.until;
        }
    }
    until
}

/// Whether a fault of the replica or the link to it may have delayed an arrival.
fn may_be_delayed(observed: &Observations, replica: usize, arrival: &Arrival) -> bool {
    let from = arrival.at.saturating_sub(FAULT_GRACE_MS);
    observed.affected(Component::Replica(replica), from, arrival.at)
}

/// Checks that no request reached the replica while its data hall was evacuated and the entry had
/// to know it.
fn check_evacuation(observed: &Observations, sent: &Sent<'_>, replica: usize) -> Option<Violation> {
    let evacuations =
        || observed.evacuations.iter().filter(|it| it.hall == observed.halls[replica]);
    let late = observed.arrivals[replica].iter().find_map(|arrival| {
        let sample = sent.get(arrival.id.as_str())?;
        let in_force = |it: &&Evacuation| {
            arrival.at > may_send_until(observed, sample.entry, it.since)
                && it.until.is_none_or(|until| arrival.at < until)
        };
        let evacuation = evacuations().find(in_force)?;
        (!may_be_delayed(observed, replica, arrival)).then_some((arrival, sample, evacuation))
    });
    late.map(|(arrival, sample, evacuation)| {
        let seen = format!(
            "{} of entry {} reached replica {replica} in {} {} ms after its evacuation",
            arrival.id,
            sample.entry,
            evacuation.hall,
            arrival.at - evacuation.since
        );
        Violation { guarantee: Guarantee::Evacuation, seen }
    })
}

/// Checks that all entries together kept the bound of the replica while it was cold. Requests of an
/// entry that could not know of the evacuation after which the replica was cold are not counted.
fn check_cold_rate(observed: &Observations, sent: &Sent<'_>, replica: usize) -> Option<Violation> {
    let unaware = |arrival: &Arrival| {
        let Some(sample) = sent.get(arrival.id.as_str()) else { return false };
        observed.evacuations.iter().any(|it| {
            let until = it.until.unwrap_or(u64::MAX);
            it.hall == observed.halls[replica]
                && (until..until.saturating_add(COLD_MS)).contains(&arrival.at)
                && may_send_until(observed, sample.entry, it.since) > until
        })
    };
    let counts = |it: &&Arrival| it.cold && !may_be_delayed(observed, replica, it) && !unaware(it);
    let counted: Vec<Arrival> = observed.arrivals[replica].iter().filter(counts).cloned().collect();
    let (count, allowed) = (limits::busiest_second(&counted), limits::allowed_cold(COLD_PER_S));
    let seen = format!("{count} requests in a second to cold replica {replica}, allowed {allowed}");
    (count > allowed).then_some(Violation { guarantee: Guarantee::ColdRate, seen })
}

/// Checks the common retry budget. A run of the soak is shorter than a window of the budget, so
/// that the whole run counts as one window.
fn check_retry_budget(observed: &Observations) -> Option<Violation> {
    let repeats: usize = observed.runs.values().map(|it| it.len() - 1).sum();
    let allowed = observed.samples.len() as f64 * RETRY_RATIO + RETRY_SLACK;
    let seen = format!("{repeats} repeated runs, {allowed:.0} are allowed");
    (repeats as f64 > allowed).then_some(Violation { guarantee: Guarantee::RetryBudget, seen })
}

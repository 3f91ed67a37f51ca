// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! What callers were told against what targets saw. It knows nothing of what
//! the programs hold to be true.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::limits;
use crate::replica::{self, Arrival, Replica, max_in_pause};
use crate::soak::callers::{Kind, Sample};
use crate::soak::fleet::{FATAL, Fleet, Strike, Struck};

/// Milliseconds after a strike in which its effects are still seen.
pub const AFTER: u64 = 500;
/// Milliseconds within which an acknowledged change is in force. As the users'
/// platform has it, and half a second for a busy machine.
const IN_FORCE: u64 = 2_500;
/// Milliseconds for which a route of the stand-in's configuration holds a
/// request, and the same half second with as much again to deliver it.
const HELD: u64 = 3_000 + 1_000;
/// Retries of all entries together: part of the requests, and more.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 90.0;
/// Targets that one request may end: three, and three more on which it is on its way
/// when the third one's end becomes known.
const FATAL_RUNS: usize = 6;
/// Requests that may reach a target besides while it rests, as the users' platform has it.
const MOST_IN_REST: usize = 2;
/// Time in which the group makes steps once all is well.
const STEPS: Duration = Duration::from_millis(500);

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// A request that must not repeat runs at most once.
    Once,
    /// What was told not to have run has not and does not.
    NotRun,
    /// An answer is whole and the caller's own.
    Own,
    /// No new work reaches a replica that leaves.
    Leaving,
    /// What a target ran is answered where nothing struck its way.
    Answered,
    /// A configuration is in force in its time, and never goes back.
    InForce,
    /// Retries of all entries stay within the common budget.
    Budget,
    /// Nothing is held past its time.
    Held,
    /// All ranks use one map in every step, and the group goes on.
    OneMap,
    /// An entry that is asked to stop ends.
    Stops,
    /// A request that ends its targets is not sent on and on.
    Fatal,
    /// A target is left alone for as long as it asks an entry.
    Rest,
    /// A target that told an entry that it leaves gets nothing more from it.
    Told,
    /// A target gets no more than it takes from all entries together.
    Limit,
}

/// A promise that was broken, and by what.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.seen)
    }
}

/// When and where a target began to run a request.
#[derive(Clone, Copy, Debug)]
struct Begun {
    replica: usize,
    at: u64,
}

/// All that a run showed.
#[derive(Debug)]
pub struct Evidence {
    /// What callers saw.
    pub samples: Vec<Sample>,
    runs: HashMap<String, Vec<Begun>>,
    strikes: Vec<Strike>,
    /// Since when each entry runs.
    began: Vec<u64>,
    leaving: Vec<(usize, u64)>,
    routes: Vec<u64>,
    broken: Vec<u64>,
    stands: bool,
    stuck: Vec<usize>,
    /// Runs of the request that ends targets.
    fatal: usize,
    /// What reached each replica, and its answers that said that it leaves.
    arrivals: Vec<Vec<Arrival>>,
    notices: Vec<Vec<(String, u64)>>,
}

impl Evidence {
    /// Collects it from a fleet in which nothing is struck any more.
    pub fn gather(fleet: &mut Fleet, samples: Vec<Sample>) -> Self {
        let before = fleet.group.progress().0;
        std::thread::sleep(STEPS);
        let mut runs: HashMap<String, Vec<Begun>> = HashMap::new();
        let mut strikes = fleet.strikes.clone();
        let mut fatal = 0;
        for (replica, it) in fleet.site.replicas.iter().enumerate() {
            if let Some(at) = it.crashed_at() {
                let what = Struck::Replica(replica);
                strikes.push(Strike { what, from: at, until: at + AFTER });
            }
            fatal += it.runs().iter().filter(|it| it.body == FATAL.as_bytes()).count();
            for run in it.runs() {
                runs.entry(run.id).or_default().push(Begun { replica, at: run.began });
            }
        }
        Self {
            samples,
            runs,
            strikes,
            fatal,
            began: fleet.began.clone(),
            leaving: fleet.leaving.clone(),
            routes: fleet.routes.clone(),
            broken: fleet.group.inconsistent_steps(),
            stands: fleet.group.progress().0 == before,
            stuck: fleet.stuck.clone(),
            arrivals: fleet.site.replicas.iter().map(Replica::arrivals).collect(),
            notices: fleet.site.replicas.iter().map(Replica::notices).collect(),
        }
    }

    fn runs(&self, id: &str) -> &[Begun] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    fn struck(&self, what: Struck, from: u64, until: u64) -> bool {
        let overlaps = |it: &Strike| it.from <= until && it.until >= from;
        self.strikes.iter().any(|it| it.what == what && overlaps(it))
    }
}

/// All promises that were broken.
pub fn judge(it: &Evidence) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for sample in &it.samples {
        breaches.extend(judge_one(it, sample));
    }
    breaches.extend(in_force(it));
    breaches.extend(budget(it));
    let sent = it.samples.iter().map(|it| (it.id.as_str(), it)).collect();
    breaches.extend((0..it.arrivals.len()).filter_map(|replica| rest(it, &sent, replica)));
    breaches.extend((0..it.notices.len()).filter_map(|replica| told(it, &sent, replica)));
    breaches.extend((0..it.arrivals.len()).filter_map(|replica| limit(it, &sent, replica)));
    if !it.broken.is_empty() {
        let seen = format!("steps {:?} began on two maps", it.broken);
        breaches.push(Breach { promise: Promise::OneMap, seen });
    }
    if it.stands {
        let seen = "the group makes no steps at the end".to_owned();
        breaches.push(Breach { promise: Promise::OneMap, seen });
    }
    if it.fatal > FATAL_RUNS {
        let seen = format!("a request ended {} targets", it.fatal);
        breaches.push(Breach { promise: Promise::Fatal, seen });
    }
    if !it.stuck.is_empty() {
        let seen = format!("entries {:?} did not end", it.stuck);
        breaches.push(Breach { promise: Promise::Stops, seen });
    }
    breaches
}

fn judge_one(it: &Evidence, sample: &Sample) -> Option<Breach> {
    let runs = it.runs(&sample.id);
    let breach = |promise, what: &str| {
        let Sample { id, kind, entry, sent, ended, answer } = sample;
        let took = ended - sent;
        let seen =
            format!("{what}: {id} {kind:?} at entry {entry}, {took} ms, {runs:?}, {answer:?}");
        Some(Breach { promise, seen })
    };
    let status = sample.answer.status;
    if sample.kind == Kind::Once && runs.len() > 1 {
        return breach(Promise::Once, "ran more than once");
    }
    if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() && sample.kind == Kind::Once {
        return breach(Promise::NotRun, "told not to have run");
    }
    if status == 200 && sample.answer.body != expected(sample) {
        return breach(Promise::Own, "not the whole answer");
    }
    if status == 200 && sample.answer.id != sample.id {
        return breach(Promise::Own, "another request's answer");
    }
    if let Some(run) = runs.iter().find(|run| came_late(it, sample, run)) {
        return breach(Promise::Leaving, &format!("sent to leaving replica {}", run.replica));
    }
    let (from, until) = (sample.sent.saturating_sub(AFTER), sample.ended);
    let entry = it.struck(Struck::Entry(sample.entry), from, until);
    let way = runs.iter().any(|run| it.struck(Struck::Replica(run.replica), from, until));
    if status == 0 && !runs.is_empty() && !entry && !way {
        return breach(Promise::Answered, "ran and was not answered");
    }
    if sample.ended - sample.sent > HELD && !entry {
        return breach(Promise::Held, "held past its time");
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

/// Whether a run began at a replica that had long said to be leaving, sent by an
/// entry that could know. What it knew once it does not forget, whatever the store says.
fn came_late(it: &Evidence, sample: &Sample, run: &Begun) -> bool {
    let leaving = it.leaving.iter().find(|left| left.0 == run.replica);
    leaving.is_some_and(|&(_, since)| {
        let known = run.at.saturating_sub(IN_FORCE);
        let began = it.began[sample.entry];
        let told = !it.struck(Struck::Store, since, run.at.min(since + IN_FORCE));
        let started = since.max(began.saturating_sub(IN_FORCE));
        let read =
            began < since || !it.struck(Struck::Store, started, run.at.min(began + IN_FORCE));
        since < known
            && told
            && read
            && !it.struck(Struck::Entry(sample.entry), since, run.at)
            && !it.struck(Struck::Replica(run.replica), since, run.at)
    })
}

/// Added routes are served where they are in force, and stay so at an entry.
fn in_force(it: &Evidence) -> Vec<Breach> {
    let mut breaches = Vec::new();
    // By entry and route: when it was first seen to be served there.
    let mut seen: HashMap<(usize, u64), u64> = HashMap::new();
    let mut samples: Vec<&Sample> = it.samples.iter().collect();
    samples.sort_by_key(|it| it.sent);
    for sample in samples {
        let Kind::Added(route) = sample.kind else { continue };
        let key = (sample.entry, route);
        if sample.answer.status != 404 {
            if sample.answer.status == 200 {
                seen.entry(key).or_insert(sample.ended);
            }
            continue;
        }
        let since = it.routes[route as usize - 1];
        let back = seen.get(&key).is_some_and(|first| sample.sent > *first);
        let late = sample.sent > since.max(it.began[sample.entry]) + IN_FORCE
            && !it.struck(Struck::Store, since, sample.ended)
            && !it.struck(Struck::Entry(sample.entry), since, sample.ended);
        if back || late {
            let after = sample.sent.saturating_sub(since);
            let seen = format!(
                "route {route} unknown to entry {} after {after} ms, back {back}: {}",
                sample.entry, sample.id
            );
            breaches.push(Breach { promise: Promise::InForce, seen });
        }
    }
    breaches
}

/// Samples by their name.
type Sent<'a> = HashMap<&'a str, &'a Sample>;

/// What a replica asked of each entry that was not struck, nor the way between them.
fn rest(it: &Evidence, sent: &Sent<'_>, replica: usize) -> Option<Breach> {
    let mut from: HashMap<usize, Vec<Arrival>> = HashMap::new();
    for arrival in &it.arrivals[replica] {
        // Those of the request that ends targets have no sample.
        let Some(sample) = sent.get(arrival.id.as_str()) else { continue };
        let until = arrival.at + arrival.pause_ms.unwrap_or(0);
        let excused = it.struck(Struck::Entry(sample.entry), arrival.at, until)
            || it.struck(Struck::Replica(replica), arrival.at.saturating_sub(AFTER), until);
        let pause_ms = arrival.pause_ms.filter(|_| !excused);
        let arrival = Arrival { pause_ms, ..arrival.clone() };
        from.entry(sample.entry).or_default().push(arrival);
    }
    let worst = from.iter().map(|(entry, all)| (max_in_pause(all, AFTER), *entry)).max()?;
    let seen = format!("{} from entry {} to resting replica {replica}", worst.0, worst.1);
    (worst.0 > MOST_IN_REST).then_some(Breach { promise: Promise::Rest, seen })
}

/// Whether a replica got more than it takes, from entries that were not struck and that it
/// had told.
fn limit(it: &Evidence, sent: &Sent<'_>, replica: usize) -> Option<Breach> {
    let mut told: HashMap<usize, u64> = HashMap::new();
    let mut counted = Vec::new();
    for arrival in &it.arrivals[replica] {
        let Some(sample) = sent.get(arrival.id.as_str()) else { continue };
        let Some(limit) = arrival.limit else {
            told.clear();
            continue;
        };
        let told = *told.entry(sample.entry).or_insert(arrival.at);
        let excused = it.struck(Struck::Entry(sample.entry), told, arrival.at)
            || it.struck(Struck::Replica(replica), told.saturating_sub(AFTER), arrival.at);
        if arrival.at > told + AFTER && !excused {
            counted.push((arrival.at, limit));
        }
    }
    counted.iter().find_map(|&(since, limit)| {
        let span = since..since + limits::WINDOW_MS;
        let same = |other: &&(u64, f64)| span.contains(&other.0) && other.1 == limit;
        let most = counted.iter().filter(same).count();
        let seen = format!("{most} in a span to replica {replica}, that takes {limit} a second");
        let broken = most as f64 > limits::allowed(limit);
        broken.then_some(Breach { promise: Promise::Limit, seen })
    })
}

/// Whether an entry that a replica had told of its leaving sent it more.
fn told(it: &Evidence, sent: &Sent<'_>, replica: usize) -> Option<Breach> {
    let mut known: HashMap<usize, u64> = HashMap::new();
    for (id, at) in &it.notices[replica] {
        let Some(sample) = sent.get(id.as_str()) else { continue };
        let known = known.entry(sample.entry).or_insert(*at);
        *known = (*at).min(*known);
    }
    let late = it.arrivals[replica].iter().find(|arrival| {
        let Some(sample) = sent.get(arrival.id.as_str()) else { return false };
        let Some(at) = known.get(&sample.entry) else { return false };
        sample.sent > at + AFTER
            && !it.struck(Struck::Entry(sample.entry), *at, arrival.at)
            && !it.struck(Struck::Replica(replica), at.saturating_sub(AFTER), arrival.at)
    });
    late.map(|arrival| {
        let seen = format!("{} sent to replica {replica}, which had said it leaves", arrival.id);
        Breach { promise: Promise::Told, seen }
    })
}

/// A run lasts less than a window of the budget, so that all of it is one.
fn budget(it: &Evidence) -> Option<Breach> {
    let runs: usize = it.runs.values().map(|it| it.len() - 1).sum();
    let most = it.samples.len() as f64 * RETRY_RATIO + RETRY_SLACK;
    let seen = format!("{runs} runs beyond the first of each, {most:.0} are allowed");
    (runs as f64 > most).then_some(Breach { promise: Promise::Budget, seen })
}

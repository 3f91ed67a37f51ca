// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A data hall is evacuated: no request may reach its targets until the operator ends the
//! evacuation, whatever happens to entries and to the store meanwhile.

mod common;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::load::{Load, sender, sleep_until};
use common::waiting;
use sablepass_edge::clock;
use sablepass_stand::client::{Answer, metric, wait_for};
use sablepass_stand::keys::{Backup, Mode};
use sablepass_stand::replica::{self, Arrival, Replica};
use sablepass_stand::site::{self, EvacuationItem, Site, ask};
use sablepass_stand::site_with_agents::SiteWithAgents;

/// The evacuated hall, which is also that of the entries.
const HALL: &str = "ba-1";
/// The hall that stays in use.
const OTHER: &str = "ba-2";
/// A hall whose name has characters with a meaning in paths.
const ODD_HALL: &str = "north/1 %2F";
const ENTRIES: usize = 3;
/// Time within which entries must comply, in milliseconds, as on the platform.
const COMPLY_MS: u64 = 5_000;
/// Time within which entries comply at the short intervals of tests, in milliseconds.
const QUICK_MS: u64 = 1_500;
/// Time for which arrivals are observed after the last event of a case, in milliseconds.
const OBSERVED_MS: u64 = COMPLY_MS + 1_000;
const PAUSE: Duration = Duration::from_millis(15);

/// A site with callers at all entries and two targets in each of two halls.
struct Trial {
    site: Site,
    load: Load,
    /// Backup of the store from before the evacuation.
    backup: Backup,
    /// Entries that were suspended, each with the time at which it resumed.
    resumed: Vec<(usize, u64)>,
    /// Entries that were killed.
    killed: Vec<usize>,
}

impl Trial {
    fn start() -> Self {
        let mut site = Site::open(0);
        for hall in [HALL, HALL, OTHER, OTHER] {
            site.add_replica_in(hall, "orders");
        }
        for _ in 0..ENTRIES {
            site.add_entry("");
        }
        site.settle(4);
        let load = Load::spawn(&site, 2, PAUSE);
        let backup = site.store.backup();
        let trial = Self { site, load, backup, resumed: Vec::new(), killed: Vec::new() };
        trial.wait_until_used(clock::now());
        trial
    }

    fn add_entry(&mut self) -> usize {
        let entry = self.site.add_entry("");
        self.load.call(&self.site, entry);
        entry
    }

    fn kill(&mut self, entry: usize) {
        self.site.entries[entry].kill();
        self.killed.push(entry);
    }

    fn resume(&mut self, entries: &[usize]) {
        for &entry in entries {
            self.site.entries[entry].resume();
            self.resumed.push((entry, clock::now()));
        }
    }

    /// Requests that reached the evacuated hall after a time.
    fn arrivals_after(&self, time: u64) -> Vec<Arrival> {
        arrivals_in(&self.site, HALL, time)
    }

    /// Requests that reached the evacuated hall later than `bound` after the evacuation, or after
    /// their entry resumed: the entry, and the time since the evacuation.
    fn late(&self, written: u64, bound: u64) -> Vec<(usize, u64)> {
        let arrivals = self.arrivals_after(written).into_iter();
        let late = arrivals.map(|it| (sender(&it), it.at)).filter(|(entry, at)| {
            let resumed = self.resumed.iter().find(|it| it.0 == *entry).map(|it| it.1);
            *at > resumed.unwrap_or(written) + bound
        });
        late.map(|(entry, at)| (entry, at - written)).collect()
    }

    /// Waits until all running entries have used the hall since a time.
    fn wait_until_used(&self, since: u64) {
        let running = (0..self.site.entries.len()).filter(|it| !self.killed.contains(it));
        for entry in running {
            let used = || self.arrivals_after(since).iter().any(|it| sender(it) == entry);
            wait_for("the entry uses the hall", used);
        }
    }
}

/// Requests that reached a hall after a time.
fn arrivals_in(site: &Site, hall: &str, time: u64) -> Vec<Arrival> {
    let replicas = site.replicas.iter().filter(|it| it.hall == hall);
    replicas.flat_map(Replica::arrivals).filter(|it| it.at > time).collect()
}

/// An evacuation with events before, during and after it.
struct Case {
    /// Before the item is written.
    before: fn(&mut Trial),
    /// Writes the item and returns the time of the acknowledgement.
    write: fn(&Trial) -> u64,
    /// After the time within which entries must comply.
    after: fn(&mut Trial),
    /// Ends the evacuation.
    end: fn(&Trial),
}

const CALM: Case = Case {
    before: |_| {},
    write: |it| it.site.evacuate(HALL),
    after: |_| {},
    end: |it| {
        it.site.release(HALL);
    },
};

fn check(case: &Case) {
    let mut trial = Trial::start();
    (case.before)(&mut trial);
    let written = (case.write)(&trial);
    sleep_until(written + COMPLY_MS);
    (case.after)(&mut trial);
    sleep_until(clock::now() + OBSERVED_MS);
    let late = trial.late(written, COMPLY_MS);
    assert!(late.is_empty(), "{} late requests, entry and ms: {:?}", late.len(), first(&late));
    let late = trial.late(written, QUICK_MS);
    assert!(late.is_empty(), "{} slow requests, entry and ms: {:?}", late.len(), first(&late));
    let ended = clock::now();
    (case.end)(&trial);
    trial.wait_until_used(ended);
    let took = clock::now() - ended;
    assert!(took < COMPLY_MS, "the hall is used again only after {took} ms");
    // Entries that run all the time serve all requests from the other hall.
    let disturbed = |entry: usize| {
        entry >= ENTRIES
            || trial.killed.contains(&entry)
            || trial.resumed.iter().any(|it| it.0 == entry)
    };
    let disturbed: Vec<bool> = (0..trial.site.entries.len()).map(disturbed).collect();
    let samples = trial.load.join();
    let in_time = |it: &&common::load::Sample| it.sent > written && it.ended < ended;
    let unserved: Vec<_> = samples
        .iter()
        .filter(in_time)
        .filter(|it| !disturbed[it.entry] && it.answer.status != 200)
        .collect();
    assert!(unserved.is_empty(), "{} unserved: {:?}", unserved.len(), unserved.first());
}

fn first<T>(list: &[T]) -> &[T] {
    &list[..list.len().min(3)]
}

#[test]
fn verify_an_evacuated_hall_gets_no_requests() {
    check(&CALM);
}

/// Guards against an evacuation that an entry loses by its restart.
#[test]
fn verify_a_restarted_entry_knows_the_evacuation() {
    check(&Case {
        after: |it| {
            it.kill(2);
            it.add_entry();
        },
        ..CALM
    });
}

/// Guards against an evacuation that is known only from the store: all entries are replaced one by
/// one while the store is down, so that each new one can learn of it only from a peer.
#[test]
fn verify_entries_that_start_during_an_outage_learn_of_the_evacuation() {
    check(&Case {
        after: |it| {
            it.site.store.set(Mode::Down);
            for old in 0..ENTRIES {
                let new = it.add_entry();
                let revision = || it.site.status(new)["revision"].as_u64();
                wait_for("the new entry has a configuration", || revision() > Some(0));
                thread::sleep(Duration::from_millis(500));
                it.kill(old);
            }
        },
        end: |it| {
            it.site.store.set(Mode::Up);
            it.site.release(HALL);
        },
        ..CALM
    });
}

#[test]
fn verify_suspended_entries_learn_of_the_evacuation_when_they_resume() {
    check(&Case {
        before: |it| [1, 2].iter().for_each(|entry| it.site.entries[*entry].pause()),
        after: |it| it.resume(&[1, 2]),
        ..CALM
    });
}

/// The only entry that knows the evacuation ends, and the store has lost the event: the others
/// must find the item in a complete read.
#[test]
fn verify_an_evacuation_known_to_an_entry_that_ends_is_read_from_the_store() {
    check(&Case {
        before: |it| [1, 2].iter().for_each(|entry| it.site.entries[*entry].pause()),
        after: |it| {
            it.kill(0);
            it.site.store.discard_history();
            it.resume(&[1, 2]);
        },
        ..CALM
    });
}

/// The item is written while entries cannot read the store, which then has lost the event.
#[test]
fn verify_an_evacuation_without_an_event_is_found_by_a_complete_read() {
    check(&Case {
        write: |it| {
            it.site.store.set(Mode::Down);
            it.site.evacuate(HALL);
            it.site.store.discard_history();
            it.site.store.set(Mode::Up);
            clock::now()
        },
        ..CALM
    });
}

/// The removal of the item is not reported as an event.
#[test]
fn verify_an_end_without_an_event_is_found_by_a_complete_read() {
    check(&Case {
        end: |it| {
            it.site.store.set(Mode::Down);
            it.site.release(HALL);
            it.site.store.discard_history();
            it.site.store.set(Mode::Up);
        },
        ..CALM
    });
}

/// Guards against a read in pages that ends an evacuation because a later page is older than the
/// first one and lacks the item.
#[test]
fn verify_a_read_with_an_older_page_does_not_end_the_evacuation() {
    check(&Case {
        after: |it| {
            // The configuration is on the first page, and the item on the second.
            it.site.store.set_stale_pages(1, Some(&it.backup));
            it.site.store.discard_history();
        },
        end: |it| {
            it.site.store.set_stale_pages(1, None);
            it.site.release(HALL);
        },
        ..CALM
    });
}

/// Guards against a read of a restored store that ends an evacuation because its backup lacks the
/// item. A new entry starts afterwards. The operator ends the evacuation by writing the item again
/// and removing it.
#[test]
fn verify_a_restored_store_without_the_item_does_not_end_the_evacuation() {
    check(&Case {
        after: |it| {
            it.site.store.set(Mode::Down);
            thread::sleep(Duration::from_millis(300));
            it.site.store.restore(&it.backup, 2);
            it.site.store.set(Mode::Up);
            thread::sleep(Duration::from_millis(500));
            it.add_entry();
        },
        end: |it| {
            it.site.evacuate(HALL);
            thread::sleep(Duration::from_millis(QUICK_MS));
            it.site.release(HALL);
        },
        ..CALM
    });
}

/// Guards against a configuration that replaces the evacuation, or the reverse.
#[test]
fn verify_an_evacuation_and_a_configuration_are_independent() {
    check(&Case {
        write: |it| {
            it.site.configure(&site::configuration(2));
            let written = it.site.evacuate(HALL);
            it.site.configure(&site::configuration(3));
            written
        },
        after: |it| {
            let revision = it.site.configure(&site::configuration(4));
            for entry in 0..ENTRIES {
                wait_for("the configuration is in force", || {
                    it.site.status(entry)["revision"].as_u64() >= Some(revision)
                });
            }
        },
        ..CALM
    });
}

/// Guards against evacuations that depend on what their item contains, that are in force only
/// once, or that compare only a part of the hall's name. The first key names no hall and must have
/// no effect.
#[test]
fn verify_an_evacuation_does_not_depend_on_its_item() {
    let mut trial = Trial::start();
    trial.site.add_replica_in(ODD_HALL, "orders");
    trial.site.settle(5);
    trial.site.evacuate("");
    let rounds = [
        (HALL, EvacuationItem::Text("")),
        (HALL, EvacuationItem::Text("not JSON")),
        (HALL, EvacuationItem::Text("[1, {\"until\": 3}]")),
        (HALL, EvacuationItem::Raw("no base64 !")),
        (HALL, EvacuationItem::Raw("")),
        // Not UTF-8.
        (HALL, EvacuationItem::Raw("//79")),
        (HALL, EvacuationItem::NoValue),
        (HALL, EvacuationItem::Object),
        (HALL, EvacuationItem::Object),
        (ODD_HALL, EvacuationItem::Object),
    ];
    let mut sent = Vec::new();
    for (hall, item) in rounds {
        let written = trial.site.evacuate_with(hall, item);
        sleep_until(written + QUICK_MS);
        let from = clock::now();
        thread::sleep(Duration::from_millis(700));
        sent.push((hall, item, arrivals_in(&trial.site, hall, from).len()));
        let released = trial.site.release(hall);
        wait_for("the hall is used again", || !arrivals_in(&trial.site, hall, released).is_empty());
    }
    assert!(sent.iter().all(|it| it.2 == 0), "requests sent to the evacuated hall: {sent:#?}");
}

/// Guards against callers that wait while no hall is in use.
#[test]
fn verify_requests_are_refused_at_once_if_all_halls_are_evacuated() {
    let trial = Trial::start();
    trial.site.evacuate(HALL);
    let written = trial.site.evacuate(OTHER);
    sleep_until(written + QUICK_MS);
    for entry in 0..ENTRIES {
        for kind in ["stream", "safe", "once"] {
            let id = format!("{entry}-{kind}");
            let sent_at = Instant::now();
            let answer = ask("POST", &format!("/{kind}/x"), &id, "q").send(&trial.site.http(entry));
            let took = sent_at.elapsed();
            assert_eq!((answer.status, trial.site.runs(&id)), (503, 0), "{answer:?}");
            assert!(answer.body.starts_with("not-run: evacuated"), "{answer:?}");
            assert!(took < Duration::from_millis(300), "refused after {took:?}: {answer:?}");
            let retry_after: f64 = answer.retry_after.parse().expect("Retry-After in seconds");
            assert!((1.9..=2.3).contains(&retry_after), "{answer:?}");
        }
        let admin = trial.site.entries[entry].addr("admin");
        let refusals = metric(&admin, "sablepass_refusals_total", "evacuated");
        assert!(refusals >= 3.0, "entry {entry} counts {refusals} refusals");
    }
    trial.site.release(OTHER);
    wait_for("requests are served again", || {
        ask("POST", "/safe/x", "0-again", "q").send(&trial.site.http(0)).status == 200
    });
}

/// Sends `count` streams and holds those that run in the hall after their second event. Returns
/// their ids and callers.
fn hold_streams(site: &Site, count: usize) -> Vec<(String, thread::JoinHandle<Answer>)> {
    site.replicas.iter().for_each(|it| it.set(replica::Mode::Hold(2)));
    let start = |number: usize| {
        let id = format!("0-held-{number}");
        let (addr, asked) = (site.http(0), id.clone());
        let caller = thread::spawn(move || ask("POST", "/stream/x", &asked, "q").send(&addr));
        wait_for("the stream runs", || site.runs(&id) == 1);
        (id, caller)
    };
    let held = (0..count).map(start).collect();
    let (in_hall, others): (Vec<_>, Vec<_>) = site.replicas.iter().partition(|it| it.hall == HALL);
    others.iter().for_each(|it| it.set(replica::Mode::Good));
    assert!(in_hall.iter().all(|it| !it.runs().is_empty()), "all targets in the hall run streams");
    held
}

/// A site with one entry and no other callers, whose routes allow long pauses within a stream.
fn quiet_site(halls: &[&str]) -> Site {
    let mut site = Site::open(0);
    let mut configuration = site::configuration(2);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 60_000.into();
        route["targetLatencyMs"] = 8_000.into();
        route["gap_aim_ms"] = 8_000.into();
    }
    site.configure(&configuration);
    for hall in halls {
        site.add_replica_in(hall, "orders");
    }
    site.add_entry("");
    site.settle(halls.len());
    site
}

/// Guards against an evacuation that breaks off what already runs in the hall.
#[test]
fn verify_running_streams_go_on_to_their_end() {
    let site = quiet_site(&[HALL, HALL, OTHER]);
    let held = hold_streams(&site, 6);
    let written = site.evacuate(HALL);
    sleep_until(written + QUICK_MS);
    let before = site.replicas[2].arrivals().len();
    let answer = ask("POST", "/safe/x", "0-new", "q").send(&site.http(0));
    assert_eq!((answer.status, site.replicas[2].arrivals().len()), (200, before + 1));
    site.replicas.iter().for_each(|it| it.set(replica::Mode::Good));
    for (id, caller) in held {
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, &answer.body), (200, &replica::all_events(&id)), "{answer:?}");
        assert_eq!(site.runs(&id), 1, "the stream ended where it had begun");
    }
}

/// Guards against a stream that resumes at another target of the evacuated hall.
#[test]
fn verify_a_stream_that_breaks_resumes_in_another_hall() {
    let site = quiet_site(&[HALL, HALL, OTHER]);
    let held = hold_streams(&site, 9);
    let written = site.evacuate(HALL);
    sleep_until(written + QUICK_MS);
    let broken = clock::now();
    site.replicas[0].crash();
    thread::sleep(Duration::from_millis(500));
    site.replicas[1].crash();
    for (id, caller) in held {
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, &answer.body), (200, &replica::all_events(&id)), "{answer:?}");
    }
    let resumed = arrivals_in(&site, HALL, broken);
    assert!(resumed.is_empty(), "streams resumed in the evacuated hall: {resumed:?}");
}

/// Requests wait for a group that spans two halls, one of which is evacuated before the group is
/// ready. Guards against waiting requests that are sent without another check.
#[test]
fn verify_requests_that_wait_are_placed_elsewhere() {
    let SiteWithAgents { site, agents: _agents, .. } = SiteWithAgents::spawn_in(&[HALL, OTHER]);
    let callers = waiting::wait_for_group(&site, &waiting::configuration(3, 4_000), WAITING);
    let written = site.evacuate(HALL);
    sleep_until(written + QUICK_MS);
    waiting::open_group(&site);
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let late = site.replicas[0].arrivals();
    assert!(late.is_empty(), "requests were sent to the evacuated hall: {late:?}");
}

/// Guards against requests that wait for the end of an evacuation of all their targets.
#[test]
fn verify_requests_that_wait_are_refused_when_their_last_hall_is_evacuated() {
    let SiteWithAgents { site, agents: _agents, .. } = SiteWithAgents::spawn_in(&[HALL, HALL]);
    let callers = waiting::wait_for_group(&site, &waiting::configuration(3, 4_000), WAITING);
    let written = site.evacuate(HALL);
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, site.runs(&answer.id)), (503, 0), "{answer:?}");
    }
    let took = clock::now() - written;
    assert!(took < QUICK_MS, "refused after {took} ms");
    waiting::open_group(&site);
    thread::sleep(Duration::from_secs(1));
    let runs: usize = site.replicas.iter().map(|it| it.runs().len()).sum();
    assert_eq!(runs, 0, "refused requests ran later");
}

/// Number of requests that wait for a group.
const WAITING: usize = 8;

/// A listener in front of a target whose queue of connections is full, so that connections to it
/// stay pending until it opens.
struct LateListener {
    addr: SocketAddr,
    opened: Arc<AtomicBool>,
    _fillers: Vec<TcpStream>,
}

impl LateListener {
    fn bind(target: SocketAddr) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket can be created");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a free port can be bound");
        socket.listen(0).expect("the socket can listen");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("a listening socket has an address");
        let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(100));
        let fillers: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).collect();
        let opened = Arc::new(AtomicBool::new(false));
        let open = opened.clone();
        thread::spawn(move || {
            while !open.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(5));
            }
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (mut from, mut to) in [(&client, &server), (&server, &client)]
                    .map(|(from, to)| (from.try_clone(), to.try_clone()))
                    .into_iter()
                    .filter_map(|(from, to)| Some((from.ok()?, to.ok()?)))
                {
                    thread::spawn(move || std::io::copy(&mut from, &mut to));
                }
            }
        });
        Self { addr, opened, _fillers: fillers }
    }
}

/// Guards against a request whose connection was requested before the evacuation and is
/// established after it.
#[test]
fn verify_a_pending_connection_carries_no_request_after_the_evacuation() {
    let mut site = Site::open(0);
    let hidden = Replica::spawn("orders").in_hall(HALL);
    let late = LateListener::bind(hidden.addr);
    let hidden = hidden.at(late.addr);
    site.list(&hidden, "ready");
    site.replicas.push(hidden);
    site.add_replica_in(OTHER, "orders");
    for _ in 0..ENTRIES {
        site.add_entry("");
    }
    site.settle(2);
    let load = Load::spawn(&site, 4, PAUSE);
    thread::sleep(Duration::from_millis(500));
    let written = site.evacuate(HALL);
    sleep_until(written + QUICK_MS);
    late.opened.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    let sent = arrivals_in(&site, HALL, written);
    assert!(sent.is_empty(), "{} requests were sent: {:?}", sent.len(), first(&sent));
    let samples = load.join();
    let unserved: Vec<_> = samples.iter().filter(|it| it.answer.status != 200).collect();
    assert!(unserved.is_empty(), "{} unserved: {:?}", unserved.len(), unserved.first());
}

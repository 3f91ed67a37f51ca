// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The fleet of the soak: starts all processes, injects the faults of a schedule, and records
//! which components each fault affects and when.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use sablepass_edge::clock;
use serde_json::{Value, json};

use crate::client::{self, Ask};
use crate::limits;
use crate::process::Process;
use crate::ranks::{self, Group};
use crate::replica::{self, ColdNotice, Replica};
use crate::site::{self, Pace, Site};
use crate::soak::Options;
use crate::soak::callers::{self, Directory};
use crate::soak::schedule::{Fault, PlannedFault};
use crate::{keys, soak};

/// Ranks of the group whose expert maps change during the run, and experts of each layer.
const RANKS: usize = 4;
const EXPERTS_PER_LAYER: u64 = 8;
/// Interval between shifts of demand among the group's experts: about the time that a new map
/// takes to come into force.
const DEMAND_SHIFT_INTERVAL: Duration = Duration::from_millis(600);
/// Body of a request that crashes each replica that starts to run it, and the interval at which
/// its caller repeats it.
pub const FATAL_BODY: &str = "ends whatever runs it";
/// Id of a prompt part that crashes each replica that starts to run a request with it.
pub const FATAL_PART: &str = "bad0";
const FATAL_REPEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after each part of an answer without a length.
const PART_PAUSE: Duration = Duration::from_millis(30);
/// Any free port at the loopback address.
const ANY_ADDRESS: &str = "127.0.0.1:0";
/// Interval at which a thread checks whether a replica has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time within which an entry must exit after the request to shut down.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Seconds to which the limits in a schedule apply.
const LIMIT_PERIOD_S: f64 = 10.0;
/// The store is restored from the newest backup that is at least this old, in milliseconds, or
/// from the oldest backup; and the delay after which the data that the backup lacks is rewritten.
const MIN_BACKUP_AGE_MS: u64 = 1_500;
const REWRITE_DELAY: Duration = Duration::from_millis(400);
/// Lease of instance list items after a restore: an item that no replica rewrites is removed
/// after this time.
const INSTANCE_LEASE: Duration = Duration::from_secs(2);
/// Time for entries to read an added route before the store goes down.
const ROUTE_SPREAD_TIME: Duration = Duration::from_millis(200);
/// Faults that take a replica away are skipped while no more than this many are ready.
const MIN_READY_REPLICAS: usize = 2;

/// Data halls of the replicas, which are assigned to them in turn.
pub const HALLS: [&str; 3] = ["ba-1", "ba-2", "ba-3"];
/// Requests per second that a cold replica sustains.
pub const COLD_PER_S: f64 = 10.0;
/// Time for which a replica is cold, and the interval at which it rewrites its item meanwhile, in
/// milliseconds.
pub const COLD_MS: u64 = 2_000;
const COLD_RENEWAL_MS: u64 = 1_200;
/// Longest time between two checks whether an item of a cold replica is to be rewritten.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// An evacuation of a data hall. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Name of the hall.
    pub hall: &'static str,
    /// Time at which the store acknowledged it.
    pub since: u64,
    /// Time of its end, if it has ended.
    pub until: Option<u64>,
}

/// Item of a cold replica that is rewritten until the replica is no longer cold.
#[derive(Clone, Copy, Debug)]
struct ColdItem {
    replica: usize,
    /// Revision at which it was last written. If it has another one, a fault has changed it.
    revision: Option<u64>,
    written_at: u64,
    cold_until: u64,
}

/// A component that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// An entry, by number: requests sent to it may be lost.
    Entry(usize),
    /// A replica or the link to it, by the replica's number.
    Replica(usize),
    /// The store.
    Store,
}

/// Time in which a fault may affect a component.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// The affected component.
    pub component: Component,
    /// Start, in milliseconds since the Unix epoch.
    pub from: u64,
    /// End, in milliseconds since the Unix epoch; includes [`soak::judge::FAULT_GRACE_MS`].
    pub until: u64,
}

/// All processes and simulated components of a run.
#[derive(Debug)]
pub struct Fleet {
    pub(super) site: Site,
    pub(super) group: Group,
    agents: Vec<Process>,
    agent_port: u16,
    proxies: Vec<Process>,
    directory: Arc<Directory>,
    /// Numbers of the running entries that aren't shutting down.
    running: Vec<usize>,
    /// Numbers of the replicas that are listed as ready.
    ready: Vec<usize>,
    /// Start time of each entry. Milliseconds since the Unix epoch.
    pub(super) started_at: Vec<u64>,
    pub(super) fault_windows: Vec<FaultWindow>,
    /// Numbers of the replicas that were listed as draining or removed from the instance list
    /// without notice, each with the time of that change.
    pub(super) leaving: Vec<(usize, u64)>,
    /// Numbers of the replicas that are still listed as draining.
    draining: Vec<usize>,
    /// Time at which each added route was declared, in the order of the routes' numbers.
    pub(super) routes: Vec<u64>,
    /// Backups of the store with their times, the oldest first.
    backups: Vec<(u64, keys::Backup)>,
    era: u64,
    pub(super) evacuations: Vec<Evacuation>,
    /// Ids of the replicas that lost power and have not restarted yet.
    without_power: Vec<String>,
    cold_items: Vec<ColdItem>,
    /// Whether answers of replicas state no length.
    answers_unsized: bool,
    /// Numbers of the entries that didn't exit within [`STOP_TIMEOUT`].
    pub(super) stop_timeouts: Vec<usize>,
}

impl Fleet {
    /// Starts all processes and waits until every entry can use all replicas and ranks.
    pub fn start(options: &Options) -> Self {
        let mut site = Site::open(0);
        site.pace = Pace::Platform;
        site.node = limits::COLD_LIST_SETTING.to_owned();
        let mut fleet = Self {
            site,
            group: Group::spawn(RANKS),
            agents: Vec::new(),
            agent_port: ranks::free_port(RANKS),
            proxies: Vec::new(),
            directory: Arc::default(),
            running: Vec::new(),
            ready: Vec::new(),
            started_at: Vec::new(),
            fault_windows: Vec::new(),
            leaving: Vec::new(),
            draining: Vec::new(),
            routes: Vec::new(),
            backups: Vec::new(),
            era: 1,
            evacuations: Vec::new(),
            without_power: Vec::new(),
            cold_items: Vec::new(),
            answers_unsized: false,
            stop_timeouts: Vec::new(),
        };
        fleet.site.configure(&fleet.configuration());
        fleet.list_ranks();
        (0..options.replicas).for_each(|_| fleet.add_replica());
        (0..options.entries).for_each(|_| fleet.add_entry());
        fleet.site.settle(options.replicas + RANKS);
        for rank in 0..RANKS {
            let agent = fleet.start_agent(rank);
            fleet.agents.push(agent);
        }
        fleet.shift_demand();
        fleet
    }

    fn list_ranks(&self) {
        for rank in 0..RANKS {
            let entry = self.group.entry_of(rank, "model");
            self.site.store.put(&format!("servers/i-{rank}"), &entry);
        }
    }

    /// Starts a thread that keeps changing the most requested expert, so that expert maps change
    /// during every fault.
    fn shift_demand(&self) {
        let group = self.group.clone();
        std::thread::spawn(move || {
            for hot in 0.. {
                group.set_hot_expert(hot % EXPERTS_PER_LAYER);
                std::thread::sleep(DEMAND_SHIFT_INTERVAL);
            }
        });
    }

    /// The directory that callers choose entries and routes from.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.clone()
    }

    fn configuration(&self) -> Value {
        let mut document = site::configuration(1 + self.routes.len() as u64);
        let model = Group::configuration(1)["services"][0].clone();
        let services =
            document["services"].as_array_mut().expect("configuration has no array `services`");
        services.push(model);
        services[1]["name"] = "model".into();
        let routes =
            document["routes"].as_array_mut().expect("configuration has no array `routes`");
        let safe = routes[1].clone();
        for number in 1..=self.routes.len() {
            let mut route = safe.clone();
            route["name"] = json!(format!("added-{number}"));
            route["pathPrefix"] = json!(format!("/added-{number}/"));
            routes.push(route);
        }
        site::with_cold(document, COLD_PER_S, COLD_MS as f64 / 1_000.0)
    }

    fn add_entry(&mut self) {
        let port = self.agent_port;
        let number =
            self.site.add_entry(&format!("agent_port = {port}\n{}", limits::COLD_SETTINGS));
        self.started_at.push(clock::now());
        self.running.push(number);
        self.update_directory();
    }

    fn update_directory(&self) {
        let entries = self.running.iter().map(|it| (*it, self.site.http(*it))).collect();
        *self.directory.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    fn add_replica(&mut self) {
        let hall = HALLS[self.site.replicas.len() % HALLS.len()];
        self.list_replica(&Replica::spawn("orders").in_hall(hall), ANY_ADDRESS);
    }

    /// Starts a proxy for a new replica at `listen`, and lists the replica at the proxy's address.
    fn list_replica(&mut self, replica: &Replica, listen: &str) {
        replica.crash_on(FATAL_BODY);
        replica.crash_on_part(FATAL_PART);
        replica.set_part_pause(PART_PAUSE);
        replica.set(self.usual_mode());
        let to = replica.addr.to_string();
        let proxy = Process::spawn(
            "sablepass-stand",
            &["proxy", "--listen", listen, "--control", ANY_ADDRESS, "--to", &to],
        );
        kill_proxy_with(replica.clone(), proxy.id());
        let addr: SocketAddr =
            proxy.addr("listen").parse().expect("proxy's listen address is invalid");
        // Entries reach the replica only through its proxy.
        let listed = replica.at(addr);
        self.site.list(&listed, "ready");
        self.site.replicas.push(listed);
        self.proxies.push(proxy);
        self.ready.push(self.site.replicas.len() - 1);
    }

    /// Lets a replica crash and starts another one at its address.
    fn replace_replica(&mut self, index: usize) {
        let former = self.site.replicas[index].clone();
        former.crash();
        self.proxies[index].kill();
        self.ready.retain(|it| *it != index);
        remove_after_lease(self.site.store.clone(), format!("servers/{}", former.id));
        let next = Replica::spawn("orders").in_hall(&former.hall);
        self.list_replica(&next, &former.addr.to_string());
    }

    /// Mode of replicas that no fault affects.
    fn usual_mode(&self) -> replica::Mode {
        if self.answers_unsized { replica::Mode::Unsized } else { replica::Mode::Good }
    }

    /// Sets whether the answers of the ready replicas state no length.
    fn set_unsized(&mut self, answers_unsized: bool) {
        self.answers_unsized = answers_unsized;
        let mode = self.usual_mode();
        self.ready.iter().for_each(|it| self.site.replicas[*it].set(mode));
    }

    /// Restarts replicas that have ended, with the same ids.
    fn restart_replicas(&mut self) {
        let ended = |it: &usize| self.site.replicas[*it].crashed();
        let (ended, ready) = std::mem::take(&mut self.ready).into_iter().partition(ended);
        self.ready = ready;
        let ended: Vec<usize> = ended;
        for index in ended {
            let next = self.site.replicas[index].new_incarnation();
            let lost_power = self.without_power.iter().position(|it| *it == next.id);
            if lost_power.is_some() {
                next.set_cold(COLD_MS);
            }
            self.list_replica(&next, ANY_ADDRESS);
            if let Some(position) = lost_power {
                self.without_power.remove(position);
                self.renew_while_cold(self.site.replicas.len() - 1);
            }
        }
    }

    /// Has the item of a replica that has just turned cold rewritten as long as it is cold.
    fn renew_while_cold(&mut self, replica: usize) {
        let written_at = clock::now();
        let revision = self.item_revision(replica);
        let cold_until = written_at + COLD_MS;
        self.cold_items.push(ColdItem { replica, revision, written_at, cold_until });
    }

    fn item_revision(&self, replica: usize) -> Option<u64> {
        self.site.store.key_revision(&format!("servers/{}", self.site.replicas[replica].id))
    }

    /// Rewrites the items of cold replicas that are due, a last time after their cold time.
    fn renew_cold_items(&mut self) {
        let now = clock::now();
        let unchanged = |it: &ColdItem| self.item_revision(it.replica) == it.revision;
        let mut items: Vec<ColdItem> = self.cold_items.iter().copied().filter(unchanged).collect();
        for item in items.iter_mut().filter(|it| now >= it.written_at + COLD_RENEWAL_MS) {
            self.site.list(&self.site.replicas[item.replica], "ready");
            item.revision = self.item_revision(item.replica);
            item.written_at = now;
        }
        items.retain(|it| it.written_at < it.cold_until);
        self.cold_items = items;
    }

    /// Numbers of the replicas in a data hall that are listed as ready.
    fn ready_in(&self, hall: &str) -> Vec<usize> {
        let in_hall = |it: &usize| self.site.replicas[*it].hall == hall;
        self.ready.iter().copied().filter(in_hall).collect()
    }

    /// Ends the evacuation of a data hall, whose replicas are cold afterwards.
    fn release(&mut self, hall: &str) {
        let replicas = self.ready_in(hall);
        let open = self.evacuations.iter_mut().find(|it| it.hall == hall && it.until.is_none());
        open.expect("the hall is evacuated").until = Some(clock::now());
        for index in replicas.iter().copied() {
            self.site.replicas[index].set_cold(COLD_MS);
            self.site.list(&self.site.replicas[index], "ready");
            self.renew_while_cold(index);
        }
        self.site.release(hall);
    }

    /// Records an evacuation that the store does not have, for tests of the checks.
    pub fn record_unwritten_evacuation(&mut self, hall: &'static str) {
        self.evacuations.push(Evacuation { hall, since: clock::now(), until: None });
    }

    /// Makes a replica cold without telling anyone, for tests of the checks.
    pub fn turn_cold_untold(&self, replica: usize, span: Duration) {
        self.site.replicas[replica].set_cold_with(span.as_millis() as u64, ColdNotice::Nowhere);
    }

    /// Starts a thread that sends the fatal request to the running entries in turn for this time.
    fn repeat_fatal_request(&self, span: Duration) {
        self.repeat(span, |number| {
            let id = format!("fatal-{}-{number}", clock::now());
            site::ask("POST", "/stream/x", &id, FATAL_BODY)
        });
    }

    /// Starts a thread that sends different requests with the fatal prompt part to the running
    /// entries in turn for this time. They share their first parts with those of the callers.
    fn repeat_fatal_part(&self, span: Duration) {
        self.repeat(span, |number| {
            let id = format!("fatal-part-{}-{number}", clock::now());
            let first = callers::first_part(number);
            site::ask("POST", "/stream/x", &id, &id)
                .with("x-prompt-prefix", &format!("{first}:40,{FATAL_PART}:60,own-{id}:90"))
        });
    }

    /// Starts a thread that sends requests, numbered from 0, to the running entries in turn for
    /// this time.
    fn repeat(&self, span: Duration, request: impl Fn(usize) -> Ask + Send + 'static) {
        let addrs: Vec<String> = self.running.iter().map(|it| self.site.http(*it)).collect();
        let until = Instant::now() + span;
        std::thread::spawn(move || {
            for (number, addr) in addrs.iter().cycle().enumerate() {
                if Instant::now() >= until {
                    break;
                }
                request(number).send(addr);
                std::thread::sleep(FATAL_REPEAT_INTERVAL);
            }
        });
    }

    fn start_agent(&self, rank: usize) -> Process {
        let at = SocketAddr::new(ranks::loopback(rank), self.agent_port);
        self.site.add_agent(at, self.group.addrs[rank])
    }

    /// Suspends an entry for this time without recording a fault.
    pub fn pause_unrecorded(&self, entry: usize, span: Duration) {
        self.site.entries[entry].pause();
        std::thread::sleep(span);
        self.site.entries[entry].resume();
    }

    /// Injects the faults of a schedule at their times and returns after the last one has ended.
    pub fn run_schedule(&mut self, plan: &[PlannedFault]) {
        let started = Instant::now();
        // Start and end of each fault, by time. A fault ends at the component that it chose at its
        // start, although the candidates may have changed since.
        let mut events: Vec<(u64, bool, usize)> = Vec::new();
        for (number, it) in plan.iter().enumerate() {
            events.push((it.at, true, number));
            events.push((it.at + it.duration_ms, false, number));
        }
        events.sort_unstable();
        let mut affected: Vec<Option<usize>> = vec![None; plan.len()];
        for (at, starts, number) in events {
            self.backups.push((clock::now(), self.site.store.backup()));
            let due = started + Duration::from_millis(at);
            while let Some(left) = due.checked_duration_since(Instant::now()) {
                self.renew_cold_items();
                std::thread::sleep(left.min(RENEWAL_CHECK_INTERVAL));
            }
            if starts {
                affected[number] = self.start_fault(&plan[number]);
            } else if let Some(index) = affected[number] {
                self.end_fault(&plan[number], index);
            }
        }
    }

    /// Starts a fault. Returns the number of the affected component, or `None` if there is no
    /// candidate or the fault has no end to process.
    fn start_fault(&mut self, planned: &PlannedFault) -> Option<usize> {
        let of = |list: &[usize]| list.get(planned.selector % list.len().max(1)).copied();
        let entry = of(&self.running);
        let replica = of(&self.ready);
        let rank = planned.selector % RANKS;
        match planned.fault {
            Fault::EntryKilled => {
                let index = entry?;
                self.record_fault(Component::Entry(index), planned);
                self.site.entries[index].kill();
                self.remove_entry(index);
                Some(index)
            }
            Fault::EntryPaused => {
                self.record_fault(Component::Entry(entry?), planned);
                self.site.entries[entry?].pause();
                entry
            }
            Fault::EntryStopped => {
                // The directory keeps the entry, so that callers use it until it has exited.
                self.site.entries[entry?].stop();
                self.running.retain(|it| Some(*it) != entry);
                entry
            }
            Fault::EntryReloaded => {
                self.site.entries[entry?].reload();
                entry
            }
            Fault::AgentKilled => {
                self.agents[rank].kill();
                Some(rank)
            }
            Fault::AgentPaused => {
                self.agents[rank].pause();
                Some(rank)
            }
            Fault::RankUnresponsive => {
                self.group.set_unresponsive(Some(rank));
                Some(rank)
            }
            Fault::ReplicaMode(mode) => {
                self.record_fault(Component::Replica(replica?), planned);
                self.site.replicas[replica?].set(mode);
                replica
            }
            Fault::ReplicaLeaves => {
                let index = replica.filter(|_| self.ready.len() > MIN_READY_REPLICAS)?;
                self.site.list(&self.site.replicas[index], "draining");
                self.leaving.push((index, clock::now()));
                self.draining.push(index);
                self.ready.retain(|it| *it != index);
                Some(index)
            }
            Fault::ReplicaSheds(rest) => {
                self.site.replicas[replica?].set(replica::Mode::Shed(rest));
                replica
            }
            Fault::ReplicaLimits(limit) => {
                self.site.replicas[replica?].set_limit(Some(f64::from(limit) / LIMIT_PERIOD_S));
                replica
            }
            Fault::ReplicaAnnouncesLeave => {
                let index = replica.filter(|_| self.ready.len() > MIN_READY_REPLICAS)?;
                self.site.replicas[index].leave();
                self.ready.retain(|it| *it != index);
                Some(index)
            }
            Fault::ReplicaUnlisted => {
                let index = replica.filter(|_| self.ready.len() > MIN_READY_REPLICAS)?;
                self.ready.retain(|it| *it != index);
                self.site.store.remove(&format!("servers/{}", self.site.replicas[index].id));
                self.leaving.push((index, clock::now()));
                None
            }
            Fault::ReplicaAdded => {
                self.add_replica();
                None
            }
            Fault::ReplicaRestarted => {
                self.site.replicas[replica.filter(|_| self.ready.len() > MIN_READY_REPLICAS)?]
                    .crash();
                replica
            }
            Fault::ReplicaReplaced => {
                let index = replica.filter(|_| self.ready.len() > MIN_READY_REPLICAS)?;
                self.record_fault(Component::Entry(entry?), planned);
                self.site.entries[entry?].pause();
                self.replace_replica(index);
                entry
            }
            Fault::AnswersUnsized => {
                self.set_unsized(true);
                Some(0)
            }
            Fault::ListItemCorrupted => {
                let index = replica.filter(|_| self.ready.len() > MIN_READY_REPLICAS)?;
                let key = format!("servers/{}", self.site.replicas[index].id);
                self.site.store.put_raw(&key, "no base64 !");
                Some(index)
            }
            Fault::FatalRequest => {
                self.repeat_fatal_request(Duration::from_millis(planned.duration_ms));
                Some(0)
            }
            Fault::FatalPart => {
                self.repeat_fatal_part(Duration::from_millis(planned.duration_ms));
                Some(0)
            }
            Fault::Link(link) => {
                self.record_fault(Component::Replica(replica?), planned);
                self.set_link(replica?, link.command());
                replica
            }
            Fault::StoreMode(mode) => {
                self.record_fault(Component::Store, planned);
                self.site.store.set(mode);
                Some(0)
            }
            Fault::StoreHistoryLost => {
                self.record_fault(Component::Store, planned);
                self.site.store.discard_history();
                None
            }
            Fault::StoreRestored => {
                // Entries then have a route that the backup lacks.
                self.add_route();
                std::thread::sleep(ROUTE_SPREAD_TIME);
                let writes = REWRITE_DELAY.as_millis() as u64;
                self.record_fault(
                    Component::Store,
                    &PlannedFault { duration_ms: planned.duration_ms + writes, ..*planned },
                );
                self.site.store.set(keys::Mode::Down);
                Some(0)
            }
            Fault::RouteAdded => {
                self.add_route();
                None
            }
            Fault::HallEvacuated => {
                let index = planned.selector % HALLS.len();
                let hall = HALLS[index];
                if self.evacuations.iter().any(|it| it.hall == hall && it.until.is_none()) {
                    return None;
                }
                let since = self.site.evacuate(hall);
                self.evacuations.push(Evacuation { hall, since, until: None });
                Some(index)
            }
            Fault::HallReturnsCold => {
                let index = planned.selector % HALLS.len();
                let lost = self.ready_in(HALLS[index]);
                if self.ready.len() < lost.len() + MIN_READY_REPLICAS {
                    return None;
                }
                for replica in lost {
                    self.site.replicas[replica].crash();
                    self.without_power.push(self.site.replicas[replica].id.clone());
                }
                Some(index)
            }
        }
    }

    fn end_fault(&mut self, planned: &PlannedFault, index: usize) {
        match planned.fault {
            Fault::EntryKilled => self.add_entry(),
            Fault::EntryPaused | Fault::ReplicaReplaced => self.site.entries[index].resume(),
            Fault::EntryStopped => {
                // An overlapping fault may have suspended the entry, which exits only when it runs.
                self.site.entries[index].resume();
                self.wait_for_exit(index);
                self.add_entry();
            }
            Fault::AgentKilled => {
                // An overlapping fault may have restarted the agent already.
                self.agents[index].kill();
                self.agents[index] = self.start_agent(index);
            }
            Fault::AgentPaused => self.agents[index].resume(),
            Fault::RankUnresponsive => self.group.set_unresponsive(None),
            Fault::ReplicaMode(_) | Fault::ReplicaSheds(_) => {
                self.site.replicas[index].set(self.usual_mode())
            }
            Fault::ReplicaLimits(_) => self.site.replicas[index].set_limit(None),
            Fault::ReplicaLeaves | Fault::ReplicaAnnouncesLeave => {
                self.draining.retain(|it| *it != index);
                let id = self.site.replicas[index].id.clone();
                self.site.store.remove(&format!("servers/{id}"));
            }
            Fault::ReplicaRestarted
            | Fault::FatalRequest
            | Fault::FatalPart
            | Fault::HallReturnsCold => self.restart_replicas(),
            Fault::HallEvacuated => self.release(HALLS[index]),
            Fault::AnswersUnsized => self.set_unsized(false),
            Fault::ListItemCorrupted => {
                // The replica may have ended or left since the fault's start.
                if self.ready.contains(&index) {
                    self.site.list(&self.site.replicas[index], "ready");
                }
            }
            Fault::Link(_) => self.set_link(index, "pass"),
            Fault::StoreMode(_) => self.site.store.set(keys::Mode::Up),
            Fault::StoreRestored => self.restore(),
            Fault::EntryReloaded
            | Fault::ReplicaAdded
            | Fault::ReplicaUnlisted
            | Fault::StoreHistoryLost
            | Fault::RouteAdded => {}
        }
    }

    fn add_route(&mut self) {
        self.routes.push(clock::now());
        self.site.configure(&self.configuration());
        self.directory.routes.store(self.routes.len() as u64, Ordering::Relaxed);
    }

    /// Restores the store from a backup with a new era. Rewrites the data that the backup lacks
    /// after [`REWRITE_DELAY`]; items of replicas that have left expire.
    fn restore(&mut self) {
        let old = |it: &&(u64, keys::Backup)| clock::now() >= it.0 + MIN_BACKUP_AGE_MS;
        let Some(backup) = self.backups.iter().rfind(old).or(self.backups.first()) else { return };
        self.era += 1;
        self.site.store.restore(&backup.1, self.era);
        self.site.store.set(keys::Mode::Up);
        std::thread::sleep(REWRITE_DELAY);
        self.site.configure(&self.configuration());
        self.list_ranks();
        self.rewrite_evacuations();
        for (index, replica) in self.site.replicas.iter().enumerate() {
            if self.ready.contains(&index) {
                self.site.list(replica, "ready");
            } else if self.draining.contains(&index) {
                self.site.list(replica, "draining");
            } else if !self.site.replicas[index + 1..].iter().any(|later| later.id == replica.id) {
                remove_after_lease(self.site.store.clone(), format!("servers/{}", replica.id));
            }
        }
    }

    /// Writes the evacuations in force again, and ends again those that have ended: the backup may
    /// lack either, or entries may not have seen the end before the restore.
    fn rewrite_evacuations(&self) {
        let in_force =
            |hall: &str| self.evacuations.iter().any(|it| it.hall == hall && it.until.is_none());
        for hall in HALLS {
            if in_force(hall) {
                self.site.evacuate(hall);
            } else if self.evacuations.iter().any(|it| it.hall == hall) {
                self.site.evacuate(hall);
                self.site.release(hall);
            }
        }
    }

    fn wait_for_exit(&mut self, index: usize) {
        let until = Instant::now() + STOP_TIMEOUT;
        while !self.site.entries[index].ended() {
            if Instant::now() >= until {
                self.stop_timeouts.push(index);
                self.site.entries[index].kill();
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn remove_entry(&mut self, index: usize) {
        self.running.retain(|it| *it != index);
        self.update_directory();
    }

    fn set_link(&self, index: usize, command: &str) {
        if self.site.replicas[index].crashed() {
            return;
        }
        client::control(&self.proxies[index].addr("control"), "POST", "/control", command);
    }

    fn record_fault(&mut self, component: Component, planned: &PlannedFault) {
        let from = clock::now();
        self.fault_windows.push(FaultWindow {
            component,
            from,
            until: from + planned.duration_ms + soak::judge::FAULT_GRACE_MS,
        });
    }
}

/// Removes an item of the instance list after its lease, unless it is written before then: a
/// replica may restart with the same id.
fn remove_after_lease(store: keys::Store, key: String) {
    let written = store.key_revision(&key);
    std::thread::spawn(move || {
        std::thread::sleep(INSTANCE_LEASE);
        if store.key_revision(&key) == written {
            store.remove(&key);
        }
    });
}

/// Starts a thread that kills a replica's proxy once the replica has ended, so that the proxy's
/// address refuses connections as the replica's own address does.
fn kill_proxy_with(replica: Replica, proxy: u32) {
    std::thread::spawn(move || {
        while !replica.crashed() {
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        // An error means that the proxy has exited already.
        let _ = signal::kill(Pid::from_raw(proxy as i32), Signal::SIGKILL);
    });
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The fleet of a soak: it starts what runs, strikes it by the schedule, and
//! remembers when it struck what.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use sablepass_edge::clock;
use serde_json::{Value, json};

use crate::client;
use crate::process::Process;
use crate::ranks::{self, Group};
use crate::replica::{self, Replica};
use crate::site::{self, Site};
use crate::soak::Options;
use crate::soak::callers::Board;
use crate::soak::schedule::{Fault, Planned};
use crate::{keys, soak};

/// Ranks of the group whose maps change meanwhile, and experts of a layer there.
const RANKS: usize = 4;
const EXPERTS: u64 = 8;
/// Time between two shifts of demand there: about as long as a new map takes.
const SHIFTS: Duration = Duration::from_millis(600);
/// Body of a request that ends each replica that begins to run it, and the time after
/// which its caller repeats it.
pub const FATAL: &str = "ends whatever runs it";
const REPEATS: Duration = Duration::from_millis(60);
/// Time between two looks whether a replica has ended.
const WATCHED: Duration = Duration::from_millis(2);
/// Longest time that an entry may take to stop.
const STOPS: Duration = Duration::from_secs(10);
/// Seconds in which limits are counted by a schedule.
const TEN_SECONDS: f64 = 10.0;
/// Age of the copy from which the store is restored, in milliseconds, and the time after
/// which what it lost is written again.
const COPY_AGE: u64 = 1_500;
const WRITTEN_AGAIN: Duration = Duration::from_millis(400);
/// Time after a restore in which a line stays that nobody writes.
const LEASE: Duration = Duration::from_secs(2);
/// Time in which entries learn of a route before the store is struck.
const KNOWN: Duration = Duration::from_millis(200);
/// Replicas that stay listed at least.
const LEAST: usize = 2;

/// What was struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Struck {
    /// An entry, so that requests there may be lost.
    Entry(usize),
    /// A replica or the link to it.
    Replica(usize),
    /// The store.
    Store,
}

/// Something struck, from when to when in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    /// What.
    pub what: Struck,
    /// From when.
    pub from: u64,
    /// To when.
    pub until: u64,
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) site: Site,
    pub(super) group: Group,
    agents: Vec<Process>,
    port: u16,
    proxies: Vec<Process>,
    board: Arc<Board>,
    /// Entries that take callers, by number.
    alive: Vec<usize>,
    /// Replicas that are listed as ready.
    ready: Vec<usize>,
    /// Since when each entry runs.
    pub(super) began: Vec<u64>,
    pub(super) strikes: Vec<Strike>,
    /// Replicas that leave, and since when.
    pub(super) leaving: Vec<(usize, u64)>,
    /// Those of them that are still listed.
    draining: Vec<usize>,
    /// When each added route was declared, the first one first.
    pub(super) routes: Vec<u64>,
    /// Copies of the store, the oldest first, with their times.
    copies: Vec<(u64, keys::Backup)>,
    era: u64,
    /// Entries that did not end in time after they were asked to stop.
    pub(super) stuck: Vec<usize>,
}

impl Fleet {
    /// Starts everything and waits until entries know all replicas.
    pub fn open(options: &Options) -> Self {
        let mut fleet = Self {
            site: Site::open(0),
            group: Group::spawn(RANKS),
            agents: Vec::new(),
            port: ranks::free_port(RANKS),
            proxies: Vec::new(),
            board: Arc::default(),
            alive: Vec::new(),
            ready: Vec::new(),
            began: Vec::new(),
            strikes: Vec::new(),
            leaving: Vec::new(),
            draining: Vec::new(),
            routes: Vec::new(),
            copies: Vec::new(),
            era: 1,
            stuck: Vec::new(),
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

    /// Changes the expert in demand all the time, so that maps change under every fault.
    fn shift_demand(&self) {
        let group = self.group.clone();
        std::thread::spawn(move || {
            for hot in 0.. {
                group.set_hot_expert(hot % EXPERTS);
                std::thread::sleep(SHIFTS);
            }
        });
    }

    /// What callers go by.
    pub fn board(&self) -> Arc<Board> {
        self.board.clone()
    }

    fn configuration(&self) -> Value {
        let mut it = site::configuration(1 + self.routes.len() as u64);
        let model = Group::configuration(1)["services"][0].clone();
        let services = it["services"].as_array_mut().expect("services");
        services.push(model);
        services[1]["name"] = "model".into();
        let routes = it["routes"].as_array_mut().expect("routes");
        let safe = routes[1].clone();
        for number in 1..=self.routes.len() {
            let mut route = safe.clone();
            route["name"] = json!(format!("added-{number}"));
            route["pathPrefix"] = json!(format!("/added-{number}/"));
            routes.push(route);
        }
        it
    }

    fn add_entry(&mut self) {
        let port = self.port;
        let number = self.site.add_entry(&format!("agent_port = {port}"));
        self.began.push(clock::now());
        self.alive.push(number);
        self.publish();
    }

    fn publish(&self) {
        let known = self.alive.iter().map(|it| (*it, self.site.http(*it))).collect();
        *self.board.entries.lock().unwrap_or_else(PoisonError::into_inner) = known;
    }

    fn add_replica(&mut self) {
        self.list_replica(&Replica::spawn("orders"));
    }

    /// Lists a replica that has just started, behind a proxy.
    fn list_replica(&mut self, replica: &Replica) {
        replica.crash_on(FATAL);
        let to = replica.addr.to_string();
        let any = "127.0.0.1:0";
        let proxy = Process::spawn(
            "sablepass-stand",
            &["proxy", "--listen", any, "--control", any, "--to", &to],
        );
        end_with(replica.clone(), proxy.id());
        let addr: SocketAddr = proxy.addr("listen").parse().expect("an address");
        // Entries know it by its proxy's address.
        let listed = replica.at(addr);
        self.site.list(&listed, "ready");
        self.site.replicas.push(listed);
        self.proxies.push(proxy);
        self.ready.push(self.site.replicas.len() - 1);
    }

    /// Starts replicas that have ended anew under their ids.
    fn restart_replicas(&mut self) {
        let ended = |it: &usize| self.site.replicas[*it].crashed();
        let (ended, ready) = std::mem::take(&mut self.ready).into_iter().partition(ended);
        self.ready = ready;
        let ended: Vec<usize> = ended;
        for it in ended {
            let next = self.site.replicas[it].new_incarnation();
            self.list_replica(&next);
        }
    }

    /// Sends a request that ends what runs it to all entries, time after time.
    fn send_fatal(&self, span: Duration) {
        let addrs: Vec<String> = self.alive.iter().map(|it| self.site.http(*it)).collect();
        let until = Instant::now() + span;
        std::thread::spawn(move || {
            for (number, addr) in addrs.iter().cycle().enumerate() {
                if Instant::now() >= until {
                    break;
                }
                let id = format!("fatal-{}-{number}", clock::now());
                site::ask("POST", "/stream/x", &id, FATAL).send(addr);
                std::thread::sleep(REPEATS);
            }
        });
    }

    fn start_agent(&self, rank: usize) -> Process {
        let at = SocketAddr::new(ranks::loopback(rank), self.port);
        self.site.add_agent(at, self.group.addrs[rank])
    }

    /// Pauses an entry for so long, without a note of it.
    pub fn pause_unseen(&self, entry: usize, span: Duration) {
        self.site.entries[entry].pause();
        std::thread::sleep(span);
        self.site.entries[entry].resume();
    }

    /// Plays a schedule to its end.
    pub fn play(&mut self, plan: &[Planned]) {
        let started = Instant::now();
        // Numbers stay fixed from a fault's beginning to its end.
        let mut turns: Vec<(u64, bool, usize)> = Vec::new();
        for (number, it) in plan.iter().enumerate() {
            turns.push((it.at, true, number));
            turns.push((it.at + it.lasts, false, number));
        }
        turns.sort_unstable();
        let mut struck: Vec<Option<usize>> = vec![None; plan.len()];
        for (at, begins, number) in turns {
            self.copies.push((clock::now(), self.site.store.backup()));
            let due = started + Duration::from_millis(at);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if begins {
                struck[number] = self.begin(&plan[number]);
            } else if let Some(who) = struck[number] {
                self.end(&plan[number], who);
            }
        }
    }

    /// Begins a fault. The number of what it strikes; none if there is nothing.
    fn begin(&mut self, it: &Planned) -> Option<usize> {
        let of = |list: &[usize]| list.get(it.who % list.len().max(1)).copied();
        let entry = of(&self.alive);
        let replica = of(&self.ready);
        let rank = it.who % RANKS;
        match it.fault {
            Fault::EntryKilled => {
                let who = entry?;
                self.strike(Struck::Entry(who), it);
                self.site.entries[who].kill();
                self.leave(who);
                Some(who)
            }
            Fault::EntryPaused => {
                self.strike(Struck::Entry(entry?), it);
                self.site.entries[entry?].pause();
                entry
            }
            Fault::EntryStopped => {
                // Callers go on to use it until it is gone.
                self.site.entries[entry?].stop();
                self.alive.retain(|it| Some(*it) != entry);
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
            Fault::RankDeaf => {
                self.group.set_unresponsive(Some(rank));
                Some(rank)
            }
            Fault::ReplicaIs(mode) => {
                self.strike(Struck::Replica(replica?), it);
                self.site.replicas[replica?].set(mode);
                replica
            }
            Fault::ReplicaLeaves => {
                let who = replica.filter(|_| self.ready.len() > LEAST)?;
                self.site.list(&self.site.replicas[who], "draining");
                self.leaving.push((who, clock::now()));
                self.draining.push(who);
                self.ready.retain(|it| *it != who);
                Some(who)
            }
            Fault::ReplicaSheds(rest) => {
                self.site.replicas[replica?].set(replica::Mode::Shed(rest));
                replica
            }
            Fault::ReplicaLimits(limit) => {
                self.site.replicas[replica?].set_limit(Some(f64::from(limit) / TEN_SECONDS));
                replica
            }
            Fault::ReplicaTells => {
                let who = replica.filter(|_| self.ready.len() > LEAST)?;
                self.site.replicas[who].leave();
                self.ready.retain(|it| *it != who);
                Some(who)
            }
            Fault::ReplicaVanishes => {
                let who = replica.filter(|_| self.ready.len() > LEAST)?;
                self.ready.retain(|it| *it != who);
                self.site.store.remove(&format!("servers/{}", self.site.replicas[who].id));
                self.leaving.push((who, clock::now()));
                None
            }
            Fault::ReplicaAdded => {
                self.add_replica();
                None
            }
            Fault::ReplicaReborn => {
                self.site.replicas[replica.filter(|_| self.ready.len() > LEAST)?].crash();
                replica
            }
            Fault::EntryGarbled => {
                let who = replica.filter(|_| self.ready.len() > LEAST)?;
                let key = format!("servers/{}", self.site.replicas[who].id);
                self.site.store.put_raw(&key, "no base64 !");
                Some(who)
            }
            Fault::FatalRequest => {
                self.send_fatal(Duration::from_millis(it.lasts));
                Some(0)
            }
            Fault::Link(link) => {
                self.strike(Struck::Replica(replica?), it);
                self.link(replica?, link.command());
                replica
            }
            Fault::StoreIs(mode) => {
                self.strike(Struck::Store, it);
                self.site.store.set(mode);
                Some(0)
            }
            Fault::StoreForgets => {
                self.strike(Struck::Store, it);
                self.site.store.discard_history();
                None
            }
            Fault::StoreRestored => {
                // Entries know a route that the copy has not.
                self.add_route();
                std::thread::sleep(KNOWN);
                let writes = WRITTEN_AGAIN.as_millis() as u64;
                self.strike(Struck::Store, &Planned { lasts: it.lasts + writes, ..*it });
                self.site.store.set(keys::Mode::Down);
                Some(0)
            }
            Fault::RouteAdded => {
                self.add_route();
                None
            }
        }
    }

    fn end(&mut self, it: &Planned, who: usize) {
        match it.fault {
            Fault::EntryKilled => self.add_entry(),
            Fault::EntryPaused => self.site.entries[who].resume(),
            Fault::EntryStopped => {
                self.wait_for_end(who);
                self.add_entry();
            }
            Fault::AgentKilled => {
                // A fault that overlaps may have started it again already.
                self.agents[who].kill();
                self.agents[who] = self.start_agent(who);
            }
            Fault::AgentPaused => self.agents[who].resume(),
            Fault::RankDeaf => self.group.set_unresponsive(None),
            Fault::ReplicaIs(_) | Fault::ReplicaSheds(_) => {
                self.site.replicas[who].set(replica::Mode::Good)
            }
            Fault::ReplicaLimits(_) => self.site.replicas[who].set_limit(None),
            Fault::ReplicaLeaves | Fault::ReplicaTells => {
                self.draining.retain(|it| *it != who);
                let id = self.site.replicas[who].id.clone();
                self.site.store.remove(&format!("servers/{id}"));
            }
            Fault::ReplicaReborn | Fault::FatalRequest => self.restart_replicas(),
            Fault::EntryGarbled => {
                // It may have ended or left meanwhile.
                if self.ready.contains(&who) {
                    self.site.list(&self.site.replicas[who], "ready");
                }
            }
            Fault::Link(_) => self.link(who, "pass"),
            Fault::StoreIs(_) => self.site.store.set(keys::Mode::Up),
            Fault::StoreRestored => self.restore(),
            Fault::EntryReloaded
            | Fault::ReplicaAdded
            | Fault::ReplicaVanishes
            | Fault::StoreForgets
            | Fault::RouteAdded => {}
        }
    }

    fn add_route(&mut self) {
        self.routes.push(clock::now());
        self.site.configure(&self.configuration());
        self.board.routes.store(self.routes.len() as u64, Ordering::Relaxed);
    }

    /// Restores the store from a copy. What it lost is written again a little later, and lines
    /// of replicas that are gone lapse.
    fn restore(&mut self) {
        let old = |it: &&(u64, keys::Backup)| clock::now() >= it.0 + COPY_AGE;
        let Some(copy) = self.copies.iter().rfind(old).or(self.copies.first()) else { return };
        self.era += 1;
        self.site.store.restore(&copy.1, self.era);
        self.site.store.set(keys::Mode::Up);
        std::thread::sleep(WRITTEN_AGAIN);
        self.site.configure(&self.configuration());
        self.list_ranks();
        for (who, it) in self.site.replicas.iter().enumerate() {
            if self.ready.contains(&who) {
                self.site.list(it, "ready");
            } else if self.draining.contains(&who) {
                self.site.list(it, "draining");
            } else if !self.site.replicas[who + 1..].iter().any(|later| later.id == it.id) {
                lapse(self.site.store.clone(), format!("servers/{}", it.id));
            }
        }
    }

    fn wait_for_end(&mut self, who: usize) {
        let until = Instant::now() + STOPS;
        while !self.site.entries[who].ended() {
            if Instant::now() >= until {
                self.stuck.push(who);
                self.site.entries[who].kill();
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn leave(&mut self, who: usize) {
        self.alive.retain(|it| *it != who);
        self.publish();
    }

    fn link(&self, who: usize, command: &str) {
        if self.site.replicas[who].crashed() {
            return;
        }
        client::control(&self.proxies[who].addr("control"), "POST", "/control", command);
    }

    fn strike(&mut self, what: Struck, it: &Planned) {
        let from = clock::now();
        self.strikes.push(Strike { what, from, until: from + it.lasts + soak::judge::AFTER });
    }
}

/// Removes a line once its lease is over, unless it is written meanwhile: a replica may start
/// anew under its id.
fn lapse(store: keys::Store, key: String) {
    let written = store.key_revision(&key);
    std::thread::spawn(move || {
        std::thread::sleep(LEASE);
        if store.key_revision(&key) == written {
            store.remove(&key);
        }
    });
}

/// Ends a replica's proxy with it, so that its address refuses connections as the
/// replica's own does.
fn end_with(replica: Replica, proxy: u32) {
    std::thread::spawn(move || {
        while !replica.crashed() {
            std::thread::sleep(WATCHED);
        }
        // The process may have ended already.
        let _ = signal::kill(Pid::from_raw(proxy as i32), Signal::SIGKILL);
    });
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for a group of engines that step together without a voting protocol. Each rank
//! serves its report, its expert counts and its orders at a loopback address of its own, on
//! threads of the test that starts it.
//!
//! Orders have the effects observed on the users' platform, which
//! `docs/design/0006-platform.md` describes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tiny_http::Request;

use crate::{http, site};

/// Duration of a step.
const STEP: Duration = Duration::from_millis(20);
/// Times per step that each rank chooses the hot expert; the others are chosen 1/20 as often.
const HOT_CHOICES_PER_STEP: u64 = 10_000;

/// Experts in the layer.
const EXPERTS: u64 = 8;
/// Expert slots per rank.
const SLOTS_PER_RANK: u64 = 4;
/// Maximum number of experts that a prepared map may add to a rank.
const SPARE_SLOTS: usize = 2;

/// Time after which an order that was left unanswered is carried out.
const LATE_TIME: Duration = Duration::from_secs(3);

/// Header field with the id of a call, which its answer repeats.
const ID_FIELD: &str = "x-request-id";

/// The id of a call; empty if it has none.
fn call_id(request: &Request) -> String {
    let field = request.headers().iter().find(|it| it.field.equiv(ID_FIELD));
    field.map_or(String::new(), |it| it.value.as_str().to_owned())
}

fn respond(request: Request, status: u16, body: &Value, id: &str) {
    let mut answer = http::answer_json(status, body);
    if let Some(field) = http::header(ID_FIELD, id) {
        answer.add_header(field);
    }
    // The caller may have closed the connection.
    let _ = request.respond(answer);
}

/// State of a rank.
#[derive(Clone, Debug, Default)]
struct Rank {
    /// Highest fence of an accepted order.
    fence: u64,
    /// Version of the map in use.
    version: u64,
    /// Experts that the map in use places on each rank; null for the first map.
    map: Value,
    /// Experts that the map in use places on the rank.
    experts: Vec<u64>,
    /// Highest version of an accepted order to prepare a map.
    highest: u64,
    /// The map that the rank prepares or has prepared.
    prepared: Option<Prepared>,
    /// Version of the map to switch to, and the step of the switch.
    armed: Option<(u64, u64)>,
    /// Step before which the rank stops.
    held: Option<u64>,
    /// Choices of each expert so far.
    counts: Vec<u64>,
    /// Its last report, and the id of the call that it answered.
    last_report: (Value, String),
}

/// A map that a rank prepares.
#[derive(Clone, Debug)]
struct Prepared {
    version: u64,
    /// Experts of each rank.
    map: Value,
    /// Experts of this rank.
    experts: Vec<u64>,
    /// Time at which the experts that are new to the rank have been copied.
    copied_at: Instant,
}

impl Prepared {
    fn is_copied(&self) -> bool {
        Instant::now() >= self.copied_at
    }
}

#[derive(Debug)]
struct State {
    epoch: u64,
    step: u64,
    ranks: Vec<Rank>,
    /// The expert that is chosen most.
    hot_expert: u64,
    /// Number of orders received.
    orders: u64,
    /// Rank that closes the connection on each order, without carrying it out.
    unresponsive: Option<usize>,
    /// Rank that leaves the next order to disarm unanswered.
    disarms_late: Option<usize>,
    /// Rank and process: the process is killed by the next order to hold a step.
    killed_on_hold: Option<(usize, u32)>,
    /// Time to copy one expert.
    copy_time: Duration,
    /// Processes that are killed as soon as a rank has accepted an order to prepare a map for which
    /// it has to copy experts.
    killed_on_prepare: Vec<u32>,
    /// Relative time that each rank takes for the same work; 1 is normal.
    paces: Vec<f64>,
    /// Steps at which the ranks used different maps.
    inconsistent_steps: Vec<u64>,
}

/// The group. It serves until the process ends; clones share its state.
#[derive(Clone, Debug)]
pub struct Group {
    /// Address that each rank listens on.
    pub addrs: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

/// Loopback address of rank `number`: 127.0.1.1 and following.
pub fn loopback(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, number as u8 + 1))
}

/// A new loopback address for a simulated machine. Its second and third part come from the
/// process id, so that no other process or test uses the address and a port found free there
/// stays free.
pub fn new_machine_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let part = |it: u32| (1 + it % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, part(process), part(process / 250), part(number)))
}

/// A port that is free at the first `addresses` loopback addresses.
pub fn free_port(addresses: usize) -> u16 {
    let addresses: Vec<IpAddr> = (0..addresses).map(loopback).collect();
    free_port_at(&addresses)
}

/// Ports below the range from which the kernel assigns ephemeral ports, so that a port is still
/// free when a process restarts with it.
const NON_EPHEMERAL_PORTS: RangeInclusive<u16> = 12_000..=32_000;

/// A port that is free at all of these addresses.
pub fn free_port_at(addresses: &[IpAddr]) -> u16 {
    loop {
        let port = rand::random_range(NON_EPHEMERAL_PORTS);
        if addresses.iter().all(|it| TcpListener::bind((*it, port)).is_ok()) {
            return port;
        }
    }
}

impl Group {
    /// Starts a group of `ranks` ranks, whose first map assigns experts round-robin.
    pub fn spawn(ranks: usize) -> Self {
        let assigned = |rank: u64| (0..EXPERTS).filter(|it| it % ranks as u64 == rank).collect();
        let initial = |rank: usize| Rank {
            experts: assigned(rank as u64),
            counts: vec![0; EXPERTS as usize],
            ..Rank::default()
        };
        let state = State {
            epoch: 1,
            step: 1,
            ranks: (0..ranks).map(initial).collect(),
            hot_expert: 0,
            orders: 0,
            unresponsive: None,
            disarms_late: None,
            killed_on_hold: None,
            copy_time: Duration::ZERO,
            killed_on_prepare: Vec::new(),
            paces: vec![1.0; ranks],
            inconsistent_steps: Vec::new(),
        };
        let mut group = Self { addrs: Vec::new(), state: Arc::new(Mutex::new(state)) };
        for rank in 0..ranks {
            let (server, addr) =
                http::bind((loopback(rank), 0).into()).expect("a rank can listen on a free port");
            group.addrs.push(addr);
            let serving = group.clone();
            std::thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    serving.answer(rank, request);
                }
            });
        }
        let stepping = group.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(STEP);
                stepping.step();
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the expert that is chosen most.
    pub fn set_hot_expert(&self, hot: u64) {
        self.lock().hot_expert = hot;
    }

    /// Makes a rank close the connection on each order without carrying it out; `None` ends this.
    pub fn set_unresponsive(&self, rank: Option<usize>) {
        self.lock().unresponsive = rank;
    }

    /// Makes a rank leave the next order that disarms it unanswered and carry it out after
    /// [`LATE_TIME`]. A second copy of the rank's last report arrives in the place of the answer.
    pub fn disarm_late(&self, rank: usize) {
        self.lock().disarms_late = Some(rank);
    }

    /// Whether the processes of [`Self::kill_on_prepare`] have been killed.
    pub fn killed_on_prepare(&self) -> bool {
        self.lock().killed_on_prepare.is_empty()
    }

    /// Whether the order of [`Self::disarm_late`] has arrived.
    pub fn disarmed_late(&self) -> bool {
        self.lock().disarms_late.is_none()
    }

    /// Kills a process as soon as a rank has carried out its next order to hold a step, before that
    /// is answered.
    pub fn kill_on_hold(&self, rank: usize, process: u32) {
        self.lock().killed_on_hold = Some((rank, process));
    }

    /// Sets the time that a rank takes to copy one expert.
    pub fn set_copy_time(&self, time: Duration) {
        self.lock().copy_time = time;
    }

    /// Kills processes as soon as a rank has accepted its next order to prepare a map for which it
    /// has to copy experts.
    pub fn kill_on_prepare(&self, processes: Vec<u32>) {
        self.lock().killed_on_prepare = processes;
    }

    /// Makes a rank report that it takes `pace` times as long for the same work.
    pub fn set_pace(&self, rank: usize, pace: f64) {
        self.lock().paces[rank] = pace;
    }

    /// Number of experts on a rank.
    pub fn expert_count(&self, rank: usize) -> usize {
        self.lock().ranks[rank].experts.len()
    }

    /// Version of the map that all ranks use; `None` while they differ.
    pub fn version(&self) -> Option<u64> {
        let state = self.lock();
        let first = state.ranks[0].version;
        state.ranks.iter().all(|it| it.version == first).then_some(first)
    }

    /// Number of ranks that have an expert.
    pub fn holders(&self, expert: u64) -> usize {
        self.lock().ranks.iter().filter(|it| it.experts.contains(&expert)).count()
    }

    /// The current step, and whether a hold order is in effect at a rank.
    pub fn progress(&self) -> (u64, bool) {
        let state = self.lock();
        (state.step, state.ranks.iter().any(|it| it.held.is_some()))
    }

    /// Steps at which the ranks used different maps.
    pub fn inconsistent_steps(&self) -> Vec<u64> {
        self.lock().inconsistent_steps.clone()
    }

    /// A configuration whose service is served by such a group.
    pub fn configuration(version: u64) -> Value {
        let mut configuration = site::configuration(version);
        configuration["services"][0]["engine"] = json!({
            "slots": 12, "kvCapacity": 1000, "step_ms": 5.0, "per_seq_ms": 0.3,
            "context_per_k": 0.03, "read_per_s": 60000.0, "chunk": 512, "stride": 5, "linkMbps": 8000.0,
            "sets": 1, "experts": EXPERTS, "places": SLOTS_PER_RANK, "spare": SPARE_SLOTS, "expert_mb": 10.0,
            "expert_share": 0.85, "form_ms": 100.0,
        });
        configuration
    }

    /// Entry of a rank's replica in the store, for the service `orders`.
    pub fn entry(&self, rank: usize) -> String {
        self.entry_of(rank, "orders")
    }

    /// Entry of a rank's replica in the store, for any service.
    pub fn entry_of(&self, rank: usize, service: &str) -> String {
        json!({
            "service": service, "address": self.addrs[rank].to_string(), "zone": "ba-1",
            "version": "v1", "slots": 12, "state": "ready", "coldRemainingMs": 0, "seq": 4,
        })
        .to_string()
    }

    /// Makes a step, unless a rank has a hold order for it. Armed maps come into use with their
    /// step.
    fn step(&self) {
        let mut state = self.lock();
        let next = state.step + 1;
        if state.ranks.iter().any(|it| it.held == Some(next)) {
            return;
        }
        state.step = next;
        let hot = state.hot_expert as usize;
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.filter(|it| it.1 <= next) {
                rank.armed = None;
                if let Some(prepared) = rank.prepared.take() {
                    rank.version = version;
                    rank.map = prepared.map;
                    rank.experts = prepared.experts;
                }
            }
            for (expert, count) in rank.counts.iter_mut().enumerate() {
                *count +=
                    if expert == hot { HOT_CHOICES_PER_STEP } else { HOT_CHOICES_PER_STEP / 20 };
            }
        }
        let first = &state.ranks[0];
        let differs = |it: &Rank| it.version != first.version || it.map != first.map;
        if state.ranks.iter().any(differs) {
            state.inconsistent_steps.push(next);
        }
    }

    fn answer(&self, rank: usize, mut request: Request) {
        let url = request.url().to_owned();
        let mut body = String::new();
        // An incomplete order is not valid JSON, so it has no epoch and is refused with 409.
        let _ = request.as_reader().read_to_string(&mut body);
        let id = call_id(&request);
        let (status, answer) = match url.as_str() {
            "/-/report" => {
                let report = self.report(rank);
                self.lock().ranks[rank].last_report = (report.clone(), id.clone());
                (200, report)
            }
            "/-/picked" => {
                let state = self.lock();
                let counts = &state.ranks[rank].counts;
                (200, json!({ "step": state.step, "epoch": state.epoch, "counts": counts }))
            }
            "/-/picked?lists=1" => {
                let state = self.lock();
                let own = &state.ranks[rank];
                let map = json!({ "version": own.version, "experts": [own.experts] });
                (200, json!({ "epoch": state.epoch, "map": map, "prepared": null }))
            }
            "/-/order" => {
                if self.lock().unresponsive == Some(rank) {
                    // The connection closes without an answer.
                    return;
                }
                let order = serde_json::from_str(&body).unwrap_or_default();
                if self.is_left_unanswered(rank, &order) {
                    self.disarm_after_a_while(rank, order);
                    let (report, earlier_id) = self.lock().ranks[rank].last_report.clone();
                    respond(request, 200, &report, &earlier_id);
                    return;
                }
                let status = self.order(rank, &order);
                self.kill_if_held(rank, &order);
                (status, json!({}))
            }
            _ => (404, json!({})),
        };
        respond(request, status, &answer, &id);
    }

    fn is_left_unanswered(&self, rank: usize, order: &Value) -> bool {
        let mut state = self.lock();
        let disarms = state.ranks[rank].armed.is_some() && order["op"] == "disarm";
        let is_left = state.disarms_late == Some(rank) && disarms;
        if is_left {
            state.disarms_late = None;
        }
        is_left
    }

    fn disarm_after_a_while(&self, rank: usize, order: Value) {
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LATE_TIME);
            group.order(rank, &order);
        });
    }

    fn kill_if_held(&self, rank: usize, order: &Value) {
        let mut state = self.lock();
        let is_held = state.ranks[rank].held.is_some() && order["op"] == "hold";
        if let Some((_, process)) = state.killed_on_hold.take_if(|it| it.0 == rank && is_held) {
            kill(process);
        }
    }

    fn report(&self, rank: usize) -> Value {
        let state = self.lock();
        let own = &state.ranks[rank];
        let armed = own.armed.map(|(version, step)| json!({ "version": version, "step": step }));
        json!({
            "queued": 0, "active": 1, "pace": state.paces[rank], "size": state.ranks.len(), "step": state.step,
            "group": { "name": "g", "epoch": state.epoch, "rank": rank, "state": "open" },
            "map": own.version, "armed": armed,
            "prepared": own.prepared.as_ref().filter(|it| it.is_copied()).map(|it| it.version),
            "held": own.held,
        })
    }

    /// Carries out an order; returns the HTTP status.
    fn order(&self, rank: usize, order: &Value) -> u16 {
        let mut state = self.lock();
        let (epoch, step, copy_time) = (state.epoch, state.step, state.copy_time);
        state.orders += 1;
        let own = &mut state.ranks[rank];
        let number = |name: &str| order[name].as_u64().unwrap_or(0);
        if number("epoch") != epoch {
            return 409;
        }
        if number("fence") < own.fence {
            return 412;
        }
        let (version, at) = (number("version"), number("step"));
        let mut kills = false;
        let accepted = match order["op"].as_str() {
            Some("prepare") => {
                let experts: Vec<u64> = order["map"][0][rank]
                    .as_array()
                    .map(|it| it.iter().filter_map(Value::as_u64).collect())
                    .unwrap_or_default();
                let new = experts.iter().filter(|expert| !own.experts.contains(expert)).count();
                let accepted = version > own.highest && own.armed.is_none() && new <= SPARE_SLOTS;
                if accepted {
                    own.highest = version;
                    let (map, copied_at) =
                        (order["map"].clone(), Instant::now() + copy_time * new as u32);
                    own.prepared = Some(Prepared { version, map, experts, copied_at });
                }
                kills = accepted && new > 0;
                accepted
            }
            Some("hold") => {
                let accepted = step < at && own.held.is_none_or(|held| held == at);
                own.held = if accepted { Some(at) } else { own.held };
                accepted
            }
            Some("arm") => {
                let is_prepared = |it: &Prepared| it.version == version && it.is_copied();
                let prepared = own.prepared.as_ref().is_some_and(is_prepared);
                let accepted = prepared && step < at && own.armed.is_none_or(|it| it.0 == version);
                own.armed = if accepted { Some((version, at)) } else { own.armed };
                accepted
            }
            Some("disarm") => {
                own.armed = own.armed.filter(|it| it.0 != version);
                own.version != version
            }
            Some("go") => {
                own.held = own.held.filter(|held| *held != at);
                true
            }
            _ => return 400,
        };
        if !accepted {
            return 409;
        }
        own.fence = own.fence.max(number("fence"));
        if kills {
            for process in state.killed_on_prepare.drain(..) {
                kill(process);
            }
        }
        200
    }
}

fn kill(process: u32) {
    // An error means that the process has exited already.
    let _ = signal::kill(Pid::from_raw(process as i32), Signal::SIGKILL);
}

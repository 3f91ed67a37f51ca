// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Stand-in for a group of engines that step together and keep no vote: each
//! rank serves its account, its counts and its orders at a loopback address of
//! its own, on threads of the test that starts it.
//!
//! What orders do was seen on the users' platform and is written down in
//! `docs/design/0006-platform.md`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::Request;

use crate::{http, site};

/// Time of a step.
const STEP: Duration = Duration::from_millis(20);
/// Choices of a step by each rank.
const CHOICES: u64 = 10_000;

/// Experts a layer, slots a rank and new experts a preparation.
const EXPERTS: u64 = 8;
const SLOTS: u64 = 4;
const SPARE: usize = 2;

#[derive(Clone, Debug, Default)]
struct Rank {
    fence: u64,
    version: u64,
    experts: Vec<u64>,
    prepared: Option<(u64, Vec<u64>)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
}

#[derive(Debug)]
struct State {
    epoch: u64,
    step: u64,
    ranks: Vec<Rank>,
    /// The expert that most requests choose.
    hot: u64,
    /// Orders taken.
    orders: u64,
    /// A rank leaves every order unanswered while this is set.
    deaf: Option<usize>,
    /// How long each rank takes for the same work.
    paces: Vec<f64>,
    /// Steps that began on two maps.
    broken: Vec<u64>,
}

/// The group. It serves until the process ends.
#[derive(Clone, Debug)]
pub struct Group {
    /// Where each rank serves.
    pub addrs: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

/// Address `number` of this machine's loopback.
pub fn loopback(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, number as u8 + 1))
}

/// An address of this machine's loopback that nothing else of this process or of
/// others uses, so that a port found free there stays free.
pub fn machine() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let part = |it: u32| (1 + it % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, part(process), part(process / 250), part(number)))
}

/// A port that is free at the first so many loopback addresses.
pub fn free_port(addresses: usize) -> u16 {
    let addresses: Vec<IpAddr> = (0..addresses).map(loopback).collect();
    free_port_at(&addresses)
}

/// Ports that the kernel gives to nobody who asks for any: a process that starts again at
/// its port finds it free.
const OWN_PORTS: RangeInclusive<u16> = 12_000..=32_000;

/// A port that is free at all of these addresses.
pub fn free_port_at(addresses: &[IpAddr]) -> u16 {
    loop {
        let port = rand::random_range(OWN_PORTS);
        if addresses.iter().all(|it| TcpListener::bind((*it, port)).is_ok()) {
            return port;
        }
    }
}

impl Group {
    /// Starts a group of so many ranks, whose first map deals experts out in turn.
    pub fn spawn(ranks: usize) -> Self {
        let dealt = |rank: u64| (0..EXPERTS).filter(|it| it % ranks as u64 == rank).collect();
        let fresh = |rank: usize| Rank {
            experts: dealt(rank as u64),
            counts: vec![0; EXPERTS as usize],
            ..Rank::default()
        };
        let state = State {
            epoch: 1,
            step: 1,
            ranks: (0..ranks).map(fresh).collect(),
            hot: 0,
            orders: 0,
            deaf: None,
            paces: vec![1.0; ranks],
            broken: Vec::new(),
        };
        let mut group = Self { addrs: Vec::new(), state: Arc::new(Mutex::new(state)) };
        for rank in 0..ranks {
            let (server, addr) = http::bind((loopback(rank), 0).into()).expect("it listens");
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

    /// Makes another expert the one that most requests choose.
    pub fn shift(&self, hot: u64) {
        self.lock().hot = hot;
    }

    /// Has a rank leave orders unanswered and not carry them out.
    pub fn deafen(&self, rank: Option<usize>) {
        self.lock().deaf = rank;
    }

    /// Has a rank take so many times as long for the same work.
    pub fn slow(&self, rank: usize, pace: f64) {
        self.lock().paces[rank] = pace;
    }

    /// How many experts a rank holds.
    pub fn held_by(&self, rank: usize) -> usize {
        self.lock().ranks[rank].experts.len()
    }

    /// Version in force at every rank; none while they differ.
    pub fn version(&self) -> Option<u64> {
        let state = self.lock();
        let first = state.ranks[0].version;
        state.ranks.iter().all(|it| it.version == first).then_some(first)
    }

    /// Ranks that hold an expert.
    pub fn holders(&self, expert: u64) -> usize {
        self.lock().ranks.iter().filter(|it| it.experts.contains(&expert)).count()
    }

    /// The last step begun, and whether a rank holds the next one.
    pub fn progress(&self) -> (u64, bool) {
        let state = self.lock();
        (state.step, state.ranks.iter().any(|it| it.held.is_some()))
    }

    /// Steps that began on two maps.
    pub fn broken(&self) -> Vec<u64> {
        self.lock().broken.clone()
    }

    /// A configuration whose service is this group.
    pub fn configuration(version: u64) -> Value {
        let mut it = site::configuration(version);
        it["services"][0]["engine"] = json!({
            "slots": 12, "kvCapacity": 1000, "step_ms": 5.0, "per_seq_ms": 0.3,
            "context_per_k": 0.03, "read_per_s": 60000.0, "chunk": 512, "stride": 5, "linkMbps": 8000.0,
            "sets": 1, "experts": EXPERTS, "places": SLOTS, "spare": SPARE, "expert_mb": 10.0,
            "expert_share": 0.85, "form_ms": 100.0,
        });
        it
    }

    /// What a rank's replica writes into the store.
    pub fn entry(&self, rank: usize) -> String {
        self.entry_of(rank, "orders")
    }

    /// The same, where the group serves this.
    pub fn entry_of(&self, rank: usize, service: &str) -> String {
        json!({
            "service": service, "address": self.addrs[rank].to_string(), "zone": "ba-1",
            "version": "v1", "slots": 12, "state": "ready", "coldRemainingMs": 0, "seq": 4,
        })
        .to_string()
    }

    fn step(&self) {
        let mut state = self.lock();
        let next = state.step + 1;
        if state.ranks.iter().any(|it| it.held == Some(next)) {
            return;
        }
        state.step = next;
        let hot = state.hot as usize;
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.filter(|it| it.1 <= next) {
                rank.armed = None;
                if let Some((_, experts)) = rank.prepared.take() {
                    rank.version = version;
                    rank.experts = experts;
                }
            }
            for (expert, count) in rank.counts.iter_mut().enumerate() {
                *count += if expert == hot { CHOICES } else { CHOICES / 20 };
            }
        }
        let first = state.ranks[0].version;
        if state.ranks.iter().any(|it| it.version != first) {
            state.broken.push(next);
        }
    }

    fn answer(&self, rank: usize, mut request: Request) {
        let url = request.url().to_owned();
        let mut body = String::new();
        // An order that breaks off is none.
        let _ = request.as_reader().read_to_string(&mut body);
        let (status, answer) = match url.as_str() {
            "/-/report" => (200, self.report(rank)),
            "/-/picked" => {
                let state = self.lock();
                let counts = &state.ranks[rank].counts;
                (200, json!({ "step": state.step, "epoch": state.epoch, "counts": counts }))
            }
            "/-/picked?lists=1" => {
                let state = self.lock();
                let it = &state.ranks[rank];
                let map = json!({ "version": it.version, "experts": [it.experts] });
                (200, json!({ "epoch": state.epoch, "map": map, "prepared": null }))
            }
            "/-/order" => {
                if self.lock().deaf == Some(rank) {
                    // The connection closes without an answer.
                    return;
                }
                let order = serde_json::from_str(&body).unwrap_or_default();
                (self.order(rank, &order), json!({}))
            }
            _ => (404, json!({})),
        };
        // The asker may be gone.
        let _ = request.respond(http::answer_json(status, &answer));
    }

    fn report(&self, rank: usize) -> Value {
        let state = self.lock();
        let it = &state.ranks[rank];
        let armed = it.armed.map(|(version, step)| json!({ "version": version, "step": step }));
        json!({
            "queued": 0, "active": 1, "pace": state.paces[rank], "size": state.ranks.len(), "step": state.step,
            "group": { "name": "g", "epoch": state.epoch, "rank": rank, "state": "open" },
            "map": it.version, "prepared": it.prepared.as_ref().map(|it| it.0), "armed": armed,
            "held": it.held,
        })
    }

    fn order(&self, rank: usize, order: &Value) -> u16 {
        let mut state = self.lock();
        let (epoch, step) = (state.epoch, state.step);
        state.orders += 1;
        let it = &mut state.ranks[rank];
        let number = |name: &str| order[name].as_u64().unwrap_or(0);
        if number("epoch") != epoch {
            return 409;
        }
        if number("fence") < it.fence {
            return 412;
        }
        let (version, at) = (number("version"), number("step"));
        let fits = match order["op"].as_str() {
            Some("prepare") => {
                let held = it.prepared.as_ref().map_or(0, |it| it.0).max(it.version);
                let experts: Vec<u64> = order["map"][0][rank]
                    .as_array()
                    .map(|it| it.iter().filter_map(Value::as_u64).collect())
                    .unwrap_or_default();
                let new = experts.iter().filter(|expert| !it.experts.contains(expert)).count();
                let fits = version > held && it.armed.is_none() && new <= SPARE;
                if fits {
                    it.prepared = Some((version, experts));
                }
                fits
            }
            Some("hold") => {
                let fits = step < at && it.held.is_none_or(|held| held == at);
                it.held = if fits { Some(at) } else { it.held };
                fits
            }
            Some("arm") => {
                let prepared = it.prepared.as_ref().is_some_and(|it| it.0 == version);
                let fits = prepared && step < at && it.armed.is_none_or(|it| it.0 == version);
                it.armed = if fits { Some((version, at)) } else { it.armed };
                fits
            }
            Some("disarm") => {
                it.armed = it.armed.filter(|it| it.0 != version);
                it.version != version
            }
            Some("go") => {
                it.held = it.held.filter(|held| *held != at);
                true
            }
            _ => return 400,
        };
        if !fits {
            return 409;
        }
        it.fence = it.fence.max(number("fence"));
        200
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A small site of the users' platform for tests: the stand-in store, stand-in replicas, and
//! entries that send requests directly to the replicas.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use sablepass_edge::clock;
use serde_json::{Value, json};

use crate::client::{Ask, wait_for};
use crate::keys::Store;
use crate::process::Process;
use crate::replica::Replica;

/// Host name of all routes.
pub const HOST: &str = "users.example";
/// API key of the customer.
pub const KEY: &str = "key-of-a-customer";
/// Name of the customer.
pub const CUSTOMER: &str = "bakery";

/// Number of sites of this process, for the names of their directories.
static SITES: AtomicUsize = AtomicUsize::new(0);

/// How often entries read the store and exchange digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// Short intervals, to keep tests short.
    #[default]
    Quick,
    /// The intervals of the users' platform.
    Platform,
}

impl Pace {
    fn settings(self) -> &'static str {
        match self {
            Self::Quick => "list_every = 20\ndigest_every = 100\npatience = 200\nwatch = 1000\n",
            Self::Platform => {
                "list_every = 400\npatience = 700\nwatch = 2000\nwatch_rest = 10000\n"
            }
        }
    }
}

/// A site. Its entries are killed when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// The stand-in store.
    pub store: Store,
    /// Replicas, in the order of their addition.
    pub replicas: Vec<Replica>,
    /// Entries, in the order of their addition.
    pub entries: Vec<Process>,
    /// Intervals of entries that are started later.
    pub pace: Pace,
    /// Additional lines of the section `[node]` of entries that are started later.
    pub node: String,
    /// Number of entries started, for their names.
    started: usize,
    dir: PathBuf,
}

impl Site {
    /// Starts the store and `replicas` replicas of one service, without an entry.
    pub fn open(replicas: usize) -> Self {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let name = format!("sablepass-site-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("the directory for settings can be created");
        let site = Self {
            store: Store::spawn(),
            replicas: Vec::new(),
            entries: Vec::new(),
            pace: Pace::default(),
            node: String::new(),
            started: 0,
            dir,
        };
        let mut site = site;
        for _ in 0..replicas {
            site.add_replica("orders");
        }
        site.configure(&configuration(1));
        site
    }

    /// Writes a configuration to the store; returns its revision.
    pub fn configure(&self, configuration: &Value) -> u64 {
        self.store.put("op/config", &configuration.to_string())
    }

    /// Starts a replica and lists it as ready; returns its index.
    pub fn add_replica(&mut self, service: &str) -> usize {
        self.add_replica_as(Replica::spawn(service))
    }

    /// Starts a replica in a data hall and lists it as ready; returns its index.
    pub fn add_replica_in(&mut self, hall: &str, service: &str) -> usize {
        self.add_replica_as(Replica::spawn(service).in_hall(hall))
    }

    fn add_replica_as(&mut self, replica: Replica) -> usize {
        self.list(&replica, "ready");
        self.replicas.push(replica);
        self.replicas.len() - 1
    }

    /// Writes the replica's entry to the store, with a state.
    pub fn list(&self, replica: &Replica, state: &str) {
        self.store.put(&format!("servers/{}", replica.id), &replica.entry(state));
    }

    /// Rewrites the items of these replicas at this interval, as ready, until the handle is
    /// dropped.
    pub fn renew_items(&self, replicas: &[Replica], interval: Duration) -> Renewal {
        let (store, replicas) = (self.store.clone(), replicas.to_vec());
        let stopped = Arc::new(AtomicBool::new(false));
        let renewal = Renewal { stopped: Arc::clone(&stopped) };
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for replica in &replicas {
                    store.put(&format!("servers/{}", replica.id), &replica.entry("ready"));
                }
                thread::sleep(interval);
            }
        });
        renewal
    }

    /// Writes the item that evacuates a data hall. Returns the time of the store's acknowledgement,
    /// in milliseconds since the Unix epoch.
    pub fn evacuate(&self, hall: &str) -> u64 {
        self.evacuate_with(hall, EvacuationItem::Object)
    }

    /// Like [`Self::evacuate`], with this content of the item.
    pub fn evacuate_with(&self, hall: &str, item: EvacuationItem) -> u64 {
        let key = evacuation_key(hall);
        match item {
            EvacuationItem::Object => self.store.put(&key, "{}"),
            EvacuationItem::Text(text) => self.store.put(&key, text),
            EvacuationItem::Raw(text) => self.store.put_raw(&key, text),
            EvacuationItem::NoValue => self.store.put_without_value(&key),
        };
        clock::now()
    }

    /// Removes the item that evacuates a data hall. Returns the time of the store's
    /// acknowledgement, in milliseconds since the Unix epoch.
    pub fn release(&self, hall: &str) -> u64 {
        self.store.remove(&evacuation_key(hall));
        clock::now()
    }

    /// Starts an entry with additional settings lines; returns its index. All earlier entries are
    /// its seeds, from which it reads when the store does not respond.
    pub fn add_entry(&mut self, more: &str) -> usize {
        self.add_entry_with_seeds(more, self.entries.len())
    }

    /// Like [`Self::add_entry`], with only the first `seeds` entries as seeds.
    pub fn add_entry_with_seeds(&mut self, more: &str, seeds: usize) -> usize {
        let seeds = self.entries.iter().take(seeds);
        let seeds: Vec<String> = seeds.map(|it| it.addr("peers")).collect();
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let text = format!(
            "http = \"127.0.0.1:0\"\ndialect = \"routes\"\npolicy = \"even\"\nretry_slack = 90\n{more}\n\
             [node]\nname = {name:?}\nhall = \"ba-1\"\nlisten = \"127.0.0.1:0\"\n\
             admin = \"127.0.0.1:0\"\nplatform = \"http://{}\"\nform = \"keys\"\nseeds = {seeds:?}\n{}{}",
            self.store.addr,
            self.pace.settings(),
            self.node
        );
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("the settings file can be written");
        let entry = Process::spawn("sablepass-entry", &["--config", &path.to_string_lossy()]);
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an agent for `target` that listens on `at`.
    pub fn add_agent(&self, at: SocketAddr, target: SocketAddr) -> Process {
        self.add_agent_with(at, target, ("heartbeat = 100", "digest_every = 100"))
    }

    /// Like [`Self::add_agent`], with these settings lines before the `[node]` table and in it.
    pub fn add_agent_with(
        &self,
        at: SocketAddr,
        target: SocketAddr,
        (more, node): (&str, &str),
    ) -> Process {
        let seeds: Vec<String> = self.entries.iter().map(|it| it.addr("peers")).collect();
        let name = format!("agent-{}", at.ip());
        let text = format!(
            "target = \"http://{target}\"\ngate = false\n{more}\n\
             [node]\nname = {name:?}\nhall = \"ba-1\"\nlisten = \"{at}\"\nadmin = \"{}:0\"\n\
             platform = \"http://{}\"\nform = \"keys\"\nseeds = {seeds:?}\n{node}\n",
            at.ip(),
            self.store.addr
        );
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("the settings file can be written");
        Process::spawn("sablepass-agent", &["--config", &path.to_string_lossy()])
    }

    /// Waits until every entry has a configuration and exactly `targets` usable targets.
    pub fn settle(&self, targets: usize) {
        for entry in &self.entries {
            wait_for("an entry to have a configuration and its targets", || {
                let status = status(&entry.addr("admin"));
                let usable = status["targets"].as_array().map_or(0, |it| {
                    it.iter().filter(|it| it["usable"].as_bool() == Some(true)).count()
                });
                usable == targets && status["revision"].as_u64() > Some(0)
            });
        }
    }

    /// Address at which an entry serves callers.
    pub fn http(&self, entry: usize) -> String {
        self.entries[entry].addr("http")
    }

    /// Status of an entry.
    pub fn status(&self, entry: usize) -> Value {
        status(&self.entries[entry].addr("admin"))
    }

    /// How often a request with this id was started, summed over all replicas.
    pub fn runs(&self, id: &str) -> usize {
        let all = self.replicas.iter().flat_map(Replica::runs);
        all.filter(|it| it.id == id).count()
    }
}

fn evacuation_key(hall: &str) -> String {
    format!("op/evacuate/{hall}")
}

/// Content of the item that evacuates a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationItem {
    /// An empty JSON object in base64.
    Object,
    /// A text in base64.
    Text(&'static str),
    /// A text that is not encoded.
    Raw(&'static str),
    /// The item has no value, and is not marked gone.
    NoValue,
}

/// Keeps rewriting the items of replicas until it is dropped.
#[derive(Debug)]
pub struct Renewal {
    stopped: Arc<AtomicBool>,
}

impl Drop for Renewal {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn status(admin: &str) -> Value {
    crate::client::control(admin, "GET", "/status", "")
}

impl Drop for Site {
    fn drop(&mut self) {
        // Settings that cannot be removed are left behind; nothing reads them again.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A request of the customer with a request id and a deadline of 5 s.
pub fn ask(method: &str, path: &str, id: &str, body: &str) -> Ask {
    let ask = Ask {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.to_owned(),
    };
    ask.with("host", HOST)
        .with("authorization", &format!("Bearer {KEY}"))
        .with("x-request-id", id)
        .with("x-deadline-ms", "5000")
}

/// A configuration with one route per route type (`streaming`, `safe`, `unsafe`), all to the
/// service `orders`.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": 3000, "targetLatencyMs": 100, "priority": 1, "maxAttempts": attempts,
            "service": "orders", "public": false, "streamResume": kind == "streaming",
            "gap_aim_ms": 120,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "streaming", 2), route("safe", "safe", 2), route("once", "unsafe", 2),
        ],
        "services": [
            { "name": "orders", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false },
        ],
        "limits": {
            "maxHeaderBytes": 4096, "maxBodyBytes": 100_000, "headerTimeoutMs": 1500,
            "idleTimeoutMs": 2000,
        },
        "tenants": [{ "name": CUSTOMER, "apiKeys": [KEY] }],
    })
}

/// Adds to a configuration that a cold target of its first service sustains `per_second` requests a
/// second, and that targets are cold for `start_s` seconds after an evacuation.
pub fn with_cold(mut configuration: Value, per_second: f64, start_s: f64) -> Value {
    configuration["services"][0]["coldPerS"] = per_second.into();
    configuration["services"][0]["coldStartS"] = start_s.into();
    configuration
}

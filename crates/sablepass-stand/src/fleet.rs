// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A small fleet: the platform stand-in, targets with agents, entries.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;

use crate::client::{self, control, wait_for};
use crate::process::Process;

/// Numbers the fleets of one test program, for their directories.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// Timers of the processes: short, so that tests are quick.
#[derive(Clone, Debug)]
pub struct Timers {
    /// Settings lines of the `[node]` table.
    pub node: String,
    /// Settings lines of an entry.
    pub entry: String,
    /// Settings lines of an agent.
    pub agent: String,
}

impl Default for Timers {
    fn default() -> Self {
        Self {
            node: "list_every = 100\ndigest_every = 100\npatience = 300\nwatch = 2000".to_owned(),
            entry: "silence = 1000\nstop_lead = 500\nstall = 2000\nprobe = 3000".to_owned(),
            agent: "heartbeat = 100\nhandover = 200\nkeep = 3000".to_owned(),
        }
    }
}

/// A target with its agent, and a proxy before each if asked for.
#[derive(Debug)]
pub struct Target {
    /// Qualified name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Where the engine or service serves: address, and path if it shares one.
    pub base: String,
    /// The engine or service; none if it belongs to a group.
    pub server: Option<Process>,
    /// Its agent.
    pub agent: Process,
    /// The proxy between entries and the agent.
    pub proxy: Option<Process>,
    config: PathBuf,
}

impl Target {
    /// The log of what it ran.
    pub fn runs(&self) -> Vec<serde_json::Value> {
        let (addr, path) = self.base.split_once('/').unwrap_or((&self.base, ""));
        let path = if path.is_empty() { String::new() } else { format!("/{path}") };
        let log = control(addr, "GET", &format!("{path}/control/runs"), "");
        log.as_array().cloned().unwrap_or_default()
    }

    /// Has its engine name what it takes a second; none if as many as come.
    pub fn name_limit(&self, a_second: Option<f64>) {
        let text = a_second.map_or("none".to_owned(), |it| it.to_string());
        control(&self.base, "POST", "/control/limit", &text);
    }

    /// When its engine turned requests away and asked for a rest.
    pub fn turned(&self) -> Vec<u64> {
        let turned = control(&self.base, "GET", "/control/turned", "");
        turned.as_array().into_iter().flatten().filter_map(serde_json::Value::as_u64).collect()
    }

    /// Commands the proxy between entries and the agent.
    pub fn fault(&self, command: &str) -> serde_json::Value {
        let proxy = self.proxy.as_ref().expect("the target was started with a proxy");
        control(&proxy.addr("control"), "POST", "/control", command)
    }

    /// The engine or service, where the target has one of its own.
    pub fn server(&mut self) -> &mut Process {
        self.server.as_mut().expect("the target has a server of its own")
    }

    /// Commands the engine.
    pub fn mode(&self, command: &str) {
        control(&self.base, "POST", "/control/mode", command);
    }

    /// Address at which the agent is listed.
    fn listed(&self) -> String {
        match &self.proxy {
            Some(it) => it.addr("listen"),
            None => self.agent.addr("peers"),
        }
    }
}

/// What a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serves {
    /// A model engine with this step in milliseconds.
    Model(u64),
    /// A plain service with this delay in milliseconds.
    Service(u64),
}

/// The fleet. Everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    dir: PathBuf,
    timers: Timers,
    /// The platform stand-in.
    pub platform: Process,
    /// Targets in the order they were added.
    pub targets: Vec<Target>,
    /// Entries in the order they were added, with their names.
    pub entries: Vec<(String, Process)>,
}

impl Fleet {
    /// Starts the platform.
    pub fn open(timers: Timers) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("sablepass-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let platform = Process::spawn("sablepass-stand", &["platform"]);
        Self { dir, timers, platform, targets: Vec::new(), entries: Vec::new() }
    }

    /// Base URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.addr("http"))
    }

    /// Publishes a document; its revision.
    pub fn publish(&self, key: &str, toml: &str) -> u64 {
        let path = format!("/v1/config/{key}");
        let answer = control(&self.platform.addr("http"), "PUT", &path, toml);
        answer["revision"].as_u64().expect("the platform takes documents")
    }

    /// Commands the platform.
    pub fn platform_mode(&self, mode: &str) {
        control(&self.platform.addr("http"), "POST", "/control/mode", mode);
    }

    /// Lists an instance.
    pub fn list(&self, name: &str, role: &str, hall: &str, addr: &str, leaving: bool) {
        let line = json!({ "role": role, "hall": hall, "addr": addr, "leaving": leaving });
        let path = format!("/v1/instances/{name}");
        control(&self.platform.addr("http"), "PUT", &path, &line.to_string());
    }

    /// Starts an entry that knows the first entry as a peer to ask.
    pub fn add_seeded_entry(&mut self, name: &str, hall: &str) -> usize {
        let seed = self.entries[0].1.addr("peers");
        let before = self.timers.node.clone();
        self.timers.node = format!("{before}\nseeds = [{seed:?}]");
        let index = self.add_entry(name, hall, "");
        self.timers.node = before;
        index
    }

    fn settings(&self, name: &str, hall: &str, rest: &str) -> PathBuf {
        let node = format!(
            "{rest}\n[node]\nname = {name:?}\nhall = {hall:?}\nlisten = \"127.0.0.1:0\"\n             admin = \"127.0.0.1:0\"\nplatform = {:?}\n{}\n",
            self.platform_url(),
            self.timers.node
        );
        let path = self.dir.join(format!("{}.toml", name.replace('/', "-")));
        std::fs::write(&path, node).expect("settings can be written");
        path
    }

    /// Starts a target with its agent and lists it.
    pub fn add_target(&mut self, name: &str, hall: &str, serves: Serves, proxied: bool) -> usize {
        let server = match serves {
            Serves::Model(step) => {
                Process::spawn("sablepass-stand", &["engine", "--step", &step.to_string()])
            }
            Serves::Service(delay) => {
                Process::spawn("sablepass-stand", &["service", "--delay", &delay.to_string()])
            }
        };
        let engine = matches!(serves, Serves::Model(_));
        let base = server.addr("http");
        self.add_agent(name, hall, &base, engine, Some(server), proxied)
    }

    /// Starts an agent for a target that serves at `base`, and lists it.
    fn add_agent(
        &mut self,
        name: &str,
        hall: &str,
        base: &str,
        engine: bool,
        server: Option<Process>,
        proxied: bool,
    ) -> usize {
        let rest = format!("target = \"http://{base}\"\nengine = {engine}\n{}", self.timers.agent);
        let config = self.settings(name, hall, &rest);
        let agent = Process::spawn("sablepass-agent", &["--config", &config.to_string_lossy()]);
        let proxy = proxied.then(|| {
            let to = agent.addr("peers");
            Process::spawn("sablepass-stand", &["proxy", "--to", &to])
        });
        let base = base.to_owned();
        let (name, hall) = (name.to_owned(), hall.to_owned());
        let target = Target { name, hall, base, server, agent, proxy, config };
        self.list(&target.name, "agent", &target.hall, &target.listed(), false);
        self.targets.push(target);
        self.targets.len() - 1
    }

    /// Kills a target's agent and starts a new one, listed anew. A proxy is not kept.
    pub fn restart_agent(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.agent.kill();
        target.agent =
            Process::spawn("sablepass-agent", &["--config", &target.config.to_string_lossy()]);
        target.proxy = None;
        let target = &self.targets[index];
        self.list(&target.name, "agent", &target.hall, &target.listed(), false);
    }

    /// Starts a group's engines, and an agent for each member `PARTNER/PREFIXn`.
    pub fn add_group(
        &mut self,
        prefix: &str,
        hall: &str,
        members: usize,
        args: &[&str],
    ) -> Process {
        let count = members.to_string();
        let mut all = vec!["group", "--members", &count];
        all.extend(args);
        let server = Process::spawn("sablepass-stand", &all);
        for index in 0..members {
            let base = format!("{}/member/{index}", server.addr("http"));
            self.add_agent(&format!("{prefix}{index}"), hall, &base, true, None, true);
        }
        server
    }

    /// Starts an entry and lists it.
    pub fn add_entry(&mut self, name: &str, hall: &str, more: &str) -> usize {
        let rest = format!("http = \"127.0.0.1:0\"\n{}\n{more}", self.timers.entry);
        let config = self.settings(name, hall, &rest);
        let entry = Process::spawn("sablepass-entry", &["--config", &config.to_string_lossy()]);
        self.list(name, "entry", hall, &entry.addr("peers"), false);
        self.entries.push((name.to_owned(), entry));
        self.entries.len() - 1
    }

    /// Where callers reach an entry.
    pub fn http(&self, entry: usize) -> String {
        self.entries[entry].1.addr("http")
    }

    /// An entry's admin address.
    pub fn admin(&self, entry: usize) -> String {
        self.entries[entry].1.addr("admin")
    }

    /// Waits until every entry can use so many targets at a revision or later.
    pub fn settle(&self, targets: usize, revision: u64) {
        for (name, entry) in &self.entries {
            let admin = entry.addr("admin");
            wait_for(&format!("{name} settles"), || {
                let status = control(&admin, "GET", "/status", "");
                let usable = status["targets"].as_array().map_or(0, |it| {
                    it.iter().filter(|it| it["usable"].as_bool() == Some(true)).count()
                });
                usable >= targets && status["revision"].as_u64() >= Some(revision)
            });
        }
        for target in &self.targets {
            let admin = target.agent.addr("admin");
            wait_for(&format!("{} settles", target.name), || {
                let status = control(&admin, "GET", "/status", "");
                status["revision"].as_u64() >= Some(revision)
            });
        }
    }

    /// A counter of an entry.
    pub fn entry_metric(&self, entry: usize, name: &str, label: &str) -> f64 {
        client::metric(&self.admin(entry), name, label)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Left-over settings do no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

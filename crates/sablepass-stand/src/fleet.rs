// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A small fleet of processes for tests and the demo: the stand-in platform, targets with their
//! agents, and entries.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;

use crate::client::{self, control, wait_for};
use crate::process::Process;

/// Number of fleets of this process, for the names of their directories.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// Settings lines of the processes. The default has short timers, to keep tests short.
#[derive(Clone, Debug)]
pub struct Timers {
    /// Settings lines of the `[node]` table.
    pub node: String,
    /// Settings lines of entries, before the `[node]` table.
    pub entry: String,
    /// Settings lines of agents, before the `[node]` table.
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

/// A target with its agent, and optionally a proxy in front of the agent.
#[derive(Debug)]
pub struct Target {
    /// Qualified name, `PARTNER/NAME`.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Base URL of the engine or service without the scheme: its address, and a path if it is
    /// a member of a group.
    pub base: String,
    /// The engine or service; `None` if it belongs to a group.
    pub server: Option<Process>,
    /// The agent of the target.
    pub agent: Process,
    /// The proxy between entries and the agent.
    pub proxy: Option<Process>,
    /// Settings file of the agent.
    config: PathBuf,
}

impl Target {
    /// Run log of the engine or service.
    pub fn runs(&self) -> Vec<serde_json::Value> {
        let (addr, path) = self.base.split_once('/').unwrap_or((&self.base, ""));
        let path = if path.is_empty() { String::new() } else { format!("/{path}") };
        let log = control(addr, "GET", &format!("{path}/control/runs"), "");
        log.as_array().cloned().unwrap_or_default()
    }

    /// Sets the limit that the engine announces, in requests per second; `None` for no limit.
    pub fn set_limit(&self, per_second: Option<f64>) {
        let text = per_second.map_or("none".to_owned(), |it| it.to_string());
        control(&self.base, "POST", "/control/limit", &text);
    }

    /// Times at which the engine refused requests in mode `rest`, in milliseconds since the Unix
    /// epoch.
    pub fn refusal_times(&self) -> Vec<u64> {
        let turned = control(&self.base, "GET", "/control/turned", "");
        turned.as_array().into_iter().flatten().filter_map(serde_json::Value::as_u64).collect()
    }

    /// Sends a command to the proxy between the entries and the agent; returns its status.
    pub fn fault(&self, command: &str) -> serde_json::Value {
        let proxy = self.proxy.as_ref().expect("the target was started without a proxy");
        control(&proxy.addr("control"), "POST", "/control", command)
    }

    /// The process of the engine or service; panics for a member of a group.
    pub fn server(&mut self) -> &mut Process {
        self.server
            .as_mut()
            .expect("the target is a member of a group and has no server process of its own")
    }

    /// Sets the mode of the engine.
    pub fn mode(&self, command: &str) {
        control(&self.base, "POST", "/control/mode", command);
    }

    /// Address of the agent in the instance list: that of the proxy if there is one.
    fn listed(&self) -> String {
        match &self.proxy {
            Some(it) => it.addr("listen"),
            None => self.agent.addr("peers"),
        }
    }
}

/// Kind of server behind a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serves {
    /// A model engine with this duration of a step, in milliseconds.
    Model(u64),
    /// A plain service with this duration of a call, in milliseconds.
    Service(u64),
}

/// A fleet. All processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    dir: PathBuf,
    timers: Timers,
    /// The stand-in platform.
    pub platform: Process,
    /// Targets, in the order of their addition.
    pub targets: Vec<Target>,
    /// Entries with their names, in the order of their addition.
    pub entries: Vec<(String, Process)>,
}

impl Fleet {
    /// Starts the stand-in platform, without targets and entries.
    pub fn open(timers: Timers) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("sablepass-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("the directory for settings can be created");
        let platform = Process::spawn("sablepass-stand", &["platform"]);
        Self { dir, timers, platform, targets: Vec::new(), entries: Vec::new() }
    }

    /// Base URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.addr("http"))
    }

    /// Publishes a configuration document; returns its revision.
    pub fn publish(&self, key: &str, toml: &str) -> u64 {
        let path = format!("/v1/config/{key}");
        let answer = control(&self.platform.addr("http"), "PUT", &path, toml);
        answer["revision"].as_u64().expect("the platform returns a revision for the document")
    }

    /// Sets the mode of the platform.
    pub fn platform_mode(&self, mode: &str) {
        control(&self.platform.addr("http"), "POST", "/control/mode", mode);
    }

    /// Adds or replaces an instance in the instance list.
    pub fn list(&self, name: &str, role: &str, hall: &str, addr: &str, leaving: bool) {
        let line = json!({ "role": role, "hall": hall, "addr": addr, "leaving": leaving });
        let path = format!("/v1/instances/{name}");
        control(&self.platform.addr("http"), "PUT", &path, &line.to_string());
    }

    /// Starts an entry with the first entry as its seed; returns its index.
    pub fn add_seeded_entry(&mut self, name: &str, hall: &str) -> usize {
        let seed = self.entries[0].1.addr("peers");
        let original = self.timers.node.clone();
        self.timers.node = format!("{original}\nseeds = [{seed:?}]");
        let index = self.add_entry(name, hall, "");
        self.timers.node = original;
        index
    }

    /// Writes a settings file: `top_level` lines, then the `[node]` table.
    fn settings(&self, name: &str, hall: &str, top_level: &str) -> PathBuf {
        let text = format!(
            "{top_level}\n[node]\nname = {name:?}\nhall = {hall:?}\nlisten = \"127.0.0.1:0\"\n             admin = \"127.0.0.1:0\"\nplatform = {:?}\n{}\n",
            self.platform_url(),
            self.timers.node
        );
        let path = self.dir.join(format!("{}.toml", name.replace('/', "-")));
        std::fs::write(&path, text).expect("the settings file can be written");
        path
    }

    /// Starts a target with its agent, and with a proxy if `proxied`, and lists it; returns its
    /// index.
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

    /// Starts an agent for a plain service that the caller runs at `base`, and lists it; returns the
    /// target's index.
    pub fn add_service_at(&mut self, name: &str, hall: &str, base: &str) -> usize {
        self.add_agent(name, hall, base, false, None, false)
    }

    /// Starts an agent for a target that serves at `base`, and lists it; returns the target's
    /// index.
    fn add_agent(
        &mut self,
        name: &str,
        hall: &str,
        base: &str,
        engine: bool,
        server: Option<Process>,
        proxied: bool,
    ) -> usize {
        let top_level =
            format!("target = \"http://{base}\"\nengine = {engine}\n{}", self.timers.agent);
        let config = self.settings(name, hall, &top_level);
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

    /// Kills the agent of a target, starts a new one without a proxy, and lists its address.
    pub fn restart_agent(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.agent.kill();
        target.agent =
            Process::spawn("sablepass-agent", &["--config", &target.config.to_string_lossy()]);
        target.proxy = None;
        let target = &self.targets[index];
        self.list(&target.name, "agent", &target.hall, &target.listed(), false);
    }

    /// Starts the stand-in of a group, and for each member n a proxied agent with the name
    /// `{prefix}n`. `args` are additional arguments of the stand-in.
    pub fn add_group(
        &mut self,
        prefix: &str,
        hall: &str,
        members: usize,
        args: &[&str],
    ) -> Process {
        let count = members.to_string();
        let mut arguments = vec!["group", "--members", &count];
        arguments.extend(args);
        let server = Process::spawn("sablepass-stand", &arguments);
        for index in 0..members {
            let base = format!("{}/member/{index}", server.addr("http"));
            self.add_agent(&format!("{prefix}{index}"), hall, &base, true, None, true);
        }
        server
    }

    /// Starts an entry with additional settings lines, and lists it; returns its index.
    pub fn add_entry(&mut self, name: &str, hall: &str, more: &str) -> usize {
        let top_level = format!("http = \"127.0.0.1:0\"\n{}\n{more}", self.timers.entry);
        let config = self.settings(name, hall, &top_level);
        let entry = Process::spawn("sablepass-entry", &["--config", &config.to_string_lossy()]);
        self.list(name, "entry", hall, &entry.addr("peers"), false);
        self.entries.push((name.to_owned(), entry));
        self.entries.len() - 1
    }

    /// Address at which an entry serves callers.
    pub fn http(&self, entry: usize) -> String {
        self.entries[entry].1.addr("http")
    }

    /// Admin address of an entry.
    pub fn admin(&self, entry: usize) -> String {
        self.entries[entry].1.addr("admin")
    }

    /// Waits until every entry has at least `targets` usable targets, and all entries and agents
    /// have `revision` or a later one.
    pub fn settle(&self, targets: usize, revision: u64) {
        for (name, entry) in &self.entries {
            let admin = entry.addr("admin");
            wait_for(&format!("{name} to have its configuration and targets"), || {
                let status = control(&admin, "GET", "/status", "");
                let usable = status["targets"].as_array().map_or(0, |it| {
                    it.iter().filter(|it| it["usable"].as_bool() == Some(true)).count()
                });
                usable >= targets && status["revision"].as_u64() >= Some(revision)
            });
        }
        for target in &self.targets {
            let admin = target.agent.addr("admin");
            wait_for(&format!("{} to have its configuration", target.name), || {
                let status = control(&admin, "GET", "/status", "");
                status["revision"].as_u64() >= Some(revision)
            });
        }
    }

    /// Value of a metric of an entry, summed over labels that contain `label`.
    pub fn entry_metric(&self, entry: usize, name: &str, label: &str) -> f64 {
        client::metric(&self.admin(entry), name, label)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Settings that cannot be removed are left behind; nothing reads them again.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

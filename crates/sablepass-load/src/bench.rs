// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Starts the fleets that the subcommands measure, and reads the resource usage of processes from
//! `/proc`.

use std::time::Instant;

use sablepass_stand::fleet::{Fleet, Serves, Timers};

/// Unit of the processor times in `/proc/PID/stat`: `USER_HZ`, which is 100 on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Timers as in production, except for a short interval between reads of the instance list, with
/// which a fleet starts faster.
pub fn timers() -> Timers {
    Timers {
        node: "list_every = 500\ndigest_every = 1000\npatience = 3000\nwatch = 20000".to_owned(),
        entry: "silence = 3000".to_owned(),
        agent: "limit = 2000".to_owned(),
    }
}

/// Returns the API key of the customer `name`.
pub fn key(name: &str) -> String {
    format!("tatranska:key-of-{name}")
}

/// Returns declarations of customers, given as names and shares.
pub fn customers(customers: &[(&str, u32)]) -> String {
    let declaration = |(name, share): &(&str, u32)| {
        let key = key(name);
        format!(
            "[[customer]]\nname = {name:?}\nkey = {key:?}\nshare = {share}\npriority = \"urgent\"\nstreams = 5000\n"
        )
    };
    customers.iter().map(declaration).collect()
}

/// Returns declarations of `count` engines that serve the model `triage`.
pub fn targets(prefix: &str, count: usize, capacity: u32) -> String {
    let declaration = |index: usize| {
        format!(
            "[[target]]\nname = \"{prefix}{index}\"\nserves = \"triage\"\nhall = \"ba-1\"\ncapacity = {capacity}\n"
        )
    };
    (0..count).map(declaration).collect()
}

/// Starts engines with their agents, and entries, and waits until every entry can use
/// all targets of `document`. `steps` has the step time of each engine in milliseconds.
pub fn fleet(document: &str, steps: &[u64], entries: usize, entry_settings: &str) -> Fleet {
    let mut fleet = Fleet::open(timers());
    let revision = fleet.publish("tatranska/main.toml", document);
    for (index, step) in steps.iter().enumerate() {
        fleet.add_target(&format!("tatranska/t{index}"), "ba-1", Serves::Model(*step), false);
    }
    for index in 0..entries {
        fleet.add_entry(&format!("entry-{index}"), "ba-1", entry_settings);
    }
    fleet.settle(steps.len(), revision);
    fleet
}

/// Resource usage of a process at one time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    at: Instant,
    /// Processor time since the process started, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MiB.
    pub memory: f64,
    /// Number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the current usage of a process. A value that cannot be read is 0.
    pub fn of(pid: u32) -> Self {
        let read =
            |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let stat = read("stat");
        // The command name in parentheses may contain spaces, so fields are split after it. Index 0
        // is the state; 11 and 12 are the user and system time.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field =
            |index: usize| fields.get(index).and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
        let status = read("status");
        let value = |name: &str| {
            let line = status.lines().find(|it| it.starts_with(name)).unwrap_or("");
            let number = line.split_whitespace().nth(1);
            number.and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0)
        };
        Self {
            at: Instant::now(),
            cpu_seconds: (field(11) + field(12)) / CLOCK_TICKS_PER_SECOND,
            memory: value("VmRSS:") / 1_024.0,
            threads: value("Threads:") as u64,
        }
    }

    /// Average number of cores that the process used since an earlier reading.
    pub fn cores_since(&self, earlier: &Self) -> f64 {
        (self.cpu_seconds - earlier.cpu_seconds) / self.at.duration_since(earlier.at).as_secs_f64()
    }
}

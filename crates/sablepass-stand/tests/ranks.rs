// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert maps on the users' platform: real agents beside the ranks of a
//! stand-in group. The judge is the group: no step begins on two maps.

use std::net::{SocketAddr, TcpListener};

use sablepass_stand::client::{self, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::ranks::{self, Group};
use sablepass_stand::site::Site;
use serde_json::Value;

/// Ranks of the group.
const RANKS: usize = 4;

struct Fleet {
    site: Site,
    group: Group,
    agents: Vec<Process>,
    port: u16,
}

/// A group with an agent beside each rank. The list is there before the agents
/// and the configuration comes after them, or the other way round.
fn fleet(list_first: bool) -> Fleet {
    let site = Site::open(0);
    let group = Group::spawn(RANKS);
    let port = ranks::free_port(RANKS);
    let mut fleet = Fleet { site, group, agents: Vec::new(), port };
    let list = |it: &Fleet| {
        for rank in 0..RANKS {
            it.site.store.put(&format!("servers/i-{rank}"), &it.group.entry(rank));
        }
    };
    let configure = |it: &Fleet| {
        it.site.configure(&Group::configuration(2));
    };
    if list_first {
        list(&fleet)
    } else {
        configure(&fleet)
    }
    fleet.site.add_entry(&format!("agent_port = {port}"));
    for rank in 0..RANKS {
        fleet.start_agent(rank);
    }
    if list_first {
        for it in &fleet.agents {
            wait_for("an agent has the list", || {
                let status = client::control(&it.addr("admin"), "GET", "/status", "");
                status["instances"].as_u64() > Some(0)
            });
        }
    } else {
        // Agents are told by entries, which find them by the list.
        wait_for("the entry has the configuration", || {
            fleet.site.status(0)["revision"].as_u64() > Some(1)
        });
    }
    if list_first {
        configure(&fleet)
    } else {
        list(&fleet)
    }
    fleet
}

impl Fleet {
    fn start_agent(&mut self, rank: usize) {
        let at = SocketAddr::new(ranks::loopback(rank), self.port);
        let agent = self.site.add_agent(at, self.group.addrs[rank]);
        if rank < self.agents.len() {
            self.agents[rank] = agent;
        } else {
            self.agents.push(agent);
        }
    }

    /// Waits for a map that spreads an expert over most ranks.
    fn wait_for_spread(&self, expert: u64) {
        let what = format!("expert {expert} is spread");
        wait_for(&what, || self.group.holders(expert) >= 3 && self.group.version().is_some());
    }

    fn check(&self) {
        assert_eq!(self.group.inconsistent_steps(), Vec::<u64>::new(), "steps began on two maps");
    }
}

#[test]
fn verify_maps_follow_demand() {
    for list_first in [true, false] {
        let fleet = fleet(list_first);
        fleet.wait_for_spread(0);
        let before = fleet.group.version();
        fleet.group.set_hot_expert(5);
        fleet.wait_for_spread(5);
        assert!(fleet.group.version() > before);
        fleet.check();
    }
}

#[test]
fn verify_agent_killed_while_maps_change() {
    let mut fleet = fleet(true);
    for round in 0..6 {
        fleet.group.set_hot_expert(round % 8);
        let rank = (round as usize) % RANKS;
        let busy = |it: &Fleet| it.group.progress().1;
        wait_for("a switch is under way or done", || {
            busy(&fleet) || fleet.group.holders(round % 8) >= 3
        });
        fleet.agents[rank].kill();
        fleet.start_agent(rank);
        let (step, _) = fleet.group.progress();
        wait_for("the group goes on", || fleet.group.progress().0 > step + 5);
        fleet.check();
    }
    fleet.group.set_hot_expert(7);
    fleet.wait_for_spread(7);
    fleet.check();
}

#[test]
fn verify_agent_paused_while_maps_change() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    for round in 1..4 {
        fleet.group.set_hot_expert(round);
        fleet.agents[round as usize].pause();
        let (step, _) = fleet.group.progress();
        // The group makes its steps, or stands at one that is held.
        wait_for("steps or a hold", || {
            let (now, held) = fleet.group.progress();
            held || now > step + 20
        });
        fleet.agents[round as usize].resume();
        fleet.wait_for_spread(round);
        fleet.check();
    }
}

#[test]
fn verify_rank_that_takes_no_orders_delays_only() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    fleet.group.set_unresponsive(Some(2));
    fleet.group.set_hot_expert(4);
    let (step, _) = fleet.group.progress();
    wait_for("the group goes on", || fleet.group.progress().0 > step + 50);
    fleet.check();
    fleet.group.set_unresponsive(None);
    fleet.wait_for_spread(4);
    fleet.check();
}

#[test]
fn verify_work_leaves_a_slow_rank() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    let before = fleet.group.expert_count(1);
    fleet.group.set_pace(1, 8.0);
    wait_for("the slow rank holds fewer experts", || {
        fleet.group.expert_count(1) < before && fleet.group.version().is_some()
    });
    fleet.check();
}

/// Entries of the fleet that has no seeds.
const ENTRIES: usize = 5;

/// Entries share the places of a group and the budget of retries. They find each
/// other by seeds only; where these are gone, the agents know how many there are.
#[test]
fn verify_entries_count_each_other_by_the_agents_word() {
    let mut fleet = fleet(true);
    let port = format!("agent_port = {}", fleet.port);
    for _ in 1..ENTRIES {
        fleet.site.add_entry_with_seeds(&port, 0);
    }
    let counts = |it: &Fleet, entries: std::ops::Range<usize>, all: usize| {
        entries
            .into_iter()
            .all(|entry| it.site.status(entry)["entries"].as_u64() == Some(all as u64))
    };
    wait_for("all entries are counted", || counts(&fleet, 0..ENTRIES, ENTRIES));
    // All are killed at once and start anew.
    for it in 0..ENTRIES {
        fleet.site.entries[it].kill();
    }
    for _ in 0..ENTRIES {
        fleet.site.add_entry_with_seeds(&port, 0);
    }
    wait_for("all are counted again", || counts(&fleet, ENTRIES..2 * ENTRIES, ENTRIES));
    fleet.site.entries[ENTRIES].kill();
    wait_for("the one that is gone is not", || {
        counts(&fleet, ENTRIES + 1..2 * ENTRIES, ENTRIES - 1)
    });
}

/// Routes of a large configuration, and how often it is published.
const ROUTES: usize = 1_000;
const STORM: u64 = 5;
/// Bytes of a configuration that may reach an agent; one of these is hundreds
/// of thousands.
const SPARED: f64 = 10_000.0;

#[test]
fn verify_large_configurations_spare_the_agents() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    let mut revision = 0;
    for version in 0..STORM {
        let mut it = Group::configuration(3 + version);
        let routes = it["routes"].as_array_mut().expect("routes");
        let model = routes[0].clone();
        routes.extend((0..ROUTES).map(|number| {
            let mut route = model.clone();
            route["name"] = format!("route-{number}").into();
            route["pathPrefix"] = format!("/route-{number}/").into();
            route
        }));
        revision = fleet.site.configure(&it);
    }
    wait_for("the last one is in force", || {
        fleet.site.status(0)["revision"].as_u64() >= Some(revision)
    });
    fleet.group.set_hot_expert(5);
    fleet.wait_for_spread(5);
    for it in &fleet.agents {
        let bytes = |kind: &str| {
            let label = format!("direction=\"in\",kind=\"{kind}\"");
            client::metric(&it.addr("admin"), "sablepass_link_bytes_total", &label)
        };
        let (deltas, bounds) = (bytes("delta"), bytes("bounds"));
        assert!(bounds > 0.0, "an agent is told what it needs");
        assert!(deltas + bounds < SPARED, "{deltas} and {bounds} bytes reached an agent");
    }
    fleet.check();
}

/// Configurations of a store that was restored from a copy have lower revisions than those
/// that agents were told before.
#[test]
fn verify_agents_are_told_bounds_of_a_restored_store() {
    let fleet = fleet(true);
    let copy = fleet.site.store.backup();
    for version in 3..6 {
        fleet.site.configure(&Group::configuration(version));
    }
    wait_for("the last one is in force", || {
        fleet.site.status(0)["documents"][0]["version"].as_u64() == Some(5)
    });
    fleet.site.store.restore(&copy, 2);
    let mut next = Group::configuration(6);
    next["services"][0]["engine"]["expert_mb"] = 20.0.into();
    fleet.site.configure(&next);
    for it in &fleet.agents {
        let told = |line: &Value| line["event"] == "bounds of maps" && line["era"] == 2;
        wait_for("an agent is told", || it.log().iter().any(told));
    }
    fleet.group.set_hot_expert(5);
    fleet.wait_for_spread(5);
    fleet.check();
}

/// An agent that is started again at its port must find it free. Seen: it ended before it was
/// ready, while others asked for any port at its address.
#[test]
fn verify_ports_of_agents_are_given_to_nobody_else() {
    let port = ranks::free_port(RANKS);
    let address = ranks::loopback(0);
    let others: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind((address, 0)).expect("a port is free")).collect();
    let taken = |it: &TcpListener| it.local_addr().expect("it has an address").port() == port;
    assert!(!others.iter().any(taken), "port {port} was given to another");
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = range.ok().and_then(|it| it.split_whitespace().next()?.parse::<u16>().ok());
    assert!(first.is_none_or(|first| port < first), "port {port} may be given to any");
}

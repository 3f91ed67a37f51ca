// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Expert maps on the users' platform, with real agents beside the ranks of a stand-in group. The
//! group records its steps; the tests check that none started with two maps.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use sablepass_stand::client::{self, wait_for};
use sablepass_stand::process::Process;
use sablepass_stand::ranks::{self, Group};
use sablepass_stand::site::Site;
use serde_json::Value;

/// Ranks of the group.
const RANKS: usize = 4;

/// A group with an agent at each rank, and a site with one entry.
struct Fleet {
    site: Site,
    group: Group,
    agents: Vec<Process>,
    /// Port of every agent, each at its rank's loopback address.
    port: u16,
}

/// Starts a group with an agent beside each rank. With `list_first`, the instance list is written
/// before the agents start and the configuration afterwards; otherwise the other way round.
fn fleet(list_first: bool) -> Fleet {
    let site = Site::open(0);
    let group = Group::spawn(RANKS);
    let port = ranks::free_port(RANKS);
    let mut fleet = Fleet { site, group, agents: Vec::new(), port };
    let list = |fleet: &Fleet| {
        for rank in 0..RANKS {
            fleet.site.store.put(&format!("servers/i-{rank}"), &fleet.group.entry(rank));
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
        for agent in &fleet.agents {
            wait_for("an agent has the instance list", || {
                let status = client::control(&agent.addr("admin"), "GET", "/status", "");
                status["instances"].as_u64() > Some(0)
            });
        }
    } else {
        // Agents get the configuration from the entries, which find them by the instance list.
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
    /// Starts or restarts the agent of a rank.
    fn start_agent(&mut self, rank: usize) {
        let addr = SocketAddr::new(ranks::loopback(rank), self.port);
        let agent = self.site.add_agent(addr, self.group.addrs[rank]);
        if rank < self.agents.len() {
            self.agents[rank] = agent;
        } else {
            self.agents.push(agent);
        }
    }

    /// Waits until all ranks have the same map and it places an expert at three ranks or more.
    fn wait_for_spread(&self, expert: u64) {
        let what = format!("expert {expert} is spread");
        wait_for(&what, || self.group.holders(expert) >= 3 && self.group.version().is_some());
    }

    /// Asserts that no step started with two maps.
    fn check_steps(&self) {
        assert_eq!(
            self.group.inconsistent_steps(),
            Vec::<u64>::new(),
            "steps started with two maps"
        );
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
        fleet.check_steps();
    }
}

#[test]
fn verify_agent_killed_while_maps_change() {
    let mut fleet = fleet(true);
    for round in 0..6 {
        fleet.group.set_hot_expert(round % 8);
        let rank = (round as usize) % RANKS;
        let switching = |it: &Fleet| it.group.progress().1;
        wait_for("a switch is in progress or done", || {
            switching(&fleet) || fleet.group.holders(round % 8) >= 3
        });
        fleet.agents[rank].kill();
        fleet.start_agent(rank);
        let (step, _) = fleet.group.progress();
        wait_for("the group runs further steps", || fleet.group.progress().0 > step + 5);
        fleet.check_steps();
    }
    fleet.group.set_hot_expert(7);
    fleet.wait_for_spread(7);
    fleet.check_steps();
}

#[test]
fn verify_agent_paused_while_maps_change() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    for round in 1..4 {
        fleet.group.set_hot_expert(round);
        fleet.agents[round as usize].pause();
        let (step, _) = fleet.group.progress();
        // The group runs steps, or is stalled because a rank holds the next one.
        wait_for("the group runs further steps or a step is held", || {
            let (now, held) = fleet.group.progress();
            held || now > step + 20
        });
        fleet.agents[round as usize].resume();
        fleet.wait_for_spread(round);
        fleet.check_steps();
    }
}

#[test]
fn verify_rank_that_ignores_orders_only_delays_switches() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    fleet.group.set_unresponsive(Some(2));
    fleet.group.set_hot_expert(4);
    let (step, _) = fleet.group.progress();
    wait_for("the group runs further steps", || fleet.group.progress().0 > step + 50);
    fleet.check_steps();
    fleet.group.set_unresponsive(None);
    fleet.wait_for_spread(4);
    fleet.check_steps();
}

#[test]
fn verify_experts_move_away_from_a_slow_rank() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    let held_before = fleet.group.expert_count(1);
    fleet.group.set_pace(1, 8.0);
    wait_for("the slow rank holds fewer experts", || {
        fleet.group.expert_count(1) < held_before && fleet.group.version().is_some()
    });
    fleet.check_steps();
}

/// Number of entries in the test without seeds.
const ENTRIES: usize = 5;

/// Entries share a group's capacity and the retry budget, so each must know their number. They
/// discover each other by seeds only; without seeds, they get the number from the agents.
#[test]
fn verify_entries_without_seeds_get_their_number_from_agents() {
    let mut fleet = fleet(true);
    let port = format!("agent_port = {}", fleet.port);
    for _ in 1..ENTRIES {
        fleet.site.add_entry_with_seeds(&port, 0);
    }
    let all_report = |fleet: &Fleet, entries: std::ops::Range<usize>, count: usize| {
        entries
            .into_iter()
            .all(|entry| fleet.site.status(entry)["entries"].as_u64() == Some(count as u64))
    };
    wait_for("every entry counts all entries", || all_report(&fleet, 0..ENTRIES, ENTRIES));
    // All entries are killed at once and replaced by new ones.
    for entry in 0..ENTRIES {
        fleet.site.entries[entry].kill();
    }
    for _ in 0..ENTRIES {
        fleet.site.add_entry_with_seeds(&port, 0);
    }
    wait_for("every new entry counts the new entries", || {
        all_report(&fleet, ENTRIES..2 * ENTRIES, ENTRIES)
    });
    fleet.site.entries[ENTRIES].kill();
    wait_for("the killed entry is no longer counted", || {
        all_report(&fleet, ENTRIES + 1..2 * ENTRIES, ENTRIES - 1)
    });
}

/// Number of routes added to the large configuration.
const ROUTES: usize = 1_000;
/// Number of versions published of the large configuration.
const VERSIONS: u64 = 5;
/// Upper limit of configuration bytes that reach an agent. A single large configuration has
/// hundreds of thousands.
const MAX_AGENT_BYTES: f64 = 10_000.0;

#[test]
fn verify_large_configurations_are_not_sent_to_agents() {
    let fleet = fleet(true);
    fleet.wait_for_spread(0);
    let mut revision = 0;
    for version in 0..VERSIONS {
        let mut configuration = Group::configuration(3 + version);
        let routes = configuration["routes"].as_array_mut().expect("routes");
        let template = routes[0].clone();
        routes.extend((0..ROUTES).map(|number| {
            let mut route = template.clone();
            route["name"] = format!("route-{number}").into();
            route["pathPrefix"] = format!("/route-{number}/").into();
            route
        }));
        revision = fleet.site.configure(&configuration);
    }
    wait_for("the last configuration is in force", || {
        fleet.site.status(0)["revision"].as_u64() >= Some(revision)
    });
    fleet.group.set_hot_expert(5);
    fleet.wait_for_spread(5);
    for agent in &fleet.agents {
        let bytes = |kind: &str| {
            let label = format!("direction=\"in\",kind=\"{kind}\"");
            client::metric(&agent.addr("admin"), "sablepass_link_bytes_total", &label)
        };
        let (deltas, bounds) = (bytes("delta"), bytes("bounds"));
        assert!(bounds > 0.0, "an agent must receive the bounds of maps");
        assert!(
            deltas + bounds < MAX_AGENT_BYTES,
            "an agent received {deltas} bytes of deltas and {bounds} bytes of bounds"
        );
    }
    fleet.check_steps();
}

/// Guards against agents that take a surplus answer to an earlier call for the answer to an order:
/// a step began on two maps, since a rank counted as disarmed that was still armed.
#[test]
fn verify_no_step_on_two_maps_if_a_surplus_answer_takes_the_place_of_another() {
    let mut fleet = fleet(true);
    fleet.wait_for_spread(0);
    fleet.group.disarm_late(1);
    fleet.group.kill_on_hold(2, fleet.agents[2].id());
    fleet.group.set_hot_expert(5);
    wait_for("the agent of rank 2 is killed", || fleet.agents[2].ended());
    thread::sleep(Duration::from_secs(1));
    fleet.start_agent(2);
    wait_for("rank 1 leaves an order unanswered", || fleet.group.disarmed_late());
    wait_for("the maps are switched", || {
        let spread = fleet.group.holders(5) >= 3 && fleet.group.version().is_some();
        spread || !fleet.group.inconsistent_steps().is_empty()
    });
    fleet.check_steps();
}

/// Rounds of the test in which all agents are killed. Each makes two experts hot that were not before.
const KILLS: u64 = 3;

/// Guards against a map that is prepared by an order of agents that were lost, and is taken for
/// another map of the same version: a step began on two maps.
#[test]
fn verify_no_step_on_two_maps_if_all_agents_are_killed_while_ranks_copy_a_map() {
    let mut fleet = fleet(true);
    fleet.wait_for_spread(0);
    fleet.group.set_copy_time(Duration::from_millis(900));
    for round in 1..=KILLS {
        fleet.group.kill_on_prepare(fleet.agents.iter().map(Process::id).collect());
        fleet.group.set_hot_expert(round);
        wait_for("all agents are killed", || {
            fleet.group.killed_on_prepare() && fleet.agents.iter_mut().all(Process::ended)
        });
        // The next planner proposes a map that differs from the one that some ranks are copying.
        fleet.group.set_hot_expert(round + 3);
        for rank in 0..RANKS {
            fleet.start_agent(rank);
        }
        fleet.wait_for_spread(round + 3);
        fleet.check_steps();
    }
}

/// After a restore of the store from a backup, configurations have lower revisions than those that
/// agents received before. Agents must accept them, since the store's era is newer.
#[test]
fn verify_agents_accept_map_bounds_of_a_restored_store() {
    let fleet = fleet(true);
    let backup = fleet.site.store.backup();
    for version in 3..6 {
        fleet.site.configure(&Group::configuration(version));
    }
    wait_for("the last configuration is in force", || {
        fleet.site.status(0)["documents"][0]["version"].as_u64() == Some(5)
    });
    fleet.site.store.restore(&backup, 2);
    let mut next = Group::configuration(6);
    next["services"][0]["engine"]["expert_mb"] = 20.0.into();
    fleet.site.configure(&next);
    for agent in &fleet.agents {
        let received = |line: &Value| line["event"] == "bounds of maps" && line["era"] == 2;
        wait_for("an agent logs the bounds of the new era", || agent.log().iter().any(received));
    }
    fleet.group.set_hot_expert(5);
    fleet.wait_for_spread(5);
    fleet.check_steps();
}

/// A restarted agent must find its port free. If the port were in the range from which the system
/// assigns ports, another process that binds any free port at the agent's address could take it,
/// and the agent would exit before it is ready.
#[test]
fn verify_ports_of_agents_are_not_assigned_to_other_sockets() {
    let port = ranks::free_port(RANKS);
    let address = ranks::loopback(0);
    let listeners: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind((address, 0)).expect("a port is free")).collect();
    let taken = |it: &TcpListener| it.local_addr().expect("bound address").port() == port;
    assert!(!listeners.iter().any(taken), "port {port} was assigned to another socket");
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first_ephemeral =
        range.ok().and_then(|it| it.split_whitespace().next()?.parse::<u16>().ok());
    assert!(
        first_ephemeral.is_none_or(|first| port < first),
        "port {port} is in the ephemeral range"
    );
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A [`Site`] for tests in which each replica has a loopback address of its own, as on a
//! separate machine, and an agent beside it.

use std::net::{IpAddr, SocketAddr};

use crate::client::{metric, wait_for};
use crate::process::Process;
use crate::ranks;
use crate::replica::{self, Replica};
use crate::site::Site;

/// A site with its agents. All processes are killed when it is dropped.
#[derive(Debug)]
pub struct SiteWithAgents {
    /// The site; it has one entry at first.
    pub site: Site,
    /// Agents, one for each replica and in the same order.
    pub agents: Vec<Process>,
    /// Additional settings lines of entries: the port of the agents.
    pub more: String,
}

impl SiteWithAgents {
    /// Starts `machines` replicas with their agents, and an entry; returns when the entry has
    /// received the reports of all agents.
    pub fn spawn(machines: usize) -> Self {
        Self::spawn_in(&vec![replica::DEFAULT_HALL; machines])
    }

    /// Like [`Self::spawn`], with one replica in each of these data halls.
    pub fn spawn_in(halls: &[&str]) -> Self {
        Self::spawn_with(Site::open(0), halls, "")
    }

    /// Like [`Self::spawn_in`], in a site without processes, with additional settings lines of
    /// entries.
    pub fn spawn_with(mut site: Site, halls: &[&str], more: &str) -> Self {
        let machines: Vec<IpAddr> = halls.iter().map(|_| ranks::new_machine_address()).collect();
        for (machine, hall) in machines.iter().zip(halls) {
            let replica = Replica::spawn_at("orders", *machine).in_hall(hall);
            site.list(&replica, "ready");
            site.replicas.push(replica);
        }
        let port = ranks::free_port_at(&machines);
        site.configure(&ranks::Group::configuration(2));
        let more = format!("agent_port = {port}\n{more}");
        let mut started = Self { site, agents: Vec::new(), more };
        let entry = started.site.add_entry(&started.more);
        let addrs: Vec<SocketAddr> = started.site.replicas.iter().map(|it| it.addr).collect();
        let start_agent =
            |target: SocketAddr| started.site.add_agent(SocketAddr::new(target.ip(), port), target);
        started.agents = addrs.into_iter().map(start_agent).collect();
        started.site.settle(machines.len());
        started.wait_for_agents(entry);
        started
    }

    /// Waits until an entry has received, on average, more than three reports of each agent.
    pub fn wait_for_agents(&self, entry: usize) {
        let admin = self.site.entries[entry].addr("admin");
        let reports = 3.0 * self.agents.len() as f64;
        wait_for("reports of all agents", || {
            metric(&admin, "sablepass_link_messages_total", "kind=\"report\"") > reports
        });
    }
}

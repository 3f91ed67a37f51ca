// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A site whose targets have machines of their own, with an agent on each.

use std::net::{IpAddr, SocketAddr};

use crate::client::{metric, wait_for};
use crate::process::Process;
use crate::ranks;
use crate::replica::Replica;
use crate::site::Site;

/// The site with its agents, which end when it is dropped.
#[derive(Debug)]
pub struct Beside {
    /// The site, with one entry.
    pub site: Site,
    /// An agent for each replica.
    pub agents: Vec<Process>,
    /// What entries have in their settings besides.
    pub more: String,
}

impl Beside {
    /// Starts so many machines, and an entry that has heard all their agents.
    pub fn spawn(machines: usize) -> Self {
        let mut site = Site::open(0);
        let machines: Vec<IpAddr> = (0..machines).map(|_| ranks::machine()).collect();
        for machine in &machines {
            let replica = Replica::spawn_at("orders", *machine);
            site.list(&replica, "ready");
            site.replicas.push(replica);
        }
        let port = ranks::free_port_at(&machines);
        site.configure(&ranks::Group::configuration(2));
        let more = format!("agent_port = {port}");
        let mut it = Self { site, agents: Vec::new(), more };
        let entry = it.site.add_entry(&it.more);
        let addrs: Vec<SocketAddr> = it.site.replicas.iter().map(|it| it.addr).collect();
        let beside = |at: SocketAddr| it.site.add_agent(SocketAddr::new(at.ip(), port), at);
        it.agents = addrs.into_iter().map(beside).collect();
        it.site.settle(machines.len());
        it.wait_for_agents(entry);
        it
    }

    /// Waits until an entry has heard all agents.
    pub fn wait_for_agents(&self, entry: usize) {
        let admin = self.site.entries[entry].addr("admin");
        let most = 3.0 * self.agents.len() as f64;
        wait_for("all agents tell", || {
            metric(&admin, "sablepass_link_messages_total", "kind=\"report\"") > most
        });
    }
}

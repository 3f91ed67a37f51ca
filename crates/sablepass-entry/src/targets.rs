// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Table of the targets that this entry can send requests to, with their liveness, load, limits and
//! groups. The router updates it and asks it to choose a target.
//!
//! A declared target is reached through its agent. A target of the instance list is reached
//! directly; its agent, if it has one, only reports the load.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use rand::rngs::StdRng;
use sablepass_core::balance::{self, Candidate, Chooser};
use sablepass_core::catalogue::Catalogue;
use sablepass_core::cold::{Bound, ColdTargets};
use sablepass_core::declaration::Kind;
use sablepass_core::forming::Forming;
use sablepass_core::gate;
use sablepass_core::holders::Holders;
use sablepass_core::id::{Incarnation, Millis, TargetIncarnation};
use sablepass_core::membership::{Members, Pace, Report};
use sablepass_core::notices::Notices;
use sablepass_core::once::Key;
use sablepass_core::rendezvous;
use sablepass_core::scope::Scope;
use sablepass_core::sharers::Sharers;
use sablepass_edge::instance::Instance;
use sablepass_edge::mesh::{PeerKey, RequiredPeer};

use crate::targets::eligibility::Demand;
use crate::targets::evacuation::Evacuations;

/// How long a connection that was opened to reach the owner of a key is kept.
const OWNER_LINK_RETENTION: Millis = 60_000;

/// Number of agents that store each record of a blocked request: two machines may be lost at once.
const SUSPECT_REPLICAS: usize = 3;

/// Key by which targets are looked up: their kind, and the qualified name of their model or
/// service.
pub type Served = (Kind, String);

mod cold;
pub(crate) mod eligibility;
pub(crate) mod evacuation;
mod groups;
pub(crate) mod limits;
pub(crate) mod listing;
mod notices;
mod shares;
mod watch;

/// Settings of the target table.
#[derive(Clone, Debug)]
pub struct Options {
    /// This entry's name.
    pub me: String,
    /// This entry's data hall.
    pub hall: String,
    /// Number of targets of a model or service that this entry uses.
    pub subset: usize,
    /// Time before the planned stop of a target from which it is not chosen.
    pub stop_lead: Millis,
    /// Time without a heartbeat after which a target is not chosen.
    pub silence: Millis,
    /// Time for which a group stalls before it gives up a lost rank.
    pub group_stall: Millis,
    /// Time within which the last request reaches a target that leaves.
    pub drain: Millis,
    /// Port of the agents on the machines of listed targets; none if there are no such agents.
    pub agent_port: Option<u16>,
    /// Whether evacuations apply to listed targets, since the platform's store declares them.
    pub evacuates_listed: bool,
    /// Region of each data hall.
    pub regions: BTreeMap<String, String>,
    /// Bound on the requests that all entries together send a cold target in a second; none if cold
    /// targets are not limited.
    pub cold: Option<Bound>,
}

/// Path by which a target is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// Through its agent: the connection, and the agent's incarnation.
    Agent(PeerKey, Incarnation),
    /// Directly: its address, and the start time of its incarnation.
    Direct(SocketAddr, Millis),
}

/// State of a target that the instance list no longer contains.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// Since when the list does not contain the target.
    since: Millis,
    /// When the target counts as gone and gets no more work.
    gone_at: Millis,
}

/// A target of the instance list.
#[derive(Clone, Debug)]
struct Listed {
    instance: Instance,
    /// Set while the list does not contain the target.
    missing: Option<Missing>,
    /// Whether another target answered at its address.
    misdirected: bool,
}

/// A target chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Qualified name.
    pub name: String,
    /// Path by which it is reached.
    pub via: Via,
    /// Load relative to capacity when it was chosen.
    pub load: f64,
    /// Number of candidates it was chosen from.
    pub candidates: usize,
    /// Whether the request needs no further turn under the target's limit: the turn is reserved
    /// already, or the target's agent enforces the limit.
    pub reserved: bool,
}

/// Table of targets.
pub struct Targets {
    options: Options,
    catalogue: Rc<Catalogue>,
    /// Names of all targets of each model or service.
    serving: HashMap<Served, Vec<String>>,
    /// Names of the targets of each model or service that this entry uses.
    subsets: HashMap<Served, Vec<String>>,
    evacuations: Evacuations,
    members: Members,
    /// Connections to the agents of declared targets, by target.
    links: HashMap<String, PeerKey>,
    /// Declared targets by the connection to their agent.
    names: HashMap<PeerKey, String>,
    /// Owners of keys to which a connection is required, with the end of that requirement.
    wanted_owners: BTreeMap<String, Millis>,
    /// Instances that the list marks as leaving.
    listed_leaving: Vec<String>,
    /// Notices that targets announced to this entry or its peers.
    notices: Notices,
    /// Targets that are cold.
    cold: ColdTargets,
    /// Targets of the instance list, which are reached directly, by name.
    listed: BTreeMap<String, Listed>,
    /// Listed targets whose address belongs to a later one: the list contains a target that died
    /// until its lease expires, and its successor may start at the same address.
    replaced: BTreeSet<String>,
    /// When the first instance list that was not empty was received.
    first_list_at: Option<Millis>,
    /// State of the groups of each service whose targets are ranks, by group id.
    groups: HashMap<Served, BTreeMap<u32, Forming>>,
    /// Services that may have a closed group: a target refused work before its agent had reported.
    suspected_closed: BTreeSet<String>,
    /// IP addresses of the agents of listed targets, by connection.
    listed_agents: HashMap<PeerKey, IpAddr>,
    /// When the reports of all agents were last evaluated.
    evaluated_at: Millis,
    /// Targets whose machine counts as unresponsive.
    unresponsive: BTreeSet<String>,
    /// Unresponsive targets, and targets whose group is stalled: they get no work while there are
    /// others.
    avoided: BTreeSet<String>,
    counts: watch::Counts,
    /// Groups, by service, that lost a rank and have not noticed yet. Requests sent to their other
    /// ranks do not run, and are refused once the group notices.
    broken_groups: BTreeSet<(String, u32)>,
    /// Number of entries known from connections to them, this one included.
    connected_entries: usize,
    /// Number of entries in the instance list.
    listed_entries: usize,
    /// Era of the instance list.
    era: u64,
    sharers: Sharers,
    /// Entries that hold the limits that targets announce.
    holders: Holders,
    chooser: Chooser,
}

impl Targets {
    /// Creates an empty table.
    pub fn open(options: Options, policy: balance::Policy) -> Self {
        Self {
            members: Members::open(options.silence),
            catalogue: Rc::default(),
            serving: HashMap::new(),
            subsets: HashMap::new(),
            evacuations: Evacuations::default(),
            links: HashMap::new(),
            names: HashMap::new(),
            wanted_owners: BTreeMap::new(),
            listed_leaving: Vec::new(),
            notices: Notices::default(),
            cold: ColdTargets::default(),
            listed: BTreeMap::new(),
            replaced: BTreeSet::new(),
            first_list_at: None,
            groups: HashMap::new(),
            suspected_closed: BTreeSet::new(),
            listed_agents: HashMap::new(),
            evaluated_at: 0,
            unresponsive: BTreeSet::new(),
            avoided: BTreeSet::new(),
            counts: watch::Counts::default(),
            broken_groups: BTreeSet::new(),
            connected_entries: 1,
            listed_entries: 0,
            era: 0,
            sharers: Sharers::open(options.agent_port.is_some()),
            holders: Holders::open(&options.me),
            chooser: Chooser::open(policy),
            options,
        }
    }

    /// The declarations in force.
    pub fn catalogue(&self) -> &Rc<Catalogue> {
        &self.catalogue
    }

    /// Last known state of the targets and their agents.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Replaces the declarations. Returns the evacuations that began or ended with that, and the
    /// targets that were released.
    pub fn set_catalogue(&mut self, now: Millis, catalogue: Rc<Catalogue>) -> evacuation::Changes {
        self.catalogue = catalogue;
        let changes = self.update_evacuations(now);
        self.rebuild_index();
        changes
    }

    /// The processes to connect to: agents of the declared targets in use, and agents of listed
    /// targets that have an engine.
    pub fn wanted_peers(&mut self, now: Millis) -> Vec<RequiredPeer> {
        self.wanted_owners.retain(|_, until| *until > now);
        let declared = self.subsets.values().flatten().chain(self.wanted_owners.keys());
        let declared = declared.filter(|it| self.catalogue.targets.contains_key(*it));
        let mut wanted: Vec<RequiredPeer> = declared.cloned().map(RequiredPeer::Named).collect();
        let engine = |it: &&Listed| {
            let service = self.catalogue.services.get(&it.instance.serves);
            service.is_some_and(|it| it.engine.is_some())
        };
        let beside = |port| {
            let ips = self.listed.values().filter(engine).map(|it| it.instance.addr.ip());
            let ips: BTreeSet<IpAddr> = ips.collect();
            ips.into_iter().map(move |ip| RequiredPeer::At(SocketAddr::new(ip, port)))
        };
        wanted.extend(self.options.agent_port.map(beside).into_iter().flatten());
        wanted
    }

    /// Resolves the name in a request of a customer of `partner`: the partner's own model or
    /// service takes precedence over a qualified name.
    pub fn resolve(&self, partner: &str, kind: Kind, serves: &str) -> Option<Served> {
        let own = (kind, format!("{partner}/{serves}"));
        if self.serving.contains_key(&own) {
            return Some(own);
        }
        let given = (kind, serves.to_owned());
        self.serving.contains_key(&given).then_some(given)
    }

    /// Connections to the agents of listed targets.
    pub fn listed_agents(&self) -> impl Iterator<Item = PeerKey> {
        self.listed_agents.keys().copied()
    }

    /// Records a connection to an agent of listed targets. Returns false if the endpoint is not
    /// an address, or no such agents are configured.
    pub fn listed_agent_connected(&mut self, peer: PeerKey, endpoint: &str) -> bool {
        let addr: Option<SocketAddr> = endpoint.parse().ok();
        let Some(addr) = addr.filter(|_| self.options.agent_port.is_some()) else {
            return false;
        };
        self.listed_agents.insert(peer, addr.ip());
        true
    }

    /// Records the heartbeat of an agent of listed targets. Returns the targets that have become
    /// severely degraded; none if the connection is not to such an agent.
    pub fn record_listed_heartbeat(
        &mut self,
        now: Millis,
        peer: PeerKey,
        report: Report,
    ) -> Option<Vec<String>> {
        let ip = self.listed_agents.get(&peer)?;
        let there = self.listed.iter().filter(|it| it.1.instance.addr.ip() == *ip);
        let mut began = Vec::new();
        let mut changed = false;
        for (name, _) in there {
            let before = self.members.get(name).map(|it| it.report);
            self.members.record_heartbeat(now, name, report);
            if report.pace == Pace::Crawling && before.map(|it| it.pace) != Some(Pace::Crawling) {
                began.push(name.clone());
            }
            changed |= before.is_some_and(|it| it.refuses != report.refuses);
        }
        if changed {
            self.update_broken_groups(now);
        }
        Some(began)
    }

    /// Listed targets on the machine of an agent.
    pub fn targets_of_agent(&self, peer: PeerKey) -> Vec<String> {
        let Some(ip) = self.listed_agents.get(&peer) else { return Vec::new() };
        let there = self.listed.iter().filter(|it| it.1.instance.addr.ip() == *ip);
        there.map(|it| it.0.clone()).collect()
    }

    /// The agents that store the record `key` for entries that restart. All entries choose the same
    /// ones among the agents that they are connected to.
    pub fn replica_agents(&self, key: &str) -> Vec<PeerKey> {
        let beside = self.listed_agents.iter().map(|(peer, ip)| (ip.to_string(), *peer));
        let linked = self.links.iter().map(|(name, peer)| (name.clone(), *peer));
        let agents: BTreeMap<String, PeerKey> = beside.chain(linked).collect();
        let ranked = rendezvous::rank(key, agents.keys().map(String::as_str));
        ranked.iter().take(SUSPECT_REPLICAS).filter_map(|it| agents.get(*it).copied()).collect()
    }

    /// Records a connection to the agent of a declared target.
    pub fn agent_connected(
        &mut self,
        now: Millis,
        peer: PeerKey,
        name: &str,
        incarnation: Incarnation,
    ) {
        self.members.connected(now, name, incarnation);
        self.links.insert(name.to_owned(), peer);
        self.names.insert(peer, name.to_owned());
    }

    /// Records the end of a connection. Returns the declared target whose agent it led to, if any.
    pub fn agent_disconnected(&mut self, peer: PeerKey) -> Option<String> {
        if let Some(ip) = self.listed_agents.remove(&peer) {
            let there = self.listed.iter().filter(|it| it.1.instance.addr.ip() == ip);
            there.for_each(|it| self.members.agent_disconnected(it.0));
        }
        let name = self.names.remove(&peer)?;
        self.links.remove(&name);
        self.members.disconnected(&name);
        Some(name)
    }

    /// The declared target whose agent a connection leads to.
    pub fn target_name(&self, peer: PeerKey) -> Option<&str> {
        self.names.get(&peer).map(String::as_str)
    }

    /// The connection to the agent of a declared target.
    pub fn link(&self, name: &str) -> Option<PeerKey> {
        self.links.get(name).copied()
    }

    /// Records the heartbeat of a declared target's agent.
    pub fn record_heartbeat(&mut self, now: Millis, name: &str, report: Report) {
        self.members.record_heartbeat(now, name, report);
    }

    /// Records that an agent announced that it is leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        self.members.mark_leaving(name);
    }

    /// Records that a target refused its agent's connection.
    pub fn refused_connection(&mut self, name: &str) {
        self.members.refused_connection(name);
    }

    /// Records the load that a target reported: running and queued requests.
    pub fn record_load(&mut self, now: Millis, name: &str, requests: u32) {
        self.members.record_load(now, name, requests);
    }

    /// Backs a target off until `until`.
    pub fn back_off(&mut self, name: &str, until: Millis) {
        self.members.back_off(name, until);
    }

    /// Records that another target answered at the address of this one, which is backed off until
    /// `until`.
    pub fn record_misdirected(&mut self, name: &str, until: Millis) {
        self.back_off(name, until);
        if let Some(listed) = self.listed.get_mut(name) {
            listed.misdirected = true;
            self.update_replaced();
        }
    }

    /// Records that a target completed a request successfully.
    pub fn record_success(&mut self, name: &str) {
        self.members.record_success(name);
    }

    /// Records that a target failed a request. After several consecutive failures the target is
    /// backed off, unless half of the targets of its service are backed off already, evacuated ones
    /// left out. Returns the back-off time, if it is backed off.
    pub fn record_failure(&mut self, now: Millis, name: &str) -> Option<Millis> {
        let back_off = self.members.record_failure(name)?;
        let serves = self.listed.get(name)?.instance.serves.clone();
        let names = self.serving.get(&(Kind::Service, serves))?;
        let backed_off = |it: &&String| {
            let member = self.members.get(it);
            member.is_some_and(|it| now < it.backed_off_until)
        };
        let names: Vec<&String> = self.without_evacuated(names).collect();
        if names.iter().copied().filter(backed_off).count() * 2 >= names.len() {
            return None;
        }
        self.back_off(name, now + back_off);
        Some(back_off)
    }

    /// Records that a request was sent to a target.
    pub fn sent(&mut self, name: &str) {
        self.members.sent(name);
    }

    /// Records that a request sent to a target ended.
    pub fn ended(&mut self, name: &str) {
        self.members.ended(name);
    }

    /// When a target last responded; 0 if it is unknown.
    pub fn last_alive(&self, name: &str) -> Millis {
        self.members.get(name).map_or(0, |it| it.last_alive)
    }

    /// Connections to agents of declared targets that have sent no heartbeat for too long.
    pub fn silent_agents(&self, now: Millis) -> Vec<PeerKey> {
        let heartbeat_at = |name: &str| self.members.get(name).map_or(0, |it| it.heartbeat_at);
        let silent = |name: &str| now.saturating_sub(heartbeat_at(name)) >= self.options.silence;
        self.names.iter().filter(|(_, name)| silent(name)).map(|(peer, _)| *peer).collect()
    }

    /// When the back-off of a target ends, regardless of the notices that it announced; none if it
    /// may not get new work for another reason.
    fn available_at(&self, now: Millis, name: &str) -> Option<Millis> {
        let stop = self.catalogue.stops.get(name);
        let stopping = stop.is_some_and(|at| now + self.options.stop_lead >= *at);
        let leaving = self.listed_leaving.iter().any(|it| it == name);
        let reached = self.links.contains_key(name) || self.listed.contains_key(name);
        let replaced = self.replaced.contains(name);
        let closed = self.may_be_closed(now, name) || self.is_in_broken_group(name);
        let eligible = reached && !replaced && !stopping && !leaving && !closed;
        self.members
            .usable_after_back_off(now, name)
            .filter(|_| eligible)
            .map(|it| it.backed_off_until)
    }

    fn candidate<'a>(&self, now: Millis, name: &'a str) -> Option<Candidate<'a>> {
        let member = self.members.usable(now, name)?;
        let (hall, capacity) = match self.listed.get(name) {
            Some(listed) => (&listed.instance.hall, listed.instance.capacity),
            None => {
                let declared = self.catalogue.targets.get(name)?;
                (&declared.resource.hall, declared.resource.capacity)
            }
        };
        Some(Candidate {
            name,
            same_hall: *hall == self.options.hall,
            capacity,
            own: member.own,
            others: member.others,
            slow: member.report.pace != Pace::Sound,
        })
    }

    /// Chooses a target for a request. Targets in `tried` are excluded while there are others.
    pub fn choose(
        &mut self,
        now: Millis,
        rng: &mut StdRng,
        demand: Demand<'_>,
        prefix: Option<&str>,
        tried: &[String],
    ) -> Option<Choice> {
        let names = self.subsets.get(demand.served)?;
        let available = |it: &&String| self.is_available(now, it, demand.scope);
        let open: Vec<&String> = names.iter().filter(available).collect();
        let fresh: Vec<&String> = open.iter().copied().filter(|it| !tried.contains(it)).collect();
        let names = if fresh.is_empty() { open } else { fresh };
        let names = names.into_iter().filter(|it| self.has_turn(now, it)).collect();
        let names = self.prefer_responsive(names);
        let candidates: Vec<Candidate<'_>> =
            names.iter().filter_map(|it| self.candidate(now, it)).collect();
        let index = self.chooser.choose(rng, prefix, &candidates)?;
        let chosen = &candidates[index];
        let (name, load) = (chosen.name.to_owned(), chosen.load());
        let candidates = candidates.len();
        self.choice(&name, load, candidates)
    }

    /// The target at which a request has reserved a turn, if that target may get work now.
    pub fn choose_reserved(
        &self,
        now: Millis,
        incarnation: TargetIncarnation<'_>,
        scope: &Scope,
    ) -> Option<Choice> {
        let available = self.is_available(now, incarnation.name, scope);
        if self.is_former_incarnation(incarnation) || !available {
            return None;
        }
        let load = self.candidate(now, incarnation.name)?.load();
        Some(Choice { reserved: true, ..self.choice(incarnation.name, load, 1)? })
    }

    /// The owner of a key among all targets of a model or service, connected or not.
    pub fn owner(&self, served: &Served, key: &Key) -> Option<String> {
        let names = self.serving.get(served)?;
        let owner_key = gate::owner_key(key);
        rendezvous::owner(&owner_key, names.iter().map(String::as_str)).map(str::to_owned)
    }

    /// The owner of a key as a choice, if it may get work now. If there is no connection to the
    /// owner, one is required from now on.
    pub fn choose_owner(&mut self, now: Millis, name: &str, scope: &Scope) -> Option<Choice> {
        if !self.links.contains_key(name) {
            self.wanted_owners.insert(name.to_owned(), now + OWNER_LINK_RETENTION);
            return None;
        }
        if !self.is_available(now, name, scope) {
            return None;
        }
        let load = self.candidate(now, name)?.load();
        // Only the owner may run the request, whichever entries hold its limit: its agent enforces
        // the limit.
        Some(Choice { reserved: true, ..self.choice(name, load, 1)? })
    }

    fn choice(&self, name: &str, load: f64, candidates: usize) -> Option<Choice> {
        let via = match self.listed.get(name) {
            Some(listed) => Via::Direct(listed.instance.addr, listed.instance.born),
            None => Via::Agent(self.link(name)?, self.members.get(name)?.incarnation),
        };
        Some(Choice { name: name.to_owned(), via, load, candidates, reserved: false })
    }
}

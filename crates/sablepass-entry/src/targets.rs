// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The targets as this entry sees them: declared or listed, connected, live,
//! loaded.
//!
//! A declared target is reached through its agent; a listed one straight, and
//! its agent, if it has one, only tells its load.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use rand::rngs::StdRng;
use sablepass_core::balance::{self, Candidate, Chooser};
use sablepass_core::catalogue::Catalogue;
use sablepass_core::declaration::Kind;
use sablepass_core::forming::Forming;
use sablepass_core::gate;
use sablepass_core::holders::Holders;
use sablepass_core::id::{Incarnation, Millis, TargetIncarnation};
use sablepass_core::membership::{Members, Pace, Report};
use sablepass_core::notices::Notices;
use sablepass_core::once::Key;
use sablepass_core::rendezvous;
use sablepass_core::sharers::Sharers;
use sablepass_edge::instance::Instance;
use sablepass_edge::mesh::{PeerKey, RequiredPeer};

/// How long a connection made for one key's owner is kept.
const OWNER_KEEP: Millis = 60_000;

/// Agents that remember one thing: two machines may be lost at once.
const KEEPERS: usize = 3;

/// What targets are found by: kind and qualified model or service.
pub type Served = (Kind, String);

mod groups;
mod limits;
pub(crate) mod listing;
mod notices;
mod shares;
mod watch;

/// Limits that the settings give.
#[derive(Clone, Debug)]
pub struct Options {
    /// This entry's name and hall.
    pub me: String,
    /// This entry's hall.
    pub hall: String,
    /// Targets of a model to keep connections to.
    pub subset: usize,
    /// Time before a planned stop from which its target is not chosen.
    pub lead: Millis,
    /// Silence after which a target is not chosen.
    pub silence: Millis,
    /// Time for which a group stands before it gives up a rank that it lost.
    pub stands: Millis,
    /// Port of the agents beside listed targets.
    pub agent_port: Option<u16>,
}

/// How a target is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// Over a connection to its agent of this incarnation.
    Agent(PeerKey, Incarnation),
    /// Straight, at its address, in the life that began then.
    Direct(SocketAddr, Millis),
}

/// A target that the list names no more.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// Since when.
    since: Millis,
    /// From when on it counts as gone, and gets no work.
    gone: Millis,
}

/// A target of the instance list.
#[derive(Clone, Debug)]
struct Listed {
    instance: Instance,
    /// Set while the list names it no more.
    missing: Option<Missing>,
    /// Another one answered at its address.
    misdirected: bool,
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Qualified name.
    pub name: String,
    /// How it is reached.
    pub via: Via,
    /// Its load when chosen.
    pub load: f64,
    /// Candidates there were.
    pub candidates: usize,
    /// Its place under the target's limit is taken already, or its agent sees to that.
    pub given: bool,
}

/// The table of targets.
pub struct Targets {
    options: Options,
    catalogue: Rc<Catalogue>,
    serving: HashMap<Served, Vec<String>>,
    subsets: HashMap<Served, Vec<String>>,
    members: Members,
    links: HashMap<String, PeerKey>,
    names: HashMap<PeerKey, String>,
    owners: BTreeMap<String, Millis>,
    leaving: Vec<String>,
    /// What targets said of themselves to this entry.
    notices: Notices,
    /// Targets that are reached straight, by id.
    listed: BTreeMap<String, Listed>,
    /// Those whose address a later one has: the list names a target that died
    /// until its lease is over, and its successor starts at the same address.
    replaced: BTreeSet<String>,
    /// When the first list came.
    learning: Option<Millis>,
    /// The groups of services whose targets are ranks.
    groups: HashMap<Served, BTreeMap<u32, Forming>>,
    /// Services of which a target refused work before its agent was heard.
    suspects: BTreeSet<String>,
    /// Agents of those, by connection.
    agents: HashMap<PeerKey, IpAddr>,
    /// When what all agents told was last looked at.
    looked: Millis,
    /// Targets whose machine counts as asleep.
    quiet: BTreeSet<String>,
    /// Those and targets whose group stands: they get no work while there are others.
    idle: BTreeSet<String>,
    counts: watch::Counts,
    /// Groups, by service, that lost a rank and have not noticed yet. What is sent to
    /// their other ranks runs no more, and is turned away when they notice.
    broken: BTreeSet<(String, u32)>,
    /// Entries met over connections to them, this one included.
    met: usize,
    /// Entries that the instance list names.
    listed_entries: usize,
    /// Era of the list, and when a later one last took over from it.
    era: u64,
    restored: Millis,
    sharers: Sharers,
    /// Who uses the limits that targets name.
    holders: Holders,
    chooser: Chooser,
}

impl Targets {
    /// Opens an empty table.
    pub fn open(options: Options, policy: balance::Policy) -> Self {
        Self {
            members: Members::open(options.silence),
            catalogue: Rc::default(),
            serving: HashMap::new(),
            subsets: HashMap::new(),
            links: HashMap::new(),
            names: HashMap::new(),
            owners: BTreeMap::new(),
            leaving: Vec::new(),
            notices: Notices::default(),
            listed: BTreeMap::new(),
            replaced: BTreeSet::new(),
            learning: None,
            groups: HashMap::new(),
            suspects: BTreeSet::new(),
            agents: HashMap::new(),
            looked: 0,
            quiet: BTreeSet::new(),
            idle: BTreeSet::new(),
            counts: watch::Counts::default(),
            broken: BTreeSet::new(),
            met: 1,
            listed_entries: 0,
            era: 0,
            restored: 0,
            sharers: Sharers::open(options.agent_port.is_some()),
            holders: Holders::open(&options.me),
            chooser: Chooser::open(policy),
            options,
        }
    }

    /// What is declared.
    pub fn catalogue(&self) -> &Rc<Catalogue> {
        &self.catalogue
    }

    /// The agents heard of.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Takes a new catalogue.
    pub fn declare(&mut self, catalogue: Rc<Catalogue>) {
        self.catalogue = catalogue;
        self.index();
    }

    /// The processes to be connected to: agents of declared targets, and those
    /// beside listed ones that are ranks of a group.
    pub fn wanted(&mut self, now: Millis) -> Vec<RequiredPeer> {
        self.owners.retain(|_, until| *until > now);
        let declared = self.subsets.values().flatten().chain(self.owners.keys());
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

    /// The qualified name of what a customer of `partner` asks for.
    pub fn resolve(&self, partner: &str, kind: Kind, serves: &str) -> Option<Served> {
        let own = (kind, format!("{partner}/{serves}"));
        if self.serving.contains_key(&own) {
            return Some(own);
        }
        let given = (kind, serves.to_owned());
        self.serving.contains_key(&given).then_some(given)
    }

    /// Connections to the agents beside listed targets.
    pub fn agents(&self) -> impl Iterator<Item = PeerKey> {
        self.agents.keys().copied()
    }

    /// Records a connection to the agent beside listed targets. False if the
    /// endpoint is not one of those.
    pub fn beside(&mut self, peer: PeerKey, endpoint: &str) -> bool {
        let addr: Option<SocketAddr> = endpoint.parse().ok();
        let Some(addr) = addr.filter(|_| self.options.agent_port.is_some()) else {
            return false;
        };
        self.agents.insert(peer, addr.ip());
        true
    }

    /// Records the heartbeat of an agent beside listed targets, and returns
    /// the targets that began to crawl. None if the connection is not to one.
    pub fn heard_beside(
        &mut self,
        now: Millis,
        peer: PeerKey,
        report: Report,
    ) -> Option<Vec<String>> {
        let ip = self.agents.get(&peer)?;
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
            self.find_broken(now);
        }
        Some(began)
    }

    /// Listed targets beside the agent of a connection.
    pub fn beside_agent(&self, peer: PeerKey) -> Vec<String> {
        let Some(ip) = self.agents.get(&peer) else { return Vec::new() };
        let there = self.listed.iter().filter(|it| it.1.instance.addr.ip() == *ip);
        there.map(|it| it.0.clone()).collect()
    }

    /// The agents that are to remember something for entries that start anew.
    /// All entries choose the same of those that they are connected to.
    pub fn keepers(&self, key: &str) -> Vec<PeerKey> {
        let beside = self.agents.iter().map(|(peer, ip)| (ip.to_string(), *peer));
        let linked = self.links.iter().map(|(name, peer)| (name.clone(), *peer));
        let agents: BTreeMap<String, PeerKey> = beside.chain(linked).collect();
        let ranked = rendezvous::rank(key, agents.keys().map(String::as_str));
        ranked.iter().take(KEEPERS).filter_map(|it| agents.get(*it).copied()).collect()
    }

    /// Records a connection to an agent.
    pub fn up(&mut self, now: Millis, peer: PeerKey, name: &str, incarnation: Incarnation) {
        self.members.connected(now, name, incarnation);
        self.links.insert(name.to_owned(), peer);
        self.names.insert(peer, name.to_owned());
    }

    /// Records the end of a connection, and returns whose it was.
    pub fn down(&mut self, peer: PeerKey) -> Option<String> {
        if let Some(ip) = self.agents.remove(&peer) {
            let there = self.listed.iter().filter(|it| it.1.instance.addr.ip() == ip);
            there.for_each(|it| self.members.agent_disconnected(it.0));
        }
        let name = self.names.remove(&peer)?;
        self.links.remove(&name);
        self.members.disconnected(&name);
        Some(name)
    }

    /// Whose connection this is.
    pub fn name(&self, peer: PeerKey) -> Option<&str> {
        self.names.get(&peer).map(String::as_str)
    }

    /// The connection to a target's agent.
    pub fn link(&self, name: &str) -> Option<PeerKey> {
        self.links.get(name).copied()
    }

    /// Records a heartbeat.
    pub fn heard(&mut self, now: Millis, name: &str, report: Report) {
        self.members.record_heartbeat(now, name, report);
    }

    /// Records that an agent said it is leaving.
    pub fn leave(&mut self, name: &str) {
        self.members.mark_leaving(name);
    }

    /// Records that a target refused its agent's connection.
    pub fn away(&mut self, name: &str) {
        self.members.refused_connection(name);
    }

    /// Records what a target told of its load.
    pub fn told(&mut self, now: Millis, name: &str, requests: u32) {
        self.members.record_load(now, name, requests);
    }

    /// Records that a target is better left alone until `until`.
    pub fn leave_alone(&mut self, name: &str, until: Millis) {
        self.members.back_off(name, until);
    }

    /// Records that another target answered at the address of this one, which
    /// is left alone until `until`.
    pub fn misdirected(&mut self, name: &str, until: Millis) {
        self.leave_alone(name, until);
        if let Some(it) = self.listed.get_mut(name) {
            it.misdirected = true;
            self.find_replaced();
        }
    }

    /// Records that a target answered a request as it should.
    pub fn sound(&mut self, name: &str) {
        self.members.record_success(name);
    }

    /// Records that a target failed a request. After some in a row it is left
    /// alone, while most of those that serve the same are not; returns for how
    /// long.
    pub fn failed(&mut self, now: Millis, name: &str) -> Option<Millis> {
        let rest = self.members.record_failure(name)?;
        let serves = self.listed.get(name)?.instance.serves.clone();
        let names = self.serving.get(&(Kind::Service, serves))?;
        let alone = |it: &&String| {
            let member = self.members.get(it);
            member.is_some_and(|it| now < it.backed_off_until)
        };
        if names.iter().filter(alone).count() * 2 >= names.len() {
            return None;
        }
        self.leave_alone(name, now + rest);
        Some(rest)
    }

    /// Records a request sent.
    pub fn sent(&mut self, name: &str) {
        self.members.sent(name);
    }

    /// Records the end of a request sent.
    pub fn ended(&mut self, name: &str) {
        self.members.ended(name);
    }

    /// When a target last gave a sign of life.
    pub fn last_alive(&self, name: &str) -> Millis {
        self.members.get(name).map_or(0, |it| it.last_alive)
    }

    /// Connections whose agent has been silent for too long.
    pub fn silent(&self, now: Millis) -> Vec<PeerKey> {
        let heard = |name: &str| self.members.get(name).map_or(0, |it| it.heartbeat_at);
        let silent = |name: &str| now.saturating_sub(heard(name)) >= self.options.silence;
        self.names.iter().filter(|(_, name)| silent(name)).map(|(peer, _)| *peer).collect()
    }

    /// Whether a target may get new work, but for a limit that it names.
    fn open_for(&self, now: Millis, name: &str) -> bool {
        self.takes(now, self.life(name)) && self.returns(now, name).is_some_and(|it| now >= it)
    }

    /// Until when a target is left alone that may get new work but for that, and for what
    /// it said of itself.
    fn returns(&self, now: Millis, name: &str) -> Option<Millis> {
        let stop = self.catalogue.stops.get(name);
        let stopping = stop.is_some_and(|at| now + self.options.lead >= *at);
        let listed = self.leaving.iter().any(|it| it == name);
        let reached = self.links.contains_key(name) || self.listed.contains_key(name);
        let replaced = self.replaced.contains(name);
        let unknown = self.is_unknown(now, name) || self.is_broken(name);
        let may = reached && !replaced && !stopping && !listed && !unknown;
        self.members.usable_after_back_off(now, name).filter(|_| may).map(|it| it.backed_off_until)
    }

    fn candidate<'a>(&self, now: Millis, name: &'a str) -> Option<Candidate<'a>> {
        let member = self.members.usable(now, name)?;
        let (hall, capacity) = match self.listed.get(name) {
            Some(it) => (&it.instance.hall, it.instance.capacity),
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

    /// Chooses a target for a request, not among those tried while there are others.
    pub fn choose(
        &mut self,
        now: Millis,
        rng: &mut StdRng,
        served: &Served,
        prefix: Option<&str>,
        tried: &[String],
    ) -> Option<Choice> {
        let names = self.subsets.get(served)?;
        let open: Vec<&String> = names.iter().filter(|it| self.open_for(now, it)).collect();
        let fresh: Vec<&String> = open.iter().copied().filter(|it| !tried.contains(it)).collect();
        let names = if fresh.is_empty() { open } else { fresh };
        let names = names.into_iter().filter(|it| self.has_turn(now, it)).collect();
        let names = self.awake(names);
        let candidates: Vec<Candidate<'_>> =
            names.iter().filter_map(|it| self.candidate(now, it)).collect();
        let index = self.chooser.choose(rng, prefix, &candidates)?;
        let chosen = &candidates[index];
        let (name, load) = (chosen.name.to_owned(), chosen.load());
        let candidates = candidates.len();
        self.choice(&name, load, candidates)
    }

    /// A target at which the request has its turn, if that may get work now.
    pub fn choose_given(&self, now: Millis, it: TargetIncarnation<'_>) -> Option<Choice> {
        if self.is_past(it) || !self.open_for(now, it.name) {
            return None;
        }
        let load = self.candidate(now, it.name)?.load();
        Some(Choice { given: true, ..self.choice(it.name, load, 1)? })
    }

    /// The owner of a key among all declared targets, whether connected or not.
    pub fn owner(&self, served: &Served, key: &Key) -> Option<String> {
        let names = self.serving.get(served)?;
        let text = gate::owner_key(key);
        rendezvous::owner(&text, names.iter().map(String::as_str)).map(str::to_owned)
    }

    /// The owner as a choice, if it may get work now. An owner without a
    /// connection is wanted from now on.
    pub fn choose_owner(&mut self, now: Millis, name: &str) -> Option<Choice> {
        if !self.links.contains_key(name) {
            self.owners.insert(name.to_owned(), now + OWNER_KEEP);
            return None;
        }
        if !self.open_for(now, name) {
            return None;
        }
        let load = self.candidate(now, name)?.load();
        // No other target will do, whoever holds its limit: its agent says when.
        Some(Choice { given: true, ..self.choice(name, load, 1)? })
    }

    fn choice(&self, name: &str, load: f64, candidates: usize) -> Option<Choice> {
        let via = match self.listed.get(name) {
            Some(it) => Via::Direct(it.instance.addr, it.instance.born),
            None => Via::Agent(self.link(name)?, self.members.get(name)?.incarnation),
        };
        Some(Choice { name: name.to_owned(), via, load, candidates, given: false })
    }
}

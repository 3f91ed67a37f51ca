// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Declarations: what operators publish, and the catalogue made of them.
//!
//! Each document belongs to the partner named by the first part of its key.
//! A document names resources without a prefix, which makes them that
//! partner's own, so that no document can name another partner's resource as
//! its own. A whole document is accepted or refused; its last accepted
//! version stays in force meanwhile. Validation depends on content alone, so
//! every process decides alike.

use serde::Deserialize;
use snafu::Snafu;

use crate::expert::map::Bounds;
use crate::id::Millis;
use crate::pass::Times;
use crate::route::Route;

/// Most bytes of a document: the platform's limit on a value.
pub const DOCUMENT_LIMIT: usize = 1 << 20;

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The key does not read `partner/name`.
    #[snafu(display("{key}: a document key reads partner/name.toml"))]
    Key {
        /// The document key.
        key: String,
    },
    /// The text is not TOML of the expected shape.
    #[snafu(display("{key}: {message}"))]
    Parse {
        /// The document key.
        key: String,
        /// What the parser says, with line and column.
        message: String,
    },
    /// The document is longer than the platform holds.
    #[snafu(display("{key}: {size} bytes; at most {DOCUMENT_LIMIT} are allowed"))]
    Size {
        /// The document key.
        key: String,
        /// Bytes.
        size: usize,
    },
    /// A resource is named with a prefix.
    #[snafu(display(
        "{key}: {kind} {name:?}: a document names only its own partner's resources; use letters, digits, '-', '_' and '.', without a prefix"
    ))]
    ForeignName {
        /// The document key.
        key: String,
        /// Kind of resource.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A name is declared twice.
    #[snafu(display("{key}: {kind} {name:?} is declared already, in {holder}"))]
    Clash {
        /// The document key.
        key: String,
        /// Kind of resource.
        kind: &'static str,
        /// The name.
        name: String,
        /// The document that declares it first.
        holder: String,
    },
    /// A value is outside its range.
    #[snafu(display("{key}: {kind} {name:?}: {field} = {value}; allowed is {allowed}"))]
    Range {
        /// The document key.
        key: String,
        /// Kind of resource.
        kind: &'static str,
        /// The name.
        name: String,
        /// The field.
        field: &'static str,
        /// The value given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Result of checking declarations.
pub type Result<T> = std::result::Result<T, Error>;

/// What a target serves.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine.
    #[default]
    Model,
    /// A plain service beside the engines.
    Service,
}

/// Priority of a request; a higher one is shed later.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that can wait.
    Bulk = 0,
    /// The usual.
    #[default]
    Normal = 1,
    /// Short questions that others wait for.
    Urgent = 2,
}

impl Priority {
    /// Reads the value of the priority header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "bulk" => Some(Self::Bulk),
            "normal" => Some(Self::Normal),
            "urgent" => Some(Self::Urgent),
            _ => None,
        }
    }
}

/// A target instance.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name within the partner; the agent's settings say the qualified name.
    pub name: String,
    /// What it serves.
    #[serde(default)]
    pub kind: Kind,
    /// Model or service name.
    pub serves: String,
    /// Data hall.
    pub hall: String,
    /// Requests it holds at once. 1 to 100,000.
    pub capacity: u32,
    /// Whether the target checks the fence of orders by itself.
    #[serde(default)]
    pub checks_fence: bool,
}

/// An expert-parallel group and how its experts may move.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name within the partner.
    pub name: String,
    /// Targets of this partner whose agents are the group's members.
    pub members: Vec<String>,
    /// Ranks. 1 to 1,024.
    pub ranks: u32,
    /// Experts a layer. 1 to 4,096.
    pub experts: u32,
    /// Layers. 1 to 1,024.
    pub layers: u32,
    /// Expert slots of a rank in a layer. 1 to 4,096.
    pub slots: u32,
    /// Weight of step-time skew.
    #[serde(default = "one")]
    pub skew_weight: f64,
    /// Weight of rebalancing cost.
    #[serde(default = "one")]
    pub move_weight: f64,
    /// Hours of the day, UTC, in which no expert moves: from the first up to, not including, the second.
    #[serde(default)]
    pub quiet_hours: Option<[u8; 2]>,
}

fn one() -> f64 {
    1.0
}

/// A customer and what it may use.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name within the partner.
    pub name: String,
    /// The key that its requests carry: the partner's name, ':', and at least
    /// 8 bytes more. So no partner can declare another one's keys.
    #[serde(default)]
    pub key: String,
    /// Further keys, of the same form, so that keys can be replaced one by one.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Weight of its share of the partner's capacity. 1 to 1,000,000.
    pub share: u32,
    /// Highest priority it may ask for.
    #[serde(default)]
    pub priority: Priority,
    /// Rank of its requests on routes, before that of the route; 0 is the most urgent.
    #[serde(default)]
    pub rank: Option<u8>,
    /// Requests it may hold at once at one entry. 1 to 100,000.
    #[serde(default = "default_streams")]
    pub streams: u32,
}

fn default_streams() -> u32 {
    1_000
}

impl Customer {
    /// All keys that its requests may carry.
    pub fn all_keys(&self) -> impl Iterator<Item = &String> {
        self.keys.iter().chain(std::iter::once(&self.key).filter(|it| !it.is_empty()))
    }
}

/// The figures of a model engine, as its operators publish them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of prompt and answer that fit into its memory.
    pub memory: u64,
    /// Milliseconds of a step without any sequence.
    pub step: f64,
    /// Milliseconds a step takes longer for each sequence that writes.
    pub per_sequence: f64,
    /// Milliseconds a step takes longer for each 1,000 tokens of context of those.
    pub per_context: f64,
    /// Prompt tokens read a second.
    pub read_rate: f64,
    /// Prompt tokens read a step at most.
    pub chunk: u32,
    /// Steps that a pass with writers makes.
    pub stride: u32,
    /// Millions of bits a second at which a rank copies experts, if known.
    #[serde(default)]
    pub link: Option<f64>,
    /// Tokens of a usual prompt, if known.
    #[serde(default)]
    pub prompt: Option<f64>,
    /// The ranks that step together, if it is one of a group.
    #[serde(default)]
    pub ranks: Option<Ranks>,
}

/// Microseconds that copying an expert is taken to last where nothing is
/// declared: those of the first deployments took 39 ms.
const COPY: f64 = 40_000.0;
/// Bits of a byte.
const BITS: f64 = 8.0;
/// Milliseconds of a second.
const MILLIS: f64 = 1_000.0;
/// Microseconds of a second.
const MICROS: f64 = 1e6;
/// Microseconds of a millisecond.
const MICROS_OF_MILLI: f64 = 1_000.0;
/// Parts in which the experts' part is told.
const THOUSANDTHS: f64 = 1_000.0;

/// What the ranks of a group of engines have in common.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Ranks {
    /// Layers that are placed one by one.
    pub layers: u32,
    /// Experts a layer.
    pub experts: u32,
    /// Slots of a rank in a layer.
    pub slots: u32,
    /// Experts of a layer that one preparation may bring to a rank.
    pub spare: u32,
    /// Bytes of one expert, in millions.
    pub expert_size: f64,
    /// Part of the work for a token that experts do, 0 to 1.
    pub expert_part: f64,
    /// Milliseconds from the return of a lost rank to the group's next step.
    pub form: f64,
}

impl Engine {
    /// How long the passes of its group take; none if it is one of no group.
    pub fn times(&self) -> Option<Times> {
        let part = self.ranks.as_ref()?.expert_part;
        let reading = (self.prompt.unwrap_or(0.0), self.read_rate / MILLIS);
        Some(Times::new(self.stride.into(), self.step, self.per_sequence, part, reading))
    }

    /// What this says of the maps of the group's ranks; none if it is one of no group.
    pub fn bounds(&self) -> Option<Bounds> {
        let ranks = self.ranks.as_ref()?;
        let copy = self.link.map_or(COPY, |it| ranks.expert_size * BITS / it * MICROS);
        Some(Bounds {
            layers: ranks.layers,
            experts: ranks.experts,
            slots: ranks.slots,
            spare: ranks.spare,
            copy: copy.round() as u32,
            part: (ranks.expert_part * THOUSANDTHS).round() as u32,
            step: (self.step * MICROS_OF_MILLI).round() as u32,
            sequence: (self.per_sequence * MICROS_OF_MILLI).round() as u32,
        })
    }
}

/// A service and what its targets take.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one target takes, from all processes together.
    pub connections: u32,
    /// What its targets are, if they are model engines.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// What a caller's connection may send.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Bytes of the head of a request.
    pub head: usize,
    /// Bytes of its body.
    pub body: usize,
    /// Milliseconds in which the head must be there.
    pub head_time: Millis,
    /// Milliseconds that a connection may rest between two requests.
    pub idle_time: Millis,
}

/// What one partner lends to the other.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The partner that may use it.
    pub to: String,
    /// Model or service of this partner.
    pub serves: String,
    /// Part of its capacity, above 0 and up to 1.
    pub part: f64,
}

/// A planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Target of this partner.
    pub target: String,
    /// When it begins, in milliseconds since the Unix epoch.
    pub at: Millis,
}

/// One document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// The operator's own number of this document. One with a lower number than the one in
    /// force is not taken, wherever the service lists it.
    pub version: Option<u64>,
    /// Targets.
    pub target: Vec<Target>,
    /// Groups.
    pub group: Vec<Group>,
    /// Customers.
    pub customer: Vec<Customer>,
    /// Grants.
    pub grant: Vec<Grant>,
    /// Planned stops.
    pub stop: Vec<Stop>,
    /// Routes.
    pub route: Vec<Route>,
    /// Services that routes name.
    pub service: Vec<Service>,
    /// Limits of callers' connections.
    pub limits: Option<Limits>,
}

/// The partner that owns a document key.
pub fn partner(key: &str) -> Result<&str> {
    match key.split_once('/') {
        Some((partner, rest)) if is_name(partner) && !rest.is_empty() => Ok(partner),
        _ => Err(Error::Key { key: key.to_owned() }),
    }
}

/// Checks one document by itself.
pub fn check(key: &str, body: &str) -> Result<Declarations> {
    partner(key)?;
    if body.len() > DOCUMENT_LIMIT {
        return Err(Error::Size { key: key.to_owned(), size: body.len() });
    }
    let document: Declarations = toml::from_str(body)
        .map_err(|e| Error::Parse { key: key.to_owned(), message: e.to_string() })?;
    judge(key, document, Keys::OfPartner)
}

/// Which keys a document may give its customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keys {
    /// Those that begin with its partner's name.
    OfPartner,
    /// Any, where one operator writes for all.
    Any,
}

/// Judges declarations that were decoded elsewhere by the rules for documents.
pub fn judge(key: &str, it: Declarations, keys: Keys) -> Result<Declarations> {
    let checker = Checker { key, keys };
    checker.names(&it)?;
    checker.ranges(&it)?;
    checker.twice(&it)?;
    Ok(it)
}

fn is_name(text: &str) -> bool {
    let fits = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 64 && text.chars().all(fits)
}

struct Checker<'a> {
    key: &'a str,
    keys: Keys,
}

impl Checker<'_> {
    fn names(&self, it: &Declarations) -> Result<()> {
        for target in &it.target {
            self.name("target", &target.name)?;
            self.name("target serves", &target.serves)?;
        }
        for group in &it.group {
            self.name("group", &group.name)?;
            for member in &group.members {
                self.name("group member", member)?;
            }
        }
        for customer in &it.customer {
            self.name("customer", &customer.name)?;
        }
        for grant in &it.grant {
            self.name("grant", &grant.serves)?;
            self.name("grant to", &grant.to)?;
        }
        for stop in &it.stop {
            self.name("stop", &stop.target)?;
        }
        for service in &it.service {
            self.name("service", &service.name)?;
        }
        for route in &it.route {
            self.name("route", &route.name)?;
            for share in &route.shares {
                self.name("route share", &share.service)?;
            }
        }
        Ok(())
    }

    fn name(&self, kind: &'static str, name: &str) -> Result<()> {
        if is_name(name) {
            return Ok(());
        }
        Err(Error::ForeignName { key: self.key.to_owned(), kind, name: name.to_owned() })
    }

    fn ranges(&self, it: &Declarations) -> Result<()> {
        for target in &it.target {
            let fits = (1..=100_000).contains(&target.capacity);
            self.range("target", &target.name, "capacity", target.capacity, fits, "1 to 100000")?;
        }
        for group in &it.group {
            self.group_ranges(group)?;
        }
        for customer in &it.customer {
            let name = &customer.name;
            let fits = (1..=1_000_000).contains(&customer.share);
            self.range("customer", name, "share", customer.share, fits, "1 to 1000000")?;
            let fits = (1..=100_000).contains(&customer.streams);
            self.range("customer", name, "streams", customer.streams, fits, "1 to 100000")?;
            let own = || {
                let mut keys = customer.all_keys();
                customer.all_keys().count() > 0 && keys.all(|it| self.is_own_key(it))
            };
            let fits = self.keys == Keys::Any || own();
            let allowed = "the partner's name, ':', and at least 8 bytes";
            self.range("customer", name, "key", "(hidden)", fits, allowed)?;
        }
        for grant in &it.grant {
            let fits = grant.part > 0.0 && grant.part <= 1.0;
            self.range("grant", &grant.serves, "part", grant.part, fits, "above 0 and up to 1")?;
        }
        for route in &it.route {
            self.route_ranges(route)?;
        }
        Ok(())
    }

    fn route_ranges(&self, it: &Route) -> Result<()> {
        let name = &it.name;
        let fits = it.prefix.starts_with('/') && it.prefix.ends_with('/');
        self.range(
            "route",
            name,
            "prefix",
            &it.prefix,
            fits,
            "a path that begins and ends with /",
        )?;
        let fits = (1..=3_600_000).contains(&it.timeout);
        self.range("route", name, "timeout", it.timeout, fits, "1 to 3600000")?;
        let fits = (1..=100).contains(&it.attempts);
        self.range("route", name, "attempts", it.attempts, fits, "1 to 100")?;
        let fits = it.shares.iter().any(|it| it.weight > 0);
        self.range("route", name, "shares", it.shares.len(), fits, "one with a weight, or more")
    }

    fn is_own_key(&self, key: &str) -> bool {
        let owner = self.key.split('/').next().unwrap_or_default();
        let secret = key.strip_prefix(owner).and_then(|it| it.strip_prefix(':'));
        secret.is_some_and(|it| it.len() >= 8)
    }

    fn group_ranges(&self, it: &Group) -> Result<()> {
        let name = &it.name;
        let sizes = [("ranks", it.ranks, 1_024), ("layers", it.layers, 1_024)];
        for (field, value, most) in sizes {
            let fits = (1..=most).contains(&value);
            self.range("group", name, field, value, fits, "1 to 1024")?;
        }
        for (field, value) in [("experts", it.experts), ("slots", it.slots)] {
            let fits = (1..=4_096).contains(&value);
            self.range("group", name, field, value, fits, "1 to 4096")?;
        }
        let fits = u64::from(it.ranks) * u64::from(it.slots) >= u64::from(it.experts);
        self.range("group", name, "slots", it.slots, fits, "enough for every expert")?;
        let fits = !it.members.is_empty() && (it.ranks as usize).is_multiple_of(it.members.len());
        self.range("group", name, "members", it.members.len(), fits, "a divisor of ranks")?;
        for (field, value) in [("skew_weight", it.skew_weight), ("move_weight", it.move_weight)] {
            let fits = value.is_finite() && value >= 0.0;
            self.range("group", name, field, value, fits, "0 or more")?;
        }
        let fits = it.quiet_hours.is_none_or(|[from, to]| from < 24 && to <= 24);
        self.range("group", name, "quiet_hours", "", fits, "two hours from 0 to 24")
    }

    fn range(
        &self,
        kind: &'static str,
        name: &str,
        field: &'static str,
        value: impl ToString,
        fits: bool,
        allowed: &'static str,
    ) -> Result<()> {
        if fits {
            return Ok(());
        }
        Err(Error::Range {
            key: self.key.to_owned(),
            kind,
            name: name.to_owned(),
            field,
            value: value.to_string(),
            allowed,
        })
    }

    fn twice(&self, it: &Declarations) -> Result<()> {
        self.each_once("target", it.target.iter().map(|it| it.name.as_str()))?;
        self.each_once("group", it.group.iter().map(|it| it.name.as_str()))?;
        self.each_once("customer", it.customer.iter().map(|it| it.name.as_str()))?;
        self.each_once("service", it.service.iter().map(|it| it.name.as_str()))?;
        self.each_once("route", it.route.iter().map(|it| it.name.as_str()))?;
        let places: Vec<String> =
            it.route.iter().map(|it| format!("{}{}", it.host, it.prefix)).collect();
        self.each_once("route of", places.iter().map(String::as_str))
    }

    fn each_once<'a>(
        &self,
        kind: &'static str,
        names: impl Iterator<Item = &'a str>,
    ) -> Result<()> {
        let mut seen = std::collections::BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                return Err(Error::Clash {
                    key: self.key.to_owned(),
                    kind,
                    name: name.to_owned(),
                    holder: self.key.to_owned(),
                });
            }
        }
        Ok(())
    }
}

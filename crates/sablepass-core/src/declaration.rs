// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Declarations that operators publish as TOML documents, and their validation.
//!
//! Each document belongs to the partner named by the first segment of its key. Resource names in a
//! document carry no prefix and belong to that partner, so a document cannot declare another
//! partner's resources. A document is accepted or refused as a whole; while the newest version is
//! refused, the last accepted one stays in force. Validation depends on the content alone, so every
//! process reaches the same result.

use serde::Deserialize;
use snafu::Snafu;

use crate::expert::map::Bounds;
use crate::id::Millis;
use crate::pass::Times;
use crate::route::Route;

/// Maximum size of a document in bytes: the platform's limit on a value.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The key does not have the form `partner/name`.
    #[snafu(display("{key}: a document key must have the form partner/name.toml"))]
    Key {
        /// The document key.
        key: String,
    },
    /// The text is not valid TOML or doesn't match the schema.
    #[snafu(display("{key}: {message}"))]
    Parse {
        /// The document key.
        key: String,
        /// Message of the parser, with line and column.
        message: String,
    },
    /// The document exceeds [`MAX_DOCUMENT_BYTES`].
    #[snafu(display("{key}: {size} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"))]
    Size {
        /// The document key.
        key: String,
        /// Size in bytes.
        size: usize,
    },
    /// A name is empty or, in a document of a partner, too long, or has a prefix or other invalid
    /// characters.
    #[snafu(display(
        "{key}: {kind} {name:?}: a document can name only its own partner's resources; use 1 to 64 letters, digits, '-', '_' and '.', without a prefix"
    ))]
    ForeignName {
        /// The document key.
        key: String,
        /// Kind of resource.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A name is declared more than once.
    #[snafu(display("{key}: {kind} {name:?} is declared already, in {document}"))]
    Clash {
        /// The document key.
        key: String,
        /// Kind of resource.
        kind: &'static str,
        /// The name.
        name: String,
        /// Key of the document that declares it already.
        document: String,
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
        /// The allowed values.
        allowed: &'static str,
    },
}

/// Result of validating declarations.
pub type Result<T> = std::result::Result<T, Error>;

/// Kind of a target, by what it serves.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An engine that serves a model.
    #[default]
    Model,
    /// A service other than a model engine.
    Service,
}

/// Priority of a request; requests of lower priority are shed first.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Batch work without a tight deadline.
    Bulk = 0,
    /// The default.
    #[default]
    Normal = 1,
    /// Short requests on which other work depends.
    Urgent = 2,
}

impl Priority {
    /// Parses the value of the priority header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "bulk" => Some(Self::Bulk),
            "normal" => Some(Self::Normal),
            "urgent" => Some(Self::Urgent),
            _ => None,
        }
    }
}

/// A target: an instance that serves a model or a service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique within the partner; the agent's settings contain the qualified name.
    pub name: String,
    /// Whether it serves a model or another service.
    #[serde(default)]
    pub kind: Kind,
    /// Name of the model or service that it serves.
    pub serves: String,
    /// Data hall.
    pub hall: String,
    /// Maximum number of concurrent requests. 1 to 100,000.
    pub capacity: u32,
    /// Whether the target itself rejects orders with an outdated fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// An expert-parallel group and how its experts may move.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name within the partner.
    pub name: String,
    /// Targets of this partner whose agents are the group's members; their number divides `ranks`.
    pub members: Vec<String>,
    /// Number of ranks. 1 to 1,024.
    pub ranks: u32,
    /// Number of experts in a layer. 1 to 4,096.
    pub experts: u32,
    /// Number of layers. 1 to 1,024.
    pub layers: u32,
    /// Number of expert slots of a rank in a layer. 1 to 4,096.
    pub slots: u32,
    /// Weight of step-time skew in the objective of the planner.
    #[serde(default = "one")]
    pub skew_weight: f64,
    /// Weight of the rebalancing cost in the objective of the planner.
    #[serde(default = "one")]
    pub move_weight: f64,
    /// Hours of the day (UTC) without expert moves: start, inclusive, and end, exclusive.
    #[serde(default)]
    pub quiet_hours: Option<[u8; 2]>,
}

fn one() -> f64 {
    1.0
}

/// A customer with its keys, share and limits.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name within the partner.
    pub name: String,
    /// The key that its requests carry: the partner's name, ':', and at least 8 further bytes. The
    /// prefix keeps a partner from declaring keys of another.
    #[serde(default)]
    pub key: String,
    /// Further keys of the same form, so that keys can be rotated one by one.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Weight by which it shares the partner's capacity with the other customers. 1 to 1,000,000.
    pub share: u32,
    /// Highest priority that its requests may have.
    #[serde(default)]
    pub priority: Priority,
    /// Rank of its requests on routes, which overrides that of the route; 0 is the most urgent.
    #[serde(default)]
    pub rank: Option<u8>,
    /// Maximum number of concurrent requests at one entry. 1 to 100,000.
    #[serde(default = "default_streams")]
    pub streams: u32,
    /// Regions to which its requests may be sent; if empty, all.
    #[serde(default)]
    pub regions: Vec<String>,
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

/// Performance parameters of a model engine, as its operators publish them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Number of prompt and answer tokens that fit into its memory.
    pub memory: u64,
    /// Duration of a step without any sequence, in milliseconds.
    pub step: f64,
    /// Additional milliseconds of a step for each decoding sequence.
    pub per_sequence: f64,
    /// Additional milliseconds of a step for each 1,000 context tokens of the decoding sequences.
    pub per_context: f64,
    /// Prompt tokens read (prefilled) per second.
    pub read_rate: f64,
    /// Maximum number of prompt tokens read in a step.
    pub chunk: u32,
    /// Number of steps in a pass with decoding sequences.
    pub stride: u32,
    /// Rate at which a rank copies experts, in megabits per second, if known.
    #[serde(default)]
    pub link: Option<f64>,
    /// Length of a typical prompt in tokens, if known.
    #[serde(default)]
    pub prompt: Option<f64>,
    /// Parameters of the ranks, if the engine is a member of a group whose ranks step together.
    #[serde(default)]
    pub ranks: Option<Ranks>,
}

/// Time to copy an expert, in microseconds, if no link rate is declared; typical copies take 39 ms.
const DEFAULT_COPY_MICROS: f64 = 40_000.0;
const BITS_PER_BYTE: f64 = 8.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Resolution of the experts' part of the work in [`Bounds`].
const THOUSANDTHS: f64 = 1_000.0;

/// Parameters that all ranks of a group of engines have in common.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Ranks {
    /// Number of layers whose experts are placed independently.
    pub layers: u32,
    /// Number of experts in a layer.
    pub experts: u32,
    /// Number of expert slots of a rank in a layer.
    pub slots: u32,
    /// Maximum number of experts of a layer that the preparation of one map may copy to a rank.
    pub spare: u32,
    /// Size of one expert in megabytes.
    pub expert_size: f64,
    /// Part of the work for a token that is done by experts, 0 to 1.
    pub expert_part: f64,
    /// Time from the return of a lost rank to the group's next step, in milliseconds.
    pub form: f64,
}

impl Engine {
    /// Model of the pass durations of the engine's group; `None` if it is not a member of one.
    pub fn times(&self) -> Option<Times> {
        let part = self.ranks.as_ref()?.expert_part;
        let reading = (self.prompt.unwrap_or(0.0), self.read_rate / MILLIS_PER_SECOND);
        Some(Times::new(self.stride.into(), self.step, self.per_sequence, part, reading))
    }

    /// Bounds on the expert maps of the engine's group; `None` if it is not a member of one.
    pub fn bounds(&self) -> Option<Bounds> {
        let ranks = self.ranks.as_ref()?;
        let copy = self.link.map_or(DEFAULT_COPY_MICROS, |rate| {
            ranks.expert_size * BITS_PER_BYTE / rate * MICROS_PER_SECOND
        });
        Some(Bounds {
            layers: ranks.layers,
            experts: ranks.experts,
            slots: ranks.slots,
            spare: ranks.spare,
            copy: copy.round() as u32,
            part: (ranks.expert_part * THOUSANDTHS).round() as u32,
            step: (self.step * MICROS_PER_MILLI).round() as u32,
            sequence: (self.per_sequence * MICROS_PER_MILLI).round() as u32,
        })
    }
}

/// A service and the limits of its targets.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among all partners.
    pub name: String,
    /// Path of the health check of its targets.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Maximum number of connections to one target, from all processes together.
    pub connections: u32,
    /// Parameters of its targets, if they are model engines.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// What its targets sustain for some time after their start, if that is less than later.
    #[serde(default)]
    pub cold: Option<ColdStart>,
}

/// What a cold target of a service sustains.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests per second from all entries together. Above 0, up to 1,000,000.
    pub rate: f64,
    /// How long a target usually stays cold, in milliseconds. Up to 600,000.
    pub duration: Millis,
}

/// Limits on a caller's connection.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of the head of a request in bytes.
    pub head: usize,
    /// Maximum size of the body of a request in bytes.
    pub body: usize,
    /// Time in which the whole head must arrive, in milliseconds.
    pub head_time: Millis,
    /// Maximum idle time between two requests, in milliseconds.
    pub idle_time: Millis,
}

/// Permission for another partner to use a model or service of this one.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Name of the partner that may use it.
    pub to: String,
    /// Name of the model or service of this partner.
    pub serves: String,
    /// Part of its capacity that may be used, above 0 and up to 1.
    pub part: f64,
}

/// A planned stop of a target.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Name of the target of this partner.
    pub target: String,
    /// Start of the stop, in milliseconds since the Unix epoch.
    pub at: Millis,
}

/// An evacuation of a data hall: while it is declared, no request is sent to a target there.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Name of the data hall. Compared byte by byte; any characters are allowed.
    pub hall: String,
}

/// The content of one document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Version number assigned by the operator. A document with a lower number than the one in
    /// force is rejected, whatever its revision.
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
    /// Evacuations of data halls.
    pub evacuation: Vec<Evacuation>,
    /// Routes.
    pub route: Vec<Route>,
    /// Services that routes refer to.
    pub service: Vec<Service>,
    /// Limits on callers' connections.
    pub limits: Option<Limits>,
}

impl Declarations {
    /// Whether requests can be admitted or refused by these declarations. Evacuations and planned
    /// stops alone say nothing about requests.
    pub fn is_configuration(&self) -> bool {
        let resources = self.target.len()
            + self.group.len()
            + self.customer.len()
            + self.grant.len()
            + self.route.len()
            + self.service.len();
        resources > 0 || self.limits.is_some()
    }
}

/// Returns the partner that owns the document with this key.
pub fn partner(key: &str) -> Result<&str> {
    match key.split_once('/') {
        Some((partner, rest)) if is_name(partner) && !rest.is_empty() => Ok(partner),
        _ => Err(Error::Key { key: key.to_owned() }),
    }
}

/// Parses and validates one document. Conflicts with other documents are detected by the catalogue.
pub fn check(key: &str, body: &str) -> Result<Declarations> {
    partner(key)?;
    if body.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::Size { key: key.to_owned(), size: body.len() });
    }
    let document: Declarations = toml::from_str(body)
        .map_err(|e| Error::Parse { key: key.to_owned(), message: e.to_string() })?;
    judge(key, document, Source::Partner)
}

/// Where declarations come from, which determines the rules for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A document of a partner. Its names, keys and values are restricted, so that partners do not
    /// interfere with each other.
    Partner,
    /// A platform where one operator publishes everything and which validates it itself. Only what
    /// cannot be acted on is refused, since a refusal also keeps all other changes of the document
    /// from coming into force.
    Platform,
}

/// Validates declarations by the rules for their source.
pub fn judge(key: &str, declarations: Declarations, source: Source) -> Result<Declarations> {
    let checker = Checker { key, source };
    checker.names(&declarations)?;
    checker.ranges(&declarations)?;
    checker.duplicates(&declarations)?;
    Ok(declarations)
}

/// Whether a text is a valid name of a resource or a region.
pub fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 64 && text.chars().all(fits)
}

struct Checker<'a> {
    key: &'a str,
    source: Source,
}

impl Checker<'_> {
    fn names(&self, declarations: &Declarations) -> Result<()> {
        for target in &declarations.target {
            self.name("target", &target.name)?;
            self.name("target serves", &target.serves)?;
        }
        for group in &declarations.group {
            self.name("group", &group.name)?;
            for member in &group.members {
                self.name("group member", member)?;
            }
        }
        for customer in &declarations.customer {
            self.name("customer", &customer.name)?;
            for region in &customer.regions {
                self.name("customer region", region)?;
            }
        }
        for grant in &declarations.grant {
            self.name("grant", &grant.serves)?;
            self.name("grant to", &grant.to)?;
        }
        for stop in &declarations.stop {
            self.name("stop", &stop.target)?;
        }
        for service in &declarations.service {
            self.name("service", &service.name)?;
        }
        for route in &declarations.route {
            self.name("route", &route.name)?;
            for region in &route.regions {
                self.name("route region", region)?;
            }
            for share in &route.shares {
                self.name("route share", &share.service)?;
            }
        }
        Ok(())
    }

    fn name(&self, kind: &'static str, name: &str) -> Result<()> {
        let fits = match self.source {
            Source::Partner => is_name(name),
            Source::Platform => !name.is_empty(),
        };
        if fits {
            return Ok(());
        }
        Err(Error::ForeignName { key: self.key.to_owned(), kind, name: name.to_owned() })
    }

    fn ranges(&self, declarations: &Declarations) -> Result<()> {
        for target in &declarations.target {
            let fits = (1..=100_000).contains(&target.capacity);
            self.range("target", &target.name, "capacity", target.capacity, fits, "1 to 100000")?;
        }
        for group in &declarations.group {
            self.group_ranges(group)?;
        }
        for customer in &declarations.customer {
            let name = &customer.name;
            let fits = (1..=1_000_000).contains(&customer.share);
            self.range("customer", name, "share", customer.share, fits, "1 to 1000000")?;
            let fits = (1..=100_000).contains(&customer.streams);
            self.range("customer", name, "streams", customer.streams, fits, "1 to 100000")?;
            let own = || {
                let mut keys = customer.all_keys();
                customer.all_keys().count() > 0 && keys.all(|it| self.is_own_key(it))
            };
            let fits = self.source == Source::Platform || own();
            let allowed = "the partner's name, ':', and at least 8 bytes";
            self.range("customer", name, "key", "(hidden)", fits, allowed)?;
        }
        for grant in &declarations.grant {
            let fits = grant.part > 0.0 && grant.part <= 1.0;
            self.range("grant", &grant.serves, "part", grant.part, fits, "above 0 and up to 1")?;
        }
        for evacuation in &declarations.evacuation {
            let (hall, fits) = (&evacuation.hall, !evacuation.hall.is_empty());
            self.range("evacuation", hall, "hall", hall, fits, "the name of a data hall")?;
        }
        for route in &declarations.route {
            self.route_ranges(route)?;
        }
        for service in &declarations.service {
            self.cold_ranges(service)?;
        }
        Ok(())
    }

    fn cold_ranges(&self, service: &Service) -> Result<()> {
        let (name, Some(cold)) = (&service.name, service.cold) else { return Ok(()) };
        if self.source == Source::Platform {
            return Ok(());
        }
        let fits = cold.rate > 0.0 && cold.rate <= 1e6;
        self.range("service", name, "cold.rate", cold.rate, fits, "above 0 and up to 1000000")?;
        let fits = cold.duration <= 600_000;
        self.range("service", name, "cold.duration", cold.duration, fits, "0 to 600000")
    }

    fn route_ranges(&self, route: &Route) -> Result<()> {
        let name = &route.name;
        let fits = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        self.range(
            "route",
            name,
            "prefix",
            &route.prefix,
            fits,
            "a path that begins and ends with /",
        )?;
        if self.source == Source::Platform {
            return Ok(());
        }
        let fits = (1..=3_600_000).contains(&route.timeout);
        self.range("route", name, "timeout", route.timeout, fits, "1 to 3600000")?;
        let fits = (1..=100).contains(&route.attempts);
        self.range("route", name, "attempts", route.attempts, fits, "1 to 100")?;
        let fits = route.shares.iter().any(|it| it.weight > 0);
        self.range("route", name, "shares", route.shares.len(), fits, "one or more with a weight")
    }

    fn is_own_key(&self, key: &str) -> bool {
        let owner = self.key.split('/').next().unwrap_or_default();
        let secret = key.strip_prefix(owner).and_then(|it| it.strip_prefix(':'));
        secret.is_some_and(|it| it.len() >= 8)
    }

    fn group_ranges(&self, group: &Group) -> Result<()> {
        let name = &group.name;
        let sizes = [("ranks", group.ranks, 1_024), ("layers", group.layers, 1_024)];
        for (field, value, max) in sizes {
            let fits = (1..=max).contains(&value);
            self.range("group", name, field, value, fits, "1 to 1024")?;
        }
        for (field, value) in [("experts", group.experts), ("slots", group.slots)] {
            let fits = (1..=4_096).contains(&value);
            self.range("group", name, field, value, fits, "1 to 4096")?;
        }
        let fits = u64::from(group.ranks) * u64::from(group.slots) >= u64::from(group.experts);
        self.range("group", name, "slots", group.slots, fits, "enough for every expert")?;
        let fits =
            !group.members.is_empty() && (group.ranks as usize).is_multiple_of(group.members.len());
        self.range("group", name, "members", group.members.len(), fits, "a divisor of ranks")?;
        for (field, value) in
            [("skew_weight", group.skew_weight), ("move_weight", group.move_weight)]
        {
            let fits = value.is_finite() && value >= 0.0;
            self.range("group", name, field, value, fits, "0 or more")?;
        }
        let fits = group.quiet_hours.is_none_or(|[from, to]| from < 24 && to <= 24);
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

    fn duplicates(&self, declarations: &Declarations) -> Result<()> {
        self.ensure_unique("target", declarations.target.iter().map(|it| it.name.as_str()))?;
        self.ensure_unique("group", declarations.group.iter().map(|it| it.name.as_str()))?;
        self.ensure_unique("customer", declarations.customer.iter().map(|it| it.name.as_str()))?;
        self.ensure_unique("service", declarations.service.iter().map(|it| it.name.as_str()))?;
        if self.source == Source::Partner {
            self.ensure_unique("route", declarations.route.iter().map(|it| it.name.as_str()))?;
        }
        let places: Vec<String> =
            declarations.route.iter().map(|it| format!("{}{}", it.host, it.prefix)).collect();
        self.ensure_unique("route of", places.iter().map(String::as_str))
    }

    fn ensure_unique<'a>(
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
                    document: self.key.to_owned(),
                });
            }
        }
        Ok(())
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reads settings files, and defines the settings that programs share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::reader::Form;

/// Error of reading settings.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The file is not TOML of the expected structure.
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        /// Path of the file.
        file: PathBuf,
        /// Underlying error, which names the key and the position.
        source: toml::de::Error,
    },
    /// A value is outside its allowed range.
    #[snafu(display("{}: {key} = {value}; allowed is {allowed}", file.display()))]
    Range {
        /// Path of the file.
        file: PathBuf,
        /// Key of the value.
        key: &'static str,
        /// The value in the file.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// Context of a range check, for its error.
#[derive(Debug)]
pub struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    /// Returns an error if `fits` is false.
    pub fn ensure(
        &self,
        key: &'static str,
        value: impl ToString,
        fits: bool,
        allowed: &'static str,
    ) -> Result<(), Error> {
        if fits {
            return Ok(());
        }
        Err(Error::Range { file: self.file.to_owned(), key, value: value.to_string(), allowed })
    }
}

/// Settings that validate their own values.
pub trait Settings: DeserializeOwned {
    /// Returns an error if a value is outside its allowed range.
    fn check(&self, checker: &Checker<'_>) -> Result<(), Error>;
}

/// Reads and validates a settings file.
pub fn open<T: Settings>(file: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let settings: T = toml::from_str(&text).context(ParseSnafu { file })?;
    settings.check(&Checker { file })?;
    Ok(settings)
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// JSON lines on standard output.
    #[default]
    Json,
    /// Plain text on standard output.
    Terminal,
}

/// Settings of a process as a node of the system.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Unique name. The name of an agent is the qualified name of its target.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Address on which other processes connect.
    pub listen: SocketAddr,
    /// Address of the HTTP interface for metrics, health and status.
    pub admin: SocketAddr,
    /// Base URL of the platform's configuration service, with an IP address as the host.
    pub platform: String,
    /// Protocol by which the platform's services are read.
    #[serde(default)]
    pub form: Form,
    /// Base URL of the platform's instance list. Defaults to `platform`.
    #[serde(default)]
    pub instances: Option<String>,
    /// Addresses of processes to connect to while the instance list names no entry.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Minimum time between two reads of the instance list by a reader, in milliseconds. Default
    /// 5,000.
    #[serde(default = "default_list_every")]
    pub list_every: u64,
    /// Interval between two digests on a connection, in milliseconds. Default 1,000.
    #[serde(default = "default_digest_every")]
    pub digest_every: u64,
    /// Additional delay of each further substitute reader before it takes over, in milliseconds.
    /// Default 3,000.
    #[serde(default = "default_patience")]
    pub patience: u64,
    /// Time for which the service may hold a watch of a reader, in milliseconds. Default 20,000.
    #[serde(default = "default_watch")]
    pub watch: u64,
    /// Time for which the service may hold a watch of a process that receives changes from the
    /// readers, in milliseconds. Default 20,000.
    #[serde(default = "default_watch")]
    pub watch_rest: u64,
    /// Whether lines of the instance list state how long a target is cold. All processes of a fleet
    /// must have the same value, since they compare the lines. Default false.
    #[serde(default)]
    pub list_cold: bool,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// Maximum rate of log lines per second. Bursts of some seconds' worth are allowed. Default
    /// 500.
    #[serde(default = "default_log_rate")]
    pub log_rate: u32,
}

fn default_log_rate() -> u32 {
    500
}

fn default_list_every() -> u64 {
    5_000
}

fn default_digest_every() -> u64 {
    1_000
}

fn default_patience() -> u64 {
    3_000
}

fn default_watch() -> u64 {
    20_000
}

impl Node {
    fn instances_url(&self) -> &str {
        self.instances.as_deref().unwrap_or(&self.platform)
    }

    /// Address of the platform's configuration service. The URL was validated when the settings
    /// were read.
    pub fn platform_addr(&self) -> SocketAddr {
        parse_url(&self.platform).unwrap_or(UNUSED_ADDR)
    }

    /// Address of the instance list's service.
    pub fn instances_addr(&self) -> SocketAddr {
        parse_url(self.instances_url()).unwrap_or(UNUSED_ADDR)
    }

    /// Returns an error if a value is outside its allowed range.
    pub fn check(&self, checker: &Checker<'_>) -> Result<(), Error> {
        checker.ensure("node.name", &self.name, !self.name.is_empty(), "a unique name")?;
        checker.ensure("node.hall", &self.hall, !self.hall.is_empty(), "the hall's name")?;
        let durations = [
            ("node.list_every", self.list_every),
            ("node.digest_every", self.digest_every),
            ("node.patience", self.patience),
            ("node.watch", self.watch),
            ("node.watch_rest", self.watch_rest),
        ];
        for (key, value) in durations {
            checker.ensure(key, value, (20..=600_000).contains(&value), "20 to 600000")?;
        }
        let rate = self.log_rate;
        checker.ensure("node.log_rate", rate, (1..=100_000).contains(&rate), "1 to 100000")?;
        let fits = parse_url(&self.platform).is_some();
        checker.ensure(
            "node.platform",
            &self.platform,
            fits,
            "http:// with an IP address and port",
        )?;
        let url = self.instances_url();
        let fits = parse_url(url).is_some();
        checker.ensure("node.instances", url, fits, "http:// with an IP address and port")
    }
}

/// Address on which nothing listens, for a URL that does not parse.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Parses a URL of the form `http://IP:PORT`, with or without trailing slashes.
pub fn parse_url(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.trim_end_matches('/').parse().ok()
}

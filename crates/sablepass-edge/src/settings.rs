// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Reading settings files, and the settings that programs share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::reader::Form;

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML of the expected shape.
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        /// The file.
        file: PathBuf,
        /// Key, value and place.
        source: toml::de::Error,
    },
    /// A value is outside its range.
    #[snafu(display("{}: {key} = {value}; allowed is {allowed}", file.display()))]
    Range {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// The value given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Where a value was checked, for its error.
#[derive(Debug)]
pub struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    /// Refuses a value that does not fit.
    pub fn fits(
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

/// Settings that check their own ranges.
pub trait Settings: DeserializeOwned {
    /// Refuses values outside their ranges.
    fn check(&self, checker: &Checker<'_>) -> Result<(), Error>;
}

/// Reads and checks a settings file.
pub fn open<T: Settings>(file: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let settings: T = toml::from_str(&text).context(ParseSnafu { file })?;
    settings.check(&Checker { file })?;
    Ok(settings)
}

/// Settings of logs.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// JSON lines on standard output.
    #[default]
    Json,
    /// Plain text on standard output.
    Terminal,
}

/// Settings of the process as one of many.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Unique name. An agent's is the qualified name of its target.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Where other processes connect to.
    pub listen: SocketAddr,
    /// Where metrics, health and status are served.
    pub admin: SocketAddr,
    /// Base URL of the platform's configuration service, by IP address.
    pub platform: String,
    /// How the platform's services are read.
    #[serde(default)]
    pub form: Form,
    /// Base URL of the platform's instance list; the same service by default.
    #[serde(default)]
    pub instances: Option<String>,
    /// Addresses of processes to ask when the instance list does not answer.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Least milliseconds between two reads of the instance list by a reader. Default 5,000.
    #[serde(default = "default_list_every")]
    pub list_every: u64,
    /// Milliseconds between two digests on a connection. Default 1,000.
    #[serde(default = "default_digest_every")]
    pub digest_every: u64,
    /// Milliseconds that each substitute reader waits longer. Default 3,000.
    #[serde(default = "default_patience")]
    pub patience: u64,
    /// Milliseconds that a watch of the service waits. Default 20,000.
    #[serde(default = "default_watch")]
    pub watch: u64,
    /// Milliseconds that a watch of a process waits which hears of changes from
    /// others that read. Default 20,000.
    #[serde(default = "default_watch")]
    pub watch_rest: u64,
    /// Format of logs.
    #[serde(default)]
    pub log: LogFormat,
    /// Log lines a second at most, some seconds' worth at once. Default 500.
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

    /// Address of the platform's configuration service. Checked when the
    /// settings were opened.
    pub fn platform_addr(&self) -> SocketAddr {
        parse_url(&self.platform).unwrap_or(NOWHERE)
    }

    /// Address of the instance list.
    pub fn instances_addr(&self) -> SocketAddr {
        parse_url(self.instances_url()).unwrap_or(NOWHERE)
    }

    /// Refuses values outside their ranges.
    pub fn check(&self, checker: &Checker<'_>) -> Result<(), Error> {
        checker.fits("node.name", &self.name, !self.name.is_empty(), "a unique name")?;
        checker.fits("node.hall", &self.hall, !self.hall.is_empty(), "the hall's name")?;
        let spans = [
            ("node.list_every", self.list_every),
            ("node.digest_every", self.digest_every),
            ("node.patience", self.patience),
            ("node.watch", self.watch),
            ("node.watch_rest", self.watch_rest),
        ];
        for (key, value) in spans {
            checker.fits(key, value, (20..=600_000).contains(&value), "20 to 600000")?;
        }
        let rate = self.log_rate;
        checker.fits("node.log_rate", rate, (1..=100_000).contains(&rate), "1 to 100000")?;
        let fits = parse_url(&self.platform).is_some();
        checker.fits(
            "node.platform",
            &self.platform,
            fits,
            "http:// with an IP address and port",
        )?;
        let url = self.instances_url();
        let fits = parse_url(url).is_some();
        checker.fits("node.instances", url, fits, "http:// with an IP address and port")
    }
}

/// An address on which nothing listens.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The address in a URL of the form `http://IP:PORT`, with or without a slash behind.
pub fn parse_url(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.trim_end_matches('/').parse().ok()
}

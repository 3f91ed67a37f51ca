// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Lines of the instance list.

use std::net::SocketAddr;

use sablepass_core::revision::Revision;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a line cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("instance: {source}"))]
pub struct Error {
    source: serde_json::Error,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a target.
    Agent,
    /// Takes requests straight from entries.
    Target,
}

impl Role {
    /// The name by which processes introduce themselves.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Target => "target",
        }
    }
}

/// A line of the instance list. Its key is the instance's name; an agent's is
/// its target's qualified name.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Instance {
    /// What it does.
    pub role: Role,
    /// Its hall.
    pub hall: String,
    /// Where others connect to: processes of ours, or callers of a target.
    pub addr: SocketAddr,
    /// It is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// The service that a target answers for.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub serves: String,
    /// Requests that a target works on at once.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub capacity: u32,
    /// When this life of a target began; 0 if it does not say.
    #[serde(default, skip_serializing_if = "is_none")]
    pub born: u64,
    /// Revision of the list that says so. Not part of the line.
    #[serde(skip)]
    pub revision: Revision,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
fn is_zero(it: &u32) -> bool {
    *it == 0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
fn is_none(it: &u64) -> bool {
    *it == 0
}

impl Instance {
    /// Reads a line.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|source| Error { source })
    }

    /// The line's text.
    pub fn text(&self) -> String {
        // These fields always serialize.
        serde_json::to_string(self).unwrap_or_default()
    }
}

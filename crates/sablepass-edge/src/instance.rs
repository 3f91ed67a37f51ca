// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Lines of the instance list.

use std::net::SocketAddr;

use sablepass_core::revision::Revision;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Error of parsing a line.
#[derive(Debug, Snafu)]
#[snafu(display("instance: {source}"))]
pub struct Error {
    source: serde_json::Error,
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs beside a target.
    Agent,
    /// Accepts requests directly from entries, without an agent.
    Target,
}

impl Role {
    /// Name of the role in the `Hello` message.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Target => "target",
        }
    }
}

/// A line of the instance list. Its key is the instance's name; the name of an agent is the
/// qualified name of its target.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Instance {
    /// Role of the instance.
    pub role: Role,
    /// Data hall of the instance.
    pub hall: String,
    /// Address for connections: from other processes of the system, or from callers of a target.
    pub addr: SocketAddr,
    /// Whether the instance is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Service that a target serves.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub serves: String,
    /// Maximum number of concurrent requests at a target.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub capacity: u32,
    /// Start time of this incarnation of a target; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_none")]
    pub born: u64,
    /// Remaining time for which the target is cold, in milliseconds, when its item was written.
    #[serde(default, skip_serializing_if = "is_none")]
    pub cold: u64,
    /// Revision of the instance list that contains this line. Not part of the line itself.
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
    /// Parses a line.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|source| Error { source })
    }

    /// The text of the line.
    pub fn text(&self) -> String {
        // Serialization of these fields cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

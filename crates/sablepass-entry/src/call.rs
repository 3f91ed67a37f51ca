// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A caller's request, as a dialect parses it for the router.

use sablepass_core::declaration::{Kind, Priority};
use sablepass_core::id::{Millis, RequestId};
use sablepass_edge::server;

/// Selects the model or service that a request is for.
#[derive(Clone, Debug)]
pub enum Selector {
    /// A model or service by its name, qualified by the partner or not.
    Named(Kind, String),
    /// The service of the declared route that matches the request's host and path.
    Route {
        /// Host without a port.
        host: String,
        /// Path without the query.
        path: String,
    },
}

/// A request that is to be run by a target.
#[derive(Debug)]
pub struct Run {
    /// Identifies the request within this system.
    pub id: RequestId,
    /// Identifies the request towards the caller and in log lines.
    pub label: String,
    /// When the request arrived.
    pub arrived: Millis,
    /// API key of the caller.
    pub key: Option<String>,
    /// Selects the model or service.
    pub selector: Selector,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Millis,
    /// Priority that the caller requested.
    pub priority: Option<Priority>,
    /// Whether the request is unsafe: it must run at most once.
    pub unsafe_repeat: bool,
    /// Idempotency key that the caller sent.
    pub idempotency_key: Option<String>,
    /// When the caller created the idempotency key.
    pub key_issued_at: Option<Millis>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the caller resumes an interrupted stream after the last event that it received.
    pub resumed: bool,
    /// Prefix of the prompt, for routing by affinity.
    pub prefix: Option<String>,
    /// Names of the parts of the prompt that other requests may share, in order, each once.
    pub shared_parts: Vec<String>,
    /// Path of the request at a target that is reached through its agent.
    pub path: String,
    /// Request line and header fields as received.
    pub head: http::Request<()>,
    /// Request body.
    pub body: Vec<u8>,
    /// Sends the answer to the caller.
    pub reply: server::Reply,
}

/// A parsed call to the entry.
#[derive(Debug)]
pub enum Call {
    /// A request that is to be run by a target.
    Run(Box<Run>),
    /// A query for the models that the caller's key may use.
    Models {
        /// API key of the caller.
        key: String,
        /// Sends the answer to the caller.
        reply: server::Reply,
    },
}

/// Returns a random id for a request.
pub fn new_id() -> RequestId {
    RequestId(rand::random())
}

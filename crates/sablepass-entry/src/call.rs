// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A caller's request, as the dialects read it.

use sablepass_core::declaration::{Kind, Priority};
use sablepass_core::id::{Millis, RequestId};
use sablepass_edge::server;

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Selector {
    /// A model or a service by name, qualified or not.
    Named(Kind, String),
    /// Whatever the routes say of its host and path.
    Route {
        /// Host.
        host: String,
        /// Path without a query.
        path: String,
    },
}

/// A request to be run.
#[derive(Debug)]
pub struct Run {
    /// Its name in this system.
    pub id: RequestId,
    /// The name that its caller knows.
    pub label: String,
    /// When it arrived.
    pub arrived: Millis,
    /// The caller's key.
    pub key: Option<String>,
    /// What it asks for.
    pub selector: Selector,
    /// When it is no longer wanted.
    pub deadline: Millis,
    /// Priority asked for.
    pub priority: Option<Priority>,
    /// It must not run more than once.
    pub unsafe_repeat: bool,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// When the caller made that key.
    pub key_issued_at: Option<Millis>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// It goes on after what its caller got of an answer that broke off.
    pub resumed: bool,
    /// The prompt's prefix.
    pub prefix: Option<String>,
    /// Path towards the target.
    pub path: String,
    /// Its head as it came.
    pub head: http::Request<()>,
    /// Body.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub reply: server::Reply,
}

/// What a caller wants.
#[derive(Debug)]
pub enum Call {
    /// A request to be run.
    Run(Box<Run>),
    /// The models that its key may use.
    Models {
        /// The caller's key.
        key: String,
        /// Where the answer goes.
        reply: server::Reply,
    },
}

/// Draws the name of a request.
pub fn new_id() -> RequestId {
    RequestId(rand::random())
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router's answers to queries at the admin address: readiness, status and request traces.

use sablepass_edge::admin::{self, Subject};
use sablepass_edge::clock;
use stakker::{CX, call, ret_some_do};

use crate::router::Router;

impl Router {
    /// Answers a query of the admin server.
    pub fn query(&mut self, _cx: CX![], query: admin::Query) {
        let reply = match &query.subject {
            Subject::Ready => self.ready(),
            Subject::Request(id) => match self.traces.explain(id) {
                Some(trace) => admin::Reply::ok(&trace),
                None => admin::Reply::missing("request"),
            },
            Subject::Group(_) => admin::Reply::missing("group; ask an agent of the group"),
            Subject::Status => {
                self.status(query.reply);
                return;
            }
        };
        query.reply.send(reply);
    }

    fn ready(&self) -> admin::Reply {
        let catalogue = self.targets.catalogue();
        let (configured, revision) = (catalogue.configured, catalogue.revision);
        let ready = configured && self.stopping_since.is_none();
        let json =
            serde_json::json!({ "ready": ready, "era": revision.era, "revision": revision.number })
                .to_string();
        admin::Reply { status: if ready { 200 } else { 503 }, json }
    }

    /// Sends the status of this entry, merged with that of the mesh, which answers asynchronously.
    fn status(&self, reply: admin::Responder) {
        let now = clock::now();
        let members = self.targets.members();
        let targets: Vec<serde_json::Value> = members
            .iter()
            .map(|(name, member)| {
                serde_json::json!({
                    "target": name, "usable": members.usable(now, name).is_some(),
                    "leaving": member.leaving, "in_flight": member.report.in_flight, "own": member.own,
                    "silent_ms": now.saturating_sub(member.heartbeat_at),
                })
            })
            .collect();
        let requests = self.requests.len();
        let connections = self.pool.len();
        let entries = self.targets.sharers().count();
        let suspects = self.watch.status(now);
        let blocked_parts = self.watch.blocked_parts(now);
        let evacuations = self.evacuation_status();
        let ret = ret_some_do!(move |mesh: serde_json::Value| {
            let mut status = mesh;
            status["role"] = "entry".into();
            status["connections"] = connections.into();
            status["requests"] = requests.into();
            status["targets"] = targets.into();
            status["entries"] = entries.into();
            status["suspects"] = suspects;
            status["blocked_parts"] = blocked_parts;
            status["evacuations"] = evacuations;
            reply.send(admin::Reply::ok(&status));
        });
        call!([self.mesh], status(ret));
    }
}

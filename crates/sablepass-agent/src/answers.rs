// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Operator queries to the agent of a gated target: readiness, status and its group.

use sablepass_edge::admin::{self, Subject};
use stakker::{CX, call, ret_some_do};

use crate::keeper::Keeper;

impl Keeper {
    /// Answers an operator's query.
    pub fn query(&mut self, _cx: CX![], query: admin::Query) {
        let reply = match query.subject {
            Subject::Ready => self.ready(),
            Subject::Request(_) => admin::Reply::missing("request; ask the entry that took it"),
            Subject::Group(name) => match self.group.as_ref().filter(|it| it.name() == name) {
                Some(it) => admin::Reply::ok(&it.explain()),
                None => admin::Reply::missing("group"),
            },
            Subject::Status => {
                self.status(query.reply);
                return;
            }
        };
        query.reply.send(reply);
    }

    fn ready(&self) -> admin::Reply {
        let ready = !self.gate.leaving() && self.capacity > 0;
        let json = serde_json::json!({ "ready": ready, "declared": self.capacity > 0 }).to_string();
        admin::Reply { status: if ready { 200 } else { 503 }, json }
    }

    fn status(&self, reply: admin::Responder) {
        let (leaving, drained) = (self.gate.leaving(), self.drained);
        let (running, capacity, engine) =
            (self.gate.running(), self.capacity, self.target.is_engine());
        let ret = ret_some_do!(move |mesh: serde_json::Value| {
            let mut status = mesh;
            status["role"] = "agent".into();
            status["running"] = running.into();
            status["capacity"] = capacity.into();
            status["engine"] = engine.into();
            status["leaving"] = leaving.into();
            status["drained"] = drained.into();
            reply.send(admin::Reply::ok(&status));
        });
        call!([self.mesh], status(ret));
    }
}

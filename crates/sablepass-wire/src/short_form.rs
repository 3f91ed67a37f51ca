// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Short forms of heartbeats and digests, which most traffic of large fleets consists of. Both
//! sides of a connection keep the latest message that was sent in full; a short form replaces in it
//! the load or the times, which change all the time.

use sablepass_core::heartbeat;

use crate::generated as wire;
use crate::generated::frame::Body;

/// Sending side of a connection: shortens messages once the peer accepts short forms.
#[derive(Debug, Default)]
pub struct Shortener {
    accepted: bool,
    report: Option<wire::Report>,
    digest: Option<wire::Digest>,
}

impl Shortener {
    /// Records that the peer accepts short forms.
    pub fn accept(&mut self) {
        self.accepted = true;
    }

    /// Returns the message to send in place of `body`.
    pub fn shorten(&mut self, body: Body) -> Body {
        match body {
            Body::Report(it) => self.shorten_report(it),
            Body::Digest(it) => self.shorten_digest(it),
            other => other,
        }
    }

    fn shorten_report(&mut self, report: wire::Report) -> Body {
        let large = heartbeat::is_large_fleet(report.entries as usize);
        let base = self.report.filter(|_| self.accepted && large);
        if base.is_none_or(|it| without_load(it) != without_load(report)) {
            self.report = Some(report);
            return Body::Report(report);
        }
        Body::LoadUpdate(wire::LoadUpdate {
            in_flight: report.in_flight,
            engine_load: Some(report.engine_load).filter(|it| *it != report.in_flight),
            load_age: report.load_age,
        })
    }

    fn shorten_digest(&mut self, digest: wire::Digest) -> Body {
        let base = self.digest.filter(|_| self.accepted && digest.short_forms);
        if base.is_none_or(|it| without_times(it) != without_times(digest)) {
            self.digest = Some(digest);
            return Body::Digest(digest);
        }
        let available = digest.available.unwrap_or_default();
        Body::AgeUpdate(wire::AgeUpdate {
            age: digest.age,
            available_age: available.age,
            available_duration: available.duration,
        })
    }
}

/// Receiving side of a connection: restores the messages that were sent in a short form.
#[derive(Debug, Default)]
pub struct Restorer {
    report: Option<wire::Report>,
    digest: Option<wire::Digest>,
}

impl Restorer {
    /// Returns the message that `body` stands for; none for a short form without a full message
    /// before it.
    pub fn restore(&mut self, body: Body) -> Option<Body> {
        match body {
            Body::Report(it) => {
                self.report = Some(it);
                Some(Body::Report(it))
            }
            Body::Digest(it) => {
                self.digest = Some(it);
                Some(Body::Digest(it))
            }
            Body::LoadUpdate(it) => Some(Body::Report(wire::Report {
                in_flight: it.in_flight,
                engine_load: it.engine_load.unwrap_or(it.in_flight),
                load_age: it.load_age,
                ..self.report?
            })),
            Body::AgeUpdate(it) => {
                let base = self.digest?;
                let (age, duration) = (it.available_age, it.available_duration);
                let available = base.available.map(|of| wire::Available { age, duration, ..of });
                Some(Body::Digest(wire::Digest { age: it.age, available, ..base }))
            }
            other => Some(other),
        }
    }
}

fn without_load(report: wire::Report) -> wire::Report {
    wire::Report { in_flight: 0, engine_load: 0, load_age: 0, ..report }
}

fn without_times(digest: wire::Digest) -> wire::Digest {
    let available = digest.available.map(|it| wire::Available { age: 0, duration: 0, ..it });
    wire::Digest { age: 0, available, ..digest }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Admission of streams to a service: decides which streams start at once, which wait for a group
//! to become ready or for free capacity, and which are refused. The entry's router calls it.
//!
//! Callers are promised that a stream does not pause, and all ranks of a group run each pass
//! together, so one stream too many delays all of them. A stream waits while passes would be too
//! long with it; if it would then miss its objective, it is refused at once, with an estimate of
//! when it could start. A stream that is late in any case, because its group was closed or it was
//! interrupted on another target, still serves its caller: it uses the capacity that streams in
//! time leave free, and waits for as long as its caller does.

use std::collections::VecDeque;

use crate::id::{Millis, RequestId};
use crate::scope::Scope;

/// Factor on the median time to the first event, so that a stream that waited as long as possible
/// is usually still in time.
const FIRST_EVENT_FACTOR: f64 = 1.3;
/// Time to the first event that is assumed before any stream has ended.
const INITIAL_FIRST_EVENT_MS: f64 = 200.0;
/// Duration of a stream that is assumed before any has ended.
const INITIAL_DURATION_MS: f64 = 2_000.0;
/// Relative step by which each sample moves the estimated medians. A median is used because a mean
/// would be dominated by the few streams that a stalled step delays for seconds.
const MEDIAN_STEP: f64 = 0.02;
/// Time for which callers wait for the first event at least.
const MIN_PATIENCE: Millis = 2_000;
/// The same as a multiple of the objective for the first event.
const PATIENCE_PER_OBJECTIVE: Millis = 4;
/// The same as a multiple of the longest pause that callers allow.
const PATIENCE_PER_PAUSE: Millis = 8;
/// Late streams leave free the places that new arrivals fill in this time, which is about the time
/// after which a newly formed group has a better map.
const RESERVED_MS: f64 = 600.0;
/// Time constant of the arrival rate; longer than callers whose streams were lost take to reconnect
/// together.
const ARRIVAL_WINDOW_MS: f64 = 3_000.0;

/// Time in milliseconds for which a caller waits for the first event of a stream, given the
/// objective for it and the longest pause allowed between two events.
pub fn patience(objective: Millis, pause: Millis) -> Millis {
    MIN_PATIENCE.max(objective * PATIENCE_PER_OBJECTIVE).max(pause * PATIENCE_PER_PAUSE)
}

/// Capacity of a service for the streams assigned to this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    /// No limit applies to starts.
    Free,
    /// The group is ready.
    Open {
        /// Maximum number of streams with which passes are short enough.
        places: f64,
        /// Number of active streams.
        load: f64,
        /// Maximum number of prompts read at once without a longer pass for all: one per rank.
        reads: f64,
    },
    /// The group is closed and is about to become ready.
    Opens {
        /// Milliseconds until it is ready.
        within: Millis,
        /// Maximum number of streams with which passes are short enough on the group's first map.
        places: f64,
        /// Whether all ranks are present, so that `within` is reliable.
        sure: bool,
    },
    /// The group is closed, for an unknown time.
    Closed,
}

/// A stream that requests to start.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// Id of its request.
    pub id: RequestId,
    /// Arrival time.
    pub arrived: Millis,
    /// Objective for the first event, in milliseconds after arrival.
    pub objective: Millis,
    /// Milliseconds after arrival at which its caller gives up without a first event.
    pub patience: Millis,
    /// Whether it was interrupted on another target, so that it is late already.
    pub resumed: bool,
    /// Regions to which it may be sent.
    pub scope: Scope,
}

/// Decision on when a stream may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The stream starts at once.
    Now,
    /// The stream waits; the estimated wait in milliseconds.
    Wait(Millis),
    /// The stream would be too late; the estimated time in milliseconds until it could start, if
    /// known.
    Refuse(Option<Millis>),
}

/// Queue of a service's streams that wait to start, in order of arrival, with the estimates on
/// which decisions are based.
///
/// Streams of different scopes have different capacity. A stream starts only after those of its own
/// scope that go before it, but passes those of other scopes whose capacity is used up.
#[derive(Clone, Debug)]
pub struct StartQueue {
    waiting: VecDeque<StartRequest>,
    /// Start times of streams whose prompts are still being read.
    start_times: VecDeque<Millis>,
    /// Estimated median duration of a stream, in milliseconds.
    duration_ms: f64,
    /// Estimated median time to the first event, in milliseconds.
    first_event_ms: f64,
    /// Exponentially decaying count of arrivals.
    arrivals: f64,
    /// Time of the last update of `arrivals`.
    counted_at: Millis,
}

impl Default for StartQueue {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            start_times: VecDeque::new(),
            duration_ms: INITIAL_DURATION_MS,
            first_event_ms: INITIAL_FIRST_EVENT_MS,
            arrivals: 0.0,
            counted_at: 0,
        }
    }
}

impl StartQueue {
    /// Decides when a stream may start, with the capacity of its scope. One that has to wait is
    /// added to the queue. The caller has started the waiting streams of other scopes for which
    /// there is capacity.
    pub fn request(&mut self, now: Millis, stream: &StartRequest, room: Room) -> StartDecision {
        self.record_arrival(now, f64::from(u8::from(!stream.resumed)));
        let decision = self.decide(now, stream, room);
        match decision {
            StartDecision::Now => self.record_start(now),
            StartDecision::Wait(_) => self.waiting.push_back(stream.clone()),
            StartDecision::Refuse(_) => {}
        }
        decision
    }

    fn decide(&self, now: Millis, stream: &StartRequest, room: Room) -> StartDecision {
        match room {
            Room::Free => StartDecision::Now,
            Room::Closed => StartDecision::Refuse(None),
            Room::Opens { within, places, sure } => {
                self.decide_before_ready(now, stream, within, places, sure)
            }
            Room::Open { .. }
                if !self.has_ahead_in_scope(now, stream) && self.can_start(now, stream, room) =>
            {
                StartDecision::Now
            }
            Room::Open { places, load, reads } => {
                let excess = self.excess(now, stream, places, load);
                if self.is_late(now, stream) {
                    self.decide_late(now, stream, excess, load, reads)
                } else {
                    let wait =
                        self.ends_needed(now, stream, excess) * self.duration_ms / load.max(1.0);
                    self.wait_or_refuse(now, stream, wait, stream.objective, wait)
                }
            }
        }
    }

    /// Decides while the group is about to become ready. Only as many streams wait as can start
    /// then. They are late by that time, so the places reserved for new arrivals are left free.
    fn decide_before_ready(
        &self,
        now: Millis,
        stream: &StartRequest,
        within: Millis,
        places: f64,
        sure: bool,
    ) -> StartDecision {
        let waiting = self.waiting.iter().filter(|it| it.scope.overlaps(&stream.scope)).count();
        let total = waiting as f64 + 1.0 + self.reserved_places();
        let beyond = (total - places).max(0.0);
        let wait = within as f64 + beyond * self.duration_ms / places.max(1.0);
        if beyond <= 0.0 && self.in_time(now, stream, wait, stream.patience) {
            return StartDecision::Wait(wait as Millis);
        }
        StartDecision::Refuse(sure.then_some(wait as Millis))
    }

    /// Decides on a late stream. While there are places it waits only for prompts to be read;
    /// otherwise it waits only if streams end faster than new ones arrive.
    fn decide_late(
        &self,
        now: Millis,
        stream: &StartRequest,
        excess: f64,
        load: f64,
        reads: f64,
    ) -> StartDecision {
        let ahead = self.ahead(now, stream) as f64;
        if excess + ahead < 0.0 {
            return StartDecision::Wait(
                ((ahead + 1.0) * self.first_event_ms / reads.max(1.0)) as Millis,
            );
        }
        let ends_needed = self.ends_needed(now, stream, excess);
        let freed = load / self.duration_ms - self.arrivals / ARRIVAL_WINDOW_MS;
        let wait = if freed > 0.0 { ends_needed / freed } else { f64::MAX };
        self.wait_or_refuse(
            now,
            stream,
            wait,
            stream.patience,
            ends_needed * self.duration_ms / load.max(1.0),
        )
    }

    /// Number of streams that must end before this one can start, itself included.
    fn ends_needed(&self, now: Millis, stream: &StartRequest, excess: f64) -> f64 {
        self.ahead(now, stream) as f64 + 1.0 + excess.max(0.0)
    }

    /// Waits if its first event comes within `limit` milliseconds of its arrival when it starts
    /// after `wait`; otherwise it is refused with `retry_after`. All in milliseconds.
    fn wait_or_refuse(
        &self,
        now: Millis,
        stream: &StartRequest,
        wait: f64,
        limit: Millis,
        retry_after: f64,
    ) -> StartDecision {
        match self.in_time(now, stream, wait, limit) {
            true => StartDecision::Wait(wait as Millis),
            false => StartDecision::Refuse(Some(retry_after as Millis)),
        }
    }

    /// Whether a stream's first event comes within `limit` milliseconds of its arrival if it starts
    /// after `wait`.
    fn in_time(&self, now: Millis, stream: &StartRequest, wait: f64, limit: Millis) -> bool {
        let waited = now.saturating_sub(stream.arrived) as f64;
        waited + wait + self.first_event_ms * FIRST_EVENT_FACTOR <= limit as f64
    }

    /// Number of places that late streams leave free for new arrivals.
    fn reserved_places(&self) -> f64 {
        self.arrivals * RESERVED_MS / ARRIVAL_WINDOW_MS
    }

    /// Number of streams above the limit if this one starts; negative while there are free places.
    fn excess(&self, now: Millis, stream: &StartRequest, places: f64, load: f64) -> f64 {
        let late = self.is_late(now, stream);
        let reserved_places = if late { self.reserved_places() } else { 0.0 };
        load + 1.0 + reserved_places - places
    }

    /// Whether a stream can start now. A late stream waits until the prompts of others are read,
    /// since reading many in one pass delays all active streams.
    fn can_start(&self, now: Millis, stream: &StartRequest, room: Room) -> bool {
        match room {
            Room::Free => true,
            Room::Open { places, load, reads } => {
                let may_read = !self.is_late(now, stream) || self.prompts_being_read(now) < reads;
                may_read && self.excess(now, stream, places, load) < 0.0
            }
            Room::Opens { .. } | Room::Closed => false,
        }
    }

    /// Number of streams that started so recently that their prompts are still being read.
    fn prompts_being_read(&self, now: Millis) -> f64 {
        let recent = |it: &&Millis| now.saturating_sub(**it) as f64 <= self.first_event_ms;
        self.start_times.iter().rev().take_while(recent).count() as f64
    }

    fn record_start(&mut self, now: Millis) {
        let first_event_ms = self.first_event_ms;
        self.start_times.retain(|it| now.saturating_sub(*it) as f64 <= first_event_ms);
        self.start_times.push_back(now);
    }

    /// Whether a stream's first event misses its objective even if it starts now.
    fn is_late(&self, now: Millis, stream: &StartRequest) -> bool {
        let waited = now.saturating_sub(stream.arrived) as f64;
        stream.resumed
            || waited + self.first_event_ms * FIRST_EVENT_FACTOR > stream.objective as f64
    }

    /// Number of waiting streams that go before this one and can use the same capacity.
    fn ahead(&self, now: Millis, stream: &StartRequest) -> usize {
        self.before(now, stream).filter(|it| it.scope.overlaps(&stream.scope)).count()
    }

    /// Whether a waiting stream of the same scope goes before this one.
    fn has_ahead_in_scope(&self, now: Millis, stream: &StartRequest) -> bool {
        self.before(now, stream).any(|it| it.scope == stream.scope)
    }

    /// Waiting streams that go before this one: those in time before late ones.
    fn before(&self, now: Millis, stream: &StartRequest) -> impl Iterator<Item = &StartRequest> {
        let late = self.is_late(now, stream);
        self.waiting.iter().filter(move |it| late || !self.is_late(now, it))
    }

    /// Removes the waiting streams for which `waits` returns false.
    pub fn retain(&mut self, waits: impl Fn(&RequestId) -> bool) {
        self.waiting.retain(|it| waits(&it.id));
    }

    /// Replaces the scopes of the waiting streams for which `current` returns one.
    pub fn update_scopes(&mut self, current: impl Fn(&RequestId) -> Option<Scope>) {
        for stream in &mut self.waiting {
            if let Some(scope) = current(&stream.id) {
                stream.scope = scope;
            }
        }
    }

    /// Whether no stream waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The stream of each scope that starts next: the first one that is in time, or else the first
    /// one. Those that go first come first.
    pub fn fronts(&self, now: Millis) -> Vec<StartRequest> {
        let (in_time, late): (Vec<_>, Vec<_>) =
            self.waiting.iter().partition(|it| !self.is_late(now, it));
        let mut fronts: Vec<StartRequest> = Vec::new();
        for stream in in_time.into_iter().chain(late) {
            if fronts.iter().all(|it| it.scope != stream.scope) {
                fronts.push(stream.clone());
            }
        }
        fronts
    }

    /// Removes and returns the stream of this scope that starts next, if there is capacity for it.
    pub fn next(&mut self, now: Millis, scope: &Scope, room: Room) -> Option<RequestId> {
        let stream = self.fronts(now).into_iter().find(|it| it.scope == *scope)?;
        if !self.can_start(now, &stream, room) {
            return None;
        }
        self.waiting.retain(|it| it.id != stream.id);
        self.record_start(now);
        Some(stream.id)
    }

    /// Removes and returns a stream of this scope that cannot start before its caller gives up,
    /// with the estimated milliseconds until a start would be possible.
    pub fn give_up(
        &mut self,
        now: Millis,
        scope: &Scope,
        room: Room,
    ) -> Option<(RequestId, Option<Millis>)> {
        let ends = |it: &StartRequest| {
            it.scope == *scope && (room == Room::Closed || self.is_too_late(now, it))
        };
        let at = self.waiting.iter().position(ends)?;
        let stream = self.waiting.remove(at)?;
        let retry_after = match room {
            Room::Opens { within, sure: true, .. } => Some(within),
            Room::Open { load, .. } => Some((self.duration_ms / load.max(1.0)) as Millis),
            Room::Opens { .. } | Room::Free | Room::Closed => None,
        };
        Some((stream.id, retry_after))
    }

    /// Whether a stream cannot start before its caller gives up.
    fn is_too_late(&self, now: Millis, stream: &StartRequest) -> bool {
        let waited = now.saturating_sub(stream.arrived) as f64;
        waited + self.first_event_ms * FIRST_EVENT_FACTOR > stream.patience as f64
    }

    /// Returns a stream that [`Self::next`] released, and that could not be sent, to the front of
    /// the queue. Returns false if it cannot start before its caller gives up.
    pub fn put_back(&mut self, now: Millis, stream: StartRequest) -> bool {
        // It counts as started, and its prompt as being read.
        self.start_times.pop_back();
        let useful = !self.is_too_late(now, &stream);
        if useful {
            self.waiting.push_front(stream);
        }
        useful
    }

    /// Whether a stream waits.
    pub fn contains(&self, id: RequestId) -> bool {
        self.waiting.iter().any(|it| it.id == id)
    }

    /// Estimated median time from the start of a request to its first event, in milliseconds.
    pub fn time_to_first_event(&self) -> Millis {
        self.first_event_ms as Millis
    }

    /// Records a stream that ended: its duration and the time to its first event, both from its
    /// start on, in milliseconds.
    pub fn record_end(&mut self, duration: Millis, first_event: Millis) {
        move_median(&mut self.duration_ms, duration as f64);
        move_median(&mut self.first_event_ms, first_event as f64);
    }

    fn record_arrival(&mut self, now: Millis, arrivals: f64) {
        let passed = now.saturating_sub(self.counted_at) as f64;
        self.arrivals = self.arrivals * (-passed / ARRIVAL_WINDOW_MS).exp() + arrivals;
        self.counted_at = now;
    }
}

/// Moves an estimated median towards a sample.
fn move_median(median: &mut f64, sample: f64) {
    let times = if sample > *median { 1.0 + MEDIAN_STEP } else { 1.0 / (1.0 + MEDIAN_STEP) };
    *median = (*median * times).max(1.0);
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The router towards targets that get as many requests as they take: a request that has
//! nowhere else to go has its turn under the limit of one, at once or after a wait that is
//! known, or it is refused and its caller told when there is one.
//!
//! An entry that holds no part of a limit asks one that does.

use std::collections::BTreeMap;

use rand::RngExt;
use sablepass_core::id::{Millis, RequestId, TargetIncarnation};
use sablepass_core::limits::Turn;
use sablepass_core::reason::{Ignored, Refusal};
use sablepass_edge::clock;
use sablepass_edge::mesh::PeerKey;
use sablepass_wire::generated as wire;
use sablepass_wire::turns::{self, Answer, Ask};
use stakker::{CX, call};

use crate::router::{RESUME_WAIT, Router};
use crate::trace::Step;

/// How long an entry waits for another one's answer: some ways between regions.
const ANSWERS: Millis = 150;
/// Milliseconds of a second.
const SECOND: f64 = 1_000.0;

/// How a request waits for its turn.
#[derive(Clone, Debug)]
pub(crate) enum Slot {
    /// Another entry was asked for one at this target, and is waited for until then.
    Asked { target: String, peer: PeerKey, until: Millis },
    /// Its turn is known.
    Given(Given),
}

/// A turn at a target.
#[derive(Clone, Debug)]
pub(crate) struct Given {
    target: String,
    born: Millis,
    at: Millis,
}

impl Given {
    /// The life of the target whose limit it was taken from.
    pub(crate) fn life(&self) -> TargetIncarnation<'_> {
        TargetIncarnation { name: &self.target, started_at: self.born }
    }
}

impl Slot {
    /// The turn, if it is known.
    pub(crate) fn given(self) -> Option<Given> {
        match self {
            Self::Given(it) => Some(it),
            Self::Asked { .. } => None,
        }
    }
}

/// When each of the other entries said that the next turn of its part comes, by target.
#[derive(Debug, Default)]
pub struct Turns {
    next: BTreeMap<(String, PeerKey), Millis>,
}

impl Turns {
    /// Milliseconds until the next turn that an entry has at a target; none if it did not
    /// say, or that is over.
    fn wait(&self, now: Millis, target: &str, peer: PeerKey) -> Option<Millis> {
        let at = self.next.get(&(target.to_owned(), peer))?;
        at.checked_sub(now).filter(|it| *it > 0)
    }

    /// The same of whichever entry has the first one.
    fn soonest(&self, now: Millis, target: &str) -> Option<Millis> {
        let there = self.next.iter().filter(|it| it.0.0 == target);
        there.filter_map(|it| it.1.checked_sub(now)).filter(|it| *it > 0).min()
    }

    fn heard(&mut self, now: Millis, target: &str, peer: PeerKey, wait: Millis) {
        self.next.retain(|_, at| *at > now);
        self.next.insert((target.to_owned(), peer), now.saturating_add(wait));
    }
}

impl Router {
    /// Finds a turn for a request whose targets all get as many as they take now, or
    /// refuses it. False if that is not why it has no target, or if it can wait for another.
    pub(crate) fn seek_turn(&mut self, cx: CX![], now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        if open.owner.is_some() {
            return false;
        }
        let limited = self.targets.limited(now, &open.served, open.flight.tried());
        if limited.is_empty() {
            return false;
        }
        let most = self.useful_wait(now, id);
        if self.take_turn(now, id, &limited, most) || self.ask_turn(now, id, &limited, most) {
            return true;
        }
        if self.open.get(&id).is_some_and(|it| it.begun) {
            return false;
        }
        self.metrics.turns.with_label_values(&["refused"]).inc();
        self.refuse_turn(cx, now, id, &limited);
        true
    }

    /// How long a request may wait for its turn and be answered in time.
    fn useful_wait(&self, now: Millis, id: RequestId) -> Millis {
        let Some(open) = self.open.get(&id) else { return 0 };
        let deadline = open.flight.request().deadline;
        if open.begun {
            return deadline.min(open.spoke + RESUME_WAIT).saturating_sub(now);
        }
        let opens = self.starts.get(&open.served).map_or(0, |it| it.time_to_first_event());
        let objective = open.route.as_ref().map_or(0, |it| it.objective);
        deadline.min(open.run.arrived + objective).saturating_sub(now + opens)
    }

    /// Takes a turn of this entry's own part: the next one there is.
    fn take_turn(&mut self, now: Millis, id: RequestId, limited: &[String], most: Millis) -> bool {
        let turn = |it: &String| Some((self.targets.next_turn(now, it)?, it.clone()));
        let Some((_, target)) = limited.iter().filter_map(turn).min() else { return false };
        let born = self.targets.born(&target);
        match self.targets.reserve(now, TargetIncarnation { name: &target, started_at: born }, most)
        {
            Turn::In(wait) => {
                self.metrics.turns.with_label_values(&["own"]).inc();
                self.give_turn(now, id, Given { target, born, at: now + wait });
                true
            }
            Turn::TooLate(_) | Turn::Never => false,
        }
    }

    fn give_turn(&mut self, now: Millis, id: RequestId, it: Given) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let wait = it.at.saturating_sub(now);
        slog::info!(self.log, "has its turn"; "id" => &open.run.label, "target" => &it.target,
            "wait" => wait);
        self.traces.add(now, id, Step::Turn { target: it.target.clone(), wait });
        open.waiting = Some(now);
        open.slot = Some(Slot::Given(it));
    }

    /// Asks an entry that holds the limit of one of these targets, unless it is known
    /// that none has a turn in time.
    fn ask_turn(&mut self, now: Millis, id: RequestId, limited: &[String], most: Millis) -> bool {
        if self.open.get(&id).is_none_or(|it| it.sought) {
            return false;
        }
        let useful = |target: &String, peer: &PeerKey| {
            self.turns.wait(now, target, *peer).is_none_or(|it| it <= most)
        };
        let mut asked: Vec<(&String, PeerKey)> = Vec::new();
        for target in limited {
            let holders = self.targets.holders(target).into_iter();
            let peers = holders.filter_map(|it| self.watch.entry(it));
            asked.extend(peers.filter(|it| useful(target, it)).map(|it| (target, it)));
        }
        if asked.is_empty() {
            return false;
        }
        let (target, peer) = asked[self.rng.random_range(0..asked.len())];
        let life = TargetIncarnation { name: target, started_at: self.targets.born(target) };
        call!(
            [self.mesh],
            send(peer, turns::ask(Ask { target: life, request: id, max_wait: most }))
        );
        if let Some(open) = self.open.get_mut(&id) {
            open.sought = true;
            open.waiting = Some(now);
            open.slot = Some(Slot::Asked { target: target.clone(), peer, until: now + ANSWERS });
        }
        true
    }

    fn refuse_turn(&mut self, cx: CX![], now: Millis, id: RequestId, limited: &[String]) {
        let every = |it: &String| {
            let life = TargetIncarnation { name: it, started_at: self.targets.born(it) };
            let limit = self.targets.limit(life)?;
            Some(limit.rate().usable().per_second())
        };
        let rate: f64 = limited.iter().filter_map(every).sum();
        let every = (SECOND / rate.max(f64::MIN_POSITIVE)).ceil() as Millis;
        let known =
            |it: &String| self.targets.next_turn(now, it).or_else(|| self.turns.soonest(now, it));
        let next = limited.iter().filter_map(known).min().unwrap_or(every);
        let spread = self.rng.random_range(0..=every);
        let Some(open) = self.open.get_mut(&id) else { return };
        slog::info!(self.log, "no turn"; "id" => &open.run.label, "limited" => limited.len(),
            "limits" => rate, "next" => next, "asked" => open.sought);
        open.comeback = Some(next.saturating_add(spread));
        let actions = open.flight.refuse(Refusal::TargetsLimited);
        self.act(cx, id, actions);
    }

    /// Goes on with a request that waits for its turn, once that has come.
    pub(crate) fn await_turn(&mut self, cx: CX![], id: RequestId) {
        let now = clock::now();
        let Some(open) = self.open.get(&id) else { return };
        let due = match &open.slot {
            Some(Slot::Given(it)) => it.at,
            Some(Slot::Asked { until, .. }) => *until,
            None => return,
        };
        if now >= due {
            if matches!(open.slot, Some(Slot::Asked { .. })) {
                self.metrics.turns.with_label_values(&["unanswered"]).inc();
            }
            self.place(cx, id);
        }
    }

    /// Answers another entry that asks for a turn.
    pub(crate) fn turn_asked(&mut self, peer: PeerKey, it: &wire::TurnAsk) {
        let Ok(it) = turns::parse_ask(it) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let turn = self.targets.reserve(clock::now(), it.target, it.max_wait);
        let outcome = if matches!(turn, Turn::In(_)) { "granted" } else { "denied" };
        self.metrics.turns.with_label_values(&[outcome]).inc();
        call!([self.mesh], send(peer, turns::answer(Answer { request: it.request, turn })));
    }

    /// Takes another entry's answer.
    pub(crate) fn turn_answered(&mut self, cx: CX![], it: &wire::TurnAnswer) {
        let Ok(it) = turns::parse_answer(it) else {
            self.metrics.ignored(Ignored::BadFrame);
            return;
        };
        let now = clock::now();
        let open = self.open.get_mut(&it.request);
        let slot = open.and_then(|it| it.slot.take_if(|it| matches!(it, Slot::Asked { .. })));
        let Some(Slot::Asked { target, peer, .. }) = slot else {
            // It was not waited for so long.
            self.metrics.ignored(Ignored::LateAnswer);
            return;
        };
        match it.turn {
            Turn::In(wait) => {
                self.metrics.turns.with_label_values(&["asked"]).inc();
                let born = self.targets.born(&target);
                self.give_turn(now, it.request, Given { target, born, at: now + wait });
                self.await_turn(cx, it.request);
            }
            Turn::TooLate(wait) => {
                self.turns.heard(now, &target, peer, wait);
                self.place(cx, it.request);
            }
            Turn::Never => self.place(cx, it.request),
        }
    }
}

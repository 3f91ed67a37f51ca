// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Scripted scenarios in virtual time: the state machine of one request at an entry, and the gates
//! of the agents. The scripts in `tests/scripts` control which messages arrive; the output of a
//! command lists the actions that the state machine returns.
//!
//! Commands:
//!
//! - `open [unsafe] [key=K] [stream] [resume]`: admits a request.
//! - `send T`: sends the next attempt to target T. `none`: no target could be chosen.
//! - `arrive`: the last dispatch reaches its agent. `lose`: the last dispatch is lost.
//! - `unsent`: the target accepts no requests, before any part of the attempt was sent.
//! - `refused`: the target is full and did not run the attempt.
//! - `failed [not-run|ran]`: the attempt failed; it may have run unless stated otherwise.
//! - `head [STATUS]`, `chunk N [at=OFFSET]`, `done N`: parts of an answer of N bytes.
//! - `event ID [cut=N]`: a server-sent event, without its last N bytes. `end`: the stream ends.
//! - `last`: prints the id of the last complete event.
//! - `down`, `up`: the connection to the agent is lost or established.
//! - `probe`: the agent answers a probe of the attempt.
//! - `restart T`, `leave T`: the agent of target T restarts or starts to drain.
//! - `crawls`: the target is very slow. `quiet`: the target's machine is unresponsive.
//! - `budget N`: sets the retry budget.
//! - `gone`: the caller closes its connection.
//! - `wait MS`: time passes, then the timeouts are checked.
//! - `runs`: prints the number of runs, in all and at each target.

use std::collections::BTreeMap;
use std::error::Error;

use goldenscript::{Command, Context, Runner};
use sablepass_core::flight::{self, Action, Event, Flight, Head, Verdict};
use sablepass_core::gate::{self, Decision, Gate};
use sablepass_core::id::{Incarnation, RequestId};
use sablepass_core::once::{AttemptState, Key};
use sablepass_core::outcome::{Failure, Ran};
use sablepass_core::reason::Refusal;

struct World {
    now: u64,
    flight: Option<Flight>,
    gates: BTreeMap<String, (Gate, Incarnation)>,
    target: String,
    incarnation: Incarnation,
    /// All dispatches, with their targets.
    sent: Vec<(String, gate::Dispatch)>,
    runs: BTreeMap<String, u32>,
    /// Retries left in the budget.
    budget: u32,
    key: Option<String>,
    /// Counter from which the incarnations of agents derive.
    last_incarnation: u64,
    /// Number of bytes of events sent in the current attempt.
    offset: u64,
}

impl World {
    fn open() -> Self {
        Self {
            now: 1_000_000,
            flight: None,
            gates: BTreeMap::new(),
            target: String::new(),
            incarnation: Incarnation(0),
            sent: Vec::new(),
            runs: BTreeMap::new(),
            budget: 10,
            key: None,
            last_incarnation: 0,
            offset: 0,
        }
    }

    fn gate(&mut self, name: &str) -> &mut (Gate, Incarnation) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        self.gates.entry(name.to_owned()).or_insert_with(|| {
            let mut gate = Gate::new(gate::Options::default(), incarnation, name, 0);
            gate.declare(0, vec![name.to_owned()]);
            (gate, incarnation)
        })
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let budget = &mut self.budget;
        let mut spend = || {
            let left = *budget > 0;
            *budget = budget.saturating_sub(1);
            left
        };
        let flight = self.flight.as_mut().expect("`open` is missing");
        flight.handle_event(self.now, 0, event, &mut spend)
    }

    fn send(&mut self, name: &str) {
        let incarnation = self.gate(name).1;
        let flight = self.flight.as_mut().expect("`open` is missing");
        let attempt = flight.send(self.now, name, incarnation);
        let key = self.key.clone().map(|text| Key { customer: "c".to_owned(), text });
        let dispatch = gate::Dispatch {
            attempt,
            incarnation,
            deadline: flight.request().deadline,
            unsafe_repeat: flight.request().unsafe_repeat,
            key,
            issued: None,
            body_hash: 1,
        };
        self.target = name.to_owned();
        self.offset = 0;
        self.incarnation = incarnation;
        self.sent.push((name.to_owned(), dispatch));
    }

    /// Passes the last dispatch to the gate of its target.
    fn arrive(&mut self) -> Vec<Action> {
        let (name, dispatch) = self.sent.last().cloned().expect("`send` is missing");
        let now = self.now;
        match self.gate(&name).0.dispatch(now, &dispatch) {
            Decision::Run => {
                *self.runs.entry(name).or_default() += 1;
                Vec::new()
            }
            Decision::Replay(_) => Vec::new(),
            Decision::Refuse(reason) => self.event(Event::Refused(reason)),
        }
    }

    fn probe(&mut self) -> Vec<Action> {
        let flight = self.flight.as_ref().expect("`open` is missing");
        let (attempt, now, name) = (flight.attempt(), self.now, self.target.clone());
        let verdict = match self.gate(&name).0.probe(now, attempt) {
            AttemptState::Blocked => Verdict::Blocked,
            AttemptState::Running => Verdict::Running,
            AttemptState::Finished => Verdict::Finished,
        };
        self.event(Event::Verdict(verdict))
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::Dispatch => "choose a target".to_owned(),
        Action::Probe(it) => format!("probe attempt {}", it.number),
        Action::Cancel(it) => format!("cancel attempt {}", it.number),
        Action::Head(it) => format!("caller: status {}", it.status),
        Action::Deliver(bytes) => format!("caller: {} bytes", bytes.len()),
        Action::Finish => "caller: whole".to_owned(),
        Action::Fail(it) => format!("caller: {} {}", it.reason.label(), it.ran.label()),
        Action::CountRetry(it) => format!("retry {}", it.label()),
        Action::CountIgnored(it) => format!("ignored {}", it.label()),
    }
}

impl Runner for World {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let actions = match command.name.as_str() {
            "open" => {
                let key = args.take_key("key").map(str::to_owned);
                let flags: Vec<&str> = std::iter::from_fn(|| args.next_pos()).collect();
                let request = flight::Request {
                    id: RequestId(7),
                    deadline: self.now + 60_000,
                    unsafe_repeat: flags.contains(&"unsafe"),
                    keyed: key.is_some(),
                    stream: flags.contains(&"stream"),
                    resumable: flags.contains(&"resume"),
                    max_attempts: 4,
                };
                self.key = key;
                self.flight = Some(Flight::new(flight::Options::default(), request));
                vec![Action::Dispatch]
            }
            "send" => {
                let name = args.next_pos().ok_or("send: target is missing")?.to_owned();
                self.send(&name);
                Vec::new()
            }
            "none" => {
                let flight = self.flight.as_mut().ok_or("`open` is missing")?;
                flight.refuse(Refusal::NoTarget)
            }
            "arrive" => self.arrive(),
            "lose" => Vec::new(),
            "head" => {
                let status: u32 = args.next_pos().unwrap_or("200").parse()?;
                self.event(Event::Head(Head::plain(status, "", false)))
            }
            "event" => {
                let id: u64 = args.next_pos().ok_or("event: id is missing")?.parse()?;
                let cut: usize = args.take_key("cut").unwrap_or("0").parse()?;
                let mut data = format!("id: {id}\ndata: x\n\n").into_bytes();
                data.truncate(data.len() - cut);
                let offset = self.offset;
                self.offset += data.len() as u64;
                self.event(Event::Chunk { offset, data })
            }
            "end" => self.event(Event::Done { length: self.offset }),
            "last" => {
                let flight = self.flight.as_ref().ok_or("`open` is missing")?;
                return Ok(format!("last event {:?}\n", flight.last_event_id()));
            }
            "refused" => self.event(Event::Refused(Refusal::TargetFull)),
            "unsent" => self.event(Event::Unsent),
            "chunk" => {
                let offset: u64 = args.take_key("at").unwrap_or("0").parse()?;
                let length: usize = args.next_pos().ok_or("chunk: length is missing")?.parse()?;
                self.event(Event::Chunk { offset, data: vec![0; length] })
            }
            "done" => {
                let length: u64 = args.next_pos().ok_or("done: length is missing")?.parse()?;
                self.event(Event::Done { length })
            }
            "failed" => {
                let ran = match args.next_pos() {
                    Some("not-run") => Ran::NotRun,
                    Some("ran") => Ran::Ran,
                    _ => Ran::Unknown,
                };
                self.event(Event::Failed(Failure { reason: Refusal::EngineBroke, ran }))
            }
            "down" => self.event(Event::LinkDown),
            "up" => {
                let name = self.target.clone();
                let incarnation = self.gate(&name).1;
                self.event(Event::LinkUp(incarnation))
            }
            "restart" => {
                let name = args.next_pos().ok_or("restart: target is missing")?;
                self.gates.remove(name);
                self.gate(name);
                Vec::new()
            }
            "probe" => self.probe(),
            "leave" => {
                let name = args.next_pos().ok_or("leave: target is missing")?.to_owned();
                self.gate(&name).0.leave();
                Vec::new()
            }
            "budget" => {
                self.budget = args.next_pos().ok_or("budget: number is missing")?.parse()?;
                Vec::new()
            }
            "crawls" => self.event(Event::TargetDegraded),
            "quiet" => self.event(Event::TargetUnresponsive),
            "gone" => self.event(Event::CallerGone),
            "wait" => {
                let span: u64 = args.next_pos().ok_or("wait: milliseconds are missing")?.parse()?;
                self.now += span;
                self.event(Event::Tick { heard: 0 })
            }
            "runs" => {
                let total: u32 = self.runs.values().sum();
                return Ok(format!("{total} {:?}\n", self.runs));
            }
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_next()?;
        Ok(actions.iter().map(|it| describe(it) + "\n").collect())
    }
}

#[test]
fn verify_scripts() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scripts");
    for file in std::fs::read_dir(dir).expect("the directory of scripts is readable") {
        let path = file.expect("the directory entry is readable").path();
        goldenscript::run(&mut World::open(), &path)
            .unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
}

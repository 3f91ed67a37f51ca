// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients at an entry whose targets are behind agents with a gate: the entry and the
//! agents stay within the limits of their machines and serve ordinary callers.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

use sablepass_stand::client::Ask;
use sablepass_stand::fleet::{Fleet, Timers};

use crate::common::crowd::{self, Bounds, Client, Watch};
use crate::common::raw::{self, RawReplica};

const CUSTOMER: &str =
    "[[customer]]\nname = \"farm\"\nkey = \"tatranska:key-build-farm\"\nshare = 10\n";

/// Limits of the machine in the settings of the entry.
const BOUNDS: Bounds = Bounds { memory: 64, descriptors: 2_048 };
/// Memory that an agent may use in a deployment of the size to design for, and descriptors.
const AGENT_BOUNDS: Bounds = Bounds { memory: 64, descriptors: 2_048 };
/// Limits of the machine of an entry that holds many bodies.
const LARGE_BOUNDS: Bounds = Bounds { memory: 1_024, descriptors: 2_048 };
/// Time for which a crowd's requests may be in progress: longer than any test.
const LONG_MS: u64 = 300_000;

/// What a target answers is in the path: `hang` is never answered, `N` has N bytes.
fn respond(_: &str, path: &str, stream: &mut TcpStream) {
    let what = path.rsplit('/').next().unwrap_or_default();
    if what == "hang" {
        return raw::read_to_end(stream);
    }
    let length = what.parse().unwrap_or(2);
    // The agent may close the connection at any time.
    let _ =
        stream.write_all(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").as_bytes());
    let _ = stream.write_all(&vec![b'a'; length]);
    raw::finish(stream);
}

/// Starts a fleet of an entry on a machine with these limits, and of agents.
fn open(bounds: Bounds, agents: usize) -> Fleet {
    let mut fleet = Fleet::open(Timers::default());
    let targets: String = (0..agents).map(target).collect();
    let revision = fleet.publish("tatranska/main.toml", &format!("{targets}{CUSTOMER}"));
    for number in 0..agents {
        let target = RawReplica::spawn(Arc::new(respond));
        let name = format!("tatranska/s{number}");
        fleet.add_service_at(&name, "ba-1", &target.addr.to_string());
    }
    fleet.add_entry("entry-1", "ba-1", &format!("subset = {agents}\n{}", limits(bounds)));
    fleet.settle(agents, revision);
    fleet
}

fn target(number: usize) -> String {
    format!(
        "[[target]]\nname = \"s{number}\"\nkind = \"service\"\nserves = \"claims\"\nhall = \"ba-1\"\ncapacity = 1000\n"
    )
}

fn limits(bounds: Bounds) -> String {
    let Bounds { memory, descriptors } = bounds;
    format!("\n[limits]\nmemory = {memory}\ndescriptors = {descriptors}\nlink = 1000\ncores = 1\n")
}

fn head(path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\nx-sablepass-deadline-ms: {LONG_MS}\r\n{more}\r\n",
        common::FARM
    )
}

/// Lets a crowd play at the entry, and checks the entry, the agent and an ordinary caller.
fn play(fleet: &mut Fleet, bounds: Bounds, (count, head): (usize, String), body: &Arc<Vec<u8>>) {
    let addr = fleet.http(0);
    let watches = [Watch::start(&fleet.entries[0].1), Watch::start(&fleet.targets[0].agent)];
    let mut clients: Vec<Client> =
        (0..count).map(|_| Client::connect(&addr, head.clone(), body)).collect();
    crowd::send(&mut clients, 64 * 1024);
    let ordinary = |_| Ask::post(common::FARM, "/services/claims/2", "q").send(&addr);
    let answer = crowd::ask_patiently(ordinary);
    assert!(!fleet.entries[0].1.ended(), "the entry has ended");
    assert!(!fleet.targets[0].agent.ended(), "the agent has ended");
    watches[0].check(bounds);
    watches[1].check(AGENT_BOUNDS);
    assert_eq!((answer.status, answer.body.as_str()), (200, "aa"), "{answer:?}");
}

/// Guards against whole bodies, not answered, that take more memory than the agent's machine has.
#[test]
fn verify_whole_bodies_leave_room_in_an_agent() {
    const BODY: usize = 4_000_000;
    let _alone = crowd::alone();
    let mut fleet = open(LARGE_BOUNDS, 1);
    let more = format!("content-length: {BODY}\r\n");
    let crowd = (64, head("/services/claims/hang", &more));
    play(&mut fleet, LARGE_BOUNDS, crowd, &Arc::new(vec![b'b'; BODY]));
}

/// Guards against answers of an agent that are not read and take more memory than the entry's machine has.
#[test]
fn verify_unread_answers_of_an_agent_leave_room_for_ordinary_callers() {
    let _alone = crowd::alone();
    let mut fleet = open(BOUNDS, 1);
    let crowd = (64, head("/services/claims/4000000", "content-length: 0\r\n"));
    play(&mut fleet, BOUNDS, crowd, &Arc::default());
}

/// Guards against connections to agents that keep the buffer of a large request after it is sent.
#[test]
fn verify_large_requests_in_a_row_to_agents_leave_room_for_ordinary_callers() {
    const BODY: usize = 3_000_000;
    const REQUESTS: usize = 96;
    let _alone = crowd::alone();
    let mut fleet = open(BOUNDS, 24);
    let watch = Watch::start(&fleet.entries[0].1);
    let body = "b".repeat(BODY);
    for number in 0..REQUESTS {
        let ask = Ask::post(common::FARM, "/services/claims/2", &body);
        let answer = ask.send(&fleet.http(0));
        assert_eq!(answer.status, 200, "request {number}: {answer:?}");
    }
    assert!(!fleet.entries[0].1.ended(), "the entry has ended");
    watch.check(BOUNDS);
}

/// Guards against a body in JSON whose decoded form takes more memory than the entry's machine has.
#[test]
fn verify_a_large_prompt_is_read_within_the_memory_of_the_machine() {
    let _alone = crowd::alone();
    let fleet = open(BOUNDS, 1);
    let watch = Watch::start(&fleet.entries[0].1);
    let numbers = "0,".repeat(2_000_000);
    let body = format!("{{\"model\":\"unknown\",\"prompt\":[{numbers}0]}}");
    let answer = Ask::post(common::FARM, "/v1/completions", &body).send(&fleet.http(0));
    watch.check(BOUNDS);
    assert_eq!(answer.status, 404, "{answer:?}");
}

/// Guards against messages in JSON whose decoded form takes more memory than the entry's machine has.
#[test]
fn verify_many_messages_are_read_within_the_memory_of_the_machine() {
    let _alone = crowd::alone();
    let fleet = open(BOUNDS, 1);
    let watch = Watch::start(&fleet.entries[0].1);
    let messages = "{\"content\":\"a\"},".repeat(240_000);
    let body = format!("{{\"model\":\"unknown\",\"messages\":[{messages}{{}}]}}");
    let answer = Ask::post(common::FARM, "/v1/chat/completions", &body).send(&fleet.http(0));
    watch.check(BOUNDS);
    assert_eq!(answer.status, 404, "{answer:?}");
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients at the addresses for operators and load balancers: entries and agents stay
//! within their limits, answer operators, and serve ordinary callers.

mod common;

use std::sync::Arc;

use sablepass_stand::client::Ask;
use sablepass_stand::process::Process;
use sablepass_stand::site::Site;

use crate::common::crowd::{self, Bounds, Client, Watch};
use crate::common::crowd_site;

/// Memory that an agent may use in a deployment of the size to design for, and descriptors.
const AGENT_BOUNDS: Bounds = Bounds { memory: 64, descriptors: 2_048 };
/// Size of a body that no query has.
const BODY: usize = 4 << 20;

/// What the clients of a crowd send: a head and a body.
type Message = (String, Arc<Vec<u8>>);

fn bodies() -> Message {
    let head = format!("POST /status HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY}\r\n\r\n");
    (head, crowd::all_but_last(BODY))
}

fn nothing() -> Message {
    (String::new(), Arc::default())
}

/// A frame for another process that stops before its last byte.
fn frames() -> Message {
    let length = u32::try_from(BODY).expect("a length of four bytes");
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&crowd::all_but_last(BODY));
    (String::new(), Arc::new(frame))
}

fn queries() -> Message {
    ("GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n".repeat(5_000), Arc::default())
}

/// Lets `count` clients play at an address, and checks the process and that the address answers.
fn play(process: &Process, addr: &str, (count, message): (usize, Message), bounds: Bounds) {
    let watch = Watch::start(process);
    let (head, body) = message;
    let mut clients: Vec<Client> =
        (0..count).map(|_| Client::connect(addr, head.clone(), &body)).collect();
    crowd::send(&mut clients, 64 * 1024);
    let query = Ask {
        method: "GET".into(),
        path: "/healthz".into(),
        headers: Vec::new(),
        body: String::new(),
    };
    let answer = query.send(addr);
    watch.check(bounds);
    assert_eq!(answer.status, 200, "{answer:?}");
}

fn play_at_entry(count: usize, message: Message) {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    let watch = Watch::start(&site.entries[0]);
    play(&site.entries[0], &site.entries[0].addr("admin"), (count, message), crowd_site::BOUNDS);
    crowd_site::check(&mut site, &watch);
}

fn play_at_peers(count: usize, message: Message) {
    let _alone = crowd::alone();
    let mut site = crowd_site::open(2);
    let watch = Watch::start(&site.entries[0]);
    let addr = site.entries[0].addr("peers");
    let (head, body) = message;
    let connect = |_| Client::connect(&addr, head.clone(), &body);
    let mut clients: Vec<Client> = (0..count).map(connect).collect();
    crowd::send(&mut clients, 64 * 1024);
    crowd_site::check(&mut site, &watch);
}

fn play_at_agent(count: usize, message: Message) {
    let _alone = crowd::alone();
    let site: Site = crowd_site::open(1);
    let agent = site.add_agent(([127, 0, 0, 1], 0).into(), ([127, 0, 0, 1], 9).into());
    play(&agent, &agent.addr("admin"), (count, message), AGENT_BOUNDS);
}

/// Guards against bodies at the admin address that take more memory than the entry's machine has.
#[test]
fn verify_bodies_at_the_admin_address_leave_room_in_an_entry() {
    play_at_entry(64, bodies());
}

/// Guards against idle connections at the admin address that take all descriptors of the entry.
#[test]
fn verify_idle_connections_at_the_admin_address_leave_room_in_an_entry() {
    play_at_entry(2_500, nothing());
}

/// Guards against queries in a row whose answers, not read, take more memory than the entry's machine has.
#[test]
fn verify_unread_queries_at_the_admin_address_leave_room_in_an_entry() {
    play_at_entry(4, queries());
}

/// Guards against bodies at the admin address that take more memory than the agent's machine has.
#[test]
fn verify_bodies_at_the_admin_address_leave_room_in_an_agent() {
    play_at_agent(64, bodies());
}

/// Guards against idle connections at the admin address that take all descriptors of the agent.
#[test]
fn verify_idle_connections_at_the_admin_address_leave_room_in_an_agent() {
    play_at_agent(2_500, nothing());
}

/// Guards against queries in a row whose answers, not read, take more memory than the agent's machine has.
#[test]
fn verify_unread_queries_at_the_admin_address_leave_room_in_an_agent() {
    play_at_agent(4, queries());
}

/// Guards against unfinished frames at the address for other processes that take more memory than the entry's machine has.
#[test]
fn verify_unfinished_frames_of_strangers_leave_room_in_an_entry() {
    play_at_peers(64, frames());
}

/// Guards against idle connections at the address for other processes that take all descriptors of the entry.
#[test]
fn verify_idle_connections_of_strangers_leave_room_in_an_entry() {
    play_at_peers(2_500, nothing());
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Planned stops of entries on the users' platform, which kills a process some time after it asked
//! it to stop, and changes of the configuration, while callers read their answers slowly.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sablepass_stand::client::{Answer, wait_for};
use sablepass_stand::replica::Mode;
use sablepass_stand::site::{self, HOST, KEY, Site, ask};
use serde_json::{Value, json};

use crate::common::endless;

/// Time from the stop signal until the process is killed.
const GRACE: Duration = Duration::from_secs(2);
/// Time after the stop signal in which requests are admitted.
const ADMISSION_TIME: Duration = Duration::from_millis(900);

fn site() -> Site {
    let mut site = Site::open(1);
    site.add_entry(&format!(
        "stop_wait = {}\nstop_grace_s = {:?}",
        ADMISSION_TIME.as_millis(),
        GRACE.as_secs_f64()
    ));
    site.settle(1);
    site
}

/// Guards against requests that are taken late in a planned stop and cut without an answer when the
/// process is killed.
#[test]
fn verify_requests_in_progress_are_answered_before_the_process_is_killed() {
    let mut site = site();
    site.replicas[0].set(Mode::Hang);
    let addr = site.http(0);
    let send = |kind: &'static str, number: usize| {
        let addr = addr.clone();
        thread::spawn(move || {
            let id = format!("{kind}-{number}");
            ask("POST", &format!("/{kind}/x"), &id, "q").send(&addr)
        })
    };
    let mut callers: Vec<_> = ["once", "safe", "stream"].map(|it| send(it, 0)).into();
    wait_for("the requests run", || site.replicas[0].runs().len() == 3);
    let stopped_at = Instant::now();
    site.entries[0].stop();
    for number in 1..4 {
        thread::sleep(ADMISSION_TIME / 4);
        callers.extend(["once", "safe", "stream"].map(|it| send(it, number)));
    }
    thread::sleep(ADMISSION_TIME / 2);
    let late: Vec<_> = ["once", "safe", "stream"].map(|it| send(it, 4)).into();
    thread::sleep(GRACE.saturating_sub(stopped_at.elapsed()));
    site.entries[0].kill();
    let answers: Vec<Answer> =
        callers.into_iter().map(|it| it.join().expect("the caller ends")).collect();
    for answer in &answers {
        assert_eq!(answer.status, 502, "{answer:?}");
    }
    for caller in late {
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, site.runs(&answer.id)), (503, 0), "{answer:?}");
        assert!(!answer.retry_after.is_empty(), "{answer:?}");
    }
}

/// Size of an answer that takes its caller a while, and what the caller reads at once, with a pause.
const ANSWER_BYTES: usize = 3_500_000;
const READ: (usize, Duration) = (32 * 1024, Duration::from_millis(20));

/// Starts a site whose limits admit long bodies, with an idle time for callers' connections.
fn site_for_long_answers(idle_ms: u64) -> Site {
    let mut site = Site::open(1);
    site.configure(&configuration(2, idle_ms));
    site.add_entry("stop_wait = 300\nstop_grace_s = 8.0");
    site.settle(1);
    site
}

fn configuration(version: u64, idle_ms: u64) -> Value {
    let mut configuration = site::configuration(version);
    configuration["limits"]["maxBodyBytes"] = json!(2 * ANSWER_BYTES);
    configuration["limits"]["idleTimeoutMs"] = json!(idle_ms);
    configuration
}

/// Sends a request whose answer repeats its body, and reads the answer slowly. Returns the number of
/// bytes of the answer's body.
fn read_slowly(addr: &str, id: &str, close: bool) -> usize {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket can be created");
    socket.set_recv_buffer_size(READ.0).expect("receive buffer set");
    let target: SocketAddr = addr.parse().expect("an address");
    socket.connect(&target.into()).expect("the entry listens");
    let mut socket = TcpStream::from(socket);
    let connection = if close { "close" } else { "keep-alive" };
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\nx-request-id: {id}\r\nconnection: {connection}\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).expect("request sent");
    socket.write_all(&vec![b'b'; ANSWER_BYTES]).expect("request sent");
    let mut answer = Vec::new();
    let mut part = vec![0; READ.0];
    loop {
        let head = answer.windows(4).position(|it| it == b"\r\n\r\n").map_or(0, |it| it + 4);
        if head > 0 && answer.len() - head >= ANSWER_BYTES {
            return answer.len() - head;
        }
        match socket.read(&mut part) {
            Ok(length @ 1..) => answer.extend_from_slice(&part[..length]),
            Ok(0) | Err(_) => return answer.len() - head,
        }
        thread::sleep(READ.1);
    }
}

/// Starts callers that read slowly, on kept connections and on others, and waits until their
/// requests have run.
fn slow_callers(site: &Site, label: &str) -> Vec<JoinHandle<usize>> {
    let addr = site.http(0);
    let callers = (0..4).map(|number| {
        let (addr, id) = (addr.clone(), format!("{label}-{number}"));
        thread::spawn(move || read_slowly(&addr, &id, number % 2 == 0))
    });
    let callers = callers.collect();
    let has_run = |number| site.runs(&format!("{label}-{number}")) == 1;
    wait_for("the requests have run", || (0..4).all(has_run));
    thread::sleep(Duration::from_millis(100));
    callers
}

fn check_whole(callers: Vec<JoinHandle<usize>>) {
    let received: Vec<usize> =
        callers.into_iter().map(|it| it.join().expect("the caller ends")).collect();
    assert_eq!(received, [ANSWER_BYTES; 4]);
}

/// Guards against a stopping entry that ends while answers wait in its output buffers.
#[test]
fn verify_stopping_entry_writes_its_answers_before_it_ends() {
    let mut site = site_for_long_answers(15_000);
    let callers = slow_callers(&site, "stop");
    site.entries[0].stop();
    check_whole(callers);
    assert!(site.entries[0].wait(), "the entry must exit with status 0");
}

/// Guards against an idle time that counts while an answer is being written, also if a shorter one
/// comes into force meanwhile.
#[test]
fn verify_idle_time_of_a_connection_starts_once_its_answer_is_written() {
    let site = site_for_long_answers(15_000);
    let callers = slow_callers(&site, "shorter");
    site.configure(&configuration(3, 400));
    check_whole(callers);
    // The shorter time is in force for answers that are sent now.
    check_whole(slow_callers(&site, "short"));
}

/// Number of callers that keep their connections after a long answer.
const KEPT: usize = 64;
/// Memory that an entry may use on the users' platform.
const ENTRY_MEMORY_BYTES: usize = 260 << 20;

/// Guards against connections that keep the buffer of a long answer after it is written.
#[test]
fn verify_connections_keep_no_buffer_of_a_long_answer() {
    let site = site_for_long_answers(60_000);
    let addr = site.http(0);
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\ncontent-length: {ANSWER_BYTES}\r\n"
    );
    let call = |number: usize| {
        let mut socket = TcpStream::connect(&addr).expect("the entry listens");
        let id = format!("x-request-id: kept-{number}\r\n\r\n");
        socket.write_all(head.as_bytes()).expect("request sent");
        socket.write_all(id.as_bytes()).expect("request sent");
        socket.write_all(&vec![b'b'; ANSWER_BYTES]).expect("request sent");
        socket.read_exact(&mut vec![0; ANSWER_BYTES]).expect("answer received");
        socket
    };
    let kept: Vec<TcpStream> = (0..KEPT).map(call).collect();
    let memory = endless::memory(site.entries[0].id());
    println!("memory of the entry with {} connections: {} MB", kept.len(), memory >> 20);
    assert!(memory < ENTRY_MEMORY_BYTES, "the entry uses {} MB", memory >> 20);
}

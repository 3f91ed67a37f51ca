// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients that send or read only a part of what they announce and stay connected, and
//! the bounds that a process keeps meanwhile.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sablepass_stand::client::Answer;
use sablepass_stand::process::Process;

/// Receive buffer of a client that does not read.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Time without progress of any client after which a crowd has sent all that is accepted.
const STUCK: Duration = Duration::from_millis(1_500);
/// Time in which a process has taken up what was sent.
const SETTLE: Duration = Duration::from_millis(1_000);
/// Maximum time in which a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(30);
/// Number of tries of an ordinary caller.
const TRIES: usize = 5;
/// Interval at which descriptors are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until no other crowd of this test binary plays.
pub fn alone() -> MutexGuard<'static, ()> {
    static PLAYING: Mutex<()> = Mutex::new(());
    PLAYING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a process may use, as stated in its settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Memory in MB.
    pub memory: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Counts the descriptors of a process until it is dropped.
pub struct Watch {
    process: u32,
    descriptors: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    counter: Option<JoinHandle<()>>,
}

impl Watch {
    /// Starts to count.
    pub fn start(process: &Process) -> Self {
        let process = process.id();
        let (descriptors, stopped) =
            (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let (most, end) = (Arc::clone(&descriptors), Arc::clone(&stopped));
        let counter = thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let open =
                    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
                most.fetch_max(open, Ordering::Relaxed);
                thread::sleep(COUNT_INTERVAL);
            }
        });
        Self { process, descriptors, stopped, counter: Some(counter) }
    }

    /// Fails if the process has ended or used more than the bounds since its start.
    pub fn check(&self, bounds: Bounds) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process));
        let status = status.expect("the process lives");
        assert!(!status.contains("State:\tZ"), "the process has ended");
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("peak memory");
        let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number of kB");
        let descriptors = self.descriptors.load(Ordering::Relaxed);
        println!("peak memory {} MB, at most {descriptors} descriptors", peak >> 10);
        assert!(peak >> 10 < bounds.memory, "peak memory {} MB, {bounds:?}", peak >> 10);
        assert!(descriptors <= bounds.descriptors, "{descriptors} descriptors, {bounds:?}");
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.counter.take().map(JoinHandle::join);
    }
}

/// A client that sends its bytes as far as they are accepted, never reads, and stays connected.
pub struct Client {
    socket: TcpStream,
    head: Vec<u8>,
    body: Arc<Vec<u8>>,
    sent: usize,
    closed: bool,
}

impl Client {
    /// Connects. The client sends `head` and then `body`.
    pub fn connect(addr: &str, head: String, body: &Arc<Vec<u8>>) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket can be created");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("receive buffer set");
        let to: SocketAddr = addr.parse().expect("an address");
        socket.connect(&to.into()).expect("the process listens");
        socket.set_nonblocking(true).expect("made non-blocking");
        let body = Arc::clone(body);
        Self { socket: socket.into(), head: head.into(), body, sent: 0, closed: false }
    }

    /// Sends up to `most` bytes. Returns whether any were accepted.
    fn send(&mut self, most: usize) -> bool {
        let left = match self.head.get(self.sent..) {
            Some(head) if !head.is_empty() => head,
            _ => &self.body[self.sent - self.head.len()..],
        };
        let part = &left[..left.len().min(most)];
        if part.is_empty() || self.closed {
            return false;
        }
        match self.socket.write(part) {
            Ok(sent) => {
                self.sent += sent;
                sent > 0
            }
            Err(e) => {
                self.closed = e.kind() != ErrorKind::WouldBlock;
                false
            }
        }
    }
}

/// Lets all clients send in turn, up to `most` bytes at once, until no more is accepted and the
/// process has taken it up.
pub fn send(clients: &mut [Client], most: usize) {
    send_in_turn(clients, most);
    thread::sleep(SETTLE);
}

fn send_in_turn(clients: &mut [Client], most: usize) {
    let started = Instant::now();
    let mut moved = started;
    while moved.elapsed() < STUCK && started.elapsed() < SEND_TIME {
        let sent = clients.iter_mut().filter_map(|it| it.send(most).then_some(())).count();
        if sent > 0 {
            moved = Instant::now();
        } else if clients.iter().all(|it| it.closed || it.sent == it.head.len() + it.body.len()) {
            return;
        } else {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Sends a request by `ask`, and again as long as it is refused with a time to return.
pub fn ask_patiently(ask: impl Fn(usize) -> Answer) -> Answer {
    let mut answer = Answer::default();
    for number in 0..TRIES {
        answer = ask(number);
        if answer.status == 200 {
            break;
        }
        thread::sleep(Duration::from_secs_f64(answer.retry_after.parse().unwrap_or(1.0)));
    }
    answer
}

/// A body of `length` bytes without its last byte.
pub fn all_but_last(length: usize) -> Arc<Vec<u8>> {
    Arc::new(vec![b'b'; length - 1])
}

/// A body of `length` bytes in chunks of `chunk` bytes, without the last chunk.
pub fn chunks(length: usize, chunk: usize) -> Arc<Vec<u8>> {
    let one = format!("{chunk:x}\r\n{}\r\n", "b".repeat(chunk));
    Arc::new(one.repeat(length / chunk).into_bytes())
}

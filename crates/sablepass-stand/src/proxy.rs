// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! TCP proxy that injects faults on command over HTTP.
//!
//! `POST /control` takes one of these modes: `pass`; `cut` (reset all connections, and new ones
//! as soon as they are accepted); `hold` (keep connections open and forward nothing);
//! `delay MS` (delay each block of bytes); `cut-up N` and `cut-down N` (reset one connection
//! after N more bytes towards the server or the client, counted over all connections, then
//! return to `pass`). `GET /control` returns the mode and the bytes forwarded so far.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sablepass_stand::http;
use serde_json::json;

use crate::{Error, web};

/// Interval at which a connection checks the mode while it forwards no bytes.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Pass,
    Cut,
    Hold,
    Delay(u64),
    /// Close the connection that forwards the last of this many more bytes in the direction.
    CutAfter(Direction, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// Towards the server.
    Up,
    /// Towards the client.
    Down,
}

struct State {
    mode: Mode,
    /// Bytes forwarded towards the server.
    up: u64,
    /// Bytes forwarded towards the client.
    down: u64,
}

type Shared = Arc<Mutex<State>>;

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the proxy: forwards connections to `to`, and takes commands at `control`.
pub fn run(listen: SocketAddr, control: SocketAddr, to: SocketAddr) -> Result<(), Error> {
    let state = Arc::new(Mutex::new(State { mode: Mode::Pass, up: 0, down: 0 }));
    let socket = |source| Error::Socket { source };
    let listener = TcpListener::bind(listen).map_err(socket)?;
    let listen = listener.local_addr().map_err(socket)?;
    let (server, control) = http::bind(control)?;
    web::announce(&json!({ "listen": listen, "control": control }));
    let commands = state.clone();
    std::thread::spawn(move || {
        while let Ok(request) = server.recv() {
            command(&commands, request);
        }
    });
    for stream in listener.incoming().flatten() {
        let state = state.clone();
        std::thread::spawn(move || connect(&state, stream, to));
    }
    Ok(())
}

fn command(state: &Shared, mut request: tiny_http::Request) {
    let text = web::body(&mut request);
    let (word, number) = text.trim().split_once(' ').unwrap_or((text.trim(), "0"));
    let number: u64 = number.parse().unwrap_or(0);
    let mode = match word {
        "pass" => Some(Mode::Pass),
        "cut" => Some(Mode::Cut),
        "hold" => Some(Mode::Hold),
        "delay" => Some(Mode::Delay(number)),
        "cut-up" => Some(Mode::CutAfter(Direction::Up, number)),
        "cut-down" => Some(Mode::CutAfter(Direction::Down, number)),
        _ => None,
    };
    let mut state = lock(state);
    if let Some(mode) = mode {
        state.mode = mode;
    }
    let status = json!({ "up": state.up, "down": state.down, "mode": format!("{:?}", state.mode) });
    drop(state);
    web::json(request, 200, &status);
}

/// Handles of a connection that is forwarded.
struct Forwarded {
    client: TcpStream,
    server: TcpStream,
    /// The link broke: both ends are reset, and not closed in order, since an answer may end with
    /// its connection.
    broken: AtomicBool,
}

impl Forwarded {
    fn break_off(&self) {
        self.broken.store(true, Ordering::Relaxed);
        reset_on_close(&self.client);
        reset_on_close(&self.server);
    }
}

/// Has a socket reset its connection when the last handle of it is dropped.
fn reset_on_close(socket: &TcpStream) {
    // Fails if the connection has ended already.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Connects an accepted client to the server and forwards bytes until either side closes.
fn connect(state: &Shared, client: TcpStream, to: SocketAddr) {
    if lock(state).mode == Mode::Cut {
        reset_on_close(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(to) else {
        return;
    };
    let forwarded = Arc::new(Forwarded { client, server, broken: AtomicBool::new(false) });
    let (up, other) = (state.clone(), forwarded.clone());
    std::thread::spawn(move || pump(&up, Direction::Up, &other));
    pump(state, Direction::Down, &forwarded);
}

/// Forwards bytes in one direction until the connection closes or is cut.
fn pump(state: &Shared, direction: Direction, forwarded: &Forwarded) {
    let (mut from, mut to) = match direction {
        Direction::Up => (&forwarded.client, &forwarded.server),
        Direction::Down => (&forwarded.server, &forwarded.client),
    };
    let mut buffer = [0; 16 * 1024];
    // The timeout lets the loop check the mode while no bytes arrive.
    let _ = from.set_read_timeout(Some(MODE_POLL_INTERVAL));
    while !forwarded.broken.load(Ordering::Relaxed) {
        if lock(state).mode == Mode::Cut {
            forwarded.break_off();
            return;
        }
        let length = match from.read(&mut buffer) {
            Ok(0) => {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            Ok(length) => length,
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => {
                forwarded.break_off();
                return;
            }
        };
        let (length, cut) = admit(state, direction, length);
        if to.write_all(&buffer[..length]).is_err() || cut {
            forwarded.break_off();
        }
    }
}

/// Applies the mode to a block of `length` bytes. Returns the number of bytes to forward, and
/// whether to close the connection after them.
fn admit(state: &Shared, direction: Direction, length: usize) -> (usize, bool) {
    loop {
        let mut locked = lock(state);
        match locked.mode {
            Mode::Cut => return (0, true),
            Mode::Hold => {
                drop(locked);
                std::thread::sleep(MODE_POLL_INTERVAL);
                continue;
            }
            Mode::Delay(ms) => {
                drop(locked);
                std::thread::sleep(Duration::from_millis(ms));
                locked = lock(state);
            }
            Mode::CutAfter(which, left) if which == direction => {
                if length as u64 >= left {
                    locked.mode = Mode::Pass;
                    return (left as usize, true);
                }
                locked.mode = Mode::CutAfter(which, left - length as u64);
            }
            Mode::CutAfter(..) | Mode::Pass => {}
        }
        match direction {
            Direction::Up => locked.up += length as u64,
            Direction::Down => locked.down += length as u64,
        }
        return (length, false);
    }
}

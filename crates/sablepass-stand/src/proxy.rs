// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! TCP proxy that injects faults, by command over HTTP.
//!
//! `POST /control` takes one of: `pass`; `cut` (close all, refuse new);
//! `hold` (keep connections, pass nothing); `delay MS`; `cut-up N` and
//! `cut-down N` (close each connection after N more bytes towards the server
//! or the client, the last piece halved if need be), once. `GET /control`
//! gives the bytes passed so far.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sablepass_stand::http;
use serde_json::json;

use crate::{Error, web};

/// Time between two looks at the mode while bytes are held.
const POLL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Pass,
    Cut,
    Hold,
    Delay(u64),
    /// Close after this many more bytes in the direction.
    CutAfter(Direction, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

struct State {
    mode: Mode,
    up: u64,
    down: u64,
}

type Shared = Arc<Mutex<State>>;

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the proxy.
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
    let passed = json!({ "up": state.up, "down": state.down, "mode": format!("{:?}", state.mode) });
    drop(state);
    web::json(request, 200, &passed);
}

fn connect(state: &Shared, client: TcpStream, to: SocketAddr) {
    if lock(state).mode == Mode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let up = state.clone();
    std::thread::spawn(move || pump(&up, Direction::Up, client2, server2));
    pump(state, Direction::Down, server, client);
}

fn pump(state: &Shared, direction: Direction, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    // The mode is looked at even when no bytes come.
    let _ = from.set_read_timeout(Some(POLL));
    loop {
        if lock(state).mode == Mode::Cut {
            break;
        }
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        let (length, cut) = pass(state, direction, length);
        if to.write_all(&buffer[..length]).is_err() || cut {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// How many of the bytes to pass, and whether to close after them.
fn pass(state: &Shared, direction: Direction, length: usize) -> (usize, bool) {
    loop {
        let mut it = lock(state);
        match it.mode {
            Mode::Cut => return (0, true),
            Mode::Hold => {
                drop(it);
                std::thread::sleep(POLL);
                continue;
            }
            Mode::Delay(ms) => {
                drop(it);
                std::thread::sleep(Duration::from_millis(ms));
                it = lock(state);
            }
            Mode::CutAfter(which, left) if which == direction => {
                if length as u64 >= left {
                    it.mode = Mode::Pass;
                    return (left as usize, true);
                }
                it.mode = Mode::CutAfter(which, left - length as u64);
            }
            Mode::CutAfter(..) | Mode::Pass => {}
        }
        match direction {
            Direction::Up => it.up += length as u64,
            Direction::Down => it.down += length as u64,
        }
        return (length, false);
    }
}

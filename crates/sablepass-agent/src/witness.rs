// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Finds out whether the target's process still runs after an answer without length has ended.
//!
//! Such an answer ends with its connection, and so does that of a process that ends. A second
//! connection, which carries no request, tells the two apart: the target is on the agent's machine,
//! whose kernel ends all connections of a process together. That the target accepts another
//! connection after the end proves nothing, since it may have been restarted.

use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::time::{Duration, Instant};

/// Time to connect to the target, which is on the agent's machine.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the end of a connection within which a process that ended has closed its other
/// sockets too.
pub const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Age from which a connection is replaced while the answer arrives, since targets close
/// connections without a request after some seconds.
const MAX_AGE: Duration = Duration::from_secs(1);

/// A connection to the process that gives an answer.
#[derive(Debug)]
pub struct Witness {
    addr: Option<SocketAddr>,
    connection: Option<TcpStream>,
    opened_at: Instant,
}

impl Witness {
    /// Connects to the target with this base URL. To be called while an answer arrives.
    pub fn open(base: &str) -> Self {
        let addr = address(base);
        Self { addr, connection: addr.and_then(connect), opened_at: Instant::now() }
    }

    /// Replaces an old connection. To be called when a part of the answer has arrived.
    pub fn renew(&mut self) {
        if self.opened_at.elapsed() < MAX_AGE {
            return;
        }
        let next = self.addr.and_then(connect);
        // The old connection is still open after the new one was accepted, so both lead to the
        // process that gives the answer.
        if next.is_some() && self.is_open() {
            self.connection = next;
            self.opened_at = Instant::now();
        }
    }

    /// Returns whether the process still runs. To be called once the answer has ended.
    pub fn is_running(&self) -> bool {
        std::thread::sleep(SETTLE_TIME);
        self.is_open()
    }

    fn is_open(&self) -> bool {
        let Some(connection) = &self.connection else { return false };
        if connection.set_nonblocking(true).is_err() {
            return false;
        }
        match connection.peek(&mut [0]) {
            Ok(received) => received > 0,
            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Returns the address of the target with this base URL.
pub fn address(base: &str) -> Option<SocketAddr> {
    let uri = base.parse::<ureq::http::Uri>().ok()?;
    (uri.host()?, uri.port_u16().unwrap_or(80)).to_socket_addrs().ok()?.next()
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Options of sockets that lead to other processes.

use std::time::Duration;

use stakker_mio::mio::net::TcpStream;

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Has the kernel end a connection whose other side is gone without a word:
/// when bytes stay unacknowledged for `unacked`, or when it does not answer
/// to probes that begin after `probe` of silence.
pub fn guard(stream: &TcpStream, unacked: Duration, probe: Duration) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacked))?;
    let probes =
        socket2::TcpKeepalive::new().with_time(probe).with_interval(probe).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Has the kernel reset a connection that is closed while something is under way
/// on it, so that a request which the other side has not read is never read.
pub fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

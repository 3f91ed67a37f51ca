// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Socket options of connections to other processes.

use std::time::Duration;

use stakker_mio::mio::net::TcpStream;

/// Number of unanswered keep-alive probes that end a connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Makes the kernel end a connection to a peer that has vanished: if sent data stays unacknowledged
/// for `unacked`, or if the peer does not answer the keep-alive probes that start after `probe` of
/// idle time.
pub fn guard(stream: &TcpStream, unacked: Duration, probe: Duration) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacked))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(probe)
        .with_interval(probe)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Makes the kernel reset a connection that is closed while an exchange is in progress, so that the
/// peer never reads a request that it has not read yet.
pub fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

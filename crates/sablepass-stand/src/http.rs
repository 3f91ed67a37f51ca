// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP server of the stand-ins, on `tiny_http`, with streamed responses that are flushed event
//! by event.
//!
//! `tiny_http` keeps small writes in two buffers, which delays streamed events, so streamed
//! responses use [`StreamWriter`], which flushes on every write. The listener is made with
//! `socket2` for a backlog large enough for a burst of connections, and for a send timeout that
//! accepted sockets inherit, so that a caller that does not read cannot block a thread.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use chunked_transfer::Encoder;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tiny_http::{Header, Response, Server, StatusCode};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 4096;
/// Interval at which the process makes an empty connection to its own server. `tiny_http` 0.12
/// may queue a connection for an idle thread that is already assigned to another connection.
/// The queued one then waits until any connection ends, which may never happen with open
/// streams. An empty connection is given a new thread, ends at once, and its thread serves the
/// queued connection.
const NUDGE_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the kernel's send buffer of a connection. Without a fixed size it grows to megabytes
/// for a caller that reads slowly.
const SEND_BUFFER_BYTES: usize = 256 * 1024;
/// Exit code of a process whose server no longer accepts connections.
const EXIT_NOT_ACCEPTING: i32 = 70;
/// Maximum time that a write to a caller may block.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Errors of opening a server.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The server could not be started on the listening socket.
    #[snafu(display("cannot start the HTTP server on {addr}: {source}"))]
    Server {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Opens a server; returns it with its address, which has the actual port if `addr` has port 0.
pub fn bind(addr: SocketAddr) -> Result<(Server, SocketAddr), Error> {
    let listener = listen(addr).context(ListenSnafu { addr })?;
    let addr = listener.local_addr().context(ListenSnafu { addr })?;
    let server = Server::from_listener(listener, None).context(ServerSnafu { addr })?;
    spawn_nudge(addr, NUDGE_INTERVAL);
    Ok((server, addr))
}

/// Connects to the server every [`NUDGE_INTERVAL`] until the process ends. `tiny_http` stops
/// accepting permanently after one failed accept, for example when file descriptors run out; the
/// process then exits, so that it can be replaced.
fn spawn_nudge(addr: SocketAddr, every: Duration) {
    std::thread::spawn(move || {
        loop {
            match TcpStream::connect_timeout(&addr, SEND_TIMEOUT) {
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    eprintln!("HTTP server on {addr} no longer accepts connections; exiting");
                    std::process::exit(EXIT_NOT_ACCEPTING);
                }
                Ok(_) | Err(_) => std::thread::sleep(every),
            }
        }
    });
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(addr);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(SEND_TIMEOUT))?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A header; `None` if the name or value is not valid.
pub fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

/// A response with a body of known length.
pub fn answer(
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) -> Response<std::io::Cursor<Vec<u8>>> {
    let mut response = Response::from_data(body).with_status_code(StatusCode(status));
    if let Some(header) = header("content-type", content_type) {
        response.add_header(header);
    }
    response
}

/// A response with a JSON body, which is empty if the value cannot be serialized.
pub fn answer_json<T: Serialize>(status: u16, value: &T) -> Response<std::io::Cursor<Vec<u8>>> {
    answer(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Flushes the inner writer on every write, so that it buffers nothing.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// A chunked response. The head is sent when it is opened, each part when it is written, and the
/// end when it is dropped.
pub struct StreamWriter {
    encoder: Encoder<Flushing>,
}

impl StreamWriter {
    /// Sends the head of a chunked response.
    pub fn open(
        request: tiny_http::Request,
        status: u16,
        headers: &[(&str, &str)],
    ) -> std::io::Result<Self> {
        let mut out = request.into_writer();
        let reason = StatusCode(status).default_reason_phrase();
        write!(out, "HTTP/1.1 {status} {reason}\r\n")?;
        for (name, value) in headers {
            write!(out, "{name}: {value}\r\n")?;
        }
        write!(out, "cache-control: no-cache\r\ntransfer-encoding: chunked\r\n\r\n")?;
        out.flush()?;
        Ok(Self { encoder: Encoder::with_flush_after_write(Flushing(out)) })
    }

    /// Sends one part as a chunk; nothing if it is empty.
    pub fn part(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.encoder.write_all(bytes)
    }

    /// Ends the response with an invalid chunk, so that its reader recognizes it as incomplete.
    pub fn break_off(mut self) -> std::io::Result<()> {
        self.encoder.get_mut().write_all(b"broken off\r\n")
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! HTTP servers on `tiny_http`, with answers that are flushed event by event.
//!
//! `tiny_http` holds small writes back in two buffers of its own, which
//! delays streamed events, so streamed answers go through `StreamWriter`,
//! which flushes on every write. The listener is made with `socket2` for a
//! backlog that takes a burst of connections, and with a send timeout that
//! the accepted sockets inherit, so that a caller that does not read is
//! given up on.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use chunked_transfer::Encoder;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tiny_http::{Header, Response, Server, StatusCode};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Time between two empty connections to the server itself. `tiny_http` 0.12
/// queues a connection for an idle thread that may be promised to another
/// one already; it then waits until some connection ends, which with open
/// streams may be never. An empty connection gets a thread of its own, ends
/// at once, and leaves that thread to the one that waits.
const NUDGE: Duration = Duration::from_millis(20);
/// Bytes of an answer that the kernel holds for a caller that reads slowly. Set,
/// since it otherwise grows to megabytes a connection.
const SEND_BUFFER: usize = 256 * 1024;
/// Exit code of a process whose server stopped to accept.
const EXIT_DEAF: i32 = 70;
/// How long a write to a caller may block.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a server could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be listened on.
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The server did not start.
    #[snafu(display("server on {addr}: {source}"))]
    Server {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Opens a server and returns it with its address.
pub fn bind(addr: SocketAddr) -> Result<(Server, SocketAddr), Error> {
    let listener = listen(addr).context(ListenSnafu { addr })?;
    let addr = listener.local_addr().context(ListenSnafu { addr })?;
    let server = Server::from_listener(listener, None).context(ServerSnafu { addr })?;
    spawn_nudge(addr, NUDGE);
    Ok((server, addr))
}

/// Nudges the server for as long as the process lives. `tiny_http` stops to
/// accept for good when accepting fails once, as when descriptors run out;
/// a process that can take no callers is of no use and ends, to be replaced.
fn spawn_nudge(addr: SocketAddr, every: Duration) {
    std::thread::spawn(move || {
        loop {
            match TcpStream::connect_timeout(&addr, SEND_TIMEOUT) {
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    eprintln!("HTTP server on {addr} accepts no more connections");
                    std::process::exit(EXIT_DEAF);
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
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A header; names and values are made by this project and always valid.
pub fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

/// A whole answer.
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

/// Answers a request, in JSON, with a value that serializes.
pub fn answer_json<T: Serialize>(status: u16, value: &T) -> Response<std::io::Cursor<Vec<u8>>> {
    answer(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Flushes on every write, so that nothing below holds bytes back.
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

/// A streamed answer: the head at once, then each part as it comes. Dropping
/// it writes the end of the answer.
pub struct StreamWriter {
    encoder: Encoder<Flushing>,
}

impl StreamWriter {
    /// Writes the head of a chunked answer.
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

    /// Writes one part.
    pub fn part(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.encoder.write_all(bytes)
    }

    /// Makes the rest of the answer invalid, so that its reader sees that it
    /// broke off. Only stand-ins that fail on purpose need this.
    pub fn spoil(mut self) -> std::io::Result<()> {
        self.encoder.get_mut().write_all(b"broken off\r\n")
    }
}

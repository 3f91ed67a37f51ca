// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! A replica that answers requests with given bytes, whether or not they are an answer.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sablepass_stand::replica::HEALTH_PATH;
use sablepass_stand::site::Site;
use serde_json::json;

/// Size of the receive buffer, so that long uploads are not taken by the kernel.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Handles a request whose head was read: gets the request id, the path, and the connection to
/// answer on. The connection closes when it returns.
pub type Respond = dyn Fn(&str, &str, &mut TcpStream) + Send + Sync;

/// A raw replica. It serves until the process ends.
#[derive(Clone, Debug)]
pub struct RawReplica {
    /// Instance id.
    pub id: String,
    /// Address that it listens on.
    pub addr: SocketAddr,
    requests: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl RawReplica {
    /// Starts a replica that answers health checks properly, and all other requests by `respond`.
    pub fn spawn(respond: Arc<Respond>) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket can be created");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("receive buffer set");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port is free");
        socket.listen(128).expect("the replica can listen");
        let listener = TcpListener::from(socket);
        let replica = Self {
            id: format!("i-raw-{:x}-{number}", std::process::id()),
            addr: listener.local_addr().expect("a listening socket has an address"),
            requests: Arc::default(),
            open: Arc::default(),
        };
        let serving = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (replica, respond) = (serving.clone(), Arc::clone(&respond));
                std::thread::spawn(move || replica.serve(stream, &*respond));
            }
        });
        replica
    }

    /// Lists the replica in the store, as ready.
    pub fn list(&self, site: &Site) {
        let entry = json!({
            "service": "orders", "address": self.addr.to_string(), "zone": "ba-1", "version": "v1",
            "slots": 12, "state": "ready", "coldRemainingMs": 0, "seq": 4,
        });
        site.store.put(&format!("servers/{}", self.id), &entry.to_string());
    }

    /// Number of requests that were answered by `respond`.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Number of connections on which `respond` runs.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn serve(&self, mut stream: TcpStream, respond: &Respond) {
        while let Some(head) = read_head(&mut stream) {
            if head.contains(HEALTH_PATH) {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nx-replica-id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                );
                // The caller may have closed the connection.
                let _ = stream.write_all(answer.as_bytes());
                continue;
            }
            let id = head.lines().find_map(|it| it.strip_prefix("x-request-id: ")).unwrap_or("");
            let path = head.split(' ').nth(1).unwrap_or("");
            self.requests.fetch_add(1, Ordering::Relaxed);
            self.open.fetch_add(1, Ordering::Relaxed);
            respond(id, path, &mut stream);
            self.open.fetch_sub(1, Ordering::Relaxed);
            return;
        }
    }
}

/// Reads the head of a request; none if the connection ends before.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Resets a connection.
pub fn reset(stream: &TcpStream) {
    let linger = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    linger.expect("linger time set");
}

/// Ends the sending side of a connection, and reads until the caller closes it.
pub fn finish(stream: &mut TcpStream) {
    // Fails if the caller has closed the connection.
    let _ = stream.shutdown(Shutdown::Write);
    read_to_end(stream);
}

/// Reads until the caller closes the connection.
pub fn read_to_end(stream: &mut TcpStream) {
    while stream.read(&mut [0; 4_096]).is_ok_and(|it| it > 0) {}
}

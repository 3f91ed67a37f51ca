// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Connections of the HTTP client to the target.
//!
//! They report resets: `ureq` takes a reset while it reads a body for the end of the connection, and
//! so for the end of an answer that states no length. And they end a call that nobody awaits any
//! more, or whose answer has a head or a trailer without end: `ureq` returns from neither.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

/// Number of bytes of an answer without any content, as of a head, beyond which the call fails.
const MAX_OVERHEAD_BYTES: usize = 128 * 1024;

thread_local! {
    /// The call of this thread, if its answer is watched.
    static CALL: RefCell<Option<WatchedCall>> = const { RefCell::new(None) };
}

struct WatchedCall {
    cancelled: Arc<AtomicBool>,
    /// Number of bytes received since the call began or had content.
    overhead: usize,
}

/// Watches the answer to the next call of this thread, until `cancelled` is set.
pub fn watch(cancelled: Arc<AtomicBool>) {
    CALL.set(Some(WatchedCall { cancelled, overhead: 0 }));
}

/// Records that content of the answer was read on this thread.
pub fn record_content() {
    CALL.with_borrow_mut(|call| {
        if let Some(call) = call {
            call.overhead = 0;
        }
    });
}

/// Records that this many bytes arrived. Fails if the call is to end.
fn record_received(bytes: usize) -> Result<(), Error> {
    CALL.with_borrow_mut(|call| {
        let Some(call) = call else { return Ok(()) };
        call.overhead += bytes;
        if call.cancelled.load(Ordering::Relaxed) {
            return Err(Error::Io(std::io::Error::other("the call is cancelled")));
        }
        if call.overhead > MAX_OVERHEAD_BYTES {
            return Err(Error::Io(std::io::Error::other("too many bytes without content")));
        }
        Ok(())
    })
}

/// Returns a connector to targets, which are reached over TCP.
pub fn connector() -> impl Connector {
    TcpConnector::default().chain(TargetConnector)
}

#[derive(Debug)]
struct TargetConnector;

impl<In: Transport> Connector<In> for TargetConnector {
    type Out = TargetTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| TargetTransport { inner }))
    }
}

#[derive(Debug)]
struct TargetTransport<In> {
    inner: In,
}

impl<In: Transport> Transport for TargetTransport<In> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.inner.buffers().input().len();
        let progressed = self.inner.await_input(timeout).map_err(report_reset)?;
        record_received(self.inner.buffers().input().len().saturating_sub(before))?;
        Ok(progressed)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

/// Changes the kind of an error that `ureq` would take for the end of the connection.
fn report_reset(e: Error) -> Error {
    let is_reset = |kind| matches!(kind, ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted);
    match e {
        Error::Io(source) if is_reset(source.kind()) => Error::Io(std::io::Error::other(source)),
        e => e,
    }
}

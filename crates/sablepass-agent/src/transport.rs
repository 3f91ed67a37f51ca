// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Connections of the HTTP client to the target, which report resets: `ureq` takes a reset while it
//! reads a body for the end of the connection, and so for the end of an answer that states no length.

use std::io::ErrorKind;

use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

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
        self.inner.await_input(timeout).map_err(report_reset)
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

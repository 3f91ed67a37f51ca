// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! The stand-in for a replica itself.

use std::io::ErrorKind;
use std::net::TcpStream;

use sablepass_stand::replica::Replica;

/// A crashed replica refuses connections, even while a program that the test starts holds a copy
/// of its listening socket. Guards against a fault in which the kernel still accepted connections
/// for a replica that had crashed, so that an entry took its crash for the failure of a link.
#[test]
fn verify_a_crashed_replica_refuses_connections() {
    let replica = Replica::spawn("orders");
    let copy = replica.copy_listener();
    replica.crash();
    let error = TcpStream::connect(replica.addr).expect_err("the replica accepts a connection");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused, "{error}");
    drop(copy);
}

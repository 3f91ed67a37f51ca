// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Where the body of a message ends, as its header fields state it (RFC 9112, section 6).
//!
//! The protocol library ignores fields that it does not understand and then takes another end than
//! the sender. These checks refuse such messages. They apply to every request and response that
//! this project reads, also to those read by `ureq`.

use http::header::{self, HeaderMap};
use http::{Method, Request, Response, Version};
use snafu::{Snafu, ensure};

/// Status codes of final responses.
const FINAL_STATUS: std::ops::RangeInclusive<u16> = 200..=599;

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The transfer coding is unknown, or the protocol version has none.
    #[snafu(display("unknown transfer coding"))]
    Coding,
    /// The method asks for a tunnel, which nothing here provides.
    #[snafu(display("CONNECT request"))]
    Tunnel,
    /// A request names several hosts.
    #[snafu(display("several Host fields"))]
    Hosts,
    /// A chunk does not begin with its size.
    #[snafu(display("a chunk without size"))]
    ChunkSize,
    /// A response has a length and a transfer coding.
    #[snafu(display("both a length and a transfer coding"))]
    Ambiguous,
    /// The status is not that of a final response.
    #[snafu(display("invalid status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
}

/// How the header fields of a request delimit its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFraming {
    /// By one length, by chunks, or not at all, if there is no body.
    Stated,
    /// By chunks and by a length. The chunks count; other readers of the connection may have gone by
    /// the length, so nothing that follows on it may be read.
    Ambiguous,
}

/// Returns the framing of a request, or an error if it cannot be read or the end of its body cannot
/// be determined.
pub fn of_request(request: &Request<()>) -> Result<RequestFraming, Error> {
    let fields = request.headers();
    ensure!(request.method() != Method::CONNECT, TunnelSnafu);
    ensure!(fields.get_all(header::HOST).iter().count() <= 1, HostsSnafu);
    if !is_chunked(request.version(), fields)? {
        return Ok(RequestFraming::Stated);
    }
    let ambiguous = fields.contains_key(header::CONTENT_LENGTH);
    Ok(if ambiguous { RequestFraming::Ambiguous } else { RequestFraming::Stated })
}

/// Checks the head of a final response: whether it is one, and whether the end of its body can be
/// determined.
pub fn check_response<T>(response: &Response<T>) -> Result<(), Error> {
    let status = response.status().as_u16();
    if !FINAL_STATUS.contains(&status) {
        return Err(Error::Status { status });
    }
    let fields = response.headers();
    if is_chunked(response.version(), fields)? && fields.contains_key(header::CONTENT_LENGTH) {
        return Err(Error::Ambiguous);
    }
    Ok(())
}

/// Whether a byte may be the first of the line with a chunk's size. The protocol library also
/// accepts a sign or a blank there.
pub fn begins_chunk_size(byte: u8) -> bool {
    byte.is_ascii_hexdigit()
}

/// Whether a body is chunked. Any other transfer coding is an error.
fn is_chunked(version: Version, fields: &HeaderMap) -> Result<bool, Error> {
    if !fields.contains_key(header::TRANSFER_ENCODING) {
        return Ok(false);
    }
    let values = fields.get_all(header::TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|it| it.as_bytes().split(|byte| *byte == b','));
    let first = codings.next().unwrap_or_default();
    let chunked = first.trim_ascii().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
    if chunked && version == Version::HTTP_11 { Ok(true) } else { Err(Error::Coding) }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Frames on a byte stream: a four-byte length and one message.

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::generated::{self, frame::Body};

/// Longest frame in bytes: a delta with one document of the platform's
/// limit, twice (newest and accepted), and room for the rest.
pub const FRAME_LIMIT: usize = 4 << 20;

/// Why bytes are not a frame.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The length is over the limit, or the stream is out of step.
    #[snafu(display("frame length: {source}"))]
    Length {
        /// The codec's error.
        source: std::io::Error,
    },
    /// The message does not decode.
    #[snafu(display("message: {source}"))]
    Decode {
        /// The decoder's error.
        source: prost::DecodeError,
    },
    /// The message has no body.
    #[snafu(display("message without a body"))]
    Empty,
}

/// Splits bytes into messages and makes bytes of messages.
#[derive(Debug)]
pub struct Codec {
    lengths: LengthDelimitedCodec,
    input: BytesMut,
}

impl Default for Codec {
    fn default() -> Self {
        Self::open()
    }
}

impl Codec {
    /// Opens a codec with empty buffers.
    pub fn open() -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
        Self { lengths, input: BytesMut::new() }
    }

    /// Takes bytes that arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The next whole message and its size in bytes, if there is one.
    pub fn next_body(&mut self) -> Result<Option<(Body, usize)>, Error> {
        let Some(frame) = self.lengths.decode(&mut self.input).context(LengthSnafu)? else {
            return Ok(None);
        };
        let size = frame.len();
        let frame = generated::Frame::decode(frame).context(DecodeSnafu)?;
        let body = frame.body.ok_or(Error::Empty)?;
        Ok(Some((body, size)))
    }

    /// Appends a message's bytes to `out`.
    pub fn encode(&mut self, body: Body, out: &mut Vec<u8>) -> Result<(), Error> {
        let frame = generated::Frame { body: Some(body) };
        let mut bytes = BytesMut::new();
        let message = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(message, &mut bytes).context(LengthSnafu)?;
        out.extend_from_slice(&bytes);
        Ok(())
    }
}

/// The label of a message kind, for the counters of control traffic.
pub fn kind(body: &Body) -> &'static str {
    match body {
        Body::Hello(_) => "hello",
        Body::Dispatch(_) => "dispatch",
        Body::Cancel(_) => "cancel",
        Body::Probe(_) => "probe",
        Body::Verdict(_) => "verdict",
        Body::Head(_) => "head",
        Body::Chunk(_) => "chunk",
        Body::Done(_) => "done",
        Body::Refused(_) => "refused",
        Body::Failed(_) => "failed",
        Body::Report(_) => "report",
        Body::Digest(_) => "digest",
        Body::Pull(_) => "pull",
        Body::Delta(_) => "delta",
        Body::Ballot(_) => "ballot",
        Body::Tally(_) => "tally",
        Body::Proposal(_) => "proposal",
        Body::Barrier(_) => "barrier",
        Body::Bounds(_) => "bounds",
        Body::MapPull(_) => "map-pull",
        Body::Entries(_) => "entries",
        Body::Suspects(_) => "suspects",
        Body::Notices(_) => "notices",
        Body::TurnAsk(_) => "turn-ask",
        Body::TurnAnswer(_) => "turn-answer",
        Body::Removals(_) => "removals",
    }
}

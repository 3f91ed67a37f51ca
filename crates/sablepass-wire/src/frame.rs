// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Frames on a byte stream: a four-byte big-endian length and one encoded message.

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::generated::{self, frame::Body};

/// Maximum length of a frame in bytes. Sufficient for a delta with one document of the maximum
/// size that the platform allows, in its newest and its accepted version, and the other fields.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum length in bytes of the first frame, by which a peer introduces itself.
pub const MAX_FIRST_FRAME_BYTES: usize = 16 * 1024;

/// Length in bytes of a frame after which the memory of the input is given back.
const LARGE_FRAME_BYTES: usize = 64 * 1024;

/// Size in bytes of the length in front of each message.
pub const LENGTH_BYTES: usize = 4;

/// Error in reading or writing a frame.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The length exceeds the limit, possibly because the stream is not aligned to frames.
    #[snafu(display("frame length: {source}"))]
    Length {
        /// The codec's error.
        source: std::io::Error,
    },
    /// The message cannot be decoded.
    #[snafu(display("message: {source}"))]
    Decode {
        /// The decoder's error.
        source: prost::DecodeError,
    },
    /// The message has no body.
    #[snafu(display("message without a body"))]
    Empty,
}

/// Splits a byte stream into messages, and encodes messages.
#[derive(Debug)]
pub struct Codec {
    output_lengths: LengthDelimitedCodec,
    input_lengths: LengthDelimitedCodec,
    input: BytesMut,
    /// Whether the input had a large frame since its memory was given back.
    had_large: bool,
}

impl Default for Codec {
    fn default() -> Self {
        Self::open()
    }
}

impl Codec {
    /// Creates a codec with empty buffers.
    pub fn open() -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self {
            output_lengths: lengths.clone(),
            input_lengths: lengths,
            input: BytesMut::new(),
            had_large: false,
        }
    }

    /// Sets the maximum length of the frames that are read from now on.
    pub fn limit_frames(&mut self, bytes: usize) {
        self.input_lengths.set_max_frame_length(bytes);
    }

    /// Adds received bytes to the input buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns the next message and its encoded size in bytes, or `None` if the buffer has no
    /// complete frame.
    pub fn next_body(&mut self) -> Result<Option<(Body, usize)>, Error> {
        let Some(frame) = self.input_lengths.decode(&mut self.input).context(LengthSnafu)? else {
            if self.input.is_empty() && std::mem::take(&mut self.had_large) {
                self.input = BytesMut::new();
            }
            return Ok(None);
        };
        let size = frame.len();
        self.had_large |= size > LARGE_FRAME_BYTES;
        let frame = generated::Frame::decode(frame).context(DecodeSnafu)?;
        let body = frame.body.ok_or(Error::Empty)?;
        Ok(Some((body, size)))
    }

    /// Appends the frame of a message to `out`.
    pub fn encode(&mut self, body: Body, out: &mut Vec<u8>) -> Result<(), Error> {
        let frame = generated::Frame { body: Some(body) };
        let mut bytes = BytesMut::new();
        let message = Bytes::from(frame.encode_to_vec());
        self.output_lengths.encode(message, &mut bytes).context(LengthSnafu)?;
        out.extend_from_slice(&bytes);
        Ok(())
    }
}

/// Returns the metric label of a message's kind, for the counters of messages and bytes.
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
        Body::LoadUpdate(_) => "load-update",
        Body::AgeUpdate(_) => "age-update",
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Splits a stream of server-sent events into complete events, so that another target can
//! continue an interrupted stream after the last event that the caller got.

use sseer::parser::{self, RawEventLine};

/// Buffers the bytes of a stream until they make a complete event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Length in bytes of the complete lines at the start of `pending`.
    lines_len: usize,
    /// Id of the incomplete event, if its `id` field has arrived.
    pending_id: Option<String>,
    /// Id of the last complete event that had one.
    last_id: Option<String>,
}

impl Splitter {
    /// Appends bytes of the stream and returns those of all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let ends_line = |it: &u8| matches!(it, b'\n' | b'\r');
        let may_end_line = self.pending.last() == Some(&b'\r') || bytes.iter().any(ends_line);
        self.pending.extend_from_slice(bytes);
        if !may_end_line {
            // A long line is not scanned again with each of its parts.
            return Vec::new();
        }
        let mut complete_len = 0;
        while let Some((line, rest)) = parser::parse_line(&self.pending[self.lines_len..]) {
            let end = self.pending.len() - rest.len();
            match line {
                RawEventLine::Empty => {
                    complete_len = end;
                    self.last_id = self.pending_id.take().or(self.last_id.take());
                }
                RawEventLine::Field { field_name: b"id", field_value: Some(value) } => {
                    self.pending_id = Some(String::from_utf8_lossy(value).into_owned());
                }
                RawEventLine::Field { .. } | RawEventLine::Comment => {}
            }
            self.lines_len = end;
        }
        let rest = self.pending.split_off(complete_len);
        self.lines_len -= complete_len;
        std::mem::replace(&mut self.pending, rest)
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards an incomplete event before another target continues the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.lines_len = 0;
        self.pending_id = None;
    }
}

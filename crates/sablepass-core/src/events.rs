// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Cuts a stream into whole events, so that it can be taken up again at
//! another target after the last one that the caller got.

use sseer::parser::{self, RawEventLine};

/// The bytes of a stream that do not make a whole event yet.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Bytes of `pending` that are whole lines.
    lines: usize,
    /// Id in those lines.
    id: Option<String>,
    last: Option<String>,
}

impl Splitter {
    /// Takes bytes in and returns those of the events that are whole now.
    pub fn take(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some((line, rest)) = parser::parse_line(&self.pending[self.lines..]) {
            let end = self.pending.len() - rest.len();
            match line {
                RawEventLine::Empty => {
                    whole = end;
                    self.last = self.id.take().or(self.last.take());
                }
                RawEventLine::Field { field_name: b"id", field_value: Some(value) } => {
                    self.id = Some(String::from_utf8_lossy(value).into_owned());
                }
                RawEventLine::Field { .. } | RawEventLine::Comment => {}
            }
            self.lines = end;
        }
        let rest = self.pending.split_off(whole);
        self.lines -= whole;
        std::mem::replace(&mut self.pending, rest)
    }

    /// Id of the last whole event that had one.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops what has begun: its target will not end it.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.lines = 0;
        self.id = None;
    }
}

// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Memory for answers that are passed on as a whole, as part of the router. It is shared with the
//! callers' connections, which hold the answers until their callers have read them.
//!
//! An answer with a length gets the memory for all of it before its body is read; until then its
//! connection is not read. Any other answer fails if there is no memory for its next part.

use std::collections::VecDeque;

use http::header;
use sablepass_core::flight;
use sablepass_core::id::RequestId;

use crate::pool::ConnectionKey;
use crate::router::Router;

/// An answer whose body is not read until there is memory for it.
#[derive(Clone, Copy, Debug)]
struct WaitingAnswer {
    request: RequestId,
    connection: ConnectionKey,
    bytes: usize,
}

/// Answers that wait for memory, in the order of their arrival.
#[derive(Debug, Default)]
pub struct WaitingAnswers(VecDeque<WaitingAnswer>);

impl Router {
    /// Reserves the memory for an answer with this head, or lets it wait for that.
    pub(crate) fn reserve_answer(
        &mut self,
        request: RequestId,
        connection: ConnectionKey,
        head: &http::Response<()>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(length) = announced_length(head) else { return };
        if open.flight.request().stream || open.run.head.method() == http::Method::HEAD {
            return;
        }
        let bytes = length.min(flight::Options::default().max_answer_bytes);
        if self.waiting_answers.0.is_empty() && open.answer.resize(bytes) {
            return;
        }
        self.metrics.answers_waited.inc();
        self.pool.pause(connection, true);
        self.waiting_answers.0.push_back(WaitingAnswer { request, connection, bytes });
    }

    /// Continues with the answers that wait for memory, as far as there is some.
    pub(crate) fn continue_answers(&mut self) {
        while let Some(it) = self.waiting_answers.0.front().copied() {
            let open = self.requests.get_mut(&it.request);
            let open = open.filter(|open| open.connection == Some(it.connection));
            if let Some(open) = open {
                if !open.answer.resize(it.bytes) {
                    return;
                }
                self.pool.pause(it.connection, false);
            }
            self.waiting_answers.0.pop_front();
        }
    }
}

fn announced_length(head: &http::Response<()>) -> Option<usize> {
    head.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

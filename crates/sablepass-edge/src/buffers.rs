// Copyright the sablepass authors.
// SPDX-License-Identifier: Apache-2.0

//! Buffers of connections, which give back what they took for a large message.

/// Capacity that an empty output buffer keeps.
const KEPT_BYTES: usize = 8 * 1024;

/// Frees an output buffer that is empty and has grown, as for a large message.
pub(crate) fn release_empty(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > KEPT_BYTES {
        *buffer = Vec::new();
    }
}

//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Buffers bytes and returns only complete events. An endpoint may fail in the middle of
/// an event, and an event must not be joined from the bytes of two attempts.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

/// Complete events that arrived together.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Events {
    /// The events as the endpoint wrote them.
    pub(crate) bytes: Bytes,
    /// How many there are.
    pub(crate) count: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// [`EventTooLarge`] if an event is larger than any endpoint writes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = event_length(&self.buffer[end..]) {
            if let Some(id) = event_id(&self.buffer[end..end + length]) {
                self.last_id = Some(id.to_owned());
            }
            end += length;
            count += 1;
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        if count == 0 {
            return Ok(None);
        }
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Events { bytes, count }))
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the buffer holds the beginning of an incomplete event.
    pub(crate) fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the beginning of an incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// The error of an event with more than [`MAX_EVENT_BYTES`] bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Returns the length of the first complete event, with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

/// Returns the value of an event's last `id` field.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim())
}

#[cfg(test)]
#[path = "../tests/unit/events.rs"]
mod tests;

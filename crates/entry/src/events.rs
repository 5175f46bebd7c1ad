//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const EVENT_BYTES: usize = 256 * 1_024;

/// Collects bytes and hands out whole events: an endpoint may stop in the middle
/// of one, and pieces of two runs must not be joined inside an event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

/// Whole events that arrived together.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Events {
    /// The events as they were written.
    pub(crate) bytes: Bytes,
    /// How many there are.
    pub(crate) count: usize,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
    ///
    /// # Errors
    ///
    /// An event that is larger than any endpoint writes.
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
        if self.buffer.len() - end > EVENT_BYTES {
            return Err(EventTooLarge);
        }
        if count == 0 {
            return Ok(None);
        }
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Events { bytes, count }))
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an event has begun and isn't whole.
    pub(crate) fn is_torn(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the part of an event that isn't whole.
    pub(crate) fn drop_torn(&mut self) {
        self.buffer.clear();
    }
}

/// An event has more bytes than are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Returns the length of the first whole event with the empty line that ends it.
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

/// Returns the id that an event sets.
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

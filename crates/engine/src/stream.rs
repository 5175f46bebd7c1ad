//! Parser for server-sent events from an engine.

use bulrushhoist_core::RequestId;
use bytes::{Buf as _, Bytes, BytesMut};

use crate::api::{EndpointError, StreamEvent};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Data of the event that ends a stream.
const END_DATA: &[u8] = b"[DONE]";

/// Splits a byte stream into the events of one request.
///
/// Each event names its request and its offset as `id: REQUEST:OFFSET`. An event of
/// another request, a missing event and a repeated one are errors, so that a caller
/// never receives a wrong or incomplete answer as a complete one.
#[derive(Debug)]
pub struct EventParser {
    request: String,
    next_offset: u64,
    /// Received bytes of incomplete events.
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that contain no separator.
    scanned: usize,
}

impl EventParser {
    /// Creates a parser for the events of request `id` from `offset` on.
    #[must_use]
    pub fn new(id: RequestId, offset: u64) -> Self {
        Self {
            request: id.to_string(),
            next_offset: offset,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EndpointError> {
        loop {
            let from = self.scanned.saturating_sub(1);
            let Some(at) = self.buffer[from..].windows(2).position(|w| w == b"\n\n") else {
                self.scanned = self.buffer.len();
                if self.buffer.len() > MAX_EVENT_BYTES {
                    return Err(bad("an event exceeds the maximum size"));
                }
                return Ok(None);
            };
            let event = self.buffer.split_to(from + at).freeze();
            self.buffer.advance(2);
            self.scanned = 0;
            if let Some(parsed) = self.parse(&event)? {
                return Ok(Some(parsed));
            }
        }
    }

    /// Parses one event; returns `None` for an event without data, such as a comment.
    fn parse(&mut self, event: &Bytes) -> Result<Option<StreamEvent>, EndpointError> {
        let mut id = None;
        let mut data = None;
        for line in event.split(|b| *b == b'\n') {
            if let Some(value) = line.strip_prefix(b"id: ") {
                id = Some(value);
            } else if let Some(value) = line.strip_prefix(b"data: ") {
                data = Some(value);
            }
        }
        let Some(data) = data else { return Ok(None) };
        let id = id
            .and_then(|i| std::str::from_utf8(i).ok())
            .ok_or_else(|| bad("an event has no id"))?;
        let (request, offset) = id
            .split_once(':')
            .ok_or_else(|| bad("an event id is malformed"))?;
        if request != self.request {
            return Err(bad("an event names another request"));
        }
        let offset: u64 = offset
            .parse()
            .map_err(|_| bad("an event offset is malformed"))?;
        if offset != self.next_offset {
            return Err(bad("an event is missing or repeated"));
        }
        if data == END_DATA {
            return Ok(Some(StreamEvent::End { offset }));
        }
        self.next_offset += 1;
        Ok(Some(StreamEvent::Part {
            offset,
            data: event.slice_ref(data),
        }))
    }
}

fn bad(cause: &str) -> EndpointError {
    EndpointError::BadAnswer {
        cause: cause.to_owned(),
    }
}

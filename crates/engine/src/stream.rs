//! Parsing of server-sent events from an engine.

use bulrushhoist_core::RequestId;
use bytes::{Buf as _, Bytes, BytesMut};

use crate::api::{EndpointError, StreamEvent};

/// Largest event that is accepted, in bytes.
const EVENT_MAX_BYTES: usize = 256 << 10;
/// Data of the event that ends a stream.
const END_MARK: &[u8] = b"[DONE]";

/// Splits a byte stream into the events of one request.
///
/// Each event names its request and its offset as `id: REQUEST:OFFSET`. An
/// event of another request, a gap or a repeat is an error, not an answer.
#[derive(Debug)]
pub struct EventParser {
    expected: String,
    next: u64,
    buffer: BytesMut,
    scanned: usize,
}

impl EventParser {
    /// A parser for the events of `id` from `offset` on.
    #[must_use]
    pub fn new(id: RequestId, offset: u64) -> Self {
        Self {
            expected: id.to_string(),
            next: offset,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes out the next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EndpointError> {
        loop {
            let from = self.scanned.saturating_sub(1);
            let Some(at) = self.buffer[from..].windows(2).position(|w| w == b"\n\n") else {
                self.scanned = self.buffer.len();
                if self.buffer.len() > EVENT_MAX_BYTES {
                    return Err(bad("an event is too large"));
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
            .ok_or_else(|| bad("no event id"))?;
        let (request, offset) = id
            .split_once(':')
            .ok_or_else(|| bad("malformed event id"))?;
        if request != self.expected {
            return Err(bad("an event of another request"));
        }
        let offset: u64 = offset.parse().map_err(|_| bad("malformed offset"))?;
        if offset != self.next {
            return Err(bad("an event is missing or repeated"));
        }
        if data == END_MARK {
            return Ok(Some(StreamEvent::End { offset }));
        }
        self.next += 1;
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

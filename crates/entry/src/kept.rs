//! Complete bodies of requests and answers, within the memory that all of them may use.
//!
//! Each body has a limit of its own, but an entry has far more connections than it can keep
//! bodies of that size. What doesn't fit into the sum is given up, instead of ending the
//! process with every request. See `docs/CAPACITY.md`.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::backlog::{Backlogs, Room};

/// Bytes of each body that don't count, so that small ones are never given up because of
/// large ones.
const UNCOUNTED_BYTES: usize = 16 * 1_024;

/// Why a body can't be kept.
#[derive(Debug, derive_more::Display)]
pub(crate) enum BodyError {
    /// The connection failed before the body was complete.
    #[display("incomplete body: {_0}")]
    Incomplete(hyper::Error),
    /// It is larger than its own limit.
    #[display("body too large")]
    TooLarge,
    /// The bodies that are kept use all the memory that they may use.
    #[display("no room for the body")]
    NoRoom,
}

/// The memory that all kept bodies may use, together with the events that wait for callers.
pub(crate) struct BodyMemory {
    room: Room,
    pub(crate) backlogs: Backlogs,
}

impl BodyMemory {
    pub(crate) fn new(max_bytes: usize) -> Self {
        let room = Room::new(max_bytes);
        Self {
            backlogs: Backlogs::new(room.clone()),
            room,
        }
    }

    /// Returns the bytes that count at this moment.
    pub(crate) fn used(&self) -> usize {
        self.room.used()
    }

    /// Reads a complete body of at most `max_bytes`.
    pub(crate) async fn read(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let mut kept = self.empty();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if kept.bytes.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            kept.append(&data, &self.backlogs)?;
        }
        Ok(Bytes::from_owner(kept))
    }

    fn empty(&self) -> Kept {
        Kept {
            bytes: BytesMut::new(),
            counted: 0,
            room: self.room.clone(),
        }
    }
}

/// Bytes that are counted until the last reference to them is dropped.
struct Kept {
    bytes: BytesMut,
    counted: usize,
    room: Room,
}

impl Kept {
    fn append(&mut self, data: &[u8], backlogs: &Backlogs) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            // The buffer at least doubles, so what it will use is counted before.
            let capacity = length.max(self.bytes.capacity() * 2);
            let more = capacity.saturating_sub(UNCOUNTED_BYTES) - self.counted;
            if !backlogs.make_room(more) {
                return Err(BodyError::NoRoom);
            }
            self.room.take(more);
            self.counted += more;
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.room.give_back(self.counted);
    }
}

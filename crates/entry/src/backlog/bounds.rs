//! Decides whose stream ends when the memory of waiting events is used up.
//!
//! Its input are sizes only, so it needs no clock and no connection. A caller that has read
//! everything never loses its stream, and of the others the one that holds most does.
//!
//! Answers the load of many callers that read slowly at the same time, of which each keeps
//! within its own bound.

/// Bytes that may wait for one caller, unless a single chunk is larger.
const MAX_CALLER_BYTES: usize = 256 * 1_024;
/// Chunks that wait for a caller whose stream isn't read ahead.
const MAX_PACED_CHUNKS: usize = 16;
/// Bytes for one caller that don't need room among the bodies, so that callers which read in
/// time are never held up by large bodies.
pub(super) const SMALL_BYTES: usize = 16 * 1_024;
/// How a stream is read while its caller doesn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    /// Ahead, up to the bounds of memory. The stream of a caller beyond them ends.
    Ahead,
    /// Not beyond [`MAX_PACED_CHUNKS`], which passes the back-pressure to the leader.
    Paced,
}

/// What is known of a backlog and the memory as a chunk arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) reading: Reading,
    /// Bytes and chunks that already wait for the caller.
    pub(super) held: usize,
    pub(super) chunks: usize,
    /// Size of the chunk.
    pub(super) more: usize,
    /// Memory that neither bodies nor backlogs use.
    pub(super) free: usize,
    /// Room for bytes of streams that are read ahead, if there were no bodies.
    pub(super) ahead_free: usize,
    /// The other stream that is read ahead with the most bytes waiting, and how many.
    pub(super) largest: Option<(u64, usize)>,
}

/// What becomes of a chunk that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Keep,
    /// The stream of its own caller ends at the limit for one caller; what waits is delivered.
    EndOwn,
    /// The stream of its own caller ends for the memory of all; what waits is dropped.
    DropOwn,
    /// Another stream ends; then the chunk is tried again.
    End(u64),
    /// It waits until the caller has read.
    AwaitCaller,
    /// Streams of slow callers end if that makes its room; otherwise it waits for room.
    MakeRoom,
    /// It waits until bodies have been given up.
    AwaitRoom,
}

/// Decides what becomes of a chunk. Of the callers whose bytes fill the memory, the one
/// that holds most loses its stream; one that has read everything never does.
pub(super) const fn verdict(arrival: Arrival) -> Verdict {
    let after = arrival.held + arrival.more;
    let fits = arrival.more <= arrival.free;
    if matches!(arrival.reading, Reading::Paced) {
        return match fits || arrival.more <= SMALL_BYTES {
            _ if arrival.chunks >= MAX_PACED_CHUNKS => Verdict::AwaitCaller,
            true => Verdict::Keep,
            false => Verdict::MakeRoom,
        };
    }
    if arrival.held > 0 && after > MAX_CALLER_BYTES {
        return Verdict::EndOwn;
    }
    if fits || (after <= SMALL_BYTES && arrival.more <= arrival.ahead_free) {
        return Verdict::Keep;
    }
    match arrival.largest {
        Some((id, held)) if held >= after => Verdict::End(id),
        _ if arrival.held > 0 => Verdict::DropOwn,
        _ => Verdict::AwaitRoom,
    }
}

/// Returns the stream that ends so that a body has room. A backlog as small as what every
/// body has free is left alone.
pub(super) fn victim_of_body(largest: Option<(u64, usize)>) -> Option<u64> {
    largest.filter(|(_, h)| *h > SMALL_BYTES).map(|(id, _)| id)
}

#[cfg(test)]
#[path = "../../tests/unit/backlog_bounds.rs"]
mod tests;

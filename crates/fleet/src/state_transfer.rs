//! Whom a starting entry asks for what the store can't tell it.
//!
//! A write that the store executed late looks like any other to an entry that knows nothing
//! newer. Its peers do, so it asks them before it uses the first list of the endpoints. The
//! load that this answers is a mass start: each entry asks [`MAX_ASKED`] peers at most,
//! [`MAX_CONCURRENT`] of them at a time, and waits no longer than
//! [`STATE_TRANSFER_TIMEOUT`]. See
//! `docs/decisions/0019-state-of-a-starting-entry.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::membership::EntryInfo;

/// Peers that are asked at the same time: one of them may be dead or starting.
const MAX_CONCURRENT: usize = 3;
/// Peers that are asked in all.
const MAX_ASKED: usize = 12;
/// Time after which an entry starts without an answer. Its callers are refused until then.
pub const STATE_TRANSFER_TIMEOUT: Duration = Duration::from_millis(400);

/// What the answer of a peer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum PeerKnowledge {
    /// Its copy of the endpoints' records is current.
    Current,
    /// It is starting, or the store doesn't answer it.
    Outdated,
    /// It didn't answer, or is of a version without this question.
    Unknown,
}

/// The questions of one start.
///
/// Invariant: the number of pending questions is [`MAX_CONCURRENT`] at most, and the transfer
/// ends with the first current answer, the last one, or at its timeout.
#[derive(Debug)]
pub struct StateTransfer {
    /// Peers that haven't been asked; the next one is the last.
    candidates: SmallVec<[SocketAddr; MAX_ASKED]>,
    pending: usize,
    informed: bool,
    end: Time,
}

impl StateTransfer {
    /// Begins the transfer of an entry in this data centre. Peers there are asked first, and
    /// each entry asks others, so that the questions of a mass start are spread.
    pub fn begin<'a>(
        now: Time,
        data_centre: &str,
        peers: impl Iterator<Item = &'a EntryInfo>,
        rng: &mut impl Rng,
    ) -> Self {
        let ranked = peers.map(|p| (*p.data_centre == *data_centre, rng.random::<u32>(), p.peers));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        let nearest = ranked.len().saturating_sub(MAX_ASKED);
        let candidates = ranked[nearest..].iter().map(|(.., address)| *address);
        Self {
            candidates: candidates.collect(),
            pending: 0,
            informed: false,
            end: now + STATE_TRANSFER_TIMEOUT,
        }
    }

    /// Returns the peer to ask now, if any, and counts its question as pending.
    pub fn next_peer(&mut self) -> Option<SocketAddr> {
        if self.informed || self.pending >= MAX_CONCURRENT {
            return None;
        }
        let peer = self.candidates.pop()?;
        self.pending += 1;
        Some(peer)
    }

    /// Records the end of a pending question.
    pub fn on_answer(&mut self, knowledge: PeerKnowledge) {
        self.pending = self.pending.saturating_sub(1);
        self.informed |= knowledge == PeerKnowledge::Current;
    }

    /// Returns whether the entry may use the records.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        let exhausted = self.pending == 0 && self.candidates.is_empty();
        self.informed || exhausted || now >= self.end
    }

    /// Returns when the transfer ends at the latest.
    #[must_use]
    pub const fn end(&self) -> Time {
        self.end
    }
}

//! The progress of a streaming call over all its attempts.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::Name;
use smallvec::SmallVec;

use crate::events::EventSplitter;

/// Time for which a begun stream avoids a leader at which it has failed.
const LEADER_BACKOFF: Duration = Duration::from_millis(500);

/// A leader to which a stream was sent.
struct Tried {
    leader: Name,
    /// When the attempt failed, if it has.
    failed: Option<Time>,
}

/// The progress of a stream over all its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) splitter: EventSplitter,
    /// Leaders to which the request was sent.
    tried: SmallVec<[Tried; 4]>,
    /// Attempts whose endpoint may have run the request.
    pub(crate) runs: u8,
    /// Time spent in the queue.
    pub(crate) waited: Duration,
    /// Attempts whose endpoint refused the request without running it.
    pub(crate) refusals: u8,
    /// Events that were forwarded to the caller.
    pub(crate) events: usize,
}

impl Progress {
    pub(crate) const fn has_begun(&self) -> bool {
        self.events > 0
    }

    /// Returns the leaders to leave out in the next attempt: all that were tried, or those
    /// at which a begun stream has failed a moment ago. One leader may be all there is.
    pub(crate) fn avoided(&self, now: Time) -> SmallVec<[Name; 4]> {
        let is_recent = |at: Time| now.since(at) < LEADER_BACKOFF;
        let is_avoided = |t: &&Tried| !self.has_begun() || t.failed.is_none_or(is_recent);
        let tried = self.tried.iter().filter(is_avoided);
        tried.map(|t| t.leader.clone()).collect()
    }

    /// Records that the last attempt failed.
    pub(crate) fn on_failed(&mut self, now: Time) {
        if let Some(last) = self.tried.last_mut() {
            last.failed = Some(now);
        }
    }

    /// Records an attempt at a leader.
    pub(crate) fn on_sent(&mut self, leader: &Name) {
        self.tried.retain(|t| t.leader != *leader);
        self.tried.push(Tried {
            leader: leader.clone(),
            failed: None,
        });
    }
}

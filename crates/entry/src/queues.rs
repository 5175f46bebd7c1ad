//! What waits for a leader of one model.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Discipline, FirstEventLatency, Name, QueuedRequest, RequestQueue, SlotLimit, Work,
};
use smallvec::SmallVec;
use tokio::sync::oneshot;

/// Service and model that a request names.
pub(crate) type ModelKey = (Name, Name);

/// What a waiting request is woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wake {
    /// It may start on these slots.
    Start(SlotLimit),
    /// It is refused.
    Refuse,
    /// It is refused because this entry stops before it would end.
    Stop,
}

/// Requests that wait for a free slot at a leader of one model.
#[derive(Default)]
pub(crate) struct ModelQueue {
    pub(crate) waiting: RequestQueue,
    pub(crate) wakers: HashMap<u64, oneshot::Sender<Wake>>,
    /// Streams that have begun and wait for a leader to resume them.
    pub(crate) resuming: VecDeque<ResumingStream>,
    /// Recent times from sending a request to its first event.
    pub(crate) first_events: FirstEventLatency,
}

impl ModelQueue {
    /// Wakes requests that have been removed from the queue.
    pub(crate) fn wake(&mut self, requests: &[QueuedRequest], wake: Wake) {
        for request in requests {
            if let Some(waker) = self.wakers.remove(&request.id) {
                // Fails if the caller has disconnected in the meantime.
                let _ = waker.send(wake);
            }
        }
    }

    /// Returns whether a begun stream or a queued request goes before a new request. `late`
    /// says whether the new one is late.
    pub(crate) fn has_ahead(&self, now: Time, first: Duration, late: bool) -> bool {
        let is_critical = self.waiting.discipline() == Discipline::OnTimeFirst;
        let mut resuming = self.resuming.iter();
        (is_critical && resuming.any(|s| !s.waker.is_closed()))
            || self.waiting.has_ahead(now, first, late)
    }

    /// Returns the time from a start to the first event by which the queue tells whether
    /// requests can be on time.
    pub(crate) fn expected_first(&self) -> Duration {
        match self.waiting.discipline() {
            Discipline::EarliestFirst => self.first_events.estimate(),
            Discipline::OnTimeFirst => self.first_events.high_estimate(),
        }
    }
}

/// A stream that has begun and waits for a leader.
pub(crate) struct ResumingStream {
    pub(crate) waker: oneshot::Sender<()>,
    /// Leaders at which it has failed a moment ago.
    pub(crate) avoid: SmallVec<[Name; 4]>,
    pub(crate) work: Work,
}

#[cfg(test)]
#[path = "../tests/unit/queues.rs"]
mod tests;

//! What waits for a leader of one model.

use std::collections::{HashMap, VecDeque};

use bulrushhoist_fleet::{FirstEventLatency, Name, RequestQueue, Work};
use smallvec::SmallVec;
use tokio::sync::oneshot;

/// Service and model that a request names.
pub(crate) type ModelKey = (Name, Name);

/// Requests that wait for a free slot at a leader of one model.
#[derive(Default)]
pub(crate) struct ModelQueue {
    pub(crate) waiting: RequestQueue,
    /// Wakes a waiting request: `true` lets it start, `false` refuses it.
    pub(crate) wakers: HashMap<u64, oneshot::Sender<bool>>,
    /// Streams that have begun and wait for a leader to resume them.
    pub(crate) resuming: VecDeque<ResumingStream>,
    /// Recent times from sending a request to its first event.
    pub(crate) first_events: FirstEventLatency,
}

/// A stream that has begun and waits for a leader.
pub(crate) struct ResumingStream {
    pub(crate) waker: oneshot::Sender<()>,
    /// Leaders at which it has failed a moment ago.
    pub(crate) avoid: SmallVec<[Name; 4]>,
    pub(crate) work: Work,
}

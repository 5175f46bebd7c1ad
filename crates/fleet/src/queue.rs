//! Queue of requests that wait while every leader of their model is full.
//!
//! Requests that can still meet their objective go first, by priority and then by
//! objective. Requests that are late anyway follow once no punctual one waits, and use
//! only unreserved slots: every entry has a queue of its own, and the late requests of
//! one must not take the slots that the punctual ones of another need. A request that
//! can't start before its waiting time ends is refused as soon as that is known, with
//! the time after which the queue is expected to be shorter.

use std::time::Duration;

use bulrushhoist_core::Time;

use crate::leader_choice::SlotLimit;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of queued requests.
    pub max_requests: usize,
    /// Fraction of the time between its receipt and its deadline that a request may wait.
    pub wait_fraction: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_requests: 512,
            wait_fraction: 0.4,
        }
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request within this process.
    pub id: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When it was received.
    pub received: Time,
    /// Time by which its first event is on time.
    pub objective: Time,
    /// Time at which its caller gives up.
    pub deadline: Time,
}

impl QueuedRequest {
    /// Returns whether the first event misses the objective if the request starts now
    /// and its first event takes `first`.
    #[must_use]
    pub fn is_late(&self, now: Time, first: Duration) -> bool {
        now + first > self.objective
    }

    fn wait_deadline(&self, fraction: f64) -> Time {
        self.received + self.deadline.since(self.received).mul_f64(fraction)
    }
}

/// Window over which the rate of started requests is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Minimum time after which refused callers come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum of that time: callers follow a delay of up to a third of the time that they
/// have left.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Requests that wait for a leader of one model.
#[derive(Debug, Default)]
pub struct RequestQueue {
    settings: QueueSettings,
    requests: Vec<QueuedRequest>,
    starts: std::collections::VecDeque<Time>,
}

impl RequestQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records that a request was sent to a leader, whether it was queued or not.
    pub fn on_start(&mut self, now: Time) {
        self.starts.push_back(now);
        while self
            .starts
            .front()
            .is_some_and(|t| now.since(*t) > RATE_WINDOW)
        {
            self.starts.pop_front();
        }
    }

    /// Returns how long a request is expected to wait with this many ahead of it.
    #[must_use]
    pub fn expected_wait(&self, now: Time, ahead: usize) -> Duration {
        let min_rate = 1.0 / RATE_WINDOW.as_secs_f64();
        Duration::from_secs_f64(ahead as f64 / self.start_rate(now).max(min_rate))
    }

    /// Returns the recent number of started requests per second.
    #[must_use]
    pub fn start_rate(&self, now: Time) -> f64 {
        let recent = self.starts.iter().filter(|t| now.since(**t) <= RATE_WINDOW);
        recent.count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Returns the period over which refused callers should come back: the time that
    /// the queue takes to empty, so that the service has capacity for them by then.
    #[must_use]
    pub fn retry_after(&self, now: Time) -> Duration {
        self.expected_wait(now, self.requests.len())
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// The expected wait, if the queue is full, or if others are ahead and the request may
    /// not wait that long.
    pub fn enqueue(&mut self, now: Time, request: QueuedRequest) -> Result<(), Duration> {
        let ahead = self
            .requests
            .iter()
            .filter(|r| r.priority <= request.priority)
            .count();
        let wait = self.expected_wait(now, ahead);
        let too_late = now + wait >= request.wait_deadline(self.settings.wait_fraction);
        if self.requests.len() >= self.settings.max_requests || (too_late && ahead > 0) {
            return Err(wait);
        }
        self.requests.push(request);
        Ok(())
    }

    /// Returns how many of a leader's slots the next request may use: only the
    /// unreserved ones once every queued request is late.
    #[must_use]
    pub fn next_slot_limit(&self, now: Time, first: Duration) -> SlotLimit {
        let punctual = self.requests.iter().any(|r| !r.is_late(now, first));
        if punctual {
            SlotLimit::All
        } else {
            SlotLimit::Unreserved
        }
    }

    /// Returns whether a queued request goes before a new one. `late` says whether the new
    /// one is late.
    #[must_use]
    pub fn has_ahead(&self, now: Time, first: Duration, late: bool) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|r| late || !r.is_late(now, first))
    }

    /// Removes and returns the next request. `first` is the expected time from its start
    /// to its first event.
    pub fn pop(&mut self, now: Time, first: Duration) -> Option<QueuedRequest> {
        let order = |r: &QueuedRequest| {
            let late = r.is_late(now, first);
            let end = if late { r.deadline } else { r.objective };
            (late, r.priority, end)
        };
        let best = (0..self.requests.len()).min_by_key(|i| order(&self.requests[*i]))?;
        Some(self.requests.swap_remove(best))
    }

    /// Removes a request whose caller left. Returns whether it was queued.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.requests.len();
        self.requests.retain(|r| r.id != id);
        before != self.requests.len()
    }

    /// Removes and returns the requests that have waited too long.
    pub fn take_overdue(&mut self, now: Time) -> Vec<QueuedRequest> {
        let fraction = self.settings.wait_fraction;
        let overdue = |r: &QueuedRequest| now >= r.wait_deadline(fraction);
        let (taken, kept) = self.requests.drain(..).partition(overdue);
        self.requests = kept;
        taken
    }
}

//! Where requests wait when every head is full, and who is turned away.
//!
//! Answers a load beyond the heads' capacity: work that can still be answered on
//! time goes first, by urgency and then by the end of its objective; work that is
//! late anyway follows when nothing else waits, and only into places that are left
//! over: many entries have lines of their own, and one's late work must not take the
//! place that another's punctual work needs. What can't start before it is
//! useless is turned away as soon as that is known, with the time at which the
//! line is expected to be shorter.

use std::time::Duration;

use bulrushhoist_core::Time;

use crate::placement::SlotLimit;

/// Bounds of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that wait at most.
    pub max_requests: usize,
    /// Part of a request's time that it may wait.
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

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request within this process.
    pub id: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When it came.
    pub received: Time,
    /// Moment by which its first event is on time.
    pub objective: Time,
    /// Moment at which its caller leaves.
    pub deadline: Time,
}

impl QueuedRequest {
    /// Returns whether the first event comes too late if the request starts now.
    #[must_use]
    pub fn is_late(&self, now: Time, first: Duration) -> bool {
        now + first > self.objective
    }

    fn give_up(&self, patience: f64) -> Time {
        self.received + self.deadline.since(self.received).mul_f64(patience)
    }
}

/// Starts that are remembered to tell how fast the line moves.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Least span over which refused callers come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest one: callers follow it for a third of the time that they have left.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Requests that wait for a head of one model.
#[derive(Debug, Default)]
pub struct RequestQueue {
    settings: QueueSettings,
    turns: Vec<QueuedRequest>,
    starts: std::collections::VecDeque<Time>,
}

impl RequestQueue {
    /// An empty line.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Counts a request that started, from the line or at once.
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

    /// Returns how long a request at this place of the line is expected to wait.
    #[must_use]
    pub fn expected_wait(&self, now: Time, ahead: usize) -> Duration {
        let least = 1.0 / RATE_WINDOW.as_secs_f64();
        Duration::from_secs_f64(ahead as f64 / self.start_rate(now).max(least))
    }

    /// Returns how many requests started per second a moment ago.
    #[must_use]
    pub fn start_rate(&self, now: Time) -> f64 {
        let recent = self.starts.iter().filter(|t| now.since(**t) <= RATE_WINDOW);
        recent.count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Returns the span over which refused callers should come back: as long as the
    /// line takes to empty, so that the service can carry those who return.
    #[must_use]
    pub fn retry_after(&self, now: Time) -> Duration {
        self.expected_wait(now, self.turns.len())
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Lets a request wait, or returns when its caller should come back.
    ///
    /// # Errors
    ///
    /// The time after which a place is expected, if it can't wait that long.
    pub fn enqueue(&mut self, now: Time, turn: QueuedRequest) -> Result<(), Duration> {
        let ahead = self
            .turns
            .iter()
            .filter(|t| t.priority <= turn.priority)
            .count();
        let wait = self.expected_wait(now, ahead);
        let too_late = now + wait >= turn.give_up(self.settings.wait_fraction);
        if self.turns.len() >= self.settings.max_requests || (too_late && ahead > 0) {
            return Err(wait);
        }
        self.turns.push(turn);
        Ok(())
    }

    /// Returns the room that the next request may use: once even the most punctual
    /// one is late, only what is left over.
    #[must_use]
    pub fn next_slot_limit(&self, now: Time, first: Duration) -> SlotLimit {
        let punctual = self.turns.iter().any(|t| !t.is_late(now, first));
        if punctual {
            SlotLimit::All
        } else {
            SlotLimit::Unreserved
        }
    }

    /// Returns whether a request waits that goes before a newcomer, punctual or late.
    #[must_use]
    pub fn has_ahead(&self, now: Time, first: Duration, late: bool) -> bool {
        let mut turns = self.turns.iter();
        turns.any(|t| late || !t.is_late(now, first))
    }

    /// Takes the next request out of the line. `first` is the expected time from
    /// its start to its first event.
    pub fn pop(&mut self, now: Time, first: Duration) -> Option<QueuedRequest> {
        let order = |t: &QueuedRequest| {
            let late = t.is_late(now, first);
            let end = if late { t.deadline } else { t.objective };
            (late, t.priority, end)
        };
        let best = (0..self.turns.len()).min_by_key(|i| order(&self.turns[*i]))?;
        Some(self.turns.swap_remove(best))
    }

    /// Takes a request out of the line because its caller left.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.turns.len();
        self.turns.retain(|t| t.id != id);
        before != self.turns.len()
    }

    /// Takes the requests out of the line that have waited too long.
    pub fn take_overdue(&mut self, now: Time) -> Vec<QueuedRequest> {
        let patience = self.settings.wait_fraction;
        let late = |t: &QueuedRequest| now >= t.give_up(patience);
        let (out, stay) = self.turns.drain(..).partition(late);
        self.turns = stay;
        out
    }
}

//! The retry budget that all entries share.
//!
//! Answers bursts of failures: without a bound, each failure doubles the load on
//! the endpoints that are left. The bound holds over any window and over all
//! entries together, so each entry takes an equal part of the fixed allowance and
//! its own requests' part of the proportional one.

use std::collections::VecDeque;
use std::time::Duration;

use bulrushhoist_core::Time;

/// Bound on the arrivals beyond the first of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed besides, over all entries.
    pub allowance: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

/// Part of the bound that is used at most: the windows of two entries and of the
/// judge don't begin at the same moment.
const USED_PART: f64 = 0.7;

/// One entry's part of the retry budget of a service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    settings: SharedBudgetSettings,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// A budget of which nothing is used.
    #[must_use]
    pub const fn new(settings: SharedBudgetSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Time) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget, or returns `false` if none is left.
    /// `entries` is the number of entries that may be alive.
    pub fn take_retry(&mut self, now: Time, entries: usize) -> bool {
        let left = self.has_retry(now, entries);
        if left {
            self.retries.push_back(now);
        }
        left
    }

    /// Returns whether a retry is left.
    pub fn has_retry(&mut self, now: Time, entries: usize) -> bool {
        self.forget(now);
        let own = self.settings.ratio * self.requests.len() as f64;
        let part = self.settings.allowance / entries.max(1) as f64;
        (self.retries.len() + 1) as f64 <= (own + part) * USED_PART
    }

    fn forget(&mut self, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|t| now.since(*t) > self.settings.window)
            {
                times.pop_front();
            }
        }
    }
}

//! Retry budget that all entries share.
//!
//! Without a bound, each failure of an endpoint sends one more request to the remaining
//! ones, and a burst of failures doubles their load. The bound holds over any window and
//! over all entries together. So each entry uses an equal share of the fixed allowance,
//! and the proportional part for its own requests.

use std::collections::VecDeque;
use std::time::Duration;

use bulrushhoist_core::Time;

/// Bound on retries: requests to endpoints beyond the first for each caller's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed in addition, over all entries.
    pub allowance: f64,
    /// Window in which requests and retries are counted.
    pub window: Duration,
}

/// Fraction of the bound that is used. The rest is a margin, because the windows of the
/// entries and of whoever checks the bound start at different times.
const USED_FRACTION: f64 = 0.7;

/// This entry's share of the retry budget of a service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    settings: SharedRetryBudgetSettings,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub const fn new(settings: SharedRetryBudgetSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the bound. What has been used still counts.
    pub const fn set_bounds(&mut self, settings: SharedRetryBudgetSettings) {
        self.settings = settings;
    }

    /// Records a request of a caller.
    pub fn on_request(&mut self, now: Time) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget, or returns `false` if none is left.
    /// `entries` is the number of entries that may be alive.
    pub fn take_retry(&mut self, now: Time, entries: usize) -> bool {
        let left = self.has_retry(now, entries);
        if left {
            self.retries.push_back(now);
        }
        left
    }

    /// Returns whether a retry is left, without taking it.
    pub fn has_retry(&mut self, now: Time, entries: usize) -> bool {
        self.remove_expired(now);
        let proportional = self.settings.ratio * self.requests.len() as f64;
        let share = self.settings.allowance / entries.max(1) as f64;
        (self.retries.len() + 1) as f64 <= (proportional + share) * USED_FRACTION
    }

    fn remove_expired(&mut self, now: Time) {
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

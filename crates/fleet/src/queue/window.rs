//! Counts events within the recent past.

use std::collections::VecDeque;
use std::time::Duration;

use bulrushhoist_core::Time;

/// Time for which events are counted.
pub(super) const WINDOW: Duration = Duration::from_secs(2);

/// The times of the events of the last [`WINDOW`].
#[derive(Debug, Default)]
pub(super) struct Window {
    times: VecDeque<Time>,
}

impl Window {
    pub(super) fn record(&mut self, now: Time) {
        self.times.push_back(now);
        while self.times.front().is_some_and(|t| now.since(*t) > WINDOW) {
            self.times.pop_front();
        }
    }

    pub(super) fn count(&self, now: Time) -> usize {
        let recent = self.times.iter().filter(|t| now.since(**t) <= WINDOW);
        recent.count()
    }
}

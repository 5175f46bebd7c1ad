//! How old an entry's copy of the store may grow before the entry asks the store itself.
//!
//! A change must take effect everywhere within a bound. It reaches most entries through
//! others, and any of these may lose the store without a sign. Each entry knows when the
//! store gave its copy, so each keeps the bound by itself: the nearer an entry is to the
//! store, the earlier it asks, and what it learns renews the copies of its followers before
//! they ask. See `docs/decisions/0014-age-of-copies.md`.

use std::time::Duration;

use bulrushhoist_core::Time;

/// Part of the bound for which the store may hold a watch open.
const WATCH_FRACTION: f64 = 0.55;
/// Shortest and longest wait of a watch for changes that must take effect soon.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(500);
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Parts of the time between the end of a watch and the bound after which an entry that
/// watches, a hub and another entry ask the store. What is left is for the call.
const WATCHER_FRACTION: f64 = 0.2;
const HUB_FRACTION: f64 = 0.35;
const FOLLOWER_FRACTION: f64 = 0.45;
/// Longest part of that time over which the calls of all other entries are spread.
const MAX_SPREAD_FRACTION: f64 = 0.35;
/// Part of the spread that each registered entry adds.
const SPREAD_PER_ENTRY: Duration = Duration::from_millis(2);

/// Pause after a failed call that was no first one; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of an entry that watches the store.
const MAX_WATCHER_PAUSE: Duration = Duration::from_millis(800);
/// Part of the longest pause of any other entry that each registered entry adds, so that all
/// together call a store that is down as often as a few watchers.
const PAUSE_PER_ENTRY: Duration = Duration::from_millis(16);
/// Shortest pause of any other entry, as a part of its longest.
const MIN_PAUSE_DIVISOR: u32 = 8;

fn times(duration: Duration, entries: usize) -> Duration {
    duration.saturating_mul(u32::try_from(entries).unwrap_or(u32::MAX))
}

/// How an entry gets the changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// It watches the store.
    Watcher,
    /// It is a hub, which follows a watcher.
    Hub,
    /// It follows a hub or a watcher.
    Follower,
}

/// An entry's place among all those that may call the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// How it gets the changes.
    pub distance: Distance,
    /// Its place in the spread, from 0 to 1.
    pub draw: f64,
    /// Number of registered entries.
    pub entries: usize,
}

/// The ages at which entries ask the store for one kind of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    watch_wait: Duration,
    /// Time from the end of a watch to the bound.
    slack: Duration,
}

impl AgeLimits {
    /// Returns the limits for changes that must take effect within `bound`.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let wait = bound.mul_f64(WATCH_FRACTION);
        let watch_wait = wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
        Self {
            watch_wait,
            slack: bound.saturating_sub(watch_wait),
        }
    }

    /// Returns the limits for changes that may come late, with watches that wait longer.
    #[must_use]
    pub const fn relaxed(watch_wait: Duration, slack: Duration) -> Self {
        Self { watch_wait, slack }
    }

    /// Returns the longest wait of a watch.
    #[must_use]
    pub const fn watch_wait(&self) -> Duration {
        self.watch_wait
    }

    /// Returns the age of its copy at which an entry asks the store.
    #[must_use]
    pub fn max_age(&self, place: Place) -> Duration {
        let after_wait = match place.distance {
            Distance::Watcher => self.slack.mul_f64(WATCHER_FRACTION),
            Distance::Hub => self.slack.mul_f64(HUB_FRACTION),
            Distance::Follower => {
                let most = self.slack.mul_f64(MAX_SPREAD_FRACTION);
                let spread = times(SPREAD_PER_ENTRY, place.entries).min(most);
                self.slack.mul_f64(FOLLOWER_FRACTION) + spread.mul_f64(place.draw)
            }
        };
        self.watch_wait + after_wait
    }
}

/// The age of an entry's copy of one kind, and its failed calls to the store.
#[derive(Clone, Debug, Default)]
pub struct CopyAge {
    /// When the store gave the copy; `None` before the first.
    answered_at: Option<Time>,
    /// Time before which the store is not called.
    retry_at: Time,
    /// Calls in a row that the store did not answer.
    failures: u32,
}

impl CopyAge {
    /// Records an answer that the store gave at `answered_at`, also to another entry.
    pub fn on_answer(&mut self, answered_at: Time) {
        self.answered_at = self.answered_at.max(Some(answered_at));
    }

    /// Records an answer of the store to this entry.
    pub fn on_store_answer(&mut self, now: Time) {
        self.on_answer(now);
        self.failures = 0;
        self.retry_at = now;
    }

    /// Records a call that the store did not answer. An entry that watches the store repeats
    /// the first one at once: a watch may have ended with its connection.
    pub fn on_store_failure(&mut self, now: Time, place: Place) {
        self.failures = self.failures.saturating_add(1);
        let (shortest, longest, first) = match place.distance {
            Distance::Watcher => (MIN_PAUSE, MAX_WATCHER_PAUSE, 2),
            Distance::Hub | Distance::Follower => {
                let longest = MAX_WATCHER_PAUSE.max(times(PAUSE_PER_ENTRY, place.entries));
                (MIN_PAUSE.max(longest / MIN_PAUSE_DIVISOR), longest, 1)
            }
        };
        if let Some(doublings) = self.failures.checked_sub(first) {
            let pause = shortest.saturating_mul(2_u32.saturating_pow(doublings));
            self.retry_at = now + pause.min(longest);
        }
    }

    /// Returns whether the store may be called again after failed calls.
    #[must_use]
    pub fn may_call(&self, now: Time) -> bool {
        now >= self.retry_at
    }

    /// Returns when the entry asks the store itself, unless its copy becomes younger; `None`
    /// before the first copy.
    #[must_use]
    pub fn due_at(&self, limits: AgeLimits, place: Place) -> Option<Time> {
        let due = self.answered_at? + limits.max_age(place);
        Some(due.max(self.retry_at))
    }
}

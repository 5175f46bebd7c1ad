//! Whether an entry is in contact with the store, by itself or through others.
//!
//! Load pattern: the store refuses or loses some entries while others reach it. All of
//! them go on serving, because they hear of changes through each other. But an entry that
//! only hears must neither plan groups nor be watched by others: it would find out by a
//! timeout, call by call, that it can't store a plan, while nobody else plans.

use std::time::Duration;

use bulrushhoist_core::Time;

/// Time after a failed call of the planner during which an entry leaves planning to
/// others.
const PLANNER_BACKOFF: Duration = Duration::from_secs(3);
/// Time after a failed call during which an entry doesn't count as one that reaches the
/// store.
const UNREACHED_TIME: Duration = Duration::from_secs(8);

/// What an entry's calls to the store, and those of the entries that it follows, showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// When the store, or an entry that it answers, answered last.
    answered: Option<Time>,
    /// When the store itself last answered, if no call has failed since.
    answered_directly: Option<Time>,
    /// When a call of the planner last failed.
    planner_failed: Option<Time>,
    /// When a call last failed, if the store hasn't answered since.
    unreached: Option<Time>,
}

impl StoreContact {
    /// Records an answer of the store, or of an entry that it answers.
    pub const fn on_answer(&mut self, now: Time) {
        self.answered = Some(now);
    }

    /// Records an answer of the store itself.
    pub const fn on_direct_answer(&mut self, now: Time) {
        self.answered = Some(now);
        self.answered_directly = Some(now);
        self.unreached = None;
    }

    /// Records calls that the store did not answer or accept.
    pub const fn on_failure(&mut self, now: Time) {
        self.answered_directly = None;
        self.unreached = Some(now);
    }

    /// Records a call of the planner that the store did not answer or accept.
    pub const fn on_planner_failure(&mut self, now: Time) {
        self.on_failure(now);
        self.planner_failed = Some(now);
    }

    /// Forgets all answers: this process was suspended, and they may be old.
    pub const fn reset(&mut self) {
        self.answered = None;
        self.answered_directly = None;
    }

    /// Returns whether the store itself answered within this time, and no call of the
    /// planner has failed recently.
    #[must_use]
    pub fn may_plan(&self, now: Time, within: Duration) -> bool {
        let recent = |at: Option<Time>| at.is_some_and(|t| now.since(t) < within);
        let failed = self.planner_failed;
        recent(self.answered)
            && recent(self.answered_directly)
            && failed.is_none_or(|t| now.since(t) >= PLANNER_BACKOFF)
    }

    /// Returns whether the store accepts this entry's calls, as far as it knows.
    #[must_use]
    pub fn reaches_store(&self, now: Time) -> bool {
        let failed = self.unreached;
        failed.is_none_or(|t| now.since(t) >= UNREACHED_TIME)
    }
}

//! Retry budgets, which bound retries to a fraction of the successes.
//!
//! A fixed number of attempts per request multiplies the load at the very time
//! when endpoints fail. A token bucket that successes fill bounds the extra
//! load to a known fraction.

/// Size and refill rate of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that one success adds to the budget.
    pub per_success: f64,
    /// Capacity of the budget, in retries.
    pub max_saved: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            per_success: 0.1,
            max_saved: 20.0,
        }
    }
}

/// Retry budget of one team.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            tokens: settings.max_saved,
        }
    }

    /// Adds the retries that one success earns.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.settings.per_success).min(self.settings.max_saved);
    }

    /// Spends one retry; returns whether one was left.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

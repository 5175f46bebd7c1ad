//! Retry budgets: retries stay a share of successes.
//!
//! A fixed number of tries multiplies the load just when endpoints fail. A
//! budget that successes fill bounds the extra load to a known share.

/// Size of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries earned by one success.
    pub per_success: f64,
    /// Most retries that can be saved up.
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

/// The budget of one team.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            saved: settings.max_saved,
        }
    }

    /// Earns a share of a retry.
    pub fn on_success(&mut self) {
        self.saved = (self.saved + self.settings.per_success).min(self.settings.max_saved);
    }

    /// Spends one retry; returns whether there was one.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

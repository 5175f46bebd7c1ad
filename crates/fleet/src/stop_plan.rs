//! What an entry does when after it was told to stop.
//!
//! Callers with an older directory answer still come at first, and are served. Later a
//! request is taken only if it ends before the process does; otherwise its caller learns at
//! once that another entry must run it.

use std::time::Duration;

/// Longest time for which every request is taken.
const MAX_FULL_SERVICE: Duration = Duration::from_millis(2_900);
/// The same as a part of a short grace period.
const FULL_SERVICE_FRACTION: f64 = 0.3625;
/// Longest time for which connections stay open after their current request, because callers
/// with an older directory answer still use them.
const MAX_KEEP: Duration = Duration::from_millis(3_500);
/// The same as a part of a short grace period.
const KEEP_FRACTION: f64 = 0.4375;
/// Longest time before the end of the grace period at which the process exits, so that it is
/// not killed.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(700);
/// The same as a part of a short grace period.
const EXIT_FRACTION: f64 = 0.0875;
/// Longest time before the exit at which no connection is accepted any more.
const MAX_ACCEPT_MARGIN: Duration = Duration::from_secs(1);
/// The same as a part of a short grace period.
const ACCEPT_FRACTION: f64 = 0.15;
/// Time in which an answer at a request's deadline still reaches its caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// The times of a planned stop, each counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Until when every request is taken.
    pub full_service: Duration,
    /// From when on connections are closed after their current request.
    pub close: Duration,
    /// Until when connections are accepted.
    pub last_accept: Duration,
    /// When the process exits at the latest.
    pub exit: Duration,
}

impl StopPlan {
    /// Returns the times of a stop with this grace period.
    #[must_use]
    pub fn within(grace: Duration) -> Self {
        let part = |fraction, most: Duration| grace.mul_f64(fraction).min(most);
        let exit = grace - part(EXIT_FRACTION, MAX_EXIT_MARGIN);
        Self {
            full_service: part(FULL_SERVICE_FRACTION, MAX_FULL_SERVICE),
            close: part(KEEP_FRACTION, MAX_KEEP),
            last_accept: exit - part(ACCEPT_FRACTION, MAX_ACCEPT_MARGIN),
            exit,
        }
    }

    /// Returns the time by which a request must end that still waits for an endpoint. One that
    /// can't is refused, since it would be cut off.
    #[must_use]
    pub fn last_end(&self) -> Duration {
        self.exit - ANSWER_TIME
    }

    /// Returns whether a request is taken that arrives, and ends at the latest, at these times.
    #[must_use]
    pub fn takes(&self, arrival: Duration, deadline: Duration) -> bool {
        arrival < self.full_service || deadline + ANSWER_TIME <= self.exit
    }
}

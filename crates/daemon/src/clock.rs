//! The process's monotonic clock.

use std::time::Instant;

use bulrushhoist_core::Time;

/// Reads the monotonic clock as [`Time`] since the daemon's start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        let micros = u64::try_from(self.start.elapsed().as_micros());
        // 64 bits of microseconds hold more than 500,000 years.
        Time::from_micros(micros.unwrap_or(u64::MAX))
    }
}

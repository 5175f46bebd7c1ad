//! The clocks of the process.
//!
//! The monotonic clock stops while the VM is suspended, and the boot clock does not. If
//! the boot clock gains on the monotonic one, the VM was suspended and the state of this
//! process is out of date.

use std::cell::Cell;
use std::time::{Duration, SystemTime};

use bulrushhoist_core::Time;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The clock of the process. It counts from the start of the process.
#[derive(Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// Boot time minus the time since `start`, when it was last compared.
    boot_offset: Cell<Duration>,
}

fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Returns the Unix time in milliseconds. It may jump by seconds when the clock is set.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A time of 0 makes every endpoint look as if it had just started, which is safe.
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            boot_offset: Cell::new(boot_time()),
        }
    }

    pub(crate) fn now(&self) -> Time {
        let micros = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time::from_micros(micros)
    }

    /// Converts a time to a Tokio instant, for timers.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }

    /// Returns for how long the VM was suspended since the last call of this function.
    pub(crate) fn suspended(&self) -> Duration {
        let offset = boot_time().saturating_sub(self.start.elapsed());
        let before = self.boot_offset.replace(offset);
        offset.saturating_sub(before)
    }
}

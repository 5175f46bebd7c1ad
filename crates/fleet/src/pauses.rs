//! Pauses that endpoints ask for when they refuse a request.
//!
//! A pause holds between one entry and one incarnation of an endpoint. It is no failure: the
//! endpoint is healthy and wants no request for a while.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;

/// Longest pause that is granted. A longer one would be a mistake of the endpoint, and no
/// endpoint must stop itself for ever.
pub const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Number of pauses from which on those that have ended are discarded.
const MAX_PAUSES: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Pause {
    incarnation: u64,
    until: Time,
}

/// The pauses of every endpoint.
#[derive(Debug, Default)]
pub struct Pauses {
    pauses: HashMap<Name, Pause>,
}

impl Pauses {
    /// Records that an endpoint wants no request for a time. A pause never shortens one
    /// that the same incarnation asked for before. Returns whether it is longer.
    pub fn pause(&mut self, now: Time, id: &Name, incarnation: u64, time: Duration) -> bool {
        let until = now + time.min(MAX_PAUSE);
        if self.pauses.len() >= MAX_PAUSES {
            self.pauses.retain(|_, p| p.until > now);
        }
        let known = self.pauses.get(id);
        if known.is_some_and(|p| p.incarnation == incarnation && p.until >= until) {
            return false;
        }
        self.pauses.insert(id.clone(), Pause { incarnation, until });
        true
    }

    /// Returns how long an endpoint still wants no request, if it does.
    #[must_use]
    pub fn remaining(&self, now: Time, id: &str, incarnation: u64) -> Option<Duration> {
        let pause = self.pauses.get(id)?;
        let active = pause.incarnation == incarnation && now < pause.until;
        active.then(|| pause.until.since(now))
    }

    /// Returns the number of endpoints that pause.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        self.pauses.values().filter(|p| now < p.until).count()
    }
}

//! Which endpoints answer, from what requests and probes saw.
//!
//! Answers endpoints that die without a word and heads that stall because a
//! member is lost: both show as silence on streams long before the store drops
//! the record. Health checks may be wrong either way, so what requests saw goes
//! first.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;

/// How long signs against an endpoint count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    /// Time for which a failed request or a stall keeps new work away.
    pub suspect_ttl: Duration,
    /// Probes in a row without an answer that show an endpoint to be silent.
    pub silent_probes: u32,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            suspect_ttl: Duration::from_millis(1_500),
            silent_probes: 2,
        }
    }
}

/// What is believed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Health {
    /// Nothing speaks against it.
    Alive,
    /// Requests failed or stalled there a moment ago.
    Suspect,
    /// It doesn't answer probes: dead, or cut off from this entry.
    Silent,
    /// Its VM refuses connections: this incarnation has ended.
    Dead,
}

#[derive(Clone, Copy, Debug, Default)]
struct Signs {
    born: u64,
    suspected: Option<Time>,
    failed_probes: u32,
    refused: u32,
    /// Factor by which it reported to be slower than published, and when.
    slowness: Option<(f64, Time)>,
    /// When a connection to it broke last, without a sign of life since.
    broken: Option<Time>,
}

/// Refused connections in a row that show an incarnation to have ended.
const REFUSALS_TO_DEAD: u32 = 2;

/// Time for which a report of an endpoint's pace counts.
const PACE_KEPT: Duration = Duration::from_secs(3);

/// Time within which two connections must break, with nothing heard between.
const BROKEN_AGAIN: Duration = Duration::from_millis(400);

/// Signs for and against every endpoint.
#[derive(Debug, Default)]
pub struct HealthMonitor {
    settings: HealthSettings,
    signs: HashMap<Name, Signs>,
}

impl HealthMonitor {
    /// A monitor that knows nothing.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            signs: HashMap::new(),
        }
    }

    fn signs(&mut self, id: &Name, born: u64) -> &mut Signs {
        let signs = self.signs.entry(id.clone()).or_default();
        if signs.born != born {
            *signs = Signs {
                born,
                ..Signs::default()
            };
        }
        signs
    }

    /// Takes a sign of life: an answer, an event or a report.
    pub fn on_activity(&mut self, id: &Name, born: u64) {
        let signs = self.signs(id, born);
        *signs = Signs {
            born,
            slowness: signs.slowness,
            ..Signs::default()
        };
    }

    /// Takes what an endpoint reports of its pace.
    pub fn on_slowdown(&mut self, now: Time, id: &Name, born: u64, slowness: f64) {
        self.signs(id, born).slowness = Some((slowness, now));
    }

    /// Returns the factor by which an endpoint is slower than published; 1 if it
    /// hasn't reported for a while.
    #[must_use]
    pub fn slowdown(&self, now: Time, id: &str, born: u64) -> f64 {
        let signs = self.signs.get(id).filter(|s| s.born == born);
        let recent = |(_, at): &(f64, Time)| now.since(*at) < PACE_KEPT;
        let pace = signs.and_then(|s| s.slowness).filter(recent);
        pace.map_or(1.0, |(slowness, _)| slowness.max(1.0))
    }

    /// Takes the answer to a probe: the VM lives, whatever its group does.
    pub fn on_probe_answer(&mut self, id: &Name, born: u64) {
        let signs = self.signs(id, born);
        signs.failed_probes = 0;
        signs.refused = 0;
    }

    /// Takes a failed or stalled request. Returns whether this is new.
    pub fn on_failure(&mut self, now: Time, id: &Name, born: u64) -> bool {
        let window = self.settings.suspect_ttl;
        let signs = self.signs(id, born);
        let new = signs.suspected.is_none_or(|t| now.since(t) >= window);
        signs.suspected = Some(now);
        new
    }

    /// Takes a connection that broke under a request. An answer may be lost at a sound
    /// endpoint, so only a second one counts as a failure. Returns whether that is new.
    pub fn on_disconnect(&mut self, now: Time, id: &Name, born: u64) -> bool {
        let before = self.signs(id, born).broken.replace(now);
        let again = before.is_some_and(|t| now.since(t) < BROKEN_AGAIN);
        again && self.on_failure(now, id, born)
    }

    /// Takes a connection that was refused.
    pub fn on_refused(&mut self, now: Time, id: &Name, born: u64) {
        let signs = self.signs(id, born);
        signs.suspected = Some(now);
        signs.refused += 1;
        signs.failed_probes += 1;
    }

    /// Takes an answer that shows this incarnation to have ended: another endpoint or
    /// another incarnation has its address.
    pub fn on_replaced(&mut self, now: Time, id: &Name, born: u64) {
        let signs = self.signs(id, born);
        signs.suspected = Some(now);
        signs.refused = REFUSALS_TO_DEAD;
    }

    /// Takes a probe without an answer.
    pub fn on_probe_timeout(&mut self, now: Time, id: &Name, born: u64) {
        let signs = self.signs(id, born);
        signs.suspected = Some(now);
        signs.failed_probes += 1;
    }

    /// Returns what is believed of an endpoint.
    #[must_use]
    pub fn health(&self, now: Time, id: &str, born: u64) -> Health {
        let Some(signs) = self.signs.get(id).filter(|s| s.born == born) else {
            return Health::Alive;
        };
        if signs.refused >= REFUSALS_TO_DEAD {
            return Health::Dead;
        }
        if signs.failed_probes >= self.settings.silent_probes {
            return Health::Silent;
        }
        let recent = |t: Time| now.since(t) < self.settings.suspect_ttl;
        if signs.suspected.is_some_and(recent) {
            return Health::Suspect;
        }
        Health::Alive
    }

    /// Forgets endpoints that are no longer in the roster.
    pub fn forget(&mut self, id: &str) {
        self.signs.remove(id);
    }
}

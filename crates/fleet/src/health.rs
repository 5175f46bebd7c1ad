//! Health of endpoints, from the results of requests and probes.
//!
//! An endpoint may die without closing its connections, and a leader stalls when its
//! group loses a member. Both show as a lack of events on streams long before the store
//! drops the endpoint's record. Probes may be wrong either way, so the results of
//! requests have precedence.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;

/// How long a failure makes an endpoint suspect, and how many make it silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    /// Time for which an endpoint is suspect after a failed or stalled request or a failed
    /// probe. It gets new work only if there is no unsuspected endpoint for it.
    pub suspect_ttl: Duration,
    /// Failed probes and refused connections, with no answer between them, after which an
    /// endpoint counts as silent.
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

/// Health of an endpoint as this entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Health {
    /// Nothing speaks against it.
    Alive,
    /// A request failed or stalled there recently, or a probe failed.
    Suspect,
    /// It doesn't answer probes: it is dead, or cut off from this entry.
    Silent,
    /// This incarnation has ended: its VM refuses connections, or its address belongs to
    /// another endpoint or incarnation.
    Dead,
}

/// What requests and probes showed of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    incarnation: u64,
    /// When a request or a probe last failed.
    suspected: Option<Time>,
    /// Failed probes and refused connections since the last answer.
    failed_probes: u32,
    /// When the last of them failed.
    probed: Option<Time>,
    /// Refused connections since the last answer.
    refused: u32,
    /// Factor by which it reported to be slower than published, and when it did.
    slowdown: Option<(f64, Time)>,
    /// When a connection to it last broke, if nothing was received from it since.
    disconnected: Option<Time>,
}

/// Refused connections, with no answer between them, after which an incarnation counts as
/// ended.
const DEAD_REFUSALS: u32 = 2;

/// Time after the last failed probe for which an endpoint counts as silent. It exceeds the
/// interval of the probes several times. Only the entry that plans sends probes, so without
/// a limit a former planner would never use the endpoint again.
const SILENT_TTL: Duration = Duration::from_millis(3_500);

/// Time for which a reported slowdown is used.
const SLOWDOWN_TTL: Duration = Duration::from_secs(3);

/// Maximum time between two broken connections, with nothing received between them, for
/// the second to count as a failure.
const DISCONNECT_WINDOW: Duration = Duration::from_millis(400);

/// Tracks the health of every endpoint.
#[derive(Debug, Default)]
pub struct HealthMonitor {
    settings: HealthSettings,
    endpoints: HashMap<Name, Observations>,
}

impl HealthMonitor {
    /// Creates a monitor to which every endpoint is alive.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            endpoints: HashMap::new(),
        }
    }

    /// Returns the observations of this incarnation. Those of another one are discarded.
    fn observations(&mut self, id: &Name, incarnation: u64) -> &mut Observations {
        let observations = self.endpoints.entry(id.clone()).or_default();
        if observations.incarnation != incarnation {
            *observations = Observations {
                incarnation,
                ..Observations::default()
            };
        }
        observations
    }

    /// Records an answer to a request or an event of a stream. It clears all failures.
    pub fn on_activity(&mut self, id: &Name, incarnation: u64) {
        let observations = self.observations(id, incarnation);
        *observations = Observations {
            incarnation,
            slowdown: observations.slowdown,
            ..Observations::default()
        };
    }

    /// Records the slowdown that an endpoint reports.
    pub fn on_slowdown(&mut self, now: Time, id: &Name, incarnation: u64, slowdown: f64) {
        self.observations(id, incarnation).slowdown = Some((slowdown, now));
    }

    /// Returns the factor by which an endpoint is slower than published, or 1 if it
    /// hasn't reported recently.
    #[must_use]
    pub fn slowdown(&self, now: Time, id: &str, incarnation: u64) -> f64 {
        let observations = self
            .endpoints
            .get(id)
            .filter(|o| o.incarnation == incarnation);
        let recent = |(_, at): &(f64, Time)| now.since(*at) < SLOWDOWN_TTL;
        let reported = observations.and_then(|o| o.slowdown).filter(recent);
        reported.map_or(1.0, |(slowdown, _)| slowdown.max(1.0))
    }

    /// Records the answer to a probe. The VM is alive, but its group may still be
    /// stalled, so a suspicion stays.
    pub fn on_probe_answer(&mut self, id: &Name, incarnation: u64) {
        let observations = self.observations(id, incarnation);
        observations.failed_probes = 0;
        observations.refused = 0;
    }

    /// Records a failed or stalled request. Returns whether the endpoint wasn't suspect
    /// before.
    pub fn on_failure(&mut self, now: Time, id: &Name, incarnation: u64) -> bool {
        let window = self.settings.suspect_ttl;
        let observations = self.observations(id, incarnation);
        let new = observations
            .suspected
            .is_none_or(|t| now.since(t) >= window);
        observations.suspected = Some(now);
        new
    }

    /// Records a connection that broke during a request. A single answer may be lost at
    /// a healthy endpoint, so only the second one within a short time counts as a
    /// failure. Returns whether it does and the endpoint wasn't suspect before.
    pub fn on_disconnect(&mut self, now: Time, id: &Name, incarnation: u64) -> bool {
        let before = self.observations(id, incarnation).disconnected.replace(now);
        let again = before.is_some_and(|t| now.since(t) < DISCONNECT_WINDOW);
        again && self.on_failure(now, id, incarnation)
    }

    /// Records a refused connection.
    pub fn on_refused(&mut self, now: Time, id: &Name, incarnation: u64) {
        let observations = self.observations(id, incarnation);
        observations.suspected = Some(now);
        observations.refused += 1;
        observations.failed_probes += 1;
        observations.probed = Some(now);
    }

    /// Records an answer that shows that this incarnation has ended, because another
    /// endpoint or another incarnation has its address.
    pub fn on_replaced(&mut self, now: Time, id: &Name, incarnation: u64) {
        let observations = self.observations(id, incarnation);
        observations.suspected = Some(now);
        observations.refused = DEAD_REFUSALS;
    }

    /// Records a probe that wasn't answered in time.
    pub fn on_probe_timeout(&mut self, now: Time, id: &Name, incarnation: u64) {
        let observations = self.observations(id, incarnation);
        observations.suspected = Some(now);
        observations.failed_probes += 1;
        observations.probed = Some(now);
    }

    /// Returns the health of an endpoint.
    #[must_use]
    pub fn health(&self, now: Time, id: &str, incarnation: u64) -> Health {
        let Some(observations) = self
            .endpoints
            .get(id)
            .filter(|o| o.incarnation == incarnation)
        else {
            return Health::Alive;
        };
        if observations.refused >= DEAD_REFUSALS {
            return Health::Dead;
        }
        let probed = |t: Time| now.since(t) < SILENT_TTL;
        let failed = observations.failed_probes >= self.settings.silent_probes;
        if failed && observations.probed.is_some_and(probed) {
            return Health::Silent;
        }
        let recent = |t: Time| now.since(t) < self.settings.suspect_ttl;
        if observations.suspected.is_some_and(recent) {
            return Health::Suspect;
        }
        Health::Alive
    }

    /// Discards the failures of all endpoints: this entry had no way to them.
    pub fn forget_failures(&mut self) {
        for observations in self.endpoints.values_mut() {
            *observations = Observations {
                incarnation: observations.incarnation,
                slowdown: observations.slowdown,
                ..Observations::default()
            };
        }
    }

    /// Discards the observations of an endpoint that is no longer in the roster.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }
}

//! Quarantine of requests that crash the endpoints which run them.
//!
//! Each endpoint lost while it ran a request gives the request's fingerprint a
//! strike. Strikes are named by the endpoint run that was lost, so that two
//! daemons that each saw one loss add up to two strikes when they learn of
//! each other's. A fingerprint with one strike runs alone, so that an innocent
//! request that ran beside the culprit can clear itself; two strikes keep it
//! away from endpoints for a while. See `docs/decisions/0007-quarantine.md`.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::ids::Fingerprint;
use crate::time::Time;

/// Strikes at which a fingerprint is refused.
const STRIKES_TO_REFUSE: usize = 2;

/// Bounds of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Time that a strike is remembered.
    pub strike_ttl: Duration,
    /// Fingerprints that are remembered at most.
    pub max_fingerprints: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            strike_ttl: Duration::from_secs(600),
            max_fingerprints: 10_000,
        }
    }
}

/// What to do with a request by its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Nothing is known against it.
    Clear,
    /// It may run if no other request of this fingerprint does.
    Probation,
    /// A request of this fingerprint runs already on probation.
    Busy,
    /// It may not run.
    Refused,
}

/// Names of the endpoint runs that were lost.
type Incidents = SmallVec<[u64; 2]>;

#[derive(Clone, Debug)]
struct Suspicion {
    incidents: Incidents,
    last: Time,
    running: bool,
}

/// The fingerprints with strikes.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    suspects: HashMap<Fingerprint, Suspicion>,
    dropped: u64,
}

impl Quarantine {
    /// An empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::new(),
            dropped: 0,
        }
    }

    /// Decides about a request that is about to start.
    pub fn admit(&mut self, now: Time, fingerprint: Fingerprint) -> QuarantineDecision {
        self.forget_old(now, fingerprint);
        let Some(suspicion) = self.suspects.get_mut(&fingerprint) else {
            return QuarantineDecision::Clear;
        };
        if suspicion.incidents.len() >= STRIKES_TO_REFUSE {
            return QuarantineDecision::Refused;
        }
        if suspicion.running {
            return QuarantineDecision::Busy;
        }
        suspicion.running = true;
        QuarantineDecision::Probation
    }

    /// Takes the end of a request: a whole answer clears the fingerprint.
    pub fn on_finished(&mut self, fingerprint: Fingerprint, answered: bool) {
        let Some(suspicion) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspicion.running = false;
        if answered && suspicion.incidents.len() < STRIKES_TO_REFUSE {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Counts an endpoint lost while it ran this fingerprint. `incident` names
    /// the endpoint's run, whichever daemon saw it end.
    pub fn strike(&mut self, now: Time, fingerprint: Fingerprint, incident: u64) {
        let room = self.suspects.len() < self.settings.max_fingerprints;
        if !room && !self.suspects.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        let fresh = Suspicion {
            incidents: Incidents::new(),
            last: now,
            running: false,
        };
        let suspicion = self.suspects.entry(fingerprint).or_insert(fresh);
        let known = suspicion.incidents.contains(&incident);
        if !known && suspicion.incidents.len() < STRIKES_TO_REFUSE {
            suspicion.incidents.push(incident);
            suspicion.last = now;
        }
    }

    /// Returns the strikes of a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects
            .get(&fingerprint)
            .map_or(0, |s| s.incidents.len())
    }

    /// Returns the lost endpoint runs that a fingerprint is suspected of.
    #[must_use]
    pub fn incidents(&self, fingerprint: Fingerprint) -> &[u64] {
        self.suspects
            .get(&fingerprint)
            .map_or(&[], |s| s.incidents.as_slice())
    }

    /// Returns up to `max` fingerprints with their strikes, for other daemons.
    pub fn suspects(&self, max: usize) -> impl Iterator<Item = (Fingerprint, &[u64])> {
        self.suspects
            .iter()
            .map(|(f, s)| (*f, s.incidents.as_slice()))
            .take(max)
    }

    /// Returns the fingerprints that were dropped for lack of room.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| s.last)
            .map(|(f, _)| *f);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
            self.dropped += 1;
        }
    }

    fn forget_old(&mut self, now: Time, fingerprint: Fingerprint) {
        let old = |s: &Suspicion| !s.running && now.since(s.last) >= self.settings.strike_ttl;
        if self.suspects.get(&fingerprint).is_some_and(old) {
            self.suspects.remove(&fingerprint);
        }
    }
}

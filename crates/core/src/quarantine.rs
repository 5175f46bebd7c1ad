//! Quarantine of requests that crash the endpoints which run them.
//!
//! Each endpoint that is lost while it runs a request gives the request's
//! fingerprint a strike. A strike is identified by the endpoint run that was
//! lost (the incident), so that daemons which exchange their strikes count each
//! loss once: two daemons that saw different losses arrive at two strikes. A
//! fingerprint with one strike runs on probation, only one request at a time,
//! so that a harmless request that ran beside the faulty one can be cleared.
//! With two strikes it is refused until the strikes expire. See
//! `docs/decisions/0007-quarantine.md`.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::ids::Fingerprint;
use crate::time::Time;

/// Number of strikes from which a fingerprint is refused.
const STRIKES_TO_REFUSE: usize = 2;

/// Limits of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Time after the last strike at which a fingerprint's strikes expire.
    pub strike_ttl: Duration,
    /// Maximum number of fingerprints with strikes that are kept.
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

/// Decision about a request, by its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The fingerprint has no strikes, so the request may run.
    Clear,
    /// The request may run on probation: no other request of this fingerprint
    /// is admitted until it ends.
    Probation,
    /// Another request of this fingerprint is running on probation.
    Busy,
    /// The fingerprint has too many strikes, so the request may not run.
    Refused,
}

/// Identifiers of the endpoint runs that were lost.
type Incidents = SmallVec<[u64; 2]>;

#[derive(Clone, Debug)]
struct Suspect {
    incidents: Incidents,
    last_strike: Time,
    on_probation: bool,
}

/// The fingerprints with strikes.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    suspects: HashMap<Fingerprint, Suspect>,
    evicted: u64,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::new(),
            evicted: 0,
        }
    }

    /// Decides whether a request may start.
    ///
    /// A request that is admitted must be reported to [`Self::on_finished`].
    pub fn admit(&mut self, now: Time, fingerprint: Fingerprint) -> QuarantineDecision {
        self.expire(now, fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return QuarantineDecision::Clear;
        };
        if suspect.incidents.len() >= STRIKES_TO_REFUSE {
            return QuarantineDecision::Refused;
        }
        if suspect.on_probation {
            return QuarantineDecision::Busy;
        }
        suspect.on_probation = true;
        QuarantineDecision::Probation
    }

    /// Returns whether a fingerprint has too many strikes to be sent to an endpoint.
    #[must_use]
    pub fn is_refused(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|s| {
            let recent = now.since(s.last_strike) < self.settings.strike_ttl;
            recent && s.incidents.len() >= STRIKES_TO_REFUSE
        })
    }

    /// Records the end of a request; a complete answer clears its fingerprint,
    /// unless the fingerprint already has the strikes to be refused.
    pub fn on_finished(&mut self, fingerprint: Fingerprint, answered: bool) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.on_probation = false;
        if answered && suspect.incidents.len() < STRIKES_TO_REFUSE {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Records that an endpoint was lost while it ran this fingerprint.
    ///
    /// `incident` identifies the endpoint's run, so that the same loss counts
    /// once if several daemons report it.
    pub fn strike(&mut self, now: Time, fingerprint: Fingerprint, incident: u64) {
        let below_max = self.suspects.len() < self.settings.max_fingerprints;
        if !below_max && !self.suspects.contains_key(&fingerprint) {
            self.evict_oldest();
        }
        let new = Suspect {
            incidents: Incidents::new(),
            last_strike: now,
            on_probation: false,
        };
        let suspect = self.suspects.entry(fingerprint).or_insert(new);
        let known = suspect.incidents.contains(&incident);
        if !known && suspect.incidents.len() < STRIKES_TO_REFUSE {
            suspect.incidents.push(incident);
            suspect.last_strike = now;
        }
    }

    /// Returns the number of strikes of a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects
            .get(&fingerprint)
            .map_or(0, |s| s.incidents.len())
    }

    /// Returns the identifiers of the lost endpoint runs that gave a
    /// fingerprint its strikes.
    #[must_use]
    pub fn incidents(&self, fingerprint: Fingerprint) -> &[u64] {
        self.suspects
            .get(&fingerprint)
            .map_or(&[], |s| s.incidents.as_slice())
    }

    /// Returns up to `max` fingerprints with their incidents, to be sent to other daemons:
    /// those with the most strikes first, then the newest. The fingerprints that ran beside
    /// a crash may fill any message.
    pub fn suspects(&self, max: usize) -> impl Iterator<Item = (Fingerprint, &[u64])> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_unstable_by_key(|(f, s)| {
            (Reverse(s.incidents.len()), Reverse(s.last_strike), **f)
        });
        let sent = suspects.into_iter().take(max);
        sent.map(|(f, s)| (*f, s.incidents.as_slice()))
    }

    /// Returns the number of fingerprints that were evicted because
    /// [`QuarantineSettings::max_fingerprints`] was reached.
    #[must_use]
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| s.last_strike)
            .map(|(f, _)| *f);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
            self.evicted += 1;
        }
    }

    fn expire(&mut self, now: Time, fingerprint: Fingerprint) {
        let expired =
            |s: &Suspect| !s.on_probation && now.since(s.last_strike) >= self.settings.strike_ttl;
        if self.suspects.get(&fingerprint).is_some_and(expired) {
            self.suspects.remove(&fingerprint);
        }
    }
}

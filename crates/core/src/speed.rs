//! Estimates of the replicas' answer times, from one entry's observations.
//!
//! Observations decay. A slow replica is avoided and yields no new
//! observations, so it would be avoided for good if the old ones kept their
//! weight. A decayed estimate approaches half of the typical time of the
//! workload's replicas, which makes the replica attractive enough to be tried
//! again. See `docs/decisions/0005-routing.md`.

use std::time::Duration;

use crate::time::Time;

/// Minimum weight of a new observation in a replica's moving average.
const SMOOTHING: f64 = 0.2;
/// Weight of a new observation in the average over a workload's replicas.
const TYPICAL_SMOOTHING: f64 = 0.02;
/// Half-life of an observation's weight.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Fraction of the typical time that is assumed once observations have decayed.
const UNOBSERVED_FRACTION: f64 = 0.5;

/// Typical times of a workload's replicas, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TypicalSpeed {
    first_token: Typical,
    token_gap: Typical,
}

impl TypicalSpeed {
    /// Creates an estimate that assumes a time to the first token until one is
    /// observed.
    pub(crate) const fn new(first_token: Duration) -> Self {
        Self {
            first_token: Typical::Assumed(first_token.as_secs_f64()),
            token_gap: Typical::Assumed(0.0),
        }
    }
}

/// An average over all replicas of a workload, in seconds.
#[derive(Clone, Copy, Debug)]
enum Typical {
    Assumed(f64),
    Observed(f64),
}

impl Typical {
    fn observe(&mut self, took_s: f64) {
        *self = match *self {
            Self::Assumed(_) => Self::Observed(took_s),
            Self::Observed(before) => {
                Self::Observed(before + TYPICAL_SMOOTHING * (took_s - before))
            }
        };
    }

    const fn seconds(self) -> f64 {
        match self {
            Self::Assumed(seconds) | Self::Observed(seconds) => seconds,
        }
    }
}

/// Estimated answer times of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicaSpeed {
    first_token: Estimate,
    token_gap: Estimate,
}

impl ReplicaSpeed {
    /// Records one time to the first token.
    pub(crate) fn on_first_token(&mut self, now: Time, took: Duration, typical: &mut TypicalSpeed) {
        typical.first_token.observe(took.as_secs_f64());
        self.first_token.observe(now, took, typical.first_token);
    }

    /// Records one time between two tokens.
    pub(crate) fn on_token_gap(&mut self, now: Time, gap: Duration, typical: &mut TypicalSpeed) {
        typical.token_gap.observe(gap.as_secs_f64());
        self.token_gap.observe(now, gap, typical.token_gap);
    }

    /// Returns the estimated seconds to the first token.
    pub(crate) fn first_token_s(&self, now: Time, typical: &TypicalSpeed) -> f64 {
        self.first_token.seconds(now, typical.first_token)
    }

    /// Returns the estimated seconds between two tokens.
    pub(crate) fn token_gap_s(&self, now: Time, typical: &TypicalSpeed) -> f64 {
        self.token_gap.seconds(now, typical.token_gap)
    }
}

/// A moving average whose observations decay.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    observed: Option<Observed>,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    at: Time,
    seconds: f64,
}

impl Estimate {
    /// Records an observation, whose weight grows as the earlier ones decay.
    fn observe(&mut self, now: Time, took: Duration, typical: Typical) {
        let earlier = self.observed.map_or(0.0, |o| o.weight(now));
        let weight = SMOOTHING.max(1.0 - earlier);
        let before = self.seconds(now, typical);
        let seconds = before + weight * (took.as_secs_f64() - before);
        self.observed = Some(Observed { at: now, seconds });
    }

    fn seconds(&self, now: Time, typical: Typical) -> f64 {
        let assumed = typical.seconds() * UNOBSERVED_FRACTION;
        let Some(observed) = self.observed else {
            return assumed;
        };
        assumed + (observed.seconds - assumed) * observed.weight(now)
    }
}

impl Observed {
    /// Returns the weight that the observation has left, from 1 down to 0.
    fn weight(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

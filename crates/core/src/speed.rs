//! How fast replicas answer, as one entry observes it.
//!
//! An observation fades: a replica that was slow is avoided, so nothing new is
//! learnt of it, and without fading it would be avoided for good. A faded
//! estimate approaches half of what is typical of the workload's replicas, so
//! that a replica of which nothing is known any more is tried. See
//! `docs/decisions/0005-routing.md`.

use std::time::Duration;

use crate::time::Time;

/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.2;
/// Weight of a new observation in the average over a workload's replicas.
const TYPICAL_SMOOTHING: f64 = 0.02;
/// Time after which half of an observed deviation has faded.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Share of the typical time that is assumed once observations have faded.
const OPTIMISM: f64 = 0.5;

/// Time to a first token that is typical of a workload's replicas.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TypicalSpeed {
    first_token_s: Option<f64>,
}

impl TypicalSpeed {
    pub(crate) fn on_first_token(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let before = self.first_token_s.unwrap_or(took);
        self.first_token_s = Some(before + TYPICAL_SMOOTHING * (took - before));
    }

    /// Seconds to a first token, or `unknown` before anything was observed.
    pub(crate) fn first_token_s(&self, unknown: f64) -> f64 {
        self.first_token_s.unwrap_or(unknown)
    }
}

/// Time to a first token at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicaSpeed {
    observed: Option<Observed>,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    at: Time,
    first_token_s: f64,
}

impl ReplicaSpeed {
    /// Takes one time to a first token; it counts the more, the further the
    /// earlier ones have faded.
    pub(crate) fn on_first_token(&mut self, now: Time, took: Duration, typical_s: f64) {
        let left = self.observed.map_or(0.0, |o| o.left(now));
        let weight = SMOOTHING.max(1.0 - left);
        let before = self.first_token_s(now, typical_s);
        let first_token_s = before + weight * (took.as_secs_f64() - before);
        self.observed = Some(Observed {
            at: now,
            first_token_s,
        });
    }

    /// Estimated seconds to a first token, given what is typical.
    pub(crate) fn first_token_s(&self, now: Time, typical_s: f64) -> f64 {
        let assumed = typical_s * OPTIMISM;
        let Some(observed) = self.observed else {
            return assumed;
        };
        assumed + (observed.first_token_s - assumed) * observed.left(now)
    }
}

impl Observed {
    /// Part of the observation that has not faded.
    fn left(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

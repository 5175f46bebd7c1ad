//! Demand for each model of a service, by which spares form surge groups.
//!
//! A demand is the number of requests in flight at the leaders of a model, smoothed over
//! [`SMOOTHING_TIME`]. The requests are smoothed and not their fraction of the slots: the
//! slots change at once when a group opens, and a fraction that lags behind them would
//! call for more groups than the requests need. It answers the bursts and periodic swings
//! of `docs/HARD-LOAD.md`. See `docs/design/demand.md`.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;

/// Time constant of the smoothing. It is about half of the shortest burst that surge
/// groups answer, so that one report out of step forms none.
const SMOOTHING_TIME: Duration = Duration::from_secs(2);
/// Interval between two samples. Reports of the entries are hardly newer sooner.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Smoothed demand for the models of one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    in_flight: HashMap<Name, f64>,
    sampled: Option<Time>,
}

impl Demand {
    /// Returns whether the next sample is due.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        self.sampled
            .is_none_or(|at| now.since(at) >= SAMPLE_INTERVAL)
    }

    /// Records the requests in flight at the leaders of each model. The first sample counts
    /// in full, because an entry that takes over planning has no earlier ones.
    pub fn observe(&mut self, now: Time, in_flight: impl IntoIterator<Item = (Name, f64)>) {
        let passed = self.sampled.map(|at| now.since(at));
        let weight = passed.map_or(1.0, |passed| {
            1.0 - (-passed.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp()
        });
        for (model, sample) in in_flight {
            let smoothed = self.in_flight.entry(model).or_insert(sample);
            *smoothed += (sample - *smoothed) * weight;
        }
        self.sampled = Some(now);
    }

    /// Returns the smoothed number of requests in flight at the leaders of a model.
    #[must_use]
    pub fn in_flight(&self, model: &str) -> f64 {
        self.in_flight.get(model).copied().unwrap_or_default()
    }
}

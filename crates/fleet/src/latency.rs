//! Tells which services are latency-critical, from the configuration alone.
//!
//! A service is latency-critical if one of its streaming routes has an objective that
//! leaves no time to send a request again: after a send that is rejected, lost or queued
//! at the wrong leader, the first event comes too late. Such services are balanced,
//! queued and planned by the rules of `docs/design/`; all others as before.

use std::time::Duration;

use crate::catalog::{CallKind, Engine, Route};
use crate::timing::step_time;

/// Time in which TCP sends a lost segment again at the earliest.
const MIN_RETRANSMISSION_TIME: Duration = Duration::from_millis(200);
/// Passes of an engine between the arrival of a request and its first event: the one that
/// runs, and the one that reads the prompt.
const PASSES_TO_FIRST_EVENT: u32 = 2;

/// Returns whether a route's objective is shorter than a retransmission and two passes of
/// the fastest model of its engines with a full batch.
pub(crate) fn is_critical(route: &Route, engine: &Engine) -> bool {
    let factors = engine.models.iter().map(|m| m.time_factor);
    let Some(fastest) = factors.min_by(f64::total_cmp) else {
        return false;
    };
    let pass = step_time(engine, fastest, f64::from(engine.slots)) * engine.stride.max(1);
    let repeated =
        MIN_RETRANSMISSION_TIME.saturating_add(pass.saturating_mul(PASSES_TO_FIRST_EVENT));
    route.kind == CallKind::Stream && route.objective < repeated
}

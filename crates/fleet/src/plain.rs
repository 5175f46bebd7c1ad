//! Chooses the endpoint of a plain service for a call.
//!
//! A plain service has independent endpoints: no groups, models or leaders.

use std::time::Duration;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::Name;

/// An endpoint of a plain service that may be able to take a call.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCandidate {
    /// Name of the endpoint's VM.
    pub id: Name,
    /// Calls that all entries have in flight there.
    pub requests: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is in this entry's data centre.
    pub local: bool,
    /// Whether requests failed there recently, or it may have left.
    pub suspect: bool,
    /// Whether this call was sent there already.
    pub tried: bool,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlainChoice {
    /// To this endpoint.
    Endpoint(Name),
    /// Every endpoint that could be used asked for a pause; the first ends after this time.
    Paused(Duration),
    /// Every endpoint that could be used has reached the limit that it named; one takes a
    /// call after this time.
    Limited(Duration),
    /// No endpoint can be used.
    Unavailable,
}

/// Calls per slot from which a local endpoint isn't preferred to those in other data
/// centres.
const MAX_LOCAL_LOAD: f64 = 0.5;

/// Chooses an endpoint that this call hasn't tried.
///
/// Healthy endpoints go before suspect ones, and local ones with a low load before the
/// others. Among these the one with the least load per slot is chosen. Ties are broken at
/// random, so that entries with the same view don't all choose the same endpoint.
pub fn choose_plain_endpoint(endpoints: &[PlainCandidate], rng: &mut impl Rng) -> PlainChoice {
    let load = |e: &PlainCandidate| f64::from(e.requests) / f64::from(e.slots.max(1));
    let rank = |e: &PlainCandidate| (e.suspect, !(e.local && load(e) < MAX_LOCAL_LOAD));
    let untried = endpoints.iter().filter(|e| !e.tried);
    let untried: SmallVec<[&PlainCandidate; 8]> = untried.collect();
    let Some(best) = untried.iter().map(|e| rank(e)).min() else {
        return PlainChoice::Unavailable;
    };
    let mut equals: SmallVec<[&PlainCandidate; 8]> =
        untried.into_iter().filter(|e| rank(e) == best).collect();
    let first = rng.random_range(0..equals.len());
    equals.swap(0, first);
    let least_loaded = equals.iter().min_by(|a, b| load(a).total_cmp(&load(b)));
    least_loaded.map_or(PlainChoice::Unavailable, |e| {
        PlainChoice::Endpoint(e.id.clone())
    })
}

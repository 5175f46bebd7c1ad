//! Which endpoint of a plain service gets a call.

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::Name;

/// An endpoint of a plain service.
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
    /// Whether requests failed there a moment ago.
    pub suspect: bool,
    /// Whether this call has been there already.
    pub tried: bool,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlainChoice {
    /// To this endpoint.
    Endpoint(Name),
    /// No endpoint can be used.
    Unavailable,
}

/// Calls per slot that may be in flight before another data centre is preferred.
const NEAR_LOAD: f64 = 0.5;

/// Chooses an endpoint: sound before suspect ones, near ones while they have
/// room, then the one with the least load.
pub fn choose_plain_endpoint(endpoints: &[PlainCandidate], rng: &mut impl Rng) -> PlainChoice {
    let load = |e: &PlainCandidate| f64::from(e.requests) / f64::from(e.slots.max(1));
    let rank = |e: &PlainCandidate| (e.suspect, !(e.local && load(e) < NEAR_LOAD));
    let usable = endpoints.iter().filter(|e| !e.tried);
    let usable: SmallVec<[&PlainCandidate; 8]> = usable.collect();
    let Some(best) = usable.iter().map(|e| rank(e)).min() else {
        return PlainChoice::Unavailable;
    };
    let mut peers: SmallVec<[&PlainCandidate; 8]> =
        usable.into_iter().filter(|e| rank(e) == best).collect();
    let first = rng.random_range(0..peers.len());
    peers.swap(0, first);
    let least = peers.iter().min_by(|a, b| load(a).total_cmp(&load(b)));
    least.map_or(PlainChoice::Unavailable, |e| {
        PlainChoice::Endpoint(e.id.clone())
    })
}

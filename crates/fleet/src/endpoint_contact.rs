//! Whether an entry has a way to the endpoints.
//!
//! Load pattern: an entry VM loses its network path to all endpoints, while callers, the
//! store and the other entries still reach it. Each failure alone looks like that of an
//! endpoint. So failures at several endpoints without any answer between them count as the
//! loss of this entry's own path. Endpoints that fall silent for a moment, or are lost
//! together, don't: the others answer. See `docs/decisions/0018-requests-through-peers.md`.

use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use crate::Name;

/// Endpoints that must fail, with no success between them; fewer if there are fewer.
const MIN_FAILED: usize = 4;
/// Endpoints that must fail for this entry to probe others: few requests would take long to
/// show a lost path.
const MIN_DOUBTED: usize = 2;
/// Shortest time from the first of these failures to the last: events of several streams
/// may be late together.
const MIN_FAILURE_TIME: Duration = Duration::from_millis(200);
/// Time for which a failure counts.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// Endpoints that failed, and when, since the last success at any of them.
#[derive(Clone, Debug, Default)]
struct Failures(SmallVec<[(Name, Time); 2 * MIN_FAILED]>);

impl Failures {
    /// Adds a failure, and returns whether there are enough.
    fn add(&mut self, now: Time, endpoint: &Name, known: usize) -> bool {
        self.0.retain(|(_, at)| now.since(*at) < FAILURE_TTL);
        if self.0.len() < 2 * MIN_FAILED && self.0.iter().all(|(id, _)| id != endpoint) {
            self.0.push((endpoint.clone(), now));
        }
        let first = self.0.first().map_or(now, |(_, at)| *at);
        self.0.len() >= known.clamp(1, MIN_FAILED) && now.since(first) >= MIN_FAILURE_TIME
    }
}

/// What happened to a request, as far as it says something of this entry's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum ContactFailure {
    /// No connection could be opened.
    Unconnected,
    /// It was sent and not answered.
    Unanswered,
}

/// What an entry's requests and probes showed of its own path to the endpoints.
///
/// Connections from before a cut may live on. So data on one disproves failed requests, but
/// only a new connection disproves failed ones.
#[derive(Clone, Debug, Default)]
pub struct EndpointContact {
    unconnected: Failures,
    unanswered: Failures,
    cut_off: bool,
}

impl EndpointContact {
    /// Records data from an endpoint.
    pub fn on_answer(&mut self) {
        self.unanswered.0.clear();
    }

    /// Records a new connection to an endpoint.
    pub fn on_connected(&mut self) {
        self.unconnected.0.clear();
    }

    /// Records an answer on a new connection, which ends a cut.
    pub fn on_reached(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at one of `known` endpoints. Returns whether the entry counts as
    /// cut off from now on.
    pub fn on_failure(
        &mut self,
        now: Time,
        endpoint: &Name,
        failure: ContactFailure,
        known: usize,
    ) -> bool {
        let failures = match failure {
            ContactFailure::Unconnected => &mut self.unconnected,
            ContactFailure::Unanswered => &mut self.unanswered,
        };
        let enough = failures.add(now, endpoint, known);
        enough && !std::mem::replace(&mut self.cut_off, true)
    }

    /// Returns whether an endpoint failed recently and none has answered since, so that the
    /// failure may be this entry's.
    #[must_use]
    pub fn has_open_failure(&self, now: Time) -> bool {
        let all = self.unconnected.0.iter().chain(&self.unanswered.0);
        all.into_iter().any(|(_, at)| now.since(*at) < FAILURE_TTL)
    }

    /// Returns whether probes must show if the entry has lost its path.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        let failed = self.unconnected.0.len().max(self.unanswered.0.len());
        !self.cut_off && failed >= MIN_DOUBTED
    }

    /// Returns whether the entry has lost its path to the endpoints.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off
    }
}

//! Recent losses of replicas, used to recognise a common cause.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, ReplicaKey, Time};

/// Time within which losses of different replicas are attributed to one cause.
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of losses that are kept.
const MAX_LOSSES: usize = 256;

/// The loss of a replica that was running a request.
struct Loss {
    at: Time,
    replica: ReplicaKey,
    fingerprint: Fingerprint,
}

/// The replicas lost within the last [`CORRELATION_WINDOW`].
#[derive(Default)]
pub(crate) struct RecentLosses {
    recent: Mutex<VecDeque<Loss>>,
}

impl RecentLosses {
    /// Records the loss of a replica that was running a request; returns whether it
    /// correlates with the loss of a replica that was not running that request.
    ///
    /// A correlated loss has another cause, such as a failed fabric domain, and is no
    /// evidence against the request.
    pub(crate) fn record_and_correlate(
        &self,
        now: Time,
        replica: &ReplicaKey,
        fingerprint: Fingerprint,
    ) -> bool {
        let mut recent = self
            .recent
            .lock()
            .expect("no thread panics while it holds the lock");
        while recent.len() >= MAX_LOSSES
            || recent
                .front()
                .is_some_and(|loss| now.since(loss.at) > CORRELATION_WINDOW)
        {
            recent.pop_front();
        }
        recent.push_back(Loss {
            at: now,
            replica: replica.clone(),
            fingerprint,
        });
        let ran_request = |lost: &ReplicaKey| {
            recent
                .iter()
                .any(|l| l.replica == *lost && l.fingerprint == fingerprint)
        };
        recent.iter().any(|l| !ran_request(&l.replica))
    }
}

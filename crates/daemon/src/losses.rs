//! Recent losses of endpoints, by which a common cause is recognised.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, ReplicaKey, Time};

/// Time within which losses of several replicas count as one event.
const WINDOW: Duration = Duration::from_secs(1);
/// Losses that are remembered.
const LOSSES_KEPT: usize = 256;

struct Loss {
    at: Time,
    replica: ReplicaKey,
    fingerprint: Fingerprint,
}

/// The replicas lost a moment ago.
#[derive(Default)]
pub(crate) struct Losses {
    recent: Mutex<VecDeque<Loss>>,
}

impl Losses {
    /// Notes the loss of a replica while it ran a request; returns whether
    /// another replica was lost at the same time without running that request,
    /// as when a fabric domain goes dark.
    pub(crate) fn is_one_of_many(
        &self,
        now: Time,
        replica: &ReplicaKey,
        fingerprint: Fingerprint,
    ) -> bool {
        let mut recent = self
            .recent
            .lock()
            .expect("no thread panics while it holds the lock");
        while recent.len() >= LOSSES_KEPT
            || recent
                .front()
                .is_some_and(|loss| now.since(loss.at) > WINDOW)
        {
            recent.pop_front();
        }
        recent.push_back(Loss {
            at: now,
            replica: replica.clone(),
            fingerprint,
        });
        let ran_it = |lost: &ReplicaKey| {
            recent
                .iter()
                .any(|l| l.replica == *lost && l.fingerprint == fingerprint)
        };
        recent.iter().any(|l| !ran_it(&l.replica))
    }
}

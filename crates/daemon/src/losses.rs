//! Recent losses of endpoints, by which a common cause is recognised.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bulrushhoist_core::{ReplicaKey, Time};

/// Time within which losses of several replicas count as one event.
const WINDOW: Duration = Duration::from_secs(1);
/// Losses that are remembered.
const LOSSES_KEPT: usize = 256;

/// The replicas lost a moment ago.
#[derive(Default)]
pub(crate) struct Losses {
    recent: Mutex<VecDeque<(Time, ReplicaKey)>>,
}

impl Losses {
    /// Notes a loss; returns whether other replicas were lost with it, as when
    /// a fabric domain goes dark.
    pub(crate) fn is_one_of_many(&self, now: Time, replica: &ReplicaKey) -> bool {
        let mut recent = self
            .recent
            .lock()
            .expect("no thread panics while it holds the lock");
        while recent.len() >= LOSSES_KEPT
            || recent
                .front()
                .is_some_and(|(at, _)| now.since(*at) > WINDOW)
        {
            recent.pop_front();
        }
        let others = recent.iter().any(|(_, other)| other != replica);
        recent.push_back((now, replica.clone()));
        others
    }
}

//! What happened to recent requests, for operators.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use bulrushhoist_core::{RequestId, Time};
use serde::Serialize;

/// Requests that are remembered.
const REQUESTS_KEPT: usize = 4_000;
/// Steps that are remembered of each request.
const STEPS_KEPT: usize = 24;

/// One thing that happened to a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Step {
    /// Time since the daemon's start, in microseconds.
    pub(crate) at: Time,
    /// What happened.
    pub(crate) what: String,
}

#[derive(Default)]
struct Kept {
    order: VecDeque<RequestId>,
    steps: HashMap<RequestId, Vec<Step>>,
}

/// The recent requests.
#[derive(Default)]
pub(crate) struct Traces {
    kept: Mutex<Kept>,
}

impl Traces {
    pub(crate) fn note(&self, at: Time, id: RequestId, what: String) {
        let mut kept = self
            .kept
            .lock()
            .expect("no thread panics while it holds the lock");
        if !kept.steps.contains_key(&id) {
            kept.order.push_back(id);
            if kept.order.len() > REQUESTS_KEPT
                && let Some(oldest) = kept.order.pop_front()
            {
                kept.steps.remove(&oldest);
            }
        }
        let steps = kept.steps.entry(id).or_default();
        if steps.len() < STEPS_KEPT {
            steps.push(Step { at, what });
        }
    }

    pub(crate) fn steps(&self, id: RequestId) -> Option<Vec<Step>> {
        let kept = self
            .kept
            .lock()
            .expect("no thread panics while it holds the lock");
        kept.steps.get(&id).cloned()
    }
}

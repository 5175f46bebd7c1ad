//! Traces of recent requests, which operators read with `requests explain`.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use bulrushhoist_core::{RequestId, Time};
use serde::Serialize;

/// Maximum number of requests whose traces are kept.
const MAX_REQUESTS: usize = 4_000;
/// Maximum number of steps that are kept of each request.
const MAX_STEPS_PER_REQUEST: usize = 24;

/// One step in the trace of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Step {
    /// Time since the daemon's start, in microseconds.
    pub(crate) at: Time,
    /// Description of the step.
    pub(crate) what: String,
}

/// Steps by request, with the requests in order of their first step.
#[derive(Default)]
struct TraceLog {
    order: VecDeque<RequestId>,
    steps: HashMap<RequestId, Vec<Step>>,
}

/// The traces of recent requests.
#[derive(Default)]
pub(crate) struct Traces {
    log: Mutex<TraceLog>,
}

impl Traces {
    /// Adds a step to a request's trace, dropping the oldest trace if there are too
    /// many.
    pub(crate) fn record(&self, at: Time, id: RequestId, what: String) {
        let mut log = self
            .log
            .lock()
            .expect("no thread panics while it holds the lock");
        if !log.steps.contains_key(&id) {
            log.order.push_back(id);
            if log.order.len() > MAX_REQUESTS
                && let Some(oldest) = log.order.pop_front()
            {
                log.steps.remove(&oldest);
            }
        }
        let steps = log.steps.entry(id).or_default();
        if steps.len() < MAX_STEPS_PER_REQUEST {
            steps.push(Step { at, what });
        }
    }

    /// Returns the steps of a request, if its trace is still kept.
    pub(crate) fn steps(&self, id: RequestId) -> Option<Vec<Step>> {
        let log = self
            .log
            .lock()
            .expect("no thread panics while it holds the lock");
        log.steps.get(&id).cloned()
    }
}

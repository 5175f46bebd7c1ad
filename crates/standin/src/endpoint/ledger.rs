//! Ledger of the executions of calls to plain services.
//!
//! The endpoints write it themselves, so tests can check that a call ran at most
//! once whatever the entries answered.

use std::collections::HashMap;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

/// Number of executions of each call, by its body.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    calls: Mutex<HashMap<Vec<u8>, u32>>,
}

/// Summary of the executions of some calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LedgerReport {
    /// Number of different bodies that were executed.
    pub bodies: usize,
    /// Number of executions.
    pub executions: u64,
    /// Number of bodies that were executed more than once.
    pub repeated: usize,
}

impl Ledger {
    pub(super) fn execute(&self, body: &[u8]) {
        let mut calls = self
            .calls
            .lock()
            .expect("no thread panics while it holds the lock");
        *calls.entry(body.to_vec()).or_default() += 1;
    }

    pub(super) fn executions(&self, body: &[u8]) -> u32 {
        let calls = self
            .calls
            .lock()
            .expect("no thread panics while it holds the lock");
        calls.get(body).copied().unwrap_or(0)
    }

    pub(super) fn report(&self, marker: &[u8]) -> LedgerReport {
        let calls = self
            .calls
            .lock()
            .expect("no thread panics while it holds the lock");
        let marked = |body: &[u8]| {
            marker.is_empty() || body.windows(marker.len()).any(|part| part == marker)
        };
        let mut report = LedgerReport::default();
        for (_, count) in calls.iter().filter(|(body, _)| marked(body)) {
            report.bodies += 1;
            report.executions += u64::from(*count);
            report.repeated += usize::from(*count > 1);
        }
        report
    }
}

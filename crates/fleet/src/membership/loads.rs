//! Sums of loads by endpoint, changed by the difference when a report arrives or lapses.
//!
//! A decision reads one sum per leader, so its cost doesn't depend on the number of
//! entries.

use std::collections::HashMap;

/// What an entry, or several together, have in flight at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Short hash of the endpoint's name, see [`crate::name_key`].
    pub key: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of the requests whose first event hasn't come yet.
    pub prefill_tokens: u32,
}

/// Requests and prompt tokens by the short hash of the endpoint's name.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadSums(HashMap<u32, (u32, u32)>);

impl LoadSums {
    pub(super) fn add(&mut self, loads: &[EndpointLoad]) {
        for load in loads {
            let sum = self.0.entry(load.key).or_default();
            sum.0 = sum.0.saturating_add(load.requests);
            sum.1 = sum.1.saturating_add(load.prefill_tokens);
        }
    }

    pub(super) fn remove(&mut self, loads: &[EndpointLoad]) {
        for load in loads {
            let Some(sum) = self.0.get_mut(&load.key) else {
                continue;
            };
            sum.0 = sum.0.saturating_sub(load.requests);
            sum.1 = sum.1.saturating_sub(load.prefill_tokens);
            if *sum == (0, 0) {
                self.0.remove(&load.key);
            }
        }
    }

    pub(super) fn add_sums(&mut self, other: &Self) {
        for (key, (requests, tokens)) in &other.0 {
            let sum = self.0.entry(*key).or_default();
            sum.0 = sum.0.saturating_add(*requests);
            sum.1 = sum.1.saturating_add(*tokens);
        }
    }

    /// Returns the requests and prompt tokens at an endpoint.
    pub(super) fn get(&self, key: u32) -> (u32, u32) {
        self.0.get(&key).copied().unwrap_or_default()
    }

    pub(super) fn into_loads(self) -> Vec<EndpointLoad> {
        let load = |(key, (requests, prefill_tokens))| EndpointLoad {
            key,
            requests,
            prefill_tokens,
        };
        self.0.into_iter().map(load).collect()
    }
}

//! Answers of the endpoint stand-ins, their delays and their limits.

use std::time::Duration;

use bulrushhoist_core::{Fencing, stable_hash};

/// Number of parts of an answer whose request has no `max_tokens`.
const DEFAULT_PARTS: u64 = 16;
/// Maximum number of parts of an answer.
const MAX_PARTS: u64 = 4_096;

/// Delays, limits and faults of the endpoint stand-ins.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSettings {
    /// Time to load the weights.
    pub load_time: Duration,
    /// Time to the first part of an answer without load.
    pub first_part: Duration,
    /// Time between two parts without load.
    pub part_gap: Duration,
    /// Time of a call to a plain service without load.
    pub call_time: Duration,
    /// Number of concurrent requests that a cold endpoint runs at full speed.
    pub cold_limit: u32,
    /// Number of concurrent requests that a warm endpoint runs at full speed.
    pub warm_limit: u32,
    /// Number of served requests that raise a cold endpoint's limit by one.
    pub ramp_requests: u32,
    /// Multiple of its limit above which an endpoint crashes from overload.
    pub crash_factor: u32,
    /// Time until a crashed endpoint accepts connections again.
    pub restart_time: Duration,
    /// Whether orders with outdated fencing tokens are refused.
    pub fencing: Fencing,
    /// Whether each endpoint is behind a proxy, which connection faults need.
    pub proxied: bool,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            load_time: Duration::from_millis(1_500),
            first_part: Duration::from_millis(40),
            part_gap: Duration::from_millis(10),
            call_time: Duration::from_millis(10),
            cold_limit: 4,
            warm_limit: 32,
            ramp_requests: 8,
            crash_factor: 2,
            restart_time: Duration::from_secs(1),
            fencing: Fencing::Checked,
            proxied: false,
        }
    }
}

impl EndpointSettings {
    /// Returns the number of concurrent requests that an endpoint runs at full
    /// speed after it has served `served` requests since it became cold.
    #[must_use]
    pub fn concurrency_limit(&self, served: u64) -> u32 {
        let warmed_up =
            u32::try_from(served / u64::from(self.ramp_requests.max(1))).unwrap_or(u32::MAX);
        self.cold_limit
            .saturating_add(warmed_up)
            .min(self.warm_limit)
    }

    /// Returns the factor by which `running` requests lengthen the delays of an
    /// endpoint; 1 up to its limit.
    #[must_use]
    pub fn slowdown(&self, running: u32, served: u64) -> f64 {
        (f64::from(running) / f64::from(self.concurrency_limit(served).max(1))).max(1.0)
    }
}

/// Returns the number of parts of the answer to a request with this body.
#[must_use]
pub fn expected_parts(body: &[u8]) -> u64 {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let requested = parsed.and_then(|v| v.get("max_tokens")?.as_u64());
    requested.unwrap_or(DEFAULT_PARTS).clamp(1, MAX_PARTS)
}

/// Returns the text of one part of the answer to a request with this body.
///
/// It is a hash of body and offset, so that callers can recognise the parts of
/// another request's answer.
#[must_use]
pub fn expected_part(body: &[u8], offset: u64) -> String {
    let hash = stable_hash([body, &offset.to_be_bytes()[..]]);
    format!("{:05x} ", hash & 0xf_ffff)
}

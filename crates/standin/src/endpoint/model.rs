//! What the endpoint stand-ins answer, and how fast.

use std::time::Duration;

use bulrushhoist_core::{Fencing, stable_hash};

/// Parts of an answer whose request names no number.
const DEFAULT_PARTS: u64 = 16;
/// Most parts of an answer.
const PARTS_MAX: u64 = 4_096;

/// Speeds and capacities of the endpoint stand-ins.
#[derive(Clone, Copy, Debug)]
pub struct FarmSettings {
    /// Time to load weights.
    pub load: Duration,
    /// Time to the first part of an answer at no load.
    pub first_part: Duration,
    /// Time between parts at no load.
    pub part: Duration,
    /// Time of a call to a plain service.
    pub call: Duration,
    /// Requests that a cold endpoint carries at a time.
    pub cold: u32,
    /// Requests that a warm endpoint carries at a time.
    pub warm: u32,
    /// Requests after which a cold endpoint carries one more.
    pub ramp: u32,
    /// Times its capacity at which an endpoint falls over.
    pub fall_over: u32,
    /// Time that a crashed endpoint is away.
    pub restart: Duration,
    /// Whether orders with old fencing numbers are refused.
    pub fencing: Fencing,
    /// Whether each endpoint stands behind a relay, which network faults need.
    pub relays: bool,
}

impl Default for FarmSettings {
    fn default() -> Self {
        Self {
            load: Duration::from_millis(1_500),
            first_part: Duration::from_millis(40),
            part: Duration::from_millis(10),
            call: Duration::from_millis(10),
            cold: 4,
            warm: 32,
            ramp: 8,
            fall_over: 2,
            restart: Duration::from_secs(1),
            fencing: Fencing::Checked,
            relays: false,
        }
    }
}

impl FarmSettings {
    /// Returns the requests that an endpoint carries at a time after it served
    /// `served` since it became cold.
    #[must_use]
    pub fn capacity(&self, served: u64) -> u32 {
        let extra = u32::try_from(served / u64::from(self.ramp.max(1))).unwrap_or(u32::MAX);
        self.cold.saturating_add(extra).min(self.warm)
    }

    /// Returns how much slower an endpoint is with `running` requests.
    #[must_use]
    pub fn slowdown(&self, running: u32, served: u64) -> f64 {
        (f64::from(running) / f64::from(self.capacity(served).max(1))).max(1.0)
    }
}

/// Returns the number of parts of the answer to a body.
#[must_use]
pub fn expected_parts(body: &[u8]) -> u64 {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let asked = parsed.and_then(|v| v.get("max_tokens")?.as_u64());
    asked.unwrap_or(DEFAULT_PARTS).clamp(1, PARTS_MAX)
}

/// Returns the text of one part of the answer to a body.
#[must_use]
pub fn expected_part(body: &[u8], offset: u64) -> String {
    let hash = stable_hash([body, &offset.to_be_bytes()[..]]);
    format!("{:05x} ", hash & 0xf_ffff)
}

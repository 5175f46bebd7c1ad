//! Expected times of an engine, from its published figures and from observations.

use std::time::Duration;

use crate::catalog::Engine;

/// Tokens that one request makes an engine process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub answer_tokens: u32,
}

/// Load on a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Batch {
    /// Requests that run or wait there.
    pub requests: f64,
    /// Prompt tokens that the engine hasn't read yet.
    pub prefill_tokens: f64,
}

/// Estimates the time from a request's start to its first event.
///
/// The low estimate leaves out queueing. It is an average in which times below it weigh
/// nine times as much as those above. The published figures leave out delays that every
/// request has. The high estimate is an upper quantile of the last times, and so follows
/// the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventLatency {
    estimate: Option<Duration>,
    /// The last times, as a ring.
    last: [Duration; RECENT_EVENTS],
    recorded: usize,
}

/// Number of times from which the high estimate is taken. An entry that starts six
/// requests per second replaces them within about 3 s, the length of a short burst.
const RECENT_EVENTS: usize = 16;
/// Fraction of the last times that are at or below the high estimate. A request that
/// starts as late as the estimate allows is on time as often.
const HIGH_QUANTILE: f64 = 0.8;

/// Weight of an observation below the estimate.
const LOWER_WEIGHT: f64 = 0.09;
/// Weight of an observation above the estimate. It is a ninth of [`LOWER_WEIGHT`], which
/// keeps the estimate low: long waits don't make every request look late.
const HIGHER_WEIGHT: f64 = 0.01;

impl FirstEventLatency {
    /// Records the time that a request took to its first event.
    pub fn record(&mut self, took: Duration) {
        let estimate = self.estimate.unwrap_or(took);
        let weight = if took < estimate {
            LOWER_WEIGHT
        } else {
            HIGHER_WEIGHT
        };
        // The step upwards is bounded, so that one very long wait counts as any other.
        let target = if took < estimate {
            took
        } else {
            took.min(estimate * 2)
        };
        self.estimate = Some(estimate.mul_f64(1.0 - weight) + target.mul_f64(weight));
        self.last[self.recorded % RECENT_EVENTS] = took;
        self.recorded = self.recorded.wrapping_add(1);
    }

    /// Returns the estimate; zero before the first observation.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        self.estimate.unwrap_or_default()
    }

    /// Returns the high estimate; zero before the first observation.
    #[must_use]
    pub fn high_estimate(&self) -> Duration {
        let mut last = self.last;
        let known = &mut last[..self.recorded.min(RECENT_EVENTS)];
        known.sort_unstable();
        let rank = (known.len() as f64 * HIGH_QUANTILE).ceil() as usize;
        let high = known.get(rank.saturating_sub(1)).copied();
        high.unwrap_or_default().max(self.estimate())
    }
}

/// Longest time that is expected of anything. Figures of a configuration may be of any size.
const MAX_EXPECTED: Duration = Duration::from_secs(24 * 3_600);

/// Returns a number of seconds as a time, at most [`MAX_EXPECTED`].
fn bounded_seconds(seconds: f64) -> Duration {
    match seconds.is_nan() {
        true => Duration::ZERO,
        false => Duration::from_secs_f64(seconds.clamp(0.0, MAX_EXPECTED.as_secs_f64())),
    }
}

/// Returns the time of one decode step with this many requests that produce tokens.
#[must_use]
pub fn step_time(engine: &Engine, time_factor: f64, decoding: f64) -> Duration {
    let ms = (engine.step_ms + engine.per_seq_ms * decoding) * time_factor;
    bounded_seconds(ms / 1_000.0)
}

/// Returns the expected time to the first token of one more request on a leader.
///
/// Prompts are read in order of arrival between the passes of the decoding requests. The
/// estimate is the time to read all unread prompts and the new one, and one pass.
#[must_use]
pub fn first_token_time(engine: &Engine, time_factor: f64, batch: Batch, work: Work) -> Duration {
    let tokens = batch.prefill_tokens + f64::from(work.prompt_tokens);
    let attention_ms = f64::from(work.prompt_tokens).powi(2) / 2.0 / 1e6 * engine.attention_ms;
    let prefill_ms = tokens / engine.prefill_per_s.max(1.0) * 1_000.0 + attention_ms;
    let prefill = bounded_seconds(prefill_ms * time_factor / 1_000.0);
    let decoding = batch.requests.min(f64::from(engine.slots));
    let pass = step_time(engine, time_factor, decoding) * engine.stride.max(1);
    prefill + pass
}

/// Returns the expected time of a request from its start to its end on a full leader.
#[must_use]
pub fn expected_run_time(engine: &Engine, time_factor: f64, work: Work) -> Duration {
    let batch = Batch {
        requests: f64::from(engine.slots),
        prefill_tokens: 0.0,
    };
    let step = step_time(engine, time_factor, batch.requests);
    let decode = step.as_secs_f64() * f64::from(work.answer_tokens);
    first_token_time(engine, time_factor, batch, work) + bounded_seconds(decode)
}

/// Returns the largest gap between two events of a healthy leader.
///
/// It is the time of a pass in which every step decodes a full batch and reads a full
/// chunk of a prompt.
#[must_use]
pub fn max_event_gap(engine: &Engine, time_factor: f64) -> Duration {
    let step = step_time(engine, time_factor, f64::from(engine.slots));
    let chunk_s = f64::from(engine.prefill_chunk) / engine.prefill_per_s.max(1.0) * time_factor;
    (step + bounded_seconds(chunk_s)) * engine.stride.max(1)
}

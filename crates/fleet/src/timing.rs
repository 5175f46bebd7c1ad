//! The engines' published pace: how long a step, a prompt and a first token take.

use std::time::Duration;

use crate::catalog::Engine;

/// Work of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
}

/// What runs on a head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Batch {
    /// Requests that run or wait there.
    pub requests: f64,
    /// Prompt tokens that are not read yet.
    pub prefill_tokens: f64,
}

/// How soon the first event of a request comes where it needn't wait long, as it was
/// seen. The published pace leaves out what every request waits for.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventLatency {
    low: Option<Duration>,
}

/// Weight of an observation below the estimate.
const FASTER: f64 = 0.09;
/// Weight of one above it: so the estimate is near the lowest tenth, and long waits
/// don't make every request look late.
const SLOWER: f64 = 0.01;

impl FirstEventLatency {
    /// Takes one observation.
    pub fn record(&mut self, took: Duration) {
        let low = self.low.unwrap_or(took);
        let weight = if took < low { FASTER } else { SLOWER };
        // A step above is of fixed size, so that one long wait counts as any other.
        let towards = if took < low { took } else { took.min(low * 2) };
        self.low = Some(low.mul_f64(1.0 - weight) + towards.mul_f64(weight));
    }

    /// Returns the time; zero before the first observation.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        self.low.unwrap_or_default()
    }
}

/// Returns the time of one token step with this many writing requests.
#[must_use]
pub fn step_time(engine: &Engine, pace: f64, writers: f64) -> Duration {
    let ms = (engine.step_ms + engine.per_seq_ms * writers) * pace;
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

/// Returns the expected time to the first token of one more request on a head.
///
/// Unread prompts are read in order between the passes of the writers, so each
/// of them delays the newcomer by its own reading time and a pass.
#[must_use]
pub fn first_token_time(engine: &Engine, pace: f64, batch: Batch, work: Work) -> Duration {
    let tokens = batch.prefill_tokens + f64::from(work.prompt_tokens);
    let pairs = f64::from(work.prompt_tokens).powi(2) / 2.0 / 1e6 * engine.attention_ms;
    let reading_ms = tokens / engine.prefill_per_s.max(1.0) * 1_000.0 + pairs;
    let reading = Duration::from_secs_f64(reading_ms * pace / 1_000.0);
    let writers = batch.requests.min(f64::from(engine.slots));
    let pass = step_time(engine, pace, writers) * engine.stride.max(1);
    reading + pass
}

/// Returns the longest pass that a sound head makes: every step of it writes with a
/// full batch and reads a whole piece of a prompt.
#[must_use]
pub fn max_event_gap(engine: &Engine, pace: f64) -> Duration {
    let step = step_time(engine, pace, f64::from(engine.slots));
    let piece_s = f64::from(engine.prefill_chunk) / engine.prefill_per_s.max(1.0) * pace;
    (step + Duration::from_secs_f64(piece_s)) * engine.stride.max(1)
}

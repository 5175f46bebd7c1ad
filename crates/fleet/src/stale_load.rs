//! Predicts the leaders' loads at a request's arrival from old reports and draws a leader.
//!
//! Invariants: the entry's own requests count exactly; a leader predicted to be full is not
//! drawn while another is free; all random numbers come from the caller.
//!
//! It answers the load in which many entries choose at the same moment from reports that
//! are a good part of a request's time old. Counting the requests that arrive meanwhile but
//! not those that end makes each leader get nothing after a full report and everything after
//! an idle one. See `docs/design/even-load.md`.

use std::collections::VecDeque;
use std::time::Duration;

use bulrushhoist_core::Time;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::catalog::Engine;
use crate::timing::{Batch, Work, first_token_time, step_time};

/// Weight of the prior in the mean request time, in samples.
const PRIOR_SAMPLES: f64 = 4.0;
/// Smallest weight of one sample: the mean follows a change of the load within about fifty
/// requests.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Output tokens of a request that names none.
const TYPICAL_ANSWER_TOKENS: u32 = 128;
/// Window before the reports' age over which this entry's usual start rate is counted.
const USUAL_WINDOW: Duration = Duration::from_secs(2);
/// Time for which starts are remembered: the usual window and the greatest age of a report.
const STARTS_TTL: Duration = Duration::from_secs(3);
/// Largest growth of the start rate that is extrapolated to the other entries. Bursts
/// multiply the demand by up to 2.5.
const MAX_GROWTH: f64 = 2.5;
/// Standard deviations by which the start rate must have grown. With one, the few starts of
/// a small entry would often look like a burst.
const GROWTH_DEVIATIONS: f64 = 2.0;
/// Arrivals per leader during a report's age up to which leaders are compared by expected
/// times. With fewer, the report's least loaded leader is still one of the least loaded.
const MAX_COMPARED_ARRIVALS: f64 = 1.0;
/// Standard deviations of the arrivals at one leader that stay free of its slots. The
/// leader's own queue takes the rest: a whole deviation leaves a tenth of the slots unused
/// at full demand.
const MARGIN_DEVIATIONS: f64 = 0.5;
/// Room relative to the expected arrivals below which entries keep to their shares of it.
/// Requests that wait in the entries would fill less room at one moment.
const FREE_ROOM: f64 = 1.5;
/// Factor on an entry's share of the room: others don't use all of theirs.
const LENT_SHARES: f64 = 1.5;
/// Shortest request time that is used, which keeps the quotients finite.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(10);

/// Measures the requests of one model at this entry: how long they take and how many start.
#[derive(Clone, Debug, Default)]
pub struct RequestTimes {
    mean_s: f64,
    mean_tokens: f64,
    samples: f64,
    sends: f64,
    starts: VecDeque<Time>,
}

impl RequestTimes {
    /// Records a request that is sent to a leader.
    pub fn on_sent(&mut self, now: Time, answer_tokens: u32) {
        while self
            .starts
            .front()
            .is_some_and(|t| now.since(*t) > STARTS_TTL)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        self.sends += 1.0;
        let weight = self.sends.recip().max(MIN_SAMPLE_WEIGHT);
        self.mean_tokens += (f64::from(answer_tokens) - self.mean_tokens) * weight;
    }

    /// Records the time from the send to the end of a stream that had begun.
    pub fn on_ended(&mut self, took: Duration) {
        self.samples += 1.0;
        let weight = self.samples.recip().max(MIN_SAMPLE_WEIGHT);
        self.mean_s += (took.as_secs_f64() - self.mean_s) * weight;
    }

    /// Returns the mean time of a request, given the time that is expected without samples.
    #[must_use]
    pub fn request_time(&self, prior: Duration) -> Duration {
        let sum = prior.as_secs_f64() * PRIOR_SAMPLES + self.mean_s * self.samples;
        let mean = Duration::try_from_secs_f64(sum / (PRIOR_SAMPLES + self.samples));
        mean.unwrap_or(prior).max(MIN_REQUEST_TIME)
    }

    /// Returns what the choice needs to know for reports of this age.
    #[must_use]
    pub fn view(&self, now: Time, age: Duration, prior: Duration) -> StaleView {
        let recent = self.starts.iter().rev();
        let recent = recent.take_while(|t| now.since(**t) < age).count();
        StaleView {
            age,
            request_time: self.request_time(prior),
            growth: self.growth(now, age, recent),
            recent,
            idle: self.starts.back().map(|t| now.since(*t)),
            mean_tokens: self.mean_tokens,
        }
    }

    /// Returns the factor by which the start rate within the reports' age is certainly above
    /// the rate before it; 1 if it isn't, or if there are too few starts to tell.
    fn growth(&self, now: Time, age: Duration, recent: usize) -> f64 {
        let Some(oldest) = self.starts.front() else {
            return 1.0;
        };
        let span = now.since(*oldest).min(age + USUAL_WINDOW);
        let before = span.saturating_sub(age).as_secs_f64();
        if before < age.as_secs_f64() || age.is_zero() {
            return 1.0;
        }
        let starts = self.starts.iter().rev().skip(recent);
        let usual = starts.take_while(|t| now.since(**t) <= span).count() as f64 / before;
        let recent = recent as f64;
        let certain = (recent - GROWTH_DEVIATIONS * recent.sqrt()) / age.as_secs_f64();
        match usual > 0.0 {
            true => (certain / usual).clamp(1.0, MAX_GROWTH),
            false => 1.0,
        }
    }
}

/// Returns the time that a request is expected to take at a half full leader, from the
/// published figures.
#[must_use]
pub fn published_request_time(engine: &Engine, time_factor: f64, work: Work) -> Duration {
    let half = Batch {
        requests: f64::from(engine.slots) / 2.0,
        prefill_tokens: 0.0,
    };
    let tokens = match work.answer_tokens {
        0 => TYPICAL_ANSWER_TOKENS,
        tokens => tokens,
    };
    let first = first_token_time(engine, time_factor, half, work);
    first.saturating_add(step_time(engine, time_factor, half.requests).saturating_mul(tokens))
}

/// What an entry knows about the time since the reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StaleView {
    /// Age of the reports.
    pub age: Duration,
    /// Mean time of a request at a leader that isn't slowed down.
    pub request_time: Duration,
    /// Factor by which this entry's start rate has grown within the age.
    pub growth: f64,
    /// Requests that this entry started within the age.
    pub recent: usize,
    /// Time since this entry's last start.
    pub idle: Option<Duration>,
    /// Mean of the expected output tokens of this entry's requests.
    pub mean_tokens: f64,
}

impl StaleView {
    /// Returns the fraction of the requests at a leader that are still there after the age.
    fn remaining(&self, slowdown: f64) -> f64 {
        let time = self.request_time.max(MIN_REQUEST_TIME).as_secs_f64();
        (-self.age.as_secs_f64() / (time * slowdown.max(1.0))).exp()
    }

    /// Returns the load of a leader without the requests that arrived since the reports.
    #[must_use]
    pub fn predicted_load(&self, others: f64, own: f64, slowdown: f64) -> f64 {
        others * self.remaining(slowdown) + own
    }
}

/// What is known of one leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LeaderLoad {
    /// What the other entries had there when they reported.
    pub(crate) others: Batch,
    /// What this entry has there.
    pub(crate) own: Batch,
    /// Factor by which it is slower than published.
    pub(crate) slowdown: f64,
    /// Whether it may be chosen.
    pub(crate) usable: bool,
}

/// What the prediction says about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StaleChoice {
    /// It goes to this leader.
    Leader(usize),
    /// The reports are recent enough to compare the leaders by expected times, using this
    /// many slots of each.
    Compare(f64),
    /// Every leader is predicted to be full.
    Full,
}

/// Bounds on the use of the leaders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlotBounds {
    /// Slots that the request may use of each leader.
    pub(crate) slots: f64,
    /// Largest number of them that stay free because the prediction is uncertain.
    pub(crate) max_margin: f64,
    /// Number of entries that share the leaders.
    pub(crate) entries: usize,
    /// Whether the request may only use the entry's share of short room.
    pub(crate) is_shared: bool,
}

/// A leader with its predicted load.
#[derive(Clone, Copy, Debug)]
struct Predicted {
    index: usize,
    /// Load without the arrivals since the reports, in requests.
    load: f64,
    /// Capacity relative to a leader that isn't slowed down.
    capacity: f64,
}

type PredictedLoads = SmallVec<[Predicted; 32]>;

/// Draws a leader in proportion to the room that its predicted load leaves below the level
/// to which the arrivals since the reports fill all leaders.
pub(crate) fn draw_leader(
    view: &StaleView,
    engine: &Engine,
    time_factor: f64,
    leaders: &[LeaderLoad],
    work: Work,
    bounds: SlotBounds,
    rng: &mut impl Rng,
) -> StaleChoice {
    let request_s = view.request_time.max(MIN_REQUEST_TIME).as_secs_f64();
    let read_s = time_factor / engine.prefill_per_s.max(1.0);
    // Little's law: as many requests arrive as end, unless the demand grows.
    let ended = |l: &LeaderLoad| l.others.requests * (1.0 - view.remaining(l.slowdown));
    let arrivals = leaders.iter().map(ended).sum::<f64>() * view.growth;
    let mut free: PredictedLoads = SmallVec::new();
    for (index, leader) in leaders.iter().enumerate().filter(|(_, l)| l.usable) {
        let slowdown = leader.slowdown.max(1.0);
        // The prompts that the others reported have been read for the age since.
        let read = view.age.as_secs_f64() / (read_s * slowdown);
        let unread = (leader.others.prefill_tokens - read).max(0.0) + leader.own.prefill_tokens;
        let requests = view.predicted_load(leader.others.requests, leader.own.requests, slowdown);
        free.push(Predicted {
            index,
            load: requests + unread * read_s / request_s,
            capacity: 1.0 / slowdown,
        });
    }
    let expected = arrivals / free.len().max(1) as f64;
    let slots = bounds.slots - (expected.sqrt() * MARGIN_DEVIATIONS).min(bounds.max_margin);
    if expected <= MAX_COMPARED_ARRIVALS {
        return StaleChoice::Compare(slots);
    }
    free.retain(|l| l.load < slots * l.capacity);
    if free.is_empty() {
        return StaleChoice::Full;
    }
    let room: f64 = free.iter().map(|l| slots * l.capacity - l.load).sum();
    let is_short = bounds.is_shared && arrivals * FREE_ROOM >= room;
    if is_short && !has_share(view, leaders, room, bounds.entries) {
        return StaleChoice::Full;
    }
    free.sort_unstable_by(|a, b| (a.load / a.capacity).total_cmp(&(b.load / b.capacity)));
    let level = fill_level(&free, arrivals).min(slots);
    let deficit = |l: &Predicted| (level * l.capacity - l.load).max(0.0);
    // A request with more work than the average needs a leader with more room.
    let tokens = f64::from(work.answer_tokens) / view.mean_tokens.max(1.0) - 1.0;
    let prompt = f64::from(work.prompt_tokens) * read_s / request_s;
    let deepest = free.iter().map(deficit).fold(0.0, f64::max);
    let excess = (tokens.max(0.0) + prompt).min(deepest / 2.0);
    let weight = |l: &Predicted| (deficit(l) - excess).max(0.0);
    let total: f64 = free.iter().map(weight).sum();
    let mut draw = rng.random_range(0.0..1.0) * total;
    let drawn = free.iter().find(|l| {
        draw -= weight(l);
        draw < 0.0
    });
    StaleChoice::Leader(drawn.unwrap_or(&free[0]).index)
}

/// Returns the load per capacity to which the arrivals fill the leaders. They are sorted by
/// their load per capacity.
fn fill_level(leaders: &[Predicted], arrivals: f64) -> f64 {
    let (mut requests, mut capacity, mut level) = (arrivals, 0.0, f64::INFINITY);
    for leader in leaders {
        if leader.load / leader.capacity >= level {
            break;
        }
        requests += leader.load;
        capacity += leader.capacity;
        level = requests / capacity;
    }
    level
}

/// Returns whether this entry has used less than its share of the room that the leaders had
/// at the time of the reports.
///
/// Without shares, all entries stop at the same report and start again at the same later
/// one. The share is the mean of an equal one and of this entry's part of all load: entries
/// are unequal, and one without any load must be able to start.
fn has_share(view: &StaleView, leaders: &[LeaderLoad], room: f64, entries: usize) -> bool {
    let own: f64 = leaders.iter().map(|l| l.own.requests).sum();
    let others: f64 = leaders.iter().map(|l| l.others.requests).sum();
    let equal = 1.0 / entries.max(1) as f64;
    let share = (own / (own + others).max(1.0) + equal) / 2.0;
    let recent = view.recent as f64;
    // Some of the requests sent within the age have ended by its end.
    let passes = view.age.as_secs_f64() / view.request_time.max(MIN_REQUEST_TIME).as_secs_f64();
    let sends = passes / (1.0 - view.remaining(1.0)).max(f64::MIN_POSITIVE);
    let allowed = share * (room + recent) * sends * LENT_SHARES;
    // The fraction of a request is allowed by the time since the last one.
    let interval = view.age.as_secs_f64() / allowed.max(f64::MIN_POSITIVE);
    let paced = view.idle.is_none_or(|t| t.as_secs_f64() >= interval);
    recent < allowed.floor() || (recent < allowed.ceil() && paced)
}

/// Upper bounds of the predicted use of a leader's slots by which sends are counted, as
/// labels of the metric. Above the last, the leader was predicted to be full.
const USE_BOUNDS: [(f64, &str); 5] = [
    (0.25, "0.25"),
    (0.5, "0.5"),
    (0.75, "0.75"),
    (0.9, "0.9"),
    (1.0, "1"),
];
const FULL_LABEL: &str = "full";

/// Number of sends by the predicted use of the chosen leader's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendsByUse {
    counts: [u64; USE_BOUNDS.len() + 1],
}

impl SendsByUse {
    /// Counts a send to a leader with this predicted load in requests.
    pub fn record(&mut self, load: f64, slots: u32) {
        let used = load / f64::from(slots.max(1));
        let index = USE_BOUNDS.iter().position(|(bound, _)| used < *bound);
        self.counts[index.unwrap_or(USE_BOUNDS.len())] += 1;
    }

    /// Takes the counts that aren't zero, with the label of each.
    pub fn take(&mut self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = std::mem::take(&mut self.counts);
        let labels = USE_BOUNDS.iter().map(|(_, label)| *label);
        let labels = labels.chain([FULL_LABEL]);
        labels.zip(counts).filter(|(_, count)| *count > 0)
    }
}

//! Chooses the group leader that serves a request.
//!
//! Candidates are compared by the expected time to the first token and to the next
//! few tokens, counting the requests that all entries have in flight there, because
//! uneven batches slow every request of the fuller one. The comparison is jittered, so
//! that entries with the same outdated view don't all choose the same leader.

use std::time::Duration;

use bulrushhoist_core::Time;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::Name;
use crate::catalog::Engine;
use crate::roster::RosterChange;
use crate::stale_load::{LeaderLoad, SlotBounds, StaleChoice, StaleView, draw_leader};
use crate::timing::{Batch, Work, first_token_time, step_time};

/// How many of a leader's slots a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotLimit {
    /// All of them but a margin for what other entries may have sent.
    All,
    /// All of them, for a stream that has begun: its caller already reads. Where loads are
    /// predicted, neither the margin nor the entry's share of the room applies.
    Begun,
    /// Those that aren't reserved for requests that can still meet their objective: a
    /// request that is late anyway must not make others late.
    Unreserved,
}

impl SlotLimit {
    const fn fraction(self) -> f64 {
        match self {
            Self::All | Self::Begun => 1.0,
            Self::Unreserved => UNRESERVED_FRACTION,
        }
    }
}

/// Fraction of a leader's slots that late requests may occupy.
const UNRESERVED_FRACTION: f64 = 0.75;

/// Parameters of the choice of a leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderChoiceSettings {
    /// Maximum number of leaders that all entries together compare for one request
    /// each. The more entries share one outdated view, the fewer leaders each of them
    /// compares, so that they don't all choose the same one.
    pub max_compared: usize,
    /// Number of entries that share the view.
    pub entries: usize,
    /// Requests that all entries send to the leaders before each has received the
    /// others' next update.
    pub unseen_arrivals: f64,
    /// Fraction of a leader's slots that stays free for requests that other entries
    /// sent since their last update. It is multiplied by the square root of the number
    /// of entries, because their errors are independent.
    pub slot_margin: f64,
    /// Fraction by which an expected time is varied at random, up or down.
    pub jitter: f64,
    /// Number of output tokens whose decode time counts beside the first token's time.
    pub decode_tokens: u32,
    /// Time that is added for a leader in another data centre.
    pub remote_penalty: Duration,
    /// What is known about the time since the reports, for a service whose loads are
    /// predicted; `None` compares or fills the reported loads.
    pub stale_view: Option<StaleView>,
}

impl Default for LeaderChoiceSettings {
    fn default() -> Self {
        Self {
            max_compared: 84,
            entries: 7,
            unseen_arrivals: 0.0,
            slot_margin: 0.015,
            jitter: 0.12,
            decode_tokens: 20,
            remote_penalty: Duration::from_millis(12),
            stale_view: None,
        }
    }
}

/// Minimum number of leaders that are compared: the better of two random ones spreads
/// load far more evenly than a single random one (power of two choices).
const MIN_COMPARED: usize = 2;
/// Maximum fraction of a leader's slots that stays free, however many entries there are.
const MAX_SLOT_MARGIN: f64 = 0.2;
/// Maximum number of leaders that one entry compares.
const MAX_COMPARED: usize = 12;

/// A leader that may be able to take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the leader's VM.
    pub id: Name,
    /// Requests and prompt tokens that all entries have in flight there.
    pub batch: Batch,
    /// The part of the batch that this entry itself has in flight.
    pub own: Batch,
    /// Whether it is in this entry's data centre.
    pub local: bool,
    /// Factor by which it is slower than published.
    pub slowdown: f64,
    /// Whether its rate limit as a cold endpoint is used up.
    pub cold_limited: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderChoice {
    /// To this leader, with the expected time to the first token.
    Leader(Name, Duration),
    /// Every leader is full: the request is queued.
    Full,
    /// Every leader that could be used asked for a pause; the first ends after this time.
    Paused(Duration),
    /// Every leader that could be used has reached the limit that it named; one takes a
    /// request after this time.
    Limited(Duration),
    /// No leader of the model can be used.
    Unavailable,
}

/// Chooses a leader for a request. `time_factor` is the model's factor on the engine's
/// published times.
pub fn choose_leader(
    settings: &LeaderChoiceSettings,
    engine: &Engine,
    time_factor: f64,
    candidates: &[Candidate],
    work: Work,
    slot_limit: SlotLimit,
    rng: &mut impl Rng,
) -> LeaderChoice {
    if candidates.is_empty() {
        return LeaderChoice::Unavailable;
    }
    let margin = settings.slot_margin * (settings.entries as f64).sqrt();
    let margin = margin.min(MAX_SLOT_MARGIN);
    let all_slots = f64::from(engine.slots) * slot_limit.fraction();
    let mut slots = f64::from(engine.slots) * (1.0 - margin) * slot_limit.fraction();
    if let Some(view) = &settings.stale_view {
        let loads: SmallVec<[LeaderLoad; 32]> = candidates.iter().map(leader_load).collect();
        let bounds = SlotBounds {
            slots: all_slots,
            max_margin: match slot_limit {
                SlotLimit::Begun => 0.0,
                SlotLimit::All | SlotLimit::Unreserved => all_slots - slots,
            },
            is_shared: slot_limit != SlotLimit::Begun,
            entries: settings.entries,
        };
        match draw_leader(view, engine, time_factor, &loads, work, bounds, rng) {
            StaleChoice::Leader(index) => {
                let leader = &candidates[index];
                let time_factor = time_factor * leader.slowdown;
                let first = first_token_time(engine, time_factor, leader.batch, work);
                return LeaderChoice::Leader(leader.id.clone(), first);
            }
            StaleChoice::Compare(usable) => slots = usable,
            StaleChoice::Full => return LeaderChoice::Full,
        }
    }
    let is_free = |c: &&Candidate| !c.cold_limited && c.batch.requests < slots;
    let mut free: SmallVec<[&Candidate; 16]> = candidates.iter().filter(is_free).collect();
    let filled = settings.stale_view.is_none() && !free.is_empty();
    if filled && settings.unseen_arrivals / free.len() as f64 > MAX_UNSEEN_PER_LEADER {
        let leader = choose_by_water_filling(settings.unseen_arrivals, &mut free, rng);
        let time_factor = time_factor * leader.slowdown;
        let first = first_token_time(engine, time_factor, leader.batch, work);
        return LeaderChoice::Leader(leader.id.clone(), first);
    }
    let compared =
        (settings.max_compared / settings.entries.max(1)).clamp(MIN_COMPARED, MAX_COMPARED);
    let sampled = compared.min(free.len());
    for i in 0..sampled {
        let other = rng.random_range(i..free.len());
        free.swap(i, other);
    }
    let cost = |c: &Candidate| {
        let time_factor = time_factor * c.slowdown;
        let first = first_token_time(engine, time_factor, c.batch, work);
        let decode =
            step_time(engine, time_factor, c.batch.requests + 1.0) * settings.decode_tokens;
        let network = if c.local {
            Duration::ZERO
        } else {
            settings.remote_penalty
        };
        (first, first + decode + network)
    };
    let mut jittered = |c: &Candidate| {
        let (first, total) = cost(c);
        let factor = 1.0 + rng.random_range(-settings.jitter..=settings.jitter);
        (first, total.mul_f64(factor))
    };
    let costs = free.iter().take(sampled).map(|c| (jittered(c), *c));
    let best = costs.min_by_key(|((_, total), _)| *total);
    match best {
        Some(((first, _), leader)) => LeaderChoice::Leader(leader.id.clone(), first),
        None => LeaderChoice::Full,
    }
}

fn leader_load(candidate: &Candidate) -> LeaderLoad {
    let (all, own) = (candidate.batch, candidate.own);
    LeaderLoad {
        others: Batch {
            requests: (all.requests - own.requests).max(0.0),
            prefill_tokens: (all.prefill_tokens - own.prefill_tokens).max(0.0),
        },
        own,
        slowdown: candidate.slowdown,
        usable: !candidate.cold_limited,
    }
}

/// Number of requests per leader between two updates of a peer above which the leader is
/// chosen by water-filling instead of comparison. With more, the least loaded leader of the
/// last update soon has more load than the others, and many entries would still send to it.
const MAX_UNSEEN_PER_LEADER: f64 = 4.0;
/// Maximum number of leaders that water-filling considers.
const MAX_FILLED: usize = 48;

/// Chooses a leader at random, weighted such that the requests that all entries send
/// before their next updates fill the leaders up to one level (water-filling).
fn choose_by_water_filling<'c>(
    arrivals: f64,
    free: &mut SmallVec<[&'c Candidate; 16]>,
    rng: &mut impl Rng,
) -> &'c Candidate {
    let all = free.len();
    while free.len() > MAX_FILLED {
        free.swap_remove(rng.random_range(0..free.len()));
    }
    let arrivals = arrivals * free.len() as f64 / all as f64;
    let load = |c: &Candidate| c.batch.requests * c.slowdown;
    free.sort_unstable_by(|a, b| load(a).total_cmp(&load(b)));
    // A leader that is slower by a factor has its capacity divided by that factor.
    let (mut requests, mut capacity, mut level) = (arrivals, 0.0, f64::INFINITY);
    for leader in free.iter() {
        if load(leader) >= level {
            break;
        }
        requests += leader.batch.requests;
        capacity += 1.0 / leader.slowdown;
        level = requests / capacity;
    }
    let deficit = |c: &Candidate| (level / c.slowdown - c.batch.requests).max(0.0);
    let total: f64 = free.iter().map(|c| deficit(c)).sum();
    let mut draw = rng.random_range(0.0..1.0) * total;
    for leader in free.iter() {
        draw -= deficit(leader);
        if draw < 0.0 {
            return leader;
        }
    }
    free[0]
}

/// Limits the requests per second that this entry sends to one cold endpoint.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    /// When requests were sent, for [`SENT_TTL`].
    sent: SmallVec<[Time; 8]>,
    /// When the endpoint will be warm.
    until: Time,
    /// When the endpoint was first known to be cold.
    since: Time,
    /// Offset of this entry's send windows among those of all entries, from 0 to 1.
    phase: f64,
    share: ColdShare,
}

/// Time after its start for which an endpoint is taken as cold whatever its record says.
pub const ASSUMED_COLD_TIME: Duration = Duration::from_secs(5);
/// Age from which a newly seen endpoint isn't taken as just started. It exceeds
/// [`ASSUMED_COLD_TIME`] because the clocks of different VMs may differ by seconds.
const MAX_NEW_AGE: Duration = Duration::from_secs(15);

/// Returns for how long an endpoint is taken as cold because it may have just started
/// and its record may lag. `started_ms` and `now_ms` are Unix times in milliseconds.
#[must_use]
pub fn assumed_cold_time(change: RosterChange, started_ms: u64, now_ms: u64) -> Duration {
    let age = Duration::from_millis(now_ms.saturating_sub(started_ms));
    match change {
        RosterChange::Restarted => ASSUMED_COLD_TIME,
        // To an entry that has just started, every endpoint is new, and most are warm.
        RosterChange::Added if age < MAX_NEW_AGE => ASSUMED_COLD_TIME,
        RosterChange::Added
        | RosterChange::Updated
        | RosterChange::Same
        | RosterChange::Outdated => Duration::ZERO,
    }
}

/// Fraction of the interval between two requests of one entry during which it may send.
/// With longer windows, many entries would send at the moment a leader opens.
const SEND_WINDOW_FRACTION: f64 = 0.1;

/// Time for which sent requests are remembered, and so the maximum interval between two
/// requests that can be enforced.
const SENT_TTL: Duration = Duration::from_secs(10);

/// This entry's share of the rate of a cold endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdShare {
    /// The same as that of every other entry.
    #[default]
    Equal,
    /// The same as that of the other holders, this many with this entry.
    Holder(usize),
    /// Nothing: other entries hold the rate.
    Nothing,
}

/// Number of entries that hold the rate of one cold endpoint in a large deployment. Among
/// all of them, each share would be too small to use, or the shares would exceed the rate.
pub(crate) const COLD_HOLDERS: usize = 8;

impl ColdLimiter {
    /// Limits requests until the endpoint is warm. `phase`, between 0 and 1, is the
    /// offset of this entry's send windows among those of all entries.
    pub fn set_cold(&mut self, now: Time, until: Time, phase: f64, share: ColdShare) {
        if now >= self.until {
            self.since = now;
            self.phase = phase;
            self.share = share;
        }
        self.until = self.until.max(until);
    }

    /// Returns whether another request may be sent. An entry whose share of the rate is
    /// below one request per second sends one in each of its send windows, so that
    /// entries don't send at the same time.
    #[must_use]
    pub fn allows(&self, now: Time, per_s: f64, entries: usize) -> bool {
        if now >= self.until {
            return true;
        }
        let entries = match self.share {
            ColdShare::Equal => entries,
            ColdShare::Holder(holders) => holders,
            ColdShare::Nothing => return false,
        };
        let share = (per_s / entries.max(1) as f64).max(0.1);
        let interval = Duration::from_secs_f64(share.recip().max(1.0));
        if share < 1.0 {
            let intervals = now.since(self.since).as_secs_f64() / interval.as_secs_f64();
            let in_window = (intervals + 1.0 - self.phase).fract() < SEND_WINDOW_FRACTION;
            let half = interval / 2;
            return in_window && self.sent.iter().all(|t| now.since(*t) >= half);
        }
        let sent = self
            .sent
            .iter()
            .filter(|t| now.since(**t) < interval)
            .count();
        (sent as f64) < share.max(1.0).floor()
    }

    /// Records a sent request.
    pub fn on_sent(&mut self, now: Time) {
        self.sent.retain(|t| now.since(*t) < SENT_TTL);
        self.sent.push(now);
    }
}

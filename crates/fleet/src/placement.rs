//! Which head gets a request.
//!
//! Answers uneven batches: the candidates are compared by the expected time to
//! the first token and the next ones with all that the entries have in flight there.
//! The comparison is blurred, so that entries with the same delayed view spread out.

use std::time::Duration;

use bulrushhoist_core::Time;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::Name;
use crate::catalog::Engine;
use crate::roster::RosterChange;
use crate::timing::{Batch, Work, first_token_time, step_time};

/// How many of a head's places a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotLimit {
    /// All of them.
    All,
    /// Those that are left over: a request that is late anyway must not make others
    /// late.
    Unreserved,
}

impl SlotLimit {
    const fn part(self) -> f64 {
        match self {
            Self::All => 1.0,
            Self::Unreserved => SLACK_PART,
        }
    }
}

/// Part of a head's places that late requests may fill up.
const SLACK_PART: f64 = 0.75;

/// Weights of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Heads that all entries together compare at most for one request each: the
    /// more entries share one delayed view, the fewer heads each of them compares.
    pub max_compared: usize,
    /// Entries that share the view.
    pub entries: usize,
    /// Requests that all entries send to the heads until each has heard the others
    /// again.
    pub unseen_arrivals: f64,
    /// Part of a head's places that is left free for what the other entries sent since
    /// their last message, for each entry under a square root: their errors add up so.
    pub slot_margin: f64,
    /// Part by which an expected time is varied at random, up or down.
    pub jitter: f64,
    /// Output tokens whose time counts beside the first token's.
    pub decode_tokens: u32,
    /// Penalty for a head in another data centre.
    pub remote_penalty: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_compared: 84,
            entries: 7,
            unseen_arrivals: 0.0,
            slot_margin: 0.015,
            jitter: 0.12,
            decode_tokens: 20,
            remote_penalty: Duration::from_millis(12),
        }
    }
}

/// Heads that are compared in any case: two random ones spread load far better than
/// one.
const LEAST_COMPARED: usize = 2;
/// Part of a head's places that is left free at most, however many entries there are.
const MOST_MARGIN: f64 = 0.2;
/// Heads that one entry compares at most.
const MOST_COMPARED: usize = 12;

/// A head that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the head's VM.
    pub id: Name,
    /// What all entries have in flight there.
    pub batch: Batch,
    /// Whether it is in this entry's data centre.
    pub local: bool,
    /// Factor by which it was slower than published a moment ago.
    pub slowdown: f64,
    /// Whether its cold allowance is used up.
    pub cold_limited: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// To this head, with the expected time to the first token.
    Leader(Name, Duration),
    /// Every head is full: it waits.
    Full,
    /// No head of the model can be used.
    Unavailable,
}

/// Chooses a head for a request of a model with this pace.
pub fn choose_leader(
    settings: &PlacementSettings,
    engine: &Engine,
    pace: f64,
    candidates: &[Candidate],
    work: Work,
    room: SlotLimit,
    rng: &mut impl Rng,
) -> Placement {
    if candidates.is_empty() {
        return Placement::Unavailable;
    }
    let margin = settings.slot_margin * (settings.entries as f64).sqrt();
    let margin = margin.min(MOST_MARGIN);
    let slots = f64::from(engine.slots) * (1.0 - margin) * room.part();
    let free = |c: &&Candidate| !c.cold_limited && c.batch.requests < slots;
    let mut open: SmallVec<[&Candidate; 16]> = candidates.iter().filter(free).collect();
    if !open.is_empty() && settings.unseen_arrivals / open.len() as f64 > BLIND_ARRIVALS {
        let head = fill_up(settings.unseen_arrivals, &mut open, rng);
        let pace = pace * head.slowdown;
        let first = first_token_time(engine, pace, head.batch, work);
        return Placement::Leader(head.id.clone(), first);
    }
    let compared =
        (settings.max_compared / settings.entries.max(1)).clamp(LEAST_COMPARED, MOST_COMPARED);
    let looked_at = compared.min(open.len());
    for i in 0..looked_at {
        let other = rng.random_range(i..open.len());
        open.swap(i, other);
    }
    let cost = |c: &Candidate| {
        let pace = pace * c.slowdown;
        let first = first_token_time(engine, pace, c.batch, work);
        let steps = step_time(engine, pace, c.batch.requests + 1.0) * settings.decode_tokens;
        let way = if c.local {
            Duration::ZERO
        } else {
            settings.remote_penalty
        };
        (first, first + steps + way)
    };
    let mut blurred = |c: &Candidate| {
        let (first, total) = cost(c);
        let factor = 1.0 + rng.random_range(-settings.jitter..=settings.jitter);
        (first, total.mul_f64(factor))
    };
    let costs = open.iter().take(looked_at).map(|c| (blurred(c), *c));
    let best = costs.min_by_key(|((_, total), _)| *total);
    match best {
        Some(((first, _), head)) => Placement::Leader(head.id.clone(), first),
        None => Placement::Full,
    }
}

/// Requests to one head between two messages of a peer from which on the least loaded
/// head of the view is no longer the least loaded: many entries would send to it.
const BLIND_ARRIVALS: f64 = 4.0;
/// Heads that are looked at where the view is old.
const MOST_FILLED: usize = 48;

/// Chooses at random, so that what all entries send until they hear each other again
/// fills the heads up to one level.
fn fill_up<'c>(
    arrivals: f64,
    open: &mut SmallVec<[&'c Candidate; 16]>,
    rng: &mut impl Rng,
) -> &'c Candidate {
    let all = open.len();
    while open.len() > MOST_FILLED {
        open.swap_remove(rng.random_range(0..open.len()));
    }
    let arrivals = arrivals * open.len() as f64 / all as f64;
    let load = |c: &Candidate| c.batch.requests * c.slowdown;
    open.sort_unstable_by(|a, b| load(a).total_cmp(&load(b)));
    // A slow head carries less: its capacity is a part of a sound one's.
    let (mut requests, mut capacity, mut level) = (arrivals, 0.0, f64::INFINITY);
    for head in open.iter() {
        if load(head) >= level {
            break;
        }
        requests += head.batch.requests;
        capacity += 1.0 / head.slowdown;
        level = requests / capacity;
    }
    let room = |c: &Candidate| (level / c.slowdown - c.batch.requests).max(0.0);
    let total: f64 = open.iter().map(|c| room(c)).sum();
    let mut draw = rng.random_range(0.0..1.0) * total;
    for head in open.iter() {
        draw -= room(head);
        if draw < 0.0 {
            return head;
        }
    }
    open[0]
}

/// Requests per second to one cold endpoint, as this entry's part.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: SmallVec<[Time; 8]>,
    until: Time,
    /// When the endpoint was first known to be cold.
    since: Time,
    /// Where this entry's turn lies between those of the others.
    phase: f64,
}

/// Time after its start in which an endpoint may be cold whatever its record says.
pub const ASSUMED_COLD_TIME: Duration = Duration::from_secs(5);
/// Age from which an endpoint that becomes known isn't new: clocks of different VMs
/// may differ by seconds.
const GROWN_UP: Duration = Duration::from_secs(15);

/// Returns for how long an endpoint must be taken as cold because it may have started
/// a moment ago and its record lags. `born_ms` and `now_ms` are Unix times.
#[must_use]
pub fn assumed_cold_time(change: RosterChange, born_ms: u64, now_ms: u64) -> Duration {
    let age = Duration::from_millis(now_ms.saturating_sub(born_ms));
    match change {
        RosterChange::Restarted => ASSUMED_COLD_TIME,
        // An entry that has just started knows no endpoint, and most are warm.
        RosterChange::Added if age < GROWN_UP => ASSUMED_COLD_TIME,
        RosterChange::Added | RosterChange::Updated | RosterChange::Same => Duration::ZERO,
    }
}

/// Part of the time between two requests of one entry in which it may send its own.
/// Longer turns would let many entries send at the moment at which a head opens.
const TURN_PART: f64 = 0.1;

/// Longest time between two requests that the allowance keeps apart.
const ALLOWANCE_MEMORY: Duration = Duration::from_secs(10);

impl ColdLimiter {
    /// Takes notice until when the endpoint is cold. `phase`, between 0 and 1, is this
    /// entry's turn among many.
    pub fn set_cold(&mut self, now: Time, until: Time, phase: f64) {
        if now >= self.until {
            self.since = now;
            self.phase = phase;
        }
        self.until = self.until.max(until);
    }

    /// Returns whether another request may be sent. Where an entry's part is below
    /// one request a second, it sends one in each of its turns.
    #[must_use]
    pub fn allows(&self, now: Time, per_s: f64, entries: usize) -> bool {
        if now >= self.until {
            return true;
        }
        let part = (per_s / entries.max(1) as f64).max(0.1);
        let window = Duration::from_secs_f64(part.recip().max(1.0));
        if part < 1.0 {
            let turns = now.since(self.since).as_secs_f64() / window.as_secs_f64();
            let in_turn = (turns + 1.0 - self.phase).fract() < TURN_PART;
            let half = window / 2;
            return in_turn && self.sent.iter().all(|t| now.since(*t) >= half);
        }
        let sent = self.sent.iter().filter(|t| now.since(**t) < window).count();
        (sent as f64) < part.max(1.0).floor()
    }

    /// Counts a request.
    pub fn on_sent(&mut self, now: Time) {
        self.sent.retain(|t| now.since(*t) < ALLOWANCE_MEMORY);
        self.sent.push(now);
    }
}

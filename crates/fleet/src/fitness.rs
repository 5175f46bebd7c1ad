//! Fitness of group leaders: which of them get no requests because they reject requests or
//! because their streams are silent.
//!
//! What is known of a leader holds for one incarnation. A rejection during an exclusion
//! doesn't extend it, because the request was sent before. After the backoff of an unfit
//! leader, at most one request of an entry is at the leader until it is accepted, rejected
//! or given up.
//!
//! A rejected request isn't in flight, so a leader that rejects everything has the lowest
//! load of all. The load answered here is a latency-critical service whose groups lose
//! members every few seconds: three such leaders got a third of all chat requests. See
//! `docs/design/leader-fitness.md`.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;
use crate::catalog::Engine;
use crate::membership::MembershipSettings;
use crate::timing::{Batch, Work, first_token_time, max_event_gap, step_time};

/// Fraction of a leader's slots in known requests below which a rejection shows that it is
/// unfit. A full leader with a lower known load would have got more than half of its slots
/// since the last reports; leaders that rejected everything had a known load of a fifth.
const UNFIT_LOAD: f64 = 0.5;
/// Backoff after the first rejection of an unfit leader. It exceeds the interval of the
/// reports that carry the suspicion to the other entries.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff. A group that has a new member serves again within about this time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Expected time until the request that tries an unfit leader is accepted or rejected.
const TRIAL_TIME: Duration = Duration::from_millis(100);
/// Passes of an engine without an event on any begun stream after which a leader is
/// avoided. It is below the time of a retransmission for the published engines, so that new
/// requests don't wait for a stall to be certain.
const QUIET_PASSES: u32 = 4;
/// Multiple of the expected time to a first event after which a request that hasn't begun
/// isn't merely behind other prompts.
const UNREAD_FACTOR: u32 = 2;
/// Multiple of the stall timeout after which a request that may be queued at its leader
/// counts as stalled.
const QUEUED_FACTOR: u32 = 2;

/// Why a leader rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Rejection {
    /// It has as many requests as it can take.
    Full,
    /// It has free slots and can't serve.
    Unfit,
}

#[derive(Clone, Copy, Debug)]
enum Cause {
    Full,
    Unfit {
        backoff: Duration,
        /// Whether a request that tries the leader is in flight.
        on_trial: bool,
    },
}

/// The exclusion of one incarnation of a leader.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    incarnation: u64,
    until: Time,
    cause: Cause,
}

impl Exclusion {
    const fn rejection(&self) -> Rejection {
        match self.cause {
            Cause::Full => Rejection::Full,
            Cause::Unfit { .. } => Rejection::Unfit,
        }
    }
}

/// The leaders that this entry excludes because they rejected requests.
#[derive(Debug)]
pub struct LeaderFitness {
    report_interval: Duration,
    exclusions: HashMap<Name, Exclusion>,
}

impl Default for LeaderFitness {
    fn default() -> Self {
        Self {
            report_interval: MembershipSettings::default().interval,
            exclusions: HashMap::new(),
        }
    }
}

impl LeaderFitness {
    /// Sets the interval between the reports of loads, for which a full leader is excluded.
    pub const fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    fn exclusion(&self, id: &str, incarnation: u64) -> Option<&Exclusion> {
        let known = self.exclusions.get(id);
        known.filter(|e| e.incarnation == incarnation)
    }

    /// Records that a leader rejected a request without running it. `load` is the known
    /// number of other requests there, as a fraction of its slots.
    pub fn on_rejected(&mut self, now: Time, id: &Name, incarnation: u64, load: f64) -> Rejection {
        let known = self.exclusion(id, incarnation).copied();
        if let Some(known) = known.filter(|e| now < e.until) {
            return known.rejection();
        }
        let (cause, time) = if load < UNFIT_LOAD {
            let backoff = match known.map(|e| e.cause) {
                Some(Cause::Unfit { backoff, .. }) => (backoff * 2).min(MAX_BACKOFF),
                Some(Cause::Full) | None => FIRST_BACKOFF,
            };
            let on_trial = false;
            (Cause::Unfit { backoff, on_trial }, backoff)
        } else {
            (Cause::Full, self.report_interval)
        };
        let exclusion = Exclusion {
            incarnation,
            until: now + time,
            cause,
        };
        let newer = self.exclusions.get(id);
        if newer.is_none_or(|e| e.incarnation <= incarnation) {
            self.exclusions.insert(id.clone(), exclusion);
        }
        exclusion.rejection()
    }

    /// Records an answer to a request, which shows that the leader accepts requests. Returns
    /// whether it was unfit. A full leader that has accepted one request is full all the same.
    pub fn on_accepted(&mut self, id: &Name, incarnation: u64) -> bool {
        let unfit = self.is_unfit(id, incarnation);
        if unfit {
            self.exclusions.remove(id);
        }
        unfit
    }

    /// Returns whether the last rejection showed that a leader is unfit, and it has accepted
    /// no request since.
    #[must_use]
    pub fn is_unfit(&self, id: &str, incarnation: u64) -> bool {
        let known = self.exclusion(id, incarnation);
        known.is_some_and(|e| e.rejection() == Rejection::Unfit)
    }

    /// Returns whether a leader may get a request.
    #[must_use]
    pub fn may_send(&self, now: Time, id: &Name, incarnation: u64) -> bool {
        self.remaining(now, id, incarnation).is_none()
    }

    /// Returns how long a leader is still excluded, if it is.
    #[must_use]
    pub fn remaining(&self, now: Time, id: &str, incarnation: u64) -> Option<Duration> {
        let known = self.exclusion(id, incarnation)?;
        match known.cause {
            _ if now < known.until => Some(known.until.since(now)),
            Cause::Unfit { on_trial: true, .. } => Some(TRIAL_TIME),
            Cause::Unfit { .. } | Cause::Full => None,
        }
    }

    /// Records that a request goes to a leader. Returns whether it tries an unfit one, in
    /// which case [`Self::on_trial_ended`] must follow.
    pub fn on_sent(&mut self, now: Time, id: &Name, incarnation: u64) -> bool {
        let known = self.exclusions.get_mut(id);
        let Some(known) = known.filter(|e| e.incarnation == incarnation && now >= e.until) else {
            return false;
        };
        match &mut known.cause {
            Cause::Unfit { on_trial, .. } => !std::mem::replace(on_trial, true),
            Cause::Full => false,
        }
    }

    /// Records that a request which tried an unfit leader has ended, in whatever way.
    pub fn on_trial_ended(&mut self, id: &Name, incarnation: u64) {
        let known = self.exclusions.get_mut(id);
        if let Some(known) = known.filter(|e| e.incarnation == incarnation)
            && let Cause::Unfit { on_trial, .. } = &mut known.cause
        {
            *on_trial = false;
        }
    }

    /// Discards what is known of a leader that is no longer in the roster.
    pub fn forget(&mut self, id: &str) {
        self.exclusions.remove(id);
    }
}

/// Returns the time without an event on any begun stream after which a leader is avoided
/// for new requests. It is no shorter than the largest gap of a healthy leader.
#[must_use]
pub fn quiet_time(engine: &Engine, time_factor: f64) -> Duration {
    let pass = step_time(engine, time_factor, f64::from(engine.slots)) * engine.stride.max(1);
    let passes = pass.saturating_mul(QUIET_PASSES);
    passes.max(max_event_gap(engine, time_factor))
}

/// Returns the time without an event after which a leader counts as stalled to requests that
/// haven't begun, given the time for begun streams. A leader that isn't full runs them at
/// once; only the known unread prompts there may delay them.
#[must_use]
pub fn unbegun_stall_timeout(
    begun: Duration,
    engine: &Engine,
    time_factor: f64,
    known: Batch,
) -> Duration {
    let queued = begun * QUEUED_FACTOR;
    if known.requests >= f64::from(engine.slots) {
        return queued;
    }
    let first = first_token_time(engine, time_factor, known, Work::default());
    begun.max(first.saturating_mul(UNREAD_FACTOR)).min(queued)
}

//! Queues of requests that wait for a replica.
//!
//! Teams share capacity by weight: each queued request carries a virtual start
//! time that advances by `1 / share` per request of its team, and the lowest
//! goes first (start-time fair queueing). An idle team saves up nothing and
//! idle capacity goes to whoever waits. A request that cannot start before its
//! deadline is refused when it arrives, while a repeat elsewhere still helps.
//! See `docs/decisions/0006-fairness.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{RequestId, TeamName};
use crate::refusal::Reason;
use crate::time::Time;

/// Weight of a new observation in the moving average of starts.
const SMOOTHING: f64 = 0.05;
/// Queued requests before which no estimate of the wait is made.
const ESTIMATE_FROM: usize = 4;

/// Bounds of one workload's queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests of one team that may wait.
    pub per_team: usize,
    /// Requests that may wait in all.
    pub total: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            per_team: 1_000,
            total: 5_000,
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// Moment after which it is refused instead of started.
    pub deadline: Time,
}

#[derive(Debug)]
struct TeamQueue {
    share: f64,
    next_start: f64,
    waiting: VecDeque<(f64, QueuedRequest)>,
}

/// The queues of one workload, one per team.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    virtual_now: f64,
    teams: BTreeMap<TeamName, TeamQueue>,
    len: usize,
    last_start: Option<Time>,
    gap_s: Option<f64>,
}

impl AdmissionQueue {
    /// An empty queue.
    #[must_use]
    pub const fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            virtual_now: 0.0,
            teams: BTreeMap::new(),
            len: 0,
            last_start: None,
            gap_s: None,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request, or says why it cannot wait.
    pub fn push(
        &mut self,
        now: Time,
        team: &TeamName,
        share: u32,
        waiting: QueuedRequest,
    ) -> Result<(), Reason> {
        if self.len >= self.limits.total {
            return Err(Reason::Overloaded);
        }
        let share = f64::from(share.max(1));
        let active: f64 = self
            .teams
            .iter()
            .filter(|(t, _)| *t != team)
            .map(|(_, q)| q.share)
            .sum();
        let gap_s = self.gap_s;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            share,
            next_start: 0.0,
            waiting: VecDeque::new(),
        });
        queue.share = share;
        let ahead = queue.waiting.len();
        if ahead >= self.limits.per_team {
            return Err(Reason::QueueFull);
        }
        if let Some(gap) = gap_s
            && ahead >= ESTIMATE_FROM
        {
            let wait = gap * (ahead + 1) as f64 * (active + share) / share;
            if now + Duration::from_secs_f64(wait.min(1e6)) > waiting.deadline {
                return Err(Reason::Overloaded);
            }
        }
        let start = queue.next_start.max(self.virtual_now);
        queue.next_start = start + 1.0 / share;
        queue.waiting.push_back((start, waiting));
        self.len += 1;
        Ok(())
    }

    /// Returns the request that should start next, without taking it out.
    #[must_use]
    pub fn peek(&self) -> Option<(&TeamName, &QueuedRequest)> {
        let (team, queue) = self.next_team()?;
        queue.waiting.front().map(|(_, w)| (team, w))
    }

    fn next_team(&self) -> Option<(&TeamName, &TeamQueue)> {
        let start = |q: &TeamQueue| q.waiting.front().map_or(f64::INFINITY, |(s, _)| *s);
        self.teams
            .iter()
            .filter(|(_, q)| !q.waiting.is_empty())
            .min_by(|(_, a), (_, b)| start(a).total_cmp(&start(b)))
    }

    /// Takes out the request that starts now.
    pub fn pop(&mut self, now: Time) -> Option<QueuedRequest> {
        let team = self.next_team()?.0.clone();
        let queue = self.teams.get_mut(&team)?;
        let (start, waiting) = queue.waiting.pop_front()?;
        self.virtual_now = self.virtual_now.max(start);
        if queue.waiting.is_empty() {
            self.teams.remove(&team);
        }
        self.len -= 1;
        self.on_start(now);
        Some(waiting)
    }

    fn on_start(&mut self, now: Time) {
        if let Some(last) = self.last_start.replace(now) {
            let gap = now.since(last).as_secs_f64();
            let before = self.gap_s.unwrap_or(gap);
            self.gap_s = Some(before + SMOOTHING * (gap - before));
        }
        if self.len == 0 {
            self.last_start = None;
        }
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for queue in self.teams.values_mut() {
            queue.waiting.retain(|(_, w)| {
                let keep = now < w.deadline;
                if !keep {
                    expired.push(w.id);
                }
                keep
            });
        }
        self.len -= expired.len();
        self.teams.retain(|_, q| !q.waiting.is_empty());
        expired
    }

    /// Takes out one request, if it still waits.
    pub fn remove(&mut self, id: RequestId) -> bool {
        for queue in self.teams.values_mut() {
            let before = queue.waiting.len();
            queue.waiting.retain(|(_, w)| w.id != id);
            if queue.waiting.len() < before {
                self.len -= 1;
                self.teams.retain(|_, q| !q.waiting.is_empty());
                return true;
            }
        }
        false
    }
}

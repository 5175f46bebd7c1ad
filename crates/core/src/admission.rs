//! Admission queues of requests that wait for a replica.
//!
//! Teams share capacity by weight (start-time fair queueing): each queued
//! request gets a virtual start time that advances by `1 / share` per request
//! of its team, and the request with the lowest one starts next. An idle team
//! accumulates no credit, and the capacity that it leaves goes to the other
//! teams. A request that is not expected to start before its deadline is
//! refused on arrival, while the caller still has time to retry elsewhere. See
//! `docs/decisions/0006-fairness.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{RequestId, TeamName};
use crate::refusal::Reason;
use crate::time::Time;

/// Weight of a new interval in the moving average of the time between starts.
const SMOOTHING: f64 = 0.05;
/// Queued requests of a team below which its waiting time is not estimated.
const MIN_QUEUED_FOR_ESTIMATE: usize = 4;

/// Capacity of one workload's queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of queued requests of one team.
    pub per_team: usize,
    /// Maximum number of queued requests of all teams together.
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

/// An entry of an admission queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identity of the request.
    pub id: RequestId,
    /// Time from which the request is refused instead of started.
    pub deadline: Time,
}

#[derive(Debug)]
struct TeamQueue {
    share: f64,
    /// Virtual start time of the team's next request, unless the queue's
    /// virtual time is later.
    next_start: f64,
    /// Queued requests with their virtual start times.
    requests: VecDeque<(f64, QueuedRequest)>,
}

/// The queues of one workload, one per team.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    /// Highest virtual start time of a started request.
    virtual_time: f64,
    /// Queues of the teams that have requests queued.
    teams: BTreeMap<TeamName, TeamQueue>,
    len: usize,
    /// Time of the last start, unless it emptied the queues: the time until the
    /// next request arrives must not count as time between starts.
    last_start: Option<Time>,
    /// Moving average of the time between two starts, in seconds.
    mean_gap_s: Option<f64>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            virtual_time: 0.0,
            teams: BTreeMap::new(),
            len: 0,
            last_start: None,
            mean_gap_s: None,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request, or returns the reason for which it is refused.
    ///
    /// `share` is the weight of the team. The request is refused if a queue is
    /// full, or if its estimated waiting time exceeds its deadline.
    pub fn push(
        &mut self,
        now: Time,
        team: &TeamName,
        share: u32,
        request: QueuedRequest,
    ) -> Result<(), Reason> {
        if self.len >= self.limits.total {
            return Err(Reason::Overloaded);
        }
        let share = f64::from(share.max(1));
        let other_shares: f64 = self
            .teams
            .iter()
            .filter(|(t, _)| *t != team)
            .map(|(_, q)| q.share)
            .sum();
        let mean_gap_s = self.mean_gap_s;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            share,
            next_start: 0.0,
            requests: VecDeque::new(),
        });
        queue.share = share;
        let ahead = queue.requests.len();
        if ahead >= self.limits.per_team {
            return Err(Reason::QueueFull);
        }
        if let Some(gap) = mean_gap_s
            && ahead >= MIN_QUEUED_FOR_ESTIMATE
        {
            let wait = gap * (ahead + 1) as f64 * (other_shares + share) / share;
            if now + Duration::from_secs_f64(wait.min(1e6)) > request.deadline {
                return Err(Reason::Overloaded);
            }
        }
        let start = queue.next_start.max(self.virtual_time);
        queue.next_start = start + 1.0 / share;
        queue.requests.push_back((start, request));
        self.len += 1;
        Ok(())
    }

    /// Returns the request that starts next, without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<(&TeamName, &QueuedRequest)> {
        let (team, queue) = self.next_team()?;
        queue.requests.front().map(|(_, r)| (team, r))
    }

    fn next_team(&self) -> Option<(&TeamName, &TeamQueue)> {
        let start = |q: &TeamQueue| q.requests.front().map_or(f64::INFINITY, |(s, _)| *s);
        self.teams
            .iter()
            .filter(|(_, q)| !q.requests.is_empty())
            .min_by(|(_, a), (_, b)| start(a).total_cmp(&start(b)))
    }

    /// Removes and returns the request that starts now.
    pub fn pop(&mut self, now: Time) -> Option<QueuedRequest> {
        let team = self.next_team()?.0.clone();
        let queue = self.teams.get_mut(&team)?;
        let (start, request) = queue.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(start);
        if queue.requests.is_empty() {
            self.teams.remove(&team);
        }
        self.len -= 1;
        self.observe_start(now);
        Some(request)
    }

    fn observe_start(&mut self, now: Time) {
        if let Some(last) = self.last_start.replace(now) {
            let gap = now.since(last).as_secs_f64();
            let before = self.mean_gap_s.unwrap_or(gap);
            self.mean_gap_s = Some(before + SMOOTHING * (gap - before));
        }
        if self.len == 0 {
            self.last_start = None;
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for queue in self.teams.values_mut() {
            queue.requests.retain(|(_, r)| {
                let keep = now < r.deadline;
                if !keep {
                    expired.push(r.id);
                }
                keep
            });
        }
        self.len -= expired.len();
        self.teams.retain(|_, q| !q.requests.is_empty());
        expired
    }

    /// Removes one request; returns whether it was still queued.
    pub fn remove(&mut self, id: RequestId) -> bool {
        for queue in self.teams.values_mut() {
            let before = queue.requests.len();
            queue.requests.retain(|(_, r)| r.id != id);
            if queue.requests.len() < before {
                self.len -= 1;
                self.teams.retain(|_, q| !q.requests.is_empty());
                return true;
            }
        }
        false
    }
}

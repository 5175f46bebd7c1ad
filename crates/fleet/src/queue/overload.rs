//! Order of the queued requests of a latency-critical service while capacity is short.
//!
//! Requests that can still be on time start first: by priority, then the team with the
//! fewest recent starts, then the earliest objective. A team whose oldest request has
//! less slack than its line needs is served newest first: in order of objectives every
//! request would start at the last moment, and most would be late. Late requests follow
//! by deadline. One start in [`RESERVED_INTERVAL`] goes to the class that has waited
//! longest without one, if that is at least [`MIN_STARVED_TIME`]: each waiting class adds
//! at most [`MAX_PASSED`] on-time starts and this time to the pause of another. This answers
//! a demand of up to twice the capacity for some seconds, as in a burst or while VMs are cut
//! off. See `docs/design/overload-queue.md`.

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use super::window::{WINDOW, Window};
use super::{QueuedRequest, StartClass};

/// One start in this many is reserved for the class that has waited longest.
const RESERVED_INTERVAL: u32 = 10;
/// Number of on-time starts after which the reserved start no longer waits for an on-time
/// request that it would make late.
const MAX_PASSED: u32 = 2 * RESERVED_INTERVAL;
/// Time without a start from which a class gets a reserved one. It is in the range of the
/// objectives: after a short shortage, late requests wait until no on-time one does.
const MIN_STARVED_TIME: Duration = Duration::from_millis(500);
/// Half-life of a team's starts in its share. It is a few objectives long, so that a team
/// which returns after a pause isn't preferred for longer than callers can wait.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Number of decayed starts below which a team is forgotten.
const MIN_STARTS: f64 = 0.01;
/// Shortest time over which the rate of late starts is measured.
const MIN_LATE_TIME: Duration = Duration::from_millis(200);
/// Factor on the time between two starts that bounds the expected one between late starts.
/// Most bursts are shorter than the deadlines, and after them late requests get the free
/// slots. A caller that is refused too early comes back as a new one, and competes with
/// requests that can be on time.
const MAX_LATE_FACTOR: f64 = 4.0;
/// Fraction of its objective up to which the estimate of the first event counts, so that
/// a new request never looks late, however slow the leaders are.
const MAX_FIRST_FRACTION: f64 = 0.75;
/// Fraction of the time between receipt and deadline up to which the expected run time
/// counts. Length hints are right only in the median, and a request without one counts
/// with its maximum length.
const MAX_RUN_FRACTION: f64 = 0.75;

/// The queued requests at one moment.
#[derive(Clone, Copy)]
pub(super) struct View<'q> {
    pub(super) now: Time,
    /// Expected time from a start to the first event.
    pub(super) first: Duration,
    /// Expected time between two starts.
    pub(super) interval: Duration,
    /// Whether there were enough starts to refuse requests for an expected wait.
    pub(super) is_rate_known: bool,
    pub(super) requests: &'q [QueuedRequest],
}

impl View<'_> {
    /// Returns the part of an expected wait for which a request may be refused.
    pub(super) const fn certain(&self, wait: Duration) -> Duration {
        if self.is_rate_known {
            wait
        } else {
            Duration::ZERO
        }
    }

    fn on_time(&self) -> impl Iterator<Item = (usize, &QueuedRequest)> {
        let all = self.requests.iter().enumerate();
        all.filter(|(_, r)| !self.is_late(r))
    }

    fn late(&self) -> impl Iterator<Item = (usize, &QueuedRequest)> {
        let all = self.requests.iter().enumerate();
        all.filter(|(_, r)| self.is_late(r))
    }

    fn is_late(&self, request: &QueuedRequest) -> bool {
        is_late(self.now, self.first, request)
    }

    /// Returns how long the start of an on-time request can be delayed.
    fn slack(&self, request: &QueuedRequest) -> Duration {
        let first = expected_first(request, self.first);
        request.objective.since(self.now + first)
    }

    fn class(&self, request: &QueuedRequest) -> Class {
        Class {
            late: self.is_late(request),
            priority: request.priority,
            team: request.team,
        }
    }

    /// Returns the number of on-time starts until `own` requests of a team have started,
    /// without these. The other teams of the priority get as many starts as this one.
    fn starts_of_others(&self, priority: u8, team: u32, own: usize) -> usize {
        let mut urgent = 0;
        let mut others: SmallVec<[(u32, usize); 8]> = SmallVec::new();
        for (_, request) in self.on_time() {
            if request.priority < priority {
                urgent += 1;
            } else if request.priority == priority && request.team != team {
                match others.iter_mut().find(|(t, _)| *t == request.team) {
                    Some((_, count)) => *count = (*count + 1).min(own),
                    None => others.push((request.team, 1)),
                }
            }
        }
        urgent + others.iter().map(|(_, count)| count).sum::<usize>()
    }

    /// Returns whether a team's line is longer than the slack of its oldest request.
    fn is_newest_first(&self, priority: u8, team: u32) -> bool {
        let is_own = |r: &QueuedRequest| r.priority == priority && r.team == team;
        let own = self.on_time().filter(|(_, r)| is_own(r)).count();
        let slack = self.on_time().filter(|(_, r)| is_own(r));
        let Some(slack) = slack.map(|(_, r)| self.slack(r)).min() else {
            return false;
        };
        let line = own + self.starts_of_others(priority, team, own);
        self.interval.mul_f64(line as f64) > slack
    }

    /// Returns the next on-time request of a team.
    fn best_of_team(&self, priority: u8, team: u32) -> Option<usize> {
        let own = self.on_time();
        let own = own.filter(|(_, r)| r.priority == priority && r.team == team);
        let best = match self.is_newest_first(priority, team) {
            true => own.max_by_key(|(_, r)| (r.received, r.id)),
            false => own.min_by_key(|(_, r)| (r.objective, r.id)),
        };
        best.map(|(index, _)| index)
    }

    fn best_late(&self, class: Option<Class>) -> Option<usize> {
        let late = self.late();
        let late = late.filter(|(_, r)| class.is_none_or(|c| c == self.class(r)));
        let best = late.min_by_key(|(_, r)| (r.deadline, r.id));
        best.map(|(index, _)| index)
    }
}

/// Returns whether a request can no longer meet its objective.
pub(super) fn is_late(now: Time, first: Duration, request: &QueuedRequest) -> bool {
    request.is_late(now, expected_first(request, first))
}

/// Returns the time to the first event that counts for a request.
fn expected_first(request: &QueuedRequest, first: Duration) -> Duration {
    let budget = request.objective.since(request.received);
    first.min(budget.mul_f64(MAX_FIRST_FRACTION))
}

/// Returns the latest time at which a request can start and end by its deadline.
pub(super) fn latest_start(request: &QueuedRequest) -> Time {
    let time = request.deadline.since(request.received);
    request.deadline - request.run.min(time.mul_f64(MAX_RUN_FRACTION))
}

/// Requests among which none goes first by priority, team or lateness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Class {
    late: bool,
    priority: u8,
    team: u32,
}

/// The starts of a team, which decay.
#[derive(Clone, Copy, Debug)]
struct TeamStarts {
    at: Time,
    count: f64,
}

impl TeamStarts {
    fn count(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.count * (-half_lives).exp2()
    }
}

/// The request that starts next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    pub(super) index: usize,
    pub(super) class: StartClass,
    /// Whether the class that has waited longest gets this start.
    longest: bool,
}

/// What the order depends on beside the queued requests.
#[derive(Debug, Default)]
pub(super) struct OverloadOrder {
    team_starts: HashMap<u32, TeamStarts>,
    /// Since when requests of each class have been waiting without a start of the class.
    /// A class is kept though its requests change: on-time ones soon become late.
    waiting: SmallVec<[(Class, Time); 8]>,
    /// On-time starts since the last reserved one, while others were waiting.
    passed: u32,
    /// Since when late requests have been waiting.
    late_since: Option<Time>,
    late_starts: Window,
}

impl OverloadOrder {
    /// Returns the request that starts next.
    pub(super) fn next(&self, view: &View<'_>) -> Option<Turn> {
        let (ordinary, class) = match self.best_on_time(view) {
            Some(index) => (index, StartClass::OnTime),
            None => (view.best_late(None)?, StartClass::Late),
        };
        let turn = Turn {
            index: ordinary,
            class,
            longest: false,
        };
        if self.passed + 1 < RESERVED_INTERVAL {
            return Some(turn);
        }
        let request = &view.requests[ordinary];
        let Some(longest) = self.longest_waiting(view) else {
            return Some(turn);
        };
        if class == StartClass::OnTime {
            if longest == view.class(request) {
                return Some(Turn {
                    longest: true,
                    ..turn
                });
            }
            let avoidable = self.passed + 1 < MAX_PASSED;
            if avoidable && view.slack(request) < view.interval {
                return Some(turn);
            }
        }
        let index = match longest.late {
            true => view.best_late(Some(longest)),
            false => view.best_of_team(longest.priority, longest.team),
        };
        Some(Turn {
            index: index?,
            class: StartClass::Reserved,
            longest: true,
        })
    }

    /// Returns the on-time request that starts next by priority and share.
    fn best_on_time(&self, view: &View<'_>) -> Option<usize> {
        let priority = view.on_time().map(|(_, r)| r.priority).min()?;
        let urgent = view.on_time().filter(|(_, r)| r.priority == priority);
        let rank = |r: &QueuedRequest| (self.recent_starts(view.now, r.team), r.objective, r.id);
        let next = urgent.min_by(|(_, a), (_, b)| {
            let (a, b) = (rank(a), rank(b));
            a.0.total_cmp(&b.0)
                .then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
        });
        view.best_of_team(priority, next?.1.team)
    }

    fn recent_starts(&self, now: Time, team: u32) -> f64 {
        self.team_starts.get(&team).map_or(0.0, |s| s.count(now))
    }

    /// Returns the class that has waited longest without a start, if that is long.
    fn longest_waiting(&self, view: &View<'_>) -> Option<Class> {
        let since = |request: &QueuedRequest| {
            let class = view.class(request);
            (self.waiting_since(class, request), request.id, class)
        };
        let longest = view.requests.iter().map(since);
        let longest = longest.min_by_key(|(since, id, _)| (*since, *id));
        let starved = |since: Time| view.now.since(since) >= MIN_STARVED_TIME;
        let longest = longest.filter(|(since, _, _)| starved(*since));
        longest.map(|(_, _, class)| class)
    }

    fn waiting_since(&self, class: Class, request: &QueuedRequest) -> Time {
        let known = self.waiting.iter().find(|(c, _)| *c == class);
        known.map_or(request.received, |(_, since)| *since)
    }

    /// Records the start of the request that [`Self::next`] returned. The view still
    /// contains it.
    pub(super) fn on_turn(&mut self, view: &View<'_>, turn: Turn) {
        let request = &view.requests[turn.index];
        self.count_start(view, request);
        match turn.class {
            _ if turn.longest => self.passed = 0,
            StartClass::OnTime if view.requests.len() > 1 => self.passed += 1,
            StartClass::OnTime | StartClass::Late | StartClass::Reserved => {}
        }
    }

    /// Records the start of a request that wasn't queued, ahead of those that are.
    pub(super) fn on_direct_start(&mut self, view: &View<'_>, request: &QueuedRequest) {
        self.count_start(view, request);
        self.passed = match view.requests.is_empty() {
            true => 0,
            false => self.passed.saturating_add(1),
        };
    }

    fn count_start(&mut self, view: &View<'_>, request: &QueuedRequest) {
        let now = view.now;
        let class = view.class(request);
        if class.late {
            self.late_starts.record(now);
        }
        if let Some(known) = self.waiting.iter_mut().find(|(c, _)| *c == class) {
            known.1 = now;
        }
        self.team_starts.retain(|_, s| s.count(now) > MIN_STARTS);
        let count = self.recent_starts(now, request.team) + 1.0;
        self.team_starts
            .insert(request.team, TeamStarts { at: now, count });
    }

    /// Notes which requests wait, from which the reserved starts and the wait of late
    /// requests follow.
    pub(super) fn observe(&mut self, view: &View<'_>) {
        let mut waiting: SmallVec<[(Class, Time); 8]> = SmallVec::new();
        for request in view.requests {
            let class = view.class(request);
            if waiting.iter().all(|(c, _)| *c != class) {
                waiting.push((class, self.waiting_since(class, request)));
            }
        }
        let late = waiting.iter().any(|(class, _)| class.late);
        self.late_since = late.then(|| self.late_since.unwrap_or(view.now));
        self.waiting = waiting;
    }

    /// Returns the expected time between two late starts. On-time requests go first, so
    /// late ones start at a rate of their own, which is measured while some wait.
    fn late_interval(&self, view: &View<'_>) -> Duration {
        let waited = self
            .late_since
            .map_or(Duration::ZERO, |t| view.now.since(t));
        let time = waited.clamp(MIN_LATE_TIME, WINDOW);
        let starts = self.late_starts.count(view.now) + 1;
        let most = view.interval.mul_f64(MAX_LATE_FACTOR);
        time.div_f64(starts as f64).clamp(view.interval, most)
    }

    /// Returns how long a new request is expected to wait by those that go ahead of it.
    pub(super) fn expected_wait(&self, view: &View<'_>, request: &QueuedRequest) -> Duration {
        if view.is_late(request) {
            let is_ahead = |r: &QueuedRequest| r.deadline <= request.deadline;
            let late = view.late().filter(|(_, r)| is_ahead(r)).count();
            return self.late_wait(view, late);
        }
        let (priority, team) = (request.priority, request.team);
        let own = match view.is_newest_first(priority, team) {
            true => 0,
            false => {
                let is_ahead = |r: &QueuedRequest| {
                    r.priority == priority && r.team == team && r.objective <= request.objective
                };
                view.on_time().filter(|(_, r)| is_ahead(r)).count()
            }
        };
        let ahead = own + view.starts_of_others(priority, team, own + 1);
        view.interval.mul_f64(ahead as f64)
    }

    fn late_wait(&self, view: &View<'_>, late_ahead: usize) -> Duration {
        let on_time = view.interval.mul_f64(view.on_time().count() as f64);
        on_time + self.late_interval(view).mul_f64(late_ahead as f64)
    }

    /// Returns the ids of the requests that can't start in time for their deadline.
    pub(super) fn unservable(&self, view: &View<'_>) -> SmallVec<[u64; 8]> {
        let mut late: SmallVec<[&QueuedRequest; 16]> = view.late().map(|(_, r)| r).collect();
        late.sort_unstable_by_key(|r| (r.deadline, r.id));
        let overdue = view.on_time().map(|(_, r)| r);
        let overdue = overdue.filter(|r| view.now >= latest_start(r));
        let mut refused: SmallVec<[u64; 8]> = overdue.map(|r| r.id).collect();
        let (on_time, interval) = (self.late_wait(view, 0), self.late_interval(view));
        let mut ahead = 0;
        for request in late {
            let wait = on_time + interval.mul_f64(f64::from(ahead));
            // The next one to start isn't refused for an expectation.
            let wait = if ahead == 0 { Duration::ZERO } else { wait };
            if view.now + view.certain(wait) >= latest_start(request) {
                refused.push(request.id);
            } else {
                ahead += 1;
            }
        }
        refused
    }
}

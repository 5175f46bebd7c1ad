//! Queue of requests that wait while every leader of their model is full.
//!
//! Requests that can still meet their objective go first, and among them the more urgent
//! priority; the [`Discipline`] orders the rest. Requests that are late anyway follow once
//! no punctual one waits, and use only unreserved slots: every entry has a queue of its
//! own, and the late requests of one must not take the slots that the punctual ones of
//! another need. A request that can't start in time is refused as soon as that is known,
//! with a time after which the service is expected to have capacity for it.

mod overload;
mod window;

use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use crate::leader_choice::SlotLimit;
use overload::{OverloadOrder, View, latest_start};
use window::{WINDOW, Window};

/// In which order queued requests start, and when they are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// By lateness, priority and objective. A request may wait for a fixed fraction of its
    /// time.
    #[default]
    EarliestFirst,
    /// The order for latency-critical services, see `docs/design/overload-queue.md`. A
    /// request may wait for as long as it can still end by its deadline.
    OnTimeFirst,
}

/// Why a request starts, as its counter says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum StartClass {
    /// It can meet its objective.
    OnTime,
    /// It is late, and no on-time request waits.
    Late,
    /// Its class has waited longest and gets one of the reserved starts.
    Reserved,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of queued requests.
    pub max_requests: usize,
    /// Fraction of the time between its receipt and its deadline that a request may wait.
    pub wait_fraction: f64,
    /// Order of the queue.
    pub discipline: Discipline,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_requests: 512,
            wait_fraction: 0.4,
            discipline: Discipline::default(),
        }
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request within this process.
    pub id: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Key of its team's name. Requests of teams without a key share one.
    pub team: u32,
    /// When it was received.
    pub received: Time,
    /// Time by which its first event is on time.
    pub objective: Time,
    /// Time at which its caller gives up.
    pub deadline: Time,
    /// Expected time from its start to its end.
    pub run: Duration,
}

impl QueuedRequest {
    /// Returns whether the first event misses the objective if the request starts now
    /// and its first event takes `first`.
    #[must_use]
    pub fn is_late(&self, now: Time, first: Duration) -> bool {
        now + first > self.objective
    }

    fn wait_deadline(&self, fraction: f64) -> Time {
        self.received + self.deadline.since(self.received).mul_f64(fraction)
    }
}

/// Minimum time after which refused callers come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum of that time where the caller's deadline isn't considered.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Fraction of its remaining time after which a refused caller comes back at the latest.
/// Callers follow a delay of up to a third; the rest is for the way of the refusal.
const MAX_RETURN_FRACTION: f64 = 0.3;

/// Starts within the window from which their rate tells how long a request waits. An entry
/// with fewer has few requests, and its leaders' slots free up much faster.
const MIN_RATE_STARTS: usize = 4;

/// Requests that wait for a leader of one model.
#[derive(Debug, Default)]
pub struct RequestQueue {
    settings: QueueSettings,
    requests: Vec<QueuedRequest>,
    starts: Window,
    refusals: Window,
    order: OverloadOrder,
}

impl RequestQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the order of the queue.
    #[must_use]
    pub const fn discipline(&self) -> Discipline {
        self.settings.discipline
    }

    /// Sets the order of the queue, which a new configuration may change.
    pub const fn set_discipline(&mut self, discipline: Discipline) {
        self.settings.discipline = discipline;
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn view(&self, now: Time, first: Duration) -> View<'_> {
        View {
            now,
            first,
            interval: self.expected_wait(now, 1),
            is_rate_known: self.starts.count(now) >= MIN_RATE_STARTS,
            requests: &self.requests,
        }
    }

    /// Records that a request was sent to a leader, whether it was queued or not.
    pub fn on_start(&mut self, now: Time) {
        self.starts.record(now);
    }

    /// Records that a request is sent to a leader without having been queued.
    pub fn on_direct_start(&mut self, now: Time, first: Duration, request: &QueuedRequest) {
        if self.settings.discipline == Discipline::OnTimeFirst {
            let mut order = std::mem::take(&mut self.order);
            order.on_direct_start(&self.view(now, first), request);
            self.order = order;
        }
    }

    /// Records that a request was refused for lack of capacity. Its caller will come back.
    pub fn on_refused(&mut self, now: Time) {
        self.refusals.record(now);
    }

    /// Returns how long a request is expected to wait with this many ahead of it.
    #[must_use]
    pub fn expected_wait(&self, now: Time, ahead: usize) -> Duration {
        let min_rate = 1.0 / WINDOW.as_secs_f64();
        Duration::from_secs_f64(ahead as f64 / self.start_rate(now).max(min_rate))
    }

    /// Returns the recent number of started requests per second.
    #[must_use]
    pub fn start_rate(&self, now: Time) -> f64 {
        self.starts.count(now) as f64 / WINDOW.as_secs_f64()
    }

    /// Returns the period over which refused callers should come back: the time that
    /// the queue takes to empty, so that the service has capacity for them by then.
    #[must_use]
    pub fn retry_after(&self, now: Time) -> Duration {
        self.expected_wait(now, self.requests.len())
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the period over which refused callers should come back, from `earliest`
    /// on, if this one has `remaining` left: the time that the service takes for the queued
    /// requests and for those that were refused in the last seconds, but no longer than
    /// callers wait.
    #[must_use]
    pub fn return_period(&self, now: Time, earliest: Duration, remaining: Duration) -> Duration {
        let returning = self.requests.len() + self.refusals.count(now);
        let latest = remaining.mul_f64(MAX_RETURN_FRACTION);
        self.expected_wait(now, returning)
            .max(MIN_RETRY_AFTER)
            .min(latest.saturating_sub(earliest))
    }

    /// Returns whether a request can no longer meet its objective.
    #[must_use]
    pub fn is_late(&self, now: Time, first: Duration, request: &QueuedRequest) -> bool {
        match self.settings.discipline {
            Discipline::EarliestFirst => request.is_late(now, first),
            Discipline::OnTimeFirst => overload::is_late(now, first, request),
        }
    }

    /// Returns the time up to which a request may wait.
    #[must_use]
    pub fn latest_start(&self, request: &QueuedRequest) -> Time {
        match self.settings.discipline {
            Discipline::EarliestFirst => request.deadline,
            Discipline::OnTimeFirst => latest_start(request),
        }
    }

    /// Adds a request to the queue. `first` is the expected time from its start to its
    /// first event.
    ///
    /// # Errors
    ///
    /// The expected wait, if the queue is full, or if the request may not wait that long.
    pub fn enqueue_by(
        &mut self,
        now: Time,
        first: Duration,
        request: QueuedRequest,
    ) -> Result<(), Duration> {
        if self.settings.discipline == Discipline::EarliestFirst {
            return self.enqueue(now, request);
        }
        let view = self.view(now, first);
        let wait = self.order.expected_wait(&view, &request);
        let too_late = now + view.certain(wait) >= latest_start(&request);
        if self.requests.len() >= self.settings.max_requests || too_late {
            return Err(wait);
        }
        self.requests.push(request);
        Ok(())
    }

    /// Adds a request to a queue with [`Discipline::EarliestFirst`].
    ///
    /// # Errors
    ///
    /// The expected wait, if the queue is full, or if others are ahead and the request may
    /// not wait that long.
    pub fn enqueue(&mut self, now: Time, request: QueuedRequest) -> Result<(), Duration> {
        let ahead = self
            .requests
            .iter()
            .filter(|r| r.priority <= request.priority)
            .count();
        let wait = self.expected_wait(now, ahead);
        let too_late = now + wait >= request.wait_deadline(self.settings.wait_fraction);
        if self.requests.len() >= self.settings.max_requests || (too_late && ahead > 0) {
            return Err(wait);
        }
        self.requests.push(request);
        Ok(())
    }

    /// Returns how many of a leader's slots the next request may use: only the
    /// unreserved ones once every queued request is late, unless a reserved start is due.
    #[must_use]
    pub fn next_slot_limit(&self, now: Time, first: Duration) -> SlotLimit {
        let punctual = match self.settings.discipline {
            Discipline::EarliestFirst => self.requests.iter().any(|r| !r.is_late(now, first)),
            Discipline::OnTimeFirst => {
                let turn = self.order.next(&self.view(now, first));
                turn.is_some_and(|t| t.class != StartClass::Late)
            }
        };
        if punctual {
            SlotLimit::All
        } else {
            SlotLimit::Unreserved
        }
    }

    /// Returns whether a queued request goes before a new one. `late` says whether the new
    /// one is late.
    #[must_use]
    pub fn has_ahead(&self, now: Time, first: Duration, late: bool) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|r| late || !self.is_late(now, first, r))
    }

    /// Removes and returns the next request. `first` is the expected time from its start
    /// to its first event.
    pub fn pop(&mut self, now: Time, first: Duration) -> Option<QueuedRequest> {
        self.pop_class(now, first).map(|(request, _)| request)
    }

    /// Removes and returns the next request, and why it starts.
    pub fn pop_class(&mut self, now: Time, first: Duration) -> Option<(QueuedRequest, StartClass)> {
        let (index, class) = match self.settings.discipline {
            Discipline::EarliestFirst => self.earliest(now, first)?,
            Discipline::OnTimeFirst => {
                let mut order = std::mem::take(&mut self.order);
                let view = self.view(now, first);
                let turn = order.next(&view);
                if let Some(turn) = turn {
                    order.on_turn(&view, turn);
                }
                self.order = order;
                turn.map(|t| (t.index, t.class))?
            }
        };
        Some((self.requests.swap_remove(index), class))
    }

    fn earliest(&self, now: Time, first: Duration) -> Option<(usize, StartClass)> {
        let order = |r: &QueuedRequest| {
            let late = r.is_late(now, first);
            let end = if late { r.deadline } else { r.objective };
            (late, r.priority, end)
        };
        let best = (0..self.requests.len()).min_by_key(|i| order(&self.requests[*i]))?;
        let class = match self.requests[best].is_late(now, first) {
            true => StartClass::Late,
            false => StartClass::OnTime,
        };
        Some((best, class))
    }

    /// Removes a request whose caller left. Returns whether it was queued.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.requests.len();
        self.requests.retain(|r| r.id != id);
        before != self.requests.len()
    }

    /// Removes and returns the requests that can't start in time any more.
    pub fn take_unservable(&mut self, now: Time, first: Duration) -> Vec<QueuedRequest> {
        if self.settings.discipline == Discipline::EarliestFirst {
            return self.take_overdue(now);
        }
        let mut order = std::mem::take(&mut self.order);
        let view = self.view(now, first);
        order.observe(&view);
        let refused: SmallVec<[u64; 8]> = order.unservable(&view);
        self.order = order;
        if refused.is_empty() {
            return Vec::new();
        }
        self.take(|r| refused.contains(&r.id))
    }

    /// Removes and returns the requests that would end after `end` if they started at `start`.
    pub fn take_ending_after(&mut self, start: Time, end: Time) -> Vec<QueuedRequest> {
        self.take(|r| start + r.run > end)
    }

    /// Removes and returns the requests that have waited for the fraction of their time
    /// that the settings allow.
    pub fn take_overdue(&mut self, now: Time) -> Vec<QueuedRequest> {
        let fraction = self.settings.wait_fraction;
        self.take(|r| now >= r.wait_deadline(fraction))
    }

    fn take(&mut self, is_taken: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let (taken, kept) = self.requests.drain(..).partition(is_taken);
        self.requests = kept;
        taken
    }
}

//! One entry: its state and all that it talks to.
//!
//! The process has one thread, so the state needs no lock.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::{Time, stable_hash};
use bulrushhoist_fleet::{EndpointLoad, Health, Name, Placement, SlowLeader, Suspicion, Work};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::relay::Relay;
use crate::settings::Settings;
use crate::state::{Phase, State, load_key};
use crate::store::StoreClient;

/// Factor from which on a slow head is told to the other entries.
const SLOW_NEWS: f64 = 1.3;
/// Time for which a suspicion is told to the other entries.
const SUSPICION_NEWS: Duration = Duration::from_millis(1_500);

/// Time after the signal to stop in which every request is still taken.
const STILL_SERVED: Duration = Duration::from_millis(2_900);
/// Time before the end of the grace period at which the process ends.
pub(crate) const STOP_MARGIN: Duration = Duration::from_millis(700);

/// One entry.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
    pub(crate) store: StoreClient,
    pub(crate) state: RefCell<State>,
    pub(crate) links: Links,
    pub(crate) relay: Relay,
    /// Wakes the planner when something changed that may call for orders.
    pub(crate) planner_wake: Notify,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        dialect: Rc<dyn Dialect>,
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let store = StoreClient::new(settings.store.address, dialect.clone());
        let seed = stable_hash([settings.node.as_bytes()]) ^ u64::from(std::process::id());
        let state = State::new(seed);
        Self {
            settings,
            dialect,
            log,
            metrics,
            clock: Clock::new(),
            store,
            state: RefCell::new(state),
            links: Links::default(),
            relay: Relay::default(),
            planner_wake: Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns whether this entry takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.phase == Phase::Serving && state.catalog.limits().is_some() && state.has_roster
    }

    /// Returns whether a request that may last until `end` should go to another
    /// entry because this one stops before. Callers that hold an older directory
    /// answer are still served at first.
    pub(crate) fn stops_before(&self, end: Time) -> bool {
        let Phase::Leaving { since } = self.state.borrow().phase else {
            return false;
        };
        let stop = since + self.settings.bounds.grace;
        self.now().since(since) >= STILL_SERVED && end + STOP_MARGIN > stop
    }

    /// Takes notice of a failed or stalled request at an endpoint.
    pub(crate) fn suspect(&self, endpoint: &Name, born: u64, cause: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let new = state.monitor.on_failure(now, endpoint, born);
        state.suspicions.insert(endpoint.clone(), (born, now));
        drop(state);
        if new {
            self.report_suspicion(endpoint, born, cause);
        }
    }

    /// Takes notice of a connection to an endpoint that broke under a request.
    pub(crate) fn on_broken(&self, endpoint: &Name, born: u64, cause: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.monitor.on_disconnect(now, endpoint, born) {
            state.suspicions.insert(endpoint.clone(), (born, now));
            drop(state);
            self.report_suspicion(endpoint, born, cause);
        }
    }

    fn report_suspicion(&self, endpoint: &Name, born: u64, cause: &str) {
        info!(self.log, "endpoint suspected"; "endpoint" => &**endpoint, "born" => born, "cause" => cause);
        self.planner_wake.notify_one();
    }

    /// Takes a sign of life of an endpoint.
    pub(crate) fn on_life(&self, endpoint: &Name, born: u64) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.monitor.on_activity(endpoint, born);
        if let Some(load) = state.loads.get_mut(endpoint) {
            load.active = now;
        }
    }

    /// Returns whether an endpoint with work has been silent for too long. Where
    /// nothing has begun to write and nobody else doubts the endpoint, the requests
    /// may still wait for their turn there.
    pub(crate) fn is_stalled(&self, endpoint: &Name) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let Some(load) = state.loads.get(endpoint).filter(|l| l.requests > 0) else {
            return false;
        };
        let head = state.roster.get(endpoint);
        let doubted = head.is_none_or(|e| state.vitality(now, e) != Health::Alive);
        let turns = if load.writing > 0 || doubted { 1 } else { 2 };
        now.since(load.active) >= state.stall_limit(now, endpoint) * turns
    }

    /// Wakes requests that can start now, and turns away those that waited too long.
    pub(crate) fn advance_lines(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut lines = std::mem::take(&mut state.lines);
        for (key, line) in &mut lines {
            for turn in line.waiting.take_overdue(now) {
                if let Some(waker) = line.wakers.remove(&turn.id) {
                    // The request's caller may have left meanwhile.
                    let _ = waker.send(false);
                }
            }
            while !line.waiting.is_empty() {
                let first = line.firsts.estimate();
                let room = line.waiting.next_slot_limit(now, first);
                let centre = &self.settings.data_centre;
                let placed = state.place(now, centre, key, Work::default(), room, &[]);
                if !matches!(placed, Placement::Leader(..)) {
                    break;
                }
                let Some(turn) = line.waiting.pop(now, first) else {
                    break;
                };
                if let Some(waker) = line.wakers.remove(&turn.id)
                    && waker.send(true).is_ok()
                {
                    // The woken request takes its place before the next is woken.
                    break;
                }
            }
        }
        state.lines = lines;
    }

    /// Returns the suspicions to tell the other entries.
    pub(crate) fn suspicion_news(&self) -> Vec<Suspicion> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state
            .suspicions
            .retain(|_, (_, at)| now.since(*at) < SUSPICION_NEWS);
        let all = state.suspicions.iter();
        all.map(|(endpoint, (born, _))| Suspicion {
            endpoint: endpoint.clone(),
            born: *born,
        })
        .collect()
    }

    /// Returns the slow heads, if this entry plans and therefore probes their members.
    pub(crate) fn slow_news(&self) -> Vec<SlowLeader> {
        let state = self.state.borrow();
        if !state.planning {
            return Vec::new();
        }
        let now = self.now();
        let mut slow: Vec<SlowLeader> = Vec::new();
        for endpoint in state.roster.iter() {
            let slowdown = state.monitor.slowdown(now, &endpoint.id, endpoint.born);
            if slowdown < SLOW_NEWS {
                continue;
            }
            if let Some(head) = state.roster.leader_of(endpoint) {
                let key = load_key(&head.id);
                slow.push(SlowLeader { key, slowdown });
            }
        }
        slow
    }

    /// Returns what this entry has in flight, for the other entries.
    pub(crate) fn load_news(&self) -> Vec<EndpointLoad> {
        let state = self.state.borrow();
        let busy = state.loads.iter().filter(|(_, l)| l.requests > 0);
        busy.map(|(id, l)| EndpointLoad {
            key: load_key(id),
            requests: l.requests,
            prefill_tokens: l.unread,
        })
        .collect()
    }
}
